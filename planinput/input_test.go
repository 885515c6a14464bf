package planinput

import (
	"log/slog"
	"slices"
	"testing"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/plan"
	"cedardoor/quota"
	"cedardoor/store"
	"cedardoor/wire"
)

const firstToken = 3

func newInput(t *testing.T) (*Input, *jobs.Table) {
	t.Helper()
	operator, err := config.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	ledger := quota.NewLedger(nil)
	f := fleet.New(18*clock.Second, 3*clock.Second, firstToken, ledger)
	f.SetCatalog(wire.Catalog{MachineTypes: []wire.MachineType{{SKU: "m", Cores: 8, RAM: 32}}})
	facts := &config.Facts{Limits: config.Limits{CoreShare: 1}}
	return New(Settings{Facts: facts, Operator: operator, Fleet: f, Quota: ledger, Log: slog.New(slog.DiscardHandler)}), jobs.NewTable()
}

func addJob(table *jobs.Table, uid string, change func(spec *wire.Spec)) *jobs.Job {
	spec := wire.Spec{UID: uid, Kind: wire.KindBatch, Priority: "standard", Tasks: 3, Cores: 1}
	change(&spec)
	job := jobs.New(store.JobRecord{Spec: spec}, 1, &config.Facts{}, 0)
	table.Add(job)
	table.Enqueue(job)
	return job
}

// offered returns the waiting tasks in a snapshot by job.
func offered(s *plan.Snapshot) map[string][]int {
	out := map[string][]int{}
	for _, waiting := range s.Waiting {
		out[waiting.Job.UID] = waiting.Indexes
	}
	return out
}

// TestOfferedTasks checks that tasks that back off and tasks of jobs that are cancelled or pending
// cancellation are not offered to the planner.
func TestOfferedTasks(t *testing.T) {
	in, table := newInput(t)
	addJob(table, "j-1", func(*wire.Spec) {}).Tasks[1].NotBefore = 100 * clock.Second
	addJob(table, "j-2", func(*wire.Spec) {}).CancellationPending = true
	addJob(table, "j-3", func(*wire.Spec) {}).Cancelled = true
	got := offered(in.Snapshot(SnapshotParams{Now: clock.Second, Jobs: table}))
	if len(got) != 1 || !slices.Equal(got["j-1"], []int{0, 2}) {
		t.Errorf("offered %v, want tasks 0 and 2 of j-1", got)
	}
	if table.WaitingLen() != 2 {
		t.Errorf("%d jobs queued, want 2 without the cancelled one", table.WaitingLen())
	}
}

// TestBestEffortIsPaced checks that best-effort tasks start at a bounded rate.
func TestBestEffortIsPaced(t *testing.T) {
	in, table := newInput(t)
	job := addJob(table, "j-1", func(spec *wire.Spec) { spec.Priority, spec.Tasks = "low", 300 })
	now := 10 * clock.Second
	if got := len(offered(in.Snapshot(SnapshotParams{Now: now, Jobs: table}))["j-1"]); got != len(job.Tasks) {
		t.Fatalf("%d tasks offered with all tokens available, want all", got)
	}
	for range bestEffortPerCore {
		in.BestEffortStarted()
	}
	if got := offered(in.Snapshot(SnapshotParams{Now: now, Jobs: table})); len(got) != 0 {
		t.Errorf("offered %v right after a second's worth of tasks was started, want none", got)
	}
	if got := len(offered(in.Snapshot(SnapshotParams{Now: now + clock.Second/10, Jobs: table}))["j-1"]); got != bestEffortPerCore/10 {
		t.Errorf("%d tasks offered after a tenth of a second, want %d", got, bestEffortPerCore/10)
	}
}

// TestDue checks that a plan is due after a change, after retryInterval without capacity, and when a
// repair round is due.
func TestDue(t *testing.T) {
	in, _ := newInput(t)
	if round, due := in.Due(clock.Second, false, false); !round || !due {
		t.Error("the first plan is not a repair round")
	}
	tests := []struct {
		name             string
		now              clock.Micros
		waiting, changed bool
		want             bool
	}{
		{"nothing waits", clock.Second + 1, false, true, false},
		{"nothing has changed", clock.Second + 1, true, false, false},
		{"something has changed", clock.Second + 2, true, true, true},
		{"after the retry interval", clock.Second + 2 + retryInterval, true, false, true},
	}
	for _, tt := range tests {
		if round, due := in.Due(tt.now, tt.waiting, tt.changed); round || due != tt.want {
			t.Errorf("%s: round %t, due %t", tt.name, round, due)
		}
	}
	if round, due := in.Due(clock.Second+in.Operator.RepairInterval(), false, false); !round || !due {
		t.Error("no repair round after the repair interval")
	}
}

// TestRepairReasons checks which placed tasks a repair round lists as candidates, and why.
func TestRepairReasons(t *testing.T) {
	service := func(spec *wire.Spec) { spec.Kind = wire.KindService }
	batch := func(*wire.Spec) {}
	checkpointed := func(spec *wire.Spec) { spec.CheckpointIntervalS = 5 }
	tests := []struct {
		name    string
		kind    func(spec *wire.Spec)
		machine func(m *fleet.Machine)
		want    string
	}{
		{"healthy machine", service, func(*fleet.Machine) {}, ""},
		{"replica on a slow machine", service, func(m *fleet.Machine) { m.QuarantineReason = fleet.QuarantineSlow }, plan.ReasonQuarantine},
		{"batch task on a slow machine", batch, func(m *fleet.Machine) { m.QuarantineReason = fleet.QuarantineSlow }, ""},
		{"checkpointed batch task on a slow machine", checkpointed, func(m *fleet.Machine) { m.QuarantineReason = fleet.QuarantineSlow }, plan.ReasonQuarantine},
		{"batch task on a failing machine", batch, func(m *fleet.Machine) { m.QuarantineReason = fleet.QuarantineFailing }, plan.ReasonQuarantine},
		{"replica on a cordoned machine", service, func(m *fleet.Machine) { m.Cordoned = true }, plan.ReasonDrain},
		{"batch task on a cordoned machine", batch, func(m *fleet.Machine) { m.Cordoned = true }, ""},
	}
	for _, tt := range tests {
		in, table := newInput(t)
		job := addJob(table, "j-1", tt.kind)
		machine := in.Fleet.Ensure("n-1", 0)
		allocation := job.NewAllocation(0, 1)
		if err := in.Fleet.Reserve(machine, allocation, 0); err != nil {
			t.Fatal(err)
		}
		job.Tasks[0].State, job.Tasks[0].Allocation = jobs.TaskPlaced, allocation
		tt.machine(machine)
		s := in.Snapshot(SnapshotParams{Now: 100 * clock.Second, RepairRound: true, Jobs: table})
		got := ""
		for _, candidate := range s.Candidates {
			got = candidate.Reason
		}
		if got != tt.want {
			t.Errorf("%s: reason %q, want %q", tt.name, got, tt.want)
		}
	}
}

// Refresh updates what replicas use that are not being stopped.
func TestRefreshCountsReplicas(t *testing.T) {
	in, table := newInput(t)
	service := addJob(table, "j-1", func(spec *wire.Spec) { spec.Kind, spec.Tasks, spec.Cores, spec.RAM = wire.KindService, 2, 2, 3 })
	batch := addJob(table, "j-2", func(*wire.Spec) {})
	in.Fleet.Report(0, &wire.Heartbeat{Machine: "n-1", Endpoint: "e", MachineType: "m", Zone: "x", Incarnation: 1, Sequence: 1, Token: firstToken}, true)
	machine := in.Fleet.Machine("n-1")
	first, second := service.NewAllocation(0, 1), service.NewAllocation(1, 1)
	for _, allocation := range []*fleet.Allocation{first, second, batch.NewAllocation(0, 1)} {
		if err := in.Fleet.Reserve(machine, allocation, 0); err != nil {
			t.Fatal(err)
		}
	}
	in.Refresh(machine, false, clock.Second)
	if got, want := in.snapshot.Machine("n-1").Replicas, (plan.Resources{Cores: 4, RAM: 6}); got != want {
		t.Errorf("two replicas use %+v, want %+v", got, want)
	}
	second.Stopping = true
	in.Refresh(machine, false, clock.Second)
	if got, want := in.snapshot.Machine("n-1").Replicas, (plan.Resources{Cores: 2, RAM: 3}); got != want {
		t.Errorf("one of two replicas is being stopped: %+v, want %+v", got, want)
	}
}

// TestRefresh checks that Refresh updates a machine's free capacity, the capacity that stops will
// free, and its victims.
func TestRefresh(t *testing.T) {
	in, table := newInput(t)
	job := addJob(table, "j-1", func(*wire.Spec) {})
	in.Fleet.Report(0, &wire.Heartbeat{Machine: "n-1", Endpoint: "e", MachineType: "m", Zone: "x", Incarnation: 1, Sequence: 1, Token: firstToken}, true)
	machine := in.Fleet.Machine("n-1")
	allocation := job.NewAllocation(0, 1)
	if err := in.Fleet.Reserve(machine, allocation, 0); err != nil {
		t.Fatal(err)
	}
	job.Tasks[0].State, job.Tasks[0].Allocation = jobs.TaskPlaced, allocation
	if again := in.Refresh(machine, false, clock.Second); again {
		t.Error("to be refreshed again although no stop is in progress")
	}
	planned := in.snapshot.Machine("n-1")
	if !planned.Usable || planned.Free.Cores != 7 || len(planned.Victims) != 1 {
		t.Errorf("usable %t with %v cores free and %d victims; want true, 7 and 1", planned.Usable, planned.Free.Cores, len(planned.Victims))
	}
	if want := (plan.Resources{Cores: 8, RAM: 32}); planned.Capacity != want {
		t.Errorf("capacity %+v, want %+v", planned.Capacity, want)
	}
	allocation.Stopping, allocation.StopRequestedAt = true, clock.Second
	if again := in.Refresh(machine, false, clock.Second); !again || planned.Stopping.Cores != 1 || len(planned.Victims) != 0 {
		t.Errorf("to be refreshed again %t, %v cores stopping, %d victims; want true, 1 and none", again, planned.Stopping.Cores, len(planned.Victims))
	}
	in.Remove("n-1")
	if in.snapshot.Machine("n-1") != nil {
		t.Error("the removed machine is still in the snapshot")
	}
}
