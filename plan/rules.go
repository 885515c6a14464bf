package plan

import "slices"

// Why a task is a candidate for repair.
const (
	ReasonBan    = "ban"
	ReasonSpread = "spread"
	// ReasonDrain is a machine that is to be returned because there are too many:
	// nothing is wrong with it, so a task leaves only for a machine that has its image.
	ReasonDrain = "drain"
)

// slop absorbs rounding of decimal amounts.
const slop = 1e-6

// Rule says whether one more task of a job may be on a machine, given the picture.
type Rule interface {
	// Allows tells whether one more task of j may be on m.
	Allows(p *Picture, j *Job, m *Machine) bool
}

// Rules is every hard rule that a placement must keep.
func Rules() []Rule {
	return []Rule{Ban{}, Shun{}, Held{}, AllowedType{}, AllowedZone{}, AllowedKind{}, ZoneCap{}, OneZone{}, TeamLimit{}}
}

// Ban bars tasks from machines that do not report, are sick or are to be emptied.
type Ban struct{}

// Allows implements Rule.
func (Ban) Allows(_ *Picture, _ *Job, m *Machine) bool {
	return m.Usable && m.Banned == "" && !m.Cordoned
}

// Shun keeps a job's tasks off the machines on which one of them has failed, and
// jobs on trial off all on which any has.
type Shun struct{}

// Allows implements Rule.
func (Shun) Allows(p *Picture, j *Job, m *Machine) bool {
	return !j.Shun[m.Name] && !(j.Probe && m.Struck && p.AvoidStruck)
}

// Held keeps the room of a machine for the job that has waited too long for it. What
// is within its team's guarantee need not wait for it.
type Held struct{}

// Allows implements Rule.
func (Held) Allows(p *Picture, j *Job, m *Machine) bool {
	return m.Held == "" || m.Held == j.UID || p.owed
}

// AllowedType keeps a job to its machine types.
type AllowedType struct{}

// Allows implements Rule.
func (AllowedType) Allows(_ *Picture, j *Job, m *Machine) bool {
	return j.Builds == nil || slices.Contains(j.Builds, m.Build)
}

// AllowedZone keeps a job to its zone.
type AllowedZone struct{}

// Allows implements Rule.
func (AllowedZone) Allows(_ *Picture, j *Job, m *Machine) bool {
	return j.Zone == "" || j.Zone == m.Zone
}

// AllowedKind keeps jobs that are not loaned off spot machines.
type AllowedKind struct{}

// Allows implements Rule.
func (AllowedKind) Allows(_ *Picture, j *Job, m *Machine) bool { return j.Loaned || !m.Loaned }

// ZoneCap keeps at most half of an apart job, rounded up, in one zone. Tasks
// that may still exist count, wherever they may be.
type ZoneCap struct{}

// Allows implements Rule.
func (ZoneCap) Allows(_ *Picture, j *Job, m *Machine) bool {
	return !j.Apart || j.Zones[m.Zone]+j.Anywhere < (j.Tasks+1)/2
}

// OneZone keeps a same_place job in the zone where any of it may be.
type OneZone struct{}

// Allows implements Rule.
func (OneZone) Allows(_ *Picture, j *Job, m *Machine) bool {
	if !j.SamePlace {
		return true
	}
	if j.Anywhere > 0 {
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
func (TeamLimit) Allows(p *Picture, j *Job, _ *Machine) bool {
	return !p.binding || p.draft.Fits(j.Team, j.amount())
}

// room is the capacity rule: what is booked on a machine fits it.
func room(j *Job, m *Machine) bool { return enough(j, m.Cores, m.Accel, m.RAM) }

func enough(j *Job, cores, accel, ram float64) bool {
	return j.Cores <= cores+slop && j.Accel <= accel+slop && j.RAM <= ram+slop
}
