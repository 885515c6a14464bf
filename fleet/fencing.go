package fleet

import "cedardoor/clock"

// A direct command may arrive late, or twice. The worker rejects it once it has
// seen a higher fencing token or has begun a newer incarnation. Until then,
// absence from a report does not prove that the attempt was never started, and
// the worker must not forget the result: it would take the command for a new run.

// maxUnforgottenResults is how many results may wait on one worker to be
// forgotten before a higher token is urgent: a report is limited to 64 KiB, and
// each result takes about 60 bytes.
const maxUnforgottenResults = 300

// maxReportIntervals is for how many report intervals after its last heartbeat a
// worker counts as reporting, and so as reachable by a higher token.
const maxReportIntervals = 3

// unfencedRuns holds the attempts whose run may still arrive in a direct command.
type unfencedRuns struct {
	unanswered map[*Allocation]bool // the command was not answered: it may still be in flight
	answered   map[*Allocation]bool // the command was answered: a further copy may be in flight
	overloaded bool                 // a worker holds so many results that its report is getting too long
}

func newUnfencedRuns() unfencedRuns {
	return unfencedRuns{unanswered: map[*Allocation]bool{}, answered: map[*Allocation]bool{}}
}

// mark records that an attempt's run may still arrive in a direct command with a
// token up to the given one.
func (u *unfencedRuns) mark(allocation *Allocation, token uint64, answered bool) {
	switch {
	case token == 0: // no command has token zero
		u.fence(allocation)
		return
	case answered:
		u.answered[allocation] = true
	default:
		u.unanswered[allocation] = true
	}
	allocation.unfencedToken = token
}

// fence records that no run of an attempt can arrive any more.
func (u *unfencedRuns) fence(allocation *Allocation) {
	allocation.unfencedToken = 0
	u.forget(allocation)
}

// forget stops tracking an attempt.
func (u *unfencedRuns) forget(allocation *Allocation) {
	delete(u.unanswered, allocation)
	delete(u.answered, allocation)
}

// checkResults sets overloaded if too many results wait on a machine.
func (u *unfencedRuns) checkResults(machine *Machine) {
	u.overloaded = u.overloaded || machine.endedCount() > maxUnforgottenResults
}

// TakeReportOverloaded reports whether a worker's report is getting too long with
// results, and resets that state.
func (f *Fleet) TakeReportOverloaded() bool {
	overloaded := f.unfenced.overloaded
	f.unfenced.overloaded = false
	return overloaded
}

// ResultsAwaitFencing reports whether workers hold results that they may forget
// only once they have seen a token higher than the given one.
func (f *Fleet) ResultsAwaitFencing(token uint64) bool {
	for allocation := range f.unfenced.answered {
		f.Examined++
		if allocation.Ended && allocation.unfencedToken >= token {
			return true
		}
	}
	return false
}

// UnfencedCount returns the number of attempts whose run may still arrive, with
// the given token or a higher one, at a worker that reports.
func (f *Fleet) UnfencedCount(now clock.Micros, token uint64) (count int) {
	for allocation := range f.unfenced.unanswered {
		f.Examined++
		machine := allocation.Machine
		reports := machine.Reported && now-machine.LastHeartbeat <= maxReportIntervals*f.reportInterval
		if reports && allocation.unfencedToken >= token {
			count++
		}
	}
	return count
}
