// Package dispatcher follows the direct commands to workers, and when those that went unanswered
// have to be fenced. It does no I/O and has no lock: the leader's own lock guards it, and the
// leader sends the commands.
package dispatcher

import (
	"cedardoor/clock"
	"cedardoor/fleet"
)

const (
	// minRaiseInterval is how far apart tokens are raised. A worker tells of a new token at once,
	// but not again within half a lease, so raising it often would keep a next leader from being
	// told of its own; and what waits takes but a line in the reports, as long as it is not too many.
	minRaiseInterval = 4 * clock.Second
	// fencingCheckInterval is how far apart repeats of commands are looked for.
	fencingCheckInterval = 1 * clock.Second
	// repeatLeases is how many leases results may wait on the workers for a higher token.
	repeatLeases = 2
)

// Dispatcher follows the direct commands of one term.
type Dispatcher struct {
	fleet            *fleet.Fleet
	maxInFlight      int
	lease            clock.Micros            // of a worker
	since            clock.Micros            // when the term began
	inFlight         map[string]bool         // machines with a command in flight
	urgent           map[*fleet.Machine]bool // machines with commands that should not wait for a heartbeat
	tokenRaisedAt    clock.Micros
	fencingCheckedAt clock.Micros // when repeats of commands were last looked for
}

// New makes a Dispatcher that has at most so many commands in flight.
func New(f *fleet.Fleet, maxInFlight int, lease, since clock.Micros) *Dispatcher {
	return &Dispatcher{fleet: f, maxInFlight: maxInFlight, lease: lease, since: since,
		inFlight: map[string]bool{}, urgent: map[*fleet.Machine]bool{}}
}

// MarkUrgent notes that a machine has commands that should not wait for its next heartbeat.
func (d *Dispatcher) MarkUrgent(machine *fleet.Machine) { d.urgent[machine] = true }

// IsUrgent tells whether a machine has such commands.
func (d *Dispatcher) IsUrgent(machine *fleet.Machine) bool { return d.urgent[machine] }

// Forget drops a machine that is no longer known.
func (d *Dispatcher) Forget(machine *fleet.Machine) { delete(d.urgent, machine) }

// InFlight tells whether a command to a machine is in flight.
func (d *Dispatcher) InFlight(machine string) bool { return d.inFlight[machine] }

// Prepare makes the commands that are to be sent now, under a token and within a scope. It asks
// hasOrphansToStop whether a machine runs tasks that are unknown and to be stopped.
func (d *Dispatcher) Prepare(now clock.Micros, token uint64, scope fleet.Scope, hasOrphansToStop func(*fleet.Machine) bool) (commands []*fleet.InFlightCommand) {
	for machine := range d.urgent {
		if len(d.inFlight) >= d.maxInFlight {
			break
		}
		if d.inFlight[machine.Name] {
			continue // looked at again when that has ended
		}
		if scope == fleet.AllCommands {
			delete(d.urgent, machine)
		}
		if !machine.Reported || machine.Suspect || machine.Returning || d.fleet.Machine(machine.Name) != machine {
			continue
		}
		orphans := !machine.Restarted() && scope > fleet.StopsOnly && hasOrphansToStop(machine)
		if !needsCommand(machine, scope) && !orphans {
			continue
		}
		if command := d.fleet.PrepareCommand(machine, now, token, scope); command != nil {
			d.inFlight[machine.Name] = true
			commands = append(commands, command)
		}
	}
	return commands
}

// needsCommand tells whether a machine has commands that should not wait for its next heartbeat.
func needsCommand(machine *fleet.Machine, scope fleet.Scope) bool {
	urgent := machine.Restarted()
	machine.EachAllocation(func(allocation *fleet.Allocation) {
		if !allocation.Live() || allocation.Incarnation != machine.Incarnation {
			return
		}
		run := scope == fleet.AllCommands && allocation.Durable && !allocation.Stopping && allocation.Sent() == 0 && !allocation.HeartbeatOnly
		if run || allocation.Stopping && !allocation.StopSent {
			urgent = true
			allocation.StopSent = allocation.Stopping
		}
	})
	return urgent
}

// InFlightCount is how many commands are in flight.
func (d *Dispatcher) InFlightCount() int { return len(d.inFlight) }

// Completed notes that a command is no longer in flight.
func (d *Dispatcher) Completed(command *fleet.InFlightCommand) {
	delete(d.inFlight, command.Machine.Name)
}

// FencingDue tells whether the token is to be raised now: when runs are in doubt at workers that do
// report, so that a late copy of them is void. Now and then it is raised for those that were
// answered, too: a copy of one may come again after the worker has forgotten the attempt, so
// results stay on the workers until it can't.
func (d *Dispatcher) FencingDue(now clock.Micros, token uint64) (due bool) {
	rested := now-d.tokenRaisedAt > minRaiseInterval
	due = (d.tokenRaisedAt == 0 || rested) && d.fleet.UnfencedCount(now, token) > 0
	if !due && rested && now-d.fencingCheckedAt > fencingCheckInterval {
		d.fencingCheckedAt = now
		waited := now - max(d.tokenRaisedAt, d.since)
		due = d.fleet.TakeReportOverloaded() || waited > repeatLeases*d.lease && d.fleet.ResultsAwaitFencing(token)
	}
	return due
}

// TokenRaised notes that the token is raised now.
func (d *Dispatcher) TokenRaised(now clock.Micros) { d.tokenRaisedAt = now }
