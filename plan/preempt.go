package plan

import (
	"cedardoor/clock"
	"cedardoor/quota"
)

const (
	// maxWarmLoss is how much progress of a task may be lost to spare an urgent task the
	// fetch of its image.
	maxWarmLoss = 6 * clock.Second
	// preemptionCost is what a preemption costs beside the progress that is lost.
	preemptionCost = clock.Second
)

// preemption is a machine with the tasks to preempt there so that one more fits.
type preemption struct {
	machine *Machine
	victims []int        // indexes in the machine's Victims
	cost    clock.Micros // progress that is lost
}

// preemptFor finds a machine where preempting less important work lets one task
// in, and claims what is freed. The task itself is launched when the stops are confirmed.
//
// With warm set, only machines that hold the image count, where no task of
// the job is yet, and only work that has barely begun, or any for a replica.
func (p *planner) preemptFor(job *Job, warm bool) bool {
	best, found := p.cheapestPreemption(job, p.sampled(p.index.usableBy(job)), warm)
	if found {
		p.preempt(job, best)
	}
	return found
}

// preemptForAll preempts in one of the zones for a job that starts only whole, where its
// team is owed all of it: what has no free capacity gets some by preemption. Where not all of its
// tasks would fit even so, nothing is preempted for it.
func (p *planner) preemptForAll(w *Waiting, zones []string) {
	if !p.withinGuarantee || !p.Preempt || w.Job.OnTrial {
		return
	}
	for _, zone := range zones {
		if p.preemptInZone(w, zone) {
			return
		}
	}
}

// preemptInZone does so in one zone, or in all of them where none is named.
func (p *planner) preemptInZone(w *Waiting, zone string) bool {
	job := w.Job
	var machines []*Machine
	for _, machine := range p.index.usableBy(job) {
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

// cheapestPreemption finds the machine where one more task of a job fits for the least lost progress.
func (p *planner) cheapestPreemption(job *Job, machines []*Machine, warm bool) (best preemption, found bool) {
	for _, machine := range machines {
		p.result.Examined++
		if !p.allowed(job, machine) || warm && (!machine.holds(job.Image) || job.Service && job.Machines[machine.Name] > 0) {
			continue
		}
		if preemption, enough := p.victims(job, machine, warm); enough && (!found || preemption.cost < best.cost) {
			best, found = preemption, true
		}
	}
	return best, found
}

// victims lists the tasks on a machine to preempt so that one more task of a job fits; false
// where too few may be preempted.
func (p *planner) victims(job *Job, machine *Machine, warm bool) (chosen preemption, enough bool) {
	chosen.machine = machine
	capacity := machine.Free.plus(machine.Stopping)
	var preempted map[string]quota.Amount // by team, where there are guarantees
	for i := range machine.Victims {
		if capacity.covers(&job.Resources) {
			break
		}
		victim := &machine.Victims[i]
		if victim.preempted || warm && !job.Service && p.lostProgress(victim) > maxWarmLoss || !p.mayPreempt(job, victim, preempted[victim.team()]) {
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

// lostProgress is the progress that a task loses when it is preempted.
func (p *planner) lostProgress(victim *Victim) clock.Micros {
	if victim.RunningSince == 0 {
		return 0
	}
	return p.Now - victim.RunningSince
}

// preempt stops the victims and claims what they free for one task of a job. It gives what takes
// that back.
func (p *planner) preempt(job *Job, chosen preemption) (undo func()) {
	machine := chosen.machine
	p.save(machine)
	free, stopping, preemptions := machine.Free, machine.Stopping, len(p.result.Preemptions)
	for _, i := range chosen.victims {
		victim := &machine.Victims[i]
		victim.preempted = true
		machine.Stopping.add(victim.Resources)
		p.result.Preemptions = append(p.result.Preemptions, victim.Task)
		if victim.Job != nil {
			p.draft.Stop(victim.Job.Team, victim.amount())
		}
	}
	machine.claim(&job.Resources)
	p.index.put(machine)
	p.draft.Add(job.Team, job.amount())
	p.count(job, machine.Zone, "", 1)
	return func() {
		machine.Free, machine.Stopping = free, stopping
		for _, i := range chosen.victims {
			victim := &machine.Victims[i]
			victim.preempted = false
			if victim.Job != nil {
				p.draft.Resume(victim.Job.Team, victim.amount())
			}
		}
		p.result.Preemptions = p.result.Preemptions[:preemptions]
		p.index.put(machine)
		p.draft.Remove(job.Team, job.amount())
		p.count(job, machine.Zone, "", -1)
	}
}

// mayPreempt tells whether a task may be preempted for one of a job, besides
// others of its team that take so much. Work within its team's guarantee makes way only
// for such work of higher priority, or either would take the other's place in turn. A
// replica makes way only for a guarantee.
func (p *planner) mayPreempt(job *Job, victim *Victim, besides quota.Amount) bool {
	if !p.Quota.HasGuarantees() {
		return !victim.Replica && victim.Priority < job.Priority
	}
	otherTeam := victim.Job != nil && victim.Job.Team != job.Team
	beyond := p.beyondGuarantee(victim, besides)
	switch {
	case victim.Replica:
		return otherTeam && p.withinGuarantee && beyond
	case otherTeam && !p.withinGuarantee && !beyond && p.Quota.Limits(victim.Job.Team).HasGuarantee():
		return false
	}
	return victim.Priority < job.Priority || p.withinGuarantee && beyond
}

// beyondGuarantee tells whether a task, with others of its team that take so much, runs
// beyond its team's guarantee: all that a team without one runs does.
func (p *planner) beyondGuarantee(victim *Victim, besides quota.Amount) bool {
	return victim.Job != nil && p.draft.BeyondGuarantee(victim.Job.Team, besides.Plus(victim.amount()))
}

// claim takes what one task needs: of what is being freed first, so that what is free
// but too little for the task stays usable for others.
func (m *Machine) claim(task *Resources) {
	claim(&m.Stopping.Cores, &m.Free.Cores, task.Cores)
	claim(&m.Stopping.Accelerators, &m.Free.Accelerators, task.Accelerators)
	claim(&m.Stopping.RAM, &m.Free.RAM, task.RAM)
}

// claim takes an amount off what is being freed first, and off what is free for the rest.
func claim(stopping, free *float64, amount float64) {
	taken := min(*stopping, amount)
	*stopping -= taken
	*free -= amount - taken
}
