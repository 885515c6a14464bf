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

// fact is the most that users were told of a job.
type fact struct {
	sent, accepted, done, cancelled, asked bool
	cancelledAt                            time.Time
	moved                                  time.Time // when it was accepted, or one of its tasks began last
}

// world is a whole platform on virtual time, and what is seen of it from outside.
type world struct {
	t     *testing.T
	s     schedule
	ctx   context.Context
	net   *standin.Network
	state *standin.State
	cloud *standin.Fleet
	began time.Time
	wg    sync.WaitGroup

	mu      sync.Mutex // guards all below
	nodes   []*process
	born    int
	specs   map[string]wire.Spec
	facts   map[string]*fact
	done    map[string]bool
	left    map[string]int
	ended   map[string]chan struct{} // closed when a job's last task is done
	active  map[int]trouble
	lasting map[string]int // troubles of a kind that go on for one node or machine
	hangs   map[*standin.Machine]time.Duration
	muted   map[*standin.Machine]bool
	faulty  map[*standin.Machine]bool
	lines   map[*standin.Machine]*process        // whom a worker has a connection to
	takers  map[string]map[*standin.Machine]bool // machines that took tasks of a job
	first   map[string]time.Time                 // when a task first began
	starts  map[string]time.Time                 // when a task of a team last began
	history []string
	broken  []string
	sorry   map[string]bool // cancelled jobs whose tasks were found too late, told once
}

// boot plays a rented machine.
func (w *world) boot(h wire.Machine, b wire.MachineType) *standin.Machine {
	m := &standin.Machine{Host: h, Build: b, Report: w.s.timing.report, Lease: w.s.timing.lease, Nodes: []string{"node-1", "node-2", "node-3"},
		Beat: w.heartbeat, Ledger: w, Watch: w.s.watch}
	m.Held = func() time.Duration {
		if x, ok := w.troubled(holdCommand); ok {
			w.note("command to %s held up for %v", h.UID, x.by)
			return x.by
		}
		return w.latency("", h.UID)
	}
	m.Again = func() []time.Duration {
		if x, ok := w.troubled(repeatCommand); ok {
			return []time.Duration{10 * time.Millisecond, x.by / 2, x.by}
		}
		return nil
	}
	w.net.Place(h.UID, h.Zone)
	after := time.Second + 400*(w.latency("boot", h.UID)-w.s.slow)
	if w.s.boot > 0 {
		after = w.s.boot
	}
	w.wg.Go(func() {
		time.Sleep(after)
		if w.ctx.Err() != nil {
			return
		}
		w.note("%s is up (%s, loaned %v)", h.UID, h.Zone, h.Preemptible)
		m.Begin(w.ctx)
		stop := w.net.Serve(h.Endpoint, m)
		defer stop()
		m.Run()
	})
	return m
}

// nodeZones are the zones of the controllers: each has one, the third without machines.
var nodeZones = []string{"x", "y", "z"}

// listLag is by how much the cloud's list lags, at times twice as much.
const listLag = 2 * time.Second

// newWorld sets a whole platform up. It ends with ctx.
func newWorld(ctx context.Context, t *testing.T, s schedule) *world {
	if s.timing == (timing{}) {
		s.timing = modelTiming
	}
	w := &world{t: t, s: s, ctx: ctx, net: standin.NewNetwork(), state: standin.NewState(standin.NewSteady()), began: time.Now(),
		specs: map[string]wire.Spec{}, facts: map[string]*fact{}, done: map[string]bool{}, left: map[string]int{},
		ended: map[string]chan struct{}{}, active: map[int]trouble{}, lasting: map[string]int{}, hangs: map[*standin.Machine]time.Duration{},
		muted: map[*standin.Machine]bool{}, faulty: map[*standin.Machine]bool{}, lines: map[*standin.Machine]*process{}, takers: map[string]map[*standin.Machine]bool{}, first: map[string]time.Time{}, starts: map[string]time.Time{}, sorry: map[string]bool{}}
	for i, zone := range nodeZones {
		w.net.Place(fmt.Sprintf("node-%d", i+1), zone)
	}
	w.net.Latency = w.latency
	small := bigBuild
	small.SKU, small.Cores, small.RAM, small.HourlyPrice, small.SpotPrice = "s", 4, 16, 0.5, 0.2
	big := bigBuild
	big.BootS, small.BootS = 2, 2
	big.FetchGBs, small.FetchGBs = 4, 4
	big.CacheGB, small.CacheGB = 100, 100
	w.cloud = &standin.Fleet{Builds: []wire.MachineType{big, small}, Most: 12, Boot: w.boot,
		Told: func(what string) { w.note("cloud: %s", what) }}
	if s.most > 0 {
		w.cloud.Most = s.most
	}
	if s.lag {
		w.cloud.Lag = func() time.Duration {
			return listLag + listLag*time.Duration(w.latency("list", "").Microseconds()%1000)/1000
		}
	}
	w.cloud.Rental = func() (refused bool, late time.Duration) {
		_, refused = w.troubled(refuseRental)
		x, _ := w.troubled(lateRental)
		return refused, x.by
	}
	for _, u := range s.users {
		w.specs[u.spec.UID] = u.spec
		w.left[u.spec.UID] = u.spec.Tasks
		w.ended[u.spec.UID] = make(chan struct{})
		w.facts[u.spec.UID] = &fact{}
	}
	w.net.Queues = s.holds
	w.cloud.Late = func(path string) time.Duration {
		kind := lateHire
		if path == wire.PathReturn {
			kind = lateReturn
		}
		x, ok := w.troubled(kind)
		if ok {
			w.note("cloud: %s in %v", kind, x.by)
		}
		return x.by
	}
	if s.setup != nil {
		s.setup(w)
	}
	return w
}

// play runs the schedule and its quiet tail.
func (w *world) play() {
	// Each process reaches the state service by its own name.
	handlers := map[string]http.Handler{}
	for i := range 3 {
		name := fmt.Sprintf("node-%d", i+1)
		handlers[name] = w.keeper(name)
	}
	stopState := w.net.Serve("state:1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		node, _, _ := strings.Cut(standin.Caller(r), "/")
		handlers[node].ServeHTTP(rw, r)
	}))
	stopCloud := w.net.Serve("cloud:1", w.cloud)
	if first := w.s.leads; first > 0 {
		w.launch(first - 1)
		time.Sleep(time.Second)
	}
	for i := range 3 {
		if i != w.s.leads-1 {
			w.launch(i)
		}
	}
	w.wg.Go(w.watch)
	for i, x := range w.s.troubles {
		w.wg.Go(func() {
			time.Sleep(x.at)
			w.suffer(i, x)
		})
	}
	for _, u := range w.s.users {
		w.wg.Go(func() {
			time.Sleep(u.at)
			w.use(u)
		})
	}
	time.Sleep(w.s.lasts + quietTail)
	w.judge()
	w.mu.Lock()
	all := slices.Clone(w.nodes)
	w.mu.Unlock()
	for _, p := range all {
		p.stop()
	}
	stopState()
	stopCloud()
	w.net.CloseAll()
}

// end stops all that runs, and lets what was under way be given up.
func (w *world) end(cancel func()) {
	cancel()
	w.wg.Wait()
	time.Sleep(10 * time.Second)
	w.net.CloseAll()
	time.Sleep(time.Second)
}

// playOut plays a schedule, and fails for every rule that is broken. After the
// quiet tail it lets after look at the world, which goes on then.
func playOut(t *testing.T, s schedule, after func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(ctx, t, s)
		w.play()
		if after != nil {
			after(w)
		}
		w.end(cancel)
		for _, b := range w.broken {
			t.Error(b)
		}
		if !t.Failed() {
			return
		}
		for _, x := range w.s.troubles {
			t.Log(x)
		}
		t.Logf("history of seed %d:\n%s", s.seed, strings.Join(w.history, "\n"))
	})
}
