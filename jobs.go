package cedardoor

import (
	"slices"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/plan"
	"cedardoor/quota"
	"cedardoor/store"
	"cedardoor/wire"
)

type taskState uint8

const (
	taskWaiting taskState = iota
	taskPlaced
	taskDone
	// taskUnreadable: the record of its attempts can't be decoded, so it may run somewhere.
	taskUnreadable
)

// Task is one task as the leader sees it.
type Task struct {
	state      taskState
	attempt    uint64
	allocation *fleet.Allocation // where it is, when placed
	moveTarget *fleet.Allocation // where it goes once it has left, when it moves
	notBefore  clock.Micros      // backing off until
	failures   int
	hasRun     bool
	queued     bool // among its job's waiting tasks
	// reservation counts for an unreadable task as long as it may run somewhere.
	reservation *quota.Reservation
}

// Chunk is the durable record of some of a job's tasks.
type Chunk struct {
	modRevision   uint64
	version       uint64 // raised by every change
	savedVersion  uint64 // seq of what is durable
	endedAttempts []*fleet.Allocation
	// unreadable is how many of its tasks may run somewhere by a record that can't be
	// decoded: it is not written over before all of them are known.
	unreadable int
}

// Job is an unfinished job, or one whose tasks are still being stopped.
type Job struct {
	uid                 string
	spec                wire.Spec
	priority            wire.Priority
	modRevision         uint64
	acceptedAt          int64 // wall clock of its acceptance, in microseconds
	seenAt              clock.Micros
	order               int64
	cancelled           bool
	cancellationPending bool // said to be cancelled, and not yet looked up: its tasks stop, none is started
	tasks               []Task
	waiting             []int
	done                int
	chunks              []Chunk
	pendingResult       *fleet.Allocation // of its only task, until that is durable
	shared              *SharedRecord     // the record of its only task, when it has one, instead
	started             bool
	failures            failureHistory // what its tasks' failures tell of it
	runTimes            runTimeStat
	arrivalCounted      bool         // its work is among the arrivals
	running             int          // tasks now running
	lastPlacedAt        clock.Micros // when one of its tasks was placed last
	preemptionExempt    bool         // waited long before any task began: the first ones are not preempted
	planJob             *plan.Job
	// Counted from its submission: when it is due and by when jobs of its class
	// should be done, zero where nothing is said, and by when their tasks should
	// have begun, noSlack where nothing is said.
	deadline, finishWithin, startWithin clock.Micros
}

// runTimeStat is what is known of how long a job's tasks run.
type runTimeStat struct {
	count int
	total clock.Micros
}

func (r runTimeStat) mean() clock.Micros {
	if r.count == 0 {
		return 0
	}
	return r.total / clock.Micros(r.count)
}

func (j *Job) isService() bool { return j.spec.Kind == wire.KindService }

// bestEffort tells whether the job is work that runs when there is room.
func (j *Job) bestEffort() bool {
	return j.priority == wire.PriorityLow && !j.isService() && !j.isGang()
}

// isGang tells whether the job's tasks run only all together.
func (j *Job) isGang() bool { return j.spec.Kind == wire.KindGang }

func (j *Job) markChanged(index int) *Chunk {
	if j.shared != nil {
		j.shared.version++
		return &j.shared.Chunk
	}
	chunk := &j.chunks[index/store.TasksPerChunk]
	chunk.version++
	return chunk
}

// pruneWaiting drops waiting entries that no longer wait.
func (j *Job) pruneWaiting() {
	j.waiting = slices.DeleteFunc(j.waiting, func(i int) bool {
		j.tasks[i].queued = j.tasks[i].state == taskWaiting
		return !j.tasks[i].queued
	})
}
