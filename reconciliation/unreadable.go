package reconciliation

import (
	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/recovery"
)

// firstUnreadableAttempt is where the attempts of a task are numbered from whose record can't be
// decoded. Each earlier attempt took a change of the record, so with the record's revision added no
// number is given twice, also where that happens again.
const firstUnreadableAttempt = 1 << 32

// unreadableTasks are the tasks whose record can't be decoded, so that they may run somewhere.
type unreadableTasks struct {
	jobs   map[*jobs.Job]bool   // jobs with such tasks
	shared []*jobs.SharedRecord // the shared records that can't be decoded
	// predecessorLeasesEnd is when every lease that a predecessor may have renewed is over.
	predecessorLeasesEnd clock.Micros
}

// count is how many such tasks no machine has shown.
func (u *unreadableTasks) count() (n int) {
	for job := range u.jobs {
		for i := range job.Record.Chunks {
			n += job.Record.Chunks[i].Unreadable
		}
	}
	return n
}

// HasUnreadable tells whether unreadable tasks of a job may run somewhere.
func (r *Reconciler) HasUnreadable(job *jobs.Job) bool { return r.unreadable.jobs[job] }

// loadUnreadableShared takes in a shared record that can't be decoded: every job of one task of
// which no other record names an attempt may be in it.
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

// markUnreadable notes a task that may run somewhere by a record that can't be decoded: it counts
// for its team and its zones, and is started nowhere before every machine is accounted for.
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

// resolve notes that it is known what has become of such a task.
func (r *Reconciler) resolve(job *jobs.Job, index int) {
	task := &job.Tasks[index]
	task.State = jobs.TaskWaiting
	task.Reservation.Release()
	task.Reservation = nil
	job.Plan.Count("", "", -1)
	job.ChunkOf(index).Unreadable--
}

// AdoptReported takes in what a machine shows of tasks whose record can't be decoded. A report may
// be an old copy, so only one of a machine that has shown this leader's token counts.
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

// adoptOrphan takes in an attempt of a task whose record can't be decoded.
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

// ReleaseUnreadable lets tasks whose record can't be decoded start again once every machine is
// accounted for: then those that no machine has shown are nowhere.
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
		r.Writer.MarkStale(shared) // nothing of what it held is needed any more
	}
	u.shared = nil
	r.Jobs.SetChanged(true)
	r.Log.Info("every machine is accounted for: tasks of unreadable records that none has shown may start", "tasks", tasks)
}

// releaseTasks lets a job's unreadable tasks start again.
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

// allAccounted tells whether what every machine may run is known: it reports and has shown this
// leader's token, so that no older command can start anything there, or its lease is over. An
// answer to a probe shows what runs, but refuses no older command.
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
