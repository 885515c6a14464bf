package plan

import (
	"cedardoor/clock"
	"cedardoor/quota"
	"cedardoor/wire"
)

// ImageState is the state of an image on a machine.
type ImageState int

// The image states, in increasing order of preference.
const (
	ImageAbsent ImageState = iota
	ImageFetching
	ImageHeld
)

// Machine is a machine in the snapshot.
type Machine struct {
	Name, Type, Zone string
	Preemptible      bool
	Capacity         Resources // free and used
	Free             Resources
	Replicas         Resources // used by replicas that are to remain; they do not end by themselves
	Stopping         Resources // capacity that stops in progress will free
	Usable           bool      // reports, and may be given tasks
	QuarantineReason string    // why its tasks are to be moved away; empty if not quarantined
	Cordoned         bool      // gets no new tasks; its tasks may stay
	Images           map[string]ImageState
	Victims          []Victim     // tasks that may be preempted, cheapest first
	Departing        map[*Job]int // tasks that are being stopped, by job; they still count in the job's occupancy
	ReservedFor      string       // job that its capacity is reserved for, if any
	FetchGBs         float64      // image fetch rate in GB per second
	HasFailures      bool         // tasks have failed on it since one last succeeded there

	departures int // tasks that the plan moves to other machines
	index      indexEntry
	before     *machineState // the state to restore after the current plan; nil if unchanged
}

// available reports whether the machine may be given any tasks.
func (m *Machine) available() bool { return m.Usable && m.QuarantineReason == "" && !m.Cordoned }

// canHold reports whether the resources fit on the machine once its other tasks have ended. Replicas
// do not end by themselves.
func (m *Machine) canHold(resources *Resources) bool {
	remaining := m.Capacity
	remaining.subtract(m.Replicas)
	return remaining.covers(resources)
}

// holds reports whether the machine has the complete image.
func (m *Machine) holds(image string) bool { return m.Images[image] == ImageHeld }

// Remaining returns how many tasks of a job are to remain on the machine: those that may exist
// there, except for those that are being stopped. A violation that only the latter cause is
// already being repaired.
func (m *Machine) Remaining(job *Job) int { return job.Machines[m.Name] - m.Departing[job] }

// Victim is a task that could be preempted.
type Victim struct {
	Resources
	Task         TaskID
	Priority     wire.Priority
	RunningSince clock.Micros // zero if it does not run yet
	Job          *Job         // identifies the team for checks of its guarantee; may be nil
	Replica      bool         // is a replica of a service

	stopped bool // preempted or moved by the current plan
}

// victim returns the task among the machine's victims, or nil.
func (m *Machine) victim(id TaskID) *Victim {
	for i := range m.Victims {
		if m.Victims[i].Task == id {
			return &m.Victims[i]
		}
	}
	return nil
}

// stops reports whether the current plan already stops the task on the machine.
func (m *Machine) stops(id TaskID) bool {
	victim := m.victim(id)
	return victim != nil && victim.stopped
}

// amount returns what the task counts against its team's quota.
func (v *Victim) amount() quota.Amount { return quota.NewAmount(v.Cores, v.Accelerators) }

// team returns the task's team, or the empty string if it is unknown.
func (v *Victim) team() string {
	if v.Job == nil {
		return ""
	}
	return v.Job.Team
}

// TaskID identifies a task by its job and its index within the job.
type TaskID struct {
	Job   string
	Index int
}

// Waiting lists the tasks of a job that wait for a machine.
type Waiting struct {
	Job         *Job
	Indexes     []int
	Replacement bool // some of the tasks ran before
}

// first returns the first n waiting tasks.
func (w *Waiting) first(n int) *Waiting {
	return &Waiting{Job: w.Job, Indexes: w.Indexes[:n], Replacement: w.Replacement}
}

// after returns the waiting tasks after the first n.
func (w *Waiting) after(n int) *Waiting {
	return &Waiting{Job: w.Job, Indexes: w.Indexes[n:], Replacement: w.Replacement}
}

// Candidate is a placed task that repair should move, with the reason.
type Candidate struct {
	Job     *Job
	Index   int
	Machine string
	Reason  string
}

// task returns the candidate's identity.
func (c *Candidate) task() TaskID { return TaskID{c.Job.UID, c.Index} }

// Snapshot is the input of a plan. It is reused from plan to plan: after a machine
// has changed, Put updates the index. Make restores the snapshot before it returns.
type Snapshot struct {
	Machines   []*Machine
	Waiting    []Waiting
	Candidates []Candidate
	Quota      *quota.Ledger // usage, limits and guarantees of teams; nil for no quotas
	MaxMoves   int           // maximum number of moves in a plan; 0 for no limit
	SampleSize int           // number of machines to sample for a task; 0 for all
	Seed       uint64
	Preempt    bool // tasks may be preempted
	Now        clock.Micros
	// StarvationCredits is how many starved jobs may still go ahead of waiting work of higher
	// priority. Each such job uses one credit, and each placed task of that work restores one.
	StarvationCredits int
	// AvoidFailures keeps jobs on trial off machines on which tasks have failed: a
	// failure there says little about the job.
	AvoidFailures bool

	index           *index
	draft           *quota.Draft // the ledger with the changes of the plan being made
	withinGuarantee bool         // the tasks being placed are within their team's guarantee
	quotaBinding    bool         // some team has a limit or a guarantee
}

// Put adds a machine to the snapshot, or updates the index after the machine has changed.
func (s *Snapshot) Put(machine *Machine) {
	s.ensureIndex()
	s.index.put(machine)
}

// Machine returns the machine with the given name, or nil.
func (s *Snapshot) Machine(name string) *Machine {
	s.ensureIndex()
	return s.index.byName[name]
}

// Remove removes a machine from the snapshot.
func (s *Snapshot) Remove(name string) {
	if machine := s.Machine(name); machine != nil {
		s.index.remove(machine)
	}
}

// ensureIndex builds the index if there is none yet.
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
