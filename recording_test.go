package cedardoor

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cedardoor/statewriter"
	"cedardoor/store"
	"cedardoor/wire"
)

// The number of changes follows the records written, not the tasks: results are recorded together,
// and the placements of a job in one change.
func TestChangesFollowRecordsNotTasks(t *testing.T) {
	changes := func(tasks int) (placed, ended int) {
		cluster, node, leader, worker := clusterWithWorker(t)
		cluster.submit(node, jobSpec("j-1", func(spec *wire.Spec) { spec.Tasks, spec.Cores, spec.RAM = tasks, 0.05, 0.1 }))
		cluster.resync(leader)
		before := cluster.state.ChangeCount()
		cluster.settle(leader)
		placed = cluster.state.ChangeCount() - before
		if len(worker.LiveTasks()) != tasks {
			t.Fatalf("%d of %d tasks run", len(worker.LiveTasks()), tasks)
		}
		before = cluster.state.ChangeCount()
		for i := range tasks - 1 {
			worker.EndTask(fmt.Sprintf("j-1/%d", i), wire.CauseDone)
			cluster.reportAndSettle(leader, worker)
		}
		cluster.advance(3 * time.Second)
		cluster.reportAndSettle(leader, worker)
		return placed, cluster.state.ChangeCount() - before
	}
	fewPlaced, fewEnded := changes(6)
	manyPlaced, manyEnded := changes(110)
	if fewPlaced != manyPlaced || fewEnded != manyEnded {
		t.Errorf("6 tasks take %d and %d changes, 110 take %d and %d", fewPlaced, fewEnded, manyPlaced, manyEnded)
	}
}

// Jobs of one task each share the records of their attempts, and each is recorded as done by one
// change. The changes of a job do not grow with their number, and a failover neither loses a job
// nor runs one twice.
func TestSingleTaskJobsShareRecords(t *testing.T) {
	changesPerJob := func(jobs int) float64 {
		cluster, nodeA, nodeB := clusterWithTwoNodes(t, nil)
		leader, stop := cluster.elect(nodeA)
		workers := cluster.workers(leader, "n-%d", 4)
		uid := func(k int) string { return fmt.Sprintf("j-%d", k) }
		for k := range jobs {
			cluster.submit(nodeA, jobSpec(uid(k), func(spec *wire.Spec) { spec.Cores, spec.RAM = 0.25, 0.5 }))
		}
		accepted := cluster.state.ChangeCount()
		cluster.resync(leader)
		work := func(rounds int) {
			for range rounds {
				cluster.settle(leader)
				for _, worker := range workers {
					for _, task := range worker.LiveTasks() {
						worker.EndTask(task, wire.CauseDone)
					}
					heartbeat(t, leader, worker)
				}
				cluster.advance(time.Second)
			}
		}
		work(1)
		cluster.settle(leader)
		stop()
		leader, _ = cluster.elect(nodeB)
		work(12)
		cluster.settle(leader)
		for k := range jobs {
			if _, status, _ := cluster.ask(nodeB, http.MethodGet, jobPath(uid(k)), nil); status.Status != wire.JobDone {
				t.Fatalf("%s of %d: %+v, want done", uid(k), jobs, status)
			}
			if code, status, _ := cluster.ask(nodeA, http.MethodPost, wire.PathJobs, jobSpec(uid(k), nil)); code != http.StatusOK || status.Status != wire.JobDone {
				t.Fatalf("%s submitted again: %d %+v", uid(k), code, status)
			}
		}
		seen := checkStartedOnce(t, workers)
		if len(seen) != jobs {
			t.Errorf("%d attempts of %d jobs, want one each", len(seen), jobs)
		}
		// With changes to spare all of them move to their final place, and the
		// shared records go.
		if left := cluster.state.Keys(store.PrefixJob); len(left) != 0 {
			t.Errorf("%d jobs have not moved", len(left))
		}
		if left := cluster.state.Keys(store.PrefixShared); len(left) > 1 {
			t.Errorf("shared records left: %v", left)
		}
		return float64(cluster.state.ChangeCount()-accepted) / float64(jobs)
	}
	// One for the end, two for the move, and a share of the attempts'.
	small, large := changesPerJob(120), changesPerJob(480)
	if small > 3.6 || large > 3.4 {
		t.Errorf("%.2f and %.2f changes a job of 120 and 480, want little more than 3", small, large)
	}
}

// Whatever is to be recorded at a time, a transaction keeps to the changes and conditions that the
// state service accepts: one that does not is refused for ever, and everything behind it waits. If
// one is refused all the same, the others are recorded.
func TestTransactionsKeepTheLimits(t *testing.T) {
	cluster, node, leader, workers := clusterWithWorkers(t, 16)
	uids := []string{}
	for k := range 60 {
		uid := fmt.Sprintf("j-1%03d", k)
		uids = append(uids, uid)
		cluster.submit(node, jobSpec(uid, func(spec *wire.Spec) { spec.Tasks, spec.Cores, spec.RAM = 2, 0.1, 0.1 }))
	}
	cluster.resync(leader)
	cluster.runSeconds(leader, workers, 2)
	for k := range 150 {
		cluster.submit(node, jobSpec(fmt.Sprintf("j-2%03d", k), func(spec *wire.Spec) { spec.Cores, spec.RAM = 0.1, 0.1 }))
	}
	cluster.resync(leader)
	leader.mu.Lock()
	for _, uid := range uids {
		leader.writer.MarkDirty(uid) // recorded already with others' results
	}
	leader.mu.Unlock()
	cluster.runSeconds(leader, workers, 3)
	for _, worker := range workers {
		for _, task := range worker.LiveTasks() {
			worker.EndTask(task, wire.CauseDone)
		}
	}
	for k := range 30 {
		cluster.ask(node, http.MethodPost, fmt.Sprintf("%s/j-2%03d/%s", wire.PathJobs, k, wire.SuffixCancel), nil)
	}
	cluster.resync(leader)
	cluster.runSeconds(leader, workers, 12)
	if got := cluster.state.OversizedCount(); got != 0 {
		t.Errorf("%d transactions were refused for their size", got)
	}
	if got := cluster.state.Keys(store.PrefixJob); len(got) != 0 {
		t.Errorf("%d jobs are not over", len(got))
	}
	// One that is refused does not keep the others up.
	cluster.submit(node, jobSpec("j-3", nil))
	cluster.resync(leader)
	transaction := &statewriter.Transaction{}
	for k := range 30 {
		transaction.Txn.Operations = append(transaction.Txn.Operations, wire.Operation{Delete: fmt.Sprintf("p/x/%05d", k)})
	}
	if !leader.commit(t.Context(), transaction) {
		t.Fatal("a refused transaction ends the term")
	}
	cluster.runSeconds(leader, workers, 2)
	if startCount(workers, "j-3") != 1 {
		t.Error("nothing begins after a transaction was refused")
	}
}
