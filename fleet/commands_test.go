package fleet

import (
	"testing"

	"cedardoor/quota"
	"cedardoor/wire"
)

// A response to a worker stays within 64 KiB; the rest follows in the next one.
func TestResponsesAreLimitedInSize(t *testing.T) {
	f, machine, _ := newFleetWithAllocation(t)
	const n = 3 * maxCommands / 2
	for i := range n {
		allocation := newAllocation(TaskID{Job: "j-123456789", Index: 10000 + i}, 1, 0.001)
		allocation.Attempt = 123456
		reserveDurable(t, f, machine, allocation, 2)
	}
	seen := 0
	for sequence := uint64(2); sequence < 4; sequence++ {
		commands := f.Commands(machine, 3, true, AllCommands)
		if raw, err := wire.Marshal(wire.HeartbeatResponse{Token: 5, Commands: commands}); err != nil || len(raw) > wire.MaxBody {
			t.Fatalf("%d commands take %d bytes", len(commands), len(raw))
		}
		seen += len(commands)
		report := heartbeat(1, sequence, 5)
		for _, run := range commands {
			report.Tasks = append(report.Tasks, wire.TaskReport{Task: run.Task, Attempt: run.Attempt, Status: wire.TaskRunning})
		}
		f.Report(4, report, true)
	}
	if seen < n {
		t.Errorf("%d of %d commands sent in two responses", seen, n)
	}
}

func TestOrphansAreStoppedThenForgotten(t *testing.T) {
	f, machine, _ := newFleetWithAllocation(t)
	other := wire.TaskReport{Task: "j-9/4", Attempt: 3, Status: wire.TaskRunning}
	f.Report(2, heartbeat(1, 2, 0, other), true)
	if commands := f.Commands(machine, 2, true, NoRuns); onlyVerb(commands) != wire.VerbStop {
		t.Fatalf("commands %v, want a stop", commands)
	}
	other.Status = wire.TaskEnded
	// A run from an earlier leader may be in flight until the worker has seen this term's token.
	f.Report(3, heartbeat(1, 3, 4, other), true)
	if commands := f.Commands(machine, 3, true, NoRuns); len(commands) != 0 {
		t.Fatalf("commands %v before the token was seen", commands)
	}
	f.Report(4, heartbeat(1, 4, 5, other), true)
	if commands := f.Commands(machine, 4, true, NoRuns); onlyVerb(commands) != wire.VerbForget {
		t.Fatalf("commands %v, want forget", commands)
	}
}

// An adopted attempt that never reached its worker is sent again to the machine on which
// it was recorded, and to no other.
func TestAdoptedRunIsResent(t *testing.T) {
	f := New(testLease, testReportInterval, testToken, quota.NewLedger(nil))
	machine := f.Ensure("n-1", 1)
	allocation := newAllocation(testTask, 1, 2)
	f.Adopt(machine, allocation, 1)
	f.Report(2, heartbeat(1, 7, 4), true)
	f.HeartbeatAnswered(machine, 2, 5)
	f.Report(3, heartbeat(1, 8, 5), true)
	if commands := f.Commands(machine, 3, true, AllCommands); onlyVerb(commands) != wire.VerbRun || allocation.Ended {
		t.Errorf("commands %v, ended %t", commands, allocation.Ended)
	}
}

// Guards against tasks that save and keep others on the machine from being stopped: the stop of a
// cancelled task must not wait until hundreds of others have saved.
func TestSavingTasksDoNotDelayOtherStops(t *testing.T) {
	f, machine, _ := newFleetWithAllocation(t)
	report := heartbeat(1, 2, testToken, running)
	for i := range maxCommands {
		allocation := reserveDurable(t, f, machine, newAllocation(TaskID{Job: "j-2", Index: i}, 1, 0.001), 2)
		allocation.markSent(2)
		report.Tasks = append(report.Tasks, wire.TaskReport{Task: allocation.Task.String(), Attempt: 1, Status: wire.TaskFlushing})
	}
	cancelled := reserveDurable(t, f, machine, newAllocation(TaskID{Job: "j-3"}, 1, 0.001), 2)
	cancelled.markSent(2)
	report.Tasks = append(report.Tasks, wire.TaskReport{Task: "j-3/0", Attempt: 1, Status: wire.TaskFlushing})
	f.Report(3, report, true)
	machine.EachAllocation(func(allocation *Allocation) { f.Stop(allocation, 60, 3) })
	f.Stop(cancelled, 0, 4)
	for _, scope := range []Scope{StopsOnly, AllCommands} {
		stopped := false
		for _, command := range f.Commands(machine, 5, true, scope) {
			stopped = stopped || command.Task == "j-3/0" && *command.GraceS == 0
		}
		if !stopped {
			t.Errorf("scope %d: the cancelled task is not stopped", scope)
		}
	}
}
