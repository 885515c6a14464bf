package cedardoor

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"cedardoor/config"
	"cedardoor/internal/standin"
	"cedardoor/store"
	"cedardoor/wire"
)

// smallTasks returns a modifier that gives a job many tasks, of which a machine can hold hundreds.
func smallTasks(tasks int) func(spec *wire.Spec) {
	return func(spec *wire.Spec) { spec.Tasks, spec.Cores, spec.RAM = tasks, 0.01, 0.01 }
}

// announcing returns a settings modifier that announces limits of the state service.
func announcing(limits standin.StateLimits) func(facts *config.Facts) {
	return func(facts *config.Facts) {
		facts.State.Next = &config.NextState{ValueKB: float64(limits.ValueBytes) / 1024, TxnOps: limits.Operations}
	}
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

// Guards against a transaction that the state service refuses with another status than 400 while it serves all
// other requests, and that keeps all others from being written (incident 0036). An outage, in which it
// refuses everything, is none of that: no change pauses after it.
func TestTransactionRefusedOtherwiseDelaysNothingElse(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests} {
		t.Run(fmt.Sprintf("status %d", status), func(t *testing.T) {
			cluster, node, leader, worker := clusterWithWorker(t)
			workers := []*standin.Worker{worker}
			cluster.submit(node, jobSpec("j-1", smallTasks(3)))
			cluster.submit(node, jobSpec("j-2", smallTasks(2)))
			cluster.resync(leader)
			cluster.state.RefuseTransactionsWith(status, func(txn *wire.Txn) bool {
				return slices.ContainsFunc(txn.Operations, func(operation wire.Operation) bool { return operation.Set == store.ChunkKey("j-1", 0) })
			})
			ctx, cancel := context.WithCancel(t.Context())
			clockStopped := make(chan struct{})
			go func() { defer close(clockStopped); cluster.runClock(ctx, 20*time.Millisecond) }()
			passes, stopPasses := context.WithTimeout(t.Context(), 3*time.Second)
			for range 12 {
				leader.pass(passes)
				cluster.resync(leader) // commands wait for it after an interruption of the state service
				cluster.advance(200 * time.Millisecond)
				heartbeat(t, leader, worker)
				if countLiveTasks(workers, "j-2") == 2 {
					break
				}
			}
			stopPasses()
			cancel()
			<-clockStopped
			if got := countLiveTasks(workers, "j-2"); got != 2 {
				t.Errorf("%d of 2 tasks of another job run", got)
			}
		})
	}
}

// lowerLimits are limits to which a state service falls from 24 operations and 32 KiB.
var lowerLimits = []standin.StateLimits{
	{Operations: 8, ValueBytes: 2 << 10},
	{Operations: 24, ValueBytes: 1 << 10},
	{Operations: 4, ValueBytes: 32 << 10},
	{Operations: 4, ValueBytes: 3 << 10},
}

// Guards against jobs that never run, and results that are never recorded, since their records are too large
// or too many for limits to which the state service has fallen (incidents 0029, 0030 and 0031): before
// or after they were stored, before and after a change of leader, with limits that the settings announce
// and others, and with answers lost meanwhile.
func TestJobsRunAfterLimitsFall(t *testing.T) {
	for _, limits := range lowerLimits {
		for _, announced := range []bool{false, true} {
			for _, lost := range []int{0, 2} {
				t.Run(fmt.Sprintf("%d operations, %d bytes, announced %t, %d answers lost", limits.Operations, limits.ValueBytes, announced, lost), func(t *testing.T) {
					t.Parallel()
					playLowerLimits(t, limits, announced, lost)
				})
			}
		}
	}
}

// playLowerLimits runs jobs while the limits fall and the leader changes, and checks that all of them run.
func playLowerLimits(t *testing.T, limits standin.StateLimits, announced bool, lost int) {
	var mod func(facts *config.Facts)
	if announced {
		mod = announcing(limits)
	}
	cluster, nodeA, nodeB := clusterWithTwoNodes(t, mod)
	leader, stop := cluster.elect(nodeA)
	workers := cluster.workers(leader, "n-%06d", 6)
	singles := func(from, to int) {
		for k := from; k < to; k++ {
			cluster.submit(nodeB, jobSpec(fmt.Sprintf("j-%06d", k), smallTasks(1)))
		}
	}
	singles(1000, 1070)
	cluster.submit(nodeB, jobSpec("j-1", smallTasks(250)))
	cluster.syncAndSettle(leader)
	cluster.runSeconds(leader, workers, 2)
	cluster.state.SetLimits(limits)
	singles(2000, 2070)
	cluster.submit(nodeB, jobSpec("j-2", smallTasks(250)))
	cluster.submit(nodeB, jobSpec("j-3", func(spec *wire.Spec) { smallTasks(3)(spec); spec.Kind = wire.KindGang }))
	endTasks(workers, "j-1", 100)
	cluster.settleLosing(leader, lost)
	cluster.runSeconds(leader, workers, 6)
	for uid, want := range map[string]int{"j-1": 150, "j-2": 250, "j-3": 3} {
		if got := countLiveTasks(workers, uid); got != want {
			t.Errorf("%d tasks of %s run after the limits fell, want %d", got, uid, want)
		}
	}
	stop()
	leader, _ = cluster.elect(nodeB)
	if damaged := leader.reconciler.Report(leader.clock.Now()).Damaged; len(damaged) > 0 {
		t.Errorf("the next leader finds damaged records: %+v", damaged)
	}
	endTasks(workers, "j-2", 120)
	singles(3000, 3010)
	cluster.submit(nodeA, jobSpec("j-4", smallTasks(150)))
	cluster.settleLosing(leader, lost)
	cluster.runSeconds(leader, workers, 6)
	if got := countLiveTasks(workers, "j-4"); got != 150 {
		t.Errorf("%d of 150 tasks run under the next leader", got)
	}
	for range 3 {
		for _, worker := range workers {
			for _, task := range worker.LiveTasks() {
				worker.EndTask(task, wire.CauseDone)
			}
		}
		cluster.runSeconds(leader, workers, 6)
	}
	for _, prefix := range []string{store.PrefixJob, store.PrefixAttempts} {
		if left := cluster.state.Keys(prefix); len(left) > 0 {
			t.Errorf("records of unfinished jobs are left: %v", left[:min(len(left), 10)])
		}
	}
	for _, uid := range []string{"j-1", "j-2", "j-3", "j-4", "j-001000", "j-002069", "j-003009"} {
		cluster.checkStatus(nodeA, uid, wire.JobDone)
	}
	if attempts := checkStartedOnce(t, workers); len(attempts) != 150+650+3 {
		t.Errorf("%d attempts have started, want one for each of the %d tasks", len(attempts), 150+650+3)
	}
	checkRefusalPauses(t, cluster.state.OversizedTransactions(), 7)
}

// settleLosing makes the leader read all jobs and settle while the answers to the next transactions are lost.
func (s *testCluster) settleLosing(leader *leader, lost int) {
	s.tb.Helper()
	s.state.LoseResponses(lost)
	ctx, cancel := context.WithCancel(s.tb.Context())
	done := make(chan struct{})
	go func() { defer close(done); s.runClock(ctx, 20*time.Millisecond) }()
	s.syncAndSettle(leader)
	s.state.LoseResponses(0)
	cancel()
	<-done
	s.resync(leader) // commands wait for it after an interruption of the state service
}

// endTasks ends some tasks of a job as done.
func endTasks(workers []*standin.Worker, uid string, count int) {
	for _, worker := range workers {
		for _, task := range worker.LiveTasks() {
			if count > 0 && jobOf(task) == uid {
				worker.EndTask(task, wire.CauseDone)
				count--
			}
		}
	}
}

// submitAtOnce submits jobs that reach the node while the state service does not answer, and returns the
// status codes of the responses.
func (s *testCluster) submitAtOnce(node *Service, specs ...wire.Spec) (codes []int) {
	s.tb.Helper()
	codes = make([]int, len(specs))
	var users sync.WaitGroup
	release := s.state.Stall()
	before := s.state.RequestCount()
	submit := func(i int) {
		users.Go(func() { codes[i], _, _ = s.ask(node, http.MethodPost, wire.PathJobs, specs[i]) })
	}
	submit(0)
	for s.state.RequestCount() == before { // the others queue behind it
		time.Sleep(time.Millisecond)
	}
	for i := 1; i < len(specs); i++ {
		submit(i)
	}
	time.Sleep(50 * time.Millisecond)
	release()
	users.Wait()
	return codes
}

// jobSpecs returns single-task jobs with consecutive numbers.
func jobSpecs(first, count int) (specs []wire.Spec) {
	for i := range count {
		specs = append(specs, jobSpec(fmt.Sprintf("j-%d", first+i), nil))
	}
	return specs
}

// Guards against batches of submissions that are refused again and again, since they hold more of them than a
// transaction may after the limits fell (incident 0033).
func TestSubmissionsAfterLimitsFall(t *testing.T) {
	cluster, node, _, _ := clusterWithWorker(t)
	cluster.submit(node, jobSpec("j-1", nil))
	cluster.state.SetLimits(standin.StateLimits{Operations: 4, ValueBytes: 32 << 10})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go cluster.runClock(ctx, 20*time.Millisecond)
	for wave := range 6 {
		for i, code := range cluster.submitAtOnce(node, jobSpecs(100+20*wave, 20)...) {
			if code != http.StatusCreated {
				t.Errorf("job %d of wave %d: status %d", i, wave, code)
			}
		}
	}
	if got := len(cluster.state.OversizedTransactions()); got > 3 {
		t.Errorf("%d batches were refused, want at most 3", got)
	}
}

// A submission whose record is too large for the state service is refused by itself, and none of those in
// the same batch are.
func TestSubmissionTooLargeIsRefusedAlone(t *testing.T) {
	cluster, node, _, _ := clusterWithWorker(t)
	cluster.submit(node, jobSpec("j-1", nil))
	cluster.state.SetLimits(standin.StateLimits{Operations: 24, ValueBytes: 1 << 10})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go cluster.runClock(ctx, 20*time.Millisecond)
	specs := jobSpecs(100, 12)
	const large = 6
	specs[large].MachineTypes = []string{"b"}
	for k := range 50 {
		specs[large].MachineTypes = append(specs[large].MachineTypes, fmt.Sprintf("another-machine-type-%d", k))
	}
	for i, code := range cluster.submitAtOnce(node, specs...) {
		want := http.StatusCreated
		if i == large {
			want = http.StatusServiceUnavailable
		}
		if code != want {
			t.Errorf("job %d: status %d, want %d", i, code, want)
		}
	}
	if got := node.store.TxnOps(); got != 24 {
		t.Errorf("transactions of up to %d operations after the refusal of a value", got)
	}
}

// Guards against submissions that are never accepted, since a batch holds more changes than the state service
// allows at once.
func TestSubmissionsAfterRateFalls(t *testing.T) {
	cluster, node, _, _ := clusterWithWorker(t)
	cluster.submit(node, jobSpec("j-1", nil))
	cluster.state.SetLimits(standin.StateLimits{Operations: 24, ValueBytes: 32 << 10, WriteRPS: 5})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go cluster.runClock(ctx, 20*time.Millisecond)
	accepted := 0
	for range 6 {
		for _, code := range cluster.submitAtOnce(node, jobSpecs(100, 14)...) {
			if code == http.StatusCreated {
				accepted++
			}
		}
		cluster.clock.Advance(time.Second)
	}
	if accepted < 13 {
		t.Errorf("%d of 14 submissions were accepted in six attempts", accepted)
	}
}

// Guards against a cancellation that the state service refused, and that the leader takes for one that may
// have been executed.
func TestRefusedCancellationIsNotPending(t *testing.T) {
	cluster, node, leader, _ := clusterWithWorker(t)
	cluster.submit(node, jobSpec("j-1", nil))
	cluster.syncAndSettle(leader)
	cluster.state.RefuseTransactions(func(*wire.Txn) bool { return true })
	if code, _, _ := cluster.ask(node, http.MethodPost, cancelPath("j-1"), nil); code != http.StatusServiceUnavailable {
		t.Errorf("status %d for a cancellation that the state service refuses", code)
	}
	first := node.store.FirstRevision()
	if pending, complete := node.users.Cancellations.Since(first, first); len(pending) > 0 || !complete {
		t.Errorf("pending cancellations %v, complete %t", pending, complete)
	}
	cluster.state.RefuseTransactions(nil)
	cluster.cancelJob(node, "j-1")
}

// Guards against a transaction that holds more changes than the state service allows at once, and that is
// sent for ever while nothing else is recorded (incident 0032): the rate falls, the size of a transaction
// does not.
func TestJobsRunAfterRateFalls(t *testing.T) {
	cluster, node, leader, worker := clusterWithWorker(t)
	for k := range 30 {
		cluster.submit(node, jobSpec(fmt.Sprintf("j-%d", k), smallTasks(2)))
	}
	cluster.resync(leader)
	cluster.state.SetLimits(standin.StateLimits{Operations: 24, ValueBytes: 32 << 10, WriteRPS: 10})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	settled := make(chan struct{})
	go func() { defer close(settled); cluster.runClock(ctx, 20*time.Millisecond) }()
	start := cluster.clock.Now()
	for len(worker.LiveTasks()) < 60 && ctx.Err() == nil {
		leader.pass(ctx)
		cluster.resync(leader)
		cluster.advance(20 * time.Millisecond)
		heartbeat(t, leader, worker)
	}
	cancel()
	<-settled
	if got, took := len(worker.LiveTasks()), cluster.clock.Now().Sub(start); got != 60 || took > 15*time.Second {
		t.Errorf("%d of 60 tasks run after %v", got, took)
	}
}
