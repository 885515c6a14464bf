package cedardoor

import (
	"cedardoor/attribution"
	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/wire"
)

const (
	// refusedDelay is the retry delay of a task that its machine had no capacity for.
	refusedDelay = 1 * clock.Second
	// failureDelay is added to a task's retry delay with each failure.
	failureDelay = 200 * clock.Millisecond
	// maxFailureDelays caps the retry delay, in multiples of failureDelay.
	maxFailureDelays = 25
	// maxBackoff caps the exponential backoff of a task that fails wherever it runs.
	maxBackoff = 60 * clock.Second
	// maxBackoffDoublings is how often the backoff doubles before it reaches the cap.
	maxBackoffDoublings = 6
	// minRunTimes is how many run times a job must have before others are compared with their mean.
	minRunTimes = 3
	// causeGone is the logged cause of an attempt that is gone without a result.
	causeGone wire.Cause = "gone"
	// slownessSamples is the number of tasks over which a machine's slowness is averaged.
	slownessSamples = 6
)

// backoff returns the retry delay after a number of consecutive failures.
func backoff(failures int) clock.Micros {
	return min(maxBackoff, clock.Second<<min(failures, maxBackoffDoublings))
}

// applyEvents updates the jobs with the starts and ends of attempts that the fleet has detected.
func (l *leader) applyEvents(events []fleet.Event, now clock.Micros) {
	for _, event := range events {
		allocation := event.Allocation
		if event.Gone && allocation.Adopted {
			l.reconciler.MachineGone(allocation.Machine, now)
		}
		job := l.jobs.Get(allocation.Task.Job)
		if job == nil || allocation.Task.Index >= len(job.Tasks) {
			allocation.ResultDurable = true
			continue
		}
		task := &job.Tasks[allocation.Task.Index]
		switch {
		case task.MoveTarget == allocation:
			task.MoveTarget = nil
			allocation.ResultDurable = true
		case task.Allocation != allocation:
			allocation.ResultDurable = true
		case event.Started:
			l.attemptStarted(job, task, allocation, now)
		default:
			l.attemptEnded(job, task, allocation, event.Gone, now)
		}
	}
}

// attemptStarted handles the first report that shows a task's attempt running.
func (l *leader) attemptStarted(job *jobs.Job, task *jobs.Task, allocation *fleet.Allocation, now clock.Micros) {
	task.HasRun = true
	job.Started = true
	job.Running++
	l.metrics.ObserveTaskStart(now - job.SeenAt)
	l.log.Debug("task started", "task", allocation.Task.String(), "class", job.Spec.Class, "machine", allocation.Machine.Name,
		"wait_s", (now - job.SeenAt).Seconds(), "placement_s", (allocation.ReservedAt - job.SeenAt).Seconds(),
		"fetch_s", (now - allocation.ReservedAt).Seconds())
}

// attemptEnded handles the end of a task's attempt. If gone is set, the attempt has left no result
// and its cause is not used.
func (l *leader) attemptEnded(job *jobs.Job, task *jobs.Task, allocation *fleet.Allocation, gone bool, now clock.Micros) {
	task.ClearAllocation()
	if allocation.RunningSince > 0 {
		job.Running--
	}
	chunk := l.writer.AttemptEnded(job, allocation.Task.Index)
	if job.Cancelled {
		l.writer.MarkDirty(job.UID)
		allocation.ResultDurable = true
		return
	}
	l.writer.MarkResult(job, now)
	done := allocation.Cause == wire.CauseDone && !gone
	if job.Record.Shared != nil && done {
		// The row in the shared record has no result: the job's final record holds it.
		job.Record.PendingResult = allocation
	} else {
		chunk.EndedAttempts = append(chunk.EndedAttempts, allocation)
	}
	if done && !job.IsService() {
		l.taskDone(job, task, allocation, now)
		return
	}
	l.attemptUnfinished(job, task, allocation, gone, now)
	if l.takeMoveTarget(job, task, now) {
		return
	}
	l.jobs.EnqueueTask(job, allocation.Task.Index)
	if job.IsGang() {
		l.stopGang(job, now)
	}
}

// taskDone handles the successful completion of a task.
func (l *leader) taskDone(job *jobs.Job, task *jobs.Task, allocation *fleet.Allocation, now clock.Micros) {
	l.dropMoveTarget(task, now)
	task.State = jobs.TaskDone
	job.Done++
	if job.Done == len(job.Tasks) {
		l.writer.MarkDirty(job.UID)
	}
	l.applyOutcome(job, l.attribution.TaskDone(job, allocation.Machine, now))
	// The start of an adopted attempt was not observed, so its run time would be too short and
	// make every other machine look slow.
	if allocation.RunningSince > 0 && !allocation.Adopted {
		l.recordRunTime(job, allocation.Machine, now-allocation.RunningSince)
	}
}

// recordRunTime compares a task's run time with the mean of its job to detect slow machines.
func (l *leader) recordRunTime(job *jobs.Job, machine *fleet.Machine, took clock.Micros) {
	if job.RunTimes.Count >= minRunTimes && job.RunTimes.Mean() > 0 {
		ratio := float64(took) / float64(job.RunTimes.Mean())
		machine.Slowness += (ratio - machine.Slowness) / float64(min(machine.SlownessSamples+2, slownessSamples))
		machine.SlownessSamples++
		l.fleet.MachineChanged(machine)
	}
	job.RunTimes.Add(took)
	l.autoscaler.TaskDone(job.Spec.Class, took)
}

// attemptUnfinished handles the cause of an attempt that ended before its task was done.
func (l *leader) attemptUnfinished(job *jobs.Job, task *jobs.Task, allocation *fleet.Allocation, gone bool, now clock.Micros) {
	cause := allocation.Cause
	if gone {
		cause = causeGone
	}
	l.log.Debug("task ended", "task", allocation.Task.String(), "attempt", allocation.Attempt, "cause", cause,
		"machine", allocation.Machine.Name, "stopping", allocation.Stopping)
	switch cause {
	case wire.CauseError:
		ran := clock.Micros(0)
		if allocation.RunningSince > 0 {
			ran = now - allocation.RunningSince
		}
		l.attemptFailed(job, task, allocation.Machine, ran, now)
	case wire.CauseFull, wire.CauseInUse, wire.CauseAlone:
		task.NotBefore = now + refusedDelay
	case wire.CauseNoSuch:
		task.Failures++
		task.NotBefore = now + backoff(task.Failures)
	}
}

// attemptFailed handles the failure of a task that ran on a machine for the given time.
func (l *leader) attemptFailed(job *jobs.Job, task *jobs.Task, machine *fleet.Machine, ran, now clock.Micros) {
	task.Failures++
	task.NotBefore = now + failureDelay*clock.Micros(min(task.Failures, maxFailureDelays))
	failure := attribution.Failure{Machine: machine, RunTime: ran, TaskFailures: task.Failures, RetryAt: task.NotBefore}
	outcome, persistent := l.attribution.TaskFailed(job, failure, now)
	if persistent {
		task.NotBefore = now + backoff(task.Failures)
	}
	l.applyOutcome(job, outcome)
}

// applyOutcome acts on a new assessment of a job's failures.
func (l *leader) applyOutcome(job *jobs.Job, outcome attribution.Outcome) {
	switch outcome {
	case attribution.JobFailing:
		l.autoscaler.JobFailing(job)
	case attribution.JobCleared:
		if len(job.Waiting) > 0 {
			l.jobs.Enqueue(job)
			l.jobs.SetChanged(true)
		}
	case attribution.Unchanged:
	}
}

// trialTasks returns the waiting tasks of a job that may be placed now. A job on trial may try one
// task (a gang all of them), on a machine that it has not failed on, when its next trial is due and
// its earlier trials have ended or have run for a while.
func (l *leader) trialTasks(job *jobs.Job, now clock.Micros) []int {
	l.applyOutcome(job, l.attribution.Evaluate(job, now))
	if !job.Failures.OnTrial() {
		return job.Waiting
	}
	if !job.Failures.MayStartTrial(now, len(job.Tasks)-job.Done-len(job.Waiting)) {
		return nil
	}
	if job.IsGang() {
		return job.Waiting
	}
	for _, i := range job.Waiting {
		if job.Tasks[i].NotBefore <= now {
			return []int{i}
		}
	}
	return nil
}

// dropMoveTarget releases the reservation on the machine that a task was to move to.
func (l *leader) dropMoveTarget(task *jobs.Task, now clock.Micros) {
	if task.MoveTarget != nil {
		l.fleet.Remove(task.MoveTarget, now)
		task.MoveTarget = nil
	}
}

// takeMoveTarget places a task that has left its old machine on the one reserved for its move. It
// returns false if none is reserved or the reservation can no longer be used.
func (l *leader) takeMoveTarget(job *jobs.Job, task *jobs.Task, now clock.Micros) bool {
	target := task.MoveTarget
	if target == nil {
		return false
	}
	task.MoveTarget = nil
	if target.Ended || target.Incarnation != target.Machine.Incarnation || target.Machine.QuarantineReason != "" {
		l.fleet.Remove(target, now)
		return false
	}
	task.State, task.Allocation, task.Attempt = jobs.TaskPlaced, target, target.Attempt
	l.writer.MarkDirty(job.UID)
	return true
}
