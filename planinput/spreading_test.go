package planinput

import (
	"testing"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/plan"
	"cedardoor/wire"
)

// Guards against a needless restart: a replica that shares its machine only with replicas that are
// being stopped, by this leader or by an earlier one, is no candidate for repair.
func TestReplicaBesideDepartingOnesStays(t *testing.T) {
	stop := func(in *Input, job *jobs.Job, index int) {
		in.Fleet.Stop(job.Tasks[index].Allocation, 10, 90*clock.Second)
	}
	flush := func(in *Input, job *jobs.Job, index int) {
		var tasks []wire.TaskReport
		for i := range job.Tasks {
			tasks = append(tasks, wire.TaskReport{Task: job.Tasks[i].Allocation.Task.String(), Attempt: 1, Status: wire.TaskRunning})
		}
		tasks[index].Status = wire.TaskFlushing
		report(in, 2, tasks...)
	}
	for _, tt := range []struct {
		name               string
		replicas, departed int
		depart             func(in *Input, job *jobs.Job, index int)
		want               int
	}{
		{"two remain", 2, 0, stop, 2},
		{"one of two is being stopped", 2, 1, stop, 0},
		{"one of two saves a checkpoint for an earlier leader", 2, 1, flush, 0},
		{"one of three is being stopped", 3, 1, stop, 2},
		{"two of three are being stopped", 3, 2, stop, 0},
	} {
		in, table := newInput(t)
		in.Fleet.OnCapacityChange = table.CapacityChanged
		in.Fleet.OnMachineChange = in.MachineChanged
		job := addJob(table, "j-1", func(spec *wire.Spec) { spec.Kind, spec.Tasks = wire.KindService, tt.replicas })
		report(in, 1)
		machine := in.Fleet.Machine("n-1")
		for i := range tt.replicas {
			allocation := job.NewAllocation(i, 1)
			allocation.Incarnation = 1
			in.Fleet.Adopt(machine, allocation, clock.Second)
			job.Tasks[i].State, job.Tasks[i].Allocation = jobs.TaskPlaced, allocation
		}
		for i := range tt.departed {
			tt.depart(in, job, i)
		}
		in.RefreshChanged(func(machine *fleet.Machine) bool { return in.Refresh(machine, false, 100*clock.Second) })
		s := in.Snapshot(SnapshotParams{Now: 100 * clock.Second, RepairRound: true, Jobs: table})
		spread := 0
		for _, candidate := range s.Candidates {
			if candidate.Reason == plan.ReasonSpread {
				spread++
			}
		}
		if spread != tt.want {
			t.Errorf("%s: %d replicas are to be moved apart, want %d", tt.name, spread, tt.want)
		}
	}
}

// report makes worker n-1 report its tasks.
func report(in *Input, sequence uint64, tasks ...wire.TaskReport) {
	in.Fleet.Report(0, &wire.Heartbeat{Machine: "n-1", Endpoint: "e", MachineType: "m", Zone: "x", Incarnation: 1,
		Sequence: sequence, Token: firstToken, Tasks: tasks}, true)
}
