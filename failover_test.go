package cedardoor

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"cedardoor/lead"
	"cedardoor/store"
	"cedardoor/wire"

	"github.com/google/go-cmp/cmp"
)

// A new leader takes placements over and starts nothing twice, even for a
// worker that it can't reach until the lease has run out.
func TestLeaderChange(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
	heartbeat(t, ga, w)
	s.submit(a, jobSpec("j-1", nil))
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
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w := s.worker("n-1", "x", true)
	heartbeat(t, ga, w)
	s.submit(a, jobSpec("j-1", nil))
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

// A controller back within a moment does not wait for its own earlier lease to
// lapse, and nothing that its predecessor left under way counts for it.
func TestControllerBackWithinAMoment(t *testing.T) {
	s := newTestCluster(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	w := s.worker("n-1", "x", true)
	heartbeat(t, l, w)
	before := l.term
	s.submit(n, jobSpec("j-1", nil))
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
	s.disconnect(n)
	s.nodeCount-- // the same node again
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

// Runs or stays known: after refusals, an outage and a change of leaders have
// ended, each accepted job is answered for by every node, and runs.
func TestEveryJobIsAnsweredForAfterTroubles(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w := s.worker("n-1", "x", true)
	heartbeat(t, ga, w)
	uids := []string{"j-1", "j-2", "j-3"}
	s.submit(a, jobSpec("j-1", nil))
	s.resync(ga)
	s.settle(ga)
	s.submit(b, jobSpec("j-2", nil))
	s.state.Refuse("", true)
	for _, n := range []*Service{a, b} {
		code, _, head := s.ask(n, http.MethodPost, wire.PathJobs, jobSpec("j-3", nil))
		if code != http.StatusServiceUnavailable || head.Get("Retry-After") == "" {
			t.Fatalf("submission in an outage: %d, Retry-After %q", code, head.Get("Retry-After"))
		}
	}
	s.state.Refuse("", false)
	stop()
	// The same submission later succeeds, at any node.
	s.submit(b, jobSpec("j-3", nil))
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

// The transaction that takes the lead is carried out and not answered, or late, and
// so is one that raises the token, while another controller reads. Nobody answers a
// worker under a lead that it does not know to have; the token under which one does
// is the one on record and above all that were there before, also the next leader's.
func TestLeadTakenWithoutAnAnswer(t *testing.T) {
	for _, tr := range transactionFaults[1:] {
		t.Run(tr.name, func(t *testing.T) {
			s := newTestCluster(t)
			a, b := s.node(nil), s.node(nil)
			token := func() uint64 {
				var on store.TokenRecord
				s.state.Value(store.KeyToken, &on)
				return on.Token
			}
			tr.set(s.state)
			ctx, cancel := context.WithCancel(t.Context())
			ready, done := make(chan lead.Term, 1), make(chan struct{})
			go func() {
				defer close(done)
				a.elector.Run(ctx, func(ctx context.Context, r lead.Term) { ready <- r; <-ctx.Done() })
			}()
			for s.state.Lost() == 0 && s.state.Late() == 0 {
				runtime.Gosched()
			}
			before := token()
			if code, _, _ := s.ask(b, http.MethodGet, wire.PathJobs+"/j-1", nil); code != http.StatusNotFound {
				t.Errorf("another node answers %d", code)
			}
			// The candidate waits before it tries again.
			if err := s.clock.BlockUntilContext(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
			if _, ok := a.elector.MayAnswerHeartbeats(); ok {
				t.Error("answers workers under a lead that it does not know to have")
			}
			s.clock.Advance(500 * time.Millisecond)
			r := <-ready
			s.state.Deliver() // the first attempt, under a lease that was given up
			var key store.LeadRecord
			if !s.state.Value(store.KeyLead, &key) || key.Node != a.cfg.Node || r.Token <= before || r.Token != token() {
				t.Fatalf("leads under %d, on record are %d, %d before, and %q", r.Token, token(), before, key.Node)
			}
			tr.set(s.state)
			if _, err := a.elector.RaiseToken(t.Context()); (err == nil) != (tr.name == "answer lost") {
				t.Errorf("raise: %v", err)
			}
			if now, ok := a.elector.MayAnswerHeartbeats(); !ok || now != token() {
				t.Errorf("answers under %d, on record is %d", now, token())
			}
			cancel()
			<-done
			before = token()
			l, _ := s.elect(b)
			s.state.Deliver() // the predecessor's raise
			if l.term.Token <= before || l.term.Token != token() {
				t.Errorf("the next leads under %d, on record are %d, and %d before", l.term.Token, token(), before)
			}
		})
	}
}

// A raise of the token gets no answer and is carried out late. Later raises must
// go through all the same: without them no run in doubt is ever ruled out, so that
// what a cancelled task takes counts for ever while its machine reports.
func TestTokenRaisedAfterALateRaise(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	w.KeepNext()
	s.submit(n, jobSpec("j-1", nil))
	s.resync(l)
	l.mu.Lock()
	l.dispatcher.TokenRaised(l.clock.Now()) // no raise yet
	l.mu.Unlock()
	s.settle(l) // the run is held back and in doubt
	if code, _, _ := s.ask(n, http.MethodPost, wire.PathJobs+"/j-1/"+wire.SuffixCancel, nil); code != http.StatusOK {
		t.Fatalf("abort: %d", code)
	}
	s.resync(l)
	before, _ := n.elector.HoldsLease()
	s.state.DelayNext()
	if _, err := n.elector.RaiseToken(t.Context()); err == nil {
		t.Fatal("raised without an answer")
	}
	s.state.Deliver()
	for range 12 {
		s.advance(time.Second)
		heartbeat(t, l, w)
		s.settle(l)
	}
	if now, _ := n.elector.HoldsLease(); now <= before {
		t.Errorf("the token is still %d", now)
	}
	var rec store.TokenRecord
	if now, _ := n.elector.HoldsLease(); !s.state.Value(store.KeyToken, &rec) || rec.Token != now {
		t.Errorf("the leader's token is %d, on record is %d", now, rec.Token)
	}
	l.mu.Lock()
	if used := l.fleet.Machine("n-1").UsedCores; used != 0 {
		t.Errorf("%v cores still count for a cancelled task", used)
	}
	l.mu.Unlock()
	w.Deliver()
	if got := w.Starts(); len(got) != 0 {
		t.Errorf("started %v after the cancel", got)
	}
}

// A machine is up within a second: it reports before its rental is answered or any
// list shows it, and gets work at once. The record of that gets no answer (it is
// carried out late, or at once) and the leader ends. Its successor starts the task
// once, on the machine that it was recorded for or on one that it trusts, and keeps
// the machine though no list shows it.
func TestNewMachineGetsWorkWhileWritesLagAndTheLeaderEnds(t *testing.T) {
	for _, late := range []bool{true, false} {
		for _, pieces := range []int{1, 2} {
			t.Run(fmt.Sprintf("late %t, %d tasks", late, pieces), func(t *testing.T) {
				s := newTestCluster(t)
				a, b := s.node(nil), s.node(nil)
				l, stop := s.elect(a)
				s.submit(a, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks = pieces }))
				s.resync(l)
				w, other := s.worker("n-000200", "x", true), s.worker("n-000201", "y", true)
				heartbeat(t, l, w)
				lost := s.state.Lost()
				if late {
					s.state.DelayNext()
				} else {
					s.state.LoseAnswers(1)
				}
				ctx, end := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); l.pass(ctx) }()
				for s.state.Late() == 0 && s.state.Lost() == lost {
					runtime.Gosched()
				}
				end()
				<-done
				stop()
				if got := w.Starts(); len(got) != 0 {
					t.Fatalf("started before that was known to be recorded: %v", got)
				}
				l, _ = s.elect(b)
				if err := l.readMachineList(t.Context()); err != nil {
					t.Fatal(err)
				}
				deliver := func() {
					before := s.state.Keys("")
					s.state.Deliver()
					if after := s.state.Keys(""); !slices.Equal(before, after) {
						t.Errorf("the earlier leader's late transaction was applied: %v, then %v", before, after)
					}
				}
				if pieces == 2 {
					deliver()
				}
				// The machine that holds nothing comes first: it may get the task only if
				// the record of the first did not come about.
				heartbeat(t, l, other)
				s.settle(l)
				deliver()
				if !late && len(other.Starts()) != 0 {
					t.Errorf("started on another machine than on record: %v", other.Starts())
				}
				for range 3 {
					heartbeat(t, l, w)
					heartbeat(t, l, other)
					s.settle(l)
				}
				l.autoscale(t.Context())
				if got := len(w.Starts()) + len(other.Starts()); got != pieces || len(w.Live())+len(other.Live()) != pieces {
					t.Errorf("starts %v and %v, want %d", w.Starts(), other.Starts(), pieces)
				}
				for range 10 { // longer than three times the list's lag
					s.advance(3 * time.Second)
					heartbeat(t, l, w)
					heartbeat(t, l, other)
				}
				if err := l.readMachineList(t.Context()); err != nil {
					t.Fatal(err)
				}
				if got := s.cloud.Returns(); len(got) != 0 || !s.machineUsable(l, "n-000200") {
					t.Errorf("a machine that no list shows yet is given up: returned %v", got)
				}
			})
		}
	}
}

// Machines with long tasks report to a new leader and do not hear its answers. Each
// answer may have been heard, so the tasks are started nowhere else for as long as
// the sessions may go on, and as soon as the worker's new session proves the end.
func TestMachineThatDoesNotHearTheNewLeader(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	l, stop := s.elect(a)
	w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
	heartbeat(t, l, w)
	s.submit(a, jobSpec("j-1", nil))
	s.resync(l)
	s.settle(l)
	stop()
	l, _ = s.elect(b)
	l.operator.Fleet.Enabled = false // nothing is returned: only the worker itself proves
	w.Unreachable(true)
	for range 10 {
		s.advance(3 * time.Second)
		rep := w.Report()
		l.Heartbeat(&rep) // the answer is lost
		heartbeat(t, l, other)
		s.settle(l)
		if got := other.Starts(); len(got) != 0 {
			t.Fatalf("started elsewhere while it may run: %v", got)
		}
	}
	w.Expire()
	rep := w.Report()
	l.Heartbeat(&rep)
	heartbeat(t, l, other)
	s.settle(l)
	if got := other.Starts(); len(got) != 1 || len(w.Live()) != 0 {
		t.Errorf("after its session ended: %v started", got)
	}
}

// Leaders change ten times in two minutes, also inside an outage of the state
// service, and controllers are back within a moment. Jobs of two and three tasks end
// far apart meanwhile, each task once, and are done when all of them are.
func TestTenLeadersWhileTasksEndFarApart(t *testing.T) {
	s := newTestCluster(t)
	nodes := []*Service{s.node(nil), s.node(nil)}
	l, stop := s.elect(nodes[0])
	w := s.worker("n-1", "x", true)
	heartbeat(t, l, w)
	s.submit(nodes[0], jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks = 2 }))
	s.submit(nodes[0], jobSpec("j-2", func(sp *wire.Spec) { sp.Tasks, sp.Cores = 3, 1 }))
	s.resync(l)
	s.settle(l)
	ends := map[int]string{1: "j-1/0", 3: "j-2/0", 5: "j-2/1", 7: "j-1/1", 9: "j-2/2"}
	last := l.term.Token
	for k := 1; k <= 10; k++ {
		if p := ends[k]; p != "" {
			w.End(p, wire.CauseDone)
			heartbeat(t, l, w)
			if k != 5 { // this result is not recorded when the leader ends
				s.settle(l)
				s.advance(3 * time.Second)
				heartbeat(t, l, w)
				s.settle(l)
			}
		}
		if k%4 == 0 {
			s.state.Refuse("", true)
			s.clock.Advance(9 * time.Second)
			if rep := w.Report(); len(rep.Tasks) == 0 {
				t.Fatal("no tasks")
			}
		}
		stop()
		s.state.Refuse("", false)
		s.clock.Advance(6 * time.Second) // what could not be dropped lapses
		l, stop = s.elect(nodes[k%2])
		if l.term.Token <= last {
			t.Fatalf("token %d after %d", l.term.Token, last)
		}
		last = l.term.Token
		heartbeat(t, l, w)
		s.settle(l)
		want := map[string]string{"j-1": wire.JobQueued, "j-2": wire.JobQueued}
		if k >= 7 {
			want["j-1"] = wire.JobDone
		}
		if k >= 9 {
			want["j-2"] = wire.JobDone
		}
		for uid, state := range want {
			for _, n := range nodes {
				if _, v, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/"+uid, nil); (v.Status == wire.JobDone) != (state == wire.JobDone) || v.Status == "" {
					t.Errorf("leader %d: %s is %q, want %q", k, uid, v.Status, state)
				}
			}
		}
	}
	if got := w.Starts(); len(got) != 5 {
		t.Errorf("starts %v, want each task once", got)
	}
}

// All controllers are away for longer than the leases. The one that is back starts
// nothing on the word of records, until the machines report or cannot have gone on,
// and then everything once.
func TestAllControllersAwayForLongerThanTheLease(t *testing.T) {
	s := newTestCluster(t)
	n := s.node(nil)
	l, stop := s.elect(n)
	w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
	heartbeat(t, l, w)
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks = 2 }))
	s.resync(l)
	s.settle(l)
	stop()
	s.clock.Advance(40 * time.Second)
	s.nodeCount--
	l, _ = s.elect(s.node(nil))
	heartbeat(t, l, other)
	s.settle(l)
	if got := other.Starts(); len(got) != 0 {
		t.Fatalf("started before the machine on record reported: %v", got)
	}
	w.Expire()
	heartbeat(t, l, w)
	heartbeat(t, l, other)
	s.settle(l)
	if got := len(w.Live()) + len(other.Live()); got != 2 || len(w.Starts())+len(other.Starts()) != 4 {
		t.Errorf("%d tasks run, starts %v and %v", got, w.Starts(), other.Starts())
	}
}
