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

// The changes, direct commands and examined machines that a task of a large batch costs do not grow
// with the batch. Urgent work starts in its midst, and a failover neither loses a task nor runs one
// twice.
func TestLargeBatchCostPerTask(t *testing.T) {
	run := func(tasks int) (changes, visits float64) {
		cluster, nodeA, nodeB := clusterWithTwoNodes(t, nil)
		leader, stop := cluster.elect(nodeA)
		var workers []*standin.Worker
		for i := range 16 {
			worker := cluster.worker(fmt.Sprintf("n-%02d", i+1), "x", true)
			heartbeat(t, leader, worker)
			workers = append(workers, worker)
		}
		cluster.submit(nodeA, jobSpec("j-1", func(spec *wire.Spec) { spec.Priority, spec.Tasks, spec.Cores, spec.RAM = "low", tasks, 0.25, 0.9 }))
		cluster.resync(leader)
		before := cluster.state.ChangeCount()
		looked, done := 0, 0
		for round := 0; done < tasks; round++ {
			if round > 20+tasks/100 {
				t.Fatalf("%d of %d tasks done after %d rounds", done, tasks, round)
			}
			if round == 4 {
				stop()
				leader, _ = cluster.elect(nodeB)
			}
			if round == 6 {
				cluster.submit(nodeB, jobSpec("j-2", func(spec *wire.Spec) { spec.Priority, spec.Cores, spec.RAM = "high", 2, 4 }))
				cluster.resync(leader)
			}
			leader.pass(t.Context())
			for _, worker := range workers {
				heartbeat(t, leader, worker) // receives its commands
			}
			for _, worker := range workers {
				for _, task := range worker.LiveTasks() {
					if strings.HasPrefix(task, "j-1/") {
						worker.EndTask(task, wire.CauseDone)
					}
				}
				heartbeat(t, leader, worker)
			}
			cluster.advance(time.Second)
			leader.mu.Lock()
			done = leader.jobs.Get("j-1").Done
			looked, leader.fleet.Examined = looked+leader.fleet.Examined, 0
			leader.mu.Unlock()
		}
		cluster.settle(leader)
		starts := map[string]int{}
		for _, worker := range workers {
			for _, k := range worker.StartedAttempts() {
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
		if _, status, _ := cluster.ask(nodeA, http.MethodGet, jobPath("j-1"), nil); status.Status != wire.JobDone || status.Done != tasks {
			t.Errorf("%+v, want done", status)
		}
		return float64(cluster.state.ChangeCount()-before) / float64(tasks), float64(looked) / float64(tasks)
	}
	c1, v1 := run(5_000)
	c2, v2 := run(25_000)
	if c2 > 1.2*c1 || c2 > 0.1 || v2 > 1.2*v1 || v2 > 12 {
		t.Errorf("%.3f and %.3f changes, %.1f and %.1f visits a task of 5,000 and 25,000", c1, c2, v1, v2)
	}
}

// retainedCounts is how much a leader and the state service keep.
func (s *testCluster) retainedCounts(leader *leader) map[string]int {
	leader.mu.Lock()
	defer leader.mu.Unlock()
	allocations := 0
	leader.fleet.EachMachine(func(machine *fleet.Machine) { allocations += machine.AllocationCount() })
	rows := 0
	for _, k := range s.state.Keys(store.PrefixShared) {
		var record store.SharedRecord
		s.state.Value(k, &record)
		rows += len(record.Rows)
	}
	left := leader.writer.Backlog()
	return map[string]int{"jobs": leader.jobs.Len(), "dirty": left.Dirty, "pending results": left.PendingResults, "queue": leader.jobs.WaitingLen(), "stale shared records": left.StaleShared, "final moves": left.FinalMoves,
		"allocations": allocations, "unfinished jobs": len(s.state.Keys(store.PrefixJob)), "shared records": len(s.state.Keys(store.PrefixShared)),
		"rows": rows, "records": len(s.state.Keys(store.PrefixAttempts))}
}

// Jobs of one task arrive four a second for minutes, a quarter of them are cancelled at some point
// of their life, with polls and a failover. What is stored follows the unfinished jobs, and nothing
// remains of those that are over.
func TestManySmallJobsWithCancellationsLeaveNothing(t *testing.T) {
	const perSecond, lasts = 4, 150
	cluster := newTestCluster(t)
	nodes := []*Service{cluster.node(nil), cluster.node(nil)}
	leader, stop := cluster.elect(nodes[0])
	var workers []*standin.Worker
	for i := range 3 {
		worker := cluster.worker(fmt.Sprintf("n-%d", i+1), "x", true)
		heartbeat(t, leader, worker)
		workers = append(workers, worker)
	}
	uid := func(k int) string { return fmt.Sprintf("j-%d", k) }
	cancelled := map[string]bool{}
	most := map[string]int{}
	var half map[string]int
	second := func(at int, submit bool) {
		if submit {
			for k := at * perSecond; k < (at+1)*perSecond; k++ {
				cluster.submit(nodes[k%2], jobSpec(uid(k), func(spec *wire.Spec) { spec.Cores, spec.RAM = 0.5, 0.5 }))
			}
		}
		// Every fourth job is cancelled: at once, or up to three seconds later, some after their end.
		if k := (at-at%4)*perSecond + at%4; submit {
			if _, status, _ := cluster.ask(nodes[at%2], http.MethodPost, cancelPath(uid(k)), nil); status.Status == wire.JobCancelled {
				cancelled[uid(k)] = true
			}
		}
		cluster.syncAndSettle(leader)
		for i, worker := range workers {
			for n, task := range worker.LiveTasks() {
				if (n+i+at)%3 == 0 {
					worker.EndTask(task, wire.CauseDone)
				}
			}
			heartbeat(t, leader, worker)
		}
		cluster.ask(nodes[at%2], http.MethodGet, jobPath(uid(max(0, 4*at-8))), nil)
		cluster.settle(leader)
		cluster.advance(time.Second)
	}
	for at := range lasts {
		if at == 40 {
			stop()
			leader, stop = cluster.elect(nodes[1])
		}
		second(at, true)
		if at == 95 {
			half, most = most, map[string]int{}
		}
		for what, n := range cluster.retainedCounts(leader) {
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
	// The last jobs are cancelled as they run: no other job's end removes their rows.
	for k := perSecond * lasts; k < perSecond*lasts+3; k++ {
		cluster.submit(nodes[0], jobSpec(uid(k), nil))
	}
	cluster.syncAndSettle(leader)
	for k := perSecond * lasts; k < perSecond*lasts+3; k++ {
		if _, status, _ := cluster.ask(nodes[0], http.MethodPost, cancelPath(uid(k)), nil); status.Status != wire.JobCancelled {
			t.Errorf("cancellation: %+v", status)
		}
	}
	for at := range 90 {
		second(lasts+at, false)
	}
	for what, n := range cluster.retainedCounts(leader) {
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
		if _, status, _ := cluster.ask(nodes[k%2], http.MethodGet, jobPath(uid(k)), nil); status.Status != want {
			t.Fatalf("%s: %+v, want %s", uid(k), status, want)
		}
	}
	seen := map[string]bool{}
	for _, worker := range workers {
		for _, k := range worker.StartedAttempts() {
			if seen[k] {
				t.Errorf("%s started twice", k)
			}
			seen[k] = true
		}
	}
}
