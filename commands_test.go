package cedardoor

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"cedardoor/wire"
)

// A run sent directly may arrive minutes after it was given up. The task must
// not be started elsewhere, nor its room given away, before that is ruled out.
func TestLateDirectRunAfterCancelOfMachine(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	other := s.worker("n-2", "y", true)
	w.KeepNext()
	s.submit(n, jobSpec("j-1", nil))
	s.resync(l)
	s.settle(l) // the run is kept back; the token is raised against it
	heartbeat(t, l, other)
	l.mu.Lock()
	allocation := l.jobs.Get("j-1").Tasks[0].Allocation
	l.stopAttempt(l.jobs.Get("j-1"), allocation, l.clock.Now())
	still := l.jobs.Get("j-1").Tasks[0].Allocation == allocation
	l.mu.Unlock()
	if !still {
		t.Fatal("freed while a run may still arrive")
	}
	s.settle(l)
	if len(other.Starts()) != 0 {
		t.Fatal("started elsewhere while a run may still arrive")
	}
	// The worker reports without having seen the raised token: no proof yet.
	rep := w.Report()
	ans, _ := l.Heartbeat(&rep)
	s.settle(l)
	if len(other.Starts()) != 0 {
		t.Fatal("absence believed before the worker saw a higher token")
	}
	w.Take(ans)
	s.advance(5 * time.Second)
	s.settle(l)
	heartbeat(t, l, w)
	heartbeat(t, l, w)
	heartbeat(t, l, other)
	s.settle(l)
	w.Deliver()
	if got := len(w.Starts()) + len(other.Starts()); got != 1 {
		t.Fatalf("%d starts (%v, %v), want 1", got, w.Starts(), other.Starts())
	}
	if len(w.Live())+len(other.Live()) != 1 {
		t.Fatalf("live on %v and %v", w.Live(), other.Live())
	}
}

// A forget must not go out while a copy of the run may: the worker would start it again.
func TestNoForgetWhileCopyIsOut(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	w.KeepNext()
	s.submit(n, jobSpec("j-1", nil))
	s.resync(l)
	s.settle(l)
	rep := w.Report()
	ans, _ := l.Heartbeat(&rep) // carries the run again
	low := ans
	low.Token = 1
	w.Take(low) // as if answered before the token was raised
	w.End("j-1/0", wire.CauseDone)
	rep = w.Report()
	ans, _ = l.Heartbeat(&rep)
	s.settle(l)
	for _, o := range ans.Commands {
		if o.Verb == wire.VerbForget {
			t.Fatal("forget sent while a run was still out")
		}
	}
	w.Deliver()
	if got := w.Starts(); len(got) != 1 {
		t.Fatalf("started %v", got)
	}
	heartbeat(t, l, w)
	heartbeat(t, l, w)
	s.settle(l)
	heartbeat(t, l, w)
	w.Deliver()
	if got := w.Starts(); len(got) != 1 {
		t.Fatalf("started %v", got)
	}
	if rep := w.Report(); len(rep.Tasks) != 0 {
		t.Fatalf("never forgotten: %v", rep.Tasks)
	}
}

// A worker can't open connections to any controller, while direct commands reach it.
// They do not renew its lease: it gets nothing new beyond that, what it holds is
// started elsewhere only then, and a cancel still stops a task there at once.
func TestMuteWorkerThatDirectCommandsReach(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	other := s.worker("n-2", "y", true)
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) { sp.Cores = 4 }))
	s.submit(n, jobSpec("j-2", func(sp *wire.Spec) { sp.Cores = 4 }))
	s.resync(l)
	s.settle(l)
	heartbeat(t, l, other)
	for range 2 {
		s.advance(3 * time.Second)
		heartbeat(t, l, other)
		s.settle(l)
	}
	if code, _, _ := s.ask(n, http.MethodPost, wire.PathJobs+"/j-2/"+wire.SuffixCancel, nil); code != http.StatusOK {
		t.Fatalf("abort: %d", code)
	}
	s.resync(l)
	s.settle(l)
	if got := w.Live(); !slices.Equal(got, []string{"j-1/0"}) {
		t.Errorf("on the mute machine %v after the cancel", got)
	}
	for range 4 {
		s.advance(3 * time.Second)
		heartbeat(t, l, other)
		s.settle(l)
		if got := other.Starts(); len(got) != 0 {
			t.Fatalf("started elsewhere within the lease: %v", got)
		}
	}
	w.Expire()
	s.advance(3 * time.Second)
	before := len(w.Starts())
	s.submit(n, jobSpec("j-3", nil))
	s.resync(l)
	for range 2 {
		heartbeat(t, l, other)
		s.settle(l)
	}
	if got := other.Live(); !slices.Equal(got, []string{"j-1/0", "j-3/0"}) || len(w.Starts()) != before {
		t.Errorf("after the lease: %v on the other machine, %v started on the mute one", got, w.Starts()[before:])
	}
}
