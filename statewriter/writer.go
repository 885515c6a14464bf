// Package statewriter collects what has changed of jobs and builds transactions of it, the most
// urgent first. It does no I/O and has no lock: its user sends the transactions, one at a time,
// and reports what became of each.
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
	// minDeferredOperations is how many changes a transaction of what can wait may hold when
	// there is none to spare.
	minDeferredOperations = 4
	// finalMoveSpare is how many changes must be to spare for jobs that are done to move to
	// their final place.
	finalMoveSpare = 12
	// maxPendingFinalMoves is how many such jobs make their moves pressing: a new leader reads
	// them with the unfinished ones.
	maxPendingFinalMoves = 2000
	// smallTransactionsAfterRefusal is how many transactions hold one change after one was refused.
	smallTransactionsAfterRefusal = 30
	// maxResultDelay is how long results may wait at most to be recorded together.
	maxResultDelay = 3 * clock.Second
	// resultDelayWrites is of how many of the service's writes the delay of results is the time.
	resultDelayWrites = 60
)

// Capacity tells what the state service takes right now.
type Capacity interface {
	// SpareWrites is how many changes could be made without waiting.
	SpareWrites() int
	// Overloaded tells whether the service has lately had too much to do for a request.
	Overloaded() bool
}

// Writer follows what is to be recorded. Every record that it writes is conditional on the
// leader's own, so that a deposed leader's late transaction fails.
type Writer struct {
	term        uint64 // revision of the leader's record
	txnOps      int    // changes that a transaction may hold
	resultDelay clock.Micros
	mayExist    func(job *jobs.Job) bool // tells whether unreadable tasks of a job may run somewhere

	sequence          uint64                      // numbers the term's transactions and plans
	dirty             map[string]bool             // jobs with something to record now
	pendingResults    map[string]clock.Micros     // jobs with results to record, and by when
	openShared        *jobs.SharedRecord          // takes the attempts of the next single-task jobs
	sharedCount       int                         // shared records that this term has made
	staleShared       map[*jobs.SharedRecord]bool // records that hold rows of jobs that are over
	smallTransactions int                         // transactions that hold one change only, since one was refused
	finalMoves        []*finalMove
}

// finalMove is a job that is done and has yet to move to where final states are kept.
type finalMove struct {
	uid         string
	modRevision uint64
	record      store.FinalRecord
	shared      *jobs.SharedRecord // with a row of it, if any
}

// New makes a Writer for the term of the given revision. While mayExist tells that tasks of a job
// may run somewhere, its records are not deleted.
func New(term uint64, limits config.State, mayExist func(job *jobs.Job) bool) *Writer {
	return &Writer{term: term, txnOps: limits.TxnOps, mayExist: mayExist,
		resultDelay: min(maxResultDelay, clock.FromSeconds(resultDelayWrites/limits.WriteRPS)),
		dirty:       map[string]bool{}, pendingResults: map[string]clock.Micros{}, staleShared: map[*jobs.SharedRecord]bool{}}
}

// maxConditions is how many conditions a transaction may have.
func (w *Writer) maxConditions() int { return 4 * w.txnOps }

// NextSequence numbers what the leader makes: transactions, and plans.
func (w *Writer) NextSequence() uint64 {
	w.sequence++
	return w.sequence
}

// HasDirty tells whether anything is to be recorded now.
func (w *Writer) HasDirty() bool { return len(w.dirty) > 0 }

// Backlog counts what is yet to be recorded.
type Backlog struct {
	Dirty          int // jobs with something to record now
	PendingResults int // jobs with results that may wait
	StaleShared    int // shared records that hold rows of jobs that are over
	FinalMoves     int // jobs that are done and have yet to move
}

// Backlog counts what is yet to be recorded.
func (w *Writer) Backlog() Backlog {
	return Backlog{Dirty: len(w.dirty), PendingResults: len(w.pendingResults), StaleShared: len(w.staleShared), FinalMoves: len(w.finalMoves)}
}

// MarkDirty notes that something of a job is to be recorded now.
func (w *Writer) MarkDirty(uid string) { w.dirty[uid] = true }

// MarkPlaced notes that a task of a job was placed, which is to be recorded now with all else.
func (w *Writer) MarkPlaced(job *jobs.Job, index int) {
	if job.SharesRecord() && job.Record.Shared == nil && job.Record.Chunks[0].ModRevision == 0 {
		w.joinShared(job)
	}
	job.MarkChanged(index)
	w.MarkDirty(job.UID)
	delete(w.pendingResults, job.UID)
}

// MarkResult notes that results of a job are to be recorded with others.
func (w *Writer) MarkResult(job *jobs.Job, now clock.Micros) {
	if _, due := w.pendingResults[job.UID]; !due && !w.dirty[job.UID] {
		w.pendingResults[job.UID] = now + w.resultDelay
	}
}

// AttemptEnded notes that an attempt of a task has ended, and gives the record of it.
func (w *Writer) AttemptEnded(job *jobs.Job, index int) *jobs.Chunk {
	chunk := job.MarkChanged(index)
	if shared := job.Record.Shared; shared != nil && w.openShared != shared && shared.ModRevision > 0 {
		w.staleShared[shared] = true
	}
	return chunk
}

// AddFinalMove notes a job that is done and has yet to move to where final states are kept.
func (w *Writer) AddFinalMove(uid string, modRevision uint64, record store.FinalRecord) {
	w.finalMoves = append(w.finalMoves, &finalMove{uid: uid, modRevision: modRevision, record: record})
}

// joinShared finds a job a record for its only task's attempts.
func (w *Writer) joinShared(job *jobs.Job) {
	if w.openShared == nil || w.sharedIsFull(w.openShared) {
		w.sharedCount++
		w.openShared = &jobs.SharedRecord{Key: store.SharedKey(w.term, w.sharedCount)}
	}
	w.openShared.JobCount++
	w.openShared.Jobs = append(w.openShared.Jobs, job)
	job.Record.Shared = w.openShared
}

// sharedIsFull tells whether a shared record takes no more jobs: its first write is conditional on
// each of them.
func (w *Writer) sharedIsFull(shared *jobs.SharedRecord) bool {
	return shared != w.openShared || shared.JobCount >= min(store.JobsPerSharedRecord, w.maxConditions()-8)
}

// LeaveShared takes a job of which nothing may be anywhere any more out of its shared record,
// which is written again when there are changes to spare.
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

// MarkStale notes that a shared record is to be written again when there are changes to spare.
func (w *Writer) MarkStale(shared *jobs.SharedRecord) { w.staleShared[shared] = true }

// Priorities of what is not recorded by its job's own.
const (
	priorityOver    = -1 // what is left of jobs that are over
	priorityService = int(wire.PriorityCritical)
)

// priority orders what is to be recorded: placements and ends by priority, then what is left of
// jobs that are over.
func priority(job *jobs.Job) int {
	switch {
	case job == nil || job.Cancelled:
		return priorityOver
	case job.IsService():
		return priorityService
	}
	return int(job.Priority)
}

// Next builds the next transaction from what has changed; nil when nothing has. It also lists the
// jobs of which nothing is left and nothing was on record.
//
// What can wait, low work's records and what is left of jobs that are over, takes only changes
// that are to spare, or few: a full transaction of it would keep the next urgent one waiting for
// as long as the service takes for it.
func (w *Writer) Next(table *jobs.Table, capacity Capacity, now clock.Micros) (next *Transaction, forgotten []*jobs.Job) {
	w.takeDueResults(now)
	tx := &Transaction{nonce: fmt.Sprintf("%d.%d", w.term, w.NextSequence()), shared: map[*jobs.SharedRecord]bool{}}
	tx.Txn.Conditions = []wire.Condition{{Key: store.KeyLeader, ModRevision: w.term}}
	spare, all := max(minDeferredOperations, capacity.SpareWrites()), w.txnOps
	if w.smallTransactions > 0 {
		w.smallTransactions--
		spare, all = 1, 1
	}
	for _, uid := range w.dirtyByPriority(table) {
		job := table.Get(uid)
		if job == nil {
			delete(w.dirty, uid)
			continue
		}
		operations := all
		if priority(job) < int(wire.PriorityStandard) {
			operations = min(operations, spare)
		}
		if w.full(tx, operations) {
			break
		}
		complete, gone := w.add(tx, job, operations)
		if gone {
			forgotten = append(forgotten, job)
		}
		if complete {
			delete(w.dirty, uid)
		}
	}
	if tx.empty() {
		w.addFinalMoves(tx, capacity)
	}
	if tx.empty() {
		return nil, forgotten
	}
	return tx, forgotten
}

// add records what has changed of a job. It is complete unless the transaction has no room for
// all; the job is forgotten when nothing of it is left.
func (w *Writer) add(tx *Transaction, job *jobs.Job, operations int) (complete, forgotten bool) {
	switch {
	case job.Cancelled:
		return w.addDeletions(tx, job, operations)
	case job.Done == len(job.Tasks) && !job.IsService():
		tx.addFinished(job)
		return true, false
	case job.Record.Shared != nil:
		return w.addShared(tx, job.Record.Shared), false
	}
	return w.addChunks(tx, job, operations), false
}

// takeDueResults marks jobs whose results have waited long enough: they are recorded together with
// others, and give way to placements.
func (w *Writer) takeDueResults(now clock.Micros) {
	var due []string
	for uid, at := range w.pendingResults {
		if at <= now {
			due = append(due, uid)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(cmp.Compare(w.pendingResults[a], w.pendingResults[b]), cmp.Compare(a, b))
	})
	room := w.txnOps / 2
	for _, uid := range due {
		if room--; room < 0 || len(w.dirty) > 0 && w.pendingResults[uid]+w.resultDelay > now {
			break
		}
		delete(w.pendingResults, uid)
		w.MarkDirty(uid)
	}
}

// dirtyByPriority lists the jobs with something to record, the most urgent first.
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

// markAgain marks a job whose record is behind: at once if a placement waits for it.
func (w *Writer) markAgain(job *jobs.Job, now clock.Micros) {
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

// markSharedAgain does what markAgain does for the jobs of a shared record.
func (w *Writer) markSharedAgain(shared *jobs.SharedRecord) {
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

// requeueMoves makes moves due once more, but for those whose conditions failed: what is not where
// it was has moved already, by a copy of the transaction that came late.
func (w *Writer) requeueMoves(moves []*finalMove, failedKeys []string) {
	for _, move := range moves {
		if !slices.Contains(failedKeys, store.JobKey(move.uid)) {
			w.finalMoves = append(w.finalMoves, move)
		}
	}
}
