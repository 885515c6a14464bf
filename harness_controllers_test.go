package cedardoor

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"

	"cedardoor/agent"
	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/internal/link"
	"cedardoor/internal/standin"
	"cedardoor/peer"
	"cedardoor/recovery"
	"cedardoor/wire"
)

// controllerCount is how many controllers a simulation has.
const controllerCount = 3

// controllerName returns the name of a controller by its index.
func controllerName(index int) string { return fmt.Sprintf("node-%d", index+1) }

// controllerNames returns the names of all controllers.
func controllerNames() (names []string) {
	for i := range controllerCount {
		names = append(names, controllerName(i))
	}
	return names
}

// controllerProcess is one process of a controller.
type controllerProcess struct {
	*Service
	name    string
	stop    func()
	stopped bool
}

// runningProcess gives the process that a controller runs, if any.
func (w *simulation) runningProcess(name string) *controllerProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, process := range w.processes {
		if process.name == name && !process.stopped {
			return process
		}
	}
	return nil
}

// leaderIndex is the place of the controller that leads, or 0.
func (w *simulation) leaderIndex() int {
	for i := range 3 {
		if process := w.runningProcess(controllerName(i)); process != nil {
			if _, ok := process.elector.HoldsLease(); ok {
				return i
			}
		}
	}
	return 0
}

// leaderToken is what the leader was given when it took the lead, or 0.
func (w *simulation) leaderToken() uint64 {
	if process := w.runningProcess(controllerName(w.leaderIndex())); process != nil {
		if leader := process.current.Load(); leader != nil {
			return leader.term.Token
		}
	}
	return 0
}

// dialMutex keeps meetings that are played at the same time from taking each other's network.
var dialMutex sync.Mutex

// startController starts a controller as a new process, in the place of an earlier one.
func (w *simulation) startController(i int) {
	name := controllerName(i)
	w.mu.Lock()
	w.processCount++
	from := fmt.Sprintf("%s/%d", name, w.processCount)
	w.mu.Unlock()
	cfg := &config.Platform{Node: name, Area: "x", ClientListen: name + ":80", Back: name + ":90"}
	cfg.Outside.State, cfg.Outside.Cloud = "state:1", "cloud:1"
	for o := range 3 {
		if o != i {
			other := controllerName(o)
			cfg.Others = append(cfg.Others, config.Node{Node: other, Area: "x", Addr: other + ":90"})
		}
	}
	cfg.Facts = config.Facts{InitialSize: 3, Zones: []string{"x", "y"},
		Teams:   []config.Team{{Name: "free"}, {Name: "tight", CPUsMax: tightLimit}},
		Workers: config.Workers{ReportS: w.schedule.timing.report.Seconds(), LeaseS: w.schedule.timing.lease.Seconds(), CancelS: w.schedule.timing.cancel.Seconds()},
		State:   config.State{RPS: 2000, WriteRPS: 1000, ValueKB: 8, TxnOps: 24},
		Cloud:   config.Cloud{RPS: 100, ListLagS: 2},
		Limits:  config.Limits{CoreShare: 1, MemMB: 200, FDLimit: 500}}
	for _, team := range slices.Sorted(maps.Keys(w.schedule.limits)) {
		cfg.Facts.Teams = append(cfg.Facts.Teams, config.Team{Name: team, CPUsMax: w.schedule.limits[team], CPUs: w.schedule.guarantees[team]})
	}
	operator, err := config.LoadOperator("")
	if err != nil {
		w.t.Error(err)
		return
	}
	dialMutex.Lock()
	realDial := link.Dial
	link.Dial = w.network.Dialer(from)
	node := newService(cfg, operator, slog.New(slog.NewTextHandler(io.Discard, nil)), clock.New(standin.NewSynctestClock()))
	link.Dial = realDial
	dialMutex.Unlock()
	if w.schedule.newLedger != nil {
		node.newLedger = w.schedule.newLedger
	}
	if w.schedule.alterRecords != nil {
		node.readRecords = func(ctx context.Context, source recovery.Source) (*recovery.Records, error) {
			records, err := recovery.Read(ctx, source)
			if err == nil {
				w.schedule.alterRecords(records)
			}
			return records, err
		}
	}
	node.router.Post(wire.PathHeartbeat, agent.ServeHeartbeat(node, func() bool { return false }))
	ctx, cancel := context.WithCancel(w.ctx)
	process := &controllerProcess{Service: node, name: name}
	process.stop = func() {
		w.mu.Lock()
		process.stopped = true
		w.mu.Unlock()
		w.network.SetCut(from, "", true) // it says nothing more, also no farewell
		cancel()
	}
	back := w.network.Listen(cfg.Back)
	w.wg.Go(func() { peer.Serve(ctx, back, node.answerPeer, node.log) })
	w.wg.Go(func() { node.elector.Run(ctx, node.serveTerm) })
	w.mu.Lock()
	w.processes = append(w.processes, process)
	w.mu.Unlock()
}
