// Package cedardoor implements a cluster scheduler. The leading controller places tasks and repairs
// placements that break a rule, starts and stops tasks through the workers on the machines, and
// sizes the fleet. docs/architecture.md describes the layout of the code, docs/design.md the
// reasons for its design.
package cedardoor

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"cedardoor/agent"
	"cedardoor/api"
	"cedardoor/clock"
	"cedardoor/cloud"
	"cedardoor/config"
	"cedardoor/connlimit"
	"cedardoor/election"
	"cedardoor/leaderview"
	"cedardoor/metrics"
	"cedardoor/peer"
	"cedardoor/peering"
	"cedardoor/quota"
	"cedardoor/recovery"
	"cedardoor/store"
	"cedardoor/wire"

	"github.com/go-chi/chi/v5"
)

const (
	// memoryShare is the share of the process's memory limit that is set as the runtime's soft limit.
	memoryShare = 0.55
	// termRetryPause is the delay before a term that failed to start is retried.
	termRetryPause = 200 * time.Millisecond
	// idleReserveDivisor divides the budget of idle connections to workers: that many are kept open
	// until clients need their sockets.
	idleReserveDivisor = 4
)

// Limits on users' and workers' connections.
const (
	headerTimeout  = 10 * time.Second
	requestTimeout = 20 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 16 << 10
)

// Service is one controller of a cluster. It serves users, workers and operators, and competes for
// leadership.
type Service struct {
	environment

	users   *api.Server
	peers   *peering.Peers
	view    *leaderview.Viewer
	catalog catalogCache
	current atomic.Pointer[leader] // the term that this controller leads; nil if it does not lead
	router  *chi.Mux               // for requests of users and workers
	// newLedger creates the ledger of a term; tests replace it with a broken one.
	newLedger func(teams map[string]quota.Limits) *quota.Ledger
}

// New creates a controller; Run starts it.
func New(cfg *config.Platform, operator *config.Operator, log *slog.Logger) *Service {
	return newService(cfg, operator, log, clock.New(nil))
}

func newService(cfg *config.Platform, operator *config.Operator, log *slog.Logger, clk *clock.Clock) *Service {
	s := &Service{newLedger: quota.NewLedger,
		environment: environment{cfg: cfg, operator: operator, log: log, clock: clk, metrics: metrics.New(), readRecords: recovery.Read}}
	facts := &cfg.Facts
	s.store = store.New(cfg.Outside.State, facts.State, 1+len(cfg.Others))
	s.cloud = cloud.New(cfg.Outside.Cloud, facts.Cloud.RPS)
	s.catalog = catalogCache{store: s.store, cloud: s.cloud, clock: clk}
	s.budget = connlimit.NewBudget(facts.Limits.FDLimit, facts.Limits.MemMB)
	s.workers = agent.NewClient(s.budget.IdleWorkerConnections)
	s.elector = election.New(cfg.Node, s.store, clk, operator, s.requestAttestations, log)
	s.peers = peering.New(clk, func() string { return s.elector.Leader() }, log)
	for _, other := range cfg.Others {
		s.peers.Add(other.Node, other.Addr)
	}
	s.isolated = s.peers.Isolated
	s.users = s.newUsers()
	s.view = leaderview.New(leaderview.Settings{Node: cfg.Node, Clock: clk, Log: log, LocalLeader: s.leaderHere,
		LeaderName: func() string { return s.elector.Leader() }, Link: s.peers.Link})
	s.router = chi.NewRouter()
	s.users.Routes(s.router)
	return s
}

// newUsers creates the server for users' requests.
func (s *Service) newUsers() *api.Server {
	users := &api.Server{Store: s.store, Clock: s.clock, Node: s.cfg.Node, Teams: s.cfg.Facts.Teams, Catalog: s.catalog.get, Counts: s.taskCounts,
		Log: s.log, ObserveSubmission: s.metrics.ObserveSubmission, OnCancelled: s.hintCancelled,
		MinReadInterval: minReadInterval(s.cfg.Facts.Limits.CoreShare)}
	if s.peers.Len() > 0 {
		users.Relay = s.relay
		users.Isolated = s.isolated
	}
	return users
}

// Run serves until ctx is done or a listener fails.
func (s *Service) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(s.cfg.Facts.Limits.MemMB * memoryShare * (1 << 20)))
	clients, err := listen(ctx, s.cfg.ClientListen)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	controllers, err := net.Listen("tcp", s.cfg.PeerListen)
	if err != nil {
		clients.Close()
		return fmt.Errorf("listen for controllers: %w", err)
	}
	var loops sync.WaitGroup
	failed := make(chan error, 2)
	server := s.serveClients(clients, &loops, failed)
	s.serveOperators(ctx, &loops, failed)
	loops.Go(func() { peer.Serve(ctx, controllers, s.answerPeer, s.log) })
	loops.Go(func() { s.elector.Run(ctx, s.serveTerm) })
	for _, warning := range s.cfg.Warnings(s.operator) {
		s.log.Info("settings are tight", "field", warning)
	}
	s.log.Info("serving", "node", s.cfg.Node, "listen", s.cfg.ClientListen)
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	server.Close()
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// serveClients starts the HTTP server for users and workers.
func (s *Service) serveClients(listener net.Listener, loops *sync.WaitGroup, failed chan<- error) *http.Server {
	limited := connlimit.New(listener, s.budget.ClientConnections, connlimit.WorkerConnections{Client: s.workers,
		MaxInUse: s.budget.Commands + s.budget.Probes, MinIdle: s.budget.IdleWorkerConnections / idleReserveDivisor}, s.clock, s.log)
	s.workers.ConnectionsScarce = limited.IdleConnectionsScarce
	s.router.Post(wire.PathHeartbeat, agent.ServeHeartbeat(s, limited.ClientConnectionsScarce))
	server := &http.Server{Handler: s.router, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
		ConnState: limited.ConnState}
	loops.Go(func() { failed <- server.Serve(limited) })
	return server
}

// serveOperators serves metrics and the leader's reports, if an address for operators is set.
func (s *Service) serveOperators(ctx context.Context, loops *sync.WaitGroup, failed chan<- error) {
	if s.operator.Metrics.Listen == "" {
		return
	}
	server := &http.Server{Addr: s.operator.Metrics.Listen, Handler: s.operatorRoutes(), ReadHeaderTimeout: headerTimeout}
	loops.Go(func() { s.view.Run(ctx) })
	loops.Go(func() {
		if err := server.ListenAndServe(); ctx.Err() == nil {
			failed <- fmt.Errorf("metrics: %w", err)
		}
	})
	context.AfterFunc(ctx, func() { server.Close() })
}

// operatorRoutes returns the handler for operators' requests.
func (s *Service) operatorRoutes() http.Handler {
	router := chi.NewRouter()
	router.Mount("/", s.metrics.Handler())
	s.view.Routes(router)
	return router
}

// listen opens the port for users and workers. TCP keep-alive is off: it would only duplicate the
// server's own timeouts, at the cost of four system calls per accepted connection.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", addr)
}

const (
	// maxReadInterval is the longest interval between the reads that users' queries share: users
	// wait two seconds for a response.
	maxReadInterval = 250 * clock.Millisecond
	// coreReadInterval is the interval at half a core. It grows in proportion to the inverse of the
	// share minus one, to three times as long at a quarter of a core, which keeps the reads to a few
	// percent of the processor.
	coreReadInterval = 20 * clock.Millisecond
)

// minReadInterval returns the shortest interval between the reads that users' queries share, given
// the process's share of a core. A whole core needs no interval.
func minReadInterval(share float64) clock.Micros {
	if share >= 1 {
		return 0
	}
	return min(maxReadInterval, clock.Micros(float64(coreReadInterval)*(1/share-1)))
}

// serveTerm leads for one term, and starts over if loading the records fails.
func (s *Service) serveTerm(ctx context.Context, term election.Term) {
	for ctx.Err() == nil {
		l := newLeader(s, term)
		s.current.Store(l)
		s.store.SetLeading(true)
		if err := l.run(ctx); err != nil {
			s.log.Error("term failed to start", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-s.clock.After(termRetryPause):
		}
	}
	s.current.Store(nil)
	s.store.SetLeading(s.peers.Len() == 0)
}

// Heartbeat implements agent.HeartbeatReceiver.
func (s *Service) Heartbeat(report *wire.Heartbeat) (wire.HeartbeatResponse, bool) {
	l := s.current.Load()
	if l == nil {
		return wire.HeartbeatResponse{}, false
	}
	return l.Heartbeat(report)
}

// Leader implements agent.HeartbeatReceiver.
func (s *Service) Leader() string {
	if name := s.elector.Leader(); name != s.cfg.Node {
		return name
	}
	return ""
}

// leaderHere implements leaderview.Settings.LocalLeader.
func (s *Service) leaderHere() (leaderview.Leader, bool) {
	l := s.current.Load()
	return l, l != nil
}

// Teams returns the teams' usage from the leader's ledger or, if no leader responds, as last seen by
// this controller.
func (s *Service) Teams(ctx context.Context) (quota.Report, error) { return s.view.Teams(ctx) }

// Recovery returns the progress of the leader's recovery or, if no leader responds, as last seen by
// this controller.
func (s *Service) Recovery(ctx context.Context) (recovery.Report, error) { return s.view.Recovery(ctx) }
