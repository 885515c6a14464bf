package cloud

import (
	"maps"
	"math"
	"slices"
	"sort"

	"cedardoor/clock"
	"cedardoor/wire"
)

// Machine is a machine that is paid for, up or on its way.
type Machine struct {
	Name          string
	Type          string
	Zone          string
	Preemptible   bool
	Up            bool // takes tasks
	Lost          bool // silent, sick or about to be taken: counts for nothing
	Cordoned      bool
	Tasks         int     // tasks that may be on it
	Replicas      int     // of those, replicas
	OnDemandCores float64 // cores of tasks that only ordinary machines may hold
	UsedCores     float64
	Free          Load         // what nothing is booked on; of one not up yet, all of it
	Idle          clock.Micros // for how long nothing has been on it
}

// Load is an amount of work to hold at once.
type Load struct{ Cores, RAM, Accelerators float64 }

// Plus is the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{Cores: l.Cores + other.Cores, RAM: l.RAM + other.RAM, Accelerators: l.Accelerators + other.Accelerators}
}

// Demand is what the fleet has to hold.
type Demand struct {
	OnDemand    Load // only ordinary machines will do
	Preemptible Load // spot machines will do
	// Urgent is the part of Loaned that is worth an ordinary machine's price
	// when spot machines are not to be had.
	Urgent Load
	// Cores below which nothing is given up: for loaned work, and on ordinary machines.
	KeepPreemptible, KeepOnDemand float64
	KeepUrgent                    float64 // the same for what presses
	NoScaleIn                     bool    // nothing is given up yet: too little is known of the demand
	ReserveShare                  float64 // share of Ordinary kept free
	ZoneReserveShare              float64 // share of all that is needed up to which room for the fullest zone's tasks is kept
	MachineReserveShare           float64 // share of Ordinary up to which room for the fullest machine's tasks is kept
	Growth                        float64 // cores that Ordinary is about to grow by
	Spread                        bool    // there are replicas to keep in more than one zone
	MaxCores                      float64
	Constrained                   []Constraint // work that not every machine may hold, each kind once
	Stuck                         []Constraint // tasks that have waited long, longest first, of different jobs
	Waiting                       []Constraint // the same that wait at all: what has room for one is not given up
	IdleTimeout                   clock.Micros
	MaxMachines                   int
}

// Constraint is work that only some machines may hold, for their type, zone, kind or
// size. The sums above say nothing of it: there may be room enough, all of it
// where the work may not go.
type Constraint struct {
	MachineTypes []string        // allowed types; nil for any
	Zone         string          // the only allowed zone; empty for any
	Preemptible  bool            // spot machines will do
	Task         Load            // its largest task
	Cores        float64         // to hold at once
	Avoid        map[string]bool // machines that it keeps away from
	// TogetherInZone is how many such tasks wait for room in one and the same zone.
	TogetherInZone int
}

// Allows tells whether a machine may hold the work.
func (w *Constraint) Allows(b wire.MachineType, zone string, loaned bool) bool {
	return (w.MachineTypes == nil || slices.Contains(w.MachineTypes, b.SKU)) && (w.Zone == "" || w.Zone == zone) && (w.Preemptible || !loaned) &&
		w.Task.Cores <= b.Cores && w.Task.RAM <= b.RAM && w.Task.Accelerators <= b.Accelerators
}

// hasRoom tells whether a machine of that type has room for a task now.
func (w *Constraint) hasRoom(h Machine, b wire.MachineType) bool {
	return !h.Lost && !w.Avoid[h.Name] && w.Allows(b, h.Zone, h.Preemptible) &&
		w.Task.Cores <= h.Free.Cores && w.Task.RAM <= h.Free.RAM && w.Task.Accelerators <= h.Free.Accelerators
}

// Rental is a rental to ask for.
type Rental struct {
	MachineType, Zone string
	Preemptible       bool
	Count             int
}

// Decision is what sizing decided.
type Decision struct {
	Rent         []Rental
	Cordon       []string // no new tasks: they are to be returned when empty
	Uncordon     []string
	Return       []string // empty: can go now
	LimitReached bool     // more would be rented, but for Need.Machines
}

// Refused tells whether a type, zone and kind was refused not long ago.
type Refused func(build, zone string, loaned bool) bool

// allowedFor narrows what may be rented for a sum of work to the types and zones to
// which some of that work may go. A machine for which none of it is allowed is paid
// for in vain, and where the cloud has few it takes the place of one that would help.
func (n *Demand) allowedFor(loaned bool, refused Refused) Refused {
	some := slices.ContainsFunc(n.Constrained, func(w Constraint) bool { return w.Preemptible == loaned })
	return func(build, zone string, spot bool) bool {
		return refused(build, zone, spot) || some && !slices.ContainsFunc(n.Constrained, func(w Constraint) bool {
			return w.Preemptible == loaned && (w.MachineTypes == nil || slices.Contains(w.MachineTypes, build)) && (w.Zone == "" || w.Zone == zone)
		})
	}
}

// worth is how many cores' worth of a load a machine type holds.
func worth(b wire.MachineType, l Load, maxCores float64) float64 {
	c := b.Cores
	if l.Cores > 0 && l.RAM > 0 {
		c = min(c, b.RAM/(l.RAM/l.Cores))
	}
	if l.Accelerators > 0 && b.Accelerators == 0 {
		return 0
	}
	if maxCores > b.Cores {
		return 0
	}
	return c
}

// Resize compares what is held with what is needed. It is pure.
func Resize(builds []wire.MachineType, held []Machine, need Demand, refused Refused) Decision {
	var v Decision
	byName := map[string]wire.MachineType{}
	for _, b := range builds {
		byName[b.SKU] = b
	}
	// Any one machine may be lost, and its replicas cannot wait for a boot: the
	// fullest one's must fit on the others, as far as that share of the whole allows.
	spareFor := need.OnDemand.Cores * need.ReserveShare
	for _, h := range held {
		if !h.Preemptible && !h.Lost && h.Replicas > 0 {
			spareFor = max(spareFor, min(h.OnDemandCores, need.MachineReserveShare*need.OnDemand.Cores))
		}
	}
	// So may a whole zone, where room for it is little beside the whole fleet. The
	// room is not idle: loaned work fills it and gives way.
	zones, firm := map[string]float64{}, 0.0
	for _, h := range held {
		if !h.Preemptible {
			zones[h.Zone] += h.OnDemandCores
			firm = max(firm, zones[h.Zone])
		}
	}
	if need.Spread {
		spareFor = max(spareFor, min(firm, need.ZoneReserveShare*(need.OnDemand.Cores+need.Preemptible.Cores)))
	}
	ordWant := need.OnDemand.Cores + spareFor + need.Growth
	var ordHave, spotHave float64
	zoneHave := map[string]float64{}
	for _, h := range held {
		b, ok := byName[h.Type]
		if !ok || h.Lost || h.Cordoned {
			continue
		}
		if h.Preemptible {
			spotHave += worth(b, need.Preemptible, 0)
		} else {
			w := worth(b, need.OnDemand, 0)
			ordHave += w
			zoneHave[h.Zone] += w
		}
	}
	total := len(held)
	// Ordinary machines first, then spot; a shortage takes cordoned machines back before renting.
	uncordon := func(loaned bool, missing float64, load Load) float64 {
		for _, h := range held {
			if missing <= 0 {
				break
			}
			if h.Cordoned && !h.Lost && h.Up && h.Preemptible == loaned {
				v.Uncordon = append(v.Uncordon, h.Name)
				missing -= worth(byName[h.Type], load, 0)
			}
		}
		return missing
	}
	room := roomByZone(held, byName, need)
	forOrdinary, forLoaned := need.allowedFor(false, refused), need.allowedFor(true, refused)
	missing := uncordon(false, ordWant-ordHave, need.OnDemand)
	if missing > 0 {
		near := alike
		if need.OnDemand.Cores > ordHave {
			near = pressed // replicas wait for it
		}
		total += rent(&v, builds, need.OnDemand, missing, near, false, zoneHave, need.Spread, forOrdinary, need.MaxMachines-total)
	} else if zone := tight(room, need); zone != "" {
		// Enough in sum, but not where replicas kept apart could go.
		only := func(b, y string, l bool) bool { return y != zone || forOrdinary(b, y, l) }
		total += rent(&v, builds, need.OnDemand, 1, alike, false, zoneHave, false, only, min(1, need.MaxMachines-total))
	}
	// Loaned work fills what is kept free for replicas, and gives way to them.
	spare := max(0, ordHave-need.OnDemand.Cores)
	missing = uncordon(true, need.Preemptible.Cores-spotHave-spare, need.Preemptible)
	if missing > 0 {
		total += rent(&v, builds, need.Preemptible, missing, alike, true, map[string]float64{}, false, forLoaned, need.MaxMachines-total)
	}
	var coming float64
	for _, w := range v.Rent {
		if w.Preemptible {
			coming += float64(w.Count) * worth(byName[w.MachineType], need.Preemptible, 0)
		}
	}
	if missing = need.Urgent.Cores - spotHave - spare - coming; missing > 0 {
		missing = uncordon(false, missing, need.Preemptible)
		rent(&v, builds, need.Preemptible, missing, alike, false, zoneHave, false, forLoaned, need.MaxMachines-total)
	}
	beyond := make([]float64, len(need.Constrained)) // cores of the machines that may hold it, above its need
	for i := range need.Constrained {
		beyond[i] = v.bind(&need.Constrained[i], builds, held, refused, need.MaxMachines-len(held))
	}
	bindsTo := func(h Machine, b wire.MachineType) bool {
		for i := range need.Constrained {
			if beyond[i] < b.Cores && need.Constrained[i].Allows(b, h.Zone, h.Preemptible) {
				return true
			}
		}
		return false
	}
	if len(v.Rent) == 0 {
		// Enough is held by all that is counted, and still a task finds no room: what
		// is left on many machines is too little on each, or not where it may go.
		for i := range need.Stuck {
			if v.free(&need.Stuck[i], builds, held, refused, need.MaxMachines-len(held)) {
				break // one at a time
			}
		}
	}
	for i := range need.Waiting {
		if v.free(&need.Waiting[i], builds, held, refused, 0) {
			break
		}
	}
	awaited := func(h Machine, b wire.MachineType) bool {
		return slices.ContainsFunc(need.Waiting, func(w Constraint) bool { return w.hasRoom(h, b) })
	}
	taken := map[string]bool{}
	for _, name := range v.Uncordon {
		taken[name] = true
	}
	// What is too much goes: dearest per core first, emptiest first among equals.
	moving, may := 0, 0
	for _, h := range held {
		if h.Cordoned && h.Replicas > 0 {
			moving++
		}
		if !h.Preemptible && h.Up {
			may++
		}
	}
	may = max(1, int(float64(may)*emptied))
	surplus := func(loaned bool, over float64, load Load) {
		var list []Machine
		for _, h := range held {
			if h.Preemptible == loaned && !h.Lost && !h.Cordoned && h.Up && !taken[h.Name] {
				list = append(list, h)
			}
		}
		price := func(h Machine) float64 {
			b := byName[h.Type]
			p := b.HourlyPrice
			if loaned {
				p = b.SpotPrice
			}
			return p / max(0.01, worth(b, load, 0))
		}
		sort.SliceStable(list, func(i, j int) bool {
			a, b := list[i], list[j]
			if x, y := a.Tasks == 0, b.Tasks == 0; x != y {
				return x
			}
			if a.Replicas != b.Replicas {
				return a.Replicas < b.Replicas
			}
			if x, y := price(a), price(b); math.Abs(x-y) > 0.002 {
				return x > y
			}
			return a.UsedCores < b.UsedCores
		})
		for _, h := range list {
			w := worth(byName[h.Type], load, 0)
			if w > over || h.Tasks == 0 && h.Idle < need.IdleTimeout {
				continue
			}
			kept := byName[h.Type]
			if bindsTo(h, kept) || awaited(h, kept) {
				continue
			}
			if !loaned {
				room[h.Zone] -= worth(kept, need.OnDemand, 0) - h.OnDemandCores
				if tight(room, need) != "" {
					room[h.Zone] += worth(kept, need.OnDemand, 0) - h.OnDemandCores
					continue // it would have to be rented again
				}
			}
			if h.Replicas > 0 {
				// Its replicas have to be moved, and a machine rented in its stead later
				// would be cold: only when there is clearly too much, and a few machines
				// at a time.
				if moving >= may || over-w < min(0.12*ordWant, max(2*w, 0.06*ordWant)) {
					if !loaned {
						room[h.Zone] += worth(kept, need.OnDemand, 0) - h.OnDemandCores
					}
					continue
				}
				moving++
			}
			v.Cordon = append(v.Cordon, h.Name)
			for i := range need.Constrained {
				if need.Constrained[i].Allows(kept, h.Zone, h.Preemptible) {
					beyond[i] -= kept.Cores
				}
			}
			over -= w
			zoneHave[h.Zone] -= w
		}
	}
	if len(v.Rent) == 0 && !need.NoScaleIn {
		surplus(true, spotHave+spare-max(need.Preemptible.Cores, need.KeepPreemptible), need.Preemptible)
		surplus(false, ordHave-max(ordWant, need.KeepOnDemand)-max(0, need.Urgent.Cores-spotHave, need.KeepUrgent-spotHave), need.OnDemand)
	}
	for _, h := range held {
		if h.Cordoned && h.Up && h.Tasks == 0 && !taken[h.Name] {
			v.Return = append(v.Return, h.Name)
		}
	}
	return v
}

// bind makes sure that there are machines for bound work: cordoned ones come back
// first, then the cheapest are rented, spot ones if they will do and are to be had. It
// gives how many more cores they have than are needed.
func (v *Decision) bind(w *Constraint, builds []wire.MachineType, held []Machine, refused Refused, most int) (beyond float64) {
	need := max(w.Cores, w.Task.Cores)
	have, some := 0.0, false
	count := func(b wire.MachineType, n int) {
		have += float64(n) * b.Cores
		some = some || n > 0
	}
	byName := map[string]wire.MachineType{}
	for _, b := range builds {
		byName[b.SKU] = b
	}
	back := map[string]bool{}
	for _, name := range v.Uncordon {
		back[name] = true
	}
	for _, h := range held {
		if b, ok := byName[h.Type]; ok && !h.Lost && (!h.Cordoned || back[h.Name]) && w.Allows(b, h.Zone, h.Preemptible) {
			count(b, 1)
		}
	}
	asked := 0
	for _, r := range v.Rent {
		asked += r.Count
		if b := byName[r.MachineType]; w.Allows(b, r.Zone, r.Preemptible) {
			count(b, r.Count)
		}
	}
	for _, h := range held {
		if some && have >= need {
			return have - need
		}
		if b, ok := byName[h.Type]; ok && !h.Lost && h.Up && h.Cordoned && !back[h.Name] && w.Allows(b, h.Zone, h.Preemptible) {
			v.Uncordon = append(v.Uncordon, h.Name)
			count(b, 1)
		}
	}
	for ; (!some || have < need) && asked < most; asked++ {
		best, ok := cheapest(w, builds, true, refused)
		if !ok {
			// An ordinary machine only where no spot one will do or is to be had.
			if best, ok = cheapest(w, builds, false, refused); !ok {
				break
			}
		}
		v.addRental(best)
		count(byName[best.MachineType], 1)
	}
	return have - need
}

// free makes sure that some machine has room for a task: one that was to go comes
// back, or one is rented, if that many may be. It tells whether that took a change.
func (v *Decision) free(w *Constraint, builds []wire.MachineType, held []Machine, refused Refused, most int) bool {
	if w.TogetherInZone > 1 {
		return v.together(w, builds, held, refused, most)
	}
	back := ""
	for _, h := range held {
		i := slices.IndexFunc(builds, func(b wire.MachineType) bool { return b.SKU == h.Type })
		if i < 0 || !w.hasRoom(h, builds[i]) {
			continue
		}
		if !h.Cordoned || slices.Contains(v.Uncordon, h.Name) {
			return false // it has room, and is not the reason
		}
		back = h.Name
	}
	if back != "" {
		v.Uncordon = append(v.Uncordon, back)
		return true
	}
	best, ok := cheapest(w, builds, w.Preemptible, refused)
	if !ok || most <= 0 {
		return false
	}
	v.addRental(best)
	return true
}

// together is free for tasks that are to be in one zone, of which none has a place
// yet: a machine more where most of them would fit, as long as not all do.
func (v *Decision) together(w *Constraint, builds []wire.MachineType, held []Machine, refused Refused, most int) bool {
	fit := map[string]int{}
	for _, h := range held {
		i := slices.IndexFunc(builds, func(b wire.MachineType) bool { return b.SKU == h.Type })
		if i >= 0 && w.hasRoom(h, builds[i]) && (!h.Cordoned || slices.Contains(v.Uncordon, h.Name)) {
			fit[h.Zone] += tasks(h.Free, w.Task)
		}
	}
	best := ""
	for _, z := range slices.Sorted(maps.Keys(fit)) {
		if fit[z] >= w.TogetherInZone {
			return false // they have room, and it is not the reason
		}
		if best == "" || fit[z] > fit[best] {
			best = z
		}
	}
	there := *w
	if there.Zone == "" {
		there.Zone = best
	}
	for _, h := range held {
		i := slices.IndexFunc(builds, func(b wire.MachineType) bool { return b.SKU == h.Type })
		if i >= 0 && h.Cordoned && there.hasRoom(h, builds[i]) && !slices.Contains(v.Uncordon, h.Name) {
			v.Uncordon = append(v.Uncordon, h.Name)
			return true
		}
	}
	for _, b := range []*Constraint{&there, w} { // elsewhere, if none is to be had there
		if r, ok := cheapest(b, builds, w.Preemptible, refused); ok && most > 0 {
			v.addRental(r)
			return true
		}
	}
	return false
}

// tasks is how many tasks of a size a load holds.
func tasks(l, task Load) int {
	n := math.Inf(1)
	for _, x := range [][2]float64{{l.Cores, task.Cores}, {l.RAM, task.RAM}, {l.Accelerators, task.Accelerators}} {
		if x[1] > 0 {
			n = min(n, math.Floor(x[0]/x[1]+1e-9))
		}
	}
	return int(min(n, 1e6))
}

// cheapest is the machine that costs least per core of all that may hold the work.
func cheapest(w *Constraint, builds []wire.MachineType, loaned bool, refused Refused) (best Rental, ok bool) {
	least := math.Inf(1)
	for _, b := range builds {
		hourly := b.HourlyPrice
		if loaned {
			hourly = b.SpotPrice
		}
		price := hourly / max(0.01, b.Cores)
		for _, y := range b.Zones {
			if price > 0 && price < least && w.Allows(b, y, loaned) && !refused(b.SKU, y, loaned) {
				best, least = Rental{MachineType: b.SKU, Zone: y, Preemptible: loaned, Count: 1}, price
			}
		}
	}
	return best, best.Count > 0
}

// addRental adds machines to what is to be rented.
func (v *Decision) addRental(r Rental) {
	for i := range v.Rent {
		if o := &v.Rent[i]; o.MachineType == r.MachineType && o.Zone == r.Zone && o.Preemptible == r.Preemptible {
			o.Count += r.Count
			return
		}
	}
	v.Rent = append(v.Rent, r)
}

// roomByZone is the room on ordinary machines beside what only they may hold.
// Work that spot machines may hold gives way, so it counts as room.
func roomByZone(held []Machine, byName map[string]wire.MachineType, need Demand) map[string]float64 {
	free := map[string]float64{}
	for _, b := range byName {
		for _, y := range b.Zones {
			free[y] += 0
		}
	}
	for _, h := range held {
		if !h.Preemptible && !h.Lost && !h.Cordoned {
			free[h.Zone] += worth(byName[h.Type], need.OnDemand, 0) - h.OnDemandCores
		}
	}
	return free
}

// tight names the zone to rent in when replicas that must be kept apart would
// find room in fewer than two zones: the one, after the roomiest, with the
// least to add.
func tight(free map[string]float64, need Demand) string {
	if !need.Spread {
		return ""
	}
	zones := make([]string, 0, len(free))
	for z := range free {
		zones = append(zones, z)
	}
	if len(zones) < 2 {
		return ""
	}
	sort.Slice(zones, func(i, j int) bool {
		if free[zones[i]] != free[zones[j]] {
			return free[zones[i]] > free[zones[j]]
		}
		return zones[i] < zones[j]
	})
	if free[zones[1]] < max(2*need.MaxCores, need.OnDemand.Cores*need.ReserveShare/2) {
		return zones[1]
	}
	return ""
}

// emptied is the share of the ordinary machines that may be emptied at once.
const emptied = 0.08

// How much more an offer may cost and still be taken for its sooner boot.
const (
	alike   = 0.05
	pressed = 0.3 // the same while replicas wait for room
)

// rent fills a shortage with the machines that cost least per core of the
// load, all of one kind, and gives how many it asked for.
func rent(v *Decision, builds []wire.MachineType, load Load, missing, near float64, loaned bool, zoneHave map[string]float64, apart bool, refused Refused, most int) int {
	type offer struct {
		b      wire.MachineType
		zone   string
		loaned bool
		price  float64
		worth  float64
		class  int // of price: offers within a few hundredths of the cheapest are alike
	}
	var offers []offer
	for _, b := range builds {
		w := worth(b, load, 0)
		if w <= 0 {
			continue
		}
		for _, y := range b.Zones {
			price := b.HourlyPrice
			if loaned {
				price = b.SpotPrice
			}
			if price > 0 && !refused(b.SKU, y, loaned) {
				offers = append(offers, offer{b: b, zone: y, loaned: loaned, price: price / w, worth: w})
			}
		}
	}
	least := math.Inf(1)
	for _, o := range offers {
		least = min(least, o.price)
	}
	for i := range offers {
		offers[i].class = int((offers[i].price/least - 1) / near)
	}
	asked := 0
	for missing > 0.5 && asked < most && len(offers) > 0 {
		sort.SliceStable(offers, func(i, j int) bool {
			a, b := offers[i], offers[j]
			if apart && zoneHave[a.zone] != zoneHave[b.zone] {
				return zoneHave[a.zone] < zoneHave[b.zone]
			}
			if a.class != b.class {
				return a.class < b.class
			}
			if a.b.BootS != b.b.BootS {
				return a.b.BootS < b.b.BootS
			}
			if math.Abs(a.price-b.price) > 1e-9 {
				return a.price < b.price
			}
			// The last machine should not be larger than what is missing.
			if x, y := a.worth > missing, b.worth > missing; x != y {
				return y
			}
			return zoneHave[a.zone] < zoneHave[b.zone]
		})
		o := offers[0]
		v.addRental(Rental{MachineType: o.b.SKU, Zone: o.zone, Preemptible: o.loaned, Count: 1})
		zoneHave[o.zone] += o.worth
		missing -= o.worth
		asked++
	}
	v.LimitReached = v.LimitReached || missing > 0.5 && asked >= most
	return asked
}
