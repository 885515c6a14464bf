package fleet

import (
	"maps"
	"slices"

	"cedardoor/clock"
	"cedardoor/recovery"
	"cedardoor/wire"
)

// Tasks that workers show and that are not on the books: attempts that were superseded, of
// jobs that are over, or that the records never knew. Until a machine reports without it,
// such a task counts as being there: its machine gets nothing new, since what the task
// takes is not known, and the task is started nowhere else.

// addOrphan notes a task that a report shows and that is not on the books.
func (f *Fleet) addOrphan(m *Machine, k attemptKey, status string) {
	m.orphans[k] = orphan{status: status}
	if m.orphans[k].observation() != recovery.ObservedRunning {
		return
	}
	m.runningOrphans++
	if f.orphans[k.task] == nil {
		f.orphans[k.task] = map[*Machine]bool{}
	}
	f.orphans[k.task][m] = true
}

// clearOrphans forgets what the last report showed.
func (f *Fleet) clearOrphans(m *Machine) {
	for k := range m.orphans {
		f.removeOrphan(m, k.task)
	}
	clear(m.orphans)
	m.runningOrphans = 0
}

// removeOrphan notes that a machine shows a task no longer.
func (f *Fleet) removeOrphan(m *Machine, task TaskID) {
	on := f.orphans[task]
	delete(on, m)
	if len(on) == 0 {
		delete(f.orphans, task)
	}
}

// decideOrphan tells what follows for a task that is not on the books.
func (f *Fleet) decideOrphan(k attemptKey, observation recovery.Observation) recovery.Decision {
	switch {
	case f.DecideOrphan != nil:
		return f.DecideOrphan(k.task, observation)
	case observation == recovery.ObservedRunning:
		return recovery.Stop
	}
	return recovery.Release
}

// RunningOrphans is how many tasks that are not on the books run on the machine.
func (m *Machine) RunningOrphans() int { return m.runningOrphans }

// MayRunAsOrphan tells whether a machine shows a task that is not on the books: it may
// be there still, so it is started nowhere.
func (f *Fleet) MayRunAsOrphan(task TaskID, now clock.Micros) bool {
	for m := range f.orphans[task] {
		if !m.LeaseExpired(now) {
			return true
		}
	}
	return false
}

// EachOrphan calls do for every task that a machine shows and that is not on the books, in a
// fixed order.
func (f *Fleet) EachOrphan(m *Machine, do func(task TaskID, attempt uint64, observation recovery.Observation)) {
	for _, k := range sortedKeys(m.orphans) {
		do(k.task, k.attempt, m.orphans[k].observation())
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
		for m := range on {
			out = append(out, m)
		}
	}
	return out
}

// EachRunningOrphan calls do for every task that runs on a machine and is not on the books, in
// a fixed order.
func (f *Fleet) EachRunningOrphan(do func(m *Machine, task TaskID, attempt uint64)) {
	on := map[string]*Machine{}
	for _, machines := range f.orphans {
		for m := range machines {
			on[m.Name] = m
		}
	}
	for _, name := range slices.Sorted(maps.Keys(on)) {
		m := on[name]
		f.EachOrphan(m, func(task TaskID, attempt uint64, observation recovery.Observation) {
			if observation == recovery.ObservedRunning {
				do(m, task, attempt)
			}
		})
	}
}

// AdoptOrphan takes a task that a worker shows onto the books, as recorded. If it has ended, its
// next report brings that as news.
func (f *Fleet) AdoptOrphan(m *Machine, allocation *Allocation, now clock.Micros) {
	f.Adopt(m, allocation, now)
	k := attemptKey{allocation.Task, allocation.Attempt}
	shown, there := m.orphans[k]
	if !there {
		return
	}
	allocation.Status = shown.status
	if allocation.Status == wire.TaskRunning {
		allocation.RunningSince = now
	}
	delete(m.orphans, k)
	if shown.observation() != recovery.ObservedRunning {
		return
	}
	allocation.reservation.MarkRunning()
	m.runningOrphans--
	f.removeOrphan(m, allocation.Task)
}
