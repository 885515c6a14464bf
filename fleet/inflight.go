package fleet

import (
	"slices"

	"cedardoor/clock"
	"cedardoor/wire"
)

// InFlightCommand is a /do on its way with the runs it carries.
type InFlightCommand struct {
	Machine     *Machine
	Incarnation uint64
	Token       uint64
	Commands    []wire.Command
	runs        []*Allocation
}

// OnlyStops tells whether a flight carries nothing but stops.
func (fl *InFlightCommand) OnlyStops() bool {
	return !slices.ContainsFunc(fl.Commands, func(o wire.Command) bool { return o.Verb != wire.VerbStop })
}

// HasRuns tells whether a flight carries runs.
func (fl *InFlightCommand) HasRuns() bool { return len(fl.runs) > 0 }

// PrepareCommand collects the orders for a /do; nil when there is nothing to say.
func (f *Fleet) PrepareCommand(machine *Machine, now clock.Micros, token uint64, scope Scope) *InFlightCommand {
	if machine.Endpoint == "" || machine.LeaseExpired(now) {
		return nil
	}
	command := &InFlightCommand{Machine: machine, Incarnation: machine.Incarnation, Token: token, Commands: f.Commands(machine, now, false, scope)}
	if len(command.Commands) == 0 {
		return nil
	}
	for _, o := range command.Commands {
		if o.Verb != wire.VerbRun {
			continue
		}
		if id, ok := ParseTask(o.Task); ok {
			allocation := machine.byKey[attemptKey{id, o.Attempt}]
			allocation.inFlight++
			command.runs = append(command.runs, allocation)
		}
	}
	return command
}

// Outcome is what is known of a direct command.
type Outcome int

// The outcomes of a direct command.
const (
	// OutcomeUnknown: no definite answer. It may have been executed, or may yet be.
	OutcomeUnknown Outcome = iota
	// OutcomeExecuted: answered. A copy of it may still come, minutes later: after a
	// forget, the worker would take it for a new run under the same token and session.
	OutcomeExecuted
	// OutcomeNotExecuted: it was not executed, and no copy of it can be.
	OutcomeNotExecuted
)

// CommandCompleted takes in the outcome of a /do. Unless it is void, its runs may arrive
// until the worker has seen a higher token or is in a newer session.
func (f *Fleet) CommandCompleted(command *InFlightCommand, out Outcome) {
	for _, allocation := range command.runs {
		allocation.inFlight--
		if out != OutcomeNotExecuted && !allocation.removed {
			f.setUnfenced(allocation, max(allocation.unfencedToken, command.Token), out == OutcomeUnknown)
		}
	}
}
