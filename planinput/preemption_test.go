package planinput

import (
	"fmt"
	"testing"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/plan"
	"cedardoor/wire"
)

// Guards against a job that waits for ever: one that was starved before its first start keeps its last
// task, however many of its tasks are stopped by the same plan or by earlier ones.
func TestStarvedJobKeepsItsLastTask(t *testing.T) {
	for _, tt := range []struct {
		name                string
		tasks, stopping     int
		urgentCores         float64
		wantPreemptions     int
		tasksOnOtherMachine int
	}{
		{"one task", 1, 0, 2, 0, 0},
		{"two tasks, room for one wanted", 2, 0, 2, 1, 0},
		{"two tasks, room for both wanted", 2, 0, 4, 0, 0},
		{"two tasks, one of them stopping", 2, 1, 2, 0, 0},
		{"three tasks, two of them stopping elsewhere", 1, 0, 2, 0, 2},
		{"three tasks, room for two wanted", 3, 0, 4, 2, 0},
	} {
		in, table := newInput(t)
		in.Fleet.OnCapacityChange = table.CapacityChanged
		in.Fleet.OnMachineChange = in.MachineChanged
		starved := addJob(table, "j-1", func(spec *wire.Spec) { spec.Cores, spec.Tasks = 2, tt.tasks+tt.tasksOnOtherMachine })
		starved.Plan.PreemptionExempt = true
		for _, name := range []string{"n-1", "n-2"} {
			in.Fleet.Report(0, &wire.Heartbeat{Machine: name, Endpoint: "e", MachineType: "m", Zone: "x", Incarnation: 1, Sequence: 1, Token: firstToken}, true)
		}
		adopt := func(index int, machine string) {
			allocation := starved.NewAllocation(index, 1)
			allocation.Incarnation = 1
			in.Fleet.Adopt(in.Fleet.Machine(machine), allocation, clock.Second)
			starved.Tasks[index].State, starved.Tasks[index].Allocation = jobs.TaskPlaced, allocation
		}
		for i := range tt.tasks {
			adopt(i, "n-1")
		}
		for i := range tt.tasksOnOtherMachine {
			adopt(tt.tasks+i, "n-2")
		}
		starved.Waiting = nil
		table.Dequeue(starved)
		refresh := func(now clock.Micros) {
			in.RefreshChanged(func(machine *fleet.Machine) bool { return in.Refresh(machine, false, now) })
		}
		refresh(2 * clock.Second)
		for i := range tt.stopping {
			in.Fleet.Stop(starved.Tasks[i].Allocation, 0, 3*clock.Second)
		}
		for i := range tt.tasksOnOtherMachine {
			in.Fleet.Stop(starved.Tasks[tt.tasks+i].Allocation, 0, 3*clock.Second)
		}
		// All other capacity of the only machine that the urgent job may use is taken.
		rest := addJob(table, "j-2", func(spec *wire.Spec) { spec.Priority, spec.Tasks, spec.Cores = "critical", 1, 8-2*float64(tt.tasks) })
		filler := rest.NewAllocation(0, 1)
		if err := in.Fleet.Reserve(in.Fleet.Machine("n-1"), filler, clock.Second); err != nil {
			t.Fatal(err)
		}
		rest.Tasks[0].State, rest.Tasks[0].Allocation, rest.Waiting = jobs.TaskPlaced, filler, nil
		table.Dequeue(rest)
		in.Fleet.Machine("n-2").Cordoned = true
		in.Fleet.MachineChanged(in.Fleet.Machine("n-2"))
		addJob(table, "j-3", func(spec *wire.Spec) { spec.Priority, spec.Tasks, spec.Cores = "high", 1, tt.urgentCores })
		now := 8 * clock.Second // the stops have taken too long for their capacity to count as being freed
		refresh(now)
		result := plan.Make(in.Snapshot(SnapshotParams{Now: now, Jobs: table}))
		if len(result.Preemptions) != tt.wantPreemptions {
			t.Errorf("%s: preempted %v, want %d tasks", tt.name, fmt.Sprint(result.Preemptions), tt.wantPreemptions)
		}
	}
}
