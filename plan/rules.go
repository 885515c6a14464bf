package plan

import "slices"

// Why a task is a candidate for repair.
const (
	ReasonQuarantine = "ban"
	ReasonSpread     = "spread"
	// ReasonDrain is a cordoned machine that is to be returned because there are too many:
	// nothing is wrong with it, so a task leaves only for a machine that has its image.
	ReasonDrain = "drain"
)

// Rule says whether one more task of a job may be on a machine, given the snapshot.
type Rule interface {
	// Allows tells whether one more task of the job may be on the machine.
	Allows(snapshot *Snapshot, job *Job, machine *Machine) bool
}

// Rules is every hard rule that a placement must keep.
func Rules() []Rule {
	return []Rule{AvailableMachine{}, AvoidedMachines{}, Unreserved{}, AllowedType{}, AllowedZone{}, AllowedKind{}, ZoneCap{}, OneZone{}, TeamLimit{}}
}

// AvailableMachine bars tasks from machines that do not report, are quarantined or are cordoned.
type AvailableMachine struct{}

// Allows implements Rule.
func (AvailableMachine) Allows(_ *Snapshot, _ *Job, machine *Machine) bool {
	return machine.available()
}

// AvoidedMachines keeps a job's tasks off the machines on which one of them has failed, and
// jobs on trial off all on which any has.
type AvoidedMachines struct{}

// Allows implements Rule.
func (AvoidedMachines) Allows(snapshot *Snapshot, job *Job, machine *Machine) bool {
	return !job.Avoid[machine.Name] && !(job.OnTrial && machine.HasFailures && snapshot.AvoidFailures)
}

// Unreserved keeps the capacity of a machine for the job that it is reserved for. What
// is within its team's guarantee need not wait for that.
type Unreserved struct{}

// Allows implements Rule.
func (Unreserved) Allows(snapshot *Snapshot, job *Job, machine *Machine) bool {
	return machine.ReservedFor == "" || machine.ReservedFor == job.UID || snapshot.withinGuarantee
}

// AllowedType keeps a job to its machine types.
type AllowedType struct{}

// Allows implements Rule.
func (AllowedType) Allows(_ *Snapshot, job *Job, machine *Machine) bool {
	return job.MachineTypes == nil || slices.Contains(job.MachineTypes, machine.Type)
}

// AllowedZone keeps a job to its zone.
type AllowedZone struct{}

// Allows implements Rule.
func (AllowedZone) Allows(_ *Snapshot, job *Job, machine *Machine) bool {
	return job.Zone == "" || job.Zone == machine.Zone
}

// AllowedKind keeps jobs that are not preemptible off spot machines.
type AllowedKind struct{}

// Allows implements Rule.
func (AllowedKind) Allows(_ *Snapshot, job *Job, machine *Machine) bool {
	return job.Preemptible || !machine.Preemptible
}

// ZoneCap keeps at most half of a job that is spread, rounded up, in one zone. Tasks
// that may still exist count, wherever they may be.
type ZoneCap struct{}

// Allows implements Rule.
func (ZoneCap) Allows(_ *Snapshot, job *Job, machine *Machine) bool {
	return !job.Spread || job.Zones[machine.Zone]+job.InUnknownZone < (job.Tasks+1)/2
}

// OneZone keeps a job whose tasks are to be in one zone in the zone where any of them may be.
type OneZone struct{}

// Allows implements Rule.
func (OneZone) Allows(_ *Snapshot, job *Job, machine *Machine) bool {
	if !job.SameZone {
		return true
	}
	if job.InUnknownZone > 0 {
		return false
	}
	for zone, tasks := range job.Zones {
		if tasks > 0 && zone != machine.Zone {
			return false
		}
	}
	return true
}

// TeamLimit keeps a team's tasks, those that may still exist included, within its
// limit, by the leader's ledger.
type TeamLimit struct{}

// Allows implements Rule.
func (TeamLimit) Allows(snapshot *Snapshot, job *Job, _ *Machine) bool {
	return !snapshot.quotaBinding || snapshot.draft.Fits(job.Team, job.amount())
}
