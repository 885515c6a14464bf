package cedardoor

import (
	"context"
	"slices"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/wire"
)

// failureDetector finds machines that are silent or that commands do not reach, and tells when
// the fault is rather this controller's.
type failureDetector struct {
	runningSince        clock.Micros // since when this process has not paused
	pauseCheckedAt      clock.Micros // when that was last looked at
	lastHeartbeat       clock.Micros // of any worker
	silenceCheckedAt    clock.Micros
	probesStartedAt     clock.Micros
	openProbes          int
	notAcknowledging    int                     // machines quarantined for that
	staleReportProbedAt map[string]clock.Micros // machines probed because of an old report, and when
	unconfirmed         []unconfirmedMachine    // machines that have reported but are not trusted yet, oldest first
	unreachable         map[*fleet.Machine]bool // silent machines that answered no probe
	awaited             map[*fleet.Machine]bool // recorded by a predecessor, and silent since
}

func newFailureDetector(since clock.Micros) failureDetector {
	return failureDetector{runningSince: since, staleReportProbedAt: map[string]clock.Micros{},
		unreachable: map[*fleet.Machine]bool{}, awaited: map[*fleet.Machine]bool{}}
}

// probeTimeout is how long a worker may take to answer a question.
const probeTimeout = 700 * clock.Millisecond

// unreachableAfterProbes is how many questions in a row a silent worker must fail to answer.
const unreachableAfterProbes = 2

// plausible tells whether so many machines may be at fault themselves: when many
// seem to be at once, the fault is rather this controller's network, and no
// machine is given up for it. The caller holds mu.
func (l *leader) plausible(n int) bool { return n <= max(2, l.fleet.Len()/5) }

// pauseThreshold is the gap between two looks at the clock that shows that this
// process has not run meanwhile.
const pauseThreshold = 3 * clock.Second

// pauseLoop watches for this process having stood still while its clocks ran on.
func (l *leader) pauseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		l.checkPause()
		l.sleep(ctx, passInterval)
	}
}

// checkPause notes when this process went on after standing still. Whatever seemed
// silent, idle or slow to boot meanwhile was only not listened to, so that is
// counted from then on: one that wakes must not give up all its machines.
func (l *leader) checkPause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.detector.pauseCheckedAt > 0 && now-l.detector.pauseCheckedAt > pauseThreshold {
		l.log.Info("this process stood still: silence is counted anew", "seconds", (now - l.detector.pauseCheckedAt).Seconds())
		l.detector.runningSince = now
		l.feed.processPauses++
	}
	l.detector.pauseCheckedAt = now
	l.checkSync(now)
}

// probeSilentMachines asks workers that have gone silent for a sign of life. A machine
// with replicas that gives none is returned to the cloud: its 200 proves the
// replicas gone, so that they start elsewhere long before the machine's lease
// would have run out. Deaf machines are returned too: their reports go on, so
// that counting what their lease might have been extended to would never end.
func (l *leader) probeSilentMachines(ctx context.Context) {
	now := l.clock.Now()
	report := clock.FromSeconds(l.cfg.Facts.Workers.ReportS)
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.detector.probesStartedAt < passInterval || now-l.detector.runningSince < 2*report {
		return
	}
	l.detector.probesStartedAt = now
	if _, may := l.elector.HoldsLease(); !may || !l.operator.Fleet.Enabled {
		return
	}
	var silent []*fleet.Machine
	for _, machine := range l.fleet.SilentMachines(now, report+report/4+300*clock.Millisecond) {
		if !machine.Returning && !machine.LeaseExpired(now) {
			silent = append(silent, machine)
		}
	}
	// Recorded by a predecessor, and silent since: with leaders changing, each
	// would wait out a whole lease anew. Machines that boot hold nothing and are
	// not silent; counting them once kept a hung one from being returned.
	if now-l.term.Since > 2*report+2*clock.Second {
		for machine := range l.detector.awaited {
			if machine.Reported || machine.AllocationCount() == 0 || l.fleet.Machine(machine.Name) != machine {
				delete(l.detector.awaited, machine)
			} else if machine.Endpoint != "" && !machine.Returning && !machine.LeaseExpired(now) {
				silent = append(silent, machine)
			}
		}
	}
	if l.plausible(len(silent)) && now-l.detector.lastHeartbeat < report {
		for _, machine := range silent {
			if l.hasReplica(machine) {
				l.startProbe(machine)
			}
		}
		l.returnUnreachable(ctx, silent)
	}
	if l.detector.notAcknowledging > 0 && l.plausible(l.detector.notAcknowledging) {
		var names []string
		for name, pm := range l.notAcknowledgingMachines() {
			if !pm.Returning && len(names) < wire.MaxReturnPerRequest {
				pm.Returning = true
				l.planner.changedMachines[pm] = true
				names = append(names, name)
			}
		}
		if len(names) > 0 {
			l.log.Info("machines are deaf: returning them", "hosts", names)
			go l.returnMachines(ctx, names)
		}
	}
}

// returnUnreachable returns the machines that gave no answer, in one request. Those of
// a zone that is silent as a whole are left alone: it is cut off, its
// replicas run on until their leases end, and new machines take longer to boot
// than that. The caller holds mu.
func (l *leader) returnUnreachable(ctx context.Context, silent []*fleet.Machine) {
	if len(l.detector.unreachable) == 0 {
		return
	}
	quiet, all := map[string]int{}, map[string]int{}
	for _, machine := range silent {
		quiet[machine.Zone]++
	}
	l.fleet.EachMachine(func(machine *fleet.Machine) {
		if machine.Reported || l.detector.awaited[machine] {
			all[machine.Zone]++
		}
	})
	cut := unreachableZones(quiet, all)
	var names []string
	for machine := range l.detector.unreachable {
		switch {
		case l.fleet.Machine(machine.Name) != machine || machine.Returning || machine.UnansweredProbes < unreachableAfterProbes || !l.hasReplica(machine):
			delete(l.detector.unreachable, machine)
		case cut[machine.Zone] && machine.Reported:
		case len(names) < wire.MaxReturnPerRequest:
			machine.Returning = true
			l.planner.changedMachines[machine] = true
			delete(l.detector.unreachable, machine)
			names = append(names, machine.Name)
		}
	}
	if len(names) > 0 {
		slices.Sort(names)
		l.log.Info("machines are silent and hold replicas: returning them", "hosts", names)
		go l.returnMachines(ctx, names)
	}
}

// notAcknowledgingMachines finds the machines that are banned as deaf. The caller holds mu.
func (l *leader) notAcknowledgingMachines() map[string]*fleet.Machine {
	out := map[string]*fleet.Machine{}
	l.fleet.EachMachine(func(machine *fleet.Machine) {
		if machine.QuarantineReason == quarantineNotAcknowledging {
			out[machine.Name] = machine
		}
	})
	return out
}

// hasReplica tells whether a replica may be on a machine. The caller holds mu.
func (l *leader) hasReplica(machine *fleet.Machine) bool {
	found := false
	machine.EachAllocation(func(allocation *fleet.Allocation) {
		job, known := allocation.Owner.(*Job)
		found = found || allocation.Live() && known && job.isService() && !job.cancelled
	})
	return found
}

// unconfirmedMachine is a machine whose first report was no proof that it is there now.
type unconfirmedMachine struct {
	machine *fleet.Machine
	at      clock.Micros
}

// confirmAfter is how long its next report is waited for: a worker tells of a new
// token after half a second, but only once in half a lease, and where leaders
// or tokens change often that would leave it untrusted until its next regular one.
const confirmAfter = 800 * clock.Millisecond

// confirmMachines asks the workers that have not shown the token they were told. The
// caller holds mu.
func (l *leader) confirmMachines(now clock.Micros) {
	for len(l.detector.unconfirmed) > 0 && now-l.detector.unconfirmed[0].at >= confirmAfter && l.detector.openProbes < l.budget.Questions {
		machine := l.detector.unconfirmed[0].machine
		l.detector.unconfirmed = l.detector.unconfirmed[1:]
		if !machine.Reported && l.fleet.Machine(machine.Name) == machine {
			l.startProbe(machine)
		}
	}
}

// probeStaleReporter asks a worker whose report is older than what is known of it, now and
// then: only its answer tells a late copy from a new process that counts from
// the start again. The caller holds mu.
func (l *leader) probeStaleReporter(machine *fleet.Machine, now clock.Micros) {
	if at, asked := l.detector.staleReportProbedAt[machine.Name]; asked && now-at < clock.FromSeconds(l.cfg.Facts.Workers.ReportS) {
		return
	}
	if len(l.detector.staleReportProbedAt) > 4096 {
		clear(l.detector.staleReportProbedAt)
	}
	l.detector.staleReportProbedAt[machine.Name] = now
	l.startProbe(machine)
}

// startProbe asks a worker for its report. The caller holds mu.
func (l *leader) startProbe(machine *fleet.Machine) {
	if machine.Probing || machine.Endpoint == "" || machine.Returning || l.detector.openProbes >= l.budget.Questions || l.ctx == nil {
		return
	}
	machine.Probing = true
	l.detector.openProbes++
	l.log.Debug("worker is asked for its report", "host", machine.Name, "silent", (l.clock.Now() - machine.LastHeartbeat).Seconds(), "mute", machine.UnansweredProbes)
	go l.probe(l.ctx, machine, machine.Endpoint, machine.ReportVersion())
}

func (l *leader) probe(ctx context.Context, machine *fleet.Machine, endpoint string, known wire.ReportVersion) {
	pctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	rep, err := l.workers.Show(pctx, endpoint)
	cancel()
	now := l.clock.Now()
	report := clock.FromSeconds(l.cfg.Facts.Workers.ReportS)
	l.mu.Lock()
	machine.Probing = false
	l.detector.openProbes--
	switch {
	case ctx.Err() != nil || l.fleet.Machine(machine.Name) != machine:
	case err == nil && rep.Machine == machine.Name:
		l.applyEvents(l.fleet.ProbeAnswered(now, known, rep), now)
		l.adoptReported(machine, now)
		if machine.Restarted() {
			l.dispatcher.urgentMachines[machine] = true
		}
	case now-machine.LastHeartbeat < report && !machine.Suspect, !machine.Reported && !machine.Suspect && now-machine.AnsweredAt < report:
		// It reports, trusted or not yet: only this question was lost.
	default:
		if machine.UnansweredProbes++; machine.UnansweredProbes >= unreachableAfterProbes {
			l.detector.unreachable[machine] = true
		}
	}
	l.mu.Unlock()
	l.wake()
}

// isolationReports is how many report intervals without any heartbeat make a leader
// believe that it is cut off from the workers.
const isolationReports = 3

// reliableReporters is how many machines make that sure sooner: each of them reports
// within five quarters of an interval, so one interval without any heartbeat is no
// chance, and every second counts against the leases of all.
const reliableReporters = 10

// maxSilence is how long no heartbeat may come before the leader gives up. A new
// leader waits longer, since its workers have yet to find it. The caller holds mu.
func (l *leader) maxSilence(report clock.Micros) clock.Micros {
	if l.fleet.ReportingCount() >= reliableReporters && l.detector.lastHeartbeat > max(l.term.Since, l.detector.runningSince) {
		return report + report/4 + 2*clock.Second
	}
	return isolationReports*report + clock.Second
}

// isolatedFromWorkers tells whether all workers have fallen silent at once: that is this
// controller's network, and nothing is rented in their stead by one that is about
// to give the lead up. The caller holds mu.
func (l *leader) isolatedFromWorkers(now clock.Micros) bool {
	report := clock.FromSeconds(l.cfg.Facts.Workers.ReportS)
	quiet := now - max(l.detector.lastHeartbeat, l.term.Since, l.detector.runningSince)
	switch n := l.fleet.ReportingCount(); {
	case n == 0:
		return len(l.detector.awaited) >= 2 && quiet > report // nor did any find this new leader
	case n >= reliableReporters:
		return quiet > report+report/4
	default:
		return n >= 2 && quiet > 2*report
	}
}

// resignIfIsolated gives leadership up when no worker at all is heard any more, or
// none hears: this node may be cut off from them while another is not. If
// nobody reaches them, leadership goes round, which harms nothing.
func (l *leader) resignIfIsolated(ctx context.Context) {
	now := l.clock.Now()
	report := clock.FromSeconds(l.cfg.Facts.Workers.ReportS)
	l.mu.Lock()
	silent := l.fleet.Len() >= 2 && now-max(l.detector.lastHeartbeat, l.term.Since, l.detector.runningSince) > l.maxSilence(report)
	unheard := l.detector.notAcknowledging >= 3 && 2*l.detector.notAcknowledging > l.fleet.Len()
	silent = silent && l.expectedReporters() >= 2
	unfound := l.detector.lastHeartbeat <= l.term.Since && now-l.term.Since < l.maxReportDelay()
	l.mu.Unlock()
	if silent && !unheard && unfound && l.reconciliation.checkIsolated(ctx) {
		return // workers may still try the controllers that are down
	}
	if silent || unheard {
		l.log.Info("no worker is heard, or none hears: giving leadership up", "deaf", l.detector.notAcknowledging)
		l.elector.Resign()
	}
}

// expectedReporters counts the machines that ought to report. The caller holds mu.
func (l *leader) expectedReporters() (n int) {
	l.fleet.EachMachine(func(machine *fleet.Machine) {
		if machine.Reported || machine.AllocationCount() > 0 || machine.CloudStatus == wire.MachineRunning {
			n++
		}
	})
	return n
}

// markUnresponsive finds the machines that have fallen silent, now and then: nothing is
// placed on them. The caller holds mu.
func (l *leader) markUnresponsive(now clock.Micros) {
	report := clock.FromSeconds(l.cfg.Facts.Workers.ReportS)
	if now-l.detector.silenceCheckedAt < passInterval || now-l.detector.runningSince < 2*report {
		return
	}
	l.detector.silenceCheckedAt = now
	for _, machine := range l.fleet.SilentMachines(now, 2*report) {
		l.fleet.MarkUnresponsive(machine)
	}
}
