package fleet

import (
	"cedardoor/clock"
	"cedardoor/quota"
	"cedardoor/wire"
)

// Allocation is an attempt of a task on a machine, from its reservation until
// the worker has forgotten it.
type Allocation struct {
	Task        TaskID
	Attempt     uint64
	Machine     *Machine
	Incarnation uint64 // of the worker, in which the attempt runs
	Team        string
	Owner       any // the leader's record of the task's job

	Requirements
	Progress
	StopRequest
	runDelivery
	tableSlot

	listed      bool               // in the task list that Report is processing; false otherwise
	reservation *quota.Reservation // against the team's limit, held while the attempt may exist
}

// Requirements is what an attempt needs of its machine, and how its job is to be
// scheduled and stopped.
type Requirements struct {
	Resources
	Image           string
	Priority        wire.Priority
	Preemptible     bool
	CheckpointGrace float64 // seconds to write a checkpoint when stopped
	Checkpoints     bool    // writes checkpoints while it runs

	// HeartbeatOnly attempts are started only in responses to heartbeats. Such a
	// response is void with the next heartbeat, so no fencing is needed before the
	// result is forgotten. A machine with short tasks reports often enough for this.
	HeartbeatOnly bool
}

// Progress is the state of an attempt.
type Progress struct {
	ReservedAt    clock.Micros
	Durable       bool            // recorded: its run may be sent
	Adopted       bool            // recorded by an earlier leader
	Status        wire.TaskStatus // as last reported; empty before the first report
	RunningSince  clock.Micros    // first seen running
	Ended         bool            // no longer uses resources
	Cause         wire.Cause      // why it ended
	ResultDurable bool            // its end is recorded: the worker may forget it
}

// Live reports whether the attempt may be on its machine, or may still be started
// there.
func (p *Progress) Live() bool { return !p.Ended }

// reportedLive reports whether the attempt was last reported as not ended.
func (p *Progress) reportedLive() bool { return p.Status != "" && p.Status != wire.TaskEnded }

// StopRequest records whether and how an attempt is to be stopped.
type StopRequest struct {
	Stopping        bool
	StopRequestedAt clock.Micros
	Grace           float64 // seconds that the task has to save a checkpoint
	StopSent        bool    // the stop was sent in a direct command

	savingSince clock.Micros // since when the task is known to save without interruption; zero if it is not
}

// requestStop requests the end of the attempt. A request with a shorter grace period replaces an
// earlier one and has to be sent again; any other is ignored. It reports whether the request counts.
func (s *StopRequest) requestStop(grace float64, now clock.Micros) bool {
	if s.Stopping && grace >= s.Grace {
		return false
	}
	s.Stopping, s.StopRequestedAt, s.Grace, s.StopSent = true, now, grace, false
	return true
}

// StoppingAtOnce reports whether the attempt is being stopped without a grace period.
func (s *StopRequest) StoppingAtOnce() bool { return s.Stopping && s.Grace == 0 }

// reportedSaving records a report that the task saves a checkpoint. After a silence of the machine
// the time to save begins again, since a machine that hangs does not save.
func (s *StopRequest) reportedSaving(afterSilence bool, now clock.Micros) {
	if s.savingSince == 0 || afterSilence {
		s.savingSince = now
	}
}

// remainingGrace returns the rest of the grace period, in seconds. The period begins when the task
// is known to save, since the command to stop it may arrive long after the request.
func (s *StopRequest) remainingGrace(now clock.Micros) float64 {
	if s.savingSince == 0 {
		return s.Grace
	}
	began := max(s.savingSince, s.StopRequestedAt)
	return max(0, s.Grace-(now-began).Seconds())
}

// runDelivery tracks the commands that may still start the attempt.
type runDelivery struct {
	unfencedToken     uint64 // highest token of a direct command that may arrive, or arrive again; zero if none
	inFlight          int    // direct commands in flight that carry the run
	heartbeatSequence uint64 // highest sequence of a heartbeat whose response carried the run
	firstSentAt       clock.Micros
}

// FirstSentAt returns when the run was first sent, or zero if it was not.
func (d *runDelivery) FirstSentAt() clock.Micros { return d.firstSentAt }

// mayArrive reports whether a direct command with the run may still arrive at
// the worker.
func (d *runDelivery) mayArrive() bool { return d.unfencedToken > 0 || d.inFlight > 0 }

// sentBefore reports whether the response to a heartbeat before the one with the
// given sequence carried the run.
func (d *runDelivery) sentBefore(sequence uint64) bool {
	return d.heartbeatSequence > 0 && sequence > d.heartbeatSequence
}

// markSent records that the run is part of a command that is built now.
func (d *runDelivery) markSent(now clock.Micros) {
	if d.firstSentAt == 0 {
		d.firstSentAt = now
	}
}

// amount returns what the attempt uses of its team's limit.
func (a *Allocation) amount() quota.Amount { return quota.NewAmount(a.Cores, a.Accelerators) }

// Reservation returns the attempt's reservation against its team's limit.
func (a *Allocation) Reservation() *quota.Reservation { return a.reservation }

// Departing reports whether the attempt may still be on its machine but is being stopped, by this
// leader or by an earlier one.
func (a *Allocation) Departing() bool {
	return a.Live() && (a.Stopping || a.Status == wire.TaskFlushing)
}

// key returns the attempt's key in the tables of its machine.
func (a *Allocation) key() attemptKey { return attemptKey{a.Task, a.Attempt} }

// steady reports whether an attempt that the last report lists needs no command.
func (a *Allocation) steady() bool {
	// A result stays with the worker until a higher token has fenced the run.
	awaitsFencing := a.Status == wire.TaskEnded && a.unfencedToken > 0
	return a.Live() && !a.Stopping || awaitsFencing
}

// attemptKey identifies an attempt on a machine.
type attemptKey struct {
	task    TaskID
	attempt uint64
}

// tableSlot is an allocation's position in its machine's allocationTable.
type tableSlot struct {
	index   int
	removed bool
}

// allocationTable holds a machine's allocations in the order of their
// reservation, including ended ones until the worker has forgotten them.
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

// delete removes an allocation. The last removal frees the array.
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
// may remove the allocation that it is called with.
func (t *allocationTable) EachAllocation(do func(allocation *Allocation)) {
	for i := 0; i < len(t.allocations); {
		allocation := t.allocations[i]
		do(allocation)
		if i < len(t.allocations) && t.allocations[i] == allocation {
			i++
		}
	}
}

// AllocationCount returns the number of allocations, including ended ones.
func (t *allocationTable) AllocationCount() int { return len(t.allocations) }

// LiveCount returns the number of attempts that may be on the machine.
func (t *allocationTable) LiveCount() int { return t.liveCount }

// endedCount returns the number of results that the worker has yet to forget.
func (t *allocationTable) endedCount() int { return len(t.allocations) - t.liveCount }
