package standin

import (
	"time"

	"cedardoor/wire"
)

// Observer is what simulated machines tell of their tasks, and ask about them.
type Observer interface {
	// Job returns what users submitted of a job.
	Job(uid string) (wire.Spec, bool)
	// Accepted is called when a machine accepts a task, before it fetches the image.
	Accepted(m *Machine, task string)
	// Started is called when a task runs on a machine from now on.
	Started(m *Machine, task string)
	// RunTime returns how long a task runs; 0 when its result is there already.
	RunTime(task string) time.Duration
	// Completed is called when a task has completed.
	Completed(task string)
	// Fails reports whether a task fails as it starts on a machine.
	Fails(m *Machine, task string) bool
}
