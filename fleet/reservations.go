package fleet

import (
	"fmt"

	"cedardoor/clock"
	"cedardoor/quota"
)

// Reserve reserves resources of a machine for an attempt, unless that exceeds its
// team's limit. The run must not be sent before MarkDurable.
func (f *Fleet) Reserve(machine *Machine, allocation *Allocation, now clock.Micros) error {
	reservation, err := f.ledger.Reserve(allocation.Team, allocation.amount())
	if err != nil {
		return fmt.Errorf("reserve resources for task %s: %w", allocation.Task, err)
	}
	f.allocate(machine, allocation, reservation, now)
	return nil
}

// Adopt takes over an attempt that an earlier leader recorded. A direct command
// with any token below this term's may still be in flight, so absence proves
// nothing until the worker has seen a token of this term.
func (f *Fleet) Adopt(machine *Machine, allocation *Allocation, now clock.Micros) {
	f.allocate(machine, allocation, f.ledger.Adopt(allocation.Team, allocation.amount()), now)
	allocation.Durable, allocation.Adopted = true, true
	f.unfenced.mark(allocation, f.firstToken-1, false)
	machine.adoptIncarnation(allocation.Incarnation)
	allocation.firstSentAt = now
}

// allocate adds an attempt to a machine.
func (f *Fleet) allocate(machine *Machine, allocation *Allocation, reservation *quota.Reservation, now clock.Micros) {
	allocation.reservation = reservation
	allocation.Machine = machine
	allocation.ReservedAt = now
	machine.allocationTable.insert(allocation)
	machine.Usage.add(allocation.Resources)
	machine.unchanged = false
	f.capacityChanged(allocation, 1)
	f.watchLease(machine)
	f.MachineChanged(machine)
}

// MarkDurable marks an attempt as recorded: its run may be sent.
func (f *Fleet) MarkDurable(allocation *Allocation) {
	allocation.Durable = true
	allocation.reservation.MarkRecorded()
}

// Stop requests the end of an attempt, with a grace period in seconds. For an
// attempt that is being stopped already, a shorter period replaces the earlier
// one and a longer one changes nothing. An attempt that was never sent is removed
// at once.
func (f *Fleet) Stop(allocation *Allocation, grace float64, now clock.Micros) (gone bool) {
	if allocation.Ended {
		return false
	}
	if allocation.firstSentAt == 0 {
		f.Remove(allocation, now)
		return true
	}
	if allocation.requestStop(grace, now) {
		allocation.reservation.MarkStopping()
		allocation.Machine.unchanged = false
		f.MachineChanged(allocation.Machine)
	}
	return false
}

// Remove releases an allocation's resources, if it still holds any, and forgets it.
func (f *Fleet) Remove(allocation *Allocation, now clock.Micros) {
	f.release(allocation, now)
	if allocation.removed {
		return
	}
	f.unfenced.forget(allocation)
	machine := allocation.Machine
	machine.allocationTable.delete(allocation)
	machine.unchanged = false
	if machine.AllocationCount() == 0 {
		machine.markIdle(now)
	}
}

// release releases an allocation's resources, once. The allocation stays with its
// machine until the worker has forgotten the result.
func (f *Fleet) release(allocation *Allocation, now clock.Micros) {
	if allocation.Ended {
		return
	}
	allocation.Ended = true
	allocation.reservation.Release()
	machine := allocation.Machine
	machine.Usage.subtract(allocation.Resources)
	machine.unchanged = false
	f.capacityChanged(allocation, -1)
	f.unfenced.checkResults(machine)
	if machine.liveCount == 0 {
		machine.Usage.clear()
		machine.markIdle(now)
	}
	f.MachineChanged(machine)
}

// removeGone removes an attempt that is proved to be on no machine, and appends
// an event unless the attempt had already ended.
func (f *Fleet) removeGone(events []Event, allocation *Allocation, now clock.Micros) []Event {
	if allocation.Live() {
		f.release(allocation, now)
		events = append(events, Event{Allocation: allocation, Gone: true})
	}
	f.Remove(allocation, now)
	return events
}
