package cedardoor

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cedardoor/config"
	"cedardoor/quota"
	"cedardoor/wire"
)

// The team's limit counts what a predecessor started and may still exist.
func TestTeamLimitAcrossLeaders(t *testing.T) {
	limit := func(f *config.Facts) { f.Teams[0].CPUsMax = 4 }
	s := newTestCluster(t)
	a, b := s.node(limit), s.node(limit)
	ga, stop := s.elect(a)
	w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
	heartbeat(t, ga, w)
	s.submit(a, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks = 4 }))
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

// A new leader counts what a cancelled job's tasks take while they may still exist.
func TestCancelledTasksCountForLimit(t *testing.T) {
	limit := func(f *config.Facts) { f.Teams[0].CPUsMax = 4 }
	s := newTestCluster(t)
	a, b := s.node(limit), s.node(limit)
	ga, stop := s.elect(a)
	w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
	heartbeat(t, ga, w)
	s.submit(a, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks = 2 }))
	s.resync(ga)
	s.settle(ga)
	stop()
	if code, _, _ := s.ask(b, http.MethodPost, wire.PathJobs+"/j-1/abort", nil); code != 200 {
		t.Fatalf("abort: %d", code)
	}
	s.submit(b, jobSpec("j-2", nil))
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

// A team is at its limit when its jobs are cancelled, whose machine is cut off or
// hangs, and the leader changes twice. What may still be there counts under each
// successor, for jobs with records of their own and in shared ones, until it is
// proved gone: then the room is used at once, and not before.
func TestCancelledTasksCountUntilProvedUnderAnySuccessor(t *testing.T) {
	for _, pieces := range []int{1, 2} {
		for _, proof := range []string{"lease end", "return", "newer session", "halted"} {
			t.Run(fmt.Sprintf("%d tasks, %s", pieces, proof), func(t *testing.T) {
				s := newTestCluster(t)
				a, b, c := s.node(withTeamLimit(4)), s.node(withTeamLimit(4)), s.node(withTeamLimit(4))
				l, stop := s.elect(a)
				hung, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
				heartbeat(t, l, hung)
				uids := []string{"j-1", "j-2"}[:3-pieces]
				for _, uid := range uids {
					s.submit(a, jobSpec(uid, func(sp *wire.Spec) { sp.Tasks = pieces }))
				}
				s.resync(l)
				s.settle(l)
				if got := hung.Live(); len(got) != 2 {
					t.Fatalf("on the machine: %v", got)
				}
				hung.Unreachable(true)
				for _, uid := range uids {
					if code, _, _ := s.ask(b, http.MethodPost, wire.PathJobs+"/"+uid+"/"+wire.SuffixCancel, nil); code != http.StatusOK {
						t.Fatalf("abort: %d", code)
					}
				}
				s.submit(b, jobSpec("j-3", func(sp *wire.Spec) { sp.Tasks = 2 }))
				nothing := func(when string, l *leader) {
					t.Helper()
					heartbeat(t, l, other)
					s.settle(l)
					heartbeat(t, l, other)
					if got := other.Starts(); len(got) != 0 {
						t.Fatalf("%s: %v started beyond the limit", when, got)
					}
				}
				heartbeat(t, l, other)
				s.resync(l)
				nothing("under the leader that saw the cancel", l)
				stop()
				l, stop = s.elect(b)
				nothing("under its successor", l)
				s.advance(9 * time.Second)
				nothing("half a lease later", l)
				stop()
				l, _ = s.elect(c)
				nothing("under the next", l)
				switch proof {
				case "lease end":
					for range 17 {
						s.advance(time.Second)
						nothing("before the lease's end", l)
					}
					hung.Expire()
					s.advance(4 * time.Second)
				case "return":
					l.returnMachines(t.Context(), []string{"n-1"})
				case "newer session":
					hung.Expire()
					hung.Unreachable(false)
					heartbeat(t, l, hung)
				case "halted":
					hung.Unreachable(false)
					for range 2 {
						heartbeat(t, l, hung)
						s.settle(l)
					}
				}
				heartbeat(t, l, other)
				s.settle(l)
				heartbeat(t, l, other)
				if got := len(other.Live()) + len(hung.Live()); proof == "return" && len(other.Live()) != 2 || proof != "return" && got != 2 {
					t.Errorf("%d tasks run after the proof, want 2: the room is not used", got)
				}
				for _, k := range append(hung.Live(), other.Live()...) {
					if proof != "return" && !strings.HasPrefix(k, "j-3/") {
						t.Errorf("%s still runs", k)
					}
				}
			})
		}
	}
}

// A job is recorded as done and its leader ends before it could delete what else is
// recorded of it. The result proves that its tasks have ended, so the successor does
// not count them for the team's limit while their machine can't be asked.
func TestDoneTasksDoNotCountUnderASuccessor(t *testing.T) {
	for _, pieces := range []int{1, 2} {
		s := newTestCluster(t)
		a, b := s.node(withTeamLimit(4)), s.node(withTeamLimit(4))
		l, stop := s.elect(a)
		w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
		heartbeat(t, l, w)
		s.submit(a, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks, sp.Cores = pieces, 4/float64(pieces) }))
		s.resync(l)
		s.settle(l)
		for _, p := range w.Live() {
			w.End(p, wire.CauseDone)
		}
		heartbeat(t, l, w)
		l.mu.Lock()
		wr := l.buildTransaction()
		l.mu.Unlock()
		if wr == nil || len(wr.Finished()) != 1 || !l.commit(t.Context(), wr) {
			t.Fatal("the end was not recorded")
		}
		stop()
		s.submit(b, jobSpec("j-2", nil))
		l, _ = s.elect(b)
		heartbeat(t, l, other)
		s.settle(l)
		heartbeat(t, l, other)
		if got := other.Starts(); len(got) != 1 {
			t.Errorf("%d tasks a job: %v started beside tasks that have ended, want the job that waits", pieces, got)
		}
	}
}

// A leader is paused right after it has reserved a team's last room and before that is
// durable. Its successor uses the room. When the first wakes, its record fails and
// nothing of what it reserved is ever started.
func TestLeaderWakesAfterItsSuccessorUsedTheRoom(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(withTeamLimit(4)), s.node(withTeamLimit(4))
	ga, stop := s.elect(a)
	w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
	heartbeat(t, ga, w)
	s.submit(a, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks = 2 }))
	s.resync(ga)
	ga.mu.Lock()
	ga.runPlan(ga.clock.Now())
	reserved := ga.quota.Usage("team").Of(quota.Booked)
	held := ga.buildTransaction()
	ga.mu.Unlock()
	if reserved.Tasks != 2 || held == nil {
		t.Fatalf("reserved %+v, want the team's whole room", reserved)
	}
	stop() // it sleeps from here
	gb, _ := s.elect(b)
	heartbeat(t, gb, other)
	s.settle(gb)
	if got := other.Live(); len(got) != 2 {
		t.Fatalf("the successor's tasks: %v", got)
	}
	if ga.commit(t.Context(), held) {
		t.Error("the paused leader's record passes for durable")
	}
	ga.dispatch(t.Context())
	rep := w.Report()
	if ans, ok := ga.Heartbeat(&rep); ok {
		t.Errorf("the paused leader answers a heartbeat: %+v", ans)
	}
	if got := w.Starts(); len(got) != 0 {
		t.Errorf("the paused leader's tasks started: %v", got)
	}
}

// Under lower limits after a restart, what runs goes on and counts; nothing starts until
// enough of it is proved gone.
func TestOtherLimitsAfterARestart(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(withTeamLimit(8)), s.node(withTeamLimit(4))
	_, w, stop := leadWithJob(t, a, s, 6)
	first := w.Live()
	if len(first) != 4 {
		t.Fatalf("four tasks of 2 cores under a limit of 8: %v", first)
	}
	stop()
	gb, _ := s.elect(b)
	started := len(w.Starts())
	for _, task := range first {
		heartbeat(t, gb, w)
		s.settle(gb)
		if got := len(w.Live()); got > 4 {
			t.Fatalf("%d tasks run", got)
		}
		gb.mu.Lock()
		use := gb.quota.Usage("team")
		gb.mu.Unlock()
		if grown := len(w.Starts()) - started; grown > 0 && use.Total.Cores > quota.ToUnits(4) {
			t.Fatalf("%d tasks started while the team uses %v of 4", grown, use.Total.Cores.Decimal())
		}
		w.End(task, wire.CauseDone)
	}
	heartbeat(t, gb, w)
	s.settle(gb)
	if got := w.Live(); len(got) != 2 {
		t.Errorf("the last two tasks: %v", got)
	}
}
