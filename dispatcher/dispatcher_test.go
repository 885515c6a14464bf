package dispatcher

import (
	"testing"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/quota"
	"cedardoor/wire"
)

const firstToken = 5

// newTestDispatcher returns a dispatcher and a machine that has shown the term's token.
func newTestDispatcher(t *testing.T, maxInFlight int) (*Dispatcher, *fleet.Fleet, *fleet.Machine) {
	t.Helper()
	f := fleet.New(10*clock.Second, clock.Second, firstToken, quota.NewLedger(nil))
	f.Report(0, &wire.Heartbeat{Machine: "n-1", Endpoint: "e", Incarnation: 1, Sequence: 1, Token: firstToken}, true)
	return New(f, maxInFlight, 10*clock.Second, 0), f, f.Machine("n-1")
}

// reserveRun reserves an attempt whose run may be sent.
func reserveRun(t *testing.T, f *fleet.Fleet, machine *fleet.Machine, heartbeatOnly bool) *fleet.Allocation {
	t.Helper()
	allocation := &fleet.Allocation{Task: fleet.TaskID{Job: "j-1"}, Attempt: 1, Incarnation: machine.Incarnation}
	allocation.Cores, allocation.HeartbeatOnly = 1, heartbeatOnly
	if err := f.Reserve(machine, allocation, 0); err != nil {
		t.Fatal(err)
	}
	f.MarkDurable(allocation)
	return allocation
}

func noOrphans(*fleet.Machine) bool { return false }

func TestPrepare(t *testing.T) {
	tests := []struct {
		name          string
		scope         fleet.Scope
		heartbeatOnly bool
		maxInFlight   int
		commands      int
		stillUrgent   bool
	}{
		{"a run", fleet.AllCommands, false, 4, 1, false},
		{"a heartbeat-only run", fleet.AllCommands, true, 4, 0, false},
		{"scope without runs", fleet.NoRuns, false, 4, 0, true},
		{"scope of stops only", fleet.StopsOnly, false, 4, 0, true},
		{"too many in flight", fleet.AllCommands, false, 0, 0, true},
	}
	for _, tt := range tests {
		d, f, machine := newTestDispatcher(t, tt.maxInFlight)
		reserveRun(t, f, machine, tt.heartbeatOnly)
		d.MarkUrgent(machine)
		commands := d.Prepare(0, firstToken, tt.scope, noOrphans)
		if len(commands) != tt.commands || d.IsUrgent(machine) != tt.stillUrgent || d.InFlight("n-1") != (tt.commands > 0) {
			t.Errorf("%s: %d commands, urgent %t, in flight %t", tt.name, len(commands), d.IsUrgent(machine), d.InFlight("n-1"))
		}
	}
}

// A machine has at most one command in flight.
func TestOneCommandInFlight(t *testing.T) {
	d, f, machine := newTestDispatcher(t, 4)
	reserveRun(t, f, machine, false)
	d.MarkUrgent(machine)
	commands := d.Prepare(0, firstToken, fleet.AllCommands, noOrphans)
	d.MarkUrgent(machine)
	if again := d.Prepare(0, firstToken, fleet.AllCommands, noOrphans); len(commands) != 1 || len(again) != 0 {
		t.Fatalf("%d commands, then %d", len(commands), len(again))
	}
	d.Completed(commands[0])
	if d.InFlightCount() != 0 {
		t.Error("still in flight after it completed")
	}
}

// A run without a response is fenced at once, but the token is not raised again within seconds.
func TestFencing(t *testing.T) {
	d, f, machine := newTestDispatcher(t, 4)
	reserveRun(t, f, machine, false)
	d.MarkUrgent(machine)
	command := d.Prepare(0, firstToken, fleet.AllCommands, noOrphans)[0]
	f.CommandCompleted(command, fleet.OutcomeUnknown)
	if !d.FencingDue(clock.Second, firstToken) {
		t.Error("a run in doubt is not fenced")
	}
	d.TokenRaised(clock.Second)
	if d.FencingDue(2*clock.Second, firstToken) {
		t.Error("the token is raised again within seconds")
	}
}

// Guards against a stop at once that is never sent directly, because it was requested while the command
// with an earlier stop, which had a grace period, was in flight.
func TestStopAtOnceFollowsStopInFlight(t *testing.T) {
	d, f, machine := newTestDispatcher(t, 4)
	allocation := reserveRun(t, f, machine, false)
	prepare := func() []*fleet.InFlightCommand {
		d.MarkUrgent(machine)
		return d.Prepare(1, firstToken, fleet.AllCommands, noOrphans)
	}
	d.Completed(prepare()[0]) // the run
	task := wire.TaskReport{Task: "j-1/0", Attempt: 1, Status: wire.TaskRunning}
	f.Report(1, &wire.Heartbeat{Machine: "n-1", Endpoint: "e", Incarnation: 1, Sequence: 2, Token: firstToken, Tasks: []wire.TaskReport{task}}, true)
	f.Stop(allocation, 60, 1)
	first := prepare()
	f.Stop(allocation, 0, 1)
	if again := prepare(); len(first) != 1 || len(again) != 0 {
		t.Fatalf("%d commands, then %d while the first is in flight", len(first), len(again))
	}
	d.Completed(first[0])
	second := prepare()
	if len(second) != 1 || len(second[0].Commands) != 1 || *second[0].Commands[0].GraceS != 0 {
		t.Errorf("after the first: commands %+v, want a stop without a grace period", second)
	}
}
