package cedardoor

import (
	"fmt"
	"net/http"
	"testing"

	"cedardoor/internal/standin"
	"cedardoor/wire"
)

// Faulty jobs fail on every machine. Machines that have run nothing else must not be quarantined for
// that, and after a few machines have been tried, only a few attempts are made. A machine that fails
// all tasks is still quarantined, whichever comes first.
func TestFailingJobsAndFailingMachine(t *testing.T) {
	for _, failingFirst := range []bool{true, false} {
		cluster, node, leader, workers := clusterWithWorkers(t, 6, "j-1", "j-2")
		workers[0].FailAllTasks(true)
		failingJobs := func() {
			for _, uid := range []string{"j-1", "j-2"} {
				cluster.submit(node, jobSpec(uid, func(spec *wire.Spec) { spec.Tasks, spec.Cores, spec.RAM = 100, 1, 1 }))
			}
			cluster.resync(leader)
			cluster.runSeconds(leader, workers, 8)
		}
		healthyJob := func() {
			cluster.submit(node, jobSpec("j-3", func(spec *wire.Spec) { spec.Tasks, spec.Cores, spec.RAM, spec.Priority = 12, 1, 1, "high" }))
			cluster.resync(leader)
			cluster.runSeconds(leader, workers, 8)
		}
		if failingFirst {
			failingJobs()
			if got := quarantined(leader, workers); len(got) > 0 {
				t.Fatalf("quarantined for failing jobs: %v", got)
			}
			healthyJob()
		} else {
			healthyJob()
			failingJobs()
		}
		if got := quarantined(leader, workers); len(got) != 1 || got[0] != "n-1 failing" {
			t.Fatalf("failing jobs first: %t: quarantined %v, want only n-1", failingFirst, got)
		}
		live := 0
		for _, worker := range workers[1:] {
			live += len(worker.LiveTasks())
		}
		if live != 12 {
			t.Errorf("failing jobs first: %t: %d tasks of the healthy job run, want 12", failingFirst, live)
		}
		before := startCount(workers, "j-1") + startCount(workers, "j-2")
		cluster.runSeconds(leader, workers, 60)
		if more := startCount(workers, "j-1") + startCount(workers, "j-2") - before; more < 2 || more > 16 {
			t.Errorf("failing jobs first: %t: %d attempts of two failing jobs in a minute, want 2 to 16", failingFirst, more)
		}
		// The failing jobs stay known and can be cancelled.
		for _, uid := range []string{"j-1", "j-2"} {
			if _, status, _ := cluster.ask(node, http.MethodGet, jobPath(uid), nil); status.Status != wire.JobQueued {
				t.Errorf("%s: %+v, want queued", uid, status)
			}
			if code, status, _ := cluster.ask(node, http.MethodPost, cancelPath(uid), nil); code != http.StatusOK || status.Status != wire.JobCancelled {
				t.Errorf("cancellation of %s: status %d, %+v", uid, code, status)
			}
		}
	}
}

// Nothing is rented for a job that fails everywhere, and no capacity is reserved for it.
func TestFailingJobDoesNotScaleOut(t *testing.T) {
	cluster, node, leader, workers := clusterWithWorkers(t, 4, "j-1")
	cluster.submit(node, jobSpec("j-1", func(spec *wire.Spec) { spec.Tasks, spec.Cores, spec.RAM = 200, 4, 4 }))
	cluster.resync(leader)
	cluster.runSeconds(leader, workers, 90)
	leader.mu.Lock()
	defer leader.mu.Unlock()
	if !leader.jobs.Get("j-1").Failures.Failing() {
		t.Fatalf("the job is not detected as failing: %+v", leader.jobs.Get("j-1").Failures)
	}
	if need := leader.autoscaler.Demand(leader.scalingView(leader.clock.Now())); need.Preemptible.Cores > 0 || need.Urgent.Cores > 0 {
		t.Errorf("demand for a failing job: %+v", need)
	}
	if len(leader.planInput.Reservations()) > 0 {
		t.Errorf("capacity is reserved for a failing job: %v", leader.planInput.Reservations())
	}
}

// A new leader does not know that its predecessor has detected a job as failing. It tries one task
// at a time, not all of them at once.
func TestFailingJobAcrossLeaders(t *testing.T) {
	cluster, nodeA, nodeB := clusterWithTwoNodes(t, nil)
	oldLeader, stop := cluster.elect(nodeA)
	var workers []*standin.Worker
	for i := range 4 {
		worker := cluster.worker(fmt.Sprintf("n-%d", i+1), "x", true)
		worker.FailJob("j-1")
		heartbeat(t, oldLeader, worker)
		workers = append(workers, worker)
	}
	cluster.submit(nodeA, jobSpec("j-1", func(spec *wire.Spec) { spec.Tasks, spec.Cores, spec.RAM = 100, 1, 1 }))
	cluster.resync(oldLeader)
	cluster.runSeconds(oldLeader, workers, 10)
	stop()
	newLeader, _ := cluster.elect(nodeB)
	before := startCount(workers, "j-1")
	cluster.runSeconds(newLeader, workers, 10)
	if more := startCount(workers, "j-1") - before; more < 1 || more > 8 {
		t.Errorf("%d attempts under a new leader, want 1 to 8", more)
	}
}

// Some tasks of a job fail on every machine while the others succeed. The job does not count as failing,
// its other tasks run, and no machine is quarantined.
func TestFailingTasksOfHealthyJob(t *testing.T) {
	cluster, node, leader, workers := clusterWithWorkers(t, 6, "j-1/3", "j-1/7", "j-1/11", "j-1/12", "j-1/13", "j-1/14")
	cluster.submit(node, jobSpec("j-1", func(spec *wire.Spec) { spec.Tasks, spec.Cores, spec.RAM = 40, 1, 1 }))
	cluster.resync(leader)
	cluster.runSeconds(leader, workers, 6)
	for _, worker := range workers {
		for _, task := range worker.LiveTasks() {
			worker.EndTask(task, wire.CauseDone)
		}
	}
	cluster.runSeconds(leader, workers, 40)
	if got := quarantined(leader, workers); len(got) > 0 {
		t.Errorf("quarantined: %v, want none", got)
	}
	if job := leader.jobs.Get("j-1"); job.Done != 34 || job.Failures.Failing() {
		t.Errorf("%d tasks done, failing %t; want 34 and not failing", job.Done, job.Failures.Failing())
	}
	if attempts := startCount(workers, "j-1"); attempts > 34+6*9 {
		t.Errorf("%d starts, want at most 88: failing tasks are not backed off", attempts)
	}
}

// Replicas that may run on spot machines count as demand for as long as they are wanted, whatever the
// run times of their class.
func TestPreemptibleReplicasCountAsDemand(t *testing.T) {
	cluster, node, leader, workers := clusterWithWorkers(t, 1)
	cluster.submit(node, jobSpec("j-1", func(spec *wire.Spec) { spec.Kind, spec.Tasks, spec.ExpectedS = wire.KindService, 12, 0 }))
	cluster.resync(leader)
	cluster.runSeconds(leader, workers, 30)
	leader.mu.Lock()
	defer leader.mu.Unlock()
	if need := leader.autoscaler.Demand(leader.scalingView(leader.clock.Now())); need.Preemptible.Cores < 24 || need.Urgent.Cores < 24 {
		t.Errorf("demand for 12 replicas of 2 cores: %+v, want at least 24 preemptible and 24 urgent cores", need)
	}
}

// A task that fails on one machine only is not at fault: the machine is quarantined, and the task
// starts on the next one at once, without a backoff.
func TestTaskFailingOnOneMachineIsNotBackedOff(t *testing.T) {
	cluster, node, leader, workers := clusterWithWorkers(t, 1)
	cluster.submit(node, jobSpec("j-1", func(spec *wire.Spec) { spec.Tasks, spec.Cores = 2, 2 }))
	cluster.resync(leader)
	cluster.runSeconds(leader, workers, 6)
	workers[0].EndTask("j-1/0", wire.CauseDone)
	cluster.runSeconds(leader, workers, 3) // the completed task shows that the job works
	workers[0].FailAllTasks(true)
	workers[0].EndTask("j-1/1", wire.CauseError)
	cluster.runSeconds(leader, workers, 40)
	if got := quarantined(leader, workers); len(got) != 1 || got[0] != "n-1 failing" {
		t.Errorf("quarantined %v, want the machine as failing", got)
	}
	workers = append(workers, cluster.worker("n-2", "x", true))
	cluster.runSeconds(leader, workers, 8)
	if got := workers[1].LiveTasks(); len(got) != 1 {
		t.Errorf("on the new machine: %v, want the task that failed", got)
	}
}
