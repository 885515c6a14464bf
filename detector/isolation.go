package detector

import (
	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/wire"
)

const (
	// isolationReports is how many report intervals without any heartbeat make a leader believe
	// that it is cut off from the workers.
	isolationReports = 3
	// isolationSlack and reliableSlack are added for heartbeats that take their time.
	isolationSlack = 1 * clock.Second
	reliableSlack  = 2 * clock.Second
	// ReliableReporters is how many machines make that sure sooner: each of them reports within
	// five quarters of an interval, so one interval without any heartbeat is no chance, and every
	// second counts against the leases of all.
	ReliableReporters = 10
	// minReporters is how many machines must be expected to report for their silence to say
	// anything of this controller.
	minReporters = 2
	// minNotAcknowledging is how many machines must not acknowledge commands for that to say
	// anything of this controller.
	minNotAcknowledging = 3
)

// nextReport is by when each machine reports again.
func (d *Detector) nextReport() clock.Micros { return d.ReportInterval + d.ReportInterval/4 }

// silence is for how long no worker reported that should have.
func (d *Detector) silence(now clock.Micros) clock.Micros {
	return now - max(d.lastHeartbeat, d.Since, d.runningSince)
}

// maxSilence is how long no heartbeat may come before the leader resigns. A new leader waits
// longer, since its workers have yet to find it.
func (d *Detector) maxSilence() clock.Micros {
	if d.Fleet.ReportingCount() >= ReliableReporters && d.lastHeartbeat > max(d.Since, d.runningSince) {
		return d.nextReport() + reliableSlack
	}
	return isolationReports*d.ReportInterval + isolationSlack
}

// IsolatedFromWorkers tells whether all workers have fallen silent at once: that is this
// controller's network, and nothing is rented in their stead by one that is about to resign.
func (d *Detector) IsolatedFromWorkers(now clock.Micros) bool {
	silence := d.silence(now)
	switch n := d.Fleet.ReportingCount(); {
	case n == 0:
		return len(d.awaited) >= minReporters && silence > d.ReportInterval // nor did any find this new leader
	case n >= ReliableReporters:
		return silence > d.nextReport()
	default:
		return n >= minReporters && silence > 2*d.ReportInterval
	}
}

// Isolation is why a leader should resign: this node may be cut off from the workers while another
// is not. If nobody reaches them, leadership goes round, which harms nothing.
type Isolation struct {
	Silent           bool // no worker at all reports any more
	NotAcknowledging int  // machines that do not acknowledge commands, where these are most
}

// Isolation looks whether the workers report and acknowledge commands.
func (d *Detector) Isolation(now clock.Micros) (isolation Isolation) {
	isolation.Silent = d.Fleet.Len() >= minReporters && d.silence(now) > d.maxSilence() && d.expectedReporters() >= minReporters
	if d.notAcknowledging >= minNotAcknowledging && 2*d.notAcknowledging > d.Fleet.Len() {
		isolation.NotAcknowledging = d.notAcknowledging
	}
	return isolation
}

// expectedReporters counts the machines that ought to report.
func (d *Detector) expectedReporters() (n int) {
	d.Fleet.EachMachine(func(machine *fleet.Machine) {
		if machine.Reported || machine.AllocationCount() > 0 || machine.CloudStatus == wire.MachineRunning {
			n++
		}
	})
	return n
}
