package cedardoor

import (
	"context"

	"cedardoor/clock"
)

// passInterval is how often the loop looks around without being woken.
const passInterval = 500 * clock.Millisecond

// wakeDelay gathers what happens at the same time into one pass.
const wakeDelay = 5 * clock.Millisecond

// loop plans, records and orders until ctx ends. What happens while a pass is
// made is gathered into the next, and passes take at most a part of the
// processor however fast events come.
func (l *leader) loop(ctx context.Context) {
	tk := l.clock.NewTicker(passInterval.Duration())
	defer tk.Stop()
	pause := wakeDelay
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.wakeups:
			l.sleep(ctx, pause)
		case <-tk.Chan():
		}
		pause = max(wakeDelay, min(3*l.pass(ctx), passInterval))
	}
}

// pass is one pass: prove, plan, record, order. It gives the time that
// planning took.
func (l *leader) pass(ctx context.Context) (took clock.Micros) {
	l.mu.Lock()
	now := l.clock.Now()
	l.applyEvents(l.fleet.ExpireLeases(now), now)
	l.markUnresponsive(now)
	l.confirmMachines(now)
	l.releaseUnreadable(now)
	l.logProgress()
	if _, may := l.elector.HoldsLease(); may {
		l.runPlan(now)
	}
	took = l.clock.Now() - now
	l.mu.Unlock()
	// Everything that changed is recorded, in as many transactions as it takes;
	// but what comes meanwhile is planned before what can wait is recorded: a huge
	// batch or a swarm has more to record than the store takes for a long time.
	for range 50 {
		l.mu.Lock()
		tx := l.buildTransaction()
		more := len(l.writer.dirty) > 0
		l.mu.Unlock()
		if tx == nil {
			break
		}
		if !l.commit(ctx, tx) {
			return took
		}
		// Commands go out as soon as what they need is durable.
		l.dispatch(ctx)
		if more && len(l.wakeups) > 0 && l.clock.Now()-now > 4*took {
			break
		}
	}
	l.mu.Lock()
	if len(l.writer.dirty) > 0 {
		l.wake()
	}
	l.mu.Unlock()
	l.dispatch(ctx)
	l.probeSilentMachines(ctx)
	l.resignIfIsolated(ctx)
	l.raiseTokenIfNeeded(ctx)
	return took
}
