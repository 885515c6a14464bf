package plan

import (
	"testing"

	"cedardoor/wire"

	gocmp "github.com/google/go-cmp/cmp"
)

// preemptingSnapshot returns a snapshot at time 100 in which tasks may be preempted.
func preemptingSnapshot(machines []*Machine, jobs ...*Job) *Snapshot {
	s := newSnapshot(machines, jobs...)
	s.Preempt, s.Now = true, 100
	return s
}

func TestPreemption(t *testing.T) {
	size := Resources{Cores: 8, RAM: 8}
	machine := newMachine("a", "x", 0, 10)
	machine.Victims = []Victim{{Task: TaskID{"j-1", 0}, Priority: wire.PriorityStandard, Resources: size, RunningSince: 97},
		{Task: TaskID{"j-1", 1}, Priority: wire.PriorityStandard, Resources: size, RunningSince: 91}}
	urgent, equal := newJob("j-2", 2, 4, 4), newJob("j-3", 1, 4, 4)
	urgent.Priority = wire.PriorityHigh
	want := []TaskID{{"j-1", 0}}
	if diff := gocmp.Diff(want, Make(preemptingSnapshot([]*Machine{machine}, urgent, equal)).Preemptions); diff != "" {
		t.Error("want one victim, enough for both urgent tasks, and none for equal priority: ", diff)
	}
	// Capacity that is already being freed is enough: nothing more is preempted.
	machine = newMachine("a", "x", 0, 10)
	machine.Stopping = size
	machine.Victims = []Victim{{Task: TaskID{"j-1", 1}, Priority: wire.PriorityStandard, Resources: size}}
	if result := Make(preemptingSnapshot([]*Machine{machine}, urgent)); len(result.Preemptions) != 0 {
		t.Errorf("preempted %v although enough capacity is being freed", result.Preemptions)
	}
}

// Work of a team beyond its guarantee, or without one, is preempted for a team within its
// guarantee, whatever the priorities. A team is not preempted below its guarantee.
func TestWorkBeyondGuaranteeIsPreempted(t *testing.T) {
	for _, tt := range []struct {
		name            string
		guarantee, used float64 // the guest's
		entitled        bool
		want            int
	}{
		{"of a team without a guarantee", 0, 16, true, 2},
		{"for a team beyond its own guarantee", 0, 16, false, 0},
		{"of a team beyond its guarantee by one task", 8, 16, true, 1},
		{"of a team within its guarantee", 16, 16, true, 0},
	} {
		guest := newJobOfTeam("guest", "j-1", 2, 8, 8)
		guest.Priority = wire.PriorityHigh
		machine := newMachine("a", "x", 0, 10)
		for i := range 2 {
			machine.Victims = append(machine.Victims, Victim{Task: TaskID{"j-1", i}, Job: guest, Priority: guest.Priority, Resources: guest.Resources, RunningSince: 50})
		}
		own := newJob("j-2", 2, 8, 8)
		own.Entitled = tt.entitled
		used := 16.0
		if tt.entitled {
			used = 0
		}
		s := preemptingSnapshot([]*Machine{machine}, own)
		s.Quota = guaranteeLedger(16, used, tt.guarantee, tt.used)
		if result := Make(s); len(result.Preemptions) != tt.want {
			t.Errorf("%s: %d tasks preempted, want %d", tt.name, len(result.Preemptions), tt.want)
		}
	}
}

// Work within its team's guarantee is placed before work of any priority that is beyond
// another team's. Otherwise that work would take back the capacity it was preempted from.
func TestGuaranteeOverridesPriority(t *testing.T) {
	own := newJob("j-1", 1, 8, 8)
	own.Entitled, own.Priority = true, wire.PriorityLow
	guest, service := newJobOfTeam("guest", "j-2", 1, 8, 8), newJobOfTeam("guest", "j-3", 1, 8, 8)
	guest.Priority, service.Priority, service.Service = wire.PriorityCritical, wire.PriorityCritical, true
	machine := newMachine("a", "x", 8, 8)
	machine.ReservedFor = "j-2" // a reservation for the other job does not matter either
	s := preemptingSnapshot([]*Machine{machine}, guest, service, own)
	s.Quota = guaranteeLedger(8, 0, 0, 0)
	result := Make(s)
	if diff := gocmp.Diff([]Placement{{TaskID{"j-1", 0}, "a"}}, result.Launches); diff != "" {
		t.Error(diff)
	}
	if len(result.Preemptions) > 0 {
		t.Errorf("preempted %v although there is free capacity", result.Preemptions)
	}
}

// Work within its team's guarantee is preempted only for work within another team's
// guarantee and of higher priority, a replica only for another team's guarantee.
func TestMayPreempt(t *testing.T) {
	for _, tt := range []struct {
		name     string
		entitled bool // the waiting job is within its guarantee
		priority wire.Priority
		victim   Victim
		within   bool // the victim's job is within its guarantee
		want     bool
	}{
		{"lower priority", false, wire.PriorityHigh, Victim{Priority: wire.PriorityLow}, false, true},
		{"lower priority, within its guarantee", false, wire.PriorityHigh, Victim{Priority: wire.PriorityLow}, true, false},
		{"both within their guarantees, lower priority", true, wire.PriorityHigh, Victim{Priority: wire.PriorityLow}, true, true},
		{"both within their guarantees, the same priority", true, wire.PriorityHigh, Victim{Priority: wire.PriorityHigh}, true, false},
		{"higher priority, beyond its guarantee", true, wire.PriorityLow, Victim{Priority: wire.PriorityHigh}, false, true},
		{"a replica of lower priority", false, wire.PriorityCritical, Victim{Priority: wire.PriorityLow, Replica: true}, false, false},
		{"a replica beyond its guarantee", true, wire.PriorityLow, Victim{Priority: wire.PriorityCritical, Replica: true}, false, true},
		{"a replica within its guarantee", true, wire.PriorityCritical, Victim{Priority: wire.PriorityLow, Replica: true}, true, false},
	} {
		guest := newJobOfTeam("guest", "j-1", 1, 8, 8)
		victim := tt.victim
		victim.Task, victim.Job, victim.Resources, victim.RunningSince = TaskID{"j-1", 0}, guest, guest.Resources, 50
		machine := newMachine("a", "x", 0, 0)
		machine.Victims = []Victim{victim}
		own := newJob("j-2", 1, 8, 8)
		own.Entitled, own.Priority = tt.entitled, tt.priority
		used, guestGuarantee := 8.0, 0.0
		if tt.entitled {
			used = 0
		}
		if tt.within {
			guestGuarantee = 8
		}
		s := preemptingSnapshot([]*Machine{machine}, own)
		s.Quota = guaranteeLedger(8, used, guestGuarantee, 8)
		if got := len(Make(s).Preemptions) == 1; got != tt.want {
			t.Errorf("%s: preempted %t, want %t", tt.name, got, tt.want)
		}
	}
}

// newGuestMachine returns a machine that is full except for the given free cores. Team guest runs
// tasks of two cores each there, beyond its guarantee.
func newGuestMachine(name, zone string, freeCores float64, guestTasks int) *Machine {
	guest := newJobOfTeam("guest", "j-9", 100, 2, 2)
	machine := newMachine(name, zone, freeCores, 64)
	for i := range guestTasks {
		machine.Victims = append(machine.Victims, Victim{Task: TaskID{"j-9", int(name[0])*100 + i}, Job: guest, Priority: wire.PriorityHigh,
			Resources: guest.Resources, RunningSince: 50})
	}
	return machine
}

// A job that must start whole gets its team's guarantee by preemption, too: as much work of teams
// beyond theirs is preempted as it needs, and none if it would still not fit whole.
func TestAllOrNothingJobsPreemptForGuarantee(t *testing.T) {
	gang := func(job *Job) { job.Gang, job.Unfinished = true, job.Tasks }
	oneZone := func(job *Job) { job.SameZone = true }
	for _, tt := range []struct {
		name      string
		shape     func(job *Job)
		guarantee float64
		machines  []*Machine
		want      int // preemptions
	}{
		{"a gang, half of which fits into free capacity", gang, 8, []*Machine{newGuestMachine("a", "x", 4, 2), newGuestMachine("b", "y", 0, 4)}, 2},
		{"a gang on two machines", gang, 8, []*Machine{newGuestMachine("a", "x", 0, 2), newGuestMachine("b", "y", 0, 2)}, 4},
		{"a gang that would not fit whole", gang, 8, []*Machine{newGuestMachine("a", "x", 0, 2), newGuestMachine("b", "y", 0, 1)}, 0},
		{"a gang beyond its team's guarantee", gang, 7, []*Machine{newGuestMachine("a", "x", 0, 4)}, 0},
		{"same zone, enough in one of two zones", oneZone, 8, []*Machine{newGuestMachine("a", "x", 0, 2), newGuestMachine("b", "y", 0, 4)}, 4},
		{"same zone, enough in neither zone", oneZone, 8, []*Machine{newGuestMachine("a", "x", 0, 2), newGuestMachine("b", "y", 2, 1)}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			job := newJob("j-1", 4, 2, 2)
			job.Priority = wire.PriorityLow
			tt.shape(job)
			s := preemptingSnapshot(tt.machines, job)
			s.Quota = guaranteeLedger(tt.guarantee, 0, 0, 12)
			s.ensureIndex()
			before := planState(s, job)
			result := Make(s)
			if len(result.Preemptions) != tt.want || len(result.Launches) != 0 {
				t.Errorf("preempted %v, launched %v, want %d preemptions and no launches", result.Preemptions, result.Launches, tt.want)
			}
			preempted := map[TaskID]bool{}
			for _, id := range result.Preemptions {
				if preempted[id] {
					t.Errorf("%v is preempted twice", id)
				}
				preempted[id] = true
			}
			if diff := gocmp.Diff(before, planState(s, job)); diff != "" {
				t.Errorf("the plan did not restore the snapshot: %s", diff)
			}
		})
	}
}

// While the victims are stopping, the capacity stays claimed: the next plan preempts nothing
// more and places no other job there.
func TestCapacityForGangStaysClaimed(t *testing.T) {
	gang, other := newJob("j-1", 4, 2, 2), newJobOfTeam("guest", "j-2", 4, 2, 2)
	gang.Gang, gang.Unfinished, gang.Priority = true, 4, wire.PriorityLow
	other.Priority = wire.PriorityHigh
	machine := newGuestMachine("a", "x", 4, 2)
	machine.Stopping = Resources{Cores: 4, RAM: 4}
	s := preemptingSnapshot([]*Machine{machine}, gang, other)
	s.Quota = guaranteeLedger(8, 0, 0, 12)
	if result := Make(s); len(result.Preemptions) != 0 || len(result.Launches) != 0 {
		t.Errorf("preempted %v, launched %v, want neither", result.Preemptions, result.Launches)
	}
	machine.Free.Cores, machine.Stopping = 8, Resources{}
	s.Put(machine)
	for _, launch := range Make(s).Launches {
		if launch.Task.Job != "j-1" {
			t.Errorf("launched %v, want only tasks of the gang", launch)
		}
	}
}
