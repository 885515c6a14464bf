package cedardoor

import (
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"cedardoor/config"
	"cedardoor/recovery"
	"cedardoor/store"
	"cedardoor/wire"
)

// A job whose record can't be decoded stays known and its tasks run on; the others are served.
func TestJobWithADamagedRecord(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
	heartbeat(t, ga, w)
	s.submit(a, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks = 2 }))
	s.resync(ga)
	s.settle(ga)
	s.writeRecord(a, store.JobKey("j-1"), damagedRecord)
	stop()
	gb, _ := s.elect(b)
	s.submit(b, jobSpec("j-2", nil))
	s.resync(gb)
	for range 3 {
		heartbeat(t, gb, w)
		heartbeat(t, gb, other)
		s.lookUpOrphans(gb)
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
	if code, _, _ := s.ask(b, http.MethodPost, wire.PathJobs, jobSpec("j-1", nil)); code != http.StatusServiceUnavailable {
		t.Errorf("its submission again: status %d", code)
	}
	r := mustRecoveryReport(t, gb)
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
			s := newTestCluster(t)
			a, b, c := s.node(nil), s.node(nil), s.node(nil)
			ga, stop := s.elect(a)
			w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
			heartbeat(t, ga, w)
			s.submit(a, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks = tt.tasks }))
			s.submit(a, jobSpec("j-2", nil)) // shares the record, where there is one
			s.resync(ga)
			s.settle(ga)
			var whole store.JobRecord
			s.state.Value(store.JobKey("j-1"), &whole)
			if tt.missing {
				s.deleteRecord(a, store.JobKey("j-1"))
			} else {
				s.writeRecord(a, store.JobKey("j-1"), damagedRecord)
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
			s.writeRecord(b, store.JobKey("j-1"), whole)
			s.resync(gb)
			for s.state.Value(store.KeyLead, nil) { // it gives the lead up
				runtime.Gosched()
			}
			s.disconnect(b)
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
		s := newTestCluster(t)
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
			s.submit(a, jobSpec(uid, func(sp *wire.Spec) { sp.Tasks = len(tasks) / len(jobs) }))
		}
		s.submit(a, jobSpec("j-7", func(sp *wire.Spec) { sp.Kind, sp.Tasks = wire.KindService, 1 }))
		s.resync(ga)
		s.settle(ga)
		key := store.ChunkKey("j-1", 0)
		if shared {
			key = s.state.Keys(store.PrefixShared)[0]
		}
		s.writeRecord(a, key, damagedRecord)
		stop()
		w.End(tasks[2], "lost") // gone without a trace
		forgetEnded(w, ga.term.Token)
		gb, _ := s.elect(b)
		if use := gb.quota.Usage("team").Total.Cores.Decimal(); use < 8 {
			t.Fatalf("shared %t: the team uses %v, want that what may run counts", shared, use)
		}
		s.submit(b, jobSpec("j-8", nil))
		s.resync(gb)
		look := func() {
			heartbeat(t, gb, w)
			heartbeat(t, gb, other)
			s.lookUpOrphans(gb)
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

// A machine that has not shown the new leader's token may yet get an old command: nothing of an
// unreadable record starts while its lease may last, though it answers questions.
func TestUnaccountedMachineKeepsTasksBack(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w, other := s.worker("n-1", "x", true), s.worker("n-2", "y", true)
	heartbeat(t, ga, w)
	s.submit(a, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks = 3 }))
	s.resync(ga)
	s.settle(ga)
	s.writeRecord(a, store.ChunkKey("j-1", 0), damagedRecord)
	w.End("j-1/2", "lost")
	forgetEnded(w, ga.term.Token)
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
	if r := mustRecoveryReport(t, gb); r.Attempts.Unreadable != 1 {
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
	s := newTestCluster(t)
	a, b, c := s.node(nil), s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	first, second, free := s.worker("n-1", "x", true), s.worker("n-2", "x", true), s.worker("n-3", "y", true)
	heartbeat(t, ga, first)
	heartbeat(t, ga, second)
	s.submit(a, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks, sp.Cores = 2, 8 }))
	s.resync(ga)
	s.settle(ga)
	s.writeRecord(a, store.ChunkKey("j-1", 0), damagedRecord)
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
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	_, stop := s.elect(a)
	s.writeRecord(a, store.KeyCatalog, damagedRecord)
	s.writeRecord(a, store.KeyDemand, damagedRecord)
	s.writeRecord(a, "j/not a job", damagedRecord)
	stop()
	l, _ := s.elect(b)
	if r := mustRecoveryReport(t, l); len(r.Damaged) != 3 || r.Stage != recovery.StageComplete {
		t.Errorf("operators are told %+v", r)
	}
	if err := l.readCatalog(t.Context()); err != nil || l.catalogRevision == 0 {
		t.Errorf("the catalogue is not written anew: %v", err)
	}
}
