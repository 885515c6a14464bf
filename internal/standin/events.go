package standin

import (
	"time"

	"cedardoor/wire"
)

// EventKind is what happens on a machine.
type EventKind int

// The kinds of events.
const (
	// EventOrdered: a command is executed.
	EventOrdered EventKind = iota
	// EventStarted: a task is on the machine from now on.
	EventStarted
	// EventEnded: a task is no longer there; Cause tells why.
	EventEnded
)

// Why tasks end, beside the protocol's causes.
const (
	CauseLapsed    = "lease over"
	CauseRestarted = "worker restarted"
	CauseGone      = "machine gone"
)

// Event is one thing that happens on a machine.
type Event struct {
	At      time.Time
	Machine string
	Kind    EventKind
	Task    string
	Attempt uint64
	Verb    string // of a command
	Live    bool   // a command: the attempt is there and has not ended
	Cause   string // of an end
}

// tell tells of a task. The caller holds mu.
func (m *Machine) tell(kind EventKind, t *task, cause string) {
	if m.Watch != nil {
		m.Watch(Event{At: time.Now(), Machine: m.Host.UID, Kind: kind, Task: t.Task, Attempt: t.Attempt, Cause: cause})
	}
}

// tellOrder tells of a command. The caller holds mu.
func (m *Machine) tellOrder(o wire.Command, live bool) {
	if m.Watch != nil {
		m.Watch(Event{At: time.Now(), Machine: m.Host.UID, Kind: EventOrdered, Task: o.Task, Attempt: o.Attempt, Verb: o.Verb, Live: live})
	}
}

// recordSpan is how long a controller may take to record a result that it was told.
const recordSpan = 5 * time.Second

// drop ends all tasks at once, without a report. Results are lost with them that no answered report
// has told, or only right before the last answer: whoever was told may have ended. The caller holds mu.
func (m *Machine) drop(cause string) {
	for _, t := range m.tasks {
		lost := t.told.IsZero() || m.told.Sub(t.told) < recordSpan
		if t.live() || lost && cause != CauseGone { // what is returned has been recorded
			m.tell(EventEnded, t, cause)
		}
	}
	m.tasks = nil
}

// answered notes that a report that was sent then was. The caller holds mu.
func (m *Machine) answered(rep wire.Heartbeat, sent time.Time) {
	for _, p := range rep.Tasks {
		if p.Status != wire.TaskEnded {
			continue
		}
		for _, t := range m.tasks {
			if t.told.IsZero() && t.Task == p.Task && t.Attempt == p.Attempt {
				t.told = sent
			}
		}
	}
}
