package cedardoor

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/store"
	"cedardoor/wire"
)

// stateWriter collects what has changed and builds transactions of it, the most urgent first.
type stateWriter struct {
	sequence          uint64                  // numbers the term's transactions
	dirty             map[string]bool         // jobs with something to record now
	pendingResults    map[string]clock.Micros // jobs with results to record, and by when
	openShared        *SharedRecord           // takes the attempts of the next single-task jobs
	sharedCount       int                     // shared records that this term has made
	staleShared       map[*SharedRecord]bool  // records that hold rows of jobs that are over
	smallTransactions int                     // transactions that hold one change only, since one was refused
	finalMoves        []*finalMove            // jobs that are done and have yet to move to where final states are kept
}

func newStateWriter() stateWriter {
	return stateWriter{dirty: map[string]bool{}, pendingResults: map[string]clock.Micros{}, staleShared: map[*SharedRecord]bool{}}
}

// maxTransactionBytes keeps a transaction well under the service's 64 KiB.
const maxTransactionBytes = 44 << 10

// transaction is one transaction and what it makes durable.
type transaction struct {
	txn           wire.Txn
	size          int
	nonce         string
	chunks        []chunkWrite
	finished      []*Job
	deleted       []*Job
	moved         []*finalMove
	sharedRecords map[*SharedRecord]bool
}

type chunkWrite struct {
	chunk    *Chunk
	key      string
	job      *Job          // whose tasks it holds, or
	shared   *SharedRecord // the record that it is of
	version  uint64
	attempts []*fleet.Allocation
	ended    []*fleet.Allocation
	deleted  bool
}

// SharedRecord is a record that the single tasks of many jobs share.
type SharedRecord struct {
	Chunk
	key      string
	jobCount int               // jobs ever put into it
	jobs     []*Job            // those that are in it still
	keptRows []store.SharedRow // of jobs whose own record can't be used
}

// finalMove is a job that is done and has yet to move to where final states are kept.
type finalMove struct {
	uid         string
	modRevision uint64
	record      store.FinalRecord
	shared      *SharedRecord // with a row of it, if any
}

// sharesRecord tells whether a job's only task is recorded with those of other jobs.
func (j *Job) sharesRecord() bool { return len(j.tasks) == 1 && !j.isService() && !j.isGang() }

// joinShared finds a job a record for its only task's attempts. The caller holds mu.
func (l *leader) joinShared(job *Job) {
	if l.writer.openShared == nil || l.sharedIsFull(l.writer.openShared) {
		l.writer.sharedCount++
		l.writer.openShared = &SharedRecord{key: store.SharedKey(l.term.Revision, l.writer.sharedCount)}
	}
	job.shared = l.writer.openShared
	job.shared.jobCount++
	job.shared.jobs = append(job.shared.jobs, job)
}

// sharedIsFull tells whether a shared record takes no more jobs: its first write is
// conditional on each of them.
func (l *leader) sharedIsFull(shared *SharedRecord) bool {
	return shared != l.writer.openShared || shared.jobCount >= min(store.JobsPerSharedRecord, 4*l.cfg.Facts.State.TxnOps-8)
}

// leaveShared takes a job of which nothing may be anywhere any more out of its
// record, which is written again when there are changes to spare. The caller holds mu.
func (l *leader) leaveShared(job *Job) {
	shared := job.shared
	if shared == nil {
		return
	}
	if i := slices.Index(shared.jobs, job); i >= 0 {
		shared.jobs = slices.Delete(shared.jobs, i, i+1)
		shared.version++
	}
	job.shared = nil
	if shared.modRevision > 0 {
		l.writer.staleShared[shared] = true
	}
}

// minDeferredOperations is how many changes a transaction of what can wait may hold when there
// is none to spare.
const minDeferredOperations = 4

// recordPriority orders what is to be recorded: placements and ends by priority, then what
// is left of jobs that are over.
func (l *leader) recordPriority(uid string) int {
	job := l.jobs.byUID[uid]
	switch {
	case job == nil || job.cancelled:
		return -1
	case job.isService():
		return int(wire.PriorityCritical)
	}
	return int(job.priority)
}

// buildTransaction builds the next transaction from what has changed; nil when nothing
// has. What can wait, low work's records and what is left of jobs that are over,
// takes only changes that are to spare, or few: a full transaction of it would
// keep the next urgent one waiting for as long as the service takes for it. The
// caller holds mu.
func (l *leader) buildTransaction() *transaction {
	// Results are recorded together with others, and give way to placements.
	now := l.clock.Now()
	var due []string
	for uid, at := range l.writer.pendingResults {
		if at <= now {
			due = append(due, uid)
		}
	}
	room := l.cfg.Facts.State.TxnOps / 2
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.writer.pendingResults[a], l.writer.pendingResults[b]), cmp.Compare(a, b))
	})
	for _, uid := range due {
		if room--; room < 0 || len(l.writer.dirty) > 0 && l.writer.pendingResults[uid]+l.resultDelay() > now {
			break
		}
		delete(l.writer.pendingResults, uid)
		l.writer.dirty[uid] = true
	}
	l.writer.sequence++
	tx := &transaction{nonce: fmt.Sprintf("%d.%d", l.term.Revision, l.writer.sequence), sharedRecords: map[*SharedRecord]bool{}}
	tx.txn.Conditions = []wire.Condition{{Key: store.KeyLead, ModRevision: l.term.Revision}}
	spare, all := max(minDeferredOperations, l.store.SpareWrites()), l.cfg.Facts.State.TxnOps
	if l.writer.smallTransactions > 0 {
		l.writer.smallTransactions--
		spare, all = 1, 1
	}
	uids := make([]string, 0, len(l.writer.dirty))
	for uid := range l.writer.dirty {
		uids = append(uids, uid)
	}
	slices.SortFunc(uids, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.recordPriority(b), l.recordPriority(a)), cmp.Compare(a, b))
	})
	for _, uid := range uids {
		job := l.jobs.byUID[uid]
		if job == nil {
			delete(l.writer.dirty, uid)
			continue
		}
		most := all
		if l.recordPriority(uid) < int(wire.PriorityStandard) {
			most = min(most, spare)
		}
		if len(tx.txn.Operations) >= most || tx.size > maxTransactionBytes || len(tx.txn.Conditions)+2 > 4*l.cfg.Facts.State.TxnOps {
			break
		}
		clean := true
		switch {
		case job.cancelled:
			clean = l.addDeletions(tx, job, most)
		case job.done == len(job.tasks) && !job.isService():
			l.addFinished(tx, job)
		case job.shared != nil:
			clean = l.addShared(tx, job.shared)
		default:
			before := len(tx.txn.Operations)
			for n := range job.chunks {
				chunk := &job.chunks[n]
				if chunk.version == chunk.savedVersion || chunk.unreadable > 0 {
					continue
				}
				if len(tx.txn.Operations) >= most || tx.size > maxTransactionBytes || len(tx.txn.Conditions)+2 > 4*l.cfg.Facts.State.TxnOps {
					clean = false
					break
				}
				l.addChunk(tx, job, n)
			}
			if len(tx.txn.Operations) > before {
				// Only with a change of its own: conditions are limited, too.
				tx.txn.Conditions = append(tx.txn.Conditions, wire.Condition{Key: store.JobKey(uid), ModRevision: job.modRevision})
			}
		}
		if clean {
			delete(l.writer.dirty, uid)
		}
	}
	if len(tx.txn.Operations) == 0 {
		l.addFinalMoves(tx)
	}
	if len(tx.txn.Operations) == 0 {
		return nil
	}
	return tx
}

func (l *leader) addChunk(tx *transaction, job *Job, n int) {
	chunk := &job.chunks[n]
	base := n * store.TasksPerChunk
	end := min(base+store.TasksPerChunk, len(job.tasks))
	done := make([]bool, end-base)
	var runs []store.TaskAttempt
	write := chunkWrite{chunk: chunk, key: store.ChunkKey(job.uid, n), job: job, version: chunk.version, ended: chunk.endedAttempts}
	chunk.endedAttempts = nil
	for i := base; i < end; i++ {
		task := &job.tasks[i]
		switch {
		case task.state == taskDone:
			done[i-base] = true
		case task.allocation != nil:
			runs = append(runs, store.TaskAttempt{Index: i - base, Attempt: task.attempt, Machine: task.allocation.Machine.Name, Incarnation: task.allocation.Incarnation})
			if !task.allocation.Durable {
				write.attempts = append(write.attempts, task.allocation)
			}
		case task.attempt > 0:
			runs = append(runs, store.TaskAttempt{Index: i - base, Attempt: task.attempt})
		}
	}
	tx.txn.Conditions = append(tx.txn.Conditions, wire.Condition{Key: write.key, ModRevision: chunk.modRevision})
	tx.txn.Operations = append(tx.txn.Operations, wire.Operation{Set: write.key, Value: store.NewChunkRecord(tx.nonce, done, runs)})
	tx.chunks = append(tx.chunks, write)
	tx.size += 200 + 36*len(runs)
}

// addShared records what has changed of the single tasks that share a record,
// once in a transaction; false when it has no room for all that this takes. Each
// attempt that becomes durable by it is conditional on its own job, as always.
func (l *leader) addShared(tx *transaction, shared *SharedRecord) bool {
	if shared.version == shared.savedVersion || tx.sharedRecords[shared] {
		return true
	}
	write := chunkWrite{chunk: &shared.Chunk, key: shared.key, shared: shared, version: shared.version, ended: shared.endedAttempts}
	rec := store.SharedRecord{Nonce: tx.nonce, Rows: append([]store.SharedRow{}, shared.keptRows...)}
	when := []wire.Condition{{Key: shared.key, ModRevision: shared.modRevision}}
	for _, job := range shared.jobs {
		task := &job.tasks[0]
		switch {
		case task.allocation != nil:
			rec.Rows = append(rec.Rows, store.SharedRow{UID: job.uid, Attempt: task.attempt, Machine: task.allocation.Machine.Name, Incarnation: task.allocation.Incarnation})
			if !task.allocation.Durable && !job.cancelled {
				write.attempts = append(write.attempts, task.allocation)
				when = append(when, wire.Condition{Key: store.JobKey(job.uid), ModRevision: job.modRevision})
			}
		case task.attempt > 0:
			rec.Rows = append(rec.Rows, store.SharedRow{UID: job.uid, Attempt: task.attempt})
		}
	}
	if len(tx.txn.Conditions)+len(when) > 4*l.cfg.Facts.State.TxnOps && len(tx.txn.Operations) > 0 {
		return false
	}
	tx.sharedRecords[shared] = true
	shared.endedAttempts = nil
	tx.txn.Conditions = append(tx.txn.Conditions, when...)
	if len(rec.Rows) == 0 && l.sharedIsFull(shared) && shared.modRevision > 0 {
		write.deleted = true
		tx.txn.Operations = append(tx.txn.Operations, wire.Operation{Delete: shared.key})
	} else {
		tx.txn.Operations = append(tx.txn.Operations, wire.Operation{Set: shared.key, Value: rec})
	}
	tx.chunks = append(tx.chunks, write)
	tx.size += 100 + 70*len(rec.Rows)
	return true
}

// addFinished calls a job done, in its own record: one change, however many
// come at a time. It moves to its final place later.
func (l *leader) addFinished(tx *transaction, job *Job) {
	rec := store.NewFinalRecord(&job.spec, wire.JobDone, tx.nonce)
	tx.txn.Conditions = append(tx.txn.Conditions, wire.Condition{Key: store.JobKey(job.uid), ModRevision: job.modRevision})
	tx.txn.Operations = append(tx.txn.Operations, wire.Operation{Set: store.JobKey(job.uid),
		Value: store.JobRecord{Spec: wire.Spec{UID: job.uid}, AcceptedUS: job.acceptedAt, Final: &rec}})
	tx.finished = append(tx.finished, job)
	tx.size += 300
}

// finalMoveSpare is how many changes must be to spare for jobs that are done to move
// to their final place, and manyFinalMoves how many of them make it pressing: a new
// leader reads them with the unfinished ones.
const (
	finalMoveSpare       = 12
	maxPendingFinalMoves = 2000
)

// addFinalMoves moves jobs that are done to their final place, and writes the
// records again that hold rows of them, when nothing else is to be recorded.
func (l *leader) addFinalMoves(tx *transaction) {
	spare := min(l.cfg.Facts.State.TxnOps, l.store.SpareWrites())
	if (spare < min(finalMoveSpare, l.cfg.Facts.State.TxnOps) || l.store.Overloaded()) && len(l.writer.finalMoves) < maxPendingFinalMoves {
		return
	}
	for len(l.writer.finalMoves) > 0 && len(tx.txn.Operations)+3 <= max(3, spare) && len(tx.txn.Conditions) < 3*l.cfg.Facts.State.TxnOps {
		move := l.writer.finalMoves[0]
		l.writer.finalMoves = l.writer.finalMoves[1:]
		// A row that outlived its job's record would have to be looked up by a new leader.
		if move.shared != nil && move.shared.modRevision > 0 {
			if !l.addShared(tx, move.shared) {
				l.writer.finalMoves = append(l.writer.finalMoves, move)
				break
			}
			delete(l.writer.staleShared, move.shared)
		}
		tx.txn.Conditions = append(tx.txn.Conditions, wire.Condition{Key: store.JobKey(move.uid), ModRevision: move.modRevision})
		tx.txn.Operations = append(tx.txn.Operations, wire.Operation{Delete: store.JobKey(move.uid)}, wire.Operation{Set: store.FinalKey(move.uid), Value: move.record})
		tx.moved = append(tx.moved, move)
	}
	for shared := range l.writer.staleShared {
		if len(tx.txn.Operations) >= spare {
			break
		}
		if !l.addShared(tx, shared) {
			break
		}
		delete(l.writer.staleShared, shared)
	}
}

// addDeletions deletes a cancelled job's records once none of its tasks can
// exist any more; false while some may.
func (l *leader) addDeletions(tx *transaction, job *Job, most int) bool {
	for i := range job.tasks {
		if job.tasks[i].allocation != nil {
			return true // its end will mark the job again
		}
	}
	if l.reconciliation.unreadable[job] {
		return true // so will the end of the doubt about its tasks
	}
	for n := range job.chunks {
		if job.chunks[n].modRevision == 0 {
			continue
		}
		if len(tx.txn.Operations) >= most {
			return false
		}
		key := store.ChunkKey(job.uid, n)
		tx.txn.Operations = append(tx.txn.Operations, wire.Operation{Delete: key})
		tx.chunks = append(tx.chunks, chunkWrite{chunk: &job.chunks[n], key: key, job: job, deleted: true})
	}
	l.leaveShared(job)
	if len(tx.txn.Operations) == 0 || !slices.ContainsFunc(tx.chunks, func(write chunkWrite) bool { return write.job == job }) {
		// Nothing of its own is recorded, or no longer.
		l.forgetJob(job)
		return true
	}
	tx.deleted = append(tx.deleted, job)
	return true
}

// commit runs a transaction until its outcome is known, and takes it in. An
// answer that was lost is settled by sending the very same transaction again:
// its conditions let it be applied once, and its nonce tells whether it was.
// It gives false when the term is over.
func (l *leader) commit(ctx context.Context, tx *transaction) bool {
	pause := 100 * clock.Millisecond
	for ctx.Err() == nil {
		epoch, err := l.store.Commit(ctx, store.Urgent, tx.txn)
		if err == nil {
			l.transactionApplied(tx, epoch)
			return true
		}
		var conflict *store.Conflict
		if errors.As(err, &conflict) {
			return l.resolveConflict(ctx, tx, conflict.Failed)
		}
		l.log.Debug("record", "error", err)
		if errors.Is(err, store.ErrMalformed) {
			// Never carried out, and never will be: what it held is recorded in steps as
			// small as can be, so that one that is at fault keeps nothing else up for ever.
			l.log.Error("record refused", "error", err, "changes", len(tx.txn.Operations), "conditions", len(tx.txn.Conditions))
			l.mu.Lock()
			l.writer.smallTransactions = smallTransactionsAfterRefusal
			l.requeue(tx, nil)
			l.mu.Unlock()
			return ctx.Err() == nil
		}
		l.sleep(ctx, pause)
		pause = min(2*pause, clock.Second)
	}
	return false
}

// transactionApplied notes what has become durable.
func (l *leader) transactionApplied(tx *transaction, epoch uint64) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, write := range tx.chunks {
		chunk := write.chunk
		if write.deleted {
			chunk.modRevision, chunk.savedVersion = 0, write.version
			continue
		}
		chunk.modRevision, chunk.savedVersion = epoch, write.version
		for _, allocation := range write.attempts {
			l.fleet.MarkDurable(allocation)
			l.dispatcher.urgentMachines[allocation.Machine] = true
		}
		for _, allocation := range write.ended {
			allocation.ResultDurable = true
		}
		switch {
		case chunk.version == chunk.savedVersion:
		case write.shared != nil:
			l.markSharedAgain(write.shared)
		default:
			l.markJobAgain(write.job, now)
		}
	}
	for _, job := range tx.finished {
		l.writer.finalMoves = append(l.writer.finalMoves, &finalMove{uid: job.uid, modRevision: epoch, record: store.NewFinalRecord(&job.spec, wire.JobDone, tx.nonce), shared: job.shared})
		if job.pendingResult != nil {
			job.pendingResult.ResultDurable = true
		}
		for n := range job.chunks {
			for _, allocation := range job.chunks[n].endedAttempts {
				allocation.ResultDurable = true
			}
			job.chunks[n].endedAttempts = nil
		}
		l.metrics.Done(now - job.seenAt)
		l.log.Debug("job done", "job", job.uid)
		// What is left of its records is deleted like a cancelled job's.
		job.cancelled = true
		l.writer.dirty[job.uid] = true
	}
	for _, job := range tx.deleted {
		l.forgetJob(job)
	}
}

// markSharedAgain does what again does for the jobs of a shared record. The caller holds mu.
func (l *leader) markSharedAgain(shared *SharedRecord) {
	for _, job := range shared.jobs {
		switch allocation := job.tasks[0].allocation; {
		case job.cancelled:
		case allocation != nil && !allocation.Durable || job.done == 1:
			l.writer.dirty[job.uid] = true
		}
	}
	if shared.version != shared.savedVersion && shared.modRevision > 0 {
		l.writer.staleShared[shared] = true
	}
}

// markJobAgain marks a job whose record is behind: at once if a placement waits for it.
// The caller holds mu.
func (l *leader) markJobAgain(job *Job, now clock.Micros) {
	if job.cancelled || job.done == len(job.tasks) {
		l.writer.dirty[job.uid] = true
		return
	}
	for n := range job.chunks {
		chunk := &job.chunks[n]
		if chunk.version == chunk.savedVersion || chunk.unreadable > 0 {
			continue
		}
		base := n * store.TasksPerChunk
		for i := base; i < min(base+store.TasksPerChunk, len(job.tasks)); i++ {
			if allocation := job.tasks[i].allocation; allocation != nil && !allocation.Durable {
				l.writer.dirty[job.uid] = true
				return
			}
		}
	}
	l.recordResultSoon(job, now)
}

// readKey reads a key, again until there is an answer or the term is over.
func (l *leader) readKey(ctx context.Context, key string) (row wire.Row, found bool, err error) {
	for {
		row, found, err = l.store.Get(ctx, store.Urgent, key)
		if err == nil || ctx.Err() != nil {
			return row, found, err
		}
		l.sleep(ctx, 200*clock.Millisecond)
	}
}

// resolveConflict finds out why a transaction was refused: an earlier copy of it was
// applied, a job was cancelled meanwhile, or the term is over.
func (l *leader) resolveConflict(ctx context.Context, tx *transaction, failed []string) bool {
	for _, key := range failed {
		if key == store.KeyLead {
			l.log.Info("another controller leads")
			return false
		}
	}
	for _, key := range failed {
		uid, isJob := strings.CutPrefix(key, store.PrefixJob)
		row, found, err := l.readKey(ctx, key)
		var mark struct {
			Nonce string             `msgpack:"w"`
			Over  *store.FinalRecord `msgpack:"o"`
		}
		if err == nil && found {
			err = wire.Unmarshal(row.Value, &mark)
		}
		if err != nil {
			return false
		}
		if isJob && mark.Over != nil {
			mark.Nonce = mark.Over.Nonce
		}
		if found && mark.Nonce == tx.nonce {
			l.transactionApplied(tx, row.ModRevision)
			return true
		}
		l.mu.Lock()
		if isJob {
			// Over by an earlier transaction, it was taken in again from an old listing.
			if job := l.jobs.byUID[uid]; job != nil && (!found || mark.Over != nil) {
				l.cancel(job, l.clock.Now())
			} else if job != nil {
				job.modRevision = max(job.modRevision, row.ModRevision)
			}
		}
		for _, write := range tx.chunks {
			if write.key == key {
				write.chunk.modRevision = row.ModRevision
			}
		}
		l.mu.Unlock()
	}
	// Not applied, and its conditions can never hold again.
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requeue(tx, failed)
	return true
}

// smallTransactionsAfterRefusal is how many transactions hold one change after one was refused.
const smallTransactionsAfterRefusal = 30

// requeue makes what a transaction that will never be applied held due once more,
// but for moves whose conditions failed. The caller holds mu.
func (l *leader) requeue(tx *transaction, failed []string) {
	for _, write := range tx.chunks {
		chunk := write.chunk
		chunk.endedAttempts = append(chunk.endedAttempts, write.ended...)
		if write.shared != nil {
			l.markSharedAgain(write.shared)
			continue
		}
		l.writer.dirty[write.job.uid] = true
		if write.job.cancelled {
			for _, allocation := range chunk.endedAttempts {
				allocation.ResultDurable = true
			}
			chunk.endedAttempts = nil
		}
	}
	for _, move := range tx.moved {
		// What is not where it was has moved already, by a copy of this that came late.
		if !slices.Contains(failed, store.JobKey(move.uid)) {
			l.writer.finalMoves = append(l.writer.finalMoves, move)
		}
	}
	for _, job := range append(tx.finished, tx.deleted...) {
		l.writer.dirty[job.uid] = true
	}
}

// resultDelay is how long results may wait to be recorded together: the
// state service takes so many changes a second, and placements come first.
func (l *leader) resultDelay() clock.Micros {
	return min(3*clock.Second, clock.FromSeconds(60/l.cfg.Facts.State.WriteRPS))
}

// recordResultSoon marks results to be recorded with others. The caller holds mu.
func (l *leader) recordResultSoon(job *Job, now clock.Micros) {
	if _, due := l.writer.pendingResults[job.uid]; !due && !l.writer.dirty[job.uid] {
		l.writer.pendingResults[job.uid] = now + l.resultDelay()
	}
}
