package cedardoor

import (
	"context"
	"fmt"
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

// simulation is a whole platform on virtual time, and what is seen of it from outside.
type simulation struct {
	t         *testing.T
	schedule  faultSchedule
	ctx       context.Context
	network   *standin.Network
	state     *standin.State
	cloud     *standin.Fleet
	startedAt time.Time
	wg        sync.WaitGroup

	mu              sync.Mutex // guards all below
	processes       []*controllerProcess
	processCount    int
	specs           map[string]wire.Spec
	views           map[string]*jobView
	doneTasks       map[string]bool
	remainingTasks  map[string]int
	allTasksDone    map[string]chan struct{} // closed when a job's last task is done
	activeFaults    map[int]scheduledFault
	faultCounts     map[string]int // troubles of a kind that go on for one node or machine
	hangTimes       map[*standin.Machine]time.Duration
	unreachableFrom map[*standin.Machine]bool
	failingMachines map[*standin.Machine]bool
	connections     map[*standin.Machine]*controllerProcess // whom a worker has a connection to
	acceptedBy      map[string]map[*standin.Machine]bool    // machines that took tasks of a job
	firstStarts     map[string]time.Time                    // when a task first began
	lastTeamStarts  map[string]time.Time                    // when a task of a team last began
	history         []string
	violations      []string
	reportedLate    map[string]bool // cancelled jobs whose tasks were found too late, told once
}

// bootMachine plays a rented machine.
func (w *simulation) bootMachine(host wire.Machine, b wire.MachineType) *standin.Machine {
	machine := &standin.Machine{Host: host, Build: b, Report: w.schedule.timing.report, Lease: w.schedule.timing.lease, Nodes: []string{"node-1", "node-2", "node-3"},
		Beat: w.sendHeartbeat, Ledger: w, Watch: w.schedule.onEvent}
	machine.Held = func() time.Duration {
		if fault, ok := w.activeFault(commandsDelayed); ok {
			w.logf("command to %s held up for %v", host.UID, fault.delay)
			return fault.delay
		}
		return w.latency("", host.UID)
	}
	machine.Again = func() []time.Duration {
		if fault, ok := w.activeFault(commandsRepeated); ok {
			return []time.Duration{10 * time.Millisecond, fault.delay / 2, fault.delay}
		}
		return nil
	}
	w.network.Place(host.UID, host.Zone)
	after := time.Second + 400*(w.latency("boot", host.UID)-w.schedule.extraLatency)
	if w.schedule.bootTime > 0 {
		after = w.schedule.bootTime
	}
	w.wg.Go(func() {
		time.Sleep(after)
		if w.ctx.Err() != nil {
			return
		}
		w.logf("%s is up (%s, loaned %v)", host.UID, host.Zone, host.Preemptible)
		machine.Begin(w.ctx)
		stop := w.network.Serve(host.Endpoint, machine)
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
	sim := &simulation{t: t, schedule: schedule, ctx: ctx, network: standin.NewNetwork(), state: standin.NewState(standin.NewSteady()), startedAt: time.Now(),
		specs: map[string]wire.Spec{}, views: map[string]*jobView{}, doneTasks: map[string]bool{}, remainingTasks: map[string]int{},
		allTasksDone: map[string]chan struct{}{}, activeFaults: map[int]scheduledFault{}, faultCounts: map[string]int{}, hangTimes: map[*standin.Machine]time.Duration{},
		unreachableFrom: map[*standin.Machine]bool{}, failingMachines: map[*standin.Machine]bool{}, connections: map[*standin.Machine]*controllerProcess{}, acceptedBy: map[string]map[*standin.Machine]bool{}, firstStarts: map[string]time.Time{}, lastTeamStarts: map[string]time.Time{}, reportedLate: map[string]bool{}}
	for i, zone := range controllerZones {
		sim.network.Place(fmt.Sprintf("node-%d", i+1), zone)
	}
	sim.network.Latency = sim.latency
	small := largeMachineType
	small.SKU, small.Cores, small.RAM, small.HourlyPrice, small.SpotPrice = "s", 4, 16, 0.5, 0.2
	big := largeMachineType
	big.BootS, small.BootS = 2, 2
	big.FetchGBs, small.FetchGBs = 4, 4
	big.CacheGB, small.CacheGB = 100, 100
	sim.cloud = &standin.Fleet{Builds: []wire.MachineType{big, small}, Most: 12, Boot: sim.bootMachine,
		Told: func(what string) { sim.logf("cloud: %s", what) }}
	if schedule.maxMachines > 0 {
		sim.cloud.Most = schedule.maxMachines
	}
	if schedule.listLags {
		sim.cloud.Lag = func() time.Duration {
			return listLag + listLag*time.Duration(sim.latency("list", "").Microseconds()%1000)/1000
		}
	}
	sim.cloud.Rental = func() (refused bool, late time.Duration) {
		_, refused = sim.activeFault(rentalsRefused)
		fault, _ := sim.activeFault(rentalAnswersDelayed)
		return refused, fault.delay
	}
	for _, submission := range schedule.submissions {
		sim.specs[submission.spec.UID] = submission.spec
		sim.remainingTasks[submission.spec.UID] = submission.spec.Tasks
		sim.allTasksDone[submission.spec.UID] = make(chan struct{})
		sim.views[submission.spec.UID] = &jobView{}
	}
	sim.network.Queues = schedule.buffersMessages
	sim.cloud.Late = func(path string) time.Duration {
		kind := rentalsDelayed
		if path == wire.PathReturn {
			kind = returnsDelayed
		}
		fault, ok := sim.activeFault(kind)
		if ok {
			sim.logf("cloud: %s in %v", kind, fault.delay)
		}
		return fault.delay
	}
	if schedule.setup != nil {
		schedule.setup(sim)
	}
	return sim
}

// run runs the schedule and its quiet tail.
func (w *simulation) run() {
	// Each process reaches the state service by its own name.
	handlers := map[string]http.Handler{}
	for i := range 3 {
		name := fmt.Sprintf("node-%d", i+1)
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
