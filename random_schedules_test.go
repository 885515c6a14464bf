package cedardoor

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cedardoor/wire"
)

// How many random schedules are played, and the seed of the first.
var (
	meetings = flag.Uint64("meetings", 200, "how many random schedules are played")
	further  = flag.Uint64("further", 100, "how many random schedules with further troubles are played")
	held     = flag.Uint64("held", 40, "how many random schedules are played whose messages are held, too")
	oneWay   = flag.Uint64("oneway", 30, "how many random schedules are played whose messages are held in one direction only")
	meeting  = flag.Uint64("meeting", 0, "the seed of the first random schedule")
)

// Whole services play random schedules of troubles against stand-ins on virtual
// time, and the rules of the protocol are held against what is seen from outside.
func TestRandomMeetings(t *testing.T) { playRandom(t, *meetings, drawSchedule) }

// The same with the further troubles.
func TestRandomFurtherMeetings(t *testing.T) { playRandom(t, *further, drawFurther) }

// The same again with messages that are held and delivered late.
func TestRandomHeldMeetings(t *testing.T) { playRandom(t, *held, drawHeld) }

// The same with each hold in one direction only.
func TestRandomOneWayMeetings(t *testing.T) { playRandom(t, *oneWay, drawOneWay) }

func playRandom(t *testing.T, seeds uint64, draw func(seed uint64) schedule) {
	for seed := *meeting; seed < *meeting+seeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			playOut(t, draw(seed), nil)
		})
	}
}

// Without troubles every array is done and every replica runs.
func TestQuietMeeting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := drawSchedule(1)
		s.troubles = nil
		for i := range s.users {
			s.users[i].onKind, s.users[i].cancelAt, s.users[i].onDone = "", 0, false
		}
		w := newWorld(ctx, t, s)
		w.play()
		for _, u := range s.users {
			if u.spec.Kind == wire.KindBatch && !w.facts[u.spec.UID].done {
				t.Errorf("%s is not done", u.spec.UID)
			}
		}
		w.end(cancel)
		for _, b := range w.broken {
			t.Error(b)
		}
		if t.Failed() {
			t.Log(strings.Join(w.history, "\n"))
		}
	})
}

// A job that comes while nothing is rented gets a machine where it may run.
func TestJobGetsAMachineWhereItMayRun(t *testing.T) {
	bound := map[string]func(sp *wire.Spec){
		"anywhere": func(*wire.Spec) {},
		"zone x":   func(sp *wire.Spec) { sp.Zone = "x" },
		"zone y":   func(sp *wire.Spec) { sp.Zone = "y" },
		"type b":   func(sp *wire.Spec) { sp.MachineTypes = []string{"b"} },
		"type s":   func(sp *wire.Spec) { sp.MachineTypes = []string{"s"} },
	}
	for name, mod := range bound {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := schedule{seed: 1, lasts: 30 * time.Second}
				s.users = []submission{{at: time.Second, runs: 5 * time.Second, spec: spec("j-1", func(sp *wire.Spec) {
					sp.Team, sp.Cores, sp.ExpectedS = "free", 1, 5
					mod(sp)
				})}}
				w := newWorld(ctx, t, s)
				w.play()
				if left := w.waiting(true); len(left) > 0 {
					t.Errorf("after %v: %v", s.lasts+quietTail, left)
				}
				w.end(cancel)
				for _, b := range w.broken {
					t.Error(b)
				}
				if t.Failed() {
					t.Log(strings.Join(w.history, "\n"))
				}
			})
		})
	}
}
