package plan

// machineState holds the fields of a machine that a plan may change.
type machineState struct {
	free, stopping Resources
	reservedFor    string
	departures     int
}

// occupancyChange is a change to a job's occupancy, kept so that it can be reverted.
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

// allocate allocates the resources of one task of a job on a machine.
func (p *planner) allocate(job *Job, machine *Machine) {
	p.occupy(job, machine)
	p.draft.Add(job.Team, job.amount())
}

// release reverts allocate.
func (p *planner) release(job *Job, machine *Machine) {
	p.vacate(job, machine)
	p.draft.Remove(job.Team, job.amount())
}

// occupy takes the capacity for one task of a job on a machine, without counting it against the
// team's limit.
func (p *planner) occupy(job *Job, machine *Machine) {
	p.save(machine)
	machine.Free.subtract(job.Resources)
	p.index.put(machine)
	p.adjustOccupancy(job, machine.Zone, machine.Name, 1)
}

// vacate reverts occupy.
func (p *planner) vacate(job *Job, machine *Machine) {
	machine.Free.add(job.Resources)
	p.index.put(machine)
	p.adjustOccupancy(job, machine.Zone, machine.Name, -1)
}

// adjustOccupancy adds to a job's tasks that may exist in a zone and on a machine.
func (p *planner) adjustOccupancy(job *Job, zone, machine string, tasks int) {
	p.occupancyChanges = append(p.occupancyChanges, occupancyChange{job, zone, machine, tasks})
	job.Count(zone, machine, tasks)
}

// save records the state of a machine before its first change, for restore.
func (p *planner) save(machine *Machine) {
	if machine.before != nil {
		return
	}
	machine.before = &machineState{machine.Free, machine.Stopping, machine.ReservedFor, machine.departures}
	p.changedMachines = append(p.changedMachines, machine)
}

// restore reverts all changes of the plan to the snapshot.
func (p *planner) restore() {
	p.draft, p.quotaBinding = nil, false
	for i := len(p.occupancyChanges) - 1; i >= 0; i-- {
		change := p.occupancyChanges[i]
		change.job.Count(change.zone, change.machine, -change.tasks)
	}
	for _, machine := range p.changedMachines {
		before := machine.before
		machine.Free, machine.Stopping = before.free, before.stopping
		machine.ReservedFor, machine.departures = before.reservedFor, before.departures
		machine.before = nil
		for i := range machine.Victims {
			machine.Victims[i].stopped = false
		}
		p.index.put(machine)
	}
}
