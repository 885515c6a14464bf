package cedardoor

import (
	"net/http"
	"slices"
	"testing"

	"cedardoor/wire"
)

// A report that changes nothing costs the same few allocations however many
// machines there are and however many tasks it lists: its task list is compared
// where it lies in the body, not copied and not decoded.
func TestUnchangedReportAllocatesLittle(t *testing.T) {
	allocs := func(machines, tasks int) float64 {
		_, l := trustedFleet(t, machines, tasks)
		raw := encodeReport(t, fleetReport(0, tasks, 1, l.term.Token))
		tally := uint64(100)
		heartbeat := func() {
			tally++
			setSequence(t, raw, tally)
			rep, err := wire.DecodeHeartbeat(raw)
			if err != nil {
				t.Fatal(err)
			}
			ans, ok := l.Heartbeat(&rep)
			// The first list that comes as bytes is new.
			if !ok || len(ans.Commands) != 0 || rep.Tasks != nil && tally > 101 {
				t.Fatalf("answered %t with %d orders, %d tasks decoded", ok, len(ans.Commands), len(rep.Tasks))
			}
		}
		heartbeat()
		return testing.AllocsPerRun(200, heartbeat)
	}
	small, large := allocs(20, 4), allocs(400, 60)
	// The race detector lets pools lose some of what they keep.
	if large > small+1 || large > 9 {
		t.Errorf("an unchanged report allocates %.0f times, %.0f in a larger fleet with more tasks; want the same and at most 9", small, large)
	}
}

// A copy of an old report that reaches a new leader first proves nothing, does
// not make the machine trusted, and moves nothing.
func TestLateCopyReachesNewLeaderFirst(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
	heartbeat(t, ga, w)
	old := w.Report() // shows nothing yet
	s.submit(a, jobSpec("j-1", nil))
	s.resync(ga)
	s.settle(ga)
	stop()
	gb, _ := s.elect(b)
	deliverReport(t, gb, old)
	deliverReport(t, gb, old)
	if s.machineUsable(gb, "n-1") {
		t.Fatal("trusted on a copy from before the term")
	}
	heartbeat(t, gb, other)
	s.settle(gb)
	if len(other.Starts()) != 0 {
		t.Fatalf("started elsewhere on the word of a late copy: %v", other.Starts())
	}
	heartbeat(t, gb, w)
	s.settle(gb)
	deliverReport(t, gb, old)
	s.settle(gb)
	if len(w.Starts())+len(other.Starts()) != 1 {
		t.Errorf("starts %v and %v", w.Starts(), other.Starts())
	}
}

// A result in a late copy that the record does not know is nobody's: only the
// attempt on record can end the task.
func TestLateCopyBringsNoResult(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	s.submit(n, jobSpec("j-1", nil))
	s.resync(l)
	s.settle(l)
	copied := w.Report()
	copied.Tasks = []wire.TaskReport{{Task: "j-1/0", Attempt: 7, Status: wire.TaskEnded, Cause: wire.CauseDone}}
	deliverReport(t, l, copied)
	s.settle(l)
	if _, v, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/j-1", nil); v.Status == wire.JobDone {
		t.Error("done by an attempt that was never made")
	}
}

// Copies of old reports, from an earlier session and of an earlier attempt, reach
// every controller just as a new leader begins, and again when it has acted: nobody
// but the leader answers them, and they start, end and prove nothing.
func TestOldReportsReachEveryController(t *testing.T) {
	t.Run("running", func(t *testing.T) { checkOldReports(t, false) })
	t.Run("cancelled", func(t *testing.T) { checkOldReports(t, true) })
}

func checkOldReports(t *testing.T, cancel bool) {
	s := newTestCluster(t)
	a, b := s.node(withTeamLimit(2)), s.node(withTeamLimit(2))
	l, stop := s.elect(a)
	w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
	heartbeat(t, l, w)
	copies := []wire.Heartbeat{w.Report()} // nothing there yet
	s.submit(a, jobSpec("j-1", nil))
	s.resync(l)
	s.settle(l)
	copies = append(copies, w.Report()) // the first attempt, in the first session
	w.Expire()
	heartbeat(t, l, w)
	copies = append(copies, w.Report()) // nothing there, in the second session
	s.settle(l)
	if got := w.Starts(); len(got) != 2 {
		t.Fatalf("starts %v", got)
	}
	stop()
	if cancel {
		if code, _, _ := s.ask(b, http.MethodPost, wire.PathJobs+"/j-1/"+wire.SuffixCancel, nil); code != http.StatusOK {
			t.Fatalf("abort: %d", code)
		}
	}
	s.submit(b, jobSpec("j-2", nil)) // the team's limit keeps it waiting
	l, _ = s.elect(b)
	b.current.Store(l)
	all := func() {
		t.Helper()
		for _, c := range copies {
			if _, ok := a.Heartbeat(&c); ok {
				t.Error("answered by a controller that does not lead")
			}
			if ans, ok := b.Heartbeat(&c); ok {
				for _, o := range ans.Commands {
					if o.Verb == wire.VerbRun && o.Attempt != 2 {
						t.Errorf("a copy is answered with %+v", o)
					}
				}
			}
		}
		heartbeat(t, l, other)
		s.settle(l)
		if got := append(w.Starts(), other.Starts()...); len(got) != 2 {
			t.Fatalf("started on the word of old reports: %v", got)
		}
	}
	all()
	if s.machineUsable(l, "n-1") {
		t.Error("trusted on copies from before the term")
	}
	all()
	if cancel {
		for range 3 {
			heartbeat(t, l, w)
			s.settle(l)
			heartbeat(t, l, other)
		}
		if got := append(w.Live(), other.Live()...); !slices.Equal(got, []string{"j-2/0"}) {
			t.Errorf("on the machines %v after the worker itself reported", got)
		}
		return
	}
	heartbeat(t, l, w)
	s.settle(l)
	slices.Reverse(copies) // the oldest comes last
	all()
	l.mu.Lock()
	if machine := l.fleet.Machine("n-1"); machine.Incarnation != 2 || !machine.Reported || machine.LiveCount() != 1 {
		t.Errorf("after copies came behind newer reports: session %d, trusted %t, %d tasks", machine.Incarnation, machine.Reported, machine.LiveCount())
	}
	l.mu.Unlock()
	if got := w.Live(); !slices.Equal(got, []string{"j-1/0"}) {
		t.Errorf("on the machine %v", got)
	}
	if _, v, _ := s.ask(b, http.MethodGet, wire.PathJobs+"/j-1", nil); v.Status == wire.JobDone {
		t.Error("done on the word of a copy")
	}
}

// All workers come to a new leader within a second or two. What each heartbeat costs
// does not grow with the fleet, nothing is moved or started meanwhile, and each
// machine is trusted by its second heartbeat.
func TestSurgeAfterAllControllersEnded(t *testing.T) {
	const tasks = 4
	visits := func(machines int) float64 {
		_, l := adoptedFleet(t, machines, tasks)
		l.fleet.Examined = 0
		for tally, token := range []uint64{0, l.term.Token} {
			for i := range machines {
				ans, ok := l.Heartbeat(fleetReport(i, tasks, uint64(tally)+1, token))
				if !ok || len(ans.Commands) != 0 || ans.Token != l.term.Token {
					t.Fatalf("machine %d of %d: answered %t, %+v", i, machines, ok, ans)
				}
			}
		}
		per := float64(l.fleet.Examined) / float64(2*machines)
		if up := l.fleet.ReportingCount(); up != machines {
			t.Errorf("%d of %d machines are trusted", up, machines)
		}
		return per
	}
	small, large := visits(200), visits(minFleetLimit)
	if small != large || large > 4*tasks {
		t.Errorf("a heartbeat of the surge visits %.1f and %.1f, want the same and few", small, large)
	}
}
