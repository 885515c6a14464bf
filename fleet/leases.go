package fleet

import (
	"container/heap"

	"cedardoor/clock"
)

// leaseMargin covers timer steps and the state service's slack in ending a lease.
const leaseMargin = 400 * clock.Millisecond

// Lease is until when a worker goes on without an answer to its heartbeats.
// After that it has killed all tasks of its incarnation.
type Lease struct {
	LeaseEnd   clock.Micros
	AnsweredAt clock.Micros // when a heartbeat was last answered, late copies included

	leaseCheckAt clock.Micros // when ExpireLeases looks at the machine, at the latest at LeaseEnd
	leaseIndex   int          // position in the fleet's leaseHeap, plus one; zero when not in it
}

// extendLease lets the lease last at least until the given time.
func (l *Lease) extendLease(until clock.Micros) { l.LeaseEnd = max(l.LeaseEnd, until) }

// LeaseExpired tells whether the worker's incarnation must be over.
func (l *Lease) LeaseExpired(now clock.Micros) bool { return now > l.LeaseEnd }

// leaseHeap is a heap of machines by when their lease may expire.
type leaseHeap []*Machine

func (l leaseHeap) Len() int           { return len(l) }
func (l leaseHeap) Less(i, k int) bool { return l[i].leaseCheckAt < l[k].leaseCheckAt }
func (l leaseHeap) Swap(i, k int) {
	l[i], l[k] = l[k], l[i]
	l[i].leaseIndex, l[k].leaseIndex = i+1, k+1
}
func (l *leaseHeap) Push(x any) {
	machine := x.(*Machine)
	*l = append(*l, machine)
	machine.leaseIndex = len(*l)
}
func (l *leaseHeap) Pop() any {
	old := *l
	machine := old[len(old)-1]
	old[len(old)-1] = nil
	*l, machine.leaseIndex = old[:len(old)-1], 0
	return machine
}

// watchLease puts a machine with allocations among those whose lease is checked.
func (f *Fleet) watchLease(machine *Machine) {
	if machine.leaseIndex == 0 {
		machine.leaseCheckAt = machine.LeaseEnd
		heap.Push(&f.leases, machine)
	}
}

// HeartbeatAnswered notes that a heartbeat is answered with this token. The
// answer extends the lease if it arrives, even that to a late copy.
func (f *Fleet) HeartbeatAnswered(machine *Machine, now clock.Micros, token uint64) {
	machine.extendLease(now + f.lease)
	machine.AnsweredAt = now
	machine.answeredToken = token
}

// ExpireLeases removes the allocations of machines whose lease has expired. Such
// a machine counts as one that has not reported yet.
func (f *Fleet) ExpireLeases(now clock.Micros) (events []Event) {
	for len(f.leases) > 0 && f.leases[0].leaseCheckAt < now {
		machine := heap.Pop(&f.leases).(*Machine)
		f.Examined++
		if machine.AllocationCount() == 0 {
			continue
		}
		if !machine.LeaseExpired(now) {
			f.watchLease(machine)
			continue
		}
		events = f.endIncarnationsBefore(events, machine, machine.Incarnation+1, now)
		// The next report may be a copy of one from before.
		machine.Suspect = machine.Suspect || machine.Reported
		machine.Reported = false
		f.unwatchHeartbeat(machine)
		f.MachineChanged(machine)
	}
	return events
}

// MachineReturned takes in that the cloud has deleted a machine: all that was
// on it is gone, and so are allocations of an incarnation not reported yet.
func (f *Fleet) MachineReturned(name string, now clock.Micros) (events []Event) {
	machine := f.machines[name]
	if machine == nil {
		return nil
	}
	events = f.endIncarnationsBefore(nil, machine, machine.Incarnation+1, now)
	machine.EachAllocation(func(allocation *Allocation) {
		events = f.removeGone(events, allocation, now)
	})
	f.Drop(name)
	return events
}
