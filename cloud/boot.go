package cloud

import (
	"cmp"
	"slices"

	"cedardoor/clock"
)

const (
	// lateRatio is the multiple of the type's boot time in the catalog after which a boot is late;
	// normal boots take up to 1.5 times that time.
	lateRatio = 1.6
	// lateMargin is added to the limit that lateRatio sets.
	lateMargin = 3 * clock.Second
	// bootRetention is how long a boot is used to predict others.
	bootRetention = 120 * clock.Second
	// minLateBoots is how many boots must be late for the whole cloud to count as slow.
	minLateBoots = 3
	// lateReplacementDivisor limits replacements while the cloud is slow: about one late machine in
	// this many is replaced.
	lateReplacementDivisor = 4
	// slowestBootFactor is how many times as long as the slowest recent boot a machine may take
	// before it is returned, while the cloud is slow.
	slowestBootFactor = 1.5
)

// boot is a completed boot of a rented machine.
type boot struct {
	at    clock.Micros
	ratio float64 // time taken, relative to the boot time of its type in the catalog
}

// BootTimes records how long recently rented machines took to boot.
type BootTimes struct{ boots []boot }

// Record adds a boot that took the given time, with the boot time expected for its type.
func (t *BootTimes) Record(now, took, expected clock.Micros) {
	if expected > 0 {
		t.boots = append(t.boots, boot{at: now, ratio: float64(max(0, took)) / float64(expected)})
	}
}

// Ratios lists the recorded boot times, each relative to the expected time.
func (t *BootTimes) Ratios() []float64 {
	ratios := make([]float64, 0, len(t.boots))
	for _, boot := range t.boots {
		ratios = append(ratios, boot.ratio)
	}
	return ratios
}

// Booting is a machine that has not finished booting.
type Booting struct {
	Name     string
	Age      clock.Micros // time since it was rented
	Expected clock.Micros // boot time of its type in the catalog
}

// ratio returns the machine's age relative to its expected boot time.
func (b Booting) ratio() float64 { return float64(b.Age) / float64(b.Expected) }

// late reports whether the machine should have booted by now.
func (b Booting) late() bool { return b.Age > clock.Micros(lateRatio*float64(b.Expected))+lateMargin }

// Overdue says which machines are late to boot and how to handle them.
type Overdue struct {
	Replace      map[string]bool // machines that no longer count as capacity, so that others are rented
	Return       map[string]bool // machines to return
	Late         int
	LongestRatio float64 // the greatest age of a late machine, relative to its expected boot time
	CloudSlow    bool    // most boots are late: the cloud is slow rather than single machines
}

// Evaluate decides which of the booting machines to replace and which to return.
//
// While other machines boot in time, a late one is replaced and returned at once,
// since it may never boot. When most are late, the whole cloud is slow, and replacing
// all of them would pay for a second fleet that boots no sooner. Then only some of
// them are replaced, which also reveals when new machines boot in time again, and a
// machine is returned only after it has taken clearly longer than recent boots and
// longer than giveUpRatio times its expected boot time.
func (t *BootTimes) Evaluate(now clock.Micros, booting []Booting, giveUpRatio float64) Overdue {
	inTime, slow, slowest := t.recent(now)
	late := slices.DeleteFunc(slices.Clone(booting), func(b Booting) bool { return !b.late() })
	slices.SortFunc(late, func(a, b Booting) int {
		return cmp.Or(cmp.Compare(b.ratio(), a.ratio()), cmp.Compare(a.Name, b.Name))
	})
	overdue := Overdue{Replace: map[string]bool{}, Return: map[string]bool{}, Late: len(late)}
	overdue.CloudSlow = len(late)+slow >= minLateBoots && len(late)+slow > inTime
	giveUpRatio = max(giveUpRatio, slowestBootFactor*slowest)
	for i, machine := range late {
		overdue.LongestRatio = max(overdue.LongestRatio, machine.ratio())
		switch {
		case !overdue.CloudSlow || machine.ratio() > giveUpRatio:
			overdue.Replace[machine.Name], overdue.Return[machine.Name] = true, true
		case i <= len(late)/lateReplacementDivisor:
			overdue.Replace[machine.Name] = true
		}
	}
	return overdue
}

// recent drops boots older than bootRetention, counts the others, and returns the highest ratio
// among them.
func (t *BootTimes) recent(now clock.Micros) (inTime, slow int, slowest float64) {
	for len(t.boots) > 0 && now-t.boots[0].at > bootRetention {
		t.boots = t.boots[1:]
	}
	for _, boot := range t.boots {
		slowest = max(slowest, boot.ratio)
		if boot.ratio > lateRatio {
			slow++
		} else {
			inTime++
		}
	}
	return inTime, slow, slowest
}
