package fleet

import (
	"cedardoor/clock"
)

// ReportingCount is how many machines have reported under this term and whose lease has not run out.
func (f *Fleet) ReportingCount() int { return f.heartbeats.Len() }

// heartbeatReceived notes a heartbeat: when, and whether the machine may be trusted on it.
//
// A late copy can be the first report that a new leader sees, or the first
// after a long silence. So a machine is trusted only once it has shown a
// token of this term, which no copy made before it can, or has answered a
// question (see Answers); after a silence, only the latter will do.
func (f *Fleet) heartbeatReceived(machine *Machine, now clock.Micros) {
	if machine.Reported && now-machine.LastHeartbeat > 2*f.reportInterval && !machine.Suspect {
		machine.Suspect = true
		f.MachineChanged(machine)
	}
	if machine.Suspect || machine.Token < f.firstToken {
		return
	}
	f.trust(machine, now)
}

// trust notes that a machine is there now: it has shown a token of this
// term, or answered a question of it.
func (f *Fleet) trust(machine *Machine, now clock.Micros) {
	if !machine.Reported {
		machine.Reported = true
		f.MachineChanged(machine)
	}
	machine.UnansweredProbes = 0
	if machine.Unresponsive {
		machine.Unresponsive = false
		machine.EachAllocation(func(allocation *Allocation) {
			if allocation.Status != "" {
				allocation.reservation.Shown()
			}
		})
		f.MachineChanged(machine)
	}
	machine.LastHeartbeat = now
	if machine.heartbeat == nil {
		machine.heartbeat = f.heartbeats.PushBack(machine)
	} else {
		f.heartbeats.MoveToBack(machine.heartbeat)
	}
}

// SilentMachines lists the machines whose last heartbeat is older than after, longest silent first.
func (f *Fleet) SilentMachines(now, after clock.Micros) (silent []*Machine) {
	for e := f.heartbeats.Front(); e != nil; e = e.Next() {
		machine := e.Value.(*Machine)
		f.Examined++
		if now-machine.LastHeartbeat <= after {
			break
		}
		silent = append(silent, machine)
	}
	return silent
}

// MarkUnresponsive notes that a machine has fallen silent: nothing is placed on it, and what is
// on it may be gone.
func (f *Fleet) MarkUnresponsive(machine *Machine) {
	if machine.Unresponsive {
		return
	}
	machine.Unresponsive = true
	machine.EachAllocation(func(allocation *Allocation) { allocation.reservation.Doubt() })
	f.MachineChanged(machine)
}
