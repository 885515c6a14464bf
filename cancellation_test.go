package cedardoor

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/peer"
	"cedardoor/store"
	"cedardoor/wire"
)

// A cancel accepted elsewhere, unseen by the leader, still keeps it from placing.
func TestCancelWinsOverPlacement(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	l, _ := s.elect(a)
	w := s.worker("n-1", "x", true)
	heartbeat(t, l, w)
	s.submit(b, jobSpec("j-1", nil))
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
	s, n, l, w := clusterWithWorker(t)
	s.submit(n, jobSpec("j-1", nil))
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

// Several users' requests meet while the state service is slow: one submits, others
// repeat it at other nodes and cancel at once. Whoever is told that the job is
// cancelled is told nothing else from then on, and it never runs.
func TestCancelledAtOnceWhileAnswersAreSlow(t *testing.T) {
	s := newTestCluster(t)
	nodes := []*Service{s.node(nil), s.node(nil), s.node(nil)}
	l, _ := s.elect(nodes[0])
	w := s.worker("n-1", "x", true)
	heartbeat(t, l, w)
	for k := range 8 {
		uid := fmt.Sprintf("j-%d", k)
		release := s.state.Stall()
		var wg sync.WaitGroup
		for _, n := range nodes {
			wg.Go(func() { s.ask(n, http.MethodPost, wire.PathJobs, jobSpec(uid, nil)) })
			wg.Go(func() {
				code, v, _ := s.ask(n, http.MethodPost, wire.PathJobs+"/"+uid+"/"+wire.SuffixCancel, nil)
				if code == http.StatusOK && v.Status == wire.JobCancelled {
					s.checkAnswers("told to be cancelled", s.askEverywhere(nodes, uid, true), wire.JobCancelled, "503")
				} else if code != http.StatusNotFound {
					t.Errorf("abort: %d %+v", code, v)
				}
			})
		}
		for range 20 {
			runtime.Gosched()
		}
		release()
		wg.Wait()
		if _, v, _ := s.ask(nodes[k%3], http.MethodPost, wire.PathJobs+"/"+uid+"/"+wire.SuffixCancel, nil); v.Status != wire.JobCancelled {
			t.Fatalf("abort: %+v", v)
		}
		s.checkAnswers("cancelled", s.askEverywhere(nodes, uid, true), wire.JobCancelled)
	}
	s.resync(l)
	s.settle(l)
	if got := w.Starts(); len(got) != 0 {
		t.Errorf("started %v", got)
	}
}

// A cancel meets the end of a job's last task: whichever is recorded first is what
// every node says from then on, and the other comes to nothing.
func TestCancelMeetsTheEndOfTheLastTask(t *testing.T) {
	for _, pieces := range []int{1, 2} {
		for _, first := range []string{"cancel", "end", "end between the cancel's reading and writing"} {
			s := newTestCluster(t)
			nodes := []*Service{s.node(nil), s.node(nil)}
			l, _ := s.elect(nodes[0])
			w := s.worker("n-1", "x", true)
			heartbeat(t, l, w)
			s.submit(nodes[1], jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks = pieces }))
			s.resync(l)
			s.settle(l)
			for _, p := range w.Live() {
				w.End(p, wire.CauseDone)
			}
			heartbeat(t, l, w)
			l.mu.Lock()
			wr := l.buildTransaction() // about to be recorded
			l.mu.Unlock()
			if wr == nil || len(wr.Finished()) != 1 {
				t.Fatal("the end is not to be recorded")
			}
			want, other := wire.JobCancelled, wire.JobDone
			if first != "cancel" {
				want, other = other, want
			}
			switch first {
			case "end":
				l.commit(t.Context(), wr)
			case "cancel":
			default:
				once := false
				s.state.Before(func(path string) {
					if path == wire.PathCommit && !once {
						once = true
						l.commit(t.Context(), wr)
					}
				})
			}
			if _, v, _ := s.ask(nodes[1], http.MethodPost, wire.PathJobs+"/j-1/"+wire.SuffixCancel, nil); v.Status != want {
				t.Errorf("%s first: the cancel is answered %q", first, v.Status)
			}
			if first == "cancel" {
				l.commit(t.Context(), wr)
			}
			s.checkAnswers(first+" first", s.askEverywhere(nodes, "j-1", true), want)
			s.resync(l)
			s.settle(l)
			s.checkAnswers(first+" first, not "+other, s.askEverywhere(append(nodes, s.node(nil)), "j-1", true), want)
			if left := append(s.state.Keys(store.PrefixAttempts), s.state.Keys(store.PrefixJob)...); len(left) != 0 {
				t.Errorf("%s first: left %v", first, left)
			}
		}
	}
}

// A job is cancelled in the seconds in which one controller's work changes hands:
// before the successor reads the records, after any of its reads, or between those
// and its first watch. Its task is stopped in each case, its room is free after that
// and not before, and what else the successor found goes on.
func TestCancelWhileWorkChangesHands(t *testing.T) {
	for _, pieces := range []int{1, 2} {
		for _, moment := range []string{"before", "starts=j", "starts=p", "starts=s", "catalog", "demand", "watch"} {
			t.Run(fmt.Sprintf("%d tasks, %s", pieces, moment), func(t *testing.T) {
				s := newTestCluster(t)
				a, b, c := s.node(withTeamLimit(8)), s.node(withTeamLimit(8)), s.node(withTeamLimit(8))
				l, stop := s.elect(a)
				w := s.worker("n-1", "x", true)
				heartbeat(t, l, w)
				for _, uid := range []string{"j-1", "j-2"} {
					s.submit(a, jobSpec(uid, func(sp *wire.Spec) { sp.Tasks, sp.Cores = pieces, 4/float64(pieces) }))
				}
				s.submit(a, jobSpec("j-3", func(sp *wire.Spec) { sp.Cores = 4 }))
				s.resync(l)
				s.settle(l)
				stop()
				cancelled := false
				cancel := func() {
					if code, v, _ := s.ask(c, http.MethodPost, wire.PathJobs+"/j-2/"+wire.SuffixCancel, nil); code != http.StatusOK || v.Status != wire.JobCancelled {
						t.Errorf("abort: %d %+v", code, v)
					}
					cancelled = true
				}
				if moment == "before" {
					cancel()
				} else {
					s.state.Before(func(path string) {
						// Just before this read of the load is carried out.
						if !cancelled && strings.Contains(path, moment) {
							cancel()
						}
					})
				}
				ctx, end := context.WithCancel(t.Context())
				r := s.acquireTerm(b)
				l = newLeader(b, r)
				l.ctx = ctx
				epoch, err := l.loadRecords(ctx)
				if err != nil {
					t.Fatal(err)
				}
				l.autoscaler.RestoreCatalog(wire.Catalog{MachineTypes: s.cloud.Builds})
				if cancelled == (moment == "watch") {
					t.Fatalf("cancelled by the end of the load: %t", cancelled)
				}
				s.state.Before(nil)
				if !cancelled {
					cancel()
				}
				heartbeat(t, l, w)
				l.mu.Lock()
				if used := l.fleet.Machine("n-1").UsedCores; used != 8 && len(w.Live()) == 2*pieces {
					t.Errorf("%v cores in use while %v are there", used, w.Live())
				}
				l.mu.Unlock()
				watching := make(chan struct{})
				go func() { defer close(watching); l.watchJobs(ctx, epoch) }()
				for known := false; !known; runtime.Gosched() {
					l.mu.Lock()
					job := l.jobs.Get("j-2")
					known = job == nil || job.Cancelled
					l.mu.Unlock()
				}
				end()
				<-watching
				for range 3 {
					s.settle(l)
					heartbeat(t, l, w)
				}
				for _, p := range w.Live() {
					if strings.HasPrefix(p, "j-2/") {
						t.Errorf("%s goes on", p)
					}
				}
				ws := []*standin.Worker{w}
				if startCount(ws, "j-1") != pieces || startCount(ws, "j-2") != pieces || startCount(ws, "j-3") != 1 {
					t.Errorf("starts %v", w.Starts())
				}
				if left := s.state.Keys(store.PrefixAttempts + "j-2"); len(left) != 0 {
					t.Errorf("records left: %v", left)
				}
			})
		}
	}
}

// A leader is cut from the state service and from the other controllers, while its
// workers and users reach it. Another takes over and cancels a job. The old one tells
// users nothing and answers no worker once another can act, a command of it that was
// under way is void, and the task is stopped by the new leader.
func TestCutLeaderWhileJobsAreCancelledThroughTheNewOne(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	a.attestationLinks["node-2"], a.relayLinks["node-2"] = peer.NewLink("127.0.0.1:1"), peer.NewLink("127.0.0.1:1")
	a.users.Relay = a.relay
	ga, _ := s.elect(a)
	w := s.worker("n-1", "x", true)
	heartbeat(t, ga, w)
	s.submit(a, jobSpec("j-1", nil))
	s.submit(a, jobSpec("j-2", nil))
	s.resync(ga)
	w.KeepNext()
	s.settle(ga) // the runs are on their way
	s.state.Refuse(a.cfg.Node, true)
	for range 8 {
		s.advance(time.Second)
		rep := w.Report()
		if ans, ok := ga.Heartbeat(&rep); ok {
			if !s.state.Value(store.KeyLead, nil) {
				t.Fatal("answers a heartbeat while another may lead")
			}
			w.Take(ans)
		}
	}
	gb, _ := s.elect(b)
	if code, v, _ := s.ask(b, http.MethodPost, wire.PathJobs+"/j-1/"+wire.SuffixCancel, nil); code != http.StatusOK || v.Status != wire.JobCancelled {
		t.Fatalf("abort: %d %+v", code, v)
	}
	s.resync(gb)
	s.checkAnswers("asked at the cut node", s.askEverywhere([]*Service{a}, "j-1", true), "503")
	s.settle(ga)
	if rep := w.Report(); func() bool { _, ok := ga.Heartbeat(&rep); return ok }() {
		t.Error("the cut leader still answers heartbeats")
	}
	for range 3 {
		heartbeat(t, gb, w)
		s.settle(gb)
	}
	w.Deliver()
	heartbeat(t, gb, w)
	s.settle(gb)
	if got := w.Live(); !slices.Equal(got, []string{"j-2/0"}) {
		t.Errorf("on the machine %v, want the job that was not cancelled", got)
	}
	if got := startCount([]*standin.Worker{w}, "j-2"); got != 1 {
		t.Errorf("starts %v", w.Starts())
	}
}

// A cancelled job's attempt stays on record until nothing of it can be anywhere,
// whichever jobs share the record, and under the next leader too.
func TestCancelInASharedRecord(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	l, stop := s.elect(a)
	w := s.worker("n-1", "x", true)
	heartbeat(t, l, w)
	for _, uid := range []string{"j-1", "j-2", "j-3"} {
		s.submit(a, jobSpec(uid, func(sp *wire.Spec) { sp.Cores = 2 }))
	}
	s.resync(l)
	s.settle(l)
	if got := w.Live(); len(got) != 3 {
		t.Fatalf("on the machine: %v", got)
	}
	w.Unreachable(true)
	if code, _, _ := s.ask(b, http.MethodPost, wire.PathJobs+"/j-2/"+wire.SuffixCancel, nil); code != http.StatusOK {
		t.Fatalf("abort: %d", code)
	}
	stop()
	l, _ = s.elect(b)
	l.mu.Lock()
	if c := l.fleet.Machine("n-1").UsedCores; c != 6 {
		t.Errorf("%v cores in use, want 6: the cancelled task may still run", c)
	}
	l.mu.Unlock()
	w.Unreachable(false)
	for range 3 {
		heartbeat(t, l, w)
		s.settle(l)
	}
	if got := w.Live(); len(got) != 2 {
		t.Errorf("on the machine: %v, want the two that were not cancelled", got)
	}
	if got := w.Starts(); len(got) != 3 {
		t.Errorf("started %v", got)
	}
}
