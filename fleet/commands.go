package fleet

import (
	"cedardoor/clock"
	"cedardoor/recovery"
	"cedardoor/wire"
)

// maxCommands keeps a response to a heartbeat, and a direct command, under 64 KiB.
const maxCommands = 600

// Scope is the set of commands that a leader may send at present.
type Scope int

// Scopes, each including those before it.
const (
	// StopsOnly: nothing new may be commanded, but a stop violates no rule.
	StopsOnly Scope = iota
	// NoRuns: all but runs, since some cancellations may be unknown.
	NoRuns
	// AllCommands: tasks may be started as well.
	AllCommands
)

// Commands returns the commands for a worker. Runs in the response to a heartbeat
// are recorded with that heartbeat's sequence. Commands that exceed the size of a
// message are left to the next one.
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
			if allocation.awaitsStop(now) {
				commands = append(commands, allocation.stopCommand(now))
			}
		case scope == AllCommands && allocation.awaitsRun(viaHeartbeat):
			runs = append(runs, wire.Command{Verb: wire.VerbRun, Task: allocation.Task.String(), Attempt: allocation.Attempt})
			if viaHeartbeat {
				allocation.heartbeatSequence = machine.Sequence
			}
			allocation.markSent(now)
		}
	}
	// Stops come first: they free the resources that runs need.
	return append(commands, runs...)
}

// appendStops appends the stops that attempts on the machine await.
func (f *Fleet) appendStops(commands []wire.Command, machine *Machine, now clock.Micros) []wire.Command {
	for _, allocation := range machine.allocations {
		f.Examined++
		current := allocation.Live() && allocation.Incarnation == machine.Incarnation
		if allocation.Stopping && current && allocation.awaitsStop(now) && len(commands) < maxCommands {
			commands = append(commands, allocation.stopCommand(now))
		}
	}
	return commands
}

// appendOrphanCommands appends the commands that remove the machine's orphans:
// each is stopped, then forgotten. A run from an earlier term may start an orphan
// again until the worker has seen a token of this term; only then is it forgotten.
func (f *Fleet) appendOrphanCommands(commands []wire.Command, machine *Machine, viaHeartbeat bool) []wire.Command {
	for _, key := range sortedKeys(machine.orphans) {
		if len(commands) >= maxCommands {
			break
		}
		switch f.decideOrphan(key.task, machine.orphans[key].observation()) {
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

// appendEndCommand appends the command that an ended attempt requires, if any.
func (a *Allocation) appendEndCommand(commands []wire.Command) []wire.Command {
	switch {
	case a.ResultDurable && !a.mayArrive() && a.Status == wire.TaskEnded:
		return append(commands, a.key().forgetCommand())
	case a.reportedLive(): // started again by a copy of the command
		return append(commands, a.key().stopAtOnce())
	}
	return commands
}

// awaitsRun reports whether the attempt's run is to be sent.
func (a *Allocation) awaitsRun(viaHeartbeat bool) bool {
	return a.Durable && a.Status == "" && a.inFlight == 0 &&
		(viaHeartbeat || !a.HeartbeatOnly || a.Machine.Restarted())
}

// awaitsStop reports whether an attempt that is being stopped is to be sent a stop: it is reported, and
// does not save within its grace period.
func (a *Allocation) awaitsStop(now clock.Micros) bool {
	saves := a.Status == wire.TaskFlushing && a.remainingGrace(now) > 0
	return a.reportedLive() && !saves
}

// stopCommand returns a stop of the attempt with its remaining grace period.
func (a *Allocation) stopCommand(now clock.Micros) wire.Command {
	return a.key().stopCommand(a.remainingGrace(now))
}

// stopAtOnce returns a stop of the attempt without a grace period.
func (k attemptKey) stopAtOnce() wire.Command { return k.stopCommand(0) }

func (k attemptKey) stopCommand(grace float64) wire.Command {
	return wire.Command{Verb: wire.VerbStop, Task: k.task.String(), Attempt: k.attempt, GraceS: &grace}
}

// forgetCommand returns the command to forget the attempt's result.
func (k attemptKey) forgetCommand() wire.Command {
	return wire.Command{Verb: wire.VerbForget, Task: k.task.String(), Attempt: k.attempt}
}
