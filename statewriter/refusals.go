package statewriter

import (
	"cedardoor/clock"
	"cedardoor/jobs"
	"cedardoor/store"
)

const (
	// minRefusalPause and maxRefusalPause bound the pause before a refused change is sent again. It
	// doubles with every refusal.
	minRefusalPause = 100 * clock.Millisecond
	maxRefusalPause = 30 * clock.Second
	// maxGroupAge is how long a refused transaction of several changes is kept in mind while each of
	// them is sent alone.
	maxGroupAge = 5 * clock.Second
	// minOperations is the number of operations below which a transaction is not made smaller: the
	// move of a done job's record takes as many.
	minOperations = 3
	// minDividedBytes is the size up to which a record is not divided after a refusal: it was refused for
	// another reason.
	minDividedBytes = 512
)

// refusal is what is known of a change that the service refused. Such a change is sent alone, after a
// pause, so that it delays no other.
type refusal struct {
	pause     clock.Micros
	notBefore clock.Micros
	// operations and parts are the forms in which the change is tried once it was refused alone, as it may
	// be too large: with at most so many operations and, if these are few, with a record divided into at
	// least so many parts. They are zero before that.
	operations int
	parts      int
}

// refusedGroup is a refused transaction of several changes. If each of them is accepted alone, there were
// too many of them.
type refusedGroup struct {
	since      clock.Micros
	operations int
	pending    map[string]bool // changes that were not accepted alone yet
}

// changeOf names the change by which a job's records are written: that of its shared record, unless the
// job's own records are written.
func changeOf(job *jobs.Job) string {
	finished := job.Cancelled || job.Done == len(job.Tasks) && !job.IsService()
	if job.Record.Shared != nil && !finished {
		return job.Record.Shared.Key
	}
	return store.JobKey(job.UID)
}

// paused reports whether a refused change may not be sent again yet.
func (w *Writer) paused(change string, now clock.Micros) bool {
	refused := w.refusals[change]
	return refused != nil && now < refused.notBefore
}

// admit reports whether a change may be added to a transaction now. A refused one must be alone.
func (w *Writer) admit(tx *Transaction, change string, now clock.Micros) bool {
	refused := w.refusals[change]
	switch {
	case refused == nil:
		return !tx.alone
	case now < refused.notBefore || !tx.empty():
		return false
	}
	tx.alone = true
	if refused.operations > 0 {
		tx.limits.operations = min(tx.limits.operations, refused.operations)
	}
	tx.limits.minParts = refused.parts
	return true
}

// Rejected handles a transaction that the service refused and will never execute if it is sent again. Its
// changes are requeued. Each is sent alone after a pause, and in a smaller form if it was alone already,
// while all others go on. unknownOutcome is set if an earlier copy of the transaction may have been, or
// may yet be, executed.
func (w *Writer) Rejected(tx *Transaction, unknownOutcome bool, now clock.Micros) {
	w.forgetOldRefusals(now)
	for _, change := range tx.changes {
		w.noteRefusal(tx, change, now)
	}
	if len(tx.changes) > 1 {
		w.group = &refusedGroup{since: now, operations: tx.weight(), pending: map[string]bool{}}
		for _, change := range tx.changes {
			w.group.pending[change] = true
		}
		w.batchOperations = max(minOperations, tx.weight()/2)
	}
	if unknownOutcome {
		tx.keepLeftovers()
	}
	w.Requeue(tx, nil)
}

// Overloaded handles a transaction that the service repeatedly refused for the rate of changes. Its changes
// are requeued, and the next transactions are smaller: the service refuses one with more changes than its
// burst for ever, and urgent changes need not wait for one that has to wait.
func (w *Writer) Overloaded(tx *Transaction, now clock.Micros) {
	w.batchOperations = max(1, len(tx.Txn.Operations)/2)
	if len(tx.changes) == 1 {
		w.pauseChange(tx.changes[0], now) // others go first: the service may be too busy for this one only
	}
	w.Requeue(tx, nil)
}

// pauseChange notes that a change was refused, and is not to be sent again before a pause.
func (w *Writer) pauseChange(change string, now clock.Micros) *refusal {
	refused := w.refusals[change]
	if refused == nil {
		refused = &refusal{pause: minRefusalPause / 2}
		w.refusals[change] = refused
	}
	refused.pause = min(2*refused.pause, maxRefusalPause)
	refused.notBefore = now + refused.pause
	return refused
}

// noteRefusal notes that a change was refused for its form, alone or with others.
func (w *Writer) noteRefusal(tx *Transaction, change string, now clock.Micros) {
	refused := w.pauseChange(change, now)
	if len(tx.changes) > 1 {
		return
	}
	switch weight := tx.weightUndivided(); {
	case weight > minOperations:
		refused.operations = max(minOperations, weight/2)
	case tx.largestValue > minDividedBytes:
		refused.parts = w.nextParts(refused.parts)
	default:
		refused.parts = 0
	}
	if w.group != nil && w.group.pending[change] {
		w.endGroup() // this one is the reason, not their number
	}
}

// nextParts returns the number of parts to try after a record was refused in the given number of them: first a
// few more, so that no number that the limits allow is passed over, and one again after as many as
// a transaction can hold, since the limits may have changed.
func (w *Writer) nextParts(parts int) int {
	parts = max(parts, 1)
	parts += (parts + 2) / 3
	if parts > w.lastLimits.maxParts {
		return 1
	}
	return parts
}

// endGroup ends the search for the reason why a transaction of several changes was refused.
func (w *Writer) endGroup() { w.group, w.batchOperations = nil, 0 }

// forgetOldRefusals forgets refused changes that were not sent again, since their jobs are over.
func (w *Writer) forgetOldRefusals(now clock.Micros) {
	for change, refused := range w.refusals {
		if now > refused.notBefore+2*maxRefusalPause {
			delete(w.refusals, change)
		}
	}
}

// accepted notes that a transaction was accepted, and what that shows about earlier refusals.
func (w *Writer) accepted(tx *Transaction, now clock.Micros) {
	if w.group != nil && now > w.group.since+maxGroupAge {
		w.endGroup()
	}
	if w.batchOperations > 0 && w.group == nil && tx.weight() >= w.batchOperations {
		w.batchOperations++ // after the service was too busy for a larger transaction
	}
	for _, change := range tx.changes {
		refused := w.refusals[change]
		if refused == nil {
			continue
		}
		w.learn(tx, refused)
		delete(w.refusals, change)
		if w.group == nil {
			continue
		}
		delete(w.group.pending, change)
		if len(w.group.pending) == 0 {
			w.learned.operations = max(minOperations, w.group.operations/2)
			w.endGroup()
		}
	}
}

// learn notes the limits within which a change was accepted that had been refused alone.
func (w *Writer) learn(tx *Transaction, refused *refusal) {
	switch {
	case refused.parts > 1 && tx.extraParts > 0:
		w.learned.valueBytes = max(minDividedBytes, tx.largestValue)
	case refused.operations > 0 && tx.weight() >= refused.operations:
		w.learned.operations = refused.operations
	}
}
