package cloud

import (
	"math"
	"slices"
	"sort"
)

const (
	// maxEmptyingShare is the share of the on-demand machines that may be emptied at once.
	maxEmptyingShare = 0.08
	// similarPrice is how far apart two prices per core and hour may be and still count as similar.
	similarPrice = 0.002
	// A machine with replicas is emptied only where this much is left over after it: so many times
	// its own cores, but within these shares of the on-demand target.
	emptyingSurplusMachines = 2
	minEmptyingSurplusShare = 0.06
	maxEmptyingSurplusShare = 0.12
)

// scaleIn cordons machines that are not needed. Nothing goes while something is rented.
func (r *resizer) scaleIn() {
	if len(r.decision.Rent) > 0 || r.demand.NoScaleIn {
		return
	}
	d := &r.demand
	s := &scaleInPass{resizer: r, emptyingLimit: r.emptyingLimit()}
	for _, machine := range r.machines {
		if machine.Cordoned && machine.Replicas > 0 {
			s.emptying++
		}
	}
	s.cordon(true, r.preemptible+r.spareOnDemand()-max(d.Preemptible.Cores, d.KeepPreemptible), d.Preemptible)
	s.cordon(false, r.onDemand-max(r.onDemandTarget, d.KeepOnDemand)-max(0, d.Urgent.Cores-r.preemptible, d.KeepUrgent-r.preemptible), d.OnDemand)
}

// emptyingLimit is how many machines with replicas may be emptied at once.
func (r *resizer) emptyingLimit() int {
	onDemand := 0
	for _, machine := range r.machines {
		if !machine.Preemptible && machine.Up {
			onDemand++
		}
	}
	return max(1, int(float64(onDemand)*maxEmptyingShare))
}

// returnEmpty decides that cordoned machines on which nothing is left are returned.
func (r *resizer) returnEmpty() {
	for _, machine := range r.machines {
		if machine.Cordoned && machine.Up && machine.Tasks == 0 && !r.uncordoned[machine.Name] {
			r.decision.Return = append(r.decision.Return, machine.Name)
		}
	}
}

// scaleInPass is the state of a resizer while it cordons machines.
type scaleInPass struct {
	*resizer
	emptying      int // cordoned machines whose replicas have to move
	emptyingLimit int
}

// cordon cordons machines of a kind for what is held beyond the need, in cores that the load can use.
func (s *scaleInPass) cordon(preemptible bool, excess float64, load Load) {
	for _, machine := range s.removable(preemptible, load) {
		cores := usableCores(s.types[machine.Type], load)
		if cores > excess || machine.Tasks == 0 && machine.Idle < s.demand.IdleTimeout {
			continue
		}
		if s.constraintNeeds(machine) || s.waitingTaskFits(machine) {
			continue
		}
		if !preemptible {
			s.zoneFree[machine.Zone] -= s.freeForOnDemand(machine)
		}
		if !preemptible && s.zoneShortOfSpread() != "" || machine.Replicas > 0 && !s.mayEmpty(cores, excess) {
			if !preemptible {
				s.zoneFree[machine.Zone] += s.freeForOnDemand(machine)
			}
			continue
		}
		if machine.Replicas > 0 {
			s.emptying++
		}
		s.decision.Cordon = append(s.decision.Cordon, machine.Name)
		s.reduceSurplus(machine)
		excess -= cores
	}
}

// mayEmpty tells whether a machine with replicas may be cordoned. They have to be moved, and a
// machine rented in its stead later would be cold: only when there is clearly too much, and a few
// machines at a time.
func (s *scaleInPass) mayEmpty(cores, excess float64) bool {
	needed := min(maxEmptyingSurplusShare*s.onDemandTarget, max(emptyingSurplusMachines*cores, minEmptyingSurplusShare*s.onDemandTarget))
	return s.emptying < s.emptyingLimit && excess-cores >= needed
}

// removable lists the machines of a kind that may be cordoned: empty ones first, then those with
// the fewest replicas, then the dearest per core, then those of which least is used.
func (r *resizer) removable(preemptible bool, load Load) (machines []Machine) {
	for _, machine := range r.machines {
		if machine.Preemptible == preemptible && !machine.Lost && !machine.Cordoned && machine.Up && !r.uncordoned[machine.Name] {
			machines = append(machines, machine)
		}
	}
	price := func(machine Machine) float64 {
		machineType := r.types[machine.Type]
		return hourlyPrice(machineType, preemptible) / max(minCores, usableCores(machineType, load))
	}
	sort.SliceStable(machines, func(i, j int) bool {
		a, b := machines[i], machines[j]
		if empty, otherEmpty := a.Tasks == 0, b.Tasks == 0; empty != otherEmpty {
			return empty
		}
		if a.Replicas != b.Replicas {
			return a.Replicas < b.Replicas
		}
		if x, y := price(a), price(b); math.Abs(x-y) > similarPrice {
			return x > y
		}
		return a.UsedCores < b.UsedCores
	})
	return machines
}

// constraintNeeds tells whether constrained work would be short of machines without this one.
func (r *resizer) constraintNeeds(machine Machine) bool {
	machineType := r.types[machine.Type]
	for i := range r.demand.Constrained {
		if r.surplus[i] < machineType.Cores && r.demand.Constrained[i].Allows(machineType, machine.Zone, machine.Preemptible) {
			return true
		}
	}
	return false
}

// reduceSurplus takes a machine away from what constrained work has beyond its need.
func (r *resizer) reduceSurplus(machine Machine) {
	machineType := r.types[machine.Type]
	for i := range r.demand.Constrained {
		if r.demand.Constrained[i].Allows(machineType, machine.Zone, machine.Preemptible) {
			r.surplus[i] -= machineType.Cores
		}
	}
}

// waitingTaskFits tells whether a machine has capacity for a task that waits.
func (r *resizer) waitingTaskFits(machine Machine) bool {
	machineType := r.types[machine.Type]
	return slices.ContainsFunc(r.demand.Waiting, func(task Constraint) bool { return task.fits(machine, machineType) })
}
