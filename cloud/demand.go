package cloud

import (
	"math"

	"cedardoor/clock"
	"cedardoor/wire"
)

// Load is an amount of work to hold at once.
type Load struct{ Cores, RAM, Accelerators float64 }

// Plus is the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{Cores: l.Cores + other.Cores, RAM: l.RAM + other.RAM, Accelerators: l.Accelerators + other.Accelerators}
}

// maxTaskCount is what taskCount gives at most, and for a task that needs nothing.
const maxTaskCount = 1e6

// taskCount is how many tasks of a size the load holds.
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

// holds tells whether a task fits into the load.
func (l Load) holds(task Load) bool {
	return task.Cores <= l.Cores && task.RAM <= l.RAM && task.Accelerators <= l.Accelerators
}

// Demand is what the fleet has to hold.
type Demand struct {
	OnDemand    Load // only on-demand machines will do
	Preemptible Load // spot machines will do
	// Urgent is the part of Preemptible that is worth an on-demand machine's price
	// when spot machines are not to be had.
	Urgent Load
	// Cores below which nothing is scaled in: for preemptible work, and on on-demand machines.
	KeepPreemptible, KeepOnDemand float64
	KeepUrgent                    float64      // the same for urgent work
	NoScaleIn                     bool         // nothing is scaled in: too little is known of the demand
	ReserveShare                  float64      // share of OnDemand kept free
	ZoneReserveShare              float64      // share of all demand up to which capacity for the fullest zone's tasks is kept free
	MachineReserveShare           float64      // share of OnDemand up to which capacity for the fullest machine's tasks is kept free
	Growth                        float64      // cores that OnDemand is about to grow by
	Spread                        bool         // there are replicas to keep in more than one zone
	MaxCores                      float64      // cores of the largest on-demand task
	Constrained                   []Constraint // work that not every machine may hold, each kind once
	Stuck                         []Constraint // tasks that have waited long, longest first, of different jobs
	Waiting                       []Constraint // tasks that wait at all: a machine with capacity for one is not scaled in
	IdleTimeout                   clock.Micros
	MaxMachines                   int
}

// usableCores is how many cores of a machine type a load can use: fewer than it has where the load
// runs out of memory first, none where the load needs accelerators that the type lacks.
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

// hourlyPrice is what a machine of the type costs an hour, as a spot machine or on demand.
func hourlyPrice(machineType wire.MachineType, preemptible bool) float64 {
	if preemptible {
		return machineType.SpotPrice
	}
	return machineType.HourlyPrice
}
