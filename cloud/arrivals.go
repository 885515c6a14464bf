package cloud

import (
	"math"

	"cedardoor/clock"
)

// recently is the span in which a rate of arrivals that has fallen shows first.
const recently = 30 * clock.Second

// Arrival is the work that came with a job, in core-seconds and the like.
type Arrival struct {
	At      clock.Micros
	Work    Load
	Initial bool // was there when the first leader began
	Job     any  // tells it from others
}

// Arrivals is the work that came within a window, oldest first.
type Arrivals struct{ list []Arrival }

// Add notes work that came.
func (a *Arrivals) Add(arrival Arrival) { a.list = append(a.list, arrival) }

// Withdraw takes a job's work back: it calls for no machines.
func (a *Arrivals) Withdraw(job any) {
	for i := range a.list {
		if a.list[i].Job == job {
			a.list[i].Work = Load{}
		}
	}
}

// Window is what the arrivals are looked at by.
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
	Decay    float64 // share of the window's rate that the last short while still bears out
}

// Rate tells how fast work came within a window.
func (a *Arrivals) Rate(w Window) Rate {
	for len(a.list) > 0 && w.Now-a.list[0].At > w.Span {
		a.list = a.list[1:]
	}
	var sum Load
	var square float64
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
		square += arrival.Work.Cores * arrival.Work.Cores
		if w.Now-arrival.At <= recently {
			recent++
		}
	}
	rate := Rate{Headroom: headroom(sum.Cores, square, w.MaxHeadroom), Decay: a.fade(recent, w)}
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
// what comes above the mean sooner: more machines fall free at any time.
func headroom(sum, square, most float64) float64 {
	if sum <= 0 {
		return most
	}
	return min(most, 2.5*square/(sum*sum))
}

// fade is the share of the rate seen over the window that the last short
// while still bears out: one, unless clearly fewer jobs came in it than at that
// rate. When work stops coming, the machines for it can go soon; and once all of
// it is done, and none has come for several times as long as usual, at once.
func (a *Arrivals) fade(recent int, w Window) float64 {
	seen := len(a.list)
	if w.Now-w.Since < w.Span || seen == 0 {
		return 1
	}
	last := a.list[seen-1].At
	quiet := w.Now - last
	if usual := (last - a.list[0].At) / clock.Micros(max(1, seen-1)); w.Idle && seen >= 5 && quiet > max(recently, 5*usual) {
		return 0
	}
	n := float64(recent)
	likely := (n + 2*math.Sqrt(n) + 2) / max(recently, quiet).Seconds()
	return max(0.02, min(1, likely*w.Span.Seconds()/float64(seen)))
}

const (
	// growthOver is the span whose growth of ordinary demand is expected once more: a
	// machine takes a boot to come.
	growthOver = 30 * clock.Second
	// trendFrom is how much must be known of ordinary demand to tell its trend.
	trendFrom = 60 * clock.Second
)

// peak is what was needed at one moment.
type peak struct {
	at               clock.Micros
	onDemand         float64 // cores that only ordinary machines may hold
	preemptible      float64
	onDemandReserved float64 // the same as firm, with what is kept in reserve
	urgent           float64
}

// Peaks is what was needed over the last while, oldest first.
type Peaks struct{ list []peak }

// Retention is how long what was needed is held.
type Retention struct {
	Now, Since  clock.Micros // this moment, and when this leader began to count
	Preemptible clock.Micros // on spot machines
	OnDemand    clock.Micros // on ordinary ones
	Decay       float64      // share of loaned work's rate that is still borne out
}

// Retain notes what is needed now and fills in what is to be held of what was needed
// before: it is likely to be needed again before a new machine could be up, so only what
// has been too much for a while is given up.
func (p *Peaks) Retain(need *Demand, pressing float64, h Retention) {
	need.Growth = p.growth(need.OnDemand.Cores, h)
	p.list = append(p.list, peak{h.Now, need.OnDemand.Cores, need.Preemptible.Cores, need.OnDemand.Cores*(1+need.ReserveShare) + need.Growth, pressing})
	for len(p.list) > 0 && h.Now-p.list[0].at > max(h.Preemptible, h.OnDemand) {
		p.list = p.list[1:]
	}
	for _, peak := range p.list {
		if h.Now-peak.at <= h.Preemptible {
			// What is held for more work to come goes with the signs that it will.
			need.KeepPreemptible = max(need.KeepPreemptible, peak.preemptible*h.Decay)
			need.KeepUrgent = max(need.KeepUrgent, peak.urgent*h.Decay)
		}
		if h.Now-peak.at <= h.OnDemand {
			need.KeepOnDemand = max(need.KeepOnDemand, peak.onDemandReserved)
		}
	}
	// A machine that is emptied while replicas come on the whole is rented again
	// soon, cold: what the last while added is expected once more.
	if known := h.Now - p.list[0].at; known >= trendFrom && need.OnDemand.Cores > p.list[0].onDemand {
		grown := (need.OnDemand.Cores - p.list[0].onDemand) * h.OnDemand.Seconds() / known.Seconds()
		need.KeepOnDemand = max(need.KeepOnDemand, (need.OnDemand.Cores+grown)*(1+need.ReserveShare))
	}
}

// growth is what ordinary demand is about to grow by: replicas arrive faster at some
// times than at others.
func (p *Peaks) growth(firm float64, h Retention) float64 {
	for i := len(p.list) - 1; i >= 0; i-- {
		if h.Now-p.list[i].at <= growthOver && i > 0 {
			continue
		}
		span := max(10*clock.Second, h.Now-p.list[i].at)
		if grown := firm - p.list[i].onDemand; grown > 0 && h.Now-h.Since > 2*growthOver {
			return grown * growthOver.Seconds() / span.Seconds()
		}
		break
	}
	return 0
}
