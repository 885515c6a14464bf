package cedardoor

import (
	"context"

	"cedardoor/clock"
	"cedardoor/detector"
	"cedardoor/fleet"
)

const (
	// passInterval is the interval between passes of the control loop when no event wakes it.
	passInterval = 500 * clock.Millisecond
	// wakeDelay is how long the loop waits after an event, so that one pass handles simultaneous events.
	wakeDelay = 5 * clock.Millisecond
	// passDelayFactor is the delay before the next pass as a multiple of the planning time of the last
	// one, so that passes use only a part of the CPU time however frequent events are.
	passDelayFactor = 3
	// maxTransactionsPerPass bounds the transactions that a pass commits before the next pass plans again.
	maxTransactionsPerPass = 50
	// busyPassFactor is how long after its start, as a multiple of its planning time, a pass goes on
	// committing transactions while new events wait.
	busyPassFactor = 4
)

// loop runs passes of the control loop until ctx ends. Events during a pass are handled by the next
// one.
func (l *leader) loop(ctx context.Context) {
	ticker := l.clock.NewTicker(passInterval.Duration())
	defer ticker.Stop()
	delay := wakeDelay
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.wakeups:
			l.sleep(ctx, delay)
		case <-ticker.Chan():
		}
		delay = max(wakeDelay, min(passDelayFactor*l.pass(ctx), passInterval))
	}
}

// pass makes one pass: it expires leases, plans, records and sends commands. It returns the time that
// planning took.
func (l *leader) pass(ctx context.Context) (took clock.Micros) {
	began, took := l.planPass()
	if !l.recordPass(ctx, began, took) {
		return took
	}
	l.dispatch(ctx)
	l.probeSilentMachines(ctx)
	l.resignIfIsolated(ctx)
	l.raiseTokenIfNeeded(ctx)
	return took
}

// planPass makes the first part of a pass, up to and including planning, under the lock.
func (l *leader) planPass() (began, took clock.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.applyEvents(l.fleet.ExpireLeases(now), now)
	l.detector.MarkUnresponsive(now)
	l.detector.ProbeUnconfirmed(now, l.startProbe)
	l.reconciler.ReleaseUnreadable(now)
	l.reconciler.LogProgress()
	if _, held := l.elector.HoldsLease(); held {
		l.runPlan(now)
	}
	return now, l.clock.Now() - now
}

// recordPass records all changes in as many transactions as needed. If new events come meanwhile, it
// leaves the rest to later passes so that the events are planned first: a huge batch or a burst of jobs
// has so much to record that it keeps the store busy for a long time. It returns false when the term is
// over.
func (l *leader) recordPass(ctx context.Context, began, took clock.Micros) bool {
	for range maxTransactionsPerPass {
		l.mu.Lock()
		tx := l.buildTransaction()
		more := l.writer.HasDirty(l.jobs, l.clock.Now())
		l.mu.Unlock()
		if tx == nil {
			break
		}
		if !l.commit(ctx, tx) {
			return false
		}
		// Send commands as soon as the records that they depend on are durable.
		l.dispatch(ctx)
		if more && len(l.wakeups) > 0 && l.clock.Now()-began > busyPassFactor*took {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writer.HasDirty(l.jobs, l.clock.Now()) {
		l.wake()
	}
	return true
}

// commandScope returns which commands may be sent to workers now. The caller holds mu.
func (l *leader) commandScope() fleet.Scope {
	if _, held := l.elector.HoldsLease(); !held {
		return fleet.StopsOnly
	}
	if !l.synced() {
		return fleet.NoRuns
	}
	return fleet.AllCommands
}

// pauseLoop detects pauses of this process during which its clocks went on.
func (l *leader) pauseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		l.checkPause()
		l.sleep(ctx, detector.CheckInterval)
	}
}

// checkPause notes when this process has resumed after a pause, and resigns when job changes could not
// be read for too long.
func (l *leader) checkPause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.detector.CheckPause(now) {
		l.feed.ProcessPaused()
	}
	_, held := l.elector.HoldsLease()
	shouldResign := l.feed.Check(now, l.detector.RunningSince(), l.interruptions(), held)
	if shouldResign && l.loaded {
		l.log.Info("job changes could not be read for too long: resigning")
		l.elector.Resign()
	}
}

// resignIfIsolated resigns when no worker reports any more, or when most do not acknowledge commands.
func (l *leader) resignIfIsolated(ctx context.Context) {
	now := l.clock.Now()
	l.mu.Lock()
	isolation := l.detector.Isolation(now)
	awaitingFirstReport := !l.detector.HasReports() && now-l.term.Since < l.maxReportDelay()
	l.mu.Unlock()
	if !isolation.Silent && isolation.NotAcknowledging == 0 {
		return
	}
	if isolation.NotAcknowledging == 0 && awaitingFirstReport && l.isolated(ctx) {
		return // workers may still be trying the controllers that are down
	}
	l.log.Info("isolated from workers: resigning", "silent", isolation.Silent, "not_acknowledging", isolation.NotAcknowledging)
	l.elector.Resign()
}

// checkIsolation finds out whether any other controller answers, while the reconciler needs that to
// decide whether machines may still be about to report.
func (l *leader) checkIsolation(ctx context.Context) {
	l.mu.Lock()
	matters := l.reconciler.IsolationMatters(l.clock.Now())
	l.mu.Unlock()
	if !matters {
		return
	}
	isolated := l.isolated(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reconciler.SetIsolated(isolated)
}
