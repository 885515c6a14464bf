package jobs

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"cedardoor/fleet"
)

// Table holds the unfinished jobs, and those whose tasks are still being stopped.
type Table struct {
	byUID    map[string]*Job
	waiting  map[*Job]bool // jobs with tasks that wait for a machine
	changed  bool          // jobs were added, or may run again, since the last plan
	replicas int           // tasks of services that may exist on any machine
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{byUID: map[string]*Job{}, waiting: map[*Job]bool{}}
}

// Len returns the number of jobs.
func (t *Table) Len() int { return len(t.byUID) }

// Get returns a job; nil if it is unknown.
func (t *Table) Get(uid string) *Job { return t.byUID[uid] }

// All iterates over the jobs in no particular order.
func (t *Table) All() iter.Seq[*Job] { return maps.Values(t.byUID) }

// Sorted returns the jobs in order of acceptance.
func (t *Table) Sorted() []*Job {
	out := make([]*Job, 0, len(t.byUID))
	for _, job := range t.byUID {
		out = append(out, job)
	}
	slices.SortFunc(out, CompareAge)
	return out
}

// CompareAge orders jobs by acceptance, oldest first.
func CompareAge(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.AcceptedUS, b.AcceptedUS), cmp.Compare(a.UID, b.UID))
}

// Add adds a job.
func (t *Table) Add(job *Job) { t.byUID[job.UID] = job }

// Remove removes a job, but not from the queue; see Dequeue.
func (t *Table) Remove(job *Job) { delete(t.byUID, job.UID) }

// Waiting iterates over the queued jobs in no particular order. Jobs may be dequeued during the
// iteration.
func (t *Table) Waiting() iter.Seq[*Job] { return maps.Keys(t.waiting) }

// WaitingLen returns the number of queued jobs.
func (t *Table) WaitingLen() int { return len(t.waiting) }

// Enqueue adds a job to the queue of jobs with waiting tasks.
func (t *Table) Enqueue(job *Job) { t.waiting[job] = true }

// EnqueueTask adds a task to its job's waiting tasks, and queues the job.
func (t *Table) EnqueueTask(job *Job, index int) {
	// The task may still be listed from before its attempt. Listed twice, it would be placed twice.
	if task := &job.Tasks[index]; !task.queued {
		task.queued = true
		job.Waiting = append(job.Waiting, index)
	}
	t.Enqueue(job)
}

// Dequeue removes a job from the queue.
func (t *Table) Dequeue(job *Job) { delete(t.waiting, job) }

// ResetQueue rebuilds a job's waiting tasks from their states, and queues the job if there are any.
func (t *Table) ResetQueue(job *Job) {
	job.Waiting = job.Waiting[:0]
	t.Dequeue(job)
	for i := range job.Tasks {
		job.Tasks[i].queued = false
		if job.Tasks[i].State == TaskWaiting {
			t.EnqueueTask(job, i)
		}
	}
}

// Changed reports whether jobs were added, or may run again, since the last plan.
func (t *Table) Changed() bool { return t.changed }

// SetChanged sets what Changed reports: true after such a change, false after a plan.
func (t *Table) SetChanged(changed bool) { t.changed = changed }

// Replicas returns how many tasks of services may exist on any machine.
func (t *Table) Replicas() int { return t.replicas }

// CapacityChanged updates the counts of a job's tasks by zone and machine, which the planner's
// rules use. It must be called for every allocation that starts (+1) or stops (-1) taking capacity.
func (t *Table) CapacityChanged(allocation *fleet.Allocation, zone string, sign int) {
	job := Of(allocation)
	if job == nil {
		return
	}
	job.Plan.Count(zone, allocation.Machine.Name, sign)
	if job.IsService() {
		t.replicas += sign
	}
}
