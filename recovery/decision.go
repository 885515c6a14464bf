// Package recovery implements the part of leader failover that needs no other state of the leader.
// It reads the predecessors' records, decides what to do about each attempt from its record and its
// machine's reports, and tracks the progress. Every new leader runs recovery, whether one controller
// failed or all of them.
//
// A healthy attempt is never stopped for lack of information, and a task gets its next attempt only
// after the previous one is proved absent. See docs/recovery.md.
package recovery

import "fmt"

// JobState is the state of a job according to the records.
type JobState uint8

// The states of a job.
const (
	// JobNotRead: the job's record has not been read yet.
	JobNotRead JobState = iota
	// JobActive: the job is accepted and unfinished.
	JobActive
	// JobFinished: the job is done or cancelled.
	JobFinished
	// JobUnreadable: the job's record can't be decoded or is invalid.
	JobUnreadable
	// JobUnrecorded: a read under the leader's lease found no record of the job.
	JobUnrecorded

	numJobStates
)

var jobStateNames = [...]string{JobNotRead: "not read", JobActive: "active", JobFinished: "over", JobUnreadable: "unreadable", JobUnrecorded: "unrecorded"}

// String returns the name of the state.
func (s JobState) String() string {
	if s < numJobStates {
		return jobStateNames[s]
	}
	return fmt.Sprintf("JobState(%d)", uint8(s))
}

// AttemptState is the state of one attempt of a task according to the records.
type AttemptState uint8

// The states of an attempt.
const (
	// AttemptCurrent: the record names this attempt, on this machine.
	AttemptCurrent AttemptState = iota
	// AttemptOther: the record names another attempt, or none.
	AttemptOther
	// AttemptUnreadable: the record that would name the attempt can't be decoded.
	AttemptUnreadable

	numAttemptStates
)

// Observation is what an attempt's machine has reported about it to this leader.
type Observation uint8

// The observations.
const (
	// ObservedNothing: the machine has not reported.
	ObservedNothing Observation = iota
	// ObservedRunning: a report lists the attempt as not ended.
	ObservedRunning
	// ObservedEnded: a report lists the attempt as ended.
	ObservedEnded
	// ObservedAbsent: reports don't list the attempt, but a command to start it may still arrive.
	ObservedAbsent
	// ObservedGone: the attempt is not on its machine and can't be started there any more. Either
	// the machine's reports don't list it and the machine refuses older commands, or the machine
	// has a new incarnation, its lease has expired, or the cloud has deleted it.
	ObservedGone

	numObservations
)

// Decision is what the leader does about an attempt.
type Decision uint8

// The decisions.
const (
	// Wait: do nothing until more is known. A recorded attempt keeps its allocation.
	Wait Decision = iota
	// LookUp: read the attempt's job before deciding. The attempt keeps running meanwhile.
	LookUp
	// Continue: let the attempt run as recorded.
	Continue
	// Adopt: let the attempt run and write a new record of it.
	Adopt
	// Retain: let the attempt run, count its resources as used and report it to operators.
	Retain
	// Stop: send the command to stop the attempt.
	Stop
	// TakeResult: the attempt has ended, so record its result.
	TakeResult
	// StartAgain: the attempt is proved absent, so the task may get its next attempt.
	StartAgain
	// Release: the attempt is not needed and has ended or is proved absent, so free its resources.
	Release

	numDecisions
)

var decisionNames = [...]string{Wait: "wait", LookUp: "look up", Continue: "continue", Adopt: "adopt", Retain: "retain", Stop: "stop",
	TakeResult: "take result", StartAgain: "start again", Release: "release"}

// String returns the name of the decision.
func (d Decision) String() string {
	if d < numDecisions {
		return decisionNames[d]
	}
	return fmt.Sprintf("Decision(%d)", uint8(d))
}

// Case holds everything that a decision depends on.
type Case struct {
	Job         JobState
	Attempt     AttemptState
	Observation Observation
}

// Decide returns what to do about an attempt. Every case has a decision.
func Decide(c Case) Decision {
	switch c.Job {
	case JobActive:
		return decideActive(c.Attempt, c.Observation)
	case JobFinished:
		return decideFinished(c.Observation)
	case JobNotRead:
		return decideUnknown(LookUp, c.Observation)
	default:
		// The job is unreadable or unrecorded: the attempt may be needed, so it keeps running.
		return decideUnknown(Retain, c.Observation)
	}
}

// decideActive decides about an attempt of an accepted, unfinished job.
func decideActive(attempt AttemptState, observation Observation) Decision {
	switch attempt {
	case AttemptCurrent:
		return decideCurrent(observation)
	case AttemptUnreadable:
		return decideUnreadable(observation)
	}
	// The record does not name this attempt, and two attempts of a task must not run at once.
	if observation == ObservedRunning {
		return Stop
	}
	return decideUnneeded(observation)
}

// decideCurrent decides about an attempt that its task's record names.
func decideCurrent(observation Observation) Decision {
	switch observation {
	case ObservedRunning:
		return Continue
	case ObservedEnded:
		return TakeResult
	case ObservedGone:
		return StartAgain
	}
	return Wait
}

// decideUnreadable decides about an attempt of a task whose record can't be decoded: a running
// attempt keeps running. A task without one waits until every machine has reported or is gone.
func decideUnreadable(observation Observation) Decision {
	switch observation {
	case ObservedRunning:
		return Adopt
	case ObservedEnded:
		return TakeResult
	}
	return Wait
}

// decideFinished decides about an attempt of a job that is done or cancelled.
func decideFinished(observation Observation) Decision {
	if observation == ObservedRunning {
		return Stop
	}
	return decideUnneeded(observation)
}

// decideUnneeded decides about an attempt that is not needed and not reported as running: once it
// has ended or is proved absent, its resources are freed.
func decideUnneeded(observation Observation) Decision {
	if observation == ObservedEnded || observation == ObservedGone {
		return Release
	}
	return Wait
}

// decideUnknown decides about an attempt of a job whose state is unknown. A running attempt gets
// the given decision.
func decideUnknown(ifRunning Decision, observation Observation) Decision {
	if observation == ObservedRunning {
		return ifRunning
	}
	return decideUnneeded(observation)
}
