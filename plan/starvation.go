package plan

import "cedardoor/wire"

const (
	// StarvedTasks is how many tasks of a job that has waited long go before others. One
	// is enough for the job to begin. With more, the jobs of low priority that have waited
	// long take all that comes free under a lasting overload, and urgent work waits
	// until it has waited long itself.
	StarvedTasks = 1
	// MaxStarvationCredits is how many starved jobs may go at once before work of higher priority that
	// comes. More would let what is urgent wait for as many tasks to end.
	MaxStarvationCredits = 2
	// maxReservations bounds the machines whose capacity is reserved for starved jobs.
	maxReservations = 8
)

// starvation is what starved jobs and work of higher priority that waits share a plan by.
//
// A job that has waited long without any task begun goes before those of
// higher priority with its first task, so that none waits for ever. Its next ones
// do not, though the first may take seconds to begin. Where many such jobs meet
// higher priority, they take turns: an overload of jobs of one task each would else
// have all that comes free. A job for which capacity is reserved has had its turn.
type starvation struct {
	credits int
	rival   wire.Priority // the highest that waits and is not starved
	lowest  wire.Priority // the lowest of the starved jobs
}

// newStarvation looks at what waits.
func (p *planner) newStarvation(waiting []*Waiting) starvation {
	s := starvation{credits: p.StarvationCredits, lowest: wire.PriorityCritical}
	starved, others := false, false
	for _, w := range waiting {
		if w.mayGoFirst() {
			starved, s.lowest = true, min(s.lowest, w.Job.Priority)
		} else {
			others, s.rival = true, max(s.rival, w.Job.Priority)
		}
	}
	if !starved || !others || s.rival <= s.lowest {
		s.credits = MaxStarvationCredits // nobody is in the other's way
	}
	return s
}

// mayGoFirst tells whether a job's first task may go before work of higher priority.
func (w *Waiting) mayGoFirst() bool {
	job := w.Job
	return job.Starved && !job.Gang && !job.SameZone && !job.hasTasks()
}

// launchStarved places the first tasks of starved jobs, and reserves capacity where there is
// none for them. It gives what is left to place.
func (p *planner) launchStarved(waiting []*Waiting, s *starvation) (rest []*Waiting) {
	for _, w := range waiting {
		job := w.Job
		if !w.mayGoFirst() || s.credits <= 0 && job.Priority < s.rival && !p.hasReservation(job) {
			rest = append(rest, w)
			continue
		}
		reserved := p.hasReservation(job)
		placed := p.launchFirst(w)
		if placed == 0 {
			p.reserve(job)
		}
		if job.Priority < s.rival && !reserved && (placed > 0 || p.hasReservation(job)) {
			s.credits--
		}
		if placed < len(w.Indexes) {
			rest = append(rest, w.after(placed))
		}
	}
	return rest
}

// launchFirst places the first tasks of a starved job, as far as there is capacity.
func (p *planner) launchFirst(w *Waiting) (placed int) {
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

// reserve reserves a machine's capacity for a job for which none has enough: smaller
// tasks would take each bit that comes free before it is enough for a large
// one. The machine that lacks least is taken, or the one reserved already.
func (p *planner) reserve(job *Job) {
	if len(p.result.Reservations) >= maxReservations {
		return
	}
	// Drawn whether it is needed or not, so that a reservation that goes on changes no other draw.
	sample := p.sampled(p.index.usableBy(job))
	machine := p.index.byName[job.ReservedMachine]
	if machine == nil || machine.ReservedFor != job.UID || !p.allowed(job, machine) {
		if machine = p.leastLacking(job, sample); machine == nil {
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

// leastLacking is the machine of those not reserved yet that lacks least for a task of a job;
// nil where the rules allow none.
func (p *planner) leastLacking(job *Job, machines []*Machine) (best *Machine) {
	var least float64
	for _, machine := range machines {
		p.result.Examined++
		if machine.ReservedFor != "" || !p.allowed(job, machine) {
			continue
		}
		lack := max(0, job.Cores-machine.Free.Cores)/max(job.Cores, epsilon) + max(0, job.RAM-machine.Free.RAM)/max(job.RAM, epsilon)
		if best == nil || lack < least {
			best, least = machine, lack
		}
	}
	return best
}

// hasReservation tells whether a machine's capacity is reserved for a job.
func (p *planner) hasReservation(job *Job) bool {
	if machine := p.index.byName[job.ReservedMachine]; machine != nil && machine.ReservedFor == job.UID {
		return true
	}
	return p.reserved[job]
}
