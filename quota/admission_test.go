package quota

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Shares follow the guarantees, leave none without, and add up to all.
func TestShares(t *testing.T) {
	for _, tt := range []struct {
		name  string
		teams map[string]Limits
		want  map[string]float64
	}{
		{"no guarantees", map[string]Limits{"a": {}, "b": {}}, map[string]float64{"a": 0.5, "b": 0.5}},
		{"one guarantee", map[string]Limits{"a": {Guarantee: NewAmount(8, 0)}, "b": {}}, map[string]float64{"a": 0.75, "b": 0.25}},
		{"two resources", map[string]Limits{"a": {Guarantee: NewAmount(30, 0)}, "b": {Guarantee: NewAmount(10, 4)}},
			map[string]float64{"a": 0.25 + 0.5*0.75/2, "b": 0.25 + 0.5*1.25/2}},
	} {
		got, sum := shares(tt.teams), 0.0
		for name, want := range tt.want {
			sum += got[name]
			if math.Abs(got[name]-want) > 1e-9 {
				t.Errorf("%s: %s has %v, want %v", tt.name, name, got[name], want)
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("%s: the shares add up to %v", tt.name, sum)
		}
	}
}

// floodResult counts what a flood and a steady trickle get through one controller in a
// minute, with the longest that the trickle was kept waiting.
type floodResult struct {
	admittedFlood, refusedFlood, admittedSteady, refusedSteady int64
	longestWait                                                time.Duration
}

// runFlood lets one team submit from a hundred senders at once, without a pause but for
// the second after a refusal, and another four times a second.
func runFlood(a *Admission) (out floodResult) {
	const patience = 1500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var flood, refused atomic.Int64
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			for ctx.Err() == nil {
				if err := a.Admit(ctx, "flood", patience); err == nil {
					flood.Add(1)
				} else {
					refused.Add(1)
					time.Sleep(time.Second)
				}
			}
		})
	}
	for ctx.Err() == nil {
		time.Sleep(250 * time.Millisecond)
		began := time.Now()
		if err := a.Admit(ctx, "trickle", patience); err == nil {
			out.admittedSteady++
		} else if ctx.Err() == nil {
			out.refusedSteady++
		}
		out.longestWait = max(out.longestWait, time.Since(began))
	}
	wg.Wait()
	out.admittedFlood, out.refusedFlood = flood.Load(), refused.Load()
	return out
}

// One team's flood neither keeps another from its share nor gets more through than the
// state service takes; without shares, it does keep it out.
func TestFloodLeavesOtherTeamsTheirShare(t *testing.T) {
	const most = 10 // changes a second
	synctest.Test(t, func(t *testing.T) {
		got := runFlood(NewAdmission(map[string]Limits{"flood": {}, "trickle": {Guarantee: NewAmount(4, 0)}}, most, 1))
		t.Logf("with shares: %+v", got)
		if got.refusedSteady > 0 || got.longestWait > 0 || got.admittedSteady < 230 {
			t.Errorf("the trickle: %+v, want all at once", got)
		}
		if got.admittedFlood < 60*(most-4)*9/10 || got.admittedFlood+got.admittedSteady > 60*most+3*most || got.refusedFlood == 0 {
			t.Errorf("the flood: %+v, want what the trickle leaves", got)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		if got := runFlood(NewAdmission(nil, most, 1)); got.refusedSteady == 0 && got.longestWait < time.Second {
			t.Errorf("without shares the flood keeps nobody out: %+v", got)
		}
	})
}

// A share that nobody uses goes to whoever asks.
func TestUnusedShareGoesToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 10
		a := NewAdmission(map[string]Limits{"a": {}, "b": {Guarantee: NewAmount(100, 0)}}, most, 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		n := 0
		for a.Admit(ctx, "a", time.Minute) == nil {
			n++
		}
		if n < 60*most*9/10 {
			t.Errorf("%d in a minute, want nearly all of %d", n, 60*most)
		}
	})
}

// What can't be taken is refused at once, and costs those who wait nothing.
func TestRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAdmission(map[string]Limits{"a": {}}, 4, 1)
		began := time.Now()
		var err error
		for range 100 {
			if err = a.Admit(t.Context(), "a", 0); err != nil {
				break
			}
		}
		if !errors.Is(err, ErrOverloaded) || time.Since(began) > 0 {
			t.Fatalf("after %v: %v", time.Since(began), err)
		}
		if err := a.Admit(t.Context(), "unknown", time.Second); err != nil {
			t.Errorf("with a second's patience: %v", err)
		}
	})
}

// The rate follows what the state service takes, between its bounds, and the own
// shares follow the rate.
func TestRateFollowsTheService(t *testing.T) {
	a := NewAdmission(map[string]Limits{"a": {}, "b": {}}, 100, 20)
	for range 20 {
		a.ReportOverload()
	}
	if got, own := a.total.Limit(), a.teams["a"].limiter.Limit(); got != 20 || own != 10 {
		t.Errorf("refused again and again: %v, own %v", got, own)
	}
	for range 40 {
		a.ReportSuccess()
	}
	if got, own := a.total.Limit(), a.teams["a"].limiter.Limit(); got != 100 || own != 50 {
		t.Errorf("taken again and again: %v, own %v", got, own)
	}
}
