package statewriter

import (
	"slices"

	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/store"
	"cedardoor/wire"
)

// sharedRowBytes is the size up to which most rows of a shared record stay in the JSON form.
const sharedRowBytes = 70

// joinShared assigns a single-task job to the open shared record, or to a new one if that is full.
func (w *Writer) joinShared(job *jobs.Job) {
	if w.openShared == nil || w.sharedIsFull(w.openShared) {
		w.openShared = w.newShared()
	}
	w.openShared.JobCount++
	w.openShared.Jobs = append(w.openShared.Jobs, job)
	job.Record.Shared = w.openShared
}

// newShared returns a shared record with a key of its own.
func (w *Writer) newShared() *jobs.SharedRecord {
	w.sharedCount++
	return &jobs.SharedRecord{Key: store.SharedKey(w.term, w.sharedCount)}
}

// sharedIsFull reports whether a shared record accepts no more jobs. Only the open record accepts
// jobs. Their number is limited by the size of the record and by the maximum number of conditions: the
// first write of the record is conditional on the record of each job.
func (w *Writer) sharedIsFull(shared *jobs.SharedRecord) bool {
	const otherConditions = 8
	return shared != w.openShared ||
		shared.JobCount >= min(store.JobsPerSharedRecord, w.lastLimits.conditions()-otherConditions, w.lastLimits.valueBytes/sharedRowBytes)
}

// LeaveShared takes a job out of its shared record once its task can't exist anywhere any more. The
// record is rewritten when there are spare writes.
func (w *Writer) LeaveShared(job *jobs.Job) {
	shared := job.Record.Shared
	if shared == nil {
		return
	}
	if i := slices.Index(shared.Jobs, job); i >= 0 {
		shared.Jobs = slices.Delete(shared.Jobs, i, i+1)
		shared.Version++
	}
	job.Record.Shared = nil
	if shared.ModRevision > 0 {
		w.MarkStale(shared)
	}
}

// MarkStale notes that a shared record is to be rewritten when there are spare writes.
func (w *Writer) MarkStale(shared *jobs.SharedRecord) { w.staleShared[shared] = true }

// sharedPart is a shared record, or one of those into which it is divided, with its content.
type sharedPart struct {
	shared   *jobs.SharedRecord
	jobs     []*jobs.Job
	keptRows []store.SharedRow
	rows     []store.SharedRow
	size     int // of the rows
}

// sharedEntry is one job of a shared record, or a kept row of a job that can't be used.
type sharedEntry struct {
	job    *jobs.Job // nil for a kept row
	row    store.SharedRow
	hasRow bool
}

// size returns the size of the entry's row in the JSON form.
func (e *sharedEntry) size() int {
	if !e.hasRow {
		return 0
	}
	return e.row.JSONSize()
}

// addShared adds a write of a shared record that has changed, at most once per transaction. As with
// chunks, each attempt that becomes durable is conditional on its own job's record. A record that is too
// large is divided: some of its jobs get new shared records in the same transaction. addShared returns
// false if the operations or conditions don't fit next to those of other writes.
func (w *Writer) addShared(tx *Transaction, shared *jobs.SharedRecord) bool {
	if shared.Version == shared.SavedVersion || tx.shared[shared] {
		return true
	}
	write := recordWrite{chunk: &shared.Chunk, key: shared.Key, shared: shared, version: shared.Version, ended: shared.EndedAttempts}
	conditions, excluded := tx.sharedConditions(shared)
	if excluded != nil && !tx.empty() {
		return false
	}
	parts := w.divideShared(tx, shared, excluded)
	leftovers := shared.LeftoverKeys
	if !tx.empty() && len(tx.Txn.Operations)+len(parts)+len(leftovers) > tx.limits.operations {
		return false
	}
	write.attempts = newAttempts(shared, excluded)
	if excluded != nil {
		write.version-- // the attempts left out are still to be recorded
	}
	tx.shared[shared] = true
	shared.EndedAttempts = nil
	tx.Txn.Conditions = append(tx.Txn.Conditions, conditions...)
	if len(parts) == 1 && len(parts[0].rows) == 0 && w.sharedIsFull(shared) && shared.ModRevision > 0 {
		write.deleted = true
		tx.addOperation(wire.Operation{Delete: shared.Key})
	} else {
		tx.addSharedParts(parts)
	}
	for _, key := range leftovers {
		tx.addOperation(wire.Operation{Delete: key})
	}
	if len(parts) > 1 {
		write.sharedParts = parts
		tx.extraParts += len(parts) - 1
	}
	tx.records = append(tx.records, write)
	return true
}

// addSharedParts adds a write of each part of a shared record.
func (tx *Transaction) addSharedParts(parts []*sharedPart) {
	for _, part := range parts {
		record := store.SharedRecord{Nonce: tx.nonce, Rows: part.rows}
		if record.Rows == nil {
			record.Rows = []store.SharedRow{}
		}
		tx.addValue(part.shared.Key, record, record.JSONSize())
	}
}

// isNewAttempt reports whether the attempt of a job's only task is not durable yet.
func isNewAttempt(job *jobs.Job) bool {
	allocation := job.Tasks[0].Allocation
	return allocation != nil && !allocation.Durable && !job.Cancelled
}

// newAttempts returns the attempts in a shared record that become durable, but those of excluded jobs.
func newAttempts(shared *jobs.SharedRecord, excluded map[*jobs.Job]bool) (attempts []*fleet.Allocation) {
	for _, job := range shared.Jobs {
		if isNewAttempt(job) && !excluded[job] {
			attempts = append(attempts, job.Tasks[0].Allocation)
		}
	}
	return attempts
}

// sharedConditions returns the conditions of a write of a shared record. The jobs whose new attempts have
// no room for their conditions are excluded: these attempts are recorded by the next write.
func (tx *Transaction) sharedConditions(shared *jobs.SharedRecord) (conditions []wire.Condition, excluded map[*jobs.Job]bool) {
	conditions = []wire.Condition{{Key: shared.Key, ModRevision: shared.ModRevision}}
	for _, job := range shared.Jobs {
		switch {
		case !isNewAttempt(job):
		case len(tx.Txn.Conditions)+len(conditions) < tx.limits.conditions():
			conditions = append(conditions, wire.Condition{Key: store.JobKey(job.UID), ModRevision: job.Record.ModRevision})
		default:
			if excluded == nil {
				excluded = map[*jobs.Job]bool{}
			}
			excluded[job] = true
		}
	}
	return conditions, excluded
}

// sharedEntries returns the kept rows and the jobs of a shared record. The new attempt of an excluded job
// has not been started, so its row shows that the task waits after the attempt before that.
func sharedEntries(shared *jobs.SharedRecord, excluded map[*jobs.Job]bool) (entries []sharedEntry) {
	for _, row := range shared.KeptRows {
		entries = append(entries, sharedEntry{row: row, hasRow: true})
	}
	for _, job := range shared.Jobs {
		task := &job.Tasks[0]
		entry := sharedEntry{job: job, row: store.SharedRow{UID: job.UID, Attempt: task.Attempt}, hasRow: task.Attempt > 0}
		switch {
		case excluded[job]:
			entry.row.Attempt--
			entry.hasRow = entry.row.Attempt > 0
		case task.Allocation != nil:
			entry.row.Machine, entry.row.Incarnation = task.Allocation.Machine.Name, task.Allocation.Incarnation
			entry.hasRow = true
		}
		entries = append(entries, entry)
	}
	return entries
}

// divideShared distributes the content of a shared record over as many records as it needs: the record
// itself, and new ones.
func (w *Writer) divideShared(tx *Transaction, shared *jobs.SharedRecord, excluded map[*jobs.Job]bool) (parts []*sharedPart) {
	entries, total := sharedEntries(shared, excluded), 0
	for _, entry := range entries {
		total += entry.size()
	}
	room := tx.limits.valueBytes - store.SharedRecord{Nonce: tx.nonce}.JSONSize()
	if minParts := tx.limits.minParts; minParts > 1 {
		room = min(room, (total+minParts-1)/minParts)
	}
	part := &sharedPart{shared: shared}
	for _, entry := range entries {
		size := entry.size()
		if part.size > 0 && part.size+size > room {
			parts = append(parts, part)
			part = &sharedPart{shared: w.newShared()}
			part.shared.JobCount = store.JobsPerSharedRecord // no jobs are added to it
		}
		part.add(entry, size)
	}
	return append(parts, part)
}

// add adds a job or a kept row.
func (p *sharedPart) add(entry sharedEntry, size int) {
	p.size += size
	if entry.hasRow {
		p.rows = append(p.rows, entry.row)
	}
	if entry.job == nil {
		p.keptRows = append(p.keptRows, entry.row)
	} else {
		p.jobs = append(p.jobs, entry.job)
	}
}

// sharedDivided moves the jobs of a shared record that was written in parts to the records that hold
// them now. If the record has changed since, any of these may have.
func (w *Writer) sharedDivided(write *recordWrite, revision uint64) {
	original := write.shared
	changed := original.Version != write.version
	ended := original.EndedAttempts
	original.EndedAttempts, original.KeptRows = nil, write.sharedParts[0].keptRows
	for _, part := range write.sharedParts[1:] {
		shared := part.shared
		shared.ModRevision, shared.Version, shared.SavedVersion, shared.KeptRows = revision, 1, 1, part.keptRows
		if changed {
			shared.Version++
		}
		for _, job := range part.jobs {
			if i := slices.Index(original.Jobs, job); i >= 0 {
				original.Jobs = slices.Delete(original.Jobs, i, i+1)
				shared.Jobs = append(shared.Jobs, job)
				job.Record.Shared = shared
			}
		}
	}
	for _, allocation := range ended {
		holder := original
		if job := jobs.Of(allocation); job != nil && job.Record.Shared != nil {
			holder = job.Record.Shared
		}
		holder.EndedAttempts = append(holder.EndedAttempts, allocation)
	}
	for _, part := range write.sharedParts[1:] {
		w.requeueShared(part.shared)
	}
}

// requeueShared marks the jobs of a shared record dirty if a placement or their completion is not
// durable yet, and marks the record stale if it is out of date.
func (w *Writer) requeueShared(shared *jobs.SharedRecord) {
	for _, job := range shared.Jobs {
		switch allocation := job.Tasks[0].Allocation; {
		case job.Cancelled:
		case allocation != nil && !allocation.Durable || job.Done == 1:
			w.MarkDirty(job.UID)
		}
	}
	if shared.Version != shared.SavedVersion && shared.ModRevision > 0 {
		w.MarkStale(shared)
	}
}
