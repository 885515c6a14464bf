package cedardoor

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"cedardoor/agent"
	"cedardoor/attribution"
	"cedardoor/autoscaler"
	"cedardoor/changefeed"
	"cedardoor/clock"
	"cedardoor/cloud"
	"cedardoor/config"
	"cedardoor/connlimit"
	"cedardoor/detector"
	"cedardoor/dispatcher"
	"cedardoor/election"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/metrics"
	"cedardoor/planinput"
	"cedardoor/quota"
	"cedardoor/reconciliation"
	"cedardoor/recovery"
	"cedardoor/statewriter"
	"cedardoor/store"
)

// leader runs one term of leadership: the control loop, and the components whose state its lock
// guards. No state is carried over to the next term: a new leader rebuilds its own from the
// records and the workers' reports.
//
// Only the leader's own methods lock mu, and none of them does I/O while holding it. A component
// has no lock and does no I/O: it receives the current time and its input as arguments, and
// returns what the leader is to do. The caller of a method that takes now must hold mu.
type leader struct {
	environment

	term    election.Term
	wakeups chan struct{} // requests a pass of the control loop

	mu              sync.Mutex      // guards everything below
	ctx             context.Context // the term's, for probes started by a heartbeat; set by run
	loaded          bool            // the records have been read
	catalogRevision uint64          // of the stored machine types; zero if none are stored
	values          recordedValues
	fleet           *fleet.Fleet
	quota           *quota.Ledger // the only account of the teams' usage
	jobs            *jobs.Table
	writer          *statewriter.Writer
	feed            *changefeed.Feed
	reconciler      *reconciliation.Reconciler
	detector        *detector.Detector
	attribution     *attribution.Tracker
	autoscaler      *autoscaler.Autoscaler
	planInput       *planinput.Input
	dispatcher      *dispatcher.Dispatcher
}

// environment holds the dependencies that a controller shares with its terms as leader.
type environment struct {
	cfg      *config.Platform
	operator *config.Operator
	clock    *clock.Clock
	store    *store.Client
	elector  *election.Elector
	workers  *agent.Client
	cloud    *cloud.Client
	log      *slog.Logger
	metrics  *metrics.Metrics
	budget   connlimit.Budget
	// readRecords reads the records of earlier leaders; tests replace it.
	readRecords func(ctx context.Context, source recovery.Source) (*recovery.Records, error)
	// isolated reports whether no other controller answers.
	isolated func(ctx context.Context) bool
}

func newLeader(s *Service, term election.Term) *leader {
	ledger := s.newLedger(config.TeamLimits(s.cfg.Facts.Teams))
	l := &leader{
		environment: s.environment,
		term:        term,
		wakeups:     make(chan struct{}, 1),
		quota:       ledger,
		jobs:        jobs.NewTable(),
	}
	l.fleet = fleet.New(l.workerLease(), l.reportInterval(), term.Token, ledger)
	l.addComponents()
	l.fleet.OnMachineChange = l.planInput.MachineChanged
	l.fleet.OnCapacityChange = l.jobs.CapacityChanged
	l.fleet.DecideOrphan = l.reconciler.DecideOrphan
	return l
}

// addComponents creates the components of a new term.
func (l *leader) addComponents() {
	facts, since := &l.cfg.Facts, l.term.Since
	l.feed = changefeed.New(l.maxUnsynced())
	l.writer = statewriter.New(l.term.Revision, facts.State, func(job *jobs.Job) bool { return l.reconciler.HasUnreadable(job) })
	l.attribution = attribution.NewTracker(l.fleet, l.log)
	l.dispatcher = dispatcher.New(l.fleet, l.budget.Commands, l.workerLease(), since)
	l.planInput = planinput.New(planinput.Settings{Facts: facts, Operator: l.operator, Fleet: l.fleet, Quota: l.quota, Log: l.log})
	l.detector = detector.New(detector.Settings{Fleet: l.fleet, ReportInterval: l.reportInterval(), TermStart: since,
		MaxProbes: l.budget.Probes, Log: l.log})
	l.autoscaler = autoscaler.New(autoscaler.Settings{Facts: facts, Operator: l.operator, Fleet: l.fleet, Quota: l.quota,
		Token: l.term.Token, Since: since, Log: l.log})
	l.reconciler = reconciliation.New(reconciliation.Settings{Jobs: l.jobs, Fleet: l.fleet, Quota: l.quota, Writer: l.writer,
		Token: l.term.Token, Since: since, PredecessorLease: l.predecessorLease(), MaxReportDelay: l.maxReportDelay(),
		Now: l.clock.Now, Log: l.log})
}

// reportInterval returns the interval between a worker's heartbeats.
func (l *leader) reportInterval() clock.Micros { return clock.FromSeconds(l.cfg.Facts.Workers.ReportS) }

// workerLease returns how long a worker keeps its tasks running after an answered heartbeat.
func (l *leader) workerLease() clock.Micros { return clock.FromSeconds(l.cfg.Facts.Workers.LeaseS) }

// predecessorLease returns how long from now a worker's lease may last if a predecessor renewed it.
func (l *leader) predecessorLease() clock.Micros {
	return (l.workerLease() + election.AttestationTTL).Stretch(clock.Drift) + clock.Second
}

// maxReportDelay returns how long a worker may take to find this leader if no other controller
// answers. It is at most a worker lease: once that has expired, the worker's tasks have stopped.
func (l *leader) maxReportDelay() clock.Micros {
	return min(recovery.MaxReportDelay(1+len(l.cfg.Others), l.reportInterval()), l.workerLease())
}

// maxUnsynced returns how long a leader may continue without reading job changes. Its successor must
// still be able to stop tasks that were cancelled in the meantime within the cancellation time limit.
func (l *leader) maxUnsynced() clock.Micros {
	workers := &l.cfg.Facts.Workers
	remaining := clock.FromSeconds(workers.CancelS) - clock.FromSeconds(workers.LeaseS+l.operator.Lead.TTLs).Stretch(clock.Drift)
	return max(remaining, 2*l.reportInterval())
}

// run loads the records and leads until ctx is done.
func (l *leader) run(ctx context.Context) error {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	revision, err := l.loadRecords(ctx)
	if err != nil {
		return fmt.Errorf("load records: %w", err)
	}
	var loops sync.WaitGroup
	loops.Go(func() { l.watchJobs(ctx, revision) })
	loops.Go(func() { l.autoscaleLoop(ctx) })
	loops.Go(func() { l.pauseLoop(ctx) })
	loops.Go(func() { l.orphanLookupLoop(ctx) })
	l.loop(ctx)
	loops.Wait()
	return nil
}

// loadRecords loads the records of earlier leaders and returns the revision up to which it read.
func (l *leader) loadRecords(ctx context.Context) (revision uint64, err error) {
	read := l.beginRead()
	records, err := l.readRecords(ctx, l.store)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if records.Demand != nil {
		l.autoscaler.RestoreDemand(records.Demand)
	}
	if records.Catalog != nil {
		l.catalogRevision = records.Catalog.ModRevision
		l.autoscaler.RestoreCatalog(records.Catalog.Catalog)
	}
	l.reconciler.Load(records, reconciliation.Sink{
		AddJob:       func(record store.JobRecord, modRevision uint64) { l.addRecord(record, modRevision, now) },
		AwaitMachine: l.detector.MarkAwaited,
	}, read.BeganAt, now)
	l.loaded = true
	l.readCompleted(read, records.Revision)
	return records.Revision, nil
}

// wake requests a pass of the control loop. Requests made before the pass begins are merged.
func (l *leader) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

func (l *leader) sleep(ctx context.Context, d clock.Micros) {
	select {
	case <-ctx.Done():
	case <-l.clock.After(d.Duration()):
	}
}
