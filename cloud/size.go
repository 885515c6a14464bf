package cloud

import (
	"maps"
	"math"
	"slices"
	"sort"

	"cedardoor/clock"
	"cedardoor/wire"
)

// Held is a machine that is paid for, up or on its way.
type Held struct {
	Name      string
	Build     string
	Zone      string
	Loaned    bool
	Up        bool // takes tasks
	Lost      bool // silent, sick or about to be taken: counts for nothing
	Cordoned  bool
	Live      int     // tasks that may be on it
	Standing  int     // of those, replicas
	Firm      float64 // cores of tasks that only ordinary machines may hold
	UsedCores float64
	Free      Load         // what nothing is booked on; of one not up yet, all of it
	Idle      clock.Micros // for how long nothing has been on it
}

// Load is an amount of work to hold at once.
type Load struct{ Cores, RAM, Accel float64 }

// Need is what the fleet has to hold.
type Need struct {
	Ordinary Load // only ordinary machines will do
	Loaned   Load // spot machines will do
	// Pressing is the part of Loaned that is worth an ordinary machine's price
	// when spot machines are not to be had.
	Pressing Load
	// Cores below which nothing is given up: for loaned work, and on ordinary machines.
	Hold, HoldOrdinary float64
	HoldPressing       float64 // the same for what presses
	Keep               bool    // nothing is given up yet: too little is known of the demand
	Reserve            float64 // share of Ordinary kept free
	ReserveZone        float64 // share of all that is needed up to which room for the fullest zone's tasks is kept
	ReserveMachine     float64 // share of Ordinary up to which room for the fullest machine's tasks is kept
	Growth             float64 // cores that Ordinary is about to grow by
	Apart              bool    // there are replicas to keep in more than one zone
	MaxCores           float64
	Bound              []Bound // work that not every machine may hold, each kind once
	Stuck              []Bound // tasks that have waited long, longest first, of different jobs
	Waiting            []Bound // the same that wait at all: what has room for one is not given up
	Idle               clock.Micros
	Machines           int
}

// Bound is work that only some machines may hold, for their type, zone, kind or
// size. The sums above say nothing of it: there may be room enough, all of it
// where the work may not go.
type Bound struct {
	Builds []string        // allowed types; nil for any
	Zone   string          // the only allowed zone; empty for any
	Loaned bool            // spot machines will do
	Task   Load            // its largest task
	Cores  float64         // to hold at once
	Not    map[string]bool // machines that it keeps away from
	// Together is how many such tasks wait for room in one and the same zone.
	Together int
}

// Holds tells whether a machine may hold the work.
func (w *Bound) Holds(b wire.MachineType, zone string, loaned bool) bool {
	return (w.Builds == nil || slices.Contains(w.Builds, b.SKU)) && (w.Zone == "" || w.Zone == zone) && (w.Loaned || !loaned) &&
		w.Task.Cores <= b.Cores && w.Task.RAM <= b.RAM && w.Task.Accel <= b.Accelerators
}

// fits tells whether a machine of that type has room for a task now.
func (w *Bound) fits(h Held, b wire.MachineType) bool {
	return !h.Lost && !w.Not[h.Name] && w.Holds(b, h.Zone, h.Loaned) &&
		w.Task.Cores <= h.Free.Cores && w.Task.RAM <= h.Free.RAM && w.Task.Accel <= h.Free.Accel
}

// Wish is a rental to ask for.
type Wish struct {
	Build, Zone string
	Loaned      bool
	Count       int
}

// Verdict is what sizing decided.
type Verdict struct {
	Rent     []Wish
	Cordon   []string // no new tasks: they are to be returned when empty
	Uncordon []string
	Return   []string // empty: can go now
	Capped   bool     // more would be rented, but for Need.Machines
}

// Refused tells whether a type, zone and kind was refused not long ago.
type Refused func(build, zone string, loaned bool) bool

// useful narrows what may be rented for a sum of work to the types and zones to
// which some of that work may go. A machine for which none of it is allowed is paid
// for in vain, and where the cloud has few it takes the place of one that would help.
func (n *Need) useful(loaned bool, refused Refused) Refused {
	some := slices.ContainsFunc(n.Bound, func(w Bound) bool { return w.Loaned == loaned })
	return func(build, zone string, spot bool) bool {
		return refused(build, zone, spot) || some && !slices.ContainsFunc(n.Bound, func(w Bound) bool {
			return w.Loaned == loaned && (w.Builds == nil || slices.Contains(w.Builds, build)) && (w.Zone == "" || w.Zone == zone)
		})
	}
}

// worth is how many cores' worth of a load a machine type holds.
func worth(b wire.MachineType, l Load, maxCores float64) float64 {
	c := b.Cores
	if l.Cores > 0 && l.RAM > 0 {
		c = min(c, b.RAM/(l.RAM/l.Cores))
	}
	if l.Accel > 0 && b.Accelerators == 0 {
		return 0
	}
	if maxCores > b.Cores {
		return 0
	}
	return c
}

// Size compares what is held with what is needed. It is pure.
func Size(builds []wire.MachineType, held []Held, need Need, refused Refused) Verdict {
	var v Verdict
	byName := map[string]wire.MachineType{}
	for _, b := range builds {
		byName[b.SKU] = b
	}
	// Any one machine may be lost, and its replicas cannot wait for a boot: the
	// fullest one's must fit on the others, as far as that share of the whole allows.
	spareFor := need.Ordinary.Cores * need.Reserve
	for _, h := range held {
		if !h.Loaned && !h.Lost && h.Standing > 0 {
			spareFor = max(spareFor, min(h.Firm, need.ReserveMachine*need.Ordinary.Cores))
		}
	}
	// So may a whole zone, where room for it is little beside the whole fleet. The
	// room is not idle: loaned work fills it and gives way.
	zones, firm := map[string]float64{}, 0.0
	for _, h := range held {
		if !h.Loaned {
			zones[h.Zone] += h.Firm
			firm = max(firm, zones[h.Zone])
		}
	}
	if need.Apart {
		spareFor = max(spareFor, min(firm, need.ReserveZone*(need.Ordinary.Cores+need.Loaned.Cores)))
	}
	ordWant := need.Ordinary.Cores + spareFor + need.Growth
	var ordHave, spotHave float64
	zoneHave := map[string]float64{}
	for _, h := range held {
		b, ok := byName[h.Build]
		if !ok || h.Lost || h.Cordoned {
			continue
		}
		if h.Loaned {
			spotHave += worth(b, need.Loaned, 0)
		} else {
			w := worth(b, need.Ordinary, 0)
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
			if h.Cordoned && !h.Lost && h.Up && h.Loaned == loaned {
				v.Uncordon = append(v.Uncordon, h.Name)
				missing -= worth(byName[h.Build], load, 0)
			}
		}
		return missing
	}
	room := roomByZone(held, byName, need)
	forOrdinary, forLoaned := need.useful(false, refused), need.useful(true, refused)
	missing := uncordon(false, ordWant-ordHave, need.Ordinary)
	if missing > 0 {
		near := alike
		if need.Ordinary.Cores > ordHave {
			near = pressed // replicas wait for it
		}
		total += rent(&v, builds, need.Ordinary, missing, near, false, zoneHave, need.Apart, forOrdinary, need.Machines-total)
	} else if zone := tight(room, need); zone != "" {
		// Enough in sum, but not where replicas kept apart could go.
		only := func(b, y string, l bool) bool { return y != zone || forOrdinary(b, y, l) }
		total += rent(&v, builds, need.Ordinary, 1, alike, false, zoneHave, false, only, min(1, need.Machines-total))
	}
	// Loaned work fills what is kept free for replicas, and gives way to them.
	spare := max(0, ordHave-need.Ordinary.Cores)
	missing = uncordon(true, need.Loaned.Cores-spotHave-spare, need.Loaned)
	if missing > 0 {
		total += rent(&v, builds, need.Loaned, missing, alike, true, map[string]float64{}, false, forLoaned, need.Machines-total)
	}
	var coming float64
	for _, w := range v.Rent {
		if w.Loaned {
			coming += float64(w.Count) * worth(byName[w.Build], need.Loaned, 0)
		}
	}
	if missing = need.Pressing.Cores - spotHave - spare - coming; missing > 0 {
		missing = uncordon(false, missing, need.Loaned)
		rent(&v, builds, need.Loaned, missing, alike, false, zoneHave, false, forLoaned, need.Machines-total)
	}
	beyond := make([]float64, len(need.Bound)) // cores of the machines that may hold it, above its need
	for i := range need.Bound {
		beyond[i] = v.bind(&need.Bound[i], builds, held, refused, need.Machines-len(held))
	}
	bindsTo := func(h Held, b wire.MachineType) bool {
		for i := range need.Bound {
			if beyond[i] < b.Cores && need.Bound[i].Holds(b, h.Zone, h.Loaned) {
				return true
			}
		}
		return false
	}
	if len(v.Rent) == 0 {
		// Enough is held by all that is counted, and still a task finds no room: what
		// is left on many machines is too little on each, or not where it may go.
		for i := range need.Stuck {
			if v.free(&need.Stuck[i], builds, held, refused, need.Machines-len(held)) {
				break // one at a time
			}
		}
	}
	for i := range need.Waiting {
		if v.free(&need.Waiting[i], builds, held, refused, 0) {
			break
		}
	}
	awaited := func(h Held, b wire.MachineType) bool {
		return slices.ContainsFunc(need.Waiting, func(w Bound) bool { return w.fits(h, b) })
	}
	taken := map[string]bool{}
	for _, name := range v.Uncordon {
		taken[name] = true
	}
	// What is too much goes: dearest per core first, emptiest first among equals.
	moving, may := 0, 0
	for _, h := range held {
		if h.Cordoned && h.Standing > 0 {
			moving++
		}
		if !h.Loaned && h.Up {
			may++
		}
	}
	may = max(1, int(float64(may)*emptied))
	surplus := func(loaned bool, over float64, load Load) {
		var list []Held
		for _, h := range held {
			if h.Loaned == loaned && !h.Lost && !h.Cordoned && h.Up && !taken[h.Name] {
				list = append(list, h)
			}
		}
		price := func(h Held) float64 {
			b := byName[h.Build]
			p := b.HourlyPrice
			if loaned {
				p = b.SpotPrice
			}
			return p / max(0.01, worth(b, load, 0))
		}
		sort.SliceStable(list, func(i, j int) bool {
			a, b := list[i], list[j]
			if x, y := a.Live == 0, b.Live == 0; x != y {
				return x
			}
			if a.Standing != b.Standing {
				return a.Standing < b.Standing
			}
			if x, y := price(a), price(b); math.Abs(x-y) > 0.002 {
				return x > y
			}
			return a.UsedCores < b.UsedCores
		})
		for _, h := range list {
			w := worth(byName[h.Build], load, 0)
			if w > over || h.Live == 0 && h.Idle < need.Idle {
				continue
			}
			kept := byName[h.Build]
			if bindsTo(h, kept) || awaited(h, kept) {
				continue
			}
			if !loaned {
				room[h.Zone] -= worth(kept, need.Ordinary, 0) - h.Firm
				if tight(room, need) != "" {
					room[h.Zone] += worth(kept, need.Ordinary, 0) - h.Firm
					continue // it would have to be rented again
				}
			}
			if h.Standing > 0 {
				// Its replicas have to be moved, and a machine rented in its stead later
				// would be cold: only when there is clearly too much, and a few machines
				// at a time.
				if moving >= may || over-w < min(0.12*ordWant, max(2*w, 0.06*ordWant)) {
					if !loaned {
						room[h.Zone] += worth(kept, need.Ordinary, 0) - h.Firm
					}
					continue
				}
				moving++
			}
			v.Cordon = append(v.Cordon, h.Name)
			for i := range need.Bound {
				if need.Bound[i].Holds(kept, h.Zone, h.Loaned) {
					beyond[i] -= kept.Cores
				}
			}
			over -= w
			zoneHave[h.Zone] -= w
		}
	}
	if len(v.Rent) == 0 && !need.Keep {
		surplus(true, spotHave+spare-max(need.Loaned.Cores, need.Hold), need.Loaned)
		surplus(false, ordHave-max(ordWant, need.HoldOrdinary)-max(0, need.Pressing.Cores-spotHave, need.HoldPressing-spotHave), need.Ordinary)
	}
	for _, h := range held {
		if h.Cordoned && h.Up && h.Live == 0 && !taken[h.Name] {
			v.Return = append(v.Return, h.Name)
		}
	}
	return v
}

// bind makes sure that there are machines for bound work: cordoned ones come back
// first, then the cheapest are rented, spot ones if they will do and are to be had. It
// gives how many more cores they have than are needed.
func (v *Verdict) bind(w *Bound, builds []wire.MachineType, held []Held, refused Refused, most int) (beyond float64) {
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
		if b, ok := byName[h.Build]; ok && !h.Lost && (!h.Cordoned || back[h.Name]) && w.Holds(b, h.Zone, h.Loaned) {
			count(b, 1)
		}
	}
	asked := 0
	for _, r := range v.Rent {
		asked += r.Count
		if b := byName[r.Build]; w.Holds(b, r.Zone, r.Loaned) {
			count(b, r.Count)
		}
	}
	for _, h := range held {
		if some && have >= need {
			return have - need
		}
		if b, ok := byName[h.Build]; ok && !h.Lost && h.Up && h.Cordoned && !back[h.Name] && w.Holds(b, h.Zone, h.Loaned) {
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
		v.want(best)
		count(byName[best.Build], 1)
	}
	return have - need
}

// free makes sure that some machine has room for a task: one that was to go comes
// back, or one is rented, if that many may be. It tells whether that took a change.
func (v *Verdict) free(w *Bound, builds []wire.MachineType, held []Held, refused Refused, most int) bool {
	if w.Together > 1 {
		return v.together(w, builds, held, refused, most)
	}
	back := ""
	for _, h := range held {
		i := slices.IndexFunc(builds, func(b wire.MachineType) bool { return b.SKU == h.Build })
		if i < 0 || !w.fits(h, builds[i]) {
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
	best, ok := cheapest(w, builds, w.Loaned, refused)
	if !ok || most <= 0 {
		return false
	}
	v.want(best)
	return true
}

// together is free for tasks that are to be in one zone, of which none has a place
// yet: a machine more where most of them would fit, as long as not all do.
func (v *Verdict) together(w *Bound, builds []wire.MachineType, held []Held, refused Refused, most int) bool {
	fit := map[string]int{}
	for _, h := range held {
		i := slices.IndexFunc(builds, func(b wire.MachineType) bool { return b.SKU == h.Build })
		if i >= 0 && w.fits(h, builds[i]) && (!h.Cordoned || slices.Contains(v.Uncordon, h.Name)) {
			fit[h.Zone] += tasks(h.Free, w.Task)
		}
	}
	best := ""
	for _, z := range slices.Sorted(maps.Keys(fit)) {
		if fit[z] >= w.Together {
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
		i := slices.IndexFunc(builds, func(b wire.MachineType) bool { return b.SKU == h.Build })
		if i >= 0 && h.Cordoned && there.fits(h, builds[i]) && !slices.Contains(v.Uncordon, h.Name) {
			v.Uncordon = append(v.Uncordon, h.Name)
			return true
		}
	}
	for _, b := range []*Bound{&there, w} { // elsewhere, if none is to be had there
		if r, ok := cheapest(b, builds, w.Loaned, refused); ok && most > 0 {
			v.want(r)
			return true
		}
	}
	return false
}

// tasks is how many tasks of a size a load holds.
func tasks(l, task Load) int {
	n := math.Inf(1)
	for _, x := range [][2]float64{{l.Cores, task.Cores}, {l.RAM, task.RAM}, {l.Accel, task.Accel}} {
		if x[1] > 0 {
			n = min(n, math.Floor(x[0]/x[1]+1e-9))
		}
	}
	return int(min(n, 1e6))
}

// cheapest is the machine that costs least per core of all that may hold the work.
func cheapest(w *Bound, builds []wire.MachineType, loaned bool, refused Refused) (best Wish, ok bool) {
	least := math.Inf(1)
	for _, b := range builds {
		hourly := b.HourlyPrice
		if loaned {
			hourly = b.SpotPrice
		}
		price := hourly / max(0.01, b.Cores)
		for _, y := range b.Zones {
			if price > 0 && price < least && w.Holds(b, y, loaned) && !refused(b.SKU, y, loaned) {
				best, least = Wish{Build: b.SKU, Zone: y, Loaned: loaned, Count: 1}, price
			}
		}
	}
	return best, best.Count > 0
}

// want adds machines to what is to be rented.
func (v *Verdict) want(r Wish) {
	for i := range v.Rent {
		if o := &v.Rent[i]; o.Build == r.Build && o.Zone == r.Zone && o.Loaned == r.Loaned {
			o.Count += r.Count
			return
		}
	}
	v.Rent = append(v.Rent, r)
}

// roomByZone is the room on ordinary machines beside what only they may hold.
// Work that spot machines may hold gives way, so it counts as room.
func roomByZone(held []Held, byName map[string]wire.MachineType, need Need) map[string]float64 {
	free := map[string]float64{}
	for _, b := range byName {
		for _, y := range b.Zones {
			free[y] += 0
		}
	}
	for _, h := range held {
		if !h.Loaned && !h.Lost && !h.Cordoned {
			free[h.Zone] += worth(byName[h.Build], need.Ordinary, 0) - h.Firm
		}
	}
	return free
}

// tight names the zone to rent in when replicas that must be kept apart would
// find room in fewer than two zones: the one, after the roomiest, with the
// least to add.
func tight(free map[string]float64, need Need) string {
	if !need.Apart {
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
	if free[zones[1]] < max(2*need.MaxCores, need.Ordinary.Cores*need.Reserve/2) {
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
func rent(v *Verdict, builds []wire.MachineType, load Load, missing, near float64, loaned bool, zoneHave map[string]float64, apart bool, refused Refused, most int) int {
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
		v.want(Wish{Build: o.b.SKU, Zone: o.zone, Loaned: o.loaned, Count: 1})
		zoneHave[o.zone] += o.worth
		missing -= o.worth
		asked++
	}
	v.Capped = v.Capped || missing > 0.5 && asked >= most
	return asked
}
