package fleet

import "cedardoor/clock"

// Usable reports whether tasks may be placed on the machine.
func (m *Machine) Usable(now clock.Micros) bool {
	reporting := m.Reported && !m.Suspect && !m.Unresponsive && !m.LeaseExpired(now)
	stays := !m.Returning && m.PreemptionAt == 0
	return reporting && stays && m.RunningOrphans() == 0 && m.Cores > 0 && m.SuspendedUntil <= now
}
