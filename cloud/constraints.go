package cloud

import (
	"maps"
	"math"
	"slices"

	"cedardoor/wire"
)

// Constraint is work that only some machines may run because of their type, zone, size,
// or whether they are preemptible. The totals in Demand don't cover it: the fleet may have
// enough capacity in total, but none of it on machines that the work may use.
type Constraint struct {
	MachineTypes []string        // allowed types; nil for any
	Zone         string          // the only allowed zone; empty for any
	Preemptible  bool            // may run on spot machines
	Task         Load            // its largest task
	Cores        float64         // needed at the same time
	Avoid        map[string]bool // names of machines that it must not use
	// Together is how many such tasks wait that need capacity at the same time; zero if each of them may
	// start by itself.
	Together int
	SameZone bool // those tasks need it in a single zone
}

// Allows reports whether an empty machine of the given type, zone and kind may run the work.
func (c *Constraint) Allows(machineType wire.MachineType, zone string, preemptible bool) bool {
	return c.allowsOffer(machineType.SKU, zone) && (c.Preemptible || !preemptible) &&
		Load{machineType.Cores, machineType.RAM, machineType.Accelerators}.holds(c.Task)
}

// allowsOffer reports whether the work may run on a machine type in a zone. It ignores the type's
// size and whether the machine is preemptible.
func (c *Constraint) allowsOffer(machineType, zone string) bool {
	return (c.MachineTypes == nil || slices.Contains(c.MachineTypes, machineType)) && (c.Zone == "" || c.Zone == zone)
}

// fits reports whether a machine of the given type has free capacity for a task of the work.
func (c *Constraint) fits(machine Machine, machineType wire.MachineType) bool {
	return !machine.Lost && !c.Avoid[machine.Name] && c.Allows(machineType, machine.Zone, machine.Preemptible) &&
		machine.Free.holds(c.Task)
}

// Refused reports whether the cloud recently refused to rent a machine type in a zone, as spot
// (preemptible) or on-demand machines.
type Refused func(machineType, zone string, preemptible bool) bool

// restrictOffers returns a Refused that also excludes the types and zones that no constrained
// work of the given kind (preemptible or not) may use. A machine there would cost money without
// running any work, and while the cloud has few machines it would be rented in place of a useful one.
func (d *Demand) restrictOffers(preemptible bool, refused Refused) Refused {
	constrained := slices.ContainsFunc(d.Constrained, func(c Constraint) bool { return c.Preemptible == preemptible })
	return func(machineType, zone string, spot bool) bool {
		return refused(machineType, zone, spot) || constrained && !slices.ContainsFunc(d.Constrained, func(c Constraint) bool {
			return c.Preemptible == preemptible && c.allowsOffer(machineType, zone)
		})
	}
}

// satisfyConstraints provides machines for all constrained work.
func (r *resizer) satisfyConstraints() {
	r.surplus = make([]float64, len(r.demand.Constrained))
	for i := range r.demand.Constrained {
		r.surplus[i] = r.satisfyConstraint(&r.demand.Constrained[i])
	}
}

// satisfyConstraint provides machines for constrained work. It uncordons machines first, then
// rents the cheapest, preferring spot machines where they are allowed and available. It
// returns how many cores the machines have beyond the need.
func (r *resizer) satisfyConstraint(constraint *Constraint) (surplus float64) {
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
			// Rent on demand only if no spot machine is allowed or available.
			if rental, found = r.cheapest(constraint, false); !found {
				break
			}
		}
		r.rent(rental)
		allowed.add(r.types[rental.MachineType], 1)
	}
	return allowed.cores - needed
}

// allowedCapacity is the capacity of machines that may run some constrained work.
type allowedCapacity struct {
	machines int
	cores    float64
}

func (a *allowedCapacity) add(machineType wire.MachineType, machines int) {
	a.machines += machines
	a.cores += float64(machines) * machineType.Cores
}

// covers reports whether there is at least one machine, and enough cores.
func (a *allowedCapacity) covers(cores float64) bool { return a.machines > 0 && a.cores >= cores }

// allowedCapacity sums up the machines, both existing and about to be rented, that may run
// constrained work.
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

// unblockTasks provides capacity on a single machine for waiting tasks that the totals appear to
// cover: free capacity may be fragmented over many machines, or be on machines that a task may not
// use. Each pass provides for at most one stuck and one waiting task. Machines are rented only for
// stuck tasks, and only if the pass rents nothing else.
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

// unblock provides a machine with free capacity for a task: it uncordons one, or rents one
// if mayRent is set. It reports whether it changed the decision.
func (r *resizer) unblock(task *Constraint, mayRent bool) bool {
	if task.Together > 1 {
		return r.unblockTogether(task, mayRent)
	}
	var candidate *Machine // the last cordoned machine that fits
	for i, machine := range r.machines {
		if !r.fits(task, machine) {
			continue
		}
		if r.takesTasks(machine) {
			return false // the task waits for something other than capacity
		}
		candidate = &r.machines[i]
	}
	if candidate != nil {
		r.uncordon(*candidate)
		return true
	}
	return mayRent && r.rentCheapest(task)
}

// unblockTogether is unblock for tasks that need capacity at the same time and of which none is placed
// yet. Unless there is capacity for all of them, it adds a machine: if they must share a zone, to the
// one where most of them fit.
func (r *resizer) unblockTogether(tasks *Constraint, mayRent bool) bool {
	zone, enough := r.capacityTogether(tasks)
	if enough {
		return false // the tasks wait for something other than capacity
	}
	inZone := *tasks
	if tasks.SameZone && inZone.Zone == "" {
		inZone.Zone = zone
	}
	for _, machine := range r.machines {
		if !r.takesTasks(machine) && r.fits(&inZone, machine) {
			r.uncordon(machine)
			return true
		}
	}
	// Fall back to another zone if nothing is available in this one.
	return mayRent && (r.rentCheapest(&inZone) || r.rentCheapest(tasks))
}

// capacityTogether reports whether there is free capacity for all the tasks, in a single zone if they
// must share one, and returns the first zone by name where that is so. Without enough capacity it
// returns the zone with capacity for the most tasks, or "" if no task fits anywhere.
func (r *resizer) capacityTogether(tasks *Constraint) (zone string, enough bool) {
	fitting, total := map[string]int{}, 0
	for _, machine := range r.machines {
		if r.takesTasks(machine) && r.fits(tasks, machine) {
			count := machine.Free.taskCount(tasks.Task)
			fitting[machine.Zone] += count
			total += count
		}
	}
	for _, candidate := range slices.Sorted(maps.Keys(fitting)) {
		if fitting[candidate] >= tasks.Together {
			return candidate, true
		}
		if zone == "" || fitting[candidate] > fitting[zone] {
			zone = candidate
		}
	}
	return zone, !tasks.SameZone && total >= tasks.Together
}

// fits reports whether a machine's type is in the catalog and it has free capacity for a task.
func (r *resizer) fits(task *Constraint, machine Machine) bool {
	machineType, known := r.types[machine.Type]
	return known && task.fits(machine, machineType)
}

// rentCheapest rents the cheapest machine that may run a task: a spot machine if the task is
// preemptible, else one on demand. It returns false if none is available.
func (r *resizer) rentCheapest(task *Constraint) bool {
	rental, found := r.cheapest(task, task.Preemptible)
	if found {
		r.rent(rental)
	}
	return found
}

// cheapest returns a rental of one machine with the lowest price per core among the available ones
// that may run the work.
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
