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
