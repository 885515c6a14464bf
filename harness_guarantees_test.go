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

// maxUnserved is how long a team may be under its guarantee and have work that fits while none
// of it starts: a leader's lease, an election, the workers' leases until the tasks of its
// predecessor are proved gone, and two reports for a stop and a start.
const maxUnserved = 5*time.Second + 3*time.Second + simulatedLease + 2*simulatedReportInterval

// minServedShare is the share of its guarantee that a team must have on average while its work
// waits: its tasks run for seconds, start a second or two after one another, and nobody leads for
// a third of the time.
const minServedShare = 0.35

// guaranteeMonitor observes how teams with waiting work are served, from the machines and from
// what users were told.
type guaranteeMonitor struct {
	simulation      *simulation
	unservedSince   map[string]time.Time
	longestUnserved map[string]time.Duration // under the guarantee, without a start
	usedCores       map[string]float64       // of the guarantee, summed over the samples
	owedCores       map[string]float64       // the guarantee, summed over the samples
}

// newGuaranteeMonitor returns a monitor without samples.
func newGuaranteeMonitor(sim *simulation) *guaranteeMonitor {
	return &guaranteeMonitor{simulation: sim, unservedSince: map[string]time.Time{}, longestUnserved: map[string]time.Duration{}, usedCores: map[string]float64{}, owedCores: map[string]float64{}}
}

// sample adds what teams with a guarantee have now.
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

// servedShare returns the share of its guarantee that a team had while its work waited.
func (g *guaranteeMonitor) servedShare(team string) float64 {
	if g.owedCores[team] == 0 {
		return 1
	}
	return g.usedCores[team] / g.owedCores[team]
}

// unservedTeams lists the violations of teams none of whose tasks started for maxUnserved while they
// were under their guarantee.
func (g *guaranteeMonitor) unservedTeams() (violations []string) {
	for team := range g.simulation.schedule.guarantees {
		if unserved := g.longestUnserved[team]; unserved > maxUnserved {
			violations = append(violations, fmt.Sprintf("%s was under its guarantee without a start for %v, more than %v", team, unserved, maxUnserved))
		}
	}
	return violations
}

// underservedTeams lists the violations of teams that had less than minServedShare of their
// guarantee on average. That is significant where more work waits than the guarantee covers.
func (g *guaranteeMonitor) underservedTeams() (violations []string) {
	for team := range g.simulation.schedule.guarantees {
		if share := g.servedShare(team); share < minServedShare {
			violations = append(violations, fmt.Sprintf("%s had %.2f of its guarantee on average, less than %v", team, share, minServedShare))
		}
	}
	return violations
}

// hasUnplacedJob reports whether a team has a matching job with tasks that wait.
func (g *guaranteeMonitor) hasUnplacedJob(team string, matches func(spec *wire.Spec) bool) bool {
	return slices.ContainsFunc(g.simulation.schedule.submissions, func(submission scheduledSubmission) bool {
		return submission.spec.Team == team && matches(&submission.spec) && g.simulation.hasUnplacedTasks(submission.spec.UID)
	})
}

// playTeamSchedule plays a schedule of several teams. It returns the violations, and the monitor
// of the guarantees.
func playTeamSchedule(t *testing.T, schedule faultSchedule) (violations []string, monitor *guaranteeMonitor) {
	schedule.setup = func(sim *simulation) {
		for _, name := range controllerNames() {
			sim.network.Place(name, name)
		}
		monitor = newGuaranteeMonitor(sim)
		sim.wg.Go(func() {
			for sim.ctx.Err() == nil && time.Since(sim.startedAt) < schedule.duration+faultFreeTail/2 {
				time.Sleep(250 * time.Millisecond)
				monitor.sample()
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
		violations = sim.violations
		if t.Failed() || len(violations) > 0 && schedule.newLedger == nil {
			t.Logf("history of seed %d:\n%s", schedule.seed, strings.Join(sim.history, "\n"))
		}
	})
	return violations, monitor
}
