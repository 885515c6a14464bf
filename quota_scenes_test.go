package cedardoor

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cedardoor/quota"
	"cedardoor/wire"
)

// How much the team limits are played: a short seeded form unless more is asked for.
var (
	quotaSeeds = flag.Uint64("quota.seeds", 3, "how many schedules of submissions by several teams are played")
	quotaJobs  = flag.Int("quota.jobs", jobsPerCycle, "how many jobs each of them submits")
	quotaSeed  = flag.Uint64("quota.seed", 0, "the seed of the first of them")
)

// guaranteeBound is how long a team may be under its guarantee, have work that fits and
// see none of it begin: a leader's lease, an election, the workers' leases until what its
// predecessor may have started is proved gone, and two reports for a stop and a start.
const guaranteeBound = 5*time.Second + 3*time.Second + modelLease + 2*modelReport

// leastServed is the part of its guarantee that a team must have on average while it
// has work that waits: each of its tasks takes some seconds, and a second or two to
// follow another, and for a third of the time nobody leads.
const leastServed = 0.35

// guaranteeWatch looks, from the machines and from what users were told alone, at how
// teams with work that waits are served.
type guaranteeWatch struct {
	w       *world
	since   map[string]time.Time
	longest map[string]time.Duration // under the guarantee without a start
	used    map[string]float64       // of the guarantee, summed over the looks
	owed    map[string]float64       // the guarantee, summed alike
}

func newGuaranteeWatch(w *world) *guaranteeWatch {
	return &guaranteeWatch{w: w, since: map[string]time.Time{}, longest: map[string]time.Duration{}, used: map[string]float64{}, owed: map[string]float64{}}
}

// look notes what teams with a guarantee have now.
func (g *guaranteeWatch) look() {
	for team, guarantee := range g.w.s.floors {
		used := g.w.used(team)
		if g.waits(team, func(*wire.Spec) bool { return true }) {
			g.used[team] += min(used, guarantee)
			g.owed[team] += guarantee
		}
		if !g.waits(team, func(sp *wire.Spec) bool { return used+sp.Cores <= guarantee }) {
			delete(g.since, team)
			continue
		}
		if _, known := g.since[team]; !known {
			g.since[team] = time.Now()
		}
		g.w.mu.Lock()
		last := g.w.starts[team]
		g.w.mu.Unlock()
		if last.After(g.since[team]) {
			g.since[team] = last
		}
		g.longest[team] = max(g.longest[team], time.Since(g.since[team]))
	}
}

// served is the part of its guarantee that a team had while its work waited.
func (g *guaranteeWatch) served(team string) float64 {
	if g.owed[team] == 0 {
		return 1
	}
	return g.used[team] / g.owed[team]
}

// keptOut lists the teams that saw no start for too long while they were under their guarantee.
func (g *guaranteeWatch) keptOut() (faults []string) {
	for team := range g.w.s.floors {
		if spell := g.longest[team]; spell > guaranteeBound {
			faults = append(faults, fmt.Sprintf("%s was under its guarantee without a start for %v, more than %v", team, spell, guaranteeBound))
		}
	}
	return faults
}

// underServed lists the teams that had too little of their guarantees on average; it
// tells something where more work waits all the time than a guarantee has room for.
func (g *guaranteeWatch) underServed() (faults []string) {
	for team := range g.w.s.floors {
		if part := g.served(team); part < leastServed {
			faults = append(faults, fmt.Sprintf("%s had %.2f of its guarantee on average, less than %v", team, part, leastServed))
		}
	}
	return faults
}

// waits tells whether a team has a job with tasks that wait, of the given kind.
func (g *guaranteeWatch) waits(team string, kind func(sp *wire.Spec) bool) bool {
	return slices.ContainsFunc(g.w.s.users, func(u submission) bool {
		return u.spec.Team == team && kind(&u.spec) && g.w.waits(u.spec.UID)
	})
}

// waits tells whether tasks of a job that its user knows to be accepted are on no machine.
func (w *world) waits(uid string) bool {
	running := 0
	for _, n := range w.on(uid) {
		running += n
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.facts[uid]
	return f.accepted && !f.asked && !f.done && w.left[uid] > running
}

// jobsPerCycle is how many jobs the teams submit in a minute, with one round of troubles,
// and cycleSpan after how many seconds the next round begins: all of one can be done by then.
const (
	jobsPerCycle = 150
	cycleSpan    = 130
)

// teamSchedule draws submissions of four teams, two with guarantees and two with limits, at
// all controllers at the same moments, with more work than the cloud has machines for, while
// leaders are killed, cut off and refused.
func teamSchedule(seed uint64) schedule {
	r := rand.New(rand.NewPCG(seed, 21))
	cycles := max(1, *quotaJobs/jobsPerCycle)
	lasts := 70 + cycleSpan*float64(cycles-1)
	if cycles > 1 {
		lasts += 60 // what earlier rounds have left comes to the last one's
	}
	s := schedule{seed: seed, lasts: at(lasts), most: 6,
		limits: map[string]float64{"alpha": 0, "beta": 10, "gamma": 6, "greedy": 0},
		floors: map[string]float64{"alpha": 8, "beta": 6}}
	submit := func(from float64, runs float64, mod func(sp *wire.Spec)) {
		u := user(len(s.users)+1, from, runs, mod)
		u.node, u.light = r.IntN(3), true
		s.users = append(s.users, u)
	}
	for cycle := range cycles {
		began := cycleSpan * float64(cycle)
		for range 4 {
			submit(began+1+2*r.Float64(), 40, func(sp *wire.Spec) {
				sp.Team, sp.Priority, sp.Tasks, sp.Cores, sp.Preemptible = "greedy", "high", 6, 2, true
			})
		}
		s.troubles = append(s.troubles,
			trouble{kind: killNode, at: at(began + 14 + 6*r.Float64()), lasts: at(0.3 + 4*r.Float64()), node: 3},
			trouble{kind: cutNode, at: at(began + 28 + 4*r.Float64()), lasts: at(6 + 10*r.Float64()), node: 3},
			trouble{kind: refuseOne, at: at(began + 46 + 4*r.Float64()), lasts: at(8), node: 3},
			trouble{kind: killNode, at: at(began + 58 + 4*r.Float64()), lasts: at(0.3), node: 3})
	}
	for range *quotaJobs {
		team := []string{"alpha", "alpha", "alpha", "alpha", "beta", "beta", "gamma"}[r.IntN(7)]
		// Several at the same moment, at different controllers. Every machine fits them: what
		// waits under its team's guarantee has no other cause.
		submit(8+cycleSpan*float64(r.IntN(cycles))+2*float64(r.IntN(30)), 2+5*r.Float64(), func(sp *wire.Spec) {
			sp.Team, sp.Priority, sp.Cores, sp.Tasks, sp.Preemptible = team, []string{"low", "standard"}[r.IntN(2)], float64(1+r.IntN(2)), 1+r.IntN(2), true
		})
		if r.IntN(8) == 0 {
			s.users[len(s.users)-1].cancelAt = at(10 * r.Float64())
		}
	}
	return s
}

// playTeams plays a schedule of several teams, and gives the rules that were broken and
// how the guarantees were kept.
func playTeams(t *testing.T, s schedule) (broken []string, watch *guaranteeWatch) {
	s.setup = func(w *world) {
		for i := range 3 {
			name := fmt.Sprintf("node-%d", i+1)
			w.net.Place(name, name)
		}
		watch = newGuaranteeWatch(w)
		w.wg.Go(func() {
			for w.ctx.Err() == nil && time.Since(w.began) < s.lasts+quietTail/2 {
				time.Sleep(250 * time.Millisecond)
				watch.look()
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(ctx, t, s)
		w.play()
		if s.ledger == nil {
			w.served()
		}
		w.end(cancel)
		broken = w.broken
		if t.Failed() || len(broken) > 0 && s.ledger == nil {
			t.Logf("history of seed %d:\n%s", s.seed, strings.Join(w.history, "\n"))
		}
	})
	return broken, watch
}

// Four teams submit at three controllers, at the same moments, more than there is room
// for, while leaders are killed, cut off and refused. No team is ever above its limit, and none
// under its guarantee for longer than the bound while it has work that fits.
func TestTeamsKeepTheirLimitsAndGuarantees(t *testing.T) {
	for seed := *quotaSeed; seed < *quotaSeed+*quotaSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			broken, watch := playTeams(t, teamSchedule(seed))
			for _, fault := range slices.Concat(broken, watch.keptOut(), watch.underServed()) {
				t.Error(fault)
			}
			for team := range watch.w.s.floors {
				t.Logf("%s: at most %v under its guarantee without a start, %.2f of it on average", team, watch.longest[team], watch.served(team))
			}
		})
	}
}

// The checker sees a ledger that knows no limits, and one that knows no guarantees.
func TestCheckerSeesBrokenLedgers(t *testing.T) {
	for name, tt := range map[string]struct {
		strip func(l quota.Limits) quota.Limits
		found func(broken []string, watch *guaranteeWatch) bool
	}{
		"without limits": {
			func(l quota.Limits) quota.Limits { return quota.Limits{Guarantee: l.Guarantee} },
			func(broken []string, _ *guaranteeWatch) bool {
				return slices.ContainsFunc(broken, func(b string) bool { return strings.Contains(b, "quota") })
			}},
		"without guarantees": {
			func(l quota.Limits) quota.Limits { return quota.Limits{Limit: l.Limit} },
			func(_ []string, watch *guaranteeWatch) bool { return len(watch.keptOut()) > 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := teamSchedule(1)
			s.ledger = func(teams map[string]quota.Limits) *quota.Ledger {
				stripped := map[string]quota.Limits{}
				for team, limits := range teams {
					stripped[team] = tt.strip(limits)
				}
				return quota.NewLedger(stripped)
			}
			if broken, watch := playTeams(t, s); !tt.found(broken, watch) {
				t.Errorf("nothing is found: %v, %v", broken, watch.longest)
			}
		})
	}
}

// Three controllers accept jobs for a team's last free room in the same instant. All are
// accepted, one runs, and the others follow one by one.
func TestLastRoomAcceptedByThreeControllers(t *testing.T) {
	s := schedule{seed: 3, lasts: at(60), leads: 1}
	for i := range 3 {
		u := user(i+1, 20, 10, func(sp *wire.Spec) { sp.Team, sp.Cores = "tight", 4 })
		u.node = i
		s.users = append(s.users, u)
	}
	s.setup = func(w *world) {
		w.during(25, func() {
			if got := w.used("tight"); got != 4 {
				t.Errorf("the team uses %v, want the 4 that fit its limit of %v", got, tightLimit)
			}
			for _, u := range w.s.users {
				w.mu.Lock()
				accepted := w.facts[u.spec.UID].accepted
				w.mu.Unlock()
				if !accepted {
					t.Errorf("%s is not accepted", u.spec.UID)
				}
			}
		})
	}
	playOut(t, s, func(w *world) { w.served() })
}
