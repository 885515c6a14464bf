// Package api serves users' requests to submit, query and cancel jobs, and the health check. Every
// controller serves them, leader or not, from the durable state in the state service.
package api

import (
	"context"
	"log/slog"
	"sync"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/peer"
	"cedardoor/quota"
	"cedardoor/store"
	"cedardoor/wire"

	"github.com/go-chi/chi/v5"
)

// Server serves users' requests. The exported fields must be set before the first request, except
// Cancellations, whose zero value is ready for use, and the functions that may be nil.
type Server struct {
	Store *store.Client
	Clock *clock.Clock
	Log   *slog.Logger
	Node  string
	Teams []config.Team
	// MinReadInterval is the minimum time between the reads that queries share. The request rate
	// of the state service may require a longer one.
	MinReadInterval clock.Micros

	// Catalog returns the machine types, or false if they are unknown.
	Catalog func(ctx context.Context) (wire.Catalog, bool)
	// Counts returns how many tasks of each job are done and running.
	Counts func(ctx context.Context, uids []string) map[string]peer.TaskCounts
	// Relay sends a request to the other controllers and returns the response of one that served
	// it; ok is false if none could. It may be nil.
	Relay func(ctx context.Context, method, path string, body []byte) (status int, response []byte, ok bool)
	// Isolated reports whether no other controller can be reached. It may be nil.
	Isolated func(ctx context.Context) bool
	// OnCancelled is called after each cancellation that this server has committed. It may be nil.
	OnCancelled func(uid string)
	// ObserveSubmission is called with the latency and the status of each response to a submission.
	// It may be nil.
	ObserveSubmission func(took clock.Micros, status int)

	// Cancellations logs the cancellations that users of this controller were or may be told of.
	Cancellations CancellationLog

	finalStates finalStateCache

	mu        sync.Mutex // guards the fields below, which are created on first use
	statuses  *statusReader
	submitter *submitter
}

// Routes registers the handlers of users' requests with a router.
func (s *Server) Routes(r chi.Router) {
	r.Post(wire.PathJobs, s.withRelay(s.serveSubmit))
	r.Get(wire.PathJobs+"/{uid}", withTimeout(queryTimeout, s.withRelay(s.serveQuery)))
	r.Post(wire.PathJobs+"/{uid}/"+wire.SuffixCancel, s.withRelay(s.serveCancel))
	r.Get(wire.PathHealth, s.serveHealth)
}

// statusReader returns the reader that all queries share.
func (s *Server) statusReader() *statusReader {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.statuses == nil {
		s.statuses = &statusReader{store: s.Store, clock: s.Clock, counts: s.Counts, onFinal: s.rememberFinal,
			minInterval: max(s.Store.ReadInterval(), s.MinReadInterval), records: map[string]recordState{}}
	}
	return s.statuses
}

// jobSubmitter returns the submitter that all submissions share.
func (s *Server) jobSubmitter() *submitter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.submitter == nil {
		maxRate, minRate := s.Store.UserWriteRates()
		admission := quota.NewAdmission(config.TeamLimits(s.Teams), maxRate, minRate)
		s.submitter = &submitter{writer: userWriter{store: s.Store, clock: s.Clock, admission: admission}}
	}
	return s.submitter
}
