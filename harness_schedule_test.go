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
	modelReport = 2 * time.Second
	modelLease  = 10 * time.Second
	modelCancel = 24 * time.Second
	quietTail   = 95 * time.Second
	// commandSpan is how long a command may take that nothing holds up.
	commandSpan = 1500 * time.Millisecond
)

// timing is that of the workers of a schedule.
type timing struct{ report, lease, cancel time.Duration }

// modelTiming is what a schedule has that sets none.
var modelTiming = timing{report: modelReport, lease: modelLease, cancel: modelCancel}

// The kinds of trouble that a schedule may hold.
const (
	refuseOne   = "state refuses one node"
	refuseAll   = "state refuses all"
	loseAnswers = "transactions lose their answers"
	lateWrites  = "transactions carried out late"
	slowState   = "state is slow"
	hangMachine = "machine hangs"
	deafMachine = "machine is deaf"
	muteMachine = "machine is mute"
	lateReports = "copies of reports come late"
	holdCommand = "direct commands held up"
	killNode    = "controller killed"
	cutPeers    = "controller cut from the others"
	cutState    = "controller cut from the state service"
	cutNode     = "controller cut from all"

	cutZone       = "zone cut off"
	keptReports   = "copies of reports come to the next leader"
	repeatCommand = "direct commands come again"
	restartWorker = "worker starts anew"
	faultyMachine = "machine is faulty from now on"
	noticeSpot    = "spot machine taken with a notice"
	takeSpot      = "spot machine taken without a notice"
	refuseRental  = "rentals refused"
	lateRental    = "rentals answered late"

	holdZone   = "messages of a zone held"
	holdState  = "messages to the state service held"
	holdPeers  = "messages between controllers held"
	holdFleet  = "messages to all workers held"
	holdWorker = "messages to a worker held"
	holdCloud  = "messages to the cloud held"
	lateReturn = "returns carried out late"
	lateHire   = "rentals carried out late"
	slowLink   = "links to the state service are slow"
)

// trouble is one thing that goes wrong for a while.
type trouble struct {
	kind  string
	at    time.Duration
	lasts time.Duration
	node  int           // a controller; 3 stands for whoever leads then
	which int           // a machine, by its place among those that are there
	by    time.Duration // how late or slow
	way   standin.Way   // in which direction messages are held
}

func (x trouble) String() string {
	way := [...]string{standin.BothWays: "", standin.Out: ", out", standin.In: ", in"}[x.way]
	return fmt.Sprintf("%5.1f s for %4.1f s: %s (node %d, machine %d, %v%s)", x.at.Seconds(), x.lasts.Seconds(), x.kind, x.node, x.which, x.by, way)
}

// submission is what one user does.
type submission struct {
	spec     wire.Spec
	at       time.Duration
	runs     time.Duration // each task
	cancelAt time.Duration // after at; 0: never
	onDone   bool          // cancels as its last task ends
	onKind   string        // cancels as this trouble begins
	repeats  bool          // submits again, also with another body
	fails    bool          // each task fails on every machine
	node     int           // whom it asks first, counted from the schedule's first
	light    bool          // asks no more once its job is over
}

// schedule is all that chance decides about a meeting.
type schedule struct {
	seed     uint64
	lasts    time.Duration
	troubles []trouble
	users    []submission

	limits map[string]float64                          // of teams beside those that every platform has; 0: none
	floors map[string]float64                          // guarantees of those teams; 0: none
	ledger func(map[string]quota.Limits) *quota.Ledger // of each leader, if not the real one
	lose   func(records *recovery.Records)             // harms what each leader reads; may be nil
	watch  func(e standin.Event)                       // is told of what happens on machines; may be nil
	timing timing                                      // of the workers, if not modelTiming
	most   int                                         // machines that the cloud has, if not 12
	boot   time.Duration                               // how long machines boot, if not a second or two
	slow   time.Duration                               // how much longer messages take
	lag    bool                                        // the cloud's list is older than it could be
	leads  int                                         // the controller that leads first, counted from 1; 0: whoever comes first
	holds  bool                                        // the network can hold messages
	setup  func(w *world)                              // arranges what a schedule can't tell; may be nil
}

// at is a moment of a scene.
func at(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// user submits a job at a moment, whose tasks run for so long.
func user(n int, from, runs float64, mod func(sp *wire.Spec)) submission {
	return submission{at: at(from), runs: at(runs), spec: spec(fmt.Sprintf("j-%d", n), func(sp *wire.Spec) {
		sp.Team, sp.Cores, sp.RAM, sp.ExpectedS = "free", 1, 1, runs
		mod(sp)
		if sp.Kind == wire.KindService {
			sp.ExpectedS = 0
		}
	})}
}

// standing makes a job a service of so many replicas.
func standing(replicas int) func(sp *wire.Spec) {
	return func(sp *wire.Spec) { sp.Kind, sp.Tasks, sp.Preemptible = wire.KindService, replicas, false }
}
