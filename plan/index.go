package plan

import (
	"math"
	"sort"
)

const (
	// memoryLevels is how many classes of free memory machines are indexed by: worst fit looks at
	// the uppermost first.
	memoryLevels = 128
	// levelsPerDoubling is how many of them each doubling of the memory has.
	levelsPerDoubling = 8
	// coreClasses is how many classes of free cores the machines of a level are indexed by,
	// four for each doubling: those with too few for a task are not looked at.
	coreClasses = 32
	// levelsPerCoreClass makes them coarser than the levels of memory.
	levelsPerCoreClass = 2
)

// memoryLevel is the class of an amount of free memory.
func memoryLevel(ram float64) int {
	return max(0, min(memoryLevels-1, int(levelsPerDoubling*math.Log2(1+max(0, ram+epsilon)))))
}

// coreClass is the class of a number of free cores.
func coreClass(cores float64) int { return min(coreClasses-1, memoryLevel(cores)/levelsPerCoreClass) }

// The kinds of machine, in the order in which preemptible work prefers them.
const (
	kindSpot = iota
	kindOnDemand
	kinds
)

func kindOf(machine *Machine) int {
	if machine.Preemptible {
		return kindSpot
	}
	return kindOnDemand
}

// index finds machines without looking at all of them: by name, by kind and
// free memory among those that may be given tasks, and by image.
type index struct {
	byName    map[string]*Machine
	all       [kinds][]*Machine
	available [kinds][memoryLevels]coreClassList
	images    map[string][]*Machine // the machines that hold an image, or fetch it
	perZone   map[string]int        // how many machines are in a zone
}

// coreClassList is the machines of a memory level, by free cores.
type coreClassList struct {
	nonEmpty uint32 // a bit for each class that has machines
	machines [coreClasses][]*Machine
}

// indexEntry is where the index holds a machine.
type indexEntry struct {
	known     bool
	kind      int
	position  int // in all
	zone      string
	images    map[string]int // positions in images
	available availableEntry
}

// availableEntry is where the index holds a machine that may be given tasks.
type availableEntry struct {
	listed             bool
	kind, level, class int
	position           int
}

func newIndex() *index {
	return &index{byName: map[string]*Machine{}, images: map[string][]*Machine{}, perZone: map[string]int{}}
}

// zones lists the zones that have machines, in order.
func (x *index) zones() []string {
	zones := make([]string, 0, len(x.perZone))
	for zone := range x.perZone {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	return zones
}

// usableBy lists the machines of the kinds that a job may use.
func (x *index) usableBy(job *Job) []*Machine {
	spot, onDemand := x.all[kindSpot], x.all[kindOnDemand]
	if !job.Preemptible || len(spot) == 0 {
		return onDemand
	}
	if len(onDemand) == 0 {
		return spot
	}
	both := make([]*Machine, 0, len(spot)+len(onDemand))
	return append(append(both, spot...), onDemand...)
}

// put takes a machine in, or brings the index up to date with it.
func (x *index) put(machine *Machine) {
	entry := &machine.index
	if entry.known && entry.kind != kindOf(machine) {
		x.remove(machine)
	}
	if !entry.known {
		kind := kindOf(machine)
		entry.known, entry.kind, entry.position = true, kind, len(x.all[kind])
		x.all[kind] = append(x.all[kind], machine)
		x.byName[machine.Name] = machine
		entry.images = map[string]int{}
	}
	if entry.zone != machine.Zone {
		x.leaveZone(entry.zone)
		entry.zone = machine.Zone
		if machine.Zone != "" {
			x.perZone[machine.Zone]++
		}
	}
	x.putAvailable(machine)
	x.putImages(machine)
}

// putAvailable lists a machine by what is free on it, if it may be given tasks.
func (x *index) putAvailable(machine *Machine) {
	entry := &machine.index.available
	available := machine.available()
	level, class := memoryLevel(machine.Free.RAM), coreClass(machine.Free.Cores)
	if entry.listed && (!available || entry.level != level || entry.class != class) {
		x.removeAvailable(machine)
	}
	if available && !entry.listed {
		kind := machine.index.kind
		list := &x.available[kind][level]
		*entry = availableEntry{listed: true, kind: kind, level: level, class: class, position: len(list.machines[class])}
		list.machines[class] = append(list.machines[class], machine)
		list.nonEmpty |= 1 << class
	}
}

// putImages lists a machine by its images.
func (x *index) putImages(machine *Machine) {
	entry := &machine.index
	for image := range entry.images {
		if _, still := machine.Images[image]; !still {
			x.removeImage(machine, image)
		}
	}
	if len(entry.images) == len(machine.Images) {
		return
	}
	for image := range machine.Images {
		if _, known := entry.images[image]; !known {
			entry.images[image] = len(x.images[image])
			x.images[image] = append(x.images[image], machine)
		}
	}
}

// leaveZone counts a machine less in a zone.
func (x *index) leaveZone(zone string) {
	if x.perZone[zone]--; x.perZone[zone] <= 0 {
		delete(x.perZone, zone)
	}
}

// removeAvailable takes a machine from those that may be given tasks.
func (x *index) removeAvailable(machine *Machine) {
	entry := &machine.index.available
	list := &x.available[entry.kind][entry.level]
	machines, moved := removeAt(list.machines[entry.class], entry.position)
	moved.index.available.position = entry.position
	if list.machines[entry.class] = machines; len(machines) == 0 {
		list.nonEmpty &^= 1 << entry.class
	}
	entry.listed = false
}

// removeImage takes a machine from those that have an image.
func (x *index) removeImage(machine *Machine, image string) {
	position := machine.index.images[image]
	machines, moved := removeAt(x.images[image], position)
	moved.index.images[image] = position
	if x.images[image] = machines; len(machines) == 0 {
		delete(x.images, image)
	}
	delete(machine.index.images, image)
}

// remove takes a machine out.
func (x *index) remove(machine *Machine) {
	entry := &machine.index
	if !entry.known {
		return
	}
	if entry.available.listed {
		x.removeAvailable(machine)
	}
	for image := range entry.images {
		x.removeImage(machine, image)
	}
	machines, moved := removeAt(x.all[entry.kind], entry.position)
	moved.index.position = entry.position
	x.all[entry.kind] = machines
	x.leaveZone(entry.zone)
	if x.byName[machine.Name] == machine {
		delete(x.byName, machine.Name)
	}
	machine.index = indexEntry{}
}

// removeAt takes a machine out of a list; the last one moves to its position.
func removeAt(list []*Machine, position int) (shorter []*Machine, moved *Machine) {
	last := len(list) - 1
	moved = list[last]
	list[position] = moved
	list[last] = nil
	return list[:last], moved
}
