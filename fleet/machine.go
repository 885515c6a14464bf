package fleet

import (
	"cedardoor/clock"
	"cedardoor/wire"
)

// Machine is what the leader knows of a worker's machine. Its state is divided
// into groups of fields that change together; each is embedded, so that
// callers select the fields directly.
type Machine struct {
	Name      string
	FirstSeen clock.Micros
	// Images are the images that allocations on the machine were shown with; true
	// once one was fetched whole.
	Images map[string]bool

	Description
	Resources // its size; zero until the catalog tells
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

// newMachine makes a machine of which only the name is known.
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

// Description is what a machine is and where.
type Description struct {
	Endpoint    string
	Type        string
	Zone        string
	Preemptible bool
}

// describe takes a machine's description from its report.
func describe(report *wire.Heartbeat) Description {
	return Description{
		Endpoint:    report.Endpoint,
		Type:        report.MachineType,
		Zone:        report.Zone,
		Preemptible: report.Preemptible,
	}
}

// Resources is the size of a machine or what an attempt takes of it.
type Resources struct {
	Cores        float64
	Accelerators float64
	RAM          float64
}

// Usage is what live allocations take of a machine.
type Usage struct {
	UsedCores        float64
	UsedAccelerators float64
	UsedRAM          float64
	IdleSince        clock.Micros // zero while the machine has an allocation
}

// add takes room for an attempt.
func (u *Usage) add(resources Resources) {
	u.UsedCores += resources.Cores
	u.UsedAccelerators += resources.Accelerators
	u.UsedRAM += resources.RAM
	u.IdleSince = 0
}

// subtract gives the room of an attempt back.
func (u *Usage) subtract(resources Resources) {
	u.UsedCores = max(0, u.UsedCores-resources.Cores)
	u.UsedAccelerators = max(0, u.UsedAccelerators-resources.Accelerators)
	u.UsedRAM = max(0, u.UsedRAM-resources.RAM)
}

// clear makes the use exactly zero, since sums of decimals drift.
func (u *Usage) clear() { u.UsedCores, u.UsedAccelerators, u.UsedRAM = 0, 0, 0 }

// markIdle notes that nothing takes room any more.
func (u *Usage) markIdle(now clock.Micros) {
	if u.IdleSince == 0 {
		u.IdleSince = now
	}
}

// Free is the room that no live allocation takes.
func (m *Machine) Free() (cores, accelerators, ram float64) {
	return m.Cores - m.UsedCores, m.Accelerators - m.UsedAccelerators, m.RAM - m.UsedRAM
}

// CloudState is a machine's state in the cloud, and what the cloud was asked for.
type CloudState struct {
	CloudStatus  string // in the cloud's list; empty when not listed
	ListedAt     clock.Micros
	Returning    bool         // the cloud was asked to take the machine back
	PreemptionAt clock.Micros // the cloud takes the machine back by then; zero without a notice
}

// Restrictions are the leader's own reasons to place nothing on a machine.
type Restrictions struct {
	QuarantineReason QuarantineReason // empty when not quarantined
	Cordoned         bool             // is to be returned once empty
	// SuspendedUntil is set while it is not clear whether the machine or the jobs
	// that failed on it are at fault.
	SuspendedUntil clock.Micros
}

// RunTimes compares the run times of tasks on a machine with those elsewhere.
type RunTimes struct {
	Slowness        float64 // against other machines; 1 is usual
	SlownessSamples int
}
