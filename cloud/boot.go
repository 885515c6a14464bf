package cloud

import (
	"cmp"
	"slices"

	"cedardoor/clock"
)

const (
	// lateShare is the share of the stated time after which a boot is late: the others are up
	// within one and a half of it.
	lateShare = 1.6
	// lateMargin is given on top of that.
	lateMargin = 3 * clock.Second
	// bootMemory is how long what a boot took says something of those to come.
	bootMemory = 120 * clock.Second
	// minLateBoots is how many boots have to be late before the cloud may be at fault.
	minLateBoots = 3
	// replacedPart is the part of the late machines that is replaced while the cloud is slow: one in so many.
	replacedPart = 4
	// patienceFactor is how many times as long as the slowest boot lately a machine may take
	// while the cloud is slow.
	patienceFactor = 1.5
)

// boot is how long a rented machine took to come up, as a share of what the
// catalog says of its type.
type boot struct {
	at    clock.Micros
	share float64
}

// BootTimes is how long machines that were rented lately took to come up.
type BootTimes struct{ boots []boot }

// Booted notes a machine that took so long to come up, of a type for which so long is expected.
func (t *BootTimes) Booted(now, took, expected clock.Micros) {
	if expected > 0 {
		t.boots = append(t.boots, boot{at: now, share: float64(max(0, took)) / float64(expected)})
	}
}

// Shares lists how long the boots took, as shares of the stated times.
func (t *BootTimes) Shares() []float64 {
	shares := make([]float64, 0, len(t.boots))
	for _, boot := range t.boots {
		shares = append(shares, boot.share)
	}
	return shares
}

// Booting is a machine that is not up yet.
type Booting struct {
	Name     string
	Age      clock.Micros // since it was rented
	Expected clock.Micros // how long its type takes, by the catalog
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
	inTime, slow, slowest := t.recent(now)
	late := slices.DeleteFunc(slices.Clone(booting), func(b Booting) bool { return !b.late() })
	slices.SortFunc(late, func(a, b Booting) int {
		return cmp.Or(cmp.Compare(b.share(), a.share()), cmp.Compare(a.Name, b.Name))
	})
	overdue := Overdue{Replace: map[string]bool{}, Return: map[string]bool{}, Late: len(late)}
	overdue.CloudSlow = len(late)+slow >= minLateBoots && len(late)+slow > inTime
	patience = max(patience, patienceFactor*slowest)
	for i, machine := range late {
		overdue.Longest = max(overdue.Longest, machine.share())
		switch {
		case !overdue.CloudSlow || machine.share() > patience:
			overdue.Replace[machine.Name], overdue.Return[machine.Name] = true, true
		case i <= len(late)/replacedPart:
			overdue.Replace[machine.Name] = true
		}
	}
	return overdue
}

// recent forgets boots of long ago, counts the others, and gives the longest share.
func (t *BootTimes) recent(now clock.Micros) (inTime, slow int, slowest float64) {
	for len(t.boots) > 0 && now-t.boots[0].at > bootMemory {
		t.boots = t.boots[1:]
	}
	for _, boot := range t.boots {
		slowest = max(slowest, boot.share)
		if boot.share > lateShare {
			slow++
		} else {
			inTime++
		}
	}
	return inTime, slow, slowest
}
