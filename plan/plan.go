// Package plan is the planner at the heart of cedardoor: a snapshot of the
// cluster goes in, a plan comes out. It is pure and deterministic: no I/O, no
// locks, no clock, no globals. The rules are small values in rules.go; the
// heuristic only ever asks them.
//
// As in the paper's heuristic, candidates are the tasks on offending machines
// or in broken rules, by decreasing memory; each is tried on its current
// machine and then in worst-fit order. Moves into machines that nobody leaves
// come first, others wait until departures have freed the capacity.
package plan

import (
	"math/rand/v2"
)

// Placement puts a task on a machine.
type Placement struct {
	Task    TaskID
	Machine string
}

// Move stops a task where it is and starts it on another machine once it has gone.
type Move struct {
	Task     TaskID
	From, To string
	Reason   string
}

// Result is a plan.
type Result struct {
	Launches    []Placement
	Moves       []Move
	Preemptions []TaskID
	// Deferred counts moves that wait for departures, or that the cap put off.
	Deferred int
	// Violations counts candidates that found no target at all.
	Violations int
	Unplaced   map[string]int // waiting tasks without a machine, by job
	// Reservations keeps the capacity that comes free on a machine for a starved job, by machine.
	Reservations map[string]string
	// StarvationCredits is what the next plan's snapshot is to have.
	StarvationCredits int
	// Examined counts the machines looked at.
	Examined int
}

// planner is the state of one call of Make.
type planner struct {
	*Snapshot
	rules    []Rule
	result   Result
	rng      *rand.Rand
	counted  []occupancyChange // changes of jobs' occupancy, to be undone
	changed  []*Machine        // machines that the plan has changed
	reserved map[*Job]bool     // jobs for which this plan reserves a machine's capacity
}

// Make plans one round: first what teams are guaranteed, then the launches of
// services, then the repair moves, if the snapshot has candidates, then the other
// launches.
func Make(snapshot *Snapshot) Result {
	snapshot.ensureIndex()
	p := &planner{Snapshot: snapshot, rules: Rules(), rng: rand.New(rand.NewPCG(snapshot.Seed, 1))}
	p.draft = p.Quota.Draft()
	p.quotaBinding = p.draft.HasQuotas()
	p.result.Unplaced = map[string]int{}
	services, others := splitServices(p.launchGuaranteed())
	p.launch(services)
	p.repair()
	p.result.StarvationCredits = p.launch(others)
	p.restore()
	return p.result
}

// allowed tells whether every rule allows one more task of a job on a machine.
func (p *planner) allowed(job *Job, machine *Machine) bool {
	for _, rule := range p.rules {
		if !rule.Allows(p.Snapshot, job, machine) {
			return false
		}
	}
	return true
}
