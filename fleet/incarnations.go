package fleet

import (
	"cedardoor/clock"
	"cedardoor/wire"
)

// Reports are ordered by the worker's incarnation, and within one by their
// sequence. A worker begins a new incarnation when its lease expires, and kills
// all that ran in the one before. A new process of the worker counts both from
// the start: copies of its predecessor's reports then look newer than its own,
// and only its answer to a probe tells them apart.

// ReportProgress is how far a machine's reports have come.
type ReportProgress struct {
	Incarnation uint64
	Sequence    uint64
	Token       uint64 // the highest fencing token that the worker has shown

	// supersededReports is how far copies of an earlier process's reports may go,
	// once the worker has counted anew; zero otherwise.
	supersededReports wire.ReportVersion
	// mixedIncarnations is set while adopted allocations may be of an incarnation
	// before the one that the worker is in.
	mixedIncarnations bool
}

// ReportVersion is the incarnation and sequence of the newest report.
func (p *ReportProgress) ReportVersion() wire.ReportVersion {
	return wire.ReportVersion{Incarnation: p.Incarnation, Sequence: p.Sequence}
}

// IsNewer tells whether a report with this incarnation and sequence is newer
// than all before.
func (p *ReportProgress) IsNewer(incarnation, sequence uint64) bool {
	return incarnation > p.Incarnation || incarnation == p.Incarnation && sequence > p.Sequence
}

// Restarted tells whether the worker is a process that counts its reports anew.
// Its heartbeats may be ambiguous for long and get no commands then, so that
// commands go to it directly.
func (p *ReportProgress) Restarted() bool { return p.supersededReports.Incarnation > 0 }

// ambiguous tells whether a heartbeat may be a copy of one that an earlier
// process of the worker made, though it counts higher than the present one has.
func (p *ReportProgress) ambiguous(report *wire.Heartbeat) bool {
	if !p.Restarted() {
		return false
	}
	superseded := p.supersededReports
	return report.Incarnation != p.Incarnation ||
		report.Incarnation == superseded.Incarnation && report.Sequence <= superseded.Sequence
}

// countAnew notes that a new process of the worker counts anew. Up to unseen
// reports of the earlier one were never taken in.
func (p *ReportProgress) countAnew(report *wire.Heartbeat, unseen uint64) {
	reached := wire.ReportVersion{Incarnation: p.Incarnation, Sequence: p.Sequence + unseen}
	if reached.Incarnation >= p.supersededReports.Incarnation {
		p.supersededReports = reached
	}
	p.Incarnation, p.Sequence, p.Token = report.Incarnation, 0, report.Token
}

// adoptIncarnation takes in the incarnation that an adopted attempt was recorded in.
func (p *ReportProgress) adoptIncarnation(incarnation uint64) {
	if p.Incarnation > 0 && p.Incarnation != incarnation {
		p.mixedIncarnations = true
	}
	p.Incarnation = max(p.Incarnation, incarnation)
}

// maxUnseenReports is how many reports a worker may have made in an incarnation
// after the last one that was taken in: two heartbeats a second for as long as its
// lease lasts without an answer, and as many answers to commands and probes.
func (f *Fleet) maxUnseenReports() uint64 { return uint64(4 * f.lease / clock.Second) }

// endIncarnationsBefore removes a machine's allocations of incarnations before
// the given one, which the worker has killed.
func (f *Fleet) endIncarnationsBefore(events []Event, machine *Machine, incarnation uint64, now clock.Micros) []Event {
	machine.EachAllocation(func(allocation *Allocation) {
		if allocation.Incarnation >= incarnation {
			return
		}
		f.Examined++
		events = f.removeGone(events, allocation, now)
	})
	return events
}
