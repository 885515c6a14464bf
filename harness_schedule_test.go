package cedardoor

import (
	"fmt"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/quota"
	"cedardoor/recovery"
	"cedardoor/wire"
)

// Timing of the workers in random meetings: that of a platform, scaled down.
const (
	simulatedReportInterval = 2 * time.Second
	simulatedLease          = 10 * time.Second
	simulatedCancelLimit    = 24 * time.Second
	faultFreeTail           = 95 * time.Second
	// maxCommandDelay is how long a command may take that nothing holds up.
	maxCommandDelay = 1500 * time.Millisecond
)

// workerTiming is that of the workers of a schedule.
type workerTiming struct{ report, lease, cancel time.Duration }

// defaultTiming is what a schedule has that sets none.
var defaultTiming = workerTiming{report: simulatedReportInterval, lease: simulatedLease, cancel: simulatedCancelLimit}

// The kinds of trouble that a schedule may hold.
const (
	stateRefusesNode       = "state refuses one node"
	stateRefusesAll        = "state refuses all"
	transactionAnswersLost = "transactions lose their answers"
	transactionsDelayed    = "transactions carried out late"
	stateSlow              = "state is slow"
	machineHangs           = "machine hangs"
	machineReceivesNothing = "machine is deaf"
	machineSendsNothing    = "machine is mute"
	heartbeatCopiesDelayed = "copies of reports come late"
	commandsDelayed        = "direct commands held up"
	controllerKilled       = "controller killed"
	controllerCutFromPeers = "controller cut from the others"
	controllerCutFromState = "controller cut from the state service"
	controllerIsolated     = "controller cut from all"

	zoneIsolated                = "zone cut off"
	heartbeatCopiesToNextLeader = "copies of reports come to the next leader"
	commandsRepeated            = "direct commands come again"
	workerRestarts              = "worker starts anew"
	machineFailsTasks           = "machine is faulty from now on"
	spotReclaimedWithNotice     = "spot machine taken with a notice"
	spotReclaimed               = "spot machine taken without a notice"
	rentalsRefused              = "rentals refused"
	rentalAnswersDelayed        = "rentals answered late"

	zoneMessagesHeld   = "messages of a zone held"
	stateMessagesHeld  = "messages to the state service held"
	peerMessagesHeld   = "messages between controllers held"
	fleetMessagesHeld  = "messages to all workers held"
	workerMessagesHeld = "messages to a worker held"
	cloudMessagesHeld  = "messages to the cloud held"
	returnsDelayed     = "returns carried out late"
	rentalsDelayed     = "rentals carried out late"
	stateLinksSlow     = "links to the state service are slow"
)

// scheduledFault is one thing that goes wrong for a while.
type scheduledFault struct {
	kind       string
	at         time.Duration
	duration   time.Duration
	controller int               // a controller; 3 stands for whoever leads then
	machine    int               // a machine, by its place among those that are there
	delay      time.Duration     // how late or slow
	direction  standin.Direction // in which direction messages are held
}

func (x scheduledFault) String() string {
	way := [...]string{standin.BothDirections: "", standin.Outbound: ", out", standin.Inbound: ", in"}[x.direction]
	return fmt.Sprintf("%5.1f s for %4.1f s: %s (node %d, machine %d, %v%s)", x.at.Seconds(), x.duration.Seconds(), x.kind, x.controller, x.machine, x.delay, way)
}

// scheduledSubmission is what one user does.
type scheduledSubmission struct {
	spec            wire.Spec
	after           time.Duration
	runTime         time.Duration // each task
	cancelAfter     time.Duration // after at; 0: never
	cancelOnDone    bool          // cancels as its last task ends
	cancelOnFault   string        // cancels as this trouble begins
	resubmits       bool          // submits again, also with another body
	alwaysFails     bool          // each task fails on every machine
	firstController int           // whom it asks first, counted from the schedule's first
	stopsPolling    bool          // asks no more once its job is over
}

// faultSchedule is all that chance decides about a meeting.
type faultSchedule struct {
	seed        uint64
	duration    time.Duration
	faults      []scheduledFault
	submissions []scheduledSubmission

	limits          map[string]float64                          // of teams beside those that every platform has; 0: none
	guarantees      map[string]float64                          // guarantees of those teams; 0: none
	newLedger       func(map[string]quota.Limits) *quota.Ledger // of each leader, if not the real one
	alterRecords    func(records *recovery.Records)             // harms what each leader reads; may be nil
	onEvent         func(e standin.Event)                       // is told of what happens on machines; may be nil
	timing          workerTiming                                // of the workers, if not modelTiming
	maxMachines     int                                         // machines that the cloud has, if not 12
	bootTime        time.Duration                               // how long machines boot, if not a second or two
	extraLatency    time.Duration                               // how much longer messages take
	listLags        bool                                        // the cloud's list is older than it could be
	firstLeader     int                                         // the controller that leads first, counted from 1; 0: whoever comes first
	buffersMessages bool                                        // the network can hold messages
	setup           func(w *simulation)                         // arranges what a schedule can't tell; may be nil
}

// seconds is a moment of a scene.
func seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// newSubmission submits a job at a moment, whose tasks run for so long.
func newSubmission(n int, from, runs float64, mod func(spec *wire.Spec)) scheduledSubmission {
	return scheduledSubmission{after: seconds(from), runTime: seconds(runs), spec: jobSpec(fmt.Sprintf("j-%d", n), func(spec *wire.Spec) {
		spec.Team, spec.Cores, spec.RAM, spec.ExpectedS = "free", 1, 1, runs
		mod(spec)
		if spec.Kind == wire.KindService {
			spec.ExpectedS = 0
		}
	})}
}

// asService makes a job a service of so many replicas.
func asService(replicas int) func(spec *wire.Spec) {
	return func(spec *wire.Spec) { spec.Kind, spec.Tasks, spec.Preemptible = wire.KindService, replicas, false }
}
