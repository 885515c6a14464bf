package plan

import (
	"cedardoor/clock"
	"cedardoor/quota"
	"cedardoor/wire"
)

// ImageState is how far a machine is with an image.
type ImageState int

// The states of an image on a machine, best last.
const (
	ImageAbsent ImageState = iota
	ImageFetching
	ImageHeld
)

// Machine is a machine in the snapshot.
type Machine struct {
	Name, Type, Zone string
	Preemptible      bool
	Free             Resources
	Stopping         Resources // what stops under way will free
	Usable           bool      // reports, and may be given tasks
	QuarantineReason string    // why it is to be emptied
	Cordoned         bool      // gets no new tasks, but need not be emptied
	Images           map[string]ImageState
	Victims          []Victim // tasks that may be preempted, cheapest first
	ReservedFor      string   // the job that its capacity is reserved for, if any
	FetchGBs         float64  // GB of images a second
	HasFailures      bool     // tasks have failed on it since any was done there

	leaving int // tasks that the plan moves away
	index   indexEntry
	before  *machineState // as it was before the plan, while one is being made
}

// available tells whether the machine may be given tasks at all.
func (m *Machine) available() bool { return m.Usable && m.QuarantineReason == "" && !m.Cordoned }

// holds tells whether the machine has the image of a job.
func (m *Machine) holds(image string) bool { return m.Images[image] == ImageHeld }

// Victim is a task that could be preempted.
type Victim struct {
	Resources
	Task         TaskID
	Priority     wire.Priority
	RunningSince clock.Micros // zero when it has not begun
	Job          *Job         // to tell whether its team is beyond its guarantee; may be nil
	Replica      bool         // of a service

	preempted bool // by the plan
}

// amount is what the task takes of its team's limit.
func (v *Victim) amount() quota.Amount { return quota.NewAmount(v.Cores, v.Accelerators) }

// team is the task's team, empty where that is not known.
func (v *Victim) team() string {
	if v.Job == nil {
		return ""
	}
	return v.Job.Team
}

// TaskID names a task.
type TaskID struct {
	Job   string
	Index int
}

// Waiting is a job's tasks that have no machine.
type Waiting struct {
	Job         *Job
	Indexes     []int
	Replacement bool // replaces tasks that ran before
}

// first is the first n of the waiting tasks.
func (w *Waiting) first(n int) *Waiting {
	return &Waiting{Job: w.Job, Indexes: w.Indexes[:n], Replacement: w.Replacement}
}

// after is the waiting tasks without the first n.
func (w *Waiting) after(n int) *Waiting {
	return &Waiting{Job: w.Job, Indexes: w.Indexes[n:], Replacement: w.Replacement}
}

// Candidate is a placed task that breaks a rule where it is.
type Candidate struct {
	Job     *Job
	Index   int
	Machine string
	Reason  string
}

// Snapshot is what a plan is made from. It is kept from plan to plan: after a
// change of a machine, Put brings its indexes up to date. A plan leaves the
// snapshot as it found it.
type Snapshot struct {
	Machines   []*Machine
	Waiting    []Waiting
	Candidates []Candidate
	Quota      *quota.Ledger // what teams use, and may use; nil: no limits
	MaxMoves   int           // in a plan; 0: no limit
	SampleSize int           // machines to look at for a task; 0: all
	Seed       uint64
	Preempt    bool // tasks may be preempted
	Now        clock.Micros
	// StarvationCredits is how many starved jobs may go before work of higher priority that waits, too.
	// Each takes one, and each task of such work that is placed gives one back.
	StarvationCredits int
	// AvoidFailures keeps jobs on trial off machines on which tasks have failed: what
	// they show there says little.
	AvoidFailures bool

	index           *index
	draft           *quota.Draft // the ledger with the plan's steps, while one is being made
	withinGuarantee bool         // what is being placed is within its team's guarantee
	quotaBinding    bool         // the draft can refuse something
}

// Put takes a machine into the snapshot, or notes that it has changed.
func (s *Snapshot) Put(machine *Machine) {
	s.ensureIndex()
	s.index.put(machine)
}

// Machine looks a machine up.
func (s *Snapshot) Machine(name string) *Machine {
	s.ensureIndex()
	return s.index.byName[name]
}

// Remove takes a machine out of the snapshot.
func (s *Snapshot) Remove(name string) {
	if machine := s.Machine(name); machine != nil {
		s.index.remove(machine)
	}
}

// ensureIndex makes the index if there is none yet.
func (s *Snapshot) ensureIndex() {
	if s.index != nil {
		return
	}
	s.index = newIndex()
	for _, machine := range s.Machines {
		machine.index = indexEntry{}
		s.index.put(machine)
	}
}
