package fleet

import (
	"fmt"

	"cedardoor/clock"
	"cedardoor/quota"
)

// Reserve books room for an attempt, unless its team has none left: no task is started
// without a booking, and there is no booking beyond the limit. It is not yet Recorded.
func (f *Fleet) Reserve(machine *Machine, allocation *Allocation, now clock.Micros) error {
	reservation, err := f.quota.Reserve(allocation.Team, allocation.amount())
	if err != nil {
		return fmt.Errorf("book %s: %w", allocation.Task, err)
	}
	f.allocate(machine, allocation, reservation, now)
	return nil
}

// allocate puts an attempt on the machine's books.
func (f *Fleet) allocate(machine *Machine, allocation *Allocation, reservation *quota.Reservation, now clock.Micros) {
	allocation.reservation = reservation
	allocation.Machine = machine
	allocation.ReservedAt = now
	allocation.index, allocation.removed = len(machine.allocations), false
	machine.allocations = append(machine.allocations, allocation)
	machine.byKey[attemptKey{allocation.Task, allocation.Attempt}] = allocation
	machine.UsedCores += allocation.Cores
	machine.UsedAccelerators += allocation.Accelerators
	machine.UsedRAM += allocation.RAM
	machine.IdleSince = 0
	machine.unchanged = false
	f.capacityChanged(allocation, 1)
	f.watchLease(machine)
	f.MachineChanged(machine)
}

// Adopt books an attempt that a predecessor recorded. Any token below this
// term's may still be on its way in a /do, so absence proves nothing until
// the worker has seen this term's.
func (f *Fleet) Adopt(machine *Machine, allocation *Allocation, now clock.Micros) {
	f.allocate(machine, allocation, f.quota.Adopt(allocation.Team, allocation.amount()), now)
	allocation.Durable, allocation.Adopted = true, true
	f.setUnfenced(allocation, f.firstToken-1, true)
	machine.mixedIncarnations = machine.mixedIncarnations || machine.Incarnation > 0 && machine.Incarnation != allocation.Incarnation
	machine.Incarnation = max(machine.Incarnation, allocation.Incarnation)
	allocation.firstSent = now
}

// MarkDurable notes that an attempt is durable: its run may be sent.
func (f *Fleet) MarkDurable(allocation *Allocation) {
	allocation.Durable = true
	allocation.reservation.Confirm()
}

// Stop asks for the end of an attempt. One that was never sent is gone at once.
func (f *Fleet) Stop(allocation *Allocation, leeway float64, now clock.Micros) (gone bool) {
	if allocation.Ended {
		return false
	}
	if allocation.firstSent == 0 {
		f.Remove(allocation, now)
		return true
	}
	if !allocation.Stopping {
		allocation.Stopping, allocation.StopRequestedAt, allocation.Grace = true, now, leeway
		allocation.reservation.Stop()
		allocation.Machine.unchanged = false
		f.MachineChanged(allocation.Machine)
	}
	return false
}

// Remove frees a booking's room, if it still takes any, and forgets it.
func (f *Fleet) Remove(allocation *Allocation, now clock.Micros) {
	f.release(allocation, now)
	machine := allocation.Machine
	if allocation.removed {
		return
	}
	allocation.removed = true
	delete(f.unfenced, allocation)
	delete(f.repeatable, allocation)
	if key := (attemptKey{allocation.Task, allocation.Attempt}); machine.byKey[key] == allocation {
		delete(machine.byKey, key)
	}
	copy(machine.allocations[allocation.index:], machine.allocations[allocation.index+1:])
	machine.allocations[len(machine.allocations)-1] = nil
	machine.allocations = machine.allocations[:len(machine.allocations)-1]
	for i := allocation.index; i < len(machine.allocations); i++ {
		machine.allocations[i].index = i
	}
	machine.unchanged = false
	if len(machine.allocations) == 0 {
		machine.allocations = nil
		if machine.IdleSince == 0 {
			machine.IdleSince = now
		}
	}
}

func (f *Fleet) release(allocation *Allocation, now clock.Micros) {
	if allocation.Ended {
		return
	}
	allocation.Ended = true
	allocation.reservation.Release()
	machine := allocation.Machine
	machine.UsedCores = max(0, machine.UsedCores-allocation.Cores)
	machine.UsedAccelerators = max(0, machine.UsedAccelerators-allocation.Accelerators)
	machine.UsedRAM = max(0, machine.UsedRAM-allocation.RAM)
	machine.unchanged = false
	f.capacityChanged(allocation, -1)
	f.reportOverloaded = f.reportOverloaded || len(machine.allocations)-machine.liveCount > maxUnforgottenResults
	if machine.liveCount == 0 {
		// Sums of decimals drift; an empty machine is exactly empty.
		machine.UsedCores, machine.UsedAccelerators, machine.UsedRAM = 0, 0, 0
		if machine.IdleSince == 0 {
			machine.IdleSince = now
		}
	}
	f.MachineChanged(machine)
}
