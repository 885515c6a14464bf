package api

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cedardoor/clock"
	"cedardoor/quota"
	"cedardoor/store"
	"cedardoor/wire"
)

// intake makes submissions durable. Those that come while a transaction is under
// way share the next, by priority, so that thousands of small jobs don't cost a
// request each; and when more come than the state service takes changes, what
// can't be taken is refused at once rather than kept waiting.
type intake struct {
	st        *store.Client
	ck        *clock.Clock
	admission *quota.Admission // divides what may be taken among teams

	mu    sync.Mutex // guards all below
	queue []*entry
	busy  bool
}

// entry is a submission that waits for its transaction.
type entry struct {
	rec      store.JobRecord
	priority wire.Priority
	turn     int // among those of its team and priority
	size     int
	done     chan error
}

const (
	// maxBatch is how many submissions share a transaction, and maxBatchSize about
	// how large one may become: well under the service's 64 KiB.
	maxBatch     = 16
	maxBatchSize = 40 << 10
	// patience is how long a submission may wait for its turn, and lowPatience the
	// same for one of the lowest priority: the others go before it.
	patience    = 1500 * time.Millisecond
	lowPatience = 100 * time.Millisecond
	// busyTries is how often a change is tried while the service has too much to do.
	busyTries = 4
)

// accept makes a job durable. Its error is a *store.Conflict when the job is
// known already, and store.ErrBusy when too many come.
func (in *intake) accept(ctx context.Context, rec store.JobRecord) error {
	priority, _ := wire.ParsePriority(rec.Spec.Priority)
	wait := patience
	if priority == wire.PriorityLow {
		wait = lowPatience
	}
	if err := in.admission.Admit(ctx, rec.Spec.Team, wait); errors.Is(err, quota.ErrOverloaded) {
		return fmt.Errorf("%w: %w", store.ErrOverloaded, err)
	} else if err != nil {
		return fmt.Errorf("%w: %w", store.ErrRefused, err)
	}
	raw, err := wire.Marshal(rec)
	if err != nil {
		return err
	}
	e := &entry{rec: rec, priority: priority, size: 2 * len(raw), done: make(chan error, 1)}
	in.mu.Lock()
	in.queue = append(in.queue, e)
	if !in.busy {
		in.busy = true
		go in.run()
	}
	in.mu.Unlock()
	select {
	case err := <-e.done:
		return err
	case <-ctx.Done():
		return ctx.Err() // it may be taken yet: asked again, it is known then
	}
}

// run commits one batch after another until none waits.
func (in *intake) run() {
	for {
		in.mu.Lock()
		batch := in.next()
		if len(batch) == 0 {
			in.busy = false
			in.mu.Unlock()
			return
		}
		in.mu.Unlock()
		in.commit(batch)
	}
}

// next takes the submissions of the next transaction out of the queue: by priority, and
// of the same priority one of each team in turn. The caller holds mu.
func (in *intake) next() (batch []*entry) {
	in.takeTurns()
	slices.SortStableFunc(in.queue, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.turn, b.turn))
	})
	rest, size := in.queue[:0:0], 0
	taken := map[string]bool{}
	for _, e := range in.queue {
		// The same job once more: it finds the first known.
		if len(batch) >= min(maxBatch, in.st.TxnOps()) || len(batch) > 0 && size+e.size > maxBatchSize || taken[e.rec.Spec.UID] {
			rest = append(rest, e)
			continue
		}
		taken[e.rec.Spec.UID] = true
		size += e.size
		batch = append(batch, e)
	}
	in.queue = rest
	return batch
}

// takeTurns numbers the submissions of each team and priority. The caller holds mu.
func (in *intake) takeTurns() {
	type line struct {
		team     string
		priority wire.Priority
	}
	turns := map[line]int{}
	for _, e := range in.queue {
		l := line{e.rec.Spec.Team, e.priority}
		e.turn = turns[l]
		turns[l]++
	}
}

func (in *intake) commit(batch []*entry) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	for len(batch) > 0 {
		var txn wire.Txn
		for _, e := range batch {
			uid := e.rec.Spec.UID
			txn.Conditions = append(txn.Conditions, wire.Condition{Key: store.JobKey(uid)}, wire.Condition{Key: store.FinalKey(uid)})
			txn.Operations = append(txn.Operations, wire.Operation{Set: store.JobKey(uid), Value: e.rec})
		}
		_, err := tryBusy(ctx, in.st, in.ck, in.admission, txn)
		if errors.Is(err, store.ErrMalformed) && len(batch) > 1 {
			// One that the store does not take must not be the others' end.
			for _, e := range batch {
				in.commit([]*entry{e})
			}
			return
		}
		var conflict *store.Conflict
		if !errors.As(err, &conflict) {
			for _, e := range batch {
				e.done <- err
			}
			return
		}
		// Those that are known hear so; the others are tried again without them.
		rest := batch[:0:0]
		for _, e := range batch {
			if uid := e.rec.Spec.UID; slices.Contains(conflict.Failed, store.JobKey(uid)) || slices.Contains(conflict.Failed, store.FinalKey(uid)) {
				e.done <- err
			} else {
				rest = append(rest, e)
			}
		}
		if len(rest) == len(batch) {
			for _, e := range batch {
				e.done <- store.ErrBadAnswer
			}
			return
		}
		batch = rest
	}
}

// tryBusy runs a user's transaction, again for a moment while the service only
// has too much to do at once.
func tryBusy(ctx context.Context, st *store.Client, ck *clock.Clock, admission *quota.Admission, txn wire.Txn) (epoch uint64, err error) {
	for try := 1; ; try++ {
		epoch, err := st.Commit(ctx, store.Vital, txn)
		busy := errors.Is(err, store.ErrOverloaded)
		switch {
		case busy:
			admission.ReportOverload()
		case err == nil:
			admission.ReportSuccess()
		}
		if !busy || try >= busyTries {
			return epoch, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-ck.After(time.Duration(80+rand.IntN(160)) * time.Millisecond):
		}
	}
}
