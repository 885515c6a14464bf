package standin

import (
	"time"
)

// RestartWorker ends the worker's incarnation at once, with all its tasks. The worker
// continues with the next incarnation and sequence, since the protocol requires the newer of
// two messages to have the higher numbers.
func (m *Machine) RestartWorker() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.condition.removed || m.ctx == nil {
		return
	}
	m.restartCount++
	m.dropTasks(CauseRestarted)
	m.incarnation, m.leaseStart = m.incarnation+1, time.Now()
	m.reports.inFlight, m.reports.changed = false, false
	m.reports.next, m.reports.earliestChange, m.reports.tokenSeenAt = time.Now(), time.Time{}, time.Time{}
	m.wakeUp()
}

// GiveNotice gives notice that the cloud will reclaim the machine after the given time.
func (m *Machine) GiveNotice(in time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.condition.removed || m.ctx == nil {
		return
	}
	m.condition.reclaimedAt, m.reports.changed = time.Now().Add(in), true
	m.wakeUp()
}

// SetHung makes the machine hang or resume.
func (m *Machine) SetHung(hung bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case hung && m.condition.hung == nil:
		m.condition.hung, m.condition.hungAt = make(chan struct{}), time.Now()
	case !hung && m.condition.hung != nil:
		close(m.condition.hung)
		m.condition.hung = nil
		m.expireLease(time.Now())
		for _, t := range m.tasks {
			t.due = t.due.Add(time.Since(m.condition.hungAt))
		}
		m.wakeUp()
	}
}

// waitWhileHung waits until the machine does not hang, or its context ends.
func (m *Machine) waitWhileHung() {
	for {
		m.mu.Lock()
		ch, ctx := m.condition.hung, m.ctx
		m.mu.Unlock()
		if ch == nil {
			return
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return
		}
	}
}

// SetUnreachable sets whether responses and commands fail to reach the machine.
func (m *Machine) SetUnreachable(unreachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.condition.unreachable = unreachable
}

// IsUnreachable reports whether neither responses nor commands reach the machine.
func (m *Machine) IsUnreachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.condition.unreachable
}

// Remove removes the machine and everything on it.
func (m *Machine) Remove() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.condition.removed = true
	m.dropTasks(CauseMachineRemoved)
	if m.condition.hung != nil {
		close(m.condition.hung)
		m.condition.hung = nil
	}
	if m.wake != nil {
		m.wakeUp()
	}
}
