// Package fleet holds what the leader knows of machines: what their workers
// report, the attempts allocated to them, their leases and their orphans.
//
// It alone decides whether an attempt may still exist somewhere. An allocation
// gives its room back only on proof that the attempt is gone: a report that
// shows its end, a newer incarnation of the worker, an expired lease, the
// deletion of the machine, or the absence from a report that was made after
// every command that could start it was fenced.
//
// The package does no I/O, reads no clock and holds no lock: its caller
// serializes all calls and passes the time.
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

// Fleet is all machines that the leader of a term knows.
type Fleet struct {
	lease          clock.Micros // of a worker, stretched for clock drift, with a margin
	reportInterval clock.Micros
	firstToken     uint64 // the first fencing token of the term
	ledger         *quota.Ledger
	machines       map[string]*Machine
	machineTypes   map[string]wire.MachineType

	leases     leaseHeap  // machines with allocations, by when their lease may expire
	heartbeats *list.List // machines that are trusted to be there, longest without a heartbeat first
	orphans    map[TaskID]map[*Machine]bool
	unfenced   unfencedRuns

	// OnCapacityChange, if set, is told of every allocation that comes to take
	// room (sign +1) or no longer does (-1), with the zone that it counts for.
	OnCapacityChange func(allocation *Allocation, zone string, sign int)
	// OnMachineChange, if set, is told of a machine when something changed that
	// matters for placing tasks.
	OnMachineChange func(machine *Machine)
	// DecideOrphan, if set, tells what is to be done about an orphan. Otherwise
	// orphans are stopped and forgotten.
	DecideOrphan func(task TaskID, sign recovery.Observation) recovery.Decision

	// Examined counts the machines and allocations looked at, so that tests can
	// bound the work.
	Examined int
}

// New makes a fleet without machines for a term that begins with the given
// fencing token. Allocations are charged to the ledger.
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

// MachineChanged tells OnMachineChange of a machine.
func (f *Fleet) MachineChanged(machine *Machine) {
	if f.OnMachineChange != nil {
		f.OnMachineChange(machine)
	}
}

// capacityChanged counts an allocation as live (sign +1) or no longer so (-1),
// and tells OnCapacityChange.
func (f *Fleet) capacityChanged(allocation *Allocation, sign int) {
	allocation.Machine.liveCount += sign
	if f.OnCapacityChange != nil {
		f.OnCapacityChange(allocation, allocation.Machine.Zone, sign)
	}
}

// Len is how many machines are known.
func (f *Fleet) Len() int { return len(f.machines) }

// Machine looks a machine up; nil if it is not known.
func (f *Fleet) Machine(name string) *Machine { return f.machines[name] }

// Machines lists all machines by name.
func (f *Fleet) Machines() []*Machine {
	machines := make([]*Machine, 0, len(f.machines))
	for _, machine := range f.machines {
		machines = append(machines, machine)
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i].Name < machines[j].Name })
	return machines
}

// EachMachine calls do for every machine, in no order.
func (f *Fleet) EachMachine(do func(machine *Machine)) {
	for _, machine := range f.machines {
		do(machine)
	}
}

// Ensure gives the machine of this name, which is added if it was not known.
func (f *Fleet) Ensure(name string, now clock.Micros) *Machine {
	machine := f.machines[name]
	if machine == nil {
		machine = newMachine(name, now)
		machine.LeaseEnd = now + f.lease
		f.machines[name] = machine
	}
	return machine
}

// Drop forgets a machine that can have no task any more.
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

// SetCatalog tells the machine types, and gives the machines known so far their size.
func (f *Fleet) SetCatalog(catalog wire.Catalog) {
	for _, machineType := range catalog.MachineTypes {
		f.machineTypes[machineType.SKU] = machineType
	}
	for _, machine := range f.machines {
		f.setCapacity(machine)
	}
}

// MachineType looks a machine type up.
func (f *Fleet) MachineType(sku string) (machineType wire.MachineType, known bool) {
	machineType, known = f.machineTypes[sku]
	return machineType, known
}

// setCapacity gives a machine the size of its type, if the catalog has it.
func (f *Fleet) setCapacity(machine *Machine) {
	machineType, known := f.machineTypes[machine.Type]
	if !known {
		return
	}
	size := Resources{Cores: machineType.Cores, Accelerators: machineType.Accelerators, RAM: machineType.RAM}
	if machine.Resources != size {
		machine.Resources = size
		f.MachineChanged(machine)
	}
}

// Describe notes what a machine is and where. Its live allocations move to the
// zone that it is in.
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

// recountLive counts all live allocations of a machine out (sign -1) or in (+1).
func (f *Fleet) recountLive(machine *Machine, sign int) {
	machine.EachAllocation(func(allocation *Allocation) {
		if allocation.Live() {
			f.capacityChanged(allocation, sign)
		}
	})
}
