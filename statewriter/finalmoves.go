package statewriter

import (
	"slices"

	"cedardoor/clock"
	"cedardoor/jobs"
	"cedardoor/store"
	"cedardoor/wire"
)

const (
	// minSpareForFinalMoves is how many spare writes are needed to move the records of done jobs to
	// their final keys.
	minSpareForFinalMoves = 12
	// maxPendingFinalMoves is the number of pending moves at which they no longer wait for spare
	// writes: a new leader has to read these jobs along with the unfinished ones.
	maxPendingFinalMoves = 2000
	// operationsPerMove is the number of operations of a move: the job's record, its final record, and
	// the shared record with a row of the job.
	operationsPerMove = 3
)

// finalMove is the pending move of a done job's record to its final key.
type finalMove struct {
	uid         string
	modRevision uint64
	record      store.FinalRecord
	shared      *jobs.SharedRecord // holds a row of the job, if not nil
}

// AddFinalMove queues the move of a done job's record to its final key.
func (w *Writer) AddFinalMove(uid string, modRevision uint64, record store.FinalRecord) {
	w.finalMoves = append(w.finalMoves, &finalMove{uid: uid, modRevision: modRevision, record: record})
}

// addFinalMoves moves the records of done jobs to their final keys and rewrites stale shared
// records. It is used when nothing else is to be recorded, and waits for spare writes unless
// maxPendingFinalMoves is reached.
func (w *Writer) addFinalMoves(tx *Transaction, capacity Capacity, now clock.Micros) {
	spare := min(tx.limits.operations, capacity.SpareWrites())
	if (spare < min(minSpareForFinalMoves, tx.limits.operations) || capacity.Overloaded()) && len(w.finalMoves) < maxPendingFinalMoves {
		return
	}
	var kept []*finalMove
	for i, move := range w.finalMoves {
		if len(tx.Txn.Operations)+operationsPerMove > max(operationsPerMove, spare) || len(tx.Txn.Conditions) >= tx.limits.conditions()*3/4 {
			kept = append(kept, w.finalMoves[i:]...)
			break
		}
		if !w.admit(tx, store.FinalKey(move.uid), now) || !w.addFinalMove(tx, move) {
			kept = append(kept, move)
		}
	}
	w.finalMoves = kept
	for shared := range w.staleShared {
		if len(tx.Txn.Operations) >= spare {
			break
		}
		if !w.admit(tx, shared.Key, now) || !w.addShared(tx, shared) {
			continue
		}
		if tx.shared[shared] {
			tx.addChange(shared.Key)
		} else if tx.empty() {
			tx.alone = false
		}
		delete(w.staleShared, shared)
	}
}

// addFinalMove adds the move of a done job's record. It returns false if it doesn't fit.
func (w *Writer) addFinalMove(tx *Transaction, move *finalMove) bool {
	// A new leader would have to look up the job of a row whose job record is gone, so the row
	// is removed in the same transaction, unless writes of the shared record are refused.
	shared := move.shared
	if shared != nil && shared.ModRevision > 0 && w.refusals[shared.Key] == nil && tx.limits.operations >= operationsPerMove {
		if !w.addShared(tx, shared) {
			return false
		}
		delete(w.staleShared, shared)
		if len(tx.Txn.Operations)+operationsPerMove-1 > tx.limits.operations { // the record was divided
			tx.addChange(shared.Key)
			return false
		}
	}
	tx.addCondition(store.JobKey(move.uid), move.modRevision)
	tx.addOperation(wire.Operation{Delete: store.JobKey(move.uid)}, wire.Operation{Set: store.FinalKey(move.uid), Value: move.record})
	tx.moved = append(tx.moved, move)
	tx.addChange(store.FinalKey(move.uid))
	return true
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
