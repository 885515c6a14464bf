package plan

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cedardoor/quota"
	"cedardoor/wire"

	gocmp "github.com/google/go-cmp/cmp"
)

// newMachine returns a machine with the given free cores and memory that may be given tasks. Other
// tasks use the rest of its capacity.
func newMachine(name, zone string, cores, ram float64) *Machine {
	return &Machine{Name: name, Type: "b", Zone: zone, Free: Resources{Cores: cores, RAM: ram}, Usable: true, Images: map[string]ImageState{},
		Capacity: Resources{Cores: cores + 64, RAM: ram + 256, Accelerators: 8}}
}

// newJob returns a preemptible batch job of team t whose tasks need the given cores and memory.
func newJob(uid string, tasks int, cores, ram float64) *Job {
	return &Job{UID: uid, Team: "t", Priority: wire.PriorityStandard,
		Requirements: Requirements{Tasks: tasks, Resources: Resources{Cores: cores, RAM: ram}, Preemptible: true},
		Occupancy:    Occupancy{Zones: map[string]int{}, Machines: map[string]int{}}}
}

// newJobOfTeam is like newJob for another team.
func newJobOfTeam(team, uid string, tasks int, cores, ram float64) *Job {
	job := newJob(uid, tasks, cores, ram)
	job.Team = team
	return job
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// waiting lists all tasks of the jobs as waiting.
func waiting(jobs ...*Job) (list []Waiting) {
	for _, job := range jobs {
		list = append(list, Waiting{Job: job, Indexes: indexes(job.Tasks)})
	}
	return list
}

// newSnapshot returns a snapshot in which all tasks of the jobs wait.
func newSnapshot(machines []*Machine, jobs ...*Job) *Snapshot {
	return &Snapshot{Machines: machines, Waiting: waiting(jobs...)}
}

// limitedLedger returns a ledger in which team t has the limits and uses the given amounts.
func limitedLedger(limits quota.Limits, cores, accelerators float64) *quota.Ledger {
	ledger := quota.NewLedger(map[string]quota.Limits{"t": limits})
	ledger.Adopt("t", quota.NewAmount(cores, accelerators))
	return ledger
}

// guaranteeLedger returns a ledger with guarantees and usage, in cores, of team t and team
// guest.
func guaranteeLedger(guarantee, used, guestGuarantee, guestUsed float64) *quota.Ledger {
	ledger := quota.NewLedger(map[string]quota.Limits{
		"t": {Guarantee: quota.NewAmount(guarantee, 0)}, "guest": {Guarantee: quota.NewAmount(guestGuarantee, 0)},
	})
	ledger.Adopt("t", quota.NewAmount(used, 0))
	ledger.Adopt("guest", quota.NewAmount(guestUsed, 0))
	return ledger
}

// planState formats everything that a plan may change and must restore.
func planState(s *Snapshot, jobs ...*Job) (state []string) {
	for _, machine := range s.Machines {
		available := len(s.index.available[machine.index.kind][memoryLevel(machine.Free.RAM)].machines[coreClass(machine.Free.Cores)])
		state = append(state, fmt.Sprint(machine.Name, machine.Capacity, machine.Free, machine.Stopping, machine.ReservedFor, machine.departures, available))
		for _, victim := range machine.Victims {
			state = append(state, fmt.Sprint(victim))
		}
	}
	for _, job := range jobs {
		state = append(state, fmt.Sprint(job.Zones, job.Machines, job.InUnknownZone))
	}
	return append(state, fmt.Sprint(s.Quota.Usage("t"), s.Quota.Usage("guest")))
}

// Make restores the snapshot, its jobs and the ledger.
func TestPlanRestoresSnapshot(t *testing.T) {
	quarantined, free := newMachine("a", "x", 4, 8), newMachine("b", "y", 8, 32)
	quarantined.QuarantineReason = "failing"
	free.Victims = []Victim{{Task: TaskID{"j-9", 0}, Priority: wire.PriorityLow, Resources: Resources{Cores: 2, RAM: 2}}}
	launched, moved := newJob("j-1", 3, 3, 4), newJob("j-2", 1, 1, 1)
	moved.Priority = wire.PriorityHigh
	moved.Count("x", "a", 1)
	s := newSnapshot([]*Machine{quarantined, free}, launched)
	s.Quota, s.Preempt, s.MaxMoves = limitedLedger(quota.Limits{Limit: quota.NewAmount(100, 0)}, 0, 0), true, 3
	s.Candidates = []Candidate{{Job: moved, Machine: "a", Reason: ReasonQuarantine}}
	s.ensureIndex()
	before := planState(s, launched, moved)
	if result := Make(s); len(result.Launches) == 0 || len(result.Moves) == 0 {
		t.Fatalf("want launches and moves, got %+v", result)
	}
	if diff := gocmp.Diff(before, planState(s, launched, moved)); diff != "" {
		t.Error(diff)
	}
}

// A job that finds no machine because it avoids those on which tasks have failed
// does not rule out other jobs there, as a job that lacks capacity would.
func TestAvoidanceDoesNotRuleOutOtherJobs(t *testing.T) {
	for name, avoid := range map[string]func(job *Job){
		"failed on the machine":           func(job *Job) { job.Avoid = map[string]bool{"a": true} },
		"on trial, machine with failures": func(job *Job) { job.OnTrial = true },
	} {
		machine := newMachine("a", "x", 8, 32)
		machine.HasFailures = true
		failing, good := newJob("j-1", 1, 3, 8), newJob("j-2", 2, 3, 8)
		failing.Priority, good.Priority = wire.PriorityHigh, wire.PriorityLow
		good.Started, good.Unfinished = true, 2
		avoid(failing)
		for _, sameZone := range []bool{false, true} {
			good.SameZone = sameZone
			s := newSnapshot([]*Machine{machine}, failing, good)
			s.AvoidFailures = true
			want := []Placement{{TaskID{"j-2", 0}, "a"}, {TaskID{"j-2", 1}, "a"}}
			if diff := gocmp.Diff(want, Make(s).Launches); diff != "" {
				t.Errorf("%s, in one zone %v: %s", name, sameZone, diff)
			}
		}
	}
}

// clusterModel is a random snapshot with the state that its plan must respect, tracked
// independently of the planner.
type clusterModel struct {
	snapshot    *Snapshot
	limit       float64               // limit of team t in cores; 0 for none
	free        map[string]*Resources // by machine
	zone        map[string]string     // by machine
	unavailable map[string]bool       // machines that may not be given tasks
	jobs        map[string]*Job
	inZone      map[string]map[string]int // tasks by job and zone
	used        map[string]float64        // cores by team
}

// newClusterModel generates a random cluster from a seed.
func newClusterModel(seed uint64) *clusterModel {
	r := rand.New(rand.NewPCG(seed, 7))
	limit := float64(r.IntN(60))
	ledger := quota.NewLedger(map[string]quota.Limits{"t": {Limit: quota.NewAmount(limit, 0)}, "u": {}})
	c := &clusterModel{
		snapshot: &Snapshot{Quota: ledger, MaxMoves: 4, SampleSize: 5, Seed: seed, Preempt: r.IntN(2) == 0},
		limit:    limit, free: map[string]*Resources{}, zone: map[string]string{}, unavailable: map[string]bool{},
		jobs: map[string]*Job{}, inZone: map[string]map[string]int{}, used: map[string]float64{},
	}
	for i := range 3 + r.IntN(8) {
		c.addMachine(r, fmt.Sprintf("m%d", i))
	}
	for i := range 2 + r.IntN(6) {
		c.addJob(r, fmt.Sprintf("j-%d", i))
	}
	return c
}

func (c *clusterModel) addMachine(r *rand.Rand, name string) {
	machine := newMachine(name, string(rune('x'+r.IntN(3))), float64(r.IntN(20)), float64(r.IntN(40)))
	machine.Preemptible, machine.Usable = r.IntN(3) == 0, r.IntN(6) > 0
	if r.IntN(6) == 0 {
		machine.QuarantineReason = "failing"
	}
	free := machine.Free
	c.free[name], c.zone[name] = &free, machine.Zone
	c.unavailable[name] = !machine.Usable || machine.QuarantineReason != ""
	c.snapshot.Machines = append(c.snapshot.Machines, machine)
}

func (c *clusterModel) addJob(r *rand.Rand, uid string) {
	s := c.snapshot
	job := newJob(uid, 1+r.IntN(6), float64(1+r.IntN(4)), float64(1+r.IntN(8)))
	job.Priority, job.Spread, job.SameZone, job.Preemptible = wire.Priority(r.IntN(4)), r.IntN(2) == 0, r.IntN(4) == 0, r.IntN(2) == 0
	job.Service = r.IntN(2) == 0
	if r.IntN(2) == 0 {
		job.Team = "u"
	}
	if job.SameZone {
		job.Spread = false
	}
	c.jobs[uid], c.inZone[uid] = job, map[string]int{}
	tasks := indexes(job.Tasks)
	if machine := s.Machines[r.IntN(len(s.Machines))]; !job.SameZone && r.IntN(2) == 0 {
		// Its first task is already placed, on a machine that it has to leave.
		job.Count(machine.Zone, machine.Name, 1)
		c.inZone[uid][machine.Zone]++
		c.used[job.Team] += job.Cores
		s.Quota.Adopt(job.Team, job.amount())
		s.Candidates = append(s.Candidates, Candidate{Job: job, Index: 0, Machine: machine.Name, Reason: ReasonQuarantine})
		tasks = tasks[1:]
	}
	if len(tasks) > 0 {
		s.Waiting = append(s.Waiting, Waiting{Job: job, Indexes: tasks})
	}
}

// remove takes a task off its machine.
func (c *clusterModel) remove(uid, machine string) {
	c.inZone[uid][c.zone[machine]]--
	c.used[c.jobs[uid].Team] -= c.jobs[uid].Cores
}

// add places a task on a machine and returns an error if that violates a rule.
func (c *clusterModel) add(uid, machine string) error {
	job, free := c.jobs[uid], c.free[machine]
	free.subtract(job.Resources)
	c.inZone[uid][c.zone[machine]]++
	c.used[job.Team] += job.Cores
	switch {
	case free.Cores < -1e-6 || free.RAM < -1e-6:
		return fmt.Errorf("machine %s is over capacity", machine)
	case c.unavailable[machine]:
		return fmt.Errorf("%s placed on machine %s, which may not be given tasks", uid, machine)
	case job.Spread && c.inZone[uid][c.zone[machine]] > (job.Tasks+1)/2:
		return fmt.Errorf("%s exceeds its zone cap", uid)
	}
	return nil
}

// overLimit reports whether team t uses more than its limit.
func (c *clusterModel) overLimit() bool { return c.limit > 0 && c.used["t"] > c.limit+1e-6 }

// zones returns the number of zones in which a job has tasks.
func (c *clusterModel) zones(uid string) (zones int) {
	for _, tasks := range c.inZone[uid] {
		if tasks > 0 {
			zones++
		}
	}
	return zones
}

// For random snapshots, no step of a plan violates capacity, zone cap, team limit or quarantine.
func TestPlanProperties(t *testing.T) {
	for seed := range uint64(300) {
		c := newClusterModel(seed)
		overBefore := c.used["t"] > c.limit
		result := Make(c.snapshot)
		if len(result.Moves) > c.snapshot.MaxMoves {
			t.Fatalf("seed %d: %d moves, more than the cap", seed, len(result.Moves))
		}
		added := result.Launches
		for _, move := range result.Moves {
			// The task has stopped at its source before it starts at its target.
			c.remove(move.Task.Job, move.From)
			added = append(added, Placement{Task: move.Task, Machine: move.To})
		}
		for _, placement := range added {
			uid := placement.Task.Job
			if err := c.add(uid, placement.Machine); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if c.jobs[uid].Team == "t" && !overBefore && c.overLimit() {
				t.Fatalf("seed %d: team t uses %v cores, limit %v", seed, c.used["t"], c.limit)
			}
		}
		for uid, job := range c.jobs {
			if zones := c.zones(uid); job.SameZone && zones > 1 {
				t.Fatalf("seed %d: tasks of %s are in %d zones, want one", seed, uid, zones)
			}
		}
	}
}
