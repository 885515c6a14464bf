package fleet

import (
	"strconv"
	"strings"

	"cedardoor/wire"
)

// TaskID identifies a task by its job and its index in the job.
type TaskID struct {
	Job   string
	Index int
}

// String returns the wire form of the ID, which ParseTask parses.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTask parses the wire form of a task ID.
func ParseTask(name string) (id TaskID, ok bool) {
	job, number, found := strings.Cut(name, "/")
	index, err := strconv.Atoi(number)
	if !found || err != nil || index < 0 || !wire.ValidUID(job) {
		return TaskID{}, false
	}
	return TaskID{Job: job, Index: index}, true
}
