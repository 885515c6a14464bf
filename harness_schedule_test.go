package cedardoor

import (
	"fmt"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/quota"
	"cedardoor/recovery"
	"cedardoor/wire"
)

// Timing of simulations.
const (
	simulatedReportInterval = 2 * time.Second
	simulatedLease          = 10 * time.Second
	simulatedCancelLimit    = 24 * time.Second
	// faultFreeTail is for how long a simulation goes on after its schedule.
	faultFreeTail = 95 * time.Second
	// maxCommandDelay is how long a command takes at most that no fault delays.
	maxCommandDelay = 1500 * time.Millisecond
)

// workerTiming is the report interval, the lease and the cancellation limit of workers.
type workerTiming struct{ report, lease, cancel time.Duration }

// defaultTiming is the timing of schedules that set none.
var defaultTiming = workerTiming{report: simulatedReportInterval, lease: simulatedLease, cancel: simulatedCancelLimit}

// faultKind is a kind of fault that a simulation can inject.
type faultKind string

// Kinds of basic faults.
const (
	stateRefusesNode       faultKind = "state service refuses one controller"
	stateRefusesAll        faultKind = "state service refuses all"
	transactionAnswersLost faultKind = "responses to transactions lost"
	transactionsDelayed    faultKind = "transactions delayed"
	stateSlow              faultKind = "state service slow"
	machineHangs           faultKind = "machine hangs"
	machineReceivesNothing faultKind = "machine receives nothing"
	machineSendsNothing    faultKind = "machine sends nothing"
	heartbeatCopiesDelayed faultKind = "copies of heartbeats delayed"
	commandsDelayed        faultKind = "direct commands delayed"
	controllerKilled       faultKind = "controller killed"
	controllerCutFromPeers faultKind = "controller cut from the others"
	controllerCutFromState faultKind = "controller cut from the state service"
	controllerIsolated     faultKind = "controller isolated"
)

// Kinds of further faults.
const (
	zoneIsolated                faultKind = "zone isolated"
	heartbeatCopiesToNextLeader faultKind = "copies of heartbeats sent to the next leader"
	commandsRepeated            faultKind = "direct commands repeated"
	workerRestarts              faultKind = "worker restarts"
	machineFailsTasks           faultKind = "machine fails all tasks from now on"
	spotReclaimedWithNotice     faultKind = "spot machine reclaimed with notice"
	spotReclaimed               faultKind = "spot machine reclaimed without notice"
	rentalsRefused              faultKind = "rentals refused"
	rentalAnswersDelayed        faultKind = "responses to rentals delayed"
)

// Kinds of faults that hold messages, or delay requests to the cloud.
const (
	zoneMessagesHeld   faultKind = "messages of a zone held"
	stateMessagesHeld  faultKind = "messages to the state service held"
	peerMessagesHeld   faultKind = "messages between controllers held"
	fleetMessagesHeld  faultKind = "messages to all workers held"
	workerMessagesHeld faultKind = "messages to a worker held"
	cloudMessagesHeld  faultKind = "messages to the cloud held"
	returnsDelayed     faultKind = "returns delayed"
	rentalsDelayed     faultKind = "rentals delayed"
	stateLinksSlow     faultKind = "links to the state service slow"
)

// currentLeader stands for the controller that leads when a fault begins.
const currentLeader = controllerCount

// scheduledFault is a fault that begins at a moment and ends after a duration.
type scheduledFault struct {
	kind       faultKind
	at         time.Duration
	duration   time.Duration
	controller int               // an index, or currentLeader
	machine    int               // an index of those that are rented when the fault begins, modulo their number
	delay      time.Duration     // of kinds that delay something
	direction  standin.Direction // of kinds that hold messages
}

// String describes the fault for the log of a failed simulation.
func (f scheduledFault) String() string {
	direction := [...]string{standin.BothDirections: "", standin.Outbound: ", outbound", standin.Inbound: ", inbound"}[f.direction]
	return fmt.Sprintf("%5.1f s for %4.1f s: %s (controller %d, machine %d, %v%s)", f.at.Seconds(), f.duration.Seconds(), f.kind, f.controller, f.machine, f.delay, direction)
}

// scheduledSubmission is a job that a user submits, and what the user does with it.
type scheduledSubmission struct {
	spec            wire.Spec
	after           time.Duration // from the start of the simulation
	runTime         time.Duration // of each task
	cancelAfter     time.Duration // from the acceptance; 0: never
	cancelOnDone    bool          // cancels when the last task ends
	cancelOnFault   faultKind     // cancels when a fault of this kind begins; "": never
	resubmits       bool          // submits again, also with a malformed body
	alwaysFails     bool          // each task fails on every machine
	firstController int           // the index of the controller that is asked first
	stopsPolling    bool          // polls no more once the job is over
}

// faultSchedule is what happens in a simulation: faults, jobs and settings.
type faultSchedule struct {
	seed        uint64
	duration    time.Duration
	faults      []scheduledFault
	submissions []scheduledSubmission

	// Teams in addition to those of every simulation; 0 for no limit or guarantee.
	limits     map[string]float64
	guarantees map[string]float64

	timing          workerTiming  // defaultTiming if not set
	firstLeader     int           // the number of the controller that leads first, from 1; 0: any
	maxMachines     int           // that the cloud has; 0: the default of newCloud
	bootTime        time.Duration // of machines; 0: a second or two
	extraLatency    time.Duration // of messages
	listLags        bool          // the cloud's list is older than it must be
	buffersMessages bool          // the network can hold messages

	newLedger    func(map[string]quota.Limits) *quota.Ledger // replaces the quota ledger of each leader; may be nil
	alterRecords func(records *recovery.Records)             // alters what each leader reads; may be nil
	onEvent      func(event standin.Event)                   // is called for events on machines; may be nil
	setup        func(sim *simulation)                       // prepares the simulation further; may be nil
}

// seconds returns a duration.
func seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// newSubmission returns the submission of the n-th job at a moment, whose tasks run for
// runTimeS seconds.
func newSubmission(n int, afterS, runTimeS float64, mod func(spec *wire.Spec)) scheduledSubmission {
	return scheduledSubmission{after: seconds(afterS), runTime: seconds(runTimeS), spec: jobSpec(fmt.Sprintf("j-%d", n), func(spec *wire.Spec) {
		spec.Team, spec.Cores, spec.RAM, spec.ExpectedS = "free", 1, 1, runTimeS
		mod(spec)
		if spec.Kind == wire.KindService {
			spec.ExpectedS = 0
		}
	})}
}

// asService makes a job a service with a number of replicas.
func asService(replicas int) func(spec *wire.Spec) {
	return func(spec *wire.Spec) { spec.Kind, spec.Tasks, spec.Preemptible = wire.KindService, replicas, false }
}
