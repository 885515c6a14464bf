package plan

import "slices"

// The reasons why a task is a candidate for repair.
const (
	ReasonQuarantine = "ban"
	ReasonSpread     = "spread"
	// ReasonDrain means that the machine is cordoned because it is surplus and to be returned. It
	// is healthy, so a task moves only to a machine that has its image.
	ReasonDrain = "drain"
)

// Rule is a hard constraint on placements.
type Rule interface {
	// Allows reports whether one more task of the job may run on the machine.
	Allows(snapshot *Snapshot, job *Job, machine *Machine) bool
}

// Rules returns all rules that every placement must satisfy.
func Rules() []Rule {
	return []Rule{AvailableMachine{}, AvoidedMachines{}, Unreserved{}, AllowedType{}, AllowedZone{}, AllowedKind{}, ZoneCap{}, OneZone{}, TeamLimit{}}
}

// AvailableMachine keeps tasks off machines that are unusable, quarantined or cordoned.
type AvailableMachine struct{}

// Allows implements Rule.
func (AvailableMachine) Allows(_ *Snapshot, _ *Job, machine *Machine) bool {
	return machine.available()
}

// AvoidedMachines keeps a job's tasks off machines on which its own tasks have failed. If
// AvoidFailures is set, it keeps jobs on trial off machines on which any task has failed.
type AvoidedMachines struct{}

// Allows implements Rule.
func (AvoidedMachines) Allows(snapshot *Snapshot, job *Job, machine *Machine) bool {
	return !job.Avoid[machine.Name] && !(job.OnTrial && machine.HasFailures && snapshot.AvoidFailures)
}

// Unreserved keeps other jobs off a machine that is reserved for a job. Tasks within their
// team's guarantee ignore reservations.
type Unreserved struct{}

// Allows implements Rule.
func (Unreserved) Allows(snapshot *Snapshot, job *Job, machine *Machine) bool {
	return machine.ReservedFor == "" || machine.ReservedFor == job.UID || snapshot.withinGuarantee
}

// AllowedType restricts a job to its allowed machine types.
type AllowedType struct{}

// Allows implements Rule.
func (AllowedType) Allows(_ *Snapshot, job *Job, machine *Machine) bool {
	return job.MachineTypes == nil || slices.Contains(job.MachineTypes, machine.Type)
}

// AllowedZone restricts a job to its allowed zone.
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

// ZoneCap allows at most half of the tasks of a spread job, rounded up, in any one zone.
// Every task that may still exist counts; one in an unknown zone counts in all zones.
type ZoneCap struct{}

// Allows implements Rule.
func (ZoneCap) Allows(_ *Snapshot, job *Job, machine *Machine) bool {
	return !job.Spread || job.Zones[machine.Zone]+job.InUnknownZone < (job.Tasks+1)/2
}

// OneZone keeps the tasks of a SameZone job in the zone where some of them may already exist.
// While one may exist in an unknown zone, it allows no further task.
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

// TeamLimit keeps a team's tasks, including those that may still exist, within the team's
// limit according to the leader's ledger.
type TeamLimit struct{}

// Allows implements Rule.
func (TeamLimit) Allows(snapshot *Snapshot, job *Job, _ *Machine) bool {
	return !snapshot.quotaBinding || snapshot.draft.Fits(job.Team, job.amount())
}
