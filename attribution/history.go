package attribution

import "cedardoor/clock"

// History is the record of a job's failures and successes that shows whether the job is at fault.
// The zero value is the history of a job that has not failed.
//
// A task may fail because its machine is at fault, or because the job was submitted with a
// mistake and fails everywhere. A single failure does not show which: neither the job nor the
// machine is blamed until the job's results on other machines show which of them is at fault.
type History struct {
	succeeded            bool           // a task was done, or has run for longer than those that failed
	failing              bool           // tasks failed on several machines and succeeded on none
	restoredAsSuspect    bool           // all attempts under an earlier leader ended without a result
	failuresByMachine    map[string]int // number of failures by machine name
	lastFailureOrTrialAt clock.Micros
	longestFailedRun     clock.Micros // longest run of a task that failed
	nextTrialAt          clock.Micros // earliest time of the next trial
	trials               int
	avoided              []string // machines in the planner's Avoid set, oldest first
}

// OnTrial reports whether the job has failed and has not yet succeeded.
func (h *History) OnTrial() bool {
	return !h.succeeded && (h.restoredAsSuspect || len(h.failuresByMachine) > 0)
}

// Failing reports whether the job's tasks failed on several machines and succeeded on none.
func (h *History) Failing() bool { return h.failing }

// EachFailedMachine calls do for every machine on which a task of the job has failed.
func (h *History) EachFailedMachine(do func(machine string)) {
	for machine := range h.failuresByMachine {
		do(machine)
	}
}

// Restore initializes the history of a job that an earlier leader recorded: whether a task of the
// job was done, and whether all of its attempts ended without a result.
func (h *History) Restore(succeeded, allAttemptsEnded bool) {
	h.succeeded, h.restoredAsSuspect = succeeded, allAttemptsEnded
}

// MarkSucceeded records that a task of the job was done.
func (h *History) MarkSucceeded() { h.succeeded = true }

// MayStartTrial reports whether a job on trial may start another task now. While tasks are placed, the
// job waits until trialGap has passed since the last failure or trial.
func (h *History) MayStartTrial(now clock.Micros, placed int) bool {
	return now >= h.nextTrialAt && (placed <= 0 || now-h.lastFailureOrTrialAt >= trialGap)
}

// TrialStarted records that a task of a job on trial was placed.
func (h *History) TrialStarted(now clock.Micros) {
	h.trials++
	h.lastFailureOrTrialAt = now
	h.nextTrialAt = now + h.trialInterval()
}

// trialInterval returns the minimum time from one trial to the next. It is short at first, while few
// machines have been tried, and doubles with each of the first four trials. It is longer once the job
// counts as failing.
func (h *History) trialInterval() clock.Micros {
	if !h.failing {
		return clock.Second << min(h.trials, 4)
	}
	return min(maxTrialInterval, trialGap<<min(h.trials, 4))
}
