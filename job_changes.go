package cedardoor

import (
	"context"
	"strings"

	"cedardoor/changefeed"
	"cedardoor/clock"
	"cedardoor/jobs"
	"cedardoor/recovery"
	"cedardoor/store"
	"cedardoor/wire"
)

const (
	// maxWatch is how long a watch of the jobs waits at most.
	maxWatch = 10 * clock.Second
	// watchPart is the part of the time without changes, after which the leader resigns, that a
	// watch may wait.
	watchPart = 3
	// resyncPause is how long after a failed read of all jobs the next one begins.
	resyncPause = 500 * clock.Millisecond
)

// interruptions numbers the times in which changes may have been missed: the service failed this
// node, its lease may have lapsed, or the process paused.
func (l *leader) interruptions() uint64 {
	return l.store.Interruptions() + l.elector.LeaseInterruptions() + l.feed.ProcessPauses()
}

// synced tells whether the changes of the last interruption have been read. The caller holds mu.
func (l *leader) synced() bool { return l.feed.Synced(l.interruptions()) }

// syncedRevision is the revision up to which this leader knows the changes of jobs.
func (l *leader) syncedRevision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.feed.KnownRevision()
}

// beginRead begins a read of changes.
func (l *leader) beginRead() changefeed.Read {
	_, held := l.elector.HoldsLease()
	l.mu.Lock()
	defer l.mu.Unlock()
	return changefeed.Read{BeganAt: l.clock.Now(), Interruption: l.interruptions(), LeaseHeld: held}
}

// readCompleted notes that a read told all changes up to a revision. The caller holds mu.
func (l *leader) readCompleted(read changefeed.Read, revision uint64) {
	_, held := l.elector.HoldsLease()
	if l.feed.Completed(read, revision, held) {
		l.jobs.SetChanged(true)
	}
}

// watchJobs follows the job records: other nodes accept and cancel jobs there.
func (l *leader) watchJobs(ctx context.Context, since uint64) {
	for ctx.Err() == nil {
		revision, err := l.readChanges(ctx, since)
		if err == nil || ctx.Err() != nil {
			since = revision
			continue
		}
		l.log.Debug("watch of jobs failed", "error", err)
		if since, err = l.resync(ctx, since); err != nil && ctx.Err() == nil {
			l.log.Debug("read of all jobs failed", "error", err)
			l.sleep(ctx, resyncPause)
		}
	}
}

// readChanges reads the changes of jobs after a revision: at once after an interruption in which
// some may have been missed, else when there are any. It gives the revision up to which it read.
func (l *leader) readChanges(ctx context.Context, since uint64) (revision uint64, err error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	read := l.beginRead()
	l.mu.Lock()
	behind := read.LeaseHeld && !l.feed.Synced(read.Interruption)
	if !behind {
		l.feed.WatchBegins(cancel)
	}
	l.mu.Unlock()
	changes, err := l.fetchChanges(watchCtx, since, behind)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.feed.WatchEnded()
	if err != nil {
		if watchCtx.Err() != nil && ctx.Err() == nil {
			return since, nil // it was ended to read at once
		}
		return since, err
	}
	now := l.clock.Now()
	for i := range changes.Events {
		l.applyChange(&changes.Events[i], now)
	}
	l.readCompleted(read, changes.Revision)
	if len(changes.Events) > 0 || behind {
		l.wake()
	}
	return max(since, changes.Revision), nil
}

// fetchChanges asks for the changes of jobs after a revision, without waiting for any when behind.
func (l *leader) fetchChanges(ctx context.Context, since uint64, behind bool) (wire.WatchResponse, error) {
	if behind {
		return l.store.ChangesSince(ctx, store.PrefixJob, since)
	}
	return l.store.Watch(ctx, store.PrefixJob, since, min(maxWatch, l.feed.MaxUnsynced()/watchPart))
}

// applyChange takes in a change of a job's record. Only this leader calls a job done, and it forgets
// the job itself when it does; so a deletion is a cancellation accepted somewhere. The caller holds mu.
func (l *leader) applyChange(event *wire.Event, now clock.Micros) {
	if event.Set != "" {
		if err := l.addJob(event.Set, event.Value, event.ModRevision, now); err != nil {
			l.log.Error("job record ignored", "error", err)
		}
		return
	}
	if job := l.jobs.Get(strings.TrimPrefix(event.Delete, store.PrefixJob)); job != nil {
		l.cancel(job, now)
	}
}

// resync reads all job records again, after a watch that broke or was too old. It gives the revision
// up to which it read.
func (l *leader) resync(ctx context.Context, since uint64) (revision uint64, err error) {
	read := l.beginRead()
	rows, revision, err := l.store.List(ctx, store.Urgent, store.PrefixJob)
	if err != nil {
		return since, err
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
		if err := l.addJob(row.Key, row.Value, row.ModRevision, now); err != nil {
			l.log.Error("job record ignored", "error", err)
		}
	}
	for job := range l.jobs.All() {
		if !present[store.JobKey(job.UID)] && job.Record.ModRevision <= revision {
			l.cancel(job, now)
		}
	}
	l.readCompleted(read, revision)
	l.wake()
	return revision, nil
}

// addJob takes an accepted job in. The caller holds mu.
func (l *leader) addJob(key string, value []byte, modRevision uint64, now clock.Micros) error {
	record, err := recovery.DecodeJob(wire.Row{Key: key, Value: value, ModRevision: modRevision})
	if err != nil {
		return err
	}
	if record.Final == nil {
		l.addRecord(record, modRevision, now)
	}
	return nil
}

// addRecord takes an accepted job's record in. The caller holds mu.
func (l *leader) addRecord(record store.JobRecord, modRevision uint64, now clock.Micros) {
	uid := record.Spec.UID
	if l.reconciler.IsUnusable(uid) {
		l.log.Info("the record of a job can be used again: resigning, so that all records are read anew", "job", uid)
		go l.elector.Resign()
		return
	}
	if job := l.jobs.Get(uid); job != nil {
		job.Record.ModRevision = max(job.Record.ModRevision, modRevision)
		return
	}
	l.reconciler.JobAdded(uid)
	job := jobs.New(record, modRevision, &l.cfg.Facts, now)
	l.jobs.Add(job)
	l.jobs.Enqueue(job)
	l.jobs.SetChanged(true)
}
