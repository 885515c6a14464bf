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

// watchTimeout is how long a watch of the jobs waits at most.
const watchTimeout = 10 * clock.Second

// interruptions numbers the spells in which changes may have been missed: the service
// failed this node, its lease may have lapsed, or the process stood still.
func (g *leader) interruptions() uint64 {
	return g.store.Interruptions() + g.elector.LeaseInterruptions() + g.processPauses
}

// synced tells whether the changes of the last spell have been read. The
// caller holds mu.
func (g *leader) synced() bool { return g.syncedInterruption == g.interruptions() }

// commandScope is what may be told to workers right now. The caller holds mu.
func (g *leader) commandScope() fleet.Scope {
	if _, may := g.elector.HoldsLease(); !may {
		return fleet.StopsOnly
	}
	if !g.synced() {
		return fleet.NoRuns
	}
	return fleet.AllCommands
}

// syncedRevision is the epoch up to which this leader knows the changes of jobs.
func (g *leader) syncedRevision() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.knownRevision
}

// changesRead notes that all changes of jobs up to an epoch are known, by a read that
// began after the given spell, under the lease or not. The epoch counts only if the
// lease stands still: then no successor's change can be among them, and none of a
// process of another node that came after a successor there. The caller holds mu.
func (g *leader) changesRead(epoch uint64, began clock.Micros, spell uint64, held bool) {
	g.changesReadAt = max(g.changesReadAt, began)
	if _, still := g.elector.HoldsLease(); still {
		g.knownRevision = max(g.knownRevision, epoch)
	}
	if held {
		g.syncedInterruption = max(g.syncedInterruption, spell)
	}
	for j, at := range g.cancellationPending {
		if at < began || j.cancelled {
			// Cancelled, or it was not true.
			j.cancellationPending = false
			g.jobsChanged = true
			delete(g.cancellationPending, j)
		}
	}
}

// watchJobs follows the job records: other nodes accept and cancel jobs there.
func (g *leader) watchJobs(ctx context.Context, since uint64) {
	for ctx.Err() == nil {
		err := g.readChanges(ctx, &since)
		if err == nil || ctx.Err() != nil {
			continue
		}
		g.log.Debug("watch jobs", "error", err)
		if err := g.resync(ctx, &since); err != nil && ctx.Err() == nil {
			g.log.Debug("read jobs again", "error", err)
			g.sleep(ctx, 500*clock.Millisecond)
		}
	}
}

// readChanges reads the changes of jobs after an epoch: at once after a spell in
// which some may have been missed, else when there are any.
func (g *leader) readChanges(ctx context.Context, since *uint64) error {
	wctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, held := g.elector.HoldsLease()
	g.mu.Lock()
	began, spell := g.clock.Now(), g.interruptions()
	behind := held && g.syncedInterruption != spell
	if !behind {
		g.stopWatch = cancel
	}
	g.mu.Unlock()
	var ch wire.WatchResponse
	var err error
	if behind {
		ch, err = g.store.ChangesSince(wctx, store.PrefixJob, *since)
	} else {
		ch, err = g.store.Watch(wctx, store.PrefixJob, *since, min(watchTimeout, g.maxUnsynced()/3))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopWatch = nil
	if err != nil {
		if wctx.Err() != nil && ctx.Err() == nil {
			return nil // it was ended to read at once
		}
		return err
	}
	now := g.clock.Now()
	*since = max(*since, ch.Revision)
	for _, ev := range ch.Events {
		if ev.Set != "" {
			if err := g.addJob(ev.Set, ev.Value, ev.ModRevision, now); err != nil {
				g.log.Error("job record ignored", "error", err)
			}
		} else if j := g.jobs[ev.Delete[min(len(store.PrefixJob), len(ev.Delete)):]]; j != nil {
			// Only this leader calls a job done, and it drops the job itself when
			// it does; so this is a cancel accepted somewhere.
			g.cancel(j, now)
		}
	}
	g.changesRead(ch.Revision, began, spell, held)
	if len(ch.Events) > 0 || behind {
		g.wake()
	}
	return nil
}

// resync reads all job records again, after a watch that broke or was too old.
func (g *leader) resync(ctx context.Context, since *uint64) error {
	_, held := g.elector.HoldsLease()
	g.mu.Lock()
	began, spell := g.clock.Now(), g.interruptions()
	g.mu.Unlock()
	rows, epoch, err := g.store.List(ctx, store.Urgent, store.PrefixJob)
	if err != nil {
		return err
	}
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	there := make(map[string]bool, len(rows))
	for _, row := range rows {
		there[row.Key] = true
		if err := g.addJob(row.Key, row.Value, row.ModRevision, now); err != nil {
			g.log.Error("job record ignored", "error", err)
		}
	}
	for uid, j := range g.jobs {
		if !there[store.JobKey(uid)] && j.modRevision <= epoch {
			g.cancel(j, now)
		}
	}
	*since = epoch
	g.changesRead(epoch, began, spell, held)
	g.wake()
	return nil
}

// hintCancelled stops the tasks of jobs that are said to be cancelled, or about to be.
// That is a hint, the truth is in the state service: the jobs stay on the books,
// and go on if the next read of changes does not find them cancelled. A stop
// breaks no rule, so it needs no lease.
func (g *leader) hintCancelled(uids []string) {
	g.mu.Lock()
	ctx, now, told := g.ctx, g.clock.Now(), false
	for _, uid := range uids {
		j := g.jobs[uid]
		if j == nil || j.cancelled || !g.loaded {
			continue
		}
		j.cancellationPending = true
		g.cancellationPending[j] = now
		for i := range j.tasks {
			pc := &j.tasks[i]
			if pc.moveTarget != nil {
				g.fleet.Remove(pc.moveTarget, now)
				pc.moveTarget = nil
			}
			if b := pc.allocation; b != nil && !b.Stopping {
				told = true
				// Nobody has any use for what it does after this: no time to save.
				if g.fleet.Stop(b, 0, now) {
					g.attemptEnded(j, pc, b, true, now)
				} else {
					g.urgentMachines[b.Machine] = true
				}
			}
		}
	}
	g.mu.Unlock()
	if told && ctx != nil {
		g.log.Debug("tasks are called off", "jobs", len(uids))
		g.dispatch(ctx)
	}
}

// maxUnsynced is how long a leader may go on that can't read the changes of jobs:
// its successor must still be able to stop what was cancelled meanwhile in time.
func (g *leader) maxUnsynced() clock.Micros {
	w := g.cfg.Facts.Workers
	left := clock.FromSeconds(w.CancelS) - clock.FromSeconds(w.LeaseS+g.operator.Lead.TTLs).Stretch(clock.Drift)
	return max(left, 2*clock.FromSeconds(w.ReportS))
}

// unsyncedTooLong tells whether this leader has held the lead without reading changes for
// so long that cancelled tasks may outstay their time. The caller holds mu.
func (g *leader) unsyncedTooLong(now clock.Micros) bool {
	_, held := g.elector.HoldsLease()
	return held && now-max(g.changesReadAt, g.leaseHeldSince, g.runningSince) > g.maxUnsynced()
}

// checkSync ends a watch that waits when changes may have been missed, so that
// they are read at once; and the term, if they can't be for too long. The caller
// holds mu.
func (g *leader) checkSync(now clock.Micros) {
	if _, held := g.elector.HoldsLease(); !held {
		g.leaseHeldSince = now
	} else if g.stopWatch != nil && !g.synced() {
		g.stopWatch()
	}
	if g.loaded && g.unsyncedTooLong(now) {
		g.log.Info("the changes of jobs can't be read: giving leadership up")
		g.elector.Resign()
	}
}
