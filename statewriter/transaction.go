package statewriter

import (
	"fmt"
	"slices"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/store"
	"cedardoor/wire"
)

// maxTransactionBytes keeps a transaction well under the service's limit of 64 KiB.
const maxTransactionBytes = 44 << 10

// Estimated sizes in the JSON form, in bytes.
const (
	operationBytes   = 100 // of an operation, without its value
	finalRecordBytes = 300
)

// Transaction is a transaction of the state service, with the changes that it makes durable.
type Transaction struct {
	// Txn is the request. While its outcome is unknown, it must be resent unchanged: its conditions
	// ensure that it is applied at most once.
	Txn wire.Txn

	nonce   string // stored in every record that it writes
	limits  limits
	size    int      // estimated, in bytes
	changes []string // the changes that it makes: those of each can be sent without the others
	alone   bool     // it may hold no other change than its first, which was refused before
	// extraParts is how many operations more it takes since records are divided.
	extraParts int
	// largestValue is the estimated size of the largest value of a divisible record.
	largestValue int

	records  []recordWrite
	finished []*jobs.Job // jobs that it records as done
	deleted  []*jobs.Job // jobs whose last chunks it deletes
	moved    []*finalMove
	shared   map[*jobs.SharedRecord]bool // shared records that it writes
}

// recordWrite is the write or deletion of one record of attempts in a transaction.
type recordWrite struct {
	chunk    *jobs.Chunk
	key      string
	job      *jobs.Job           // the job of a chunk, nil for a shared record
	shared   *jobs.SharedRecord  // the shared record, nil for a chunk
	version  uint64              // of the chunk, as written
	attempts []*fleet.Allocation // attempts that become durable with it
	ended    []*fleet.Allocation // attempts whose end becomes durable with it
	deleted  bool
	// parts and sharedParts hold all records into which a divided one is written, starting with itself.
	parts       []*jobs.Chunk
	sharedParts []*sharedPart
}

// Changes names the changes that the transaction makes.
func (tx *Transaction) Changes() []string { return tx.changes }

// LargestValue returns the estimated size of the largest value that could be divided.
func (tx *Transaction) LargestValue() int { return tx.largestValue }

// Finished returns the jobs that the transaction records as done.
func (tx *Transaction) Finished() []*jobs.Job { return tx.finished }

// Wrote reports whether the transaction wrote the record that was read, which means that an earlier
// copy of the transaction was applied. It also reports whether the record holds its job's final
// state.
func (tx *Transaction) Wrote(row wire.Row, isJob bool) (wrote, finished bool, err error) {
	var record struct {
		Nonce string             `msgpack:"w"`
		Final *store.FinalRecord `msgpack:"o"`
	}
	if err := wire.Unmarshal(row.Value, &record); err != nil {
		return false, false, fmt.Errorf("decode record %s: %w", row.Key, err)
	}
	if isJob && record.Final != nil {
		return record.Final.Nonce == tx.nonce, true, nil
	}
	return record.Nonce == tx.nonce, record.Final != nil, nil
}

// SetRevision notes the current revision of a record of attempts that the transaction was to write.
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

// empty reports whether the transaction has no operations.
func (tx *Transaction) empty() bool { return len(tx.Txn.Operations) == 0 }

// addValue adds an operation that sets a key to a value of the given size in the JSON form.
func (tx *Transaction) addValue(key string, value any, size int) {
	tx.addOperation(wire.Operation{Set: key, Value: value})
	tx.size += operationBytes + size
	tx.largestValue = max(tx.largestValue, size)
}

// addChange notes that the transaction makes a change.
func (tx *Transaction) addChange(change string) {
	if !slices.Contains(tx.changes, change) {
		tx.changes = append(tx.changes, change)
	}
}

// weight returns how many operations the service must allow for the transaction.
func (tx *Transaction) weight() int { return max(len(tx.Txn.Operations), tx.weightOfConditions()) }

// weightOfConditions returns how many operations the service must allow for the transaction's conditions.
func (tx *Transaction) weightOfConditions() int {
	return (len(tx.Txn.Conditions) + store.ConditionsPerOperation - 1) / store.ConditionsPerOperation
}

// weightUndivided is weight as if no record were divided.
func (tx *Transaction) weightUndivided() int {
	return max(len(tx.Txn.Operations)-tx.extraParts, tx.weightOfConditions())
}

// full reports whether the transaction has no room for another chunk, which takes one operation and
// up to two conditions.
func (tx *Transaction) full(maxOperations int) bool {
	return len(tx.Txn.Operations) >= maxOperations || tx.size > maxTransactionBytes || len(tx.Txn.Conditions)+2 > tx.limits.conditions()
}

// keepLeftovers notes the new records of divided ones that the transaction may have left in the service.
func (tx *Transaction) keepLeftovers() {
	for _, write := range tx.records {
		for _, part := range write.parts[min(1, len(write.parts)):] {
			if !slices.Contains(write.chunk.Leftover, part.First) {
				write.chunk.Leftover = append(write.chunk.Leftover, part.First)
			}
		}
		for _, part := range write.sharedParts[min(1, len(write.sharedParts)):] {
			write.shared.LeftoverKeys = append(write.shared.LeftoverKeys, part.shared.Key)
		}
	}
}

// addFinished records a job as done in the job's own record, which takes one operation per job even
// when many finish at once. The record is moved to its final key later.
func (tx *Transaction) addFinished(job *jobs.Job) {
	record := store.NewFinalRecord(&job.Spec, wire.JobDone, tx.nonce)
	tx.addCondition(store.JobKey(job.UID), job.Record.ModRevision)
	tx.addOperation(wire.Operation{Set: store.JobKey(job.UID),
		Value: store.JobRecord{Spec: wire.Spec{UID: job.UID}, AcceptedUS: job.AcceptedUS, Final: &record}})
	tx.finished = append(tx.finished, job)
	tx.size += finalRecordBytes
}

// addDeletions deletes the chunks of a finished job and takes the job out of its shared record. It
// does nothing while tasks of the job may exist: the job is marked dirty again when they are gone.
// complete is false only if some deletions don't fit. noRecords is true if no chunks of the job were
// left on record.
func (w *Writer) addDeletions(tx *Transaction, job *jobs.Job, maxOperations int) (complete, noRecords bool) {
	for i := range job.Tasks {
		if job.Tasks[i].Allocation != nil {
			return true, false
		}
	}
	if w.hasUnreadable(job) {
		return true, false
	}
	before := len(tx.records)
	for _, chunk := range job.Record.Chunks {
		if chunk.ModRevision == 0 && len(chunk.Leftover) == 0 {
			continue
		}
		if needed := 1 + len(chunk.Leftover); !tx.empty() && len(tx.Txn.Operations)+needed > maxOperations {
			return false, false
		}
		key := store.ChunkKey(job.UID, chunk.First)
		tx.addOperation(wire.Operation{Delete: key})
		for _, firstTask := range chunk.Leftover {
			tx.addOperation(wire.Operation{Delete: store.ChunkKey(job.UID, firstTask)})
		}
		tx.records = append(tx.records, recordWrite{chunk: chunk, key: key, job: job, deleted: true})
	}
	w.LeaveShared(job)
	if len(tx.records) == before {
		return true, true
	}
	tx.deleted = append(tx.deleted, job)
	return true, false
}

// Applied notes that a transaction was applied at the given revision. It calls markDurable for each
// attempt that the transaction made durable, and returns the finished jobs that have no chunks left,
// which the caller removes from its table.
func (w *Writer) Applied(tx *Transaction, revision uint64, now clock.Micros, markDurable func(*fleet.Allocation)) (removable []*jobs.Job) {
	w.accepted(tx, now)
	for i := range tx.records {
		write := &tx.records[i]
		chunk := write.chunk
		chunk.Leftover = nil
		if write.shared != nil {
			write.shared.LeftoverKeys = nil
		}
		if write.deleted {
			chunk.ModRevision, chunk.SavedVersion = 0, write.version
			continue
		}
		chunk.ModRevision, chunk.SavedVersion = revision, write.version
		for _, allocation := range write.attempts {
			markDurable(allocation)
		}
		setResultsDurable(write.ended)
		if len(write.sharedParts) > 1 {
			w.sharedDivided(write, revision)
		}
		if len(write.parts) > 1 {
			chunkDivided(write, revision)
		}
		switch {
		case chunk.Version == chunk.SavedVersion:
		case write.shared != nil:
			w.requeueShared(write.shared)
		default:
			w.requeueJob(write.job, now)
		}
	}
	for _, job := range tx.finished {
		w.jobFinished(tx, job, revision)
	}
	return tx.deleted
}

// jobFinished notes that a job's completion is durable: the results of its attempts are no longer
// needed, its record is queued for the move to its final key, and its remaining records are deleted
// like those of a cancelled job.
func (w *Writer) jobFinished(tx *Transaction, job *jobs.Job, revision uint64) {
	record := &job.Record
	w.finalMoves = append(w.finalMoves, &finalMove{uid: job.UID, modRevision: revision,
		record: store.NewFinalRecord(&job.Spec, wire.JobDone, tx.nonce), shared: record.Shared})
	if record.PendingResult != nil {
		record.PendingResult.ResultDurable = true
	}
	for _, chunk := range record.Chunks {
		setResultsDurable(chunk.EndedAttempts)
		chunk.EndedAttempts = nil
	}
	job.Cancelled = true
	w.MarkDirty(job.UID)
}

func setResultsDurable(allocations []*fleet.Allocation) {
	for _, allocation := range allocations {
		allocation.ResultDurable = true
	}
}

// Requeue schedules the changes of a transaction that will never be applied to be recorded again,
// except final moves whose conditions failed.
func (w *Writer) Requeue(tx *Transaction, failedKeys []string) {
	for _, write := range tx.records {
		chunk := write.chunk
		chunk.EndedAttempts = append(chunk.EndedAttempts, write.ended...)
		if write.shared != nil {
			w.requeueShared(write.shared)
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
