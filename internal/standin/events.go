package standin

import (
	"time"

	"cedardoor/wire"
)

// EventKind is what happened on a machine.
type EventKind int

// The kinds of events.
const (
	// EventCommand: a command is executed.
	EventCommand EventKind = iota
	// EventStarted: a task starts to run.
	EventStarted
	// EventEnded: a task has ended, for the reason in Cause.
	EventEnded
)

// Causes of the end of tasks, in addition to those of the protocol.
const (
	CauseLeaseExpired   = "lease expired"
	CauseRestarted      = "worker restarted"
	CauseMachineRemoved = "machine removed"
)

// Event is something that happened on a machine.
type Event struct {
	At      time.Time
	Machine string
	Kind    EventKind
	Task    string
	Attempt uint64
	Verb    wire.Verb       // of EventCommand
	Live    bool            // of EventCommand: the machine has the attempt, which has not ended
	Cause   wire.Cause      // of EventEnded
	Status  wire.TaskStatus // of EventEnded: the status before
	Saved   bool            // of EventEnded: the progress was saved when the task was stopped
}

// emitStarted emits the event of a task that starts to run. The caller holds mu.
func (m *Machine) emitStarted(t *task) {
	if m.OnEvent != nil {
		m.OnEvent(Event{At: time.Now(), Machine: m.Info.UID, Kind: EventStarted, Task: t.Task, Attempt: t.Attempt})
	}
}

// emitEnded emits the event of a task that ends; its status is still that before the end. The caller
// holds mu.
func (m *Machine) emitEnded(t *task, cause wire.Cause) {
	if m.OnEvent != nil {
		m.OnEvent(Event{At: time.Now(), Machine: m.Info.UID, Kind: EventEnded, Task: t.Task, Attempt: t.Attempt, Cause: cause,
			Status: t.Status, Saved: t.Checkpointed})
	}
}

// emitCommandEvent emits the event of a command. The caller holds mu.
func (m *Machine) emitCommandEvent(command wire.Command, live bool) {
	if m.OnEvent != nil {
		m.OnEvent(Event{At: time.Now(), Machine: m.Info.UID, Kind: EventCommand, Task: command.Task, Attempt: command.Attempt, Verb: command.Verb, Live: live})
	}
}
