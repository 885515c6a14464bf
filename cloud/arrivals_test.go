package cloud

import (
	"testing"

	"cedardoor/clock"
)

// A rate fades as the time grows in which nothing has come, and is gone once all
// work is done and the pause is long beside the usual one: machines held for it
// would be paid for nothing.
func TestRateFadesAsNothingComes(t *testing.T) {
	at := func(every, quiet clock.Micros, done bool) float64 {
		now := 1000 * clock.Second
		var arrivals Arrivals
		for i := range 20 {
			arrivals.Add(Arrival{At: now - quiet - clock.Micros(19-i)*every})
		}
		return arrivals.fade(0, Window{Now: now, Span: 120 * clock.Second, Idle: done})
	}
	const s = clock.Second
	if a, b := at(2*s, 35*s, false), at(2*s, 70*s, false); a <= b || b <= 0 {
		t.Errorf("with work left, the rate fades from %v to %v", a, b)
	}
	if f := at(2*s, 35*s, true); f != 0 {
		t.Errorf("all done, and nothing for long: %v of the rate is held for", f)
	}
	if f := at(20*s, 70*s, true); f == 0 {
		t.Error("a pause that is usual here counts as the end")
	}
}
