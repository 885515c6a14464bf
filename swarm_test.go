package cedardoor

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cedardoor/config"
	"cedardoor/internal/standin"
	"cedardoor/statewriter"
	"cedardoor/store"
	"cedardoor/wire"
)

// Jobs of one task each share the records of their attempts, and each is called
// done by one change. What a swarm costs a job may not grow with it, and a change
// of leaders in the middle neither loses one nor runs one twice.
func TestSwarmSharesRecords(t *testing.T) {
	puts := func(jobs int) float64 {
		s := newSite(t)
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
			s.submit(a, spec(uid(k), func(sp *wire.Spec) { sp.Cores, sp.RAM = 0.25, 0.5 }))
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
			if code, v, _ := s.ask(a, http.MethodPost, wire.PathJobs, spec(uid(k), nil)); code != http.StatusOK || v.Status != wire.JobDone {
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

// A cancelled job's attempt stays on record until nothing of it can be anywhere,
// whichever jobs share the record, and under the next leader too.
func TestCancelInASharedRecord(t *testing.T) {
	s := newSite(t)
	a, b := s.node(nil), s.node(nil)
	l, stop := s.elect(a)
	w := s.worker("n-1", "x", true)
	heartbeat(t, l, w)
	for _, uid := range []string{"j-1", "j-2", "j-3"} {
		s.submit(a, spec(uid, func(sp *wire.Spec) { sp.Cores = 2 }))
	}
	s.resync(l)
	s.settle(l)
	if got := w.Live(); len(got) != 3 {
		t.Fatalf("on the machine: %v", got)
	}
	w.Unreachable(true)
	if code, _, _ := s.ask(b, http.MethodPost, wire.PathJobs+"/j-2/"+wire.SuffixCancel, nil); code != http.StatusOK {
		t.Fatalf("abort: %d", code)
	}
	stop()
	l, _ = s.elect(b)
	l.mu.Lock()
	if c := l.fleet.Machine("n-1").UsedCores; c != 6 {
		t.Errorf("%v cores in use, want 6: the cancelled task may still run", c)
	}
	l.mu.Unlock()
	w.Unreachable(false)
	for range 3 {
		heartbeat(t, l, w)
		s.settle(l)
	}
	if got := w.Live(); len(got) != 2 {
		t.Errorf("on the machine: %v, want the two that were not cancelled", got)
	}
	if got := w.Starts(); len(got) != 3 {
		t.Errorf("started %v", got)
	}
}

// More submissions than the state service takes: what can't be taken is refused
// at once and told when to come back, the lowest priority first; what is known
// already stays known, and cancels go through.
func TestSwarmIsRefusedAtOnce(t *testing.T) {
	s := newSite(t)
	n := s.node(nil)
	_, _ = s.elect(n)
	small := n.cfg.Facts.State
	small.WriteRPS = 12
	n.users.Store = store.New(n.cfg.Outside.State, small, 5)
	refused, accepted := 0, 0
	for k := range 40 {
		code, _, head := s.ask(n, http.MethodPost, wire.PathJobs, spec(fmt.Sprintf("j-%d", k), func(sp *wire.Spec) { sp.Priority = "low" }))
		switch code {
		case http.StatusCreated:
			accepted++
		case http.StatusTooManyRequests:
			refused++
			if head.Get("Retry-After") == "" {
				t.Fatal("no Retry-After")
			}
		default:
			t.Fatalf("status %d", code)
		}
	}
	if accepted < 4 || refused < 20 {
		t.Errorf("%d accepted, %d refused", accepted, refused)
	}
	if code, _, _ := s.ask(n, http.MethodPost, wire.PathJobs, spec("j-100", func(sp *wire.Spec) { sp.Priority = "critical" })); code != http.StatusCreated {
		t.Errorf("a critical job: %d, want 201", code)
	}
	if code, v, _ := s.ask(n, http.MethodPost, wire.PathJobs+"/j-0/"+wire.SuffixCancel, nil); code != http.StatusOK || v.Status != wire.JobCancelled {
		t.Errorf("abort: %d %+v", code, v)
	}
}

// A huge batch of short tasks: what a task costs in changes, direct commands and
// machines looked at does not grow with the batch, urgent work begins in its
// midst, and a change of leaders neither loses a task nor runs one twice.
func TestHugeBatch(t *testing.T) {
	run := func(tasks int) (changes, visits float64) {
		s := newSite(t)
		a, b := s.node(nil), s.node(nil)
		l, stop := s.elect(a)
		var ws []*standin.Worker
		for i := range 16 {
			w := s.worker(fmt.Sprintf("n-%02d", i+1), "x", true)
			heartbeat(t, l, w)
			ws = append(ws, w)
		}
		s.submit(a, spec("j-1", func(sp *wire.Spec) { sp.Priority, sp.Tasks, sp.Cores, sp.RAM = "low", tasks, 0.25, 0.9 }))
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
				s.submit(b, spec("j-2", func(sp *wire.Spec) { sp.Priority, sp.Cores, sp.RAM = "high", 2, 4 }))
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

// The lowest priority's starts follow the controller's share of a processor, however
// much room there is; work of higher priority does not wait for them.
func TestLowWorkIsPaced(t *testing.T) {
	s := newSite(t)
	n := s.node(func(f *config.Facts) { f.Limits.CoreShare = 0.1 })
	l, _ := s.elect(n)
	var ws []*standin.Worker
	for i := range 16 {
		w := s.worker(fmt.Sprintf("n-%02d", i+1), "x", true)
		heartbeat(t, l, w)
		ws = append(ws, w)
	}
	s.submit(n, spec("j-1", func(sp *wire.Spec) { sp.Priority, sp.Tasks, sp.Cores, sp.RAM = "low", 5000, 0.05, 0.1 }))
	s.submit(n, spec("j-2", func(sp *wire.Spec) { sp.Priority, sp.Tasks, sp.Cores, sp.RAM = "standard", 300, 0.05, 0.1 }))
	s.resync(l)
	placed := func(uid string) int {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.jobs.Get(uid).PruneWaiting()
		return len(l.jobs.Get(uid).Tasks) - len(l.jobs.Get(uid).Waiting)
	}
	s.pass(l, ws, 1)
	first := placed("j-1")
	s.pass(l, ws, 4)
	if got := placed("j-1") - first; got < 450 || got > 750 {
		t.Errorf("%d tasks of the lowest priority began in 4 s, want 150 a second", got)
	}
	if got := placed("j-2"); got != 300 {
		t.Errorf("%d of 300 tasks of higher priority began", got)
	}
}

// A storm of questions about jobs that nobody submitted: what can't be looked up
// is refused at once, and jobs that run are answered for as ever.
func TestStormOfUnknownJobs(t *testing.T) {
	s := newSite(t)
	n := s.node(nil)
	_, _ = s.elect(n)
	s.submit(n, spec("j-1", nil))
	if code, _, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/j-1", nil); code != http.StatusOK {
		t.Fatalf("poll: %d", code)
	}
	small := n.cfg.Facts.State
	small.RPS = 20
	n.users.Store = store.New(n.cfg.Outside.State, small, 5)
	codes := make(chan int)
	for k := range 100 {
		go func() {
			code, _, _ := s.ask(n, http.MethodGet, fmt.Sprintf("%s/j-9%d", wire.PathJobs, k), nil)
			codes <- code
		}()
	}
	got := map[int]int{}
	for range 100 {
		got[<-codes]++
	}
	if got[http.StatusNotFound] == 0 || got[http.StatusServiceUnavailable] < 60 || len(got) != 2 {
		t.Errorf("answers by status: %v", got)
	}
	if code, v, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/j-1", nil); code != http.StatusOK || v.Status != wire.JobQueued {
		t.Errorf("a job that runs, in the storm: %d %+v", code, v)
	}
}

// Whatever is due at a time, a transaction keeps to the changes and conditions
// that the state service takes: one that does not is refused for ever, and
// everything behind it waits. If one is refused all the same, the rest goes on.
func TestTransactionsKeepTheLimits(t *testing.T) {
	s, n, l, ws := crew(t, 16)
	uids := []string{}
	for k := range 60 {
		uid := fmt.Sprintf("j-1%03d", k)
		uids = append(uids, uid)
		s.submit(n, spec(uid, func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.RAM = 2, 0.1, 0.1 }))
	}
	s.resync(l)
	s.pass(l, ws, 2)
	for k := range 150 {
		s.submit(n, spec(fmt.Sprintf("j-2%03d", k), func(sp *wire.Spec) { sp.Cores, sp.RAM = 0.1, 0.1 }))
	}
	s.resync(l)
	l.mu.Lock()
	for _, uid := range uids {
		l.writer.MarkDirty(uid) // recorded already with others' results
	}
	l.mu.Unlock()
	s.pass(l, ws, 3)
	for _, w := range ws {
		for _, p := range w.Live() {
			w.End(p, wire.CauseDone)
		}
	}
	for k := range 30 {
		s.ask(n, http.MethodPost, fmt.Sprintf("%s/j-2%03d/%s", wire.PathJobs, k, wire.SuffixCancel), nil)
	}
	s.resync(l)
	s.pass(l, ws, 12)
	if got := s.state.TooMany(); got != 0 {
		t.Errorf("%d transactions were refused for their size", got)
	}
	if got := s.state.Keys(store.PrefixJob); len(got) != 0 {
		t.Errorf("%d jobs are not over", len(got))
	}
	// One that is refused does not keep the others up.
	s.submit(n, spec("j-3", nil))
	s.resync(l)
	tx := &statewriter.Transaction{}
	for k := range 30 {
		tx.Txn.Operations = append(tx.Txn.Operations, wire.Operation{Delete: fmt.Sprintf("p/x/%05d", k)})
	}
	if !l.commit(t.Context(), tx) {
		t.Fatal("a refused transaction ends the term")
	}
	s.pass(l, ws, 2)
	if startsOf(ws, "j-3") != 1 {
		t.Error("nothing begins after a transaction was refused")
	}
}

// Submissions that share a transaction share neither a refusal nor a conflict:
// what is known hears so, what the store does not take fails alone.
func TestSubmissionsOfABatchAreJudgedAlone(t *testing.T) {
	s := newSite(t)
	n := s.node(nil)
	_, _ = s.elect(n)
	s.submit(n, spec("j-1", nil))
	release := s.state.Stall() // those that come meanwhile share the next transaction
	codes := make(chan int)
	const jobs = 12
	for k := range jobs {
		go func() {
			code, _, _ := s.ask(n, http.MethodPost, wire.PathJobs, spec(fmt.Sprintf("j-%d", k), nil))
			codes <- code
		}()
	}
	release()
	got := map[int]int{}
	for range jobs {
		got[<-codes]++
	}
	if got[http.StatusCreated] != jobs-1 || got[http.StatusOK] != 1 {
		t.Errorf("answers by status: %v, want %d accepted and one known", got, jobs-1)
	}
}
