package cloud

import (
	"math"

	"cedardoor/clock"
)

const (
	// recentSpan is the span in which a rate of arrivals that has fallen shows first.
	recentSpan = 30 * clock.Second
	// headroomFactor is the headroom per square of the relative standard error of the work that arrives.
	headroomFactor = 2.5
	// minDecay is the least share of a rate that is still expected while there is work left.
	minDecay = 0.02
	// minArrivals is how many jobs have to have come for the usual pause between them to be known.
	minArrivals = 5
	// longPause is how many times the usual pause without a job means that none come any more.
	longPause = 5
)

// Arrival is the work that came with a job, in core-seconds and the like.
type Arrival struct {
	At      clock.Micros
	Work    Load
	Initial bool // was there when the first leader began
	Job     any  // identifies the job
}

// Arrivals is the work that came within a window, oldest first.
type Arrivals struct{ list []Arrival }

// Add records work that came.
func (a *Arrivals) Add(arrival Arrival) { a.list = append(a.list, arrival) }

// Withdraw takes a job's work back: it calls for no machines.
func (a *Arrivals) Withdraw(job any) {
	for i := range a.list {
		if a.list[i].Job == job {
			a.list[i].Work = Load{}
		}
	}
}

// Window is the span over which a rate is taken.
type Window struct {
	Now         clock.Micros
	Since       clock.Micros // when this leader began to count
	Span        clock.Micros
	Predecessor Load    // the predecessor's rate; zero where there was none
	MaxHeadroom float64 // the headroom is at most this share
	Idle        bool    // there is no work left at all
}

// Rate is how fast work comes.
type Rate struct {
	Load     Load    // what keeps up with it
	Headroom float64 // share of it that covers how much it varies
	Decay    float64 // share of the window's rate that the arrivals of late still support
}

// Rate tells how fast work came within a window.
func (a *Arrivals) Rate(w Window) Rate {
	for len(a.list) > 0 && w.Now-a.list[0].At > w.Span {
		a.list = a.list[1:]
	}
	var sum Load
	var sumOfSquares float64
	recent := 0
	age := (w.Now - w.Since).Seconds()
	for _, arrival := range a.list {
		weight := 1.0
		if arrival.Initial {
			// What a first leader finds says how much work there is at a time, not how
			// much comes: it stands in for what came before, less and less.
			weight = max(0, 1-age/w.Span.Seconds())
		}
		sum.Cores += arrival.Work.Cores * weight
		sum.RAM += arrival.Work.RAM * weight
		sum.Accelerators += arrival.Work.Accelerators * weight
		sumOfSquares += arrival.Work.Cores * arrival.Work.Cores
		if w.Now-arrival.At <= recentSpan {
			recent++
		}
	}
	rate := Rate{Headroom: headroom(sum.Cores, sumOfSquares, w.MaxHeadroom), Decay: a.decay(recent, w)}
	span := w.Span.Seconds()
	if w.Predecessor == (Load{}) {
		span = min(span, span/2+age)
	} else if age < span {
		// The predecessor's rate stands for the part of the window before this term.
		sum.Cores += w.Predecessor.Cores * (span - age)
		sum.RAM += w.Predecessor.RAM * (span - age)
		sum.Accelerators += w.Predecessor.Accelerators * (span - age)
	}
	rate.Load = Load{Cores: sum.Cores * rate.Decay / span, RAM: sum.RAM * rate.Decay / span, Accelerators: sum.Accelerators * rate.Decay / span}
	return rate
}

// headroom is what the work arriving in a window calls for beyond its mean, as a
// share of it: many small jobs vary less in sum than a few large. It goes with
// the square of the sum's standard error, since a large fleet also works off
// what comes above the mean sooner: more machines become free at any time.
func headroom(sum, sumOfSquares, limit float64) float64 {
	if sum <= 0 {
		return limit
	}
	return min(limit, headroomFactor*sumOfSquares/(sum*sum))
}

// decay is the share of the rate seen over the window that the arrivals of late, of which
// there were so many, still support: one, unless clearly fewer jobs came than at that
// rate. When work stops coming, the machines for it can go soon; and once all of
// it is done, and none has come for several times as long as usual, at once.
func (a *Arrivals) decay(recent int, w Window) float64 {
	seen := len(a.list)
	if w.Now-w.Since < w.Span || seen == 0 {
		return 1
	}
	last := a.list[seen-1].At
	pause := w.Now - last
	if usual := (last - a.list[0].At) / clock.Micros(max(1, seen-1)); w.Idle && seen >= minArrivals && pause > max(recentSpan, longPause*usual) {
		return 0
	}
	n := float64(recent)
	// An upper bound of the rate, in jobs a second, from the few jobs that came of late.
	likely := (n + 2*math.Sqrt(n) + 2) / max(recentSpan, pause).Seconds()
	return max(minDecay, min(1, likely*w.Span.Seconds()/float64(seen)))
}
