package standin

import (
	"time"

	"cedardoor/wire"
)

// EventKind tells what happened on a machine.
type EventKind int

// The kinds of events.
const (
	// EventCommand: a command is executed.
	EventCommand EventKind = iota
	// EventStarted: a task runs on the machine from now on.
	EventStarted
	// EventEnded: a task no longer runs; Cause tells why.
	EventEnded
)

// Causes for which tasks end, in addition to those of the protocol.
const (
	CauseLeaseExpired   = "lease over"
	CauseRestarted      = "worker restarted"
	CauseMachineRemoved = "machine gone"
)

// Event is one thing that happens on a machine.
type Event struct {
	At      time.Time
	Machine string
	Kind    EventKind
	Task    string
	Attempt uint64
	Verb    wire.Verb  // of EventCommand
	Live    bool       // of EventCommand: the attempt is on the machine and has not ended
	Cause   wire.Cause // of EventEnded
}

// emitTaskEvent emits an event of a task. The caller holds mu.
func (m *Machine) emitTaskEvent(kind EventKind, t *task, cause wire.Cause) {
	if m.OnEvent != nil {
		m.OnEvent(Event{At: time.Now(), Machine: m.Info.UID, Kind: kind, Task: t.Task, Attempt: t.Attempt, Cause: cause})
	}
}

// emitCommandEvent emits the event of a command. The caller holds mu.
func (m *Machine) emitCommandEvent(command wire.Command, live bool) {
	if m.OnEvent != nil {
		m.OnEvent(Event{At: time.Now(), Machine: m.Info.UID, Kind: EventCommand, Task: command.Task, Attempt: command.Attempt, Verb: command.Verb, Live: live})
	}
}
