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

// testCluster is a small platform with scripted parts and a fake clock.
type testCluster struct {
	tb           testing.TB
	clock        *clockwork.FakeClock
	state        *standin.State
	cloud        *standin.Cloud
	nodeCount    int
	disconnected map[string]*atomic.Bool // by a node's address of the state service
	firstLeader  *Service                // that led first, where a test needs it
}

var largeMachineType = wire.MachineType{SKU: "b", Cores: 8, RAM: 32, HourlyPrice: 1, SpotPrice: 0.4, BootS: 30, Zones: []string{"x", "y"}}

func newTestCluster(t testing.TB) *testCluster {
	clk := clockwork.NewFakeClock()
	return &testCluster{tb: t, clock: clk, disconnected: map[string]*atomic.Bool{}, state: standin.NewState(clk), cloud: standin.NewCloud(largeMachineType)}
}

func (s *testCluster) serve(h http.Handler) string {
	srv := httptest.NewServer(h)
	s.tb.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// node makes one controller of the site.
func (s *testCluster) node(mod func(facts *config.Facts)) *Service {
	s.nodeCount++
	cfg := &config.Platform{Node: fmt.Sprintf("node-%d", s.nodeCount), ClientListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0"}
	dead := new(atomic.Bool)
	inner := s.state.Handler(cfg.Node)
	cfg.Outside.State = s.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if dead.Load() {
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, r)
	}))
	s.disconnected[cfg.Outside.State] = dead
	cfg.Outside.Cloud = s.serve(s.cloud)
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
		s.tb.Fatal(err)
	}
	return newService(cfg, operator, slog.New(slog.NewTextHandler(io.Discard, nil)), clock.New(s.clock))
}

// elect makes a node lead for the rest of the test, or until stop is called.
func (s *testCluster) elect(node *Service) (leader *leader, stop func()) {
	ctx, cancel := context.WithCancel(s.tb.Context())
	ready := make(chan lead.Term)
	done := make(chan struct{})
	go func() {
		defer close(done)
		node.elector.Run(ctx, func(ctx context.Context, term lead.Term) {
			select {
			case ready <- term:
			case <-ctx.Done():
			}
			<-ctx.Done()
		})
	}()
	stop = func() { cancel(); <-done }
	s.tb.Cleanup(stop)
	select {
	case term := <-ready:
		leader = newLeader(node, term)
		leader.ctx = s.tb.Context()
	case <-time.After(10 * time.Second):
		s.tb.Fatal("not elected")
	}
	if _, err := leader.loadRecords(s.tb.Context()); err != nil {
		s.tb.Fatal(err)
	}
	leader.autoscaler.RestoreCatalog(wire.Catalog{MachineTypes: s.cloud.MachineTypes})
	return leader, stop
}

// disconnect lets nothing of a node reach the state service any more.
func (s *testCluster) disconnect(node *Service) { s.disconnected[node.cfg.Outside.State].Store(true) }

// worker makes a worker whose /do is served.
func (s *testCluster) worker(host, zone string, preemptible bool) *standin.Worker {
	worker := standin.NewWorker(host, "", "b", zone, preemptible)
	worker.Identity.Endpoint = s.serve(worker)
	return worker
}

// connect lets controllers reach each other.
func (s *testCluster) connect(nodes ...*Service) {
	s.tb.Helper()
	for _, node := range nodes {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.tb.Fatal(err)
		}
		done := make(chan struct{})
		ctx, cancel := context.WithCancel(s.tb.Context())
		go func() { defer close(done); peer.Serve(ctx, ln, node.answerPeer, node.log) }()
		s.tb.Cleanup(func() { cancel(); <-done })
		for _, other := range nodes {
			if other != node {
				other.peers.Add(node.cfg.Node, ln.Addr().String())
				other.users.Relay = other.relay
			}
		}
	}
}

// acquireTerm makes a node lead for the rest of the test, without loading anything.
func (s *testCluster) acquireTerm(node *Service) lead.Term {
	s.tb.Helper()
	ctx, cancel := context.WithCancel(s.tb.Context())
	ready, done := make(chan lead.Term, 1), make(chan struct{})
	go func() {
		defer close(done)
		node.elector.Run(ctx, func(ctx context.Context, term lead.Term) { ready <- term; <-ctx.Done() })
	}()
	s.tb.Cleanup(func() { cancel(); <-done })
	return <-ready
}

// withTeamLimit keeps a team to so many cores.
func withTeamLimit(cores float64) func(facts *config.Facts) {
	return func(facts *config.Facts) { facts.Teams[0].CPUsMax = cores }
}

// connectWithIsolation links controllers to each other, as their settings would.
func (s *testCluster) connectWithIsolation(nodes ...*Service) {
	s.tb.Helper()
	for _, node := range nodes {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.tb.Fatal(err)
		}
		ctx, cancel := context.WithCancel(s.tb.Context())
		done := make(chan struct{})
		go func() { defer close(done); peer.Serve(ctx, ln, node.answerPeer, node.log) }()
		s.tb.Cleanup(func() { cancel(); <-done })
		for _, other := range nodes {
			if other != node {
				other.peers.Add(node.cfg.Node, ln.Addr().String())
			}
		}
	}
	for _, node := range nodes {
		node.users.Relay, node.users.Isolated = node.relay, node.isolated
	}
}
