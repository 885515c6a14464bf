package cedardoor

import (
	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
)

// stopGang stops the remaining tasks of a gang that lost one: they can't continue without it, and
// the gang is restarted as a whole.
func (l *leader) stopGang(job *jobs.Job, now clock.Micros) {
	for i := range job.Tasks {
		if allocation := job.Tasks[i].Allocation; allocation != nil && !allocation.Stopping {
			l.stopAttempt(job, allocation, now)
		}
	}
}

// stopAttempt stops an attempt, with a grace period for a checkpoint if it writes any. The period
// allows for an interruption of the machine that is too short to be noticed.
func (l *leader) stopAttempt(job *jobs.Job, allocation *fleet.Allocation, now clock.Micros) {
	grace := 0.0
	if allocation.Checkpoints {
		grace = allocation.CheckpointGrace + l.fleet.SilenceTimeout().Seconds()
	}
	l.stop(job, allocation, grace, now)
}

// stop stops an attempt with a grace period in seconds.
func (l *leader) stop(job *jobs.Job, allocation *fleet.Allocation, graceS float64, now clock.Micros) {
	if l.fleet.Stop(allocation, graceS, now) {
		l.attemptEnded(job, &job.Tasks[allocation.Task.Index], allocation, true, now)
		return
	}
	l.dispatcher.MarkUrgent(allocation.Machine)
}

// cancel stops all tasks of a job.
func (l *leader) cancel(job *jobs.Job, now clock.Micros) {
	if job.Cancelled {
		return
	}
	job.Cancelled = true
	job.Waiting = nil
	l.jobs.Dequeue(job)
	l.attribution.WithdrawFailures(job)
	if result := job.Record.PendingResult; result != nil {
		result.ResultDurable = true // the result is no longer needed
	}
	l.stopUnneeded(job, now)
	l.writer.MarkDirty(job.UID)
	l.log.Debug("job cancelled", "job", job.UID)
}

// hintCancelled stops the tasks of jobs that a node reports as cancelled or about to be. This is
// only a hint, and the state service is authoritative: the leader keeps the jobs, and restarts their
// tasks unless the next read of changes finds them cancelled. A stop is always safe, so it needs no
// lease.
func (l *leader) hintCancelled(uids []string) {
	l.mu.Lock()
	ctx, now, stopped := l.ctx, l.clock.Now(), false
	for _, uid := range uids {
		job := l.jobs.Get(uid)
		if job == nil || job.Cancelled || !l.loaded {
			continue
		}
		l.feed.CancellationHinted(job, now)
		stopped = l.stopUnneeded(job, now) || stopped
	}
	l.mu.Unlock()
	if stopped && ctx != nil {
		l.log.Debug("stopping tasks of jobs with a pending cancellation", "jobs", len(uids))
		l.dispatch(ctx)
	}
}

// stopUnneeded stops all tasks of a job whose user no longer needs their work: they get no time for a
// checkpoint, even if they are writing one. It reports whether it stopped any.
func (l *leader) stopUnneeded(job *jobs.Job, now clock.Micros) (stopped bool) {
	for i := range job.Tasks {
		task := &job.Tasks[i]
		l.dropMoveTarget(task, now)
		if allocation := task.Allocation; allocation != nil && !allocation.StoppingAtOnce() {
			stopped = true
			l.stop(job, allocation, 0, now)
		}
	}
	return stopped
}
