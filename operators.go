package cedardoor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cedardoor/clock"
	"cedardoor/operator"
	"cedardoor/peer"
	"cedardoor/quota"
	"cedardoor/recovery"

	"github.com/go-chi/chi/v5"
)

// How often a controller that serves operators looks at the leader's reports, so that it
// can tell what they were when nobody leads, and how long one answer of the leader may take.
const (
	reportRefreshInterval = 5 * clock.Second
	reportTimeout         = time.Second
)

var (
	// errNoReport means that this controller has never seen a leader's report.
	errNoReport = errors.New("no leader has been heard since this controller started")
	// errNoLeader means that no controller is known to lead, or the one that is does not answer as leader.
	errNoLeader = errors.New("nobody leads")
)

// leaderReport is a kind of report that only a leader can make, and the last one that this
// controller has seen.
type leaderReport[T any] struct {
	read func(ctx context.Context) (T, error)
	// annotate notes in a report who shows it and how old it is.
	annotate func(report *T, node string, fresh bool, ageS float64)

	mu     sync.Mutex // guards the fields below
	report T
	readAt clock.Micros
	seen   bool
}

// get gives the report as the leader has it now or, where no leader answers, as this
// controller saw it last.
func (r *leaderReport[T]) get(ctx context.Context, s *Service) (report T, err error) {
	if report, err = r.refresh(ctx, s); err == nil {
		r.annotate(&report, s.cfg.Node, true, 0)
		return report, nil
	}
	s.log.Debug("the leader's report can't be read", "error", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.seen {
		return report, errNoReport
	}
	report = r.report
	r.annotate(&report, s.cfg.Node, false, (s.clock.Now() - r.readAt).Seconds())
	return report, nil
}

// refresh reads the leader's report and keeps it.
func (r *leaderReport[T]) refresh(ctx context.Context, s *Service) (T, error) {
	report, err := r.read(ctx)
	if err != nil {
		return report, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report, r.readAt, r.seen = report, s.clock.Now(), true
	return report, nil
}

// handler serves the report.
func (r *leaderReport[T]) handler(s *Service) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		report, err := r.get(req.Context(), s)
		w.Header().Set("Content-Type", "application/json")
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(operator.ErrorResponse{Error: err.Error()})
			return
		}
		_ = json.NewEncoder(w).Encode(report)
	}
}

// reports are what a controller shows operators of the leader.
type reports struct {
	teams    leaderReport[quota.Report]
	recovery leaderReport[recovery.Report]
}

// wireReports makes the reports' sources.
func (s *Service) wireReports() {
	s.reports.teams.read = s.leaderTeams
	s.reports.teams.annotate = func(r *quota.Report, node string, fresh bool, ageS float64) {
		r.Node, r.Fresh, r.AgeS = node, fresh, ageS
	}
	s.reports.recovery.read = s.leaderRecovery
	s.reports.recovery.annotate = func(r *recovery.Report, node string, fresh bool, ageS float64) {
		r.Node, r.Fresh, r.AgeS = node, fresh, ageS
	}
}

// Teams reports what teams use: as the leader's ledger has it now, or, where no leader
// answers, as this controller saw it last.
func (s *Service) Teams(ctx context.Context) (quota.Report, error) {
	return s.reports.teams.get(ctx, s)
}

// Recovery reports how far the leader has taken over, or, where no leader answers, how far it was
// when this controller saw it last.
func (s *Service) Recovery(ctx context.Context) (recovery.Report, error) {
	return s.reports.recovery.get(ctx, s)
}

// refreshReports keeps the last reports recent until ctx ends.
func (s *Service) refreshReports(ctx context.Context) {
	for {
		_, teamsErr := s.reports.teams.refresh(ctx, s)
		_, recoveryErr := s.reports.recovery.refresh(ctx, s)
		if err := errors.Join(teamsErr, recoveryErr); err != nil && ctx.Err() == nil {
			s.log.Debug("the leader's reports can't be read", "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(reportRefreshInterval.Duration()):
		}
	}
}

// operators serves what operators ask for: figures and the leader's reports.
func (s *Service) operators() http.Handler {
	r := chi.NewRouter()
	r.Mount("/", s.metrics.Handler())
	r.Get(operator.PathTeams, s.reports.teams.handler(s))
	r.Get(operator.PathRecovery, s.reports.recovery.handler(s))
	return r
}

// leaderRecovery reads how far the leader has taken over, here or at the controller that leads.
func (s *Service) leaderRecovery(ctx context.Context) (r recovery.Report, err error) {
	leader := s.elector.Leader()
	if l := s.current.Load(); l != nil {
		r, known := l.recoveryReport()
		if !known {
			return r, errNoLeader
		}
		r.Leader = s.cfg.Node
		return r, nil
	}
	link := s.relayLinks[leader]
	if link == nil {
		return r, errNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response, err := link.Call(ctx, peer.Request{Report: peer.ReportRecovery})
	if err != nil {
		return r, err
	}
	if len(response.Report) == 0 {
		return r, errNoLeader
	}
	if err := json.Unmarshal(response.Report, &r); err != nil {
		return r, fmt.Errorf("recovery of %s: %w", leader, err)
	}
	r.Leader = leader
	return r, nil
}

// encodedReport answers another controller that serves operators: with nothing, unless this one leads.
func (s *Service) encodedReport(kind peer.ReportKind) []byte {
	l := s.current.Load()
	if l == nil || kind != peer.ReportRecovery {
		return nil
	}
	report, known := l.recoveryReport()
	if !known {
		return nil
	}
	raw, err := json.Marshal(report)
	if err != nil {
		s.log.Error("report for another controller", "error", err)
		return nil
	}
	return raw
}
