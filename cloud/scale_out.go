package cloud

import (
	"math"
	"sort"

	"cedardoor/wire"
)

const (
	// minShortage is how many cores may be missing without a machine being rented for them.
	minShortage = 0.5
	// priceTolerance is how much more per core, as a share, an offer may cost and still be taken
	// for its sooner boot.
	priceTolerance = 0.05
	// urgentPriceTolerance is the same while replicas wait for capacity.
	urgentPriceTolerance = 0.3
	// equalPrice is how far apart two prices per core and hour may be and still count as equal.
	equalPrice = 1e-9
)

// shortage is capacity that is missing, and what may be rented for it.
type shortage struct {
	load        Load    // whose proportions decide how much of a machine is usable
	cores       float64 // missing
	preemptible bool    // spot machines are rented, else on-demand machines
	spread      bool    // the zone with the fewest cores comes first
	tolerance   float64 // a sooner boot is worth so much more, as a share of the price
	zoneCores   map[string]float64
	refused     Refused
	maxMachines int
}

// scaleOutOnDemand meets the demand that only on-demand machines will do for.
func (r *resizer) scaleOutOnDemand() {
	missing := r.uncordonFor(false, r.onDemandTarget-r.onDemand, r.demand.OnDemand)
	s := shortage{load: r.demand.OnDemand, cores: missing, tolerance: priceTolerance, zoneCores: r.zoneCores,
		refused: r.demand.usefulOffers(false, r.refused), maxMachines: r.rentable}
	if missing > 0 {
		s.spread = r.demand.Spread
		if r.demand.OnDemand.Cores > r.onDemand {
			s.tolerance = urgentPriceTolerance // replicas wait for it
		}
		r.fill(s)
	} else if short := r.zoneShortOfSpread(); short != "" {
		// Enough in sum, but not where replicas that are spread could go.
		useful := s.refused
		s.refused = func(machineType, zone string, preemptible bool) bool {
			return zone != short || useful(machineType, zone, preemptible)
		}
		s.cores, s.maxMachines = 1, min(1, r.rentable)
		r.fill(s)
	}
}

// scaleOutPreemptible meets the demand that spot machines will do for.
func (r *resizer) scaleOutPreemptible() {
	missing := r.uncordonFor(true, r.demand.Preemptible.Cores-r.preemptible-r.spareOnDemand(), r.demand.Preemptible)
	if missing > 0 {
		r.fill(shortage{load: r.demand.Preemptible, cores: missing, preemptible: true, tolerance: priceTolerance,
			zoneCores: map[string]float64{}, refused: r.demand.usefulOffers(true, r.refused), maxMachines: r.rentable})
	}
}

// scaleOutUrgent meets the part of the preemptible demand that is worth an on-demand machine's
// price, as far as spot machines, those to be rented included, do not.
func (r *resizer) scaleOutUrgent() {
	var coming float64
	for _, rental := range r.decision.Rent {
		if rental.Preemptible {
			coming += float64(rental.Count) * usableCores(r.types[rental.MachineType], r.demand.Preemptible)
		}
	}
	missing := r.demand.Urgent.Cores - r.preemptible - r.spareOnDemand() - coming
	if missing <= 0 {
		return
	}
	missing = r.uncordonFor(false, missing, r.demand.Preemptible)
	r.fill(shortage{load: r.demand.Preemptible, cores: missing, tolerance: priceTolerance,
		zoneCores: r.zoneCores, refused: r.demand.usefulOffers(true, r.refused), maxMachines: r.rentable})
}

// uncordonFor takes cordoned machines of a kind back for missing cores, and gives how many are
// missing still.
func (r *resizer) uncordonFor(preemptible bool, missing float64, load Load) float64 {
	for _, machine := range r.machines {
		if missing <= 0 {
			break
		}
		if machine.Cordoned && !machine.Lost && machine.Up && machine.Preemptible == preemptible {
			r.uncordon(machine)
			missing -= usableCores(r.types[machine.Type], load)
		}
	}
	return missing
}

// fill rents the machines that cost least per usable core for a shortage.
func (r *resizer) fill(s shortage) {
	offers := r.offers(&s)
	missing, rented := s.cores, 0
	for missing > minShortage && rented < s.maxMachines && len(offers) > 0 {
		sort.SliceStable(offers, func(i, j int) bool { return s.prefers(&offers[i], &offers[j], missing) })
		best := offers[0]
		r.rent(Rental{MachineType: best.machineType.SKU, Zone: best.zone, Preemptible: s.preemptible, Count: 1})
		s.zoneCores[best.zone] += best.cores
		missing -= best.cores
		rented++
	}
	if missing > minShortage && rented >= s.maxMachines {
		r.decision.LimitReached = true
	}
}

// offer is a machine that may be rented for a shortage.
type offer struct {
	machineType wire.MachineType
	zone        string
	price       float64 // per usable core and hour
	cores       float64 // usable
	class       int     // of price: offers of a class cost about the same
}

// offers lists what may be rented for a shortage.
func (r *resizer) offers(s *shortage) (offers []offer) {
	lowest := math.Inf(1)
	for _, machineType := range r.catalog {
		cores := usableCores(machineType, s.load)
		if cores <= 0 {
			continue
		}
		price := hourlyPrice(machineType, s.preemptible)
		for _, zone := range machineType.Zones {
			if price > 0 && !s.refused(machineType.SKU, zone, s.preemptible) {
				offers = append(offers, offer{machineType: machineType, zone: zone, price: price / cores, cores: cores})
				lowest = min(lowest, price/cores)
			}
		}
	}
	for i := range offers {
		offers[i].class = int((offers[i].price/lowest - 1) / s.tolerance)
	}
	return offers
}

// prefers tells whether an offer is better than another for so many missing cores.
func (s *shortage) prefers(a, b *offer, missing float64) bool {
	if s.spread && s.zoneCores[a.zone] != s.zoneCores[b.zone] {
		return s.zoneCores[a.zone] < s.zoneCores[b.zone]
	}
	if a.class != b.class {
		return a.class < b.class
	}
	if a.machineType.BootS != b.machineType.BootS {
		return a.machineType.BootS < b.machineType.BootS
	}
	if math.Abs(a.price-b.price) > equalPrice {
		return a.price < b.price
	}
	// The last machine should not be larger than what is missing.
	if larger, otherLarger := a.cores > missing, b.cores > missing; larger != otherLarger {
		return otherLarger
	}
	return s.zoneCores[a.zone] < s.zoneCores[b.zone]
}
