package cedardoor

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"cedardoor/wire"
)

// Flags that set the number of random schedules to run and the seed of the first.
var (
	scheduleCount      = flag.Uint64("schedules", 200, "number of random schedules to run")
	furtherFaultsCount = flag.Uint64("schedules.further", 100, "number of random schedules with further kinds of faults to run")
	heldCount          = flag.Uint64("schedules.held", 40, "number of random schedules with held messages to run")
	oneWayCount        = flag.Uint64("schedules.oneway", 30, "number of random schedules with messages held in one direction to run")
	savingCount        = flag.Uint64("schedules.saving", 40, "number of random schedules with tasks that save for long to run")
	limitsCount        = flag.Uint64("schedules.limits", 30, "number of random schedules in which the state service lowers its limits to run")
	firstSeed          = flag.Uint64("schedules.seed", 0, "seed of the first random schedule")
)

// Complete controllers run against simulated services and workers on virtual time, with random schedules
// of faults. The rules of the protocol are checked against what users and machines observe.
func TestRandomSchedules(t *testing.T) { runRandomSchedules(t, *scheduleCount, randomSchedule) }

// Like TestRandomSchedules, with further kinds of faults such as isolated zones and worker restarts.
func TestRandomSchedulesWithFurtherFaults(t *testing.T) {
	runRandomSchedules(t, *furtherFaultsCount, randomFurtherSchedule)
}

// Like TestRandomSchedulesWithFurtherFaults, with messages that are held and delivered late.
func TestRandomSchedulesWithHeldMessages(t *testing.T) {
	runRandomSchedules(t, *heldCount, randomHeldSchedule)
}

// Like TestRandomSchedulesWithHeldMessages, with messages held in one direction only.
func TestRandomSchedulesWithOneWayHolds(t *testing.T) {
	runRandomSchedules(t, *oneWayCount, randomOneWaySchedule)
}

// Like TestRandomSchedulesWithFurtherFaults, with few machines and tasks that save for long. Tasks of
// cancelled jobs must be gone in time, and others must get their time to save.
func TestRandomSchedulesWithLongSaves(t *testing.T) {
	runRandomSchedules(t, *savingCount, randomSavingSchedule)
}

// Like TestRandomSchedulesWithHeldMessages, with limits of the state service that fall, and more work. Every
// accepted job must run, and nothing may be refused again and again.
func TestRandomSchedulesWithLowerLimits(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*limitsCount; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runSchedule(t, randomLimitsSchedule(seed), (*simulation).checkAfterLimitsFell)
		})
	}
}

// runRandomSchedules runs the schedules of the given number of seeds in parallel.
func runRandomSchedules(t *testing.T, seeds uint64, newSchedule func(seed uint64) faultSchedule) {
	for seed := *firstSeed; seed < *firstSeed+seeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runSchedule(t, newSchedule(seed), nil)
		})
	}
}

// Without faults every batch job completes and every replica runs.
func TestScheduleWithoutFaults(t *testing.T) {
	schedule := randomSchedule(1)
	schedule.faults = nil
	for i := range schedule.submissions {
		schedule.submissions[i].cancelOnFault, schedule.submissions[i].cancelAfter, schedule.submissions[i].cancelOnDone = "", 0, false
	}
	runSchedule(t, schedule, func(sim *simulation) {
		for _, submission := range schedule.submissions {
			if submission.spec.Kind == wire.KindBatch && !sim.observed.views[submission.spec.UID].done {
				sim.t.Errorf("%s is not done", submission.spec.UID)
			}
		}
	})
}

// A job that is submitted while no machine is rented gets a machine on which it may run.
func TestJobGetsEligibleMachine(t *testing.T) {
	constraints := map[string]func(spec *wire.Spec){
		"anywhere": func(*wire.Spec) {},
		"zone x":   func(spec *wire.Spec) { spec.Zone = "x" },
		"zone y":   func(spec *wire.Spec) { spec.Zone = "y" },
		"type b":   func(spec *wire.Spec) { spec.MachineTypes = []string{"b"} },
		"type s":   func(spec *wire.Spec) { spec.MachineTypes = []string{"s"} },
	}
	for name, constrain := range constraints {
		t.Run(name, func(t *testing.T) {
			schedule := faultSchedule{seed: 1, duration: 30 * time.Second}
			schedule.submissions = []scheduledSubmission{{after: time.Second, runTime: 5 * time.Second, spec: jobSpec("j-1", func(spec *wire.Spec) {
				spec.Team, spec.Cores, spec.ExpectedS = "free", 1, 5
				constrain(spec)
			})}}
			runSchedule(t, schedule, func(sim *simulation) {
				if left := sim.unplacedTasks(true); len(left) > 0 {
					sim.t.Errorf("not placed after %v: %v", schedule.duration+faultFreeTail, left)
				}
			})
		})
	}
}
