package plan

import (
	"fmt"
	"testing"

	"cedardoor/quota"
	"cedardoor/wire"

	gocmp "github.com/google/go-cmp/cmp"
)

// guestMachine is full but for the free cores; a guest team runs tasks of two cores there,
// beyond its guarantee.
func guestMachine(name, zone string, free float64, guests int) *Machine {
	guest := newJob("j-9", 100, 2, 2)
	guest.Team = "guest"
	m := machine(name, zone, free, 64)
	for i := range guests {
		m.Victims = append(m.Victims, Victim{Task: TaskID{"j-9", int(name[0])*100 + i}, Job: guest, Priority: wire.PriorityHigh, Cores: 2, RAM: 2, RunningSince: 50})
	}
	return m
}

// What starts only whole gets its team's guarantee by stops, too: of work that others run
// beyond theirs, as much as is needed, and none where it would not be whole even so.
func TestWholeJobsGetTheirGuarantee(t *testing.T) {
	group := func(j *Job) { j.Gang, j.Unfinished = true, j.Tasks }
	together := func(j *Job) { j.SameZone = true }
	for _, tt := range []struct {
		name      string
		mod       func(j *Job)
		guarantee float64
		machines  []*Machine
		want      int // stops
	}{
		{"a group, half of it in free room", group, 8, []*Machine{guestMachine("a", "x", 4, 2), guestMachine("b", "y", 0, 4)}, 2},
		{"a group, over two machines", group, 8, []*Machine{guestMachine("a", "x", 0, 2), guestMachine("b", "y", 0, 2)}, 4},
		{"a group that would not be whole", group, 8, []*Machine{guestMachine("a", "x", 0, 2), guestMachine("b", "y", 0, 1)}, 0},
		{"a group beyond its team's guarantee", group, 7, []*Machine{guestMachine("a", "x", 0, 4)}, 0},
		{"one zone, where the other has too little", together, 8, []*Machine{guestMachine("a", "x", 0, 2), guestMachine("b", "y", 0, 4)}, 4},
		{"one zone, where neither has enough", together, 8, []*Machine{guestMachine("a", "x", 0, 2), guestMachine("b", "y", 2, 1)}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			j := newJob("j-1", 4, 2, 2)
			j.Priority = wire.PriorityLow
			tt.mod(j)
			ledger := quota.NewLedger(map[string]quota.Limits{"t": {Guarantee: quota.NewAmount(tt.guarantee, 0)}, "guest": {}})
			ledger.Adopt("guest", quota.NewAmount(12, 0))
			p := &Snapshot{Preempt: true, Quota: ledger, Now: 100, Waiting: []Waiting{{Job: j, Indexes: indexes(4)}}}
			for _, m := range tt.machines {
				p.Put(m)
			}
			before := pictureOf(p, j)
			res := Make(p)
			if len(res.Preemptions) != tt.want || len(res.Launches) != 0 {
				t.Errorf("stops %v, launches %v, want %d stops", res.Preemptions, res.Launches, tt.want)
			}
			stopped := map[TaskID]bool{}
			for _, id := range res.Preemptions {
				if stopped[id] {
					t.Errorf("%v is stopped twice", id)
				}
				stopped[id] = true
			}
			if diff := gocmp.Diff(before, pictureOf(p, j)); diff != "" {
				t.Errorf("the plan left the picture changed: %s", diff)
			}
		})
	}
}

// While the stops are under way the room stays claimed: the next plan stops nothing
// more, and gives none of it to others.
func TestRoomForAWholeJobStaysClaimed(t *testing.T) {
	j := newJob("j-1", 4, 2, 2)
	j.Gang, j.Unfinished, j.Priority = true, 4, wire.PriorityLow
	other := newJob("j-2", 4, 2, 2)
	other.Team, other.Priority = "guest", wire.PriorityHigh
	ledger := quota.NewLedger(map[string]quota.Limits{"t": {Guarantee: quota.NewAmount(8, 0)}, "guest": {}})
	ledger.Adopt("guest", quota.NewAmount(12, 0))
	m := guestMachine("a", "x", 4, 2)
	m.StoppingCores, m.StoppingRAM = 4, 4
	p := &Snapshot{Preempt: true, Quota: ledger, Now: 100, Waiting: []Waiting{{Job: j, Indexes: indexes(4)}, {Job: other, Indexes: indexes(4)}}}
	p.Put(m)
	if res := Make(p); len(res.Preemptions) != 0 || len(res.Launches) != 0 {
		t.Errorf("stops %v, launches %v, want neither", res.Preemptions, res.Launches)
	}
	m.Cores, m.StoppingCores, m.StoppingRAM = 8, 0, 0
	p.Put(m)
	for _, l := range Make(p).Launches {
		if l.Task.Job != "j-1" {
			t.Errorf("launched %v, want the whole group", l)
		}
	}
}

// pictureOf prints what a plan may change and has to put back.
func pictureOf(p *Snapshot, j *Job) (out []string) {
	for _, m := range p.Machines {
		out = append(out, fmt.Sprint(m.Name, m.Cores, m.Accelerators, m.RAM, m.StoppingCores, m.StoppingAccelerators, m.StoppingRAM, m.ReservedFor, m.leaving))
		for _, v := range m.Victims {
			out = append(out, fmt.Sprint(v.Task, v.taken))
		}
	}
	return append(out, fmt.Sprint(j.Zones, j.Machines, j.InUnknownZone), fmt.Sprint(p.Quota.Usage("t"), p.Quota.Usage("guest")))
}
