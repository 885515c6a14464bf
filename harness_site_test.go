package cedardoor

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/internal/standin"
	"cedardoor/lead"
	"cedardoor/peer"
	"cedardoor/wire"

	"github.com/jonboulle/clockwork"
)

// site is a small platform with scripted parts and a fake clock.
type site struct {
	t     testing.TB
	clk   *clockwork.FakeClock
	state *standin.State
	cloud *standin.Cloud
	nodes int
	dead  map[string]*atomic.Bool // by a node's address of the state service
	first *Service                // that led first, where a test needs it
}

var bigBuild = wire.MachineType{SKU: "b", Cores: 8, RAM: 32, HourlyPrice: 1, SpotPrice: 0.4, BootS: 30, Zones: []string{"x", "y"}}

func newSite(t testing.TB) *site {
	clk := clockwork.NewFakeClock()
	return &site{t: t, clk: clk, dead: map[string]*atomic.Bool{}, state: standin.NewState(clk), cloud: standin.NewCloud(bigBuild)}
}

func (s *site) server(h http.Handler) string {
	srv := httptest.NewServer(h)
	s.t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// node makes one controller of the site.
func (s *site) node(mod func(f *config.Facts)) *Service {
	s.nodes++
	cfg := &config.Platform{Node: fmt.Sprintf("node-%d", s.nodes), ClientListen: "127.0.0.1:0", Back: "127.0.0.1:0"}
	dead := new(atomic.Bool)
	inner := s.state.Handler(cfg.Node)
	cfg.Outside.State = s.server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if dead.Load() {
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, r)
	}))
	s.dead[cfg.Outside.State] = dead
	cfg.Outside.Cloud = s.server(s.cloud)
	cfg.Facts = config.Facts{InitialSize: 3, Zones: []string{"x", "y"}, Teams: []config.Team{{Name: "team"}},
		Workers: config.Workers{ReportS: 3, LeaseS: 18, CancelS: 40},
		State:   config.State{RPS: 1e6, WriteRPS: 1e6, ValueKB: 8, TxnOps: 24}, // budgets go by the real clock: out of the way
		Cloud:   config.Cloud{RPS: 1000, ListLagS: 8},
		Limits:  config.Limits{CoreShare: 1, MemMB: 200, FDLimit: 500}}
	if mod != nil {
		mod(&cfg.Facts)
	}
	operator, err := config.LoadOperator("")
	if err != nil {
		s.t.Fatal(err)
	}
	return newService(cfg, operator, slog.New(slog.NewTextHandler(io.Discard, nil)), clock.New(s.clk))
}

// elect makes a node lead for the rest of the test, or until stop is called.
func (s *site) elect(n *Service) (l *leader, stop func()) {
	ctx, cancel := context.WithCancel(s.t.Context())
	ready := make(chan lead.Term)
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.elector.Run(ctx, func(ctx context.Context, r lead.Term) {
			select {
			case ready <- r:
			case <-ctx.Done():
			}
			<-ctx.Done()
		})
	}()
	stop = func() { cancel(); <-done }
	s.t.Cleanup(stop)
	select {
	case r := <-ready:
		l = newLeader(n, r)
		l.ctx = s.t.Context()
	case <-time.After(10 * time.Second):
		s.t.Fatal("not elected")
	}
	if _, err := l.loadRecords(s.t.Context()); err != nil {
		s.t.Fatal(err)
	}
	l.autoscaler.RestoreCatalog(wire.Catalog{MachineTypes: s.cloud.Builds})
	return l, stop
}

// kill lets nothing of a node reach the state service any more.
func (s *site) kill(n *Service) { s.dead[n.cfg.Outside.State].Store(true) }

// worker makes a worker whose /do is served.
func (s *site) worker(host, zone string, loaned bool) *standin.Worker {
	w := standin.NewWorker(host, "", "b", zone, loaned)
	w.Beats.Endpoint = s.server(w)
	return w
}

// connect lets controllers reach each other.
func (s *site) connect(nodes ...*Service) {
	s.t.Helper()
	for _, n := range nodes {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.t.Fatal(err)
		}
		done := make(chan struct{})
		ctx, cancel := context.WithCancel(s.t.Context())
		go func() { defer close(done); peer.Serve(ctx, ln, n.answerPeer, n.log) }()
		s.t.Cleanup(func() { cancel(); <-done })
		for _, o := range nodes {
			if o != n {
				o.attestationLinks[n.cfg.Node] = peer.NewLink(ln.Addr().String())
				o.relayLinks[n.cfg.Node] = peer.NewLink(ln.Addr().String())
				o.users.Relay = o.relay
			}
		}
	}
}

// termOf makes a node lead for the rest of the test, without loading anything.
func (s *site) termOf(n *Service) lead.Term {
	s.t.Helper()
	ctx, cancel := context.WithCancel(s.t.Context())
	ready, done := make(chan lead.Term, 1), make(chan struct{})
	go func() {
		defer close(done)
		n.elector.Run(ctx, func(ctx context.Context, r lead.Term) { ready <- r; <-ctx.Done() })
	}()
	s.t.Cleanup(func() { cancel(); <-done })
	return <-ready
}

// limited keeps a team to so many cores.
func limited(cores float64) func(f *config.Facts) {
	return func(f *config.Facts) { f.Teams[0].CPUsMax = cores }
}

// join links controllers to each other, as their settings would.
func (s *site) join(nodes ...*Service) {
	s.t.Helper()
	for _, n := range nodes {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(s.t.Context())
		done := make(chan struct{})
		go func() { defer close(done); peer.Serve(ctx, ln, n.answerPeer, n.log) }()
		s.t.Cleanup(func() { cancel(); <-done })
		for _, o := range nodes {
			if o != n {
				o.attestationLinks[n.cfg.Node], o.relayLinks[n.cfg.Node] = peer.NewLink(ln.Addr().String()), peer.NewLink(ln.Addr().String())
			}
		}
	}
	for _, n := range nodes {
		n.users.Relay, n.users.Alone = n.relay, n.isolated
	}
}
