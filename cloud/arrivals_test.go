package cloud

import (
	"testing"

	"cedardoor/clock"
)

// A rate decays as the time grows in which nothing has come, and is gone once all
// work is done and the pause is long beside the usual one: machines held for it
// would be paid for nothing.
func TestRateDecaysWithoutArrivals(t *testing.T) {
	const s = clock.Second
	decay := func(interval, pause clock.Micros, idle bool) float64 {
		now := 1000 * s
		var arrivals Arrivals
		for i := range 20 {
			arrivals.Add(Arrival{At: now - pause - clock.Micros(19-i)*interval})
		}
		return arrivals.decay(0, Window{Now: now, Span: 120 * s, Idle: idle})
	}
	if sooner, later := decay(2*s, 35*s, false), decay(2*s, 70*s, false); sooner <= later || later <= 0 {
		t.Errorf("with work left, the rate decays from %v to %v", sooner, later)
	}
	if got := decay(2*s, 35*s, true); got != 0 {
		t.Errorf("all done, and nothing for long: %v of the rate is held for", got)
	}
	if got := decay(20*s, 70*s, true); got == 0 {
		t.Error("a pause that is usual here counts as the end")
	}
}
