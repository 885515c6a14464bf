package cloud

import (
	"sort"

	"cedardoor/clock"
	"cedardoor/wire"
)

// minCores keeps a price per core finite.
const minCores = 0.01

// Machine is a machine that is paid for, up or on its way.
type Machine struct {
	Name          string
	Type          string
	Zone          string
	Preemptible   bool
	Up            bool // takes tasks
	Lost          bool // unresponsive, quarantined or about to be taken: counts for nothing
	Cordoned      bool
	Tasks         int     // tasks that may be on it
	Replicas      int     // of those, replicas
	OnDemandCores float64 // cores of tasks that only on-demand machines may hold
	UsedCores     float64
	Free          Load         // what is not allocated; of one not up yet, all of it
	Idle          clock.Micros // for how long nothing has been on it
}

// Rental is a rental to ask for.
type Rental struct {
	MachineType, Zone string
	Preemptible       bool
	Count             int
}

// Decision is what resizing decided.
type Decision struct {
	Rent         []Rental
	Cordon       []string // no new tasks: they are to be returned when empty
	Uncordon     []string
	Return       []string // empty: can go now
	LimitReached bool     // more would be rented, but for Demand.MaxMachines
}

// addRental adds machines to what is to be rented.
func (d *Decision) addRental(rental Rental) {
	for i := range d.Rent {
		if other := &d.Rent[i]; other.MachineType == rental.MachineType && other.Zone == rental.Zone && other.Preemptible == rental.Preemptible {
			other.Count += rental.Count
			return
		}
	}
	d.Rent = append(d.Rent, rental)
}

// Resize compares the machines with the demand. It is pure. On-demand machines come first, then
// spot machines; whatever the shortage, cordoned machines are taken back before any is rented, and
// nothing is scaled in while something is rented.
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
	uncordoned map[string]bool // machines that are to take tasks again
	rentable   int             // machines that may still be rented

	onDemandTarget float64            // cores wanted on on-demand machines, reserves included
	onDemand       float64            // usable cores of on-demand machines
	preemptible    float64            // usable cores of spot machines
	zoneCores      map[string]float64 // usable cores of on-demand machines, those to be rented included, by zone
	zoneFree       map[string]float64 // onDemand without what only on-demand machines may hold, by zone
	surplus        []float64          // cores beyond the need of each of the demand's constraints
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

// reserve is how many cores are kept free on on-demand machines.
func (r *resizer) reserve() float64 {
	onDemand := r.demand.OnDemand.Cores
	reserve := onDemand * r.demand.ReserveShare
	// Any one machine may be lost, and its replicas cannot wait for a boot: the
	// fullest one's must fit on the others, as far as that share of the whole allows.
	for _, machine := range r.machines {
		if !machine.Preemptible && !machine.Lost && machine.Replicas > 0 {
			reserve = max(reserve, min(machine.OnDemandCores, r.demand.MachineReserveShare*onDemand))
		}
	}
	// So may a whole zone, where the capacity for it is little beside the whole fleet. It
	// is not idle: preemptible work fills it and gives way.
	if r.demand.Spread {
		reserve = max(reserve, min(r.fullestZone(), r.demand.ZoneReserveShare*(onDemand+r.demand.Preemptible.Cores)))
	}
	return reserve
}

// fullestZone is how many cores the tasks that only on-demand machines may hold take in the zone
// with most of them.
func (r *resizer) fullestZone() (most float64) {
	zones := map[string]float64{}
	for _, machine := range r.machines {
		if !machine.Preemptible {
			zones[machine.Zone] += machine.OnDemandCores
			most = max(most, zones[machine.Zone])
		}
	}
	return most
}

// sumCapacity sums up the usable cores of the machines that count.
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

// sumFreeByZone sums up what on-demand machines have beside what only they may hold.
// Work that spot machines may hold gives way, so its cores count as free.
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

// freeForOnDemand is how many usable cores a machine has beside what only on-demand machines may hold.
func (r *resizer) freeForOnDemand(machine Machine) float64 {
	return usableCores(r.types[machine.Type], r.demand.OnDemand) - machine.OnDemandCores
}

// zoneShortOfSpread names the zone to rent in when replicas that must be spread would
// find capacity in fewer than two zones: the one, after the roomiest, with the
// least to add. It is empty where they find it.
func (r *resizer) zoneShortOfSpread() string {
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
	const largestReplicas = 2 // of which a zone should have capacity for so many
	if r.zoneFree[zones[1]] < max(largestReplicas*r.demand.MaxCores, r.demand.OnDemand.Cores*r.demand.ReserveShare/2) {
		return zones[1]
	}
	return ""
}

// spareOnDemand is how many cores of on-demand machines are free for preemptible work, which
// fills what is reserved for replicas, and gives way to them.
func (r *resizer) spareOnDemand() float64 { return max(0, r.onDemand-r.demand.OnDemand.Cores) }

// rent decides that machines are rented.
func (r *resizer) rent(rental Rental) {
	r.decision.addRental(rental)
	r.rentable -= rental.Count
}

// uncordon decides that a machine takes tasks again.
func (r *resizer) uncordon(machine Machine) {
	r.decision.Uncordon = append(r.decision.Uncordon, machine.Name)
	r.uncordoned[machine.Name] = true
}

// takesTasks tells whether a machine is not cordoned, or no longer.
func (r *resizer) takesTasks(machine Machine) bool {
	return !machine.Cordoned || r.uncordoned[machine.Name]
}
