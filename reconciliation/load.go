package reconciliation

import (
	"slices"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/recovery"
	"cedardoor/store"
	"cedardoor/wire"
)

// maxLoggedDamage is how many damaged records are logged individually.
const maxLoggedDamage = 5

// Sink receives what Load finds for other components.
type Sink struct {
	// AddJob adds an unfinished job.
	AddJob func(record store.JobRecord, modRevision uint64)
	// AwaitMachine adds a machine with recorded attempts, which is expected to report.
	AwaitMachine func(machine *fleet.Machine)
}

// Load restores every unfinished job and every recorded attempt. A machine's lease may still be
// valid after the predecessor's last response, so the machine keeps its allocations until it
// reports or its lease must have expired.
func (r *Reconciler) Load(records *recovery.Records, sink Sink, began, now clock.Micros) {
	r.unreadable.predecessorLeasesEnd = now + r.PredecessorLease
	r.RecordDamage(records.Damaged...)
	for uid, state := range records.States {
		if state == recovery.JobUnreadable || state == recovery.JobUnrecorded {
			r.unusable[uid] = true
		}
	}
	for _, move := range records.FinalMoves {
		r.Writer.AddFinalMove(move.UID, move.ModRevision, move.Record)
	}
	for _, row := range records.Jobs {
		sink.AddJob(row.Record, row.ModRevision)
	}
	l := loader{Reconciler: r, records: records, sink: sink, now: now}
	for _, chunk := range records.Chunks {
		l.loadChunk(chunk)
	}
	for _, shared := range records.Shared {
		l.loadShared(shared)
	}
	for _, shared := range records.Shared {
		if shared.Unreadable {
			r.loadUnreadableShared(shared)
		}
	}
	for job := range r.Jobs.All() {
		// The predecessor's arrival rate includes the work of the loaded jobs.
		job.ArrivalCounted = records.Demand != nil
		r.queueJob(job)
	}
	r.progress.Loaded(now)
	r.Log.Info("records loaded", "jobs", len(records.Jobs)+len(records.FinalMoves), "chunks", len(records.Chunks), "revision", records.Revision,
		"machines", r.progress.Machines(), "damaged", len(records.Damaged),
		"took_s", (now - began).Seconds())
}

// RecordDamage keeps damaged records for the report to operators, each key once, and logs the first few.
func (r *Reconciler) RecordDamage(damaged ...recovery.Damage) {
	damaged = slices.DeleteFunc(slices.Clone(damaged), func(d recovery.Damage) bool {
		return slices.ContainsFunc(r.damaged, func(known recovery.Damage) bool { return known.Key == d.Key })
	})
	for i, d := range damaged {
		if i < maxLoggedDamage {
			r.Log.Error("record can't be used", "key", d.Key, "kind", d.Kind, "detail", d.Detail, "follows", d.Kind.Advice())
		}
	}
	if more := len(damaged) - maxLoggedDamage; more > 0 {
		r.Log.Error("more records can't be used: see cedardoor recovery", "more", more)
	}
	r.damaged = append(r.damaged, damaged...)
}

// loader restores attempts from their records.
type loader struct {
	*Reconciler
	records *recovery.Records
	sink    Sink
	now     clock.Micros
}

// finishedJob returns a job that is over while some of its tasks may be on machines. It adds the job
// if it is unknown, and marks it so that its records are deleted.
func (l *loader) finishedJob(uid string) *jobs.Job {
	job := l.Jobs.Get(uid)
	if job == nil {
		final := l.records.FinalStates[uid]
		job = jobs.NewFinished(uid, &final)
		l.Jobs.Add(job)
	}
	l.Writer.MarkDirty(uid)
	return job
}

// isDone reports whether a job is done, not cancelled, so that none of its tasks can still run.
func (l *loader) isDone(uid string) bool { return l.records.FinalStates[uid].Status == wire.JobDone }

// chunkJob returns a chunk's job, extended to hold the chunk's tasks, and the chunk. It returns nil if the
// job's record is missing or unreadable; tasks of it that workers report then run on.
func (l *loader) chunkJob(row recovery.ChunkRow) (job *jobs.Job, chunk *jobs.Chunk) {
	end := row.First + row.Size
	switch l.records.States[row.UID] {
	case recovery.JobActive:
		job = l.Jobs.Get(row.UID)
	case recovery.JobFinished:
		job = l.finishedJob(row.UID)
		job.Tasks = append(job.Tasks, make([]jobs.Task, max(0, end-len(job.Tasks)))...)
	default:
		return nil, nil
	}
	job.Record.ExtendChunks(max(end, len(job.Tasks)))
	return job, job.Record.Carve(row.First, row.Size)
}

// loadChunk restores a chunk of a job's tasks.
func (l *loader) loadChunk(row recovery.ChunkRow) {
	job, chunk := l.chunkJob(row)
	if job == nil {
		return
	}
	chunk.ModRevision, chunk.Leftover = row.ModRevision, row.Leftover
	first, done := row.First, l.isDone(row.UID)
	if row.Unreadable && !done {
		for i := first; i < chunk.End(job.Size()); i++ {
			l.markUnreadable(job, i, row.ModRevision)
		}
		return
	}
	for i, taskDone := range row.Done {
		if taskDone && first+i < len(job.Tasks) {
			job.Tasks[first+i].State = jobs.TaskDone
			job.Done++
		}
	}
	for _, attempt := range row.Attempts {
		if !done {
			l.adopt(job, first+attempt.Index, attempt)
		}
	}
}

// loadShared restores the tasks of single-task jobs from a shared record.
func (l *loader) loadShared(row recovery.SharedRow) {
	if row.Unreadable {
		return
	}
	shared := newSharedRecord(row)
	for _, entry := range row.Record.Rows {
		job := l.Jobs.Get(entry.UID)
		if job == nil && l.records.States[entry.UID] == recovery.JobFinished && entry.Machine != "" && !l.isDone(entry.UID) {
			job = l.finishedJob(entry.UID)
			job.Tasks = make([]jobs.Task, 1)
		}
		switch {
		case l.unusable[entry.UID]:
			shared.KeptRows = append(shared.KeptRows, entry)
		case job == nil || len(job.Tasks) != 1:
			shared.Version++ // no attempt of it can exist, so its row is dropped
		default:
			job.Record.Shared = shared
			shared.Jobs = append(shared.Jobs, job)
			l.adopt(job, 0, store.TaskAttempt{Attempt: entry.Attempt, Machine: entry.Machine, Incarnation: entry.Incarnation})
		}
	}
	if shared.Version > 0 || len(shared.Jobs)+len(shared.KeptRows) == 0 {
		shared.Version++
		l.Writer.MarkStale(shared)
	}
}

// newSharedRecord returns a shared record that counts as full, so that no jobs are added to it.
func newSharedRecord(row recovery.SharedRow) *jobs.SharedRecord {
	return &jobs.SharedRecord{Key: row.Key, JobCount: store.JobsPerSharedRecord, Chunk: jobs.Chunk{ModRevision: row.ModRevision}}
}

// adopt restores an attempt that a predecessor recorded.
func (l *loader) adopt(job *jobs.Job, index int, attempt store.TaskAttempt) {
	task := &job.Tasks[index]
	task.Attempt, task.HasRun = attempt.Attempt, true
	job.Started = true
	if attempt.Machine == "" {
		return
	}
	machine := l.Fleet.Ensure(attempt.Machine, l.now)
	l.sink.AwaitMachine(machine)
	machine.LeaseEnd = max(machine.LeaseEnd, l.now+l.PredecessorLease)
	l.progress.Await(machine.Name, machine.LeaseEnd)
	allocation := job.NewAllocation(index, attempt.Attempt)
	allocation.Incarnation = attempt.Incarnation
	l.Fleet.Adopt(machine, allocation, l.now)
	if job.Cancelled {
		l.Fleet.Stop(allocation, 0, l.now)
	}
	task.State, task.Allocation = jobs.TaskPlaced, allocation
}

// queueJob queues a job's waiting tasks once its records are loaded.
func (r *Reconciler) queueJob(job *jobs.Job) {
	if job.Cancelled {
		return
	}
	r.Jobs.ResetQueue(job)
	if job.Done == len(job.Tasks) {
		r.Writer.MarkDirty(job.UID)
	}
	// A predecessor's knowledge that a job fails everywhere is lost. So a job whose attempts have
	// all ended without a result is first tried with one task.
	allEnded := job.Started && job.Done == 0 && len(job.Waiting) == len(job.Tasks)
	job.Failures.Restore(job.Done > 0, allEnded)
}
