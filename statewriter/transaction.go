package statewriter

import (
	"fmt"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/store"
	"cedardoor/wire"
)

// maxTransactionBytes keeps a transaction well under the service's 64 KiB.
const maxTransactionBytes = 44 << 10

// Estimated sizes of encoded records, in bytes.
const (
	chunkBytes       = 200
	chunkRowBytes    = 36
	sharedBytes      = 100
	sharedRowBytes   = 70
	finalRecordBytes = 300
)

// Transaction is one transaction and what it makes durable.
type Transaction struct {
	// Txn is what is sent. It must be sent again unchanged while its outcome is not known: its
	// conditions let it be applied once.
	Txn wire.Txn

	nonce    string // in every record that it writes
	size     int    // estimated, in bytes
	records  []recordWrite
	finished []*jobs.Job // called done
	deleted  []*jobs.Job // nothing of them is left on record
	moved    []*finalMove
	shared   map[*jobs.SharedRecord]bool // that it writes
}

// recordWrite is one record of attempts in a transaction.
type recordWrite struct {
	chunk    *jobs.Chunk
	key      string
	job      *jobs.Job          // whose tasks it holds, or
	shared   *jobs.SharedRecord // the record that it is of
	version  uint64
	attempts []*fleet.Allocation // attempts that become durable by it
	ended    []*fleet.Allocation // attempts whose end becomes durable by it
	deleted  bool
}

// Finished lists the jobs that the transaction calls done.
func (tx *Transaction) Finished() []*jobs.Job { return tx.finished }

// Wrote tells whether the transaction wrote a record as it was read: an earlier copy of it was
// applied. A job is over where the record holds its final state.
func (tx *Transaction) Wrote(row wire.Row, isJob bool) (wrote, over bool, err error) {
	var record struct {
		Nonce string             `msgpack:"w"`
		Final *store.FinalRecord `msgpack:"o"`
	}
	if err := wire.Unmarshal(row.Value, &record); err != nil {
		return false, false, fmt.Errorf("record %s: %w", row.Key, err)
	}
	if isJob && record.Final != nil {
		return record.Final.Nonce == tx.nonce, true, nil
	}
	return record.Nonce == tx.nonce, record.Final != nil, nil
}

// SetRevision notes the revision at which a record of the transaction was read.
func (tx *Transaction) SetRevision(key string, modRevision uint64) {
	for _, write := range tx.records {
		if write.key == key {
			write.chunk.ModRevision = modRevision
		}
	}
}

func (tx *Transaction) addCondition(key string, modRevision uint64) {
	tx.Txn.Conditions = append(tx.Txn.Conditions, wire.Condition{Key: key, ModRevision: modRevision})
}

func (tx *Transaction) addOperation(operations ...wire.Operation) {
	tx.Txn.Operations = append(tx.Txn.Operations, operations...)
}

// empty tells whether the transaction changes nothing.
func (tx *Transaction) empty() bool { return len(tx.Txn.Operations) == 0 }

// full tells whether the transaction takes no more records, of which it may hold the given number.
func (w *Writer) full(tx *Transaction, operations int) bool {
	return len(tx.Txn.Operations) >= operations || tx.size > maxTransactionBytes || len(tx.Txn.Conditions)+2 > w.maxConditions()
}

// addChunks records what has changed of a job's chunks; false when there is no room for all.
func (w *Writer) addChunks(tx *Transaction, job *jobs.Job, operations int) bool {
	before := len(tx.Txn.Operations)
	complete := true
	for n := range job.Record.Chunks {
		chunk := &job.Record.Chunks[n]
		if chunk.Version == chunk.SavedVersion || chunk.Unreadable > 0 {
			continue
		}
		if w.full(tx, operations) {
			complete = false
			break
		}
		tx.addChunk(job, n)
	}
	if len(tx.Txn.Operations) > before {
		// Only with a change of its own: conditions are limited, too.
		tx.addCondition(store.JobKey(job.UID), job.Record.ModRevision)
	}
	return complete
}

// addChunk records the attempts and results of one chunk of a job's tasks.
func (tx *Transaction) addChunk(job *jobs.Job, n int) {
	chunk := &job.Record.Chunks[n]
	first := n * store.TasksPerChunk
	end := min(first+store.TasksPerChunk, len(job.Tasks))
	done := make([]bool, end-first)
	var attempts []store.TaskAttempt
	write := recordWrite{chunk: chunk, key: store.ChunkKey(job.UID, n), job: job, version: chunk.Version, ended: chunk.EndedAttempts}
	chunk.EndedAttempts = nil
	for i := first; i < end; i++ {
		task := &job.Tasks[i]
		attempt := store.TaskAttempt{Index: i - first, Attempt: task.Attempt}
		switch {
		case task.State == jobs.TaskDone:
			done[i-first] = true
		case task.Allocation != nil:
			attempt.Machine, attempt.Incarnation = task.Allocation.Machine.Name, task.Allocation.Incarnation
			attempts = append(attempts, attempt)
			if !task.Allocation.Durable {
				write.attempts = append(write.attempts, task.Allocation)
			}
		case task.Attempt > 0:
			attempts = append(attempts, attempt)
		}
	}
	tx.addCondition(write.key, chunk.ModRevision)
	tx.addOperation(wire.Operation{Set: write.key, Value: store.NewChunkRecord(tx.nonce, done, attempts)})
	tx.records = append(tx.records, write)
	tx.size += chunkBytes + chunkRowBytes*len(attempts)
}

// addShared records what has changed of the single tasks that share a record, once in a
// transaction; false when it has no room for all that this takes. Each attempt that becomes
// durable by it is conditional on its own job, as always.
func (w *Writer) addShared(tx *Transaction, shared *jobs.SharedRecord) bool {
	if shared.Version == shared.SavedVersion || tx.shared[shared] {
		return true
	}
	write := recordWrite{chunk: &shared.Chunk, key: shared.Key, shared: shared, version: shared.Version, ended: shared.EndedAttempts}
	record := store.SharedRecord{Nonce: tx.nonce, Rows: append([]store.SharedRow{}, shared.KeptRows...)}
	conditions := []wire.Condition{{Key: shared.Key, ModRevision: shared.ModRevision}}
	for _, job := range shared.Jobs {
		task := &job.Tasks[0]
		row := store.SharedRow{UID: job.UID, Attempt: task.Attempt}
		switch {
		case task.Allocation != nil:
			row.Machine, row.Incarnation = task.Allocation.Machine.Name, task.Allocation.Incarnation
			record.Rows = append(record.Rows, row)
			if !task.Allocation.Durable && !job.Cancelled {
				write.attempts = append(write.attempts, task.Allocation)
				conditions = append(conditions, wire.Condition{Key: store.JobKey(job.UID), ModRevision: job.Record.ModRevision})
			}
		case task.Attempt > 0:
			record.Rows = append(record.Rows, row)
		}
	}
	if len(tx.Txn.Conditions)+len(conditions) > w.maxConditions() && !tx.empty() {
		return false
	}
	tx.shared[shared] = true
	shared.EndedAttempts = nil
	tx.Txn.Conditions = append(tx.Txn.Conditions, conditions...)
	if len(record.Rows) == 0 && w.sharedIsFull(shared) && shared.ModRevision > 0 {
		write.deleted = true
		tx.addOperation(wire.Operation{Delete: shared.Key})
	} else {
		tx.addOperation(wire.Operation{Set: shared.Key, Value: record})
	}
	tx.records = append(tx.records, write)
	tx.size += sharedBytes + sharedRowBytes*len(record.Rows)
	return true
}

// addFinished calls a job done, in its own record: one change, however many come at a time. It
// moves to its final place later.
func (tx *Transaction) addFinished(job *jobs.Job) {
	record := store.NewFinalRecord(&job.Spec, wire.JobDone, tx.nonce)
	tx.addCondition(store.JobKey(job.UID), job.Record.ModRevision)
	tx.addOperation(wire.Operation{Set: store.JobKey(job.UID),
		Value: store.JobRecord{Spec: wire.Spec{UID: job.UID}, AcceptedUS: job.AcceptedUS, Final: &record}})
	tx.finished = append(tx.finished, job)
	tx.size += finalRecordBytes
}

// addDeletions deletes the records of a job that is over, once none of its tasks can exist any
// more. It is complete when nothing is left to do for the job now, which is also so while some
// of its tasks may exist: their end marks the job again. The job is forgotten where nothing of it
// was on record.
func (w *Writer) addDeletions(tx *Transaction, job *jobs.Job, operations int) (complete, forgotten bool) {
	for i := range job.Tasks {
		if job.Tasks[i].Allocation != nil {
			return true, false
		}
	}
	if w.mayExist(job) {
		return true, false
	}
	before := len(tx.records)
	for n := range job.Record.Chunks {
		chunk := &job.Record.Chunks[n]
		if chunk.ModRevision == 0 {
			continue
		}
		if len(tx.Txn.Operations) >= operations {
			return false, false
		}
		key := store.ChunkKey(job.UID, n)
		tx.addOperation(wire.Operation{Delete: key})
		tx.records = append(tx.records, recordWrite{chunk: chunk, key: key, job: job, deleted: true})
	}
	w.LeaveShared(job)
	if len(tx.records) == before {
		return true, true // nothing of its own is recorded, or no longer
	}
	tx.deleted = append(tx.deleted, job)
	return true, false
}

// addFinalMoves moves jobs that are done to their final place, and writes the records again that
// hold rows of them, when nothing else is to be recorded.
func (w *Writer) addFinalMoves(tx *Transaction, capacity Capacity) {
	spare := min(w.txnOps, capacity.SpareWrites())
	if (spare < min(finalMoveSpare, w.txnOps) || capacity.Overloaded()) && len(w.finalMoves) < maxPendingFinalMoves {
		return
	}
	const operationsOfMove = 3 // the job, its final record, and the shared record with a row of it
	for len(w.finalMoves) > 0 && len(tx.Txn.Operations)+operationsOfMove <= max(operationsOfMove, spare) && len(tx.Txn.Conditions) < 3*w.txnOps {
		move := w.finalMoves[0]
		w.finalMoves = w.finalMoves[1:]
		// A row that outlived its job's record would have to be looked up by a new leader.
		if move.shared != nil && move.shared.ModRevision > 0 {
			if !w.addShared(tx, move.shared) {
				w.finalMoves = append(w.finalMoves, move)
				break
			}
			delete(w.staleShared, move.shared)
		}
		tx.addCondition(store.JobKey(move.uid), move.modRevision)
		tx.addOperation(wire.Operation{Delete: store.JobKey(move.uid)}, wire.Operation{Set: store.FinalKey(move.uid), Value: move.record})
		tx.moved = append(tx.moved, move)
	}
	for shared := range w.staleShared {
		if len(tx.Txn.Operations) >= spare || !w.addShared(tx, shared) {
			break
		}
		delete(w.staleShared, shared)
	}
}

// Applied notes that a transaction was applied, at a revision of the store. It tells durable of
// each attempt that is on record by it, and lists the jobs of which nothing is left.
func (w *Writer) Applied(tx *Transaction, revision uint64, now clock.Micros, durable func(*fleet.Allocation)) (forgotten []*jobs.Job) {
	for _, write := range tx.records {
		chunk := write.chunk
		if write.deleted {
			chunk.ModRevision, chunk.SavedVersion = 0, write.version
			continue
		}
		chunk.ModRevision, chunk.SavedVersion = revision, write.version
		for _, allocation := range write.attempts {
			durable(allocation)
		}
		setResultsDurable(write.ended)
		switch {
		case chunk.Version == chunk.SavedVersion:
		case write.shared != nil:
			w.markSharedAgain(write.shared)
		default:
			w.markAgain(write.job, now)
		}
	}
	for _, job := range tx.finished {
		w.jobFinished(tx, job, revision)
	}
	return tx.deleted
}

// jobFinished notes that a job is done for good: its results are needed no longer, and its record
// is to move. What is left of its records is deleted like a cancelled job's.
func (w *Writer) jobFinished(tx *Transaction, job *jobs.Job, revision uint64) {
	record := &job.Record
	w.finalMoves = append(w.finalMoves, &finalMove{uid: job.UID, modRevision: revision,
		record: store.NewFinalRecord(&job.Spec, wire.JobDone, tx.nonce), shared: record.Shared})
	if record.PendingResult != nil {
		record.PendingResult.ResultDurable = true
	}
	for n := range record.Chunks {
		setResultsDurable(record.Chunks[n].EndedAttempts)
		record.Chunks[n].EndedAttempts = nil
	}
	job.Cancelled = true
	w.MarkDirty(job.UID)
}

func setResultsDurable(allocations []*fleet.Allocation) {
	for _, allocation := range allocations {
		allocation.ResultDurable = true
	}
}

// Refused notes that the service would not take a transaction as it is, and never will. What it
// held is recorded in steps as small as can be, so that one that is at fault keeps nothing else
// up for ever.
func (w *Writer) Refused(tx *Transaction) {
	w.smallTransactions = smallTransactionsAfterRefusal
	w.Requeue(tx, nil)
}

// Requeue makes what a transaction that will never be applied held due once more, but for moves
// whose conditions failed.
func (w *Writer) Requeue(tx *Transaction, failedKeys []string) {
	for _, write := range tx.records {
		chunk := write.chunk
		chunk.EndedAttempts = append(chunk.EndedAttempts, write.ended...)
		if write.shared != nil {
			w.markSharedAgain(write.shared)
			continue
		}
		w.MarkDirty(write.job.UID)
		if write.job.Cancelled {
			setResultsDurable(chunk.EndedAttempts)
			chunk.EndedAttempts = nil
		}
	}
	w.requeueMoves(tx.moved, failedKeys)
	for _, job := range append(tx.finished, tx.deleted...) {
		w.MarkDirty(job.UID)
	}
}
