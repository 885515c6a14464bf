package cloud

import (
	"cedardoor/clock"
	"cedardoor/wire"
)

// The machine types of the tests: the small one costs less per core.
var (
	small   = wire.MachineType{SKU: "s", Cores: 8, RAM: 32, HourlyPrice: 0.48, SpotPrice: 0.2, Zones: []string{"x", "y"}}
	large   = wire.MachineType{SKU: "l", Cores: 32, RAM: 128, HourlyPrice: 2.4, SpotPrice: 0.96, Zones: []string{"x", "y"}}
	catalog = []wire.MachineType{small, large}
)

const idleTimeout = 25 * clock.Second

// nothingRefused is a cloud that has every machine; spotRefused has no spot machines.
func nothingRefused(string, string, bool) bool       { return false }
func spotRefused(_, _ string, preemptible bool) bool { return preemptible }

// resize is Resize for the types of the tests, all of which are to be had.
func resize(machines []Machine, demand Demand) Decision {
	return Resize(catalog, machines, demand, nothingRefused)
}

// countRented is how many machines are to be rented.
func countRented(rentals []Rental) (count int) {
	for _, rental := range rentals {
		count += rental.Count
	}
	return count
}

// partlyUsed is a small spot machine with one task and so many free cores.
func partlyUsed(name, zone string, freeCores float64) Machine {
	return Machine{Name: name, Type: "s", Zone: zone, Preemptible: true, Up: true, Tasks: 1, UsedCores: small.Cores - freeCores,
		Free: Load{Cores: freeCores, RAM: 16}}
}

// cordoned is a machine that takes no new tasks.
func cordoned(machine Machine) Machine {
	machine.Cordoned = true
	return machine
}
