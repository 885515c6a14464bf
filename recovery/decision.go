// Package recovery is the part of leader failover that needs no other state of the leader: reading
// its predecessors' records, deciding what follows for each attempt from its record and from what
// its machine reports, and tracking the progress. Every new leader goes through it, whether one
// controller failed or all.
//
// No healthy attempt is stopped for lack of information, and no task gets another attempt before
// the previous one is proved absent. See docs/recovery.md.
package recovery

import "fmt"

// JobState is the state of a task's job according to the records.
type JobState uint8

// The states of a job.
const (
	// JobNotRead: its record has not been read yet.
	JobNotRead JobState = iota
	// JobActive: accepted and unfinished.
	JobActive
	// JobFinished: done or cancelled.
	JobFinished
	// JobUnreadable: its record can't be decoded.
	JobUnreadable
	// JobUnrecorded: it has no record, by a read under the leader's lease.
	JobUnrecorded

	jobStates
)

var jobStateNames = [...]string{JobNotRead: "not read", JobActive: "active", JobFinished: "over", JobUnreadable: "unreadable", JobUnrecorded: "unrecorded"}

// String names the state.
func (s JobState) String() string {
	if s < jobStates {
		return jobStateNames[s]
	}
	return fmt.Sprintf("JobState(%d)", uint8(s))
}

// AttemptState is the state of one attempt of a task according to the records.
type AttemptState uint8

// The states of an attempt on record.
const (
	// AttemptCurrent: it is the task's recorded attempt on this machine.
	AttemptCurrent AttemptState = iota
	// AttemptOther: the record names another attempt, or none.
	AttemptOther
	// AttemptUnreadable: the record that would name the attempt can't be decoded.
	AttemptUnreadable

	attemptStates
)

// Observation is what an attempt's machine has reported of it to this leader.
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
	// ObservedGone: the attempt is not on its machine and can't be started there any more: the
	// machine reports without it and refuses older commands, has a new incarnation, its lease
	// has expired, or the cloud has deleted it.
	ObservedGone

	observations
)

// Decision is what the leader does about an attempt.
type Decision uint8

// The decisions.
const (
	// Wait: do nothing before more is known. A recorded attempt keeps its allocation.
	Wait Decision = iota
	// LookUp: read its job before deciding. The attempt runs on meanwhile.
	LookUp
	// Continue: it runs on as recorded.
	Continue
	// Adopt: it runs on, and is recorded anew.
	Adopt
	// Retain: it runs on, its resources count as used, and operators are told of it.
	Retain
	// Stop: send the command to stop it.
	Stop
	// TakeResult: it has ended: record its result.
	TakeResult
	// StartAgain: it is proved absent, so the task may have its next attempt.
	StartAgain
	// Release: it is proved absent and not needed: free its resources.
	Release

	decisions
)

var decisionNames = [...]string{Wait: "wait", LookUp: "look up", Continue: "continue", Adopt: "adopt", Retain: "retain", Stop: "stop",
	TakeResult: "take result", StartAgain: "start again", Release: "release"}

// String names the decision.
func (d Decision) String() string {
	if d < decisions {
		return decisionNames[d]
	}
	return fmt.Sprintf("Decision(%d)", uint8(d))
}

// Case is everything that a decision depends on.
type Case struct {
	Job         JobState
	Attempt     AttemptState
	Observation Observation
}

// Decide returns what to do about an attempt. It is total: every case has a decision.
func Decide(c Case) Decision {
	switch c.Job {
	case JobActive:
		return decideActive(c.Attempt, c.Observation)
	case JobFinished:
		return decideFinished(c.Observation)
	case JobNotRead:
		return decideUnknown(LookUp, c.Observation)
	default:
		// Unreadable or unrecorded: whether the attempt is wanted can't be known, so it runs on.
		return decideUnknown(Retain, c.Observation)
	}
}

// decideActive decides on attempts of accepted, unfinished jobs.
func decideActive(attempt AttemptState, observation Observation) Decision {
	switch attempt {
	case AttemptCurrent:
		return decideCurrent(observation)
	case AttemptUnreadable:
		return decideUnreadable(observation)
	}
	// The task's recorded attempt is another one, and two must not run at once.
	if observation == ObservedRunning {
		return Stop
	}
	return decideUnneeded(observation)
}

// decideCurrent decides on attempts that are their tasks' recorded ones.
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

// decideUnreadable decides on attempts of tasks whose record can't be decoded: those that run go
// on. Tasks without one wait until every machine has reported or is gone.
func decideUnreadable(observation Observation) Decision {
	switch observation {
	case ObservedRunning:
		return Adopt
	case ObservedEnded:
		return TakeResult
	}
	return Wait
}

// decideFinished decides on attempts of jobs that are done or cancelled.
func decideFinished(observation Observation) Decision {
	if observation == ObservedRunning {
		return Stop
	}
	return decideUnneeded(observation)
}

// decideUnneeded decides on attempts that are not needed and don't run: they only have to be gone.
func decideUnneeded(observation Observation) Decision {
	if observation == ObservedEnded || observation == ObservedGone {
		return Release
	}
	return Wait
}

// decideUnknown decides on attempts of jobs whose state is not known, given the decision for those
// that run.
func decideUnknown(ifRunning Decision, observation Observation) Decision {
	if observation == ObservedRunning {
		return ifRunning
	}
	return decideUnneeded(observation)
}
