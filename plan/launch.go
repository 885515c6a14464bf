package plan

import (
	"sort"

	"cedardoor/clock"
	"cedardoor/wire"
)

// A machine takes up to maxBatch tasks of a job at a time where it has capacity for
// minBatch and more: thousands of small tasks spread one by one over all machines
// would have each of them report twice a second.
const (
	minBatch = 16
	maxBatch = 64
)

// fetchMargin is how many times as long as its size says an image may take to fetch: fetches
// vary by a third, and share what a machine fetches at a time.
const fetchMargin = 1.5

// launch places waiting tasks, and gives the starvation credits that are left of the snapshot's.
func (p *planner) launch(waiting []*Waiting) (credits int) {
	sort.SliceStable(waiting, func(i, j int) bool { return launchesBefore(waiting[i], waiting[j]) })
	s := p.newStarvation(waiting)
	var failed []*Job
	for _, w := range p.launchStarved(waiting, &s) {
		placed := p.launchJob(w, &failed)
		if w.Job.Priority > s.lowest && !w.mayGoFirst() {
			s.credits += placed
		}
	}
	return max(0, min(s.credits, MaxStarvationCredits))
}

// launchJob places as many of a job's waiting tasks as it can. It gives how many of them were
// placed one by one; what starts only whole does not count.
func (p *planner) launchJob(w *Waiting, failed *[]*Job) (placed int) {
	switch {
	case dominated(w.Job, *failed):
		p.result.Unplaced[w.Job.UID] += len(w.Indexes)
	case w.Job.Gang:
		p.launchGang(w)
	case w.Job.startsInOneZone():
		p.launchInOneZone(w)
	default:
		return p.launchTasks(w, failed)
	}
	return 0
}

// launchTasks places as many of a job's waiting tasks as there is capacity for, one by one.
func (p *planner) launchTasks(w *Waiting, failed *[]*Job) (placed int) {
	job := w.Job
	var batchMachine *Machine // takes more of the same
	batch := 0                // how many more
	for n, index := range w.Indexes {
		if batchMachine != nil {
			if batch--; batch >= 0 && batchMachine.Free.covers(&job.Resources) && p.allowed(job, batchMachine) {
				p.place(job, index, batchMachine)
				placed++
				continue
			}
			batchMachine = nil
		}
		machine := p.target(job, "", nil)
		if p.preemptInstead(job, machine) {
			p.result.Unplaced[job.UID]++
			continue
		}
		if machine == nil {
			p.result.Unplaced[job.UID] += len(w.Indexes) - n
			if !job.Spread && !job.SameZone && !job.OnTrial && len(job.Avoid) == 0 {
				*failed = append(*failed, job) // for lack of capacity, not for what it keeps away from
			}
			break
		}
		if batch = batchSize(job, machine, len(w.Indexes)-n) - 1; batch > 0 {
			batchMachine = machine
		}
		p.place(job, index, machine)
		placed++
	}
	return placed
}

// preemptInstead preempts for a task that has no target, or whose target would have to fetch the
// image for too long: waiting for an image costs an urgent task more than a little lost work costs
// the one that makes way. What is freed is claimed so that nobody else takes it.
func (p *planner) preemptInstead(job *Job, target *Machine) bool {
	switch {
	case !p.Preempt || job.OnTrial:
		return false
	case target == nil:
		return p.preemptFor(job, false)
	}
	cold := job.Priority >= wire.PriorityHigh && !target.holds(job.Image) && !fetchesInTime(job, target)
	return cold && p.preemptFor(job, true)
}

// batchSize is how many of a job's waiting tasks go to a machine that one of them goes to.
func batchSize(job *Job, machine *Machine, waiting int) int {
	if job.Service || job.Spread || job.SameZone || job.Cores <= 0 {
		return 1
	}
	fitting := machine.Free.Cores / job.Cores
	if job.RAM > 0 {
		fitting = min(fitting, machine.Free.RAM/job.RAM)
	}
	if fitting < minBatch || waiting < minBatch {
		return 1
	}
	return int(min(fitting, maxBatch, float64(waiting)))
}

// fetchesInTime tells whether a task would start in time on a machine that has yet
// to fetch its image: then nothing need be preempted for it.
func fetchesInTime(job *Job, machine *Machine) bool {
	if job.StartWithin == 0 || machine.FetchGBs <= 0 {
		return false
	}
	return clock.FromSeconds(fetchMargin*job.ImageGB/machine.FetchGBs) < job.StartWithin
}
