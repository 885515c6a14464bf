package plan

import (
	"fmt"
	"testing"
)

// newSharedMachine returns a snapshot in which all replicas of a service run on machine a and are
// candidates, with as many other machines that have capacity.
func newSharedMachine(replicas int) (*Snapshot, *Job) {
	s := &Snapshot{MaxMoves: spreadMoveDivisor * replicas}
	s.Put(newMachine("a", "x", 0, 0))
	job := newJob("j-1", replicas, 1, 1)
	job.Service = true
	job.Count("x", "a", replicas)
	for i := range replicas {
		s.Put(newMachine(fmt.Sprintf("m%02d", i), "y", 8, 32))
		s.Candidates = append(s.Candidates, Candidate{Job: job, Index: i, Machine: "a", Reason: ReasonSpread})
	}
	return s, job
}

// Guards against a needless restart: of replicas that share a machine, all but one move, even if
// the cap on moves admits all.
func TestLastReplicaOfSharedMachineStays(t *testing.T) {
	for _, replicas := range []int{2, 3, 5} {
		s, _ := newSharedMachine(replicas)
		if result := Make(s); len(result.Moves) != replicas-1 || result.Deferred != 0 {
			t.Errorf("%d moves and %d deferred of %d replicas that share a machine, want %d and 0",
				len(result.Moves), result.Deferred, replicas, replicas-1)
		}
	}
}

// Guards against a forgotten violation: a replica that stays for the sake of a move that the cap
// defers is moved by a later plan, and still the last one stays.
func TestDeferredSpreadingIsFinishedLater(t *testing.T) {
	s, job := newSharedMachine(4)
	s.MaxMoves = 1
	moved := map[int]bool{}
	for range 5 {
		for _, move := range Make(s).Moves {
			moved[move.Task.Index] = true
			job.Count("x", "a", -1)
			job.Count("y", move.To, 1)
		}
		s.Candidates = nil
		for i := range 4 {
			if !moved[i] && job.Machines["a"] > 1 {
				s.Candidates = append(s.Candidates, Candidate{Job: job, Index: i, Machine: "a", Reason: ReasonSpread})
			}
		}
	}
	if len(moved) != 3 || job.Machines["a"] != 1 {
		t.Errorf("moved %v, %d replicas stay; want three moved and one staying", moved, job.Machines["a"])
	}
}

// Guards against a needless restart: the replica beside one that a quarantine or a drain moves
// stays.
func TestReplicaBesideMovedOneStays(t *testing.T) {
	s, _ := newSharedMachine(2)
	s.Machine("a").Cordoned = true
	s.Candidates[0].Reason = ReasonDrain // the other is too young to be moved off a cordoned machine
	if result := Make(s); len(result.Moves) != 1 || result.Moves[0].Reason != ReasonDrain {
		t.Errorf("moves %v, want only the one that drains the machine", result.Moves)
	}
}

// Guards against a violation that operators can't find: a task that may stay because moves of the
// plan resolve its violation does not count as one.
func TestViolationsLeaveOutTasksThatStay(t *testing.T) {
	s, _ := newSharedMachine(3)
	if result := Make(s); result.Violations != 0 {
		t.Errorf("%d violations with %d moves of three replicas that share a machine, want none", result.Violations, len(result.Moves))
	}
	s, _ = newSharedMachine(2)
	for _, machine := range s.index.all[kindOnDemand] {
		machine.Usable = false
		s.Put(machine)
	}
	if result := Make(s); result.Violations != 2 {
		t.Errorf("%d violations of two replicas without a target, want 2", result.Violations)
	}
}

// Guards against a replica that is both preempted and moved by one plan, and against a move of the one
// that the preemption has left alone.
func TestPreemptedReplicaIsNotMoved(t *testing.T) {
	shared, other := newMachine("a", "x", 0, 0), newMachine("b", "y", 8, 32)
	service := newJobOfTeam("guest", "j-1", 2, 2, 2)
	service.Service = true
	service.Count("x", "a", 2)
	for i := range 2 {
		shared.Victims = append(shared.Victims, Victim{Task: TaskID{"j-1", i}, Resources: service.Resources, Job: service, Replica: true})
	}
	owed := newJob("j-2", 1, 2, 2)
	owed.Zone = "x"
	s := newSnapshot([]*Machine{shared, other}, owed)
	s.Quota, s.Preempt, s.MaxMoves = guaranteeLedger(2, 0, 0, 4), true, 10
	for i := range 2 {
		s.Candidates = append(s.Candidates, Candidate{Job: service, Index: i, Machine: "a", Reason: ReasonSpread})
	}
	result := Make(s)
	if len(result.Preemptions) != 1 || len(result.Moves) != 0 {
		t.Errorf("preempted %v, moved %v; want one replica preempted and the other left alone", result.Preemptions, result.Moves)
	}
}
