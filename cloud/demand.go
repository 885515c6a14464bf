package cloud

import (
	"math"

	"cedardoor/clock"
	"cedardoor/wire"
)

// Load is an amount of resources in use at the same time.
type Load struct{ Cores, RAM, Accelerators float64 }

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{Cores: l.Cores + other.Cores, RAM: l.RAM + other.RAM, Accelerators: l.Accelerators + other.Accelerators}
}

// maxTaskCount is the upper bound of taskCount, and its result for a task that needs no resources.
const maxTaskCount = 1e6

// taskCount returns how many tasks of the given size fit into the load.
func (l Load) taskCount(task Load) int {
	const rounding = 1e-9
	count := math.Inf(1)
	for _, resource := range [...]struct{ free, needed float64 }{
		{l.Cores, task.Cores}, {l.RAM, task.RAM}, {l.Accelerators, task.Accelerators},
	} {
		if resource.needed > 0 {
			count = min(count, math.Floor(resource.free/resource.needed+rounding))
		}
	}
	return int(min(count, maxTaskCount))
}

// holds reports whether a task fits into the load.
func (l Load) holds(task Load) bool {
	return task.Cores <= l.Cores && task.RAM <= l.RAM && task.Accelerators <= l.Accelerators
}

// Demand is the work that the fleet must have capacity for, and the policy for its size.
type Demand struct {
	OnDemand    Load // work that needs on-demand machines
	Preemptible Load // work that may run on spot machines
	// Urgent is the part of Preemptible for which on-demand machines are rented
	// when no spot machines are available.
	Urgent Load
	// Cores below which the fleet is not scaled in: for preemptible work, and on on-demand machines.
	KeepPreemptible, KeepOnDemand float64
	KeepUrgent                    float64      // same for urgent work
	NoScaleIn                     bool         // scale-in is suspended because the demand is not known well enough
	ReserveShare                  float64      // share of OnDemand kept free
	ZoneReserveShare              float64      // limit, as a share of all demand, of the capacity kept free for the loss of the fullest zone
	MachineReserveShare           float64      // limit, as a share of OnDemand, of the capacity kept free for the loss of the fullest machine
	Growth                        float64      // cores by which OnDemand is expected to grow soon
	Spread                        bool         // some replicas must run in more than one zone
	MaxCores                      float64      // cores of the largest on-demand task
	Constrained                   []Constraint // work that only some machines may run, one entry per kind
	Stuck                         []Constraint // tasks that have waited long, longest first, one per job
	Waiting                       []Constraint // waiting tasks: a machine with capacity for one of them is not scaled in
	IdleTimeout                   clock.Micros
	MaxMachines                   int
}

// usableCores returns how many cores of a machine type a load can use: fewer than the type has if
// the load exhausts its memory first, and none if the load needs accelerators that the type lacks.
func usableCores(machineType wire.MachineType, load Load) float64 {
	cores := machineType.Cores
	if load.Cores > 0 && load.RAM > 0 {
		cores = min(cores, machineType.RAM/(load.RAM/load.Cores))
	}
	if load.Accelerators > 0 && machineType.Accelerators == 0 {
		return 0
	}
	return cores
}

// hourlyPrice returns the spot or on-demand price of a machine type.
func hourlyPrice(machineType wire.MachineType, preemptible bool) float64 {
	if preemptible {
		return machineType.SpotPrice
	}
	return machineType.HourlyPrice
}
