package fleet

import (
	"container/list"

	"cedardoor/clock"
)

// suspectReports is how many report intervals without a heartbeat make the next
// one untrustworthy: it may be a delayed copy.
const suspectReports = 2

// rediscoverySlack is the time beyond two report intervals that a worker may take
// to find a new leader.
const rediscoverySlack = 2 * clock.Second

// SilenceTimeout returns how long a machine may send no heartbeat before it counts as
// having been silent.
func (f *Fleet) SilenceTimeout() clock.Micros { return suspectReports * f.reportInterval }

// RediscoveryTimeout returns how long after the start of a term a machine that a
// predecessor recorded may be silent, since its worker has yet to find the new
// leader.
func RediscoveryTimeout(reportInterval clock.Micros) clock.Micros {
	return 2*reportInterval + rediscoverySlack
}

// Liveness tracks whether a machine is up. The first heartbeat that a new leader
// receives, and the first after a long silence, may be a late copy. A machine is
// therefore trusted once it has shown a token of this term, which no earlier copy
// can, or has answered a probe; after a silence, only the latter counts.
type Liveness struct {
	Reported         bool         // was trusted in this term, and its lease has not expired since
	Suspect          bool         // was silent, and has not answered a probe since
	Unresponsive     bool         // currently silent
	LastHeartbeat    clock.Micros // time of the last heartbeat or probe response on which it was trusted
	Probing          bool         // a probe is in flight
	UnansweredProbes int          // consecutive

	heartbeat *list.Element // in the fleet's list of heartbeats; nil if not in it
}

// ReportingCount returns the number of machines that have reported in this term
// and hold their lease.
func (f *Fleet) ReportingCount() int { return f.heartbeats.Len() }

// heartbeatReceived handles the arrival of a heartbeat, and trusts the machine if
// the heartbeat proves that it is up.
func (f *Fleet) heartbeatReceived(machine *Machine, now clock.Micros) {
	if machine.Reported && now-machine.LastHeartbeat > f.SilenceTimeout() && !machine.Suspect {
		machine.Suspect = true
		f.MachineChanged(machine)
	}
	if machine.Suspect || machine.Token < f.firstToken {
		return
	}
	f.trust(machine, now)
}

// trust records that a machine is up now.
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

// watchHeartbeat moves a machine to the end of the list of heartbeats, adding it
// if necessary.
func (f *Fleet) watchHeartbeat(machine *Machine) {
	if machine.heartbeat == nil {
		machine.heartbeat = f.heartbeats.PushBack(machine)
	} else {
		f.heartbeats.MoveToBack(machine.heartbeat)
	}
}

// unwatchHeartbeat removes a machine from the list of heartbeats.
func (f *Fleet) unwatchHeartbeat(machine *Machine) {
	if machine.heartbeat != nil {
		f.heartbeats.Remove(machine.heartbeat)
		machine.heartbeat = nil
	}
}

// SilentMachines returns the machines whose last heartbeat is more than after
// ago, oldest heartbeat first.
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

// MarkUnresponsive records that a machine has fallen silent: its attempts are in
// doubt.
func (f *Fleet) MarkUnresponsive(machine *Machine) {
	if machine.Unresponsive {
		return
	}
	machine.Unresponsive = true
	machine.EachAllocation(func(allocation *Allocation) { allocation.reservation.MarkInDoubt() })
	f.MachineChanged(machine)
}
