package recovery

import (
	"fmt"
	"testing"

	"cedardoor/clock"

	"pgregory.net/rapid"
)

// Whatever is told of machines, late, twice and in any order: the counts add up, a machine is
// settled once, by the first that is told of it, and a stage is never left for an earlier one.
func TestProgressAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const loadedAt = 5 * clock.Second
		p := NewProgress(0)
		model := map[string]MachineState{}
		for i := range rapid.IntRange(0, 30).Draw(t, "machines") {
			name := fmt.Sprint("n-", i)
			model[name] = MachineAwaited
			p.Await(name, clock.Micros(i)*clock.Second)
		}
		if p.Stage() != StageReading {
			t.Fatalf("stage %s before the records are read", p.Stage())
		}
		p.Loaded(loadedAt)
		complete := false
		for step := range rapid.IntRange(0, 120).Draw(t, "steps") {
			name := fmt.Sprint("n-", rapid.IntRange(0, 40).Draw(t, "machine"))
			state := MachineState(rapid.IntRange(0, 2).Draw(t, "state"))
			p.Settle(name, state, loadedAt+clock.Micros(step))
			if before, known := model[name]; known && before == MachineAwaited {
				model[name] = state
			}
			var counts [3]int
			for _, s := range model {
				counts[s]++
			}
			for s, n := range counts {
				if p.Count(MachineState(s)) != n {
					t.Fatalf("%d machines in state %d, want %d", p.Count(MachineState(s)), s, n)
				}
			}
			if done := p.Stage() == StageComplete; done != (counts[MachineAwaited] == 0) || complete && !done {
				t.Fatalf("stage %s with %d awaited", p.Stage(), counts[MachineAwaited])
			}
			complete = p.Stage() == StageComplete
			if complete && (p.Ended() < loadedAt || p.MostlySettled() > p.Ended()) {
				t.Fatalf("ended %v, mostly %v", p.Ended(), p.MostlySettled())
			}
		}
	})
}

func TestReconnecting(t *testing.T) {
	within := ReportWithin(3, 3*clock.Second)
	if within != 10*clock.Second+3750*clock.Millisecond {
		t.Errorf("a worker may take %v to find the third controller", within)
	}
	for _, tt := range []struct {
		name  string
		came  int // of ten
		at    clock.Micros
		alone bool
		want  bool
	}{
		{"nobody has had the time", 0, 9 * clock.Second, false, true},
		{"all have had the time", 0, within, true, false},
		{"half came while other controllers lead workers here", 5, 3 * clock.Second, false, false},
		{"half came, the others may try controllers that are down", 5, 9 * clock.Second, true, true},
		{"all came", 10, 3 * clock.Second, true, false},
	} {
		p := NewProgress(0)
		for i := range 10 {
			p.Await(fmt.Sprint("n-", i), 18*clock.Second)
		}
		p.Loaded(clock.Second)
		for i := range tt.came {
			p.Settle(fmt.Sprint("n-", i), MachineReconciled, 2*clock.Second)
		}
		if got := p.Reconnecting(tt.at, within, tt.alone); got != tt.want {
			t.Errorf("%s: %t", tt.name, got)
		}
	}
}

// A report fits a message between controllers, however much there is to list.
func TestReportIsBounded(t *testing.T) {
	var unrecorded []Unrecorded
	var damaged []Damage
	for i := range 3 * MostListed {
		unrecorded = append(unrecorded, Unrecorded{Task: fmt.Sprint("j-1/", i)})
		damaged = append(damaged, Damage{Key: fmt.Sprint("j/j-", i), Detail: string(make([]byte, 1000))})
	}
	var r Report
	r.List(unrecorded, damaged)
	if len(r.Unrecorded) != MostListed || len(r.Damaged) != MostListed || !r.Truncated || len(r.Damaged[0].Detail) != maxDetail {
		t.Errorf("%d and %d listed, truncated %t", len(r.Unrecorded), len(r.Damaged), r.Truncated)
	}
	if len(damaged[0].Detail) != 1000 {
		t.Error("the leader's own list was changed")
	}
	r.List(nil, nil)
	if r.Truncated || r.Unrecorded == nil || r.Damaged == nil {
		t.Errorf("empty lists: %+v", r)
	}
}
