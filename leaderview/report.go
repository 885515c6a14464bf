package leaderview

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"

	"cedardoor/clock"
	"cedardoor/operator"
)

var (
	// ErrNoReport means that this controller has not read a leader's report since it started.
	ErrNoReport = errors.New("no leader has been heard since this controller started")
	// ErrNoLeader means that no leader is known, or that the known one does not answer as leader.
	ErrNoLeader = errors.New("nobody leads")
)

// cachedReport reads one kind of report from the leader and caches the last one.
type cachedReport[T any] struct {
	read func(ctx context.Context) (T, error)
	// annotate sets which controller serves a report, whether it is fresh, and its age.
	annotate func(report *T, node string, fresh bool, ageS float64)

	mu      sync.Mutex // guards the fields below
	last    T
	readAt  clock.Micros
	hasLast bool
}

// get returns the leader's current report or, if no leader responds, the last one that this
// controller read.
func (r *cachedReport[T]) get(ctx context.Context, v *Viewer) (current T, err error) {
	if current, err = r.refresh(ctx, v); err == nil {
		r.annotate(&current, v.Node, true, 0)
		return current, nil
	}
	v.Log.Debug("failed to read the leader's report", "error", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasLast {
		return current, ErrNoReport
	}
	last := r.last
	r.annotate(&last, v.Node, false, (v.Clock.Now() - r.readAt).Seconds())
	return last, nil
}

// refresh reads the leader's report and caches it.
func (r *cachedReport[T]) refresh(ctx context.Context, v *Viewer) (T, error) {
	current, err := r.read(ctx)
	if err != nil {
		return current, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last, r.readAt, r.hasLast = current, v.Clock.Now(), true
	return current, nil
}

// handler returns an HTTP handler that serves the report.
func (r *cachedReport[T]) handler(v *Viewer) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		current, err := r.get(request.Context(), v)
		w.Header().Set("Content-Type", "application/json")
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(operator.ErrorResponse{Error: err.Error()})
			return
		}
		_ = json.NewEncoder(w).Encode(current)
	}
}
