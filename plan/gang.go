package plan

// launchInOneZone places a job whose tasks are to be in one zone and that has none anywhere: in the
// zone with most capacity, whole or, if it was never started and has not waited long, not at all.
func (p *planner) launchInOneZone(w *Waiting) {
	job := w.Job
	zones := p.index.zones()
	best, most := "", 0
	for _, zone := range zones {
		if n := p.countFitting(job, zone, len(w.Indexes)); n > most {
			best, most = zone, n
		}
	}
	if most < len(w.Indexes) && (!job.Started && !job.StartsPartially || most == 0) {
		p.preemptForAll(w, zones)
		p.result.Unplaced[job.UID] += len(w.Indexes)
		return
	}
	for n, index := range w.Indexes {
		machine := p.target(job, best, nil)
		if machine == nil {
			p.result.Unplaced[job.UID] += len(w.Indexes) - n
			return
		}
		p.place(job, index, machine)
	}
}

// countFitting counts how many tasks of a job a zone has capacity for, up to a limit.
func (p *planner) countFitting(job *Job, zone string, limit int) (count int) {
	for _, machine := range p.index.usableBy(job) {
		if machine.Zone != zone || !p.allowed(job, machine) {
			continue
		}
		if count += machine.Free.taskCount(&job.Resources, limit); count >= limit {
			return limit
		}
	}
	return count
}

// launchGang places a gang whole in one round, or not at all, and only when
// nothing of it can be anywhere any more.
func (p *planner) launchGang(w *Waiting) {
	job := w.Job
	if len(w.Indexes) < job.Unfinished || job.hasTasks() {
		p.result.Unplaced[job.UID] += len(w.Indexes)
		return
	}
	zones := []string{""} // anywhere
	if job.SameZone {
		zones = p.index.zones()
	}
	for _, zone := range zones {
		if p.launchWhole(w, zone) {
			return
		}
	}
	p.preemptForAll(w, zones)
	p.result.Unplaced[job.UID] += len(w.Indexes)
}

// launchWhole places all waiting tasks in a zone, or in all of them where none is named; none
// of them where there is no capacity for all.
func (p *planner) launchWhole(w *Waiting, zone string) bool {
	job := w.Job
	var machines []*Machine
	for range w.Indexes {
		machine := p.target(job, zone, nil)
		if machine == nil {
			break
		}
		p.allocate(job, machine)
		machines = append(machines, machine)
	}
	if len(machines) < len(w.Indexes) {
		for _, machine := range machines {
			p.release(job, machine)
		}
		return false
	}
	for i, machine := range machines {
		p.result.Launches = append(p.result.Launches, Placement{Task: TaskID{job.UID, w.Indexes[i]}, Machine: machine.Name})
	}
	return true
}
