package detector

import (
	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/wire"
)

const (
	// isolationReports is how many report intervals without any heartbeat make a leader conclude
	// that it is cut off from the workers.
	isolationReports = 3
	// isolationSlack and reliableSlack allow for delayed heartbeats.
	isolationSlack = 1 * clock.Second
	reliableSlack  = 2 * clock.Second
	// ReliableReporters is how many reporting machines let a leader conclude sooner that it is cut
	// off: each of them reports within five quarters of an interval, so one interval without any
	// heartbeat is no coincidence, and every second of delay uses up the leases of all.
	ReliableReporters = 10
	// minReporters is how many machines must be expected to report for their silence to indicate
	// a fault of this controller.
	minReporters = 2
	// minNotAcknowledging is how many machines must fail to acknowledge commands for that to
	// indicate a fault of this controller.
	minNotAcknowledging = 3
)

// maxReportInterval returns the time within which each machine reports again.
func (d *Detector) maxReportInterval() clock.Micros { return d.ReportInterval + d.ReportInterval/4 }

// silence returns how long no worker has reported, counted from the start of the term or the end of
// the last pause at the earliest.
func (d *Detector) silence(now clock.Micros) clock.Micros {
	return now - max(d.lastHeartbeat, d.TermStart, d.runningSince)
}

// maxSilence returns how long no heartbeat may arrive before the leader resigns. It is shorter if
// many machines report, but not before the first heartbeat of a term or after a pause: until then,
// the workers may have yet to find the leader.
func (d *Detector) maxSilence() clock.Micros {
	if d.Fleet.ReportingCount() >= ReliableReporters && d.lastHeartbeat > max(d.TermStart, d.runningSince) {
		return d.maxReportInterval() + reliableSlack
	}
	return isolationReports*d.ReportInterval + isolationSlack
}

// IsolatedFromWorkers reports whether all workers have fallen silent at once. The fault is then in
// this controller's network, and a leader about to resign should not rent replacements.
func (d *Detector) IsolatedFromWorkers(now clock.Micros) bool {
	silence := d.silence(now)
	switch n := d.Fleet.ReportingCount(); {
	case n == 0:
		return len(d.awaited) >= minReporters && silence > d.ReportInterval // no worker has found this new leader
	case n >= ReliableReporters:
		return silence > d.maxReportInterval()
	default:
		return n >= minReporters && silence > 2*d.ReportInterval
	}
}

// Isolation holds the reasons for a leader to resign: this node may be cut off from the workers
// while another is not. If no node reaches them, leadership rotates, which is harmless.
type Isolation struct {
	Silent           bool // no worker reports any more
	NotAcknowledging int  // machines that do not acknowledge commands, if they are the majority; otherwise zero
}

// Isolation checks whether the workers report and acknowledge commands.
func (d *Detector) Isolation(now clock.Micros) (isolation Isolation) {
	isolation.Silent = d.Fleet.Len() >= minReporters && d.silence(now) > d.maxSilence() && d.expectedReporters() >= minReporters
	if d.notAcknowledging >= minNotAcknowledging && 2*d.notAcknowledging > d.Fleet.Len() {
		isolation.NotAcknowledging = d.notAcknowledging
	}
	return isolation
}

// expectedReporters returns the number of machines that should be reporting.
func (d *Detector) expectedReporters() (n int) {
	d.Fleet.EachMachine(func(machine *fleet.Machine) {
		if machine.Reported || machine.AllocationCount() > 0 || machine.CloudStatus == wire.MachineRunning {
			n++
		}
	})
	return n
}
