package cloud

import (
	"math"
	"sort"

	"cedardoor/wire"
)

const (
	// minShortage is the number of missing cores up to which no machine is rented.
	minShortage = 0.5
	// priceTolerance is the share by which an offer's price per core may exceed the lowest for the
	// sake of a shorter boot time.
	priceTolerance = 0.05
	// urgentPriceTolerance is the priceTolerance while replicas wait for capacity.
	urgentPriceTolerance = 0.3
	// equalPriceDelta is the maximum difference between two equal prices per core and hour.
	equalPriceDelta = 1e-9
)

// shortage is missing capacity, and what may be rented to cover it.
type shortage struct {
	load        Load    // its proportions of memory and accelerators to cores determine the usable cores of a machine
	cores       float64 // missing cores
	preemptible bool    // rent spot machines rather than on-demand machines
	spread      bool    // prefer the zone with the fewest cores
	tolerance   float64 // relative width of a price class, within which a shorter boot time is preferred
	zoneCores   map[string]float64
	refused     Refused
	maxMachines int
}

// scaleOutOnDemand covers the demand of work that needs on-demand machines.
func (r *resizer) scaleOutOnDemand() {
	missing := r.uncordonFor(false, r.onDemandTarget-r.onDemand, r.demand.OnDemand)
	s := shortage{load: r.demand.OnDemand, cores: missing, tolerance: priceTolerance, zoneCores: r.zoneCores,
		refused: r.demand.restrictOffers(false, r.refused), maxMachines: r.rentable}
	if missing > 0 {
		s.spread = r.demand.Spread
		if r.demand.OnDemand.Cores > r.onDemand {
			s.tolerance = urgentPriceTolerance // replicas are waiting
		}
		r.fill(s)
	} else if lacking := r.zoneLackingSpreadCapacity(); lacking != "" {
		// The total is enough, but fewer than two zones have capacity for spread replicas.
		restricted := s.refused
		s.refused = func(machineType, zone string, preemptible bool) bool {
			return zone != lacking || restricted(machineType, zone, preemptible)
		}
		s.cores, s.maxMachines = 1, min(1, r.rentable)
		r.fill(s)
	}
}

// scaleOutPreemptible covers the demand of preemptible work with spot machines.
func (r *resizer) scaleOutPreemptible() {
	missing := r.uncordonFor(true, r.demand.Preemptible.Cores-r.preemptible-r.spareOnDemand(), r.demand.Preemptible)
	if missing > 0 {
		r.fill(shortage{load: r.demand.Preemptible, cores: missing, preemptible: true, tolerance: priceTolerance,
			zoneCores: map[string]float64{}, refused: r.demand.restrictOffers(true, r.refused), maxMachines: r.rentable})
	}
}

// scaleOutUrgent covers, with on-demand machines, the part of the urgent demand that neither spot
// machines, including those about to be rented, nor spare on-demand cores cover.
func (r *resizer) scaleOutUrgent() {
	var ordered float64
	for _, rental := range r.decision.Rent {
		if rental.Preemptible {
			ordered += float64(rental.Count) * usableCores(r.types[rental.MachineType], r.demand.Preemptible)
		}
	}
	missing := r.demand.Urgent.Cores - r.preemptible - r.spareOnDemand() - ordered
	if missing <= 0 {
		return
	}
	missing = r.uncordonFor(false, missing, r.demand.Preemptible)
	r.fill(shortage{load: r.demand.Preemptible, cores: missing, tolerance: priceTolerance,
		zoneCores: r.zoneCores, refused: r.demand.restrictOffers(true, r.refused), maxMachines: r.rentable})
}

// uncordonFor uncordons machines of a kind to cover missing cores, and returns how many are still
// missing.
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

// fill rents machines for a shortage, the preferred offer first.
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

// offer is a machine type in a zone that may be rented for a shortage.
type offer struct {
	machineType wire.MachineType
	zone        string
	price       float64 // per usable core and hour
	cores       float64 // usable
	priceClass  int     // offers of the same class cost about the same
}

// offers lists the available machine types and zones for a shortage.
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
		offers[i].priceClass = int((offers[i].price/lowest - 1) / s.tolerance)
	}
	return offers
}

// prefers reports whether offer a is better than b for the given number of missing cores.
func (s *shortage) prefers(a, b *offer, missing float64) bool {
	if s.spread && s.zoneCores[a.zone] != s.zoneCores[b.zone] {
		return s.zoneCores[a.zone] < s.zoneCores[b.zone]
	}
	if a.priceClass != b.priceClass {
		return a.priceClass < b.priceClass
	}
	if a.machineType.BootS != b.machineType.BootS {
		return a.machineType.BootS < b.machineType.BootS
	}
	if math.Abs(a.price-b.price) > equalPriceDelta {
		return a.price < b.price
	}
	// The last machine should not be larger than necessary.
	if larger, otherLarger := a.cores > missing, b.cores > missing; larger != otherLarger {
		return otherLarger
	}
	return s.zoneCores[a.zone] < s.zoneCores[b.zone]
}
