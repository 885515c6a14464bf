package cedardoor

import (
	"fmt"
	"time"

	"cedardoor/config"
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
	// faultFreeTail is how long a simulation continues without faults after its schedule.
	faultFreeTail = 95 * time.Second
	// maxCommandDelay is how long a command may take if no fault delays it.
	maxCommandDelay = 1500 * time.Millisecond
)

// workerTiming holds the report interval, the lease and the cancellation limit of workers.
type workerTiming struct{ report, lease, cancel time.Duration }

// defaultTiming is the timing of schedules that do not set one.
var defaultTiming = workerTiming{report: simulatedReportInterval, lease: simulatedLease, cancel: simulatedCancelLimit}

// faultKind is a kind of fault that a simulation can inject.
type faultKind string

// Kinds of basic faults.
const (
	stateRefusesNode         faultKind = "state service refuses one controller"
	stateRefusesAll          faultKind = "state service refuses all"
	transactionResponsesLost faultKind = "responses to transactions lost"
	transactionsDelayed      faultKind = "transactions delayed"
	stateSlow                faultKind = "state service slow"
	machineHangs             faultKind = "machine hangs"
	machineReceivesNothing   faultKind = "machine receives nothing"
	machineSendsNothing      faultKind = "machine sends nothing"
	heartbeatCopiesDelayed   faultKind = "copies of heartbeats delayed"
	commandsDelayed          faultKind = "direct commands delayed"
	controllerKilled         faultKind = "controller killed"
	controllerCutFromPeers   faultKind = "controller cut from the others"
	controllerCutFromState   faultKind = "controller cut from the state service"
	controllerIsolated       faultKind = "controller isolated"
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
	rentalResponsesDelayed      faultKind = "responses to rentals delayed"
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

// scheduledFault is a fault with its start and duration.
type scheduledFault struct {
	kind       faultKind
	at         time.Duration // from the start of the schedule
	duration   time.Duration
	controller int                 // index, or currentLeader
	machine    int                 // index into the machines rented when the fault begins, modulo their number
	delay      time.Duration       // of kinds that delay something
	direction  standin.Direction   // of kinds that hold messages
	limits     standin.StateLimits // of stateLimitsLowered
}

// String describes the fault for the log of a failed simulation.
func (f scheduledFault) String() string {
	direction := [...]string{standin.BothDirections: "", standin.Outbound: ", outbound", standin.Inbound: ", inbound"}[f.direction]
	return fmt.Sprintf("%5.1f s for %4.1f s: %s (controller %d, machine %d, %v%s)", f.at.Seconds(), f.duration.Seconds(), f.kind, f.controller, f.machine, f.delay, direction)
}

// scheduledSubmission is a job that a user submits, and what the user does afterwards.
type scheduledSubmission struct {
	spec            wire.Spec
	after           time.Duration // from the start of the schedule
	runTime         time.Duration // of each task
	cancelAfter     time.Duration // from the acceptance; 0: never
	cancelOnDone    bool          // cancels when the last task ends
	cancelOnFault   faultKind     // cancels when a fault of this kind begins; "": never
	resubmits       bool          // submits it again, also with an invalid body
	alwaysFails     bool          // each task fails on every machine
	firstController int           // index of the controller that receives the first request
	stopsPolling    bool          // stops polling once the job is done or cancelled
}

// faultSchedule describes a simulation: its faults, jobs and settings.
type faultSchedule struct {
	seed        uint64
	duration    time.Duration
	faults      []scheduledFault
	submissions []scheduledSubmission

	// Limits and guarantees of teams that are added to those of every simulation; 0 for none.
	limits     map[string]float64
	guarantees map[string]float64

	announced *config.NextState // limits of the state service that the settings announce; nil for none

	timing          workerTiming  // defaultTiming if not set
	firstLeader     int           // number of the first controller that leads, from 1; 0: any
	maxMachines     int           // capacity of the cloud; 0: the default of newCloud
	bootTime        time.Duration // of machines; 0: varies from 1.2 to 2.8 s
	extraLatency    time.Duration // of messages
	listLags        bool          // the cloud's list of machines is stale
	buffersMessages bool          // the network can hold messages

	newLedger    func(map[string]quota.Limits) *quota.Ledger // creates the quota ledger of each leader; may be nil
	alterRecords func(records *recovery.Records)             // changes the records that each leader has read; may be nil
	onEvent      func(event standin.Event)                   // called for events on machines; may be nil
	setup        func(sim *simulation)                       // called at the end of newSimulation; may be nil
}

// seconds converts a number of seconds to a duration.
func seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// newSubmission returns the submission of the n-th job, afterS seconds after the start. Its tasks
// run for runTimeS seconds, and mod modifies the job.
func newSubmission(n int, afterS, runTimeS float64, mod func(spec *wire.Spec)) scheduledSubmission {
	return scheduledSubmission{after: seconds(afterS), runTime: seconds(runTimeS), spec: jobSpec(fmt.Sprintf("j-%d", n), func(spec *wire.Spec) {
		spec.Team, spec.Cores, spec.RAM, spec.ExpectedS = "free", 1, 1, runTimeS
		mod(spec)
		if spec.Kind == wire.KindService {
			spec.ExpectedS = 0
		}
	})}
}

// asService returns a function that makes a job a service with a number of replicas.
func asService(replicas int) func(spec *wire.Spec) {
	return func(spec *wire.Spec) { spec.Kind, spec.Tasks, spec.Preemptible = wire.KindService, replicas, false }
}
