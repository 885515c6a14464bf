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
	changed  bool          // jobs came, or may run again, that no plan has seen
	replicas int           // tasks of services that may exist anywhere
}

// NewTable makes an empty Table.
func NewTable() *Table {
	return &Table{byUID: map[string]*Job{}, waiting: map[*Job]bool{}}
}

// Len is how many jobs there are.
func (t *Table) Len() int { return len(t.byUID) }

// Get looks a job up; nil when it is not known.
func (t *Table) Get(uid string) *Job { return t.byUID[uid] }

// All lists the jobs, in no order.
func (t *Table) All() iter.Seq[*Job] { return maps.Values(t.byUID) }

// Sorted lists the jobs in the order of their acceptance.
func (t *Table) Sorted() []*Job {
	out := make([]*Job, 0, len(t.byUID))
	for _, job := range t.byUID {
		out = append(out, job)
	}
	slices.SortFunc(out, CompareAge)
	return out
}

// CompareAge orders jobs by their acceptance.
func CompareAge(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.AcceptedUS, b.AcceptedUS), cmp.Compare(a.UID, b.UID))
}

// Add takes a job in.
func (t *Table) Add(job *Job) { t.byUID[job.UID] = job }

// Remove forgets a job.
func (t *Table) Remove(job *Job) { delete(t.byUID, job.UID) }

// Waiting lists the jobs with tasks that wait for a machine, in no order. Jobs may be taken off
// the queue meanwhile.
func (t *Table) Waiting() iter.Seq[*Job] { return maps.Keys(t.waiting) }

// WaitingLen is how many jobs are on the queue.
func (t *Table) WaitingLen() int { return len(t.waiting) }

// Enqueue puts a job on the queue of those with tasks that wait.
func (t *Table) Enqueue(job *Job) { t.waiting[job] = true }

// EnqueueTask puts a task among those that wait.
func (t *Table) EnqueueTask(job *Job, index int) {
	// It may stand there still from before an attempt: twice, it would be placed twice.
	if task := &job.Tasks[index]; !task.queued {
		task.queued = true
		job.Waiting = append(job.Waiting, index)
	}
	t.Enqueue(job)
}

// Dequeue takes a job off the queue.
func (t *Table) Dequeue(job *Job) { delete(t.waiting, job) }

// ResetQueue queues those of a job's tasks that wait, and no others.
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

// Changed tells whether jobs came, or may run again, that no plan has seen.
func (t *Table) Changed() bool { return t.changed }

// SetChanged notes that jobs came, or may run again, or that plans have seen all of them.
func (t *Table) SetChanged(changed bool) { t.changed = changed }

// Replicas is how many tasks of services may exist anywhere.
func (t *Table) Replicas() int { return t.replicas }

// CapacityChanged keeps the counts that the planner's rules look at: of a job's tasks by zone
// and machine. It is told of every allocation that comes to take room (+1) or no longer does (-1).
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
