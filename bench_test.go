package cedardoor

import (
	"fmt"
	"runtime"
	"testing"

	"cedardoor/fleet"
	"cedardoor/store"
	"cedardoor/wire"

	"github.com/vmihailenco/msgpack/v5"
)

// The benchmarks measure the regular work of a controller on one thread, as in the daemon.
// docs/results.md lists the results. heartbeat_test.go checks the costs that must not grow with the
// fleet.

// The size of the fleet in benchmarks, with the tasks of each machine.
const (
	benchMachines = 700
	benchTasks    = 6
)

// useOneThread runs a benchmark on one thread, like the daemon, and reports its allocations.
func useOneThread(b *testing.B) {
	previous := runtime.GOMAXPROCS(1)
	b.Cleanup(func() { runtime.GOMAXPROCS(previous) })
	b.ReportAllocs()
}

// BenchmarkPass measures a pass of the leader's loop with nothing to do.
func BenchmarkPass(b *testing.B) {
	_, leader := trustedFleet(b, benchMachines, benchTasks)
	leader.pass(b.Context())
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		leader.pass(b.Context())
	}
}

// BenchmarkRepairRound measures a plan with a repair round.
func BenchmarkRepairRound(b *testing.B) {
	_, leader := trustedFleet(b, benchMachines, benchTasks)
	leader.pass(b.Context())
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		leader.mu.Lock()
		leader.planInput.RepairNow()
		leader.runPlan(leader.clock.Now())
		leader.mu.Unlock()
	}
}

// BenchmarkAutoscale measures a pass of the autoscaler with nothing to rent or return.
func BenchmarkAutoscale(b *testing.B) {
	_, leader := trustedFleet(b, benchMachines, benchTasks)
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		leader.autoscale(b.Context())
	}
}

// BenchmarkCheckPause measures one check for a pause of the process.
func BenchmarkCheckPause(b *testing.B) {
	_, leader := trustedFleet(b, benchMachines, benchTasks)
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		leader.checkPause()
	}
}

// BenchmarkAddAndRemoveJob measures adding a job to the job table and removing it.
func BenchmarkAddAndRemoveJob(b *testing.B) {
	_, leader := trustedFleet(b, benchMachines, benchTasks)
	encoded, err := wire.Marshal(store.JobRecord{Spec: jobSpec("j-900", func(spec *wire.Spec) { spec.Tasks = 8 })})
	if err != nil {
		b.Fatal(err)
	}
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		leader.mu.Lock()
		if err := leader.addJob(store.JobKey("j-900"), encoded, 1, leader.clock.Now()); err != nil {
			b.Fatal(err)
		}
		job := leader.jobs.Get("j-900")
		leader.jobs.Remove(job)
		leader.jobs.Dequeue(job)
		leader.mu.Unlock()
	}
}

// taskReports returns the tasks that each machine with allocations reports in a round, by the machine's
// index: no tasks in round 0, running ones in round 1 and completed ones in round 2.
func taskReports(leader *leader, round int) map[int][]wire.TaskReport {
	leader.mu.Lock()
	defer leader.mu.Unlock()
	reports := map[int][]wire.TaskReport{}
	leader.fleet.EachMachine(func(machine *fleet.Machine) {
		var index int
		if _, err := fmt.Sscanf(machine.Name, "n-%d", &index); err != nil {
			panic(err) // every machine of a benchmark has such a name
		}
		machine.EachAllocation(func(allocation *fleet.Allocation) {
			task := wire.TaskReport{Task: allocation.Task.String(), Attempt: allocation.Attempt, Status: wire.TaskRunning}
			if round == 2 {
				task.Status, task.Cause = wire.TaskEnded, wire.CauseDone
			}
			if round > 0 {
				reports[index] = append(reports[index], task)
			} else {
				reports[index] = nil
			}
		})
	})
	return reports
}

// BenchmarkTaskLifecycle measures the lifecycle of a task in jobs of 48: it is placed, started, reported
// running, completed, recorded and forgotten.
func BenchmarkTaskLifecycle(b *testing.B) {
	cluster := newTestCluster(b)
	node := cluster.node(nil)
	leader, _ := cluster.elect(node)
	sequences := make([]uint64, benchMachines)
	heartbeat := func(i int, report *wire.Heartbeat) wire.HeartbeatResponse {
		sequences[i]++
		report.Sequence = sequences[i]
		response, ok := leader.Heartbeat(report)
		if !ok {
			b.Fatal("heartbeat not answered")
		}
		return response
	}
	for range 3 {
		for i := range benchMachines {
			heartbeat(i, fleetReport(i, 0, 0, leader.term.Token))
		}
	}
	useOneThread(b)
	b.ResetTimer()
	for k := 0; k < b.N; {
		uid := fmt.Sprintf("j-%d", 1000+k)
		encoded, err := wire.Marshal(store.JobRecord{Spec: jobSpec(uid, func(spec *wire.Spec) { spec.Tasks, spec.Priority = 48, "low" })})
		if err != nil {
			b.Fatal(err)
		}
		epoch, err := node.store.Commit(b.Context(), store.Urgent, wire.Txn{Operations: []wire.Operation{{Set: store.JobKey(uid), Value: msgpack.RawMessage(encoded)}}})
		if err != nil {
			b.Fatal(err)
		}
		leader.mu.Lock()
		if err := leader.addJob(store.JobKey(uid), encoded, epoch, leader.clock.Now()); err != nil {
			b.Fatal(err)
		}
		leader.planInput.AllowBestEffort(48)
		leader.mu.Unlock()
		leader.pass(b.Context())
		for round := range 3 {
			reports := taskReports(leader, round)
			for i, tasks := range reports {
				report := fleetReport(i, 0, 0, leader.term.Token)
				report.Tasks = tasks
				heartbeat(i, report)
			}
			if round == 2 {
				leader.mu.Lock()
				for job := range leader.jobs.All() {
					leader.writer.MarkDirty(job.UID)
				}
				leader.mu.Unlock()
				leader.pass(b.Context())
				for i := range reports {
					heartbeat(i, fleetReport(i, 0, 0, leader.term.Token))
				}
			}
			k += 16
		}
	}
}

// BenchmarkPlanWithoutCapacity measures a plan for 60 jobs of which none fits.
func BenchmarkPlanWithoutCapacity(b *testing.B) {
	_, leader := trustedFleet(b, benchMachines, benchTasks)
	leader.mu.Lock()
	for k := range 60 {
		spec := jobSpec(fmt.Sprintf("j-%d", 2000+k), func(spec *wire.Spec) { spec.Tasks, spec.Cores, spec.RAM = 8, 3+float64(k%4), 8+float64(k%7) })
		encoded, err := wire.Marshal(store.JobRecord{Spec: spec})
		if err != nil {
			b.Fatal(err)
		}
		if err := leader.addJob(store.JobKey(spec.UID), encoded, 1, leader.clock.Now()); err != nil {
			b.Fatal(err)
		}
	}
	leader.mu.Unlock()
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		leader.mu.Lock()
		leader.jobs.SetChanged(true)
		leader.runPlan(leader.clock.Now())
		leader.mu.Unlock()
	}
}

// BenchmarkRefreshMachine measures the update of one machine in the planner's snapshot.
func BenchmarkRefreshMachine(b *testing.B) {
	_, leader := trustedFleet(b, benchMachines, benchTasks)
	leader.pass(b.Context())
	machines := leader.fleet.Machines()
	useOneThread(b)
	b.ResetTimer()
	for k := range b.N {
		leader.mu.Lock()
		leader.refreshMachine(machines[k%len(machines)], leader.clock.Now())
		leader.mu.Unlock()
	}
}
