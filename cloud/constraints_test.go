package cloud

import (
	"testing"

	"cedardoor/clock"

	"github.com/google/go-cmp/cmp"
)

// Constrained work gets machines even if there is enough capacity elsewhere: cordoned
// machines are uncordoned first, then spot machines are rented, and on-demand ones only
// if no spot machine is available. The last machine that it needs is not cordoned.
func TestConstrainedWorkGetsMachines(t *testing.T) {
	idle := func(name, zone string) Machine {
		return Machine{Name: name, Type: "s", Zone: zone, Preemptible: true, Up: true, Idle: 60 * clock.Second}
	}
	leaving := cordoned(idle("c", "y"))
	leaving.Tasks = 1
	inX := []Machine{idle("a", "x")}
	task := Load{Cores: 1, RAM: 1}
	rent := func(machineType, zone string, preemptible bool, count int) Decision {
		return Decision{Rent: []Rental{{machineType, zone, preemptible, count}}}
	}
	for _, tt := range []struct {
		name       string
		machines   []Machine
		constraint Constraint
		full       string // the zone without available spot machines
		want       Decision
	}{
		{"a small task and no machine", nil, Constraint{Preemptible: true, Task: task}, "", rent("s", "x", true, 1)},
		{"capacity in another zone only", inX, Constraint{Preemptible: true, Zone: "y", Task: task, Cores: 12}, "", rent("s", "y", true, 2)},
		{"no spot machine there", nil, Constraint{Preemptible: true, Zone: "y", Task: task}, "y", rent("s", "y", false, 1)},
		{"another type", inX, Constraint{Preemptible: true, MachineTypes: []string{"l"}, Task: task}, "", rent("l", "x", true, 1)},
		{"a task too large for the existing machines", inX, Constraint{Preemptible: true, Task: Load{Cores: 9, RAM: 9}}, "", rent("l", "x", true, 1)},
		{"spot machines not allowed", inX, Constraint{Zone: "x", Task: task}, "", rent("s", "x", false, 1)},
		{"a cordoned machine", []Machine{leaving}, Constraint{Preemptible: true, Zone: "y", Task: task}, "", Decision{Uncordon: []string{"c"}}},
		{"the last machine that it needs", []Machine{idle("a", "x"), idle("b", "y")}, Constraint{Preemptible: true, Zone: "y", Task: task}, "", Decision{Cordon: []string{"a"}}},
		{"fits nowhere", nil, Constraint{Preemptible: true, Task: Load{Cores: 64}}, "", Decision{}},
	} {
		refused := func(_, zone string, preemptible bool) bool { return preemptible && zone == tt.full }
		demand := Demand{Constrained: []Constraint{tt.constraint}, IdleTimeout: idleTimeout, MaxMachines: 10}
		if diff := cmp.Diff(tt.want, Resize(catalog, tt.machines, demand, refused)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
	decision := resize(nil, Demand{Constrained: []Constraint{{Preemptible: true, Task: task, Cores: 800}}, MaxMachines: 3})
	if len(decision.Rent) != 1 || decision.Rent[0].Count != 3 {
		t.Errorf("rents %v, want MaxMachines machines", decision.Rent)
	}
}

// A stuck task gets a machine if the fleet has enough capacity in total but no machine has
// enough for the task, or if the tasks of a gang do not all fit at the same time. It gets none if there
// is capacity, if something else is rented, or if only on-demand machines are available.
func TestStuckTaskGetsMachine(t *testing.T) {
	task := Constraint{Preemptible: true, Task: Load{Cores: 3, RAM: 1}}
	inY, avoidsA := task, task
	inY.Zone = "y"
	avoidsA.Avoid = map[string]bool{"a": true}
	three := Constraint{Preemptible: true, Task: Load{Cores: 2, RAM: 1}, Together: 3, SameZone: true}
	gang := three
	gang.SameZone = false
	leaving := cordoned(partlyUsed("g", "y", 4))
	rentIn := func(zone string) Decision { return Decision{Rent: []Rental{{"s", zone, true, 1}}} }
	for _, tt := range []struct {
		name     string
		machines []Machine
		stuck    Constraint
		cores    float64
		refused  Refused
		want     Decision
	}{
		{"fragmented capacity", []Machine{partlyUsed("a", "x", 2), partlyUsed("b", "x", 2)}, task, 12, nothingRefused, rentIn("x")},
		{"capacity on one machine", []Machine{partlyUsed("a", "x", 2), partlyUsed("b", "x", 3)}, task, 12, nothingRefused, Decision{}},
		{"capacity on an avoided machine only", []Machine{partlyUsed("a", "x", 4)}, avoidsA, 6, nothingRefused, rentIn("x")},
		{"capacity in another zone", []Machine{partlyUsed("a", "x", 4)}, inY, 6, nothingRefused, rentIn("y")},
		{"capacity on a cordoned machine", []Machine{partlyUsed("a", "x", 4), leaving}, inY, 6, nothingRefused, Decision{Uncordon: []string{"g"}}},
		{"something else is rented", []Machine{partlyUsed("a", "x", 2)}, inY, 12, nothingRefused, rentIn("x")},
		{"capacity for all of them only across two zones", []Machine{partlyUsed("a", "x", 2), partlyUsed("b", "y", 5)}, three, 9, nothingRefused, rentIn("y")},
		{"capacity for all of them in one zone", []Machine{partlyUsed("a", "y", 2), partlyUsed("b", "y", 5)}, three, 9, nothingRefused, Decision{}},
		{"capacity for all with a cordoned machine", []Machine{partlyUsed("a", "y", 2), leaving}, three, 6, nothingRefused, Decision{Uncordon: []string{"g"}}},
		{"capacity for a gang across two zones", []Machine{partlyUsed("a", "x", 2), partlyUsed("b", "y", 5)}, gang, 9, nothingRefused, Decision{}},
		{"capacity for a part of a gang", []Machine{partlyUsed("a", "x", 2), partlyUsed("b", "y", 3)}, gang, 11, nothingRefused, rentIn("x")},
		{"capacity for a gang with a cordoned machine", []Machine{partlyUsed("a", "x", 2), leaving}, gang, 6, nothingRefused, Decision{Uncordon: []string{"g"}}},
		{"no spot machine available", []Machine{partlyUsed("a", "x", 2)}, task, 6, spotRefused, Decision{}},
	} {
		demand := Demand{Preemptible: Load{Cores: tt.cores, RAM: 1}, KeepPreemptible: tt.cores, Stuck: []Constraint{tt.stuck, tt.stuck},
			IdleTimeout: idleTimeout, MaxMachines: 10}
		if diff := cmp.Diff(tt.want, Resize(catalog, tt.machines, demand, tt.refused)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}

// Every rented machine can run some of the work: the cheapest machine is not rented if none of
// the work may use it.
func TestRentsOnlyMachinesThatWorkMayUse(t *testing.T) {
	demand := Demand{Preemptible: Load{Cores: 100, RAM: 100}, Urgent: Load{Cores: 100, RAM: 100}, OnDemand: Load{Cores: 20, RAM: 20}, MaxMachines: 20}
	demand.Constrained = []Constraint{
		{MachineTypes: []string{"l"}, Zone: "y", Preemptible: true, Task: Load{Cores: 2}, Cores: 100},
		{MachineTypes: []string{"l"}, Zone: "x", Task: Load{Cores: 2}, Cores: 20},
	}
	for name, refused := range map[string]Refused{"spot available": nothingRefused, "no spot available": spotRefused} {
		cores := 0
		for _, rental := range Resize(catalog, nil, demand, refused).Rent {
			if rental.MachineType != "l" {
				t.Errorf("%s: rents %+v, which no work may use", name, rental)
			}
			if rental.Zone == "y" {
				cores += 32 * rental.Count
			}
		}
		if cores < 100 {
			t.Errorf("%s: rents %d cores in the zone of the work, want at least 100", name, cores)
		}
	}
	// With unconstrained work added, the cheapest type is of use.
	demand.Constrained = append(demand.Constrained, Constraint{Preemptible: true, Task: Load{Cores: 2}})
	cheap := 0
	for _, rental := range resize(nil, demand).Rent {
		if rental.MachineType == "s" {
			cheap++
		}
	}
	if cheap == 0 {
		t.Error("rents none of the cheapest type for unconstrained work")
	}
}
