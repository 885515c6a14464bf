package cedardoor

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"

	"cedardoor/clock"
	"cedardoor/cloud"
	"cedardoor/fleet"
	"cedardoor/quota"
	"cedardoor/store"
	"cedardoor/wire"
)

// autoscaler follows the demand for machines, and the rentals and returns that it leads to.
type autoscaler struct {
	catalog         wire.Catalog
	catalogRevision uint64                  // of the catalogue as it is stored
	rentedAt        map[string]clock.Micros // machines rented by this term that have not booted yet, by when they were asked for
	pendingRentals  map[string]*rental
	rentalSequence  int
	capacityRefused map[string]clock.Micros // until when a type, zone and kind is not asked for again
	bootTimes       cloud.BootTimes         // how long machines took lately
	returnedAt      map[string]clock.Micros // machines that were returned: whatever still speaks of them is old
	returnedOrder   []string                // the same, oldest first
	arrivals        cloud.Arrivals          // preemptible work that arrived within the window
	arrivalRate     cloud.Load
	predecessorRate cloud.Load
	demandSavedAt   clock.Micros
	classRuns       map[string]runTimeStat // how long tasks ran lately, by class
	peaks           cloud.Peaks
	idleSince       clock.Micros // since when there has been no work at all
	limitLoggedAt   clock.Micros // when the limit of machines was last logged
}

func newAutoscaler() autoscaler {
	return autoscaler{rentedAt: map[string]clock.Micros{}, pendingRentals: map[string]*rental{}, capacityRefused: map[string]clock.Micros{},
		returnedAt: map[string]clock.Micros{}, classRuns: map[string]runTimeStat{}}
}

// rental is a rental that was asked for.
type rental struct {
	request  wire.RentRequest
	expected map[string]clock.Micros // rented, and not listed or reporting yet
}

// autoscaleLoop keeps the catalogue and the machine list, and rents and returns.
func (l *leader) autoscaleLoop(ctx context.Context) {
	var catAt, listAt clock.Micros
	trouble := false
	for ctx.Err() == nil {
		now := l.clock.Now()
		var err error
		if catAt == 0 || now-catAt > 20*clock.Second {
			if err = l.readCatalog(ctx); err == nil {
				catAt = now
			}
		}
		if err == nil && (listAt == 0 || now-listAt > machineListInterval(l.machines())) {
			if err = l.readMachineList(ctx); err == nil {
				listAt = now
			}
		}
		if err != nil && !trouble && ctx.Err() == nil {
			l.log.Info("cloud does not answer", "error", err)
		}
		trouble = err != nil
		l.checkIsolation(ctx)
		if l.operator.Fleet.Enabled && listAt != 0 {
			l.autoscale(ctx)
			l.saveDemand(ctx)
		}
		l.sleep(ctx, clock.FromSeconds(l.operator.Fleet.PeriodS))
	}
}

// machineListInterval is how far apart the machine list is read: it lags by seconds
// anyway, and each page of it is one of the cloud's few requests.
func machineListInterval(machines int) clock.Micros {
	return 3*clock.Second + clock.Micros(machines/500)*clock.Second
}

// machines is how many machines are known.
func (l *leader) machines() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.Len()
}

func (l *leader) readCatalog(ctx context.Context) error {
	cat, err := l.cloud.Catalog(ctx)
	if err != nil {
		return err
	}
	l.mu.Lock()
	same := sameSizes(cat, l.autoscaler.catalog)
	if !same {
		l.checkGuarantees(cat)
	}
	l.autoscaler.catalog = cat
	l.fleet.SetCatalog(cat)
	stamp := l.autoscaler.catalogRevision
	l.mu.Unlock()
	l.wake()
	if same && stamp != 0 {
		return nil
	}
	// Kept durably, so that any node and any later leader can judge submissions
	// while the cloud does not answer.
	epoch, err := l.store.Commit(ctx, store.Urgent, wire.Txn{
		Conditions: []wire.Condition{{Key: store.KeyLead, ModRevision: l.term.Revision}},
		Operations: []wire.Operation{{Set: store.KeyCatalog, Value: cat}},
	})
	if err != nil {
		l.log.Debug("keep catalogue", "error", err)
		return nil
	}
	l.mu.Lock()
	l.autoscaler.catalogRevision = epoch
	l.mu.Unlock()
	return nil
}

// checkGuarantees logs when the largest fleet that may be held can't hold what teams are
// guaranteed. The caller holds mu.
func (l *leader) checkGuarantees(cat wire.Catalog) {
	var most quota.Amount
	for _, b := range cat.MachineTypes {
		machine := quota.NewAmount(b.Cores, b.Accelerators)
		most.Cores, most.Accelerators = max(most.Cores, machine.Cores), max(most.Accelerators, machine.Accelerators)
	}
	most = most.Times(l.operator.Fleet.MaxMachines)
	if sum := l.quota.GuaranteedInAll(); sum.Cores > most.Cores || sum.Accelerators > most.Accelerators {
		l.log.Info("guarantees add up to more than fleet.max_machines can hold", "cores", sum.Cores.Decimal(), "accelerators", sum.Accelerators.Decimal())
	}
}

func sameSizes(a, b wire.Catalog) bool {
	if len(a.MachineTypes) != len(b.MachineTypes) {
		return false
	}
	for i := range a.MachineTypes {
		x, y := a.MachineTypes[i], b.MachineTypes[i]
		if x.SKU != y.SKU || x.Cores != y.Cores || x.RAM != y.RAM || x.Accelerators != y.Accelerators || fmt.Sprint(x.Zones) != fmt.Sprint(y.Zones) {
			return false
		}
	}
	return true
}

// returnedMemory is how long the names of returned machines are remembered: longer
// than a copy of a report, or an old list, may still speak of them. How many that are
// is bounded by what the cloud's requests can return meanwhile.
const returnedMemory = 30 * 60 * clock.Second

// readMachineList takes the cloud's list in. It lags, so a machine is dropped only
// when nothing can be on it and it has not reported for a while.
func (l *leader) readMachineList(ctx context.Context) error {
	hosts, err := l.cloud.List(ctx)
	if err != nil {
		return err
	}
	now := l.clock.Now()
	lag := clock.FromSeconds(l.cfg.Facts.Cloud.ListLagS)
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := map[string]bool{}
	for len(l.autoscaler.returnedOrder) > 0 && now-l.autoscaler.returnedAt[l.autoscaler.returnedOrder[0]] > returnedMemory {
		delete(l.autoscaler.returnedAt, l.autoscaler.returnedOrder[0])
		l.autoscaler.returnedOrder = l.autoscaler.returnedOrder[1:]
	}
	for _, h := range hosts {
		if _, gone := l.autoscaler.returnedAt[h.UID]; gone {
			continue // an old list: it was returned
		}
		listed[h.UID] = true
		machine := l.fleet.Machine(h.UID)
		if machine == nil {
			machine = l.fleet.Ensure(h.UID, now)
			machine.FirstSeen = now - clock.FromSeconds(h.HeldS)
		}
		if machine.Zone == "" {
			l.fleet.Describe(machine, h.Endpoint, h.Type, h.Zone, h.Preemptible)
		}
		machine.CloudStatus, machine.ListedAt = h.Status, now
	}
	l.fleet.SetCatalog(l.autoscaler.catalog)
	for _, machine := range l.fleet.Machines() {
		if listed[machine.Name] {
			continue
		}
		quiet := machine.LastHeartbeat == 0 || now-machine.LastHeartbeat > 2*lag
		if quiet && now-machine.FirstSeen > 3*lag && now-machine.ListedAt > 3*lag && machine.LeaseExpired(now) && machine.AllocationCount() == 0 {
			l.fleet.Drop(machine.Name)
		}
	}
	for name, p := range l.autoscaler.pendingRentals {
		for h, at := range p.expected {
			if machine := l.fleet.Machine(h); listed[h] || machine != nil && machine.Reported || now-at > 4*lag {
				delete(p.expected, h)
			}
		}
		if len(p.expected) == 0 {
			delete(l.autoscaler.pendingRentals, name)
		}
	}
	return nil
}

// classRunTime is how long tasks of a class have run, which owners' estimates miss by half or more.
func (l *leader) classRunTime(job *Job) clock.Micros {
	if stat := l.autoscaler.classRuns[job.spec.Class]; stat.count >= 8 {
		return stat.mean()
	}
	return clock.FromSeconds(max(1, job.spec.ExpectedS))
}

// drainTimes says how fast a job's class should be worked off: in how many seconds
// with spot machines, and in how many at the price of ordinary ones. Where the
// platform states by when the class's jobs should be done, what is left of that
// after a boot is the measure.
func (l *leader) drainTimes(job *Job, run float64) (drain, patient float64) {
	f := &l.operator.Fleet
	drain = f.QueueS
	if job.priority >= wire.PriorityHigh {
		drain = f.UrgentS
	}
	patient = drain * f.Patience
	ready := 0.0
	for i, b := range l.autoscaler.catalog.MachineTypes {
		if i == 0 || b.BootS < ready {
			ready = b.BootS
		}
	}
	within := 0.0
	for _, o := range l.cfg.Facts.Objectives {
		if o.Kind == "finished" && o.Class == job.spec.Class && (within == 0 || o.WithinS < within) {
			within = o.WithinS
		}
	}
	if within > 0 {
		patient = max(20, min(patient, within-ready-1.5*run))
		drain = min(drain, 0.5*patient)
	}
	return drain, patient
}

// bestEffortDrainTimes is drains for work of the lowest priority, which fills what others leave:
// machines are rented for it at the pace that its class's aims call for, the more
// the less time is left, and only spot ones (patient is zero) where there are none.
func (l *leader) bestEffortDrainTimes(job *Job, run float64, wall clock.Micros) (drain, patient float64) {
	const soonest, latest = 30, 300
	within := 0.0
	for _, o := range l.cfg.Facts.Objectives {
		if o.Kind == "finished" && o.Class == job.spec.Class && (within == 0 || o.WithinS < within) {
			within = o.WithinS
		}
	}
	if within == 0 {
		return latest, 0
	}
	left := within - (wall - clock.Micros(job.acceptedAt)).Seconds() - 1.5*run
	return max(soonest, min(latest, 0.4*left)), max(soonest, left)
}

// countUnfinished counts a job's tasks that have a machine and those that have none.
func (j *Job) countUnfinished() (placed, left int) {
	for i := range j.tasks {
		if s := j.tasks[i].state; s == taskPlaced || s == taskUnreadable {
			placed++
		}
	}
	return placed, len(j.tasks) - j.done - placed
}

// teamShares tells for each team with a limit which part of its waiting work may run beside
// what it uses. Machines for the rest would stand idle.
type teamShares map[string]float64

// grantableShares asks the ledger for the parts of the waiting work that may run. The caller
// holds mu.
func (l *leader) grantableShares() teamShares {
	waiting := map[string]quota.Amount{}
	for job := range l.jobs.waiting {
		if job.cancelled || job.failures.failing || !l.quota.Limits(job.spec.Team).Limited() || !l.fitsTeamLimit(job) {
			continue
		}
		_, left := job.countUnfinished()
		waiting[job.spec.Team] = waiting[job.spec.Team].Plus(job.taskAmount().Times(left))
	}
	out := make(teamShares, len(waiting))
	for team, amount := range waiting {
		out[team] = l.quota.Part(team, amount)
	}
	return out
}

// runnableTasks is how many of a job's waiting tasks its team's limit lets run. The caller holds mu.
func (l *leader) runnableTasks(job *Job, waiting int, grantable teamShares) float64 {
	part, limited := grantable[job.spec.Team]
	switch {
	case !l.fitsTeamLimit(job):
		return 0
	case limited:
		return part * float64(waiting)
	}
	return float64(waiting)
}

// demand sums up the work there is. The caller holds mu.
//
// Loaned work is served by a fleet that follows the rate at which work
// arrives, seen over a window that is long against a machine's boot time and
// its least charge: renting for each burst pays for machines that come up when
// the burst is over. The queue adds to that only what it needs to drain in time.
func (l *leader) demand(now clock.Micros) cloud.Demand {
	f := &l.operator.Fleet
	need := cloud.Demand{ReserveShare: f.ReserveOD, MachineReserveShare: f.ReserveMachine, ZoneReserveShare: f.ReserveZone, IdleTimeout: clock.FromSeconds(f.IdleS), MaxMachines: f.MaxMachines}
	var work, all, pressing, lasting cloud.Load // lasting: replicas that spot machines may hold
	wall := l.clock.Wall()
	grantable := l.grantableShares()
	for _, job := range l.jobs.byUID {
		if job.cancelled {
			continue
		}
		spec := &job.spec
		if job.failures.failing {
			continue // it is tried now and then, but nothing is rented for it
		}
		placed, left := job.countUnfinished()
		running, waiting := float64(placed), l.runnableTasks(job, left, grantable)
		add := func(load *cloud.Load, n float64) {
			load.Cores += n * spec.Cores
			load.RAM += n * spec.RAM
			load.Accelerators += n * spec.Accelerators
		}
		if !spec.Preemptible {
			add(&need.OnDemand, running+waiting)
			need.MaxCores = max(need.MaxCores, spec.Cores)
			need.Spread = need.Spread || spec.Spread
			continue
		}
		if job.isService() {
			add(&lasting, running+waiting)
			continue
		}
		run := l.classRunTime(job).Seconds()
		if job.bestEffort() {
			// What runs when there is room says nothing of what will come.
			job.arrivalCounted = true
			drain, patient := l.bestEffortDrainTimes(job, run, wall)
			left := (waiting + running/2) * run
			most := min(running+waiting, l.bestEffortRate()*run)
			add(&work, min(most, left/drain))
			if patient > 0 {
				add(&pressing, min(most, left/patient))
			}
			add(&all, running+waiting)
			continue
		}
		if !job.arrivalCounted {
			job.arrivalCounted = true
			var load cloud.Load
			add(&load, run*(float64(job.done)+running+waiting))
			first := l.autoscaler.predecessorRate == (cloud.Load{}) && now-l.term.Since < initialJobsWindow
			l.autoscaler.arrivals.Add(cloud.Arrival{At: now, Work: load, Initial: first, Job: job})
		}
		drain, patient := l.drainTimes(job, run)
		seconds := (waiting + running/2) * run
		add(&work, min(running+waiting, seconds/drain))
		add(&pressing, min(running+waiting, seconds/patient))
		add(&all, running+waiting)
	}
	arriving := l.autoscaler.arrivals.Rate(cloud.Window{Now: now, Since: l.term.Since, Span: clock.FromSeconds(f.WindowS), Predecessor: l.autoscaler.predecessorRate,
		MaxHeadroom: f.Headroom, Idle: all.Cores == 0})
	l.autoscaler.arrivalRate = arriving.Load
	need.Preemptible, need.Urgent = arriving.Load, pressing
	need.Preemptible.Cores *= 1 + arriving.Headroom
	need.Preemptible.RAM *= 1 + arriving.Headroom
	if work.Cores > need.Preemptible.Cores {
		need.Preemptible = work
	}
	need.Preemptible.Cores += lasting.Cores
	need.Preemptible.RAM += lasting.RAM
	need.Preemptible.Accelerators += lasting.Accelerators
	need.Urgent.Cores += lasting.Cores
	need.Urgent.RAM += lasting.RAM
	need.Urgent.Accelerators += lasting.Accelerators
	l.autoscaler.peaks.Retain(&need, pressing.Cores, cloud.Retention{Now: now, Since: l.term.Since, Preemptible: clock.FromSeconds(f.HoldS),
		OnDemand: clock.FromSeconds(f.HoldOrdinaryS), Decay: arriving.Decay})
	// With no work at all for a while, nothing is held for what might come.
	if need.OnDemand.Cores > 0 || all.Cores > 0 {
		l.autoscaler.idleSince = 0
	} else if l.autoscaler.idleSince == 0 {
		l.autoscaler.idleSince = now
	}
	if l.autoscaler.idleSince > 0 && now-l.autoscaler.idleSince > need.IdleTimeout {
		need.Preemptible, need.Urgent, need.Growth = cloud.Load{}, cloud.Load{}, 0
		need.KeepPreemptible, need.KeepOnDemand, need.KeepUrgent = 0, 0, 0
	}
	need.NoScaleIn = now-max(l.term.Since, l.detector.runningSince) < 15*clock.Second
	return need
}

// constrainedWork lists the work that only some machines may hold, as cloud.Size wants it:
// what is bound to a zone or to types with all it needs at once, all other work with one
// task, so that even a little of it has a machine. A task that no machine held is
// large enough for stands by itself. The caller holds mu.
func (l *leader) constrainedWork(held []cloud.Machine) []cloud.Constraint {
	type kind struct {
		build, zone string
		loaned      bool
	}
	kinds := map[kind]bool{}
	for _, h := range held {
		if !h.Lost {
			kinds[kind{h.Type, h.Zone, h.Preemptible}] = true
		}
	}
	type key struct {
		zone, builds string
		loaned       bool
		alone        cloud.Load // its task, where nothing held could take it
	}
	found := map[key]*cloud.Constraint{}
	for _, job := range l.jobs.byUID {
		spec := &job.spec
		left := len(job.tasks) - job.done
		if job.cancelled || job.cancellationPending || job.failures.failing || left == 0 {
			continue
		}
		if job.running == 0 && !l.fitsTeamLimit(job) {
			continue // its team is at its limit: no machine would help it
		}
		work := cloud.Constraint{MachineTypes: spec.MachineTypes, Zone: spec.Zone, Preemptible: spec.Preemptible, Task: cloud.Load{Cores: spec.Cores, RAM: spec.RAM, Accelerators: spec.Accelerators}}
		k := key{zone: spec.Zone, builds: strings.Join(spec.MachineTypes, " "), loaned: spec.Preemptible}
		fits := false
		for h := range kinds {
			if b, known := l.fleet.MachineType(h.build); known && work.Allows(b, h.zone, h.loaned) {
				fits = true
				break
			}
		}
		if !fits {
			k.alone = work.Task
		}
		if work.Zone != "" || work.MachineTypes != nil {
			at := float64(left)
			if !job.isService() && spec.Preemptible {
				run := l.classRunTime(job).Seconds()
				drain, _ := l.drainTimes(job, run)
				at = min(at, at*run/drain)
			}
			work.Cores = at * spec.Cores
		}
		if o := found[k]; o == nil {
			found[k] = &work
		} else {
			o.Cores += work.Cores
			if work.Task.Cores > o.Task.Cores {
				o.Task = work.Task
			}
		}
	}
	out := make([]cloud.Constraint, 0, len(found))
	for _, work := range found {
		out = append(out, *work)
	}
	slices.SortFunc(out, func(a, b cloud.Constraint) int { // the same order whatever that of the jobs
		if a.Preemptible != b.Preemptible {
			if a.Preemptible {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), slices.Compare(a.MachineTypes, b.MachineTypes), cmp.Compare(a.Task.Cores, b.Task.Cores),
			cmp.Compare(a.Task.RAM, b.Task.RAM), cmp.Compare(a.Task.Accelerators, b.Task.Accelerators))
	})
	return out
}

// stuckAfter is how long a job with tasks that wait must have had none placed to
// count as stuck, waitsAfter the same for machines with room to be kept for it, and
// maxStuck how many jobs are looked at in a pass.
const (
	stuckAfter   = 60 * clock.Second
	waitingAfter = 5 * clock.Second
	maxStuck     = 8
)

// stuckWork lists a task each of the jobs of which tasks wait and none has been placed
// for that long, though their teams may have more. Where a job must be apart or in one
// zone, it goes to the zone that is left for it. The caller holds mu.
func (l *leader) stuckWork(now, after clock.Micros) (out []cloud.Constraint) {
	var jobs []*Job // the first of them, in order
	older := func(a, b *Job) int { return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.uid, b.uid)) }
	for job := range l.jobs.waiting {
		since := max(job.seenAt, l.detector.runningSince)
		if !job.failures.onTrial() { // what is tried again and again and fails gets nowhere by it
			since = max(since, job.lastPlacedAt)
		} else if after < stuckAfter {
			continue // it waits between its tries, not for room
		}
		if job.cancelled || job.cancellationPending || job.failures.failing || len(job.waiting) == 0 || now-since < after {
			continue
		}
		if !l.fitsTeamLimit(job) {
			continue
		}
		if i, _ := slices.BinarySearchFunc(jobs, job, older); i < maxStuck {
			jobs = slices.Insert(jobs[:min(len(jobs), maxStuck-1)], i, job)
		}
	}
	var zones []string
	for _, b := range l.autoscaler.catalog.MachineTypes {
		zones = append(zones, b.Zones...)
	}
	for _, job := range jobs {
		spec := &job.spec
		work := cloud.Constraint{MachineTypes: spec.MachineTypes, Zone: spec.Zone, Preemptible: spec.Preemptible, Task: cloud.Load{Cores: spec.Cores, RAM: spec.RAM, Accelerators: spec.Accelerators}}
		if work.Zone == "" && (spec.SameZone || spec.Spread) {
			work.Zone = job.preferredZone(zones)
		}
		if spec.SameZone && len(job.planJob.Zones) == 0 {
			work.TogetherInZone = len(job.waiting)
		}
		work.Avoid = map[string]bool{}
		maps.Copy(work.Avoid, job.planJob.Avoid)
		for name := range job.failures.machineFailures {
			work.Avoid[name] = true
		}
		if job.failures.onTrial() && l.avoidsStruck() {
			for machine := range l.attribution.byMachine {
				work.Avoid[machine.Name] = true
			}
		}
		out = append(out, work)
	}
	return out
}

// preferredZone is the zone that holds most of a job that is to be in one, or least
// of a job that is to be apart; empty where that does not tell.
func (j *Job) preferredZone(zones []string) (zone string) {
	if len(j.planJob.Zones) == 0 {
		return ""
	}
	for _, z := range zones {
		n, best := j.planJob.Zones[z], j.planJob.Zones[zone]
		if zone == "" || j.spec.SameZone && n > best || j.spec.Spread && n < best {
			zone = z
		}
	}
	return zone
}

// initialJobsWindow is how long after a first leader's start jobs count as found there.
const initialJobsWindow = 6 * clock.Second

// saveDemand records the rate of arriving work, so that a new leader does not
// take its own ignorance for a lack of work and give machines up.
func (l *leader) saveDemand(ctx context.Context) {
	l.mu.Lock()
	now := l.clock.Now()
	due := now-l.autoscaler.demandSavedAt > 10*clock.Second && l.autoscaler.arrivalRate.Cores > 0
	rec := store.DemandRecord{Cores: l.autoscaler.arrivalRate.Cores, RAM: l.autoscaler.arrivalRate.RAM, Accelerators: l.autoscaler.arrivalRate.Accelerators, Classes: map[string][2]int64{}}
	for class, stat := range l.autoscaler.classRuns {
		if len(rec.Classes) < 50 {
			rec.Classes[class] = [2]int64{int64(stat.count), int64(stat.total)}
		}
	}
	if due {
		l.autoscaler.demandSavedAt = now
	}
	l.mu.Unlock()
	if !due {
		return
	}
	if _, err := l.store.Commit(ctx, store.Normal, wire.Txn{
		Conditions: []wire.Condition{{Key: store.KeyLead, ModRevision: l.term.Revision}},
		Operations: []wire.Operation{{Set: store.KeyDemand, Value: rec}},
	}); err != nil {
		l.log.Debug("keep demand", "error", err)
	}
}

// autoscale decides and carries out one sizing pass.
func (l *leader) autoscale(ctx context.Context) {
	l.mu.Lock()
	if _, may := l.elector.HoldsLease(); !may || len(l.autoscaler.catalog.MachineTypes) == 0 {
		l.mu.Unlock()
		return
	}
	now := l.clock.Now()
	if l.isolatedFromWorkers(now) {
		l.mu.Unlock()
		return
	}
	var held []cloud.Machine
	var giveUp []string
	silent := clock.FromSeconds(l.operator.Fleet.SilentS)
	report := clock.FromSeconds(l.cfg.Facts.Workers.ReportS)
	quiet, known := map[string]int{}, map[string]int{}
	overdue, reconnecting := l.overdueMachines(now), l.reconnecting(now)
	for _, machine := range l.fleet.Machines() {
		if machine.Type == "" || !machine.Reported && machine.ListedAt == 0 && machine.AllocationCount() == 0 {
			continue // nothing but an old report may speak of it
		}
		h := cloud.Machine{Name: machine.Name, Type: machine.Type, Zone: machine.Zone, Preemptible: machine.Preemptible, Up: machine.Reported, Cordoned: machine.Cordoned,
			UsedCores: machine.UsedCores}
		machine.EachAllocation(func(allocation *fleet.Allocation) {
			if allocation.Live() {
				h.Tasks++
				if job, known := allocation.Owner.(*Job); known && job.isService() {
					h.Replicas++
				}
				if !allocation.Preemptible {
					h.OnDemandCores += allocation.Cores
				}
			}
		})
		if l.usable(machine, now) {
			h.Free.Cores, h.Free.Accelerators, h.Free.RAM = machine.Free()
		} else if b, known := l.fleet.MachineType(machine.Type); known && !h.Up {
			h.Free = cloud.Load{Cores: b.Cores, RAM: b.RAM, Accelerators: b.Accelerators}
		}
		h.Tasks += machine.RunningOrphans()
		if machine.IdleSince > 0 && machine.RunningOrphans() == 0 {
			h.Idle = now - machine.IdleSince
		}
		// What was up and has been silent for two reports is replaced at once: a
		// machine takes longer to boot than a lease to run out.
		h.Lost = machine.QuarantineReason != "" || machine.Returning || machine.CloudStatus == wire.MachineFailed || machine.Reported && (machine.Unresponsive || machine.Suspect) ||
			!machine.Reported && machine.ListedAt > 0 && machine.CloudStatus != wire.MachineBooting && now-machine.FirstSeen > silent ||
			l.detector.awaited[machine] && !machine.Reported && now-l.term.Since > 2*report+2*clock.Second && !reconnecting || overdue.Replace[machine.Name]
		held = append(held, h)
		if l.detector.awaited[machine] && !machine.Reported && now-l.term.Since > 2*report || machine.Reported && (machine.Unresponsive || machine.Suspect) {
			quiet[machine.Zone]++
			known[machine.Zone]++
		} else if machine.Reported {
			known[machine.Zone]++
		}
		dead := machine.CloudStatus == wire.MachineFailed ||
			overdue.Return[machine.Name] ||
			machine.Reported && now-max(machine.LastHeartbeat, l.detector.runningSince) > silent ||
			!machine.Reported && machine.CloudStatus == wire.MachineRunning && now-max(machine.FirstSeen, l.term.Since, l.detector.runningSince) > silent ||
			(machine.QuarantineReason == "sick" || machine.QuarantineReason == "slow") && h.Tasks == 0 ||
			machine.Returning
		if dead && !machine.Returning {
			machine.Returning = true
			l.planner.changedMachines[machine] = true
		}
		if dead {
			giveUp = append(giveUp, machine.Name)
		}
	}
	for _, p := range l.autoscaler.pendingRentals {
		for h := range p.expected {
			if machine := l.fleet.Machine(h); machine == nil || machine.Type == "" {
				b, _ := l.fleet.MachineType(p.request.MachineType)
				held = append(held, cloud.Machine{Name: h, Type: p.request.MachineType, Zone: p.request.Zone, Preemptible: p.request.Preemptible,
					Free: cloud.Load{Cores: b.Cores, RAM: b.RAM, Accelerators: b.Accelerators}})
			}
		}
	}
	for key, until := range l.autoscaler.capacityRefused {
		if now > until {
			delete(l.autoscaler.capacityRefused, key)
		}
	}
	cut := unreachableZones(quiet, known)
	refused := func(build, zone string, loaned bool) bool {
		if cut[zone] {
			return true
		}
		_, no := l.autoscaler.capacityRefused[refusedKey(build, zone, loaned)]
		return no
	}
	live := 0
	var cores, idle [2]float64 // ordinary and loaned ones that count, and what of them is unused
	for _, h := range held {
		live += h.Tasks
		if b, known := l.fleet.MachineType(h.Type); known && !h.Lost && h.Up {
			kind := 0
			if h.Preemptible {
				kind = 1
			}
			cores[kind] += b.Cores
			idle[kind] += b.Cores - h.UsedCores
		}
	}
	l.metrics.Fleet(len(held), live, len(l.autoscaler.capacityRefused))
	need := l.demand(now)
	need.Constrained, need.Stuck = l.constrainedWork(held), l.stuckWork(now, stuckAfter)
	need.Waiting = l.stuckWork(now, waitingAfter)
	v := cloud.Resize(l.autoscaler.catalog.MachineTypes, held, need, refused)
	for _, name := range v.Cordon {
		l.fleet.Machine(name).Cordoned = true
		l.planner.changedMachines[l.fleet.Machine(name)] = true
	}
	for _, name := range v.Uncordon {
		l.fleet.Machine(name).Cordoned = false
		l.planner.changedMachines[l.fleet.Machine(name)] = true
	}
	for _, name := range v.Return {
		machine := l.fleet.Machine(name)
		if machine.LiveCount() == 0 && machine.RunningOrphans() == 0 && machine.Cordoned {
			machine.Returning = true
			l.planner.changedMachines[machine] = true
			giveUp = append(giveUp, name)
		}
	}
	l.log.Debug("sizing", "held", len(held), "ordinary", math.Round(need.OnDemand.Cores), "loaned", math.Round(need.Preemptible.Cores), "pressing", math.Round(need.Urgent.Cores), "rate", math.Round(l.autoscaler.arrivalRate.Cores),
		"up", fmt.Sprint(cores), "unused", fmt.Sprint(idle), "rent", fmt.Sprint(v.Rent), "cordon", len(v.Cordon), "uncordon", len(v.Uncordon), "return", fmt.Sprint(giveUp))
	l.mu.Unlock()
	if len(giveUp) > 0 {
		l.returnMachines(ctx, giveUp[:min(len(giveUp), wire.MaxReturnPerRequest)])
	}
	if v.LimitReached && now-l.autoscaler.limitLoggedAt > 10*clock.Second {
		l.autoscaler.limitLoggedAt = now
		l.log.Info("no more machines may be held: fleet.max_machines", "most", l.operator.Fleet.MaxMachines)
	}
	// The most pressing first, in whole batches and side by side; what goes beyond
	// the cloud's requests of a pass is asked for on the next.
	var wg sync.WaitGroup
	for _, w := range splitRentals(v.Rent, int(l.cfg.Facts.Cloud.RPS*l.operator.Fleet.PeriodS)) {
		wg.Go(func() { l.rentMachines(ctx, w) })
	}
	wg.Wait()
	if len(v.Uncordon) > 0 {
		l.wake()
	}
}

// splitRentals splits rentals into what one request may ask for, at most so many requests.
func splitRentals(wishes []cloud.Rental, most int) (out []cloud.Rental) {
	for _, w := range wishes {
		for left := w.Count; left > 0 && len(out) < max(4, most); left -= wire.MaxRentPerRequest {
			w.Count = min(left, wire.MaxRentPerRequest)
			out = append(out, w)
		}
	}
	return out
}

// unreachableZones names the zones nearly all of whose machines are silent: nothing is
// rented where it could not be reached. A wave of spot machines taken back
// leaves others. When all zones are silent, the fault is this controller's.
func unreachableZones(quiet, known map[string]int) map[string]bool {
	cut := map[string]bool{}
	for zone, n := range quiet {
		if n >= 3 && 5*n > 4*known[zone] {
			cut[zone] = true
		}
	}
	if len(cut) == len(known) {
		return nil
	}
	return cut
}

func refusedKey(build, zone string, loaned bool) string {
	return fmt.Sprintf("%s/%s/%t", build, zone, loaned)
}

// returnMachines returns machines. Nothing new is put on them from the moment that
// it is decided; their bookings are freed only by the cloud's 200.
func (l *leader) returnMachines(ctx context.Context, names []string) {
	// Judged before this process stood still, perhaps: a successor may use them.
	if _, may := l.elector.HoldsLease(); !may {
		return
	}
	if err := l.cloud.Return(ctx, names); err != nil {
		l.log.Debug("return machines", "error", err)
		return // they stay marked, and are returned on a later pass
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		l.applyEvents(l.fleet.MachineReturned(name, now), now)
		if _, known := l.autoscaler.returnedAt[name]; !known {
			l.autoscaler.returnedOrder = append(l.autoscaler.returnedOrder, name)
		}
		l.autoscaler.returnedAt[name] = now
		delete(l.autoscaler.rentedAt, name)
	}
	l.log.Info("machines returned", "hosts", fmt.Sprint(names))
	l.wake()
}

// rentMachines asks for machines under a name that is never used again; a lost answer
// is asked for again under the same name.
func (l *leader) rentMachines(ctx context.Context, w cloud.Rental) {
	l.mu.Lock()
	l.autoscaler.rentalSequence++
	req := wire.RentRequest{RequestID: fmt.Sprintf("r-%d-%d", l.term.Token, l.autoscaler.rentalSequence), MachineType: w.MachineType, Zone: w.Zone, Preemptible: w.Preemptible, Count: min(w.Count, wire.MaxRentPerRequest)}
	l.mu.Unlock()
	asked := l.clock.Now()
	var hosts []string
	var err error
	for try := 0; try < 3; try++ {
		if _, may := l.elector.HoldsLease(); !may {
			err = errNotSent
			break
		}
		hosts, err = l.cloud.Rent(ctx, req)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) || ctx.Err() != nil {
			break
		}
		l.sleep(ctx, clock.Second)
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(hosts) < req.Count {
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			l.autoscaler.capacityRefused[refusedKey(w.MachineType, w.Zone, w.Preemptible)] = now + 20*clock.Second
		}
	}
	if err != nil {
		l.log.Debug("rent", "error", err)
		return
	}
	h := &rental{request: req, expected: map[string]clock.Micros{}}
	for _, name := range hosts {
		h.expected[name] = now
		l.autoscaler.rentedAt[name] = asked
		if machine := l.fleet.Machine(name); machine != nil && machine.Reported {
			l.machineBooted(machine, now) // before the cloud had answered
		}
	}
	l.autoscaler.pendingRentals[req.RequestID] = h
	l.log.Info("machines rented", "build", w.MachineType, "zone", w.Zone, "loaned", w.Preemptible, "hosts", fmt.Sprint(hosts))
}

// machineBooted notes that a machine that this term rented is up. The caller holds mu.
func (l *leader) machineBooted(machine *fleet.Machine, now clock.Micros) {
	asked, rented := l.autoscaler.rentedAt[machine.Name]
	if !rented {
		return
	}
	delete(l.autoscaler.rentedAt, machine.Name)
	l.autoscaler.bootTimes.Booted(now, now-asked, l.bootTime(machine.Type))
}

// bootTime is how long a type takes to boot, by the catalogue.
func (l *leader) bootTime(build string) clock.Micros {
	if b, ok := l.fleet.MachineType(build); ok && b.BootS > 0 {
		return clock.FromSeconds(b.BootS)
	}
	return 60 * clock.Second
}

// overdueMachines judges the machines that should be up by now and are not. The caller holds mu.
func (l *leader) overdueMachines(now clock.Micros) cloud.Overdue {
	// What was rented by a predecessor, or while this process stood still, may be up
	// and on its way here.
	settled := now-max(l.detector.runningSince, l.term.Since) > 3*clock.FromSeconds(l.cfg.Facts.Cloud.ListLagS)
	var booting []cloud.Booting
	l.fleet.EachMachine(func(machine *fleet.Machine) {
		if machine.Reported || machine.CloudStatus != wire.MachineBooting || machine.Returning || machine.AnsweredAt > 0 {
			return
		}
		from, rented := l.autoscaler.rentedAt[machine.Name]
		if !rented {
			if from = machine.FirstSeen; !settled {
				return
			}
		}
		booting = append(booting, cloud.Booting{Name: machine.Name, Age: now - max(from, l.detector.runningSince), Expected: l.bootTime(machine.Type)})
	})
	overdue := l.autoscaler.bootTimes.Evaluate(now, booting, l.operator.Fleet.BootFactor)
	if overdue.Late > 0 {
		l.log.Debug("machines are late", "late", overdue.Late, "longest", overdue.Longest, "general", overdue.CloudSlow,
			"counted_out", len(overdue.Replace), "given_up", len(overdue.Return))
	}
	return overdue
}
