package fleet

import (
	"container/list"

	"cedardoor/clock"
	"cedardoor/wire"
)

// Machine is a worker's machine.
type Machine struct {
	Name         string
	Endpoint     string
	Type         string
	Zone         string
	Preemptible  bool
	Cores        float64 // zero until the catalogue tells
	Accelerators float64
	RAM          float64

	Incarnation      uint64
	Sequence         uint64
	Token            uint64       // highest the worker has reported
	Reported         bool         // has reported under this term
	LastHeartbeat    clock.Micros // received
	AnsweredAt       clock.Micros // when a heartbeat of it was last answered, copies included
	LeaseEnd         clock.Micros // its tasks of Session are dead after this without another answer
	PreemptionAt     clock.Micros // spot notice: gone by then; zero when none
	CloudStatus      string       // status in the cloud's list; empty when not listed
	ListedAt         clock.Micros
	FirstSeen        clock.Micros
	IdleSince        clock.Micros     // since when nothing is booked; zero when something is
	Returning        bool             // a return was asked for
	QuarantineReason QuarantineReason // why repair must empty it; empty when not banned
	Cordoned         bool             // gets nothing new, is to be returned when empty
	SuspendedUntil   clock.Micros     // gets nothing new before: several jobs failed on it, and it is not clear yet which is at fault
	Probing          bool             // is being asked why it is silent
	UnansweredProbes int              // such questions in a row without an answer
	Unacknowledged   int              // signs in a row that what it is told takes no effect
	Suspect          bool             // was silent: one report does not make it trusted again
	Unresponsive     bool             // among the silent ones
	Slowness         float64          // observed run time against other machines'; 1 is usual
	SlownessSamples  int

	UsedCores        float64
	UsedAccelerators float64
	UsedRAM          float64

	Images map[string]bool // bundles seen here; true once one was fetched whole

	allocations       []*Allocation // in the order of their reservation
	byKey             map[attemptKey]*Allocation
	liveCount         int                   // bookings that may be on it
	orphans           map[attemptKey]orphan // tasks that the last report shows and that are not on the books
	runningOrphans    int                   // of those, tasks that have not ended
	supersededReports wire.ReportVersion    // as far as copies of an earlier process's reports may go, where the worker began to count anew
	mixedIncarnations bool                  // it adopted bookings of several sessions: those before the one that reports are over
	commandFailed     bool                  // a direct command did not get through since the last heartbeat
	answeredToken     uint64                // the token in the last answer
	lastTasks         []byte                // the task list of the last report, as it came
	lastTasksToken    uint64                // the token that it came with
	unchanged         bool                  // that list holds no news and asks for no orders
	leaseCheckAt      clock.Micros
	leaseIndex        int // its index in the fleet's order of lease ends, plus one
	heartbeat         *list.Element
}

// Free is the room that nothing is booked on.
func (m *Machine) Free() (cores, accel, ram float64) {
	return m.Cores - m.UsedCores, m.Accelerators - m.UsedAccelerators, m.RAM - m.UsedRAM
}

// EachAllocation calls f for every booking on the machine, oldest first. f may remove
// the booking that it is given.
func (m *Machine) EachAllocation(f func(allocation *Allocation)) {
	for i := 0; i < len(m.allocations); {
		allocation := m.allocations[i]
		f(allocation)
		if i < len(m.allocations) && m.allocations[i] == allocation {
			i++
		}
	}
}

// AllocationCount is how many attempts are on the books, ended ones included.
func (m *Machine) AllocationCount() int { return len(m.allocations) }

// LiveCount is how many bookings may be on the machine.
func (m *Machine) LiveCount() int { return m.liveCount }
