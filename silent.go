package cedardoor

import (
	"context"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/wire"
)

// probeTimeout is how long a silent worker may take to answer.
const probeTimeout = 700 * clock.Millisecond

// deafAfter is how many questions in a row a silent worker must fail to answer.
const deafAfter = 2

// probeSilent asks workers that have gone silent for a sign of life. A machine
// with replicas that gives none is returned to the cloud: its 200 proves the
// replicas gone, so that they start elsewhere long before the machine's lease
// would have run out. When many machines are silent at once the fault is
// rather this controller's network, and nothing is returned.
func (g *reign) probeSilent(ctx context.Context) {
	now := g.ck.Now()
	report := clock.FromSeconds(g.cfg.Facts.Workers.ReportS)
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, may := g.el.MayOrder(); !may || !g.op.Fleet.Enabled {
		return
	}
	var silent []*fleet.Machine
	heard := 0
	for _, m := range g.fl.Machines() {
		switch {
		case m.Returning:
		case !m.Beaten:
			// Recorded by a predecessor, and silent since: with leaders changing, each
			// would wait out a whole lease anew. Machines that boot hold nothing and
			// are not silent; counting them once kept a hung one from being returned.
			if m.Endpoint != "" && len(m.Bookings) > 0 && now-g.r.Since > 2*report+2*clock.Second && !m.Lapsed(now) {
				silent = append(silent, m)
			}
		case now-m.LastBeat <= report+report/4+300*clock.Millisecond:
			heard++
		case !m.Lapsed(now):
			silent = append(silent, m)
		}
	}
	if len(silent) > max(2, heard/5) || heard == 0 {
		return
	}
	for _, m := range silent {
		if m.Probing || !g.hasReplica(m) {
			continue
		}
		m.Probing = true
		g.log.Debug("machine is silent", "host", m.Name, "for", (now - m.LastBeat).Seconds(), "deaf", m.Deaf)
		go g.probe(ctx, m, m.Endpoint)
	}
}

// hasReplica tells whether a replica may be on a machine. The caller holds mu.
func (g *reign) hasReplica(m *fleet.Machine) bool {
	found := false
	m.Each(func(b *fleet.Booking) {
		j := g.jobs[b.Piece.Job]
		found = found || b.Live() && j != nil && j.standing() && !j.cancelled
	})
	return found
}

func (g *reign) probe(ctx context.Context, m *fleet.Machine, endpoint string) {
	pctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	rep, err := g.workers.Show(pctx, endpoint)
	cancel()
	now := g.ck.Now()
	g.mu.Lock()
	m.Probing = false
	giveUp := false
	if err == nil && rep.Host == m.Name {
		m.Deaf = 0
		g.log.Debug("silent machine answers", "host", m.Name, "tenure", rep.Tenure)
		news, _ := g.fl.Report(now, rep, false)
		g.news(news, now)
	} else if ctx.Err() == nil {
		m.Deaf++
		giveUp = m.Deaf >= deafAfter && !m.Returning
		if giveUp {
			m.Returning = true
			g.log.Info("machine is silent and holds replicas: returning it", "host", m.Name)
		}
	}
	g.mu.Unlock()
	if giveUp {
		g.giveBack(ctx, []string{m.Name})
	}
}

// deafReports is how many report intervals without any beat make a leader
// believe that it is cut off from the workers.
const deafReports = 3

// abdicate gives leadership up when no worker at all is heard any more: this
// node may be cut off from them while another is not. If nobody hears them,
// leadership goes round, which harms nothing.
func (g *reign) abdicate() {
	now := g.ck.Now()
	report := clock.FromSeconds(g.cfg.Facts.Workers.ReportS)
	g.mu.Lock()
	expected := 0
	for _, m := range g.fl.Machines() {
		if m.Beaten || len(m.Bookings) > 0 || m.Listed == wire.HostRunning {
			expected++
		}
	}
	deaf := expected >= 2 && now-max(g.heard, g.r.Since) > deafReports*report+clock.Second
	g.mu.Unlock()
	if deaf {
		g.log.Info("no worker is heard: giving leadership up", "expected", expected)
		g.el.Abdicate()
	}
}
