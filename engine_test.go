package cedardoor

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/detector"
	"cedardoor/internal/standin"
	"cedardoor/jobs"
	"cedardoor/lead"
	"cedardoor/peer"
	"cedardoor/store"
	"cedardoor/wire"

	"github.com/go-chi/chi/v5"
	"github.com/google/go-cmp/cmp"
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
	cfg := &config.Platform{Node: fmt.Sprintf("node-%d", s.nodes), ClientListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0"}
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

// advance moves the clock in steps, letting the leader renew its lease at each.
func (s *site) advance(d time.Duration) {
	s.t.Helper()
	for ; d > 0; d -= time.Second {
		s.clk.Advance(min(d, time.Second))
		if err := s.clk.BlockUntilContext(s.t.Context(), 1); err != nil {
			s.t.Fatal(err)
		}
	}
}

// kill lets nothing of a node reach the state service any more.
func (s *site) kill(n *Service) { s.dead[n.cfg.Outside.State].Store(true) }

// worker makes a worker whose /do is served.
func (s *site) worker(host, zone string, loaned bool) *standin.Worker {
	w := standin.NewWorker(host, "", "b", zone, loaned)
	w.Beats.Endpoint = s.server(w)
	return w
}

// users serves a node's users' interface and answers one request.
func (s *site) ask(n *Service, method, path string, body any) (int, wire.JobStatus, http.Header) {
	s.t.Helper()
	r := chi.NewRouter()
	n.users.Routes(r)
	var raw []byte
	switch b := body.(type) {
	case nil:
	case []byte:
		raw = b
	case wire.Spec:
		raw = bodyOf(s.t, b, nil)
	default:
		var err error
		if raw, err = wire.Marshal(b); err != nil {
			s.t.Fatal(err)
		}
	}
	rec := httptest.NewRecorder()
	r.ServeHTTP(rec, httptest.NewRequestWithContext(s.t.Context(), method, path, bytes.NewReader(raw)))
	var v wire.JobStatus
	_ = wire.Unmarshal(rec.Body.Bytes(), &v)
	return rec.Code, v, rec.Header()
}

// alone is a site with one leading node and a worker that has reported.
func alone(t *testing.T) (*site, *Service, *leader, *standin.Worker) {
	t.Helper()
	s := newSite(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	w := s.worker("n-1", "x", true)
	heartbeat(t, l, w)
	return s, n, l, w
}

func spec(uid string, mod func(*wire.Spec)) wire.Spec {
	sp := wire.Spec{UID: uid, Class: "lane", Team: "team", Kind: wire.KindBatch, Priority: "standard", Tasks: 1, Cores: 2, RAM: 4,
		Image: "img", ImageGB: 1, Preemptible: true, ExpectedS: 10}
	if mod != nil {
		mod(&sp)
	}
	return sp
}

// bodyOf is a submission's body, changed by mod.
func bodyOf(t testing.TB, sp wire.Spec, mod func(m map[string]any)) []byte {
	t.Helper()
	raw, err := wire.Marshal(sp)
	if err != nil {
		t.Fatal(err)
	}
	m := map[string]any{}
	if err := wire.Unmarshal(raw, &m); err != nil {
		t.Fatal(err)
	}
	if sp.Zone == "" {
		m["yard"] = nil
	}
	if mod != nil {
		mod(m)
	}
	if raw, err = wire.Marshal(m); err != nil {
		t.Fatal(err)
	}
	return raw
}

func (s *site) submit(n *Service, sp wire.Spec) {
	s.t.Helper()
	if code, _, _ := s.ask(n, http.MethodPost, wire.PathJobs, sp); code != http.StatusCreated {
		s.t.Fatalf("submit %s: status %d", sp.UID, code)
	}
}

// heartbeat lets a worker report to the leader and execute the answer; and once more
// when the leader has yet to see that the worker knows its token.
func heartbeat(t testing.TB, l *leader, w *standin.Worker) {
	t.Helper()
	for range 2 {
		rep := w.Report()
		ans, ok := l.Heartbeat(&rep)
		if !ok {
			t.Fatalf("beat of %s not answered", rep.Machine)
		}
		w.Take(ans)
		l.mu.Lock()
		machine := l.fleet.Machine(rep.Machine)
		trusted := machine == nil || machine.Reported
		l.mu.Unlock()
		if trusted {
			return
		}
	}
}

// settle runs passes until all direct commands have landed and been taken in.
func (s *site) settle(l *leader) {
	s.t.Helper()
	for range 4 {
		l.pass(s.t.Context())
		for i := 0; ; i++ {
			l.mu.Lock()
			n := l.dispatcher.InFlightCount() + l.detector.OpenProbes()
			l.mu.Unlock()
			if n == 0 {
				break
			}
			if i > 100_000 {
				s.t.Fatal("direct commands never landed")
			}
			<-l.wakeups // every landing wakes the loop
		}
	}
}

func (s *site) resync(l *leader) {
	s.t.Helper()
	if _, err := l.resync(s.t.Context(), 0); err != nil {
		s.t.Fatal(err)
	}
}

func TestJobRunsToDone(t *testing.T) {
	s, n, l, w := alone(t)
	s.submit(n, spec("j-1", func(sp *wire.Spec) { sp.Tasks = 2 }))
	s.resync(l)
	s.settle(l)
	if got := w.Live(); !cmp.Equal(got, []string{"j-1/0", "j-1/1"}) {
		t.Fatalf("on the machine: %v", got)
	}
	w.End("j-1/0", wire.CauseDone)
	heartbeat(t, l, w)
	s.settle(l)
	if _, v, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/j-1", nil); v.Status == wire.JobDone {
		t.Fatal("done before all its tasks are")
	}
	w.End("j-1/1", wire.CauseDone)
	heartbeat(t, l, w)
	// Done is told only when it is durable: until the pass records it, it is not.
	if _, v, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/j-1", nil); v.Status == wire.JobDone {
		t.Fatal("done before it was recorded")
	}
	s.settle(l)
	if _, v, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/j-1", nil); v.Status != wire.JobDone || v.Done != 2 {
		t.Fatalf("state %+v, want done", v)
	}
	// The run may come again until the worker has shown a higher token.
	heartbeat(t, l, w)
	heartbeat(t, l, w)
	w.Repeat()
	for range 4 {
		s.advance(10 * time.Second)
		heartbeat(t, l, w)
	}
	s.settle(l)
	for range 3 { // learns the token, shows it, forgets
		heartbeat(t, l, w)
		w.Repeat()
	}
	if rep := w.Report(); len(rep.Tasks) != 0 {
		t.Errorf("not forgotten: %v", rep.Tasks)
	}
	if got := w.Starts(); len(got) != 2 {
		t.Errorf("started %v, want each task once", got)
	}
	if keys := s.state.Keys(store.PrefixAttempts); len(keys) != 0 {
		t.Errorf("records left: %v", keys)
	}
}

func TestResultDurableBeforeForget(t *testing.T) {
	s, n, l, w := alone(t)
	s.submit(n, spec("j-1", func(sp *wire.Spec) { sp.Tasks = 2 }))
	s.resync(l)
	s.settle(l)
	w.End("j-1/0", wire.CauseDone)
	heartbeat(t, l, w)
	heartbeat(t, l, w)
	if rep := w.Report(); len(rep.Tasks) != 2 {
		t.Fatalf("result forgotten before it was recorded: %v", rep.Tasks)
	}
}

// A run sent directly may arrive minutes after it was given up. The task must
// not be started elsewhere, nor its room given away, before that is ruled out.
func TestLateDirectRunAfterCancelOfMachine(t *testing.T) {
	s, n, l, w := alone(t)
	other := s.worker("n-2", "y", true)
	w.KeepNext()
	s.submit(n, spec("j-1", nil))
	s.resync(l)
	s.settle(l) // the run is kept back; the token is raised against it
	heartbeat(t, l, other)
	l.mu.Lock()
	allocation := l.jobs.Get("j-1").Tasks[0].Allocation
	l.stopAttempt(l.jobs.Get("j-1"), allocation, l.clock.Now())
	still := l.jobs.Get("j-1").Tasks[0].Allocation == allocation
	l.mu.Unlock()
	if !still {
		t.Fatal("freed while a run may still arrive")
	}
	s.settle(l)
	if len(other.Starts()) != 0 {
		t.Fatal("started elsewhere while a run may still arrive")
	}
	// The worker reports without having seen the raised token: no proof yet.
	rep := w.Report()
	ans, _ := l.Heartbeat(&rep)
	s.settle(l)
	if len(other.Starts()) != 0 {
		t.Fatal("absence believed before the worker saw a higher token")
	}
	w.Take(ans)
	s.advance(5 * time.Second)
	s.settle(l)
	heartbeat(t, l, w)
	heartbeat(t, l, w)
	heartbeat(t, l, other)
	s.settle(l)
	w.Deliver()
	if got := len(w.Starts()) + len(other.Starts()); got != 1 {
		t.Fatalf("%d starts (%v, %v), want 1", got, w.Starts(), other.Starts())
	}
	if len(w.Live())+len(other.Live()) != 1 {
		t.Fatalf("live on %v and %v", w.Live(), other.Live())
	}
}

// A forget must not go out while a copy of the run may: the worker would start it again.
func TestNoForgetWhileCopyIsOut(t *testing.T) {
	s, n, l, w := alone(t)
	w.KeepNext()
	s.submit(n, spec("j-1", nil))
	s.resync(l)
	s.settle(l)
	rep := w.Report()
	ans, _ := l.Heartbeat(&rep) // carries the run again
	low := ans
	low.Token = 1
	w.Take(low) // as if answered before the token was raised
	w.End("j-1/0", wire.CauseDone)
	rep = w.Report()
	ans, _ = l.Heartbeat(&rep)
	s.settle(l)
	for _, o := range ans.Commands {
		if o.Verb == wire.VerbForget {
			t.Fatal("forget sent while a run was still out")
		}
	}
	w.Deliver()
	if got := w.Starts(); len(got) != 1 {
		t.Fatalf("started %v", got)
	}
	heartbeat(t, l, w)
	heartbeat(t, l, w)
	s.settle(l)
	heartbeat(t, l, w)
	w.Deliver()
	if got := w.Starts(); len(got) != 1 {
		t.Fatalf("started %v", got)
	}
	if rep := w.Report(); len(rep.Tasks) != 0 {
		t.Fatalf("never forgotten: %v", rep.Tasks)
	}
}

// A new leader takes placements over and starts nothing twice, even for a
// worker that it can't reach until the lease has run out.
func TestLeaderChange(t *testing.T) {
	s := newSite(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
	heartbeat(t, ga, w)
	s.submit(a, spec("j-1", nil))
	s.resync(ga)
	s.settle(ga)
	stop()
	gb, _ := s.elect(b)
	if gb.term.Token <= ga.term.Token {
		t.Fatalf("token %d after %d", gb.term.Token, ga.term.Token)
	}
	// The old leader's pass writes nothing any more.
	if rep := w.Report(); func() bool { _, ok := ga.Heartbeat(&rep); return ok }() {
		t.Error("the old leader still answers heartbeats")
	}
	heartbeat(t, gb, other)
	s.settle(gb)
	s.advance(17 * time.Second)
	heartbeat(t, gb, other)
	s.settle(gb)
	if len(other.Starts()) != 0 {
		t.Fatal("moved before the predecessor's lease ran out")
	}
	w.Expire()
	s.advance(6 * time.Second)
	heartbeat(t, gb, other)
	s.settle(gb)
	if got := other.Starts(); len(got) != 1 {
		t.Fatalf("starts after the lease: %v", got)
	}
	heartbeat(t, gb, w)
	if len(w.Live()) != 0 {
		t.Fatal("on two machines")
	}
}

// Two leaders and a worker behind a cut: a late transaction of the old one fails.
func TestOldLeadersLateTransaction(t *testing.T) {
	s := newSite(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w := s.worker("n-1", "x", true)
	heartbeat(t, ga, w)
	s.submit(a, spec("j-1", nil))
	s.resync(ga)
	ga.mu.Lock()
	ga.runPlan(ga.clock.Now())
	wr := ga.buildTransaction()
	ga.mu.Unlock()
	if wr == nil {
		t.Fatal("nothing planned")
	}
	stop()
	gb, _ := s.elect(b)
	if _, err := a.store.Commit(t.Context(), store.Urgent, wr.Txn); err == nil {
		t.Fatal("a deposed leader's transaction was applied")
	}
	heartbeat(t, gb, w)
	s.settle(gb)
	if got := w.Starts(); len(got) != 1 {
		t.Fatalf("starts: %v", got)
	}
}

// A transaction whose answer was lost is settled by its nonce, not done twice.
func TestLostCommitAnswer(t *testing.T) {
	s, n, l, w := alone(t)
	s.submit(n, spec("j-1", nil))
	s.resync(l)
	s.state.LoseAnswers(1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		// The repeat waits on the clock, as does the elector.
		for s.clk.BlockUntilContext(ctx, 2) == nil {
			s.clk.Advance(100 * time.Millisecond)
			if len(w.Starts()) > 0 {
				return
			}
		}
	}()
	s.settle(l)
	cancel()
	if got := w.Starts(); len(got) != 1 {
		t.Fatalf("starts: %v", got)
	}
}

// A cancel accepted elsewhere, unseen by the leader, still keeps it from placing.
func TestCancelWinsOverPlacement(t *testing.T) {
	s := newSite(t)
	a, b := s.node(nil), s.node(nil)
	l, _ := s.elect(a)
	w := s.worker("n-1", "x", true)
	heartbeat(t, l, w)
	s.submit(b, spec("j-1", nil))
	s.resync(l)
	if code, v, _ := s.ask(b, http.MethodPost, wire.PathJobs+"/j-1/abort", nil); code != 200 || v.Status != wire.JobCancelled {
		t.Fatalf("abort: %d %+v", code, v)
	}
	s.settle(l)
	heartbeat(t, l, w)
	s.settle(l)
	if got := w.Starts(); len(got) != 0 {
		t.Fatalf("started after the cancel: %v", got)
	}
	if _, v, _ := s.ask(a, http.MethodGet, wire.PathJobs+"/j-1", nil); v.Status != wire.JobCancelled {
		t.Fatalf("state %+v", v)
	}
}

func TestCancelStopsRunningTasks(t *testing.T) {
	s, n, l, w := alone(t)
	s.submit(n, spec("j-1", nil))
	s.resync(l)
	s.settle(l)
	if code, _, _ := s.ask(n, http.MethodPost, wire.PathJobs+"/j-1/abort", nil); code != 200 {
		t.Fatalf("abort: %d", code)
	}
	s.resync(l)
	s.settle(l)
	if got := w.Live(); len(got) != 0 {
		t.Fatalf("still on the machine: %v", got)
	}
	if keys := s.state.Keys(store.PrefixAttempts); len(keys) != 0 {
		t.Errorf("records left: %v", keys)
	}
}

// The team's limit counts what a predecessor started and may still exist.
func TestTeamLimitAcrossLeaders(t *testing.T) {
	limit := func(f *config.Facts) { f.Teams[0].CPUsMax = 4 }
	s := newSite(t)
	a, b := s.node(limit), s.node(limit)
	ga, stop := s.elect(a)
	w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
	heartbeat(t, ga, w)
	s.submit(a, spec("j-1", func(sp *wire.Spec) { sp.Tasks = 4 }))
	s.resync(ga)
	s.settle(ga)
	if got := w.Live(); len(got) != 2 {
		t.Fatalf("limit of 4 CPUs, tasks of 2: %v", got)
	}
	stop()
	gb, _ := s.elect(b)
	heartbeat(t, gb, other)
	s.settle(gb)
	if got := other.Starts(); len(got) != 0 {
		t.Fatalf("beyond the limit after a change of leaders: %v", got)
	}
}

// The zone cap counts tasks whose machine has not been heard of.
func TestZoneCapWithUnknownMachine(t *testing.T) {
	s := newSite(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w := s.worker("n-1", "x", false)
	heartbeat(t, ga, w)
	s.submit(a, spec("j-1", func(sp *wire.Spec) {
		sp.Kind, sp.Priority, sp.Preemptible, sp.Spread, sp.Tasks = wire.KindService, "critical", false, true, 2
	}))
	s.resync(ga)
	s.settle(ga)
	if got := w.Live(); len(got) != 1 {
		t.Fatalf("at most one of two in a zone: %v", got)
	}
	stop()
	gb, _ := s.elect(b)
	other := s.worker("n-2", "x", false)
	heartbeat(t, gb, other)
	s.settle(gb)
	if got := other.Starts(); len(got) != 0 {
		t.Fatalf("second replica in the zone: %v", got)
	}
}

func TestBeatWithoutHold(t *testing.T) {
	s, n, l, w := alone(t)
	n.attestationLinks["other"] = peer.NewLink("127.0.0.1:1") // nobody attests
	s.state.Refuse(n.cfg.Node, true)
	s.clk.Advance(6 * time.Second)
	rep := w.Report()
	if _, ok := l.Heartbeat(&rep); ok {
		t.Fatal("answered a heartbeat after the lease may have lapsed")
	}
}

func TestAnswersToUsers(t *testing.T) {
	s := newSite(t)
	n := s.node(func(f *config.Facts) { f.Teams = append(f.Teams, config.Team{Name: "small", CPUsMax: 3}) })
	good := spec("j-1", nil)
	s.submit(n, good)
	edit := func(mod func(m map[string]any)) []byte {
		return bodyOf(t, good, func(m map[string]any) { m["uid"] = "j-2"; mod(m) })
	}
	tests := []struct {
		name string
		body []byte
		want int
	}{
		{"known, repeated", edit(func(m map[string]any) { m["uid"] = "j-1" }), 200},
		{"known, repeat malformed", edit(func(m map[string]any) { m["uid"] = "j-1"; m["pieces"] = -4 }), 200},
		{"known, repeat never runs", edit(func(m map[string]any) { m["uid"] = "j-1"; m["owner"] = "nobody" }), 200},
		{"not MessagePack", []byte{0xc1, 0xff}, 400},
		{"not a map", []byte{0x93, 1, 2, 3}, 400},
		{"empty", nil, 400},
		{"missing field", edit(func(m map[string]any) { delete(m, "rank") }), 400},
		{"wrong type", edit(func(m map[string]any) { m["cores"] = "four" }), 400},
		{"negative", edit(func(m map[string]any) { m["ram_gb"] = -1.0 }), 400},
		{"no pieces", edit(func(m map[string]any) { m["pieces"] = 0 }), 400},
		{"half a piece", edit(func(m map[string]any) { m["pieces"] = 1.5 }), 400},
		{"unknown rank", edit(func(m map[string]any) { m["rank"] = "urgent" }), 400},
		{"too large", bytes.Repeat([]byte{0xc0}, wire.MaxBody+1), 400},
		{"unknown team", edit(func(m map[string]any) { m["owner"] = "nobody" }), 422},
		{"fits no type", edit(func(m map[string]any) { m["cores"] = 9.0 }), 422},
		{"type not in the catalogue", edit(func(m map[string]any) { m["builds"] = []string{"zz"} }), 422},
		{"over the limit", edit(func(m map[string]any) {
			m["owner"], m["shape"], m["pieces"] = "small", wire.KindService, 2
		}), 422},
		{"array over the limit only in sum", edit(func(m map[string]any) { m["uid"], m["owner"], m["pieces"] = "j-3", "small", 9 }), 201},
		{"unknown field", edit(func(m map[string]any) { m["uid"], m["new"] = "j-4", []int{1} }), 201},
	}
	for _, tt := range tests {
		if got, _, _ := s.ask(n, http.MethodPost, wire.PathJobs, tt.body); got != tt.want {
			t.Errorf("%s: status %d, want %d", tt.name, got, tt.want)
		}
	}
	for path, want := range map[string]int{"/j-1": 200, "/j-999": 404, "/nonsense": 404} {
		if got, _, _ := s.ask(n, http.MethodGet, wire.PathJobs+path, nil); got != want {
			t.Errorf("GET %s: status %d, want %d", path, got, want)
		}
	}
	if got, _, _ := s.ask(n, http.MethodDelete, wire.PathJobs+"/j-1", nil); got != 405 {
		t.Errorf("wrong method: status %d", got)
	}
	// A store that can't be read is 503 with a time to come back, never 404.
	s.state.Refuse("", true)
	for _, q := range []struct{ method, path string }{{"GET", "/j-999"}, {"GET", "/j-1"}, {"POST", "/j-1/abort"}} {
		got, _, h := s.ask(n, q.method, wire.PathJobs+q.path, nil)
		if got != 503 || h.Get("Retry-After") == "" {
			t.Errorf("%s %s in an outage: status %d, Retry-After %q", q.method, q.path, got, h.Get("Retry-After"))
		}
	}
	if got, _, _ := s.ask(n, http.MethodPost, wire.PathJobs, edit(func(m map[string]any) { m["uid"] = "j-9" })); got != 503 {
		t.Errorf("submit in an outage: status %d", got)
	}
}

// A rental whose answer was lost is repeated under its own name and rents nothing more.
func TestLostRentalAnswer(t *testing.T) {
	s := newSite(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	s.cloud.LoseNext = true
	s.submit(n, spec("j-1", func(sp *wire.Spec) { sp.Preemptible = false }))
	s.resync(l)
	if err := l.readMachineList(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for s.clk.BlockUntilContext(ctx, 2) == nil {
			s.clk.Advance(time.Second)
		}
	}()
	l.autoscale(t.Context())
	cancel()
	asked := s.cloud.Asked()
	if len(asked) != 2 || asked[0].RequestID != asked[1].RequestID || len(s.cloud.Hosts()) != 1 {
		t.Fatalf("asked %v, rented %v", asked, s.cloud.Hosts())
	}
}

func TestWatchTooOldReadsAgain(t *testing.T) {
	s := newSite(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	s.submit(n, spec("j-1", nil))
	s.state.Forget()
	if _, err := n.store.Watch(t.Context(), store.PrefixJob, 1, 0); err != store.ErrCompacted {
		t.Fatalf("error %v, want %v", err, store.ErrCompacted)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); l.watchJobs(ctx, 1) }()
	<-l.wakeups
	cancel()
	<-done
	if l.jobs.Get("j-1") == nil {
		t.Fatal("job missed")
	}
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

// A node that the state service refuses alone serves users through another.
func TestRefusedNodeRelays(t *testing.T) {
	s := newSite(t)
	a, b := s.node(nil), s.node(nil)
	s.connect(a, b)
	s.elect(b)
	s.submit(a, spec("j-1", nil))
	s.state.Refuse(a.cfg.Node, true)
	for range 2 { // the first refusals show that it is not a single one
		s.ask(a, http.MethodGet, wire.PathJobs+"/j-1", nil)
	}
	if code, v, _ := s.ask(a, http.MethodGet, wire.PathJobs+"/j-1", nil); code != 200 || v.UID != "j-1" {
		t.Errorf("query: %d %+v", code, v)
	}
	if code, _, _ := s.ask(a, http.MethodPost, wire.PathJobs, spec("j-2", nil)); code != 201 {
		t.Errorf("submit: %d", code)
	}
	if code, _, _ := s.ask(a, http.MethodGet, wire.PathJobs+"/j-3", nil); code != 404 {
		t.Errorf("unknown job: %d", code)
	}
	if code, v, _ := s.ask(a, http.MethodPost, wire.PathJobs+"/j-1/abort", nil); code != 200 || v.Status != wire.JobCancelled {
		t.Errorf("abort: %d %+v", code, v)
	}
	// In an outage nobody can serve: the answer is 503, at once.
	s.state.Refuse("", true)
	if code, _, h := s.ask(a, http.MethodGet, wire.PathJobs+"/j-2", nil); code != 503 || h.Get("Retry-After") == "" {
		t.Errorf("in an outage: %d %v", code, h)
	}
}

// A leader cut off from every worker makes room for one that may hear them.
func TestDeafLeaderAbdicates(t *testing.T) {
	s := newSite(t)
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
	for s.state.Value(store.KeyLeader, nil) {
		runtime.Gosched()
	}
}

// With many machines, one interval without any heartbeat is proof enough: the sooner
// another leads, the fewer leases run out.
func TestDeafLeaderOfManyAbdicatesSooner(t *testing.T) {
	s := newSite(t)
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
	for s.state.Value(store.KeyLeader, nil) {
		runtime.Gosched()
	}
}

// A new leader counts what a cancelled job's tasks take while they may still exist.
func TestCancelledTasksCountForLimit(t *testing.T) {
	limit := func(f *config.Facts) { f.Teams[0].CPUsMax = 4 }
	s := newSite(t)
	a, b := s.node(limit), s.node(limit)
	ga, stop := s.elect(a)
	w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
	heartbeat(t, ga, w)
	s.submit(a, spec("j-1", func(sp *wire.Spec) { sp.Tasks = 2 }))
	s.resync(ga)
	s.settle(ga)
	stop()
	if code, _, _ := s.ask(b, http.MethodPost, wire.PathJobs+"/j-1/abort", nil); code != 200 {
		t.Fatalf("abort: %d", code)
	}
	s.submit(b, spec("j-2", nil))
	gb, _ := s.elect(b)
	heartbeat(t, gb, other)
	s.settle(gb)
	if got := other.Starts(); len(got) != 0 {
		t.Fatalf("beyond the limit: %v while %v are on another machine", got, w.Live())
	}
	heartbeat(t, gb, w)
	heartbeat(t, gb, w)
	s.settle(gb)
	heartbeat(t, gb, other)
	s.settle(gb)
	if got := len(other.Starts()) + len(w.Live()); got != 1 {
		t.Fatalf("%d tasks after the cancelled ones were gone", got)
	}
}

// A machine that hung before the leaders changed is returned by the new one,
// so that its replica does not wait out a lease with every leader.
func TestHungMachineAcrossLeaders(t *testing.T) {
	s := newSite(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w := s.worker("n-1", "x", false)
	heartbeat(t, ga, w)
	s.submit(a, spec("j-1", func(sp *wire.Spec) { sp.Kind, sp.Priority, sp.Preemptible = wire.KindService, "critical", false }))
	s.resync(ga)
	s.settle(ga)
	stop()
	gb, _ := s.elect(b)
	other := s.worker("n-2", "y", false)
	l := gb
	l.mu.Lock()
	l.fleet.Machine("n-1").Endpoint = "127.0.0.1:1" // nobody answers there
	for i := range 5 {                              // booting machines are not silent ones
		machine := l.fleet.Ensure(fmt.Sprintf("n-9%d", i), l.clock.Now()+8*clock.Second)
		machine.Endpoint, machine.Type, machine.Zone, machine.CloudStatus = "127.0.0.1:1", "b", "x", wire.MachineBooting
	}
	l.mu.Unlock()
	for range 3 {
		s.advance(3 * time.Second)
		heartbeat(t, gb, other)
	}
	for range detector.UnreachableAfterProbes {
		l.detector.RecheckSilent()
		l.probeSilentMachines(t.Context())
		for probing := true; probing; runtime.Gosched() {
			l.mu.Lock()
			machine := l.fleet.Machine("n-1")
			probing = machine != nil && machine.Probing
			l.mu.Unlock()
		}
	}
	l.detector.RecheckSilent()
	l.probeSilentMachines(t.Context())
	for gone := false; !gone; runtime.Gosched() {
		l.mu.Lock()
		gone = l.fleet.Machine("n-1") == nil
		l.mu.Unlock()
	}
	s.settle(gb)
	if got := other.Starts(); len(got) != 1 {
		t.Errorf("replica not replaced: %v", got)
	}
}

// The start of an adopted task was not seen, so its run must not be compared:
// it once made sound machines look slow.
func TestAdoptedRunsAreNotMeasured(t *testing.T) {
	s := newSite(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w := s.worker("n-1", "x", true)
	heartbeat(t, ga, w)
	s.submit(a, spec("j-1", func(sp *wire.Spec) { sp.Tasks = 3 }))
	s.resync(ga)
	s.settle(ga)
	w.End("j-1/0", wire.CauseDone)
	heartbeat(t, ga, w)
	if n := ga.jobs.Get("j-1").RunTimes.Count; n != 1 {
		t.Fatalf("%d runs measured, want the one whose start was seen", n)
	}
	s.settle(ga)
	stop()
	gb, _ := s.elect(b)
	heartbeat(t, gb, w)
	w.End("j-1/1", wire.CauseDone)
	heartbeat(t, gb, w)
	if job := gb.jobs.Get("j-1"); job.Done != 2 || job.RunTimes.Count != 0 {
		t.Errorf("done %d, runs measured %d; want 2 and none", job.Done, job.RunTimes.Count)
	}
}

// With no work at all, the machines that were held for more are given back.
func TestNoWorkGivesMachinesBack(t *testing.T) {
	s, n, l, w := alone(t)
	s.submit(n, spec("j-1", nil))
	s.resync(l)
	s.settle(l)
	l.mu.Lock()
	l.autoscaler.Demand(l.scalingView(l.clock.Now()))
	l.mu.Unlock()
	w.End("j-1/0", wire.CauseDone)
	heartbeat(t, l, w)
	s.settle(l)
	s.advance(20 * time.Second)
	l.mu.Lock()
	held := l.autoscaler.Demand(l.scalingView(l.clock.Now())).Preemptible.Cores
	l.mu.Unlock()
	if held == 0 {
		t.Error("nothing is held right after work was there")
	}
	s.advance(30 * time.Second)
	l.mu.Lock()
	need := l.autoscaler.Demand(l.scalingView(l.clock.Now()))
	l.mu.Unlock()
	if need.Preemptible.Cores != 0 || need.KeepPreemptible != 0 || need.KeepOnDemand != 0 {
		t.Errorf("still held: %+v", need)
	}
}

// A long job whose own deadline is far must not wait for longer than its class may.
func TestSlackFollowsAims(t *testing.T) {
	s := newSite(t)
	n := s.node(func(f *config.Facts) {
		f.Objectives = []config.Objective{{Kind: "finished", Class: "lane", WithinS: 180}, {Kind: "wait", Class: "lane", WithinS: 120},
			{Kind: "wait", Class: "lane", WithinS: 3}}
	})
	l, _ := s.elect(n)
	due := func(d float64) *float64 { return &d }
	for _, tt := range []struct {
		class  string
		due    *float64
		expect float64
		want   clock.Micros
	}{
		{"lane", due(64), 18, 46 * clock.Second},
		{"lane", due(310), 100, 80 * clock.Second},
		{"lane", due(190), 30, 120 * clock.Second},
		{"lane", nil, 30, jobs.UnlimitedSlack},
		{"other", due(310), 100, 210 * clock.Second},
		{"other", nil, 100, jobs.UnlimitedSlack},
	} {
		record := store.JobRecord{Spec: spec("j-1", func(sp *wire.Spec) {
			sp.Priority, sp.Class, sp.DeadlineS, sp.ExpectedS = "standard", tt.class, tt.due, tt.expect
		})}
		job := jobs.New(record, 1, &l.cfg.Facts, 0)
		if got := job.Slack(0); got != tt.want {
			t.Errorf("%s due %v, expected to run %v s: slack %v, want %v", tt.class, tt.due, tt.expect, got, tt.want)
		}
	}
}

// A listing that was read before a job ended may be taken in after it. The job's
// record then says that it is over, and nothing of it is started again.
func TestOldListingStartsNothing(t *testing.T) {
	s, n, l, w := alone(t)
	s.submit(n, spec("j-1", nil))
	s.resync(l)
	sp := spec("j-1", nil)
	over := store.NewFinalRecord(&sp, wire.JobDone, "earlier")
	rec := store.JobRecord{Spec: wire.Spec{UID: "j-1"}, Final: &over}
	if _, err := n.store.Commit(t.Context(), store.Urgent, wire.Txn{Operations: []wire.Operation{{Set: store.JobKey("j-1"), Value: rec}}}); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		s.settle(l)
		heartbeat(t, l, w)
	}
	if got := w.Starts(); len(got) != 0 {
		t.Errorf("started %v of a job that is done", got)
	}
	if l.jobs.Get("j-1") != nil {
		t.Error("the job stays on the leader's books")
	}
	s.status(n, "j-1", wire.JobDone)
}

// A task that comes to wait again before its job's waiting tasks were looked
// through stands among them once: placed twice by one plan, it would leave a
// booking that nothing ever frees.
func TestTaskWaitsOnce(t *testing.T) {
	s, n, l, w := alone(t)
	s.submit(n, spec("j-1", nil))
	s.resync(l)
	l.mu.Lock()
	now := l.clock.Now()
	l.runPlan(now)
	job := l.jobs.Get("j-1")
	l.stopAttempt(job, job.Tasks[0].Allocation, now) // never sent, so it is gone at once
	l.jobs.SetChanged(true)
	l.runPlan(now)
	if got := l.fleet.Machine("n-1").AllocationCount(); got != 1 {
		t.Errorf("%d bookings of one task", got)
	}
	l.mu.Unlock()
	s.settle(l)
	if got := w.Starts(); len(got) != 1 {
		t.Errorf("started %v, want once", got)
	}
}

// A node judges jobs by the machine types of now: an old catalogue will do for a
// moment in which nobody tells it the new one, and no longer.
func TestOldCatalogueAcceptsNothing(t *testing.T) {
	s := newSite(t)
	n := s.node(nil)
	s.submit(n, spec("j-1", nil))
	s.cloud.Trouble = true
	s.clk.Advance(100 * time.Second)
	s.submit(n, spec("j-2", nil))
	s.clk.Advance(30 * time.Second)
	if code, _, head := s.ask(n, http.MethodPost, wire.PathJobs, spec("j-3", nil)); code != http.StatusServiceUnavailable || head.Get("Retry-After") == "" {
		t.Errorf("judged by an old catalogue: %d, Retry-After %q", code, head.Get("Retry-After"))
	}
	// A node that has just started and knows no types at all.
	if code, _, _ := s.ask(s.node(nil), http.MethodPost, wire.PathJobs, spec("j-4", nil)); code != http.StatusServiceUnavailable {
		t.Errorf("judged by no catalogue: %d", code)
	}
	s.cloud.Trouble = false
	small := bigBuild
	small.Cores = 1
	s.cloud.Builds = []wire.MachineType{small}
	if code, _, _ := s.ask(n, http.MethodPost, wire.PathJobs, spec("j-5", nil)); code != http.StatusUnprocessableEntity {
		t.Errorf("a job that fits no machine of now: %d", code)
	}
	if code, _, _ := s.ask(n, http.MethodPost, wire.PathJobs, spec("j-1", nil)); code != http.StatusOK {
		t.Errorf("a known job: %d", code)
	}
}
