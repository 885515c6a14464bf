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
// docs/results.md lists the costs; what must not grow is counted in heartbeat_test.go.

// The size of the fleet of benchmarks.
const (
	benchMachines = 700
	benchTasks    = 6
)

// useOneThread runs a benchmark on one thread, as the daemon does.
func useOneThread(b *testing.B) {
	was := runtime.GOMAXPROCS(1)
	b.Cleanup(func() { runtime.GOMAXPROCS(was) })
	b.ReportAllocs()
}

// BenchmarkStep is a pass of the leader's loop with nothing to do.
func BenchmarkStep(b *testing.B) {
	_, leader := trustedFleet(b, benchMachines, benchTasks)
	leader.pass(b.Context())
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		leader.pass(b.Context())
	}
}

// BenchmarkRound is a repair round.
func BenchmarkRound(b *testing.B) {
	_, leader := trustedFleet(b, benchMachines, benchTasks)
	leader.pass(b.Context())
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		leader.mu.Lock()
		leader.planner.RepairNow()
		leader.runPlan(leader.clock.Now())
		leader.mu.Unlock()
	}
}

// BenchmarkResize is a pass of the autoscaler with nothing to rent or return.
func BenchmarkResize(b *testing.B) {
	_, leader := trustedFleet(b, benchMachines, benchTasks)
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		leader.autoscale(b.Context())
	}
}

// BenchmarkCheckStall is one check for a pause of the process.
func BenchmarkCheckStall(b *testing.B) {
	_, leader := trustedFleet(b, benchMachines, benchTasks)
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		leader.checkPause()
	}
}

// BenchmarkChange is a job that is added to the job table and removed.
func BenchmarkChange(b *testing.B) {
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

// taskReports returns, by the index of the machine, the tasks that machines with allocations report in a
// round: none in the first, running ones in the second and completed ones in the third.
func taskReports(leader *leader, round int) map[int][]wire.TaskReport {
	leader.mu.Lock()
	defer leader.mu.Unlock()
	reports := map[int][]wire.TaskReport{}
	leader.fleet.EachMachine(func(machine *fleet.Machine) {
		var index int
		if _, err := fmt.Sscanf(machine.Name, "n-%d", &index); err != nil {
			panic(err) // every machine of the bench has such a name
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

// BenchmarkTask is a task that is placed, started, seen running, ended, recorded and
// forgotten, in jobs of 48.
func BenchmarkTask(b *testing.B) {
	cluster := newTestCluster(b)
	node := cluster.node(nil)
	leader, _ := cluster.elect(node)
	sequences := make([]uint64, benchMachines)
	heartbeat := func(i int, report *wire.Heartbeat) wire.HeartbeatResponse {
		sequences[i]++
		report.Sequence = sequences[i]
		response, ok := leader.Heartbeat(report)
		if !ok {
			b.Fatal("not answered")
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
		leader.planner.AllowBestEffort(48)
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

// BenchmarkPlanShort is a plan for 60 jobs without capacity for them.
func BenchmarkPlanShort(b *testing.B) {
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

// BenchmarkRefresh is the update of a machine in the snapshot.
func BenchmarkRefresh(b *testing.B) {
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
