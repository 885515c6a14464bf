// Package fleet holds the leader's view of the machines: the reports of their
// workers, the attempts allocated to them, their leases and their orphans.
//
// It is the only place that decides whether an attempt may still exist
// somewhere. An allocation's resources are released only on proof that the
// attempt is gone: a report that shows its end, a newer incarnation of the
// worker, an expired lease, the deletion of the machine, or absence from a
// report that was made after every command that could start it was fenced.
//
// The package does no I/O, reads no clock and holds no lock: the caller
// serializes all calls and passes the current time.
package fleet

import (
	"container/heap"
	"container/list"
	"sort"

	"cedardoor/clock"
	"cedardoor/quota"
	"cedardoor/recovery"
	"cedardoor/wire"
)

// Fleet holds all machines known to the leader of a term.
type Fleet struct {
	lease          clock.Micros // of a worker, stretched for clock drift, plus leaseMargin
	reportInterval clock.Micros
	firstToken     uint64 // first fencing token of the term
	ledger         *quota.Ledger
	machines       map[string]*Machine
	machineTypes   map[string]wire.MachineType

	leases     leaseHeap  // machines with allocations
	heartbeats *list.List // trusted machines, oldest heartbeat first
	orphans    map[TaskID]map[*Machine]bool
	unfenced   unfencedRuns

	// OnCapacityChange, if set, is called when an allocation starts (sign +1) or
	// stops (-1) using resources, with the zone that it counts toward.
	OnCapacityChange func(allocation *Allocation, zone string, sign int)
	// OnMachineChange, if set, is called when a machine changes in a way that
	// matters for placement.
	OnMachineChange func(machine *Machine)
	// DecideOrphan, if set, decides how to handle an orphan. Otherwise running
	// orphans are stopped and ended ones are forgotten.
	DecideOrphan func(task TaskID, observation recovery.Observation) recovery.Decision

	// Examined counts the machines and allocations examined, so that tests can
	// bound the work.
	Examined int
}

// New returns an empty Fleet for a term that begins with the given fencing
// token. Allocations are charged to the ledger.
func New(lease, reportInterval clock.Micros, firstToken uint64, ledger *quota.Ledger) *Fleet {
	return &Fleet{
		lease:          lease.Stretch(clock.Drift) + leaseMargin,
		reportInterval: reportInterval,
		firstToken:     firstToken,
		ledger:         ledger,
		machines:       map[string]*Machine{},
		machineTypes:   map[string]wire.MachineType{},
		heartbeats:     list.New(),
		orphans:        map[TaskID]map[*Machine]bool{},
		unfenced:       newUnfencedRuns(),
	}
}

// MachineChanged calls OnMachineChange, if set.
func (f *Fleet) MachineChanged(machine *Machine) {
	if f.OnMachineChange != nil {
		f.OnMachineChange(machine)
	}
}

// capacityChanged adds sign to the number of live allocations of the machine and
// calls OnCapacityChange, if set.
func (f *Fleet) capacityChanged(allocation *Allocation, sign int) {
	allocation.Machine.liveCount += sign
	if f.OnCapacityChange != nil {
		f.OnCapacityChange(allocation, allocation.Machine.Zone, sign)
	}
}

// Len returns the number of known machines.
func (f *Fleet) Len() int { return len(f.machines) }

// Machine returns the named machine, or nil if it is unknown.
func (f *Fleet) Machine(name string) *Machine { return f.machines[name] }

// Machines returns all machines, sorted by name.
func (f *Fleet) Machines() []*Machine {
	machines := make([]*Machine, 0, len(f.machines))
	for _, machine := range f.machines {
		machines = append(machines, machine)
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i].Name < machines[j].Name })
	return machines
}

// EachMachine calls do for every machine, in unspecified order.
func (f *Fleet) EachMachine(do func(machine *Machine)) {
	for _, machine := range f.machines {
		do(machine)
	}
}

// Ensure returns the named machine, adding it if it is unknown.
func (f *Fleet) Ensure(name string, now clock.Micros) *Machine {
	machine := f.machines[name]
	if machine == nil {
		machine = newMachine(name, now)
		machine.LeaseEnd = now + f.lease
		f.machines[name] = machine
	}
	return machine
}

// Drop forgets a machine that can no longer hold tasks.
func (f *Fleet) Drop(name string) {
	machine := f.machines[name]
	if machine == nil {
		return
	}
	delete(f.machines, name)
	f.clearOrphans(machine)
	f.unwatchHeartbeat(machine)
	if machine.leaseIndex > 0 {
		heap.Remove(&f.leases, machine.leaseIndex-1)
	}
	f.MachineChanged(machine)
}

// SetCatalog adds the machine types of a catalog and updates the resources of
// the known machines.
func (f *Fleet) SetCatalog(catalog wire.Catalog) {
	for _, machineType := range catalog.MachineTypes {
		f.machineTypes[machineType.SKU] = machineType
	}
	for _, machine := range f.machines {
		f.setCapacity(machine)
	}
}

// MachineType returns the machine type with the given SKU.
func (f *Fleet) MachineType(sku string) (machineType wire.MachineType, known bool) {
	machineType, known = f.machineTypes[sku]
	return machineType, known
}

// setCapacity sets a machine's resources from its type, if the type is known.
func (f *Fleet) setCapacity(machine *Machine) {
	machineType, known := f.machineTypes[machine.Type]
	if !known {
		return
	}
	capacity := Resources{Cores: machineType.Cores, Accelerators: machineType.Accelerators, RAM: machineType.RAM}
	if machine.Resources != capacity {
		machine.Resources = capacity
		f.MachineChanged(machine)
	}
}

// Describe updates a machine's description. Its live allocations then count
// toward the new zone.
func (f *Fleet) Describe(machine *Machine, description Description) {
	if machine.Description == description {
		return
	}
	f.recountLive(machine, -1)
	machine.Description = description
	f.recountLive(machine, 1)
	f.setCapacity(machine)
	f.MachineChanged(machine)
}

// recountLive calls capacityChanged for all live allocations of a machine.
func (f *Fleet) recountLive(machine *Machine, sign int) {
	machine.EachAllocation(func(allocation *Allocation) {
		if allocation.Live() {
			f.capacityChanged(allocation, sign)
		}
	})
}
