package cedardoor

import (
	"context"
	"net/http"
	"testing"
	"time"

	"cedardoor/store"
	"cedardoor/wire"

	"github.com/google/go-cmp/cmp"
)

func TestJobRunsToDone(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks = 2 }))
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
	s, n, l, w := clusterWithWorker(t)
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks = 2 }))
	s.resync(l)
	s.settle(l)
	w.End("j-1/0", wire.CauseDone)
	heartbeat(t, l, w)
	heartbeat(t, l, w)
	if rep := w.Report(); len(rep.Tasks) != 2 {
		t.Fatalf("result forgotten before it was recorded: %v", rep.Tasks)
	}
}

// A task that comes to wait again before its job's waiting tasks were looked
// through stands among them once: placed twice by one plan, it would leave a
// booking that nothing ever frees.
func TestTaskWaitsOnce(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	s.submit(n, jobSpec("j-1", nil))
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

// The start of an adopted task was not seen, so its run must not be compared:
// it once made sound machines look slow.
func TestAdoptedRunsAreNotMeasured(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w := s.worker("n-1", "x", true)
	heartbeat(t, ga, w)
	s.submit(a, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks = 3 }))
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

// A listing that was read before a job ended may be taken in after it. The job's
// record then says that it is over, and nothing of it is started again.
func TestOldListingStartsNothing(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	s.submit(n, jobSpec("j-1", nil))
	s.resync(l)
	sp := jobSpec("j-1", nil)
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
	s.checkStatus(n, "j-1", wire.JobDone)
}

func TestWatchTooOldReadsAgain(t *testing.T) {
	s := newTestCluster(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	s.submit(n, jobSpec("j-1", nil))
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
