package fleet

import (
	"strconv"
	"strings"

	"cedardoor/wire"
)

// TaskID names a task.
type TaskID struct {
	Job   string
	Index int
}

// String gives the protocol's form, which ParseTask reads.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTask reads the protocol's form of a task's name.
func ParseTask(name string) (id TaskID, ok bool) {
	job, number, found := strings.Cut(name, "/")
	index, err := strconv.Atoi(number)
	if !found || err != nil || index < 0 || !wire.ValidUID(job) {
		return TaskID{}, false
	}
	return TaskID{Job: job, Index: index}, true
}
