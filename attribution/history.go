package attribution

import "cedardoor/clock"

// History is what the failures of a job's tasks tell of it. The zero value is the history of a
// job that has not failed.
//
// A task may fail because its machine is at fault, or because the job was submitted with a
// mistake and fails everywhere: one failure looks like the other. Neither is judged by a failure
// until the job has shown, elsewhere, which of them it is.
type History struct {
	succeeded        bool           // a task of it was done, or has run on longer than those that failed
	failing          bool           // its tasks failed on several machines and succeeded on none
	suspectAtStart   bool           // a predecessor's attempts of it all ended without a result
	byMachine        map[string]int // failures by machine
	lastFailureAt    clock.Micros
	longestFailedRun clock.Micros // the longest that a task ran before it failed
	nextTrialAt      clock.Micros // the next task is tried then
	trials           int
	avoided          []string // machines that the job failed on lately, oldest first
}

// OnTrial tells whether the job has failed and never yet succeeded.
func (h *History) OnTrial() bool {
	return !h.succeeded && (h.suspectAtStart || len(h.byMachine) > 0)
}

// Failing tells whether the job's tasks failed on several machines and succeeded on none.
func (h *History) Failing() bool { return h.failing }

// FailedOn calls do for every machine on which a task of the job has failed.
func (h *History) FailedOn(do func(machine string)) {
	for machine := range h.byMachine {
		do(machine)
	}
}

// Restore begins the history of a job that a predecessor knew: whether a task of it was done, and
// whether all of its attempts ended without a result.
func (h *History) Restore(succeeded, allAttemptsEnded bool) {
	h.succeeded, h.suspectAtStart = succeeded, allAttemptsEnded
}

// Succeeded notes that a task of the job was done.
func (h *History) Succeeded() { h.succeeded = true }

// MayTry tells whether a job on trial may try a task now: once the tasks that are placed have
// shown what they come to, or have taken long to.
func (h *History) MayTry(now clock.Micros, placed int) bool {
	return now >= h.nextTrialAt && (placed <= 0 || now-h.lastFailureAt >= trialGap)
}

// TrialStarted notes that a task of a job on trial was placed.
func (h *History) TrialStarted(now clock.Micros) {
	h.trials++
	h.lastFailureAt = now
	h.nextTrialAt = now + h.trialInterval()
}

// trialInterval is how long after one trial the next may go: soon while few machines have been
// tried, ever more slowly once the job looks as if it were at fault.
func (h *History) trialInterval() clock.Micros {
	if !h.failing {
		return clock.Second << min(h.trials, 4)
	}
	return min(maxTrialInterval, trialGap<<min(h.trials, 4))
}
