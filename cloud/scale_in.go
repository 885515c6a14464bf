package cloud

import (
	"math"
	"slices"
	"sort"
)

const (
	// maxDrainingShare is the maximum share of the on-demand machines to drain of replicas at once.
	maxDrainingShare = 0.08
	// similarPriceDelta is the maximum difference between two similar prices per core and hour.
	similarPriceDelta = 0.002
	// A machine with replicas is drained only if the surplus without it is at least
	// drainSurplusMachines times its own cores, clamped to these shares of the on-demand target.
	drainSurplusMachines = 2
	minDrainSurplusShare = 0.06
	maxDrainSurplusShare = 0.12
)

// scaleIn cordons machines that are not needed, unless this call rents any or scale-in is
// suspended.
func (r *resizer) scaleIn() {
	if len(r.decision.Rent) > 0 || r.demand.NoScaleIn {
		return
	}
	d := &r.demand
	s := &scaleInPass{resizer: r, drainLimit: r.drainLimit()}
	for _, machine := range r.machines {
		if machine.Cordoned && machine.Replicas > 0 {
			s.draining++
		}
	}
	s.cordon(true, r.preemptible+r.spareOnDemand()-max(d.Preemptible.Cores, d.KeepPreemptible), d.Preemptible)
	s.cordon(false, r.onDemand-max(r.onDemandTarget, d.KeepOnDemand)-max(0, d.Urgent.Cores-r.preemptible, d.KeepUrgent-r.preemptible), d.OnDemand)
}

// drainLimit returns how many machines with replicas may be draining at once.
func (r *resizer) drainLimit() int {
	onDemand := 0
	for _, machine := range r.machines {
		if !machine.Preemptible && machine.Up {
			onDemand++
		}
	}
	return max(1, int(float64(onDemand)*maxDrainingShare))
}

// returnEmpty adds machines that stay cordoned and have no tasks to the decision's Return list.
func (r *resizer) returnEmpty() {
	for _, machine := range r.machines {
		if machine.Cordoned && machine.Up && machine.Tasks == 0 && !r.uncordoned[machine.Name] {
			r.decision.Return = append(r.decision.Return, machine.Name)
		}
	}
}

// scaleInPass is the state of a scale-in.
type scaleInPass struct {
	*resizer
	draining   int // cordoned machines that still have replicas
	drainLimit int
}

// cordon cordons machines of a kind whose cores usable by the load fit into the rest of the excess.
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
		if !preemptible && s.zoneLackingSpreadCapacity() != "" || machine.Replicas > 0 && !s.mayDrain(cores, excess) {
			if !preemptible {
				s.zoneFree[machine.Zone] += s.freeForOnDemand(machine)
			}
			continue
		}
		if machine.Replicas > 0 {
			s.draining++
		}
		s.decision.Cordon = append(s.decision.Cordon, machine.Name)
		s.reduceSurplus(machine)
		excess -= cores
	}
}

// mayDrain reports whether a machine with replicas may be cordoned. Its replicas must move, and a
// machine rented to replace it later has a cold cache. So it requires a clear surplus, and limits
// how many machines drain at once.
func (s *scaleInPass) mayDrain(cores, excess float64) bool {
	needed := min(maxDrainSurplusShare*s.onDemandTarget, max(drainSurplusMachines*cores, minDrainSurplusShare*s.onDemandTarget))
	return s.draining < s.drainLimit && excess-cores >= needed
}

// removable lists the machines of a kind that may be cordoned, ordered by preference: empty ones
// first, then those with the fewest replicas, the highest price per core, and the fewest used cores.
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
		if x, y := price(a), price(b); math.Abs(x-y) > similarPriceDelta {
			return x > y
		}
		return a.UsedCores < b.UsedCores
	})
	return machines
}

// constraintNeeds reports whether some constrained work would lack capacity without this machine.
func (r *resizer) constraintNeeds(machine Machine) bool {
	machineType := r.types[machine.Type]
	for i := range r.demand.Constrained {
		if r.surplus[i] < machineType.Cores && r.demand.Constrained[i].Allows(machineType, machine.Zone, machine.Preemptible) {
			return true
		}
	}
	return false
}

// reduceSurplus subtracts a machine from the surplus of all constrained work that may use it.
func (r *resizer) reduceSurplus(machine Machine) {
	machineType := r.types[machine.Type]
	for i := range r.demand.Constrained {
		if r.demand.Constrained[i].Allows(machineType, machine.Zone, machine.Preemptible) {
			r.surplus[i] -= machineType.Cores
		}
	}
}

// waitingTaskFits reports whether a machine has capacity for a waiting task.
func (r *resizer) waitingTaskFits(machine Machine) bool {
	machineType := r.types[machine.Type]
	return slices.ContainsFunc(r.demand.Waiting, func(task Constraint) bool { return task.fits(machine, machineType) })
}
