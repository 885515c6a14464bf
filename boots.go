package cedardoor

import (
	"slices"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/wire"
)

// boot is how long a rented machine took to come up, as a share of what the
// catalogue says of its type.
type boot struct {
	at    clock.Micros
	share float64
}

const (
	// lateShare and lateMargin tell a machine that comes late: the others are up
	// within one and a half of the stated time.
	lateShare  = 1.6
	lateMargin = 3 * clock.Second
	// bootsFor is how long what a boot took says something of those to come.
	bootsFor = 120 * clock.Second
	// allLate is how many late boots may be each machine's own fault, and
	// replacedPart the part of them that is replaced when they are not.
	allLate      = 3
	replacedPart = 4
)

// cameUp notes that a machine that this term rented is up. The caller holds mu.
func (g *term) cameUp(m *fleet.Machine, now clock.Micros) {
	asked, rented := g.asked[m.Name]
	if !rented {
		return
	}
	delete(g.asked, m.Name)
	if ready := g.ready(m.Build); ready > 0 {
		g.boots = append(g.boots, boot{at: now, share: float64(max(0, now-asked)) / float64(ready)})
	}
}

// ready is how long a type takes to boot, by the catalogue.
func (g *term) ready(build string) clock.Micros {
	if b, ok := g.fl.Build(build); ok && b.ReadyS > 0 {
		return clock.FromSeconds(b.ReadyS)
	}
	return 60 * clock.Second
}

// overdue judges the machines that should be up by now and are not: which are
// counted out, so that others are rented in their stead, and which are given up.
//
// One machine among others that come in time is replaced at once, and returned:
// it may never come. When most are late, the cloud as a whole is: renting all of
// them anew would pay for a second fleet that comes no sooner. Then a part is
// replaced, which also finds out when new ones come in time again, and a machine
// is given up only once it takes clearly longer than those that did come.
// The caller holds mu.
func (g *term) overdue(now clock.Micros) (out, givenUp map[*fleet.Machine]bool) {
	out, givenUp = map[*fleet.Machine]bool{}, map[*fleet.Machine]bool{}
	for len(g.boots) > 0 && now-g.boots[0].at > bootsFor {
		g.boots = g.boots[1:]
	}
	inTime, slow, slowest := 0, 0, 0.0
	for _, b := range g.boots {
		slowest = max(slowest, b.share)
		if b.share > lateShare {
			slow++
		} else {
			inTime++
		}
	}
	// What was rented by a predecessor, or while this process stood still, may be up
	// and on its way here.
	settled := now-max(g.awake, g.r.Since) > 3*clock.FromSeconds(g.cfg.Facts.Cloud.ListLagS)
	type waiting struct {
		m     *fleet.Machine
		share float64
	}
	var late []waiting
	g.fl.All(func(m *fleet.Machine) {
		if m.Reported || m.Listed != wire.HostBooting || m.Returning || m.AnsweredAt > 0 {
			return
		}
		from, rented := g.asked[m.Name]
		if !rented {
			if from = m.FirstSeen; !settled {
				return
			}
		}
		if age, ready := now-max(from, g.awake), g.ready(m.Build); age > clock.Micros(lateShare*float64(ready))+lateMargin {
			late = append(late, waiting{m, float64(age) / float64(ready)})
		}
	})
	slices.SortFunc(late, func(a, b waiting) int {
		if a.share != b.share {
			if a.share > b.share {
				return -1
			}
			return 1
		}
		if a.m.Name < b.m.Name {
			return -1
		}
		return 1
	})
	general := len(late)+slow >= allLate && len(late)+slow > inTime
	patience := max(g.op.Fleet.BootFactor, 1.5*slowest)
	for i, w := range late {
		switch {
		case !general || w.share > patience:
			out[w.m], givenUp[w.m] = true, true
		case i <= len(late)/replacedPart:
			out[w.m] = true
		}
	}
	if len(late) > 0 {
		g.log.Debug("machines are late", "late", len(late), "longest", late[0].share, "in_time", inTime, "slow", slow, "general", general, "counted_out", len(out), "given_up", len(givenUp))
	}
	return out, givenUp
}
