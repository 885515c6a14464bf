package cedardoor

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"cedardoor/recovery"
)

// How much total losses are played: a short seeded form unless more is asked for.
var (
	lossSeeds    = flag.Uint64("loss.seeds", 12, "how many random schedules of losses of all controllers are played")
	lossSeed     = flag.Uint64("loss.seed", 0, "the seed of the first of them")
	lossMachines = flag.Int("loss.machines", 60, "how many machines the scenes of a total loss have")
	lossPlot     = flag.String("loss.plot", "", "the file that the figures of the scenes of a total loss are added to")
)

// allGoingWithin is a leader's lease, the time that a worker needs to try two controllers that do
// not answer, a report and a quarter, and as much as starts take.
const allGoingWithin = 5 + 10 + 3.75 + 3

// All controllers crash at once while everything runs, and one, two or three return: at once,
// within the workers' lease, beyond it, and beyond the cancellation limit. No running task is
// stopped or started again without a cause.
func TestTotalLoss(t *testing.T) {
	for _, spell := range []float64{0.4, 6, 25, 50} {
		for returns := 1; returns <= 3; returns++ {
			loss := totalLoss{lossAtS: 40, outageS: spell, returning: returns}
			t.Run(fmt.Sprintf("spell=%v,returns=%d", spell, returns), func(t *testing.T) {
				t.Parallel()
				broken, measured := playTotalLoss(t, loss, *lossMachines, nil)
				for _, violation := range broken {
					t.Error(violation)
				}
				// Workers whose leases lasted need nothing: no starts, no machines. (With controllers that
				// stay down some workers try those first, until their leases are over.)
				if spell < 1 && returns == 3 && (measured.Commands.Runs > 0 || measured.Commands.Halts > 0 || measured.Commands.Rentals > 0) {
					t.Errorf("%+v, want no starts, stops and rentals", measured.Commands)
				}
				if measured.AllGoingS == 0 || measured.AllGoingS > allGoingWithin {
					t.Errorf("all goes on %.2f s after the first return, want within %v s", measured.AllGoingS, allGoingWithin)
				}
				t.Log(measured)
				if err := saveMeasurements(measured); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// When one of three controllers returns, its workers first wait for the two that do not respond.
// Meanwhile it receives no heartbeats for longer than it would take to resign, if another could
// lead.
func TestWorkersFindOnlyReturnedController(t *testing.T) {
	for _, spell := range []float64{6, 14, 32} {
		t.Run(fmt.Sprintf("spell=%v", spell), func(t *testing.T) {
			t.Parallel()
			broken, measured := playTotalLoss(t, totalLoss{lossAtS: 40, outageS: spell, returning: 1, timing: defaultTiming}, 20, nil)
			for _, violation := range broken {
				t.Error(violation)
			}
			if measured.AllGoingS == 0 || measured.AllGoingS > allGoingWithin {
				t.Errorf("all goes on %.2f s after the return, want within %v s", measured.AllGoingS, allGoingWithin)
			}
			t.Log(measured)
		})
	}
}

// The checks detect a leader that starts tasks at once, as if none of its predecessors' ran.
func TestCheckerDetectsLeaderThatStartsAtOnce(t *testing.T) {
	forget := func(r *recovery.Records) {
		for i := range r.Chunks {
			r.Chunks[i].Attempts = nil
		}
		r.Shared = nil
	}
	broken, _ := playTotalLoss(t, totalLoss{lossAtS: 40, outageS: 6, returning: 3}, 20, forget)
	kinds := map[string]bool{}
	for _, violation := range broken {
		for _, kind := range []string{"is stopped without a cause", "starts on"} {
			if strings.Contains(violation, kind) {
				kinds[kind] = true
			}
		}
	}
	if len(kinds) != 2 {
		t.Errorf("found %v in %d faults", kinds, len(broken))
	}
}

// Random losses and returns of all controllers: no rule is violated.
func TestRandomTotalLosses(t *testing.T) {
	for seed := *lossSeed; seed < *lossSeed+*lossSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			playSchedule(t, randomLossSchedule(seed), nil)
		})
	}
}

// After a total loss the leader crashes right before one of its requests to the state service,
// whichever, and its successor at the same one: every step of a recovery can be the last.
func TestLeaderCrashesAtEveryRequest(t *testing.T) {
	for request := 1; request <= crashPoints; request++ {
		t.Run(fmt.Sprintf("request=%d", request), func(t *testing.T) {
			t.Parallel()
			loss := totalLoss{lossAtS: 30, outageS: 1, returning: 3}
			events := &eventLog{}
			schedule := loss.schedule(12, events)
			setup := schedule.setup
			schedule.setup = func(sim *simulation) {
				setup(sim)
				sim.crashLeaders(loss.lostAt(sim).Add(seconds(loss.outageS)), request, 2)
			}
			var sim *simulation
			playSchedule(t, schedule, func(played *simulation) {
				sim = played
				sim.checkAllServed()
			})
			lost := loss.lostAt(sim)
			for _, f := range events.violations(lost, lost.Add(seconds(loss.outageS)), lost.Add(seconds(loss.outageS)+recoveryCheckTime), func(uid string) bool { return sim.observed.views[uid].cancelRequested }) {
				t.Error(f)
			}
		})
	}
}

// crashPoints is up to which of its requests a recovering leader ends: with its election it has
// read all records and begun to write by then.
const crashPoints = 20
