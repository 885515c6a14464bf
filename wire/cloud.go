package wire

// MachineType is one machine type of the catalog.
type MachineType struct {
	SKU          string   `msgpack:"sku"`
	Cores        float64  `msgpack:"cores"`
	Accelerators float64  `msgpack:"accelerators"`
	RAM          float64  `msgpack:"ram_gb"`
	CacheGB      float64  `msgpack:"cache_gb"`
	FetchGBs     float64  `msgpack:"fetch_gb_per_s"`
	HourlyPrice  float64  `msgpack:"hourly"`
	SpotPrice    float64  `msgpack:"spot_price"`
	BootS        float64  `msgpack:"ready_s"`
	Zones        []string `msgpack:"yards"`
}

// Catalog lists the machine types.
type Catalog struct {
	MachineTypes []MachineType `msgpack:"builds"`
}

// RentRequest requests machines from the cloud. A retry has the same RequestID, so that the cloud
// rents the machines only once.
type RentRequest struct {
	RequestID   string `msgpack:"hire"`
	MachineType string `msgpack:"build"`
	Zone        string `msgpack:"yard"`
	Preemptible bool   `msgpack:"loaned"`
	Count       int    `msgpack:"count"`
}

// MachineNames lists machines: the rented ones in the response to a RentRequest, or the ones to return
// in a request to return machines.
type MachineNames struct {
	Names []string `msgpack:"hosts"`
}

// Machine is one machine in the cloud's list of machines.
type Machine struct {
	UID         string  `msgpack:"uid"`
	Endpoint    string  `msgpack:"endpoint"`
	Type        string  `msgpack:"build"`
	Zone        string  `msgpack:"yard"`
	Preemptible bool    `msgpack:"loaned"`
	Status      string  `msgpack:"status"`
	HeldS       float64 `msgpack:"held_s"`
}

// MachinePage is one page of the cloud's list of machines.
type MachinePage struct {
	Machines []Machine `msgpack:"hosts"`
	HasNext  bool      `msgpack:"has_next"`
}
