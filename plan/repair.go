package plan

import (
	"slices"
	"sort"
)

// spreadPart is the part of a round's moves that may go to spreading: one in so many.
const spreadPart = 5

// chosenMove is a move that has a target.
type chosenMove struct {
	candidate Candidate
	target    *Machine
}

// repair finds targets for the candidates.
func (p *planner) repair() {
	candidates := slices.Clone(p.Candidates)
	sort.SliceStable(candidates, func(i, k int) bool { return repairedBefore(&candidates[i], &candidates[k]) })
	var moves []chosenMove
	for _, candidate := range candidates {
		source := p.index.byName[candidate.Machine]
		if source == nil {
			continue
		}
		if target := p.relocate(candidate, source); target != nil {
			moves = append(moves, chosenMove{candidate, target})
		} else if candidate.Reason != ReasonDrain {
			p.result.Violations++
		}
	}
	p.selectMoves(moves)
}

// repairedBefore is the order of candidates: by decreasing memory.
func repairedBefore(a, b *Candidate) bool {
	if a.Job.RAM != b.Job.RAM {
		return a.Job.RAM > b.Job.RAM
	}
	if a.Job.UID != b.Job.UID {
		return a.Job.UID < b.Job.UID
	}
	return a.Index < b.Index
}

// relocate finds a target for a candidate and allocates what the task needs there; nil where
// there is none, or where the task is better off where it is.
func (p *planner) relocate(candidate Candidate, source *Machine) *Machine {
	job := candidate.Job
	// The rules count the task itself at its source; a move takes it away there.
	p.count(job, source.Zone, source.Name, -1)
	p.draft.Remove(job.Team, job.amount())
	target := p.moveTarget(candidate, source)
	if target != nil {
		p.allocate(job, target)
	}
	// Until the stop is confirmed the task is still where it was: it counts
	// against the zone cap and the limit in both places.
	p.count(job, source.Zone, source.Name, 1)
	p.draft.Add(job.Team, job.amount())
	if target != nil {
		p.save(source)
		source.leaving++
	}
	return target
}

// moveTarget is the machine for a candidate that no longer counts at its source; nil where it stays.
func (p *planner) moveTarget(candidate Candidate, source *Machine) *Machine {
	job := candidate.Job
	if p.mayStay(candidate, source) {
		return nil
	}
	zone := ""
	if job.SameZone && job.Tasks > 1 {
		zone = source.Zone
	}
	target := p.target(job, zone, source)
	switch {
	case target == nil:
		return nil
	case candidate.Reason == ReasonSpread && job.Machines[target.Name] > 0:
		return nil // it would share a machine there, too
	case candidate.Reason != ReasonQuarantine && job.Image != "" && !target.holds(job.Image):
		return nil // nothing is wrong with the source: no fetch is worth it
	}
	return target
}

// mayStay tells whether the current machine is viable after all: it breaks no
// rule once the others have been dealt with.
func (p *planner) mayStay(candidate Candidate, source *Machine) bool {
	if candidate.Reason == ReasonSpread {
		return source.QuarantineReason == "" && candidate.Job.Machines[source.Name] == 0
	}
	return source.QuarantineReason == "" && p.allowed(candidate.Job, source)
}

// selectMoves takes as many moves as a round may make, those into machines that nobody leaves first.
func (p *planner) selectMoves(moves []chosenMove) {
	sort.SliceStable(moves, func(i, k int) bool { return moves[i].target.leaving == 0 && moves[k].target.leaving > 0 })
	spreading := 0
	for _, move := range moves {
		candidate := &move.candidate
		if candidate.Reason == ReasonSpread {
			// Replicas that share a machine run all the same, and a move restarts them:
			// a few a round, so that spreading a young service costs its users little.
			if spreading++; p.MaxMoves > 0 && spreading > max(1, p.MaxMoves/spreadPart) {
				p.result.Deferred++
				continue
			}
		}
		if p.MaxMoves > 0 && len(p.result.Moves) >= p.MaxMoves {
			p.result.Deferred++
			continue
		}
		p.result.Moves = append(p.result.Moves, Move{Task: TaskID{candidate.Job.UID, candidate.Index}, From: candidate.Machine, To: move.target.Name, Reason: candidate.Reason})
	}
}
