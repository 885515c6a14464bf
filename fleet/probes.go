package fleet

import (
	"cedardoor/clock"
	"cedardoor/wire"
)

// ProbeAnswered takes in the report with which a worker answered a question, asked
// when its reports had come as far as known. Unlike a heartbeat it is surely of now. A worker that names an
// older session or tally than it did before the question is a new process:
// its predecessor's tasks are gone with it, except those that a copy of a run,
// still on its way, might start in the new one.
func (f *Fleet) ProbeAnswered(now clock.Micros, known wire.ReportVersion, report *wire.Heartbeat) (events []Event) {
	machine := f.machines[report.Machine]
	if machine == nil {
		return nil
	}
	anew := report.Incarnation < known.Incarnation || report.Incarnation == known.Incarnation && report.Sequence <= known.Sequence
	if anew {
		machine.EachAllocation(func(allocation *Allocation) {
			if allocation.mayArrive() {
				return
			}
			if allocation.Live() {
				f.release(allocation, now)
				events = append(events, Event{Allocation: allocation, Gone: true})
			}
			f.Remove(allocation, now)
		})
		if reached := (wire.ReportVersion{Incarnation: machine.Incarnation, Sequence: machine.Sequence + f.maxUnseenReports()}); reached.Incarnation >= machine.supersededReports.Incarnation {
			machine.supersededReports = reached
		}
		machine.Incarnation, machine.Sequence, machine.Token = report.Incarnation, 0, report.Token
		machine.Images, machine.unchanged = map[string]bool{}, false
		machine.Reported = machine.Reported && report.Token >= f.firstToken
		machine.LeaseEnd = max(machine.LeaseEnd, now+f.lease)
		// What is in doubt may yet be started by the new process, under its session.
		machine.EachAllocation(func(allocation *Allocation) {
			allocation.Incarnation, allocation.Status = report.Incarnation, ""
			allocation.reservation.Doubt()
		})
		f.MachineChanged(machine)
	}
	more, _ := f.Report(now, report, false)
	machine.LastHeartbeat = now
	if machine.Suspect {
		machine.Suspect = false
		f.MachineChanged(machine)
	}
	if anew {
		f.heartbeatReceived(machine, now) // trusted once it knows the token, so that old commands are void
	} else {
		f.trust(machine, now)
	}
	return append(events, more...)
}
