package fleet

import (
	"container/heap"

	"cedardoor/clock"
)

// leaseMargin covers timer steps and the state service's slack in ending a lease.
const leaseMargin = 400 * clock.Millisecond

// leaseHeap is a heap of machines by when their lease may run out.
type leaseHeap []*Machine

func (l leaseHeap) Len() int { return len(l) }

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

// watchLease puts a machine that holds bookings among those whose lease is watched.
func (f *Fleet) watchLease(machine *Machine) {
	if machine.leaseIndex == 0 {
		machine.leaseCheckAt = machine.LeaseEnd
		heap.Push(&f.leases, machine)
	}
}

// HeartbeatAnswered notes that a heartbeat of m is being answered, which extends its lease
// if the answer is heard. That counts even for a copy that comes late.
func (f *Fleet) HeartbeatAnswered(machine *Machine, now clock.Micros, token uint64) {
	machine.LeaseEnd = max(machine.LeaseEnd, now+f.lease)
	machine.answeredToken, machine.AnsweredAt = token, now
}

// LeaseExpired tells whether a machine's last known session must be over: nothing
// may be booked in it any more.
func (m *Machine) LeaseExpired(now clock.Micros) bool { return now > m.LeaseEnd }

// ExpireLeases frees the bookings of machines whose lease must have run out.
func (f *Fleet) ExpireLeases(now clock.Micros) (events []Event) {
	for len(f.leases) > 0 && f.leases[0].leaseCheckAt < now {
		machine := heap.Pop(&f.leases).(*Machine)
		f.Examined++
		if len(machine.allocations) == 0 {
			continue
		}
		if now <= machine.LeaseEnd {
			f.watchLease(machine)
			continue
		}
		events = append(events, f.endIncarnationsBefore(machine, machine.Incarnation+1, now)...)
		// Its next report may be a copy of one from before.
		machine.Reported, machine.Suspect = false, machine.Suspect || machine.Reported
		if machine.heartbeat != nil {
			f.heartbeats.Remove(machine.heartbeat)
			machine.heartbeat = nil
		}
		f.MachineChanged(machine)
	}
	return events
}

// MachineReturned takes in that the cloud has deleted a machine with all that was on it.
func (f *Fleet) MachineReturned(name string, now clock.Micros) (events []Event) {
	machine := f.machines[name]
	if machine == nil {
		return nil
	}
	events = f.endIncarnationsBefore(machine, machine.Incarnation+1, now)
	// A recorded booking of a session not reported yet is gone as well.
	machine.EachAllocation(func(allocation *Allocation) {
		if allocation.Live() {
			f.release(allocation, now)
			events = append(events, Event{Allocation: allocation, Gone: true})
		}
		f.Remove(allocation, now)
	})
	f.Drop(name)
	return events
}
