package cedardoor

import (
	"slices"
	"testing"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/store"
	"cedardoor/wire"
)

// smallTasks returns a modifier that gives a job many tasks, of which a machine can hold hundreds.
func smallTasks(tasks int) func(spec *wire.Spec) {
	return func(spec *wire.Spec) { spec.Tasks, spec.Cores, spec.RAM = tasks, 0.01, 0.01 }
}

// countLiveTasks counts the live tasks of a job on workers.
func countLiveTasks(workers []*standin.Worker, uid string) (n int) {
	for _, worker := range workers {
		for _, task := range worker.LiveTasks() {
			if jobOf(task) == uid {
				n++
			}
		}
	}
	return n
}

// checkRefusalPauses fails the test if a key was in more than maxRefusals refused transactions within ten
// seconds.
func checkRefusalPauses(t testing.TB, refused []standin.OversizedTxn, maxRefusals int) {
	t.Helper()
	times := map[string][]time.Time{}
	for _, transaction := range refused {
		for _, key := range transaction.Keys {
			times[key] = append(times[key], transaction.At)
		}
	}
	for key, at := range times {
		for first := range at {
			last := first
			for last+1 < len(at) && at[last+1].Sub(at[first]) < 10*time.Second {
				last++
			}
			if n := last - first + 1; n > maxRefusals {
				t.Errorf("%s: in %d refused transactions within 10 s", key, n)
				break
			}
		}
	}
}

// Guards against a record that the state service refuses, whatever the reason, and that keeps all later ones
// of its priority and lower from being written, by being sent again for ever (incident 0029).
func TestRefusedRecordDelaysNothingElse(t *testing.T) {
	for _, refusedKey := range []string{store.ChunkKey("j-1", 0), "s/1.1", store.JobKey("j-1"), store.FinalKey("j-2")} {
		t.Run(refusedKey, func(t *testing.T) {
			cluster, node, leader, worker := clusterWithWorker(t)
			workers := []*standin.Worker{worker}
			refusedKey := refusedKey
			if refusedKey == "s/1.1" {
				refusedKey = store.SharedKey(leader.term.Revision, 1)
			}
			cluster.submit(node, jobSpec("j-1", smallTasks(3)))
			cluster.submit(node, jobSpec("j-2", smallTasks(1)))
			cluster.state.RefuseTransactions(func(txn *wire.Txn) bool {
				return slices.ContainsFunc(txn.Operations, func(operation wire.Operation) bool { return operation.Set == refusedKey })
			})
			cluster.syncAndSettle(leader)
			cluster.runSeconds(leader, workers, 3)
			if refusedKey == store.JobKey("j-1") || refusedKey == store.FinalKey("j-2") {
				for _, task := range worker.LiveTasks() {
					worker.EndTask(task, wire.CauseDone)
				}
				cluster.runSeconds(leader, workers, 3)
			}
			cluster.submit(node, jobSpec("j-3", smallTasks(5)))
			cluster.submit(node, jobSpec("j-4", func(spec *wire.Spec) { smallTasks(4)(spec); spec.Priority = "low" }))
			cluster.submit(node, jobSpec("j-5", func(spec *wire.Spec) { smallTasks(2)(spec); spec.Kind = wire.KindService }))
			cluster.syncAndSettle(leader)
			cluster.runSeconds(leader, workers, 2)
			for uid, want := range map[string]int{"j-3": 5, "j-4": 4, "j-5": 2} {
				if got := countLiveTasks(workers, uid); got != want {
					t.Errorf("%d of %d tasks of %s run beside a refused record", got, want, uid)
				}
			}
			for _, task := range worker.LiveTasks() {
				if jobOf(task) == "j-3" {
					worker.EndTask(task, wire.CauseDone)
				}
			}
			cluster.runSeconds(leader, workers, 4)
			cluster.checkStatus(node, "j-3", wire.JobDone)
			cluster.cancelJob(node, "j-4")
			cluster.resync(leader)
			cluster.runSeconds(leader, workers, 4)
			if left := cluster.state.Keys(store.PrefixAttempts + "j-4"); len(left) > 0 || countLiveTasks(workers, "j-4") > 0 {
				t.Errorf("records %v and %d tasks of a cancelled job are left", left, countLiveTasks(workers, "j-4"))
			}
			checkRefusalPauses(t, cluster.state.OversizedTransactions(), 7)
			cluster.state.RefuseTransactions(nil)
			cluster.runSeconds(leader, workers, 35)
			switch refusedKey {
			case store.JobKey("j-1"):
				cluster.checkStatus(node, "j-1", wire.JobDone)
			case store.FinalKey("j-2"):
				if !cluster.state.Value(refusedKey, nil) {
					t.Error("the final record is not written once it is accepted")
				}
			default:
				if got := countLiveTasks(workers, "j-1") + countLiveTasks(workers, "j-2"); got != 4 {
					t.Errorf("%d tasks run once the record is accepted, want 4", got)
				}
			}
			checkStartedOnce(t, workers)
		})
	}
}
