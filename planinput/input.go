// Package planinput keeps the snapshot of the cluster that plans are made from, and paces them. It
// does no I/O and has no lock: the leader's own lock guards it.
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
	// retryInterval is how far apart plans are made of work that found no room, while nothing changes.
	retryInterval = 500 * clock.Millisecond
	// noRoomLogInterval is how far apart a lack of room is logged.
	noRoomLogInterval = 10 * clock.Second
	// bestEffortPerCore is how many tasks of the lowest priority a controller with a whole core
	// starts in a second, so that no huge batch of short tasks takes the processor that
	// heartbeats and urgent work need. A task costs its start, its end and its part in the
	// reports of its machine.
	bestEffortPerCore = 1500
	// minBestEffort is how many it starts in a second at the least.
	minBestEffort = 10
)

// Settings are what an Input is made with.
type Settings struct {
	Facts    *config.Facts
	Operator *config.Operator
	Fleet    *fleet.Fleet
	Quota    *quota.Ledger
	Log      *slog.Logger
}

// Input is the snapshot and what paces the plans that are made from it.
type Input struct {
	Settings

	snapshot         *plan.Snapshot          // kept up to date from changedMachines
	changedMachines  map[*fleet.Machine]bool // machines that the snapshot is behind on
	reservedRoom     map[string]string       // machines whose room is kept for a job
	bestEffortTokens float64                 // tasks of the lowest priority that may be started
	bestEffortAt     clock.Micros            // when that was counted
	entitledAt       clock.Micros            // when jobs were last set against their teams' guarantees
	plannedAt        clock.Micros            // the last plan
	repairAt         clock.Micros            // the next repair round
	noRoomLoggedAt   clock.Micros            // when a lack of room was last logged
}

// New makes an Input with an empty snapshot.
func New(settings Settings) *Input {
	return &Input{Settings: settings, changedMachines: map[*fleet.Machine]bool{}, reservedRoom: map[string]string{},
		snapshot: &plan.Snapshot{Quota: settings.Quota, MaxMoves: settings.Operator.Repair.Restarts, SampleSize: settings.Operator.Plan.Sample,
			Preempt: true, StarvationCredits: plan.MaxStarvationCredits}}
}

// MachineChanged notes that the snapshot is behind on a machine.
func (in *Input) MachineChanged(machine *fleet.Machine) { in.changedMachines[machine] = true }

// HasChanges tells whether the snapshot is behind on any machine.
func (in *Input) HasChanges() bool { return len(in.changedMachines) > 0 }

// RefreshChanged calls refresh for every machine that the snapshot is behind on, until it tells
// that the machine need not be looked at again.
func (in *Input) RefreshChanged(refresh func(machine *fleet.Machine) (again bool)) {
	for machine := range in.changedMachines {
		if !refresh(machine) {
			delete(in.changedMachines, machine)
		}
	}
}

// Due tells whether a plan is to be made now, and whether it is a repair round: when something
// waits, and has not been found to have no room with nothing changed since.
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

// RepairNow makes the next plan a repair round.
func (in *Input) RepairNow() { in.repairAt = 0 }

// Planned takes in what a plan says of the ones to come, and logs a lack of room now and then. It
// gives how many tasks found none.
func (in *Input) Planned(table *jobs.Table, result *plan.Result, now clock.Micros) (unplaced int) {
	in.snapshot.StarvationCredits = result.StarvationCredits
	in.reserveRoom(table, result.Reservations)
	for _, tasks := range result.Unplaced {
		unplaced += tasks
	}
	if unplaced > 0 && now-in.noRoomLoggedAt > noRoomLogInterval {
		in.noRoomLoggedAt = now
		in.Log.Info("tasks wait for room", "tasks", unplaced, "jobs", len(result.Unplaced))
	}
	return unplaced
}

// reserveRoom notes which machines' room is kept for jobs that have waited long.
func (in *Input) reserveRoom(table *jobs.Table, reservations map[string]string) {
	for name := range in.reservedRoom {
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
			in.Log.Info("room is kept for a job that has waited long", "job", uid, "machine", name)
		}
	}
	in.reservedRoom = reservations
}

// ReservedRoom lists the machines whose room is kept for a job that has waited long, with the jobs.
func (in *Input) ReservedRoom() map[string]string { return in.reservedRoom }

// BestEffortRate is how many tasks of the lowest priority may be started in a second.
func (in *Input) BestEffortRate() float64 {
	return max(minBestEffort, bestEffortPerCore*min(1, in.Facts.Limits.CoreShare))
}

// bestEffortAllowance is how many of them may be started now.
func (in *Input) bestEffortAllowance(now clock.Micros) int {
	in.bestEffortTokens = min(in.BestEffortRate(), in.bestEffortTokens+in.BestEffortRate()*(now-in.bestEffortAt).Seconds())
	in.bestEffortAt = now
	return int(in.bestEffortTokens)
}

// AllowBestEffort lets so many of them be started at once.
func (in *Input) AllowBestEffort(tasks int) { in.bestEffortTokens = float64(tasks) }

// BestEffortStarted notes that one of them was started.
func (in *Input) BestEffortStarted() { in.bestEffortTokens-- }
