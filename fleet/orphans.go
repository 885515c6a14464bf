package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"cedardoor/clock"
	"cedardoor/recovery"
	"cedardoor/wire"
)

// Orphans are tasks that workers show and that have no allocation: attempts that
// were superseded, of jobs that are over, or that the records never knew. Until
// its machine reports without it, an orphan counts as being there: the machine
// gets no tasks, since what the orphan takes is not known, and the task is
// started nowhere else.

// orphan is what a report shows of a task without an allocation.
type orphan struct{ status wire.TaskStatus }

// sign is what the orphan's status tells the recovery rules.
func (o orphan) sign() recovery.Observation {
	if o.status == wire.TaskEnded {
		return recovery.ObservedEnded
	}
	return recovery.ObservedRunning
}

// orphanTable holds the orphans that a machine's last report shows.
type orphanTable struct {
	orphans        map[attemptKey]orphan
	runningOrphans int // those that have not ended
}

// RunningOrphans is how many orphans run on the machine.
func (t *orphanTable) RunningOrphans() int { return t.runningOrphans }

// addOrphan notes an orphan that a report shows.
func (f *Fleet) addOrphan(machine *Machine, key attemptKey, status wire.TaskStatus) {
	shown := orphan{status: status}
	machine.orphans[key] = shown
	if shown.sign() != recovery.ObservedRunning {
		return
	}
	machine.runningOrphans++
	if f.orphans[key.task] == nil {
		f.orphans[key.task] = map[*Machine]bool{}
	}
	f.orphans[key.task][machine] = true
}

// clearOrphans forgets the orphans that the last report showed.
func (f *Fleet) clearOrphans(machine *Machine) {
	for key := range machine.orphans {
		f.removeOrphan(machine, key.task)
	}
	clear(machine.orphans)
	machine.runningOrphans = 0
}

// removeOrphan notes that a machine no longer shows a task as an orphan.
func (f *Fleet) removeOrphan(machine *Machine, task TaskID) {
	machines := f.orphans[task]
	delete(machines, machine)
	if len(machines) == 0 {
		delete(f.orphans, task)
	}
}

// decideOrphan tells what is to be done about an orphan.
func (f *Fleet) decideOrphan(task TaskID, sign recovery.Observation) recovery.Decision {
	switch {
	case f.DecideOrphan != nil:
		return f.DecideOrphan(task, sign)
	case sign == recovery.ObservedRunning:
		return recovery.Stop
	}
	return recovery.Release
}

// MayRunAsOrphan tells whether a task may be on some machine as an orphan; it may
// be started nowhere then.
func (f *Fleet) MayRunAsOrphan(task TaskID, now clock.Micros) bool {
	for machine := range f.orphans[task] {
		if !machine.LeaseExpired(now) {
			return true
		}
	}
	return false
}

// HasOrphans tells whether any machine has a running orphan.
func (f *Fleet) HasOrphans() bool { return len(f.orphans) > 0 }

// EachOrphan calls do for every orphan of a machine, in a fixed order.
func (f *Fleet) EachOrphan(machine *Machine, do func(task TaskID, attempt uint64, sign recovery.Observation)) {
	for _, key := range sortedKeys(machine.orphans) {
		do(key.task, key.attempt, machine.orphans[key].sign())
	}
}

// EachRunningOrphan calls do for every orphan that runs, in a fixed order.
func (f *Fleet) EachRunningOrphan(do func(machine *Machine, task TaskID, attempt uint64)) {
	byName := map[string]*Machine{}
	for _, machines := range f.orphans {
		for machine := range machines {
			byName[machine.Name] = machine
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		machine := byName[name]
		f.EachOrphan(machine, func(task TaskID, attempt uint64, sign recovery.Observation) {
			if sign == recovery.ObservedRunning {
				do(machine, task, attempt)
			}
		})
	}
}

// MachinesWithOrphansOf lists the machines on which orphans of a job run, in no order.
func (f *Fleet) MachinesWithOrphansOf(job string) (found []*Machine) {
	for task, machines := range f.orphans {
		if task.Job != job {
			continue
		}
		for machine := range machines {
			found = append(found, machine)
		}
	}
	return found
}

// AdoptOrphan adopts an attempt that its worker may show as an orphan. If it has
// ended, the next report brings that as an event.
func (f *Fleet) AdoptOrphan(machine *Machine, allocation *Allocation, now clock.Micros) {
	f.Adopt(machine, allocation, now)
	key := allocation.key()
	shown, found := machine.orphans[key]
	if !found {
		return
	}
	allocation.Status = shown.status
	if allocation.Status == wire.TaskRunning {
		allocation.RunningSince = now
	}
	delete(machine.orphans, key)
	if shown.sign() != recovery.ObservedRunning {
		return
	}
	allocation.reservation.MarkRunning()
	machine.runningOrphans--
	f.removeOrphan(machine, allocation.Task)
}

// sortedKeys lists the orphans by job, task and attempt.
func sortedKeys(orphans map[attemptKey]orphan) []attemptKey {
	keys := make([]attemptKey, 0, len(orphans))
	for key := range orphans {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b attemptKey) int {
		return cmp.Or(strings.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.attempt, b.attempt))
	})
	return keys
}
