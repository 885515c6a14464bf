package cloud

import (
	"cmp"
	"slices"

	"cedardoor/clock"
)

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

// boot is how long a rented machine took to come up, as a share of what the
// catalogue says of its type.
type boot struct {
	at    clock.Micros
	share float64
}

// BootTimes is how long machines that were rented lately took to come up.
type BootTimes struct{ boots []boot }

// Booted notes a machine that came up after so long, of a type that is ready after so long.
func (t *BootTimes) Booted(now, took, ready clock.Micros) {
	if ready > 0 {
		t.boots = append(t.boots, boot{at: now, share: float64(max(0, took)) / float64(ready)})
	}
}

// Shares lists how long the boots took, as shares of the stated times.
func (t *BootTimes) Shares() []float64 {
	out := make([]float64, 0, len(t.boots))
	for _, b := range t.boots {
		out = append(out, b.share)
	}
	return out
}

// Booting is a machine that is not up yet.
type Booting struct {
	Name     string
	Age      clock.Micros // since it was rented
	Expected clock.Micros // how long its type takes, by the catalogue
}

// share is the machine's age as a share of the stated time.
func (b Booting) share() float64 { return float64(b.Age) / float64(b.Expected) }

// late tells whether it should be up by now.
func (b Booting) late() bool { return b.Age > clock.Micros(lateShare*float64(b.Expected))+lateMargin }

// Overdue is what is made of the machines that should be up and are not.
type Overdue struct {
	Replace   map[string]bool // others are rented in their stead
	Return    map[string]bool // they are returned
	Late      int
	Longest   float64 // the latest one's age, as a share of the stated time
	CloudSlow bool    // most are late: the cloud is slow, not a machine
}

// Evaluate tells which of the booting machines are counted out, and which are given up.
//
// One machine among others that come in time is replaced at once, and returned:
// it may never come. When most are late, the cloud as a whole is: renting all of
// them anew would pay for a second fleet that comes no sooner. Then a part is
// replaced, which also finds out when new ones come in time again, and a machine
// is given up only once it takes clearly longer than those that did come, and
// longer than the given share of the stated time.
func (t *BootTimes) Evaluate(now clock.Micros, booting []Booting, patience float64) Overdue {
	inTime, slow, slowest := t.lately(now)
	late := slices.DeleteFunc(slices.Clone(booting), func(b Booting) bool { return !b.late() })
	slices.SortFunc(late, func(a, b Booting) int {
		return cmp.Or(cmp.Compare(b.share(), a.share()), cmp.Compare(a.Name, b.Name))
	})
	out := Overdue{Replace: map[string]bool{}, Return: map[string]bool{}, Late: len(late)}
	out.CloudSlow = len(late)+slow >= allLate && len(late)+slow > inTime
	patience = max(patience, 1.5*slowest)
	for i, b := range late {
		out.Longest = max(out.Longest, b.share())
		switch {
		case !out.CloudSlow || b.share() > patience:
			out.Replace[b.Name], out.Return[b.Name] = true, true
		case i <= len(late)/replacedPart:
			out.Replace[b.Name] = true
		}
	}
	return out
}

// lately counts the boots that still say something, and gives the longest share.
func (t *BootTimes) lately(now clock.Micros) (inTime, slow int, slowest float64) {
	for len(t.boots) > 0 && now-t.boots[0].at > bootsFor {
		t.boots = t.boots[1:]
	}
	for _, b := range t.boots {
		slowest = max(slowest, b.share)
		if b.share > lateShare {
			slow++
		} else {
			inTime++
		}
	}
	return inTime, slow, slowest
}
