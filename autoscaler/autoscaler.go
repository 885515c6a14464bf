// Package autoscaler tracks the demand for machines and decides which to rent and which to return.
// It does no I/O and has no lock: the leader's lock guards it, and the leader carries out its
// decisions.
package autoscaler

import (
	"context"
	"fmt"
	"log/slog"
	"math"

	"cedardoor/clock"
	"cedardoor/cloud"
	"cedardoor/config"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/quota"
	"cedardoor/wire"
)

// Settings are the parameters of New.
type Settings struct {
	Facts    *config.Facts
	Operator *config.Operator
	Fleet    *fleet.Fleet
	Quota    *quota.Ledger
	Token    uint64       // the term's first fencing token, which makes rental request IDs unique
	Since    clock.Micros // when the term began
	Log      *slog.Logger
}

// Autoscaler tracks the demand for machines, and the rentals and returns that follow from it.
type Autoscaler struct {
	Settings

	catalog         wire.Catalog
	rentals         rentals
	returned        returnedMachines
	arrivals        cloud.Arrivals // preemptible work that arrived within the sliding window
	arrivalRate     cloud.Load
	predecessorRate cloud.Load
	demandSavedAt   clock.Micros
	classRuns       map[string]jobs.RunTimes // recent run times of tasks, by class
	peaks           cloud.Peaks
	idleSince       clock.Micros // since when there has been no work; zero while there is some
	limitLoggedAt   clock.Micros // when Decide last reported LimitReached
}

// New returns an Autoscaler for one term of leadership.
func New(settings Settings) *Autoscaler {
	return &Autoscaler{Settings: settings, rentals: newRentals(), returned: newReturnedMachines(), classRuns: map[string]jobs.RunTimes{}}
}

// Failures provides the machines on which tasks have failed.
type Failures interface {
	// FewMachinesFailed reports whether they are few enough for jobs on trial to avoid them.
	FewMachinesFailed() bool
	// EachMachineWithFailures calls do for each such machine.
	EachMachineWithFailures(do func(machine *fleet.Machine))
}

// Awaited identifies machines that have not yet reported to this leader.
type Awaited interface {
	// IsAwaited reports whether a predecessor recorded a machine and it has been silent since.
	IsAwaited(machine *fleet.Machine) bool
}

// View is the input of a pass.
type View struct {
	Now          clock.Micros
	Wall         clock.Micros
	RunningSince clock.Micros // when the term began or the process last resumed after a pause
	Jobs         *jobs.Table
	Failures     Failures
	// BestEffortRate is the maximum number of lowest-priority tasks to start per second.
	BestEffortRate float64
	Awaited        Awaited
	// Reconnecting is set while workers may still be looking for this leader, so that awaited
	// machines do not count as lost yet.
	Reconnecting bool
}

// Decision is the result of a pass.
type Decision struct {
	Rent       []cloud.Rental // the most urgent first
	Return     []string       // machines to return; they get no new tasks
	Uncordoned bool           // some machines were uncordoned
	// LimitReached is set if fleet.max_machines kept more machines from being rented, at most once
	// per limitLogInterval.
	LimitReached bool
	Machines     int // number of machines, including rented ones not seen yet
	Tasks        int // number of tasks that may be running on them
	Refused      int // number of machine kinds that the cloud recently refused
}

// limitLogInterval is the minimum interval between reports of LimitReached.
const limitLogInterval = 10 * clock.Second

// Decide makes one pass: it marks machines to drain or return, and returns what to rent and return.
func (a *Autoscaler) Decide(v View) Decision {
	fleetView := a.newFleetView(v)
	machines := append(fleetView.machines, a.rentals.notSeen(a.Fleet)...)
	a.rentals.expireRefusals(v.Now)
	unreachable := fleet.UnreachableZones(fleetView.silentByZone, fleetView.knownByZone)
	refused := func(machineType, zone string, preemptible bool) bool {
		return unreachable[zone] || a.rentals.isRefused(machineType, zone, preemptible)
	}
	demand := a.Demand(v)
	demand.Constrained, demand.Stuck = a.ConstrainedWork(v, machines), a.stuckConstraints(v, stuckAfter)
	demand.Waiting = a.stuckConstraints(v, waitingAfter)
	resize := cloud.Resize(a.catalog.MachineTypes, machines, demand, refused)
	a.setCordoned(resize.Cordon, true)
	a.setCordoned(resize.Uncordon, false)
	decision := Decision{Rent: resize.Rent, Return: append(fleetView.toReturn, a.returnEmpty(resize.Return)...), Uncordoned: len(resize.Uncordon) > 0,
		Machines: len(machines), Tasks: countTasks(machines), Refused: len(a.rentals.refusedUntil)}
	if resize.LimitReached && v.Now-a.limitLoggedAt > limitLogInterval {
		a.limitLoggedAt = v.Now
		decision.LimitReached = true
	}
	a.logPass(machines, demand, resize, decision.Return)
	return decision
}

// setCordoned cordons or uncordons machines.
func (a *Autoscaler) setCordoned(names []string, cordoned bool) {
	for _, name := range names {
		machine := a.Fleet.Machine(name)
		machine.Cordoned = cordoned
		a.Fleet.MachineChanged(machine)
	}
}

// returnEmpty marks the given machines that are cordoned and empty as being returned, and lists them.
func (a *Autoscaler) returnEmpty(names []string) (returning []string) {
	for _, name := range names {
		machine := a.Fleet.Machine(name)
		if machine.LiveCount() == 0 && machine.RunningOrphans() == 0 && machine.Cordoned {
			machine.Returning = true
			a.Fleet.MachineChanged(machine)
			returning = append(returning, name)
		}
	}
	return returning
}

func countTasks(machines []cloud.Machine) (tasks int) {
	for i := range machines {
		tasks += machines[i].Tasks
	}
	return tasks
}

// logPass logs the input and the result of a pass.
func (a *Autoscaler) logPass(machines []cloud.Machine, demand cloud.Demand, resize cloud.Decision, returning []string) {
	if !a.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	var cores, unused [2]float64 // total and unused cores of usable machines: on-demand, preemptible
	for i := range machines {
		machine := &machines[i]
		if machineType, known := a.Fleet.MachineType(machine.Type); known && !machine.Lost && machine.Up {
			kind := 0
			if machine.Preemptible {
				kind = 1
			}
			cores[kind] += machineType.Cores
			unused[kind] += machineType.Cores - machine.UsedCores
		}
	}
	a.Log.Debug("autoscaler pass", "machines", len(machines), "on_demand_cores", math.Round(demand.OnDemand.Cores),
		"preemptible_cores", math.Round(demand.Preemptible.Cores), "urgent_cores", math.Round(demand.Urgent.Cores),
		"arrival_cores", math.Round(a.arrivalRate.Cores), "up_cores", fmt.Sprint(cores), "unused_cores", fmt.Sprint(unused),
		"rent", fmt.Sprint(resize.Rent), "cordon", len(resize.Cordon), "uncordon", len(resize.Uncordon), "return", fmt.Sprint(returning))
}
