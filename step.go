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
func (l *leader) loop(ctx context.Context) {
	tk := l.clock.NewTicker(passInterval.Duration())
	defer tk.Stop()
	pause := wakeDelay
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.wakeups:
			l.sleep(ctx, pause)
		case <-tk.Chan():
		}
		pause = max(wakeDelay, min(3*l.pass(ctx), passInterval))
	}
}

// pass is one pass: prove, plan, record, order. It gives the time that
// planning took.
func (l *leader) pass(ctx context.Context) (took clock.Micros) {
	l.mu.Lock()
	now := l.clock.Now()
	l.applyEvents(l.fleet.ExpireLeases(now), now)
	l.markUnresponsive(now)
	l.confirmMachines(now)
	l.releaseUnreadable(now)
	l.logProgress()
	if _, may := l.elector.HoldsLease(); may {
		l.runPlan(now)
	}
	took = l.clock.Now() - now
	l.mu.Unlock()
	// Everything that changed is recorded, in as many transactions as it takes;
	// but what comes meanwhile is planned before what can wait is recorded: a huge
	// batch or a swarm has more to record than the store takes for a long time.
	for range 50 {
		l.mu.Lock()
		tx := l.buildTransaction()
		more := len(l.dirty) > 0
		l.mu.Unlock()
		if tx == nil {
			break
		}
		if !l.commit(ctx, tx) {
			return took
		}
		// Commands go out as soon as what they need is durable.
		l.dispatch(ctx)
		if more && len(l.wakeups) > 0 && l.clock.Now()-now > 4*took {
			break
		}
	}
	l.mu.Lock()
	if len(l.dirty) > 0 {
		l.wake()
	}
	l.mu.Unlock()
	l.dispatch(ctx)
	l.probeSilentMachines(ctx)
	l.resignIfIsolated(ctx)
	l.raiseTokenIfNeeded(ctx)
	return took
}

// markUnresponsive finds the machines that have fallen silent, now and then: nothing is
// placed on them. The caller holds mu.
func (l *leader) markUnresponsive(now clock.Micros) {
	report := clock.FromSeconds(l.cfg.Facts.Workers.ReportS)
	if now-l.silenceCheckedAt < passInterval || now-l.runningSince < 2*report {
		return
	}
	l.silenceCheckedAt = now
	for _, machine := range l.fleet.SilentMachines(now, 2*report) {
		l.fleet.MarkUnresponsive(machine)
	}
}

// runPlan makes a plan and books it. The caller holds mu.
func (l *leader) runPlan(now clock.Micros) {
	round := now >= l.repairAt
	changed := len(l.changedMachines) > 0 || l.jobsChanged
	for machine := range l.changedMachines {
		if !l.refreshMachine(machine, now) {
			delete(l.changedMachines, machine)
		}
	}
	if !round && (len(l.queue) == 0 || !changed && now < l.plannedAt+passInterval) {
		return // nothing waits, or nothing has changed since it found no room
	}
	if round {
		l.repairAt = now + l.operator.Period()
	}
	l.plannedAt = now
	began := l.clock.Now()
	res := plan.Make(l.planInput(now, round))
	l.jobsChanged = false
	l.reserveRoom(res.Reservations)
	l.snapshot.StarvedTurns = res.StarvedTurns
	for _, launch := range res.Launches {
		job := l.jobs[launch.Task.Job]
		task := &job.tasks[launch.Task.Index]
		allocation := l.reserve(job, launch.Task.Index, l.fleet.Machine(launch.Machine), now)
		if allocation == nil {
			continue
		}
		task.attempt = allocation.Attempt
		job.lastPlacedAt = now
		job.preemptionExempt = job.preemptionExempt || job.planJob.Starved
		if job.planJob.OnTrial {
			l.trialStarted(job, now)
		}
		if job.bestEffort() {
			l.bestEffortTokens--
		}
		task.state, task.allocation = taskPlaced, allocation
		if job.sharesRecord() && job.shared == nil && job.chunks[0].modRevision == 0 {
			l.joinShared(job)
		}
		job.markChanged(launch.Task.Index)
		l.dirty[job.uid] = true
		delete(l.pendingResults, job.uid)
	}
	for _, id := range res.Preemptions {
		job := l.jobs[id.Job]
		if allocation := job.tasks[id.Index].allocation; allocation != nil {
			l.log.Debug("preempted", "task", allocation.Task.String(), "host", allocation.Machine.Name)
			l.stopAttempt(job, allocation, now)
		}
	}
	for _, mv := range res.Moves {
		job := l.jobs[mv.Task.Job]
		task := &job.tasks[mv.Task.Index]
		t := l.reserve(job, mv.Task.Index, l.fleet.Machine(mv.To), now)
		if t == nil {
			continue
		}
		task.moveTarget = t
		l.log.Info("move", "task", task.allocation.Task.String(), "from", mv.From, "to", mv.To, "reason", mv.Reason)
		l.stopAttempt(job, task.allocation, now)
	}
	if round {
		l.metrics.Round(l.clock.Now()-began, res.Violations, len(res.Moves))
		if res.Violations > 0 || len(res.Moves) > 0 {
			l.log.Info("repair round", "moves", len(res.Moves), "deferred", res.Deferred, "violations", res.Violations)
		}
	}
	unplaced := 0
	for _, n := range res.Unplaced {
		unplaced += n
	}
	if unplaced > 0 && now-l.noRoomLoggedAt > 10*clock.Second {
		l.noRoomLoggedAt = now
		l.log.Info("tasks wait for room", "tasks", unplaced, "jobs", len(res.Unplaced))
	}
	l.metrics.Queue(unplaced)
}

// reserve books a task's next attempt on a machine; nil where the ledger refuses it,
// which knows better than the plan. The caller holds mu.
func (l *leader) reserve(job *Job, index int, machine *fleet.Machine, now clock.Micros) *fleet.Allocation {
	allocation := l.newAllocation(job, index, job.tasks[index].attempt+1)
	allocation.Incarnation = machine.Incarnation
	if err := l.fleet.Reserve(machine, allocation, now); err != nil {
		l.log.Error("the plan goes beyond a team's limit", "error", err)
		return nil
	}
	return allocation
}

// reserveRoom notes which machines' room is kept for jobs that have waited long. The
// caller holds mu.
func (l *leader) reserveRoom(holds map[string]string) {
	for name := range l.reservedRoom {
		if holds[name] == "" {
			if machine := l.fleet.Machine(name); machine != nil {
				l.changedMachines[machine] = true
			}
		}
	}
	for name, uid := range holds {
		if job := l.jobs[uid]; job != nil && job.planJob.ReservedMachine != name {
			job.planJob.ReservedMachine = name
			l.changedMachines[l.fleet.Machine(name)] = true
			l.log.Info("room is kept for a job that has waited long", "job", uid, "host", name)
		}
	}
	l.reservedRoom = holds
}

// stopAttempt stops an attempt, with time to save if it can. The caller holds mu.
func (l *leader) stopAttempt(job *Job, allocation *fleet.Allocation, now clock.Micros) {
	leeway := 0.0
	if allocation.Checkpoints {
		leeway = allocation.CheckpointGrace + 1
	}
	if l.fleet.Stop(allocation, leeway, now) {
		task := &job.tasks[allocation.Task.Index]
		l.attemptEnded(job, task, allocation, true, now)
		return
	}
	l.urgentMachines[allocation.Machine] = true
}

// dispatch sends direct commands to the machines that have some waiting.
func (l *leader) dispatch(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	token, _ := l.elector.HoldsLease()
	scope := l.commandScope()
	now := l.clock.Now()
	for machine := range l.urgentMachines {
		if len(l.inFlight) >= l.budget.Commands {
			break
		}
		if l.inFlight[machine.Name] {
			continue // looked at again when it has landed
		}
		if scope == fleet.AllCommands {
			delete(l.urgentMachines, machine)
		}
		if !machine.Reported || machine.Suspect || machine.Returning || l.fleet.Machine(machine.Name) != machine || !l.urgent(machine, scope) {
			continue
		}
		command := l.fleet.PrepareCommand(machine, now, token, scope)
		if command == nil {
			continue
		}
		l.inFlight[machine.Name] = true
		go l.sendCommand(ctx, command)
	}
}

// urgent tells whether a machine has commands that should not wait for its next heartbeat.
func (l *leader) urgent(machine *fleet.Machine, scope fleet.Scope) bool {
	urgent := machine.Restarted() || scope > fleet.StopsOnly && l.hasOrphansToStop(machine)
	machine.EachAllocation(func(allocation *fleet.Allocation) {
		if !allocation.Live() || allocation.Incarnation != machine.Incarnation {
			return
		}
		if scope == fleet.AllCommands && allocation.Durable && !allocation.Stopping && allocation.Sent() == 0 && !allocation.HeartbeatOnly || allocation.Stopping && !allocation.StopSent {
			urgent = true
			allocation.StopSent = allocation.Stopping
		}
	})
	return urgent
}

// mayStillSend tells whether a direct command may still go out: what it says of runs
// and results needs the lease and all that was cancelled, a stop needs neither.
func (l *leader) mayStillSend(command *fleet.InFlightCommand) bool {
	token, may := l.elector.HoldsLease()
	if token != command.Token {
		return false
	}
	if command.OnlyStops() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return may && (l.synced() || !command.HasRuns())
}

// errNotSent means that a command was not sent: it is of an earlier token or lease.
var errNotSent = errors.New("the token or the lease that it was made under is over")

// sendCommand sends one /do and takes its outcome in.
func (l *leader) sendCommand(ctx context.Context, command *fleet.InFlightCommand) {
	dctx, cancel := context.WithTimeout(ctx, (1500 * clock.Millisecond).Duration())
	var report *wire.Heartbeat
	out, err := fleet.OutcomeNotExecuted, errNotSent
	// What was computed before this process stood still must not go out after it.
	if l.mayStillSend(command) {
		report, out, err = l.workers.Do(dctx, command.Machine.Endpoint, wire.CommandRequest{Token: command.Token, Incarnation: command.Incarnation, Commands: command.Commands})
	}
	cancel()
	if err != nil {
		l.log.Debug("direct command", "host", command.Machine.Name, "outcome", out, "error", err)
	}
	now := l.clock.Now()
	l.mu.Lock()
	l.fleet.CommandCompleted(command, out)
	delete(l.inFlight, command.Machine.Name)
	switch machine := command.Machine; {
	case report != nil && report.Machine == machine.Name:
		l.fleet.Acknowledged(machine)
		news, _ := l.fleet.Report(now, report, false)
		l.applyEvents(news, now)
		l.adoptReported(machine, now)
	case err != nil && err != errNotSent && ctx.Err() == nil:
		l.fleet.CommandFailed(machine)
	}
	// Without the lease the loop may be waiting for the state service.
	more := l.urgentMachines[command.Machine] && l.commandScope() == fleet.StopsOnly
	l.mu.Unlock()
	l.wake()
	if more {
		l.dispatch(ctx)
	}
}

// raiseTokenIfNeeded raises the token when runs are in doubt at workers that do report,
// so that a late copy of them is void. Now and then it does so for those that
// were answered, too: a copy of one may come again after the worker has
// forgotten the attempt, so results stay on the workers until it can't.
func (l *leader) raiseTokenIfNeeded(ctx context.Context) {
	now := l.clock.Now()
	l.mu.Lock()
	token, may := l.elector.HoldsLease()
	due := may && (l.tokenRaisedAt == 0 || now-l.tokenRaisedAt > 4*clock.Second) && l.fleet.UnfencedCount(now, token) > 0
	// A worker tells of a new token at once, but not again within half a lease, so
	// raising it often would keep a next leader from being told of its own; and what
	// waits takes but a line in the reports, as long as it is not too many.
	if now-l.fencingCheckedAt > clock.Second && may && !due && now-l.tokenRaisedAt > 4*clock.Second {
		l.fencingCheckedAt = now
		due = l.fleet.TakeReportOverloaded() || now-max(l.tokenRaisedAt, l.term.Since) > 2*clock.FromSeconds(l.cfg.Facts.Workers.LeaseS) && l.fleet.ResultsAwaitFencing(token)
	}
	if due {
		l.tokenRaisedAt = now
	}
	l.mu.Unlock()
	if !due {
		return
	}
	if next, err := l.elector.RaiseToken(ctx); err != nil {
		l.log.Debug("raise token", "error", err)
	} else {
		l.log.Info("token raised: copies of direct commands are void", "token", next)
	}
}
