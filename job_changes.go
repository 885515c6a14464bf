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
	// maxWatch is the longest time that a watch of the jobs waits for changes.
	maxWatch = 10 * clock.Second
	// watchesPerMaxUnsynced is how many watches fit into the time after which a leader that can't
	// read changes resigns.
	watchesPerMaxUnsynced = 3
	// resyncPause is the delay between a failed read of all jobs and the next one.
	resyncPause = 500 * clock.Millisecond
)

// interruptions counts the interruptions in which job changes may have been missed: the state
// service failed this node, its lease may have lapsed, or the process paused.
func (l *leader) interruptions() uint64 {
	return l.store.Interruptions() + l.elector.LeaseInterruptions() + l.feed.ProcessPauses()
}

// synced reports whether changes have been read since the last interruption. The caller holds mu.
func (l *leader) synced() bool { return l.feed.Synced(l.interruptions()) }

// syncedRevision returns the revision up to which this leader knows the job changes.
func (l *leader) syncedRevision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.feed.KnownRevision()
}

// beginRead returns the state at the start of a read of changes, for readCompleted.
func (l *leader) beginRead() changefeed.Read {
	_, held := l.elector.HoldsLease()
	l.mu.Lock()
	defer l.mu.Unlock()
	return changefeed.Read{BeganAt: l.clock.Now(), Interruption: l.interruptions(), LeaseHeld: held}
}

// readCompleted records that a read returned all changes up to a revision. The caller holds mu.
func (l *leader) readCompleted(read changefeed.Read, revision uint64) {
	_, held := l.elector.HoldsLease()
	if l.feed.Completed(read, revision, held) {
		l.jobs.SetChanged(true)
	}
}

// watchJobs follows the job records, through which other nodes accept and cancel jobs.
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

// readChanges reads the job changes after a revision. It reads at once after an interruption in
// which some may have been missed, and otherwise waits for changes. It returns the revision up to
// which it read.
func (l *leader) readChanges(ctx context.Context, since uint64) (revision uint64, err error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	read := l.beginRead()
	l.mu.Lock()
	behind := read.LeaseHeld && !l.feed.Synced(read.Interruption)
	if !behind {
		l.feed.WatchBegan(cancel)
	}
	l.mu.Unlock()
	changes, err := l.fetchChanges(watchCtx, since, behind)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.feed.WatchEnded()
	if err != nil {
		if watchCtx.Err() != nil && ctx.Err() == nil {
			return since, nil // the watch was cancelled to read at once
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

// fetchChanges requests the job changes after a revision. If behind is set, it does not wait for any.
func (l *leader) fetchChanges(ctx context.Context, since uint64, behind bool) (wire.WatchResponse, error) {
	if behind {
		return l.store.ChangesSince(ctx, store.PrefixJob, since)
	}
	return l.store.Watch(ctx, store.PrefixJob, since, min(maxWatch, l.feed.MaxUnsynced()/watchesPerMaxUnsynced))
}

// applyChange applies a change of a job's record. Only the leader marks jobs done, and it removes
// these from its table itself. So the deletion of a known job's record is a cancellation that some
// node accepted. The caller holds mu.
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

// resync reads all job records again after a watch failed or its revision was too old. It returns
// the revision up to which it read.
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

// addJob decodes a job's record and adds the job if it is unfinished. The caller holds mu.
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

// addRecord adds the unfinished job of a record, if it is not known yet. The caller holds mu.
func (l *leader) addRecord(record store.JobRecord, modRevision uint64, now clock.Micros) {
	uid := record.Spec.UID
	if l.reconciler.IsUnusable(uid) {
		l.log.Info("record of a job is usable again: resigning, so that the next leader reads all records", "job", uid)
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
