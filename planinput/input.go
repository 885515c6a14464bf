// Package planinput maintains the snapshot of the cluster that plans are made from, and decides when
// plans are made. It does no I/O and has no lock of its own: the leader's lock guards it.
package planinput

import (
	"log/slog"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/plan"
	"cedardoor/quota"
)

const (
	// retryInterval is the interval between plans for tasks that found no capacity while nothing changes.
	retryInterval = 500 * clock.Millisecond
	// unplacedLogInterval is the minimum interval between logs of a lack of capacity.
	unplacedLogInterval = 10 * clock.Second
	// bestEffortPerCore is how many best-effort tasks, those of the lowest priority, a controller
	// with a whole core starts per second, so that a huge batch of short tasks does not take the
	// CPU time that heartbeats and urgent work need. The controller has to handle a task's start,
	// its end and its part of its machine's reports.
	bestEffortPerCore = 1500
	// minBestEffort is the minimum number of best-effort tasks that a controller starts per second.
	minBestEffort = 10
)

// Settings are the settings and dependencies of an Input.
type Settings struct {
	Facts    *config.Facts
	Operator *config.Operator
	Fleet    *fleet.Fleet
	Quota    *quota.Ledger
	Log      *slog.Logger
}

// Input holds the snapshot and the state that decides when plans are made from it.
type Input struct {
	Settings

	snapshot             *plan.Snapshot          // current but for changedMachines
	changedMachines      map[*fleet.Machine]bool // machines to be refreshed in the snapshot
	reservations         map[string]string       // UIDs of starved jobs by the machine reserved for them
	bestEffortTokens     float64                 // token bucket of best-effort task starts
	bestEffortRefilledAt clock.Micros            // when tokens were last added
	entitlementUpdatedAt clock.Micros            // when entitlement was last determined
	plannedAt            clock.Micros            // when the last plan was made
	repairAt             clock.Micros            // when the next repair round is due
	unplacedLoggedAt     clock.Micros            // when a lack of capacity was last logged
}

// New returns an Input with an empty snapshot.
func New(settings Settings) *Input {
	return &Input{Settings: settings, changedMachines: map[*fleet.Machine]bool{}, reservations: map[string]string{},
		snapshot: &plan.Snapshot{Quota: settings.Quota, MaxMoves: settings.Operator.Repair.Restarts, SampleSize: settings.Operator.Plan.Sample,
			Preempt: true, StarvationCredits: plan.MaxStarvationCredits}}
}

// MachineChanged marks a machine to be refreshed in the snapshot.
func (in *Input) MachineChanged(machine *fleet.Machine) { in.changedMachines[machine] = true }

// HasChanges reports whether any machine is to be refreshed.
func (in *Input) HasChanges() bool { return len(in.changedMachines) > 0 }

// RefreshChanged calls refresh for every machine marked by MachineChanged. The machine stays marked
// as long as refresh returns true.
func (in *Input) RefreshChanged(refresh func(machine *fleet.Machine) (again bool)) {
	for machine := range in.changedMachines {
		if !refresh(machine) {
			delete(in.changedMachines, machine)
		}
	}
}

// Due reports whether a plan is to be made now, and whether it is a repair round. Between repair
// rounds, a plan is due if tasks wait and something has changed, or retryInterval has passed, since
// the last plan.
func (in *Input) Due(now clock.Micros, waiting, changed bool) (round, due bool) {
	round = now >= in.repairAt
	if !round && (!waiting || !changed && now < in.plannedAt+retryInterval) {
		return false, false
	}
	if round {
		in.repairAt = now + in.Operator.RepairInterval()
	}
	in.plannedAt = now
	return round, true
}

// RepairNow makes a repair round due at once.
func (in *Input) RepairNow() { in.repairAt = 0 }

// RecordResult keeps the parts of a plan's result that later plans need, and logs a lack of capacity
// at most every unplacedLogInterval. It returns the number of tasks that were not placed.
func (in *Input) RecordResult(table *jobs.Table, result *plan.Result, now clock.Micros) (unplaced int) {
	in.snapshot.StarvationCredits = result.StarvationCredits
	in.updateReservations(table, result.Reservations)
	for _, tasks := range result.Unplaced {
		unplaced += tasks
	}
	if unplaced > 0 && now-in.unplacedLoggedAt > unplacedLogInterval {
		in.unplacedLoggedAt = now
		in.Log.Info("tasks are waiting for capacity", "tasks", unplaced, "jobs", len(result.Unplaced))
	}
	return unplaced
}

// updateReservations replaces the reservations and marks the machines that they change.
func (in *Input) updateReservations(table *jobs.Table, reservations map[string]string) {
	for name := range in.reservations {
		if reservations[name] == "" {
			if machine := in.Fleet.Machine(name); machine != nil {
				in.MachineChanged(machine)
			}
		}
	}
	for name, uid := range reservations {
		if job := table.Get(uid); job != nil && job.Plan.ReservedMachine != name {
			job.Plan.ReservedMachine = name
			in.MachineChanged(in.Fleet.Machine(name))
			in.Log.Info("capacity reserved for a starved job", "job", uid, "machine", name)
		}
	}
	in.reservations = reservations
}

// Reservations returns the UIDs of starved jobs by the machine that is reserved for them.
func (in *Input) Reservations() map[string]string { return in.reservations }

// BestEffortRate returns how many best-effort tasks may be started per second.
func (in *Input) BestEffortRate() float64 {
	return max(minBestEffort, bestEffortPerCore*min(1, in.Facts.Limits.CoreShare))
}

// bestEffortAllowance refills the tokens and returns how many best-effort tasks may be started now.
func (in *Input) bestEffortAllowance(now clock.Micros) int {
	in.bestEffortTokens = min(in.BestEffortRate(), in.bestEffortTokens+in.BestEffortRate()*(now-in.bestEffortRefilledAt).Seconds())
	in.bestEffortRefilledAt = now
	return int(in.bestEffortTokens)
}

// AllowBestEffort sets how many best-effort tasks may be started at once.
func (in *Input) AllowBestEffort(tasks int) { in.bestEffortTokens = float64(tasks) }

// BestEffortStarted records that a best-effort task was started.
func (in *Input) BestEffortStarted() { in.bestEffortTokens-- }
