package cedardoor

import (
	"fmt"
	"testing"
	"time"

	"cedardoor/autoscaler"
	"cedardoor/cloud"
	"cedardoor/jobs"
	"cedardoor/store"
	"cedardoor/wire"

	"github.com/google/go-cmp/cmp"
)

// adopted is a new leader that has read the records of so many machines with
// the given tasks on each, all of them of predecessors.
func adopted(t testing.TB, machines, tasks int) (*site, *leader) {
	t.Helper()
	s := newSite(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for k := range tasks {
		sp := spec(fmt.Sprintf("j-%d", k), func(sp *wire.Spec) {
			sp.Tasks, sp.Cores, sp.RAM = machines, 1, 1
			if k%2 == 0 {
				sp.Kind, sp.Priority, sp.Preemptible = wire.KindService, "critical", false
			}
		})
		raw, err := wire.Marshal(store.JobRecord{Spec: sp})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.addJob(store.JobKey(sp.UID), raw, 1, now); err != nil {
			t.Fatal(err)
		}
		job := l.jobs.Get(sp.UID)
		for i := range machines {
			machine := l.fleet.Ensure(fmt.Sprintf("n-%d", i), now)
			allocation := job.NewAllocation(i, 1)
			allocation.Incarnation = 1
			l.fleet.Adopt(machine, allocation, now)
			job.Tasks[i].State, job.Tasks[i].Allocation, job.Tasks[i].Attempt = jobs.TaskPlaced, allocation, 1
		}
	}
	return s, l
}

// report is what the i-th machine of an adopted fleet says.
func report(i, tasks int, tally, token uint64) *wire.Heartbeat {
	b := &wire.Heartbeat{Machine: fmt.Sprintf("n-%d", i), Endpoint: "e", MachineType: "b", Zone: "x", Incarnation: 1, Sequence: tally, Token: token}
	for k := range tasks {
		b.Tasks = append(b.Tasks, wire.TaskReport{Task: fmt.Sprintf("j-%d/%d", k, i), Attempt: 1, Status: wire.TaskRunning})
	}
	return b
}

// All workers come to a new leader within a second or two. What each heartbeat costs
// does not grow with the fleet, nothing is moved or started meanwhile, and each
// machine is trusted by its second heartbeat.
func TestSurgeAfterAllControllersEnded(t *testing.T) {
	const tasks = 4
	visits := func(machines int) float64 {
		_, l := adopted(t, machines, tasks)
		l.fleet.Examined = 0
		for tally, token := range []uint64{0, l.term.Token} {
			for i := range machines {
				ans, ok := l.Heartbeat(report(i, tasks, uint64(tally)+1, token))
				if !ok || len(ans.Commands) != 0 || ans.Token != l.term.Token {
					t.Fatalf("machine %d of %d: answered %t, %+v", i, machines, ok, ans)
				}
			}
		}
		per := float64(l.fleet.Examined) / float64(2*machines)
		if up := l.fleet.ReportingCount(); up != machines {
			t.Errorf("%d of %d machines are trusted", up, machines)
		}
		return per
	}
	small, large := visits(200), visits(largeFleet)
	if small != large || large > 4*tasks {
		t.Errorf("a heartbeat of the surge visits %.1f and %.1f, want the same and few", small, large)
	}
}

// Hundreds of machines lost at once: what is lost is found by looking at it
// alone; its records go by priority, each within a transaction's limits, and its
// machines are asked for in whole batches.
func TestMassLoss(t *testing.T) {
	const tasks = 4
	visits := func(machines, lost int) int {
		s, l := adopted(t, machines, tasks)
		s.advance(10 * time.Second)
		for i := range machines - lost {
			l.Heartbeat(report(i, tasks, 1, 0))
			l.Heartbeat(report(i, tasks, 2, l.term.Token))
		}
		s.advance(14 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		now := l.clock.Now()
		l.fleet.Examined = 0
		news := l.fleet.ExpireLeases(now)
		if len(news) != lost*tasks {
			t.Fatalf("%d of %d machines lost: %d tasks gone, want %d", lost, machines, len(news), lost*tasks)
		}
		looked := l.fleet.Examined
		l.applyEvents(news, now)
		for job := range l.jobs.All() {
			l.writer.MarkDirty(job.UID)
		}
		last := wire.PriorityCritical
		for tx := l.buildTransaction(); tx != nil; tx = l.buildTransaction() {
			if n := len(tx.Txn.Operations); n > l.cfg.Facts.State.TxnOps {
				t.Fatalf("%d changes in a transaction", n)
			}
			for _, operation := range tx.Txn.Operations {
				uid, _, ok := store.ParseChunkKey(operation.Set)
				if !ok {
					t.Fatalf("%q is written for tasks that are gone", operation.Set)
				}
				job := l.jobs.Get(uid)
				if job.Priority > last {
					t.Errorf("%s is recorded after work of lower priority", uid)
				}
				last = job.Priority
			}
			l.writer.Applied(tx, 1, now, l.fleet.MarkDurable)
		}
		return looked
	}
	// Each machine's lease end is looked at once a lease; beyond that, only what is lost.
	for _, machines := range []int{300, largeFleet} {
		if looked := visits(machines, 100); looked > machines+100*tasks {
			t.Errorf("the loss of 100 of %d machines visits %d", machines, looked)
		}
	}
	got := autoscaler.SplitRentals([]cloud.Rental{{MachineType: "b", Zone: "x", Count: 120}, {MachineType: "b", Zone: "y", Preemptible: true, Count: 70}}, 4)
	want := []cloud.Rental{{MachineType: "b", Zone: "x", Count: 50}, {MachineType: "b", Zone: "x", Count: 50}, {MachineType: "b", Zone: "x", Count: 20}, {MachineType: "b", Zone: "y", Preemptible: true, Count: 50}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Every transaction may be applied by the store, answered, and arrive again:
// nothing that users were told, and nobody's lead, changes by it.
func TestRepeatedTransactionsChangeNothing(t *testing.T) {
	s, n, l, w := alone(t)
	s.submit(n, spec("j-1", nil))
	s.submit(n, spec("j-2", nil))
	s.submit(n, spec("j-3", nil))
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
	if code, v, _ := s.ask(n, "POST", wire.PathJobs, spec("j-2", nil)); code != 200 || v.Status != wire.JobCancelled {
		t.Errorf("a submission that comes again after the abort: %d %+v", code, v)
	}
	if _, ok := n.elector.MayAnswerHeartbeats(); !ok {
		t.Error("the lead was lost")
	}
}
