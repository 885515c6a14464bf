package plan

import (
	"math/bits"
	"slices"

	"cedardoor/wire"
)

// target picks a machine for a task of a job, or returns nil if there is none. Among
// the machines that the rules allow and that have capacity, it prefers those that keep
// replicas apart, then those that have the image, then the cheapest kind, and then
// worst fit: most free memory, ties broken by free cores.
//
// It examines a sample of the machines that hold or fetch the image, and a sample of
// those with enough memory and cores, the emptiest first. If nothing in the sample
// fits, the search goes on over all of them.
func (p *planner) target(job *Job, zone string, exclude *Machine) *Machine {
	s := search{planner: p, job: job, zone: zone, exclude: exclude}
	if job.Image != "" {
		for _, machine := range p.sampled(p.index.images[job.Image]) {
			s.consider(machine)
		}
	}
	lowest, minCores := memoryLevel(job.RAM), coreClass(job.Cores)
	for level := memoryLevels - 1; level >= lowest; level-- {
		s.examined, s.fitting = 0, 0
		for kind := range p.index.available {
			if kind != kindSpot || job.Preemptible {
				s.scan(&p.index.available[kind][level], minCores)
			}
		}
		// Fuller machines matter only while none was found, or for criteria that
		// come before worst fit.
		if s.best != nil && (s.fitting >= p.SampleSize && p.SampleSize > 0 || level < memoryLevels-1 && s.bestIsFinal()) {
			break
		}
	}
	return s.best
}

// search holds the state of one call of target.
type search struct {
	*planner
	job     *Job
	zone    string   // the only allowed zone; empty for any
	exclude *Machine // machine to skip; may be nil

	best              *Machine
	examined, fitting int // counts for the current memory level
}

// consider examines a machine and reports whether the task may be placed there.
func (s *search) consider(machine *Machine) bool {
	s.result.Examined++
	if machine == s.exclude || s.zone != "" && machine.Zone != s.zone || !machine.Free.covers(&s.job.Resources) || !s.allowed(s.job, machine) {
		return false
	}
	if s.best == nil || preferred(s.job, machine, s.best) {
		s.best = machine
	}
	return true
}

// scan examines the machines of a memory level that have enough cores, until the sample is
// complete and some machine has been found.
func (s *search) scan(level *coreClassList, minCores int) {
	for classes := level.nonEmpty >> minCores << minCores; classes != 0; {
		class := bits.Len32(classes) - 1
		classes &^= 1 << class
		machines := level.machines[class]
		start := 0
		if s.SampleSize > 0 && len(machines) > s.SampleSize {
			start = s.rng.IntN(len(machines))
		}
		for i := range machines {
			s.examined++
			if s.consider(machines[(start+i)%len(machines)]) {
				s.fitting++
			}
			if s.SampleSize > 0 && s.examined >= s.SampleSize && s.best != nil {
				return
			}
		}
	}
}

// bestIsFinal reports whether no fuller machine could be preferred to the best one.
func (s *search) bestIsFinal() bool {
	job, best := s.job, s.best
	return (job.Image == "" || best.holds(job.Image)) && (!job.Service || job.Machines[best.Name] == 0 && !job.Spread) && (best.Preemptible || !job.Preemptible)
}

// sampled returns SampleSize consecutive machines from a random position on, wrapping
// around, or all machines if there are no more than that.
func (p *planner) sampled(machines []*Machine) []*Machine {
	if p.SampleSize <= 0 || len(machines) <= p.SampleSize {
		return machines
	}
	start := p.rng.IntN(len(machines))
	if start+p.SampleSize <= len(machines) {
		return machines[start : start+p.SampleSize]
	}
	return append(slices.Clone(machines[start:]), machines[:start+p.SampleSize-len(machines)]...)
}

// preferred reports whether a is a better target than b for a task of the job.
func preferred(job *Job, a, b *Machine) bool {
	if job.Service {
		// Replicas go to distinct machines while there are enough of them. But
		// a machine that has the image and one replica is preferred to one that
		// would have to fetch the image, since users would wait for the fetch.
		if x, y := placementPenalty(job, a), placementPenalty(job, b); x != y {
			return x < y
		}
	}
	if x, y := a.Images[job.Image], b.Images[job.Image]; x != y {
		return x > y
	}
	if a.FetchGBs != b.FetchGBs && job.Priority >= wire.PriorityHigh && a.Images[job.Image] == ImageAbsent {
		return a.FetchGBs > b.FetchGBs // an urgent task has to wait for its image
	}
	if x, y := job.Zones[a.Zone], job.Zones[b.Zone]; job.Service && x != y {
		return x < y
	}
	if a.Preemptible != b.Preemptible {
		return a.Preemptible
	}
	if a.Free.RAM != b.Free.RAM {
		return a.Free.RAM > b.Free.RAM
	}
	if a.Free.Cores != b.Free.Cores {
		return a.Free.Cores > b.Free.Cores
	}
	return a.Name < b.Name
}

// The parts of a machine's penalty for one more replica of a service: a missing image counts as much
// as one and a half replicas that are there already.
const (
	sharedMachinePenalty = 2
	coldImagePenalty     = 3
)

// placementPenalty returns how undesirable a machine is for one more replica of a service.
func placementPenalty(job *Job, machine *Machine) int {
	penalty := sharedMachinePenalty * job.Machines[machine.Name]
	if !machine.holds(job.Image) {
		penalty += coldImagePenalty
	}
	return penalty
}
