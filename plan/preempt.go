package plan

import (
	"cedardoor/clock"
	"cedardoor/quota"
)

// barelyBegun is how much progress may be lost to spare an urgent task the
// fetch of its image.
const barelyBegun = 6 * clock.Second

// preemption is a machine with the tasks to stop there so that one more fits.
type preemption struct {
	machine *Machine
	victims []int        // indexes in the machine's Lower
	cost    clock.Micros // progress that is lost
}

// makeRoom finds a machine where stopping less important work lets one task
// in, and claims the room. The task itself is launched when the stops are confirmed.
//
// With warm set, only machines that hold the image count, where no task of
// the job is yet, and only work that has barely begun, or any for a replica.
func (pl *planner) makeRoom(j *Job, warm bool) bool {
	best, found := pl.cheapest(j, pl.sampled(pl.index.kinds(j)), warm)
	if found {
		pl.preempt(j, best)
	}
	return found
}

// makeRoomForAll makes room in one of the zones for a job that starts only whole, where its
// team is owed all of it: what has no free room gets some by stops. Where not all of its
// tasks would fit even so, nothing is stopped for it.
func (pl *planner) makeRoomForAll(w *Waiting, zones []string) {
	if !pl.withinGuarantee || !pl.Preempt || w.Job.OnTrial {
		return
	}
	for _, zone := range zones {
		if pl.makeRoomIn(w, zone) {
			return
		}
	}
}

// makeRoomIn does so in one zone, or in all of them where none is named.
func (pl *planner) makeRoomIn(w *Waiting, zone string) bool {
	j := w.Job
	var machines []*Machine
	for _, m := range pl.index.kinds(j) {
		if zone == "" || m.Zone == zone {
			machines = append(machines, m)
		}
	}
	var undo []func()
	for range w.Indexes {
		if m := pl.target(j, zone, nil); m != nil {
			pl.book(j, m)
			undo = append(undo, func() { pl.unbook(j, m) })
			continue
		}
		next, found := pl.cheapest(j, pl.sampled(machines), false)
		if !found {
			for i := len(undo) - 1; i >= 0; i-- {
				undo[i]()
			}
			return false
		}
		undo = append(undo, pl.preempt(j, next))
	}
	return true
}

// cheapest finds the machine where one more task of j fits for the least lost progress.
func (pl *planner) cheapest(j *Job, machines []*Machine, warm bool) (best preemption, found bool) {
	for _, m := range machines {
		pl.out.Examined++
		if !pl.allowed(j, m) || warm && (m.Images[j.Image] != ImageHeld || j.Service && j.Machines[m.Name] > 0) {
			continue
		}
		if p, enough := pl.victims(j, m, warm); enough && (!found || p.cost < best.cost) {
			best, found = p, true
		}
	}
	return best, found
}

// victims lists the tasks on a machine to stop so that one more task of j fits; false
// where too few may be stopped.
func (pl *planner) victims(j *Job, m *Machine, warm bool) (p preemption, fits bool) {
	p.machine = m
	cores, accel, ram := m.Cores+m.StoppingCores, m.Accelerators+m.StoppingAccelerators, m.RAM+m.StoppingRAM
	var stopped map[string]quota.Amount // by team, where there are guarantees
	for i := range m.Victims {
		if enough(j, cores, accel, ram) {
			break
		}
		v := &m.Victims[i]
		if v.taken || warm && !j.Service && pl.lost(v) > barelyBegun || !pl.mayStop(j, v, stopped[v.team()]) {
			continue
		}
		cores, accel, ram = cores+v.Cores, accel+v.Accelerators, ram+v.RAM
		if pl.Quota.HasGuarantees() {
			if stopped == nil {
				stopped = map[string]quota.Amount{}
			}
			stopped[v.team()] = stopped[v.team()].Plus(v.amount())
		}
		p.cost += pl.lost(v) + clock.Second
		p.victims = append(p.victims, i)
	}
	return p, enough(j, cores, accel, ram)
}

// lost is the progress that a task loses when it is stopped.
func (pl *planner) lost(v *Victim) clock.Micros {
	if v.RunningSince == 0 {
		return 0
	}
	return pl.Now - v.RunningSince
}

// preempt stops the victims and claims the room for one task of j. It gives what takes
// that back.
func (pl *planner) preempt(j *Job, p preemption) (undo func()) {
	m := p.machine
	pl.save(m)
	before, stops := *m, len(pl.out.Preemptions)
	for _, i := range p.victims {
		v := &m.Victims[i]
		v.taken = true
		m.StoppingCores += v.Cores
		m.StoppingAccelerators += v.Accelerators
		m.StoppingRAM += v.RAM
		pl.out.Preemptions = append(pl.out.Preemptions, v.Task)
		if v.Job != nil {
			pl.draft.Stop(v.Job.Team, v.amount())
		}
	}
	// The claim goes against the room on its way first, so that free room that
	// is too small here stays usable for others.
	claim(&m.StoppingCores, &m.Cores, j.Cores)
	claim(&m.StoppingAccelerators, &m.Accelerators, j.Accelerators)
	claim(&m.StoppingRAM, &m.RAM, j.RAM)
	pl.index.put(m)
	pl.draft.Add(j.Team, j.amount())
	pl.count(j, m.Zone, "", 1)
	return func() {
		m.Cores, m.Accelerators, m.RAM = before.Cores, before.Accelerators, before.RAM
		m.StoppingCores, m.StoppingAccelerators, m.StoppingRAM = before.StoppingCores, before.StoppingAccelerators, before.StoppingRAM
		for _, i := range p.victims {
			v := &m.Victims[i]
			v.taken = false
			if v.Job != nil {
				pl.draft.Resume(v.Job.Team, v.amount())
			}
		}
		pl.out.Preemptions = pl.out.Preemptions[:stops]
		pl.index.put(m)
		pl.draft.Remove(j.Team, j.amount())
		pl.count(j, m.Zone, "", -1)
	}
}

// mayStop tells whether a task may be stopped to make room for one of j, besides
// others of its team that take so much. Work within its team's guarantee makes way only
// for such work of higher priority, or either would take the other's place in turn. A
// replica makes way only for a guarantee.
func (pl *planner) mayStop(j *Job, v *Victim, besides quota.Amount) bool {
	if !pl.Quota.HasGuarantees() {
		return !v.Replica && v.Priority < j.Priority
	}
	others := v.Job != nil && v.Job.Team != j.Team
	borrowed := pl.borrowed(v, besides)
	switch {
	case v.Replica:
		return others && pl.withinGuarantee && borrowed
	case others && !pl.withinGuarantee && !borrowed && pl.Quota.Limits(v.Job.Team).HasGuarantee():
		return false
	}
	return v.Priority < j.Priority || pl.withinGuarantee && borrowed
}

// borrowed tells whether a task, with others of its team that take so much, runs
// beyond its team's guarantee: all that a team without one runs does.
func (pl *planner) borrowed(v *Victim, besides quota.Amount) bool {
	if v.Borrowed || v.Job == nil {
		return v.Borrowed
	}
	return pl.draft.BeyondGuarantee(v.Job.Team, besides.Plus(v.amount()))
}

// claim takes room off what is coming free first, and off what is free for the rest.
func claim(coming, free *float64, want float64) {
	take := min(*coming, want)
	*coming -= take
	*free -= want - take
}
