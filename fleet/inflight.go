package fleet

import (
	"slices"

	"cedardoor/clock"
	"cedardoor/wire"
)

// InFlightCommand is a direct command to a worker, with the runs that it carries.
type InFlightCommand struct {
	Machine     *Machine
	Incarnation uint64
	Token       uint64
	Commands    []wire.Command
	runs        []*Allocation
}

// OnlyStops tells whether the command carries nothing but stops.
func (c *InFlightCommand) OnlyStops() bool {
	return !slices.ContainsFunc(c.Commands, func(command wire.Command) bool { return command.Verb != wire.VerbStop })
}

// HasRuns tells whether the command carries runs.
func (c *InFlightCommand) HasRuns() bool { return len(c.runs) > 0 }

// PrepareCommand makes the direct command to a worker; nil when there is nothing
// to tell it, or no way to. The caller tells CommandCompleted of its outcome.
func (f *Fleet) PrepareCommand(machine *Machine, now clock.Micros, token uint64, scope Scope) *InFlightCommand {
	if machine.Endpoint == "" || machine.LeaseExpired(now) {
		return nil
	}
	request := &InFlightCommand{
		Machine:     machine,
		Incarnation: machine.Incarnation,
		Token:       token,
		Commands:    f.Commands(machine, now, false, scope),
	}
	if len(request.Commands) == 0 {
		return nil
	}
	for _, command := range request.Commands {
		if command.Verb != wire.VerbRun {
			continue
		}
		if id, ok := ParseTask(command.Task); ok {
			allocation := machine.byKey[attemptKey{id, command.Attempt}]
			allocation.inFlight++
			request.runs = append(request.runs, allocation)
		}
	}
	return request
}

// Outcome is what is known of a direct command after it was sent.
type Outcome int

// The outcomes of a direct command.
const (
	// OutcomeUnknown: no definite answer. It may have been executed, or may yet be.
	OutcomeUnknown Outcome = iota
	// OutcomeExecuted: answered. A copy of it may still come, minutes later. After a
	// forget, the worker would take it for a new run under the same token.
	OutcomeExecuted
	// OutcomeNotExecuted: it was not executed, and no copy of it can be.
	OutcomeNotExecuted
)

// CommandCompleted takes in the outcome of a direct command. Unless it was not
// executed, its runs may arrive until the worker has seen a higher token or is in
// a newer incarnation.
func (f *Fleet) CommandCompleted(request *InFlightCommand, outcome Outcome) {
	for _, allocation := range request.runs {
		allocation.inFlight--
		if outcome != OutcomeNotExecuted && !allocation.removed {
			token := max(allocation.unfencedToken, request.Token)
			f.unfenced.mark(allocation, token, outcome == OutcomeExecuted)
		}
	}
}
