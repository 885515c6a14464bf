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
	cfg     *config.Platform
	op      *config.Operator
	ck      *clock.Clock
	st      *store.Client
	el      *lead.Elector
	workers *agent.Client
	cl      *cloud.Client
	users   *api.Users
	hints   hints
	links   map[string]*peer.Link // for attestations, which must not wait
	relays  map[string]*peer.Link // for users' requests and counts
	log     *slog.Logger
	met     *metrics.Metrics
	term    atomic.Pointer[term]
	front   *chi.Mux
	budget  connlimit.Budget
	reports reports
	// newLedger makes the ledger of a term; tests put a broken one in its place.
	newLedger func(teams map[string]quota.Limits) *quota.Ledger
	// readRecords reads what predecessors left; tests put other records in their place.
	readRecords func(ctx context.Context, source recovery.Source) (*recovery.Records, error)
	// relayAfter is when relaying is worth trying again, on the steady clock.
	relayAfter atomic.Int64

	catMu sync.Mutex // guards cat and catAt
	cat   wire.Catalog
	catAt clock.Micros
}

// New wires a controller's parts; Run starts it.
func New(cfg *config.Platform, op *config.Operator, log *slog.Logger) *Service {
	return newService(cfg, op, log, clock.New(nil))
}

func newService(cfg *config.Platform, op *config.Operator, log *slog.Logger, ck *clock.Clock) *Service {
	s := &Service{cfg: cfg, op: op, log: log, ck: ck, met: metrics.New(), links: map[string]*peer.Link{}, relays: map[string]*peer.Link{}, newLedger: quota.NewLedger, readRecords: recovery.Read}
	f := cfg.Facts
	s.st = store.New(cfg.Outside.State, f.State, 1+len(cfg.Others))
	s.cl = cloud.New(cfg.Outside.Cloud, f.Cloud.RPS)
	s.budget = connlimit.Divide(f.Limits.FDLimit, f.Limits.MemMB)
	s.workers = agent.NewClient(s.budget.KeepIdle)
	for _, o := range cfg.Others {
		s.links[o.Node] = peer.NewLink(o.Addr)
		s.relays[o.Node] = peer.NewLink(o.Addr)
	}
	s.el = lead.New(cfg.Node, s.st, s.ck, op, s.attest, log)
	s.users = &api.Users{Store: s.st, Clock: s.ck, Node: cfg.Node, Teams: f.Teams, Catalog: s.catalog, Counts: s.counts, Log: log, Observe: s.met.Submission,
		Cancelled: s.cancelled, Pause: pollPause(f.Limits.CoreShare)}
	if len(s.links) > 0 {
		s.users.Relay = s.relay
		s.users.Alone = s.alone
	}
	s.wireReports()
	s.front = chi.NewRouter()
	s.users.Routes(s.front)
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
	back, err := net.Listen("tcp", s.cfg.Back)
	if err != nil {
		front.Close()
		return fmt.Errorf("listen for controllers: %w", err)
	}
	limited := connlimit.New(front, s.budget.Clients, connlimit.Outgoing{Workers: s.workers,
		InUse: s.budget.Commands + s.budget.Questions, KeepIdle: s.budget.KeepIdle / 4}, s.ck, s.log)
	s.workers.Short = limited.Full
	s.front.Post(wire.PathHeartbeat, agent.ServeHeartbeat(s, limited.Short))
	srv := &http.Server{Handler: s.front, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 20 * time.Second, WriteTimeout: 20 * time.Second,
		IdleTimeout: 90 * time.Second, MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug), ConnState: limited.ConnState}
	var wg sync.WaitGroup
	failed := make(chan error, 2)
	wg.Go(func() {
		failed <- srv.Serve(limited)
	})
	if s.op.Metrics.Listen != "" {
		ms := &http.Server{Addr: s.op.Metrics.Listen, Handler: s.operators(), ReadHeaderTimeout: 10 * time.Second}
		wg.Go(func() { s.refreshReports(ctx) })
		wg.Go(func() {
			if err := ms.ListenAndServe(); ctx.Err() == nil {
				failed <- fmt.Errorf("metrics: %w", err)
			}
		})
		context.AfterFunc(ctx, func() { ms.Close() })
	}
	wg.Go(func() { peer.Serve(ctx, back, s.answerPeer, s.log) })
	wg.Go(func() { s.el.Run(ctx, s.lead) })
	for _, w := range s.cfg.Tight(s.op) {
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

// lead is one term of this node.
func (s *Service) lead(ctx context.Context, r lead.Term) {
	for ctx.Err() == nil {
		g := newTerm(s, r)
		s.term.Store(g)
		s.st.SetLeading(true)
		if err := g.run(ctx); err != nil {
			s.log.Error("leading", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-s.ck.After(200 * time.Millisecond):
		}
	}
	s.term.Store(nil)
	s.st.SetLeading(len(s.cfg.Others) == 0)
}

// Heartbeat implements agent.Steward.
func (s *Service) Heartbeat(rep *wire.Heartbeat) (wire.HeartbeatResponse, bool) {
	g := s.term.Load()
	if g == nil {
		return wire.HeartbeatResponse{}, false
	}
	return g.Heartbeat(rep)
}

// Leader implements agent.Steward.
func (s *Service) Leader() string {
	if name := s.el.Leader(); name != s.cfg.Node {
		return name
	}
	return ""
}

// answerPeer answers another controller's question.
func (s *Service) answerPeer(ctx context.Context, a peer.Ask) peer.Reply {
	var r peer.Reply
	if a.Outage.Asked {
		r.Word = s.word(ctx, a.Outage)
	}
	if g := s.term.Load(); g != nil && len(a.Cancelled) > 0 {
		g.callOff(a.Cancelled)
	}
	if len(a.Counts) > 0 {
		if g := s.term.Load(); g != nil {
			r.Counts = g.counts(a.Counts)
		}
	}
	if a.Teams {
		r.Teams = s.teamsPage(a.TeamsAfter)
	}
	if a.Report != "" {
		r.Report = s.reportFor(a.Report)
	}
	if a.Path != "" && !s.st.Failing() {
		req, err := http.NewRequestWithContext(api.Relayed(ctx), a.Method, a.Path, bytes.NewReader(a.Body))
		if err != nil {
			return r
		}
		k := api.NewKept()
		s.front.ServeHTTP(k, req)
		r.Status, r.Body = k.Status, k.Body.Bytes()
		r.Epoch = s.users.Cancels.Epoch(api.JobOf(a.Path, a.Body))
	}
	return r
}

// word attests the outage to a leader that asks, if this node can: only when the
// state service refuses it now, it knows of no later leader, and it can name
// every cancel that the asker may have missed.
func (s *Service) word(ctx context.Context, o peer.Outage) (w peer.Word) {
	if !s.st.Refused(ctx, 500*clock.Millisecond) || s.el.NewestRevision() > o.Lead {
		return w
	}
	w.Cancelled, w.Attests = s.users.Cancels.Since(o.Epoch, s.st.FirstRevision())
	return w
}

// relay asks the other controllers at once to serve a user's request, and
// takes the first answer that is one. In an outage none can, and after a round
// of refusals none is asked for a moment.
func (s *Service) relay(ctx context.Context, method, path string, body []byte) (int, []byte, bool) {
	now := s.ck.Now()
	if now < clock.Micros(s.relayAfter.Load()) {
		return 0, nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, 1200*time.Millisecond)
	defer cancel()
	uid := api.JobOf(path, body)
	if api.IsAbort(path) {
		s.users.Cancels.Expect(uid)
	}
	answers := make(chan peer.Reply, len(s.relays))
	for _, l := range s.relays {
		go func() {
			r, err := l.Ask(ctx, peer.Ask{Method: method, Path: path, Body: body})
			if err != nil {
				r = peer.Reply{}
			}
			answers <- r
		}()
	}
	for range s.relays {
		if r := <-answers; r.Status != 0 && r.Status != http.StatusServiceUnavailable {
			if r.Epoch > 0 {
				s.users.Cancels.Known(uid, r.Epoch)
			}
			return r.Status, r.Body, true
		}
	}
	s.relayAfter.Store(int64(s.ck.Now() + clock.Second))
	return 0, nil, false
}

// alone tells whether no other controller answers.
func (s *Service) alone(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
	defer cancel()
	answers := make(chan bool, len(s.relays))
	for _, l := range s.relays {
		go func() {
			_, err := l.Ask(ctx, peer.Ask{})
			answers <- err == nil
		}()
	}
	for range s.relays {
		if <-answers {
			return false
		}
	}
	return true
}

// attest asks every other controller whether the state service refuses it too.
// Only when all say so, freshly, can nobody else be leading. Each names with it
// what was cancelled through it since this leader last knew; their tasks are told
// to stop before the word counts.
func (s *Service) attest(ctx context.Context) bool {
	g := s.term.Load()
	if g == nil {
		return false
	}
	o := peer.Outage{Asked: true, Lead: g.r.Revision, Epoch: g.knows()}
	cancelled, all := s.users.Cancels.Since(o.Epoch, s.st.FirstRevision())
	answers := make(chan peer.Word, len(s.links))
	for _, l := range s.links {
		go func() {
			r, err := l.Ask(ctx, peer.Ask{Outage: o})
			if err != nil {
				r = peer.Reply{}
			}
			answers <- r.Word
		}()
	}
	for range s.links {
		w := <-answers
		all = all && w.Attests
		cancelled = append(cancelled, w.Cancelled...)
	}
	g.callOff(cancelled)
	return all
}

// hints are cancels that the leader is yet to be told of.
type hints struct {
	mu   sync.Mutex // guards the fields below
	uids []string
	busy bool
}

// maxHint is how many cancels one message tells the leader of.
const maxHint = 1024

// cancelled tells the leader at once of a cancel made here, which it would else
// learn from the state service, if that serves it. It is a hint: lost, late or
// repeated it harms nothing.
func (s *Service) cancelled(uid string) {
	if g := s.term.Load(); g != nil {
		g.callOff([]string{uid})
		return
	}
	if len(s.relays) == 0 {
		return
	}
	s.hints.mu.Lock()
	defer s.hints.mu.Unlock()
	if len(s.hints.uids) < maxHint {
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
		l := s.relays[s.el.Leader()]
		if l == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if _, err := l.Ask(ctx, peer.Ask{Cancelled: uids}); err != nil {
			s.log.Debug("tell the leader of cancels", "error", err)
		}
		cancel()
	}
}

// counts asks the leader for jobs' counts, which are for display only.
func (s *Service) counts(ctx context.Context, uids []string) map[string][2]int {
	if g := s.term.Load(); g != nil {
		return g.counts(uids)
	}
	l := s.relays[s.el.Leader()]
	if l == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 250*time.Millisecond)
	defer cancel()
	r, err := l.Ask(ctx, peer.Ask{Counts: uids})
	if err != nil {
		return nil
	}
	return r.Counts
}

// How long the machine types are used without being asked for again, and how
// long when nobody answers: a job that no machine of today's catalogue fits must
// not be accepted by an old one.
const (
	catalogFresh = 30 * clock.Second
	catalogStale = 120 * clock.Second
)

// catalog gives the machine types as last seen by any leader, or by this node itself.
func (s *Service) catalog(ctx context.Context) (wire.Catalog, bool) {
	now := s.ck.Now()
	s.catMu.Lock()
	cat, fresh, stale := s.cat, s.catAt != 0 && now-s.catAt < catalogFresh, now-s.catAt >= catalogStale
	s.catMu.Unlock()
	if fresh {
		return cat, true
	}
	row, found, err := s.st.Get(ctx, store.Normal, store.KeyCatalog)
	var got wire.Catalog
	if err == nil && found && wire.Unmarshal(row.Value, &got) == nil && len(got.MachineTypes) > 0 {
		s.catMu.Lock()
		s.cat, s.catAt = got, now
		s.catMu.Unlock()
		return got, true
	}
	if len(cat.MachineTypes) > 0 && !stale {
		return cat, true // sizes hardly change: the last known will do for a while
	}
	got, err = s.cl.Catalog(ctx)
	if err != nil {
		return wire.Catalog{}, false
	}
	s.catMu.Lock()
	s.cat, s.catAt = got, now
	s.catMu.Unlock()
	return got, true
}
