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

// Benchmarks of what a controller does all day, one thread running as in the
// daemon. They give the account of costs in docs/results.md; what must not grow is
// counted in heartbeat_test.go instead.

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
	_, l := trustedFleet(b, benchMachines, benchTasks)
	l.pass(b.Context())
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		l.pass(b.Context())
	}
}

// BenchmarkRound is a repair round.
func BenchmarkRound(b *testing.B) {
	_, l := trustedFleet(b, benchMachines, benchTasks)
	l.pass(b.Context())
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		l.mu.Lock()
		l.planner.RepairNow()
		l.runPlan(l.clock.Now())
		l.mu.Unlock()
	}
}

// BenchmarkResize is a pass of the fleet's sizing with nothing to rent or return.
func BenchmarkResize(b *testing.B) {
	_, l := trustedFleet(b, benchMachines, benchTasks)
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		l.autoscale(b.Context())
	}
}

// BenchmarkList is one reading of the cloud's list, without its request.
func BenchmarkCheckStall(b *testing.B) {
	_, l := trustedFleet(b, benchMachines, benchTasks)
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		l.checkPause()
	}
}

// BenchmarkChange is a job that comes with the changes, and a plan that finds no room for it.
func BenchmarkChange(b *testing.B) {
	_, l := trustedFleet(b, benchMachines, benchTasks)
	raw, err := wire.Marshal(store.JobRecord{Spec: jobSpec("j-900", func(sp *wire.Spec) { sp.Tasks = 8 })})
	if err != nil {
		b.Fatal(err)
	}
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		l.mu.Lock()
		if err := l.addJob(store.JobKey("j-900"), raw, 1, l.clock.Now()); err != nil {
			b.Fatal(err)
		}
		job := l.jobs.Get("j-900")
		l.jobs.Remove(job)
		l.jobs.Dequeue(job)
		l.mu.Unlock()
	}
}

// BenchmarkTask is a task placed, told, seen running, ended, recorded and
// forgotten, in jobs of 48.
func BenchmarkTask(b *testing.B) {
	s := newTestCluster(b)
	n := s.node(nil)
	l, _ := s.elect(n)
	tallies := make([]uint64, benchMachines)
	heartbeat := func(i int, report *wire.Heartbeat) wire.HeartbeatResponse {
		tallies[i]++
		report.Sequence = tallies[i]
		ans, ok := l.Heartbeat(report)
		if !ok {
			b.Fatal("not answered")
		}
		return ans
	}
	for range 3 {
		for i := range benchMachines {
			heartbeat(i, fleetReport(i, 0, 0, l.term.Token))
		}
	}
	useOneThread(b)
	b.ResetTimer()
	for k := 0; k < b.N; {
		uid := fmt.Sprintf("j-%d", 1000+k)
		raw, err := wire.Marshal(store.JobRecord{Spec: jobSpec(uid, func(sp *wire.Spec) { sp.Tasks, sp.Priority = 48, "low" })})
		if err != nil {
			b.Fatal(err)
		}
		epoch, err := n.store.Commit(b.Context(), store.Urgent, wire.Txn{Operations: []wire.Operation{{Set: store.JobKey(uid), Value: msgpack.RawMessage(raw)}}})
		if err != nil {
			b.Fatal(err)
		}
		l.mu.Lock()
		if err := l.addJob(store.JobKey(uid), raw, epoch, l.clock.Now()); err != nil {
			b.Fatal(err)
		}
		l.planner.AllowBestEffort(48)
		l.mu.Unlock()
		l.pass(b.Context())
		for round := range 3 {
			l.mu.Lock()
			on := map[int][]wire.TaskReport{}
			l.fleet.EachMachine(func(machine *fleet.Machine) {
				var at int
				fmt.Sscanf(machine.Name, "n-%d", &at)
				machine.EachAllocation(func(bk *fleet.Allocation) {
					st := wire.TaskReport{Task: bk.Task.String(), Attempt: bk.Attempt, Status: wire.TaskRunning}
					if round == 2 {
						st.Status, st.Cause = wire.TaskEnded, wire.CauseDone
					}
					if round > 0 {
						on[at] = append(on[at], st)
					} else {
						on[at] = nil
					}
				})
			})
			l.mu.Unlock()
			for i, list := range on {
				rep := fleetReport(i, 0, 0, l.term.Token)
				rep.Tasks = list
				heartbeat(i, rep)
			}
			if round == 2 {
				l.mu.Lock()
				for job := range l.jobs.All() {
					l.writer.MarkDirty(job.UID)
				}
				l.mu.Unlock()
				l.pass(b.Context())
				for i := range on {
					heartbeat(i, fleetReport(i, 0, 0, l.term.Token))
				}
			}
			k += 16
		}
	}
}

// BenchmarkPlanShort is a plan for 60 jobs that find no room.
func BenchmarkPlanShort(b *testing.B) {
	_, l := trustedFleet(b, benchMachines, benchTasks)
	l.mu.Lock()
	for k := range 60 {
		sp := jobSpec(fmt.Sprintf("j-%d", 2000+k), func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.RAM = 8, 3+float64(k%4), 8+float64(k%7) })
		raw, err := wire.Marshal(store.JobRecord{Spec: sp})
		if err != nil {
			b.Fatal(err)
		}
		if err := l.addJob(store.JobKey(sp.UID), raw, 1, l.clock.Now()); err != nil {
			b.Fatal(err)
		}
	}
	l.mu.Unlock()
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		l.mu.Lock()
		l.jobs.SetChanged(true)
		l.runPlan(l.clock.Now())
		l.mu.Unlock()
	}
}

// BenchmarkRefresh is a machine brought into the picture.
func BenchmarkRefresh(b *testing.B) {
	_, l := trustedFleet(b, benchMachines, benchTasks)
	l.pass(b.Context())
	machines := l.fleet.Machines()
	useOneThread(b)
	b.ResetTimer()
	for k := range b.N {
		l.mu.Lock()
		l.refreshMachine(machines[k%len(machines)], l.clock.Now())
		l.mu.Unlock()
	}
}
