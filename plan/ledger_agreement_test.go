package plan

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cedardoor/quota"
	"cedardoor/wire"
)

// limitModel generates random snapshots of teams near their limits: replicas and batch tasks that
// are to be moved for every reason, beside waiting tasks of the same teams.
type limitModel struct {
	random   *rand.Rand
	snapshot *Snapshot
	limits   map[string]quota.Limits
}

// newLimitModel generates a snapshot from a seed.
func newLimitModel(seed uint64) *limitModel {
	m := &limitModel{random: rand.New(rand.NewPCG(seed, 11)), limits: map[string]quota.Limits{}}
	for _, team := range []string{"t", "u"} {
		m.limits[team] = quota.Limits{Limit: quota.NewAmount(float64(4+m.random.IntN(40)), float64(m.random.IntN(8)))}
		if m.random.IntN(3) == 0 {
			m.limits[team] = quota.Limits{Limit: m.limits[team].Limit, Guarantee: quota.NewAmount(float64(m.random.IntN(8)), 0)}
		}
	}
	m.snapshot = &Snapshot{Quota: quota.NewLedger(m.limits), MaxMoves: 1 + m.random.IntN(12), SampleSize: 5, Seed: seed, Preempt: m.random.IntN(2) == 0}
	for i := range 4 + m.random.IntN(8) {
		m.addMachine(fmt.Sprintf("m%d", i))
	}
	for i := range 2 + m.random.IntN(6) {
		m.addJob(fmt.Sprintf("j-%d", i))
	}
	return m
}

func (m *limitModel) addMachine(name string) {
	machine := newMachine(name, string(rune('x'+m.random.IntN(3))), float64(m.random.IntN(20)), float64(4+m.random.IntN(40)))
	machine.Free.Accelerators = float64(m.random.IntN(3))
	switch m.random.IntN(4) {
	case 0:
		machine.QuarantineReason = "failing"
	case 1:
		machine.Cordoned = true
	}
	m.snapshot.Machines = append(m.snapshot.Machines, machine)
}

// addJob adds a job of which some tasks are placed, possibly on shared machines, and the others wait.
func (m *limitModel) addJob(uid string) {
	s := m.snapshot
	job := newJob(uid, 1+m.random.IntN(8), float64(1+m.random.IntN(3)), float64(1+m.random.IntN(4)))
	job.Priority, job.Service, job.Spread = wire.Priority(m.random.IntN(4)), m.random.IntN(2) == 0, m.random.IntN(4) == 0
	job.Accelerators = float64(m.random.IntN(4) / 3)
	if m.random.IntN(3) == 0 {
		job.Team = "u"
	}
	placed := m.random.IntN(job.Tasks + 1)
	for index := range placed {
		machine := s.Machines[m.random.IntN(len(s.Machines))]
		job.Count(machine.Zone, machine.Name, 1)
		s.Quota.Adopt(job.Team, job.amount())
		if reason := m.repairReason(job, machine); reason != "" {
			s.Candidates = append(s.Candidates, Candidate{Job: job, Index: index, Machine: machine.Name, Reason: reason})
		}
	}
	if placed < job.Tasks {
		s.Waiting = append(s.Waiting, Waiting{Job: job, Indexes: indexes(job.Tasks)[placed:]})
	}
}

// repairReason returns why a task on a machine is to be moved, if it is.
func (m *limitModel) repairReason(job *Job, machine *Machine) string {
	switch {
	case machine.QuarantineReason != "":
		return ReasonQuarantine
	case machine.Cordoned && job.Service:
		return ReasonDrain
	case job.Service && job.Machines[machine.Name] > 1:
		return ReasonSpread
	}
	return ""
}

// job returns the job of a waiting task or a candidate.
func (m *limitModel) job(uid string) *Job {
	for _, w := range m.snapshot.Waiting {
		if w.Job.UID == uid {
			return w.Job
		}
	}
	for _, candidate := range m.snapshot.Candidates {
		if candidate.Job.UID == uid {
			return candidate.Job
		}
	}
	return nil
}

// Guards against moves that the team's limit refuses in every round: a plan from an unchanged
// snapshot is never refused by the ledger, which counts a moving task on both machines.
func TestLedgerNeverRefusesPlan(t *testing.T) {
	moves, launches, evictions := 0, 0, 0
	for seed := range uint64(3000) {
		m := newLimitModel(seed)
		result := Make(m.snapshot)
		reserve := func(what string, id TaskID) {
			job := m.job(id.Job)
			if _, err := m.snapshot.Quota.Reserve(job.Team, job.amount()); err != nil {
				t.Fatalf("seed %d: %s of %v: %v", seed, what, id, err)
			}
		}
		for _, launch := range result.Launches {
			reserve("launch", launch.Task)
		}
		for _, move := range result.Moves {
			reserve("move", move.Task)
		}
		for _, eviction := range result.Evictions {
			if team := m.job(eviction.Task.Job).Team; !m.limits[team].HasLimit() || eviction.Reason != ReasonQuarantine {
				t.Fatalf("seed %d: %+v, want evictions only off quarantined machines and of teams with limits", seed, eviction)
			}
		}
		if got := len(result.Moves) + len(result.Evictions); got > m.snapshot.MaxMoves {
			t.Fatalf("seed %d: %d moves and evictions, want at most %d", seed, got, m.snapshot.MaxMoves)
		}
		moves += len(result.Moves)
		evictions += len(result.Evictions)
		launches += len(result.Launches)
	}
	if moves < 1000 || launches < 1000 || evictions < 100 {
		t.Errorf("only %d moves, %d launches and %d evictions were checked", moves, launches, evictions)
	}
}

// At its team's limit a task is evicted from a quarantined machine. From a healthy one it is not
// moved, and what the move would take is left to launches. Guards against moves that the ledger
// refuses.
func TestMovesAtTeamLimit(t *testing.T) {
	for _, tt := range []struct {
		reason     string
		limit      float64
		moves      int
		evictions  int
		violations int
	}{
		{ReasonQuarantine, 4, 1, 0, 0}, // the limit allows the task on both machines
		{ReasonQuarantine, 3, 0, 1, 0},
		{ReasonQuarantine, 1, 0, 0, 1}, // over its limit even without the task
		{ReasonDrain, 3, 0, 0, 0},
		{ReasonSpread, 3, 0, 0, 1},
	} {
		source := newMachine("a", "x", 0, 0)
		switch tt.reason {
		case ReasonQuarantine:
			source.QuarantineReason = "failing"
		case ReasonDrain:
			source.Cordoned = true
		}
		job, other := newJob("j-1", 2, 1, 2), newJob("j-2", 1, 8, 8)
		job.Service, other.Team = true, "u"
		job.Count("x", "a", 2)
		s := &Snapshot{Machines: []*Machine{source, newMachine("b", "x", 8, 32)}, MaxMoves: 1,
			Quota:      limitedLedger(quota.Limits{Limit: quota.NewAmount(tt.limit, 0)}, 3, 0),
			Waiting:    waiting(other),
			Candidates: []Candidate{{Job: job, Machine: "a", Reason: tt.reason}}}
		result := Make(s)
		if len(result.Moves) != tt.moves || len(result.Evictions) != tt.evictions || result.Violations != tt.violations {
			t.Errorf("%s, limit %v: %d moves, %d evictions, %d violations; want %d, %d, %d", tt.reason, tt.limit,
				len(result.Moves), len(result.Evictions), result.Violations, tt.moves, tt.evictions, tt.violations)
		}
		if want := 1 - tt.moves - tt.evictions; len(result.Launches) != want {
			t.Errorf("%s, limit %v: %d launches on the only other machine, want %d", tt.reason, tt.limit, len(result.Launches), want)
		}
	}
}

// Guards against launches that go without for nothing: a move that the cap defers leaves its target's
// capacity and its part of the limit to the launches of the plan.
func TestDeferredMoveLeavesItsTargetFree(t *testing.T) {
	source := newMachine("a", "x", 0, 0)
	source.QuarantineReason = "failing"
	job := newJob("j-1", 2, 4, 4)
	job.Service = true
	job.Count("x", "a", 2)
	s := &Snapshot{Machines: []*Machine{source, newMachine("b", "x", 4, 32), newMachine("c", "x", 4, 16)}, MaxMoves: 1,
		Quota:      limitedLedger(quota.Limits{Limit: quota.NewAmount(16, 0)}, 8, 0),
		Waiting:    waiting(newJob("j-2", 1, 4, 4)),
		Candidates: []Candidate{{Job: job, Index: 0, Machine: "a", Reason: ReasonQuarantine}, {Job: job, Index: 1, Machine: "a", Reason: ReasonQuarantine}}}
	if result := Make(s); len(result.Moves) != 1 || result.Deferred != 1 || len(result.Launches) != 1 {
		t.Errorf("%d moves, %d deferred, %d launches; want 1 of each", len(result.Moves), result.Deferred, len(result.Launches))
	}
}
