package planinput

import (
	"slices"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/plan"
	"cedardoor/quota"
)

const (
	// maxOffered is how many tasks of one job are offered to one plan.
	maxOffered = 400
	// StarvedAfter is how long a job may wait with no task begun before its first one goes before
	// work of higher priority.
	StarvedAfter = 75 * clock.Second
	// entitlementInterval is how far apart jobs are set against their teams' guarantees.
	entitlementInterval = 1 * clock.Second
	// minReplicaAge is how long a replica is left alone after its start: a start that is undone
	// within half a minute is none to its users.
	minReplicaAge = 40 * clock.Second
	// sharingPerMove is how many replicas that share a machine are looked at for each move of a
	// round: spreading goes slowly.
	sharingPerMove = 4
	// rotation spreads the machines at which rounds begin.
	rotation = 97
)

// View is what a snapshot is made of besides the machines.
type View struct {
	Now, Wall clock.Micros
	Seed      uint64
	Round     bool // a repair round: tasks on offending machines or in broken rules are listed
	Jobs      *jobs.Table
	// AvoidFailures: jobs on trial keep away from machines on which anything has failed.
	AvoidFailures bool
	// Trial gives the tasks that a job on trial may try now.
	Trial func(job *jobs.Job) (tasks []int)
}

// Snapshot readies the snapshot for a plan: it lists the tasks that wait.
func (in *Input) Snapshot(v View) *plan.Snapshot {
	s := in.snapshot
	s.Seed, s.Now = v.Seed, v.Now
	s.MaxMoves = max(in.Operator.Repair.Restarts, int(float64(v.Jobs.Replicas())*in.Operator.Repair.Share))
	s.Waiting, s.Candidates = s.Waiting[:0], s.Candidates[:0]
	s.AvoidFailures = v.AvoidFailures
	in.markEntitled(v)
	bestEffort := in.bestEffortAllowance(v.Now)
	// The planner's order has no ties, so that of the queue does not matter.
	for job := range v.Jobs.Waiting() {
		job.PruneWaiting()
		if job.Cancelled || len(job.Waiting) == 0 {
			v.Jobs.Dequeue(job)
			continue
		}
		if !job.CancellationPending {
			in.offer(v, job, bestEffort)
		}
	}
	if v.Round {
		in.listCandidates()
	}
	return s
}

// offer lists the tasks of a job that may be placed now.
func (in *Input) offer(v View, job *jobs.Job, bestEffort int) {
	planned, tasks := job.Plan, job.Waiting
	if planned.OnTrial = job.Failures.OnTrial(); planned.OnTrial {
		tasks = v.Trial(job)
		planned.OnTrial = job.Failures.OnTrial()
	}
	most := maxOffered
	if job.IsBestEffort() {
		if most = min(maxOffered, bestEffort); most <= 0 {
			return
		}
	}
	offered, replacement := in.offeredTasks(v, job, tasks, most)
	if len(offered) == 0 {
		return
	}
	planned.Started, planned.Unfinished = job.Started, len(job.Tasks)-job.Done
	planned.StartsPartially = !job.Started && clock.Micros(job.AcceptedUS)+StarvedAfter < v.Wall
	planned.Starved = planned.StartsPartially && !job.IsService() && !planned.OnTrial
	planned.Slack = job.Slack(v.Wall)
	in.snapshot.Waiting = append(in.snapshot.Waiting, plan.Waiting{Job: planned, Indexes: offered, Replacement: replacement})
}

// offeredTasks lists those of the tasks that need not back off and may not run somewhere, at most
// so many unless they run only all together. It tells whether any of them ran before.
func (in *Input) offeredTasks(v View, job *jobs.Job, tasks []int, most int) (offered []int, replacement bool) {
	orphans := in.Fleet.HasOrphans()
	offered = make([]int, 0, min(len(tasks), most))
	for _, i := range tasks {
		if job.Tasks[i].NotBefore > v.Now || orphans && in.Fleet.MayRunAsOrphan(fleet.TaskID{Job: job.UID, Index: i}, v.Now) {
			continue
		}
		offered = append(offered, i)
		replacement = replacement || job.Tasks[i].HasRun
		if len(offered) >= most && !job.IsGang() {
			break
		}
	}
	return offered, replacement
}

// markEntitled marks the jobs that fit into their team's guarantee together with the team's
// earlier ones, where there are guarantees at all, now and then.
func (in *Input) markEntitled(v View) {
	if !in.Quota.HasGuarantees() || v.Now-in.entitledAt < entitlementInterval && !v.Jobs.Changed() {
		return
	}
	in.entitledAt = v.Now
	var unfinished []*jobs.Job
	var demands []quota.Demand
	for _, job := range v.Jobs.Sorted() {
		if job.Cancelled {
			continue
		}
		unfinished = append(unfinished, job)
		demands = append(demands, quota.Demand{Team: job.Spec.Team, Amount: job.TaskAmount().Times(len(job.Tasks) - job.Done)})
	}
	for i, entitled := range in.Quota.Entitled(demands) {
		unfinished[i].Plan.Entitled = entitled
	}
}

// listCandidates lists the placed tasks on offending machines or in broken rules. Only some of the
// replicas that share a machine are looked at in a round, beginning elsewhere each time.
func (in *Input) listCandidates() {
	s := in.snapshot
	sharing := sharingPerMove * max(1, s.MaxMoves)
	machines := in.Fleet.Machines()
	if len(machines) > 0 {
		first := int(s.Seed*rotation) % len(machines)
		machines = slices.Concat(machines[first:], machines[:first])
	}
	for _, machine := range machines {
		machine.EachAllocation(func(allocation *fleet.Allocation) {
			job := jobs.Of(allocation)
			if job == nil || !mayMove(job, allocation) {
				return
			}
			reason := repairReason(job, allocation, s.Now, sharing > 0)
			if reason == "" {
				return
			}
			if reason == plan.ReasonSpread {
				sharing--
			}
			s.Candidates = append(s.Candidates, plan.Candidate{Job: job.Plan, Index: allocation.Task.Index, Machine: machine.Name, Reason: reason})
		})
	}
}

// mayMove tells whether a task is where it is to stay, and may be moved.
func mayMove(job *jobs.Job, allocation *fleet.Allocation) bool {
	if !allocation.Live() || allocation.Stopping || job.Cancelled || job.IsGang() {
		return false
	}
	task := &job.Tasks[allocation.Task.Index]
	return task.Allocation == allocation && task.MoveTarget == nil
}

// repairReason tells why a task is to be moved; empty where it is not. Batch tasks that could not
// save are left to finish on a machine that still works: stopping them would lose what repair is
// meant to protect.
func repairReason(job *jobs.Job, allocation *fleet.Allocation, now clock.Micros, maySpread bool) string {
	machine := allocation.Machine
	switch {
	case machine.QuarantineReason != "" && (job.IsService() || allocation.Checkpoints || machine.QuarantineReason == fleet.QuarantineFailing):
		return plan.ReasonQuarantine
	case machine.Cordoned && job.IsService() && now-allocation.ReservedAt > minReplicaAge:
		return plan.ReasonDrain
	case job.IsService() && job.Plan.Machines[machine.Name] > 1 && maySpread:
		return plan.ReasonSpread
	}
	return ""
}
