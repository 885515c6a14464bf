package jobs

import (
	"slices"
	"testing"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/fleet"
	"cedardoor/quota"
	"cedardoor/store"
	"cedardoor/wire"
)

// newJob returns a batch job; change, if not nil, adjusts its spec.
func newJob(tasks int, change func(spec *wire.Spec)) *Job {
	spec := wire.Spec{UID: "j-1", Kind: wire.KindBatch, Priority: "standard", Tasks: tasks, Cores: 1}
	if change != nil {
		change(&spec)
	}
	return New(store.JobRecord{Spec: spec}, 1, &config.Facts{}, 0)
}

func TestKinds(t *testing.T) {
	tests := []struct {
		kind, priority                          string
		service, gang, bestEffort, sharesRecord bool
	}{
		{wire.KindBatch, "low", false, false, true, true},
		{wire.KindBatch, "standard", false, false, false, true},
		{wire.KindService, "low", true, false, false, false},
		{wire.KindGang, "low", false, true, false, false},
	}
	for _, tt := range tests {
		job := newJob(1, func(spec *wire.Spec) { spec.Kind, spec.Priority = tt.kind, tt.priority })
		if job.IsService() != tt.service || job.IsGang() != tt.gang || job.IsBestEffort() != tt.bestEffort || job.SharesRecord() != tt.sharesRecord {
			t.Errorf("%s %s: service %t, gang %t, best effort %t, shares a record %t", tt.kind, tt.priority,
				job.IsService(), job.IsGang(), job.IsBestEffort(), job.SharesRecord())
		}
	}
}

// A task that is queued twice is listed only once, or it would be placed twice.
func TestTaskIsQueuedOnce(t *testing.T) {
	table, job := NewTable(), newJob(3, nil)
	table.Add(job)
	job.Tasks[1].State = TaskPlaced
	table.ResetQueue(job)
	table.EnqueueTask(job, 0)
	job.Tasks[1].ClearAllocation()
	table.EnqueueTask(job, 1)
	table.EnqueueTask(job, 1)
	if want := []int{0, 2, 1}; !slices.Equal(job.Waiting, want) {
		t.Errorf("waiting %v, want %v", job.Waiting, want)
	}
	job.Tasks[2].State = TaskDone
	job.PruneWaiting()
	if want := []int{0, 1}; !slices.Equal(job.Waiting, want) {
		t.Errorf("waiting %v after pruning, want %v", job.Waiting, want)
	}
	if table.WaitingLen() != 1 {
		t.Errorf("%d jobs queued, want 1", table.WaitingLen())
	}
}

func TestCounts(t *testing.T) {
	job := newJob(5, nil)
	job.Tasks[0].State, job.Done = TaskDone, 1
	job.Tasks[1].State = TaskPlaced
	job.Tasks[2].State = TaskUnreadable
	job.Tasks[3].NotBefore = 10
	if placed, unplaced := job.CountUnfinished(); placed != 2 || unplaced != 2 {
		t.Errorf("%d placed and %d unplaced, want 2 and 2", placed, unplaced)
	}
	if ready, backingOff := job.CountWaiting(5); ready != 1 || backingOff != 1 {
		t.Errorf("%d ready and %d backing off, want 1 and 1", ready, backingOff)
	}
}

// MarkChanged marks the shared record if the job uses one, and otherwise the task's chunk.
func TestMarkChangedUsesRecordInUse(t *testing.T) {
	job := newJob(store.TasksPerChunk+1, nil)
	if chunk := job.MarkChanged(store.TasksPerChunk); chunk != job.Record.Chunks[1] || chunk.Version != 1 {
		t.Errorf("changed %+v", chunk)
	}
	job.Record.Shared = &SharedRecord{}
	if chunk := job.MarkChanged(0); chunk != &job.Record.Shared.Chunk || job.Record.Chunks[0].Version != 0 {
		t.Errorf("changed %+v beside the shared record", chunk)
	}
}

// The replicas of services that may exist are counted in total, by zone and by machine.
func TestReplicasAreCounted(t *testing.T) {
	table := NewTable()
	service := newJob(2, func(spec *wire.Spec) { spec.Kind = wire.KindService })
	f := fleet.New(clock.Second, clock.Second, 1, quota.NewLedger(nil))
	f.OnCapacityChange = table.CapacityChanged
	machine := f.Ensure("n-1", 0)
	f.Describe(machine, fleet.Description{Endpoint: "e", Type: "b", Zone: "x"})
	allocation := service.NewAllocation(0, 1)
	if err := f.Reserve(machine, allocation, 0); err != nil {
		t.Fatal(err)
	}
	if table.Replicas() != 1 || service.Plan.Zones["x"] != 1 || service.Plan.Machines["n-1"] != 1 {
		t.Errorf("%d replicas, zones %v, machines %v", table.Replicas(), service.Plan.Zones, service.Plan.Machines)
	}
	if !HoldsReplica(machine) {
		t.Error("the machine holds no replica")
	}
	f.Remove(allocation, 0)
	if table.Replicas() != 0 || service.Plan.Zones["x"] != 0 || HoldsReplica(machine) {
		t.Errorf("%d replicas after its end, zones %v", table.Replicas(), service.Plan.Zones)
	}
}

func TestRunTimes(t *testing.T) {
	var runs RunTimes
	if runs.Mean() != 0 {
		t.Error("the mean of no run times is not zero")
	}
	runs.Add(10)
	runs.Add(20)
	runs.Rescale(1)
	if runs.Count != 1 || runs.Mean() != 15 {
		t.Errorf("%+v after rescaling, want a count of 1 and a mean of 15", runs)
	}
}

func TestPreferredZone(t *testing.T) {
	zones := []string{"x", "y"}
	together := newJob(4, func(spec *wire.Spec) { spec.SameZone = true })
	spread := newJob(4, func(spec *wire.Spec) { spec.Spread = true })
	for _, job := range []*Job{together, spread} {
		if got := job.PreferredZone(zones); got != "" {
			t.Errorf("zone %q though nothing is placed", got)
		}
		job.Plan.Zones["x"], job.Plan.Zones["y"] = 2, 1
	}
	if together.PreferredZone(zones) != "x" || spread.PreferredZone(zones) != "y" {
		t.Errorf("together in %q, spread in %q; want x and y", together.PreferredZone(zones), spread.PreferredZone(zones))
	}
}
