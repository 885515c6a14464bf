package cedardoor

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"cedardoor/agent"
	"cedardoor/config"
	"cedardoor/detector"
	"cedardoor/internal/standin"
	"cedardoor/peer"
	"cedardoor/store"
	"cedardoor/wire"
)

// A leader that renews its lease but can't read the changes of jobs gives the
// lead up while its successor can still stop in time what was cancelled.
func TestBlindLeaderGivesUp(t *testing.T) {
	s, n, l, _ := clusterWithWorker(t)
	limit := l.maxUnsynced().Duration()
	live := func(d time.Duration) {
		for ; d > 0; d -= time.Second {
			s.advance(time.Second)
			l.checkPause()
		}
	}
	live(limit)
	if _, may := n.elector.HoldsLease(); !may {
		t.Fatal("gave up too early")
	}
	live(2 * time.Second)
	for s.state.Value(store.KeyLead, nil) {
		runtime.Gosched()
	}
	w := l.cfg.Facts.Workers
	if at := limit.Seconds() + w.LeaseS + l.operator.Lead.TTLs; at >= w.CancelS {
		t.Errorf("gives up %v s after it last knew, too late for a lease before %v s", limit, w.CancelS)
	}
}

// Settings under which a cut leader's tasks outlast cancel_s are refused.
func TestSettingsKeepCancelsInTime(t *testing.T) {
	operator, err := config.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	p := &config.Platform{Area: "x", Facts: config.Facts{Zones: []string{"x"}, Workers: config.Workers{ReportS: 3, LeaseS: 18, CancelS: 23}}}
	if err := p.Suits(operator); err == nil {
		t.Error("accepted")
	}
	p.Facts.Workers.CancelS = 25
	if err := p.Suits(operator); err != nil {
		t.Error(err)
	}
	if got := len(p.Tight(operator)); got == 0 {
		t.Error("not named as tight")
	}
	p.Facts.Workers.CancelS = 43
	if err := p.Suits(operator); err != nil {
		t.Error(err)
	}
}

// A leader cut off from every worker makes room for one that may hear them.
func TestDeafLeaderAbdicates(t *testing.T) {
	s := newTestCluster(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	heartbeat(t, l, s.worker("n-1", "x", true))
	heartbeat(t, l, s.worker("n-2", "y", true))
	s.advance(9 * time.Second)
	l.resignIfIsolated(t.Context())
	if _, ok := n.elector.MayAnswerHeartbeats(); !ok {
		t.Fatal("gave up after a pause")
	}
	s.advance(2 * time.Second)
	l.resignIfIsolated(t.Context())
	// The lease is dropped: the key goes.
	for s.state.Value(store.KeyLead, nil) {
		runtime.Gosched()
	}
}

// With many machines, one interval without any heartbeat is proof enough: the sooner
// another leads, the fewer leases run out.
func TestDeafLeaderOfManyAbdicatesSooner(t *testing.T) {
	s := newTestCluster(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	s.advance(time.Second)
	for i := range detector.ReliableReporters {
		heartbeat(t, l, s.worker(fmt.Sprintf("n-%d", i), "x", true))
	}
	s.advance(5 * time.Second)
	l.resignIfIsolated(t.Context())
	if _, ok := n.elector.MayAnswerHeartbeats(); !ok {
		t.Fatal("gave up within the time in which a worker may report")
	}
	s.advance(time.Second)
	l.resignIfIsolated(t.Context())
	for s.state.Value(store.KeyLead, nil) {
		runtime.Gosched()
	}
}

func TestBeatWithoutHold(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	n.attestationLinks["other"] = peer.NewLink("127.0.0.1:1") // nobody attests
	s.state.Refuse(n.cfg.Node, true)
	s.clock.Advance(6 * time.Second)
	rep := w.Report()
	if _, ok := l.Heartbeat(&rep); ok {
		t.Fatal("answered a heartbeat after the lease may have lapsed")
	}
}

// When none hears, the fault is this leader's: another may be heard.
func TestLeaderThatNobodyHearsAbdicates(t *testing.T) {
	s := newTestCluster(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	var all []*standin.Worker
	for i := range 4 {
		w := s.worker("n-"+string(rune('1'+i)), "x", true)
		heartbeat(t, l, w)
		w.Unreachable(true)
		all = append(all, w)
	}
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks, sp.Cores = 4, 8 }))
	s.resync(l)
	for range 6 {
		s.settle(l)
		s.advance(2 * time.Second)
		for _, w := range all {
			rep := w.Report()
			l.Heartbeat(&rep) // the answer is lost
		}
	}
	l.pass(t.Context())
	for s.state.Value(store.KeyLead, nil) {
		runtime.Gosched()
	}
	if len(s.cloud.Asked()) != 0 && len(s.cloud.Hosts()) == 0 {
		t.Error("machines were returned for the leader's own fault")
	}
}

// Without the state service and the other controllers, a leader stops answering
// heartbeats before anybody else can act, sends no steward, tells users nothing and
// is not healthy.
func TestCutOffWithItsWorkers(t *testing.T) {
	s := newTestCluster(t)
	n := s.node(nil)
	n.attestationLinks["other"], n.relayLinks["other"] = peer.NewLink("127.0.0.1:1"), peer.NewLink("127.0.0.1:1")
	n.users.Relay, n.users.Alone = n.relay, n.isolated
	l, _ := s.elect(n)
	n.current.Store(l)
	w := s.worker("n-1", "x", true)
	heartbeat(t, l, w)
	s.submit(n, jobSpec("j-1", nil))
	s.state.Refuse(n.cfg.Node, true)
	s.advance(5 * time.Second)
	rep := w.Report()
	rec := httptest.NewRecorder()
	raw, err := wire.Marshal(rep)
	if err != nil {
		t.Fatal(err)
	}
	agent.ServeHeartbeat(n, func() bool { return false })(rec, httptest.NewRequest(http.MethodPost, wire.PathHeartbeat, bytes.NewReader(raw)))
	if rec.Code != http.StatusServiceUnavailable {
		t.Errorf("beat: %d %s", rec.Code, rec.Body)
	}
	s.settle(l)
	if len(w.Starts()) != 0 {
		t.Error("ordered something")
	}
	for _, path := range []string{"/j-1", "/j-2"} {
		code, _, head := s.ask(n, http.MethodGet, wire.PathJobs+path, nil)
		if code != http.StatusServiceUnavailable || head.Get("Retry-After") == "" {
			t.Errorf("poll %s: %d, Retry-After %q", path, code, head.Get("Retry-After"))
		}
	}
	if code, _, _ := s.ask(n, http.MethodGet, wire.PathHealth, nil); code == http.StatusOK {
		t.Error("healthy though it can serve nobody")
	}
}

// A node that was not told for a while who leads sends workers nowhere.
func TestStewardIsForgotten(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	s.elect(a)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go b.elector.Run(ctx, b.serveTerm)
	for b.Leader() != a.cfg.Node {
		runtime.Gosched()
	}
	defer s.state.Stall()() // from here on the store says nothing at all
	s.clock.Advance(6 * time.Second)
	if got := b.Leader(); got != "" {
		t.Errorf("still sends workers to %q", got)
	}
}
