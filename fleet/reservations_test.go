package fleet

import (
	"errors"
	"testing"

	"cedardoor/clock"
	"cedardoor/quota"
	"cedardoor/wire"
)

// An allocation, and with it a run, never exceeds a team's limit: an allocation is charged to
// the ledger and credited back once, when it is proved gone.
func TestNoAllocationBeyondTeamLimit(t *testing.T) {
	ledger := quota.NewLedger(map[string]quota.Limits{"team": {Limit: quota.NewAmount(4, 0)}})
	f := New(testLease, testReportInterval, testToken, ledger)
	machine := f.Ensure("n-1", 0)
	attempt := func(index int) *Allocation {
		allocation := newAllocation(TaskID{Job: "j-1", Index: index}, 1, 2)
		allocation.Team = "team"
		return allocation
	}
	first, second := attempt(0), attempt(1)
	reserve(t, f, machine, first, 1)
	f.Adopt(machine, second, 1)
	if err := f.Reserve(machine, attempt(2), 1); !errors.Is(err, quota.ErrOverLimit) {
		t.Fatalf("a third task of 2 cores under a limit of 4: %v", err)
	}
	if machine.AllocationCount() != 2 {
		t.Fatalf("%d allocations, want 2", machine.AllocationCount())
	}
	f.MarkDurable(first)
	if got := first.Reservation().State(); got != quota.InDoubt {
		t.Errorf("durable and not reported: %v", got)
	}
	f.Stop(second, 0, 2) // may still run
	if got := ledger.Usage("team").InState(quota.Stopping).Tasks; got != 1 {
		t.Errorf("%d tasks are stopping, want 1", got)
	}
	if err := f.Reserve(machine, attempt(3), 2); !errors.Is(err, quota.ErrOverLimit) {
		t.Fatalf("before the stopped task is proved gone: %v", err)
	}
	f.ExpireLeases(machine.LeaseEnd + 1)
	f.Remove(second, machine.LeaseEnd+2) // proved gone a second time
	if got := ledger.Usage("team").Total; got != (quota.Amount{}) {
		t.Errorf("all attempts are proved gone, but %+v is in use", got)
	}
}

// Guards against a stop at once that is dropped because the attempt is already being stopped with a
// grace period. A stop with a longer grace period than the first one changes nothing.
func TestShorterGracePeriodReplacesLonger(t *testing.T) {
	for _, tt := range []struct {
		name             string
		second, want     float64
		sentAgain, final bool
	}{
		{"longer", 90, 60, false, false},
		{"the same", 60, 60, false, false},
		{"shorter", 20, 20, true, false},
		{"none", 0, 0, true, true},
	} {
		f, machine, allocation := newFleetWithAllocation(t)
		f.Commands(machine, 1, true, AllCommands)
		f.Report(2, heartbeat(1, 2, testToken, running), true)
		f.Stop(allocation, 60, 3)
		allocation.StopSent = true
		f.Stop(allocation, tt.second, 3)
		commands := f.Commands(machine, 3, true, AllCommands)
		if onlyVerb(commands) != wire.VerbStop || *commands[0].GraceS != tt.want {
			t.Errorf("%s: commands %v, want a stop with %v s", tt.name, commands, tt.want)
		}
		if allocation.StopSent == tt.sentAgain || allocation.StoppingAtOnce() != tt.final {
			t.Errorf("%s: sent again %t, at once %t", tt.name, !allocation.StopSent, allocation.StoppingAtOnce())
		}
	}
}

// Guards against a grace period that runs while the task can't save: before the stop has reached its
// machine, and while the machine is silent. It ends once the task has had its time.
func TestGracePeriodRunsWhileTaskSaves(t *testing.T) {
	const grace = 60 * clock.Second
	saving := running
	saving.Status = wire.TaskFlushing
	f, machine, allocation := newFleetWithAllocation(t)
	f.Commands(machine, 1, true, AllCommands)
	sequence := uint64(1)
	checkStop := func(at clock.Micros, task wire.TaskReport, want bool, grace clock.Micros) {
		t.Helper()
		sequence++
		f.Report(at, heartbeat(1, sequence, testToken, task), true)
		commands := f.Commands(machine, at, true, AllCommands)
		if got := onlyVerb(commands) == wire.VerbStop; got != want || got && *commands[0].GraceS != grace.Seconds() {
			t.Errorf("%v: commands %v, want a stop: %t, with %v", at, commands, want, grace)
		}
	}
	answerProbe := func(at clock.Micros) {
		sequence++
		f.ProbeAnswered(at, machine.ReportVersion(), heartbeat(1, sequence, testToken, saving))
	}
	f.Report(2, heartbeat(1, sequence, testToken, running), true)
	f.Stop(allocation, grace.Seconds(), 2)
	checkStop(4*clock.Second, running, true, grace)
	checkStop(8*clock.Second, running, true, grace) // after lost commands
	checkStop(12*clock.Second, saving, false, 0)
	checkStop(15*clock.Second, saving, false, 0)
	checkStop(75*clock.Second, saving, false, 0) // after a silence
	answerProbe(76 * clock.Second)
	checkStop(79*clock.Second, saving, false, 0)
	answerProbe(140 * clock.Second) // after a silence, before the first heartbeat
	for at := 140*clock.Second + testReportInterval; at < 140*clock.Second+grace; at += testReportInterval {
		checkStop(at, saving, false, 0)
	}
	checkStop(140*clock.Second+grace, saving, true, 0)
}
