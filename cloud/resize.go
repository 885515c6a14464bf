package cloud

import (
	"sort"

	"cedardoor/clock"
	"cedardoor/wire"
)

// minCores keeps a price per core finite.
const minCores = 0.01

// Machine is a rented machine, running or still booting.
type Machine struct {
	Name          string
	Type          string
	Zone          string
	Preemptible   bool
	Up            bool // has reported and can run tasks
	Lost          bool // not counted as capacity: unresponsive, quarantined, failed, late to boot or being returned
	Cordoned      bool
	Tasks         int     // tasks that may be running on it
	Replicas      int     // how many of Tasks are replicas of services
	OnDemandCores float64 // cores of tasks that need on-demand machines
	UsedCores     float64
	Free          Load         // unallocated resources; all of them while the machine boots
	Idle          clock.Micros // how long it has been empty
}

// Rental is a number of machines to rent.
type Rental struct {
	MachineType, Zone string
	Preemptible       bool
	Count             int
}

// Decision is the result of Resize.
type Decision struct {
	Rent         []Rental
	Cordon       []string // machines to drain, and to return when empty
	Uncordon     []string
	Return       []string // cordoned machines that are empty
	LimitReached bool     // Demand.MaxMachines kept more machines from being rented
}

// addRental adds a rental, merged with any for the same type, zone and kind.
func (d *Decision) addRental(rental Rental) {
	for i := range d.Rent {
		if other := &d.Rent[i]; other.MachineType == rental.MachineType && other.Zone == rental.Zone && other.Preemptible == rental.Preemptible {
			other.Count += rental.Count
			return
		}
	}
	d.Rent = append(d.Rent, rental)
}

// Resize compares the machines with the demand and decides which to rent, cordon, uncordon and
// return. It is a pure function. It covers on-demand demand first, then preemptible demand. For any
// shortage it uncordons machines before it rents new ones, and it cordons nothing if it rents.
func Resize(catalog []wire.MachineType, machines []Machine, demand Demand, refused Refused) Decision {
	r := newResizer(catalog, machines, demand, refused)
	r.scaleOutOnDemand()
	r.scaleOutPreemptible()
	r.scaleOutUrgent()
	r.satisfyConstraints()
	r.unblockTasks()
	r.scaleIn()
	r.returnEmpty()
	return r.decision
}

// resizer is the state of one call of Resize.
type resizer struct {
	catalog  []wire.MachineType
	types    map[string]wire.MachineType // the catalog by SKU
	machines []Machine
	demand   Demand
	refused  Refused

	decision   Decision
	uncordoned map[string]bool // machines uncordoned by this call
	rentable   int             // machines that may still be rented

	onDemandTarget float64            // cores wanted on on-demand machines, including the reserve and growth
	onDemand       float64            // usable cores of on-demand machines
	preemptible    float64            // usable cores of spot machines
	zoneCores      map[string]float64 // usable cores of on-demand machines by zone, including those to be rented
	zoneFree       map[string]float64 // usable cores of on-demand machines not used by on-demand work, by zone
	surplus        []float64          // cores beyond the need, by index in demand.Constrained
}

func newResizer(catalog []wire.MachineType, machines []Machine, demand Demand, refused Refused) *resizer {
	r := &resizer{
		catalog: catalog, types: map[string]wire.MachineType{}, machines: machines, demand: demand, refused: refused,
		uncordoned: map[string]bool{}, rentable: demand.MaxMachines - len(machines), zoneCores: map[string]float64{}, zoneFree: map[string]float64{},
	}
	for _, machineType := range catalog {
		r.types[machineType.SKU] = machineType
	}
	r.onDemandTarget = demand.OnDemand.Cores + r.reserve() + demand.Growth
	r.sumCapacity()
	r.sumFreeByZone()
	return r
}

// reserve returns how many cores to keep free on on-demand machines.
func (r *resizer) reserve() float64 {
	onDemand := r.demand.OnDemand.Cores
	reserve := onDemand * r.demand.ReserveShare
	// Any machine may be lost, and its replicas cannot wait for another to boot. The
	// replicas of the fullest machine must fit on the others, up to MachineReserveShare.
	for _, machine := range r.machines {
		if !machine.Preemptible && !machine.Lost && machine.Replicas > 0 {
			reserve = max(reserve, min(machine.OnDemandCores, r.demand.MachineReserveShare*onDemand))
		}
	}
	// A whole zone may be lost too. The reserve for it is limited to ZoneReserveShare of all
	// demand. It is not idle: preemptible work uses it until it is preempted.
	if r.demand.Spread {
		reserve = max(reserve, min(r.fullestZoneCores(), r.demand.ZoneReserveShare*(onDemand+r.demand.Preemptible.Cores)))
	}
	return reserve
}

// fullestZoneCores returns the number of cores that on-demand work uses in the zone where it uses
// the most.
func (r *resizer) fullestZoneCores() (most float64) {
	zones := map[string]float64{}
	for _, machine := range r.machines {
		if !machine.Preemptible {
			zones[machine.Zone] += machine.OnDemandCores
			most = max(most, zones[machine.Zone])
		}
	}
	return most
}

// sumCapacity sums up the usable cores of machines that are neither lost nor cordoned.
func (r *resizer) sumCapacity() {
	for _, machine := range r.machines {
		machineType, known := r.types[machine.Type]
		if !known || machine.Lost || machine.Cordoned {
			continue
		}
		if machine.Preemptible {
			r.preemptible += usableCores(machineType, r.demand.Preemptible)
		} else {
			cores := usableCores(machineType, r.demand.OnDemand)
			r.onDemand += cores
			r.zoneCores[machine.Zone] += cores
		}
	}
}

// sumFreeByZone sums up the cores of on-demand machines that on-demand work does not use.
// Preemptible work on them can be preempted, so its cores count as free.
func (r *resizer) sumFreeByZone() {
	for _, machineType := range r.types {
		for _, zone := range machineType.Zones {
			r.zoneFree[zone] += 0
		}
	}
	for _, machine := range r.machines {
		if !machine.Preemptible && !machine.Lost && !machine.Cordoned {
			r.zoneFree[machine.Zone] += r.freeForOnDemand(machine)
		}
	}
}

// freeForOnDemand returns how many usable cores of a machine on-demand work does not use.
func (r *resizer) freeForOnDemand(machine Machine) float64 {
	return usableCores(r.types[machine.Type], r.demand.OnDemand) - machine.OnDemandCores
}

// zoneLackingSpreadCapacity returns the zone to rent in if fewer than two zones have capacity for
// replicas that must be spread: the zone with the second most free cores, which needs the
// least added. It returns "" if two zones have capacity, if there is only one zone, or if no
// replicas must be spread.
func (r *resizer) zoneLackingSpreadCapacity() string {
	if !r.demand.Spread {
		return ""
	}
	zones := make([]string, 0, len(r.zoneFree))
	for zone := range r.zoneFree {
		zones = append(zones, zone)
	}
	if len(zones) < 2 {
		return ""
	}
	sort.Slice(zones, func(i, j int) bool {
		if a, b := r.zoneFree[zones[i]], r.zoneFree[zones[j]]; a != b {
			return a > b
		}
		return zones[i] < zones[j]
	})
	const minReplicasPerZone = 2 // replicas of the largest size that the second zone must have capacity for
	if r.zoneFree[zones[1]] < max(minReplicasPerZone*r.demand.MaxCores, r.demand.OnDemand.Cores*r.demand.ReserveShare/2) {
		return zones[1]
	}
	return ""
}

// spareOnDemand returns how many cores of on-demand machines preemptible work may use. They
// include the reserve for replicas, which preempt that work when they need it.
func (r *resizer) spareOnDemand() float64 { return max(0, r.onDemand-r.demand.OnDemand.Cores) }

// rent adds a rental to the decision.
func (r *resizer) rent(rental Rental) {
	r.decision.addRental(rental)
	r.rentable -= rental.Count
}

// uncordon adds a machine to the decision's Uncordon list.
func (r *resizer) uncordon(machine Machine) {
	r.decision.Uncordon = append(r.decision.Uncordon, machine.Name)
	r.uncordoned[machine.Name] = true
}

// takesTasks reports whether a machine is not cordoned, or is uncordoned by this call.
func (r *resizer) takesTasks(machine Machine) bool {
	return !machine.Cordoned || r.uncordoned[machine.Name]
}
