package cedardoor

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/internal/standin"
	"cedardoor/jobs"
	"cedardoor/store"
	"cedardoor/wire"
)

// The zone cap counts tasks whose machine has not been heard of.
func TestZoneCapWithUnknownMachine(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w := s.worker("n-1", "x", false)
	heartbeat(t, ga, w)
	s.submit(a, jobSpec("j-1", func(sp *wire.Spec) {
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

// A long job whose own deadline is far must not wait for longer than its class may.
func TestSlackFollowsAims(t *testing.T) {
	s := newTestCluster(t)
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
		record := store.JobRecord{Spec: jobSpec("j-1", func(sp *wire.Spec) {
			sp.Priority, sp.Class, sp.DeadlineS, sp.ExpectedS = "standard", tt.class, tt.due, tt.expect
		})}
		job := jobs.New(record, 1, &l.cfg.Facts, 0)
		if got := job.Slack(0); got != tt.want {
			t.Errorf("%s due %v, expected to run %v s: slack %v, want %v", tt.class, tt.due, tt.expect, got, tt.want)
		}
	}
}

// Jobs bound to one zone lose machines there: an array that must stay together, and a
// job with a zone of its own. Nothing of the array starts in another zone while some
// of it may go on in its own, and all of it once nothing can; the bound job never does.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	s := newTestCluster(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	here := []*standin.Worker{s.worker("n-1", "x", true), s.worker("n-2", "x", true), s.worker("n-3", "x", true)}
	there := []*standin.Worker{s.worker("n-4", "y", true), s.worker("n-5", "y", true)}
	for _, w := range here {
		heartbeat(t, l, w)
	}
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.Zone = 2, 4, "x" }))
	s.submit(n, jobSpec("j-2", func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.SameZone = 4, 4, true }))
	s.resync(l)
	s.settle(l)
	if startCount(here, "j-1") != 2 || startCount(here, "j-2") != 4 {
		t.Fatalf("started %v, %v and %v", here[0].Starts(), here[1].Starts(), here[2].Starts())
	}
	// One with some of the array is gone, and the zone has no room for that.
	lost := slices.IndexFunc(here, func(w *standin.Worker) bool { return startCount([]*standin.Worker{w}, "j-2") > 0 })
	l.returnMachines(t.Context(), []string{here[lost].Beats.Machine})
	for _, w := range here {
		w.Unreachable(true)
	}
	for range 6 {
		for _, w := range there {
			heartbeat(t, l, w)
		}
		s.settle(l)
		s.advance(3 * time.Second)
		if got := startCount(there, "j-1") + startCount(there, "j-2"); got != 0 {
			t.Fatalf("%d started in another zone while the array may go on in its own", got)
		}
	}
	for range 3 {
		s.advance(3 * time.Second)
		for _, w := range there {
			heartbeat(t, l, w)
		}
		s.settle(l)
	}
	if got := startCount(there, "j-1"); got != 0 {
		t.Errorf("%d of a job run in a zone that it does not allow", got)
	}
	if got := startCount(there, "j-2"); got != 4 {
		t.Errorf("%d of the array's 4 tasks run in the other zone after the lease", got)
	}
}

// A job that waits long begins although work of higher priority keeps coming: its
// first task goes first, and room is kept for it.
func TestLargeJobBeginsUnderLastingOverload(t *testing.T) {
	s, n, l, w := clusterWithWorker(t) // 8 cores
	uid := 100
	next := func() string {
		uid++
		return "j-" + string(rune('0'+uid/100)) + string(rune('0'+uid/10%10)) + string(rune('0'+uid%10))
	}
	small := func() {
		s.submit(n, jobSpec(next(), func(sp *wire.Spec) { sp.Priority, sp.Tasks, sp.Cores, sp.Team = "high", 1, 4, "team" }))
	}
	for range 6 {
		small()
	}
	s.resync(l)
	s.settle(l)
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.RAM = 3, 8, 20 }))
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

// The lowest priority's starts follow the controller's share of a processor, however
// much room there is; work of higher priority does not wait for them.
func TestLowWorkIsPaced(t *testing.T) {
	s := newTestCluster(t)
	n := s.node(func(f *config.Facts) { f.Limits.CoreShare = 0.1 })
	l, _ := s.elect(n)
	var ws []*standin.Worker
	for i := range 16 {
		w := s.worker(fmt.Sprintf("n-%02d", i+1), "x", true)
		heartbeat(t, l, w)
		ws = append(ws, w)
	}
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) { sp.Priority, sp.Tasks, sp.Cores, sp.RAM = "low", 5000, 0.05, 0.1 }))
	s.submit(n, jobSpec("j-2", func(sp *wire.Spec) { sp.Priority, sp.Tasks, sp.Cores, sp.RAM = "standard", 300, 0.05, 0.1 }))
	s.resync(l)
	placed := func(uid string) int {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.jobs.Get(uid).PruneWaiting()
		return len(l.jobs.Get(uid).Tasks) - len(l.jobs.Get(uid).Waiting)
	}
	s.runSeconds(l, ws, 1)
	first := placed("j-1")
	s.runSeconds(l, ws, 4)
	if got := placed("j-1") - first; got < 450 || got > 750 {
		t.Errorf("%d tasks of the lowest priority began in 4 s, want 150 a second", got)
	}
	if got := placed("j-2"); got != 300 {
		t.Errorf("%d of 300 tasks of higher priority began", got)
	}
}
