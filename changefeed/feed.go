// Package changefeed tracks how fresh a leader's knowledge of the changes of jobs is that other
// nodes make. It does no I/O and has no lock: the leader's own lock guards it.
//
// The leader follows the changes by a watch, which waits without a word when the state service
// refuses this node: then jobs may be cancelled that it goes on running. So it keeps until when it
// surely knew everything. Others attest an outage only if they can name what was cancelled since,
// and after any interruption no run goes out before the changes made meanwhile have been read.
package changefeed

import (
	"context"

	"cedardoor/clock"
	"cedardoor/jobs"
)

// Feed is how fresh the leader's knowledge is.
type Feed struct {
	maxUnsynced clock.Micros

	knownRevision      uint64             // all changes up to it are known, as of a time when nobody else could lead
	syncedInterruption uint64             // the interruption after which changes were last read
	processPauses      uint64             // times at which this process had paused
	readAt             clock.Micros       // when the last read of changes that was answered began
	leaseHeldSince     clock.Micros       // since when the leader's lease has been held without a break
	stopWatch          context.CancelFunc // ends the watch that waits, nil when none does
	// cancellationPending are the jobs that are said to be cancelled, and when that was reported.
	cancellationPending map[*jobs.Job]clock.Micros
}

// New makes a Feed of a leader that may go on for so long without reading changes.
func New(maxUnsynced clock.Micros) *Feed {
	return &Feed{maxUnsynced: maxUnsynced, cancellationPending: map[*jobs.Job]clock.Micros{}}
}

// MaxUnsynced is how long a leader may go on that can't read the changes of jobs.
func (f *Feed) MaxUnsynced() clock.Micros { return f.maxUnsynced }

// ProcessPauses counts the times at which this process had paused.
func (f *Feed) ProcessPauses() uint64 { return f.processPauses }

// ProcessPaused notes that this process had paused.
func (f *Feed) ProcessPaused() { f.processPauses++ }

// KnownRevision is the revision up to which all changes are known.
func (f *Feed) KnownRevision() uint64 { return f.knownRevision }

// Synced tells whether the changes made during the given interruption, the last one, have been read.
func (f *Feed) Synced(interruption uint64) bool { return f.syncedInterruption == interruption }

// Read is a read of all changes of jobs.
type Read struct {
	BeganAt      clock.Micros
	Interruption uint64 // the last one as it began
	LeaseHeld    bool   // as it began
}

// Completed takes a read in that told all changes up to a revision. The revision counts only if the
// lease is held still: then no successor's change can be among them, and none of a process of
// another node that came after a successor there. It tells whether jobs that were said to be
// cancelled may run on, or are known to be.
func (f *Feed) Completed(read Read, revision uint64, leaseHeld bool) (changed bool) {
	f.readAt = max(f.readAt, read.BeganAt)
	if leaseHeld {
		f.knownRevision = max(f.knownRevision, revision)
	}
	if read.LeaseHeld {
		f.syncedInterruption = max(f.syncedInterruption, read.Interruption)
	}
	for job, reportedAt := range f.cancellationPending {
		if reportedAt < read.BeganAt || job.Cancelled {
			job.CancellationPending = false
			delete(f.cancellationPending, job)
			changed = true
		}
	}
	return changed
}

// CancellationHinted notes that a job is said to be cancelled, or about to be. It stays so until a
// read that begins later.
func (f *Feed) CancellationHinted(job *jobs.Job, now clock.Micros) {
	job.CancellationPending = true
	f.cancellationPending[job] = now
}

// WatchBegins notes the watch that waits for changes, which cancel ends.
func (f *Feed) WatchBegins(cancel context.CancelFunc) { f.stopWatch = cancel }

// WatchEnded notes that no watch waits.
func (f *Feed) WatchEnded() { f.stopWatch = nil }

// Check ends a watch that waits when changes may have been missed, so that they are read at once.
// It tells whether the leader should resign: it has held the lead without reading changes for so
// long that cancelled tasks may outstay their time.
func (f *Feed) Check(now, runningSince clock.Micros, interruption uint64, leaseHeld bool) (resign bool) {
	if !leaseHeld {
		f.leaseHeldSince = now
		return false
	}
	if f.stopWatch != nil && !f.Synced(interruption) {
		f.stopWatch()
	}
	return now-max(f.readAt, f.leaseHeldSince, runningSince) > f.maxUnsynced
}
