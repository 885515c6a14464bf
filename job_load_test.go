package cedardoor

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cedardoor/fleet"
	"cedardoor/internal/standin"
	"cedardoor/store"
	"cedardoor/wire"
)

// A huge batch of short tasks: what a task costs in changes, direct commands and
// machines looked at does not grow with the batch, urgent work begins in its
// midst, and a change of leaders neither loses a task nor runs one twice.
func TestHugeBatch(t *testing.T) {
	run := func(tasks int) (changes, visits float64) {
		s := newTestCluster(t)
		a, b := s.node(nil), s.node(nil)
		l, stop := s.elect(a)
		var ws []*standin.Worker
		for i := range 16 {
			w := s.worker(fmt.Sprintf("n-%02d", i+1), "x", true)
			heartbeat(t, l, w)
			ws = append(ws, w)
		}
		s.submit(a, jobSpec("j-1", func(sp *wire.Spec) { sp.Priority, sp.Tasks, sp.Cores, sp.RAM = "low", tasks, 0.25, 0.9 }))
		s.resync(l)
		before := s.state.Puts()
		looked, done := 0, 0
		for round := 0; done < tasks; round++ {
			if round > 20+tasks/100 {
				t.Fatalf("%d of %d tasks done after %d rounds", done, tasks, round)
			}
			if round == 4 {
				stop()
				l, _ = s.elect(b)
			}
			if round == 6 {
				s.submit(b, jobSpec("j-2", func(sp *wire.Spec) { sp.Priority, sp.Cores, sp.RAM = "high", 2, 4 }))
				s.resync(l)
			}
			l.pass(t.Context())
			for _, w := range ws {
				heartbeat(t, l, w) // takes its orders
			}
			for _, w := range ws {
				for _, p := range w.Live() {
					if strings.HasPrefix(p, "j-1/") {
						w.End(p, wire.CauseDone)
					}
				}
				heartbeat(t, l, w)
			}
			s.advance(time.Second)
			l.mu.Lock()
			done = l.jobs.Get("j-1").Done
			looked, l.fleet.Examined = looked+l.fleet.Examined, 0
			l.mu.Unlock()
		}
		s.settle(l)
		starts := map[string]int{}
		for _, w := range ws {
			for _, k := range w.Starts() {
				starts[k]++
			}
		}
		if starts["j-2/0#1"] != 1 {
			t.Error("urgent work did not begin amid the batch")
		}
		delete(starts, "j-2/0#1")
		for k, n := range starts {
			if n > 1 {
				t.Fatalf("%s started %d times", k, n)
			}
		}
		if len(starts) < tasks || len(starts) > tasks+600 {
			t.Errorf("%d attempts of %d tasks", len(starts), tasks)
		}
		if _, v, _ := s.ask(a, http.MethodGet, wire.PathJobs+"/j-1", nil); v.Status != wire.JobDone || v.Done != tasks {
			t.Errorf("%+v, want done", v)
		}
		return float64(s.state.Puts()-before) / float64(tasks), float64(looked) / float64(tasks)
	}
	c1, v1 := run(5_000)
	c2, v2 := run(25_000)
	if c2 > 1.2*c1 || c2 > 0.1 || v2 > 1.2*v1 || v2 > 12 {
		t.Errorf("%.3f and %.3f changes, %.1f and %.1f visits a task of 5,000 and 25,000", c1, c2, v1, v2)
	}
}

// retainedCounts is how much a leader and the state service keep.
func (s *testCluster) retainedCounts(l *leader) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	bookings := 0
	l.fleet.EachMachine(func(machine *fleet.Machine) { bookings += machine.AllocationCount() })
	rows := 0
	for _, k := range s.state.Keys(store.PrefixShared) {
		var rec store.SharedRecord
		s.state.Value(k, &rec)
		rows += len(rec.Rows)
	}
	left := l.writer.Backlog()
	return map[string]int{"jobs": l.jobs.Len(), "dirty": left.Dirty, "pending results": left.PendingResults, "queue": l.jobs.WaitingLen(), "stale shared records": left.StaleShared, "final moves": left.FinalMoves,
		"bookings": bookings, "unfinished jobs": len(s.state.Keys(store.PrefixJob)), "shared records": len(s.state.Keys(store.PrefixShared)),
		"rows": rows, "records": len(s.state.Keys(store.PrefixAttempts))}
}

// Jobs of one task come four a second for minutes, a quarter of them cancelled at
// some point of their life, with polls and a change of leaders. What is kept follows
// the jobs that are there, and nothing is left of those that are over.
func TestSwarmWithCancelsLeavesNothing(t *testing.T) {
	const perSecond, lasts = 4, 150
	s := newTestCluster(t)
	nodes := []*Service{s.node(nil), s.node(nil)}
	l, stop := s.elect(nodes[0])
	var ws []*standin.Worker
	for i := range 3 {
		w := s.worker(fmt.Sprintf("n-%d", i+1), "x", true)
		heartbeat(t, l, w)
		ws = append(ws, w)
	}
	uid := func(k int) string { return fmt.Sprintf("j-%d", k) }
	cancelled := map[string]bool{}
	most := map[string]int{}
	var half map[string]int
	second := func(at int, submit bool) {
		if submit {
			for k := at * perSecond; k < (at+1)*perSecond; k++ {
				s.submit(nodes[k%2], jobSpec(uid(k), func(sp *wire.Spec) { sp.Cores, sp.RAM = 0.5, 0.5 }))
			}
		}
		// One of each four is cancelled: at once, or up to three seconds later, some after their end.
		if k := (at-at%4)*perSecond + at%4; submit {
			if _, v, _ := s.ask(nodes[at%2], http.MethodPost, wire.PathJobs+"/"+uid(k)+"/"+wire.SuffixCancel, nil); v.Status == wire.JobCancelled {
				cancelled[uid(k)] = true
			}
		}
		s.resync(l)
		s.settle(l)
		for i, w := range ws {
			for n, p := range w.Live() {
				if (n+i+at)%3 == 0 {
					w.End(p, wire.CauseDone)
				}
			}
			heartbeat(t, l, w)
		}
		s.ask(nodes[at%2], http.MethodGet, wire.PathJobs+"/"+uid(max(0, 4*at-8)), nil)
		s.settle(l)
		s.advance(time.Second)
	}
	for at := range lasts {
		if at == 40 {
			stop()
			l, stop = s.elect(nodes[1])
		}
		second(at, true)
		if at == 95 {
			half, most = most, map[string]int{}
		}
		for what, n := range s.retainedCounts(l) {
			most[what] = max(most[what], n)
		}
	}
	for what, n := range most {
		if n > half[what]+half[what]/4+8 {
			t.Errorf("%s: at most %d in the first half, %d in the second", what, half[what], n)
		}
	}
	for at := range 90 {
		second(lasts+at, false)
	}
	// The last of all are cancelled as they run: no other job's end takes their rows along.
	for k := perSecond * lasts; k < perSecond*lasts+3; k++ {
		s.submit(nodes[0], jobSpec(uid(k), nil))
	}
	s.resync(l)
	s.settle(l)
	for k := perSecond * lasts; k < perSecond*lasts+3; k++ {
		if _, v, _ := s.ask(nodes[0], http.MethodPost, wire.PathJobs+"/"+uid(k)+"/"+wire.SuffixCancel, nil); v.Status != wire.JobCancelled {
			t.Errorf("abort: %+v", v)
		}
	}
	for at := range 90 {
		second(lasts+at, false)
	}
	for what, n := range s.retainedCounts(l) {
		if n > 0 && !(what == "shared records" && n <= 1) {
			t.Errorf("%d %s left after all jobs are over", n, what)
		}
	}
	if len(cancelled) < lasts/3 {
		t.Errorf("only %d jobs were cancelled", len(cancelled))
	}
	for k := range perSecond * lasts {
		want := wire.JobDone
		if cancelled[uid(k)] {
			want = wire.JobCancelled
		}
		if _, v, _ := s.ask(nodes[k%2], http.MethodGet, wire.PathJobs+"/"+uid(k), nil); v.Status != want {
			t.Fatalf("%s: %+v, want %s", uid(k), v, want)
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
}
