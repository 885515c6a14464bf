package cedardoor

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/wire"
)

// jobView is the most that users were told of a job.
type jobView struct {
	submitted, accepted, done, cancelled, cancelRequested bool
	cancelledAt                                           time.Time
	lastProgress                                          time.Time // when it was accepted, or one of its tasks began last
}

// simulation is a whole platform on virtual time, and what is observed of it from outside.
type simulation struct {
	t         *testing.T
	schedule  faultSchedule
	ctx       context.Context
	network   *standin.Network
	state     *standin.State
	cloud     *standin.SimulatedCloud
	startedAt time.Time
	wg        sync.WaitGroup

	mu           sync.Mutex // guards the fields below
	processes    []*controllerProcess
	processCount int
	connections  map[*standin.Machine]*controllerProcess // that workers have open, where messages can be held
	observed     observations
	injected     injectedFaults
	history      []string
	violations   []string
}

// observations is what users and machines have observed of jobs. Tasks are keyed by their
// names, all else by jobs unless it says otherwise.
type observations struct {
	specs          map[string]wire.Spec
	views          map[string]*jobView
	doneTasks      map[string]bool
	remainingTasks map[string]int
	allTasksDone   map[string]chan struct{}             // closed when a job's last task is done
	acceptedBy     map[string]map[*standin.Machine]bool // machines that accepted tasks of a job
	firstStarts    map[string]time.Time                 // of tasks
	lastTeamStarts map[string]time.Time                 // of a team's tasks
	reportedLate   map[string]bool                      // tasks for which a late cancellation is a violation already
}

// newObservations returns observations of the jobs that users are going to submit.
func newObservations(submissions []scheduledSubmission) observations {
	observed := observations{specs: map[string]wire.Spec{}, views: map[string]*jobView{}, doneTasks: map[string]bool{}, remainingTasks: map[string]int{},
		allTasksDone: map[string]chan struct{}{}, acceptedBy: map[string]map[*standin.Machine]bool{}, firstStarts: map[string]time.Time{},
		lastTeamStarts: map[string]time.Time{}, reportedLate: map[string]bool{}}
	for _, submission := range submissions {
		uid := submission.spec.UID
		observed.specs[uid] = submission.spec
		observed.remainingTasks[uid] = submission.spec.Tasks
		observed.allTasksDone[uid] = make(chan struct{})
		observed.views[uid] = &jobView{}
	}
	return observed
}

// injectedFaults is what faults do at the moment, or have done.
type injectedFaults struct {
	active       map[int]scheduledFault
	counts       map[string]int // of active faults of a kind on the same controller or machine
	hangTimes    map[*standin.Machine]time.Duration
	sendsNothing map[*standin.Machine]bool
	failsTasks   map[*standin.Machine]bool
}

func newInjectedFaults() injectedFaults {
	return injectedFaults{active: map[int]scheduledFault{}, counts: map[string]int{}, hangTimes: map[*standin.Machine]time.Duration{},
		sendsNothing: map[*standin.Machine]bool{}, failsTasks: map[*standin.Machine]bool{}}
}

// bootMachine boots a rented machine and runs it until it is removed.
func (w *simulation) bootMachine(info wire.Machine, machineType wire.MachineType) *standin.Machine {
	machine := &standin.Machine{MachineConfig: standin.MachineConfig{Info: info, Type: machineType, ReportInterval: w.schedule.timing.report,
		LeaseTime: w.schedule.timing.lease, Controllers: controllerNames(), SendHeartbeat: w.sendHeartbeat, Observer: w, OnEvent: w.schedule.onEvent}}
	machine.CommandDelay = func() time.Duration {
		if fault, ok := w.activeFault(commandsDelayed); ok {
			w.logf("command to %s delayed by %v", info.UID, fault.delay)
			return fault.delay
		}
		return w.latency("", info.UID)
	}
	machine.CommandRepeats = func() []time.Duration {
		if fault, ok := w.activeFault(commandsRepeated); ok {
			return []time.Duration{10 * time.Millisecond, fault.delay / 2, fault.delay}
		}
		return nil
	}
	w.network.Place(info.UID, info.Zone)
	after := time.Second + 400*(w.latency("boot", info.UID)-w.schedule.extraLatency)
	if w.schedule.bootTime > 0 {
		after = w.schedule.bootTime
	}
	w.wg.Go(func() {
		time.Sleep(after)
		if w.ctx.Err() != nil {
			return
		}
		w.logf("%s is up (%s, preemptible %v)", info.UID, info.Zone, info.Preemptible)
		machine.Boot(w.ctx)
		stop := w.network.Serve(info.Endpoint, machine)
		defer stop()
		machine.Run()
	})
	return machine
}

// controllerZones are the zones of the controllers: each has one, the third without machines.
var controllerZones = []string{"x", "y", "z"}

// listLag is by how much the cloud's list lags, at times twice as much.
const listLag = 2 * time.Second

// newSimulation sets a whole platform up. It ends with ctx.
func newSimulation(ctx context.Context, t *testing.T, schedule faultSchedule) *simulation {
	if schedule.timing == (workerTiming{}) {
		schedule.timing = defaultTiming
	}
	sim := &simulation{t: t, schedule: schedule, ctx: ctx, network: standin.NewNetwork(), state: standin.NewState(standin.NewSynctestClock()),
		startedAt: time.Now(), connections: map[*standin.Machine]*controllerProcess{}, observed: newObservations(schedule.submissions), injected: newInjectedFaults()}
	for i, zone := range controllerZones {
		sim.network.Place(controllerName(i), zone)
	}
	sim.network.Latency = sim.latency
	sim.network.Buffers = schedule.buffersMessages
	sim.cloud = sim.newCloud()
	if schedule.setup != nil {
		schedule.setup(sim)
	}
	return sim
}

// newCloud returns the simulation's cloud, with the faults of its schedule.
func (w *simulation) newCloud() *standin.SimulatedCloud {
	small := smallMachineType()
	large := largeMachineType
	large.BootS, large.FetchGBs, large.CacheGB = 2, 4, 100
	cloud := &standin.SimulatedCloud{MachineTypes: []wire.MachineType{large, small}, MaxMachines: 12, BootMachine: w.bootMachine,
		OnChange: func(what string) { w.logf("cloud: %s", what) }}
	if w.schedule.maxMachines > 0 {
		cloud.MaxMachines = w.schedule.maxMachines
	}
	if w.schedule.listLags {
		cloud.ListLag = func() time.Duration {
			return listLag + listLag*time.Duration(w.latency("list", "").Microseconds()%1000)/1000
		}
	}
	cloud.RentalFault = func() (refused bool, delay time.Duration) {
		_, refused = w.activeFault(rentalsRefused)
		fault, _ := w.activeFault(rentalAnswersDelayed)
		return refused, fault.delay
	}
	cloud.ExecutionDelay = func(path string) time.Duration {
		kind := rentalsDelayed
		if path == wire.PathReturn {
			kind = returnsDelayed
		}
		fault, ok := w.activeFault(kind)
		if ok {
			w.logf("cloud: %s in %v", kind, fault.delay)
		}
		return fault.delay
	}
	return cloud
}

// smallMachineType is a machine type with half the cores of largeMachineType.
func smallMachineType() wire.MachineType {
	small := largeMachineType
	small.SKU, small.Cores, small.RAM, small.HourlyPrice, small.SpotPrice = "s", 4, 16, 0.5, 0.2
	small.BootS, small.FetchGBs, small.CacheGB = 2, 4, 100
	return small
}

// run runs the schedule and its quiet tail.
func (w *simulation) run() {
	// Each process reaches the state service by its own name.
	handlers := map[string]http.Handler{}
	for i := range 3 {
		name := controllerName(i)
		handlers[name] = w.stateService(name)
	}
	stopState := w.network.Serve("state:1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		node, _, _ := strings.Cut(standin.Caller(r), "/")
		handlers[node].ServeHTTP(rw, r)
	}))
	stopCloud := w.network.Serve("cloud:1", w.cloud)
	if first := w.schedule.firstLeader; first > 0 {
		w.startController(first - 1)
		time.Sleep(time.Second)
	}
	for i := range 3 {
		if i != w.schedule.firstLeader-1 {
			w.startController(i)
		}
	}
	w.wg.Go(w.monitor)
	for i, fault := range w.schedule.faults {
		w.wg.Go(func() {
			time.Sleep(fault.at)
			w.injectFault(i, fault)
		})
	}
	for _, submission := range w.schedule.submissions {
		w.wg.Go(func() {
			time.Sleep(submission.after)
			w.playUser(submission)
		})
	}
	time.Sleep(w.schedule.duration + faultFreeTail)
	w.checkFinalState()
	w.mu.Lock()
	all := slices.Clone(w.processes)
	w.mu.Unlock()
	for _, process := range all {
		process.stop()
	}
	stopState()
	stopCloud()
	w.network.CloseAll()
}

// shutDown stops all that runs, and lets what was under way be given up.
func (w *simulation) shutDown(cancel func()) {
	cancel()
	w.wg.Wait()
	time.Sleep(10 * time.Second)
	w.network.CloseAll()
	time.Sleep(time.Second)
}

// playSchedule plays a schedule, and fails for every rule that is broken. After the
// quiet tail it lets after look at the world, which goes on then.
func playSchedule(t *testing.T, schedule faultSchedule, after func(sim *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := newSimulation(ctx, t, schedule)
		sim.run()
		if after != nil {
			after(sim)
		}
		sim.shutDown(cancel)
		for _, b := range sim.violations {
			t.Error(b)
		}
		if !t.Failed() {
			return
		}
		for _, fault := range sim.schedule.faults {
			t.Log(fault)
		}
		t.Logf("history of seed %d:\n%s", schedule.seed, strings.Join(sim.history, "\n"))
	})
}
