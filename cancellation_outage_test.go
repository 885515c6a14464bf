package cedardoor

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"cedardoor/fleet"
	"cedardoor/peer"
	"cedardoor/wire"
)

// dropCancelHints lets no hint of a node's cancels reach the leader: they are hints.
func dropCancelHints(n *Service) { n.users.Cancelled = nil }

// The cancellation gap: the state service refuses the leader alone, another
// controller confirms a cancel, then it is down for all. The leader goes on
// answering heartbeats on the others' word, which must carry the cancel: the task is
// stopped by the answer to a heartbeat, without any hold, and no other is.
func TestAttestationCarriesCancels(t *testing.T) {
	s, nodes, l, w := connectedCluster(t)
	dropCancelHints(nodes[1])
	s.state.Refuse(nodes[0].cfg.Node, true)
	s.cancelJob(nodes[1], "j-1")
	if got := w.Live(); len(got) != 2 {
		t.Fatalf("running %v: the leader can't know yet", got)
	}
	s.state.Refuse("", true)
	s.advance(8 * time.Second) // the lease of the leader may have lapsed
	if _, may := nodes[0].elector.HoldsLease(); may {
		t.Fatal("the leader still has its lease")
	}
	if _, may := nodes[0].elector.MayAnswerHeartbeats(); !may {
		t.Fatal("all attest the outage, and the leader answers no heartbeats")
	}
	heartbeat(t, l, w)
	if got := w.Live(); len(got) != 1 || got[0] != "j-2/0" {
		t.Fatalf("running %v after the attested leader answered, want j-2/0 alone", got)
	}
	// What the leader was told is a hint: after the outage the store is the truth.
	s.state.Refuse(nodes[0].cfg.Node, false)
	s.state.Refuse("", false)
	s.advance(2 * time.Second)
	s.resync(l)
	heartbeat(t, l, w)
	s.settle(l)
	if got := w.Starts(); len(got) != 2 {
		t.Errorf("starts %v, want each job's once", got)
	}
	s.checkStatus(nodes[0], "j-1", wire.JobCancelled)
}

// A controller that can't name every cancel since the leader last knew does not
// attest: it began since, it has forgotten some, or they fit no message. Then
// heartbeats go unanswered when the lease ends, and the leases do the rest.
func TestWhoCannotVouchDoesNotAttest(t *testing.T) {
	tests := map[string]func(s *testCluster, n *Service) *Service{
		"began since": func(s *testCluster, n *Service) *Service {
			s.submit(n, jobSpec("j-7", nil))
			s.nodeCount -= 2 // the same node again
			again := s.node(nil)
			s.nodeCount++
			s.checkStatus(again, "j-7", wire.JobQueued)
			return again
		},
		"never had an answer": func(s *testCluster, _ *Service) *Service { return s.node(nil) },
		"has forgotten": func(s *testCluster, n *Service) *Service {
			s.cancelJob(n, "j-1")
			for i := range 9000 {
				n.users.Cancels.Known(fmt.Sprintf("j-%d", 100+i), 1)
			}
			return n
		},
		"too many for a message": func(_ *testCluster, n *Service) *Service {
			for i := range 2000 {
				n.users.Cancels.Expect(fmt.Sprintf("j-%d", 100+i))
			}
			return n
		},
		"knows a later leader": func(s *testCluster, n *Service) *Service {
			s.disconnect(s.firstLeader)
			s.clock.Advance(6 * time.Second)
			s.elect(n)
			return n
		},
	}
	for name, mod := range tests {
		t.Run(name, func(t *testing.T) {
			s, nodes, l, _ := connectedCluster(t)
			s.firstLeader = nodes[0]
			o := peer.Outage{Asked: true, Lead: l.term.Revision, Epoch: l.syncedRevision()}
			s.state.Refuse("", true)
			if r := nodes[1].answerPeer(t.Context(), peer.Ask{Outage: o}); !r.Word.Attests {
				t.Fatal("does not attest though it can vouch")
			}
			s.state.Refuse("", false)
			if r := nodes[1].answerPeer(t.Context(), peer.Ask{Outage: o}); r.Word.Attests {
				t.Fatal("attests though the state service serves it")
			}
			n := mod(s, nodes[1])
			s.state.Refuse("", true)
			if r := n.answerPeer(t.Context(), peer.Ask{Outage: o}); r.Word.Attests {
				t.Errorf("attests, with cancels %v", r.Word.Cancelled)
			}
			// An old form of the question, or none, is no question at all.
			if r := nodes[2].answerPeer(t.Context(), peer.Ask{}); r.Word.Attests {
				t.Error("attests unasked")
			}
		})
	}
}

// A cancel counts as told whether this node made it, passed it on, read it, or
// does not know yet what became of it.
func TestEveryCancelToldIsRemembered(t *testing.T) {
	s, nodes, l, _ := connectedCluster(t)
	since := l.syncedRevision()
	named := func(n *Service) []string {
		uids, whole := n.users.Cancels.Since(since, n.store.FirstRevision())
		if !whole {
			t.Fatalf("%s can't vouch", n.cfg.Node)
		}
		return uids
	}
	s.cancelJob(nodes[1], "j-1")
	if got := named(nodes[1]); len(got) != 1 || got[0] != "j-1" {
		t.Errorf("made: %v", got)
	}
	s.checkStatus(nodes[2], "j-1", wire.JobCancelled)
	if got := named(nodes[2]); len(got) != 1 || got[0] != "j-1" {
		t.Errorf("read: %v", got)
	}
	s.submit(nodes[1], jobSpec("j-3", nil))
	s.state.Refuse(nodes[0].cfg.Node, true)
	for nodes[0].store.Failing() == false {
		nodes[0].store.Refused(t.Context(), 1_000_000)
	}
	s.cancelJob(nodes[0], "j-3") // passed on
	if got := named(nodes[0]); len(got) != 1 || got[0] != "j-3" || nodes[0].users.Cancels.Epoch("j-3") == 0 {
		t.Errorf("passed on: %v, of epoch %d", got, nodes[0].users.Cancels.Epoch("j-3"))
	}
	// The answer to the change is lost, and it may be done any time.
	s.state.DelayNext()
	if code, _, _ := s.ask(nodes[1], http.MethodPost, wire.PathJobs+"/j-2/abort", nil); code != http.StatusServiceUnavailable {
		t.Fatalf("an abort of unknown outcome: %d", code)
	}
	// j-3 may be there, too: it was asked of both other nodes, and one of them did it.
	if got := named(nodes[1]); !slices.Contains(got, "j-2") {
		t.Errorf("of unknown outcome: %v", got)
	}
}

// A cancel made elsewhere is told to the leader at once, over the link between
// controllers: its task is stopped directly before any change could be read.
// Lost, repeated or untrue, the hint harms nothing.
func TestHintStopsAtOnce(t *testing.T) {
	s, nodes, l, w := connectedCluster(t)
	nodes[1].elector = nodes[0].elector // knows who leads
	s.state.Refuse(nodes[0].cfg.Node, true)
	s.cancelJob(nodes[1], "j-1")
	for len(w.Live()) != 1 {
		runtime.Gosched()
	}
	if got := w.Live(); got[0] != "j-2/0" {
		t.Fatalf("running %v", got)
	}
	s.state.Refuse(nodes[0].cfg.Node, false)
	// Repeated, of a job that is not known, and of one that was not cancelled.
	nodes[0].answerPeer(t.Context(), peer.Ask{Cancelled: []string{"j-1", "j-99", "j-2"}})
	for len(w.Live()) != 0 {
		l.dispatch(t.Context()) // as the loop does when the command before has landed
		runtime.Gosched()
	}
	s.advance(time.Second)
	heartbeat(t, l, w)
	s.settle(l)
	if got := w.Starts(); len(got) != 2 {
		t.Fatalf("started %v before the state service was asked", got)
	}
	s.resync(l)
	heartbeat(t, l, w)
	s.settle(l)
	heartbeat(t, l, w)
	if got := w.Live(); len(got) != 1 || got[0] != "j-2/0" {
		t.Errorf("running %v, want the job that was not cancelled", got)
	}
	s.checkStatus(nodes[2], "j-2", wire.JobQueued)
}

// After a spell in which changes may have been missed, no run goes out before
// they have been read, not even one that was recorded before the spell.
func TestNoRunOnOldKnowledge(t *testing.T) {
	spells := map[string]func(s *testCluster, n *Service, l *leader){
		"refused alone": func(s *testCluster, n *Service, _ *leader) {
			s.state.Refuse(n.cfg.Node, true)
			s.advance(3 * time.Second)
			s.state.Refuse(n.cfg.Node, false)
		},
		"stood still": func(s *testCluster, _ *Service, l *leader) {
			s.clock.Advance(4 * time.Second)
			l.checkPause()
		},
	}
	for name, spell := range spells {
		t.Run(name, func(t *testing.T) {
			s := newTestCluster(t)
			n, other := s.node(nil), s.node(nil)
			l, _ := s.elect(n)
			w := s.worker("n-1", "x", true)
			heartbeat(t, l, w)
			l.checkPause()
			s.submit(n, jobSpec("j-1", nil))
			s.resync(l)
			l.mu.Lock()
			l.runPlan(l.clock.Now())
			write := l.buildTransaction()
			l.mu.Unlock()
			if !l.commit(t.Context(), write) { // recorded, not sent yet
				t.Fatal("not recorded")
			}
			s.cancelJob(other, "j-1")
			spell(s, n, l)
			s.advance(2 * time.Second)
			if _, may := n.elector.HoldsLease(); !may {
				t.Fatal("the lead was lost")
			}
			l.mu.Lock()
			scope := l.commandScope()
			l.mu.Unlock()
			if scope != fleet.NoRuns {
				t.Fatalf("scope %v, want no runs", scope)
			}
			heartbeat(t, l, w)
			l.dispatch(t.Context())
			if got := w.Starts(); len(got) != 0 {
				t.Fatalf("started %v, which was cancelled", got)
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); l.watchJobs(ctx, l.syncedRevision()) }()
			for scope != fleet.AllCommands { // it reads at once, and without waiting
				l.mu.Lock()
				scope = l.commandScope()
				l.mu.Unlock()
				runtime.Gosched()
			}
			cancel()
			<-done
			heartbeat(t, l, w)
			s.settle(l)
			if got := w.Starts(); len(got) != 0 {
				t.Errorf("started %v, which was cancelled", got)
			}
		})
	}
}

// A cancel that the leader knows, of a task whose machine could not be told, stops
// it also when the machine reports only in an outage that all attest.
func TestKnownCancelStopsInAnOutage(t *testing.T) {
	s, nodes, l, w := connectedCluster(t)
	w.Unreachable(true)
	s.cancelJob(nodes[1], "j-1")
	s.resync(l)
	s.settle(l)
	s.state.Refuse("", true)
	s.advance(8 * time.Second)
	if _, may := nodes[0].elector.HoldsLease(); may {
		t.Fatal("the leader still has its lease")
	}
	heartbeat(t, l, w)
	if got := w.Live(); len(got) != 1 || got[0] != "j-2/0" {
		t.Errorf("running %v after the attested leader answered, want j-2/0 alone", got)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if allocation := l.jobs.Get("j-1").Tasks[0].Allocation; allocation == nil || allocation.Ended {
		t.Error("freed without a proof")
	}
}
