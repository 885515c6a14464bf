package cedardoor

import (
	"context"
	"slices"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/wire"
)

// probeTimeout is how long a worker may take to answer a question.
const probeTimeout = 700 * clock.Millisecond

// unreachableAfterProbes is how many questions in a row a silent worker must fail to answer.
const unreachableAfterProbes = 2

// plausible tells whether so many machines may be at fault themselves: when many
// seem to be at once, the fault is rather this controller's network, and no
// machine is given up for it. The caller holds mu.
func (g *leader) plausible(n int) bool { return n <= max(2, g.fleet.Len()/5) }

// pauseThreshold is the gap between two looks at the clock that shows that this
// process has not run meanwhile.
const pauseThreshold = 3 * clock.Second

// pauseLoop watches for this process having stood still while its clocks ran on.
func (g *leader) pauseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		g.checkPause()
		g.sleep(ctx, passInterval)
	}
}

// checkPause notes when this process went on after standing still. Whatever seemed
// silent, idle or slow to boot meanwhile was only not listened to, so that is
// counted from then on: one that wakes must not give up all its machines.
func (g *leader) checkPause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if g.pauseCheckedAt > 0 && now-g.pauseCheckedAt > pauseThreshold {
		g.log.Info("this process stood still: silence is counted anew", "seconds", (now - g.pauseCheckedAt).Seconds())
		g.runningSince = now
		g.processPauses++
	}
	g.pauseCheckedAt = now
	g.checkSync(now)
}

// probeSilentMachines asks workers that have gone silent for a sign of life. A machine
// with replicas that gives none is returned to the cloud: its 200 proves the
// replicas gone, so that they start elsewhere long before the machine's lease
// would have run out. Deaf machines are returned too: their reports go on, so
// that counting what their lease might have been extended to would never end.
func (g *leader) probeSilentMachines(ctx context.Context) {
	now := g.clock.Now()
	report := clock.FromSeconds(g.cfg.Facts.Workers.ReportS)
	g.mu.Lock()
	defer g.mu.Unlock()
	if now-g.probesStartedAt < passInterval || now-g.runningSince < 2*report {
		return
	}
	g.probesStartedAt = now
	if _, may := g.elector.HoldsLease(); !may || !g.operator.Fleet.Enabled {
		return
	}
	var silent []*fleet.Machine
	for _, m := range g.fleet.SilentMachines(now, report+report/4+300*clock.Millisecond) {
		if !m.Returning && !m.LeaseExpired(now) {
			silent = append(silent, m)
		}
	}
	// Recorded by a predecessor, and silent since: with leaders changing, each
	// would wait out a whole lease anew. Machines that boot hold nothing and are
	// not silent; counting them once kept a hung one from being returned.
	if now-g.term.Since > 2*report+2*clock.Second {
		for m := range g.awaitedMachines {
			if m.Reported || m.AllocationCount() == 0 || g.fleet.Machine(m.Name) != m {
				delete(g.awaitedMachines, m)
			} else if m.Endpoint != "" && !m.Returning && !m.LeaseExpired(now) {
				silent = append(silent, m)
			}
		}
	}
	if g.plausible(len(silent)) && now-g.lastHeartbeat < report {
		for _, m := range silent {
			if g.hasReplica(m) {
				g.startProbe(m)
			}
		}
		g.returnUnreachable(ctx, silent)
	}
	if g.notAcknowledging > 0 && g.plausible(g.notAcknowledging) {
		var names []string
		for name, pm := range g.notAcknowledgingMachines() {
			if !pm.Returning && len(names) < wire.MaxReturnPerRequest {
				pm.Returning = true
				g.changedMachines[pm] = true
				names = append(names, name)
			}
		}
		if len(names) > 0 {
			g.log.Info("machines are deaf: returning them", "hosts", names)
			go g.returnMachines(ctx, names)
		}
	}
}

// returnUnreachable returns the machines that gave no answer, in one request. Those of
// a zone that is silent as a whole are left alone: it is cut off, its
// replicas run on until their leases end, and new machines take longer to boot
// than that. The caller holds mu.
func (g *leader) returnUnreachable(ctx context.Context, silent []*fleet.Machine) {
	if len(g.unreachable) == 0 {
		return
	}
	quiet, all := map[string]int{}, map[string]int{}
	for _, m := range silent {
		quiet[m.Zone]++
	}
	g.fleet.EachMachine(func(m *fleet.Machine) {
		if m.Reported || g.awaitedMachines[m] {
			all[m.Zone]++
		}
	})
	cut := unreachableZones(quiet, all)
	var names []string
	for m := range g.unreachable {
		switch {
		case g.fleet.Machine(m.Name) != m || m.Returning || m.UnansweredProbes < unreachableAfterProbes || !g.hasReplica(m):
			delete(g.unreachable, m)
		case cut[m.Zone] && m.Reported:
		case len(names) < wire.MaxReturnPerRequest:
			m.Returning = true
			g.changedMachines[m] = true
			delete(g.unreachable, m)
			names = append(names, m.Name)
		}
	}
	if len(names) > 0 {
		slices.Sort(names)
		g.log.Info("machines are silent and hold replicas: returning them", "hosts", names)
		go g.returnMachines(ctx, names)
	}
}

// notAcknowledgingMachines finds the machines that are banned as deaf. The caller holds mu.
func (g *leader) notAcknowledgingMachines() map[string]*fleet.Machine {
	out := map[string]*fleet.Machine{}
	g.fleet.EachMachine(func(m *fleet.Machine) {
		if m.QuarantineReason == quarantineNotAcknowledging {
			out[m.Name] = m
		}
	})
	return out
}

// hasReplica tells whether a replica may be on a machine. The caller holds mu.
func (g *leader) hasReplica(m *fleet.Machine) bool {
	found := false
	m.EachAllocation(func(b *fleet.Allocation) {
		j, known := b.Owner.(*Job)
		found = found || b.Live() && known && j.isService() && !j.cancelled
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
func (g *leader) confirmMachines(now clock.Micros) {
	for len(g.unconfirmed) > 0 && now-g.unconfirmed[0].at >= confirmAfter && g.openProbes < g.budget.Questions {
		m := g.unconfirmed[0].machine
		g.unconfirmed = g.unconfirmed[1:]
		if !m.Reported && g.fleet.Machine(m.Name) == m {
			g.startProbe(m)
		}
	}
}

// probeStaleReporter asks a worker whose report is older than what is known of it, now and
// then: only its answer tells a late copy from a new process that counts from
// the start again. The caller holds mu.
func (g *leader) probeStaleReporter(m *fleet.Machine, now clock.Micros) {
	if at, asked := g.staleReportProbedAt[m.Name]; asked && now-at < clock.FromSeconds(g.cfg.Facts.Workers.ReportS) {
		return
	}
	if len(g.staleReportProbedAt) > 4096 {
		clear(g.staleReportProbedAt)
	}
	g.staleReportProbedAt[m.Name] = now
	g.startProbe(m)
}

// startProbe asks a worker for its report. The caller holds mu.
func (g *leader) startProbe(m *fleet.Machine) {
	if m.Probing || m.Endpoint == "" || m.Returning || g.openProbes >= g.budget.Questions || g.ctx == nil {
		return
	}
	m.Probing = true
	g.openProbes++
	g.log.Debug("worker is asked for its report", "host", m.Name, "silent", (g.clock.Now() - m.LastHeartbeat).Seconds(), "mute", m.UnansweredProbes)
	go g.probe(g.ctx, m, m.Endpoint, m.ReportVersion())
}

func (g *leader) probe(ctx context.Context, m *fleet.Machine, endpoint string, known wire.ReportVersion) {
	pctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	rep, err := g.workers.Show(pctx, endpoint)
	cancel()
	now := g.clock.Now()
	report := clock.FromSeconds(g.cfg.Facts.Workers.ReportS)
	g.mu.Lock()
	m.Probing = false
	g.openProbes--
	switch {
	case ctx.Err() != nil || g.fleet.Machine(m.Name) != m:
	case err == nil && rep.Machine == m.Name:
		g.applyEvents(g.fleet.ProbeAnswered(now, known, rep), now)
		g.adoptReported(m, now)
		if m.Restarted() {
			g.urgentMachines[m] = true
		}
	case now-m.LastHeartbeat < report && !m.Suspect, !m.Reported && !m.Suspect && now-m.AnsweredAt < report:
		// It reports, trusted or not yet: only this question was lost.
	default:
		if m.UnansweredProbes++; m.UnansweredProbes >= unreachableAfterProbes {
			g.unreachable[m] = true
		}
	}
	g.mu.Unlock()
	g.wake()
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
func (g *leader) maxSilence(report clock.Micros) clock.Micros {
	if g.fleet.ReportingCount() >= reliableReporters && g.lastHeartbeat > max(g.term.Since, g.runningSince) {
		return report + report/4 + 2*clock.Second
	}
	return isolationReports*report + clock.Second
}

// isolatedFromWorkers tells whether all workers have fallen silent at once: that is this
// controller's network, and nothing is rented in their stead by one that is about
// to give the lead up. The caller holds mu.
func (g *leader) isolatedFromWorkers(now clock.Micros) bool {
	report := clock.FromSeconds(g.cfg.Facts.Workers.ReportS)
	quiet := now - max(g.lastHeartbeat, g.term.Since, g.runningSince)
	switch n := g.fleet.ReportingCount(); {
	case n == 0:
		return len(g.awaitedMachines) >= 2 && quiet > report // nor did any find this new leader
	case n >= reliableReporters:
		return quiet > report+report/4
	default:
		return n >= 2 && quiet > 2*report
	}
}

// resignIfIsolated gives leadership up when no worker at all is heard any more, or
// none hears: this node may be cut off from them while another is not. If
// nobody reaches them, leadership goes round, which harms nothing.
func (g *leader) resignIfIsolated(ctx context.Context) {
	now := g.clock.Now()
	report := clock.FromSeconds(g.cfg.Facts.Workers.ReportS)
	g.mu.Lock()
	silent := g.fleet.Len() >= 2 && now-max(g.lastHeartbeat, g.term.Since, g.runningSince) > g.maxSilence(report)
	unheard := g.notAcknowledging >= 3 && 2*g.notAcknowledging > g.fleet.Len()
	silent = silent && g.expectedReporters() >= 2
	unfound := g.lastHeartbeat <= g.term.Since && now-g.term.Since < g.maxReportDelay()
	g.mu.Unlock()
	if silent && !unheard && unfound && g.checkIsolated(ctx) {
		return // workers may still try the controllers that are down
	}
	if silent || unheard {
		g.log.Info("no worker is heard, or none hears: giving leadership up", "deaf", g.notAcknowledging)
		g.elector.Resign()
	}
}

// expectedReporters counts the machines that ought to report. The caller holds mu.
func (g *leader) expectedReporters() (n int) {
	g.fleet.EachMachine(func(m *fleet.Machine) {
		if m.Reported || m.AllocationCount() > 0 || m.CloudStatus == wire.MachineRunning {
			n++
		}
	})
	return n
}
