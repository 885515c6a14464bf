package cloud

import "cedardoor/clock"

const (
	// growthSpan is the length of the recent period whose growth of on-demand demand is expected
	// to repeat. It is about the boot time of a machine.
	growthSpan = 30 * clock.Second
	// minGrowthSpan is the shortest span over which growth is measured.
	minGrowthSpan = 10 * clock.Second
	// minTrendSpan is how long on-demand demand must have been recorded to compute its trend.
	minTrendSpan = 60 * clock.Second
)

// peak is the demand at one moment.
type peak struct {
	at               clock.Micros
	onDemand         float64 // cores of work that needs on-demand machines
	preemptible      float64 // cores of work that may run on spot machines
	onDemandReserved float64 // onDemand plus the reserve and the expected growth
	urgent           float64 // part of preemptible
}

// Peaks records the demand over the retention period, oldest first.
type Peaks struct{ list []peak }

// Retention says how long capacity for past demand is kept.
type Retention struct {
	Now, Since  clock.Micros // the current time, and when this leader began to record demand
	Preemptible clock.Micros // how long to keep capacity for preemptible work
	OnDemand    clock.Micros // how long to keep on-demand capacity
	Decay       float64      // Rate.Decay of the preemptible work
}

// Retain records the current demand and sets its Growth and Keep fields from the recorded
// past. Demand of the recent past is likely to return before a new machine could boot, so
// only capacity that has been unneeded for the whole retention period is scaled in.
func (p *Peaks) Retain(demand *Demand, urgent float64, r Retention) {
	demand.Growth = p.growth(demand.OnDemand.Cores, r)
	p.list = append(p.list, peak{at: r.Now, onDemand: demand.OnDemand.Cores, preemptible: demand.Preemptible.Cores,
		onDemandReserved: demand.OnDemand.Cores*(1+demand.ReserveShare) + demand.Growth, urgent: urgent})
	for len(p.list) > 0 && r.Now-p.list[0].at > max(r.Preemptible, r.OnDemand) {
		p.list = p.list[1:]
	}
	for _, peak := range p.list {
		if r.Now-peak.at <= r.Preemptible {
			// Capacity kept for future arrivals shrinks as the arrival rate decays.
			demand.KeepPreemptible = max(demand.KeepPreemptible, peak.preemptible*r.Decay)
			demand.KeepUrgent = max(demand.KeepUrgent, peak.urgent*r.Decay)
		}
		if r.Now-peak.at <= r.OnDemand {
			demand.KeepOnDemand = max(demand.KeepOnDemand, peak.onDemandReserved)
		}
	}
	// While the number of replicas has an upward trend, a drained machine would soon be
	// rented again with a cold cache. Keep capacity for the same growth once more.
	if known := r.Now - p.list[0].at; known >= minTrendSpan && demand.OnDemand.Cores > p.list[0].onDemand {
		grown := (demand.OnDemand.Cores - p.list[0].onDemand) * r.OnDemand.Seconds() / known.Seconds()
		demand.KeepOnDemand = max(demand.KeepOnDemand, (demand.OnDemand.Cores+grown)*(1+demand.ReserveShare))
	}
}

// growth predicts by how many cores on-demand demand will grow within growthSpan, from its growth
// over the last growthSpan: the arrival rate of replicas changes over time.
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
