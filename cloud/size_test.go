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
	v := Size(builds, nil, Need{Loaned: Load{Cores: 16, RAM: 32}, Machines: 10}, none)
	n := 0
	for _, w := range v.Rent {
		if w.Build != "s" || !w.Loaned {
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
	need := Need{Loaned: Load{Cores: 32, RAM: 64}, Machines: 10}
	if v := Size(builds, nil, need, noSpot); len(v.Rent) != 0 {
		t.Errorf("rents %v though nothing presses", v.Rent)
	}
	need.Pressing = Load{Cores: 8, RAM: 16}
	v := Size(builds, nil, need, noSpot)
	if len(v.Rent) != 1 || v.Rent[0].Loaned || v.Rent[0].Count != 1 {
		t.Errorf("rents %v, want one ordinary machine", v.Rent)
	}
}

func TestMemoryBinds(t *testing.T) {
	// 16 GB a core: a machine of 8 cores and 32 GB holds two cores' worth.
	v := Size(builds[:1], nil, Need{Ordinary: Load{Cores: 4, RAM: 64}, Machines: 10}, none)
	n := 0
	for _, w := range v.Rent {
		n += w.Count
	}
	if n != 2 {
		t.Errorf("rents %d machines, want 2", n)
	}
}

func TestSurplusIsCordonedThenReturned(t *testing.T) {
	idle := Held{Name: "a", Build: "s", Zone: "x", Loaned: true, Up: true, Idle: 60 * clock.Second}
	v := Size(builds, []Held{idle}, Need{Machines: 10, Idle: 25 * clock.Second}, none)
	if diff := cmp.Diff([]string{"a"}, v.Cordon); diff != "" {
		t.Error(diff)
	}
	idle.Cordoned = true
	v = Size(builds, []Held{idle}, Need{Machines: 10}, none)
	if diff := cmp.Diff([]string{"a"}, v.Return); diff != "" {
		t.Error(diff)
	}
	// Needed again: taken back before anything is rented.
	v = Size(builds, []Held{idle}, Need{Machines: 10, Loaned: Load{Cores: 8, RAM: 8}}, none)
	if len(v.Rent) != 0 || len(v.Uncordon) != 1 || len(v.Return) != 0 {
		t.Errorf("%+v", v)
	}
	// What was needed a moment ago is held.
	idle.Cordoned = false
	v = Size(builds, []Held{idle}, Need{Machines: 10, Hold: 8}, none)
	if len(v.Cordon) != 0 {
		t.Errorf("gives up %v", v.Cordon)
	}
}

// A machine with tasks that cannot be counted on is replaced.
func TestLostMachinesCountForNothing(t *testing.T) {
	held := []Held{{Name: "a", Build: "s", Zone: "x", Up: true, Lost: true, Live: 2, Standing: 2, Firm: 8}}
	v := Size(builds, held, Need{Ordinary: Load{Cores: 8, RAM: 8}, Machines: 10}, none)
	if len(v.Rent) != 1 {
		t.Errorf("rents %v", v.Rent)
	}
}

// Losing any one machine must leave room for its replicas on the others.
func TestRoomForTheFullestMachine(t *testing.T) {
	held := []Held{
		{Name: "a", Build: "s", Zone: "x", Up: true, Live: 3, Standing: 3, Firm: 6},
		{Name: "b", Build: "s", Zone: "y", Up: true, Live: 2, Standing: 2, Firm: 4},
	}
	need := Need{Ordinary: Load{Cores: 10, RAM: 10}, ReserveMachine: 1, Machines: 10}
	if v := Size(builds, held, need, none); len(v.Rent) != 0 {
		t.Errorf("rents %v though 6 cores are free", v.Rent)
	}
	held[0].Firm, need.Ordinary.Cores = 8, 12
	if v := Size(builds, held, need, none); len(v.Rent) != 1 {
		t.Errorf("rents %v with 4 cores free for 8", v.Rent)
	}
	need.ReserveMachine = 0.2
	if v := Size(builds, held, need, none); len(v.Rent) != 0 {
		t.Errorf("rents %v though the share kept is 2.4 cores", v.Rent)
	}
}

func TestApartNeedsRoomInTwoZones(t *testing.T) {
	held := []Held{{Name: "a", Build: "l", Zone: "x", Up: true, Standing: 2, Firm: 4}}
	need := Need{Ordinary: Load{Cores: 4, RAM: 8}, MaxCores: 2, Machines: 10}
	if v := Size(builds, held, need, none); len(v.Rent) != 0 {
		t.Errorf("rents %v", v.Rent)
	}
	need.Apart = true
	v := Size(builds, held, need, none)
	want := []Wish{{Build: "s", Zone: "y", Count: 1}}
	if diff := cmp.Diff(want, v.Rent); diff != "" {
		t.Error(diff)
	}
}

func TestMachineLimit(t *testing.T) {
	held := []Held{{Name: "a", Build: "s", Zone: "x"}, {Name: "b", Build: "s", Zone: "x"}}
	if v := Size(builds, held, Need{Loaned: Load{Cores: 100, RAM: 8}, Machines: 2}, none); len(v.Rent) != 0 || !v.Capped {
		t.Errorf("rents %v beyond the limit, tells of it: %t", v.Rent, v.Capped)
	}
	if v := Size(builds, held, Need{Loaned: Load{Cores: 1, RAM: 1}, Machines: 9}, none); v.Capped {
		t.Error("tells of a limit that is not reached")
	}
}

// Room for the fullest zone's replicas is kept where it is little beside the
// whole fleet, and no more than that share where it is not.
func TestRoomForAZone(t *testing.T) {
	big := wire.MachineType{SKU: "g", Cores: 32, RAM: 128, HourlyPrice: 2, SpotPrice: 0.7, BootS: 30, Zones: []string{"x", "y", "z"}}
	var held []Held
	for i := range 9 {
		held = append(held, Held{Name: string(rune('a' + i)), Build: "g", Zone: []string{"x", "y", "z"}[i%3], Up: true, Live: 20, Standing: 20, Firm: 30})
	}
	rented := func(loaned float64) (n int) {
		need := Need{Ordinary: Load{Cores: 270, RAM: 500}, Loaned: Load{Cores: loaned, RAM: loaned}, ReserveZone: 0.05, Apart: true, Machines: 1000}
		for _, w := range Size([]wire.MachineType{big}, held, need, func(string, string, bool) bool { return false }).Rent {
			if !w.Loaned {
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
	held := []Held{{Name: "a", Build: "g", Zone: "x", Up: true}, {Name: "b", Build: "g", Zone: "x", Up: true}}
	need := Need{Ordinary: Load{Cores: 30, RAM: 60}, Loaned: Load{Cores: 30, RAM: 60}, Reserve: 1, Machines: 10}
	if v := Size([]wire.MachineType{b}, held, need, func(string, string, bool) bool { return false }); len(v.Rent) != 0 {
		t.Errorf("rented %v though the reserve has room", v.Rent)
	}
}

// While replicas wait for room, a sooner boot is worth a higher price.
func TestSoonestBootWhileReplicasWait(t *testing.T) {
	slow := wire.MachineType{SKU: "s", Cores: 16, RAM: 64, HourlyPrice: 0.92, BootS: 50, Zones: []string{"x"}}
	fast := wire.MachineType{SKU: "f", Cores: 16, RAM: 64, HourlyPrice: 1.1, BootS: 15, Zones: []string{"x"}}
	rent := func(have float64) string {
		held := []Held{}
		for have > 0 {
			held = append(held, Held{Name: string(rune('a' + len(held))), Build: "s", Zone: "x", Up: true})
			have -= 16
		}
		v := Size([]wire.MachineType{slow, fast}, held, Need{Ordinary: Load{Cores: 64, RAM: 200}, Reserve: 0.5, Machines: 50}, func(string, string, bool) bool { return false })
		if len(v.Rent) == 0 {
			return ""
		}
		return v.Rent[0].Build
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
	up := func(name, build, zone string, loaned bool) Held {
		return Held{Name: name, Build: build, Zone: zone, Loaned: loaned, Up: true, Idle: 60 * clock.Second}
	}
	cordoned := up("c", "s", "y", true)
	cordoned.Cordoned, cordoned.Live = true, 1
	one := Load{Cores: 1, RAM: 1}
	tests := []struct {
		name  string
		held  []Held
		bound Bound
		full  string // the zone in which no spot machine is to be had
		want  Verdict
	}{
		{"a small task and no machine", nil, Bound{Loaned: true, Task: one}, "", Verdict{Rent: []Wish{{"s", "x", true, 1}}}},
		{"room in another zone only", []Held{up("a", "s", "x", true)}, Bound{Loaned: true, Zone: "y", Task: one, Cores: 12}, "", Verdict{Rent: []Wish{{"s", "y", true, 2}}}},
		{"no spot machine there", nil, Bound{Loaned: true, Zone: "y", Task: one}, "y", Verdict{Rent: []Wish{{"s", "y", false, 1}}}},
		{"another type", []Held{up("a", "s", "x", true)}, Bound{Loaned: true, Builds: []string{"l"}, Task: one}, "", Verdict{Rent: []Wish{{"l", "x", true, 1}}}},
		{"a task too large for what is held", []Held{up("a", "s", "x", true)}, Bound{Loaned: true, Task: Load{Cores: 9, RAM: 9}}, "", Verdict{Rent: []Wish{{"l", "x", true, 1}}}},
		{"spot machines will not do", []Held{up("a", "s", "x", true)}, Bound{Zone: "x", Task: one}, "", Verdict{Rent: []Wish{{"s", "x", false, 1}}}},
		{"one that was to go", []Held{cordoned}, Bound{Loaned: true, Zone: "y", Task: one}, "", Verdict{Uncordon: []string{"c"}}},
		{"the last one", []Held{up("a", "s", "x", true), up("b", "s", "y", true)}, Bound{Loaned: true, Zone: "y", Task: one}, "", Verdict{Cordon: []string{"a"}}},
		{"fits nowhere", nil, Bound{Loaned: true, Task: Load{Cores: 64}}, "", Verdict{}},
	}
	for _, tt := range tests {
		refused := func(_, zone string, loaned bool) bool { return loaned && zone == tt.full }
		v := Size(builds, tt.held, Need{Bound: []Bound{tt.bound}, Idle: 25 * clock.Second, Machines: 10}, refused)
		if diff := cmp.Diff(tt.want, v); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
	v := Size(builds, nil, Need{Bound: []Bound{{Loaned: true, Task: one, Cores: 800}}, Machines: 3}, none)
	if len(v.Rent) != 1 || v.Rent[0].Count != 3 {
		t.Errorf("rents %v, want as many machines as there may be", v.Rent)
	}
}

// A task that has waited long gets a machine where all that is held has room
// enough in sum and none of it has room for the task; and no machine where one
// has, where something is rented anyway, or at an ordinary machine's price.
func TestStuckTaskGetsRoom(t *testing.T) {
	half := func(name, zone string, free float64) Held {
		return Held{Name: name, Build: "s", Zone: zone, Loaned: true, Up: true, Live: 1, UsedCores: 8 - free, Free: Load{Cores: free, RAM: 16}}
	}
	task := Bound{Loaned: true, Task: Load{Cores: 3, RAM: 1}}
	there := task
	there.Zone = "y"
	three := Bound{Loaned: true, Task: Load{Cores: 2, RAM: 1}, Together: 3}
	going := half("g", "y", 4)
	going.Cordoned = true
	tests := []struct {
		name  string
		held  []Held
		stuck Bound
		load  float64
		spot  bool // spot machines are to be had
		want  Verdict
	}{
		{"a little room on each", []Held{half("a", "x", 2), half("b", "x", 2)}, task, 12, true, Verdict{Rent: []Wish{{"s", "x", true, 1}}}},
		{"room for it", []Held{half("a", "x", 2), half("b", "x", 3)}, task, 12, true, Verdict{}},
		{"room where it has failed", []Held{half("a", "x", 4)}, Bound{Loaned: true, Task: task.Task, Not: map[string]bool{"a": true}}, 6, true, Verdict{Rent: []Wish{{"s", "x", true, 1}}}},
		{"room in another zone", []Held{half("a", "x", 4)}, there, 6, true, Verdict{Rent: []Wish{{"s", "y", true, 1}}}},
		{"room on one that was to go", []Held{half("a", "x", 4), going}, there, 6, true, Verdict{Uncordon: []string{"g"}}},
		{"something is rented anyway", []Held{half("a", "x", 2)}, there, 12, true, Verdict{Rent: []Wish{{"s", "x", true, 1}}}},
		{"room for all of them in two zones only", []Held{half("a", "x", 2), half("b", "y", 5)}, three, 9, true, Verdict{Rent: []Wish{{"s", "y", true, 1}}}},
		{"room for all of them in one", []Held{half("a", "y", 2), half("b", "y", 5)}, three, 9, true, Verdict{}},
		{"room for all with one that was to go", []Held{half("a", "y", 2), going}, three, 6, true, Verdict{Uncordon: []string{"g"}}},
		{"no spot machine is to be had", []Held{half("a", "x", 2)}, task, 6, false, Verdict{}},
	}
	for _, tt := range tests {
		refused := func(_, _ string, loaned bool) bool { return loaned && !tt.spot }
		need := Need{Loaned: Load{Cores: tt.load, RAM: 1}, Hold: tt.load, Stuck: []Bound{tt.stuck, tt.stuck}, Idle: 25 * clock.Second, Machines: 10}
		if diff := cmp.Diff(tt.want, Size(builds, tt.held, need, refused)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}

// What is rented for the sum of the work is of use to some of it: the cheapest
// machine is not, where none of the work may go there.
func TestRentsNothingThatNoWorkMayUse(t *testing.T) {
	need := Need{Loaned: Load{Cores: 100, RAM: 100}, Pressing: Load{Cores: 100, RAM: 100}, Ordinary: Load{Cores: 20, RAM: 20}, Machines: 20}
	need.Bound = []Bound{
		{Builds: []string{"l"}, Zone: "y", Loaned: true, Task: Load{Cores: 2}, Cores: 100},
		{Builds: []string{"l"}, Zone: "x", Task: Load{Cores: 2}, Cores: 20},
	}
	noSpot := func(_, _ string, loaned bool) bool { return loaned }
	for name, refused := range map[string]Refused{"spot to be had": none, "none to be had": noSpot} {
		cores := 0
		for _, w := range Size(builds, nil, need, refused).Rent {
			if w.Build != "l" {
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
	need.Bound = append(need.Bound, Bound{Loaned: true, Task: Load{Cores: 2}})
	cheap := 0
	for _, w := range Size(builds, nil, need, none).Rent {
		if w.Build == "s" {
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
	machine := func(name string, used, ram float64, cordoned bool) Held {
		return Held{Name: name, Build: "s", Zone: "y", Loaned: true, Up: true, Live: 1, UsedCores: used, Free: Load{Cores: 8 - used, RAM: ram}, Cordoned: cordoned}
	}
	task := Bound{Zone: "y", Loaned: true, Task: Load{Cores: 1, RAM: 6}}
	need := Need{Loaned: Load{Cores: 2, RAM: 1}, Idle: 25 * clock.Second, Machines: 10}
	full := machine("full", 2, 1, false) // its memory is taken
	for _, tt := range []struct {
		name    string
		held    []Held
		waiting []Bound
		want    Verdict
	}{
		{"nothing waits", []Held{full, machine("room", 1, 25, false)}, nil, Verdict{Cordon: []string{"room"}}},
		{"a task waits", []Held{full, machine("room", 1, 25, false)}, []Bound{task}, Verdict{Cordon: []string{"full"}}},
		{"a task waits that may not go there", []Held{full, machine("room", 1, 25, false)},
			[]Bound{{Zone: "x", Loaned: true, Task: task.Task}}, Verdict{Cordon: []string{"room"}}},
		{"it was to go", []Held{full, machine("room", 1, 25, true)}, []Bound{task, task}, Verdict{Uncordon: []string{"room"}}},
		{"none has room", []Held{full}, []Bound{task}, Verdict{}},
	} {
		need.Waiting = tt.waiting
		if diff := cmp.Diff(tt.want, Size(builds, tt.held, need, none)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}
