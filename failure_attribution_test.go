package cedardoor

import (
	"fmt"
	"net/http"
	"testing"

	"cedardoor/internal/standin"
	"cedardoor/wire"
)

// Jobs submitted with a mistake fail wherever they run. Machines that have run
// nothing else must not be taken for sick by them, and once a few machines have
// been tried, a task now and then is all that they cost; one machine that is
// truly sick is found all the same, whichever comes first.
func TestBadJobsBesideASickMachine(t *testing.T) {
	for _, badFirst := range []bool{true, false} {
		s, n, l, ws := clusterWithWorkers(t, 6, "j-1", "j-2")
		ws[0].Fail(true)
		bad := func() {
			for _, uid := range []string{"j-1", "j-2"} {
				s.submit(n, jobSpec(uid, func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.RAM = 100, 1, 1 }))
			}
			s.resync(l)
			s.runSeconds(l, ws, 8)
		}
		good := func() {
			s.submit(n, jobSpec("j-3", func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.RAM, sp.Priority = 12, 1, 1, "high" }))
			s.resync(l)
			s.runSeconds(l, ws, 8)
		}
		if badFirst {
			bad()
			if got := quarantined(l, ws); len(got) > 0 {
				t.Fatalf("banned for bad jobs: %v", got)
			}
			good()
		} else {
			good()
			bad()
		}
		if got := quarantined(l, ws); len(got) != 1 || got[0] != "n-1 failing" {
			t.Fatalf("bad jobs first: %t: banned %v, want n-1 alone", badFirst, got)
		}
		live := 0
		for _, w := range ws[1:] {
			live += len(w.Live())
		}
		if live != 12 {
			t.Errorf("bad jobs first: %t: %d tasks of the good job run, want 12", badFirst, live)
		}
		before := startCount(ws, "j-1") + startCount(ws, "j-2")
		s.runSeconds(l, ws, 60)
		if more := startCount(ws, "j-1") + startCount(ws, "j-2") - before; more < 2 || more > 16 {
			t.Errorf("bad jobs first: %t: %d tries of two bad jobs in a minute, want a few", badFirst, more)
		}
		// They are known and can be cancelled.
		for _, uid := range []string{"j-1", "j-2"} {
			if _, v, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/"+uid, nil); v.Status != wire.JobQueued {
				t.Errorf("%s: %+v, want queued", uid, v)
			}
			if code, v, _ := s.ask(n, http.MethodPost, wire.PathJobs+"/"+uid+"/"+wire.SuffixCancel, nil); code != http.StatusOK || v.Status != wire.JobCancelled {
				t.Errorf("abort of %s: %d %+v", uid, code, v)
			}
		}
	}
}

// Nothing is rented for a job that fails everywhere, and no room kept.
func TestBadJobsRentNothing(t *testing.T) {
	s, n, l, ws := clusterWithWorkers(t, 4, "j-1")
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.RAM = 200, 4, 4 }))
	s.resync(l)
	s.runSeconds(l, ws, 90)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.jobs.Get("j-1").Failures.Failing() {
		t.Fatalf("not found bad: %+v", l.jobs.Get("j-1").Failures)
	}
	if need := l.autoscaler.Demand(l.scalingView(l.clock.Now())); need.Preemptible.Cores > 0 || need.Urgent.Cores > 0 {
		t.Errorf("needed for a bad job: %+v", need)
	}
	if len(l.planner.ReservedRoom()) > 0 {
		t.Errorf("room is kept for a bad job: %v", l.planner.ReservedRoom())
	}
}

// A new leader does not know what its predecessor knew of a bad job: it tries
// one task, not all of them at once.
func TestBadJobAcrossLeaders(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	var ws []*standin.Worker
	for i := range 4 {
		w := s.worker(fmt.Sprintf("n-%d", i+1), "x", true)
		w.FailJob("j-1")
		heartbeat(t, ga, w)
		ws = append(ws, w)
	}
	s.submit(a, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.RAM = 100, 1, 1 }))
	s.resync(ga)
	s.runSeconds(ga, ws, 10)
	stop()
	gb, _ := s.elect(b)
	before := startCount(ws, "j-1")
	s.runSeconds(gb, ws, 10)
	if more := startCount(ws, "j-1") - before; more < 1 || more > 8 {
		t.Errorf("%d tries under a new leader, want a few", more)
	}
}

// Some tasks of a job fail everywhere while the others succeed: the job is not
// bad, its other tasks run, and machines are not banned for those that fail.
func TestTasksThatFailInAGoodJob(t *testing.T) {
	s, n, l, ws := clusterWithWorkers(t, 6, "j-1/3", "j-1/7", "j-1/11", "j-1/12", "j-1/13", "j-1/14")
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.RAM = 40, 1, 1 }))
	s.resync(l)
	s.runSeconds(l, ws, 6)
	for _, w := range ws {
		for _, p := range w.Live() {
			w.End(p, wire.CauseDone)
		}
	}
	s.runSeconds(l, ws, 40)
	if got := quarantined(l, ws); len(got) > 0 {
		t.Errorf("banned: %v", got)
	}
	if job := l.jobs.Get("j-1"); job.Done != 34 || job.Failures.Failing() {
		t.Errorf("%d tasks done, bad %t; want 34 and not bad", job.Done, job.Failures.Failing())
	}
	if tries := startCount(ws, "j-1"); tries > 34+6*9 {
		t.Errorf("%d starts: those that fail are not slowed down", tries)
	}
}

// Replicas that spot machines may hold are demand for as long as they are wanted,
// whatever their class's run times.
func TestLoanedReplicasAreSizedFor(t *testing.T) {
	s, n, l, ws := clusterWithWorkers(t, 1)
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) { sp.Kind, sp.Tasks, sp.ExpectedS = wire.KindService, 12, 0 }))
	s.resync(l)
	s.runSeconds(l, ws, 30)
	l.mu.Lock()
	defer l.mu.Unlock()
	if need := l.autoscaler.Demand(l.scalingView(l.clock.Now())); need.Preemptible.Cores < 24 || need.Urgent.Cores < 24 {
		t.Errorf("needed for 12 replicas of 2 cores: %+v", need)
	}
}

// What fails on one machine only says nothing against the task: the machine is
// found to be sick, and the task goes to the next one at once, rather than ever
// more seldom.
func TestTaskThatFailsOnOneMachineIsNotSlowedDown(t *testing.T) {
	s, n, l, ws := clusterWithWorkers(t, 1)
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks, sp.Cores = 2, 2 }))
	s.resync(l)
	s.runSeconds(l, ws, 6)
	ws[0].End("j-1/0", wire.CauseDone)
	s.runSeconds(l, ws, 3) // the job works
	ws[0].Fail(true)
	ws[0].End("j-1/1", wire.CauseError)
	s.runSeconds(l, ws, 40)
	if got := quarantined(l, ws); len(got) != 1 || got[0] != "n-1 failing" {
		t.Errorf("banned %v, want the machine as sick", got)
	}
	ws = append(ws, s.worker("n-2", "x", true))
	s.runSeconds(l, ws, 8)
	if got := ws[1].Live(); len(got) != 1 {
		t.Errorf("on the new machine: %v, want the task that failed", got)
	}
}
