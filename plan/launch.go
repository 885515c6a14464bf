package plan

import (
	"sort"

	"cedardoor/clock"
	"cedardoor/wire"
)

// Small tasks of a job are placed in batches of up to maxBatch on machines with capacity
// for at least minBatch of them: thousands of small tasks spread one by one would make
// every machine report twice a second.
const (
	minBatch = 16
	maxBatch = 64
)

// fetchMargin multiplies the fetch time expected from an image's size: fetch times vary by a
// third, and concurrent fetches share the bandwidth of the machine.
const fetchMargin = 1.5

// launch places waiting tasks and returns the starvation credits for the next plan.
func (p *planner) launch(waiting []*Waiting) (credits int) {
	sort.SliceStable(waiting, func(i, j int) bool { return launchesBefore(waiting[i], waiting[j]) })
	s := p.newStarvation(waiting)
	var failed []*Job
	for _, w := range p.launchStarved(waiting, &s) {
		placed := p.launchJob(w, &failed)
		if w.Job.Priority > s.lowestStarved && !w.mayLaunchAhead() {
			s.credits += placed
		}
	}
	return max(0, min(s.credits, MaxStarvationCredits))
}

// launchJob places as many of a job's waiting tasks as it can. It returns the number that launchTasks
// placed; tasks of gangs, and of SameZone jobs whose zone is undecided, do not count.
func (p *planner) launchJob(w *Waiting, failed *[]*Job) (placed int) {
	switch {
	case dominated(w.Job, *failed):
		p.result.Unplaced[w.Job.UID] += len(w.Indexes)
	case w.Job.Gang:
		p.launchGang(w)
	case w.Job.zoneUndecided():
		p.launchInOneZone(w)
	default:
		return p.launchTasks(w, failed)
	}
	return 0
}

// launchTasks places a job's waiting tasks one by one while there is capacity, and returns their number.
func (p *planner) launchTasks(w *Waiting, failed *[]*Job) (placed int) {
	job := w.Job
	var batchMachine *Machine // machine that takes the next tasks, too
	batchLeft := 0            // how many more tasks it takes
	for n, index := range w.Indexes {
		if batchMachine != nil {
			if batchLeft--; batchLeft >= 0 && batchMachine.Free.covers(&job.Resources) && p.allowed(job, batchMachine) {
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
				*failed = append(*failed, job) // lack of capacity, not a constraint of this job alone
			}
			break
		}
		if batchLeft = batchSize(job, machine, len(w.Indexes)-n) - 1; batchLeft > 0 {
			batchMachine = machine
		}
		p.place(job, index, machine)
		placed++
	}
	return placed
}

// preemptInstead preempts for a task that has no target, or for an urgent one whose target would
// take too long to fetch the image: the delay costs the urgent task more than the little lost work
// costs the victim. The freed capacity is claimed so that no other task gets it. It reports whether
// capacity was claimed.
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

// batchSize returns how many of a job's waiting tasks to place on its target machine.
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

// fetchesInTime reports whether a machine would fetch a job's image soon enough for a
// task to meet the job's start-time objective, so that nothing need be preempted for it.
func fetchesInTime(job *Job, machine *Machine) bool {
	if job.StartWithin == 0 || machine.FetchGBs <= 0 {
		return false
	}
	return clock.FromSeconds(fetchMargin*job.ImageGB/machine.FetchGBs) < job.StartWithin
}
