// Package fleet keeps what is known of machines, their sessions and the tasks
// booked on them. It alone says whether a task may still exist somewhere: a
// booking is freed by proof, never by a guess. It does no I/O and has no lock;
// the leader's own lock guards it.
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

// Fleet is all machines known to the leader.
type Fleet struct {
	lease            clock.Micros // lease_s stretched for drift, with a margin
	reportInterval   clock.Micros
	quota            *quota.Ledger // what teams use: every booking has its part of it
	machines         map[string]*Machine
	machineTypes     map[string]wire.MachineType
	firstToken       uint64    // the term's first token
	leases           leaseHeap // machines with bookings, by when their lease may run out
	heartbeats       *list.List
	unfenced         map[*Allocation]bool // with a run that went unanswered: it may yet arrive
	repeatable       map[*Allocation]bool // with a run that was answered: it may arrive again
	reportOverloaded bool                 // some machine's report is getting long with results that wait for that to be ruled out

	// OnCapacityChange, if set, is told of every booking that comes to take room (+1) or no
	// longer does (-1), with the zone that it counts for.
	OnCapacityChange func(b *Allocation, zone string, sign int)
	// OnMachineChange, if set, is told of a machine of which something changed that
	// matters for placing.
	OnMachineChange func(m *Machine)
	// DecideOrphan, if set, tells what follows for a task that a worker shows and that is not on
	// the books. Where it is not set, such a task is stopped and forgotten.
	DecideOrphan func(task TaskID, sign recovery.Sign) recovery.Decision
	// orphans is where tasks are that are shown and not on the books.
	orphans map[TaskID]map[*Machine]bool
	// Examined counts machines and bookings looked at, so that tests can bound the work.
	Examined int
}

// New makes an empty Fleet for a term that began with the given token. Bookings take
// their room from the ledger.
func New(lease, report clock.Micros, first uint64, ledger *quota.Ledger) *Fleet {
	return &Fleet{quota: ledger, firstToken: first, lease: lease.Stretch(clock.Drift) + leaseMargin, reportInterval: report, machines: map[string]*Machine{},
		machineTypes: map[string]wire.MachineType{}, heartbeats: list.New(), unfenced: map[*Allocation]bool{}, repeatable: map[*Allocation]bool{},
		orphans: map[TaskID]map[*Machine]bool{}}
}

// MachineChanged tells OnMachineChange of a machine of which something changed that matters for placing.
func (f *Fleet) MachineChanged(machine *Machine) {
	if f.OnMachineChange != nil {
		f.OnMachineChange(machine)
	}
}

func (f *Fleet) capacityChanged(allocation *Allocation, sign int) {
	allocation.Machine.liveCount += sign
	if f.OnCapacityChange != nil {
		f.OnCapacityChange(allocation, allocation.Machine.Zone, sign)
	}
}

// Len is how many machines are known.
func (f *Fleet) Len() int { return len(f.machines) }

// SetCatalog tells the machine types, and gives machines seen before their size.
func (f *Fleet) SetCatalog(c wire.Catalog) {
	for _, machineType := range c.MachineTypes {
		f.machineTypes[machineType.SKU] = machineType
	}
	for _, machine := range f.machines {
		f.setCapacity(machine)
	}
}

func (f *Fleet) setCapacity(machine *Machine) {
	if machineType, ok := f.machineTypes[machine.Type]; ok && (machine.Cores != machineType.Cores || machine.Accelerators != machineType.Accelerators || machine.RAM != machineType.RAM) {
		machine.Cores, machine.Accelerators, machine.RAM = machineType.Cores, machineType.Accelerators, machineType.RAM
		f.MachineChanged(machine)
	}
}

// Describe notes what a machine is and where. What is booked on it counted for
// every zone while that was unknown.
func (f *Fleet) Describe(machine *Machine, endpoint, build, zone string, loaned bool) {
	if machine.Endpoint == endpoint && machine.Type == build && machine.Zone == zone && machine.Preemptible == loaned {
		return
	}
	machine.EachAllocation(func(allocation *Allocation) {
		if allocation.Live() {
			f.capacityChanged(allocation, -1)
		}
	})
	machine.Endpoint, machine.Type, machine.Zone, machine.Preemptible = endpoint, build, zone, loaned
	machine.EachAllocation(func(allocation *Allocation) {
		if allocation.Live() {
			f.capacityChanged(allocation, 1)
		}
	})
	f.setCapacity(machine)
	f.MachineChanged(machine)
}

// MachineType looks a machine type up.
func (f *Fleet) MachineType(sku string) (wire.MachineType, bool) {
	machineType, ok := f.machineTypes[sku]
	return machineType, ok
}

// Machine looks a machine up.
func (f *Fleet) Machine(name string) *Machine { return f.machines[name] }

// Machines lists all machines by name.
func (f *Fleet) Machines() []*Machine {
	out := make([]*Machine, 0, len(f.machines))
	for _, machine := range f.machines {
		out = append(out, machine)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// EachMachine calls f for every machine, in no order.
func (f *Fleet) EachMachine(do func(machine *Machine)) {
	for _, machine := range f.machines {
		do(machine)
	}
}

// Ensure gives the machine of this name, made now if it was unknown.
func (f *Fleet) Ensure(name string, now clock.Micros) *Machine {
	machine := f.machines[name]
	if machine == nil {
		machine = &Machine{Name: name, FirstSeen: now, IdleSince: now, Slowness: 1, LeaseEnd: now + f.lease,
			byKey: map[attemptKey]*Allocation{}, Images: map[string]bool{}, orphans: map[attemptKey]orphan{}}
		f.machines[name] = machine
	}
	return machine
}

// Drop forgets a machine on which nothing can be any more.
func (f *Fleet) Drop(name string) {
	machine := f.machines[name]
	if machine == nil {
		return
	}
	delete(f.machines, name)
	f.clearOrphans(machine)
	if machine.heartbeat != nil {
		f.heartbeats.Remove(machine.heartbeat)
		machine.heartbeat = nil
	}
	if machine.leaseIndex > 0 {
		heap.Remove(&f.leases, machine.leaseIndex-1)
	}
	f.MachineChanged(machine)
}
