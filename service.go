// Package cedardoor is a cluster scheduler: the leading controller repairs the
// placement of tasks whenever rules break, starts and stops them through the
// machines' workers, and sizes the fleet. docs/design.md tells why it is as it is.
package cedardoor

import (
	"bytes"
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
	"cedardoor/lead"
	"cedardoor/metrics"
	"cedardoor/peer"
	"cedardoor/quota"
	"cedardoor/recovery"
	"cedardoor/store"
	"cedardoor/wire"

	"github.com/go-chi/chi/v5"
)

// Service is one controller.
type Service struct {
	cfg              *config.Platform
	operator         *config.Operator
	clock            *clock.Clock
	store            *store.Client
	elector          *lead.Elector
	workers          *agent.Client
	cloud            *cloud.Client
	users            *api.Server
	hints            cancelHints
	attestationLinks map[string]*peer.Link // for attestations, which must not wait
	relayLinks       map[string]*peer.Link // for users' requests and counts
	log              *slog.Logger
	metrics          *metrics.Metrics
	current          atomic.Pointer[leader]
	router           *chi.Mux
	budget           connlimit.Budget
	reports          reports
	// newLedger makes the ledger of a term; tests put a broken one in its place.
	newLedger func(teams map[string]quota.Limits) *quota.Ledger
	// readRecords reads what predecessors left; tests put other records in their place.
	readRecords func(ctx context.Context, source recovery.Source) (*recovery.Records, error)
	// relayAfter is when relaying is worth trying again, on the steady clock.
	relayAfter atomic.Int64

	catalogMu     sync.Mutex // guards cat and catAt
	catalog       wire.Catalog
	catalogReadAt clock.Micros
}

// New wires a controller's parts; Run starts it.
func New(cfg *config.Platform, operator *config.Operator, log *slog.Logger) *Service {
	return newService(cfg, operator, log, clock.New(nil))
}

func newService(cfg *config.Platform, operator *config.Operator, log *slog.Logger, clk *clock.Clock) *Service {
	s := &Service{cfg: cfg, operator: operator, log: log, clock: clk, metrics: metrics.New(), attestationLinks: map[string]*peer.Link{}, relayLinks: map[string]*peer.Link{}, newLedger: quota.NewLedger, readRecords: recovery.Read}
	f := cfg.Facts
	s.store = store.New(cfg.Outside.State, f.State, 1+len(cfg.Others))
	s.cloud = cloud.New(cfg.Outside.Cloud, f.Cloud.RPS)
	s.budget = connlimit.NewBudget(f.Limits.FDLimit, f.Limits.MemMB)
	s.workers = agent.NewClient(s.budget.IdleWorkerConnections)
	for _, o := range cfg.Others {
		s.attestationLinks[o.Node] = peer.NewLink(o.Addr)
		s.relayLinks[o.Node] = peer.NewLink(o.Addr)
	}
	s.elector = lead.New(cfg.Node, s.store, s.clock, operator, s.requestAttestations, log)
	s.users = &api.Server{Store: s.store, Clock: s.clock, Node: cfg.Node, Teams: f.Teams, Catalog: s.machineTypes, Counts: s.counts, Log: log, ObserveSubmission: s.metrics.ObserveSubmission,
		OnCancelled: s.hintCancelled, MinReadInterval: pollPause(f.Limits.CoreShare)}
	if len(s.attestationLinks) > 0 {
		s.users.Relay = s.relay
		s.users.Isolated = s.isolated
	}
	s.wireReports()
	s.router = chi.NewRouter()
	s.users.Routes(s.router)
	return s
}

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	// The collector is asked to stay well under the process's limit.
	debug.SetMemoryLimit(int64(s.cfg.Facts.Limits.MemMB * 0.55 * (1 << 20)))
	front, err := listen(ctx, s.cfg.ClientListen)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	back, err := net.Listen("tcp", s.cfg.PeerListen)
	if err != nil {
		front.Close()
		return fmt.Errorf("listen for controllers: %w", err)
	}
	limited := connlimit.New(front, s.budget.ClientConnections, connlimit.WorkerConnections{Client: s.workers,
		MaxInUse: s.budget.Commands + s.budget.Probes, IdleWorkerConnections: s.budget.IdleWorkerConnections / 4}, s.clock, s.log)
	s.workers.ClientConnectionsScarce = limited.IdleConnectionsScarce
	s.router.Post(wire.PathHeartbeat, agent.ServeHeartbeat(s, limited.ClientConnectionsScarce))
	srv := &http.Server{Handler: s.router, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 20 * time.Second, WriteTimeout: 20 * time.Second,
		IdleTimeout: 90 * time.Second, MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug), ConnState: limited.ConnState}
	var wg sync.WaitGroup
	failed := make(chan error, 2)
	wg.Go(func() {
		failed <- srv.Serve(limited)
	})
	if s.operator.Metrics.Listen != "" {
		ms := &http.Server{Addr: s.operator.Metrics.Listen, Handler: s.operators(), ReadHeaderTimeout: 10 * time.Second}
		wg.Go(func() { s.refreshReports(ctx) })
		wg.Go(func() {
			if err := ms.ListenAndServe(); ctx.Err() == nil {
				failed <- fmt.Errorf("metrics: %w", err)
			}
		})
		context.AfterFunc(ctx, func() { ms.Close() })
	}
	wg.Go(func() { peer.Serve(ctx, back, s.answerPeer, s.log) })
	wg.Go(func() { s.elector.Run(ctx, s.serveTerm) })
	for _, w := range s.cfg.Warnings(s.operator) {
		s.log.Info("settings are tight", "field", w)
	}
	s.log.Info("serving", "node", s.cfg.Node, "listen", s.cfg.ClientListen)
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	srv.Close()
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// pollPause is how far apart the reads that users' polls share should be: each
// costs this node, the leader and the state service a request, and users wait two
// seconds for an answer. A whole core needs no pause, and a smaller share one that
// keeps the reads to a few hundredths of it.
func pollPause(share float64) clock.Micros {
	if share >= 1 {
		return 0
	}
	return min(250*clock.Millisecond, clock.Micros(float64(20*clock.Millisecond)*(1/share-1)))
}

// listen opens the port of users and workers. Idle connections are not probed:
// that would only double what the server's own time limits do, for four system
// calls on each connection that comes.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", addr)
}

// serveTerm is one term of this node.
func (s *Service) serveTerm(ctx context.Context, r lead.Term) {
	for ctx.Err() == nil {
		l := newLeader(s, r)
		s.current.Store(l)
		s.store.SetLeading(true)
		if err := l.run(ctx); err != nil {
			s.log.Error("leading", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-s.clock.After(200 * time.Millisecond):
		}
	}
	s.current.Store(nil)
	s.store.SetLeading(len(s.cfg.Others) == 0)
}

// Heartbeat implements agent.Steward.
func (s *Service) Heartbeat(report *wire.Heartbeat) (wire.HeartbeatResponse, bool) {
	l := s.current.Load()
	if l == nil {
		return wire.HeartbeatResponse{}, false
	}
	return l.Heartbeat(report)
}

// Leader implements agent.Steward.
func (s *Service) Leader() string {
	if name := s.elector.Leader(); name != s.cfg.Node {
		return name
	}
	return ""
}

// answerPeer serves another controller's request.
func (s *Service) answerPeer(ctx context.Context, request peer.Request) peer.Response {
	var response peer.Response
	if request.Attestation.Requested {
		response.Attestation = s.attest(ctx, request.Attestation)
	}
	if l := s.current.Load(); l != nil && len(request.CancelHints) > 0 {
		l.hintCancelled(request.CancelHints)
	}
	if len(request.CountsOf) > 0 {
		if l := s.current.Load(); l != nil {
			response.Counts = l.counts(request.CountsOf)
		}
	}
	if request.Teams.Requested {
		response.TeamsPage = s.teamsPage(request.Teams.After)
	}
	if request.Report != "" {
		response.Report = s.encodedReport(request.Report)
	}
	if request.User.Path != "" && !s.store.Failing() {
		response.User = s.serveRelayed(ctx, request.User)
	}
	return response
}

// serveRelayed serves a user's request that another controller has passed on.
func (s *Service) serveRelayed(ctx context.Context, request peer.UserRequest) (response peer.UserResponse) {
	req, err := http.NewRequestWithContext(api.MarkRelayed(ctx), request.Method, request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return response
	}
	k := api.NewBufferedResponse()
	s.router.ServeHTTP(k, req)
	response.Status, response.Body = k.Status, k.Body.Bytes()
	response.CancelRevision = s.users.CancellationLog.Epoch(api.JobOfRequest(request.Path, request.Body))
	return response
}

// attest attests the outage to a leader that asks, if this node can: only when the
// state service refuses it now, it knows of no later leader, and it can name
// every cancel that the sender may have missed.
func (s *Service) attest(ctx context.Context, request peer.AttestationRequest) (attestation peer.Attestation) {
	if !s.store.Refused(ctx, 500*clock.Millisecond) || s.elector.NewestRevision() > request.LeaderRevision {
		return attestation
	}
	attestation.Cancelled, attestation.Attested = s.users.CancellationLog.Since(request.KnownRevision, s.store.FirstRevision())
	return attestation
}

// relay asks the other controllers at once to serve a user's request, and
// takes the first answer that is one. In an outage none can, and after a round
// of refusals none is asked for a moment.
func (s *Service) relay(ctx context.Context, method, path string, body []byte) (int, []byte, bool) {
	now := s.clock.Now()
	if now < clock.Micros(s.relayAfter.Load()) {
		return 0, nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, 1200*time.Millisecond)
	defer cancel()
	uid := api.JobOfRequest(path, body)
	if api.IsCancel(path) {
		s.users.CancellationLog.Expect(uid)
	}
	responses := make(chan peer.UserResponse, len(s.relayLinks))
	for _, l := range s.relayLinks {
		go func() {
			response, err := l.Call(ctx, peer.Request{User: peer.UserRequest{Method: method, Path: path, Body: body}})
			if err != nil {
				response = peer.Response{}
			}
			responses <- response.User
		}()
	}
	for range s.relayLinks {
		if response := <-responses; response.Status != 0 && response.Status != http.StatusServiceUnavailable {
			if response.CancelRevision > 0 {
				s.users.CancellationLog.Known(uid, response.CancelRevision)
			}
			return response.Status, response.Body, true
		}
	}
	s.relayAfter.Store(int64(s.clock.Now() + clock.Second))
	return 0, nil, false
}

// isolated tells whether no other controller answers.
func (s *Service) isolated(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
	defer cancel()
	answers := make(chan bool, len(s.relayLinks))
	for _, l := range s.relayLinks {
		go func() {
			_, err := l.Call(ctx, peer.Request{})
			answers <- err == nil
		}()
	}
	for range s.relayLinks {
		if <-answers {
			return false
		}
	}
	return true
}

// requestAttestations asks every other controller whether the state service refuses it too.
// Only when all attest so, freshly, can nobody else be leading. Each names with it
// what was cancelled through it since this leader last knew; their tasks are told
// to stop before the attestations count.
func (s *Service) requestAttestations(ctx context.Context) bool {
	l := s.current.Load()
	if l == nil {
		return false
	}
	request := peer.AttestationRequest{Requested: true, LeaderRevision: l.term.Revision, KnownRevision: l.syncedRevision()}
	cancelled, all := s.users.CancellationLog.Since(request.KnownRevision, s.store.FirstRevision())
	attestations := make(chan peer.Attestation, len(s.attestationLinks))
	for _, l := range s.attestationLinks {
		go func() {
			response, err := l.Call(ctx, peer.Request{Attestation: request})
			if err != nil {
				response = peer.Response{}
			}
			attestations <- response.Attestation
		}()
	}
	for range s.attestationLinks {
		attestation := <-attestations
		all = all && attestation.Attested
		cancelled = append(cancelled, attestation.Cancelled...)
	}
	l.hintCancelled(cancelled)
	return all
}

// cancelHints are cancels that the leader is yet to be told of.
type cancelHints struct {
	mu   sync.Mutex // guards the fields below
	uids []string
	busy bool
}

// maxHintsPerMessage is how many cancels one message tells the leader of.
const maxHintsPerMessage = 1024

// hintCancelled tells the leader at once of a cancel made here, which it would else
// learn from the state service, if that serves it. It is a hint: lost, late or
// repeated it harms nothing.
func (s *Service) hintCancelled(uid string) {
	if l := s.current.Load(); l != nil {
		l.hintCancelled([]string{uid})
		return
	}
	if len(s.relayLinks) == 0 {
		return
	}
	s.hints.mu.Lock()
	defer s.hints.mu.Unlock()
	if len(s.hints.uids) < maxHintsPerMessage {
		s.hints.uids = append(s.hints.uids, uid)
	}
	if !s.hints.busy {
		s.hints.busy = true
		go s.sendHints()
	}
}

// sendHints tells the leader of one batch after another until none waits.
func (s *Service) sendHints() {
	for {
		s.hints.mu.Lock()
		uids := s.hints.uids
		s.hints.uids = nil
		s.hints.busy = len(uids) > 0
		s.hints.mu.Unlock()
		if len(uids) == 0 {
			return
		}
		l := s.relayLinks[s.elector.Leader()]
		if l == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if _, err := l.Call(ctx, peer.Request{CancelHints: uids}); err != nil {
			s.log.Debug("tell the leader of cancels", "error", err)
		}
		cancel()
	}
}

// counts asks the leader for jobs' counts, which are for display only.
func (s *Service) counts(ctx context.Context, uids []string) map[string][2]int {
	if l := s.current.Load(); l != nil {
		return l.counts(uids)
	}
	l := s.relayLinks[s.elector.Leader()]
	if l == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 250*time.Millisecond)
	defer cancel()
	r, err := l.Call(ctx, peer.Request{CountsOf: uids})
	if err != nil {
		return nil
	}
	return r.Counts
}

// How long the machine types are used without being asked for again, and how
// long when nobody answers: a job that no machine of today's catalogue fits must
// not be accepted by an old one.
const (
	catalogFreshFor  = 30 * clock.Second
	catalogUsableFor = 120 * clock.Second
)

// machineTypes gives the machine types as last seen by any leader, or by this node itself.
func (s *Service) machineTypes(ctx context.Context) (wire.Catalog, bool) {
	now := s.clock.Now()
	s.catalogMu.Lock()
	cat, fresh, stale := s.catalog, s.catalogReadAt != 0 && now-s.catalogReadAt < catalogFreshFor, now-s.catalogReadAt >= catalogUsableFor
	s.catalogMu.Unlock()
	if fresh {
		return cat, true
	}
	row, found, err := s.store.Get(ctx, store.Normal, store.KeyCatalog)
	var got wire.Catalog
	if err == nil && found && wire.Unmarshal(row.Value, &got) == nil && len(got.MachineTypes) > 0 {
		s.catalogMu.Lock()
		s.catalog, s.catalogReadAt = got, now
		s.catalogMu.Unlock()
		return got, true
	}
	if len(cat.MachineTypes) > 0 && !stale {
		return cat, true // sizes hardly change: the last known will do for a while
	}
	got, err = s.cloud.Catalog(ctx)
	if err != nil {
		return wire.Catalog{}, false
	}
	s.catalogMu.Lock()
	s.catalog, s.catalogReadAt = got, now
	s.catalogMu.Unlock()
	return got, true
}
