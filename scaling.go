package cedardoor

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"cedardoor/autoscaler"
	"cedardoor/clock"
	"cedardoor/cloud"
	"cedardoor/wire"
)

const (
	// catalogInterval is the interval between reads of the machine types.
	catalogInterval = 20 * clock.Second
	// minListInterval is the shortest interval between reads of the machine list, which lags by
	// seconds anyway.
	minListInterval = 3 * clock.Second
	// machinesPerListSecond is how many machines lengthen that interval by a second: each page of
	// the list takes one of the few requests that the cloud allows.
	machinesPerListSecond = 500
	// rentTries is how often a rental request is sent if its response is lost.
	rentTries = 3
	// rentPause is the delay between these tries.
	rentPause = 1 * clock.Second
)

// autoscaleLoop refreshes the machine types and the machine list, and rents and returns machines.
func (l *leader) autoscaleLoop(ctx context.Context) {
	var catalogAt, listAt clock.Micros
	failing := false
	for ctx.Err() == nil {
		now := l.clock.Now()
		var err error
		if catalogAt == 0 || now-catalogAt > catalogInterval {
			if err = l.readCatalog(ctx); err == nil {
				catalogAt = now
			}
		}
		if err == nil && (listAt == 0 || now-listAt > l.machineListInterval()) {
			if err = l.readMachineList(ctx); err == nil {
				listAt = now
			}
		}
		if err != nil && !failing && ctx.Err() == nil {
			l.log.Info("cloud request failed", "error", err)
		}
		failing = err != nil
		l.checkIsolation(ctx)
		if l.operator.Fleet.Enabled && listAt != 0 {
			l.autoscale(ctx)
			l.saveDemand(ctx)
		}
		l.sleep(ctx, clock.FromSeconds(l.operator.Fleet.PeriodS))
	}
}

// machineListInterval returns the interval between reads of the machine list.
func (l *leader) machineListInterval() clock.Micros {
	l.mu.Lock()
	defer l.mu.Unlock()
	return minListInterval + clock.Micros(l.fleet.Len()/machinesPerListSecond)*clock.Second
}

// readCatalog reads the machine types and records them if they changed, so that any node and any
// later leader can check submissions while the cloud does not respond.
func (l *leader) readCatalog(ctx context.Context) error {
	catalog, err := l.cloud.Catalog(ctx)
	if err != nil {
		return err
	}
	l.mu.Lock()
	if l.autoscaler.SetCatalog(catalog) || l.catalogRevision == 0 {
		l.values.catalogOutdated = true
	}
	outdated := l.values.catalogOutdated
	l.mu.Unlock()
	l.wake()
	if outdated {
		l.recordCatalog(ctx, catalog)
	}
	return nil
}

// readMachineList reads the cloud's list of machines and passes it to the autoscaler.
func (l *leader) readMachineList(ctx context.Context) error {
	machines, err := l.cloud.List(ctx)
	if err != nil {
		return err
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.autoscaler.SetMachineList(machines, now)
	return nil
}

// scalingView returns the autoscaler's input. The caller holds mu.
func (l *leader) scalingView(now clock.Micros) autoscaler.View {
	return autoscaler.View{Now: now, Wall: l.clock.Wall(), RunningSince: l.detector.RunningSince(), Jobs: l.jobs, Failures: l.attribution,
		BestEffortRate: l.planInput.BestEffortRate(), Awaited: l.detector, Reconnecting: l.reconciler.Reconnecting(now)}
}

// autoscale runs one pass of the autoscaler and carries out its decision.
func (l *leader) autoscale(ctx context.Context) {
	decision, decided := l.decideScaling()
	if !decided {
		return
	}
	if len(decision.Return) > 0 {
		l.returnMachines(ctx, decision.Return[:min(len(decision.Return), wire.MaxReturnPerRequest)])
	}
	if decision.LimitReached {
		l.log.Info("fleet is at its limit of machines: fleet.max_machines", "max_machines", l.operator.Fleet.MaxMachines)
	}
	// The requests are sent concurrently, the most urgent rentals first and in full batches. Rentals
	// beyond the requests that the cloud allows per pass wait for the next pass.
	var requests sync.WaitGroup
	for _, rental := range autoscaler.SplitRentals(decision.Rent, int(l.cfg.Facts.Cloud.RPS*l.operator.Fleet.PeriodS)) {
		requests.Go(func() { l.rentMachines(ctx, rental) })
	}
	requests.Wait()
	if decision.Uncordoned {
		l.wake()
	}
}

// decideScaling runs one pass of the autoscaler. It returns false if this leader may not rent and
// return machines or does not know enough to do so.
func (l *leader) decideScaling() (decision autoscaler.Decision, decided bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if _, held := l.elector.HoldsLease(); !held || len(l.autoscaler.Catalog().MachineTypes) == 0 || l.detector.IsolatedFromWorkers(now) {
		return decision, false
	}
	decision = l.autoscaler.Decide(l.scalingView(now))
	l.metrics.SetFleet(decision.Machines, decision.Tasks, decision.Refused)
	return decision, true
}

// returnMachines returns machines to the cloud. No task is placed on them after the decision, but
// their allocations are released only when the cloud confirms the return.
func (l *leader) returnMachines(ctx context.Context, names []string) {
	// The process may have paused since the decision, and a successor may use the machines.
	if _, held := l.elector.HoldsLease(); !held {
		return
	}
	if err := l.cloud.Return(ctx, names); err != nil {
		l.log.Debug("machines not returned", "error", err)
		return // they stay marked, and a later pass returns them
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		l.applyEvents(l.fleet.MachineReturned(name, now), now)
		l.autoscaler.Returned(name, now)
	}
	l.log.Info("machines returned", "machines", fmt.Sprint(names))
	l.wake()
}

// rentMachines rents machines. If a response is lost, it sends the request again with the same ID.
func (l *leader) rentMachines(ctx context.Context, rental cloud.Rental) {
	l.mu.Lock()
	request := l.autoscaler.NewRequest(rental)
	l.mu.Unlock()
	sentAt := l.clock.Now()
	machines, err := l.requestRental(ctx, request)
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(machines) < request.Count && (err == nil || errors.Is(err, cloud.ErrNoCapacity)) {
		l.autoscaler.Refused(request, now)
	}
	if err != nil {
		l.log.Debug("machines not rented", "error", err)
		return
	}
	l.autoscaler.Rented(request, machines, sentAt, now)
	l.log.Info("machines rented", "type", rental.MachineType, "zone", rental.Zone, "preemptible", rental.Preemptible,
		"machines", fmt.Sprint(machines))
}

// requestRental sends a rental request until it is answered, at most rentTries times.
func (l *leader) requestRental(ctx context.Context, request wire.RentRequest) (machines []string, err error) {
	for range rentTries {
		if _, held := l.elector.HoldsLease(); !held {
			return nil, errNotSent
		}
		machines, err = l.cloud.Rent(ctx, request)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) || ctx.Err() != nil {
			return machines, err
		}
		l.sleep(ctx, rentPause)
	}
	return machines, err
}
