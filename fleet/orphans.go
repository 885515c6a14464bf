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

// Tasks that workers show and that are not on the books: attempts that were superseded, of
// jobs that are over, or that the records never knew. Until a machine reports without it,
// such a task counts as being there: its machine gets nothing new, since what the task
// takes is not known, and the task is started nowhere else.

// addOrphan notes a task that a report shows and that is not on the books.
func (f *Fleet) addOrphan(machine *Machine, key attemptKey, status string) {
	machine.orphans[key] = orphan{status: status}
	if machine.orphans[key].sign() != recovery.SignRunning {
		return
	}
	machine.runningOrphans++
	if f.orphans[key.task] == nil {
		f.orphans[key.task] = map[*Machine]bool{}
	}
	f.orphans[key.task][machine] = true
}

// clearOrphans forgets what the last report showed.
func (f *Fleet) clearOrphans(machine *Machine) {
	for key := range machine.orphans {
		f.removeOrphan(machine, key.task)
	}
	clear(machine.orphans)
	machine.runningOrphans = 0
}

// removeOrphan notes that a machine shows a task no longer.
func (f *Fleet) removeOrphan(machine *Machine, task TaskID) {
	on := f.orphans[task]
	delete(on, machine)
	if len(on) == 0 {
		delete(f.orphans, task)
	}
}

// decideOrphan tells what follows for a task that is not on the books.
func (f *Fleet) decideOrphan(key attemptKey, sign recovery.Sign) recovery.Decision {
	switch {
	case f.DecideOrphan != nil:
		return f.DecideOrphan(key.task, sign)
	case sign == recovery.SignRunning:
		return recovery.Stop
	}
	return recovery.Release
}

// RunningOrphans is how many tasks that are not on the books run on the machine.
func (m *Machine) RunningOrphans() int { return m.runningOrphans }

// MayRunAsOrphan tells whether a machine shows a task that is not on the books: it may
// be there still, so it is started nowhere.
func (f *Fleet) MayRunAsOrphan(task TaskID, now clock.Micros) bool {
	for machine := range f.orphans[task] {
		if !machine.LeaseExpired(now) {
			return true
		}
	}
	return false
}

// EachOrphan calls do for every task that a machine shows and that is not on the books, in a
// fixed order.
func (f *Fleet) EachOrphan(machine *Machine, do func(task TaskID, attempt uint64, sign recovery.Sign)) {
	for _, key := range sortedKeys(machine.orphans) {
		do(key.task, key.attempt, machine.orphans[key].sign())
	}
}

// HasOrphans tells whether any machine shows a task that is not on the books.
func (f *Fleet) HasOrphans() bool { return len(f.orphans) > 0 }

// MachinesWithOrphansOf lists the machines that show tasks of a job that are not on the books.
func (f *Fleet) MachinesWithOrphansOf(job string) (out []*Machine) {
	for task, on := range f.orphans {
		if task.Job != job {
			continue
		}
		for machine := range on {
			out = append(out, machine)
		}
	}
	return out
}

// EachRunningOrphan calls do for every task that runs on a machine and is not on the books, in
// a fixed order.
func (f *Fleet) EachRunningOrphan(do func(machine *Machine, task TaskID, attempt uint64)) {
	on := map[string]*Machine{}
	for _, machines := range f.orphans {
		for machine := range machines {
			on[machine.Name] = machine
		}
	}
	for _, name := range slices.Sorted(maps.Keys(on)) {
		machine := on[name]
		f.EachOrphan(machine, func(task TaskID, attempt uint64, sign recovery.Sign) {
			if sign == recovery.SignRunning {
				do(machine, task, attempt)
			}
		})
	}
}

// AdoptOrphan takes a task that a worker shows onto the books, as recorded. If it has ended, its
// next report brings that as news.
func (f *Fleet) AdoptOrphan(machine *Machine, allocation *Allocation, now clock.Micros) {
	f.Adopt(machine, allocation, now)
	key := attemptKey{allocation.Task, allocation.Attempt}
	shown, there := machine.orphans[key]
	if !there {
		return
	}
	allocation.Status = shown.status
	if allocation.Status == wire.TaskRunning {
		allocation.RunningSince = now
	}
	delete(machine.orphans, key)
	if shown.sign() != recovery.SignRunning {
		return
	}
	allocation.reservation.Shown()
	machine.runningOrphans--
	f.removeOrphan(machine, allocation.Task)
}

// orphan is what a report shows of a task that is not on the books.
type orphan struct{ status string }

func (u orphan) sign() recovery.Sign {
	if u.status == wire.TaskEnded {
		return recovery.SignEnded
	}
	return recovery.SignRunning
}

func sortedKeys(in map[attemptKey]orphan) []attemptKey {
	keys := make([]attemptKey, 0, len(in))
	for key := range in {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b attemptKey) int {
		return cmp.Or(strings.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.attempt, b.attempt))
	})
	return keys
}
