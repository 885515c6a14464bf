// Package dispatcher tracks the direct commands to workers, and decides when unanswered ones must
// be fenced. It does no I/O and has no lock: the leader's lock guards it, and the leader sends the
// commands.
package dispatcher

import (
	"cedardoor/clock"
	"cedardoor/fleet"
)

const (
	// minRaiseInterval is the minimum time between two raises of the token. A worker reports a new
	// token at once, but not again within half a lease, so frequent raises would keep it from
	// reporting the token of a next leader promptly. Results that wait cost only an entry each in
	// the reports, as long as there are not too many.
	minRaiseInterval = 4 * clock.Second
	// fencingCheckInterval is the interval between checks for results that await fencing.
	fencingCheckInterval = 1 * clock.Second
	// maxResultWaitLeases is how many leases results may wait on the workers for a higher token.
	maxResultWaitLeases = 2
)

// Dispatcher tracks the direct commands of one term.
type Dispatcher struct {
	fleet            *fleet.Fleet
	maxInFlight      int
	lease            clock.Micros            // of a worker
	termStart        clock.Micros            // when the term began
	inFlight         map[string]bool         // machines with a command in flight
	urgent           map[*fleet.Machine]bool // machines with commands that should not wait for a heartbeat
	tokenRaisedAt    clock.Micros
	fencingCheckedAt clock.Micros // when results that await fencing were last checked
}

// New returns a Dispatcher that has at most maxInFlight commands in flight.
func New(f *fleet.Fleet, maxInFlight int, lease, termStart clock.Micros) *Dispatcher {
	return &Dispatcher{fleet: f, maxInFlight: maxInFlight, lease: lease, termStart: termStart,
		inFlight: map[string]bool{}, urgent: map[*fleet.Machine]bool{}}
}

// MarkUrgent records that a machine has commands that should not wait for its next heartbeat.
func (d *Dispatcher) MarkUrgent(machine *fleet.Machine) { d.urgent[machine] = true }

// IsUrgent reports whether a machine is marked as urgent.
func (d *Dispatcher) IsUrgent(machine *fleet.Machine) bool { return d.urgent[machine] }

// Forget drops a machine that is no longer known.
func (d *Dispatcher) Forget(machine *fleet.Machine) { delete(d.urgent, machine) }

// InFlight reports whether a command to a machine is in flight.
func (d *Dispatcher) InFlight(machine string) bool { return d.inFlight[machine] }

// Prepare returns the commands to send now, with the given token and scope. hasOrphansToStop
// reports whether a machine runs unknown tasks that are to be stopped.
func (d *Dispatcher) Prepare(now clock.Micros, token uint64, scope fleet.Scope, hasOrphansToStop func(*fleet.Machine) bool) (commands []*fleet.InFlightCommand) {
	for machine := range d.urgent {
		if len(d.inFlight) >= d.maxInFlight {
			break
		}
		if d.inFlight[machine.Name] {
			continue // stays urgent until that command has completed
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

// needsCommand reports whether a machine has commands that should not wait for its next heartbeat,
// and marks their stops as sent.
func needsCommand(machine *fleet.Machine, scope fleet.Scope) bool {
	urgent := machine.Restarted()
	machine.EachAllocation(func(allocation *fleet.Allocation) {
		if !allocation.Live() || allocation.Incarnation != machine.Incarnation {
			return
		}
		run := scope == fleet.AllCommands && allocation.Durable && !allocation.Stopping && allocation.FirstSentAt() == 0 && !allocation.HeartbeatOnly
		if run || allocation.Stopping && !allocation.StopSent {
			urgent = true
			allocation.StopSent = allocation.Stopping
		}
	})
	return urgent
}

// InFlightCount returns the number of commands in flight.
func (d *Dispatcher) InFlightCount() int { return len(d.inFlight) }

// Completed records that a command is no longer in flight.
func (d *Dispatcher) Completed(command *fleet.InFlightCommand) {
	delete(d.inFlight, command.Machine.Name)
}

// FencingDue reports whether the token is to be raised now. It is raised when runs are in doubt at
// workers that report, so that late copies of them are void. It is also raised from time to time
// for runs that were answered: a copy of one could arrive after the worker has forgotten the
// attempt, so results stay on the workers until that is impossible.
func (d *Dispatcher) FencingDue(now clock.Micros, token uint64) (due bool) {
	intervalElapsed := now-d.tokenRaisedAt > minRaiseInterval
	due = (d.tokenRaisedAt == 0 || intervalElapsed) && d.fleet.UnfencedCount(now, token) > 0
	if !due && intervalElapsed && now-d.fencingCheckedAt > fencingCheckInterval {
		d.fencingCheckedAt = now
		waited := now - max(d.tokenRaisedAt, d.termStart)
		due = d.fleet.TakeReportOverloaded() || waited > maxResultWaitLeases*d.lease && d.fleet.ResultsAwaitFencing(token)
	}
	return due
}

// TokenRaised records that the token is raised now.
func (d *Dispatcher) TokenRaised(now clock.Micros) { d.tokenRaisedAt = now }
