package cedardoor

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/internal/standin"
	"cedardoor/reconciliation"
	"cedardoor/recovery"
	"cedardoor/store"
	"cedardoor/wire"
)

// A task of a job that the state never recorded is left alone, counted and shown. When its
// user submits the job, that attempt is stopped before the task begins anywhere else.
func TestTaskOfAJobThatWasNeverRecorded(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	other := s.worker("n-2", "y", true)
	heartbeat(t, l, other)
	startTask(w, l.term.Token, "j-9/0", 3)
	heartbeat(t, l, w)
	s.lookUpOrphans(l)
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks, sp.Cores = 4, 2 }))
	s.resync(l)
	for range 3 {
		heartbeat(t, l, w)
		heartbeat(t, l, other)
		s.settle(l)
		s.lookUpOrphans(l)
	}
	if got := w.Live(); !slices.Equal(got, []string{"j-9/0"}) {
		t.Fatalf("on the machine: %v, want the task that was never recorded, and nothing new", got)
	}
	if got := other.Live(); len(got) != 4 {
		t.Errorf("on the other: %v, want all of the job", got)
	}
	r := mustRecoveryReport(t, l)
	if len(r.Unrecorded) != 1 || r.Unrecorded[0].Task != "j-9/0" || r.Unrecorded[0].Machine != "n-1" || r.Unrecorded[0].Why != recovery.Retain.String() {
		t.Errorf("operators are told %+v", r.Unrecorded)
	}
	if code, _, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/j-9", nil); code != http.StatusNotFound {
		t.Errorf("a job that nobody submitted: status %d", code)
	}
	// An idle machine with it is not returned.
	for range 10 {
		s.runSeconds(l, []*standin.Worker{w, other}, 20)
		l.autoscale(t.Context())
	}
	if got := slices.Concat(s.cloud.Returns()...); slices.Contains(got, "n-1") {
		t.Errorf("returned %v with the task on it", got)
	}

	s.submit(n, jobSpec("j-9", nil))
	s.resync(l)
	third := s.worker("n-3", "x", true) // has room for it
	heartbeat(t, l, third)
	s.settle(l)
	if got := third.Live(); len(got) != 0 {
		t.Fatalf("on the third: %v, started while it runs elsewhere", got)
	}
	for range 3 {
		s.runSeconds(l, []*standin.Worker{w, other, third}, 1)
	}
	if got := append(w.Live(), third.Live()...); !slices.Equal(got, []string{"j-9/0"}) {
		t.Errorf("on machines: %v, want the submitted job's task once", got)
	}
	if got := mustRecoveryReport(t, l).Unrecorded; len(got) != 0 {
		t.Errorf("still shown: %+v", got)
	}
}

// A task of a job that is over is stopped as soon as that has been read, not with the next
// heartbeat; one of a job that was submitted and cancelled again after it had been looked up, too.
func TestTaskOfAJobThatIsOverIsStopped(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	over := jobSpec("j-9", nil)
	s.writeRecord(n, store.FinalKey("j-9"), store.NewFinalRecord(&over, wire.JobCancelled, "earlier"))
	startTask(w, l.term.Token, "j-9/0", 3)
	startTask(w, l.term.Token, "j-8/0", 1)
	heartbeat(t, l, w)
	s.lookUpOrphans(l)
	s.settle(l)
	if got := w.Live(); !slices.Equal(got, []string{"j-8/0"}) {
		t.Fatalf("on the machine: %v, want only the task of which nothing is known", got)
	}
	// The leader sees neither the submission nor the cancel: it looks again by itself.
	sp := jobSpec("j-8", nil)
	s.writeRecord(n, store.FinalKey("j-8"), store.NewFinalRecord(&sp, wire.JobCancelled, "later"))
	s.runSeconds(l, []*standin.Worker{w}, int(reconciliation.LookupValidFor/clock.Second)+2)
	s.lookUpOrphans(l)
	s.settle(l)
	if got := w.Live(); len(got) != 0 {
		t.Errorf("on the machine: %v, long after its job was cancelled", got)
	}
}

// A copy of an old report may name hundreds of jobs that are over: they are read at a pace.
func TestLookUpsArePaced(t *testing.T) {
	s, _, l, w := clusterWithWorker(t)
	reportUnknownTasks(t, l, w, 200)
	l.cfg.Facts.State.RPS = 8 // a look-up a second
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	go l.orphanLookupLoop(ctx)
	const seconds = 5
	for range seconds {
		if err := s.clock.BlockUntilContext(ctx, 2); err != nil { // the leader's lease and the look-ups
			t.Fatal("the look-ups do not wait")
		}
		s.clock.Advance(time.Second)
	}
	if err := s.clock.BlockUntilContext(ctx, 2); err != nil {
		t.Fatal("the look-ups do not wait")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.reconciler.LookupCount(); n == 0 || n > seconds+1 {
		t.Errorf("%d look-ups in %d s", n, seconds)
	}
}

// Jobs of which no worker shows a task any more are not read.
func TestNoLookUpOfWhatIsNotShown(t *testing.T) {
	s, _, l, w := clusterWithWorker(t)
	reportUnknownTasks(t, l, w, 200)
	heartbeat(t, l, w) // a newer report
	before := s.state.Requests()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	l.lookUpOrphans(ctx)
	if reads := s.state.Requests() - before; reads != 0 {
		t.Errorf("%d requests for a report that was no longer true", reads)
	}
}

// What is read of a job counts only under the leader's lease.
func TestNothingIsDecidedWithoutTheLease(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	startTask(w, l.term.Token, "j-9/0", 3)
	heartbeat(t, l, w)
	s.disconnect(n)
	s.clock.Advance(20 * time.Second)
	if err := l.lookUpJob(t.Context(), "j-9"); err == nil {
		t.Error("read without the lease")
	}
	if decision := l.reconciler.DecideOrphan(fleet.TaskID{Job: "j-9"}, recovery.SignRunning); decision != recovery.LookUp {
		t.Errorf("decided to %v", decision)
	}
	if _, known := l.recoveryReport(); known {
		t.Error("operators are told of a recovery by a controller that may not lead")
	}
}
