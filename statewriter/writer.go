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
	// maxResultDelay bounds the delay after which results are recorded together.
	maxResultDelay = 3 * clock.Second
	// resultDelayWrites sets the delay of results: the time in which the service accepts this many
	// writes.
	resultDelayWrites = 60
)

// Capacity describes how much the state service accepts at the moment.
type Capacity interface {
	// TxnOps returns how many operations a transaction may hold.
	TxnOps() int
	// MaxValueBytes returns how large a value may be in the JSON form.
	MaxValueBytes() int
	// SpareWrites returns how many writes could be made without waiting.
	SpareWrites() int
	// Overloaded reports whether the service has recently refused a request because of overload.
	Overloaded() bool
}

// Writer tracks what is to be recorded. Every transaction is conditional on the leader's own record,
// so that a late transaction of a deposed leader fails.
type Writer struct {
	term          uint64 // revision of the leader's record
	lastLimits    limits // those of the last transaction
	resultDelay   clock.Micros
	hasUnreadable func(job *jobs.Job) bool // reports whether unreadable tasks of a job may run somewhere

	sequence       uint64                      // last number given to a transaction or plan of the term
	dirty          map[string]bool             // jobs with something to record now
	pendingResults map[string]clock.Micros     // jobs with results to record, and when these are due
	openShared     *jobs.SharedRecord          // the one that the next single-task jobs join
	sharedCount    int                         // shared records created in this term
	staleShared    map[*jobs.SharedRecord]bool // those to rewrite when there are spare writes
	finalMoves     []*finalMove

	refusals map[string]*refusal // by change
	group    *refusedGroup       // nil if none
	// batchOperations is how many operations a transaction may hold after a larger one was refused; zero
	// for as many as the service allows.
	batchOperations int
	learned         limits // see Learned
}

// New returns a Writer for the term whose leader record has the given revision. The records of a job
// are kept as long as hasUnreadable reports that unreadable tasks of the job may run somewhere.
func New(term uint64, state config.State, hasUnreadable func(job *jobs.Job) bool) *Writer {
	return &Writer{term: term, hasUnreadable: hasUnreadable,
		lastLimits:  limits{operations: state.TxnOps, valueBytes: state.ValueBytes(), maxParts: state.TxnOps},
		resultDelay: min(maxResultDelay, clock.FromSeconds(resultDelayWrites/state.WriteRPS)),
		dirty:       map[string]bool{}, pendingResults: map[string]clock.Micros{}, staleShared: map[*jobs.SharedRecord]bool{},
		refusals: map[string]*refusal{}}
}

// NextSequence returns the next number for a transaction or plan of the term.
func (w *Writer) NextSequence() uint64 {
	w.sequence++
	return w.sequence
}

// HasDirty reports whether anything is to be recorded now. Changes that the service refused are not while
// they pause.
func (w *Writer) HasDirty(table *jobs.Table, now clock.Micros) bool {
	if len(w.refusals) == 0 {
		return len(w.dirty) > 0
	}
	for uid := range w.dirty {
		if job := table.Get(uid); job == nil || !w.paused(changeOf(job), now) {
			return true
		}
	}
	return false
}

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
	w.lastLimits = w.currentLimits(capacity)
	tx := &Transaction{nonce: fmt.Sprintf("%d.%d", w.term, w.NextSequence()), limits: w.lastLimits, shared: map[*jobs.SharedRecord]bool{}}
	tx.Txn.Conditions = []wire.Condition{{Key: store.KeyLeader, ModRevision: w.term}}
	removable = w.addDirty(tx, table, capacity, now)
	if tx.empty() {
		w.addFinalMoves(tx, capacity, now)
	}
	if tx.empty() {
		return nil, removable
	}
	return tx, removable
}

// addDirty adds the changes that are to be recorded now, as many as fit. It returns the finished jobs that
// have no chunks left to delete.
func (w *Writer) addDirty(tx *Transaction, table *jobs.Table, capacity Capacity, now clock.Micros) (removable []*jobs.Job) {
	deferredLimit := max(minDeferredOperations, capacity.SpareWrites())
	for _, uid := range w.dirtyByPriority(table) {
		job := table.Get(uid)
		if job == nil {
			delete(w.dirty, uid)
			continue
		}
		change := changeOf(job)
		if !w.admit(tx, change, now) {
			continue
		}
		maxOperations := tx.limits.operations
		if priority(job) < int(wire.PriorityStandard) {
			maxOperations = min(maxOperations, deferredLimit)
		}
		if tx.full(maxOperations) {
			break
		}
		before := len(tx.Txn.Operations)
		complete, noRecords := w.add(tx, job, maxOperations)
		if noRecords {
			removable = append(removable, job)
		}
		if complete {
			delete(w.dirty, uid)
		}
		if len(tx.Txn.Operations) > before {
			tx.addChange(change)
		}
		if tx.empty() {
			tx.alone, tx.limits = false, w.lastLimits
		}
	}
	return removable
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
	remaining := w.lastLimits.operations / 2
	for _, uid := range due {
		if remaining--; remaining < 0 || othersFirst && w.pendingResults[uid]+w.resultDelay > now {
			break
		}
		delete(w.pendingResults, uid)
		w.MarkDirty(uid)
	}
}

// dirtyByPriority returns the jobs with changes to record now, the most urgent first. Among those of a
// priority, changes that were refused before are the first and the last in turns.
func (w *Writer) dirtyByPriority(table *jobs.Table) []string {
	uids := make([]string, 0, len(w.dirty))
	for uid := range w.dirty {
		uids = append(uids, uid)
	}
	slices.SortFunc(uids, func(a, b string) int {
		return cmp.Or(cmp.Compare(priority(table.Get(b)), priority(table.Get(a))), w.compareRefused(table.Get(a), table.Get(b)), cmp.Compare(a, b))
	})
	return uids
}

// compareRefused orders jobs by whether their change was refused before.
func (w *Writer) compareRefused(a, b *jobs.Job) int {
	if len(w.refusals) == 0 || a == nil || b == nil {
		return 0
	}
	refusedA, refusedB := w.refusals[changeOf(a)] != nil, w.refusals[changeOf(b)] != nil
	switch {
	case refusedA == refusedB:
		return 0
	case refusedA == (w.sequence%2 == 0):
		return -1
	}
	return 1
}

// requeueJob marks a job whose record is out of date: as dirty if a placement waits for the record or
// all tasks are done, otherwise as having results to record.
func (w *Writer) requeueJob(job *jobs.Job, now clock.Micros) {
	if job.Cancelled || job.Done == len(job.Tasks) {
		w.MarkDirty(job.UID)
		return
	}
	for _, chunk := range job.Record.Chunks {
		if chunk.Version == chunk.SavedVersion || chunk.Unreadable > 0 {
			continue
		}
		for i := chunk.First; i < chunk.End(len(job.Tasks)); i++ {
			if allocation := job.Tasks[i].Allocation; allocation != nil && !allocation.Durable {
				w.MarkDirty(job.UID)
				return
			}
		}
	}
	w.MarkResult(job, now)
}
