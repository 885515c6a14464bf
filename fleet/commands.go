package fleet

import (
	"cedardoor/clock"
	"cedardoor/recovery"
	"cedardoor/wire"
)

// maxCommands keeps an answer to a worker, and a direct command, under 64 KiB.
const maxCommands = 600

// Scope is what a leader may tell workers right now.
type Scope int

// The scopes, each with all of those before it.
const (
	// StopsOnly: it may not order anything new. A stop breaks no rule.
	StopsOnly Scope = iota
	// NoRuns: it may order, but may not know all that was cancelled.
	NoRuns
	// AllCommands.
	AllCommands
)

// Commands lists what a worker should be told. For a heartbeat, the runs in it are
// noted as carried by the answer to the heartbeat of this tally.
func (f *Fleet) Commands(machine *Machine, now clock.Micros, viaHeartbeat bool, scope Scope) []wire.Command {
	orders := []wire.Command{}
	if machine.unchanged {
		return orders
	}
	if scope == StopsOnly {
		return f.stopCommands(machine, now)
	}
	var runs []wire.Command
	for _, key := range sortedKeys(machine.orphans) {
		if len(orders) >= maxCommands {
			break
		}
		switch f.decideOrphan(key, machine.orphans[key].sign()) {
		case recovery.Stop:
			// It is stopped, then forgotten.
			zero := 0.0
			orders = append(orders, wire.Command{Verb: wire.VerbStop, Task: key.task.String(), Attempt: key.attempt, GraceS: &zero})
		case recovery.Release:
			if viaHeartbeat && machine.Token >= f.firstToken {
				orders = append(orders, wire.Command{Verb: wire.VerbForget, Task: key.task.String(), Attempt: key.attempt})
			}
		}
	}
	for _, allocation := range machine.allocations {
		f.Examined++
		if len(orders)+len(runs) >= maxCommands {
			break // the next answer goes on from here
		}
		if allocation.Incarnation != machine.Incarnation {
			continue
		}
		switch {
		case allocation.Ended:
			if allocation.ResultDurable && !allocation.mayArrive() && allocation.Status == wire.TaskEnded {
				orders = append(orders, wire.Command{Verb: wire.VerbForget, Task: allocation.Task.String(), Attempt: allocation.Attempt})
			} else if allocation.Status != "" && allocation.Status != wire.TaskEnded {
				// Started once more by a copy, in a new process.
				zero := 0.0
				orders = append(orders, wire.Command{Verb: wire.VerbStop, Task: allocation.Task.String(), Attempt: allocation.Attempt, GraceS: &zero})
			}
		case allocation.Stopping:
			if allocation.Status != "" && allocation.Status != wire.TaskEnded {
				orders = append(orders, allocation.stopCommand(now))
			}
		case allocation.Durable && scope == AllCommands && allocation.Status == "" && allocation.inFlight == 0 && (viaHeartbeat || !allocation.HeartbeatOnly || machine.Restarted()):
			runs = append(runs, wire.Command{Verb: wire.VerbRun, Task: allocation.Task.String(), Attempt: allocation.Attempt})
			if viaHeartbeat {
				allocation.heartbeatSequence = machine.Sequence
			}
			if allocation.firstSent == 0 {
				allocation.firstSent = now
			}
		}
	}
	// Stops come first: they make the room that runs need.
	return append(orders, runs...)
}

// stopCommands lists the stops of attempts that are on the machine.
func (f *Fleet) stopCommands(machine *Machine, now clock.Micros) []wire.Command {
	orders := []wire.Command{}
	for _, allocation := range machine.allocations {
		f.Examined++
		if allocation.Stopping && allocation.Live() && allocation.Incarnation == machine.Incarnation && allocation.Status != "" && allocation.Status != wire.TaskEnded && len(orders) < maxCommands {
			orders = append(orders, allocation.stopCommand(now))
		}
	}
	return orders
}

// stopCommand is the command that stops an attempt, with what is left of its leeway.
func (b *Allocation) stopCommand(now clock.Micros) wire.Command {
	left := max(0, b.Grace-(now-b.StopRequestedAt).Seconds())
	return wire.Command{Verb: wire.VerbStop, Task: b.Task.String(), Attempt: b.Attempt, GraceS: &left}
}
