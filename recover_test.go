package cedardoor

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/fleet"
	"cedardoor/internal/standin"
	"cedardoor/reconciliation"
	"cedardoor/recovery"
	"cedardoor/store"
	"cedardoor/wire"
)

// torn is the value of a record that can't be decoded.
const torn = "torn"

// write puts a record into the state service, past all controllers.
func (s *site) write(n *Service, key string, value any) {
	s.t.Helper()
	if _, err := n.store.Commit(s.t.Context(), store.Urgent, wire.Txn{Operations: []wire.Operation{{Set: key, Value: value}}}); err != nil {
		s.t.Fatal(err)
	}
}

// remove deletes a record, past all controllers.
func (s *site) remove(n *Service, key string) {
	s.t.Helper()
	if _, err := n.store.Commit(s.t.Context(), store.Urgent, wire.Txn{Operations: []wire.Operation{{Delete: key}}}); err != nil {
		s.t.Fatal(err)
	}
}

// lookUps reads the jobs of tasks that workers show and that are not on the books.
func (s *site) lookUps(l *leader) {
	s.t.Helper()
	for _, uid := range l.takeWantedLookups() {
		if err := l.lookUpJob(s.t.Context(), uid); err != nil {
			s.t.Fatal(err)
		}
	}
}

// runsBy lets a worker run a task as some earlier leader may have told it to.
func runsBy(w *standin.Worker, token uint64, task string, attempt uint64) {
	w.Take(wire.HeartbeatResponse{Token: token, Commands: []wire.Command{{Verb: wire.VerbRun, Task: task, Attempt: attempt}}})
}

func mustReport(t *testing.T, l *leader) recovery.Report {
	t.Helper()
	r, known := l.recoveryReport()
	if !known {
		t.Fatal("the leader tells nothing of its recovery")
	}
	return r
}

// A task of a job that the state never recorded is left alone, counted and shown. When its
// user submits the job, that attempt is stopped before the task begins anywhere else.
func TestTaskOfAJobThatWasNeverRecorded(t *testing.T) {
	s, n, l, w := alone(t)
	other := s.worker("n-2", "y", true)
	heartbeat(t, l, other)
	runsBy(w, l.term.Token, "j-9/0", 3)
	heartbeat(t, l, w)
	s.lookUps(l)
	s.submit(n, spec("j-1", func(sp *wire.Spec) { sp.Tasks, sp.Cores = 4, 2 }))
	s.resync(l)
	for range 3 {
		heartbeat(t, l, w)
		heartbeat(t, l, other)
		s.settle(l)
		s.lookUps(l)
	}
	if got := w.Live(); !slices.Equal(got, []string{"j-9/0"}) {
		t.Fatalf("on the machine: %v, want the task that was never recorded, and nothing new", got)
	}
	if got := other.Live(); len(got) != 4 {
		t.Errorf("on the other: %v, want all of the job", got)
	}
	r := mustReport(t, l)
	if len(r.Unrecorded) != 1 || r.Unrecorded[0].Task != "j-9/0" || r.Unrecorded[0].Machine != "n-1" || r.Unrecorded[0].Why != recovery.Retain.String() {
		t.Errorf("operators are told %+v", r.Unrecorded)
	}
	if code, _, _ := s.ask(n, http.MethodGet, wire.PathJobs+"/j-9", nil); code != http.StatusNotFound {
		t.Errorf("a job that nobody submitted: status %d", code)
	}
	// An idle machine with it is not returned.
	for range 10 {
		s.pass(l, []*standin.Worker{w, other}, 20)
		l.autoscale(t.Context())
	}
	if got := slices.Concat(s.cloud.Returns()...); slices.Contains(got, "n-1") {
		t.Errorf("returned %v with the task on it", got)
	}

	s.submit(n, spec("j-9", nil))
	s.resync(l)
	third := s.worker("n-3", "x", true) // has room for it
	heartbeat(t, l, third)
	s.settle(l)
	if got := third.Live(); len(got) != 0 {
		t.Fatalf("on the third: %v, started while it runs elsewhere", got)
	}
	for range 3 {
		s.pass(l, []*standin.Worker{w, other, third}, 1)
	}
	if got := append(w.Live(), third.Live()...); !slices.Equal(got, []string{"j-9/0"}) {
		t.Errorf("on machines: %v, want the submitted job's task once", got)
	}
	if got := mustReport(t, l).Unrecorded; len(got) != 0 {
		t.Errorf("still shown: %+v", got)
	}
}

// A task of a job that is over is stopped as soon as that has been read, not with the next
// heartbeat; one of a job that was submitted and cancelled again after it had been looked up, too.
func TestTaskOfAJobThatIsOverIsStopped(t *testing.T) {
	s, n, l, w := alone(t)
	over := spec("j-9", nil)
	s.write(n, store.FinalKey("j-9"), store.NewFinalRecord(&over, wire.JobCancelled, "earlier"))
	runsBy(w, l.term.Token, "j-9/0", 3)
	runsBy(w, l.term.Token, "j-8/0", 1)
	heartbeat(t, l, w)
	s.lookUps(l)
	s.settle(l)
	if got := w.Live(); !slices.Equal(got, []string{"j-8/0"}) {
		t.Fatalf("on the machine: %v, want only the task of which nothing is known", got)
	}
	// The leader sees neither the submission nor the cancel: it looks again by itself.
	sp := spec("j-8", nil)
	s.write(n, store.FinalKey("j-8"), store.NewFinalRecord(&sp, wire.JobCancelled, "later"))
	s.pass(l, []*standin.Worker{w}, int(reconciliation.LookupValidFor/clock.Second)+2)
	s.lookUps(l)
	s.settle(l)
	if got := w.Live(); len(got) != 0 {
		t.Errorf("on the machine: %v, long after its job was cancelled", got)
	}
}

// oldCopy is a report that names so many tasks of jobs that are on nobody's books.
func oldCopy(t *testing.T, l *leader, w *standin.Worker, jobs int) {
	t.Helper()
	rep := w.Report()
	for i := range jobs {
		rep.Tasks = append(rep.Tasks, wire.TaskReport{Task: fmt.Sprintf("j-%d/0", 100+i), Attempt: 1, Status: wire.TaskRunning})
	}
	if _, ok := l.Heartbeat(&rep); !ok {
		t.Fatal("not answered")
	}
}

// A copy of an old report may name hundreds of jobs that are over: they are read at a pace.
func TestLookUpsArePaced(t *testing.T) {
	s, _, l, w := alone(t)
	oldCopy(t, l, w, 200)
	l.cfg.Facts.State.RPS = 8 // a look-up a second
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	go l.orphanLookupLoop(ctx)
	const seconds = 5
	for range seconds {
		if err := s.clk.BlockUntilContext(ctx, 2); err != nil { // the leader's lease and the look-ups
			t.Fatal("the look-ups do not wait")
		}
		s.clk.Advance(time.Second)
	}
	if err := s.clk.BlockUntilContext(ctx, 2); err != nil {
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
	s, _, l, w := alone(t)
	oldCopy(t, l, w, 200)
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
	s, n, l, w := alone(t)
	runsBy(w, l.term.Token, "j-9/0", 3)
	heartbeat(t, l, w)
	s.kill(n)
	s.clk.Advance(20 * time.Second)
	if err := l.lookUpJob(t.Context(), "j-9"); err == nil {
		t.Error("read without the lease")
	}
	if decision := l.reconciler.DecideOrphan(fleet.TaskID{Job: "j-9"}, recovery.ObservedRunning); decision != recovery.LookUp {
		t.Errorf("decided to %v", decision)
	}
	if _, known := l.recoveryReport(); known {
		t.Error("operators are told of a recovery by a controller that may not lead")
	}
}

// A job whose record can't be decoded stays known and its tasks run on; the others are served.
func TestJobWithADamagedRecord(t *testing.T) {
	s := newSite(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
	heartbeat(t, ga, w)
	s.submit(a, spec("j-1", func(sp *wire.Spec) { sp.Tasks = 2 }))
	s.resync(ga)
	s.settle(ga)
	s.write(a, store.JobKey("j-1"), torn)
	stop()
	gb, _ := s.elect(b)
	s.submit(b, spec("j-2", nil))
	s.resync(gb)
	for range 3 {
		heartbeat(t, gb, w)
		heartbeat(t, gb, other)
		s.lookUps(gb)
		s.settle(gb)
		s.advance(15 * time.Second)
	}
	if got := w.Live(); !slices.Equal(got, []string{"j-1/0", "j-1/1"}) {
		t.Errorf("on its machine: %v, want its tasks and nothing new", got)
	}
	if got := other.Live(); !slices.Equal(got, []string{"j-2/0"}) {
		t.Errorf("on the other machine: %v, want the other job's", got)
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		path := wire.PathJobs + "/j-1"
		if method == http.MethodPost {
			path += "/" + wire.SuffixCancel
		}
		if code, _, head := s.ask(b, method, path, nil); code != http.StatusServiceUnavailable || head.Get("Retry-After") == "" {
			t.Errorf("%s of it: status %d, want that it can't be told now", method, code)
		}
	}
	if code, _, _ := s.ask(b, http.MethodPost, wire.PathJobs, spec("j-1", nil)); code != http.StatusServiceUnavailable {
		t.Errorf("its submission again: status %d", code)
	}
	r := mustReport(t, gb)
	if len(r.Damaged) != 1 || r.Damaged[0].Kind != recovery.DamageJob || r.Damaged[0].Job != "j-1" || len(r.Unrecorded) != 2 {
		t.Errorf("operators are told %+v", r)
	}
}

// A record that is restored, or a job that is submitted again, comes to a leader that has passed over
// its attempts: the next one reads them, and nothing starts a second time.
func TestRestoredRecordIsReadWithItsAttempts(t *testing.T) {
	for _, tt := range []struct {
		name    string
		tasks   int // one: its attempt is in a shared record
		missing bool
	}{{"unreadable", 2, false}, {"missing", 2, true}, {"unreadable, shared attempts", 1, false}, {"missing, shared attempts", 1, true}} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t)
			a, b, c := s.node(nil), s.node(nil), s.node(nil)
			ga, stop := s.elect(a)
			w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
			heartbeat(t, ga, w)
			s.submit(a, spec("j-1", func(sp *wire.Spec) { sp.Tasks = tt.tasks }))
			s.submit(a, spec("j-2", nil)) // shares the record, where there is one
			s.resync(ga)
			s.settle(ga)
			var whole store.JobRecord
			s.state.Value(store.JobKey("j-1"), &whole)
			if tt.missing {
				s.remove(a, store.JobKey("j-1"))
			} else {
				s.write(a, store.JobKey("j-1"), torn)
			}
			stop()
			gb, _ := s.elect(b)
			heartbeat(t, gb, w)
			w.End("j-2/0", wire.CauseDone) // its record is written again without it
			for range 3 {
				heartbeat(t, gb, w)
				heartbeat(t, gb, other)
				s.advance(3 * time.Second)
				s.settle(gb)
			}
			s.write(b, store.JobKey("j-1"), whole)
			s.resync(gb)
			for s.state.Value(store.KeyLeader, nil) { // it gives the lead up
				runtime.Gosched()
			}
			s.kill(b)
			gc, _ := s.elect(c)
			for range 8 {
				heartbeat(t, gc, other)
				heartbeat(t, gc, w)
				s.advance(3 * time.Second)
				s.settle(gc)
			}
			if got := len(w.Starts()) + len(other.Starts()); got != tt.tasks+1 {
				t.Errorf("%d starts, want those before the damage: %v, %v", got, w.Starts(), other.Starts())
			}
			if got := w.Live(); len(got) != tt.tasks {
				t.Errorf("on its machine: %v", got)
			}
		})
	}
}

// Where the record of attempts can't be decoded, what runs goes on under its own attempt and the
// rest starts only once every machine is accounted for, under numbers that were never used.
func TestDamagedRecordOfAttempts(t *testing.T) {
	for _, shared := range []bool{false, true} {
		s := newSite(t)
		tight := func(f *config.Facts) { f.Teams[0].CPUsMax = 8 }
		a, b := s.node(tight), s.node(tight)
		ga, stop := s.elect(a)
		w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
		heartbeat(t, ga, w)
		jobs, tasks := []string{"j-1"}, []string{"j-1/0", "j-1/1", "j-1/2"}
		if shared {
			jobs, tasks = []string{"j-1", "j-2", "j-3"}, []string{"j-1/0", "j-2/0", "j-3/0"}
		}
		for _, uid := range jobs {
			s.submit(a, spec(uid, func(sp *wire.Spec) { sp.Tasks = len(tasks) / len(jobs) }))
		}
		s.submit(a, spec("j-7", func(sp *wire.Spec) { sp.Kind, sp.Tasks = wire.KindService, 1 }))
		s.resync(ga)
		s.settle(ga)
		key := store.ChunkKey("j-1", 0)
		if shared {
			key = s.state.Keys(store.PrefixShared)[0]
		}
		s.write(a, key, torn)
		stop()
		w.End(tasks[2], "lost") // gone without a trace
		dropEnded(w, ga.term.Token)
		gb, _ := s.elect(b)
		if use := gb.quota.Usage("team").Total.Cores.Decimal(); use < 8 {
			t.Fatalf("shared %t: the team uses %v, want that what may run counts", shared, use)
		}
		s.submit(b, spec("j-8", nil))
		s.resync(gb)
		look := func() {
			heartbeat(t, gb, w)
			heartbeat(t, gb, other)
			s.lookUps(gb)
			s.settle(gb)
		}
		look()
		look()
		if got := w.Live(); !slices.Contains(got, tasks[0]) || !slices.Contains(got, tasks[1]) {
			t.Fatalf("shared %t: what ran is stopped: %v", shared, got)
		}
		ofLost := func() []string {
			return slices.DeleteFunc(append(w.Starts(), other.Starts()...), func(start string) bool { return start[:5] != tasks[2] })
		}
		if got := ofLost(); len(got) != 1 {
			t.Fatalf("shared %t: started before every machine was accounted for: %v", shared, got)
		}
		for range 4 {
			s.advance(8 * time.Second)
			look()
		}
		starts := append(w.Starts(), other.Starts()...)
		count := map[string]int{}
		for _, start := range starts {
			count[start]++
			if count[start] > 1 {
				t.Errorf("shared %t: %s is started twice", shared, start)
			}
		}
		live := append(w.Live(), other.Live()...)
		for _, task := range tasks {
			if !slices.Contains(live, task) {
				t.Errorf("shared %t: %s does not run: %v, starts %v", shared, task, live, starts)
			}
		}
		if again := ofLost(); len(again) != 2 || len(again[1]) < len("j-1/2#4294967296") {
			t.Errorf("shared %t: attempts of the lost task: %v, want a new one far above the first", shared, again)
		}
		if keys := s.state.Keys(key); shared && len(keys) != 0 {
			t.Errorf("the damaged record is still there: %v", keys)
		}
		// The next leader finds whole records.
		records, err := recovery.Read(t.Context(), b.store)
		if err != nil || len(records.Damaged) != 0 {
			t.Errorf("shared %t: left behind: %+v, %v", shared, records.Damaged, err)
		}
	}
}

// dropEnded lets a worker forget what has ended, as an earlier leader may have told it.
func dropEnded(w *standin.Worker, token uint64) {
	var orders []wire.Command
	rep := w.Report()
	for _, p := range rep.Tasks {
		if p.Status == wire.TaskEnded {
			orders = append(orders, wire.Command{Verb: wire.VerbForget, Task: p.Task, Attempt: p.Attempt})
		}
	}
	w.Take(wire.HeartbeatResponse{Token: token, Commands: orders})
}

// A machine that has not shown the new leader's token may yet get an old command: nothing of an
// unreadable record starts while its lease may last, though it answers questions.
func TestUnaccountedMachineKeepsTasksBack(t *testing.T) {
	s := newSite(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
	heartbeat(t, ga, w)
	s.submit(a, spec("j-1", func(sp *wire.Spec) { sp.Tasks = 3 }))
	s.resync(ga)
	s.settle(ga)
	s.write(a, store.ChunkKey("j-1", 0), torn)
	w.End("j-1/2", "lost")
	dropEnded(w, ga.term.Token)
	stop()
	gb, _ := s.elect(b)
	for i := range 10 {
		s.advance(3 * time.Second)
		if i == 0 || i == 4 {
			rep := w.Report()
			gb.Heartbeat(&rep) // the answer is lost, so the token is never shown
		}
		heartbeat(t, gb, other)
		s.settle(gb)
	}
	if got := len(w.Starts()) + len(other.Starts()); got != 3 {
		t.Fatalf("%d starts, want only those of the first leader", got)
	}
	if r := mustReport(t, gb); r.Attempts.Unreadable != 1 {
		t.Errorf("operators are told of %d unreadable tasks, want the one that is not seen to run", r.Attempts.Unreadable)
	}
	for range 8 {
		s.advance(3 * time.Second)
		heartbeat(t, gb, w)
		heartbeat(t, gb, other)
		s.settle(gb)
	}
	if got := len(w.Starts()) + len(other.Starts()); got != 4 {
		t.Errorf("%d starts, want the lost task's, too", got)
	}
}

// The record that can't be decoded is not written over before all of its tasks are known: a
// leader that ends in between leaves its successor what it found.
func TestLeaderEndsWhileARecordIsUnreadable(t *testing.T) {
	s := newSite(t)
	a, b, c := s.node(nil), s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	first, second, free := s.worker("n-1", "x", true), s.worker("n-2", "x", true), s.worker("n-3", "y", true)
	heartbeat(t, ga, first)
	heartbeat(t, ga, second)
	s.submit(a, spec("j-1", func(sp *wire.Spec) { sp.Tasks, sp.Cores = 2, 8 }))
	s.resync(ga)
	s.settle(ga)
	s.write(a, store.ChunkKey("j-1", 0), torn)
	stop()
	gb, stop := s.elect(b)
	heartbeat(t, gb, first) // the other does not find this leader
	first.End(first.Live()[0], wire.CauseDone)
	heartbeat(t, gb, first)
	s.advance(5 * time.Second)
	heartbeat(t, gb, first)
	s.settle(gb)
	stop()
	gc, _ := s.elect(c)
	heartbeat(t, gc, free) // finds the new leader first, and has room
	s.settle(gc)
	if got := free.Starts(); len(got) != 0 {
		t.Fatalf("started %v while it may run elsewhere", got)
	}
	for range 12 {
		s.advance(3 * time.Second)
		heartbeat(t, gc, first)
		heartbeat(t, gc, second)
		heartbeat(t, gc, free)
		s.settle(gc)
	}
	if got := second.Live(); len(got) != 1 {
		t.Errorf("on its machine: %v, want what ran all along", got)
	}
	if got := len(first.Starts()) + len(second.Starts()) + len(free.Starts()); got != 2 {
		t.Errorf("%d starts, though one is done and one runs", got)
	}
}

// Nothing of what can be made anew keeps a leader from leading.
func TestDamagedCatalogue(t *testing.T) {
	s := newSite(t)
	a, b := s.node(nil), s.node(nil)
	_, stop := s.elect(a)
	s.write(a, store.KeyCatalog, torn)
	s.write(a, store.KeyDemand, torn)
	s.write(a, "j/not a job", torn)
	stop()
	l, _ := s.elect(b)
	if r := mustReport(t, l); len(r.Damaged) != 3 || r.Stage != recovery.StageComplete {
		t.Errorf("operators are told %+v", r)
	}
	if err := l.readCatalog(t.Context()); err != nil || l.catalogRevision == 0 {
		t.Errorf("the catalogue is not written anew: %v", err)
	}
}

// Machines that have not had the time to find the new leader are neither replaced nor returned.
func TestMachinesThatAreYetToReportAreNotReplaced(t *testing.T) {
	const replicas = 12
	s := newSite(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	s.submit(n, spec("j-1", func(sp *wire.Spec) {
		sp.Tasks, sp.Cores, sp.Kind, sp.Priority, sp.ExpectedS, sp.Preemptible = replicas, 8, wire.KindService, "critical", 0, false
	}))
	s.resync(l)
	for range 4 {
		l.autoscale(t.Context())
	}
	var ws []*standin.Worker
	for _, h := range s.cloud.Hosts() {
		ws = append(ws, s.worker(h.UID, h.Zone, h.Preemptible))
	}
	if len(ws) < replicas {
		t.Fatalf("%d machines rented", len(ws))
	}
	s.pass(l, ws, 10)
	next := s.node(nil)
	next.cfg.Others = []config.Node{{Node: "node-8"}, {Node: "node-9"}}
	s.kill(n)
	s.clk.Advance(10 * time.Second)
	gb, _ := s.elect(next)
	if err := gb.readMachineList(t.Context()); err != nil {
		t.Fatal(err)
	}
	before := len(s.cloud.Asked())
	for second := range 14 {
		s.advance(time.Second)
		found := ws[:2]
		if second > 10 {
			found = ws
		}
		for _, w := range found {
			heartbeat(t, gb, w)
		}
		gb.pass(t.Context())
		gb.autoscale(t.Context())
	}
	if more := s.cloud.Asked()[before:]; len(more) != 0 {
		t.Errorf("rented %+v though all had yet to report, and then did", more)
	}
	if got := s.cloud.Returns(); len(got) != 0 {
		t.Errorf("returned %v", got)
	}
	if r := mustReport(t, gb); r.Stage != recovery.StageComplete || r.Machines.Reconciled != r.Machines.Recorded || r.Machines.Recorded < replicas {
		t.Errorf("recovery %+v", r)
	}
}
