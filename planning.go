package cedardoor

import (
	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/plan"
	"cedardoor/planinput"
)

// runPlan makes a plan, if one is due, and applies it: it reserves resources for launches and moves, and
// stops tasks. Run commands are sent once the placements are recorded. The caller holds mu.
func (l *leader) runPlan(now clock.Micros) {
	changed := l.planInput.HasChanges() || l.jobs.Changed()
	l.planInput.RefreshChanged(func(machine *fleet.Machine) bool { return l.refreshMachine(machine, now) })
	round, due := l.planInput.Due(now, l.jobs.WaitingLen() > 0, changed)
	if !due {
		return
	}
	began := l.clock.Now()
	result := plan.Make(l.snapshot(now, round))
	l.jobs.SetChanged(false)
	unplaced := l.planInput.RecordResult(l.jobs, &result, now)
	for _, launch := range result.Launches {
		l.launch(launch, now)
	}
	for _, id := range result.Preemptions {
		l.preempt(id, now)
	}
	for _, move := range result.Moves {
		l.move(move, now)
	}
	for _, eviction := range result.Evictions {
		l.evict(eviction, now)
	}
	if round {
		l.repairRoundEnded(&result, l.clock.Now()-began)
	}
	l.metrics.SetWaitingTasks(unplaced)
}

// repairRoundEnded records and logs the results of a repair round.
func (l *leader) repairRoundEnded(result *plan.Result, took clock.Micros) {
	moves := len(result.Moves) + len(result.Evictions)
	l.metrics.ObserveRepairRound(took, result.Violations, moves)
	if result.Violations > 0 || moves > 0 {
		l.log.Info("repair round", "moves", moves, "deferred", result.Deferred, "violations", result.Violations)
	}
}

// snapshot prepares the snapshot of the cluster for a plan.
func (l *leader) snapshot(now clock.Micros, round bool) *plan.Snapshot {
	return l.planInput.Snapshot(planinput.SnapshotParams{Now: now, Wall: l.clock.Wall(), Seed: l.writer.NextSequence(), RepairRound: round, Jobs: l.jobs,
		AvoidFailures: l.attribution.FewMachinesFailed(),
		TrialTasks:    func(job *jobs.Job) []int { return l.trialTasks(job, now) }})
}

// refreshMachine re-evaluates the health of a machine that has changed and updates it in the snapshot,
// or forgets it if it is no longer part of the fleet. It reports whether the machine must be refreshed
// again even if no event changes it.
func (l *leader) refreshMachine(machine *fleet.Machine, now clock.Micros) (again bool) {
	if current := l.fleet.Machine(machine.Name); current != machine {
		if current == nil {
			l.planInput.Remove(machine.Name)
		}
		l.detector.Forget(machine)
		l.dispatcher.Forget(machine)
		l.attribution.Forget(machine)
		return false
	}
	if machine.SuspendedUntil > 0 && machine.SuspendedUntil <= now {
		l.attribution.EndSuspension(machine, now)
	}
	l.detector.EvaluateMachine(machine)
	return l.planInput.Refresh(machine, l.attribution.HasFailures(machine), now)
}

// launch reserves resources for a waiting task on a machine and marks the task as placed.
func (l *leader) launch(launch plan.Placement, now clock.Micros) {
	job := l.jobs.Get(launch.Task.Job)
	task := &job.Tasks[launch.Task.Index]
	allocation := l.reserve(job, launch.Task.Index, l.fleet.Machine(launch.Machine), now)
	if allocation == nil {
		return
	}
	job.LastPlacedAt = now
	job.Plan.PreemptionExempt = job.Plan.PreemptionExempt || job.Plan.Starved
	if job.Plan.OnTrial {
		job.Failures.TrialStarted(now)
	}
	if job.IsBestEffort() {
		l.planInput.BestEffortStarted()
	}
	task.State, task.Allocation, task.Attempt = jobs.TaskPlaced, allocation, allocation.Attempt
	l.writer.MarkPlaced(job, launch.Task.Index)
}

// preempt stops a task to free capacity for another.
func (l *leader) preempt(id plan.TaskID, now clock.Micros) {
	job := l.jobs.Get(id.Job)
	if allocation := job.Tasks[id.Index].Allocation; allocation != nil {
		l.log.Debug("task preempted", "task", allocation.Task.String(), "machine", allocation.Machine.Name)
		l.stopAttempt(job, allocation, now)
	}
}

// move reserves resources for a task on the target machine, and stops the task where it is.
func (l *leader) move(move plan.Move, now clock.Micros) {
	job := l.jobs.Get(move.Task.Job)
	task := &job.Tasks[move.Task.Index]
	target := l.reserve(job, move.Task.Index, l.fleet.Machine(move.To), now)
	if target == nil {
		return
	}
	task.MoveTarget = target
	l.log.Info("moving task", "task", task.Allocation.Task.String(), "from", move.From, "to", move.To, "reason", move.Reason)
	l.stopAttempt(job, task.Allocation, now)
}

// evict stops a task that can't be moved because its team is at its limit. It is placed again once its
// stop is confirmed.
func (l *leader) evict(eviction plan.Eviction, now clock.Micros) {
	job := l.jobs.Get(eviction.Task.Job)
	allocation := job.Tasks[eviction.Task.Index].Allocation
	l.log.Info("evicting task: its team's limit allows no second reservation", "task", allocation.Task.String(), "from", eviction.From, "reason", eviction.Reason)
	l.stopAttempt(job, allocation, now)
}

// reserve reserves resources for a task's next attempt on a machine. It returns nil if the ledger
// refuses the reservation: the ledger, not the plan, is authoritative for limits.
func (l *leader) reserve(job *jobs.Job, index int, machine *fleet.Machine, now clock.Micros) *fleet.Allocation {
	allocation := job.NewAllocation(index, job.Tasks[index].Attempt+1)
	allocation.Incarnation = machine.Incarnation
	if err := l.fleet.Reserve(machine, allocation, now); err != nil {
		l.log.Error("planned reservation exceeds the team's limit", "error", err)
		return nil
	}
	return allocation
}
