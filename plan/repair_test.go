package plan

import (
	"fmt"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"
)

func TestRepairMovesLargestMemoryFirst(t *testing.T) {
	quarantined := newMachine("a", "x", 0, 0)
	quarantined.QuarantineReason = "failing"
	small, large := newJob("j-1", 1, 1, 2), newJob("j-2", 1, 1, 8)
	s := &Snapshot{Machines: []*Machine{quarantined, newMachine("b", "x", 8, 32)}, MaxMoves: 1}
	for _, job := range []*Job{small, large} {
		job.Service = true
		job.Count("x", "a", 1)
		s.Candidates = append(s.Candidates, Candidate{Job: job, Machine: "a", Reason: ReasonQuarantine})
	}
	result := Make(s)
	want := []Move{{Task: TaskID{"j-2", 0}, From: "a", To: "b", Reason: ReasonQuarantine}}
	if diff := gocmp.Diff(want, result.Moves); diff != "" {
		t.Error("want only the task with the most memory moved, as the cap is one: ", diff)
	}
	if result.Deferred != 1 {
		t.Errorf("deferred %d, want 1", result.Deferred)
	}
}

// While a moved task may still run at its source, it counts there: the launch of another task
// and the move must not exceed the zone cap together.
func TestMoveKeepsZoneCapUntilStopped(t *testing.T) {
	quarantined := newMachine("a", "x", 0, 0)
	quarantined.QuarantineReason = "failing"
	job := newJob("j-1", 2, 1, 2)
	job.Service, job.Spread = true, true
	job.Count("x", "a", 1)
	result := Make(&Snapshot{Machines: []*Machine{quarantined, newMachine("b", "x", 8, 32), newMachine("c", "y", 8, 32)}, MaxMoves: 5,
		Waiting:    []Waiting{{Job: job, Indexes: []int{1}}},
		Candidates: []Candidate{{Job: job, Index: 0, Machine: "a", Reason: ReasonQuarantine}}})
	if len(result.Launches) != 1 || result.Launches[0].Machine != "c" {
		t.Errorf("launched %v, want one task on c", result.Launches)
	}
	for _, move := range result.Moves {
		if move.To == "c" {
			t.Errorf("two tasks in one zone: %v", result.Moves)
		}
	}
}

// Only a few replicas that share a machine are moved per plan, since each move restarts one.
func TestSpreadingIsGradual(t *testing.T) {
	s := &Snapshot{MaxMoves: 10}
	s.Put(newMachine("a", "x", 0, 0))
	job := newJob("j-1", 12, 1, 1)
	job.Service = true
	job.Count("x", "a", 12)
	for i := range 12 {
		s.Put(newMachine(fmt.Sprintf("m%02d", i), "y", 8, 32))
		s.Candidates = append(s.Candidates, Candidate{Job: job, Index: i, Machine: "a", Reason: ReasonSpread})
	}
	if result := Make(s); len(result.Moves) != s.MaxMoves/spreadMoveDivisor {
		t.Errorf("%d moves, want %d", len(result.Moves), s.MaxMoves/spreadMoveDivisor)
	}
}
