package reconciliation

import (
	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/recovery"
)

// firstUnreadableAttempt is the base of the attempt numbers of a task whose record can't be decoded.
// The record's revision is added to it. Every earlier attempt changed the record, so no number is
// used twice, even if the record becomes unreadable again.
const firstUnreadableAttempt = 1 << 32

// unreadableTasks tracks the tasks whose record can't be decoded, and which may run somewhere.
type unreadableTasks struct {
	jobs   map[*jobs.Job]bool   // jobs with such tasks
	shared []*jobs.SharedRecord // the shared records that can't be decoded
	// predecessorLeasesEnd is when every lease that a predecessor may have renewed has expired.
	predecessorLeasesEnd clock.Micros
}

// count returns how many of the tasks no machine has reported.
func (u *unreadableTasks) count() (n int) {
	for job := range u.jobs {
		for _, chunk := range job.Record.Chunks {
			n += chunk.Unreadable
		}
	}
	return n
}

// HasUnreadable reports whether unreadable tasks of a job may run somewhere.
func (r *Reconciler) HasUnreadable(job *jobs.Job) bool { return r.unreadable.jobs[job] }

// loadUnreadableShared handles a shared record that can't be decoded: it may list any single-task
// job without an attempt in another record.
func (r *Reconciler) loadUnreadableShared(row recovery.SharedRow) {
	shared := newSharedRecord(row)
	shared.Version++
	r.unreadable.shared = append(r.unreadable.shared, shared)
	for job := range r.Jobs.All() {
		if !job.Cancelled && job.SharesRecord() && job.Record.Shared == nil && job.Record.Chunks[0].ModRevision == 0 && !job.Tasks[0].HasRun {
			r.markUnreadable(job, 0, row.ModRevision)
		}
	}
}

// markUnreadable marks a task that may run somewhere because its record can't be decoded. The task
// counts towards its team's usage and its job's occupancy, and is not started before it is known
// what runs on every machine.
func (r *Reconciler) markUnreadable(job *jobs.Job, index int, modRevision uint64) {
	task := &job.Tasks[index]
	if task.State == jobs.TaskUnreadable {
		task.Attempt = max(task.Attempt, firstUnreadableAttempt+modRevision)
		return
	}
	task.State, task.Attempt, task.HasRun = jobs.TaskUnreadable, firstUnreadableAttempt+modRevision, true
	task.Reservation = r.Quota.Adopt(job.Spec.Team, job.TaskAmount())
	job.Started = true
	job.Plan.Count("", "", 1)
	job.ChunkOf(index).Unreadable++
	r.unreadable.jobs[job] = true
}

// resolve ends a task's unreadable state once it is known whether the task runs.
func (r *Reconciler) resolve(job *jobs.Job, index int) {
	task := &job.Tasks[index]
	task.State = jobs.TaskWaiting
	task.Reservation.Release()
	task.Reservation = nil
	job.Plan.Count("", "", -1)
	job.ChunkOf(index).Unreadable--
}

// AdoptReported adopts the attempts of unreadable tasks that a machine reports. A report may be a
// late copy, so it counts only if the machine is trusted: it has shown a token of this leader's term
// or answered a probe.
func (r *Reconciler) AdoptReported(machine *fleet.Machine, now clock.Micros) {
	if len(r.unreadable.jobs) == 0 || !machine.Reported || machine.Suspect {
		return
	}
	type reported struct {
		task    fleet.TaskID
		attempt uint64
	}
	var found []reported
	r.Fleet.EachOrphan(machine, func(task fleet.TaskID, attempt uint64, observation recovery.Observation) {
		if d := r.DecideOrphan(task, observation); d == recovery.Adopt || d == recovery.TakeResult {
			found = append(found, reported{task, attempt})
		}
	})
	for _, orphan := range found {
		job := r.Jobs.Get(orphan.task.Job)
		if job.Tasks[orphan.task.Index].State == jobs.TaskUnreadable {
			r.adoptOrphan(machine, job, orphan.task.Index, orphan.attempt, now)
		}
	}
}

// adoptOrphan adopts a reported attempt of an unreadable task, and has it recorded.
func (r *Reconciler) adoptOrphan(machine *fleet.Machine, job *jobs.Job, index int, attempt uint64, now clock.Micros) {
	r.resolve(job, index)
	allocation := job.NewAllocation(index, attempt)
	allocation.Incarnation = machine.Incarnation
	r.Fleet.AdoptOrphan(machine, allocation, now)
	task := &job.Tasks[index]
	task.State, task.Allocation, task.Attempt = jobs.TaskPlaced, allocation, attempt
	if allocation.RunningSince > 0 {
		job.Running++
	}
	job.MarkChanged(index)
	r.Writer.MarkResult(job, now)
}

// ReleaseUnreadable lets unreadable tasks start again once it is known what runs on every machine:
// those that no machine has reported don't run anywhere.
func (r *Reconciler) ReleaseUnreadable(now clock.Micros) {
	u := &r.unreadable
	if len(u.jobs) == 0 && len(u.shared) == 0 || now < u.predecessorLeasesEnd || !r.allAccounted(now) {
		return
	}
	tasks := 0
	for job := range u.jobs {
		tasks += r.releaseTasks(job)
		r.Writer.MarkDirty(job.UID)
	}
	clear(u.jobs)
	for _, shared := range u.shared {
		r.Writer.MarkStale(shared) // its content is no longer needed
	}
	u.shared = nil
	r.Jobs.SetChanged(true)
	r.Log.Info("every machine is accounted for: tasks of unreadable records that none reported may start", "tasks", tasks)
}

// releaseTasks lets a job's unreadable tasks start again, and returns how many there were.
func (r *Reconciler) releaseTasks(job *jobs.Job) (tasks int) {
	for i := range job.Tasks {
		if job.Tasks[i].State != jobs.TaskUnreadable {
			continue
		}
		tasks++
		r.resolve(job, i)
		if !job.Cancelled {
			r.Jobs.EnqueueTask(job, i)
		}
	}
	return tasks
}

// allAccounted reports whether it is known what every machine runs. A machine is accounted for if it
// reports and has shown this leader's token, so that no older command can start a task there, or if
// its lease has expired. A response to a probe shows what runs, but does not fence older commands.
func (r *Reconciler) allAccounted(now clock.Micros) bool {
	accounted := true
	r.Fleet.EachMachine(func(machine *fleet.Machine) {
		trusted := machine.Reported && !machine.Suspect && !machine.Unresponsive && machine.Token >= r.Token
		if !trusted && machine.AnsweredAt > 0 && !machine.LeaseExpired(now) {
			accounted = false
		}
	})
	return accounted
}
