package fleet

import "cedardoor/clock"

// A direct command may arrive late, or twice. The worker refuses it once it has
// seen a higher fencing token or is in a newer incarnation. Until then absence
// from a report does not prove that the attempt was never started, and the
// worker may not forget the result: it would take the command for a new run.

// maxUnforgottenResults is how many results may wait on one worker to be
// forgotten before a higher token is urgent: a report has 64 KiB, and each
// result takes some 60 bytes.
const maxUnforgottenResults = 300

// maxReportIntervals is for how many report intervals after its last heartbeat a
// worker counts as one that reports, which a higher token can reach.
const maxReportIntervals = 3

// unfencedRuns holds the attempts whose run may still arrive in a direct command.
type unfencedRuns struct {
	unanswered map[*Allocation]bool // the command had no answer: its first copy may be in flight
	answered   map[*Allocation]bool // the command had an answer: a further copy may be in flight
	overloaded bool                 // a report is getting long with results that wait to be fenced
}

func newUnfencedRuns() unfencedRuns {
	return unfencedRuns{unanswered: map[*Allocation]bool{}, answered: map[*Allocation]bool{}}
}

// mark notes that an attempt's run may still arrive in a direct command
// with a token up to this one.
func (u *unfencedRuns) mark(allocation *Allocation, token uint64, answered bool) {
	switch {
	case token == 0: // no command has this token
		u.fence(allocation)
		return
	case answered:
		u.answered[allocation] = true
	default:
		u.unanswered[allocation] = true
	}
	allocation.unfencedToken = token
}

// fence notes that no run of an attempt can arrive any more.
func (u *unfencedRuns) fence(allocation *Allocation) {
	allocation.unfencedToken = 0
	u.forget(allocation)
}

// forget drops an attempt that is removed.
func (u *unfencedRuns) forget(allocation *Allocation) {
	delete(u.unanswered, allocation)
	delete(u.answered, allocation)
}

// checkResults notes whether too many results wait on a machine.
func (u *unfencedRuns) checkResults(machine *Machine) {
	u.overloaded = u.overloaded || machine.endedCount() > maxUnforgottenResults
}

// TakeReportOverloaded tells whether a worker's report is getting long with
// results, once.
func (f *Fleet) TakeReportOverloaded() bool {
	was := f.unfenced.overloaded
	f.unfenced.overloaded = false
	return was
}

// ResultsAwaitFencing tells whether workers hold results that they may forget
// only once they have seen a token higher than this one.
func (f *Fleet) ResultsAwaitFencing(token uint64) bool {
	for allocation := range f.unfenced.answered {
		f.Examined++
		if allocation.Ended && allocation.unfencedToken >= token {
			return true
		}
	}
	return false
}

// UnfencedCount counts the attempts whose run may still arrive, with this token
// or a higher one, at a worker that reports.
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
