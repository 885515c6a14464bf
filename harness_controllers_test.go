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

// controllerCount is the number of controllers in a simulation.
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

// stateAddress and cloudAddress are the addresses of the platform's services in a simulation.
const (
	stateAddress = "state:1"
	cloudAddress = "cloud:1"
)

// peerAddress returns the address at which a controller listens for the others.
func peerAddress(controller string) string { return controller + ":90" }

// processName returns the host name on the network of the n-th process of a simulation, which
// belongs to the given controller.
func processName(controller string, n int) string { return fmt.Sprintf("%s/%d", controller, n) }

// controllerProcess is one process of a controller.
type controllerProcess struct {
	*Service
	name    string // of the controller
	stop    func()
	stopped bool
}

// runningProcess returns the running process of a controller, or nil.
func (s *simulation) runningProcess(controller string) *controllerProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, process := range s.processes {
		if process.name == controller && !process.stopped {
			return process
		}
	}
	return nil
}

// leaderIndex returns the index of the controller that leads, or 0 if none does.
func (s *simulation) leaderIndex() int {
	for i, name := range controllerNames() {
		if process := s.runningProcess(name); process != nil {
			if _, ok := process.elector.HoldsLease(); ok {
				return i
			}
		}
	}
	return 0
}

// leadingProcess returns the process of the controller that leads, or of the first controller if
// none does; nil if that controller has no running process.
func (s *simulation) leadingProcess() *controllerProcess {
	return s.runningProcess(controllerName(s.leaderIndex()))
}

// activeLeader returns the leader of the leading process, or nil.
func (s *simulation) activeLeader() *leader {
	if process := s.leadingProcess(); process != nil {
		return process.current.Load()
	}
	return nil
}

// leaderToken returns the fencing token of the leader's term, or 0 if no controller leads.
func (s *simulation) leaderToken() uint64 {
	if leader := s.activeLeader(); leader != nil {
		return leader.term.Token
	}
	return 0
}

// dialMutex guards link.Dial, which concurrent simulations replace.
var dialMutex sync.Mutex

// startController starts a new process of a controller that has none running.
func (s *simulation) startController(index int) {
	s.mu.Lock()
	s.processCount++
	from := processName(controllerName(index), s.processCount)
	s.mu.Unlock()
	cfg := s.controllerConfig(index)
	node := s.newNode(cfg, from)
	if node == nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	process := &controllerProcess{Service: node, name: cfg.Node}
	process.stop = func() {
		s.mu.Lock()
		process.stopped = true
		s.mu.Unlock()
		s.network.SetCut(from, "", true) // a killed process sends nothing
		cancel()
	}
	peers := s.network.Listen(cfg.PeerListen)
	s.wg.Go(func() { peer.Serve(ctx, peers, node.answerPeer, node.log) })
	s.wg.Go(func() { node.elector.Run(ctx, node.serveTerm) })
	s.mu.Lock()
	s.processes = append(s.processes, process)
	s.mu.Unlock()
}

// controllerConfig returns the platform's settings of a controller.
func (s *simulation) controllerConfig(index int) *config.Platform {
	name := controllerName(index)
	cfg := &config.Platform{Node: name, Area: "x", ClientListen: name + ":80", PeerListen: peerAddress(name)}
	cfg.Outside.State, cfg.Outside.Cloud = stateAddress, cloudAddress
	for _, other := range controllerNames() {
		if other != name {
			cfg.Others = append(cfg.Others, config.Node{Node: other, Area: "x", Addr: peerAddress(other)})
		}
	}
	timing := s.schedule.timing
	cfg.Facts = config.Facts{InitialSize: 3, Zones: []string{"x", "y"},
		Teams:   []config.Team{{Name: "free"}, {Name: "tight", CPUsMax: tightLimit}},
		Workers: config.Workers{ReportS: timing.report.Seconds(), LeaseS: timing.lease.Seconds(), CancelS: timing.cancel.Seconds()},
		State:   config.State{RPS: 2000, WriteRPS: 1000, ValueKB: 8, TxnOps: 24, Next: s.schedule.announced},
		Cloud:   config.Cloud{RPS: 100, ListLagS: 2},
		Limits:  config.Limits{CoreShare: 1, MemMB: 200, FDLimit: 500}}
	for _, team := range slices.Sorted(maps.Keys(s.schedule.limits)) {
		cfg.Facts.Teams = append(cfg.Facts.Teams, config.Team{Name: team, CPUsMax: s.schedule.limits[team], CPUs: s.schedule.guarantees[team]})
	}
	return cfg
}

// newNode returns a controller that dials from the given host name, or nil if its creation failed.
func (s *simulation) newNode(cfg *config.Platform, from string) *Service {
	operator, err := config.LoadOperator("")
	if err != nil {
		s.t.Error(err)
		return nil
	}
	dialMutex.Lock()
	realDial := link.Dial
	link.Dial = s.network.Dialer(from)
	node := newService(cfg, operator, slog.New(slog.NewTextHandler(io.Discard, nil)), clock.New(standin.NewSynctestClock()))
	link.Dial = realDial
	dialMutex.Unlock()
	if s.schedule.newLedger != nil {
		node.newLedger = s.schedule.newLedger
	}
	if s.schedule.alterRecords != nil {
		node.readRecords = func(ctx context.Context, source recovery.Source) (*recovery.Records, error) {
			records, err := recovery.Read(ctx, source)
			if err == nil {
				s.schedule.alterRecords(records)
			}
			return records, err
		}
	}
	node.router.Post(wire.PathHeartbeat, agent.ServeHeartbeat(node, func() bool { return false }))
	return node
}
