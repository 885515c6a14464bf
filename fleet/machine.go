package fleet

import (
	"cedardoor/clock"
	"cedardoor/wire"
)

// Machine is the leader's view of a worker's machine. Fields that change together
// are grouped in structs; each is embedded, so that callers select the fields
// directly.
type Machine struct {
	Name      string
	FirstSeen clock.Micros
	// Images holds the images of the allocations that the machine has reported; the
	// value is true once an image is fully fetched.
	Images map[string]bool

	Description
	Resources // capacity; zero until the catalog has the machine's type
	Usage
	CloudState
	Restrictions
	RunTimes

	ReportProgress
	Liveness
	Acknowledgement
	Lease

	allocationTable
	orphanTable
	taskListCache
}

// newMachine returns a machine of which only the name is known.
func newMachine(name string, now clock.Micros) *Machine {
	return &Machine{
		Name:            name,
		FirstSeen:       now,
		Images:          map[string]bool{},
		Usage:           Usage{IdleSince: now},
		RunTimes:        RunTimes{Slowness: 1},
		allocationTable: allocationTable{byKey: map[attemptKey]*Allocation{}},
		orphanTable:     orphanTable{orphans: map[attemptKey]orphan{}},
	}
}

// Description holds the properties of a machine that its worker reports.
type Description struct {
	Endpoint    string
	Type        string
	Zone        string
	Preemptible bool
}

// describe returns the machine description in a report.
func describe(report *wire.Heartbeat) Description {
	return Description{
		Endpoint:    report.Endpoint,
		Type:        report.MachineType,
		Zone:        report.Zone,
		Preemptible: report.Preemptible,
	}
}

// Resources is the capacity of a machine or the amount that an attempt requires.
type Resources struct {
	Cores        float64
	Accelerators float64
	RAM          float64
}

// Usage is the resources used by a machine's live allocations.
type Usage struct {
	UsedCores        float64
	UsedAccelerators float64
	UsedRAM          float64
	IdleSince        clock.Micros // zero while the machine has a live allocation
}

// add adds the resources of an attempt.
func (u *Usage) add(resources Resources) {
	u.UsedCores += resources.Cores
	u.UsedAccelerators += resources.Accelerators
	u.UsedRAM += resources.RAM
	u.IdleSince = 0
}

// subtract removes the resources of an attempt.
func (u *Usage) subtract(resources Resources) {
	u.UsedCores = max(0, u.UsedCores-resources.Cores)
	u.UsedAccelerators = max(0, u.UsedAccelerators-resources.Accelerators)
	u.UsedRAM = max(0, u.UsedRAM-resources.RAM)
}

// clear resets the usage to exactly zero, since floating-point sums drift.
func (u *Usage) clear() { u.UsedCores, u.UsedAccelerators, u.UsedRAM = 0, 0, 0 }

// markIdle sets IdleSince, unless the machine is idle already.
func (u *Usage) markIdle(now clock.Micros) {
	if u.IdleSince == 0 {
		u.IdleSince = now
	}
}

// Free returns the resources that no live allocation uses.
func (m *Machine) Free() (cores, accelerators, ram float64) {
	return m.Cores - m.UsedCores, m.Accelerators - m.UsedAccelerators, m.RAM - m.UsedRAM
}

// CloudState is a machine's state in the cloud, and whether its return was requested.
type CloudState struct {
	CloudStatus  string // from the cloud's machine list; empty when not listed
	ListedAt     clock.Micros
	Returning    bool         // being returned to the cloud
	PreemptionAt clock.Micros // when the cloud reclaims the machine, at the latest; zero without a notice
}

// Restrictions are the leader's reasons to place no tasks on a machine.
type Restrictions struct {
	QuarantineReason QuarantineReason // empty when not quarantined
	Cordoned         bool             // to be returned once empty
	// SuspendedUntil is set while it is unclear whether the machine or the jobs that
	// failed on it are at fault.
	SuspendedUntil clock.Micros
}

// RunTimes compares the run times of tasks on a machine with those on others.
type RunTimes struct {
	Slowness        float64 // ratio to other machines; 1 is normal
	SlownessSamples int
}
