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

// watchSpan is how long a watch of the jobs waits at most.
const watchSpan = 10 * clock.Second

// spell numbers the spells in which changes may have been missed: the service
// failed this node, its lease may have lapsed, or the process stood still.
func (g *term) spell() uint64 { return g.st.Interruptions() + g.el.LeaseInterruptions() + g.stood }

// upToDate tells whether the changes of the last spell have been read. The
// caller holds mu.
func (g *term) upToDate() bool { return g.caught == g.spell() }

// scope is what may be told to workers right now. The caller holds mu.
func (g *term) scope() fleet.Scope {
	if _, may := g.el.HoldsLease(); !may {
		return fleet.StopsOnly
	}
	if !g.upToDate() {
		return fleet.NoRuns
	}
	return fleet.AllCommands
}

// knows is the epoch up to which this leader knows the changes of jobs.
func (g *term) knows() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.known
}

// read notes that all changes of jobs up to an epoch are known, by a read that
// began after the given spell, under the lease or not. The epoch counts only if the
// lease stands still: then no successor's change can be among them, and none of a
// process of another node that came after a successor there. The caller holds mu.
func (g *term) read(epoch uint64, began clock.Micros, spell uint64, held bool) {
	g.readAt = max(g.readAt, began)
	if _, still := g.el.HoldsLease(); still {
		g.known = max(g.known, epoch)
	}
	if held {
		g.caught = max(g.caught, spell)
	}
	for j, at := range g.calledOff {
		if at < began || j.cancelled {
			// Cancelled, or it was not true.
			j.calledOff = false
			g.fresh = true
			delete(g.calledOff, j)
		}
	}
}

// watchJobs follows the job records: other nodes accept and cancel jobs there.
func (g *term) watchJobs(ctx context.Context, since uint64) {
	for ctx.Err() == nil {
		err := g.follow(ctx, &since)
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

// follow reads the changes of jobs after an epoch: at once after a spell in
// which some may have been missed, else when there are any.
func (g *term) follow(ctx context.Context, since *uint64) error {
	wctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, held := g.el.HoldsLease()
	g.mu.Lock()
	began, spell := g.ck.Now(), g.spell()
	behind := held && g.caught != spell
	if !behind {
		g.unwatch = cancel
	}
	g.mu.Unlock()
	var ch wire.WatchResponse
	var err error
	if behind {
		ch, err = g.st.ChangesSince(wctx, store.PrefixJob, *since)
	} else {
		ch, err = g.st.Watch(wctx, store.PrefixJob, *since, min(watchSpan, g.blindLimit()/3))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unwatch = nil
	if err != nil {
		if wctx.Err() != nil && ctx.Err() == nil {
			return nil // it was ended to read at once
		}
		return err
	}
	now := g.ck.Now()
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
	g.read(ch.Revision, began, spell, held)
	if len(ch.Events) > 0 || behind {
		g.wake()
	}
	return nil
}

// resync reads all job records again, after a watch that broke or was too old.
func (g *term) resync(ctx context.Context, since *uint64) error {
	_, held := g.el.HoldsLease()
	g.mu.Lock()
	began, spell := g.ck.Now(), g.spell()
	g.mu.Unlock()
	rows, epoch, err := g.st.List(ctx, store.Urgent, store.PrefixJob)
	if err != nil {
		return err
	}
	now := g.ck.Now()
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
		if !there[store.JobKey(uid)] && j.stamp <= epoch {
			g.cancel(j, now)
		}
	}
	*since = epoch
	g.read(epoch, began, spell, held)
	g.wake()
	return nil
}

// callOff stops the tasks of jobs that are said to be cancelled, or about to be.
// That is a hint, the truth is in the state service: the jobs stay on the books,
// and go on if the next read of changes does not find them cancelled. A stop
// breaks no rule, so it needs no lease.
func (g *term) callOff(uids []string) {
	g.mu.Lock()
	ctx, now, told := g.ctx, g.ck.Now(), false
	for _, uid := range uids {
		j := g.jobs[uid]
		if j == nil || j.cancelled || !g.loaded {
			continue
		}
		j.calledOff = true
		g.calledOff[j] = now
		for i := range j.tasks {
			pc := &j.tasks[i]
			if pc.target != nil {
				g.fl.Remove(pc.target, now)
				pc.target = nil
			}
			if b := pc.booking; b != nil && !b.Stopping {
				told = true
				// Nobody has any use for what it does after this: no time to save.
				if g.fl.Stop(b, 0, now) {
					g.ended(j, pc, b, true, now)
				} else {
					g.toTell[b.Machine] = true
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

// blindLimit is how long a leader may go on that can't read the changes of jobs:
// its successor must still be able to stop what was cancelled meanwhile in time.
func (g *term) blindLimit() clock.Micros {
	w := g.cfg.Facts.Workers
	left := clock.FromSeconds(w.CancelS) - clock.FromSeconds(w.LeaseS+g.op.Lead.TTLs).Stretch(clock.Drift)
	return max(left, 2*clock.FromSeconds(w.ReportS))
}

// blind tells whether this leader has held the lead without reading changes for
// so long that cancelled tasks may outstay their time. The caller holds mu.
func (g *term) blind(now clock.Micros) bool {
	_, held := g.el.HoldsLease()
	return held && now-max(g.readAt, g.heldFrom, g.awake) > g.blindLimit()
}

// catchUp ends a watch that waits when changes may have been missed, so that
// they are read at once; and the term, if they can't be for too long. The caller
// holds mu.
func (g *term) catchUp(now clock.Micros) {
	if _, held := g.el.HoldsLease(); !held {
		g.heldFrom = now
	} else if g.unwatch != nil && !g.upToDate() {
		g.unwatch()
	}
	if g.loaded && g.blind(now) {
		g.log.Info("the changes of jobs can't be read: giving leadership up")
		g.el.Resign()
	}
}
