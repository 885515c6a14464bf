package reconciliation

import (
	"slices"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/recovery"
)

const (
	// LookupValidFor is how long the looked-up state of a job that is not over remains valid.
	LookupValidFor = 5 * clock.Second
	// maxLookups is how many states are kept; when it is reached, the next removed job clears them.
	maxLookups = 2048
)

// lookups tracks the lookups of jobs that the leader does not know but that workers report tasks of.
type lookups struct {
	found   map[string]lookup
	pending map[string]bool // jobs to be looked up
	wake    chan struct{}
}

// lookup is the result of a job's lookup.
type lookup struct {
	state recovery.JobState
	at    clock.Micros
}

func newLookups() lookups {
	return lookups{found: map[string]lookup{}, pending: map[string]bool{}, wake: make(chan struct{}, 1)}
}

// DecideOrphan decides what to do about a reported attempt that the leader has no allocation for.
func (r *Reconciler) DecideOrphan(id fleet.TaskID, observation recovery.Observation) recovery.Decision {
	c := recovery.Case{Job: recovery.JobActive, Attempt: recovery.AttemptOther, Observation: observation}
	switch job := r.Jobs.Get(id.Job); {
	case job == nil && observation != recovery.ObservedRunning:
		c.Job = recovery.JobNotRead // the job's state makes no difference
	case job == nil:
		c.Job = r.jobState(id.Job)
	case job.Cancelled:
		c.Job = recovery.JobFinished
	case id.Index < len(job.Tasks) && job.Tasks[id.Index].State == jobs.TaskUnreadable:
		c.Attempt = recovery.AttemptUnreadable
	}
	return recovery.Decide(c)
}

// HasOrphansToStop reports whether a machine runs orphans that must be stopped.
func (r *Reconciler) HasOrphansToStop(machine *fleet.Machine) (stops bool) {
	if machine.RunningOrphans() == 0 {
		return false
	}
	r.Fleet.EachOrphan(machine, func(task fleet.TaskID, _ uint64, observation recovery.Observation) {
		stops = stops || r.DecideOrphan(task, observation) == recovery.Stop
	})
	return stops
}

// jobState returns the last looked-up state of an unknown job. It requests a lookup if there was none
// or its result has expired; the state of a job that is over never expires.
func (r *Reconciler) jobState(uid string) recovery.JobState {
	found, read := r.lookups.found[uid]
	if !read || found.state != recovery.JobFinished && r.Now()-found.at > LookupValidFor {
		r.lookups.pending[uid] = true
		select {
		case r.lookups.wake <- struct{}{}:
		default:
		}
	}
	return found.state
}

// LookupsPending returns a channel that receives a value when jobs are to be looked up.
func (r *Reconciler) LookupsPending() <-chan struct{} { return r.lookups.wake }

// TakePendingLookups returns the jobs that are to be looked up, and clears the list.
func (r *Reconciler) TakePendingLookups() (uids []string) {
	for uid := range r.lookups.pending {
		uids = append(uids, uid)
	}
	clear(r.lookups.pending)
	slices.Sort(uids)
	return uids
}

// LookedUp records a job's looked-up state. That of an active or a known job is not kept.
func (r *Reconciler) LookedUp(uid string, state recovery.JobState, now clock.Micros) {
	if r.lookups.found[uid].state != state {
		r.Log.Info("a worker reports tasks of an unknown job", "job", uid, "state", state)
	}
	if state != recovery.JobActive && r.Jobs.Get(uid) == nil {
		r.lookups.found[uid] = lookup{state: state, at: now}
	}
}

// JobAdded drops the looked-up state of a job that the leader now knows.
func (r *Reconciler) JobAdded(uid string) { delete(r.lookups.found, uid) }

// JobRemoved records that a job is over and that the leader no longer knows it.
func (r *Reconciler) JobRemoved(uid string) {
	if len(r.lookups.found) >= maxLookups {
		clear(r.lookups.found)
	}
	r.lookups.found[uid] = lookup{state: recovery.JobFinished}
}

// LookupCount returns how many states of unknown jobs are kept.
func (r *Reconciler) LookupCount() int { return len(r.lookups.found) }
