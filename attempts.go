package cedardoor

import (
	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/recovery"
	"cedardoor/wire"
)

func (l *leader) newAllocation(job *Job, index int, attempt uint64) *fleet.Allocation {
	spec := &job.spec
	return &fleet.Allocation{Owner: job, Task: fleet.TaskID{Job: job.uid, Index: index}, Attempt: attempt, Team: spec.Team, Cores: spec.Cores, Accelerators: spec.Accelerators, RAM: spec.RAM,
		Image: spec.Image, Priority: job.priority, Preemptible: spec.Preemptible, CheckpointGrace: spec.CheckpointGraceS, Checkpoints: spec.CheckpointIntervalS > 0, HeartbeatOnly: job.bestEffort()}
}

// cancel stops all tasks of a job. The caller holds mu.
func (l *leader) cancel(job *Job, now clock.Micros) {
	if job.cancelled {
		return
	}
	job.cancelled = true
	job.waiting = nil
	delete(l.jobs.waiting, job)
	l.withdrawFailures(job)
	if job.pendingResult != nil {
		job.pendingResult.ResultDurable = true // nobody has any use for it any more
	}
	for i := range job.tasks {
		task := &job.tasks[i]
		if task.moveTarget != nil {
			l.fleet.Remove(task.moveTarget, now)
			task.moveTarget = nil
		}
		if task.allocation == nil {
			continue
		}
		if l.fleet.Stop(task.allocation, 0, now) {
			clearAllocation(task)
		} else {
			l.dispatcher.urgentMachines[task.allocation.Machine] = true
		}
	}
	l.writer.dirty[job.uid] = true
	l.log.Debug("job cancelled", "job", job.uid)
}

// clearAllocation notes that a task's attempt is over. The caller holds mu.
func clearAllocation(task *Task) {
	task.allocation = nil
	task.state = taskWaiting
}

// applyEvents takes in what the fleet has learned. The caller holds mu.
func (l *leader) applyEvents(list []fleet.Event, now clock.Micros) {
	for _, n := range list {
		allocation := n.Allocation
		if n.Gone && allocation.Adopted {
			l.reconciliation.progress.Settle(allocation.Machine.Name, recovery.MachineGone, now)
		}
		job := l.jobs.byUID[allocation.Task.Job]
		if job == nil || allocation.Task.Index >= len(job.tasks) {
			allocation.ResultDurable = true
			continue
		}
		task := &job.tasks[allocation.Task.Index]
		if task.moveTarget == allocation {
			task.moveTarget = nil
			allocation.ResultDurable = true
			continue
		}
		if task.allocation != allocation {
			allocation.ResultDurable = true
			continue
		}
		if n.Started {
			task.hasRun = true
			job.started = true
			job.running++
			l.metrics.Start(now - job.seenAt)
			l.log.Debug("task started", "task", allocation.Task.String(), "class", job.spec.Class, "host", allocation.Machine.Name, "after", (now - job.seenAt).Seconds(),
				"placed", (allocation.ReservedAt - job.seenAt).Seconds(), "fetch", (now - allocation.ReservedAt).Seconds())
			continue
		}
		l.attemptEnded(job, task, allocation, n.Gone, now)
	}
}

// attemptEnded takes in the end of a task's attempt. The caller holds mu.
func (l *leader) attemptEnded(job *Job, task *Task, allocation *fleet.Allocation, gone bool, now clock.Micros) {
	clearAllocation(task)
	if allocation.RunningSince > 0 {
		job.running--
	}
	chunk := job.markChanged(allocation.Task.Index)
	if job.shared != nil && l.writer.openShared != job.shared && job.shared.modRevision > 0 {
		l.writer.staleShared[job.shared] = true
	}
	if job.cancelled {
		l.writer.dirty[job.uid] = true
		allocation.ResultDurable = true
		return
	}
	l.recordResultSoon(job, now)
	if job.shared != nil && allocation.Cause == wire.CauseDone && !gone {
		// Its row in the shared record does not hold the result: the end of the job does.
		job.pendingResult = allocation
	} else {
		chunk.endedAttempts = append(chunk.endedAttempts, allocation)
	}
	machine := allocation.Machine
	cause := allocation.Cause
	if gone {
		cause = "gone"
	}
	if cause == wire.CauseDone && !job.isService() {
		if task.moveTarget != nil {
			l.fleet.Remove(task.moveTarget, now)
			task.moveTarget = nil
		}
		task.state = taskDone
		job.done++
		if job.done == len(job.tasks) {
			l.writer.dirty[job.uid] = true
		}
		if l.attribution.byMachine[machine] != nil {
			delete(l.attribution.byMachine, machine)
			l.planner.changedMachines[machine] = true
		}
		if job.failures.onTrial() {
			l.clearJob(job, now)
		}
		job.failures.succeeded = true
		// The start of an adopted attempt was not seen: it would look short, and
		// every other machine slow beside it.
		if allocation.RunningSince > 0 && !allocation.Adopted {
			l.recordRunTime(job, machine, now-allocation.RunningSince)
		}
		return
	}
	l.log.Debug("task ended", "task", allocation.Task.String(), "attempt", allocation.Attempt, "cause", cause, "host", machine.Name, "halt", allocation.Stopping)
	switch cause {
	case wire.CauseError:
		ran := clock.Micros(0)
		if allocation.RunningSince > 0 {
			ran = now - allocation.RunningSince
		}
		l.attemptFailed(job, task, machine, ran, now)
	case wire.CauseFull, wire.CauseInUse, wire.CauseAlone:
		task.notBefore = now + clock.Second
	case wire.CauseNoSuch:
		task.failures++
		task.notBefore = now + backoff(task.failures)
	}
	if t := task.moveTarget; t != nil {
		// The source's stop is confirmed: the room booked at the target is taken up.
		task.moveTarget = nil
		if !t.Ended && t.Incarnation == t.Machine.Incarnation && t.Machine.QuarantineReason == "" {
			task.state, task.allocation, task.attempt = taskPlaced, t, t.Attempt
			l.writer.dirty[job.uid] = true
			return
		}
		l.fleet.Remove(t, now)
	}
	l.enqueue(job, allocation.Task.Index)
	if job.isGang() {
		// Without this task the others cannot go on: they stop now, and the group
		// is started again whole.
		for i := range job.tasks {
			if o := job.tasks[i].allocation; o != nil && !o.Stopping {
				l.stopAttempt(job, o, now)
			}
		}
	}
}

// backoff is how long to wait after the n-th failure in a row.
func backoff(n int) clock.Micros {
	return min(60*clock.Second, clock.Second<<min(n, 6))
}

// recordRunTime compares a task's run time with its job's others, to find slow machines.
func (l *leader) recordRunTime(job *Job, machine *fleet.Machine, took clock.Micros) {
	if job.runTimes.count >= 3 && job.runTimes.mean() > 0 {
		ratio := float64(took) / float64(job.runTimes.mean())
		machine.Slowness += (ratio - machine.Slowness) / float64(min(machine.SlownessSamples+2, 6))
		machine.SlownessSamples++
		l.planner.changedMachines[machine] = true
	}
	job.runTimes.count++
	job.runTimes.total += took
	// The last few dozen count: classes change over a day.
	stat := l.autoscaler.classRuns[job.spec.Class]
	if stat.count >= 100 {
		stat = runTimeStat{count: 50, total: 50 * stat.mean()}
	}
	stat.count++
	stat.total += took
	l.autoscaler.classRuns[job.spec.Class] = stat
}
