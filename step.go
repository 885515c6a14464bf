package cedardoor

import (
	"context"
	"errors"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/plan"
	"cedardoor/wire"
)

// passInterval is how often the loop looks around without being woken.
const passInterval = 500 * clock.Millisecond

// wakeDelay gathers what happens at the same time into one pass.
const wakeDelay = 5 * clock.Millisecond

// loop plans, records and orders until ctx ends. What happens while a pass is
// made is gathered into the next, and passes take at most a part of the
// processor however fast events come.
func (g *leader) loop(ctx context.Context) {
	tk := g.clock.NewTicker(passInterval.Duration())
	defer tk.Stop()
	pause := wakeDelay
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.wakeups:
			g.sleep(ctx, pause)
		case <-tk.Chan():
		}
		pause = max(wakeDelay, min(3*g.pass(ctx), passInterval))
	}
}

// pass is one pass: prove, plan, record, order. It gives the time that
// planning took.
func (g *leader) pass(ctx context.Context) (took clock.Micros) {
	g.mu.Lock()
	now := g.clock.Now()
	g.applyEvents(g.fleet.ExpireLeases(now), now)
	g.markUnresponsive(now)
	g.confirmMachines(now)
	g.releaseUnreadable(now)
	g.logProgress()
	if _, may := g.elector.HoldsLease(); may {
		g.runPlan(now)
	}
	took = g.clock.Now() - now
	g.mu.Unlock()
	// Everything that changed is recorded, in as many transactions as it takes;
	// but what comes meanwhile is planned before what can wait is recorded: a huge
	// batch or a swarm has more to record than the store takes for a long time.
	for range 50 {
		g.mu.Lock()
		w := g.buildTransaction()
		more := len(g.dirty) > 0
		g.mu.Unlock()
		if w == nil {
			break
		}
		if !g.commit(ctx, w) {
			return took
		}
		// Commands go out as soon as what they need is durable.
		g.dispatch(ctx)
		if more && len(g.wakeups) > 0 && g.clock.Now()-now > 4*took {
			break
		}
	}
	g.mu.Lock()
	if len(g.dirty) > 0 {
		g.wake()
	}
	g.mu.Unlock()
	g.dispatch(ctx)
	g.probeSilentMachines(ctx)
	g.resignIfIsolated(ctx)
	g.raiseTokenIfNeeded(ctx)
	return took
}

// markUnresponsive finds the machines that have fallen silent, now and then: nothing is
// placed on them. The caller holds mu.
func (g *leader) markUnresponsive(now clock.Micros) {
	report := clock.FromSeconds(g.cfg.Facts.Workers.ReportS)
	if now-g.silenceCheckedAt < passInterval || now-g.runningSince < 2*report {
		return
	}
	g.silenceCheckedAt = now
	for _, m := range g.fleet.SilentMachines(now, 2*report) {
		g.fleet.MarkUnresponsive(m)
	}
}

// runPlan makes a plan and books it. The caller holds mu.
func (g *leader) runPlan(now clock.Micros) {
	round := now >= g.repairAt
	changed := len(g.changedMachines) > 0 || g.jobsChanged
	for m := range g.changedMachines {
		if !g.refreshMachine(m, now) {
			delete(g.changedMachines, m)
		}
	}
	if !round && (len(g.queue) == 0 || !changed && now < g.plannedAt+passInterval) {
		return // nothing waits, or nothing has changed since it found no room
	}
	if round {
		g.repairAt = now + g.operator.Period()
	}
	g.plannedAt = now
	began := g.clock.Now()
	res := plan.Make(g.planInput(now, round))
	g.jobsChanged = false
	g.reserveRoom(res.Reservations)
	g.snapshot.StarvedTurns = res.StarvedTurns
	for _, launch := range res.Launches {
		j := g.jobs[launch.Task.Job]
		pc := &j.tasks[launch.Task.Index]
		b := g.reserve(j, launch.Task.Index, g.fleet.Machine(launch.Machine), now)
		if b == nil {
			continue
		}
		pc.attempt = b.Attempt
		j.lastPlacedAt = now
		j.preemptionExempt = j.preemptionExempt || j.planJob.Starved
		if j.planJob.OnTrial {
			g.trialStarted(j, now)
		}
		if j.bestEffort() {
			g.bestEffortTokens--
		}
		pc.state, pc.allocation = taskPlaced, b
		if j.sharesRecord() && j.shared == nil && j.chunks[0].modRevision == 0 {
			g.joinShared(j)
		}
		j.markChanged(launch.Task.Index)
		g.dirty[j.uid] = true
		delete(g.pendingResults, j.uid)
	}
	for _, id := range res.Preemptions {
		j := g.jobs[id.Job]
		if b := j.tasks[id.Index].allocation; b != nil {
			g.log.Debug("preempted", "task", b.Task.String(), "host", b.Machine.Name)
			g.stopAttempt(j, b, now)
		}
	}
	for _, mv := range res.Moves {
		j := g.jobs[mv.Task.Job]
		pc := &j.tasks[mv.Task.Index]
		t := g.reserve(j, mv.Task.Index, g.fleet.Machine(mv.To), now)
		if t == nil {
			continue
		}
		pc.moveTarget = t
		g.log.Info("move", "task", pc.allocation.Task.String(), "from", mv.From, "to", mv.To, "reason", mv.Reason)
		g.stopAttempt(j, pc.allocation, now)
	}
	if round {
		g.metrics.Round(g.clock.Now()-began, res.Violations, len(res.Moves))
		if res.Violations > 0 || len(res.Moves) > 0 {
			g.log.Info("repair round", "moves", len(res.Moves), "deferred", res.Deferred, "violations", res.Violations)
		}
	}
	unplaced := 0
	for _, n := range res.Unplaced {
		unplaced += n
	}
	if unplaced > 0 && now-g.noRoomLoggedAt > 10*clock.Second {
		g.noRoomLoggedAt = now
		g.log.Info("tasks wait for room", "tasks", unplaced, "jobs", len(res.Unplaced))
	}
	g.metrics.Queue(unplaced)
}

// reserve books a task's next attempt on a machine; nil where the ledger refuses it,
// which knows better than the plan. The caller holds mu.
func (g *leader) reserve(j *Job, index int, m *fleet.Machine, now clock.Micros) *fleet.Allocation {
	b := g.newAllocation(j, index, j.tasks[index].attempt+1)
	b.Incarnation = m.Incarnation
	if err := g.fleet.Reserve(m, b, now); err != nil {
		g.log.Error("the plan goes beyond a team's limit", "error", err)
		return nil
	}
	return b
}

// reserveRoom notes which machines' room is kept for jobs that have waited long. The
// caller holds mu.
func (g *leader) reserveRoom(holds map[string]string) {
	for name := range g.reservedRoom {
		if holds[name] == "" {
			if m := g.fleet.Machine(name); m != nil {
				g.changedMachines[m] = true
			}
		}
	}
	for name, uid := range holds {
		if j := g.jobs[uid]; j != nil && j.planJob.ReservedMachine != name {
			j.planJob.ReservedMachine = name
			g.changedMachines[g.fleet.Machine(name)] = true
			g.log.Info("room is kept for a job that has waited long", "job", uid, "host", name)
		}
	}
	g.reservedRoom = holds
}

// stopAttempt stops an attempt, with time to save if it can. The caller holds mu.
func (g *leader) stopAttempt(j *Job, b *fleet.Allocation, now clock.Micros) {
	leeway := 0.0
	if b.Checkpoints {
		leeway = b.CheckpointGrace + 1
	}
	if g.fleet.Stop(b, leeway, now) {
		pc := &j.tasks[b.Task.Index]
		g.attemptEnded(j, pc, b, true, now)
		return
	}
	g.urgentMachines[b.Machine] = true
}

// dispatch sends direct commands to the machines that have some waiting.
func (g *leader) dispatch(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	token, _ := g.elector.HoldsLease()
	scope := g.commandScope()
	now := g.clock.Now()
	for m := range g.urgentMachines {
		if len(g.inFlight) >= g.budget.Commands {
			break
		}
		if g.inFlight[m.Name] {
			continue // looked at again when it has landed
		}
		if scope == fleet.AllCommands {
			delete(g.urgentMachines, m)
		}
		if !m.Reported || m.Suspect || m.Returning || g.fleet.Machine(m.Name) != m || !g.urgent(m, scope) {
			continue
		}
		fl := g.fleet.PrepareCommand(m, now, token, scope)
		if fl == nil {
			continue
		}
		g.inFlight[m.Name] = true
		go g.sendCommand(ctx, fl)
	}
}

// urgent tells whether a machine has commands that should not wait for its next heartbeat.
func (g *leader) urgent(m *fleet.Machine, scope fleet.Scope) bool {
	urgent := m.Restarted() || scope > fleet.StopsOnly && g.hasOrphansToStop(m)
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

// mayStillSend tells whether a direct command may still go out: what it says of runs
// and results needs the lease and all that was cancelled, a stop needs neither.
func (g *leader) mayStillSend(fl *fleet.InFlightCommand) bool {
	token, may := g.elector.HoldsLease()
	if token != fl.Token {
		return false
	}
	if fl.OnlyStops() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return may && (g.synced() || !fl.HasRuns())
}

// errNotSent means that a command was not sent: it is of an earlier token or lease.
var errNotSent = errors.New("the token or the lease that it was made under is over")

// sendCommand sends one /do and takes its outcome in.
func (g *leader) sendCommand(ctx context.Context, fl *fleet.InFlightCommand) {
	dctx, cancel := context.WithTimeout(ctx, (1500 * clock.Millisecond).Duration())
	var rep *wire.Heartbeat
	out, err := fleet.OutcomeNotExecuted, errNotSent
	// What was computed before this process stood still must not go out after it.
	if g.mayStillSend(fl) {
		rep, out, err = g.workers.Do(dctx, fl.Machine.Endpoint, wire.CommandRequest{Token: fl.Token, Incarnation: fl.Incarnation, Commands: fl.Commands})
	}
	cancel()
	if err != nil {
		g.log.Debug("direct command", "host", fl.Machine.Name, "outcome", out, "error", err)
	}
	now := g.clock.Now()
	g.mu.Lock()
	g.fleet.CommandCompleted(fl, out)
	delete(g.inFlight, fl.Machine.Name)
	switch m := fl.Machine; {
	case rep != nil && rep.Machine == m.Name:
		g.fleet.Acknowledged(m)
		news, _ := g.fleet.Report(now, rep, false)
		g.applyEvents(news, now)
		g.adoptReported(m, now)
	case err != nil && err != errNotSent && ctx.Err() == nil:
		g.fleet.CommandFailed(m)
	}
	// Without the lease the loop may be waiting for the state service.
	more := g.urgentMachines[fl.Machine] && g.commandScope() == fleet.StopsOnly
	g.mu.Unlock()
	g.wake()
	if more {
		g.dispatch(ctx)
	}
}

// raiseTokenIfNeeded raises the token when runs are in doubt at workers that do report,
// so that a late copy of them is void. Now and then it does so for those that
// were answered, too: a copy of one may come again after the worker has
// forgotten the attempt, so results stay on the workers until it can't.
func (g *leader) raiseTokenIfNeeded(ctx context.Context) {
	now := g.clock.Now()
	g.mu.Lock()
	token, may := g.elector.HoldsLease()
	due := may && (g.tokenRaisedAt == 0 || now-g.tokenRaisedAt > 4*clock.Second) && g.fleet.UnfencedCount(now, token) > 0
	// A worker tells of a new token at once, but not again within half a lease, so
	// raising it often would keep a next leader from being told of its own; and what
	// waits takes but a line in the reports, as long as it is not too many.
	if now-g.fencingCheckedAt > clock.Second && may && !due && now-g.tokenRaisedAt > 4*clock.Second {
		g.fencingCheckedAt = now
		due = g.fleet.TakeReportOverloaded() || now-max(g.tokenRaisedAt, g.term.Since) > 2*clock.FromSeconds(g.cfg.Facts.Workers.LeaseS) && g.fleet.ResultsAwaitFencing(token)
	}
	if due {
		g.tokenRaisedAt = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	if next, err := g.elector.RaiseToken(ctx); err != nil {
		g.log.Debug("raise token", "error", err)
	} else {
		g.log.Info("token raised: copies of direct commands are void", "token", next)
	}
}
