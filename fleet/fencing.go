package fleet

import (
	"cedardoor/clock"
)

// setUnfenced notes up to which token a run of b may still arrive at its worker,
// for the first time (open) or once more; zero when none can.
func (f *Fleet) setUnfenced(allocation *Allocation, token uint64, open bool) {
	allocation.unfencedToken = token
	if token > 0 && open {
		f.unfenced[allocation] = true
	} else if token > 0 {
		f.repeatable[allocation] = true
	} else {
		delete(f.unfenced, allocation)
		delete(f.repeatable, allocation)
	}
}

// maxUnforgottenResults is how many results may wait on one worker to be forgotten before a
// higher token is pressing: a report has 64 KiB, and each takes some 60 bytes.
const maxUnforgottenResults = 300

// TakeReportOverloaded tells whether some worker's report is getting long, once.
func (f *Fleet) TakeReportOverloaded() bool {
	was := f.reportOverloaded
	f.reportOverloaded = false
	return was
}

// ResultsAwaitFencing tells whether results wait on workers for a higher token than this
// to be forgotten.
func (f *Fleet) ResultsAwaitFencing(token uint64) bool {
	for allocation := range f.repeatable {
		f.Examined++
		if allocation.Ended && allocation.unfencedToken >= token {
			return true
		}
	}
	return false
}

// UnfencedCount counts bookings with a run that may still arrive at workers that do report.
func (f *Fleet) UnfencedCount(now clock.Micros, token uint64) int {
	n := 0
	for allocation := range f.unfenced {
		f.Examined++
		if machine := allocation.Machine; allocation.unfencedToken >= token && machine.Reported && now-machine.LastHeartbeat <= 3*f.reportInterval {
			n++
		}
	}
	return n
}
