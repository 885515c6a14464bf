// Package plan is the planner of cedardoor: it makes a plan from a snapshot of
// the cluster. It is pure and deterministic: no I/O, no locks, no clock, no
// globals. The hard rules are small types in rules.go; the placement heuristic
// only queries them.
//
// Repair follows the paper's heuristic: candidates are the tasks that break a
// rule or run on an offending machine, by decreasing memory. Each is checked on
// its current machine first and then placed by worst fit. Moves to machines that
// no task leaves are selected first, so that under the cap on moves the others
// wait for departures.
package plan

import (
	"math/rand/v2"
)

// Placement puts a task on a machine.
type Placement struct {
	Task    TaskID
	Machine string
}

// Move stops a task on one machine and starts it on another once it has stopped.
type Move struct {
	Task     TaskID
	From, To string
	Reason   string
}

// Eviction stops a task on a quarantined machine without a reservation elsewhere, because the team's
// limit does not allow the task on two machines at once. Once it has stopped, it waits like a task
// that was lost.
type Eviction struct {
	Task         TaskID
	From, Reason string
}

// Result is a plan and its statistics.
type Result struct {
	Launches    []Placement
	Moves       []Move
	Evictions   []Eviction
	Preemptions []TaskID
	// Deferred counts moves that a cap on the moves of a plan put off.
	Deferred int
	// Violations counts candidates for which no move was found, except those of ReasonDrain.
	Violations int
	Unplaced   map[string]int // number of waiting tasks that were not placed, by job
	// Reservations maps machines to the starved jobs that their capacity is reserved for.
	Reservations map[string]string
	// StarvationCredits is the value to set in the snapshot of the next plan.
	StarvationCredits int
	// Examined counts how often a machine was examined.
	Examined int
}

// planner holds the state of one call of Make.
type planner struct {
	*Snapshot
	rules            []Rule
	result           Result
	rng              *rand.Rand
	occupancyChanges []occupancyChange    // changes to jobs' occupancy, reverted by restore
	changedMachines  []*Machine           // machines to be restored
	reserved         map[*Job]bool        // jobs that this plan reserves capacity for
	departures       map[jobOnMachine]int // tasks that this plan preempts or moves to other machines
}

// Make makes a plan. It launches the tasks within their teams' guarantees first,
// then services, then finds the repair moves if the snapshot has candidates, and
// then launches the other tasks.
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

// allowed reports whether every rule allows one more task of a job on a machine.
func (p *planner) allowed(job *Job, machine *Machine) bool {
	for _, rule := range p.rules {
		if !rule.Allows(p.Snapshot, job, machine) {
			return false
		}
	}
	return true
}
