package cedardoor

import (
	"context"
	"errors"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/wire"
)

// dispatcher follows the direct commands to workers, and the fencing of those that went unanswered.
type dispatcher struct {
	inFlight         map[string]bool         // machines with a command in flight
	urgentMachines   map[*fleet.Machine]bool // machines with commands that should not wait for a heartbeat
	tokenRaisedAt    clock.Micros
	fencingCheckedAt clock.Micros // when repeats of commands were last looked for
}

func newDispatcher() dispatcher {
	return dispatcher{inFlight: map[string]bool{}, urgentMachines: map[*fleet.Machine]bool{}}
}

// dispatch sends direct commands to the machines that have some waiting.
func (l *leader) dispatch(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	token, _ := l.elector.HoldsLease()
	scope := l.commandScope()
	now := l.clock.Now()
	for machine := range l.dispatcher.urgentMachines {
		if len(l.dispatcher.inFlight) >= l.budget.Commands {
			break
		}
		if l.dispatcher.inFlight[machine.Name] {
			continue // looked at again when it has landed
		}
		if scope == fleet.AllCommands {
			delete(l.dispatcher.urgentMachines, machine)
		}
		if !machine.Reported || machine.Suspect || machine.Returning || l.fleet.Machine(machine.Name) != machine || !l.urgent(machine, scope) {
			continue
		}
		command := l.fleet.PrepareCommand(machine, now, token, scope)
		if command == nil {
			continue
		}
		l.dispatcher.inFlight[machine.Name] = true
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
	delete(l.dispatcher.inFlight, command.Machine.Name)
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
	more := l.dispatcher.urgentMachines[command.Machine] && l.commandScope() == fleet.StopsOnly
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
	due := may && (l.dispatcher.tokenRaisedAt == 0 || now-l.dispatcher.tokenRaisedAt > 4*clock.Second) && l.fleet.UnfencedCount(now, token) > 0
	// A worker tells of a new token at once, but not again within half a lease, so
	// raising it often would keep a next leader from being told of its own; and what
	// waits takes but a line in the reports, as long as it is not too many.
	if now-l.dispatcher.fencingCheckedAt > clock.Second && may && !due && now-l.dispatcher.tokenRaisedAt > 4*clock.Second {
		l.dispatcher.fencingCheckedAt = now
		due = l.fleet.TakeReportOverloaded() || now-max(l.dispatcher.tokenRaisedAt, l.term.Since) > 2*clock.FromSeconds(l.cfg.Facts.Workers.LeaseS) && l.fleet.ResultsAwaitFencing(token)
	}
	if due {
		l.dispatcher.tokenRaisedAt = now
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
