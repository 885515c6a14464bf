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

// stopGrace is how long the room of a task that was told to stop is waited for: one that does not
// obey leaves room that may be long in coming.
const stopGrace = 3 * clock.Second

// Remove takes a machine out of the snapshot that is no longer known.
func (in *Input) Remove(name string) {
	if in.snapshot.Machine(name) != nil {
		in.snapshot.Remove(name)
	}
}

// Refresh brings the snapshot up to date with a machine, on which tasks may have failed. It tells
// whether the machine has to be looked at again though nothing changes.
func (in *Input) Refresh(machine *fleet.Machine, hasFailures bool, now clock.Micros) (again bool) {
	planned := in.snapshot.Machine(machine.Name)
	if planned == nil {
		planned = &plan.Machine{Name: machine.Name, Images: map[string]plan.ImageState{}}
	}
	planned.Type, planned.Zone, planned.Preemptible = machine.Type, machine.Zone, machine.Preemptible
	planned.Free.Cores, planned.Free.Accelerators, planned.Free.RAM = machine.Free()
	planned.Usable, planned.QuarantineReason, planned.Cordoned = machine.Usable(now), string(machine.QuarantineReason), machine.Cordoned
	planned.ReservedFor = in.reservedRoom[machine.Name]
	planned.HasFailures = hasFailures
	if machineType, known := in.Fleet.MachineType(machine.Type); known {
		planned.FetchGBs = machineType.FetchGBs
	}
	refreshImages(planned, machine)
	stopping := in.refreshTasks(planned, machine, now)
	in.snapshot.Put(planned)
	return stopping || machine.SuspendedUntil > now
}

// refreshImages brings a machine's images up to date.
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

// refreshTasks brings up to date which of a machine's tasks may be preempted, and the room that
// stops under way will free. It tells whether there are such stops.
func (in *Input) refreshTasks(planned *plan.Machine, machine *fleet.Machine, now clock.Micros) (stopping bool) {
	planned.Stopping = plan.Resources{}
	planned.Victims = planned.Victims[:0]
	guarantees := in.Quota.HasGuarantees()
	machine.EachAllocation(func(allocation *fleet.Allocation) {
		switch {
		case !allocation.Live():
		case allocation.Stopping:
			if now-allocation.StopRequestedAt <= stopGrace {
				stopping = true
				planned.Stopping.Cores += allocation.Cores
				planned.Stopping.Accelerators += allocation.Accelerators
				planned.Stopping.RAM += allocation.RAM
			}
		default:
			if job := jobs.Of(allocation); job != nil && mayPreempt(job, allocation, guarantees) {
				planned.Victims = append(planned.Victims, newVictim(job, allocation))
			}
		}
	})
	slices.SortStableFunc(planned.Victims, comparePreemptionCost)
	return stopping
}

// mayPreempt tells whether a task may be stopped to make room for another. Replicas make way only
// for what teams are guaranteed.
func mayPreempt(job *jobs.Job, allocation *fleet.Allocation, guarantees bool) bool {
	switch {
	case job.Cancelled, job.IsGang(), job.IsService() && !guarantees:
		return false
	case job.PreemptionExempt && len(job.Tasks)-job.Done-len(job.Waiting) <= plan.StarvedTasks:
		return false
	}
	return job.Tasks[allocation.Task.Index].Allocation == allocation
}

// newVictim is a task as the planner weighs it.
func newVictim(job *jobs.Job, allocation *fleet.Allocation) plan.Victim {
	return plan.Victim{Task: plan.TaskID{Job: job.UID, Index: allocation.Task.Index}, Job: job.Plan, Priority: job.Priority,
		Resources:    plan.Resources{Cores: allocation.Cores, Accelerators: allocation.Accelerators, RAM: allocation.RAM},
		RunningSince: allocation.RunningSince, Replica: job.IsService()}
}

// comparePreemptionCost puts the least progress first: not begun, then begun last. Replicas come
// after all else.
func comparePreemptionCost(a, b plan.Victim) int {
	return cmp.Or(compareBool(a.Replica, b.Replica), cmp.Compare(a.Priority, b.Priority), cmp.Compare(startedAt(b), startedAt(a)))
}

// startedAt is since when a victim runs; one that does not run yet counts as begun last.
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
