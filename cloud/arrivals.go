package cloud

import (
	"math"

	"cedardoor/clock"
)

const (
	// recentWindow is the short window in which a drop in the arrival rate is detected.
	recentWindow = 30 * clock.Second
	// headroomFactor is the headroom per unit of the squared relative standard error of the arriving
	// work.
	headroomFactor = 2.5
	// minDecay is the lower bound of Rate.Decay while any work is unfinished.
	minDecay = 0.02
	// minArrivals is the number of arrivals needed to estimate the mean gap between them.
	minArrivals = 5
	// longGapFactor is the multiple of the mean gap after which arrivals are considered to have
	// ended.
	longGapFactor = 5
)

// Arrival is the work that a job brought, as resources times seconds (such as core-seconds).
type Arrival struct {
	At      clock.Micros
	Work    Load
	Initial bool // found by the first leader at its start, so its arrival was not observed
	Job     any  // identifies the job
}

// Arrivals is the work that arrived within a sliding window, oldest first.
type Arrivals struct{ list []Arrival }

// Add records an arrival.
func (a *Arrivals) Add(arrival Arrival) { a.list = append(a.list, arrival) }

// Withdraw sets the work of a job's arrival to zero, so that no machines are rented for it.
func (a *Arrivals) Withdraw(job any) {
	for i := range a.list {
		if a.list[i].Job == job {
			a.list[i].Work = Load{}
		}
	}
}

// Window holds the parameters of a rate calculation.
type Window struct {
	Now         clock.Micros
	Since       clock.Micros // when this leader began to record arrivals
	Span        clock.Micros // length of the sliding window
	Predecessor Load         // rate recorded by the previous leader; zero if none
	MaxHeadroom float64      // upper bound of Rate.Headroom
	Idle        bool         // no work is unfinished
}

// Rate is the rate at which work arrives.
type Rate struct {
	Load     Load    // capacity that keeps up with the arrivals
	Headroom float64 // share of Load to add for the variance of the arrivals
	Decay    float64 // share of the window's rate that recent arrivals still support; included in Load
}

// Rate drops arrivals older than the window and returns the arrival rate over the others.
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
			// The jobs that a first leader finds show how much work is present, not how
			// fast it arrives. They stand in for the unobserved arrivals before the
			// leader's start, with a weight that falls to zero over the window.
			weight = max(0, 1-age/w.Span.Seconds())
		}
		sum.Cores += arrival.Work.Cores * weight
		sum.RAM += arrival.Work.RAM * weight
		sum.Accelerators += arrival.Work.Accelerators * weight
		sumOfSquares += arrival.Work.Cores * arrival.Work.Cores
		if w.Now-arrival.At <= recentWindow {
			recent++
		}
	}
	rate := Rate{Headroom: headroom(sum.Cores, sumOfSquares, w.MaxHeadroom), Decay: a.decay(recent, w)}
	span := w.Span.Seconds()
	if w.Predecessor == (Load{}) {
		span = min(span, span/2+age)
	} else if age < span {
		// The predecessor's rate covers the part of the window before this term.
		sum.Cores += w.Predecessor.Cores * (span - age)
		sum.RAM += w.Predecessor.RAM * (span - age)
		sum.Accelerators += w.Predecessor.Accelerators * (span - age)
	}
	rate.Load = Load{Cores: sum.Cores * rate.Decay / span, RAM: sum.RAM * rate.Decay / span, Accelerators: sum.Accelerators * rate.Decay / span}
	return rate
}

// headroom returns the capacity to add above the mean rate, as a share of it. The
// sum of many small jobs varies less than that of a few large ones. The share is
// proportional to the square of the sum's relative standard error, not to the error
// itself, because a large fleet also absorbs a peak sooner: machines become free more often.
func headroom(sum, sumOfSquares, limit float64) float64 {
	if sum <= 0 {
		return limit
	}
	return min(limit, headroomFactor*sumOfSquares/(sum*sum))
}

// decay returns the share of the window's rate that the given number of arrivals within
// recentWindow still supports. It is 1 unless clearly fewer jobs arrived than that rate
// predicts, so that machines are returned soon after arrivals stop. It is 0 once all work
// is done and the gap since the last arrival is several times the mean gap. Until the
// leader has recorded a full window, it is 1.
func (a *Arrivals) decay(recent int, w Window) float64 {
	count := len(a.list)
	if w.Now-w.Since < w.Span || count == 0 {
		return 1
	}
	last := a.list[count-1].At
	gap := w.Now - last
	if meanGap := (last - a.list[0].At) / clock.Micros(max(1, count-1)); w.Idle && count >= minArrivals && gap > max(recentWindow, longGapFactor*meanGap) {
		return 0
	}
	n := float64(recent)
	// An upper confidence bound of the arrival rate in jobs per second, from the recent count.
	rateBound := (n + 2*math.Sqrt(n) + 2) / max(recentWindow, gap).Seconds()
	return max(minDecay, min(1, rateBound*w.Span.Seconds()/float64(count)))
}
