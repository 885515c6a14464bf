package cloud

import "cedardoor/clock"

const (
	// growthSpan is the span whose growth of on-demand demand is expected once more: it is
	// about what a machine takes to boot.
	growthSpan = 30 * clock.Second
	// minGrowthSpan is the shortest span over which growth is measured.
	minGrowthSpan = 10 * clock.Second
	// minTrendSpan is for how long on-demand demand must be known to tell its trend.
	minTrendSpan = 60 * clock.Second
)

// peak is what was needed at one moment.
type peak struct {
	at               clock.Micros
	onDemand         float64 // cores that only on-demand machines may hold
	preemptible      float64 // cores that spot machines may hold
	onDemandReserved float64 // onDemand with what is kept in reserve
	urgent           float64 // part of preemptible
}

// Peaks is what was needed over the last while, oldest first.
type Peaks struct{ list []peak }

// Retention is how long what was needed is held.
type Retention struct {
	Now, Since  clock.Micros // this moment, and when this leader began to count
	Preemptible clock.Micros // on spot machines
	OnDemand    clock.Micros // on on-demand machines
	Decay       float64      // share of the rate of preemptible work that is still supported
}

// Retain records what is needed now and fills in what is to be held of what was needed
// before: it is likely to be needed again before a new machine could be up, so only what
// has been too much for a while is scaled in.
func (p *Peaks) Retain(demand *Demand, urgent float64, r Retention) {
	demand.Growth = p.growth(demand.OnDemand.Cores, r)
	p.list = append(p.list, peak{at: r.Now, onDemand: demand.OnDemand.Cores, preemptible: demand.Preemptible.Cores,
		onDemandReserved: demand.OnDemand.Cores*(1+demand.ReserveShare) + demand.Growth, urgent: urgent})
	for len(p.list) > 0 && r.Now-p.list[0].at > max(r.Preemptible, r.OnDemand) {
		p.list = p.list[1:]
	}
	for _, peak := range p.list {
		if r.Now-peak.at <= r.Preemptible {
			// What is held for more work to come goes with the signs that it will.
			demand.KeepPreemptible = max(demand.KeepPreemptible, peak.preemptible*r.Decay)
			demand.KeepUrgent = max(demand.KeepUrgent, peak.urgent*r.Decay)
		}
		if r.Now-peak.at <= r.OnDemand {
			demand.KeepOnDemand = max(demand.KeepOnDemand, peak.onDemandReserved)
		}
	}
	// A machine that is emptied while replicas come on the whole is rented again
	// soon, cold: what the last while added is expected once more.
	if known := r.Now - p.list[0].at; known >= minTrendSpan && demand.OnDemand.Cores > p.list[0].onDemand {
		grown := (demand.OnDemand.Cores - p.list[0].onDemand) * r.OnDemand.Seconds() / known.Seconds()
		demand.KeepOnDemand = max(demand.KeepOnDemand, (demand.OnDemand.Cores+grown)*(1+demand.ReserveShare))
	}
}

// growth is how many cores on-demand demand is about to grow by: replicas arrive faster at some
// times than at others.
func (p *Peaks) growth(onDemand float64, r Retention) float64 {
	if len(p.list) == 0 {
		return 0
	}
	i := len(p.list) - 1
	for i > 0 && r.Now-p.list[i].at <= growthSpan {
		i--
	}
	grown := onDemand - p.list[i].onDemand
	if grown <= 0 || r.Now-r.Since <= 2*growthSpan {
		return 0
	}
	span := max(minGrowthSpan, r.Now-p.list[i].at)
	return grown * growthSpan.Seconds() / span.Seconds()
}
