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

// String gives the protocol's form.
func (p TaskID) String() string { return p.Job + "/" + strconv.Itoa(p.Index) }

// ParseTask reads the protocol's form.
func ParseTask(s string) (TaskID, bool) {
	job, num, found := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	if !found || err != nil || n < 0 || !wire.ValidUID(job) {
		return TaskID{}, false
	}
	return TaskID{Job: job, Index: n}, true
}
