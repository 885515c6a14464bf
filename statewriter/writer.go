// Package statewriter collects the changes of jobs that are to be recorded and builds transactions
// from them, the most urgent changes first. It does no I/O and no locking: its user sends the
// transactions, one at a time, and reports the outcome of each.
package statewriter

import (
	"cmp"
	"fmt"
	"slices"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/jobs"
	"cedardoor/store"
	"cedardoor/wire"
)

const (
	// minDeferredOperations is how many operations a transaction of deferrable changes may hold
	// when there are no spare writes.
	minDeferredOperations = 4
	// minSpareForFinalMoves is how many spare writes are needed to move the records of done jobs to
	// their final keys.
	minSpareForFinalMoves = 12
	// maxPendingFinalMoves is the number of pending moves at which they no longer wait for spare
	// writes: a new leader has to read these jobs along with the unfinished ones.
	maxPendingFinalMoves = 2000
	// smallTransactionsAfterRejection is how many transactions hold a single change after one was
	// rejected.
	smallTransactionsAfterRejection = 30
	// maxResultDelay bounds the delay after which results are recorded together.
	maxResultDelay = 3 * clock.Second
	// resultDelayWrites sets the delay of results: the time in which the service accepts this many
	// writes.
	resultDelayWrites = 60
)

// Capacity describes how much load the state service accepts at the moment.
type Capacity interface {
	// SpareWrites returns how many writes could be made without waiting.
	SpareWrites() int
	// Overloaded reports whether the service has recently refused a request because of overload.
	Overloaded() bool
}

// Writer tracks what is to be recorded. Every transaction is conditional on the leader's own record,
// so that a late transaction of a deposed leader fails.
type Writer struct {
	term          uint64 // revision of the leader's record
	txnOps        int    // operations that a transaction may hold
	resultDelay   clock.Micros
	hasUnreadable func(job *jobs.Job) bool // reports whether unreadable tasks of a job may run somewhere

	sequence          uint64                      // last number given to a transaction or plan of the term
	dirty             map[string]bool             // jobs with something to record now
	pendingResults    map[string]clock.Micros     // jobs with results to record, and when these are due
	openShared        *jobs.SharedRecord          // the one that the next single-task jobs join
	sharedCount       int                         // shared records created in this term
	staleShared       map[*jobs.SharedRecord]bool // those to rewrite when there are spare writes
	smallTransactions int                         // how many more transactions hold a single change, after a rejected one
	finalMoves        []*finalMove
}

// finalMove is the pending move of a done job's record to its final key.
type finalMove struct {
	uid         string
	modRevision uint64
	record      store.FinalRecord
	shared      *jobs.SharedRecord // holds a row of the job, if not nil
}

// New returns a Writer for the term whose leader record has the given revision. The records of a job
// are kept as long as hasUnreadable reports that unreadable tasks of the job may run somewhere.
func New(term uint64, limits config.State, hasUnreadable func(job *jobs.Job) bool) *Writer {
	return &Writer{term: term, txnOps: limits.TxnOps, hasUnreadable: hasUnreadable,
		resultDelay: min(maxResultDelay, clock.FromSeconds(resultDelayWrites/limits.WriteRPS)),
		dirty:       map[string]bool{}, pendingResults: map[string]clock.Micros{}, staleShared: map[*jobs.SharedRecord]bool{}}
}

// maxConditions returns how many conditions a transaction may have.
func (w *Writer) maxConditions() int { return 4 * w.txnOps }

// NextSequence returns the next number for a transaction or plan of the term.
func (w *Writer) NextSequence() uint64 {
	w.sequence++
	return w.sequence
}

// HasDirty reports whether anything is to be recorded now.
func (w *Writer) HasDirty() bool { return len(w.dirty) > 0 }

// Backlog counts what is still to be recorded.
type Backlog struct {
	Dirty          int // jobs with something to record now
	PendingResults int // jobs with results that wait to be recorded
	StaleShared    int // shared records to rewrite when there are spare writes
	FinalMoves     int // done jobs whose record is still to be moved
}

// Backlog returns the counts of what is still to be recorded.
func (w *Writer) Backlog() Backlog {
	return Backlog{Dirty: len(w.dirty), PendingResults: len(w.pendingResults), StaleShared: len(w.staleShared), FinalMoves: len(w.finalMoves)}
}

// MarkDirty notes that a job has changes to record now.
func (w *Writer) MarkDirty(uid string) { w.dirty[uid] = true }

// MarkPlaced notes that a task of a job was placed. The job's changes are to be recorded now,
// pending results included.
func (w *Writer) MarkPlaced(job *jobs.Job, index int) {
	if job.SharesRecord() && job.Record.Shared == nil && job.Record.Chunks[0].ModRevision == 0 {
		w.joinShared(job)
	}
	job.MarkChanged(index)
	w.MarkDirty(job.UID)
	delete(w.pendingResults, job.UID)
}

// MarkResult notes that a job has results to record, together with those of others after a delay.
func (w *Writer) MarkResult(job *jobs.Job, now clock.Micros) {
	if _, pending := w.pendingResults[job.UID]; !pending && !w.dirty[job.UID] {
		w.pendingResults[job.UID] = now + w.resultDelay
	}
}

// AttemptEnded notes that an attempt of a task has ended and returns the record that holds it.
func (w *Writer) AttemptEnded(job *jobs.Job, index int) *jobs.Chunk {
	chunk := job.MarkChanged(index)
	if shared := job.Record.Shared; shared != nil && w.openShared != shared && shared.ModRevision > 0 {
		w.staleShared[shared] = true
	}
	return chunk
}

// AddFinalMove queues the move of a done job's record to its final key.
func (w *Writer) AddFinalMove(uid string, modRevision uint64, record store.FinalRecord) {
	w.finalMoves = append(w.finalMoves, &finalMove{uid: uid, modRevision: modRevision, record: record})
}

// joinShared assigns a single-task job to the open shared record, or to a new one if that is full.
func (w *Writer) joinShared(job *jobs.Job) {
	if w.openShared == nil || w.sharedIsFull(w.openShared) {
		w.sharedCount++
		w.openShared = &jobs.SharedRecord{Key: store.SharedKey(w.term, w.sharedCount)}
	}
	w.openShared.JobCount++
	w.openShared.Jobs = append(w.openShared.Jobs, job)
	job.Record.Shared = w.openShared
}

// sharedIsFull reports whether a shared record accepts no more jobs. Only the open record accepts
// jobs, and the maximum number of conditions limits their number: the first write of the record is
// conditional on the record of each job.
func (w *Writer) sharedIsFull(shared *jobs.SharedRecord) bool {
	return shared != w.openShared || shared.JobCount >= min(store.JobsPerSharedRecord, w.maxConditions()-8)
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

// Recording priorities that differ from the job's own.
const (
	priorityFinished = -1 // remaining records of finished jobs
	priorityService  = int(wire.PriorityCritical)
)

// priority returns the priority at which a job's changes are recorded: placements and results by the
// job's priority, the remaining records of finished jobs last.
func priority(job *jobs.Job) int {
	switch {
	case job == nil || job.Cancelled:
		return priorityFinished
	case job.IsService():
		return priorityService
	}
	return int(job.Priority)
}

// Next builds the next transaction; it is nil if there is nothing to record. Next also returns the
// finished jobs that have no chunks left to delete, which the caller removes from its table.
//
// Deferrable changes, which are the records of low-priority jobs and the remaining records of
// finished jobs, are limited to the spare writes, or to minDeferredOperations if that is more: a
// full transaction of them would delay the next urgent one by as long as the service takes to apply
// it.
func (w *Writer) Next(table *jobs.Table, capacity Capacity, now clock.Micros) (next *Transaction, removable []*jobs.Job) {
	w.markDueResults(now)
	tx := &Transaction{nonce: fmt.Sprintf("%d.%d", w.term, w.NextSequence()), shared: map[*jobs.SharedRecord]bool{}}
	tx.Txn.Conditions = []wire.Condition{{Key: store.KeyLeader, ModRevision: w.term}}
	deferredLimit, urgentLimit := max(minDeferredOperations, capacity.SpareWrites()), w.txnOps
	if w.smallTransactions > 0 {
		w.smallTransactions--
		deferredLimit, urgentLimit = 1, 1
	}
	for _, uid := range w.dirtyByPriority(table) {
		job := table.Get(uid)
		if job == nil {
			delete(w.dirty, uid)
			continue
		}
		maxOperations := urgentLimit
		if priority(job) < int(wire.PriorityStandard) {
			maxOperations = min(maxOperations, deferredLimit)
		}
		if w.full(tx, maxOperations) {
			break
		}
		complete, noRecords := w.add(tx, job, maxOperations)
		if noRecords {
			removable = append(removable, job)
		}
		if complete {
			delete(w.dirty, uid)
		}
	}
	if tx.empty() {
		w.addFinalMoves(tx, capacity)
	}
	if tx.empty() {
		return nil, removable
	}
	return tx, removable
}

// add adds a job's changes to the transaction. It is complete unless some of them don't fit.
// noRecords is true if the job is finished and none of its chunks are left on record.
func (w *Writer) add(tx *Transaction, job *jobs.Job, maxOperations int) (complete, noRecords bool) {
	switch {
	case job.Cancelled:
		return w.addDeletions(tx, job, maxOperations)
	case job.Done == len(job.Tasks) && !job.IsService():
		tx.addFinished(job)
		return true, false
	case job.Record.Shared != nil:
		return w.addShared(tx, job.Record.Shared), false
	}
	return w.addChunks(tx, job, maxOperations), false
}

// markDueResults marks jobs dirty whose results are due, as many as fill half a transaction. While
// any job is dirty, results wait for another resultDelay, so that placements go first.
func (w *Writer) markDueResults(now clock.Micros) {
	var due []string
	for uid, at := range w.pendingResults {
		if at <= now {
			due = append(due, uid)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(cmp.Compare(w.pendingResults[a], w.pendingResults[b]), cmp.Compare(a, b))
	})
	othersFirst := len(w.dirty) > 0
	remaining := w.txnOps / 2
	for _, uid := range due {
		if remaining--; remaining < 0 || othersFirst && w.pendingResults[uid]+w.resultDelay > now {
			break
		}
		delete(w.pendingResults, uid)
		w.MarkDirty(uid)
	}
}

// dirtyByPriority returns the jobs with changes to record now, the most urgent first.
func (w *Writer) dirtyByPriority(table *jobs.Table) []string {
	uids := make([]string, 0, len(w.dirty))
	for uid := range w.dirty {
		uids = append(uids, uid)
	}
	slices.SortFunc(uids, func(a, b string) int {
		return cmp.Or(cmp.Compare(priority(table.Get(b)), priority(table.Get(a))), cmp.Compare(a, b))
	})
	return uids
}

// requeueJob marks a job whose record is out of date: as dirty if a placement waits for the record or
// all tasks are done, otherwise as having results to record.
func (w *Writer) requeueJob(job *jobs.Job, now clock.Micros) {
	if job.Cancelled || job.Done == len(job.Tasks) {
		w.MarkDirty(job.UID)
		return
	}
	for n := range job.Record.Chunks {
		chunk := &job.Record.Chunks[n]
		if chunk.Version == chunk.SavedVersion || chunk.Unreadable > 0 {
			continue
		}
		first := n * store.TasksPerChunk
		for i := first; i < min(first+store.TasksPerChunk, len(job.Tasks)); i++ {
			if allocation := job.Tasks[i].Allocation; allocation != nil && !allocation.Durable {
				w.MarkDirty(job.UID)
				return
			}
		}
	}
	w.MarkResult(job, now)
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

// requeueMoves queues moves again, except those whose conditions failed: a late copy of the
// transaction has already moved these records.
func (w *Writer) requeueMoves(moves []*finalMove, failedKeys []string) {
	for _, move := range moves {
		if !slices.Contains(failedKeys, store.JobKey(move.uid)) {
			w.finalMoves = append(w.finalMoves, move)
		}
	}
}
