package cedardoor

import (
	"context"
	"errors"
	"slices"
	"strings"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/recovery"
	"cedardoor/statewriter"
	"cedardoor/store"
	"cedardoor/wire"
)

const (
	// minCommitPause and maxCommitPause bound the backoff before a transaction whose outcome is
	// unknown is sent again.
	minCommitPause = 100 * clock.Millisecond
	maxCommitPause = 1 * clock.Second
	// maxRefusals is how often a transaction is refused before it is found out whether the service refuses
	// just this one: it may have more changes than the service allows at once.
	maxRefusals = 3
	// refusalProbeTimeout bounds the request that finds out whether the service refuses all requests.
	refusalProbeTimeout = 500 * clock.Millisecond
	// readPause is the delay before a failed read is retried.
	readPause = 200 * clock.Millisecond
)

// buildTransaction builds the next transaction from the pending changes; nil if there are none. The
// caller holds mu.
func (l *leader) buildTransaction() *statewriter.Transaction {
	tx, removable := l.writer.Next(l.jobs, l.store, l.clock.Now())
	for _, job := range removable {
		l.removeJob(job)
	}
	return tx
}

// removeJob removes a job that has no attempts and no chunks left. The caller holds mu.
func (l *leader) removeJob(job *jobs.Job) {
	l.jobs.Remove(job)
	l.reconciler.JobRemoved(job.UID)
}

// commit sends a transaction until its outcome is known, and processes the outcome. If a response is
// lost, it sends the identical transaction again: the conditions let it be applied only once, and the
// nonce shows whether it was. It returns false when the term is over.
func (l *leader) commit(ctx context.Context, tx *statewriter.Transaction) bool {
	pause, unknownOutcome, refusals := minCommitPause, false, 0
	for ctx.Err() == nil {
		revision, err := l.store.Commit(ctx, store.Urgent, tx.Txn)
		if err == nil {
			l.transactionApplied(tx, revision)
			return true
		}
		var conflict *store.Conflict
		if errors.As(err, &conflict) {
			return l.resolveConflict(ctx, tx, conflict.Failed)
		}
		l.log.Debug("transaction not applied", "error", err)
		if errors.Is(err, store.ErrMalformed) {
			l.transactionRejected(tx, unknownOutcome, err)
			return ctx.Err() == nil
		}
		unknownOutcome = unknownOutcome || !errors.Is(err, store.ErrRefused)
		overloaded := errors.Is(err, store.ErrOverloaded)
		refusals++
		refusedOften := refusals >= maxRefusals && !unknownOutcome
		if refusedOften && !overloaded && l.store.Answers(ctx, refusalProbeTimeout) {
			// The service refuses this transaction, not every request as in an outage.
			l.transactionRejected(tx, unknownOutcome, err)
			return ctx.Err() == nil
		}
		l.sleep(ctx, pause)
		pause = min(2*pause, maxCommitPause)
		if refusedOften && overloaded {
			l.transactionOverloads(tx)
			return ctx.Err() == nil
		}
	}
	return false
}

// transactionOverloads requeues the changes of a transaction for which the service is too busy.
func (l *leader) transactionOverloads(tx *statewriter.Transaction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writer.Overloaded(tx, l.clock.Now())
}

// transactionApplied marks what a transaction made durable: recorded attempts may be started, and
// workers may forget recorded results.
func (l *leader) transactionApplied(tx *statewriter.Transaction, revision uint64) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	removable := l.writer.Applied(tx, revision, now, func(allocation *fleet.Allocation) {
		l.fleet.MarkDurable(allocation)
		l.dispatcher.MarkUrgent(allocation.Machine)
	})
	l.store.LowerLimits(l.writer.Learned())
	for _, job := range tx.Finished() {
		l.metrics.ObserveJobDone(now - job.SeenAt)
		l.log.Debug("job done", "job", job.UID)
	}
	for _, job := range removable {
		l.removeJob(job)
	}
}

// transactionRejected requeues the changes of a transaction that the service refused, within the limits
// that it is believed to have now.
func (l *leader) transactionRejected(tx *statewriter.Transaction, unknownOutcome bool, err error) {
	l.log.Error("transaction refused", "error", err, "operations", len(tx.Txn.Operations), "conditions", len(tx.Txn.Conditions),
		"changes", len(tx.Changes()), "largest_value", tx.LargestValue(), "txn_ops", l.store.TxnOps(), "value_bytes", l.store.MaxValueBytes())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writer.Rejected(tx, unknownOutcome, l.clock.Now())
}

// resolveConflict determines why conditions of a transaction failed: an earlier copy of it was
// applied, a record was changed, damaged or deleted in the meantime, or the term is over. It returns
// false in the last case.
func (l *leader) resolveConflict(ctx context.Context, tx *statewriter.Transaction, failedKeys []string) bool {
	if slices.Contains(failedKeys, store.KeyLeader) {
		l.log.Info("another controller leads")
		return false
	}
	for _, key := range failedKeys {
		row, found, err := l.readKey(ctx, key)
		if err != nil {
			return false
		}
		applied, over := false, !found
		uid, isJob := strings.CutPrefix(key, store.PrefixJob)
		if found {
			applied, over, err = tx.Wrote(row, isJob)
		}
		if applied {
			l.transactionApplied(tx, row.ModRevision)
			return true
		}
		l.mu.Lock()
		if err != nil {
			l.recordDamaged(key, uid, isJob, err)
		}
		if isJob {
			l.jobChanged(uid, row.ModRevision, over)
		}
		tx.SetRevision(key, row.ModRevision)
		l.mu.Unlock()
	}
	// The transaction was not applied, and its conditions can never hold again.
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writer.Requeue(tx, failedKeys)
	return true
}

// recordDamaged lists a record that this leader was to change and that can't be decoded. The leader knows
// what the record is about: a record of attempts is written again, and a job goes on under the damaged
// record, whose existence shows that it has not been cancelled. The caller holds mu.
func (l *leader) recordDamaged(key, uid string, isJob bool, err error) {
	damage := recovery.Damage{Key: key, Kind: recovery.DamageRebuilt, Detail: err.Error()}
	if isJob {
		damage.Kind, damage.Job = recovery.DamageJob, uid
	}
	l.reconciler.RecordDamage(damage)
}

// jobChanged handles a job's record that has changed, or a job that is over: it was cancelled, or an
// earlier transaction finished it and a stale listing added it again. The caller holds mu.
func (l *leader) jobChanged(uid string, modRevision uint64, over bool) {
	job := l.jobs.Get(uid)
	switch {
	case job == nil:
	case over:
		l.cancel(job, l.clock.Now())
	default:
		job.Record.ModRevision = max(job.Record.ModRevision, modRevision)
	}
}

// readKey reads a key, and retries until the read succeeds or the term is over.
func (l *leader) readKey(ctx context.Context, key string) (row wire.Row, found bool, err error) {
	for {
		row, found, err = l.store.Get(ctx, store.Urgent, key)
		if err == nil || ctx.Err() != nil {
			return row, found, err
		}
		l.sleep(ctx, readPause)
	}
}
