package plan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"

	"cedardoor/wire"
)

// fill takes all that is free on a machine.
func fill(s *Snapshot, name string) {
	machine := s.Machine(name)
	machine.Free.Cores, machine.Free.RAM = 0, 0
	s.Put(machine)
}

// A job that has waited long goes before higher priorities with its first task only,
// though plan after plan is made before that one is seen to begin.
func TestOnlyFirstTaskOfStarvedJobGoesFirst(t *testing.T) {
	s := &Snapshot{StarvationCredits: MaxStarvationCredits}
	starved, urgent := newJob("j-1", 10, 1, 1), newJob("j-2", 10, 1, 1)
	starved.Priority, starved.Starved, urgent.Priority = wire.PriorityLow, true, wire.PriorityHigh
	jobs := map[string]*Job{"j-1": starved, "j-2": urgent}
	placed := map[string]int{}
	for n := range 10 { // one machine comes free after the other
		s.Put(newMachine(fmt.Sprintf("m%d", n), "x", 1, 1))
		s.Waiting = []Waiting{{Job: starved, Indexes: indexes(10)[placed["j-1"]:]}, {Job: urgent, Indexes: indexes(10)[placed["j-2"]:]}}
		result := Make(s)
		if len(result.Reservations) > 0 {
			t.Fatalf("plan %d reserves capacity: %v", n, result.Reservations)
		}
		for _, launch := range result.Launches {
			placed[launch.Task.Job]++
			fill(s, launch.Machine)
			jobs[launch.Task.Job].Count("x", launch.Machine, 1)
		}
	}
	if placed["j-1"] != 1 || placed["j-2"] != 9 {
		t.Errorf("placed %v, want one of the job that has waited long", placed)
	}
}

// Jobs of one task each that have all waited long are more than the capacity that comes
// free. Urgent work that waits beside them gets every other place, and they the
// rest, though other urgent work finds no capacity at all; a large one
// among them gets the capacity that is reserved for it.
func TestStarvedJobsTakeTurnsWithUrgentWork(t *testing.T) {
	s := &Snapshot{StarvationCredits: MaxStarvationCredits}
	queue := map[string]Waiting{}
	for n := range 60 {
		job := newJob(fmt.Sprintf("j-%d", n), 1, 1, 1)
		job.Priority, job.Starved, job.Order = wire.PriorityLow, true, int64(n)
		queue[job.UID] = Waiting{Job: job, Indexes: indexes(1)}
	}
	queue["j-9"].Job.Cores = 3 // more than a machine has at first
	urgent := newJob("j-100", 40, 1, 1)
	urgent.Priority = wire.PriorityHigh
	large := newJob("j-101", 1, 64, 1) // there is no capacity for it anywhere
	large.Priority = wire.PriorityCritical
	queue[large.UID] = Waiting{Job: large, Indexes: indexes(1)}
	reserved := ""
	placed := map[string]int{}
	for n := range 40 {
		s.Put(newMachine(fmt.Sprintf("m%d", n), "x", 1, 1))
		if machine := s.Machine(reserved); machine != nil {
			machine.Free.Cores, machine.Free.RAM = machine.Free.Cores+1, 1
			s.Put(machine)
		}
		queue[urgent.UID] = Waiting{Job: urgent, Indexes: indexes(40)[placed["urgent"]:]}
		s.Waiting = slices.SortedFunc(maps.Values(queue), func(a, b Waiting) int { return cmp.Compare(a.Job.UID, b.Job.UID) })
		result := Make(s)
		s.StarvationCredits, reserved = result.StarvationCredits, ""
		for machine, uid := range result.Reservations {
			reserved = machine
			queue[uid].Job.ReservedMachine = machine
			s.Machine(machine).ReservedFor = uid
		}
		for _, launch := range result.Launches {
			fill(s, launch.Machine)
			switch launch.Task.Job {
			case urgent.UID:
				placed["urgent"]++
				urgent.Count("x", launch.Machine, 1)
			case "j-9":
				placed["j-9"]++
				fallthrough
			default:
				placed["starved"]++
				delete(queue, launch.Task.Job)
			}
		}
	}
	if placed["urgent"] < 12 || placed["starved"] < 12 || placed["j-9"] != 1 {
		t.Errorf("placed %v, want about as many of either, and j-9", placed)
	}
}
