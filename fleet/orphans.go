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

// Orphans are tasks that workers report and that have no allocation: attempts
// that were superseded, that belong to jobs that are over, or that were never
// recorded. Until its machine reports without it, an orphan counts as present: the
// machine gets no tasks, since the resources that the orphan uses are unknown, and
// the task is not started elsewhere.

// orphan is the reported state of a task without an allocation.
type orphan struct{ status wire.TaskStatus }

// observation returns the orphan's state in terms of the recovery rules.
func (o orphan) observation() recovery.Observation {
	if o.status == wire.TaskEnded {
		return recovery.ObservedEnded
	}
	return recovery.ObservedRunning
}

// orphanTable holds the orphans in a machine's last report.
type orphanTable struct {
	orphans        map[attemptKey]orphan
	runningOrphans int // those that have not ended
}

// RunningOrphans returns the number of orphans that run on the machine.
func (t *orphanTable) RunningOrphans() int { return t.runningOrphans }

// addOrphan records an orphan that a report lists.
func (f *Fleet) addOrphan(machine *Machine, key attemptKey, status wire.TaskStatus) {
	reported := orphan{status: status}
	machine.orphans[key] = reported
	if reported.observation() != recovery.ObservedRunning {
		return
	}
	machine.runningOrphans++
	if f.orphans[key.task] == nil {
		f.orphans[key.task] = map[*Machine]bool{}
	}
	f.orphans[key.task][machine] = true
}

// clearOrphans forgets the orphans of a machine's last report.
func (f *Fleet) clearOrphans(machine *Machine) {
	for key := range machine.orphans {
		f.removeOrphan(machine, key.task)
	}
	clear(machine.orphans)
	machine.runningOrphans = 0
}

// removeOrphan records that a machine no longer runs a task as an orphan.
func (f *Fleet) removeOrphan(machine *Machine, task TaskID) {
	machines := f.orphans[task]
	delete(machines, machine)
	if len(machines) == 0 {
		delete(f.orphans, task)
	}
}

// decideOrphan returns how to handle an orphan.
func (f *Fleet) decideOrphan(task TaskID, observation recovery.Observation) recovery.Decision {
	switch {
	case f.DecideOrphan != nil:
		return f.DecideOrphan(task, observation)
	case observation == recovery.ObservedRunning:
		return recovery.Stop
	}
	return recovery.Release
}

// MayRunAsOrphan reports whether a task may be on some machine as an orphan. If
// so, it must not be started elsewhere.
func (f *Fleet) MayRunAsOrphan(task TaskID, now clock.Micros) bool {
	for machine := range f.orphans[task] {
		if !machine.LeaseExpired(now) {
			return true
		}
	}
	return false
}

// HasOrphans reports whether any machine has a running orphan.
func (f *Fleet) HasOrphans() bool { return len(f.orphans) > 0 }

// EachOrphan calls do for every orphan of a machine, in the order of sortedKeys.
func (f *Fleet) EachOrphan(machine *Machine, do func(task TaskID, attempt uint64, observation recovery.Observation)) {
	for _, key := range sortedKeys(machine.orphans) {
		do(key.task, key.attempt, machine.orphans[key].observation())
	}
}

// EachRunningOrphan calls do for every running orphan, by machine name and then
// in the order of sortedKeys.
func (f *Fleet) EachRunningOrphan(do func(machine *Machine, task TaskID, attempt uint64)) {
	byName := map[string]*Machine{}
	for _, machines := range f.orphans {
		for machine := range machines {
			byName[machine.Name] = machine
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		machine := byName[name]
		f.EachOrphan(machine, func(task TaskID, attempt uint64, observation recovery.Observation) {
			if observation == recovery.ObservedRunning {
				do(machine, task, attempt)
			}
		})
	}
}

// MachinesWithOrphansOf returns the machines on which orphans of a job run, in
// unspecified order.
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

// AdoptOrphan adopts an attempt that its worker may report as an orphan. If it has
// ended, the event follows with the next report.
func (f *Fleet) AdoptOrphan(machine *Machine, allocation *Allocation, now clock.Micros) {
	f.Adopt(machine, allocation, now)
	key := allocation.key()
	reported, found := machine.orphans[key]
	if !found {
		return
	}
	allocation.Status = reported.status
	if allocation.Status == wire.TaskRunning {
		allocation.RunningSince = now
	}
	delete(machine.orphans, key)
	if reported.observation() != recovery.ObservedRunning {
		return
	}
	allocation.reservation.MarkRunning()
	machine.runningOrphans--
	f.removeOrphan(machine, allocation.Task)
}

// sortedKeys returns the keys of orphans sorted by job, task index and attempt.
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
