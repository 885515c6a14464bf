package fleet

import (
	"cedardoor/clock"
	"cedardoor/quota"
	"cedardoor/wire"
)

// Allocation is one attempt of a task on a machine, from its reservation until
// the worker has forgotten it.
type Allocation struct {
	Task            TaskID
	Attempt         uint64
	Machine         *Machine
	Incarnation     uint64
	Team            string
	Cores           float64
	Accelerators    float64
	RAM             float64
	Image           string
	Priority        wire.Priority
	Preemptible     bool
	CheckpointGrace float64
	Checkpoints     bool
	ReservedAt      clock.Micros // reserved at
	Owner           any          // the leader's own record of the task's job

	// HeartbeatOnly: the run goes only with answers to heartbeats. Those die with the next
	// heartbeat, so that nothing need be fenced before results are forgotten, and a
	// machine that runs short tasks reports often anyway.
	HeartbeatOnly bool

	Durable         bool         // durable: may be sent
	Adopted         bool         // recorded by a predecessor
	Status          string       // as last reported; empty before the first report
	RunningSince    clock.Micros // first seen running
	Stopping        bool         // is to be stopped
	StopRequestedAt clock.Micros
	Grace           float64
	Ended           bool // has exited; takes no room any more
	Cause           string
	ResultDurable   bool // the result is durable: the worker may forget

	unfencedToken     uint64 // highest token of a /do run that may arrive, or arrive again
	inFlight          int    // /do requests with this run now in flight
	heartbeatSequence uint64 // highest tally of a heartbeat whose answer carried the run
	firstSent         clock.Micros
	index             int  // its index in the machine's list
	removed           bool // no longer in the list

	StopSent bool // its halt was sent directly once

	reservation *quota.Reservation // of its team's limit, as long as it may exist
}

// amount is what the attempt takes of its team's limit.
func (b *Allocation) amount() quota.Amount { return quota.NewAmount(b.Cores, b.Accelerators) }

// Reservation is the attempt's part of its team's use.
func (b *Allocation) Reservation() *quota.Reservation { return b.reservation }

// Sent tells when the run was first sent; zero if never.
func (b *Allocation) Sent() clock.Micros { return b.firstSent }

// Live tells whether the task may be on its machine or may come to be.
func (b *Allocation) Live() bool { return !b.Ended }

// mayArrive tells whether a run of this attempt may still arrive at the worker.
func (b *Allocation) mayArrive() bool { return b.unfencedToken > 0 || b.inFlight > 0 }

// attemptKey names an attempt on a machine.
type attemptKey struct {
	task    TaskID
	attempt uint64
}
