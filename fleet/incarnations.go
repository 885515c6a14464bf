package fleet

import (
	"cedardoor/clock"
	"cedardoor/wire"
)

// Reports are ordered by the worker's incarnation, and within one by their
// sequence. When its lease expires, a worker kills all tasks and begins a new
// incarnation. A new worker process starts both counters over: late copies of the
// previous process's reports then look newer than its own, and only its response
// to a probe tells them apart.

// ReportProgress tracks the newest report of a machine.
type ReportProgress struct {
	Incarnation uint64
	Sequence    uint64
	Token       uint64 // highest fencing token that the worker has shown

	// supersededReports is the highest version that copies of a previous process's
	// reports may have, if a new process has started over; zero otherwise.
	supersededReports wire.ReportVersion
	// mixedIncarnations is set while adopted allocations may belong to an incarnation
	// before the worker's present one.
	mixedIncarnations bool
}

// ReportVersion returns the incarnation and sequence of the newest report.
func (p *ReportProgress) ReportVersion() wire.ReportVersion {
	return wire.ReportVersion{Incarnation: p.Incarnation, Sequence: p.Sequence}
}

// IsNewer reports whether a report with this incarnation and sequence is newer
// than all before.
func (p *ReportProgress) IsNewer(incarnation, sequence uint64) bool {
	return incarnation > p.Incarnation || incarnation == p.Incarnation && sequence > p.Sequence
}

// Restarted reports whether the worker is a new process whose report versions
// started over. Its heartbeats may stay ambiguous for long and get no commands
// meanwhile, so commands are sent to it directly.
func (p *ReportProgress) Restarted() bool { return p.supersededReports.Incarnation > 0 }

// ambiguous reports whether a heartbeat may be a copy from a previous process of
// the worker, although its version is higher than the present process's newest.
func (p *ReportProgress) ambiguous(report *wire.Heartbeat) bool {
	if !p.Restarted() {
		return false
	}
	superseded := p.supersededReports
	return report.Incarnation != p.Incarnation ||
		report.Incarnation == superseded.Incarnation && report.Sequence <= superseded.Sequence
}

// resetVersion records that a new process of the worker has started its report
// versions over. The previous process may have made up to unseen further reports
// that were never received.
func (p *ReportProgress) resetVersion(report *wire.Heartbeat, unseen uint64) {
	highest := wire.ReportVersion{Incarnation: p.Incarnation, Sequence: p.Sequence + unseen}
	if highest.Incarnation >= p.supersededReports.Incarnation {
		p.supersededReports = highest
	}
	p.Incarnation, p.Sequence, p.Token = report.Incarnation, 0, report.Token
}

// adoptIncarnation records the incarnation of an adopted attempt.
func (p *ReportProgress) adoptIncarnation(incarnation uint64) {
	if p.Incarnation > 0 && p.Incarnation != incarnation {
		p.mixedIncarnations = true
	}
	p.Incarnation = max(p.Incarnation, incarnation)
}

// maxUnseenReports returns how many reports a worker may have made in an
// incarnation after the last one that was received: two heartbeats a second until
// its lease expires without a response, and as many responses to commands and
// probes.
func (f *Fleet) maxUnseenReports() uint64 { return uint64(4 * f.lease / clock.Second) }

// endIncarnationsBefore removes a machine's allocations of incarnations before
// the given one, whose tasks the worker has killed.
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
