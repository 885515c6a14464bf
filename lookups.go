package cedardoor

import (
	"context"

	"cedardoor/clock"
	"cedardoor/recovery"
)

// lookupIntervalRequests is how many requests the state service allows in the interval between
// lookups. A lookup takes two reads, so that lookups use at most a quarter of the allowed rate.
const lookupIntervalRequests = 8

// orphanLookupLoop looks up the jobs that the leader does not know but that workers report tasks of.
func (l *leader) orphanLookupLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.reconciler.LookupsPending():
		}
		l.lookUpOrphans(ctx)
	}
}

// lookUpOrphans performs the pending lookups one by one, and retries those that fail.
func (l *leader) lookUpOrphans(ctx context.Context) {
	for _, uid := range l.takePendingLookups() {
		for l.hasOrphans(uid) && ctx.Err() == nil {
			err := l.lookUpJob(ctx, uid)
			l.sleep(ctx, l.orphanLookupInterval())
			if err == nil {
				break
			}
		}
	}
}

// orphanLookupInterval returns the interval between lookups. They are rate-limited because a late
// copy of a report can name hundreds of jobs that ended long ago.
func (l *leader) orphanLookupInterval() clock.Micros {
	return clock.FromSeconds(lookupIntervalRequests / l.cfg.Facts.State.RPS)
}

// hasOrphans reports whether any worker still reports tasks of an unknown job.
func (l *leader) hasOrphans(uid string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.fleet.MachinesWithOrphansOf(uid)) > 0
}

// takePendingLookups returns the jobs that are to be looked up, and clears the list.
func (l *leader) takePendingLookups() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reconciler.TakePendingLookups()
}

// lookUpJob reads a job's state. The result counts only if the lease is held before and after the
// read. It reads the unfinished jobs before the final states, since a job moves from the former to
// the latter in one transaction.
func (l *leader) lookUpJob(ctx context.Context, uid string) error {
	if _, held := l.elector.HoldsLease(); !held {
		return errNotSent
	}
	state, row, err := recovery.ReadJob(ctx, l.store, uid)
	if err != nil {
		return err
	}
	if _, held := l.elector.HoldsLease(); !held {
		return errNotSent
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reconciler.LookedUp(uid, state, now)
	if state == recovery.JobActive {
		if err := l.addJob(row.Key, row.Value, row.ModRevision, now); err != nil {
			return err
		}
	}
	for _, machine := range l.fleet.MachinesWithOrphansOf(uid) {
		l.dispatcher.MarkUrgent(machine)
	}
	l.wake()
	return nil
}
