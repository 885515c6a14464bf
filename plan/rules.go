package plan

import "slices"

// Why a task is a candidate for repair.
const (
	ReasonQuarantine = "ban"
	ReasonSpread     = "spread"
	// ReasonDrain is a machine that is to be returned because there are too many:
	// nothing is wrong with it, so a task leaves only for a machine that has its image.
	ReasonDrain = "drain"
)

// slop absorbs rounding of decimal amounts.
const slop = 1e-6

// Rule says whether one more task of a job may be on a machine, given the picture.
type Rule interface {
	// Allows tells whether one more task of j may be on m.
	Allows(p *Snapshot, j *Job, m *Machine) bool
}

// Rules is every hard rule that a placement must keep.
func Rules() []Rule {
	return []Rule{NotQuarantined{}, AvoidedMachines{}, RoomReserved{}, AllowedType{}, AllowedZone{}, AllowedKind{}, ZoneCap{}, OneZone{}, TeamLimit{}}
}

// NotQuarantined bars tasks from machines that do not report, are sick or are to be emptied.
type NotQuarantined struct{}

// Allows implements Rule.
func (NotQuarantined) Allows(_ *Snapshot, _ *Job, m *Machine) bool {
	return m.Usable && m.QuarantineReason == "" && !m.Cordoned
}

// AvoidedMachines keeps a job's tasks off the machines on which one of them has failed, and
// jobs on trial off all on which any has.
type AvoidedMachines struct{}

// Allows implements Rule.
func (AvoidedMachines) Allows(p *Snapshot, j *Job, m *Machine) bool {
	return !j.Avoid[m.Name] && !(j.OnTrial && m.HasFailures && p.AvoidFailures)
}

// RoomReserved keeps the room of a machine for the job that has waited too long for it. What
// is within its team's guarantee need not wait for it.
type RoomReserved struct{}

// Allows implements Rule.
func (RoomReserved) Allows(p *Snapshot, j *Job, m *Machine) bool {
	return m.ReservedFor == "" || m.ReservedFor == j.UID || p.withinGuarantee
}

// AllowedType keeps a job to its machine types.
type AllowedType struct{}

// Allows implements Rule.
func (AllowedType) Allows(_ *Snapshot, j *Job, m *Machine) bool {
	return j.MachineTypes == nil || slices.Contains(j.MachineTypes, m.Type)
}

// AllowedZone keeps a job to its zone.
type AllowedZone struct{}

// Allows implements Rule.
func (AllowedZone) Allows(_ *Snapshot, j *Job, m *Machine) bool {
	return j.Zone == "" || j.Zone == m.Zone
}

// AllowedKind keeps jobs that are not loaned off spot machines.
type AllowedKind struct{}

// Allows implements Rule.
func (AllowedKind) Allows(_ *Snapshot, j *Job, m *Machine) bool {
	return j.Preemptible || !m.Preemptible
}

// ZoneCap keeps at most half of an apart job, rounded up, in one zone. Tasks
// that may still exist count, wherever they may be.
type ZoneCap struct{}

// Allows implements Rule.
func (ZoneCap) Allows(_ *Snapshot, j *Job, m *Machine) bool {
	return !j.Spread || j.Zones[m.Zone]+j.InUnknownZone < (j.Tasks+1)/2
}

// OneZone keeps a same_place job in the zone where any of it may be.
type OneZone struct{}

// Allows implements Rule.
func (OneZone) Allows(_ *Snapshot, j *Job, m *Machine) bool {
	if !j.SameZone {
		return true
	}
	if j.InUnknownZone > 0 {
		return false
	}
	for z, n := range j.Zones {
		if n > 0 && z != m.Zone {
			return false
		}
	}
	return true
}

// TeamLimit keeps a team's tasks, those that may still exist included, within its
// limit, by the leader's ledger.
type TeamLimit struct{}

// Allows implements Rule.
func (TeamLimit) Allows(p *Snapshot, j *Job, _ *Machine) bool {
	return !p.binding || p.draft.Fits(j.Team, j.amount())
}

// room is the capacity rule: what is booked on a machine fits it.
func room(j *Job, m *Machine) bool { return enough(j, m.Cores, m.Accelerators, m.RAM) }

func enough(j *Job, cores, accel, ram float64) bool {
	return j.Cores <= cores+slop && j.Accelerators <= accel+slop && j.RAM <= ram+slop
}
