package api

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"cedardoor/quota"
	"cedardoor/store"
	"cedardoor/wire"
)

const (
	// maxBatch is the maximum number of submissions in a transaction.
	maxBatch = 16
	// maxBatchBytes limits the estimated size of a transaction. The state service accepts 64 KiB.
	maxBatchBytes = 40 << 10
	// minTxnOps is the smallest limit of a transaction that refused batches can show.
	minTxnOps = 3
	// batchTimeout limits the time to commit a batch of submissions.
	batchTimeout = 3 * time.Second
	// maxAdmissionWait limits the time that a submission waits for admission.
	maxAdmissionWait = 1500 * time.Millisecond
	// maxLowAdmissionWait is the limit for the lowest priority. It is shorter, so that submissions
	// of higher priority are admitted first.
	maxLowAdmissionWait = 100 * time.Millisecond
)

// submitter makes submissions durable. Those that arrive while a transaction is in flight are batched
// into the next one, highest priority first, so that small jobs do not cost a request each.
// Submissions that would have to wait too long for admission are refused at once.
type submitter struct {
	writer userWriter

	mu      sync.Mutex // guards the fields below
	queue   []*submission
	running bool // whether a goroutine commits the queue
	// reducedBatch is how many submissions a batch may hold after the state service was too busy for a
	// larger one; zero for as many as it allows.
	reducedBatch int
}

// submission is a job that is waiting to be made durable.
type submission struct {
	record   store.JobRecord
	priority wire.Priority
	turn     int // position among those of the same team and priority
	size     int // estimate of its share of the transaction, in bytes
	done     chan error
}

// submit makes a job durable. Its error is a *store.Conflict if the job was accepted before, and wraps
// store.ErrOverloaded if there are too many submissions.
func (s *submitter) submit(ctx context.Context, record store.JobRecord) error {
	priority, _ := wire.ParsePriority(record.Spec.Priority)
	if err := s.admit(ctx, record.Spec.Team, priority); err != nil {
		return err
	}
	raw, err := wire.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode job %s: %w", record.Spec.UID, err)
	}
	pending := &submission{record: record, priority: priority, size: 2 * len(raw), done: make(chan error, 1)}
	s.enqueue(pending)
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
		return ctx.Err() // the job may still become durable; the user's retry then finds it
	}
}

// admit waits until a submission is admitted, or refuses it if the wait would be too long.
func (s *submitter) admit(ctx context.Context, team string, priority wire.Priority) error {
	maxWait := maxAdmissionWait
	if priority == wire.PriorityLow {
		maxWait = maxLowAdmissionWait
	}
	err := s.writer.admission.Admit(ctx, team, maxWait)
	switch {
	case errors.Is(err, quota.ErrOverloaded):
		return fmt.Errorf("%w: %w", store.ErrOverloaded, err)
	case err != nil:
		return fmt.Errorf("%w: %w", store.ErrRefused, err)
	}
	return nil
}

func (s *submitter) enqueue(pending *submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, pending)
	if !s.running {
		s.running = true
		go s.run()
	}
}

// run commits one batch after another until the queue is empty.
func (s *submitter) run() {
	for {
		s.mu.Lock()
		batch := s.nextBatch()
		if len(batch) == 0 {
			s.running = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.commit(batch)
	}
}

// nextBatch removes the next batch from the queue. The highest priority goes first; within a priority,
// the teams take turns. The caller holds mu.
func (s *submitter) nextBatch() (batch []*submission) {
	s.numberTurns()
	slices.SortStableFunc(s.queue, func(a, b *submission) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.turn, b.turn))
	})
	maxLen := s.batchLimit()
	rest, size := s.queue[:0:0], 0
	inBatch := map[string]bool{}
	for _, pending := range s.queue {
		uid := pending.record.Spec.UID
		full := len(batch) >= maxLen || len(batch) > 0 && size+pending.size > maxBatchBytes
		if full || inBatch[uid] { // a duplicate must be in a later batch, to conflict with the first
			rest = append(rest, pending)
			continue
		}
		inBatch[uid] = true
		size += pending.size
		batch = append(batch, pending)
	}
	s.queue = rest
	return batch
}

// batchLimit returns how many submissions a batch may hold. The caller holds mu.
func (s *submitter) batchLimit() int {
	limit := min(maxBatch, s.writer.store.TxnOps())
	if s.reducedBatch >= limit {
		s.reducedBatch = 0
	}
	if s.reducedBatch > 0 {
		return s.reducedBatch
	}
	return limit
}

// adaptBatch notes how the state service answered a batch. One that it was too busy for may hold more
// changes than it allows at once, so that no later attempt would be accepted either.
func (s *submitter) adaptBatch(size int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, store.ErrOverloaded):
		s.reducedBatch = max(1, size/2)
	case err == nil && s.reducedBatch > 0 && size >= s.reducedBatch:
		s.reducedBatch++
	}
}

// numberTurns numbers the queued submissions of each team and priority. The caller holds mu.
func (s *submitter) numberTurns() {
	type queueKey struct {
		team     string
		priority wire.Priority
	}
	turns := map[queueKey]int{}
	for _, pending := range s.queue {
		key := queueKey{pending.record.Spec.Team, pending.priority}
		pending.turn = turns[key]
		turns[key]++
	}
}

// commit makes a batch durable and reports the result to each submission. If some of the jobs were
// accepted before, the others are committed without them. If the state service refuses the batch as
// malformed, each submission is committed alone, while other batches go on.
func (s *submitter) commit(batch []*submission) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	if refused := s.commitBatch(ctx, batch); len(refused) > 0 {
		go s.commitEach(refused)
	}
}

// commitBatch makes a batch durable and reports the result to each submission. If the state service refuses
// several as malformed, commitBatch returns these without a result.
func (s *submitter) commitBatch(ctx context.Context, batch []*submission) (refused []*submission) {
	for len(batch) > 0 {
		_, err := s.writer.commit(ctx, acceptanceTxn(batch))
		s.adaptBatch(len(batch), err)
		if errors.Is(err, store.ErrMalformed) && len(batch) > 1 {
			return batch
		}
		var conflict *store.Conflict
		if !errors.As(err, &conflict) {
			finish(batch, err)
			return nil
		}
		known, unknown := splitByConflict(batch, conflict)
		if len(known) == 0 {
			finish(batch, store.ErrBadResponse)
			return nil
		}
		finish(known, err)
		batch = unknown
	}
	return nil
}

// commitEach commits the submissions of a refused batch one by one after a pause, so that one that the
// state service refuses does not fail the others. If it refuses none of them, there were too many.
func (s *submitter) commitEach(batch []*submission) {
	<-s.writer.clock.After(overloadDelay())
	refused := false
	for _, pending := range batch {
		ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
		_, err := s.writer.commit(ctx, acceptanceTxn([]*submission{pending}))
		cancel()
		refused = refused || errors.Is(err, store.ErrMalformed)
		finish([]*submission{pending}, err)
	}
	if !refused {
		s.writer.store.LowerLimits(max(minTxnOps, len(batch)/2), 0)
	}
}

// acceptanceTxn returns the transaction that accepts the jobs of a batch, on condition that none of
// them was accepted before.
func acceptanceTxn(batch []*submission) (txn wire.Txn) {
	for _, pending := range batch {
		uid := pending.record.Spec.UID
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: store.JobKey(uid)}, wire.Condition{Key: store.FinalKey(uid)})
		txn.Operations = append(txn.Operations, wire.Operation{Set: store.JobKey(uid), Value: pending.record})
	}
	return txn
}

// splitByConflict splits a batch into the submissions of jobs that were accepted before and the others.
func splitByConflict(batch []*submission, conflict *store.Conflict) (known, unknown []*submission) {
	for _, pending := range batch {
		uid := pending.record.Spec.UID
		if slices.Contains(conflict.Failed, store.JobKey(uid)) || slices.Contains(conflict.Failed, store.FinalKey(uid)) {
			known = append(known, pending)
		} else {
			unknown = append(unknown, pending)
		}
	}
	return known, unknown
}

// finish reports the result to the submissions.
func finish(batch []*submission, err error) {
	for _, pending := range batch {
		pending.done <- err
	}
}
