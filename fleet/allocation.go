package fleet

import (
	"cedardoor/clock"
	"cedardoor/quota"
	"cedardoor/wire"
)

// Allocation is one attempt of a task on a machine, from its reservation until
// the worker has forgotten it.
type Allocation struct {
	Task        TaskID
	Attempt     uint64
	Machine     *Machine
	Incarnation uint64 // the worker's, in which the attempt runs
	Team        string
	Owner       any // the leader's record of the task's job

	Requirements
	Progress
	StopRequest
	runDelivery
	tableSlot

	listed      bool               // in the task list that Report takes in; false outside of it
	reservation *quota.Reservation // of the team's limit, for as long as the attempt may exist
}

// Requirements is what an attempt needs of its machine, and how its job wants
// it treated.
type Requirements struct {
	Resources
	Image           string
	Priority        wire.Priority
	Preemptible     bool
	CheckpointGrace float64 // seconds to write a checkpoint when stopped
	Checkpoints     bool    // writes checkpoints while it runs

	// HeartbeatOnly attempts are sent only with answers to heartbeats. Such an
	// answer is void with the next heartbeat, so that no fencing is needed
	// before the result is forgotten; a machine with short tasks reports often.
	HeartbeatOnly bool
}

// Progress is how far an attempt has come.
type Progress struct {
	ReservedAt    clock.Micros
	Durable       bool            // recorded: its run may be sent
	Adopted       bool            // recorded by an earlier leader
	Status        wire.TaskStatus // as last reported; empty before the first report
	RunningSince  clock.Micros    // first seen running
	Ended         bool            // takes no room any more
	Cause         wire.Cause      // why it ended
	ResultDurable bool            // its end is recorded: the worker may forget it
}

// Live tells whether the attempt may be on its machine or may come to be.
func (p *Progress) Live() bool { return !p.Ended }

// reportedLive tells whether the last report shows the attempt on the machine
// and not ended.
func (p *Progress) reportedLive() bool { return p.Status != "" && p.Status != wire.TaskEnded }

// StopRequest is whether and how an attempt is to be stopped.
type StopRequest struct {
	Stopping        bool
	StopRequestedAt clock.Micros
	Grace           float64 // seconds from the request
	StopSent        bool    // the stop went out in a direct command
}

// requestStop asks for the end of the attempt.
func (s *StopRequest) requestStop(grace float64, now clock.Micros) {
	s.Stopping, s.StopRequestedAt, s.Grace = true, now, grace
}

// remainingGrace is what is left of the grace, in seconds.
func (s *StopRequest) remainingGrace(now clock.Micros) float64 {
	return max(0, s.Grace-(now-s.StopRequestedAt).Seconds())
}

// runDelivery is how far commands that start the attempt may be on their way.
type runDelivery struct {
	unfencedToken     uint64 // highest token of a direct command that may arrive, or arrive again; zero for none
	inFlight          int    // direct commands with the run that are in flight
	heartbeatSequence uint64 // highest sequence of a heartbeat whose answer carried the run
	firstSent         clock.Micros
}

// Sent tells when the run was first sent; zero if never.
func (d *runDelivery) Sent() clock.Micros { return d.firstSent }

// mayArrive tells whether a direct command with the run may still arrive at
// the worker.
func (d *runDelivery) mayArrive() bool { return d.unfencedToken > 0 || d.inFlight > 0 }

// answeredBefore tells whether the answer to a heartbeat that came before the one of
// this sequence carried the run.
func (d *runDelivery) answeredBefore(sequence uint64) bool {
	return d.heartbeatSequence > 0 && sequence > d.heartbeatSequence
}

// noteSent notes that the run is part of a command that is made now.
func (d *runDelivery) noteSent(now clock.Micros) {
	if d.firstSent == 0 {
		d.firstSent = now
	}
}

// amount is what the attempt takes of its team's limit.
func (a *Allocation) amount() quota.Amount { return quota.NewAmount(a.Cores, a.Accelerators) }

// Reservation is the attempt's part of its team's use.
func (a *Allocation) Reservation() *quota.Reservation { return a.reservation }

// key names the attempt on its machine.
func (a *Allocation) key() attemptKey { return attemptKey{a.Task, a.Attempt} }

// steady tells whether the leader has nothing to tell the worker about an
// attempt that its last report shows.
func (a *Allocation) steady() bool {
	// A result stays with the worker until a higher token has fenced the run.
	awaitsFencing := a.Status == wire.TaskEnded && a.unfencedToken > 0
	return a.Live() && !a.Stopping || awaitsFencing
}

// attemptKey names an attempt on a machine.
type attemptKey struct {
	task    TaskID
	attempt uint64
}

// tableSlot is an allocation's place in its machine's allocationTable.
type tableSlot struct {
	index   int
	removed bool
}

// allocationTable holds a machine's allocations in the order of their
// reservation, ended ones included until the worker has forgotten them.
type allocationTable struct {
	allocations []*Allocation
	byKey       map[attemptKey]*Allocation
	liveCount   int
}

// insert appends an allocation.
func (t *allocationTable) insert(allocation *Allocation) {
	allocation.tableSlot = tableSlot{index: len(t.allocations)}
	t.allocations = append(t.allocations, allocation)
	t.byKey[allocation.key()] = allocation
}

// delete takes an allocation out. The array goes with the last one.
func (t *allocationTable) delete(allocation *Allocation) {
	allocation.removed = true
	if key := allocation.key(); t.byKey[key] == allocation {
		delete(t.byKey, key)
	}
	last := len(t.allocations) - 1
	copy(t.allocations[allocation.index:], t.allocations[allocation.index+1:])
	t.allocations[last] = nil
	t.allocations = t.allocations[:last]
	for i := allocation.index; i < last; i++ {
		t.allocations[i].index = i
	}
	if last == 0 {
		t.allocations = nil
	}
}

// EachAllocation calls do for every allocation on the machine, oldest first. do
// may remove the allocation that it is given.
func (t *allocationTable) EachAllocation(do func(allocation *Allocation)) {
	for i := 0; i < len(t.allocations); {
		allocation := t.allocations[i]
		do(allocation)
		if i < len(t.allocations) && t.allocations[i] == allocation {
			i++
		}
	}
}

// AllocationCount is how many allocations the machine has, ended ones included.
func (t *allocationTable) AllocationCount() int { return len(t.allocations) }

// LiveCount is how many attempts may be on the machine.
func (t *allocationTable) LiveCount() int { return t.liveCount }

// endedCount is how many results the worker has still to forget.
func (t *allocationTable) endedCount() int { return len(t.allocations) - t.liveCount }
