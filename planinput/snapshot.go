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
	// maxOfferedTasks is how many tasks of a job are offered to a plan, unless it is a gang.
	maxOfferedTasks = 400
	// StarvedAfter is how long a job may wait with no task started until its first one is launched
	// ahead of work of higher priority.
	StarvedAfter = 75 * clock.Second
	// entitlementInterval is how often entitlement is determined while no job changes.
	entitlementInterval = 1 * clock.Second
	// minReplicaAge is the minimum age at which a replica is moved off a cordoned machine: to its
	// users, a replica that runs for less than half a minute does not count as started.
	minReplicaAge = 40 * clock.Second
	// spreadCandidatesPerMove is how many replicas that share a machine a repair round lists as
	// candidates per allowed move. Few are enough, since spreading is gradual.
	spreadCandidatesPerMove = 4
	// rotationStride times the seed selects the machine at which a repair round begins.
	rotationStride = 97
)

// SnapshotParams are the inputs of a snapshot other than the machines.
type SnapshotParams struct {
	Now, Wall   clock.Micros
	Seed        uint64
	RepairRound bool // list the candidates for repair
	Jobs        *jobs.Table
	// AvoidFailures keeps jobs on trial off machines on which any task has failed.
	AvoidFailures bool
	// TrialTasks returns the tasks that a job on trial may start now.
	TrialTasks func(job *jobs.Job) (tasks []int)
}

// Snapshot prepares the snapshot for a plan: it lists the waiting tasks and, for a repair round, the
// candidates.
func (in *Input) Snapshot(params SnapshotParams) *plan.Snapshot {
	s := in.snapshot
	s.Seed, s.Now = params.Seed, params.Now
	s.MaxMoves = max(in.Operator.Repair.Restarts, int(float64(params.Jobs.Replicas())*in.Operator.Repair.RestartsShare))
	s.Waiting, s.Candidates = s.Waiting[:0], s.Candidates[:0]
	s.AvoidFailures = params.AvoidFailures
	in.markEntitled(params)
	bestEffort := in.bestEffortAllowance(params.Now)
	// The planner orders jobs without ties, so the order of the queue does not matter.
	for job := range params.Jobs.Waiting() {
		job.PruneWaiting()
		if job.Cancelled || len(job.Waiting) == 0 {
			params.Jobs.Dequeue(job)
			continue
		}
		if !job.CancellationPending {
			in.offer(params, job, bestEffort)
		}
	}
	if params.RepairRound {
		in.listCandidates()
	}
	return s
}

// offer adds the tasks of a job that may be placed now to the snapshot, and updates the job's progress.
func (in *Input) offer(params SnapshotParams, job *jobs.Job, bestEffort int) {
	planned, tasks := job.Plan, job.Waiting
	if planned.OnTrial = job.Failures.OnTrial(); planned.OnTrial {
		tasks = params.TrialTasks(job)
		planned.OnTrial = job.Failures.OnTrial()
	}
	limit := maxOfferedTasks
	if job.IsBestEffort() {
		if limit = min(maxOfferedTasks, bestEffort); limit <= 0 {
			return
		}
	}
	offered, replacement := in.offeredTasks(params, job, tasks, limit)
	if len(offered) == 0 {
		return
	}
	planned.Started, planned.Unfinished = job.Started, len(job.Tasks)-job.Done
	planned.MayStartPartially = !job.Started && clock.Micros(job.AcceptedUS)+StarvedAfter < params.Wall
	planned.Starved = planned.MayStartPartially && !job.IsService() && !planned.OnTrial
	planned.Slack = job.Slack(params.Wall)
	in.snapshot.Waiting = append(in.snapshot.Waiting, plan.Waiting{Job: planned, Indexes: offered, Replacement: replacement})
}

// offeredTasks returns those of the tasks that do not back off and cannot still run as orphans, up to
// the limit unless the job is a gang. It reports whether any of them ran before.
func (in *Input) offeredTasks(params SnapshotParams, job *jobs.Job, tasks []int, limit int) (offered []int, replacement bool) {
	orphans := in.Fleet.HasOrphans()
	offered = make([]int, 0, min(len(tasks), limit))
	for _, i := range tasks {
		if job.Tasks[i].NotBefore > params.Now || orphans && in.Fleet.MayRunAsOrphan(fleet.TaskID{Job: job.UID, Index: i}, params.Now) {
			continue
		}
		offered = append(offered, i)
		replacement = replacement || job.Tasks[i].HasRun
		if len(offered) >= limit && !job.IsGang() {
			break
		}
	}
	return offered, replacement
}

// markEntitled marks the jobs that fit into their team's guarantee together with the team's earlier
// jobs. While no job changes, it does so once per entitlementInterval; without guarantees, never.
func (in *Input) markEntitled(params SnapshotParams) {
	if !in.Quota.HasGuarantees() || params.Now-in.entitlementUpdatedAt < entitlementInterval && !params.Jobs.Changed() {
		return
	}
	in.entitlementUpdatedAt = params.Now
	var unfinished []*jobs.Job
	var demands []quota.Demand
	for _, job := range params.Jobs.Sorted() {
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

// listCandidates lists the candidates for repair: placed tasks on quarantined or cordoned machines, and
// replicas that share a machine. A repair round lists only some of the latter, and each round begins at
// another machine.
func (in *Input) listCandidates() {
	s := in.snapshot
	spreadBudget := spreadCandidatesPerMove * max(1, s.MaxMoves)
	machines := in.Fleet.Machines()
	if len(machines) > 0 {
		first := int(s.Seed*rotationStride) % len(machines)
		machines = slices.Concat(machines[first:], machines[:first])
	}
	for _, machine := range machines {
		machine.EachAllocation(func(allocation *fleet.Allocation) {
			job := jobs.Of(allocation)
			if job == nil || !mayMove(job, allocation) {
				return
			}
			reason := in.repairReason(job, allocation, spreadBudget > 0)
			if reason == "" {
				return
			}
			if reason == plan.ReasonSpread {
				spreadBudget--
			}
			s.Candidates = append(s.Candidates, plan.Candidate{Job: job.Plan, Index: allocation.Task.Index, Machine: machine.Name, Reason: reason})
		})
	}
}

// mayMove reports whether a task may be moved: it is neither stopping nor moving, nor part of a gang.
func mayMove(job *jobs.Job, allocation *fleet.Allocation) bool {
	if !allocation.Live() || allocation.Departing() || job.Cancelled || job.IsGang() {
		return false
	}
	task := &job.Tasks[allocation.Task.Index]
	return task.Allocation == allocation && task.MoveTarget == nil
}

// repairReason returns why a task is to be moved, or the empty string if it is not. Batch tasks without
// checkpoints may finish on a quarantined machine unless tasks fail on it: stopping them would lose the
// progress that repair is meant to protect. Replicas that share a machine are moved only if maySpread is set.
func (in *Input) repairReason(job *jobs.Job, allocation *fleet.Allocation, maySpread bool) string {
	machine := allocation.Machine
	switch {
	case machine.QuarantineReason != "" && (job.IsService() || allocation.Checkpoints || machine.QuarantineReason == fleet.QuarantineFailing):
		return plan.ReasonQuarantine
	case machine.Cordoned && job.IsService() && in.snapshot.Now-allocation.ReservedAt > minReplicaAge:
		return plan.ReasonDrain
	case job.IsService() && maySpread && in.shareMachine(job, machine):
		return plan.ReasonSpread
	}
	return ""
}

// shareMachine reports whether more than one task of a job is to remain on a machine.
func (in *Input) shareMachine(job *jobs.Job, machine *fleet.Machine) bool {
	if job.Plan.Machines[machine.Name] <= 1 {
		return false
	}
	planned := in.snapshot.Machine(machine.Name)
	return planned != nil && planned.Remaining(job.Plan) > 1
}
