package cedardoor

import (
	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/peer"
	"cedardoor/wire"
)

// Heartbeat processes a worker's report and returns the response; ok is false if this node may not
// respond. A report without changes costs a lookup and the comparison of its task list with the
// last one.
func (l *leader) Heartbeat(report *wire.Heartbeat) (response wire.HeartbeatResponse, ok bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detector.HeartbeatReceived(now)
	token, allowed := l.elector.MayAnswerHeartbeats()
	if !allowed || !l.loaded {
		return wire.HeartbeatResponse{}, false
	}
	response = wire.HeartbeatResponse{Token: token, Commands: []wire.Command{}}
	if l.autoscaler.WasReturned(report.Machine) {
		return response, true // a late copy, sent before the machine was returned
	}
	events, fresh := l.fleet.Report(now, report, true)
	machine := l.fleet.Machine(report.Machine)
	if !fresh {
		// This is a late copy, or a new process that restarted its sequence. The lease counts as
		// renewed either way, and a probe of the worker shows which it is.
		l.fleet.HeartbeatAnswered(machine, now, token)
		if l.detector.StaleProbeDue(machine, now) {
			l.startProbe(machine)
		}
		return response, true
	}
	l.machineReported(machine, now)
	l.applyEvents(events, now)
	l.reconciler.AdoptReported(machine, now)
	l.fleet.HeartbeatAnswered(machine, now, token)
	if len(events) > 0 {
		l.wake()
	}
	response.Commands = l.fleet.Commands(machine, now, true, l.heartbeatScope(machine))
	return response, true
}

// heartbeatScope returns which commands the response to a machine's heartbeat may carry: no runs
// while a direct command in flight may carry the same ones.
func (l *leader) heartbeatScope(machine *fleet.Machine) fleet.Scope {
	scope := l.commandScope()
	if scope == fleet.AllCommands && l.dispatcher.InFlight(machine.Name) {
		return fleet.NoRuns
	}
	return scope
}

// machineReported records that a machine reported. If the report does not prove that the machine is
// up now, it probes the machine at once or has the detector confirm it later.
func (l *leader) machineReported(machine *fleet.Machine, now clock.Micros) {
	if machine.Suspect {
		l.startProbe(machine)
	} else if !machine.Reported {
		l.detector.MarkUnconfirmed(machine, now)
	}
	if machine.Reported {
		l.detector.MachineUp(machine)
		l.reconciler.MachineReported(machine, now)
		l.autoscaler.MachineUp(machine, now)
	}
}

// taskCounts returns how many tasks of each job are done and running.
func (l *leader) taskCounts(uids []string) map[string]peer.TaskCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]peer.TaskCounts, len(uids))
	for _, uid := range uids {
		if job := l.jobs.Get(uid); job != nil && l.loaded {
			out[uid] = peer.TaskCounts{Done: job.Done, Running: job.Running}
		}
	}
	return out
}
