package rig

import (
	"time"

	"cedardoor/wire"
)

// KarachiNext returns the settings of kit/change/dumdum-karachi-next.toml: five controllers, 101 machines up at the
// start, and a state service whose limits will be lower "from some moment" on (state.next).
func KarachiNext() Site {
	const reportS, leaseS = 3.0, 18.0
	zones := []string{"korangi", "clifton", "lahore-dr"}
	limits := StateLimits{RPS: 80, WriteRPS: 30, ValueKB: 32, TxnOps: 24}
	teams := []map[string]any{}
	for _, name := range []string{"nutrition", "storefront", "warehouse"} {
		teams = append(teams, map[string]any{"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0})
	}
	return Site{Zones: zones, Controllers: 5, State: limits, Latency: 4 * time.Millisecond, ReportS: reportS, LeaseS: leaseS,
		MaxMachines: 400, Boot: 15 * time.Second, ListLag: 8 * time.Second,
		Types: []wire.MachineType{
			{SKU: "chapati", Cores: 8, RAM: 32, CacheGB: 70, FetchGBs: 0.3, HourlyPrice: 0.48, SpotPrice: 0.2, BootS: 25, Zones: zones},
			{SKU: "biryani", Cores: 16, RAM: 64, CacheGB: 60, FetchGBs: 0.5, HourlyPrice: 0.92, SpotPrice: 0.41, BootS: 50, Zones: zones[:2]},
			{SKU: "nihari", Cores: 32, RAM: 256, CacheGB: 60, FetchGBs: 0.4, HourlyPrice: 2.31, SpotPrice: 1.04, BootS: 15, Zones: zones}},
		Up: []wire.RentRequest{
			{MachineType: "chapati", Zone: "korangi", Count: 13}, {MachineType: "chapati", Zone: "clifton", Count: 14},
			{MachineType: "chapati", Zone: "lahore-dr", Count: 11}, {MachineType: "biryani", Zone: "korangi", Count: 18},
			{MachineType: "biryani", Zone: "clifton", Count: 21}, {MachineType: "nihari", Zone: "korangi", Count: 8},
			{MachineType: "nihari", Zone: "clifton", Count: 9}, {MachineType: "nihari", Zone: "lahore-dr", Count: 7}},
		Facts: map[string]any{
			"initial_size": 5, "zones": zones, "teams": teams,
			"objectives": []map[string]any{{"kind": "finished", "class": "kibble-match", "within_s": 180.0, "share": 0.96},
				{"kind": "wait", "class": "order-desk", "within_s": 1.0, "share": 0.9},
				{"kind": "wait", "class": "diet-recheck", "within_s": 5.0, "share": 0.82},
				{"kind": "finished", "class": "diet-recheck", "within_s": 150.0, "share": 0.96}},
			"workers": map[string]any{"report_s": reportS, "lease_s": leaseS, "gang_wait_s": 40.0, "gang_peer_s": 6.0, "cancel_s": 43.0},
			"state": map[string]any{"rps": limits.RPS, "write_rps": limits.WriteRPS, "value_kb": limits.ValueKB, "txn_ops": limits.TxnOps,
				"next": map[string]any{"write_rps": 21.0, "value_kb": 2.0, "txn_ops": 8}},
			"cloud":          map[string]any{"rps": 4.0, "list_lag_s": 8.0},
			"machine_limits": map[string]any{"core_share": 0.144, "mem_mb": 125.0, "fd_limit": 1200},
			"skew_ms":        100.0,
		}}
}

// Karachi returns the settings of kit/sites/dumdum-karachi.toml: three controllers and eight machines up at the start.
func Karachi() Site {
	site := KarachiNext()
	site.Controllers, site.MaxMachines = 3, 48
	site.Facts["initial_size"] = 3
	delete(site.Facts["state"].(map[string]any), "next")
	site.Up = []wire.RentRequest{
		{MachineType: "chapati", Zone: "korangi", Count: 1}, {MachineType: "chapati", Zone: "clifton", Count: 1},
		{MachineType: "chapati", Zone: "lahore-dr", Count: 1}, {MachineType: "biryani", Zone: "korangi", Count: 1},
		{MachineType: "biryani", Zone: "clifton", Count: 1}, {MachineType: "nihari", Zone: "korangi", Count: 1},
		{MachineType: "nihari", Zone: "clifton", Count: 1}, {MachineType: "nihari", Zone: "lahore-dr", Count: 1}}
	return site
}
