package fleet

import (
	"cedardoor/clock"
	"cedardoor/wire"
)

// ProbeAnswered takes in the report with which a worker answered a probe; known
// is how far its reports had come when it was asked. Unlike a heartbeat, the
// answer was surely made now, so that a lower count tells of a new process.
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
		f.heartbeatReceived(machine, now) // trusted once it shows the token, so that old commands are fenced
	} else {
		f.trust(machine, now)
	}
	return append(events, reported...)
}

// workerRestarted takes in that a worker is a new process that counts its
// reports anew. The tasks of its predecessor are gone, except those that a
// command still in flight might start in the new one.
func (f *Fleet) workerRestarted(machine *Machine, report *wire.Heartbeat, now clock.Micros) (events []Event) {
	machine.EachAllocation(func(allocation *Allocation) {
		if !allocation.mayArrive() {
			events = f.removeGone(events, allocation, now)
		}
	})
	machine.countAnew(report, f.maxUnseenReports())
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
