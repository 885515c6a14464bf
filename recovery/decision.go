// Package recovery is what a new leader does with what its predecessors left: it reads
// the records, sets what workers report against them, and says what follows for each
// attempt. Every leader passes through it, whether one controller was lost or all.
//
// Nothing healthy is stopped for want of information, and nothing is started a second
// time before its absence is proved. See docs/recovery.md.
package recovery

import "fmt"

// JobState is what the records say of a task's job.
type JobState uint8

// The states of a job.
const (
	// JobNotRead: nothing has been read of it yet.
	JobNotRead JobState = iota
	// JobActive: accepted and unfinished.
	JobActive
	// JobOver: done or cancelled.
	JobOver
	// JobUnreadable: there is a record of it that can't be decoded.
	JobUnreadable
	// JobUnrecorded: there is no record of it, by a read under the leader's lease.
	JobUnrecorded

	jobStates
)

var jobStateNames = [...]string{JobNotRead: "not read", JobActive: "active", JobOver: "over", JobUnreadable: "unreadable", JobUnrecorded: "unrecorded"}

// String names the state.
func (s JobState) String() string {
	if s < jobStates {
		return jobStateNames[s]
	}
	return fmt.Sprintf("JobState(%d)", uint8(s))
}

// AttemptState is what the records say of one attempt of a task.
type AttemptState uint8

// The states of an attempt on record.
const (
	// AttemptCurrent: it is the task's recorded attempt on this machine.
	AttemptCurrent AttemptState = iota
	// AttemptOther: the record can be read and names another attempt, or none.
	AttemptOther
	// AttemptUnreadable: the record that would name it can't be decoded.
	AttemptUnreadable

	attemptStates
)

// Sign is what a machine has shown of an attempt under this leader.
type Sign uint8

// The signs.
const (
	// SignNone: the machine has not been heard.
	SignNone Sign = iota
	// SignRunning: a report shows the attempt, and it has not ended.
	SignRunning
	// SignEnded: a report shows that it has ended.
	SignEnded
	// SignAbsent: reports don't show it, but a command to start it may still arrive.
	SignAbsent
	// SignGone: it can't be on its machine any more, nor come there: the machine reports
	// without it and refuses older commands, has begun a new session, its lease is over,
	// or the cloud has deleted it.
	SignGone

	signs
)

// Decision is what follows for an attempt.
type Decision uint8

// The decisions.
const (
	// Wait: nothing is done before more is known. A recorded attempt keeps its room.
	Wait Decision = iota
	// LookUp: its job is read before anything is decided; it is left alone meanwhile.
	LookUp
	// Continue: it goes on as recorded.
	Continue
	// Adopt: it goes on, and is recorded anew.
	Adopt
	// Retain: it is left alone, its machine's room counts as used, operators are shown it.
	Retain
	// Stop: it is told to stop.
	Stop
	// TakeResult: it has ended, which is recorded.
	TakeResult
	// StartAgain: its absence is proved, so the task may have its next attempt.
	StartAgain
	// Release: nothing of it is left and nothing follows: its room is free.
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

// Case is all that a decision depends on.
type Case struct {
	Job     JobState
	Attempt AttemptState
	Sign    Sign
}

// Decide tells what follows for an attempt. It is total: every case has a decision.
func Decide(c Case) Decision {
	switch c.Job {
	case JobActive:
		return decideActive(c.Attempt, c.Sign)
	case JobOver:
		return decideOver(c.Sign)
	case JobNotRead:
		return unlessNothingIsLeft(LookUp, c.Sign)
	default:
		// Unreadable or unrecorded: nobody knows whether it is wanted, so it is left alone.
		return unlessNothingIsLeft(Retain, c.Sign)
	}
}

// decideActive is for attempts of jobs that are accepted and unfinished.
func decideActive(attempt AttemptState, sign Sign) Decision {
	switch attempt {
	case AttemptCurrent:
		return decideCurrent(sign)
	case AttemptUnreadable:
		return decideUnreadable(sign)
	}
	// The task's recorded attempt is another one: two of them must not run.
	if sign == SignRunning {
		return Stop
	}
	return nothingFollows(sign)
}

func decideCurrent(sign Sign) Decision {
	switch sign {
	case SignRunning:
		return Continue
	case SignEnded:
		return TakeResult
	case SignGone:
		return StartAgain
	}
	return Wait
}

// decideUnreadable is for tasks whose record can't be decoded: what runs goes on, and what is
// not seen waits until every machine is accounted for (see Horizon).
func decideUnreadable(sign Sign) Decision {
	switch sign {
	case SignRunning:
		return Adopt
	case SignEnded:
		return TakeResult
	}
	return Wait
}

// decideOver is for attempts of jobs that are done or cancelled.
func decideOver(sign Sign) Decision {
	if sign == SignRunning {
		return Stop
	}
	return nothingFollows(sign)
}

// nothingFollows is for attempts that nobody needs: they only have to be gone.
func nothingFollows(sign Sign) Decision {
	if sign == SignEnded || sign == SignGone {
		return Release
	}
	return Wait
}

// unlessNothingIsLeft gives the decision for an attempt that runs.
func unlessNothingIsLeft(running Decision, sign Sign) Decision {
	if sign == SignRunning {
		return running
	}
	return nothingFollows(sign)
}
