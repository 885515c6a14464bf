// Package changefeed tracks up to which revision a leader knows the job changes that other nodes
// make. It does no I/O and has no lock: the leader's own lock guards it.
//
// The leader follows the changes by a watch, which waits without an error while the state service
// refuses this node. Jobs may then be cancelled while the leader keeps running them, so it tracks
// up to when it certainly knew all changes. Other controllers attest an outage only if they can
// list the cancellations since then, and after any interruption no task is started before the
// changes made in the meantime have been read.
package changefeed

import (
	"context"

	"cedardoor/clock"
	"cedardoor/jobs"
)

// Feed tracks a leader's reads of job changes.
type Feed struct {
	maxUnsynced clock.Micros

	knownRevision      uint64             // all changes up to it are known, by a read under the lease
	syncedInterruption uint64             // the last interruption after which changes were read
	processPauses      uint64             // pauses of this process
	readAt             clock.Micros       // when the last successful read of changes began
	leaseHeldSince     clock.Micros       // since when the leader's lease has been held continuously
	stopWatch          context.CancelFunc // cancels the waiting watch; nil if none waits
	// cancellationPending holds the jobs reported as cancelled, and when that was reported.
	cancellationPending map[*jobs.Job]clock.Micros
}

// New returns the Feed of a leader that may continue for maxUnsynced without reading changes.
func New(maxUnsynced clock.Micros) *Feed {
	return &Feed{maxUnsynced: maxUnsynced, cancellationPending: map[*jobs.Job]clock.Micros{}}
}

// MaxUnsynced returns how long a leader may continue without reading job changes.
func (f *Feed) MaxUnsynced() clock.Micros { return f.maxUnsynced }

// ProcessPauses returns how often this process has paused.
func (f *Feed) ProcessPauses() uint64 { return f.processPauses }

// ProcessPaused records a pause of this process.
func (f *Feed) ProcessPaused() { f.processPauses++ }

// KnownRevision returns the revision up to which all changes are known.
func (f *Feed) KnownRevision() uint64 { return f.knownRevision }

// Synced reports whether changes have been read since the given interruption, the latest one.
func (f *Feed) Synced(interruption uint64) bool { return f.syncedInterruption == interruption }

// Read is the state at the start of a read of job changes.
type Read struct {
	BeganAt      clock.Micros
	Interruption uint64 // the latest one
	LeaseHeld    bool
}

// Completed records that a read returned all changes up to a revision. The revision counts only if
// the lease is still held: then the changes include none by a successor, and none by a process that
// was started on another node after a successor had led there. It reports whether any pending
// cancellation was settled: the job is cancelled, or may run again.
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

// CancellationHinted records a report that a job is cancelled or about to be. The cancellation
// stays pending until a read that begins later completes.
func (f *Feed) CancellationHinted(job *jobs.Job, now clock.Micros) {
	job.CancellationPending = true
	f.cancellationPending[job] = now
}

// WatchBegan records that a watch waits for changes, and the function that cancels it.
func (f *Feed) WatchBegan(cancel context.CancelFunc) { f.stopWatch = cancel }

// WatchEnded records that no watch waits.
func (f *Feed) WatchEnded() { f.stopWatch = nil }

// Check cancels a waiting watch if changes may have been missed, so that they are read at once. It
// reports whether the leader should resign, because it has held the lease for so long without
// reading changes that cancelled tasks might not be stopped in time.
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
