package plan

import (
	"cedardoor/clock"
	"cedardoor/quota"
)

const (
	// maxWarmLoss is the most progress that a victim may lose so that an urgent task need
	// not fetch its image.
	maxWarmLoss = 6 * clock.Second
	// preemptionCost is the fixed cost of a preemption in addition to the lost progress.
	preemptionCost = clock.Second
)

// preemption is a machine with the victims to preempt there so that one more task fits.
type preemption struct {
	machine *Machine
	victims []int        // indexes into machine.Victims
	cost    clock.Micros // lost progress and preemptionCost per victim
}

// preemptFor finds a machine where one more task of a job fits after preempting less important
// work, and claims the capacity. The task is launched when the stops are confirmed. It reports
// whether there is such a machine.
//
// With warm set, it considers only machines that hold the image and, for a service, run no
// replica of it. Unless the job is a service, victims may then lose at most maxWarmLoss.
func (p *planner) preemptFor(job *Job, warm bool) bool {
	best, found := p.cheapestPreemption(job, p.sampled(p.index.machinesFor(job)), warm)
	if found {
		p.preempt(job, best)
	}
	return found
}

// preemptForAllTasks preempts in one of the zones for a job that must start whole and is within
// its team's guarantee: the tasks that do not fit into free capacity get theirs by preemption. If
// not all tasks would fit even then, it preempts nothing.
func (p *planner) preemptForAllTasks(w *Waiting, zones []string) {
	if !p.withinGuarantee || !p.Preempt || w.Job.OnTrial {
		return
	}
	for _, zone := range zones {
		if p.preemptInZone(w, zone) {
			return
		}
	}
}

// preemptInZone claims capacity for all waiting tasks in one zone, or in any zones if zone is
// empty, by preemption where needed. If they do not all fit, it changes nothing and returns false.
func (p *planner) preemptInZone(w *Waiting, zone string) bool {
	job := w.Job
	var machines []*Machine
	for _, machine := range p.index.machinesFor(job) {
		if zone == "" || machine.Zone == zone {
			machines = append(machines, machine)
		}
	}
	var undo []func()
	for range w.Indexes {
		if machine := p.target(job, zone, nil); machine != nil {
			p.allocate(job, machine)
			undo = append(undo, func() { p.release(job, machine) })
			continue
		}
		next, found := p.cheapestPreemption(job, p.sampled(machines), false)
		if !found {
			for i := len(undo) - 1; i >= 0; i-- {
				undo[i]()
			}
			return false
		}
		undo = append(undo, p.preempt(job, next))
	}
	return true
}

// cheapestPreemption finds the preemption of least cost that makes one more task of a job fit.
func (p *planner) cheapestPreemption(job *Job, machines []*Machine, warm bool) (best preemption, found bool) {
	for _, machine := range machines {
		p.result.Examined++
		if !p.allowed(job, machine) || warm && (!machine.holds(job.Image) || job.Service && job.Machines[machine.Name] > 0) {
			continue
		}
		if preemption, enough := p.selectVictims(job, machine, warm); enough && (!found || preemption.cost < best.cost) {
			best, found = preemption, true
		}
	}
	return best, found
}

// selectVictims selects the tasks to preempt on a machine so that one more task of a job fits. It
// returns false if preempting all that may be preempted is not enough.
func (p *planner) selectVictims(job *Job, machine *Machine, warm bool) (chosen preemption, enough bool) {
	chosen.machine = machine
	capacity := machine.Free.plus(machine.Stopping)
	var preempted map[string]quota.Amount // selected so far by team; only used with guarantees
	for i := range machine.Victims {
		if capacity.covers(&job.Resources) {
			break
		}
		victim := &machine.Victims[i]
		if victim.stopped || warm && !job.Service && p.lostProgress(victim) > maxWarmLoss || !p.mayPreempt(job, victim, preempted[victim.team()]) ||
			p.keepsTask(victim.Job, chosen) {
			continue
		}
		capacity.add(victim.Resources)
		if p.Quota.HasGuarantees() {
			if preempted == nil {
				preempted = map[string]quota.Amount{}
			}
			preempted[victim.team()] = preempted[victim.team()].Plus(victim.amount())
		}
		chosen.cost += p.lostProgress(victim) + preemptionCost
		chosen.victims = append(chosen.victims, i)
	}
	return chosen, capacity.covers(&job.Resources)
}

// keepsTask reports whether a job that was starved has no more than StarvedTasks tasks left besides
// those that are being stopped and the victims chosen so far.
func (p *planner) keepsTask(job *Job, chosen preemption) bool {
	if job == nil || !job.PreemptionExempt {
		return false
	}
	left := 0
	for _, i := range chosen.victims {
		if chosen.machine.Victims[i].Job == job {
			left--
		}
	}
	for name, tasks := range job.Machines {
		if machine := p.index.byName[name]; machine != nil {
			tasks = p.remaining(job, machine)
		}
		if left += tasks; left > StarvedTasks {
			return false
		}
	}
	return true
}

// lostProgress returns the progress that a task loses when it is preempted.
func (p *planner) lostProgress(victim *Victim) clock.Micros {
	if victim.RunningSince == 0 {
		return 0
	}
	return p.Now - victim.RunningSince
}

// preempt stops the victims and claims the capacity for one task of a job. It returns a function
// that reverts it.
func (p *planner) preempt(job *Job, chosen preemption) (undo func()) {
	machine := chosen.machine
	p.save(machine)
	free, stopping, preemptions := machine.Free, machine.Stopping, len(p.result.Preemptions)
	for _, i := range chosen.victims {
		victim := &machine.Victims[i]
		victim.stopped = true
		machine.Stopping.add(victim.Resources)
		p.result.Preemptions = append(p.result.Preemptions, victim.Task)
		if victim.Job != nil {
			p.countDeparture(victim.Job, machine, 1)
			p.draft.Stop(victim.Job.Team, victim.amount())
		}
	}
	machine.claim(&job.Resources)
	p.index.put(machine)
	p.draft.Add(job.Team, job.amount())
	p.adjustOccupancy(job, machine.Zone, "", 1)
	return func() {
		machine.Free, machine.Stopping = free, stopping
		for _, i := range chosen.victims {
			victim := &machine.Victims[i]
			victim.stopped = false
			if victim.Job != nil {
				p.countDeparture(victim.Job, machine, -1)
				p.draft.Resume(victim.Job.Team, victim.amount())
			}
		}
		p.result.Preemptions = p.result.Preemptions[:preemptions]
		p.index.put(machine)
		p.draft.Remove(job.Team, job.amount())
		p.adjustOccupancy(job, machine.Zone, "", -1)
	}
}

// mayPreempt reports whether a victim may be preempted for a task of a job, in addition
// to selected victims of the same team that use the given amount. Work within its team's
// guarantee is preempted for another team's task only if that task is within its team's
// guarantee, too, and has higher priority; otherwise the two would preempt each other in
// turn. With guarantees, a replica is preempted only for another team's guarantee, and
// without them never.
func (p *planner) mayPreempt(job *Job, victim *Victim, selected quota.Amount) bool {
	if !p.Quota.HasGuarantees() {
		return !victim.Replica && victim.Priority < job.Priority
	}
	otherTeam := victim.Job != nil && victim.Job.Team != job.Team
	beyond := p.beyondGuarantee(victim, selected)
	switch {
	case victim.Replica:
		return otherTeam && p.withinGuarantee && beyond
	case otherTeam && !p.withinGuarantee && !beyond && p.Quota.Limits(victim.Job.Team).HasGuarantee():
		return false
	}
	return victim.Priority < job.Priority || p.withinGuarantee && beyond
}

// beyondGuarantee reports whether a victim, together with selected victims of the same team
// that use the given amount, is beyond its team's guarantee. All tasks of a team without a
// guarantee are.
func (p *planner) beyondGuarantee(victim *Victim, selected quota.Amount) bool {
	return victim.Job != nil && p.draft.BeyondGuarantee(victim.Job.Team, selected.Plus(victim.amount()))
}

// claim allocates what one task needs from the capacity being freed first, so that free
// capacity that is too small for the task stays available to others.
func (m *Machine) claim(task *Resources) {
	claim(&m.Stopping.Cores, &m.Free.Cores, task.Cores)
	claim(&m.Stopping.Accelerators, &m.Free.Accelerators, task.Accelerators)
	claim(&m.Stopping.RAM, &m.Free.RAM, task.RAM)
}

// claim subtracts an amount from the capacity being freed, and the rest from the free capacity.
func claim(stopping, free *float64, amount float64) {
	taken := min(*stopping, amount)
	*stopping -= taken
	*free -= amount - taken
}
