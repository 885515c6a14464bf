package plan

import (
	"slices"
	"sort"
)

// spreadMoveDivisor limits moves of ReasonSpread to MaxMoves/spreadMoveDivisor per plan, but at least one.
const spreadMoveDivisor = 5

// jobOnMachine identifies the tasks of a job on a machine.
type jobOnMachine struct {
	job     *Job
	machine *Machine
}

// feasibleMove is a candidate with a target.
type feasibleMove struct {
	candidate Candidate
	target    *Machine
	evict     bool // the team's limit allows the task only on one of the machines
}

// repair finds targets for the candidates and selects the moves to make.
func (p *planner) repair() {
	candidates := slices.Clone(p.Candidates)
	sort.SliceStable(candidates, func(i, k int) bool { return repairedBefore(&candidates[i], &candidates[k]) })
	var moves []feasibleMove
	for _, candidate := range candidates {
		source := p.index.byName[candidate.Machine]
		if source == nil || source.stops(candidate.task()) || p.mayStay(candidate, source) {
			continue
		}
		if move, found := p.relocate(candidate, source); found {
			moves = append(moves, move)
		} else if candidate.Reason != ReasonDrain {
			p.result.Violations++
		}
	}
	p.selectMoves(moves)
}

// repairedBefore reports whether a is repaired before b: by decreasing memory.
func repairedBefore(a, b *Candidate) bool {
	if a.Job.RAM != b.Job.RAM {
		return a.Job.RAM > b.Job.RAM
	}
	if a.Job.UID != b.Job.UID {
		return a.Job.UID < b.Job.UID
	}
	return a.Index < b.Index
}

// relocate finds a target for a candidate and allocates the task's resources there. It returns
// found=false if there is none.
//
// Until the stop is confirmed the task may still run at its source, so it counts against the team's
// limit in both places, as it does in the ledger. If only that leaves no target for a task on a
// quarantined machine, the task is evicted.
func (p *planner) relocate(candidate Candidate, source *Machine) (move feasibleMove, found bool) {
	job := candidate.Job
	move.candidate = candidate
	// The rules would count the task at its source, which it leaves.
	p.adjustOccupancy(job, source.Zone, source.Name, -1)
	if move.target = p.moveTarget(candidate, source); move.target != nil {
		p.allocate(job, move.target)
	} else if candidate.Reason == ReasonQuarantine && p.limitReached(job) {
		move.evict = true
		p.draft.Remove(job.Team, job.amount())
		if move.target = p.moveTarget(candidate, source); move.target != nil {
			p.occupy(job, move.target)
		}
		p.draft.Add(job.Team, job.amount())
	}
	// The task still counts against the zone cap at its source, too.
	p.adjustOccupancy(job, source.Zone, source.Name, 1)
	if move.target == nil {
		return move, false
	}
	p.save(source)
	source.departures++
	p.countDeparture(job, source, 1)
	return move, true
}

// limitReached reports whether the team's limit allows no more task of a job.
func (p *planner) limitReached(job *Job) bool {
	return p.quotaBinding && !p.draft.Fits(job.Team, job.amount())
}

// moveTarget returns the machine to move a candidate to, or nil if there is none. The caller has
// removed the candidate from the counts at its source.
func (p *planner) moveTarget(candidate Candidate, source *Machine) *Machine {
	job := candidate.Job
	zone := ""
	if job.SameZone && job.Tasks > 1 {
		zone = source.Zone
	}
	target := p.target(job, zone, source)
	switch {
	case target == nil:
		return nil
	case candidate.Reason == ReasonSpread && job.Machines[target.Name] > 0:
		return nil // it would share a machine with another replica there, too
	case candidate.Reason != ReasonQuarantine && job.Image != "" && !target.holds(job.Image):
		return nil // the source is healthy, so a move is not worth a fetch
	}
	return target
}

// mayStay reports whether a candidate may stay on its machine after all because the
// moves of the candidates before it have resolved the violation.
func (p *planner) mayStay(candidate Candidate, source *Machine) bool {
	job := candidate.Job
	switch {
	case source.QuarantineReason != "":
		return false
	case candidate.Reason == ReasonSpread:
		return p.remaining(job, source) <= 1
	}
	// The rules ask for one more task, and this one is already there.
	p.adjustOccupancy(job, source.Zone, source.Name, -1)
	p.draft.Remove(job.Team, job.amount())
	allowed := p.allowed(job, source)
	p.draft.Add(job.Team, job.amount())
	p.adjustOccupancy(job, source.Zone, source.Name, 1)
	return allowed
}

// remaining returns how many tasks of a job will remain on a machine once the plan's moves are
// made. Unlike the job's occupancy, which the rules go by, it leaves out tasks that may still
// exist there but are being stopped or are to be moved.
func (p *planner) remaining(job *Job, machine *Machine) int {
	return machine.Remaining(job) - p.departures[jobOnMachine{job, machine}]
}

// countDeparture adds to the tasks of a job that the plan takes off a machine.
func (p *planner) countDeparture(job *Job, machine *Machine, tasks int) {
	if p.departures == nil {
		p.departures = map[jobOnMachine]int{}
	}
	p.departures[jobOnMachine{job, machine}] += tasks
}

// selectMoves selects as many moves as a plan may make, those to machines that no task leaves first.
func (p *planner) selectMoves(moves []feasibleMove) {
	sort.SliceStable(moves, func(i, k int) bool { return moves[i].target.departures == 0 && moves[k].target.departures > 0 })
	spreading := 0
	for _, move := range moves {
		candidate := &move.candidate
		if candidate.Reason == ReasonSpread {
			// Replicas that share a machine do run, and a move restarts one of them:
			// move only a few per plan, so that spreading a new service costs its users little.
			if spreading++; p.MaxMoves > 0 && spreading > max(1, p.MaxMoves/spreadMoveDivisor) {
				p.deferMove(move)
				continue
			}
		}
		if p.MaxMoves > 0 && len(p.result.Moves)+len(p.result.Evictions) >= p.MaxMoves {
			p.deferMove(move)
			continue
		}
		id := candidate.task()
		if victim := p.index.byName[candidate.Machine].victim(id); victim != nil {
			victim.stopped = true
		}
		if move.evict {
			p.result.Evictions = append(p.result.Evictions, Eviction{Task: id, From: candidate.Machine, Reason: candidate.Reason})
			continue
		}
		p.result.Moves = append(p.result.Moves, Move{Task: id, From: candidate.Machine, To: move.target.Name, Reason: candidate.Reason})
	}
}

// deferMove leaves a move to a later plan. What it would take is free for the launches of this plan.
func (p *planner) deferMove(move feasibleMove) {
	p.result.Deferred++
	if move.evict {
		p.vacate(move.candidate.Job, move.target)
	} else {
		p.release(move.candidate.Job, move.target)
	}
}
