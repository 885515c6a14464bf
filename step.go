package cedardoor

import (
	"context"
	"errors"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/plan"
	"cedardoor/wire"
)

// tick is how often the loop looks around without being woken.
const tick = 500 * clock.Millisecond

// wakePause gathers what happens at the same time into one pass.
const wakePause = 5 * clock.Millisecond

// loop plans, records and orders until ctx ends. What happens while a pass is
// made is gathered into the next, and passes take at most a part of the
// processor however fast events come.
func (g *term) loop(ctx context.Context) {
	tk := g.ck.NewTicker(tick.Duration())
	defer tk.Stop()
	pause := wakePause
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.kick:
			g.sleep(ctx, pause)
		case <-tk.Chan():
		}
		pause = max(wakePause, min(3*g.step(ctx), tick))
	}
}

// step is one pass: prove, plan, record, order. It gives the time that
// planning took.
func (g *term) step(ctx context.Context) (took clock.Micros) {
	g.mu.Lock()
	now := g.ck.Now()
	g.news(g.fl.ExpireLeases(now), now)
	g.hush(now)
	g.prove(now)
	g.settleUnreadable(now)
	g.tellProgress()
	if _, may := g.el.HoldsLease(); may {
		g.plan(now)
	}
	took = g.ck.Now() - now
	g.mu.Unlock()
	// Everything that changed is recorded, in as many transactions as it takes;
	// but what comes meanwhile is planned before what can wait is recorded: a huge
	// batch or a swarm has more to record than the store takes for a long time.
	for range 50 {
		g.mu.Lock()
		w := g.collect()
		more := len(g.dirty) > 0
		g.mu.Unlock()
		if w == nil {
			break
		}
		if !g.record(ctx, w) {
			return took
		}
		// Commands go out as soon as what they need is durable.
		g.dispatch(ctx)
		if more && len(g.kick) > 0 && g.ck.Now()-now > 4*took {
			break
		}
	}
	g.mu.Lock()
	if len(g.dirty) > 0 {
		g.wake()
	}
	g.mu.Unlock()
	g.dispatch(ctx)
	g.probeSilent(ctx)
	g.abdicate(ctx)
	g.fence(ctx)
	return took
}

// hush finds the machines that have fallen silent, now and then: nothing is
// placed on them. The caller holds mu.
func (g *term) hush(now clock.Micros) {
	report := clock.FromSeconds(g.cfg.Facts.Workers.ReportS)
	if now-g.hushAt < tick || now-g.awake < 2*report {
		return
	}
	g.hushAt = now
	for _, m := range g.fl.SilentMachines(now, 2*report) {
		g.fl.MarkUnresponsive(m)
	}
}

// plan makes a plan and books it. The caller holds mu.
func (g *term) plan(now clock.Micros) {
	round := now >= g.repairAt
	changed := len(g.touched) > 0 || g.fresh
	for m := range g.touched {
		if !g.refresh(m, now) {
			delete(g.touched, m)
		}
	}
	if !round && (len(g.queue) == 0 || !changed && now < g.triedAt+tick) {
		return // nothing waits, or nothing has changed since it found no room
	}
	if round {
		g.repairAt = now + g.op.Period()
	}
	g.triedAt = now
	began := g.ck.Now()
	res := plan.Make(g.picture(now, round))
	g.fresh = false
	g.keep(res.Reservations)
	g.pic.StarvedTurns = res.StarvedTurns
	for _, l := range res.Launches {
		j := g.jobs[l.Task.Job]
		pc := &j.tasks[l.Task.Index]
		b := g.reserve(j, l.Task.Index, g.fl.Machine(l.Machine), now)
		if b == nil {
			continue
		}
		pc.attempt = b.Attempt
		j.placed = now
		j.spared = j.spared || j.pj.Starved
		if j.pj.OnTrial {
			g.tried(j, now)
		}
		if j.unhurried() {
			g.paced--
		}
		pc.state, pc.booking = taskPlaced, b
		if j.single() && j.shared == nil && j.chunks[0].stamp == 0 {
			g.joinShared(j)
		}
		j.touch(l.Task.Index)
		g.dirty[j.uid] = true
		delete(g.lazy, j.uid)
	}
	for _, id := range res.Preemptions {
		j := g.jobs[id.Job]
		if b := j.tasks[id.Index].booking; b != nil {
			g.log.Debug("preempted", "task", b.Task.String(), "host", b.Machine.Name)
			g.halt(j, b, now)
		}
	}
	for _, mv := range res.Moves {
		j := g.jobs[mv.Task.Job]
		pc := &j.tasks[mv.Task.Index]
		t := g.reserve(j, mv.Task.Index, g.fl.Machine(mv.To), now)
		if t == nil {
			continue
		}
		pc.target = t
		g.log.Info("move", "task", pc.booking.Task.String(), "from", mv.From, "to", mv.To, "reason", mv.Reason)
		g.halt(j, pc.booking, now)
	}
	if round {
		g.met.Round(g.ck.Now()-began, res.Violations, len(res.Moves))
		if res.Violations > 0 || len(res.Moves) > 0 {
			g.log.Info("repair round", "moves", len(res.Moves), "deferred", res.Deferred, "violations", res.Violations)
		}
	}
	unplaced := 0
	for _, n := range res.Unplaced {
		unplaced += n
	}
	if unplaced > 0 && now-g.blocked > 10*clock.Second {
		g.blocked = now
		g.log.Info("tasks wait for room", "tasks", unplaced, "jobs", len(res.Unplaced))
	}
	g.met.Queue(unplaced)
}

// reserve books a task's next attempt on a machine; nil where the ledger refuses it,
// which knows better than the plan. The caller holds mu.
func (g *term) reserve(j *job, index int, m *fleet.Machine, now clock.Micros) *fleet.Allocation {
	b := g.booking(j, index, j.tasks[index].attempt+1)
	b.Incarnation = m.Incarnation
	if err := g.fl.Reserve(m, b, now); err != nil {
		g.log.Error("the plan goes beyond a team's limit", "error", err)
		return nil
	}
	return b
}

// keep notes which machines' room is kept for jobs that have waited long. The
// caller holds mu.
func (g *term) keep(holds map[string]string) {
	for name := range g.holds {
		if holds[name] == "" {
			if m := g.fl.Machine(name); m != nil {
				g.touched[m] = true
			}
		}
	}
	for name, uid := range holds {
		if j := g.jobs[uid]; j != nil && j.pj.ReservedMachine != name {
			j.pj.ReservedMachine = name
			g.touched[g.fl.Machine(name)] = true
			g.log.Info("room is kept for a job that has waited long", "job", uid, "host", name)
		}
	}
	g.holds = holds
}

// halt stops an attempt, with time to save if it can. The caller holds mu.
func (g *term) halt(j *job, b *fleet.Allocation, now clock.Micros) {
	leeway := 0.0
	if b.Checkpoints {
		leeway = b.CheckpointGrace + 1
	}
	if g.fl.Stop(b, leeway, now) {
		pc := &j.tasks[b.Task.Index]
		g.ended(j, pc, b, true, now)
		return
	}
	g.toTell[b.Machine] = true
}

// dispatch sends direct commands to the machines that have some waiting.
func (g *term) dispatch(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	token, _ := g.el.HoldsLease()
	scope := g.scope()
	now := g.ck.Now()
	for m := range g.toTell {
		if len(g.busy) >= g.budget.Commands {
			break
		}
		if g.busy[m.Name] {
			continue // looked at again when it has landed
		}
		if scope == fleet.AllCommands {
			delete(g.toTell, m)
		}
		if !m.Reported || m.Suspect || m.Returning || g.fl.Machine(m.Name) != m || !g.urgent(m, scope) {
			continue
		}
		fl := g.fl.PrepareCommand(m, now, token, scope)
		if fl == nil {
			continue
		}
		g.busy[m.Name] = true
		go g.fly(ctx, fl)
	}
}

// urgent tells whether a machine has commands that should not wait for its next heartbeat.
func (g *term) urgent(m *fleet.Machine, scope fleet.Scope) bool {
	urgent := m.Restarted() || scope > fleet.StopsOnly && g.stopsUnbooked(m)
	m.EachAllocation(func(b *fleet.Allocation) {
		if !b.Live() || b.Incarnation != m.Incarnation {
			return
		}
		if scope == fleet.AllCommands && b.Durable && !b.Stopping && b.Sent() == 0 && !b.HeartbeatOnly || b.Stopping && !b.StopSent {
			urgent = true
			b.StopSent = b.Stopping
		}
	})
	return urgent
}

// mayFly tells whether a direct command may still go out: what it says of runs
// and results needs the lease and all that was cancelled, a stop needs neither.
func (g *term) mayFly(fl *fleet.InFlightCommand) bool {
	token, may := g.el.HoldsLease()
	if token != fl.Token {
		return false
	}
	if fl.OnlyStops() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return may && (g.upToDate() || !fl.HasRuns())
}

// errLate means that a command was not sent: it is of an earlier token or lease.
var errLate = errors.New("the token or the lease that it was made under is over")

// fly sends one /do and takes its outcome in.
func (g *term) fly(ctx context.Context, fl *fleet.InFlightCommand) {
	dctx, cancel := context.WithTimeout(ctx, (1500 * clock.Millisecond).Duration())
	var rep *wire.Heartbeat
	out, err := fleet.OutcomeNotExecuted, errLate
	// What was computed before this process stood still must not go out after it.
	if g.mayFly(fl) {
		rep, out, err = g.workers.Do(dctx, fl.Machine.Endpoint, wire.CommandRequest{Token: fl.Token, Incarnation: fl.Incarnation, Commands: fl.Commands})
	}
	cancel()
	if err != nil {
		g.log.Debug("direct command", "host", fl.Machine.Name, "outcome", out, "error", err)
	}
	now := g.ck.Now()
	g.mu.Lock()
	g.fl.CommandCompleted(fl, out)
	delete(g.busy, fl.Machine.Name)
	switch m := fl.Machine; {
	case rep != nil && rep.Machine == m.Name:
		g.fl.Acknowledged(m)
		news, _ := g.fl.Report(now, rep, false)
		g.news(news, now)
		g.adoptShown(m, now)
	case err != nil && err != errLate && ctx.Err() == nil:
		g.fl.CommandFailed(m)
	}
	// Without the lease the loop may be waiting for the state service.
	more := g.toTell[fl.Machine] && g.scope() == fleet.StopsOnly
	g.mu.Unlock()
	g.wake()
	if more {
		g.dispatch(ctx)
	}
}

// fence raises the token when runs are in doubt at workers that do report,
// so that a late copy of them is void. Now and then it does so for those that
// were answered, too: a copy of one may come again after the worker has
// forgotten the attempt, so results stay on the workers until it can't.
func (g *term) fence(ctx context.Context) {
	now := g.ck.Now()
	g.mu.Lock()
	token, may := g.el.HoldsLease()
	due := may && (g.raisedAt == 0 || now-g.raisedAt > 4*clock.Second) && g.fl.UnfencedCount(now, token) > 0
	// A worker tells of a new token at once, but not again within half a lease, so
	// raising it often would keep a next leader from being told of its own; and what
	// waits takes but a line in the reports, as long as it is not too many.
	if now-g.repeatsAt > clock.Second && may && !due && now-g.raisedAt > 4*clock.Second {
		g.repeatsAt = now
		due = g.fl.TakeReportOverloaded() || now-max(g.raisedAt, g.r.Since) > 2*clock.FromSeconds(g.cfg.Facts.Workers.LeaseS) && g.fl.ResultsAwaitFencing(token)
	}
	if due {
		g.raisedAt = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	if next, err := g.el.RaiseToken(ctx); err != nil {
		g.log.Debug("raise token", "error", err)
	} else {
		g.log.Info("token raised: copies of direct commands are void", "token", next)
	}
}
