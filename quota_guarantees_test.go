package cedardoor

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"cedardoor/quota"
	"cedardoor/wire"
)

// How much the team limits are played: a short seeded form unless more is asked for.
var (
	quotaSeeds = flag.Uint64("quota.seeds", 3, "how many schedules of submissions by several teams are played")
	quotaJobs  = flag.Int("quota.jobs", jobsPerRound, "how many jobs each of them submits")
	quotaSeed  = flag.Uint64("quota.seed", 0, "the seed of the first of them")
)

// Four teams submit at three controllers, at the same moments, more than there is room
// for, while leaders are killed, cut off and refused. No team is ever above its limit, and none
// under its guarantee for longer than the bound while it has work that fits.
func TestTeamsKeepTheirLimitsAndGuarantees(t *testing.T) {
	for seed := *quotaSeed; seed < *quotaSeed+*quotaSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			broken, watch := playTeamSchedule(t, randomTeamSchedule(seed))
			for _, fault := range slices.Concat(broken, watch.unservedTeams(), watch.underservedTeams()) {
				t.Error(fault)
			}
			for team := range watch.simulation.schedule.guarantees {
				t.Logf("%s: at most %v under its guarantee without a start, %.2f of it on average", team, watch.longestUnserved[team], watch.servedShare(team))
			}
		})
	}
}

// The checker sees a ledger that knows no limits, and one that knows no guarantees.
func TestCheckerSeesBrokenLedgers(t *testing.T) {
	for name, tt := range map[string]struct {
		strip func(l quota.Limits) quota.Limits
		found func(broken []string, watch *guaranteeMonitor) bool
	}{
		"without limits": {
			func(l quota.Limits) quota.Limits { return quota.Limits{Guarantee: l.Guarantee} },
			func(broken []string, _ *guaranteeMonitor) bool {
				return slices.ContainsFunc(broken, func(b string) bool { return strings.Contains(b, "quota") })
			}},
		"without guarantees": {
			func(l quota.Limits) quota.Limits { return quota.Limits{Limit: l.Limit} },
			func(_ []string, watch *guaranteeMonitor) bool { return len(watch.unservedTeams()) > 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := randomTeamSchedule(1)
			s.newLedger = func(teams map[string]quota.Limits) *quota.Ledger {
				stripped := map[string]quota.Limits{}
				for team, limits := range teams {
					stripped[team] = tt.strip(limits)
				}
				return quota.NewLedger(stripped)
			}
			if broken, watch := playTeamSchedule(t, s); !tt.found(broken, watch) {
				t.Errorf("nothing is found: %v, %v", broken, watch.longestUnserved)
			}
		})
	}
}

// Three controllers accept jobs for a team's last free room in the same instant. All are
// accepted, one runs, and the others follow one by one.
func TestLastRoomAcceptedByThreeControllers(t *testing.T) {
	s := schedule{seed: 3, duration: seconds(60), firstLeader: 1}
	for i := range 3 {
		u := newSubmission(i+1, 20, 10, func(sp *wire.Spec) { sp.Team, sp.Cores = "tight", 4 })
		u.firstController = i
		s.submissions = append(s.submissions, u)
	}
	s.setup = func(w *simulation) {
		w.runAt(25, func() {
			if got := w.teamCores("tight"); got != 4 {
				t.Errorf("the team uses %v, want the 4 that fit its limit of %v", got, tightLimit)
			}
			for _, u := range w.schedule.submissions {
				w.mu.Lock()
				accepted := w.views[u.spec.UID].accepted
				w.mu.Unlock()
				if !accepted {
					t.Errorf("%s is not accepted", u.spec.UID)
				}
			}
		})
	}
	playSchedule(t, s, func(w *simulation) { w.checkAllServed() })
}
