package plan

import (
	"cedardoor/clock"
	"cedardoor/quota"
	"cedardoor/wire"
)

// Job is what the tasks of a job have in common.
type Job struct {
	UID, Team string
	Priority  wire.Priority
	Order     int64 // of acceptance: decides between jobs that are equal in all else
	Requirements
	Progress
	Occupancy

	Entitled        bool            // within its team's guarantee
	Avoid           map[string]bool // machines that its tasks keep away from
	ReservedMachine string          // the machine whose capacity is reserved for it, if any
}

// Requirements is what a job's tasks need. It does not change.
type Requirements struct {
	Resources        // of one task
	Tasks            int
	Service          bool     // its tasks are replicas
	Gang             bool     // its tasks run only all together
	MachineTypes     []string // allowed types; nil for any
	Zone             string   // the only allowed zone; empty for any
	SameZone, Spread bool     // its tasks run in one zone; at most half of them run in one zone
	Preemptible      bool     // its tasks may run on spot machines
	Image            string
	ImageGB          float64
	StartWithin      clock.Micros // in which its tasks should start; zero when nothing is said
}

// Progress is how far a job is when a plan is made.
type Progress struct {
	Slack           clock.Micros // time left before it must start to meet its deadline
	Started         bool         // some task was started before
	Unfinished      int          // tasks not done yet
	Starved         bool         // has waited long without any task begun
	StartsPartially bool         // the same, replicas included: what is to be in one zone need not begin whole
	OnTrial         bool         // it may fail wherever it runs: a task tries, and nothing is preempted for it
}

// Occupancy counts the tasks of a job that may exist, begun or not.
type Occupancy struct {
	Zones         map[string]int // by zone
	Machines      map[string]int // by machine
	InUnknownZone int            // tasks whose zone is not known
}

// Count adds to the tasks that may exist in a zone and, unless the
// name is empty, on a machine. An empty zone is one that is not known.
func (o *Occupancy) Count(zone, machine string, n int) {
	if o.Zones == nil {
		o.Zones = map[string]int{}
	}
	if o.Machines == nil {
		o.Machines = map[string]int{}
	}
	if zone == "" {
		o.InUnknownZone += n
	} else {
		addCount(o.Zones, zone, n)
	}
	if machine != "" {
		addCount(o.Machines, machine, n)
	}
}

// addCount adds to a count; one that is zero is not kept.
func addCount(counts map[string]int, key string, n int) {
	if counts[key] += n; counts[key] == 0 {
		delete(counts, key)
	}
}

// hasTasks tells whether any task may exist.
func (o *Occupancy) hasTasks() bool { return len(o.Zones) > 0 || o.InUnknownZone > 0 }

// amount is what one task of the job takes of its team's limit.
func (j *Job) amount() quota.Amount { return quota.NewAmount(j.Cores, j.Accelerators) }

// startsInOneZone tells whether the job has yet to choose the one zone that its tasks run in.
func (j *Job) startsInOneZone() bool { return j.SameZone && !j.hasTasks() }
