package plan

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"cedardoor/clock"
	"cedardoor/quota"
	"cedardoor/wire"

	gocmp "github.com/google/go-cmp/cmp"
)

func machine(name, zone string, cores, ram float64) *Machine {
	return &Machine{Name: name, Type: "b", Zone: zone, Cores: cores, RAM: ram, Usable: true, Images: map[string]ImageState{}}
}

func newJob(uid string, pieces int, cores, ram float64) *Job {
	return &Job{UID: uid, Team: "t", Priority: wire.PriorityStandard, Tasks: pieces, Cores: cores, RAM: ram, Preemptible: true,
		Zones: map[string]int{}, Machines: map[string]int{}}
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func TestLaunchWorstFit(t *testing.T) {
	p := &Snapshot{Machines: []*Machine{machine("a", "x", 8, 10), machine("b", "x", 8, 30), machine("c", "x", 9, 30)},
		Waiting: []Waiting{{Job: newJob("j-1", 1, 1, 2), Indexes: indexes(1)}}}
	// Most free memory, the tie broken by free CPU.
	want := []Placement{{TaskID{"j-1", 0}, "c"}}
	if diff := gocmp.Diff(want, Make(p).Launches); diff != "" {
		t.Error(diff)
	}
}

func TestLaunchPrefersImage(t *testing.T) {
	a, b := machine("a", "x", 8, 10), machine("b", "x", 8, 30)
	a.Images["img"] = ImageHeld
	j := newJob("j-1", 1, 1, 2)
	j.Image = "img"
	got := Make(&Snapshot{Machines: []*Machine{a, b}, Waiting: []Waiting{{Job: j, Indexes: indexes(1)}}}).Launches
	if len(got) != 1 || got[0].Machine != "a" {
		t.Errorf("launched %v, want on a", got)
	}
}

// Where an urgent task has to fetch its image, the machine that fetches faster
// goes before the one with more memory.
func TestUrgentTasksFetchFast(t *testing.T) {
	a, b := machine("a", "x", 8, 10), machine("b", "x", 8, 30)
	a.FetchGBs, b.FetchGBs = 0.5, 0.3
	j := newJob("j-1", 1, 1, 2)
	j.Image = "img"
	place := func() string {
		got := Make(&Snapshot{Machines: []*Machine{a, b}, Waiting: []Waiting{{Job: j, Indexes: indexes(1)}}}).Launches
		if len(got) != 1 {
			t.Fatalf("launched %v", got)
		}
		return got[0].Machine
	}
	if m := place(); m != "b" {
		t.Errorf("ordinary work on %s, want worst fit", m)
	}
	j.Priority = wire.PriorityHigh
	if m := place(); m != "a" {
		t.Errorf("urgent work on %s, want the faster fetch", m)
	}
}

// Nobody makes way for an urgent task whose image is fetched in time anyway.
func TestNoPreemptionWhereTheFetchIsSoonEnough(t *testing.T) {
	for _, tt := range []struct {
		fetch float64
		want  int
	}{{0.5, 0}, {0.1, 1}} {
		cold, warm := machine("cold", "x", 8, 32), machine("warm", "x", 0, 0)
		cold.FetchGBs = tt.fetch
		warm.Images["img"] = ImageHeld
		warm.Victims = []Victim{{Task: TaskID{"j-9", 0}, Priority: wire.PriorityLow, Cores: 8, RAM: 16}}
		j := newJob("j-1", 1, 4, 8)
		j.Priority, j.Image, j.ImageGB, j.StartWithin = wire.PriorityHigh, "img", 1, 5*clock.Second
		res := Make(&Snapshot{Machines: []*Machine{cold, warm}, Preempt: true, Waiting: []Waiting{{Job: j, Indexes: indexes(1)}}})
		if len(res.Preemptions) != tt.want {
			t.Errorf("at %v GB a second: preempted %v, want %d", tt.fetch, res.Preemptions, tt.want)
		}
	}
}

func TestLaunchOrder(t *testing.T) {
	low, high, due := newJob("j-1", 1, 8, 1), newJob("j-2", 1, 8, 1), newJob("j-3", 1, 8, 1)
	low.Slack, high.Slack, due.Slack = 100, 100, 5
	high.Priority, due.Priority = wire.PriorityHigh, wire.PriorityHigh
	p := &Snapshot{Machines: []*Machine{machine("a", "x", 16, 30)}}
	for _, j := range []*Job{low, high, due} {
		p.Waiting = append(p.Waiting, Waiting{Job: j, Indexes: indexes(1)})
	}
	res := Make(p)
	want := []Placement{{TaskID{"j-3", 0}, "a"}, {TaskID{"j-2", 0}, "a"}}
	if diff := gocmp.Diff(want, res.Launches); diff != "" {
		t.Error(diff)
	}
	if res.Unplaced["j-1"] != 1 {
		t.Errorf("unplaced %v", res.Unplaced)
	}
}

// used is a ledger in which the team of newJob has the limits and uses so much.
func used(limits quota.Limits, cores, accelerators float64) *quota.Ledger {
	ledger := quota.NewLedger(map[string]quota.Limits{"t": limits})
	ledger.Adopt("t", quota.NewAmount(cores, accelerators))
	return ledger
}

func TestRules(t *testing.T) {
	tests := []struct {
		name string
		mod  func(j *Job, m *Machine, p *Snapshot)
		want bool
	}{
		{"plain", func(*Job, *Machine, *Snapshot) {}, true},
		{"banned", func(_ *Job, m *Machine, _ *Snapshot) { m.QuarantineReason = "sick" }, false},
		{"cordoned", func(_ *Job, m *Machine, _ *Snapshot) { m.Cordoned = true }, false},
		{"silent", func(_ *Job, m *Machine, _ *Snapshot) { m.Usable = false }, false},
		{"type", func(j *Job, _ *Machine, _ *Snapshot) { j.MachineTypes = []string{"z"} }, false},
		{"no type at all", func(j *Job, _ *Machine, _ *Snapshot) { j.MachineTypes = []string{} }, false},
		{"zone", func(j *Job, _ *Machine, _ *Snapshot) { j.Zone = "y" }, false},
		{"spot", func(j *Job, m *Machine, _ *Snapshot) { j.Preemptible, m.Preemptible = false, true }, false},
		{"zone cap reached", func(j *Job, _ *Machine, _ *Snapshot) { j.Spread, j.Tasks, j.Zones["x"] = true, 3, 2 }, false},
		{"zone cap not reached", func(j *Job, _ *Machine, _ *Snapshot) { j.Spread, j.Tasks, j.Zones["x"] = true, 4, 1 }, true},
		{"one zone, elsewhere", func(j *Job, _ *Machine, _ *Snapshot) { j.SameZone, j.Zones["y"] = true, 1 }, false},
		{"one zone, here", func(j *Job, _ *Machine, _ *Snapshot) { j.SameZone, j.Zones["x"] = true, 1 }, true},
		{"limit", func(_ *Job, _ *Machine, p *Snapshot) {
			p.Quota = used(quota.Limits{Limit: quota.NewAmount(3, 0)}, 2, 0)
		}, false},
		{"accelerator limit", func(j *Job, m *Machine, p *Snapshot) {
			j.Accelerators, m.Accelerators, p.Quota = 1, 4, used(quota.Limits{Limit: quota.NewAmount(0, 2)}, 0, 2)
		}, false},
		{"memory", func(j *Job, _ *Machine, _ *Snapshot) { j.RAM = 33 }, false},
	}
	for _, tt := range tests {
		j, m := newJob("j-1", 1, 2, 4), machine("a", "x", 8, 32)
		p := &Snapshot{Machines: []*Machine{m}, Quota: used(quota.Limits{}, 0, 0)}
		tt.mod(j, m, p)
		p.Waiting = []Waiting{{Job: j, Indexes: indexes(1)}}
		if got := len(Make(p).Launches) == 1; got != tt.want {
			t.Errorf("%s: placed %t, want %t", tt.name, got, tt.want)
		}
	}
}

func TestGangWholeOrNotAtAll(t *testing.T) {
	j := newJob("j-1", 3, 4, 4)
	j.SameZone = true
	p := &Snapshot{Machines: []*Machine{machine("a", "x", 8, 32), machine("b", "y", 8, 32)}, Waiting: []Waiting{{Job: j, Indexes: indexes(3)}}}
	if got := Make(p).Launches; len(got) != 0 {
		t.Fatalf("part of a gang launched: %v", got)
	}
	p.Put(machine("c", "y", 4, 32))
	got := Make(p).Launches
	if len(got) != 3 {
		t.Fatalf("launched %v", got)
	}
	for _, l := range got {
		if l.Machine == "a" {
			t.Errorf("gang over two zones: %v", got)
		}
	}
}

func TestGroupWholeOrNotAtAll(t *testing.T) {
	j := newJob("j-1", 3, 4, 4)
	j.Gang, j.Unfinished = true, 3
	p := &Snapshot{Machines: []*Machine{machine("a", "x", 8, 32)}, Waiting: []Waiting{{Job: j, Indexes: indexes(3)}}}
	if got := Make(p).Launches; len(got) != 0 {
		t.Fatalf("part of a group launched: %v", got)
	}
	if p.Machines[0].Cores != 8 || len(j.Zones) != 0 {
		t.Errorf("room of a group that was not placed is still booked: %+v", p.Machines[0])
	}
	p.Put(machine("b", "y", 4, 32))
	if got := Make(p).Launches; len(got) != 3 {
		t.Fatalf("launched %v, want all", got)
	}
	// While one task may still exist, the rest waits for it.
	j = newJob("j-2", 3, 1, 1)
	j.Gang, j.Unfinished, j.Zones["x"] = true, 3, 1
	p = &Snapshot{Machines: []*Machine{machine("a", "x", 8, 32)}, Waiting: []Waiting{{Job: j, Indexes: []int{0, 1}}}}
	if got := Make(p).Launches; len(got) != 0 {
		t.Fatalf("launched %v beside a task that may exist", got)
	}
}

func TestRepairMovesOnlyCandidates(t *testing.T) {
	a, b := machine("a", "x", 0, 0), machine("b", "x", 8, 32)
	a.QuarantineReason = "sick"
	small, big := newJob("j-1", 1, 1, 2), newJob("j-2", 1, 1, 8)
	for _, j := range []*Job{small, big} {
		j.Service, j.Zones["x"], j.Machines["a"] = true, 1, 1
	}
	res := Make(&Snapshot{Machines: []*Machine{a, b}, MaxMoves: 1, Candidates: []Candidate{
		{Job: small, Machine: "a", Reason: ReasonQuarantine}, {Job: big, Machine: "a", Reason: ReasonQuarantine}}})
	want := []Move{{Task: TaskID{"j-2", 0}, From: "a", To: "b", Reason: ReasonQuarantine}}
	if diff := gocmp.Diff(want, res.Moves); diff != "" {
		t.Error("largest memory first, within the cap: ", diff)
	}
	if res.Deferred != 1 {
		t.Errorf("deferred %d, want 1", res.Deferred)
	}
}

// A swap across a zone cap must not let the cap be passed while the source still runs.
func TestMoveKeepsZoneCapUntilStopped(t *testing.T) {
	a, b, c := machine("a", "x", 0, 0), machine("b", "x", 8, 32), machine("c", "y", 8, 32)
	a.QuarantineReason = "sick"
	j := newJob("j-1", 2, 1, 2)
	j.Service, j.Spread = true, true
	j.Zones["x"], j.Machines["a"] = 1, 1
	res := Make(&Snapshot{Machines: []*Machine{a, b, c}, MaxMoves: 5,
		Waiting:    []Waiting{{Job: j, Indexes: []int{1}}},
		Candidates: []Candidate{{Job: j, Index: 0, Machine: "a", Reason: ReasonQuarantine}}})
	if len(res.Launches) != 1 || res.Launches[0].Machine != "c" {
		t.Errorf("launched %v, want on c", res.Launches)
	}
	for _, m := range res.Moves {
		if m.To == "c" {
			t.Errorf("two in one zone: %v", res.Moves)
		}
	}
}

func TestPreemption(t *testing.T) {
	m := machine("a", "x", 0, 10)
	m.Victims = []Victim{{Task: TaskID{"j-1", 0}, Priority: wire.PriorityStandard, Cores: 8, RAM: 8, RunningSince: 97},
		{Task: TaskID{"j-1", 1}, Priority: wire.PriorityStandard, Cores: 8, RAM: 8, RunningSince: 91}}
	urgent, equal := newJob("j-2", 2, 4, 4), newJob("j-3", 1, 4, 4)
	urgent.Priority = wire.PriorityHigh
	res := Make(&Snapshot{Machines: []*Machine{m}, Preempt: true, Now: 100, Waiting: []Waiting{
		{Job: urgent, Indexes: indexes(2)}, {Job: equal, Indexes: indexes(1)}}})
	want := []TaskID{{"j-1", 0}}
	if diff := gocmp.Diff(want, res.Preemptions); diff != "" {
		t.Error("one victim makes room for both, an equal priority stops nothing: ", diff)
	}
	// Room already on its way is waited for, not made again.
	m = machine("a", "x", 0, 10)
	m.StoppingCores, m.StoppingRAM = 8, 8
	m.Victims = []Victim{{Task: TaskID{"j-1", 1}, Priority: wire.PriorityStandard, Cores: 8, RAM: 8}}
	res = Make(&Snapshot{Machines: []*Machine{m}, Preempt: true, Waiting: []Waiting{{Job: urgent, Indexes: indexes(2)}}})
	if len(res.Preemptions) != 0 {
		t.Errorf("preempted %v again", res.Preemptions)
	}
}

// What a team without a guarantee runs gives way to a team within its own,
// whatever the priorities; a team is not stopped below its guarantee.
func TestBorrowedRoomReturns(t *testing.T) {
	for _, tt := range []struct {
		name     string
		min, use float64
		entitled bool
		want     int
	}{
		{"a guest's", 0, 16, true, 2},
		{"for a team beyond its own guarantee", 0, 16, false, 0},
		{"of a team beyond its guarantee by one task", 8, 16, true, 1},
		{"of a team within its guarantee", 16, 16, true, 0},
	} {
		m := machine("a", "x", 0, 10)
		guest := newJob("j-1", 2, 8, 8)
		guest.Team, guest.Priority = "guest", wire.PriorityHigh
		for i := range 2 {
			m.Victims = append(m.Victims, Victim{Task: TaskID{"j-1", i}, Job: guest, Priority: guest.Priority, Cores: 8, RAM: 8, RunningSince: 50})
		}
		own := newJob("j-2", 2, 8, 8)
		own.Entitled = tt.entitled
		ledger := quota.NewLedger(map[string]quota.Limits{"guest": {Guarantee: quota.NewAmount(tt.min, 0)}, "t": {Guarantee: quota.NewAmount(16, 0)}})
		ledger.Adopt("guest", quota.NewAmount(tt.use, 0))
		if !tt.entitled {
			ledger.Adopt("t", quota.NewAmount(16, 0))
		}
		res := Make(&Snapshot{Machines: []*Machine{m}, Preempt: true, Now: 100, Waiting: []Waiting{{Job: own, Indexes: indexes(2)}}, Quota: ledger})
		if len(res.Preemptions) != tt.want {
			t.Errorf("%s: %d tasks stopped, want %d", tt.name, len(res.Preemptions), tt.want)
		}
	}
}

// What is within its team's guarantee is placed before work of any priority that is
// beyond another team's: that would else take the room which it has just been stopped for.
func TestGuaranteeGoesBeforePriority(t *testing.T) {
	own := newJob("j-1", 1, 8, 8)
	own.Entitled, own.Priority = true, wire.PriorityLow
	guest := newJob("j-2", 1, 8, 8)
	guest.Team, guest.Priority = "guest", wire.PriorityCritical
	service := newJob("j-3", 1, 8, 8)
	service.Team, service.Priority, service.Service = "guest", wire.PriorityCritical, true
	m := machine("a", "x", 8, 8)
	m.ReservedFor = "j-2" // not even room that is kept for the other
	ledger := quota.NewLedger(map[string]quota.Limits{"t": {Guarantee: quota.NewAmount(8, 0)}, "guest": {}})
	res := Make(&Snapshot{Machines: []*Machine{m}, Preempt: true, Quota: ledger, Waiting: []Waiting{
		{Job: guest, Indexes: indexes(1)}, {Job: service, Indexes: indexes(1)}, {Job: own, Indexes: indexes(1)}}})
	if diff := gocmp.Diff([]Placement{{TaskID{"j-1", 0}, "a"}}, res.Launches); diff != "" {
		t.Error(diff)
	}
	if len(res.Preemptions) > 0 {
		t.Errorf("stopped %v though there is room", res.Preemptions)
	}
}

// Who makes way: work within its team's guarantee only for such work of higher
// priority, a replica only for another team's guarantee.
func TestWhoMakesWay(t *testing.T) {
	for _, tt := range []struct {
		name     string
		entitled bool // the job that waits
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
		{"a replica for lower priority's sake", false, wire.PriorityCritical, Victim{Priority: wire.PriorityLow, Replica: true}, false, false},
		{"a replica beyond its guarantee", true, wire.PriorityLow, Victim{Priority: wire.PriorityCritical, Replica: true}, false, true},
		{"a replica within its guarantee", true, wire.PriorityCritical, Victim{Priority: wire.PriorityLow, Replica: true}, true, false},
	} {
		guest := newJob("j-1", 1, 8, 8)
		guest.Team = "guest"
		guarantee := 0.0
		if tt.within {
			guarantee = 8
		}
		tt.victim.Task, tt.victim.Job, tt.victim.Cores, tt.victim.RAM, tt.victim.RunningSince = TaskID{"j-1", 0}, guest, 8, 8, 50
		m := machine("a", "x", 0, 0)
		m.Victims = []Victim{tt.victim}
		own := newJob("j-2", 1, 8, 8)
		own.Entitled, own.Priority = tt.entitled, tt.priority
		ledger := quota.NewLedger(map[string]quota.Limits{"guest": {Guarantee: quota.NewAmount(guarantee, 0)}, "t": {Guarantee: quota.NewAmount(8, 0)}})
		ledger.Adopt("guest", quota.NewAmount(8, 0))
		if !tt.entitled {
			ledger.Adopt("t", quota.NewAmount(8, 0))
		}
		res := Make(&Snapshot{Machines: []*Machine{m}, Preempt: true, Now: 100, Waiting: []Waiting{{Job: own, Indexes: indexes(1)}}, Quota: ledger})
		if got := len(res.Preemptions) == 1; got != tt.want {
			t.Errorf("%s: stopped %t, want %t", tt.name, got, tt.want)
		}
	}
}

// Small tasks of a job go to a machine in blocks, so that few machines report
// often; large ones are spread as ever.
func TestManyAlikeShareMachines(t *testing.T) {
	on := func(cores float64, standing bool) int {
		var ms []*Machine
		for i := range 20 {
			ms = append(ms, machine(fmt.Sprintf("m-%02d", i), "x", 32, 128))
		}
		j := newJob("j-1", 128, cores, 1)
		j.Service = standing
		used := map[string]int{}
		for _, l := range Make(&Snapshot{Machines: ms, Waiting: []Waiting{{Job: j, Indexes: indexes(128)}}}).Launches {
			used[l.Machine]++
		}
		return len(used)
	}
	if small, large, replicas := on(0.25, false), on(4, false), on(0.25, true); small != 2 || large < 16 || replicas != 20 {
		t.Errorf("128 tasks are on %d machines, large ones on %d, replicas on %d", small, large, replicas)
	}
}

// Whatever the picture, no step of a plan breaks capacity, zone cap, limit or ban.
func TestPlanProperties(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 7))
		limit := float64(r.IntN(60))
		p := &Snapshot{Quota: quota.NewLedger(map[string]quota.Limits{"t": {Limit: quota.NewAmount(limit, 0)}, "u": {}}), MaxMoves: 4, SampleSize: 5, Seed: seed, Preempt: r.IntN(2) == 0}
		free := map[string][2]float64{}
		zone := map[string]string{}
		barred := map[string]bool{}
		for i := range 3 + r.IntN(8) {
			m := machine(fmt.Sprintf("m%d", i), string(rune('x'+r.IntN(3))), float64(r.IntN(20)), float64(r.IntN(40)))
			m.Preemptible, m.Usable = r.IntN(3) == 0, r.IntN(6) > 0
			if r.IntN(6) == 0 {
				m.QuarantineReason = "sick"
			}
			free[m.Name], zone[m.Name] = [2]float64{m.Cores, m.RAM}, m.Zone
			barred[m.Name] = !m.Usable || m.QuarantineReason != ""
			p.Machines = append(p.Machines, m)
		}
		jobs := map[string]*Job{}
		count := map[string]map[string]int{}
		used := map[string]float64{}
		for i := range 2 + r.IntN(6) {
			j := newJob(fmt.Sprintf("j-%d", i), 1+r.IntN(6), float64(1+r.IntN(4)), float64(1+r.IntN(8)))
			j.Priority, j.Spread, j.SameZone, j.Preemptible = wire.Priority(r.IntN(4)), r.IntN(2) == 0, r.IntN(4) == 0, r.IntN(2) == 0
			j.Service = r.IntN(2) == 0
			if r.IntN(2) == 0 {
				j.Team = "u"
			}
			if j.SameZone {
				j.Spread = false
			}
			jobs[j.UID], count[j.UID] = j, map[string]int{}
			from := 0
			if m := p.Machines[r.IntN(len(p.Machines))]; !j.SameZone && r.IntN(2) == 0 {
				// Its first task is placed already, on a machine that it must leave.
				j.Zones[m.Zone]++
				j.Machines[m.Name]++
				count[j.UID][m.Zone]++
				used[j.Team] += j.Cores
				p.Quota.Adopt(j.Team, j.amount())
				p.Candidates = append(p.Candidates, Candidate{Job: j, Index: 0, Machine: m.Name, Reason: ReasonQuarantine})
				from = 1
			}
			var idx []int
			for k := from; k < j.Tasks; k++ {
				idx = append(idx, k)
			}
			if len(idx) > 0 {
				p.Waiting = append(p.Waiting, Waiting{Job: j, Indexes: idx})
			}
		}
		over := used["t"] > limit
		res := Make(p)
		type add struct{ job, machine string }
		var adds []add
		for _, l := range res.Launches {
			adds = append(adds, add{l.Task.Job, l.Machine})
		}
		for _, mv := range res.Moves {
			adds = append(adds, add{mv.Task.Job, mv.To})
			// The source is gone before the target starts.
			count[mv.Task.Job][zone[mv.From]]--
			used[jobs[mv.Task.Job].Team] -= jobs[mv.Task.Job].Cores
		}
		if len(res.Moves) > p.MaxMoves {
			t.Fatalf("seed %d: %d moves", seed, len(res.Moves))
		}
		for _, a := range adds {
			j := jobs[a.job]
			f := free[a.machine]
			f[0] -= j.Cores
			f[1] -= j.RAM
			free[a.machine] = f
			count[a.job][zone[a.machine]]++
			used[j.Team] += j.Cores
			if f[0] < -1e-6 || f[1] < -1e-6 {
				t.Fatalf("seed %d: %s over capacity", seed, a.machine)
			}
			if barred[a.machine] {
				t.Fatalf("seed %d: %s placed on barred %s", seed, a.job, a.machine)
			}
			if j.Spread && count[a.job][zone[a.machine]] > (j.Tasks+1)/2 {
				t.Fatalf("seed %d: %s beyond its zone cap", seed, a.job)
			}
			if j.Team == "t" && limit > 0 && !over && used[j.Team] > limit+1e-6 {
				t.Fatalf("seed %d: team %s uses %v of %v", seed, j.Team, used[j.Team], limit)
			}
		}
		for uid, z := range count {
			n := 0
			for _, k := range z {
				if k > 0 {
					n++
				}
			}
			if jobs[uid].SameZone && n > 1 {
				t.Fatalf("seed %d: %s in %d zones", seed, uid, n)
			}
		}
	}
}

// A sample without a fit is no answer: the only machine with room is found
// among hundreds.
func TestSampleIsNoAnswer(t *testing.T) {
	p := &Snapshot{SampleSize: 8}
	for i := range 600 {
		m := machine(fmt.Sprintf("m%03d", i), "x", 1, 100)
		if i == 437 {
			m.Cores = 4
		}
		p.Put(m)
	}
	for seed := range uint64(20) {
		p.Seed = seed
		p.Waiting = []Waiting{{Job: newJob("j-1", 1, 4, 4), Indexes: indexes(1)}}
		if got := Make(p).Launches; len(got) != 1 || got[0].Machine != "m437" {
			t.Fatalf("seed %d: launched %v, want on the one machine with room", seed, got)
		}
	}
}

// A sample keeps the paper's order: of what it holds, most free memory first.
func TestSampleKeepsWorstFit(t *testing.T) {
	p := &Snapshot{SampleSize: 16}
	for i := range 400 {
		p.Put(machine(fmt.Sprintf("m%03d", i), "x", 8, float64(10+i%40)))
	}
	p.Waiting = []Waiting{{Job: newJob("j-1", 5, 1, 1), Indexes: indexes(5)}}
	for _, l := range Make(p).Launches {
		if m := p.Machine(l.Machine); m.RAM < 45 {
			t.Errorf("placed on %s with %v GB free of at most 49", m.Name, m.RAM)
		}
	}
}

// What a plan costs follows what there is to place, not how many machines there are.
func TestWorkOfPlans(t *testing.T) {
	visits := func(machines int) int {
		p := &Snapshot{SampleSize: 16, Preempt: true}
		for i := range machines {
			m := machine(fmt.Sprintf("m%04d", i), string(rune('x'+i%3)), 8, 32)
			m.Images["img"] = ImageHeld
			p.Put(m)
		}
		j := newJob("j-1", 20, 2, 4)
		j.Image = "img"
		p.Waiting = []Waiting{{Job: j, Indexes: indexes(20)}}
		res := Make(p)
		if len(res.Launches) != 20 {
			t.Fatalf("launched %d of 20", len(res.Launches))
		}
		return res.Examined
	}
	if few, many := visits(100), visits(3000); many > 2*few {
		t.Errorf("%d machines looked at among 100, %d among 3000", few, many)
	}
}

// Machines without the processors that a task asks for are not looked at, however
// much memory they have: a plan that finds no room costs the same at any size.
func TestWorkOfPlansThatFindNoRoom(t *testing.T) {
	for _, machines := range []int{100, 3000} {
		p := &Snapshot{SampleSize: 16}
		for i := range machines {
			p.Put(machine(fmt.Sprintf("m%04d", i), "x", float64(i%4), float64(8+i%64)))
		}
		for k := range 30 {
			p.Waiting = append(p.Waiting, Waiting{Job: newJob(fmt.Sprintf("j-%d", k), 8, 8-float64(k%4), 4), Indexes: indexes(8)})
		}
		if res := Make(p); len(res.Launches) != 0 || res.Examined != 0 {
			t.Errorf("%d machines: launched %d, looked at %d, want none", machines, len(res.Launches), res.Examined)
		}
		// What comes free is seen.
		p.Machines = nil
		m := p.Machine("m0000")
		m.Cores = 8
		p.Put(m)
		if res := Make(p); len(res.Launches) != 1 || res.Launches[0].Machine != m.Name {
			t.Errorf("%d machines: launched %v, want one task on %s", machines, res.Launches, m.Name)
		}
	}
}

// A job that has waited long goes before higher priorities with its first task only,
// though plan after plan is made before that one is seen to begin.
func TestOnlyTheFirstTaskOfAnAgedJobGoesFirst(t *testing.T) {
	p := &Snapshot{StarvedTurns: MaxStarvedTurns}
	old, urgent := newJob("j-1", 10, 1, 1), newJob("j-2", 10, 1, 1)
	old.Priority, old.Starved, urgent.Priority = wire.PriorityLow, true, wire.PriorityHigh
	placed := map[string]int{}
	for n := range 10 { // one machine comes free after the other
		p.Put(machine(fmt.Sprintf("m%d", n), "x", 1, 1))
		p.Waiting = []Waiting{{Job: old, Indexes: indexes(10)[placed["j-1"]:]}, {Job: urgent, Indexes: indexes(10)[placed["j-2"]:]}}
		res := Make(p)
		if len(res.Reservations) > 0 {
			t.Fatalf("plan %d keeps room: %v", n, res.Reservations)
		}
		for _, l := range res.Launches {
			placed[l.Task.Job]++
			m := p.Machine(l.Machine)
			m.Cores, m.RAM = 0, 0
			p.Put(m)
			map[string]*Job{"j-1": old, "j-2": urgent}[l.Task.Job].Count("x", l.Machine, 1)
		}
	}
	if placed["j-1"] != 1 || placed["j-2"] != 9 {
		t.Errorf("placed %v, want one of the job that has waited long", placed)
	}
}

// Jobs of one task each that have all waited long are more than the room that comes
// free. Urgent work that waits beside them gets every other place, and they the
// rest, though other urgent work finds no room at all; a large one
// among them gets the room that is kept for it.
func TestAgedJobsTakeTurnsWithUrgentWork(t *testing.T) {
	p := &Snapshot{StarvedTurns: MaxStarvedTurns}
	waiting := map[string]Waiting{}
	for n := range 60 {
		j := newJob(fmt.Sprintf("j-%d", n), 1, 1, 1)
		j.Priority, j.Starved, j.Order = wire.PriorityLow, true, int64(n)
		waiting[j.UID] = Waiting{Job: j, Indexes: indexes(1)}
	}
	waiting["j-9"].Job.Cores = 3 // more than a machine has at first
	urgent := newJob("j-100", 40, 1, 1)
	urgent.Priority = wire.PriorityHigh
	large := newJob("j-101", 1, 64, 1) // there is no room for it anywhere
	large.Priority = wire.PriorityCritical
	held := ""
	placed := map[string]int{}
	for n := range 40 {
		p.Put(machine(fmt.Sprintf("m%d", n), "x", 1, 1))
		if m := p.Machine(held); m != nil {
			m.Cores, m.RAM = m.Cores+1, 1
			p.Put(m)
		}
		waiting[urgent.UID] = Waiting{Job: urgent, Indexes: indexes(40)[placed["urgent"]:]}
		waiting[large.UID] = Waiting{Job: large, Indexes: indexes(1)}
		p.Waiting = slices.SortedFunc(maps.Values(waiting), func(a, b Waiting) int { return cmp.Compare(a.Job.UID, b.Job.UID) })
		res := Make(p)
		p.StarvedTurns, held = res.StarvedTurns, ""
		for m, uid := range res.Reservations {
			held = m
			waiting[uid].Job.ReservedMachine = m
			p.Machine(m).ReservedFor = uid
		}
		for _, l := range res.Launches {
			m := p.Machine(l.Machine)
			m.Cores, m.RAM = 0, 0
			p.Put(m)
			switch l.Task.Job {
			case urgent.UID:
				placed["urgent"]++
				urgent.Count("x", l.Machine, 1)
			case "j-9":
				placed["j-9"]++
				fallthrough
			default:
				placed["aged"]++
				delete(waiting, l.Task.Job)
			}
		}
	}
	if placed["urgent"] < 12 || placed["aged"] < 12 || placed["j-9"] != 1 {
		t.Errorf("placed %v, want about as many of either, and j-9", placed)
	}
}

// A plan leaves the picture as it found it.
func TestPlanRestoresThePicture(t *testing.T) {
	p := &Snapshot{Quota: used(quota.Limits{Limit: quota.NewAmount(100, 0)}, 0, 0), Preempt: true, MaxMoves: 3}
	a, b := machine("a", "x", 4, 8), machine("b", "y", 8, 32)
	a.QuarantineReason = "sick"
	b.Victims = []Victim{{Task: TaskID{"j-9", 0}, Priority: wire.PriorityLow, Cores: 2, RAM: 2}}
	p.Put(a)
	p.Put(b)
	j, k := newJob("j-1", 3, 3, 4), newJob("j-2", 1, 1, 1)
	k.Priority = wire.PriorityHigh
	k.Zones["x"], k.Machines["a"] = 1, 1
	snap := func() string {
		return fmt.Sprint(a.Cores, a.RAM, b.Cores, b.RAM, b.StoppingCores, b.Victims, p.Quota.Usage("t"), j.Zones, j.Machines, k.Zones, k.Machines, len(p.index.open[ordinary][level(b.RAM)].width[width(b.Cores)]))
	}
	before := snap()
	p.Waiting = []Waiting{{Job: j, Indexes: indexes(3)}}
	p.Candidates = []Candidate{{Job: k, Machine: "a", Reason: ReasonQuarantine}}
	if res := Make(p); len(res.Launches) == 0 || len(res.Moves) == 0 {
		t.Fatalf("nothing planned: %+v", res)
	}
	if after := snap(); after != before {
		t.Errorf("before %s\nafter  %s", before, after)
	}
}

// Replicas that share a machine are spread a few a round: each move restarts one.
func TestSpreadingGoesSlowly(t *testing.T) {
	p := &Snapshot{MaxMoves: 10}
	p.Put(machine("a", "x", 0, 0))
	j := newJob("j-1", 12, 1, 1)
	j.Service = true
	j.Count("x", "a", 12)
	for i := range 12 {
		p.Put(machine(fmt.Sprintf("m%02d", i), "y", 8, 32))
		p.Candidates = append(p.Candidates, Candidate{Job: j, Index: i, Machine: "a", Reason: ReasonSpread})
	}
	if res := Make(p); len(res.Moves) != p.MaxMoves/spreadPart {
		t.Errorf("%d moves, want %d", len(res.Moves), p.MaxMoves/spreadPart)
	}
}

// A job that finds no machine because it keeps away from those on which its tasks
// have failed says nothing of the room that others find there.
func TestShunnedMachinesAreNoLackOfRoom(t *testing.T) {
	for name, mod := range map[string]func(j *Job){
		"failed there":                      func(j *Job) { j.Avoid = map[string]bool{"a": true} },
		"on trial, and all has failed here": func(j *Job) { j.OnTrial = true },
	} {
		a := machine("a", "x", 8, 32)
		a.HasFailures = true
		bad, good := newJob("j-1", 1, 3, 8), newJob("j-2", 2, 3, 8)
		bad.Priority, good.Priority = wire.PriorityHigh, wire.PriorityLow
		good.Started, good.Unfinished = true, 2
		mod(bad)
		for _, same := range []bool{false, true} {
			good.SameZone = same
			res := Make(&Snapshot{Machines: []*Machine{a}, AvoidFailures: true,
				Waiting: []Waiting{{Job: bad, Indexes: indexes(1)}, {Job: good, Indexes: indexes(2)}}})
			want := []Placement{{TaskID{"j-2", 0}, "a"}, {TaskID{"j-2", 1}, "a"}}
			if diff := gocmp.Diff(want, res.Launches); diff != "" {
				t.Errorf("%s, in one zone %v: %s", name, same, diff)
			}
		}
	}
}
