package reconciliation

import (
	"slices"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/recovery"
)

const (
	// LookupValidFor is how long what was read of a job that is not over is taken for true.
	LookupValidFor = 5 * clock.Second
	// maxLookups bounds what is remembered of jobs that are over.
	maxLookups = 2048
)

// lookups is what was read of jobs that workers report tasks of and that the leader does not know.
type lookups struct {
	found  map[string]lookup
	wanted map[string]bool // those that are to be read
	wake   chan struct{}
}

// lookup is what was read of a job.
type lookup struct {
	state recovery.JobState
	at    clock.Micros
}

func newLookups() lookups {
	return lookups{found: map[string]lookup{}, wanted: map[string]bool{}, wake: make(chan struct{}, 1)}
}

// DecideOrphan tells what follows for a task that a worker reports and that the leader does not know.
func (r *Reconciler) DecideOrphan(id fleet.TaskID, observation recovery.Observation) recovery.Decision {
	c := recovery.Case{Job: recovery.JobActive, Attempt: recovery.AttemptOther, Observation: observation}
	switch job := r.Jobs.Get(id.Job); {
	case job == nil && observation != recovery.ObservedRunning:
		c.Job = recovery.JobNotRead // what its job is makes no difference
	case job == nil:
		c.Job = r.jobState(id.Job)
	case job.Cancelled:
		c.Job = recovery.JobFinished
	case id.Index < len(job.Tasks) && job.Tasks[id.Index].State == jobs.TaskUnreadable:
		c.Attempt = recovery.AttemptUnreadable
	}
	return recovery.Decide(c)
}

// HasOrphansToStop tells whether a machine reports a task to stop that the leader does not know.
func (r *Reconciler) HasOrphansToStop(machine *fleet.Machine) (stops bool) {
	if machine.RunningOrphans() == 0 {
		return false
	}
	r.Fleet.EachOrphan(machine, func(task fleet.TaskID, _ uint64, observation recovery.Observation) {
		stops = stops || r.DecideOrphan(task, observation) == recovery.Stop
	})
	return stops
}

// jobState is what was last read of a job that the leader does not know; it is to be read again
// when that was long ago.
func (r *Reconciler) jobState(uid string) recovery.JobState {
	found, read := r.lookups.found[uid]
	if !read || found.state != recovery.JobFinished && r.Now()-found.at > LookupValidFor {
		r.lookups.wanted[uid] = true
		select {
		case r.lookups.wake <- struct{}{}:
		default:
		}
	}
	return found.state
}

// LookupsWanted tells that jobs are to be read.
func (r *Reconciler) LookupsWanted() <-chan struct{} { return r.lookups.wake }

// TakeWantedLookups takes the jobs that are to be read.
func (r *Reconciler) TakeWantedLookups() (uids []string) {
	for uid := range r.lookups.wanted {
		uids = append(uids, uid)
	}
	clear(r.lookups.wanted)
	slices.Sort(uids)
	return uids
}

// LookedUp notes what was read of a job.
func (r *Reconciler) LookedUp(uid string, state recovery.JobState, now clock.Micros) {
	if r.lookups.found[uid].state != state {
		r.Log.Info("a worker reports tasks of a job that is not known", "job", uid, "state", state)
	}
	if state != recovery.JobActive && r.Jobs.Get(uid) == nil {
		r.lookups.found[uid] = lookup{state: state, at: now}
	}
}

// JobAdded notes that the leader knows a job from now on.
func (r *Reconciler) JobAdded(uid string) { delete(r.lookups.found, uid) }

// JobRemoved notes that nothing is left of a job, which is over.
func (r *Reconciler) JobRemoved(uid string) {
	if len(r.lookups.found) >= maxLookups {
		clear(r.lookups.found)
	}
	r.lookups.found[uid] = lookup{state: recovery.JobFinished}
}

// LookupCount is how many jobs are remembered that were read and are not known.
func (r *Reconciler) LookupCount() int { return len(r.lookups.found) }
