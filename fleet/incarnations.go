package fleet

import (
	"cedardoor/clock"
	"cedardoor/wire"
)

// IsNewer tells whether (session, tally) is later than what is known of m.
func (m *Machine) IsNewer(session, tally uint64) bool {
	return session > m.Incarnation || session == m.Incarnation && tally > m.Sequence
}

// Restarted tells whether the worker is a process that began to count from the
// start. Its heartbeats may prove nothing for long, and get no orders then: what it is
// told goes to it directly.
func (m *Machine) Restarted() bool { return m.supersededReports.Incarnation > 0 }

// ambiguous tells whether a heartbeat may be a copy of what an earlier process of the
// worker reported, though it counts higher than the present one has: that began
// to count anew, so its sessions say nothing, and its tallies only once they are
// beyond all that the earlier one can have reached. A question tells.
func (m *Machine) ambiguous(report *wire.Heartbeat) bool {
	return m.Restarted() && (report.Incarnation != m.Incarnation || report.Incarnation == m.supersededReports.Incarnation && report.Sequence <= m.supersededReports.Sequence)
}

// ReportVersion is how far a machine's reports have come.
func (m *Machine) ReportVersion() wire.ReportVersion {
	return wire.ReportVersion{Incarnation: m.Incarnation, Sequence: m.Sequence}
}

// endIncarnationsBefore frees what was booked in sessions before the given one.
func (f *Fleet) endIncarnationsBefore(machine *Machine, session uint64, now clock.Micros) (events []Event) {
	machine.EachAllocation(func(allocation *Allocation) {
		if allocation.Incarnation >= session {
			return
		}
		f.Examined++
		if allocation.Live() {
			f.release(allocation, now)
			events = append(events, Event{Allocation: allocation, Gone: true})
		}
		f.Remove(allocation, now)
	})
	return events
}

// maxUnseenReports is how many reports a worker may have made in a session after the last
// one that was taken in: two a second for as long as its lease goes on without
// an answer, and as many answers to direct commands and questions.
func (f *Fleet) maxUnseenReports() uint64 { return uint64(4 * f.lease / clock.Second) }
