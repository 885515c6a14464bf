package cedardoor

import (
	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/plan"
)

// runPlan makes a plan and books it. The caller holds mu.
func (l *leader) runPlan(now clock.Micros) {
	round := now >= l.planner.repairAt
	changed := len(l.planner.changedMachines) > 0 || l.jobs.changed
	for machine := range l.planner.changedMachines {
		if !l.refreshMachine(machine, now) {
			delete(l.planner.changedMachines, machine)
		}
	}
	if !round && (len(l.jobs.waiting) == 0 || !changed && now < l.planner.plannedAt+passInterval) {
		return // nothing waits, or nothing has changed since it found no room
	}
	if round {
		l.planner.repairAt = now + l.operator.Period()
	}
	l.planner.plannedAt = now
	began := l.clock.Now()
	res := plan.Make(l.planInput(now, round))
	l.jobs.changed = false
	l.reserveRoom(res.Reservations)
	l.planner.snapshot.StarvedTurns = res.StarvedTurns
	for _, launch := range res.Launches {
		job := l.jobs.byUID[launch.Task.Job]
		task := &job.tasks[launch.Task.Index]
		allocation := l.reserve(job, launch.Task.Index, l.fleet.Machine(launch.Machine), now)
		if allocation == nil {
			continue
		}
		task.attempt = allocation.Attempt
		job.lastPlacedAt = now
		job.preemptionExempt = job.preemptionExempt || job.planJob.Starved
		if job.planJob.OnTrial {
			l.trialStarted(job, now)
		}
		if job.bestEffort() {
			l.planner.bestEffortTokens--
		}
		task.state, task.allocation = taskPlaced, allocation
		if job.sharesRecord() && job.shared == nil && job.chunks[0].modRevision == 0 {
			l.joinShared(job)
		}
		job.markChanged(launch.Task.Index)
		l.writer.dirty[job.uid] = true
		delete(l.writer.pendingResults, job.uid)
	}
	for _, id := range res.Preemptions {
		job := l.jobs.byUID[id.Job]
		if allocation := job.tasks[id.Index].allocation; allocation != nil {
			l.log.Debug("preempted", "task", allocation.Task.String(), "host", allocation.Machine.Name)
			l.stopAttempt(job, allocation, now)
		}
	}
	for _, mv := range res.Moves {
		job := l.jobs.byUID[mv.Task.Job]
		task := &job.tasks[mv.Task.Index]
		t := l.reserve(job, mv.Task.Index, l.fleet.Machine(mv.To), now)
		if t == nil {
			continue
		}
		task.moveTarget = t
		l.log.Info("move", "task", task.allocation.Task.String(), "from", mv.From, "to", mv.To, "reason", mv.Reason)
		l.stopAttempt(job, task.allocation, now)
	}
	if round {
		l.metrics.Round(l.clock.Now()-began, res.Violations, len(res.Moves))
		if res.Violations > 0 || len(res.Moves) > 0 {
			l.log.Info("repair round", "moves", len(res.Moves), "deferred", res.Deferred, "violations", res.Violations)
		}
	}
	unplaced := 0
	for _, n := range res.Unplaced {
		unplaced += n
	}
	if unplaced > 0 && now-l.planner.noRoomLoggedAt > 10*clock.Second {
		l.planner.noRoomLoggedAt = now
		l.log.Info("tasks wait for room", "tasks", unplaced, "jobs", len(res.Unplaced))
	}
	l.metrics.Queue(unplaced)
}

// reserve books a task's next attempt on a machine; nil where the ledger refuses it,
// which knows better than the plan. The caller holds mu.
func (l *leader) reserve(job *Job, index int, machine *fleet.Machine, now clock.Micros) *fleet.Allocation {
	allocation := l.newAllocation(job, index, job.tasks[index].attempt+1)
	allocation.Incarnation = machine.Incarnation
	if err := l.fleet.Reserve(machine, allocation, now); err != nil {
		l.log.Error("the plan goes beyond a team's limit", "error", err)
		return nil
	}
	return allocation
}

// reserveRoom notes which machines' room is kept for jobs that have waited long. The
// caller holds mu.
func (l *leader) reserveRoom(holds map[string]string) {
	for name := range l.planner.reservedRoom {
		if holds[name] == "" {
			if machine := l.fleet.Machine(name); machine != nil {
				l.planner.changedMachines[machine] = true
			}
		}
	}
	for name, uid := range holds {
		if job := l.jobs.byUID[uid]; job != nil && job.planJob.ReservedMachine != name {
			job.planJob.ReservedMachine = name
			l.planner.changedMachines[l.fleet.Machine(name)] = true
			l.log.Info("room is kept for a job that has waited long", "job", uid, "host", name)
		}
	}
	l.planner.reservedRoom = holds
}

// stopAttempt stops an attempt, with time to save if it can. The caller holds mu.
func (l *leader) stopAttempt(job *Job, allocation *fleet.Allocation, now clock.Micros) {
	leeway := 0.0
	if allocation.Checkpoints {
		leeway = allocation.CheckpointGrace + 1
	}
	if l.fleet.Stop(allocation, leeway, now) {
		task := &job.tasks[allocation.Task.Index]
		l.attemptEnded(job, task, allocation, true, now)
		return
	}
	l.dispatcher.urgentMachines[allocation.Machine] = true
}
