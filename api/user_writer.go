package api

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"cedardoor/clock"
	"cedardoor/quota"
	"cedardoor/store"
	"cedardoor/wire"
)

const (
	// maxOverloadAttempts is the maximum number of attempts at a transaction while the state service
	// is overloaded.
	maxOverloadAttempts = 4
	// minOverloadDelay and maxOverloadDelay are the bounds of the random delay between attempts.
	minOverloadDelay = 80 * time.Millisecond
	maxOverloadDelay = 240 * time.Millisecond
)

// userWriter commits users' changes and adapts their admission rate to the load of the state service.
type userWriter struct {
	store     *store.Client
	clock     *clock.Clock
	admission *quota.Admission
}

// commit commits a user's transaction. It retries while the state service is overloaded.
func (w *userWriter) commit(ctx context.Context, txn wire.Txn) (revision uint64, err error) {
	for attempt := 1; ; attempt++ {
		revision, err := w.store.Commit(ctx, store.Vital, txn)
		overloaded := errors.Is(err, store.ErrOverloaded)
		switch {
		case overloaded:
			w.admission.ReportOverload()
		case err == nil:
			w.admission.ReportSuccess()
		}
		if !overloaded || attempt >= maxOverloadAttempts {
			return revision, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-w.clock.After(overloadDelay()):
		}
	}
}

// overloadDelay returns a random delay between attempts, in whole milliseconds.
func overloadDelay() time.Duration {
	milliseconds := int((maxOverloadDelay - minOverloadDelay) / time.Millisecond)
	return minOverloadDelay + time.Duration(rand.IntN(milliseconds))*time.Millisecond
}
