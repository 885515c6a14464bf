package fleet

import (
	"slices"

	"cedardoor/clock"
	"cedardoor/wire"
)

// InFlightCommand is a direct command to a worker, and the allocations whose runs
// it carries.
type InFlightCommand struct {
	Machine     *Machine
	Incarnation uint64
	Token       uint64
	Commands    []wire.Command
	runs        []*Allocation
}

// OnlyStops reports whether the command carries only stops.
func (c *InFlightCommand) OnlyStops() bool {
	return !slices.ContainsFunc(c.Commands, func(command wire.Command) bool { return command.Verb != wire.VerbStop })
}

// HasRuns reports whether the command carries runs.
func (c *InFlightCommand) HasRuns() bool { return len(c.runs) > 0 }

// PrepareCommand returns the direct command to a worker, or nil if there is
// nothing to send, the endpoint is unknown or the lease has expired. The caller
// reports the outcome with CommandCompleted.
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

// Outcomes of a direct command.
const (
	// OutcomeUnknown: no definite response. The command may have been executed, or
	// may still be.
	OutcomeUnknown Outcome = iota
	// OutcomeExecuted: answered. A copy may still arrive minutes later. After a
	// forget, the worker would take it for a new run under the same token.
	OutcomeExecuted
	// OutcomeNotExecuted: the command was not executed, and no copy of it can be.
	OutcomeNotExecuted
)

// CommandCompleted records the outcome of a direct command. Unless it was not
// executed, its runs may still arrive until the worker has seen a higher token or
// has begun a newer incarnation.
func (f *Fleet) CommandCompleted(request *InFlightCommand, outcome Outcome) {
	for _, allocation := range request.runs {
		allocation.inFlight--
		if outcome != OutcomeNotExecuted && !allocation.removed {
			token := max(allocation.unfencedToken, request.Token)
			f.unfenced.mark(allocation, token, outcome == OutcomeExecuted)
		}
	}
}
