package fleet

import (
	"bytes"

	"cedardoor/clock"
	"cedardoor/wire"
)

// Event is what a report, an expiry or a return taught about a booking.
type Event struct {
	Allocation *Allocation
	Gone       bool // proved absent without a result; otherwise it ended with Cause
	Started    bool // first seen running
}

// Report takes in a worker's report. viaBeat tells a heartbeat from the body of a
// /do or /show: only a heartbeat proves that the answer to an earlier heartbeat is dead,
// because a worker has one heartbeat in flight and drops answers that come late.
// A report older than what is known changes nothing and gives fresh=false.
//
// A copy of a report may come long after it was made. What it can prove stays
// true however late it is: an end, a newer session, and an absence only under
// the conditions below. That the machine is there now, it cannot prove: see Trusted.
func (f *Fleet) Report(now clock.Micros, report *wire.Heartbeat, viaHeartbeat bool) (events []Event, fresh bool) {
	machine := f.Ensure(report.Machine, now)
	if !machine.IsNewer(report.Incarnation, report.Sequence) || viaHeartbeat && machine.ambiguous(report) {
		return nil, false
	}
	f.Examined++
	f.Describe(machine, report.Endpoint, report.MachineType, report.Zone, report.Preemptible)
	if report.Incarnation > machine.Incarnation {
		// A new session: the worker has killed all that ran in the ones before.
		// One that ended although it went on reporting, and was answered, either
		// began anew or did not hear the answers: that alone does not tell which.
		if machine.Reported && !machine.Suspect && viaHeartbeat && machine.Incarnation > 0 && now-machine.LastHeartbeat < 2*f.reportInterval {
			machine.Unacknowledged = max(machine.Unacknowledged, maxUnacknowledged-1)
		}
		events = append(events, f.endIncarnationsBefore(machine, report.Incarnation, now)...)
		machine.LeaseEnd = max(machine.LeaseEnd, now+f.lease)
		machine.Images = map[string]bool{}
		machine.unchanged = false
	}
	if machine.mixedIncarnations && report.Token >= f.firstToken {
		// What a predecessor recorded in sessions before this one is gone, too. No
		// copy from before the term shows its token.
		machine.mixedIncarnations = false
		events = append(events, f.endIncarnationsBefore(machine, report.Incarnation, now)...)
	}
	machine.Incarnation, machine.Sequence = report.Incarnation, report.Sequence
	// A report made after an answer shows its token, if the answer was heard.
	unheard := viaHeartbeat && (report.Token < machine.answeredToken || machine.commandFailed)
	if viaHeartbeat {
		machine.commandFailed = false
	}
	if report.Token > machine.Token {
		machine.Token = report.Token
		f.Acknowledged(machine)
	}
	warned := clock.Micros(0)
	if report.WarningS != nil {
		warned = now + clock.FromSeconds(*report.WarningS)
	}
	if (warned > 0) != (machine.PreemptionAt > 0) {
		f.MachineChanged(machine)
	}
	machine.PreemptionAt = warned
	if viaHeartbeat {
		f.heartbeatReceived(machine, now)
	}
	if machine.unchanged && !unheard && report.Token == machine.lastTasksToken && bytes.Equal(machine.lastTasks, report.RawTasks) && len(report.RawTasks) > 0 {
		return events, true
	}
	if err := report.DecodeTasks(); err != nil {
		return events, true // its task list is not readable: it proves nothing
	}
	shown := make(map[*Allocation]bool, len(report.Tasks))
	before := machine.runningOrphans
	f.clearOrphans(machine)
	held := len(machine.Images)
	for i := range report.Tasks {
		f.Examined++
		p := &report.Tasks[i]
		id, ok := ParseTask(p.Task)
		key := attemptKey{id, p.Attempt}
		var allocation *Allocation
		if ok {
			allocation = machine.byKey[key]
		}
		if allocation == nil || allocation.Incarnation != report.Incarnation {
			if ok {
				f.addOrphan(machine, key, p.Status)
			}
			continue
		}
		shown[allocation] = true
		if allocation.Status == "" && allocation.firstSent > 0 {
			f.Acknowledged(machine)
		}
		allocation.Status = p.Status
		if p.Status != wire.TaskEnded {
			allocation.reservation.Shown()
		}
		if p.Status == wire.TaskRunning && !machine.Images[allocation.Image] {
			machine.Images[allocation.Image] = true
			f.MachineChanged(machine)
		} else if _, known := machine.Images[allocation.Image]; !known {
			machine.Images[allocation.Image] = false
		}
		if p.Status == wire.TaskRunning && allocation.RunningSince == 0 {
			allocation.RunningSince = now
			f.MachineChanged(machine)
			events = append(events, Event{Allocation: allocation, Started: true})
		}
		if p.Status == wire.TaskEnded && !allocation.Ended {
			f.release(allocation, now)
			allocation.Cause = p.Cause
			events = append(events, Event{Allocation: allocation})
		}
	}
	if len(machine.Images) != held || machine.runningOrphans != before {
		f.MachineChanged(machine)
	}
	steady := len(machine.orphans) == 0
	machine.EachAllocation(func(allocation *Allocation) {
		f.Examined++
		// A higher token voids the copies of a /do that are on their way, of
		// attempts that are shown as well.
		if allocation.unfencedToken > 0 && report.Token > allocation.unfencedToken {
			f.setUnfenced(allocation, 0, false)
		}
		// What has ended is steady too while only a higher token lets it be forgotten.
		steady = steady && shown[allocation] && (allocation.Live() && !allocation.Stopping || allocation.Status == wire.TaskEnded && allocation.unfencedToken > 0)
		if allocation.Incarnation != report.Incarnation || shown[allocation] {
			return
		}
		unheard = unheard || viaHeartbeat && allocation.heartbeatSequence > 0 && report.Sequence > allocation.heartbeatSequence && allocation.Status == "" && !allocation.Ended
		// Not in the report. A /do is dead once the worker has seen a higher token; the answer to a heartbeat is dead once a
		// later heartbeat has come.
		if allocation.mayArrive() {
			return
		}
		if allocation.Ended {
			if allocation.ResultDurable {
				f.Remove(allocation, now)
			}
			return
		}
		if allocation.firstSent == 0 || !viaHeartbeat || report.Sequence <= allocation.heartbeatSequence {
			return
		}
		if allocation.Status == "" && !allocation.Stopping {
			// Never shown: the run was lost, and the next answer carries it again.
			return
		}
		f.release(allocation, now)
		events = append(events, Event{Allocation: allocation, Gone: true})
	})
	machine.unchanged = steady
	machine.lastTasks, machine.lastTasksToken = append(machine.lastTasks[:0], report.RawTasks...), report.Token
	if unheard {
		machine.Unacknowledged++
		f.MachineChanged(machine)
	}
	return events, true
}
