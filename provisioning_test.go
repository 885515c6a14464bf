package cedardoor

import (
	"testing"
	"time"

	"cedardoor/wire"
)

// Without any trouble, work gets the machines that it wants, though the sum of all
// that is held seems to be enough.
func playUntilPlaced(t *testing.T, users ...scheduledSubmission) {
	playSchedule(t, faultSchedule{seed: 1, duration: 40 * time.Second, submissions: users}, func(sim *simulation) {
		if left := sim.unplacedTasks(true); len(left) > 0 {
			sim.t.Errorf("at the end: %v", left)
		}
	})
}

// Replicas that are to be apart get machines in a second zone.
func TestSpreadJobGetsMachinesInTwoZones(t *testing.T) {
	playUntilPlaced(t, newSubmission(1, 2, 0, func(spec *wire.Spec) {
		spec.Kind, spec.Tasks, spec.MachineTypes, spec.Spread = wire.KindService, 2, []string{"b"}, true
	}))
}

// A job that is to be in one zone gets a machine where neither zone has room for
// all of it, and both together have.
func TestSameZoneJobGetsCapacityInOneZone(t *testing.T) {
	single := func(zone string) func(spec *wire.Spec) {
		return func(spec *wire.Spec) { spec.Kind, spec.Zone, spec.MachineTypes = wire.KindService, zone, []string{"s"} }
	}
	playUntilPlaced(t, newSubmission(1, 2, 0, single("x")), newSubmission(2, 2, 0, single("y")),
		newSubmission(3, 20, 0, func(spec *wire.Spec) {
			spec.Kind, spec.Tasks, spec.Cores, spec.SameZone = wire.KindService, 2, 2, true
		}))
}

// A task gets a machine where what is left beside replicas on each machine is too
// little for it: as much on all of them as it wants is no room.
func TestTaskGetsCapacityBesideReplicas(t *testing.T) {
	playUntilPlaced(t, newSubmission(1, 2, 0, func(spec *wire.Spec) { spec.Kind, spec.Cores, spec.MachineTypes = wire.KindService, 7, []string{"b"} }),
		newSubmission(2, 30, 4, func(spec *wire.Spec) { spec.Cores, spec.Priority = 2, "high" }))
}

// Work that is bound to a zone gets a machine there where other work, that could be
// elsewhere and does not give way, fills those that are there.
func TestZonalReplicasGetCapacityBesideReplicas(t *testing.T) {
	playUntilPlaced(t, newSubmission(1, 2, 0, func(spec *wire.Spec) {
		asService(1)(spec)
		spec.Cores, spec.Priority, spec.MachineTypes = 4, "critical", []string{"s"}
	}),
		newSubmission(2, 30, 0, func(spec *wire.Spec) {
			spec.Kind, spec.Cores, spec.Priority, spec.Zone = wire.KindService, 2, "critical", "x"
		}),
		newSubmission(3, 30, 0, func(spec *wire.Spec) {
			spec.Kind, spec.Cores, spec.Priority, spec.Zone = wire.KindService, 2, "critical", "y"
		}))
}
