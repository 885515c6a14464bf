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
	"cedardoor/detector"
	"cedardoor/internal/standin"
	"cedardoor/peer"
	"cedardoor/store"
	"cedardoor/wire"

	"github.com/google/go-cmp/cmp"
)

func (s *site) usable(l *leader, host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	machine := l.fleet.Machine(host)
	return machine != nil && machine.Usable(l.clock.Now())
}

// deliver hands a report to the leader without the worker learning the answer.
func deliver(t *testing.T, l *leader, rep wire.Heartbeat) wire.HeartbeatResponse {
	t.Helper()
	ans, ok := l.Heartbeat(&rep)
	if !ok {
		t.Fatalf("beat of %s not answered", rep.Machine)
	}
	return ans
}

// A worker tells of a new token at once, but not twice within half a lease.
// Where leaders change faster, it is asked, so that it need not stand idle until
// its next regular report.
func TestWorkerThatKeepsTheTokenToItself(t *testing.T) {
	s := newSite(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	w := s.worker("n-1", "x", true)
	rep := w.Report()
	ans, _ := l.Heartbeat(&rep)
	w.Take(ans)
	s.submit(n, spec("j-1", nil))
	s.resync(l)
	s.settle(l)
	if s.usable(l, "n-1") || len(w.Starts()) != 0 {
		t.Fatal("trusted on a report that may be a copy")
	}
	s.advance(time.Second)
	s.settle(l)
	if !s.usable(l, "n-1") || len(w.Starts()) != 1 {
		t.Errorf("not trusted after its answer to a question; started %v", w.Starts())
	}
}

// A new leader that asks for such proof may be too busy to hear the answers:
// workers that report are not mute for that, and are not returned.
func TestQuestionsLostInASurgeReturnNothing(t *testing.T) {
	const machines = 12
	s, l := adopted(t, machines, 2)
	for tally := uint64(1); tally < 5; tally++ {
		for i := range machines {
			rep := report(i, 2, tally, 0)
			rep.Endpoint = "127.0.0.1:1" // nothing answers there
			if _, ok := l.Heartbeat(rep); !ok {
				t.Fatal("not answered")
			}
		}
		s.advance(time.Second)
		s.settle(l)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.detector.UnconfirmedCount() != 0 || l.detector.UnreachableCount() != 0 {
		t.Errorf("%d workers wait to be probed and %d that report count as unreachable", l.detector.UnconfirmedCount(), l.detector.UnreachableCount())
	}
	if got := s.cloud.Returns(); len(got) != 0 {
		t.Errorf("returned %v", got)
	}
}

// Runs or stays known: after refusals, an outage and a change of leaders have
// ended, each accepted job is answered for by every node, and runs.
func TestEveryJobIsAnsweredForAfterTroubles(t *testing.T) {
	s := newSite(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w := s.worker("n-1", "x", true)
	heartbeat(t, ga, w)
	uids := []string{"j-1", "j-2", "j-3"}
	s.submit(a, spec("j-1", nil))
	s.resync(ga)
	s.settle(ga)
	s.submit(b, spec("j-2", nil))
	s.state.Refuse("", true)
	for _, n := range []*Service{a, b} {
		code, _, head := s.ask(n, http.MethodPost, wire.PathJobs, spec("j-3", nil))
		if code != http.StatusServiceUnavailable || head.Get("Retry-After") == "" {
			t.Fatalf("submission in an outage: %d, Retry-After %q", code, head.Get("Retry-After"))
		}
	}
	s.state.Refuse("", false)
	stop()
	// The same submission later succeeds, at any node.
	s.submit(b, spec("j-3", nil))
	gb, _ := s.elect(b)
	heartbeat(t, gb, w)
	s.resync(gb)
	s.settle(gb)
	for _, n := range []*Service{a, b} {
		for _, uid := range uids {
			if code, v, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/"+uid, nil); code != http.StatusOK || v.UID != uid {
				t.Errorf("%s after all troubles: %d %+v", uid, code, v)
			}
		}
		if code, _, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/j-9", nil); code != http.StatusNotFound {
			t.Errorf("a job that nobody submitted: %d", code)
		}
	}
	if got := w.Live(); !cmp.Equal(got, []string{"j-1/0", "j-2/0", "j-3/0"}) {
		t.Errorf("running: %v", got)
	}
}

// A node answers no poll from what it knew before the poll came: what another
// node has told since must not be taken back.
func TestPollsAreNeverOlderThanAnswersGiven(t *testing.T) {
	s := newSite(t)
	a, b := s.node(nil), s.node(nil)
	s.submit(a, spec("j-1", nil))
	for _, n := range []*Service{a, b} {
		if code, v, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/j-1", nil); code != 200 || v.Status != wire.JobQueued {
			t.Fatalf("%d %+v", code, v)
		}
	}
	if code, _, _ := s.ask(a, http.MethodPost, wire.PathJobs+"/j-1/abort", nil); code != 200 {
		t.Fatalf("abort: %d", code)
	}
	if _, v, _ := s.ask(b, http.MethodGet, wire.PathJobs+"/j-1", nil); v.Status != wire.JobCancelled {
		t.Errorf("the other node still says %q", v.Status)
	}
	s.submit(b, spec("j-2", nil))
	s.state.Forget() // the history of changes is gone: all is read again
	if code, v, _ := s.ask(a, http.MethodGet, wire.PathJobs+"/j-2", nil); code != 200 || v.Status != wire.JobQueued {
		t.Errorf("after the history was gone: %d %+v", code, v)
	}
}

// A deaf machine reports on while nothing told to it takes effect. It gets no
// more work, its task is settled by the cloud's word, and it is gone.
func TestDeafMachineIsReturned(t *testing.T) {
	s, n, l, w := alone(t)
	for i := range 4 { // others that hear, so that the fault is not the leader's
		heartbeat(t, l, s.worker(fmt.Sprintf("n-9%d", i), "z", false))
	}
	other := s.worker("n-2", "y", true)
	w.Unreachable(true)
	s.submit(n, spec("j-1", nil))
	s.resync(l)
	s.settle(l)
	for range 4 {
		s.advance(3 * time.Second)
		deliver(t, l, w.Report()) // its answer is lost
		s.settle(l)
	}
	if s.usable(l, "n-1") {
		t.Fatal("still given work")
	}
	heartbeat(t, l, other)
	if len(other.Starts()) != 0 {
		t.Fatal("its task was started elsewhere without proof")
	}
	for known := true; known; {
		l.detector.RecheckSilent()
		l.probeSilentMachines(t.Context())
		l.mu.Lock()
		known = l.fleet.Machine("n-1") != nil
		l.mu.Unlock()
	}
	// Whatever still comes from it is an old copy and brings nothing back.
	deliver(t, l, w.Report())
	l.mu.Lock()
	back := l.fleet.Machine("n-1") != nil
	l.mu.Unlock()
	if back {
		t.Error("a returned machine came back with a late report")
	}
	s.settle(l)
	if got := other.Starts(); len(got) != 1 {
		t.Errorf("its task was not started elsewhere: %v", got)
	}
}

// A machine that hears again is trusted again.
func TestDeafMachineHearsAgain(t *testing.T) {
	s, n, l, w := alone(t)
	l.operator.Fleet.Enabled = false // nothing is returned
	w.Unreachable(true)
	s.submit(n, spec("j-1", nil))
	s.resync(l)
	s.settle(l)
	for range 4 {
		s.advance(3 * time.Second)
		deliver(t, l, w.Report())
		s.settle(l)
	}
	if s.usable(l, "n-1") && l.fleet.Machine("n-1").QuarantineReason == "" {
		t.Fatal("not banned")
	}
	w.Unreachable(false)
	heartbeat(t, l, w)
	heartbeat(t, l, w)
	s.settle(l)
	if !s.usable(l, "n-1") || l.fleet.Machine("n-1").QuarantineReason != "" || len(w.Starts()) != 1 {
		t.Errorf("banned %q after it heard again, starts %v", l.fleet.Machine("n-1").QuarantineReason, w.Starts())
	}
}

// When none hears, the fault is this leader's: another may be heard.
func TestLeaderThatNobodyHearsAbdicates(t *testing.T) {
	s := newSite(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	var all []*standin.Worker
	for i := range 4 {
		w := s.worker("n-"+string(rune('1'+i)), "x", true)
		heartbeat(t, l, w)
		w.Unreachable(true)
		all = append(all, w)
	}
	s.submit(n, spec("j-1", func(sp *wire.Spec) { sp.Tasks, sp.Cores = 4, 8 }))
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
	for s.state.Value(store.KeyLeader, nil) {
		runtime.Gosched()
	}
	if len(s.cloud.Asked()) != 0 && len(s.cloud.Hosts()) == 0 {
		t.Error("machines were returned for the leader's own fault")
	}
}

// A copy of an old report that reaches a new leader first proves nothing, does
// not make the machine trusted, and moves nothing.
func TestLateCopyReachesNewLeaderFirst(t *testing.T) {
	s := newSite(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
	heartbeat(t, ga, w)
	old := w.Report() // shows nothing yet
	s.submit(a, spec("j-1", nil))
	s.resync(ga)
	s.settle(ga)
	stop()
	gb, _ := s.elect(b)
	deliver(t, gb, old)
	deliver(t, gb, old)
	if s.usable(gb, "n-1") {
		t.Fatal("trusted on a copy from before the term")
	}
	heartbeat(t, gb, other)
	s.settle(gb)
	if len(other.Starts()) != 0 {
		t.Fatalf("started elsewhere on the word of a late copy: %v", other.Starts())
	}
	heartbeat(t, gb, w)
	s.settle(gb)
	deliver(t, gb, old)
	s.settle(gb)
	if len(w.Starts())+len(other.Starts()) != 1 {
		t.Errorf("starts %v and %v", w.Starts(), other.Starts())
	}
}

// A result in a late copy that the record does not know is nobody's: only the
// attempt on record can end the task.
func TestLateCopyBringsNoResult(t *testing.T) {
	s, n, l, w := alone(t)
	s.submit(n, spec("j-1", nil))
	s.resync(l)
	s.settle(l)
	copied := w.Report()
	copied.Tasks = []wire.TaskReport{{Task: "j-1/0", Attempt: 7, Status: wire.TaskEnded, Cause: wire.CauseDone}}
	deliver(t, l, copied)
	s.settle(l)
	if _, v, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/j-1", nil); v.Status == wire.JobDone {
		t.Error("done by an attempt that was never made")
	}
}

// A machine that was silent is not given work on the word of one report, which
// may have been held back all the while; its answer to a question is of now.
func TestSilentMachineMustAnswer(t *testing.T) {
	s, n, l, w := alone(t)
	held := w.Report()
	s.advance(8 * time.Second)
	w.Unreachable(true)
	deliver(t, l, held)
	s.submit(n, spec("j-1", nil))
	s.resync(l)
	s.settle(l)
	if s.usable(l, "n-1") || len(w.Starts()) != 0 {
		t.Fatal("revived by a late copy")
	}
	w.Unreachable(false)
	heartbeat(t, l, w)
	s.settle(l)
	heartbeat(t, l, w)
	s.settle(l)
	if !s.usable(l, "n-1") || len(w.Starts()) != 1 {
		t.Errorf("not trusted after it answered; starts %v", w.Starts())
	}
}

// A worker that is back within a moment as a new process counts from the start
// again. It is not ignored, and its predecessor's task starts once more, once.
func TestMachineBackAsNewProcess(t *testing.T) {
	s, n, l, w := alone(t)
	s.submit(n, spec("j-1", nil))
	s.resync(l)
	s.settle(l)
	for range 5 {
		heartbeat(t, l, w)
	}
	w.Restart()
	for range 3 {
		s.advance(time.Second)
		rep := w.Report()
		w.Take(deliver(t, l, rep))
		s.settle(l)
	}
	if got := w.Live(); !cmp.Equal(got, []string{"j-1/0"}) || len(w.Starts()) != 2 {
		t.Errorf("on the machine %v, starts %v", got, w.Starts())
	}
	if !s.usable(l, "n-1") {
		t.Error("the new process is ignored")
	}
}

// A controller back within a moment does not wait for its own earlier lease to
// lapse, and nothing that its predecessor left under way counts for it.
func TestControllerBackWithinAMoment(t *testing.T) {
	s := newSite(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	w := s.worker("n-1", "x", true)
	heartbeat(t, l, w)
	before := l.term
	s.submit(n, spec("j-1", nil))
	s.resync(l)
	s.state.DelayNext() // the old process's record of a placement arrives late
	ctx, cancel := context.WithCancel(t.Context())
	go func() { // until it is killed, it goes on trying
		for s.state.Late() == 0 {
			runtime.Gosched()
		}
		cancel()
	}()
	l.pass(ctx)
	s.kill(n)
	s.nodes-- // the same node again
	again := s.node(nil)
	ga, _ := s.elect(again) // the clock stands still: no lease lapses
	if ga.term.Token <= before.Token {
		t.Fatalf("token %d after %d", ga.term.Token, before.Token)
	}
	s.state.Deliver()
	if got := s.state.Keys(store.PrefixAttempts); len(got) != 0 {
		t.Errorf("the earlier process's late record was written: %v", got)
	}
	heartbeat(t, ga, w)
	s.settle(ga)
	if got := w.Starts(); len(got) != 1 {
		t.Errorf("starts %v, want one", got)
	}
}

// Without the state service and the other controllers, a leader stops answering
// heartbeats before anybody else can act, sends no steward, tells users nothing and
// is not healthy.
func TestCutOffWithItsWorkers(t *testing.T) {
	s := newSite(t)
	n := s.node(nil)
	n.attestationLinks["other"], n.relayLinks["other"] = peer.NewLink("127.0.0.1:1"), peer.NewLink("127.0.0.1:1")
	n.users.Relay, n.users.Isolated = n.relay, n.isolated
	l, _ := s.elect(n)
	n.current.Store(l)
	w := s.worker("n-1", "x", true)
	heartbeat(t, l, w)
	s.submit(n, spec("j-1", nil))
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
	s := newSite(t)
	a, b := s.node(nil), s.node(nil)
	s.elect(a)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go b.elector.Run(ctx, b.serveTerm)
	for b.Leader() != a.cfg.Node {
		runtime.Gosched()
	}
	defer s.state.Stall()() // from here on the store says nothing at all
	s.clk.Advance(6 * time.Second)
	if got := b.Leader(); got != "" {
		t.Errorf("still sends workers to %q", got)
	}
}

// A job that waits long begins although work of higher priority keeps coming: its
// first task goes first, and room is kept for it.
func TestLargeJobBeginsUnderLastingOverload(t *testing.T) {
	s, n, l, w := alone(t) // 8 cores
	uid := 100
	next := func() string {
		uid++
		return "j-" + string(rune('0'+uid/100)) + string(rune('0'+uid/10%10)) + string(rune('0'+uid%10))
	}
	small := func() {
		s.submit(n, spec(next(), func(sp *wire.Spec) { sp.Priority, sp.Tasks, sp.Cores, sp.Team = "high", 1, 4, "team" }))
	}
	for range 6 {
		small()
	}
	s.resync(l)
	s.settle(l)
	s.submit(n, spec("j-1", func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.RAM = 3, 8, 20 }))
	s.resync(l)
	began := 0
	for at := 0; at < 240; at += 4 {
		s.advance(4 * time.Second)
		// One of the two small tasks ends each time, and another job comes.
		if live := w.Live(); len(live) > 0 {
			if live[0][:4] == "j-1/" {
				began = at
				break
			}
			w.End(live[0], wire.CauseDone)
			small()
		}
		heartbeat(t, l, w)
		s.resync(l)
		s.settle(l)
		heartbeat(t, l, w)
		s.settle(l)
	}
	if began == 0 {
		t.Error("the large job did not begin within four minutes")
	}
}

// silence lets machines with a replica each fall silent while others report,
// and asks them until they count as mute.
func (s *site) silence(l *leader, n *Service, zones []string, others int) {
	s.t.Helper()
	var hung []*standin.Worker
	for i, z := range zones {
		w := s.worker(fmt.Sprintf("n-1%d", i), z, false)
		heartbeat(s.t, l, w)
		hung = append(hung, w)
	}
	s.submit(n, spec("j-1", func(sp *wire.Spec) {
		sp.Kind, sp.Priority, sp.Preemptible, sp.Tasks = wire.KindService, "critical", false, len(zones)
	}))
	s.resync(l)
	s.settle(l)
	for _, w := range hung {
		heartbeat(s.t, l, w)
		w.Unreachable(true)
	}
	var rest []*standin.Worker
	for i := range others {
		rest = append(rest, s.worker(fmt.Sprintf("n-2%02d", i), "y", true))
	}
	for range 2 {
		for _, w := range rest {
			heartbeat(s.t, l, w)
		}
		s.advance(3 * time.Second)
	}
	for _, w := range rest {
		heartbeat(s.t, l, w)
	}
	for range detector.UnreachableAfterProbes {
		l.detector.RecheckSilent()
		l.probeSilentMachines(s.t.Context())
		s.settle(l)
	}
	l.detector.RecheckSilent()
	l.probeSilentMachines(s.t.Context())
}

// Silent machines with replicas are returned together, in one request.
func TestSilentMachinesGoInOneRequest(t *testing.T) {
	s := newSite(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	s.silence(l, n, []string{"y", "y"}, 12)
	for len(s.cloud.Returns()) == 0 {
		runtime.Gosched()
	}
	if got := s.cloud.Returns(); len(got) != 1 || !cmp.Equal(got[0], []string{"n-10", "n-11"}) {
		t.Errorf("returned %v", got)
	}
}

// A zone that falls silent as a whole is cut off: its replicas run on until
// their leases end, so it is replaced, but not returned.
func TestCutZoneIsWaitedFor(t *testing.T) {
	s := newSite(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	s.silence(l, n, []string{"x", "x", "x"}, 18)
	if got := s.cloud.Returns(); len(got) != 0 {
		t.Errorf("returned %v", got)
	}
	l.mu.Lock()
	muted := l.detector.UnreachableCount()
	l.mu.Unlock()
	if muted != 3 {
		t.Errorf("%d machines unreachable, want 3", muted)
	}
}

// What is written follows the records touched, not the tasks: results wait for
// each other, and placements of a job go in one change.
func TestPutsFollowRecords(t *testing.T) {
	puts := func(tasks int) (placed, ended int) {
		s, n, l, w := alone(t)
		s.submit(n, spec("j-1", func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.RAM = tasks, 0.05, 0.1 }))
		s.resync(l)
		before := s.state.Puts()
		s.settle(l)
		placed = s.state.Puts() - before
		if len(w.Live()) != tasks {
			t.Fatalf("%d of %d tasks run", len(w.Live()), tasks)
		}
		before = s.state.Puts()
		for i := range tasks - 1 {
			w.End(fmt.Sprintf("j-1/%d", i), wire.CauseDone)
			heartbeat(t, l, w)
			s.settle(l)
		}
		s.advance(3 * time.Second)
		heartbeat(t, l, w)
		s.settle(l)
		return placed, s.state.Puts() - before
	}
	fewPlaced, fewEnded := puts(6)
	manyPlaced, manyEnded := puts(110)
	if fewPlaced != manyPlaced || fewEnded != manyEnded {
		t.Errorf("6 tasks take %d and %d changes, 110 take %d and %d", fewPlaced, fewEnded, manyPlaced, manyEnded)
	}
}
