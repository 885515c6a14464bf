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

// addUnbooked notes a task that a report shows and that is not on the books.
func (f *Fleet) addUnbooked(m *Machine, k key, status string) {
	m.unbooked[k] = unbooked{status: status}
	if m.unbooked[k].sign() != recovery.SignRunning {
		return
	}
	m.unbookedLive++
	if f.unbooked[k.task] == nil {
		f.unbooked[k.task] = map[*Machine]bool{}
	}
	f.unbooked[k.task][m] = true
}

// clearUnbooked forgets what the last report showed.
func (f *Fleet) clearUnbooked(m *Machine) {
	for k := range m.unbooked {
		f.leaveUnbooked(m, k.task)
	}
	clear(m.unbooked)
	m.unbookedLive = 0
}

// leaveUnbooked notes that a machine shows a task no longer.
func (f *Fleet) leaveUnbooked(m *Machine, task TaskID) {
	on := f.unbooked[task]
	delete(on, m)
	if len(on) == 0 {
		delete(f.unbooked, task)
	}
}

// decide tells what follows for a task that is not on the books.
func (f *Fleet) decide(k key, sign recovery.Sign) recovery.Decision {
	switch {
	case f.Decide != nil:
		return f.Decide(k.task, sign)
	case sign == recovery.SignRunning:
		return recovery.Stop
	}
	return recovery.Release
}

// Unbooked is how many tasks that are not on the books run on the machine.
func (m *Machine) Unbooked() int { return m.unbookedLive }

// MayRunUnbooked tells whether a machine shows a task that is not on the books: it may
// be there still, so it is started nowhere.
func (f *Fleet) MayRunUnbooked(task TaskID, now clock.Micros) bool {
	for m := range f.unbooked[task] {
		if !m.Lapsed(now) {
			return true
		}
	}
	return false
}

// EachUnbooked calls do for every task that a machine shows and that is not on the books, in a
// fixed order.
func (f *Fleet) EachUnbooked(m *Machine, do func(task TaskID, attempt uint64, sign recovery.Sign)) {
	for _, k := range sorted(m.unbooked) {
		do(k.task, k.attempt, m.unbooked[k].sign())
	}
}

// HasUnbooked tells whether any machine shows a task that is not on the books.
func (f *Fleet) HasUnbooked() bool { return len(f.unbooked) > 0 }

// ShowingUnbooked lists the machines that show tasks of a job that are not on the books.
func (f *Fleet) ShowingUnbooked(job string) (out []*Machine) {
	for task, on := range f.unbooked {
		if task.Job != job {
			continue
		}
		for m := range on {
			out = append(out, m)
		}
	}
	return out
}

// AllUnbooked calls do for every task that runs on a machine and is not on the books, in
// a fixed order.
func (f *Fleet) AllUnbooked(do func(m *Machine, task TaskID, attempt uint64)) {
	on := map[string]*Machine{}
	for _, machines := range f.unbooked {
		for m := range machines {
			on[m.Name] = m
		}
	}
	for _, name := range slices.Sorted(maps.Keys(on)) {
		m := on[name]
		f.EachUnbooked(m, func(task TaskID, attempt uint64, sign recovery.Sign) {
			if sign == recovery.SignRunning {
				do(m, task, attempt)
			}
		})
	}
}

// Book takes a task that a worker shows onto the books, as recorded. If it has ended, its
// next report brings that as news.
func (f *Fleet) Book(m *Machine, b *Booking, now clock.Micros) {
	f.Adopt(m, b, now)
	k := key{b.Task, b.Attempt}
	shown, there := m.unbooked[k]
	if !there {
		return
	}
	b.Status = shown.status
	if b.Status == wire.TaskRunning {
		b.Running = now
	}
	delete(m.unbooked, k)
	if shown.sign() != recovery.SignRunning {
		return
	}
	b.reservation.Shown()
	m.unbookedLive--
	f.leaveUnbooked(m, b.Task)
}
