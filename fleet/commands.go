package fleet

import (
	"cedardoor/clock"
	"cedardoor/recovery"
	"cedardoor/wire"
)

// maxCommands keeps an answer to a worker, and a direct command, under 64 KiB.
const maxCommands = 600

// Scope is what a leader may tell workers now.
type Scope int

// The scopes, each with all of those before it.
const (
	// StopsOnly: it may not command anything new. A stop breaks no rule.
	StopsOnly Scope = iota
	// NoRuns: it may command, but may not know of all cancellations.
	NoRuns
	// AllCommands: it may start tasks as well.
	AllCommands
)

// Commands lists what a worker is to be told. Runs in the answer to a heartbeat
// are noted as sent with that heartbeat's sequence. Where there is more than a
// message holds, the next one goes on.
func (f *Fleet) Commands(machine *Machine, now clock.Micros, viaHeartbeat bool, scope Scope) []wire.Command {
	commands := []wire.Command{}
	if machine.unchanged {
		return commands
	}
	if scope == StopsOnly {
		return f.appendStops(commands, machine, now)
	}
	commands = f.appendOrphanCommands(commands, machine, viaHeartbeat)
	var runs []wire.Command
	for _, allocation := range machine.allocations {
		f.Examined++
		if len(commands)+len(runs) >= maxCommands {
			break
		}
		if allocation.Incarnation != machine.Incarnation {
			continue
		}
		switch {
		case allocation.Ended:
			commands = allocation.appendEndCommand(commands)
		case allocation.Stopping:
			if allocation.reportedLive() {
				commands = append(commands, allocation.stopCommand(now))
			}
		case scope == AllCommands && allocation.awaitsRun(viaHeartbeat):
			runs = append(runs, wire.Command{Verb: wire.VerbRun, Task: allocation.Task.String(), Attempt: allocation.Attempt})
			if viaHeartbeat {
				allocation.heartbeatSequence = machine.Sequence
			}
			allocation.noteSent(now)
		}
	}
	// Stops come first: they make the room that runs need.
	return append(commands, runs...)
}

// appendStops appends the stops of attempts that the machine shows.
func (f *Fleet) appendStops(commands []wire.Command, machine *Machine, now clock.Micros) []wire.Command {
	for _, allocation := range machine.allocations {
		f.Examined++
		current := allocation.Live() && allocation.Incarnation == machine.Incarnation
		if allocation.Stopping && current && allocation.reportedLive() && len(commands) < maxCommands {
			commands = append(commands, allocation.stopCommand(now))
		}
	}
	return commands
}

// appendOrphanCommands appends what ends the machine's orphans: each is stopped,
// then forgotten. A run of an earlier term may start one again until the worker
// has seen a token of this term; only then is it forgotten.
func (f *Fleet) appendOrphanCommands(commands []wire.Command, machine *Machine, viaHeartbeat bool) []wire.Command {
	for _, key := range sortedKeys(machine.orphans) {
		if len(commands) >= maxCommands {
			break
		}
		switch f.decideOrphan(key.task, machine.orphans[key].sign()) {
		case recovery.Stop:
			commands = append(commands, key.stopAtOnce())
		case recovery.Release:
			if viaHeartbeat && machine.Token >= f.firstToken {
				commands = append(commands, key.forgetCommand())
			}
		}
	}
	return commands
}

// appendEndCommand appends what an ended attempt calls for, if anything.
func (a *Allocation) appendEndCommand(commands []wire.Command) []wire.Command {
	switch {
	case a.ResultDurable && !a.mayArrive() && a.Status == wire.TaskEnded:
		return append(commands, a.key().forgetCommand())
	case a.reportedLive(): // started once more, by a copy of the command
		return append(commands, a.key().stopAtOnce())
	}
	return commands
}

// awaitsRun tells whether the attempt is to be started.
func (a *Allocation) awaitsRun(viaHeartbeat bool) bool {
	return a.Durable && a.Status == "" && a.inFlight == 0 &&
		(viaHeartbeat || !a.HeartbeatOnly || a.Machine.Restarted())
}

// stopCommand stops the attempt, with what is left of its grace.
func (a *Allocation) stopCommand(now clock.Micros) wire.Command {
	return a.key().stopCommand(a.remainingGrace(now))
}

// stopAtOnce stops the attempt without grace.
func (k attemptKey) stopAtOnce() wire.Command { return k.stopCommand(0) }

func (k attemptKey) stopCommand(grace float64) wire.Command {
	return wire.Command{Verb: wire.VerbStop, Task: k.task.String(), Attempt: k.attempt, GraceS: &grace}
}

// forgetCommand lets the worker forget the attempt's result.
func (k attemptKey) forgetCommand() wire.Command {
	return wire.Command{Verb: wire.VerbForget, Task: k.task.String(), Attempt: k.attempt}
}
