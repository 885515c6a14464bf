package cedardoor

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"cedardoor/store"
	"cedardoor/wire"

	"github.com/google/go-cmp/cmp"
)

// A job runs until all of its tasks are done, and is reported as done once that is recorded.
func TestJobRunsToCompletion(t *testing.T) {
	cluster, node, leader, worker := clusterWithWorker(t)
	cluster.submit(node, jobSpec("j-1", func(spec *wire.Spec) { spec.Tasks = 2 }))
	cluster.syncAndSettle(leader)
	if got := worker.LiveTasks(); !cmp.Equal(got, []string{"j-1/0", "j-1/1"}) {
		t.Fatalf("on the machine: %v", got)
	}
	worker.EndTask("j-1/0", wire.CauseDone)
	cluster.reportAndSettle(leader, worker)
	if _, status, _ := cluster.ask(node, http.MethodGet, jobPath("j-1"), nil); status.Status == wire.JobDone {
		t.Fatal("done before all its tasks are")
	}
	worker.EndTask("j-1/1", wire.CauseDone)
	heartbeat(t, leader, worker)
	// Done is told only when it is durable: until the pass records it, it is not.
	if _, status, _ := cluster.ask(node, http.MethodGet, jobPath("j-1"), nil); status.Status == wire.JobDone {
		t.Fatal("done before it was recorded")
	}
	cluster.settle(leader)
	if _, status, _ := cluster.ask(node, http.MethodGet, jobPath("j-1"), nil); status.Status != wire.JobDone || status.Done != 2 {
		t.Fatalf("state %+v, want done", status)
	}
	// The run may come again until the worker has shown a higher token.
	heartbeat(t, leader, worker)
	heartbeat(t, leader, worker)
	worker.RepeatCommands()
	for range 4 {
		cluster.advance(10 * time.Second)
		heartbeat(t, leader, worker)
	}
	cluster.settle(leader)
	for range 3 { // learns the token, shows it, forgets
		heartbeat(t, leader, worker)
		worker.RepeatCommands()
	}
	if report := worker.Report(); len(report.Tasks) != 0 {
		t.Errorf("not forgotten: %v", report.Tasks)
	}
	if got := worker.StartedAttempts(); len(got) != 2 {
		t.Errorf("started %v, want each task once", got)
	}
	if keys := cluster.state.Keys(store.PrefixAttempts); len(keys) != 0 {
		t.Errorf("records left: %v", keys)
	}
}

// A worker is not told to forget a result before it is recorded.
func TestResultIsDurableBeforeForget(t *testing.T) {
	cluster, node, leader, worker := clusterWithWorker(t)
	cluster.submit(node, jobSpec("j-1", func(spec *wire.Spec) { spec.Tasks = 2 }))
	cluster.syncAndSettle(leader)
	worker.EndTask("j-1/0", wire.CauseDone)
	heartbeat(t, leader, worker)
	heartbeat(t, leader, worker)
	if report := worker.Report(); len(report.Tasks) != 2 {
		t.Fatalf("result forgotten before it was recorded: %v", report.Tasks)
	}
}

// A task that is queued again before its job's waiting tasks were processed is queued once: placed
// twice by one plan, it would leave an allocation that nothing frees.
func TestTaskIsQueuedOnce(t *testing.T) {
	cluster, node, leader, worker := clusterWithWorker(t)
	cluster.submit(node, jobSpec("j-1", nil))
	cluster.resync(leader)
	leader.mu.Lock()
	now := leader.clock.Now()
	leader.runPlan(now)
	job := leader.jobs.Get("j-1")
	leader.stopAttempt(job, job.Tasks[0].Allocation, now) // never sent, so it is gone at once
	leader.jobs.SetChanged(true)
	leader.runPlan(now)
	if got := leader.fleet.Machine("n-1").AllocationCount(); got != 1 {
		t.Errorf("%d allocations of one task", got)
	}
	leader.mu.Unlock()
	cluster.settle(leader)
	if got := worker.StartedAttempts(); len(got) != 1 {
		t.Errorf("started %v, want once", got)
	}
}

// The start of an adopted attempt was not observed, so its run time must not be compared with
// others.
func TestAdoptedAttemptsAreNotMeasured(t *testing.T) {
	cluster, nodeA, nodeB := clusterWithTwoNodes(t, nil)
	oldLeader, stop := cluster.elect(nodeA)
	worker := cluster.worker("n-1", "x", true)
	heartbeat(t, oldLeader, worker)
	cluster.submit(nodeA, jobSpec("j-1", func(spec *wire.Spec) { spec.Tasks = 3 }))
	cluster.syncAndSettle(oldLeader)
	worker.EndTask("j-1/0", wire.CauseDone)
	heartbeat(t, oldLeader, worker)
	if n := oldLeader.jobs.Get("j-1").RunTimes.Count; n != 1 {
		t.Fatalf("%d runs measured, want the one whose start was seen", n)
	}
	cluster.settle(oldLeader)
	stop()
	newLeader, _ := cluster.elect(nodeB)
	heartbeat(t, newLeader, worker)
	worker.EndTask("j-1/1", wire.CauseDone)
	heartbeat(t, newLeader, worker)
	if job := newLeader.jobs.Get("j-1"); job.Done != 2 || job.RunTimes.Count != 0 {
		t.Errorf("done %d, runs measured %d; want 2 and none", job.Done, job.RunTimes.Count)
	}
}

// A listing that was read before a job ended may be processed after it. The job's record then says
// that it is over, and no task of it is started again.
func TestStaleJobListingStartsNothing(t *testing.T) {
	cluster, node, leader, worker := clusterWithWorker(t)
	cluster.submit(node, jobSpec("j-1", nil))
	cluster.resync(leader)
	spec := jobSpec("j-1", nil)
	over := store.NewFinalRecord(&spec, wire.JobDone, "earlier")
	record := store.JobRecord{Spec: wire.Spec{UID: "j-1"}, Final: &over}
	cluster.writeRecord(node, store.JobKey("j-1"), record)
	for range 3 {
		cluster.settle(leader)
		heartbeat(t, leader, worker)
	}
	if got := worker.StartedAttempts(); len(got) != 0 {
		t.Errorf("started %v of a job that is done", got)
	}
	if leader.jobs.Get("j-1") != nil {
		t.Error("the leader keeps the job")
	}
	cluster.checkStatus(node, "j-1", wire.JobDone)
}

// A watch from a revision whose history has been compacted reads all jobs again.
func TestCompactedWatchReadsAgain(t *testing.T) {
	cluster, node, leader := clusterWithLeader(t)
	cluster.submit(node, jobSpec("j-1", nil))
	cluster.state.Compact()
	if _, err := node.store.Watch(t.Context(), store.PrefixJob, 1, 0); !errors.Is(err, store.ErrCompacted) {
		t.Fatalf("error %v, want %v", err, store.ErrCompacted)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); leader.watchJobs(ctx, 1) }()
	<-leader.wakeups
	cancel()
	<-done
	if leader.jobs.Get("j-1") == nil {
		t.Fatal("job missed")
	}
}
