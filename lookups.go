package cedardoor

import (
	"context"

	"cedardoor/clock"
	"cedardoor/recovery"
)

// lookupRequests is of how many requests to the state service the interval of look-ups is the time:
// two reads each, with a quarter of the service's requests at most.
const lookupRequests = 8

// orphanLookupLoop reads the jobs that workers report tasks of and that the leader does not know.
func (l *leader) orphanLookupLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.reconciler.LookupsWanted():
		}
		l.lookUpOrphans(ctx)
	}
}

// lookUpOrphans reads the jobs that are wanted by now, one after another.
func (l *leader) lookUpOrphans(ctx context.Context) {
	for _, uid := range l.takeWantedLookups() {
		for l.hasOrphans(uid) && ctx.Err() == nil {
			err := l.lookUpJob(ctx, uid)
			l.sleep(ctx, l.orphanLookupInterval())
			if err == nil {
				break
			}
		}
	}
}

// orphanLookupInterval is how far apart jobs are looked up: an old copy of a report can name
// hundreds that were over long ago.
func (l *leader) orphanLookupInterval() clock.Micros {
	return clock.FromSeconds(lookupRequests / l.cfg.Facts.State.RPS)
}

// hasOrphans tells whether a worker still reports tasks of a job that is not known.
func (l *leader) hasOrphans(uid string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.fleet.MachinesWithOrphansOf(uid)) > 0
}

// takeWantedLookups takes the jobs that are to be read.
func (l *leader) takeWantedLookups() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reconciler.TakeWantedLookups()
}

// lookUpJob reads where a job is: among the unfinished ones first, since a job leaves them for the
// final states in one transaction. It counts only under the leader's lease.
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
