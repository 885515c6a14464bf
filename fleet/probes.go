package fleet

import (
	"cedardoor/clock"
	"cedardoor/wire"
)

// ProbeAnswered processes the report with which a worker answered a probe; known
// is the newest report version when the probe was sent. Unlike a heartbeat, the
// response cannot be a late copy, so a lower version proves that the worker is a
// new process.
func (f *Fleet) ProbeAnswered(now clock.Micros, known wire.ReportVersion, report *wire.Heartbeat) (events []Event) {
	machine := f.machines[report.Machine]
	if machine == nil {
		return nil
	}
	restarted := report.Incarnation < known.Incarnation ||
		report.Incarnation == known.Incarnation && report.Sequence <= known.Sequence
	if restarted {
		events = f.workerRestarted(machine, report, now)
	}
	reported, _ := f.Report(now, report, false)
	machine.LastHeartbeat = now
	if machine.Suspect {
		machine.Suspect = false
		f.MachineChanged(machine)
	}
	if restarted {
		f.heartbeatReceived(machine, now) // trusted once it shows this term's token, which fences old commands
	} else {
		f.trust(machine, now)
	}
	return append(events, reported...)
}

// workerRestarted handles a new worker process, whose report versions start over.
// The tasks of the previous process are gone, except those that a command still
// in flight might start in the new one.
func (f *Fleet) workerRestarted(machine *Machine, report *wire.Heartbeat, now clock.Micros) (events []Event) {
	machine.EachAllocation(func(allocation *Allocation) {
		if !allocation.mayArrive() {
			events = f.removeGone(events, allocation, now)
		}
	})
	machine.resetVersion(report, f.maxUnseenReports())
	machine.Images, machine.unchanged = map[string]bool{}, false
	machine.Reported = machine.Reported && report.Token >= f.firstToken
	machine.extendLease(now + f.lease)
	machine.EachAllocation(func(allocation *Allocation) {
		allocation.Incarnation, allocation.Status = report.Incarnation, ""
		allocation.reservation.MarkInDoubt()
	})
	f.MachineChanged(machine)
	return events
}
