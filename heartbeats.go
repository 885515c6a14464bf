package cedardoor

import (
	"cedardoor/fleet"
	"cedardoor/recovery"
	"cedardoor/wire"
)

// Heartbeat takes in a worker's report and says what to answer. A report without
// news costs a look-up and the comparison of its task list with the last one.
func (l *leader) Heartbeat(report *wire.Heartbeat) (wire.HeartbeatResponse, bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detector.lastHeartbeat = now
	token, may := l.elector.MayAnswerHeartbeats()
	if !may || !l.loaded {
		return wire.HeartbeatResponse{}, false
	}
	ans := wire.HeartbeatResponse{Token: token, Commands: []wire.Command{}}
	if _, gone := l.autoscaler.returnedAt[report.Machine]; gone {
		// The cloud has said that this machine and all on it are gone, and names
		// are not given twice: a copy that was under way all this time.
		return ans, true
	}
	news, fresh := l.fleet.Report(now, report, true)
	machine := l.fleet.Machine(report.Machine)
	if !fresh {
		// A late copy, or a new process that counts from the start again: its lease
		// is counted as renewed, and the worker itself is asked which it is.
		l.fleet.HeartbeatAnswered(machine, now, token)
		l.probeStaleReporter(machine, now)
		return ans, true
	}
	if machine.Suspect {
		l.startProbe(machine)
	} else if !machine.Reported {
		l.detector.unconfirmed = append(l.detector.unconfirmed, unconfirmedMachine{machine, now})
	}
	if machine.Reported {
		delete(l.detector.awaited, machine)
		l.reconciliation.progress.Settle(machine.Name, recovery.MachineReconciled, now)
		l.machineBooted(machine, now)
	}
	l.applyEvents(news, now)
	l.adoptReported(machine, now)
	l.fleet.HeartbeatAnswered(machine, now, token)
	if len(news) > 0 {
		l.wake()
	}
	scope := l.commandScope()
	if scope == fleet.AllCommands && l.dispatcher.inFlight[machine.Name] {
		scope = fleet.NoRuns
	}
	ans.Commands = l.fleet.Commands(machine, now, true, scope)
	return ans, true
}
