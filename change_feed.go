package cedardoor

import (
	"context"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/store"
	"cedardoor/wire"
)

// What the leader knows of the changes of jobs that other nodes make. It follows
// them by a watch, which waits without a word when the state service refuses
// this node: then jobs may be cancelled that it goes on running. So it keeps
// until when it surely knew everything. Others attest an outage only if they can
// name what was cancelled since, and after any spell without the service no run
// goes out before the changes of that spell have been read.

// changeFeed is how fresh the leader's knowledge of the changes of jobs is.
type changeFeed struct {
	knownRevision      uint64             // all changes up to it are known, as of a time when nobody else could lead
	syncedInterruption uint64             // the interruption after which changes were last read
	processPauses      uint64             // times at which this process had paused
	readAt             clock.Micros       // when the last read of changes that was answered began
	leaseHeldSince     clock.Micros       // since when the leader's lease has been held without a break
	stopWatch          context.CancelFunc // ends the watch that waits, nil when none does
	// cancellationPending are the jobs that are said to be cancelled, and when that was heard.
	cancellationPending map[*Job]clock.Micros
}

func newChangeFeed() changeFeed {
	return changeFeed{cancellationPending: map[*Job]clock.Micros{}}
}

// watchTimeout is how long a watch of the jobs waits at most.
const watchTimeout = 10 * clock.Second

// interruptions numbers the spells in which changes may have been missed: the service
// failed this node, its lease may have lapsed, or the process stood still.
func (l *leader) interruptions() uint64 {
	return l.store.Interruptions() + l.elector.LeaseInterruptions() + l.feed.processPauses
}

// synced tells whether the changes of the last spell have been read. The
// caller holds mu.
func (l *leader) synced() bool { return l.feed.syncedInterruption == l.interruptions() }

// commandScope is what may be told to workers right now. The caller holds mu.
func (l *leader) commandScope() fleet.Scope {
	if _, may := l.elector.HoldsLease(); !may {
		return fleet.StopsOnly
	}
	if !l.synced() {
		return fleet.NoRuns
	}
	return fleet.AllCommands
}

// syncedRevision is the epoch up to which this leader knows the changes of jobs.
func (l *leader) syncedRevision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.feed.knownRevision
}

// changesRead notes that all changes of jobs up to an epoch are known, by a read that
// began after the given spell, under the lease or not. The epoch counts only if the
// lease stands still: then no successor's change can be among them, and none of a
// process of another node that came after a successor there. The caller holds mu.
func (l *leader) changesRead(epoch uint64, began clock.Micros, spell uint64, held bool) {
	l.feed.readAt = max(l.feed.readAt, began)
	if _, still := l.elector.HoldsLease(); still {
		l.feed.knownRevision = max(l.feed.knownRevision, epoch)
	}
	if held {
		l.feed.syncedInterruption = max(l.feed.syncedInterruption, spell)
	}
	for job, at := range l.feed.cancellationPending {
		if at < began || job.cancelled {
			// Cancelled, or it was not true.
			job.cancellationPending = false
			l.jobs.changed = true
			delete(l.feed.cancellationPending, job)
		}
	}
}

// watchJobs follows the job records: other nodes accept and cancel jobs there.
func (l *leader) watchJobs(ctx context.Context, since uint64) {
	for ctx.Err() == nil {
		err := l.readChanges(ctx, &since)
		if err == nil || ctx.Err() != nil {
			continue
		}
		l.log.Debug("watch jobs", "error", err)
		if err := l.resync(ctx, &since); err != nil && ctx.Err() == nil {
			l.log.Debug("read jobs again", "error", err)
			l.sleep(ctx, 500*clock.Millisecond)
		}
	}
}

// readChanges reads the changes of jobs after an epoch: at once after a spell in
// which some may have been missed, else when there are any.
func (l *leader) readChanges(ctx context.Context, since *uint64) error {
	wctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, held := l.elector.HoldsLease()
	l.mu.Lock()
	began, spell := l.clock.Now(), l.interruptions()
	behind := held && l.feed.syncedInterruption != spell
	if !behind {
		l.feed.stopWatch = cancel
	}
	l.mu.Unlock()
	var ch wire.WatchResponse
	var err error
	if behind {
		ch, err = l.store.ChangesSince(wctx, store.PrefixJob, *since)
	} else {
		ch, err = l.store.Watch(wctx, store.PrefixJob, *since, min(watchTimeout, l.maxUnsynced()/3))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.feed.stopWatch = nil
	if err != nil {
		if wctx.Err() != nil && ctx.Err() == nil {
			return nil // it was ended to read at once
		}
		return err
	}
	now := l.clock.Now()
	*since = max(*since, ch.Revision)
	for _, event := range ch.Events {
		if event.Set != "" {
			if err := l.addJob(event.Set, event.Value, event.ModRevision, now); err != nil {
				l.log.Error("job record ignored", "error", err)
			}
		} else if job := l.jobs.byUID[event.Delete[min(len(store.PrefixJob), len(event.Delete)):]]; job != nil {
			// Only this leader calls a job done, and it drops the job itself when
			// it does; so this is a cancel accepted somewhere.
			l.cancel(job, now)
		}
	}
	l.changesRead(ch.Revision, began, spell, held)
	if len(ch.Events) > 0 || behind {
		l.wake()
	}
	return nil
}

// resync reads all job records again, after a watch that broke or was too old.
func (l *leader) resync(ctx context.Context, since *uint64) error {
	_, held := l.elector.HoldsLease()
	l.mu.Lock()
	began, spell := l.clock.Now(), l.interruptions()
	l.mu.Unlock()
	rows, epoch, err := l.store.List(ctx, store.Urgent, store.PrefixJob)
	if err != nil {
		return err
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	there := make(map[string]bool, len(rows))
	for _, row := range rows {
		there[row.Key] = true
		if err := l.addJob(row.Key, row.Value, row.ModRevision, now); err != nil {
			l.log.Error("job record ignored", "error", err)
		}
	}
	for uid, job := range l.jobs.byUID {
		if !there[store.JobKey(uid)] && job.modRevision <= epoch {
			l.cancel(job, now)
		}
	}
	*since = epoch
	l.changesRead(epoch, began, spell, held)
	l.wake()
	return nil
}

// hintCancelled stops the tasks of jobs that are said to be cancelled, or about to be.
// That is a hint, the truth is in the state service: the jobs stay on the books,
// and go on if the next read of changes does not find them cancelled. A stop
// breaks no rule, so it needs no lease.
func (l *leader) hintCancelled(uids []string) {
	l.mu.Lock()
	ctx, now, told := l.ctx, l.clock.Now(), false
	for _, uid := range uids {
		job := l.jobs.byUID[uid]
		if job == nil || job.cancelled || !l.loaded {
			continue
		}
		job.cancellationPending = true
		l.feed.cancellationPending[job] = now
		for i := range job.tasks {
			task := &job.tasks[i]
			if task.moveTarget != nil {
				l.fleet.Remove(task.moveTarget, now)
				task.moveTarget = nil
			}
			if allocation := task.allocation; allocation != nil && !allocation.Stopping {
				told = true
				// Nobody has any use for what it does after this: no time to save.
				if l.fleet.Stop(allocation, 0, now) {
					l.attemptEnded(job, task, allocation, true, now)
				} else {
					l.dispatcher.urgentMachines[allocation.Machine] = true
				}
			}
		}
	}
	l.mu.Unlock()
	if told && ctx != nil {
		l.log.Debug("tasks are called off", "jobs", len(uids))
		l.dispatch(ctx)
	}
}

// maxUnsynced is how long a leader may go on that can't read the changes of jobs:
// its successor must still be able to stop what was cancelled meanwhile in time.
func (l *leader) maxUnsynced() clock.Micros {
	w := l.cfg.Facts.Workers
	left := clock.FromSeconds(w.CancelS) - clock.FromSeconds(w.LeaseS+l.operator.Lead.TTLs).Stretch(clock.Drift)
	return max(left, 2*clock.FromSeconds(w.ReportS))
}

// unsyncedTooLong tells whether this leader has held the lead without reading changes for
// so long that cancelled tasks may outstay their time. The caller holds mu.
func (l *leader) unsyncedTooLong(now clock.Micros) bool {
	_, held := l.elector.HoldsLease()
	return held && now-max(l.feed.readAt, l.feed.leaseHeldSince, l.detector.runningSince) > l.maxUnsynced()
}

// checkSync ends a watch that waits when changes may have been missed, so that
// they are read at once; and the term, if they can't be for too long. The caller
// holds mu.
func (l *leader) checkSync(now clock.Micros) {
	if _, held := l.elector.HoldsLease(); !held {
		l.feed.leaseHeldSince = now
	} else if l.feed.stopWatch != nil && !l.synced() {
		l.feed.stopWatch()
	}
	if l.loaded && l.unsyncedTooLong(now) {
		l.log.Info("the changes of jobs can't be read: giving leadership up")
		l.elector.Resign()
	}
}
