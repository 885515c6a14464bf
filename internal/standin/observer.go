package standin

import (
	"time"

	"cedardoor/wire"
)

// Observer is notified of the progress of tasks on simulated machines, and tells the machines
// what to run.
type Observer interface {
	// Job returns the job that users submitted under an ID.
	Job(uid string) (wire.Spec, bool)
	// Accepted is called when a machine accepts a task, before it fetches the image.
	Accepted(m *Machine, task string)
	// Started is called when a task starts to run on a machine.
	Started(m *Machine, task string)
	// RunTime returns how long a task runs; 0 if it has completed before.
	RunTime(task string) time.Duration
	// Completed is called when a task has completed.
	Completed(task string)
	// Fails reports whether a task fails when it starts on a machine.
	Fails(m *Machine, task string) bool
}
