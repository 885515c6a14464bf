package cloud

import (
	"maps"
	"math"
	"slices"

	"cedardoor/wire"
)

// Constraint is work that only some machines may hold, for their type, zone, kind or
// size. The sums of the demand say nothing of it: there may be capacity enough, all of it
// where the work may not go.
type Constraint struct {
	MachineTypes []string        // allowed types; nil for any
	Zone         string          // the only allowed zone; empty for any
	Preemptible  bool            // spot machines will do
	Task         Load            // its largest task
	Cores        float64         // to hold at once
	Avoid        map[string]bool // machines that it keeps away from
	// TogetherInZone is how many such tasks wait for capacity in one and the same zone.
	TogetherInZone int
}

// Allows tells whether a machine may hold the work.
func (c *Constraint) Allows(machineType wire.MachineType, zone string, preemptible bool) bool {
	return c.allowsOffer(machineType.SKU, zone) && (c.Preemptible || !preemptible) &&
		Load{machineType.Cores, machineType.RAM, machineType.Accelerators}.holds(c.Task)
}

// allowsOffer tells whether the work may go to a machine type in a zone, whatever its size and kind.
func (c *Constraint) allowsOffer(machineType, zone string) bool {
	return (c.MachineTypes == nil || slices.Contains(c.MachineTypes, machineType)) && (c.Zone == "" || c.Zone == zone)
}

// fits tells whether a machine of that type can take a task of the work now.
func (c *Constraint) fits(machine Machine, machineType wire.MachineType) bool {
	return !machine.Lost && !c.Avoid[machine.Name] && c.Allows(machineType, machine.Zone, machine.Preemptible) &&
		machine.Free.holds(c.Task)
}

// Refused tells whether the cloud refused a type, zone and kind not long ago.
type Refused func(machineType, zone string, preemptible bool) bool

// usefulOffers narrows what may be rented for a sum of work to the types and zones to
// which some of that work may go. A machine for which none of it is allowed is paid
// for in vain, and where the cloud has few it takes the place of one that would help.
func (d *Demand) usefulOffers(preemptible bool, refused Refused) Refused {
	constrained := slices.ContainsFunc(d.Constrained, func(c Constraint) bool { return c.Preemptible == preemptible })
	return func(machineType, zone string, spot bool) bool {
		return refused(machineType, zone, spot) || constrained && !slices.ContainsFunc(d.Constrained, func(c Constraint) bool {
			return c.Preemptible == preemptible && c.allowsOffer(machineType, zone)
		})
	}
}

// satisfyConstraints makes sure that all constrained work has machines.
func (r *resizer) satisfyConstraints() {
	r.surplus = make([]float64, len(r.demand.Constrained))
	for i := range r.demand.Constrained {
		r.surplus[i] = r.satisfy(&r.demand.Constrained[i])
	}
}

// satisfy makes sure that there are machines for constrained work: cordoned ones come back
// first, then the cheapest are rented, spot ones if they will do and are to be had. It
// gives how many more cores the machines have than are needed.
func (r *resizer) satisfy(constraint *Constraint) (surplus float64) {
	needed := max(constraint.Cores, constraint.Task.Cores)
	allowed := r.allowedCapacity(constraint)
	for _, machine := range r.machines {
		if allowed.covers(needed) {
			return allowed.cores - needed
		}
		machineType, known := r.types[machine.Type]
		if known && !machine.Lost && machine.Up && machine.Cordoned && !r.uncordoned[machine.Name] && constraint.Allows(machineType, machine.Zone, machine.Preemptible) {
			r.uncordon(machine)
			allowed.add(machineType, 1)
		}
	}
	for !allowed.covers(needed) && r.rentable > 0 {
		rental, found := r.cheapest(constraint, true)
		if !found {
			// An on-demand machine only where no spot one will do or is to be had.
			if rental, found = r.cheapest(constraint, false); !found {
				break
			}
		}
		r.rent(rental)
		allowed.add(r.types[rental.MachineType], 1)
	}
	return allowed.cores - needed
}

// allowedCapacity is the capacity of machines that may hold constrained work.
type allowedCapacity struct {
	machines int
	cores    float64
}

func (a *allowedCapacity) add(machineType wire.MachineType, machines int) {
	a.machines += machines
	a.cores += float64(machines) * machineType.Cores
}

// covers tells whether there is a machine at all, and cores enough.
func (a *allowedCapacity) covers(cores float64) bool { return a.machines > 0 && a.cores >= cores }

// allowedCapacity sums up the machines, held and to be rented, that may hold constrained work.
func (r *resizer) allowedCapacity(constraint *Constraint) (allowed allowedCapacity) {
	for _, machine := range r.machines {
		machineType, known := r.types[machine.Type]
		if known && !machine.Lost && r.takesTasks(machine) && constraint.Allows(machineType, machine.Zone, machine.Preemptible) {
			allowed.add(machineType, 1)
		}
	}
	for _, rental := range r.decision.Rent {
		if machineType := r.types[rental.MachineType]; constraint.Allows(machineType, rental.Zone, rental.Preemptible) {
			allowed.add(machineType, rental.Count)
		}
	}
	return allowed
}

// unblockTasks makes sure that tasks that wait find capacity on one machine where enough is held in
// sum: what is left on many machines may be too little on each, or not where a task may go. One
// task is helped at a time.
func (r *resizer) unblockTasks() {
	if len(r.decision.Rent) == 0 {
		for i := range r.demand.Stuck {
			if r.unblock(&r.demand.Stuck[i], r.rentable > 0) {
				break
			}
		}
	}
	for i := range r.demand.Waiting {
		if r.unblock(&r.demand.Waiting[i], false) {
			break
		}
	}
}

// unblock makes sure that some machine has capacity for a task: a cordoned one comes
// back, or one is rented where that is allowed. It tells whether that took a change.
func (r *resizer) unblock(task *Constraint, mayRent bool) bool {
	if task.TogetherInZone > 1 {
		return r.unblockInOneZone(task, mayRent)
	}
	var candidate *Machine // the last cordoned one
	for i, machine := range r.machines {
		if !r.fits(task, machine) {
			continue
		}
		if r.takesTasks(machine) {
			return false // capacity is not what the task waits for
		}
		candidate = &r.machines[i]
	}
	if candidate != nil {
		r.uncordon(*candidate)
		return true
	}
	return mayRent && r.rentCheapest(task)
}

// unblockInOneZone does so for tasks that are to be in one zone, of which none is placed
// yet: a machine more where most of them would fit, as long as not all do.
func (r *resizer) unblockInOneZone(tasks *Constraint, mayRent bool) bool {
	zone, enough := r.roomiestZone(tasks)
	if enough {
		return false // capacity is not what the tasks wait for
	}
	inZone := *tasks
	if inZone.Zone == "" {
		inZone.Zone = zone
	}
	for _, machine := range r.machines {
		if !r.takesTasks(machine) && r.fits(&inZone, machine) {
			r.uncordon(machine)
			return true
		}
	}
	// In another zone if nothing is to be had in this one.
	return mayRent && (r.rentCheapest(&inZone) || r.rentCheapest(tasks))
}

// roomiestZone is the zone in which most of the tasks fit now, the first by name among equals;
// empty where none fits. It tells whether some zone has capacity for all of them.
func (r *resizer) roomiestZone(tasks *Constraint) (zone string, enough bool) {
	fitting := map[string]int{}
	for _, machine := range r.machines {
		if r.takesTasks(machine) && r.fits(tasks, machine) {
			fitting[machine.Zone] += machine.Free.taskCount(tasks.Task)
		}
	}
	for _, candidate := range slices.Sorted(maps.Keys(fitting)) {
		if fitting[candidate] >= tasks.TogetherInZone {
			return candidate, true
		}
		if zone == "" || fitting[candidate] > fitting[zone] {
			zone = candidate
		}
	}
	return zone, false
}

// fits tells whether a machine of a known type can take a task now.
func (r *resizer) fits(task *Constraint, machine Machine) bool {
	machineType, known := r.types[machine.Type]
	return known && task.fits(machine, machineType)
}

// rentCheapest rents the cheapest machine that may hold a task; false where none is to be had.
func (r *resizer) rentCheapest(task *Constraint) bool {
	rental, found := r.cheapest(task, task.Preemptible)
	if found {
		r.rent(rental)
	}
	return found
}

// cheapest is one machine of those that cost least per core of all that may hold the work.
func (r *resizer) cheapest(work *Constraint, preemptible bool) (best Rental, found bool) {
	lowest := math.Inf(1)
	for _, machineType := range r.catalog {
		price := hourlyPrice(machineType, preemptible) / max(minCores, machineType.Cores)
		for _, zone := range machineType.Zones {
			if price > 0 && price < lowest && work.Allows(machineType, zone, preemptible) && !r.refused(machineType.SKU, zone, preemptible) {
				best, lowest = Rental{MachineType: machineType.SKU, Zone: zone, Preemptible: preemptible, Count: 1}, price
			}
		}
	}
	return best, best.Count > 0
}
