package plan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"

	"cedardoor/wire"
)

// fill sets the free capacity of a machine to zero.
func fill(s *Snapshot, name string) {
	machine := s.Machine(name)
	machine.Free.Cores, machine.Free.RAM = 0, 0
	s.Put(machine)
}

// Only the first task of a starved job goes ahead of higher priorities, although several
// plans are made before the job is known to have started.
func TestOnlyFirstTaskOfStarvedJobGoesFirst(t *testing.T) {
	s := &Snapshot{StarvationCredits: MaxStarvationCredits}
	starved, urgent := newJob("j-1", 10, 1, 1), newJob("j-2", 10, 1, 1)
	starved.Priority, starved.Starved, urgent.Priority = wire.PriorityLow, true, wire.PriorityHigh
	jobs := map[string]*Job{"j-1": starved, "j-2": urgent}
	placed := map[string]int{}
	for n := range 10 { // one machine becomes available per plan
		s.Put(newMachine(fmt.Sprintf("m%d", n), "x", 1, 1))
		s.Waiting = []Waiting{{Job: starved, Indexes: indexes(10)[placed["j-1"]:]}, {Job: urgent, Indexes: indexes(10)[placed["j-2"]:]}}
		result := Make(s)
		if len(result.Reservations) > 0 {
			t.Fatalf("plan %d reserves machines: %v", n, result.Reservations)
		}
		for _, launch := range result.Launches {
			placed[launch.Task.Job]++
			fill(s, launch.Machine)
			jobs[launch.Task.Job].Count("x", launch.Machine, 1)
		}
	}
	if placed["j-1"] != 1 || placed["j-2"] != 9 {
		t.Errorf("placed %v, want one task of the starved job and nine of the urgent one", placed)
	}
}

// More starved single-task jobs wait than capacity comes free. They and the waiting urgent
// work take turns, although another urgent job fits nowhere. A large starved job gets the
// capacity that is reserved for it.
func TestStarvedJobsTakeTurnsWithUrgentWork(t *testing.T) {
	s := &Snapshot{StarvationCredits: MaxStarvationCredits}
	queue := map[string]Waiting{}
	for n := range 60 {
		job := newJob(fmt.Sprintf("j-%d", n), 1, 1, 1)
		job.Priority, job.Starved, job.Order = wire.PriorityLow, true, int64(n)
		queue[job.UID] = Waiting{Job: job, Indexes: indexes(1)}
	}
	queue["j-9"].Job.Cores = 3 // more than a machine has initially
	urgent := newJob("j-100", 40, 1, 1)
	urgent.Priority = wire.PriorityHigh
	large := newJob("j-101", 1, 64, 1) // fits on no machine
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
		t.Errorf("placed %v, want at least 12 urgent and 12 starved tasks, and j-9", placed)
	}
}

// Guards against a job that waits for ever: capacity is reserved for a starved job only on a machine
// that is large enough for its tasks once only replicas remain there.
func TestReservationIsOnMachineThatFits(t *testing.T) {
	for _, tt := range []struct {
		name  string
		small Resources // what the machine with the smallest shortfall has in all
		used  Resources // what replicas use of that
		need  Resources
	}{
		{"too few cores", Resources{Cores: 4, RAM: 64}, Resources{}, Resources{Cores: 8, RAM: 8}},
		{"too little memory", Resources{Cores: 8, RAM: 4}, Resources{}, Resources{Cores: 4, RAM: 8}},
		{"no accelerators", Resources{Cores: 8, RAM: 64}, Resources{}, Resources{Cores: 1, RAM: 1, Accelerators: 1}},
		{"too few cores beside replicas", Resources{Cores: 8, RAM: 64}, Resources{Cores: 6, RAM: 4}, Resources{Cores: 3, RAM: 8}},
		{"too little memory beside replicas", Resources{Cores: 8, RAM: 64}, Resources{Cores: 1, RAM: 60}, Resources{Cores: 3, RAM: 8}},
	} {
		small, busy := newMachine("a", "x", 0, 0), newMachine("b", "x", 0, 0)
		small.Capacity, small.Replicas = tt.small, tt.used
		small.Free = Resources{Cores: tt.small.Cores - tt.used.Cores, RAM: tt.small.RAM - tt.used.RAM}
		busy.Capacity = Resources{Cores: 8, RAM: 64, Accelerators: 2}
		job := newJob("j-1", 1, 1, 1)
		job.Resources, job.Starved = tt.need, true
		if got := Make(newSnapshot([]*Machine{small, busy}, job)).Reservations; got["b"] != "j-1" {
			t.Errorf("%s: reservations %v, want one on b", tt.name, got)
		}
	}
}
