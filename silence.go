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

// muteAfter is how many questions in a row a silent worker must fail to answer.
const muteAfter = 2

// few tells whether so many machines may be at fault themselves: when many
// seem to be at once, the fault is rather this controller's network, and no
// machine is given up for it. The caller holds mu.
func (g *term) few(n int) bool { return n <= max(2, g.fl.Len()/5) }

// stallAfter is the gap between two looks at the clock that shows that this
// process has not run meanwhile.
const stallAfter = 3 * clock.Second

// stallLoop watches for this process having stood still while its clocks ran on.
func (g *term) stallLoop(ctx context.Context) {
	for ctx.Err() == nil {
		g.checkStall()
		g.sleep(ctx, tick)
	}
}

// checkStall notes when this process went on after standing still. Whatever seemed
// silent, idle or slow to boot meanwhile was only not listened to, so that is
// counted from then on: one that wakes must not give up all its machines.
func (g *term) checkStall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ck.Now()
	if g.stallCheckedAt > 0 && now-g.stallCheckedAt > stallAfter {
		g.log.Info("this process stood still: silence is counted anew", "seconds", (now - g.stallCheckedAt).Seconds())
		g.awake = now
		g.stood++
	}
	g.stallCheckedAt = now
	g.catchUp(now)
}

// probeSilent asks workers that have gone silent for a sign of life. A machine
// with replicas that gives none is returned to the cloud: its 200 proves the
// replicas gone, so that they start elsewhere long before the machine's lease
// would have run out. Deaf machines are returned too: their reports go on, so
// that counting what their lease might have been extended to would never end.
func (g *term) probeSilent(ctx context.Context) {
	now := g.ck.Now()
	report := clock.FromSeconds(g.cfg.Facts.Workers.ReportS)
	g.mu.Lock()
	defer g.mu.Unlock()
	if now-g.probedAt < tick || now-g.awake < 2*report {
		return
	}
	g.probedAt = now
	if _, may := g.el.HoldsLease(); !may || !g.op.Fleet.Enabled {
		return
	}
	var silent []*fleet.Machine
	for _, m := range g.fl.SilentMachines(now, report+report/4+300*clock.Millisecond) {
		if !m.Returning && !m.LeaseExpired(now) {
			silent = append(silent, m)
		}
	}
	// Recorded by a predecessor, and silent since: with leaders changing, each
	// would wait out a whole lease anew. Machines that boot hold nothing and are
	// not silent; counting them once kept a hung one from being returned.
	if now-g.r.Since > 2*report+2*clock.Second {
		for m := range g.unheard {
			if m.Reported || m.AllocationCount() == 0 || g.fl.Machine(m.Name) != m {
				delete(g.unheard, m)
			} else if m.Endpoint != "" && !m.Returning && !m.LeaseExpired(now) {
				silent = append(silent, m)
			}
		}
	}
	if g.few(len(silent)) && now-g.heard < report {
		for _, m := range silent {
			if g.hasReplica(m) {
				g.ask(m)
			}
		}
		g.returnMute(ctx, silent)
	}
	if g.deaf > 0 && g.few(g.deaf) {
		var names []string
		for name, pm := range g.deafOnes() {
			if !pm.Returning && len(names) < wire.MaxReturnPerRequest {
				pm.Returning = true
				g.touched[pm] = true
				names = append(names, name)
			}
		}
		if len(names) > 0 {
			g.log.Info("machines are deaf: returning them", "hosts", names)
			go g.giveBack(ctx, names)
		}
	}
}

// returnMute returns the machines that gave no answer, in one request. Those of
// a zone that is silent as a whole are left alone: it is cut off, its
// replicas run on until their leases end, and new machines take longer to boot
// than that. The caller holds mu.
func (g *term) returnMute(ctx context.Context, silent []*fleet.Machine) {
	if len(g.mute) == 0 {
		return
	}
	quiet, all := map[string]int{}, map[string]int{}
	for _, m := range silent {
		quiet[m.Zone]++
	}
	g.fl.EachMachine(func(m *fleet.Machine) {
		if m.Reported || g.unheard[m] {
			all[m.Zone]++
		}
	})
	cut := cutZones(quiet, all)
	var names []string
	for m := range g.mute {
		switch {
		case g.fl.Machine(m.Name) != m || m.Returning || m.UnansweredProbes < muteAfter || !g.hasReplica(m):
			delete(g.mute, m)
		case cut[m.Zone] && m.Reported:
		case len(names) < wire.MaxReturnPerRequest:
			m.Returning = true
			g.touched[m] = true
			delete(g.mute, m)
			names = append(names, m.Name)
		}
	}
	if len(names) > 0 {
		slices.Sort(names)
		g.log.Info("machines are silent and hold replicas: returning them", "hosts", names)
		go g.giveBack(ctx, names)
	}
}

// deafOnes finds the machines that are banned as deaf. The caller holds mu.
func (g *term) deafOnes() map[string]*fleet.Machine {
	out := map[string]*fleet.Machine{}
	g.fl.EachMachine(func(m *fleet.Machine) {
		if m.QuarantineReason == banDeaf {
			out[m.Name] = m
		}
	})
	return out
}

// hasReplica tells whether a replica may be on a machine. The caller holds mu.
func (g *term) hasReplica(m *fleet.Machine) bool {
	found := false
	m.EachAllocation(func(b *fleet.Allocation) {
		j, known := b.Owner.(*job)
		found = found || b.Live() && known && j.standing() && !j.cancelled
	})
	return found
}

// proof is a machine whose first report was no proof that it is there now.
type proof struct {
	m  *fleet.Machine
	at clock.Micros
}

// proofAfter is how long its next report is waited for: a worker tells of a new
// token after half a second, but only once in half a lease, and where leaders
// or tokens change often that would leave it untrusted until its next regular one.
const proofAfter = 800 * clock.Millisecond

// prove asks the workers that have not shown the token they were told. The
// caller holds mu.
func (g *term) prove(now clock.Micros) {
	for len(g.proofs) > 0 && now-g.proofs[0].at >= proofAfter && g.probes < g.budget.Questions {
		m := g.proofs[0].m
		g.proofs = g.proofs[1:]
		if !m.Reported && g.fl.Machine(m.Name) == m {
			g.ask(m)
		}
	}
}

// askOld asks a worker whose report is older than what is known of it, now and
// then: only its answer tells a late copy from a new process that counts from
// the start again. The caller holds mu.
func (g *term) askOld(m *fleet.Machine, now clock.Micros) {
	if at, asked := g.probed[m.Name]; asked && now-at < clock.FromSeconds(g.cfg.Facts.Workers.ReportS) {
		return
	}
	if len(g.probed) > 4096 {
		clear(g.probed)
	}
	g.probed[m.Name] = now
	g.ask(m)
}

// ask asks a worker for its report. The caller holds mu.
func (g *term) ask(m *fleet.Machine) {
	if m.Probing || m.Endpoint == "" || m.Returning || g.probes >= g.budget.Questions || g.ctx == nil {
		return
	}
	m.Probing = true
	g.probes++
	g.log.Debug("worker is asked for its report", "host", m.Name, "silent", (g.ck.Now() - m.LastHeartbeat).Seconds(), "mute", m.UnansweredProbes)
	go g.probe(g.ctx, m, m.Endpoint, m.ReportVersion())
}

func (g *term) probe(ctx context.Context, m *fleet.Machine, endpoint string, known wire.ReportVersion) {
	pctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	rep, err := g.workers.Show(pctx, endpoint)
	cancel()
	now := g.ck.Now()
	report := clock.FromSeconds(g.cfg.Facts.Workers.ReportS)
	g.mu.Lock()
	m.Probing = false
	g.probes--
	switch {
	case ctx.Err() != nil || g.fl.Machine(m.Name) != m:
	case err == nil && rep.Machine == m.Name:
		g.news(g.fl.ProbeAnswered(now, known, rep), now)
		g.adoptShown(m, now)
		if m.Restarted() {
			g.toTell[m] = true
		}
	case now-m.LastHeartbeat < report && !m.Suspect, !m.Reported && !m.Suspect && now-m.AnsweredAt < report:
		// It reports, trusted or not yet: only this question was lost.
	default:
		if m.UnansweredProbes++; m.UnansweredProbes >= muteAfter {
			g.mute[m] = true
		}
	}
	g.mu.Unlock()
	g.wake()
}

// cutReports is how many report intervals without any heartbeat make a leader
// believe that it is cut off from the workers.
const cutReports = 3

// manyReport is how many machines make that sure sooner: each of them reports
// within five quarters of an interval, so one interval without any heartbeat is no
// chance, and every second counts against the leases of all.
const manyReport = 10

// cutAfter is how long no heartbeat may come before the leader gives up. A new
// leader waits longer, since its workers have yet to find it. The caller holds mu.
func (g *term) cutAfter(report clock.Micros) clock.Micros {
	if g.fl.ReportingCount() >= manyReport && g.heard > max(g.r.Since, g.awake) {
		return report + report/4 + 2*clock.Second
	}
	return cutReports*report + clock.Second
}

// hearsNobody tells whether all workers have fallen silent at once: that is this
// controller's network, and nothing is rented in their stead by one that is about
// to give the lead up. The caller holds mu.
func (g *term) hearsNobody(now clock.Micros) bool {
	report := clock.FromSeconds(g.cfg.Facts.Workers.ReportS)
	quiet := now - max(g.heard, g.r.Since, g.awake)
	switch n := g.fl.ReportingCount(); {
	case n == 0:
		return len(g.unheard) >= 2 && quiet > report // nor did any find this new leader
	case n >= manyReport:
		return quiet > report+report/4
	default:
		return n >= 2 && quiet > 2*report
	}
}

// abdicate gives leadership up when no worker at all is heard any more, or
// none hears: this node may be cut off from them while another is not. If
// nobody reaches them, leadership goes round, which harms nothing.
func (g *term) abdicate(ctx context.Context) {
	now := g.ck.Now()
	report := clock.FromSeconds(g.cfg.Facts.Workers.ReportS)
	g.mu.Lock()
	silent := g.fl.Len() >= 2 && now-max(g.heard, g.r.Since, g.awake) > g.cutAfter(report)
	unheard := g.deaf >= 3 && 2*g.deaf > g.fl.Len()
	silent = silent && g.expected() >= 2
	unfound := g.heard <= g.r.Since && now-g.r.Since < g.reportWithin()
	g.mu.Unlock()
	if silent && !unheard && unfound && g.alone(ctx) {
		return // workers may still try the controllers that are down
	}
	if silent || unheard {
		g.log.Info("no worker is heard, or none hears: giving leadership up", "deaf", g.deaf)
		g.el.Resign()
	}
}

// expected counts the machines that ought to report. The caller holds mu.
func (g *term) expected() (n int) {
	g.fl.EachMachine(func(m *fleet.Machine) {
		if m.Reported || m.AllocationCount() > 0 || m.CloudStatus == wire.MachineRunning {
			n++
		}
	})
	return n
}
