package cedardoor

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/store"
	"cedardoor/wire"

	"github.com/google/go-cmp/cmp"
)

// A transaction whose answer was lost is settled by its nonce, not done twice.
func TestLostCommitAnswer(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	s.submit(n, jobSpec("j-1", nil))
	s.resync(l)
	s.state.LoseAnswers(1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		// The repeat waits on the clock, as does the elector.
		for s.clock.BlockUntilContext(ctx, 2) == nil {
			s.clock.Advance(100 * time.Millisecond)
			if len(w.Starts()) > 0 {
				return
			}
		}
	}()
	s.settle(l)
	cancel()
	if got := w.Starts(); len(got) != 1 {
		t.Fatalf("starts: %v", got)
	}
}

// The leader's transactions are carried out and only the answer is lost, while
// other nodes read what they wrote: what they have told stays true, and nothing is
// started, recorded or moved twice when the leader finds out.
func TestLostAnswersOfTheLeaderWhileOthersRead(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	l, _ := s.elect(a)
	w := s.worker("n-1", "x", true)
	heartbeat(t, l, w)
	s.submit(b, jobSpec("j-1", nil))
	s.submit(b, jobSpec("j-2", func(sp *wire.Spec) { sp.Tasks = 2 }))
	s.submit(b, jobSpec("j-3", nil))
	s.resync(l)
	is := func(uid string, allowed ...string) {
		t.Helper()
		for _, n := range []*Service{a, b} {
			_, v, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/"+uid, nil)
			s.checkAnswers(uid, []string{v.Status}, allowed...)
		}
	}
	// Placements: a user cancels one of the jobs before the leader knows that its attempt is recorded.
	s.loseAnswerDuring(func() { s.settle(l) }, func() {
		if len(w.Starts()) != 0 {
			t.Errorf("started before the leader knows that it is recorded: %v", w.Starts())
		}
		if code, v, _ := s.ask(b, http.MethodPost, wire.PathJobs+"/j-3/"+wire.SuffixCancel, nil); code != http.StatusOK || v.Status != wire.JobCancelled {
			t.Errorf("abort: %d %+v", code, v)
		}
	})
	s.resync(l)
	s.settle(l)
	is("j-3", wire.JobCancelled)
	if got := w.Live(); !slices.Equal(got, []string{"j-1/0", "j-2/0", "j-2/1"}) {
		t.Errorf("on the machine %v", got)
	}
	// The end of both jobs: done is told by the one that reads it, and stays done.
	w.End("j-1/0", wire.CauseDone)
	w.End("j-2/0", wire.CauseDone)
	w.End("j-2/1", wire.CauseDone)
	heartbeat(t, l, w)
	s.loseAnswerDuring(func() { l.pass(t.Context()) }, func() {
		for _, uid := range []string{"j-1", "j-2"} {
			is(uid, wire.JobDone)
			_, v, _ := s.ask(b, http.MethodPost, wire.PathJobs+"/"+uid+"/"+wire.SuffixCancel, nil)
			s.checkAnswers("abort after the end", []string{v.Status}, wire.JobDone)
		}
	})
	c := s.node(nil) // remembers nothing
	s.settle(l)
	for _, n := range []*Service{a, b, c} {
		for uid, want := range map[string]string{"j-1": wire.JobDone, "j-2": wire.JobDone, "j-3": wire.JobCancelled} {
			if _, v, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/"+uid, nil); v.Status != want {
				t.Errorf("%s: %+v, want %s", uid, v, want)
			}
		}
	}
	if left := s.state.Keys(store.PrefixJob); len(left) != 0 {
		t.Errorf("jobs that have not moved: %v", left)
	}
	if got := w.Starts(); len(got) > 4 || startCount([]*standin.Worker{w}, "j-2") != 2 || startCount([]*standin.Worker{w}, "j-1") != 1 {
		t.Errorf("starts %v", got)
	}
}

// Each of the leader's transactions in the life of jobs (their attempts, ends and
// moves to the final place) is carried out and not answered. While the leader does
// not know, every node reads what was written, also one that remembers nothing; the
// leader then finds out, and nothing is recorded again, moved again or kept.
func TestEveryLostAnswerOfTheLeader(t *testing.T) {
	life := func(pieces int, lossy bool) (puts int) {
		s := newTestCluster(t)
		a, b := s.node(nil), s.node(nil)
		l, _ := s.elect(a)
		w := s.worker("n-1", "x", true)
		heartbeat(t, l, w)
		uids := []string{"j-1", "j-2"}
		for _, uid := range uids {
			s.submit(a, jobSpec(uid, func(sp *wire.Spec) { sp.Tasks, sp.Cores = pieces, 1 }))
		}
		s.resync(l)
		before := s.state.Puts()
		now := wire.JobQueued
		drain := func() {
			for range 9 {
				l.mu.Lock()
				wr := l.buildTransaction()
				l.mu.Unlock()
				if wr == nil {
					return
				}
				if len(wr.Finished()) > 0 {
					now = wire.JobDone
				}
				record := func() {
					if !l.commit(t.Context(), wr) {
						t.Fatal("the term is over")
					}
				}
				if !lossy {
					record()
					continue
				}
				s.loseAnswerDuring(record, func() {
					for _, n := range []*Service{b, s.node(nil)} {
						for _, uid := range uids {
							if _, v, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/"+uid, nil); v.Status != now {
								t.Errorf("%s: %+v, want %s", uid, v, now)
							}
						}
					}
				})
			}
		}
		l.mu.Lock()
		l.runPlan(l.clock.Now())
		l.mu.Unlock()
		drain()
		s.settle(l)
		if got := len(w.Live()); got != 2*pieces {
			t.Fatalf("%d tasks run", got)
		}
		for _, p := range w.Live() {
			w.End(p, wire.CauseDone)
		}
		heartbeat(t, l, w)
		drain()
		for _, uid := range uids {
			if code, v, _ := s.ask(b, http.MethodPost, wire.PathJobs, jobSpec(uid, nil)); code != http.StatusOK || v.Status != wire.JobDone {
				t.Errorf("%s submitted again: %d %+v", uid, code, v)
			}
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if left := l.writer.Backlog(); left.FinalMoves+l.jobs.Len()+left.Dirty+left.StaleShared != 0 {
			t.Errorf("%d tasks a job: %+v and %d jobs are left", pieces, left, l.jobs.Len())
		}
		if left := s.state.Keys(store.PrefixJob); len(left) != 0 {
			t.Errorf("jobs that have not moved: %v", left)
		}
		if got := len(w.Starts()); got != 2*pieces {
			t.Errorf("%d starts of %d tasks", got, 2*pieces)
		}
		return s.state.Puts() - before
	}
	for _, pieces := range []int{1, 2} {
		// Deletions of what a finished job leaves carry no stamp of their own: the repeat deletes nothing.
		again := 2 * (pieces - 1)
		if plain, lost := life(pieces, false), life(pieces, true); lost != plain+again {
			t.Errorf("%d tasks a job: %d changes where every answer is lost, %d where none is", pieces, lost, plain)
		}
	}
}

// Every one of the leader's transactions gets no answer and is carried out late,
// after newer ones of the same leader: each is carried out once, and nothing that was
// told or written since changes by the late one.
func TestLeadersTransactionsCarriedOutLate(t *testing.T) {
	for _, pieces := range []int{1, 2} {
		s, n, l, w := clusterWithWorker(t)
		uids := []string{"j-1", "j-2", "j-3"}
		for _, uid := range uids {
			s.submit(n, jobSpec(uid, func(sp *wire.Spec) { sp.Tasks, sp.Cores = pieces, 1 }))
		}
		s.resync(l)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for s.clock.BlockUntilContext(ctx, 2) == nil {
				s.clock.Advance(100 * time.Millisecond)
			}
		}()
		late := 0
		drain := func() {
			for range 12 {
				l.mu.Lock()
				wr := l.buildTransaction()
				l.mu.Unlock()
				if wr == nil {
					return
				}
				s.state.DelayNext()
				if late++; !l.commit(t.Context(), wr) {
					t.Fatal("the term is over")
				}
			}
		}
		l.mu.Lock()
		l.runPlan(l.clock.Now())
		l.mu.Unlock()
		drain()
		s.settle(l)
		w.End("j-1/0", wire.CauseDone)
		w.End("j-1/1", wire.CauseDone)
		w.End("j-2/0", wire.CauseError)
		if _, v, _ := s.ask(n, http.MethodPost, wire.PathJobs+"/j-3/"+wire.SuffixCancel, nil); v.Status != wire.JobCancelled {
			t.Fatalf("abort: %+v", v)
		}
		heartbeat(t, l, w)
		s.resync(l)
		drain()
		// One that is recorded twice alone: its first record must not come back over the second.
		s.submit(n, jobSpec("j-4", func(sp *wire.Spec) { sp.Tasks, sp.Cores = 2, 0.5 }))
		s.resync(l)
		l.mu.Lock()
		l.runPlan(l.clock.Now())
		l.mu.Unlock()
		drain()
		s.settle(l)
		w.End("j-4/0", wire.CauseDone)
		heartbeat(t, l, w)
		l.mu.Lock()
		l.writer.MarkDirty("j-4") // need not wait for others' results
		l.mu.Unlock()
		drain()
		cancel()
		s.settle(l)
		keys, puts := s.state.Keys(""), s.state.Puts()
		if got := s.state.Late(); got != late || late < 3 {
			t.Fatalf("%d transactions are late, want %d", got, late)
		}
		s.state.Deliver()
		if after := s.state.Keys(""); !slices.Equal(keys, after) {
			t.Errorf("%d tasks a job: late transactions turn %v into %v", pieces, keys, after)
		}
		if got := s.state.Puts() - puts; got != 0 {
			t.Errorf("%d tasks a job: %d changes were made late", pieces, got)
		}
		for uid, want := range map[string]string{"j-1": wire.JobDone, "j-3": wire.JobCancelled} {
			if _, v, _ := s.ask(s.node(nil), http.MethodGet, wire.PathJobs+"/"+uid, nil); v.Status != want {
				t.Errorf("%s: %+v, want %s", uid, v, want)
			}
		}
	}
}

// Every transaction may be applied by the store, answered, and arrive again:
// nothing that users were told, and nobody's lead, changes by it.
func TestRepeatedTransactionsChangeNothing(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	s.submit(n, jobSpec("j-1", nil))
	s.submit(n, jobSpec("j-2", nil))
	s.submit(n, jobSpec("j-3", nil))
	s.resync(l)
	s.settle(l)
	w.End("j-1/0", wire.CauseDone)
	heartbeat(t, l, w)
	s.settle(l)
	if code, _, _ := s.ask(n, "POST", wire.PathJobs+"/j-2/"+wire.SuffixCancel, nil); code != 200 {
		t.Fatalf("abort: %d", code)
	}
	if _, err := n.elector.RaiseToken(t.Context()); err != nil {
		t.Fatal(err)
	}
	type told struct {
		keys   []string
		status []string
		lead   uint64
	}
	look := func() (is told) {
		is.keys = s.state.Keys("")
		for _, uid := range []string{"j-1", "j-2", "j-3"} {
			_, v, _ := s.ask(n, "GET", wire.PathJobs+"/"+uid, nil)
			is.status = append(is.status, v.Status)
		}
		var rec store.TokenRecord
		s.state.Value(store.KeyToken, &rec)
		is.lead = rec.Token
		return is
	}
	before := look()
	s.state.Repeat()
	if diff := cmp.Diff(before, look(), cmp.AllowUnexported(told{})); diff != "" {
		t.Error(diff)
	}
	if code, v, _ := s.ask(n, "POST", wire.PathJobs, jobSpec("j-2", nil)); code != 200 || v.Status != wire.JobCancelled {
		t.Errorf("a submission that comes again after the abort: %d %+v", code, v)
	}
	if _, ok := n.elector.MayAnswerHeartbeats(); !ok {
		t.Error("the lead was lost")
	}
}
