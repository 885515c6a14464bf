package cedardoor

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cedardoor/wire"
)

// maxUnserved is how long a team may be under its guarantee, have work that fits and
// see none of it begin: a leader's lease, an election, the workers' leases until what its
// predecessor may have started is proved gone, and two reports for a stop and a start.
const maxUnserved = 5*time.Second + 3*time.Second + simulatedLease + 2*simulatedReportInterval

// minServedShare is the part of its guarantee that a team must have on average while it
// has work that waits: each of its tasks takes some seconds, and a second or two to
// follow another, and for a third of the time nobody leads.
const minServedShare = 0.35

// guaranteeMonitor looks, from the machines and from what users were told alone, at how
// teams with work that waits are served.
type guaranteeMonitor struct {
	simulation      *simulation
	unservedSince   map[string]time.Time
	longestUnserved map[string]time.Duration // under the guarantee without a start
	usedCores       map[string]float64       // of the guarantee, summed over the looks
	owedCores       map[string]float64       // the guarantee, summed alike
}

func newGuaranteeMonitor(sim *simulation) *guaranteeMonitor {
	return &guaranteeMonitor{simulation: sim, unservedSince: map[string]time.Time{}, longestUnserved: map[string]time.Duration{}, usedCores: map[string]float64{}, owedCores: map[string]float64{}}
}

// sample notes what teams with a guarantee have now.
func (g *guaranteeMonitor) sample() {
	for team, guarantee := range g.simulation.schedule.guarantees {
		used := g.simulation.teamCores(team)
		if g.hasUnplacedJob(team, func(*wire.Spec) bool { return true }) {
			g.usedCores[team] += min(used, guarantee)
			g.owedCores[team] += guarantee
		}
		if !g.hasUnplacedJob(team, func(spec *wire.Spec) bool { return used+spec.Cores <= guarantee }) {
			delete(g.unservedSince, team)
			continue
		}
		if _, known := g.unservedSince[team]; !known {
			g.unservedSince[team] = time.Now()
		}
		g.simulation.mu.Lock()
		last := g.simulation.observed.lastTeamStarts[team]
		g.simulation.mu.Unlock()
		if last.After(g.unservedSince[team]) {
			g.unservedSince[team] = last
		}
		g.longestUnserved[team] = max(g.longestUnserved[team], time.Since(g.unservedSince[team]))
	}
}

// servedShare is the part of its guarantee that a team had while its work waited.
func (g *guaranteeMonitor) servedShare(team string) float64 {
	if g.owedCores[team] == 0 {
		return 1
	}
	return g.usedCores[team] / g.owedCores[team]
}

// unservedTeams lists the teams that saw no start for too long while they were under their guarantee.
func (g *guaranteeMonitor) unservedTeams() (faults []string) {
	for team := range g.simulation.schedule.guarantees {
		if spell := g.longestUnserved[team]; spell > maxUnserved {
			faults = append(faults, fmt.Sprintf("%s was under its guarantee without a start for %v, more than %v", team, spell, maxUnserved))
		}
	}
	return faults
}

// underservedTeams lists the teams that had too little of their guarantees on average; it
// tells something where more work waits all the time than a guarantee has room for.
func (g *guaranteeMonitor) underservedTeams() (faults []string) {
	for team := range g.simulation.schedule.guarantees {
		if part := g.servedShare(team); part < minServedShare {
			faults = append(faults, fmt.Sprintf("%s had %.2f of its guarantee on average, less than %v", team, part, minServedShare))
		}
	}
	return faults
}

// hasUnplacedJob tells whether a team has a job with tasks that wait, of the given kind.
func (g *guaranteeMonitor) hasUnplacedJob(team string, kind func(spec *wire.Spec) bool) bool {
	return slices.ContainsFunc(g.simulation.schedule.submissions, func(submission scheduledSubmission) bool {
		return submission.spec.Team == team && kind(&submission.spec) && g.simulation.hasUnplacedTasks(submission.spec.UID)
	})
}

// playTeamSchedule plays a schedule of several teams, and gives the rules that were broken and
// how the guarantees were kept.
func playTeamSchedule(t *testing.T, schedule faultSchedule) (broken []string, watch *guaranteeMonitor) {
	schedule.setup = func(sim *simulation) {
		for i := range controllerCount {
			name := controllerName(i)
			sim.network.Place(name, name)
		}
		watch = newGuaranteeMonitor(sim)
		sim.wg.Go(func() {
			for sim.ctx.Err() == nil && time.Since(sim.startedAt) < schedule.duration+faultFreeTail/2 {
				time.Sleep(250 * time.Millisecond)
				watch.sample()
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := newSimulation(ctx, t, schedule)
		sim.run()
		if schedule.newLedger == nil {
			sim.checkAllServed()
		}
		sim.shutDown(cancel)
		broken = sim.violations
		if t.Failed() || len(broken) > 0 && schedule.newLedger == nil {
			t.Logf("history of seed %d:\n%s", schedule.seed, strings.Join(sim.history, "\n"))
		}
	})
	return broken, watch
}
