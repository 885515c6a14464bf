package cedardoor

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/statewriter"
	"cedardoor/store"
	"cedardoor/wire"
)

// What is written follows the records touched, not the tasks: results wait for
// each other, and placements of a job go in one change.
func TestPutsFollowRecords(t *testing.T) {
	puts := func(tasks int) (placed, ended int) {
		s, n, l, w := clusterWithWorker(t)
		s.submit(n, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.RAM = tasks, 0.05, 0.1 }))
		s.resync(l)
		before := s.state.Puts()
		s.settle(l)
		placed = s.state.Puts() - before
		if len(w.Live()) != tasks {
			t.Fatalf("%d of %d tasks run", len(w.Live()), tasks)
		}
		before = s.state.Puts()
		for i := range tasks - 1 {
			w.End(fmt.Sprintf("j-1/%d", i), wire.CauseDone)
			heartbeat(t, l, w)
			s.settle(l)
		}
		s.advance(3 * time.Second)
		heartbeat(t, l, w)
		s.settle(l)
		return placed, s.state.Puts() - before
	}
	fewPlaced, fewEnded := puts(6)
	manyPlaced, manyEnded := puts(110)
	if fewPlaced != manyPlaced || fewEnded != manyEnded {
		t.Errorf("6 tasks take %d and %d changes, 110 take %d and %d", fewPlaced, fewEnded, manyPlaced, manyEnded)
	}
}

// Jobs of one task each share the records of their attempts, and each is called
// done by one change. What a swarm costs a job may not grow with it, and a change
// of leaders in the middle neither loses one nor runs one twice.
func TestSwarmSharesRecords(t *testing.T) {
	puts := func(jobs int) float64 {
		s := newTestCluster(t)
		a, b := s.node(nil), s.node(nil)
		l, stop := s.elect(a)
		var ws []*standin.Worker
		for i := range 4 {
			w := s.worker(fmt.Sprintf("n-%d", i+1), "x", true)
			heartbeat(t, l, w)
			ws = append(ws, w)
		}
		uid := func(k int) string { return fmt.Sprintf("j-%d", k) }
		for k := range jobs {
			s.submit(a, jobSpec(uid(k), func(sp *wire.Spec) { sp.Cores, sp.RAM = 0.25, 0.5 }))
		}
		accepted := s.state.Puts()
		s.resync(l)
		ended := map[string]bool{}
		work := func(l *leader, rounds int) {
			for range rounds {
				s.settle(l)
				for _, w := range ws {
					for _, p := range w.Live() {
						w.End(p, wire.CauseDone)
						ended[p] = true
					}
					heartbeat(t, l, w)
				}
				s.advance(time.Second)
			}
		}
		work(l, 1)
		s.settle(l)
		stop()
		l, _ = s.elect(b)
		work(l, 12)
		s.settle(l)
		for k := range jobs {
			if _, v, _ := s.ask(b, http.MethodGet, wire.PathJobs+"/"+uid(k), nil); v.Status != wire.JobDone {
				t.Fatalf("%s of %d: %+v, want done", uid(k), jobs, v)
			}
			if code, v, _ := s.ask(a, http.MethodPost, wire.PathJobs, jobSpec(uid(k), nil)); code != http.StatusOK || v.Status != wire.JobDone {
				t.Fatalf("%s submitted again: %d %+v", uid(k), code, v)
			}
		}
		seen := map[string]bool{}
		for _, w := range ws {
			for _, k := range w.Starts() {
				if seen[k] {
					t.Errorf("%s started twice", k)
				}
				seen[k] = true
			}
		}
		if len(seen) != jobs {
			t.Errorf("%d attempts of %d jobs, want one each", len(seen), jobs)
		}
		// With changes to spare all of them move to their final place, and the
		// shared records go.
		if left := s.state.Keys(store.PrefixJob); len(left) != 0 {
			t.Errorf("%d jobs have not moved", len(left))
		}
		if left := s.state.Keys(store.PrefixShared); len(left) > 1 {
			t.Errorf("shared records left: %v", left)
		}
		return float64(s.state.Puts()-accepted) / float64(jobs)
	}
	// One for the end, two for the move, and a share of the attempts'.
	small, large := puts(120), puts(480)
	if small > 3.6 || large > 3.4 {
		t.Errorf("%.2f and %.2f changes a job of 120 and 480, want little more than 3", small, large)
	}
}

// Whatever is due at a time, a transaction keeps to the changes and conditions
// that the state service takes: one that does not is refused for ever, and
// everything behind it waits. If one is refused all the same, the rest goes on.
func TestTransactionsKeepTheLimits(t *testing.T) {
	s, n, l, ws := clusterWithWorkers(t, 16)
	uids := []string{}
	for k := range 60 {
		uid := fmt.Sprintf("j-1%03d", k)
		uids = append(uids, uid)
		s.submit(n, jobSpec(uid, func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.RAM = 2, 0.1, 0.1 }))
	}
	s.resync(l)
	s.runSeconds(l, ws, 2)
	for k := range 150 {
		s.submit(n, jobSpec(fmt.Sprintf("j-2%03d", k), func(sp *wire.Spec) { sp.Cores, sp.RAM = 0.1, 0.1 }))
	}
	s.resync(l)
	l.mu.Lock()
	for _, uid := range uids {
		l.writer.MarkDirty(uid) // recorded already with others' results
	}
	l.mu.Unlock()
	s.runSeconds(l, ws, 3)
	for _, w := range ws {
		for _, p := range w.Live() {
			w.End(p, wire.CauseDone)
		}
	}
	for k := range 30 {
		s.ask(n, http.MethodPost, fmt.Sprintf("%s/j-2%03d/%s", wire.PathJobs, k, wire.SuffixCancel), nil)
	}
	s.resync(l)
	s.runSeconds(l, ws, 12)
	if got := s.state.TooMany(); got != 0 {
		t.Errorf("%d transactions were refused for their size", got)
	}
	if got := s.state.Keys(store.PrefixJob); len(got) != 0 {
		t.Errorf("%d jobs are not over", len(got))
	}
	// One that is refused does not keep the others up.
	s.submit(n, jobSpec("j-3", nil))
	s.resync(l)
	tx := &statewriter.Transaction{}
	for k := range 30 {
		tx.Txn.Operations = append(tx.Txn.Operations, wire.Operation{Delete: fmt.Sprintf("p/x/%05d", k)})
	}
	if !l.commit(t.Context(), tx) {
		t.Fatal("a refused transaction ends the term")
	}
	s.runSeconds(l, ws, 2)
	if startCount(ws, "j-3") != 1 {
		t.Error("nothing begins after a transaction was refused")
	}
}
