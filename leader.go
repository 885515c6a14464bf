package cedardoor

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"cedardoor/agent"
	"cedardoor/clock"
	"cedardoor/cloud"
	"cedardoor/config"
	"cedardoor/connlimit"
	"cedardoor/fleet"
	"cedardoor/lead"
	"cedardoor/metrics"
	"cedardoor/quota"
	"cedardoor/store"
)

// leader is one term of leadership: the control loop, and the components whose state it guards.
// Nothing of it outlives the term: a new leader builds its own from the records and the workers'
// reports.
//
// Only the leader's own methods lock mu, and none of them does I/O under it. A component has no
// lock, does no I/O and never calls another one: it is told the time and what it needs, and
// returns what follows.
type leader struct {
	environment

	term    lead.Term
	wakeups chan struct{} // asks the control loop for a pass

	mu             sync.Mutex      // guards everything below
	ctx            context.Context // the term's, for probes that a heartbeat starts; nil before it runs
	loaded         bool            // the records have been read
	fleet          *fleet.Fleet
	quota          *quota.Ledger // the only count of what teams use
	jobs           jobTable
	writer         stateWriter
	feed           changeFeed
	reconciliation reconciliation
	detector       failureDetector
	attribution    failureAttribution
	autoscaler     autoscaler
	planner        plannerInput
	dispatcher     dispatcher
}

// environment is what a leader is given by its controller: settings, clients, clock and log.
type environment struct {
	cfg      *config.Platform
	operator *config.Operator
	clock    *clock.Clock
	store    *store.Client
	elector  *lead.Elector
	workers  *agent.Client
	cloud    *cloud.Client
	log      *slog.Logger
	metrics  *metrics.Metrics
	budget   connlimit.Budget
}

func newLeader(s *Service, term lead.Term) *leader {
	workers := s.cfg.Facts.Workers
	ledger := s.newLedger(config.TeamLimits(s.cfg.Facts.Teams))
	l := &leader{
		environment: environment{cfg: s.cfg, operator: s.operator, clock: s.clock, store: s.store, elector: s.elector,
			workers: s.workers, cloud: s.cloud, log: s.log, metrics: s.metrics, budget: s.budget},
		term:    term,
		wakeups: make(chan struct{}, 1),
		quota:   ledger,
		fleet:   fleet.New(clock.FromSeconds(workers.LeaseS), clock.FromSeconds(workers.ReportS), term.Token, ledger),

		jobs:           newJobTable(),
		writer:         newStateWriter(),
		feed:           newChangeFeed(),
		reconciliation: newReconciliation(term.Since),
		detector:       newFailureDetector(term.Since),
		attribution:    newFailureAttribution(),
		autoscaler:     newAutoscaler(),
		planner:        newPlannerInput(s.operator, ledger),
		dispatcher:     newDispatcher(),
	}
	l.fleet.OnMachineChange = func(machine *fleet.Machine) { l.planner.changedMachines[machine] = true }
	l.fleet.OnCapacityChange = l.capacityChanged
	l.fleet.DecideOrphan = l.decideOrphan
	l.reconciliation.readRecords, l.reconciliation.checkIsolated = s.readRecords, s.isolated
	return l
}

// wake asks the loop for a pass soon.
func (l *leader) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

// run leads until ctx ends.
func (l *leader) run(ctx context.Context) error {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	epoch, err := l.loadRecords(ctx)
	if err != nil {
		return fmt.Errorf("load records: %w", err)
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.watchJobs(ctx, epoch) })
	wg.Go(func() { l.autoscaleLoop(ctx) })
	wg.Go(func() { l.pauseLoop(ctx) })
	wg.Go(func() { l.orphanLookupLoop(ctx) })
	l.loop(ctx)
	wg.Wait()
	return nil
}

func (l *leader) sleep(ctx context.Context, d clock.Micros) {
	select {
	case <-ctx.Done():
	case <-l.clock.After(d.Duration()):
	}
}
