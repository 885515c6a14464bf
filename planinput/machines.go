package planinput

import (
	"cmp"
	"math"
	"slices"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/plan"
)

// stopGrace is how long after a stop request the snapshot counts the task's capacity as being freed. A
// task that has not stopped by then may hold its capacity for long.
const stopGrace = 3 * clock.Second

// Remove removes a machine that is no longer known from the snapshot.
func (in *Input) Remove(name string) {
	if in.snapshot.Machine(name) != nil {
		in.snapshot.Remove(name)
	}
}

// Refresh updates a machine in the snapshot; hasFailures means that tasks have failed on it. It
// reports whether the machine must be refreshed again even if no event changes it, because a stop is
// in progress or its suspension will end.
func (in *Input) Refresh(machine *fleet.Machine, hasFailures bool, now clock.Micros) (again bool) {
	planned := in.snapshot.Machine(machine.Name)
	if planned == nil {
		planned = &plan.Machine{Name: machine.Name, Images: map[string]plan.ImageState{}}
	}
	planned.Type, planned.Zone, planned.Preemptible = machine.Type, machine.Zone, machine.Preemptible
	planned.Capacity = plan.Resources{Cores: machine.Cores, Accelerators: machine.Accelerators, RAM: machine.RAM}
	planned.Free.Cores, planned.Free.Accelerators, planned.Free.RAM = machine.Free()
	planned.Usable, planned.QuarantineReason, planned.Cordoned = machine.Usable(now), string(machine.QuarantineReason), machine.Cordoned
	planned.ReservedFor = in.reservations[machine.Name]
	planned.HasFailures = hasFailures
	if machineType, known := in.Fleet.MachineType(machine.Type); known {
		planned.FetchGBs = machineType.FetchGBs
	}
	refreshImages(planned, machine)
	stopping := in.refreshTasks(planned, machine, now)
	in.snapshot.Put(planned)
	return stopping || machine.SuspendedUntil > now
}

// refreshImages updates the image states of a machine in the snapshot.
func refreshImages(planned *plan.Machine, machine *fleet.Machine) {
	for image := range planned.Images {
		if _, still := machine.Images[image]; !still {
			delete(planned.Images, image)
		}
	}
	for image, fetched := range machine.Images {
		planned.Images[image] = plan.ImageFetching
		if fetched {
			planned.Images[image] = plan.ImageHeld
		}
	}
}

// refreshTasks updates the victims and replicas on a machine, the tasks that are being stopped and the
// capacity that recent stops will free. It reports whether there are recent stops.
func (in *Input) refreshTasks(planned *plan.Machine, machine *fleet.Machine, now clock.Micros) (stopping bool) {
	planned.Stopping, planned.Replicas = plan.Resources{}, plan.Resources{}
	planned.Victims = planned.Victims[:0]
	clear(planned.Departing)
	guarantees := in.Quota.HasGuarantees()
	machine.EachAllocation(func(allocation *fleet.Allocation) {
		if allocation.Departing() {
			addDeparting(planned, allocation)
		}
		switch {
		case !allocation.Live():
		case allocation.Stopping:
			if now-allocation.StopRequestedAt <= stopGrace {
				stopping = true
				addUsage(&planned.Stopping, allocation)
			}
		default:
			addRemaining(planned, allocation, guarantees)
		}
	})
	slices.SortStableFunc(planned.Victims, comparePreemptionCost)
	return stopping
}

// addUsage adds the resources that an attempt uses.
func addUsage(total *plan.Resources, allocation *fleet.Allocation) {
	total.Cores += allocation.Cores
	total.Accelerators += allocation.Accelerators
	total.RAM += allocation.RAM
}

// addRemaining adds a task that is not being stopped: to the replicas if it is one, and to the victims
// if it may be preempted.
func addRemaining(planned *plan.Machine, allocation *fleet.Allocation, guarantees bool) {
	job := jobs.Of(allocation)
	if job == nil {
		return
	}
	if job.IsService() {
		addUsage(&planned.Replicas, allocation)
	}
	if mayPreempt(job, allocation, guarantees) {
		planned.Victims = append(planned.Victims, newVictim(job, allocation))
	}
}

// addDeparting counts a task that is being stopped.
func addDeparting(planned *plan.Machine, allocation *fleet.Allocation) {
	job := jobs.Of(allocation)
	if job == nil {
		return
	}
	if planned.Departing == nil {
		planned.Departing = map[*plan.Job]int{}
	}
	planned.Departing[job.Plan]++
}

// mayPreempt reports whether a task may be offered to the planner as a victim. Replicas are preempted
// only for teams' guarantees.
func mayPreempt(job *jobs.Job, allocation *fleet.Allocation, guarantees bool) bool {
	switch {
	case job.Cancelled, job.IsGang(), job.IsService() && !guarantees:
		return false
	}
	return job.Tasks[allocation.Task.Index].Allocation == allocation
}

// newVictim describes a task to the planner as a victim.
func newVictim(job *jobs.Job, allocation *fleet.Allocation) plan.Victim {
	return plan.Victim{Task: plan.TaskID{Job: job.UID, Index: allocation.Task.Index}, Job: job.Plan, Priority: job.Priority,
		Resources:    plan.Resources{Cores: allocation.Cores, Accelerators: allocation.Accelerators, RAM: allocation.RAM},
		RunningSince: allocation.RunningSince, Replica: job.IsService()}
}

// comparePreemptionCost orders victims by increasing cost: replicas last, then by increasing priority,
// then by increasing progress, that is those not started first and the most recently started next.
func comparePreemptionCost(a, b plan.Victim) int {
	return cmp.Or(compareBool(a.Replica, b.Replica), cmp.Compare(a.Priority, b.Priority), cmp.Compare(startedAt(b), startedAt(a)))
}

// startedAt returns when a victim started to run; one that does not run yet counts as the latest.
func startedAt(victim plan.Victim) clock.Micros {
	if victim.RunningSince == 0 {
		return math.MaxInt64
	}
	return victim.RunningSince
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
