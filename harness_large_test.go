package cedardoor

import (
	"cedardoor/wire"
)

// The work of the large scene. The cloud has enough to move half of it to other zones.
const (
	maxSimulatedFleet    = simulatedFleet * 13 / 8
	largeServiceReplicas = 160 // replicas of each service, one to a machine
	largeArrayTasks      = 100 // tasks of each array, likewise
)

// minFleetLimit is how many machines there may be, at the least.
const minFleetLimit = 4000

// largeFleetSubmissions is services and arrays that fill the large fleet, one task to a machine,
// and a team at its limit.
func largeFleetSubmissions() (users []scheduledSubmission) {
	wholeMachine := func(mod func(spec *wire.Spec)) func(spec *wire.Spec) {
		return func(spec *wire.Spec) { mod(spec); spec.Cores, spec.RAM = 4, 8 }
	}
	n := 0
	for range simulatedFleet * 4 / 5 / largeServiceReplicas {
		n++
		users = append(users, newSubmission(n, 2, 0, wholeMachine(asService(largeServiceReplicas))))
	}
	for range simulatedFleet / 5 / largeArrayTasks {
		n++
		users = append(users, newSubmission(n, 3, 60, wholeMachine(func(spec *wire.Spec) { spec.Tasks, spec.Preemptible = largeArrayTasks, true })))
	}
	for range 4 {
		n++
		users = append(users, newSubmission(n, 5, 8, func(spec *wire.Spec) { spec.Team, spec.Tasks = "tight", 12 }))
	}
	return users
}

// rentSmallMachinesOnly lets the cloud have machines for one large task each only.
func (s *simulation) rentSmallMachinesOnly() {
	s.cloud.MachineTypes = []wire.MachineType{smallMachineType()}
}

// checkLargeServices fails the test unless the replicas of all services that were not
// cancelled run.
func (s *simulation) checkLargeServices(when string) {
	for _, submission := range s.schedule.submissions {
		s.mu.Lock()
		asked := s.observed.views[submission.spec.UID].cancelRequested
		s.mu.Unlock()
		if submission.spec.Kind != wire.KindService || asked {
			continue
		}
		running := 0
		for _, n := range s.tasksByZone(submission.spec.UID) {
			running += n
		}
		if running < submission.spec.Tasks {
			s.t.Errorf("%s has %d of %d replicas %s", submission.spec.UID, running, submission.spec.Tasks, when)
		}
	}
}
