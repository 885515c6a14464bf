package fleet

import "cedardoor/clock"

// Usable tells whether a machine may be given tasks.
func (m *Machine) Usable(now clock.Micros) bool {
	reports := m.Reported && !m.Suspect && !m.Unresponsive && !m.LeaseExpired(now)
	stays := !m.Returning && m.PreemptionAt == 0
	return reports && stays && m.RunningOrphans() == 0 && m.Cores > 0 && m.SuspendedUntil <= now
}
