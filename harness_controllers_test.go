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

// process is one process of a controller.
type process struct {
	*Service
	name string
	stop func()
	dead bool
}

// running gives the process that a controller runs, if any.
func (w *world) running(name string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.nodes {
		if p.name == name && !p.dead {
			return p
		}
	}
	return nil
}

// leader is the place of the controller that leads, or 0.
func (w *world) leader() int {
	for i := range 3 {
		if p := w.running(fmt.Sprintf("node-%d", i+1)); p != nil {
			if _, ok := p.elector.HoldsLease(); ok {
				return i
			}
		}
	}
	return 0
}

// token is what the leader was given when it took the lead, or 0.
func (w *world) token() uint64 {
	if p := w.running(fmt.Sprintf("node-%d", w.leader()+1)); p != nil {
		if l := p.current.Load(); l != nil {
			return l.term.Token
		}
	}
	return 0
}

// dialMu keeps meetings that are played at the same time from taking each other's network.
var dialMu sync.Mutex

// launch starts a controller as a new process, in the place of an earlier one.
func (w *world) launch(i int) {
	name := fmt.Sprintf("node-%d", i+1)
	w.mu.Lock()
	w.born++
	from := fmt.Sprintf("%s/%d", name, w.born)
	w.mu.Unlock()
	cfg := &config.Platform{Node: name, Area: "x", ClientListen: name + ":80", Back: name + ":90"}
	cfg.Outside.State, cfg.Outside.Cloud = "state:1", "cloud:1"
	for o := range 3 {
		if o != i {
			other := fmt.Sprintf("node-%d", o+1)
			cfg.Others = append(cfg.Others, config.Node{Node: other, Area: "x", Addr: other + ":90"})
		}
	}
	cfg.Facts = config.Facts{InitialSize: 3, Zones: []string{"x", "y"},
		Teams:   []config.Team{{Name: "free"}, {Name: "tight", CPUsMax: tightLimit}},
		Workers: config.Workers{ReportS: w.s.timing.report.Seconds(), LeaseS: w.s.timing.lease.Seconds(), CancelS: w.s.timing.cancel.Seconds()},
		State:   config.State{RPS: 2000, WriteRPS: 1000, ValueKB: 8, TxnOps: 24},
		Cloud:   config.Cloud{RPS: 100, ListLagS: 2},
		Limits:  config.Limits{CoreShare: 1, MemMB: 200, FDLimit: 500}}
	for _, team := range slices.Sorted(maps.Keys(w.s.limits)) {
		cfg.Facts.Teams = append(cfg.Facts.Teams, config.Team{Name: team, CPUsMax: w.s.limits[team], CPUs: w.s.floors[team]})
	}
	operator, err := config.LoadOperator("")
	if err != nil {
		w.t.Error(err)
		return
	}
	dialMu.Lock()
	realDial := link.Dial
	link.Dial = w.net.Dialer(from)
	n := newService(cfg, operator, slog.New(slog.NewTextHandler(io.Discard, nil)), clock.New(standin.NewSteady()))
	link.Dial = realDial
	dialMu.Unlock()
	if w.s.ledger != nil {
		n.newLedger = w.s.ledger
	}
	if w.s.lose != nil {
		n.readRecords = func(ctx context.Context, source recovery.Source) (*recovery.Records, error) {
			records, err := recovery.Read(ctx, source)
			if err == nil {
				w.s.lose(records)
			}
			return records, err
		}
	}
	n.router.Post(wire.PathHeartbeat, agent.ServeHeartbeat(n, func() bool { return false }))
	ctx, cancel := context.WithCancel(w.ctx)
	p := &process{Service: n, name: name}
	p.stop = func() {
		w.mu.Lock()
		p.dead = true
		w.mu.Unlock()
		w.net.SetCut(from, "", true) // it says nothing more, also no farewell
		cancel()
	}
	back := w.net.Listen(cfg.Back)
	w.wg.Go(func() { peer.Serve(ctx, back, n.answerPeer, n.log) })
	w.wg.Go(func() { n.elector.Run(ctx, n.serveTerm) })
	w.mu.Lock()
	w.nodes = append(w.nodes, p)
	w.mu.Unlock()
}
