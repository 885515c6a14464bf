package plan

// launchInOneZone places a SameZone job that has no tasks yet, in the zone with capacity for the most
// tasks. A job that was never started and has not waited long is placed whole or not at all.
func (p *planner) launchInOneZone(w *Waiting) {
	job := w.Job
	zones := p.index.zones()
	best, most := "", 0
	for _, zone := range zones {
		if n := p.countFitting(job, zone, len(w.Indexes)); n > most {
			best, most = zone, n
		}
	}
	if most < len(w.Indexes) && (!job.Started && !job.MayStartPartially || most == 0) {
		p.preemptForAllTasks(w, zones)
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

// countFitting returns how many tasks of a job fit in a zone, up to limit.
func (p *planner) countFitting(job *Job, zone string, limit int) (count int) {
	for _, machine := range p.index.machinesFor(job) {
		if machine.Zone != zone || !p.allowed(job, machine) {
			continue
		}
		if count += machine.Free.taskCount(&job.Resources, limit); count >= limit {
			return limit
		}
	}
	return count
}

// launchGang places all tasks of a gang in this plan or none, and only when none
// of its earlier tasks may still exist.
func (p *planner) launchGang(w *Waiting) {
	job := w.Job
	if len(w.Indexes) < job.Unfinished || job.hasTasks() {
		p.result.Unplaced[job.UID] += len(w.Indexes)
		return
	}
	zones := []string{""} // any zone
	if job.SameZone {
		zones = p.index.zones()
	}
	for _, zone := range zones {
		if p.launchWhole(w, zone) {
			return
		}
	}
	p.preemptForAllTasks(w, zones)
	p.result.Unplaced[job.UID] += len(w.Indexes)
}

// launchWhole places all waiting tasks in one zone, or in any zones if zone is empty. If they do
// not all fit, it places none and returns false.
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
