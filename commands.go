package cedardoor

import (
	"context"
	"errors"

	"cedardoor/agent"
	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/wire"
)

const (
	// commandTimeout limits how long a worker may take to respond to a direct command.
	commandTimeout = 1500 * clock.Millisecond
	// probeTimeout limits how long a worker may take to respond to a probe.
	probeTimeout = 700 * clock.Millisecond
)

// errNotSent means that a request was not sent, since its token or lease is no longer valid.
var errNotSent = errors.New("not sent: its token or lease is no longer valid")

// dispatch sends direct commands to the machines that have urgent ones.
func (l *leader) dispatch(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	token, _ := l.elector.HoldsLease()
	for _, command := range l.dispatcher.Prepare(l.clock.Now(), token, l.commandScope(), l.reconciler.HasOrphansToStop) {
		go l.sendCommand(ctx, command)
	}
}

// mayStillSend reports whether a direct command may still be sent, under its token. One that only
// stops tasks needs no lease. Any other needs the lease and, if it starts tasks, that all
// cancellations are known.
func (l *leader) mayStillSend(command *fleet.InFlightCommand) bool {
	token, held := l.elector.HoldsLease()
	if token != command.Token {
		return false
	}
	if command.OnlyStops() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return held && (l.synced() || !command.HasRuns())
}

// sendCommand sends one direct command and processes its outcome.
func (l *leader) sendCommand(ctx context.Context, command *fleet.InFlightCommand) {
	result, err := l.requestCommand(ctx, command)
	if err != nil {
		l.log.Debug("direct command failed", "machine", command.Machine.Name, "outcome", result.Outcome, "error", err)
	}
	now := l.clock.Now()
	l.mu.Lock()
	l.fleet.CommandCompleted(command, result.Outcome)
	l.dispatcher.Completed(command)
	switch machine, report := command.Machine, result.Report; {
	case report != nil && report.Machine == machine.Name:
		l.fleet.Acknowledged(machine)
		events, _ := l.fleet.Report(now, report, false)
		l.applyEvents(events, now)
		l.reconciler.AdoptReported(machine, now)
	case err != nil && !errors.Is(err, errNotSent) && ctx.Err() == nil:
		l.fleet.CommandFailed(machine)
	}
	// Without the lease the control loop may be blocked on the state service, and stops can't wait.
	stopsRemain := l.dispatcher.IsUrgent(command.Machine) && l.commandScope() == fleet.StopsOnly
	l.mu.Unlock()
	l.wake()
	if stopsRemain {
		l.dispatch(ctx)
	}
}

// requestCommand sends a direct command unless its token or lease is no longer valid: a command
// computed before a pause of this process must not be sent after it.
func (l *leader) requestCommand(ctx context.Context, command *fleet.InFlightCommand) (agent.CommandResult, error) {
	if !l.mayStillSend(command) {
		return agent.CommandResult{Outcome: fleet.OutcomeNotExecuted}, errNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout.Duration())
	defer cancel()
	return l.workers.SendCommands(ctx, command.Machine.Endpoint,
		wire.CommandRequest{Token: command.Token, Incarnation: command.Incarnation, Commands: command.Commands})
}

// raiseTokenIfNeeded raises the fencing token when late copies of direct commands must be fenced.
func (l *leader) raiseTokenIfNeeded(ctx context.Context) {
	l.mu.Lock()
	token, held := l.elector.HoldsLease()
	now := l.clock.Now()
	due := held && l.dispatcher.FencingDue(now, token)
	if due {
		l.dispatcher.TokenRaised(now)
	}
	l.mu.Unlock()
	if !due {
		return
	}
	raised, err := l.elector.RaiseToken(ctx)
	if err != nil {
		l.log.Debug("token not raised", "error", err)
		return
	}
	l.log.Info("token raised: late copies of direct commands are fenced", "token", raised)
}

// startProbe sends a probe to a worker unless the detector refuses it. The caller holds mu.
func (l *leader) startProbe(machine *fleet.Machine) {
	if l.ctx == nil || !l.detector.BeginProbe(machine) {
		return
	}
	l.log.Debug("worker probed", "machine", machine.Name, "silent_s", (l.clock.Now() - machine.LastHeartbeat).Seconds(),
		"unanswered", machine.UnansweredProbes)
	go l.probe(l.ctx, machine, machine.Endpoint, machine.ReportVersion())
}

// probe requests a worker's report and processes the response.
func (l *leader) probe(ctx context.Context, machine *fleet.Machine, endpoint string, known wire.ReportVersion) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	report, err := l.workers.RequestReport(probeCtx, endpoint)
	cancel()
	now := l.clock.Now()
	l.mu.Lock()
	l.detector.EndProbe(machine)
	switch {
	case ctx.Err() != nil || l.fleet.Machine(machine.Name) != machine:
	case err == nil && report.Machine == machine.Name:
		l.applyEvents(l.fleet.ProbeAnswered(now, known, report), now)
		l.reconciler.AdoptReported(machine, now)
		if machine.Restarted() {
			l.dispatcher.MarkUrgent(machine)
		}
	default:
		l.detector.ProbeUnanswered(machine, now)
	}
	l.mu.Unlock()
	l.wake()
}

// probeSilentMachines probes workers that have fallen silent. It returns to the cloud the machines
// that did not respond and those that do not acknowledge commands.
func (l *leader) probeSilentMachines(ctx context.Context) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.detector.SilentCheckDue(now) {
		return
	}
	if _, held := l.elector.HoldsLease(); !held || !l.operator.Fleet.Enabled {
		return
	}
	check := l.detector.CheckSilent(now, l.startProbe)
	if len(check.Unreachable) > 0 {
		l.log.Info("returning machines: silent, with replicas", "machines", check.Unreachable)
		go l.returnMachines(ctx, check.Unreachable)
	}
	if len(check.NotAcknowledging) > 0 {
		l.log.Info("returning machines: commands are not acknowledged", "machines", check.NotAcknowledging)
		go l.returnMachines(ctx, check.NotAcknowledging)
	}
}
