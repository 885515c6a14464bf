package fleet

import (
	"container/list"

	"cedardoor/clock"
)

// suspectReports is how many report intervals without a heartbeat make the next
// one untrustworthy: it may be a copy that was held up.
const suspectReports = 2

// rediscoverySlack is how much longer than two report intervals a machine may take
// to find a new leader.
const rediscoverySlack = 2 * clock.Second

// RediscoveryTimeout is how long after the start of a term a machine that a
// predecessor recorded may be silent: its worker has yet to find the new leader.
func RediscoveryTimeout(reportInterval clock.Micros) clock.Micros {
	return 2*reportInterval + rediscoverySlack
}

// Liveness is whether a machine is there. A late copy of a heartbeat can be the
// first that a new leader receives, or the first after a long silence. So a
// machine is trusted once it has shown a token of this term, which no earlier
// copy can, or has answered a probe; after a silence, only the latter will do.
type Liveness struct {
	Reported         bool         // was trusted under this term, and its lease has not expired since
	Suspect          bool         // was silent, and has not answered a probe since
	Unresponsive     bool         // is silent
	LastHeartbeat    clock.Micros // the last one that it was trusted on
	Probing          bool         // a probe is under way
	UnansweredProbes int          // in a row

	heartbeat *list.Element // in the fleet's list of heartbeats; nil when not in it
}

// ReportingCount is how many machines have reported under this term and hold
// their lease.
func (f *Fleet) ReportingCount() int { return f.heartbeats.Len() }

// heartbeatReceived takes in that a heartbeat came, and trusts the machine where
// that shows that it is there.
func (f *Fleet) heartbeatReceived(machine *Machine, now clock.Micros) {
	if machine.Reported && now-machine.LastHeartbeat > suspectReports*f.reportInterval && !machine.Suspect {
		machine.Suspect = true
		f.MachineChanged(machine)
	}
	if machine.Suspect || machine.Token < f.firstToken {
		return
	}
	f.trust(machine, now)
}

// trust notes that a machine is there now.
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
				allocation.reservation.MarkRunning()
			}
		})
		f.MachineChanged(machine)
	}
	machine.LastHeartbeat = now
	f.watchHeartbeat(machine)
}

// watchHeartbeat puts a machine at the end of the list of heartbeats.
func (f *Fleet) watchHeartbeat(machine *Machine) {
	if machine.heartbeat == nil {
		machine.heartbeat = f.heartbeats.PushBack(machine)
	} else {
		f.heartbeats.MoveToBack(machine.heartbeat)
	}
}

// unwatchHeartbeat takes a machine off the list of heartbeats.
func (f *Fleet) unwatchHeartbeat(machine *Machine) {
	if machine.heartbeat != nil {
		f.heartbeats.Remove(machine.heartbeat)
		machine.heartbeat = nil
	}
}

// SilentMachines lists the machines whose last heartbeat is longer ago than
// after, the longest first.
func (f *Fleet) SilentMachines(now, after clock.Micros) (silent []*Machine) {
	for element := f.heartbeats.Front(); element != nil; element = element.Next() {
		machine := element.Value.(*Machine)
		f.Examined++
		if now-machine.LastHeartbeat <= after {
			break
		}
		silent = append(silent, machine)
	}
	return silent
}

// MarkUnresponsive notes that a machine has fallen silent: what is on it may be gone.
func (f *Fleet) MarkUnresponsive(machine *Machine) {
	if machine.Unresponsive {
		return
	}
	machine.Unresponsive = true
	machine.EachAllocation(func(allocation *Allocation) { allocation.reservation.MarkInDoubt() })
	f.MachineChanged(machine)
}
