package autoscaler

import (
	"cmp"
	"maps"
	"slices"

	"cedardoor/clock"
	"cedardoor/cloud"
	"cedardoor/config"
	"cedardoor/jobs"
	"cedardoor/quota"
	"cedardoor/store"
	"cedardoor/wire"
)

const (
	// initialJobsWindow is how long after a first leader's start new jobs count as already present
	// at its start.
	initialJobsWindow = 6 * clock.Second
	// settlingTime is how long scale-in is suspended after a leader's start or a pause of the
	// process, because too little is known of the demand.
	settlingTime = 15 * clock.Second
	// minClassRuns is the number of run times of a class from which their mean replaces the owners'
	// estimates, which are off by half or more.
	minClassRuns = 8
	// maxClassRuns is the number of run times of a class at which the weight of older ones is
	// halved, because classes change over a day.
	maxClassRuns = 100
	// runMargin is how many expected run times are subtracted from the time that a job has by its
	// objective, so that its last tasks finish in time.
	runMargin = 1.5
	// minOnDemandDrainS is the lower bound, in seconds, of the onDemandDrainS of drainTimes for
	// classes with an objective.
	minOnDemandDrainS = 20
)

// Bounds, in seconds, of the time in which best-effort work should drain.
const (
	minBestEffortDrainS = 30
	maxBestEffortDrainS = 300
	// bestEffortDrainShare is the share of the time left by its objective in which best-effort work
	// should drain.
	bestEffortDrainShare = 0.4
)

// TaskDone records the run time of a task of a class.
func (a *Autoscaler) TaskDone(class string, took clock.Micros) {
	runs := a.classRuns[class]
	if runs.Count >= maxClassRuns {
		runs.Rescale(maxClassRuns / 2)
	}
	runs.Add(took)
	a.classRuns[class] = runs
}

// JobFailing withdraws the arrival of a job whose tasks fail on every machine, so that nothing is
// rented for it.
func (a *Autoscaler) JobFailing(job *jobs.Job) { a.arrivals.Withdraw(job) }

// runTime returns the expected run time of a job's tasks: the mean of its class, or the owner's
// estimate while too few runs are known.
func (a *Autoscaler) runTime(job *jobs.Job) clock.Micros {
	if runs := a.classRuns[job.Spec.Class]; runs.Count >= minClassRuns {
		return runs.Mean()
	}
	return clock.FromSeconds(max(1, job.Spec.ExpectedS))
}

// finishWithin returns the objective for the completion time of a class's jobs in seconds, or zero
// without one.
func (a *Autoscaler) finishWithin(class string) float64 {
	return a.Facts.ShortestObjective(config.ObjectiveFinished, class)
}

// shortestBootTime returns the boot time of the machine type that boots fastest, in seconds.
func (a *Autoscaler) shortestBootTime() (seconds float64) {
	for i, machineType := range a.catalog.MachineTypes {
		if i == 0 || machineType.BootS < seconds {
			seconds = machineType.BootS
		}
	}
	return seconds
}

// drainTimes returns in how many seconds a job's work should drain. drainS sizes the spot fleet.
// On-demand machines are rented only as far as spot machines would take longer than onDemandDrainS.
// If the class has an objective for the completion time, onDemandDrainS is bounded by that time less
// a boot and the run margin, and drainS by half of onDemandDrainS.
func (a *Autoscaler) drainTimes(job *jobs.Job, runS float64) (drainS, onDemandDrainS float64) {
	settings := &a.Operator.Fleet
	drainS = settings.QueueS
	if job.Priority >= wire.PriorityHigh {
		drainS = settings.UrgentS
	}
	onDemandDrainS = drainS * settings.OnDemandDrainFactor
	if within := a.finishWithin(job.Spec.Class); within > 0 {
		onDemandDrainS = max(minOnDemandDrainS, min(onDemandDrainS, within-a.shortestBootTime()-runMargin*runS))
		drainS = min(drainS, 0.5*onDemandDrainS)
	}
	return drainS, onDemandDrainS
}

// bestEffortDrainTimes is drainTimes for work of the lowest priority, which uses the capacity that
// other work leaves. Machines are rented for it according to the objective of its class, and more
// of them the less time is left. Without an objective onDemandDrainS is zero, and only spot
// machines are rented.
func (a *Autoscaler) bestEffortDrainTimes(job *jobs.Job, runS float64, wall clock.Micros) (drainS, onDemandDrainS float64) {
	within := a.finishWithin(job.Spec.Class)
	if within == 0 {
		return maxBestEffortDrainS, 0
	}
	remaining := within - (wall - clock.Micros(job.AcceptedUS)).Seconds() - runMargin*runS
	return max(minBestEffortDrainS, min(maxBestEffortDrainS, bestEffortDrainShare*remaining)), max(minBestEffortDrainS, remaining)
}

// teamShares holds, for each team with a limit, the share of its waiting work that may run in
// addition to what it uses. Machines for the rest would be idle.
type teamShares map[string]float64

// runnableShares returns the shares of the teams' waiting work that their limits allow to run.
func (a *Autoscaler) runnableShares(table *jobs.Table) teamShares {
	waiting := map[string]quota.Amount{}
	for job := range table.Waiting() {
		if job.Cancelled || job.Failures.Failing() || !a.Quota.Limits(job.Spec.Team).HasLimit() || !a.fitsTeamLimit(job) {
			continue
		}
		_, unplaced := job.CountUnfinished()
		waiting[job.Spec.Team] = waiting[job.Spec.Team].Plus(job.TaskAmount().Times(unplaced))
	}
	shares := make(teamShares, len(waiting))
	for team, amount := range waiting {
		shares[team] = a.Quota.RunnableShare(team, amount)
	}
	return shares
}

// fitsTeamLimit reports whether the limit of the job's team allows one more task of the job.
func (a *Autoscaler) fitsTeamLimit(job *jobs.Job) bool {
	return a.Quota.Fits(job.Spec.Team, job.TaskAmount())
}

// runnableTasks returns how many of a job's waiting tasks its team's limit allows to run.
func (a *Autoscaler) runnableTasks(job *jobs.Job, waiting int, shares teamShares) float64 {
	share, limited := shares[job.Spec.Team]
	switch {
	case !a.fitsTeamLimit(job):
		return 0
	case limited:
		return share * float64(waiting)
	}
	return float64(waiting)
}

// workSums holds the total work of all jobs, except for on-demand work.
type workSums struct {
	drain    cloud.Load // capacity that drains the preemptible work in time
	urgent   cloud.Load // the part of drain for which on-demand machines may be rented
	all      cloud.Load // all preemptible tasks except replicas
	replicas cloud.Load // replicas that may run on spot machines
}

// jobWork is the current demand of a job.
type jobWork struct {
	job     *jobs.Job
	running float64 // placed tasks
	waiting float64 // waiting tasks that the team's limit allows to run
}

// add adds the given number of tasks of the job to a load.
func (w *jobWork) add(load *cloud.Load, tasks float64) {
	spec := &w.job.Spec
	load.Cores += tasks * spec.Cores
	load.RAM += tasks * spec.RAM
	load.Accelerators += tasks * spec.Accelerators
}

// Demand computes the demand from all unfinished work.
//
// The capacity for preemptible work follows the arrival rate over a window that is long compared
// with a machine's boot time and minimum charge. Renting for each burst would pay for machines that
// finish booting after the burst. The queue raises the demand only as far as it needs to drain in
// time.
func (a *Autoscaler) Demand(v View) cloud.Demand {
	settings := &a.Operator.Fleet
	demand := cloud.Demand{ReserveShare: settings.ReserveOnDemand, MachineReserveShare: settings.ReserveMachine, ZoneReserveShare: settings.ReserveZone,
		IdleTimeout: clock.FromSeconds(settings.IdleS), MaxMachines: settings.MaxMachines}
	sums := a.sumWork(v, &demand)
	arriving := a.arrivals.Rate(cloud.Window{Now: v.Now, Since: a.Since, Span: clock.FromSeconds(settings.WindowS),
		Predecessor: a.predecessorRate, MaxHeadroom: settings.Headroom, Idle: sums.all.Cores == 0})
	a.arrivalRate = arriving.Load
	demand.Preemptible, demand.Urgent = arriving.Load, sums.urgent
	demand.Preemptible.Cores *= 1 + arriving.Headroom
	demand.Preemptible.RAM *= 1 + arriving.Headroom
	if sums.drain.Cores > demand.Preemptible.Cores {
		demand.Preemptible = sums.drain
	}
	demand.Preemptible = demand.Preemptible.Plus(sums.replicas)
	demand.Urgent = demand.Urgent.Plus(sums.replicas)
	a.peaks.Retain(&demand, sums.urgent.Cores, cloud.Retention{Now: v.Now, Since: a.Since, Preemptible: clock.FromSeconds(settings.HoldS),
		OnDemand: clock.FromSeconds(settings.HoldOnDemandS), Decay: arriving.Decay})
	if a.idleFor(v.Now, demand.OnDemand.Cores > 0 || sums.all.Cores > 0) > demand.IdleTimeout {
		// After a while without any work, keep no capacity for future work.
		demand.Preemptible, demand.Urgent, demand.Growth = cloud.Load{}, cloud.Load{}, 0
		demand.KeepPreemptible, demand.KeepOnDemand, demand.KeepUrgent = 0, 0, 0
	}
	demand.NoScaleIn = v.Now-max(a.Since, v.RunningSince) < settlingTime
	return demand
}

// idleFor updates idleSince, given whether there is any work now, and returns how long there has been
// none.
func (a *Autoscaler) idleFor(now clock.Micros, hasWork bool) clock.Micros {
	if hasWork {
		a.idleSince = 0
		return 0
	}
	if a.idleSince == 0 {
		a.idleSince = now
	}
	return now - a.idleSince
}

// sumWork sums up the work of all jobs. It adds work that needs on-demand machines to the demand
// itself.
func (a *Autoscaler) sumWork(v View, demand *cloud.Demand) (sums workSums) {
	shares := a.runnableShares(v.Jobs)
	for job := range v.Jobs.All() {
		if job.Cancelled || job.Failures.Failing() {
			continue // a failing job is retried now and then, but nothing is rented for it
		}
		placed, unplaced := job.CountUnfinished()
		work := jobWork{job: job, running: float64(placed), waiting: a.runnableTasks(job, unplaced, shares)}
		switch tasks := work.running + work.waiting; {
		case !job.Spec.Preemptible:
			work.add(&demand.OnDemand, tasks)
			demand.MaxCores = max(demand.MaxCores, job.Spec.Cores)
			demand.Spread = demand.Spread || job.Spec.Spread
		case job.IsService():
			work.add(&sums.replicas, tasks)
		case job.IsBestEffort():
			a.sumBestEffort(v, &work, &sums)
		default:
			a.sumBatch(v, &work, &sums)
		}
	}
	return sums
}

// sumBestEffort adds the work of a best-effort job.
func (a *Autoscaler) sumBestEffort(v View, work *jobWork, sums *workSums) {
	job, tasks := work.job, work.running+work.waiting
	runS := a.runTime(job).Seconds()
	job.ArrivalCounted = true // its arrival does not predict future work
	drainS, onDemandDrainS := a.bestEffortDrainTimes(job, runS, v.Wall)
	remaining := (work.waiting + work.running/2) * runS
	maxTasks := min(tasks, v.BestEffortRate*runS)
	work.add(&sums.drain, min(maxTasks, remaining/drainS))
	if onDemandDrainS > 0 {
		work.add(&sums.urgent, min(maxTasks, remaining/onDemandDrainS))
	}
	work.add(&sums.all, tasks)
}

// sumBatch adds the work of any other preemptible job that ends, and records its arrival once.
func (a *Autoscaler) sumBatch(v View, work *jobWork, sums *workSums) {
	job, tasks := work.job, work.running+work.waiting
	runS := a.runTime(job).Seconds()
	if !job.ArrivalCounted {
		job.ArrivalCounted = true
		var load cloud.Load
		work.add(&load, runS*(float64(job.Done)+work.running+work.waiting))
		initial := a.predecessorRate == (cloud.Load{}) && v.Now-a.Since < initialJobsWindow
		a.arrivals.Add(cloud.Arrival{At: v.Now, Work: load, Initial: initial, Job: job})
	}
	drainS, onDemandDrainS := a.drainTimes(job, runS)
	remaining := (work.waiting + work.running/2) * runS
	drainTasks, urgentTasks := min(tasks, remaining/drainS), min(tasks, remaining/onDemandDrainS)
	if job.IsGang() {
		drainTasks, urgentTasks = tasks, tasks // they run only all together
	}
	work.add(&sums.drain, drainTasks)
	work.add(&sums.urgent, urgentTasks)
	work.add(&sums.all, tasks)
}

const (
	// demandSaveInterval is the interval at which the demand is recorded.
	demandSaveInterval = 10 * clock.Second
	// maxSavedClasses limits the size of the demand's record.
	maxSavedClasses = 50
)

// DemandToSave returns the arrival rate and run times if they are due to be recorded. Without the
// record a new leader would mistake its missing history for a lack of work and return machines. The
// classes with the fewest runs are left out of a record that would be larger than maxBytes in the JSON form.
func (a *Autoscaler) DemandToSave(now clock.Micros, maxBytes int) (record store.DemandRecord, due bool) {
	if now-a.demandSavedAt <= demandSaveInterval || a.arrivalRate.Cores <= 0 {
		return record, false
	}
	a.demandSavedAt = now
	record = store.DemandRecord{Cores: a.arrivalRate.Cores, RAM: a.arrivalRate.RAM, Accelerators: a.arrivalRate.Accelerators,
		Classes: map[string][2]int64{}}
	size := record.JSONSize()
	for _, class := range a.classesByRuns() {
		runs := [2]int64{int64(a.classRuns[class].Count), int64(a.classRuns[class].Total)}
		size += store.DemandClassSize(class, runs)
		if len(record.Classes) >= maxSavedClasses || size > maxBytes {
			break
		}
		record.Classes[class] = runs
	}
	return record, true
}

// classesByRuns returns the classes with run times, those with the most runs first.
func (a *Autoscaler) classesByRuns() []string {
	return slices.SortedFunc(maps.Keys(a.classRuns), func(x, y string) int {
		return cmp.Or(cmp.Compare(a.classRuns[y].Count, a.classRuns[x].Count), cmp.Compare(x, y))
	})
}

// RestoreDemand restores the arrival rate and run times that a predecessor recorded.
func (a *Autoscaler) RestoreDemand(record *store.DemandRecord) {
	a.predecessorRate = cloud.Load{Cores: record.Cores, RAM: record.RAM, Accelerators: record.Accelerators}
	for class, runs := range record.Classes {
		if count, total := runs[0], runs[1]; count > 0 && total > 0 {
			a.classRuns[class] = jobs.RunTimes{Count: int(count), Total: clock.Micros(total)}
		}
	}
}
