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
	// ErrNoReport means that this controller has never seen a leader's report.
	ErrNoReport = errors.New("no leader has been heard since this controller started")
	// ErrNoLeader means that no controller is known to lead, or the one that is does not answer as leader.
	ErrNoLeader = errors.New("nobody leads")
)

// report is a kind of report that only a leader can make, and the last one that this controller
// has seen.
type report[T any] struct {
	read func(ctx context.Context) (T, error)
	// annotate notes in a report who shows it and how old it is.
	annotate func(report *T, node string, fresh bool, ageS float64)

	mu     sync.Mutex // guards the fields below
	last   T
	readAt clock.Micros
	seen   bool
}

// get gives the report as the leader has it now or, where no leader answers, as this controller saw
// it last.
func (r *report[T]) get(ctx context.Context, v *Viewer) (current T, err error) {
	if current, err = r.refresh(ctx, v); err == nil {
		r.annotate(&current, v.Node, true, 0)
		return current, nil
	}
	v.Log.Debug("the leader's report can't be read", "error", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.seen {
		return current, ErrNoReport
	}
	last := r.last
	r.annotate(&last, v.Node, false, (v.Clock.Now() - r.readAt).Seconds())
	return last, nil
}

// refresh reads the leader's report and keeps it.
func (r *report[T]) refresh(ctx context.Context, v *Viewer) (T, error) {
	current, err := r.read(ctx)
	if err != nil {
		return current, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last, r.readAt, r.seen = current, v.Clock.Now(), true
	return current, nil
}

// handler serves the report.
func (r *report[T]) handler(v *Viewer) http.HandlerFunc {
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
