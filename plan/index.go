package plan

import (
	"math"
	"sort"
)

const (
	// memoryLevels is the number of classes of free memory in the index. Worst fit searches
	// them from the highest down.
	memoryLevels = 128
	// levelsPerDoubling is the number of memory levels per doubling of free memory.
	levelsPerDoubling = 8
	// coreClasses is the number of classes of free cores within a memory level, four per
	// doubling. Machines in a class with too few cores for a task are not examined.
	coreClasses = 32
	// levelsPerCoreClass makes core classes coarser than memory levels.
	levelsPerCoreClass = 2
)

// memoryLevel returns the class of an amount of free memory.
func memoryLevel(ram float64) int {
	return max(0, min(memoryLevels-1, int(levelsPerDoubling*math.Log2(1+max(0, ram+epsilon)))))
}

// coreClass returns the class of a number of free cores.
func coreClass(cores float64) int { return min(coreClasses-1, memoryLevel(cores)/levelsPerCoreClass) }

// The kinds of machines, in the order in which preemptible jobs prefer them.
const (
	kindSpot = iota
	kindOnDemand
	numKinds
)

func kindOf(machine *Machine) int {
	if machine.Preemptible {
		return kindSpot
	}
	return kindOnDemand
}

// index looks up machines without scanning all of them: by name, by image and, for
// those that may be given tasks, by kind, free memory and free cores.
type index struct {
	byName          map[string]*Machine
	all             [numKinds][]*Machine
	available       [numKinds][memoryLevels]coreClassList
	images          map[string][]*Machine // machines that hold or fetch an image
	machinesPerZone map[string]int        // number of machines by zone
}

// coreClassList holds the machines of one memory level by class of free cores.
type coreClassList struct {
	nonEmpty uint32 // bit set of the classes that have machines
	machines [coreClasses][]*Machine
}

// indexEntry records the positions of a machine in the index.
type indexEntry struct {
	known     bool
	kind      int
	position  int // in index.all
	zone      string
	images    map[string]int // positions in index.images
	available availableEntry
}

// availableEntry records the position of a machine in index.available.
type availableEntry struct {
	listed             bool
	kind, level, class int
	position           int
}

func newIndex() *index {
	return &index{byName: map[string]*Machine{}, images: map[string][]*Machine{}, machinesPerZone: map[string]int{}}
}

// zones returns the zones that have machines, sorted.
func (x *index) zones() []string {
	zones := make([]string, 0, len(x.machinesPerZone))
	for zone := range x.machinesPerZone {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	return zones
}

// machinesFor returns all machines of the kinds that a job may use, available or not.
func (x *index) machinesFor(job *Job) []*Machine {
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

// put adds a machine to the index, or updates its entry.
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
		x.removeFromZone(entry.zone)
		entry.zone = machine.Zone
		if machine.Zone != "" {
			x.machinesPerZone[machine.Zone]++
		}
	}
	x.putAvailable(machine)
	x.putImages(machine)
}

// putAvailable lists a machine by its free memory and cores if it may be given tasks, and removes it
// from the list otherwise.
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

// putImages updates the entries of a machine by its images.
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

// removeFromZone decrements the number of machines in a zone.
func (x *index) removeFromZone(zone string) {
	if x.machinesPerZone[zone]--; x.machinesPerZone[zone] <= 0 {
		delete(x.machinesPerZone, zone)
	}
}

// removeAvailable removes a machine from those that may be given tasks.
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

// removeImage removes a machine from those that hold or fetch an image.
func (x *index) removeImage(machine *Machine, image string) {
	position := machine.index.images[image]
	machines, moved := removeAt(x.images[image], position)
	moved.index.images[image] = position
	if x.images[image] = machines; len(machines) == 0 {
		delete(x.images, image)
	}
	delete(machine.index.images, image)
}

// remove removes a machine from the index.
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
	x.removeFromZone(entry.zone)
	if x.byName[machine.Name] == machine {
		delete(x.byName, machine.Name)
	}
	machine.index = indexEntry{}
}

// removeAt removes the machine at a position; the last one of the list takes its place.
func removeAt(list []*Machine, position int) (shorter []*Machine, moved *Machine) {
	last := len(list) - 1
	moved = list[last]
	list[position] = moved
	list[last] = nil
	return list[:last], moved
}
