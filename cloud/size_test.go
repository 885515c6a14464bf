package cloud

import (
	"testing"

	"cedardoor/clock"
	"cedardoor/wire"

	"github.com/google/go-cmp/cmp"
)

var builds = []wire.MachineType{
	{SKU: "s", Cores: 8, RAM: 32, HourlyPrice: 0.48, SpotPrice: 0.2, Zones: []string{"x", "y"}},
	{SKU: "l", Cores: 32, RAM: 128, HourlyPrice: 2.4, SpotPrice: 0.96, Zones: []string{"x", "y"}},
}

func none(string, string, bool) bool { return false }

func TestRentsCheapestPerCore(t *testing.T) {
	v := Resize(builds, nil, Demand{Preemptible: Load{Cores: 16, RAM: 32}, MaxMachines: 10}, none)
	n := 0
	for _, w := range v.Rent {
		if w.MachineType != "s" || !w.Preemptible {
			t.Errorf("rents %+v", w)
		}
		n += w.Count
	}
	if n != 2 {
		t.Errorf("rents %d machines, want 2", n)
	}
}

func TestOrdinaryForLoanedOnlyWhenPressing(t *testing.T) {
	noSpot := func(_, _ string, loaned bool) bool { return loaned }
	need := Demand{Preemptible: Load{Cores: 32, RAM: 64}, MaxMachines: 10}
	if v := Resize(builds, nil, need, noSpot); len(v.Rent) != 0 {
		t.Errorf("rents %v though nothing presses", v.Rent)
	}
	need.Urgent = Load{Cores: 8, RAM: 16}
	v := Resize(builds, nil, need, noSpot)
	if len(v.Rent) != 1 || v.Rent[0].Preemptible || v.Rent[0].Count != 1 {
		t.Errorf("rents %v, want one ordinary machine", v.Rent)
	}
}

func TestMemoryBinds(t *testing.T) {
	// 16 GB a core: a machine of 8 cores and 32 GB holds two cores' worth.
	v := Resize(builds[:1], nil, Demand{OnDemand: Load{Cores: 4, RAM: 64}, MaxMachines: 10}, none)
	n := 0
	for _, w := range v.Rent {
		n += w.Count
	}
	if n != 2 {
		t.Errorf("rents %d machines, want 2", n)
	}
}

func TestSurplusIsCordonedThenReturned(t *testing.T) {
	idle := Machine{Name: "a", Type: "s", Zone: "x", Preemptible: true, Up: true, Idle: 60 * clock.Second}
	v := Resize(builds, []Machine{idle}, Demand{MaxMachines: 10, IdleTimeout: 25 * clock.Second}, none)
	if diff := cmp.Diff([]string{"a"}, v.Cordon); diff != "" {
		t.Error(diff)
	}
	idle.Cordoned = true
	v = Resize(builds, []Machine{idle}, Demand{MaxMachines: 10}, none)
	if diff := cmp.Diff([]string{"a"}, v.Return); diff != "" {
		t.Error(diff)
	}
	// Needed again: taken back before anything is rented.
	v = Resize(builds, []Machine{idle}, Demand{MaxMachines: 10, Preemptible: Load{Cores: 8, RAM: 8}}, none)
	if len(v.Rent) != 0 || len(v.Uncordon) != 1 || len(v.Return) != 0 {
		t.Errorf("%+v", v)
	}
	// What was needed a moment ago is held.
	idle.Cordoned = false
	v = Resize(builds, []Machine{idle}, Demand{MaxMachines: 10, KeepPreemptible: 8}, none)
	if len(v.Cordon) != 0 {
		t.Errorf("gives up %v", v.Cordon)
	}
}

// A machine with tasks that cannot be counted on is replaced.
func TestLostMachinesCountForNothing(t *testing.T) {
	held := []Machine{{Name: "a", Type: "s", Zone: "x", Up: true, Lost: true, Tasks: 2, Replicas: 2, OnDemandCores: 8}}
	v := Resize(builds, held, Demand{OnDemand: Load{Cores: 8, RAM: 8}, MaxMachines: 10}, none)
	if len(v.Rent) != 1 {
		t.Errorf("rents %v", v.Rent)
	}
}

// Losing any one machine must leave room for its replicas on the others.
func TestRoomForTheFullestMachine(t *testing.T) {
	held := []Machine{
		{Name: "a", Type: "s", Zone: "x", Up: true, Tasks: 3, Replicas: 3, OnDemandCores: 6},
		{Name: "b", Type: "s", Zone: "y", Up: true, Tasks: 2, Replicas: 2, OnDemandCores: 4},
	}
	need := Demand{OnDemand: Load{Cores: 10, RAM: 10}, MachineReserveShare: 1, MaxMachines: 10}
	if v := Resize(builds, held, need, none); len(v.Rent) != 0 {
		t.Errorf("rents %v though 6 cores are free", v.Rent)
	}
	held[0].OnDemandCores, need.OnDemand.Cores = 8, 12
	if v := Resize(builds, held, need, none); len(v.Rent) != 1 {
		t.Errorf("rents %v with 4 cores free for 8", v.Rent)
	}
	need.MachineReserveShare = 0.2
	if v := Resize(builds, held, need, none); len(v.Rent) != 0 {
		t.Errorf("rents %v though the share kept is 2.4 cores", v.Rent)
	}
}

func TestApartNeedsRoomInTwoZones(t *testing.T) {
	held := []Machine{{Name: "a", Type: "l", Zone: "x", Up: true, Replicas: 2, OnDemandCores: 4}}
	need := Demand{OnDemand: Load{Cores: 4, RAM: 8}, MaxCores: 2, MaxMachines: 10}
	if v := Resize(builds, held, need, none); len(v.Rent) != 0 {
		t.Errorf("rents %v", v.Rent)
	}
	need.Spread = true
	v := Resize(builds, held, need, none)
	want := []Rental{{MachineType: "s", Zone: "y", Count: 1}}
	if diff := cmp.Diff(want, v.Rent); diff != "" {
		t.Error(diff)
	}
}

func TestMachineLimit(t *testing.T) {
	held := []Machine{{Name: "a", Type: "s", Zone: "x"}, {Name: "b", Type: "s", Zone: "x"}}
	if v := Resize(builds, held, Demand{Preemptible: Load{Cores: 100, RAM: 8}, MaxMachines: 2}, none); len(v.Rent) != 0 || !v.LimitReached {
		t.Errorf("rents %v beyond the limit, tells of it: %t", v.Rent, v.LimitReached)
	}
	if v := Resize(builds, held, Demand{Preemptible: Load{Cores: 1, RAM: 1}, MaxMachines: 9}, none); v.LimitReached {
		t.Error("tells of a limit that is not reached")
	}
}

// Room for the fullest zone's replicas is kept where it is little beside the
// whole fleet, and no more than that share where it is not.
func TestRoomForAZone(t *testing.T) {
	big := wire.MachineType{SKU: "g", Cores: 32, RAM: 128, HourlyPrice: 2, SpotPrice: 0.7, BootS: 30, Zones: []string{"x", "y", "z"}}
	var held []Machine
	for i := range 9 {
		held = append(held, Machine{Name: string(rune('a' + i)), Type: "g", Zone: []string{"x", "y", "z"}[i%3], Up: true, Tasks: 20, Replicas: 20, OnDemandCores: 30})
	}
	rented := func(loaned float64) (n int) {
		need := Demand{OnDemand: Load{Cores: 270, RAM: 500}, Preemptible: Load{Cores: loaned, RAM: loaned}, ZoneReserveShare: 0.05, Spread: true, MaxMachines: 1000}
		for _, w := range Resize([]wire.MachineType{big}, held, need, func(string, string, bool) bool { return false }).Rent {
			if !w.Preemptible {
				n += w.Count
			}
		}
		return n
	}
	// 288 cores are held, 270 needed; a zone's replicas take 90.
	if n := rented(10000); n != 3 {
		t.Errorf("%d machines rented, want the 3 that a zone's 90 cores take", n)
	}
	if n := rented(0); n != 0 {
		t.Errorf("%d machines rented where the room is a large share of the fleet", n)
	}
}

// Loaned work counts on the room that is kept for replicas.
func TestLoanedWorkFillsTheReserve(t *testing.T) {
	b := wire.MachineType{SKU: "g", Cores: 32, RAM: 128, HourlyPrice: 2, SpotPrice: 0.7, BootS: 30, Zones: []string{"x"}}
	held := []Machine{{Name: "a", Type: "g", Zone: "x", Up: true}, {Name: "b", Type: "g", Zone: "x", Up: true}}
	need := Demand{OnDemand: Load{Cores: 30, RAM: 60}, Preemptible: Load{Cores: 30, RAM: 60}, ReserveShare: 1, MaxMachines: 10}
	if v := Resize([]wire.MachineType{b}, held, need, func(string, string, bool) bool { return false }); len(v.Rent) != 0 {
		t.Errorf("rented %v though the reserve has room", v.Rent)
	}
}

// While replicas wait for room, a sooner boot is worth a higher price.
func TestSoonestBootWhileReplicasWait(t *testing.T) {
	slow := wire.MachineType{SKU: "s", Cores: 16, RAM: 64, HourlyPrice: 0.92, BootS: 50, Zones: []string{"x"}}
	fast := wire.MachineType{SKU: "f", Cores: 16, RAM: 64, HourlyPrice: 1.1, BootS: 15, Zones: []string{"x"}}
	rent := func(have float64) string {
		held := []Machine{}
		for have > 0 {
			held = append(held, Machine{Name: string(rune('a' + len(held))), Type: "s", Zone: "x", Up: true})
			have -= 16
		}
		v := Resize([]wire.MachineType{slow, fast}, held, Demand{OnDemand: Load{Cores: 64, RAM: 200}, ReserveShare: 0.5, MaxMachines: 50}, func(string, string, bool) bool { return false })
		if len(v.Rent) == 0 {
			return ""
		}
		return v.Rent[0].MachineType
	}
	if got := rent(32); got != "f" {
		t.Errorf("rented %q while replicas wait", got)
	}
	if got := rent(64); got != "s" {
		t.Errorf("rented %q for the reserve", got)
	}
}

// Work that only some machines may hold gets machines even where there is room
// enough elsewhere: those that were to go come back first, then spot ones are
// rented, ordinary ones only where no spot one is to be had; and the last that it
// needs is not given up.
func TestBoundWorkGetsItsMachines(t *testing.T) {
	up := func(name, build, zone string, loaned bool) Machine {
		return Machine{Name: name, Type: build, Zone: zone, Preemptible: loaned, Up: true, Idle: 60 * clock.Second}
	}
	cordoned := up("c", "s", "y", true)
	cordoned.Cordoned, cordoned.Tasks = true, 1
	one := Load{Cores: 1, RAM: 1}
	tests := []struct {
		name  string
		held  []Machine
		bound Constraint
		full  string // the zone in which no spot machine is to be had
		want  Decision
	}{
		{"a small task and no machine", nil, Constraint{Preemptible: true, Task: one}, "", Decision{Rent: []Rental{{"s", "x", true, 1}}}},
		{"room in another zone only", []Machine{up("a", "s", "x", true)}, Constraint{Preemptible: true, Zone: "y", Task: one, Cores: 12}, "", Decision{Rent: []Rental{{"s", "y", true, 2}}}},
		{"no spot machine there", nil, Constraint{Preemptible: true, Zone: "y", Task: one}, "y", Decision{Rent: []Rental{{"s", "y", false, 1}}}},
		{"another type", []Machine{up("a", "s", "x", true)}, Constraint{Preemptible: true, MachineTypes: []string{"l"}, Task: one}, "", Decision{Rent: []Rental{{"l", "x", true, 1}}}},
		{"a task too large for what is held", []Machine{up("a", "s", "x", true)}, Constraint{Preemptible: true, Task: Load{Cores: 9, RAM: 9}}, "", Decision{Rent: []Rental{{"l", "x", true, 1}}}},
		{"spot machines will not do", []Machine{up("a", "s", "x", true)}, Constraint{Zone: "x", Task: one}, "", Decision{Rent: []Rental{{"s", "x", false, 1}}}},
		{"one that was to go", []Machine{cordoned}, Constraint{Preemptible: true, Zone: "y", Task: one}, "", Decision{Uncordon: []string{"c"}}},
		{"the last one", []Machine{up("a", "s", "x", true), up("b", "s", "y", true)}, Constraint{Preemptible: true, Zone: "y", Task: one}, "", Decision{Cordon: []string{"a"}}},
		{"fits nowhere", nil, Constraint{Preemptible: true, Task: Load{Cores: 64}}, "", Decision{}},
	}
	for _, tt := range tests {
		refused := func(_, zone string, loaned bool) bool { return loaned && zone == tt.full }
		v := Resize(builds, tt.held, Demand{Constrained: []Constraint{tt.bound}, IdleTimeout: 25 * clock.Second, MaxMachines: 10}, refused)
		if diff := cmp.Diff(tt.want, v); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
	v := Resize(builds, nil, Demand{Constrained: []Constraint{{Preemptible: true, Task: one, Cores: 800}}, MaxMachines: 3}, none)
	if len(v.Rent) != 1 || v.Rent[0].Count != 3 {
		t.Errorf("rents %v, want as many machines as there may be", v.Rent)
	}
}

// A task that has waited long gets a machine where all that is held has room
// enough in sum and none of it has room for the task; and no machine where one
// has, where something is rented anyway, or at an ordinary machine's price.
func TestStuckTaskGetsRoom(t *testing.T) {
	half := func(name, zone string, free float64) Machine {
		return Machine{Name: name, Type: "s", Zone: zone, Preemptible: true, Up: true, Tasks: 1, UsedCores: 8 - free, Free: Load{Cores: free, RAM: 16}}
	}
	task := Constraint{Preemptible: true, Task: Load{Cores: 3, RAM: 1}}
	there := task
	there.Zone = "y"
	three := Constraint{Preemptible: true, Task: Load{Cores: 2, RAM: 1}, TogetherInZone: 3}
	going := half("g", "y", 4)
	going.Cordoned = true
	tests := []struct {
		name  string
		held  []Machine
		stuck Constraint
		load  float64
		spot  bool // spot machines are to be had
		want  Decision
	}{
		{"a little room on each", []Machine{half("a", "x", 2), half("b", "x", 2)}, task, 12, true, Decision{Rent: []Rental{{"s", "x", true, 1}}}},
		{"room for it", []Machine{half("a", "x", 2), half("b", "x", 3)}, task, 12, true, Decision{}},
		{"room where it has failed", []Machine{half("a", "x", 4)}, Constraint{Preemptible: true, Task: task.Task, Avoid: map[string]bool{"a": true}}, 6, true, Decision{Rent: []Rental{{"s", "x", true, 1}}}},
		{"room in another zone", []Machine{half("a", "x", 4)}, there, 6, true, Decision{Rent: []Rental{{"s", "y", true, 1}}}},
		{"room on one that was to go", []Machine{half("a", "x", 4), going}, there, 6, true, Decision{Uncordon: []string{"g"}}},
		{"something is rented anyway", []Machine{half("a", "x", 2)}, there, 12, true, Decision{Rent: []Rental{{"s", "x", true, 1}}}},
		{"room for all of them in two zones only", []Machine{half("a", "x", 2), half("b", "y", 5)}, three, 9, true, Decision{Rent: []Rental{{"s", "y", true, 1}}}},
		{"room for all of them in one", []Machine{half("a", "y", 2), half("b", "y", 5)}, three, 9, true, Decision{}},
		{"room for all with one that was to go", []Machine{half("a", "y", 2), going}, three, 6, true, Decision{Uncordon: []string{"g"}}},
		{"no spot machine is to be had", []Machine{half("a", "x", 2)}, task, 6, false, Decision{}},
	}
	for _, tt := range tests {
		refused := func(_, _ string, loaned bool) bool { return loaned && !tt.spot }
		need := Demand{Preemptible: Load{Cores: tt.load, RAM: 1}, KeepPreemptible: tt.load, Stuck: []Constraint{tt.stuck, tt.stuck}, IdleTimeout: 25 * clock.Second, MaxMachines: 10}
		if diff := cmp.Diff(tt.want, Resize(builds, tt.held, need, refused)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}

// What is rented for the sum of the work is of use to some of it: the cheapest
// machine is not, where none of the work may go there.
func TestRentsNothingThatNoWorkMayUse(t *testing.T) {
	need := Demand{Preemptible: Load{Cores: 100, RAM: 100}, Urgent: Load{Cores: 100, RAM: 100}, OnDemand: Load{Cores: 20, RAM: 20}, MaxMachines: 20}
	need.Constrained = []Constraint{
		{MachineTypes: []string{"l"}, Zone: "y", Preemptible: true, Task: Load{Cores: 2}, Cores: 100},
		{MachineTypes: []string{"l"}, Zone: "x", Task: Load{Cores: 2}, Cores: 20},
	}
	noSpot := func(_, _ string, loaned bool) bool { return loaned }
	for name, refused := range map[string]Refused{"spot to be had": none, "none to be had": noSpot} {
		cores := 0
		for _, w := range Resize(builds, nil, need, refused).Rent {
			if w.MachineType != "l" {
				t.Errorf("%s: rents %+v, where no work may go", name, w)
			}
			if w.Zone == "y" {
				cores += 32 * w.Count
			}
		}
		if cores < 100 {
			t.Errorf("%s: rents %d cores in the zone of the work, want 100", name, cores)
		}
	}
	// With other work beside it, the cheapest will do.
	need.Constrained = append(need.Constrained, Constraint{Preemptible: true, Task: Load{Cores: 2}})
	cheap := 0
	for _, w := range Resize(builds, nil, need, none).Rent {
		if w.MachineType == "s" {
			cheap++
		}
	}
	if cheap == 0 {
		t.Error("rents none of the cheapest for work that may go anywhere")
	}
}

// A machine with room for a task that waits is not given up, however much is held
// in sum, and one that was to go comes back; nothing is rented for it yet.
func TestRoomForWaitingTasksIsKept(t *testing.T) {
	machine := func(name string, used, ram float64, cordoned bool) Machine {
		return Machine{Name: name, Type: "s", Zone: "y", Preemptible: true, Up: true, Tasks: 1, UsedCores: used, Free: Load{Cores: 8 - used, RAM: ram}, Cordoned: cordoned}
	}
	task := Constraint{Zone: "y", Preemptible: true, Task: Load{Cores: 1, RAM: 6}}
	need := Demand{Preemptible: Load{Cores: 2, RAM: 1}, IdleTimeout: 25 * clock.Second, MaxMachines: 10}
	full := machine("full", 2, 1, false) // its memory is taken
	for _, tt := range []struct {
		name    string
		held    []Machine
		waiting []Constraint
		want    Decision
	}{
		{"nothing waits", []Machine{full, machine("room", 1, 25, false)}, nil, Decision{Cordon: []string{"room"}}},
		{"a task waits", []Machine{full, machine("room", 1, 25, false)}, []Constraint{task}, Decision{Cordon: []string{"full"}}},
		{"a task waits that may not go there", []Machine{full, machine("room", 1, 25, false)},
			[]Constraint{{Zone: "x", Preemptible: true, Task: task.Task}}, Decision{Cordon: []string{"room"}}},
		{"it was to go", []Machine{full, machine("room", 1, 25, true)}, []Constraint{task, task}, Decision{Uncordon: []string{"room"}}},
		{"none has room", []Machine{full}, []Constraint{task}, Decision{}},
	} {
		need.Waiting = tt.waiting
		if diff := cmp.Diff(tt.want, Resize(builds, tt.held, need, none)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}
