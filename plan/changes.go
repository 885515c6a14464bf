package plan

// machineState is what a plan may change of a machine.
type machineState struct {
	free, stopping Resources
	reservedFor    string
	leaving        int
}

// occupancyChange is a change of the tasks of a job that may exist in a zone and on a machine.
type occupancyChange struct {
	job           *Job
	zone, machine string
	tasks         int
}

// place launches a waiting task on a machine.
func (p *planner) place(job *Job, index int, machine *Machine) {
	p.allocate(job, machine)
	p.result.Launches = append(p.result.Launches, Placement{Task: TaskID{job.UID, index}, Machine: machine.Name})
}

// allocate takes what one task of a job needs on a machine.
func (p *planner) allocate(job *Job, machine *Machine) {
	p.save(machine)
	machine.Free.subtract(job.Resources)
	p.index.put(machine)
	p.draft.Add(job.Team, job.amount())
	p.count(job, machine.Zone, machine.Name, 1)
}

// release takes allocate back.
func (p *planner) release(job *Job, machine *Machine) {
	machine.Free.add(job.Resources)
	p.index.put(machine)
	p.count(job, machine.Zone, machine.Name, -1)
	p.draft.Remove(job.Team, job.amount())
}

// count adds to the tasks of a job that may exist in a zone and on a machine.
func (p *planner) count(job *Job, zone, machine string, tasks int) {
	p.counted = append(p.counted, occupancyChange{job, zone, machine, tasks})
	job.Count(zone, machine, tasks)
}

// save keeps a machine as it was, once, so that the snapshot can be restored.
func (p *planner) save(machine *Machine) {
	if machine.before != nil {
		return
	}
	machine.before = &machineState{machine.Free, machine.Stopping, machine.ReservedFor, machine.leaving}
	p.changed = append(p.changed, machine)
}

// restore leaves the snapshot as it was found.
func (p *planner) restore() {
	p.draft, p.quotaBinding = nil, false
	for i := len(p.counted) - 1; i >= 0; i-- {
		done := p.counted[i]
		done.job.Count(done.zone, done.machine, -done.tasks)
	}
	for _, machine := range p.changed {
		before := machine.before
		machine.Free, machine.Stopping = before.free, before.stopping
		machine.ReservedFor, machine.leaving = before.reservedFor, before.leaving
		machine.before = nil
		for i := range machine.Victims {
			machine.Victims[i].preempted = false
		}
		p.index.put(machine)
	}
}
