package autoscaler

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"cedardoor/clock"
	"cedardoor/cloud"
	"cedardoor/fleet"
	"cedardoor/jobs"
)

const (
	// stuckAfter is how long a job with waiting tasks must go without a placement to count as stuck.
	stuckAfter = 60 * clock.Second
	// waitingAfter is the same for keeping machines that have capacity for such a job.
	waitingAfter = 5 * clock.Second
	// maxStuck is the maximum number of stuck jobs to handle in a pass.
	maxStuck = 8
)

// machineKind identifies machines that may run the same work, and of which the cloud may have none
// available.
type machineKind struct {
	machineType, zone string
	preemptible       bool
}

// constraintKind identifies work that may run on the same machines.
type constraintKind struct {
	zone, machineTypes string
	preemptible        bool
	oversized          cloud.Load // size of the task if no existing machine is large enough, else zero
}

// newConstraint returns the requirements of one task of a job.
func newConstraint(job *jobs.Job) cloud.Constraint {
	spec := &job.Spec
	return cloud.Constraint{MachineTypes: spec.MachineTypes, Zone: spec.Zone, Preemptible: spec.Preemptible,
		Task: cloud.Load{Cores: spec.Cores, RAM: spec.RAM, Accelerators: spec.Accelerators}}
}

// ConstrainedWork lists the work that only some machines may run, for cloud.Resize. Work bound to a
// zone or to types is listed with all the cores that it needs at once. All other work is listed with
// one task, so that even a small amount of it gets a machine. Tasks too large for every existing
// machine are listed as a kind of their own.
func (a *Autoscaler) ConstrainedWork(v View, machines []cloud.Machine) []cloud.Constraint {
	kinds := map[machineKind]bool{}
	for i := range machines {
		if machine := &machines[i]; !machine.Lost {
			kinds[machineKind{machine.Type, machine.Zone, machine.Preemptible}] = true
		}
	}
	found := map[constraintKind]*cloud.Constraint{}
	for job := range v.Jobs.All() {
		unfinished := len(job.Tasks) - job.Done
		if job.Cancelled || job.CancellationPending || job.Failures.Failing() || unfinished == 0 {
			continue
		}
		if job.Running == 0 && !a.fitsTeamLimit(job) {
			continue // its team is at its limit, so a machine would not help
		}
		work := newConstraint(job)
		kind := constraintKind{zone: work.Zone, machineTypes: strings.Join(work.MachineTypes, " "), preemptible: work.Preemptible}
		if !a.anyAllows(kinds, &work) {
			kind.oversized = work.Task
		}
		if work.Zone != "" || work.MachineTypes != nil {
			work.Cores = a.concurrentTasks(job, unfinished) * job.Spec.Cores
		}
		merge(found, kind, &work)
	}
	return sortedConstraints(found)
}

// anyAllows reports whether a machine of any of the kinds may run the work.
func (a *Autoscaler) anyAllows(kinds map[machineKind]bool, work *cloud.Constraint) bool {
	for kind := range kinds {
		if machineType, known := a.Fleet.MachineType(kind.machineType); known && work.Allows(machineType, kind.zone, kind.preemptible) {
			return true
		}
	}
	return false
}

// concurrentTasks returns how many of a job's unfinished tasks should run at once.
func (a *Autoscaler) concurrentTasks(job *jobs.Job, unfinished int) float64 {
	tasks := float64(unfinished)
	if job.IsService() || job.IsGang() || !job.Spec.Preemptible {
		return tasks
	}
	runS := a.runTime(job).Seconds()
	drainS, _ := a.drainTimes(job, runS)
	return min(tasks, tasks*runS/drainS)
}

// merge adds work to the entry of its kind, whose Task is the one with the most cores.
func merge(found map[constraintKind]*cloud.Constraint, kind constraintKind, work *cloud.Constraint) {
	same := found[kind]
	if same == nil {
		found[kind] = work
		return
	}
	same.Cores += work.Cores
	if work.Task.Cores > same.Task.Cores {
		same.Task = work.Task
	}
}

// sortedConstraints lists the work in an order that does not depend on the order of the jobs.
func sortedConstraints(found map[constraintKind]*cloud.Constraint) []cloud.Constraint {
	sorted := make([]cloud.Constraint, 0, len(found))
	for _, work := range found {
		sorted = append(sorted, *work)
	}
	slices.SortFunc(sorted, func(a, b cloud.Constraint) int {
		if a.Preemptible != b.Preemptible {
			if a.Preemptible {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), slices.Compare(a.MachineTypes, b.MachineTypes), cmp.Compare(a.Task.Cores, b.Task.Cores),
			cmp.Compare(a.Task.RAM, b.Task.RAM), cmp.Compare(a.Task.Accelerators, b.Task.Accelerators))
	})
	return sorted
}

// stuckConstraints lists one task of each job with waiting tasks and no placement within the given time,
// although its team's limit allows one. For a job that must be spread or stay in one zone,
// the task is bound to the job's preferred zone. A gang, and a job of which no task has a zone yet and
// that must stay in one, are listed with all waiting tasks.
func (a *Autoscaler) stuckConstraints(v View, after clock.Micros) (stuck []cloud.Constraint) {
	var zones []string
	for _, machineType := range a.catalog.MachineTypes {
		zones = append(zones, machineType.Zones...)
	}
	for _, job := range a.oldestStuckJobs(v, after) {
		work := newConstraint(job)
		if work.Zone == "" && (job.Spec.SameZone || job.Spec.Spread) {
			work.Zone = job.PreferredZone(zones)
		}
		work.SameZone = job.Spec.SameZone && len(job.Plan.Zones) == 0
		if work.SameZone || job.IsGang() {
			work.Together = len(job.Waiting)
		}
		work.Avoid = avoided(job, v.Failures)
		stuck = append(stuck, work)
	}
	return stuck
}

// oldestStuckJobs lists up to maxStuck stuck jobs, the oldest first.
func (a *Autoscaler) oldestStuckJobs(v View, after clock.Micros) (stuck []*jobs.Job) {
	for job := range v.Jobs.Waiting() {
		since := max(job.SeenAt, v.RunningSince)
		if !job.Failures.OnTrial() { // placing a task on trial is not progress if it fails again
			since = max(since, job.LastPlacedAt)
		} else if after < stuckAfter {
			continue // it may be waiting for its next trial, not for capacity
		}
		if job.Cancelled || job.CancellationPending || job.Failures.Failing() || len(job.Waiting) == 0 || v.Now-since < after {
			continue
		}
		if !a.fitsTeamLimit(job) {
			continue
		}
		if i, _ := slices.BinarySearchFunc(stuck, job, jobs.CompareAge); i < maxStuck {
			stuck = slices.Insert(stuck[:min(len(stuck), maxStuck-1)], i, job)
		}
	}
	return stuck
}

// avoided returns the machines that a job's next task must not use.
func avoided(job *jobs.Job, failures Failures) map[string]bool {
	avoid := map[string]bool{}
	maps.Copy(avoid, job.Plan.Avoid)
	job.Failures.EachFailedMachine(func(machine string) { avoid[machine] = true })
	if job.Failures.OnTrial() && failures.FewMachinesFailed() {
		failures.EachMachineWithFailures(func(machine *fleet.Machine) { avoid[machine.Name] = true })
	}
	return avoid
}
