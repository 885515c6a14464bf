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
	cancelledAt                            time.Time
	lastProgress                                  time.Time // when it was accepted, or one of its tasks began last
}

// simulation is a whole platform on virtual time, and what is seen of it from outside.
type simulation struct {
	t     *testing.T
	schedule     schedule
	ctx   context.Context
	network   *standin.Network
	state *standin.State
	cloud *standin.Fleet
	startedAt time.Time
	wg    sync.WaitGroup

	mu      sync.Mutex // guards all below
	processes   []*process
	processCount    int
	specs   map[string]wire.Spec
	views   map[string]*jobView
	doneTasks    map[string]bool
	remainingTasks    map[string]int
	allTasksDone   map[string]chan struct{} // closed when a job's last task is done
	activeFaults  map[int]fault
	faultCounts map[string]int // troubles of a kind that go on for one node or machine
	hangTimes   map[*standin.Machine]time.Duration
	unreachableFrom   map[*standin.Machine]bool
	failingMachines  map[*standin.Machine]bool
	connections   map[*standin.Machine]*process        // whom a worker has a connection to
	acceptedBy  map[string]map[*standin.Machine]bool // machines that took tasks of a job
	firstStarts   map[string]time.Time                 // when a task first began
	lastTeamStarts  map[string]time.Time                 // when a task of a team last began
	history []string
	violations  []string
	reportedLate   map[string]bool // cancelled jobs whose tasks were found too late, told once
}

// bootMachine plays a rented machine.
func (w *simulation) bootMachine(h wire.Machine, b wire.MachineType) *standin.Machine {
	m := &standin.Machine{Host: h, Build: b, Report: w.schedule.timing.report, Lease: w.schedule.timing.lease, Nodes: []string{"node-1", "node-2", "node-3"},
		Beat: w.sendHeartbeat, Ledger: w, Watch: w.schedule.onEvent}
	m.Held = func() time.Duration {
		if x, ok := w.activeFault(commandsDelayed); ok {
			w.logf("command to %s held up for %v", h.UID, x.delay)
			return x.delay
		}
		return w.latency("", h.UID)
	}
	m.Again = func() []time.Duration {
		if x, ok := w.activeFault(commandsRepeated); ok {
			return []time.Duration{10 * time.Millisecond, x.delay / 2, x.delay}
		}
		return nil
	}
	w.network.Place(h.UID, h.Zone)
	after := time.Second + 400*(w.latency("boot", h.UID)-w.schedule.extraLatency)
	if w.schedule.bootTime > 0 {
		after = w.schedule.bootTime
	}
	w.wg.Go(func() {
		time.Sleep(after)
		if w.ctx.Err() != nil {
			return
		}
		w.logf("%s is up (%s, loaned %v)", h.UID, h.Zone, h.Preemptible)
		m.Begin(w.ctx)
		stop := w.network.Serve(h.Endpoint, m)
		defer stop()
		m.Run()
	})
	return m
}

// controllerZones are the zones of the controllers: each has one, the third without machines.
var controllerZones = []string{"x", "y", "z"}

// listLag is by how much the cloud's list lags, at times twice as much.
const listLag = 2 * time.Second

// newSimulation sets a whole platform up. It ends with ctx.
func newSimulation(ctx context.Context, t *testing.T, s schedule) *simulation {
	if s.timing == (workerTiming{}) {
		s.timing = defaultTiming
	}
	w := &simulation{t: t, schedule: s, ctx: ctx, network: standin.NewNetwork(), state: standin.NewState(standin.NewSteady()), startedAt: time.Now(),
		specs: map[string]wire.Spec{}, views: map[string]*jobView{}, doneTasks: map[string]bool{}, remainingTasks: map[string]int{},
		allTasksDone: map[string]chan struct{}{}, activeFaults: map[int]fault{}, faultCounts: map[string]int{}, hangTimes: map[*standin.Machine]time.Duration{},
		unreachableFrom: map[*standin.Machine]bool{}, failingMachines: map[*standin.Machine]bool{}, connections: map[*standin.Machine]*process{}, acceptedBy: map[string]map[*standin.Machine]bool{}, firstStarts: map[string]time.Time{}, lastTeamStarts: map[string]time.Time{}, reportedLate: map[string]bool{}}
	for i, zone := range controllerZones {
		w.network.Place(fmt.Sprintf("node-%d", i+1), zone)
	}
	w.network.Latency = w.latency
	small := largeMachineType
	small.SKU, small.Cores, small.RAM, small.HourlyPrice, small.SpotPrice = "s", 4, 16, 0.5, 0.2
	big := largeMachineType
	big.BootS, small.BootS = 2, 2
	big.FetchGBs, small.FetchGBs = 4, 4
	big.CacheGB, small.CacheGB = 100, 100
	w.cloud = &standin.Fleet{Builds: []wire.MachineType{big, small}, Most: 12, Boot: w.bootMachine,
		Told: func(what string) { w.logf("cloud: %s", what) }}
	if s.maxMachines > 0 {
		w.cloud.Most = s.maxMachines
	}
	if s.listLags {
		w.cloud.Lag = func() time.Duration {
			return listLag + listLag*time.Duration(w.latency("list", "").Microseconds()%1000)/1000
		}
	}
	w.cloud.Rental = func() (refused bool, late time.Duration) {
		_, refused = w.activeFault(rentalsRefused)
		x, _ := w.activeFault(rentalAnswersDelayed)
		return refused, x.delay
	}
	for _, u := range s.submissions {
		w.specs[u.spec.UID] = u.spec
		w.remainingTasks[u.spec.UID] = u.spec.Tasks
		w.allTasksDone[u.spec.UID] = make(chan struct{})
		w.views[u.spec.UID] = &jobView{}
	}
	w.network.Queues = s.buffersMessages
	w.cloud.Late = func(path string) time.Duration {
		kind := rentalsDelayed
		if path == wire.PathReturn {
			kind = returnsDelayed
		}
		x, ok := w.activeFault(kind)
		if ok {
			w.logf("cloud: %s in %v", kind, x.delay)
		}
		return x.delay
	}
	if s.setup != nil {
		s.setup(w)
	}
	return w
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
	for i, x := range w.schedule.faults {
		w.wg.Go(func() {
			time.Sleep(x.at)
			w.injectFault(i, x)
		})
	}
	for _, u := range w.schedule.submissions {
		w.wg.Go(func() {
			time.Sleep(u.after)
			w.playUser(u)
		})
	}
	time.Sleep(w.schedule.duration + faultFreeTail)
	w.checkFinalState()
	w.mu.Lock()
	all := slices.Clone(w.processes)
	w.mu.Unlock()
	for _, p := range all {
		p.stop()
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
func playSchedule(t *testing.T, s schedule, after func(w *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newSimulation(ctx, t, s)
		w.run()
		if after != nil {
			after(w)
		}
		w.shutDown(cancel)
		for _, b := range w.violations {
			t.Error(b)
		}
		if !t.Failed() {
			return
		}
		for _, x := range w.schedule.faults {
			t.Log(x)
		}
		t.Logf("history of seed %d:\n%s", s.seed, strings.Join(w.history, "\n"))
	})
}
