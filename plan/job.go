package plan

import (
	"cedardoor/clock"
	"cedardoor/quota"
	"cedardoor/wire"
)

// Job holds what the tasks of a job have in common.
type Job struct {
	UID, Team string
	Priority  wire.Priority
	Order     int64 // of acceptance; breaks ties between jobs
	Requirements
	Progress
	Occupancy

	Entitled        bool            // fits into its team's guarantee together with the team's earlier jobs
	Avoid           map[string]bool // machines that its tasks must not run on
	ReservedMachine string          // machine whose capacity is reserved for it, if any
}

// Requirements describes what a job's tasks need. It never changes.
type Requirements struct {
	Resources        // of one task
	Tasks            int
	Service          bool     // its tasks are replicas of a service
	Gang             bool     // its tasks start all together or not at all
	MachineTypes     []string // allowed types; nil for any
	Zone             string   // the only allowed zone; empty for any
	SameZone, Spread bool     // all tasks run in the same zone; at most half of them run in any one zone
	Preemptible      bool     // its tasks may run on spot machines
	Image            string
	ImageGB          float64
	StartWithin      clock.Micros // start-time objective; zero for none
}

// Progress describes the state of a job when a plan is made.
type Progress struct {
	Slack             clock.Micros // time left until it must start to meet its deadline
	Started           bool         // some task has been started at least once
	Unfinished        int          // tasks not done yet
	Starved           bool         // batch job that has waited long with no task started
	MayStartPartially bool         // any job that has waited as long: with SameZone it may start with only some of its tasks
	OnTrial           bool         // it may fail on any machine: it is limited to trial tasks, and nothing is preempted for it
	PreemptionExempt  bool         // was starved before its first start: StarvedTasks of its tasks are not preempted
}

// Occupancy counts the tasks of a job that may exist, whether they have started or not.
type Occupancy struct {
	Zones         map[string]int // by zone
	Machines      map[string]int // by machine
	InUnknownZone int            // tasks in an unknown zone
}

// Count adds n to the tasks that may exist in a zone and, unless the machine's
// name is empty, on a machine. An empty zone is an unknown one.
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

// addCount adds n to a count and deletes the entry when the count is zero.
func addCount(counts map[string]int, key string, n int) {
	if counts[key] += n; counts[key] == 0 {
		delete(counts, key)
	}
}

// hasTasks reports whether any task may exist.
func (o *Occupancy) hasTasks() bool { return len(o.Zones) > 0 || o.InUnknownZone > 0 }

// amount returns what one task of the job counts against its team's quota.
func (j *Job) amount() quota.Amount { return quota.NewAmount(j.Cores, j.Accelerators) }

// zoneUndecided reports whether all tasks must run in the same zone and it has not been chosen yet.
func (j *Job) zoneUndecided() bool { return j.SameZone && !j.hasTasks() }
