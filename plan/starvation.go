package plan

import "cedardoor/wire"

const (
	// StarvedTasks is how many tasks of a starved job are launched ahead of work of higher
	// priority. One is enough for the job to begin. With more, starved jobs of low priority
	// would take all capacity that comes free under a lasting overload, and urgent work would
	// wait until it is starved itself.
	StarvedTasks = 1
	// MaxStarvationCredits is how many starved jobs may go ahead of work of higher priority before
	// some of that work is placed. With more, urgent work would wait for as many tasks to end.
	MaxStarvationCredits = 2
	// maxReservations bounds the number of machines reserved for starved jobs.
	maxReservations = 8
)

// starvation shares a plan between starved jobs and waiting work of higher priority.
//
// The first task of a starved job is launched ahead of work of higher priority, so that
// no job waits forever. Its other tasks are not, though the first may take seconds to
// begin. If many starved jobs compete with work of higher priority, the two take turns:
// otherwise an overload of single-task jobs would get all capacity that comes free. A
// job for which capacity is reserved has had its turn.
type starvation struct {
	credits       int
	highestOther  wire.Priority // highest priority of the other waiting jobs
	lowestStarved wire.Priority // lowest priority of the starved jobs
}

// newStarvation derives the priorities of starved and other jobs from the waiting tasks.
func (p *planner) newStarvation(waiting []*Waiting) starvation {
	s := starvation{credits: p.StarvationCredits, lowestStarved: wire.PriorityCritical}
	starved, others := false, false
	for _, w := range waiting {
		if w.mayLaunchAhead() {
			starved, s.lowestStarved = true, min(s.lowestStarved, w.Job.Priority)
		} else {
			others, s.highestOther = true, max(s.highestOther, w.Job.Priority)
		}
	}
	if !starved || !others || s.highestOther <= s.lowestStarved {
		s.credits = MaxStarvationCredits // no conflict between starved jobs and others
	}
	return s
}

// mayLaunchAhead reports whether the job's first task may be launched ahead of work of higher priority.
func (w *Waiting) mayLaunchAhead() bool {
	job := w.Job
	return job.Starved && !job.Gang && !job.SameZone && !job.hasTasks()
}

// launchStarved places the first tasks of starved jobs, and reserves capacity for those that find
// none. It returns the tasks that are left to place.
func (p *planner) launchStarved(waiting []*Waiting, s *starvation) (rest []*Waiting) {
	for _, w := range waiting {
		job := w.Job
		if !w.mayLaunchAhead() || s.credits <= 0 && job.Priority < s.highestOther && !p.hasReservation(job) {
			rest = append(rest, w)
			continue
		}
		reserved := p.hasReservation(job)
		placed := p.launchAhead(w)
		if placed == 0 {
			p.reserve(job)
		}
		if job.Priority < s.highestOther && !reserved && (placed > 0 || p.hasReservation(job)) {
			s.credits--
		}
		if placed < len(w.Indexes) {
			rest = append(rest, w.after(placed))
		}
	}
	return rest
}

// launchAhead places the first StarvedTasks tasks of a starved job while there is capacity.
func (p *planner) launchAhead(w *Waiting) (placed int) {
	for _, index := range w.Indexes[:min(StarvedTasks, len(w.Indexes))] {
		machine := p.target(w.Job, "", nil)
		if machine == nil {
			break
		}
		p.place(w.Job, index, machine)
		placed++
	}
	return placed
}

// reserve reserves a machine for a job that fits on none: otherwise smaller tasks would
// take the capacity as it comes free, before there is enough for a large task. It keeps
// an existing reservation, or else reserves the machine with the smallest shortfall. The task must
// fit on the machine once only replicas remain there.
func (p *planner) reserve(job *Job) {
	if len(p.result.Reservations) >= maxReservations {
		return
	}
	// Sampled even if not needed, so that keeping a reservation does not change later random draws.
	sample := p.sampled(p.index.machinesFor(job))
	machine := p.index.byName[job.ReservedMachine]
	if machine == nil || machine.ReservedFor != job.UID || !machine.canHold(&job.Resources) || !p.allowed(job, machine) {
		if machine = p.smallestShortfall(job, sample); machine == nil {
			return
		}
	}
	if p.result.Reservations == nil {
		p.result.Reservations = map[string]string{}
	}
	p.result.Reservations[machine.Name] = job.UID
	p.save(machine)
	machine.ReservedFor = job.UID
	if p.reserved == nil {
		p.reserved = map[*Job]bool{}
	}
	p.reserved[job] = true
}

// smallestShortfall returns the unreserved machine that lacks the smallest share of what a task
// of the job needs, or nil if the rules allow none.
func (p *planner) smallestShortfall(job *Job, machines []*Machine) (best *Machine) {
	var smallest float64
	for _, machine := range machines {
		p.result.Examined++
		if machine.ReservedFor != "" || !machine.canHold(&job.Resources) || !p.allowed(job, machine) {
			continue
		}
		shortfall := lackingShare(job.Cores, machine.Free.Cores) + lackingShare(job.RAM, machine.Free.RAM) +
			lackingShare(job.Accelerators, machine.Free.Accelerators)
		if best == nil || shortfall < smallest {
			best, smallest = machine, shortfall
		}
	}
	return best
}

// lackingShare returns which share of a needed amount is not free.
func lackingShare(needed, free float64) float64 {
	return max(0, needed-free) / max(needed, epsilon)
}

// hasReservation reports whether a machine is reserved for a job.
func (p *planner) hasReservation(job *Job) bool {
	if machine := p.index.byName[job.ReservedMachine]; machine != nil && machine.ReservedFor == job.UID {
		return true
	}
	return p.reserved[job]
}
