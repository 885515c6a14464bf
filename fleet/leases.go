package fleet

import (
	"container/heap"

	"cedardoor/clock"
)

// leaseMargin covers timer granularity and the state service's tolerance in
// expiring a lease.
const leaseMargin = 400 * clock.Millisecond

// Lease tracks how long a worker continues without a response to its heartbeats.
// Once it has expired, the worker has killed all tasks of its incarnation.
type Lease struct {
	LeaseEnd   clock.Micros
	AnsweredAt clock.Micros // when a heartbeat, possibly a late copy, was last answered

	leaseCheckAt clock.Micros // when ExpireLeases examines the machine next; not after LeaseEnd
	leaseIndex   int          // position in the fleet's leaseHeap plus one; zero if not in it
}

// extendLease moves the end of the lease to the given time, unless it is later already.
func (l *Lease) extendLease(until clock.Micros) { l.LeaseEnd = max(l.LeaseEnd, until) }

// LeaseExpired reports whether the worker's incarnation must have ended.
func (l *Lease) LeaseExpired(now clock.Micros) bool { return now > l.LeaseEnd }

// leaseHeap is a min-heap of machines by leaseCheckAt.
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

// watchLease adds a machine to the lease heap, unless it is there already.
func (f *Fleet) watchLease(machine *Machine) {
	if machine.leaseIndex == 0 {
		machine.leaseCheckAt = machine.LeaseEnd
		heap.Push(&f.leases, machine)
	}
}

// HeartbeatAnswered records that a heartbeat is answered with the given token. If
// the response arrives, it extends the lease, even if the heartbeat was a late copy.
func (f *Fleet) HeartbeatAnswered(machine *Machine, now clock.Micros, token uint64) {
	machine.extendLease(now + f.lease)
	machine.AnsweredAt = now
	machine.answeredToken = token
}

// ExpireLeases removes the allocations of machines whose lease has expired. Such
// a machine counts as not having reported yet.
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
		// The next report may be a late copy from before the expiry.
		machine.Suspect = machine.Suspect || machine.Reported
		machine.Reported = false
		f.unwatchHeartbeat(machine)
		f.MachineChanged(machine)
	}
	return events
}

// MachineReturned handles the deletion of a machine by the cloud: all its attempts
// are gone, including those of an incarnation that was not reported yet.
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
