package plan

import (
	"math"
	"sort"
)

// levels is how many classes of free memory machines are kept apart in, eight
// for each doubling: worst fit looks at the uppermost first.
const levels = 128

func level(ram float64) int {
	return max(0, min(levels-1, int(8*math.Log2(1+max(0, ram+slop)))))
}

// widths is how many classes of free processors the machines of a level are kept
// apart in, four for each doubling: those with too few for a task are not looked at.
const widths = 32

func width(cores float64) int { return min(widths-1, level(cores)/2) }

// The kinds of machine, in the order in which loaned work prefers them.
const (
	loaned = iota
	ordinary
	kinds
)

func kindOf(m *Machine) int {
	if m.Preemptible {
		return loaned
	}
	return ordinary
}

// index finds machines without looking at all of them: by name, by kind and
// free memory among those that may be given tasks, and by image.
type index struct {
	byName  map[string]*Machine
	all     [kinds][]*Machine
	open    [kinds][levels]shelf
	images  map[string][]*Machine
	perZone map[string]int
}

// shelf is the machines of a level, by free processors.
type shelf struct {
	some  uint32 // a bit for each width that has machines
	width [widths][]*Machine
}

// place is where the index holds a machine.
type place struct {
	known  bool
	kind   int // in all
	nth    int
	zone   string
	open   bool
	oKind  int
	oLevel int
	oWidth int
	oNth   int
	images map[string]int
}

func (p *Snapshot) reindex() {
	p.index = &index{byName: map[string]*Machine{}, images: map[string][]*Machine{}, perZone: map[string]int{}}
	for _, m := range p.Machines {
		m.at = place{}
		p.index.put(m)
	}
}

// Put takes a machine into the picture, or notes that it has changed.
func (p *Snapshot) Put(m *Machine) {
	if p.index == nil {
		p.reindex()
	}
	p.index.put(m)
}

// Machine looks a machine up.
func (p *Snapshot) Machine(name string) *Machine {
	if p.index == nil {
		p.reindex()
	}
	return p.index.byName[name]
}

// Remove takes a machine out of the picture.
func (p *Snapshot) Remove(name string) {
	if m := p.Machine(name); m != nil {
		p.index.drop(m)
	}
}

func (x *index) zones() []string {
	out := make([]string, 0, len(x.perZone))
	for y := range x.perZone {
		out = append(out, y)
	}
	sort.Strings(out)
	return out
}

// kinds lists the machines of the kinds that a job may use.
func (x *index) kinds(j *Job) []*Machine {
	if !j.Preemptible || len(x.all[loaned]) == 0 {
		return x.all[ordinary]
	}
	if len(x.all[ordinary]) == 0 {
		return x.all[loaned]
	}
	both := make([]*Machine, 0, len(x.all[loaned])+len(x.all[ordinary]))
	return append(append(both, x.all[loaned]...), x.all[ordinary]...)
}

func (x *index) put(m *Machine) {
	at := &m.at
	if at.known && at.kind != kindOf(m) {
		x.drop(m)
	}
	if !at.known {
		at.known, at.kind, at.nth = true, kindOf(m), len(x.all[kindOf(m)])
		x.all[at.kind] = append(x.all[at.kind], m)
		x.byName[m.Name] = m
		at.images = map[string]int{}
	}
	if at.zone != m.Zone {
		x.leave(at.zone)
		at.zone = m.Zone
		if m.Zone != "" {
			x.perZone[m.Zone]++
		}
	}
	open := m.Usable && m.QuarantineReason == "" && !m.Cordoned
	l, w := level(m.RAM), width(m.Cores)
	if at.open && (!open || at.oLevel != l || at.oWidth != w) {
		x.shut(m)
	}
	if open && !at.open {
		s := &x.open[at.kind][l]
		at.open, at.oKind, at.oLevel, at.oWidth, at.oNth = true, at.kind, l, w, len(s.width[w])
		s.width[w] = append(s.width[w], m)
		s.some |= 1 << w
	}
	for b := range at.images {
		if _, still := m.Images[b]; !still {
			x.unpicture(m, b)
		}
	}
	if len(at.images) != len(m.Images) {
		for b := range m.Images {
			if _, known := at.images[b]; !known {
				at.images[b] = len(x.images[b])
				x.images[b] = append(x.images[b], m)
			}
		}
	}
}

func (x *index) leave(zone string) {
	if x.perZone[zone]--; x.perZone[zone] <= 0 {
		delete(x.perZone, zone)
	}
}

// shut takes a machine from those that may be given tasks.
func (x *index) shut(m *Machine) {
	at := &m.at
	s := &x.open[at.oKind][at.oLevel]
	list := s.width[at.oWidth]
	last := list[len(list)-1]
	list[at.oNth] = last
	last.at.oNth = at.oNth
	list[len(list)-1] = nil
	if s.width[at.oWidth] = list[:len(list)-1]; len(list) == 1 {
		s.some &^= 1 << at.oWidth
	}
	at.open = false
}

func (x *index) unpicture(m *Machine, bundle string) {
	list, n := x.images[bundle], m.at.images[bundle]
	last := list[len(list)-1]
	list[n] = last
	last.at.images[bundle] = n
	list[len(list)-1] = nil
	if x.images[bundle] = list[:len(list)-1]; len(list) == 1 {
		delete(x.images, bundle)
	}
	delete(m.at.images, bundle)
}

func (x *index) drop(m *Machine) {
	at := &m.at
	if !at.known {
		return
	}
	if at.open {
		x.shut(m)
	}
	for b := range at.images {
		x.unpicture(m, b)
	}
	list := x.all[at.kind]
	last := list[len(list)-1]
	list[at.nth] = last
	last.at.nth = at.nth
	list[len(list)-1] = nil
	x.all[at.kind] = list[:len(list)-1]
	x.leave(at.zone)
	if x.byName[m.Name] == m {
		delete(x.byName, m.Name)
	}
	m.at = place{}
}
