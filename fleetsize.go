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

// rental is a rental that was asked for.
type rental struct {
	request  wire.RentRequest
	expected map[string]clock.Micros // rented, and not listed or reporting yet
}

// autoscaleLoop keeps the catalogue and the machine list, and rents and returns.
func (g *leader) autoscaleLoop(ctx context.Context) {
	var catAt, listAt clock.Micros
	trouble := false
	for ctx.Err() == nil {
		now := g.clock.Now()
		var err error
		if catAt == 0 || now-catAt > 20*clock.Second {
			if err = g.readCatalog(ctx); err == nil {
				catAt = now
			}
		}
		if err == nil && (listAt == 0 || now-listAt > machineListInterval(g.machines())) {
			if err = g.readMachineList(ctx); err == nil {
				listAt = now
			}
		}
		if err != nil && !trouble && ctx.Err() == nil {
			g.log.Info("cloud does not answer", "error", err)
		}
		trouble = err != nil
		g.checkIsolation(ctx)
		if g.operator.Fleet.Enabled && listAt != 0 {
			g.autoscale(ctx)
			g.saveDemand(ctx)
		}
		g.sleep(ctx, clock.FromSeconds(g.operator.Fleet.PeriodS))
	}
}

// machineListInterval is how far apart the machine list is read: it lags by seconds
// anyway, and each page of it is one of the cloud's few requests.
func machineListInterval(machines int) clock.Micros {
	return 3*clock.Second + clock.Micros(machines/500)*clock.Second
}

// machines is how many machines are known.
func (g *leader) machines() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Len()
}

func (g *leader) readCatalog(ctx context.Context) error {
	cat, err := g.cloud.Catalog(ctx)
	if err != nil {
		return err
	}
	g.mu.Lock()
	same := sameSizes(cat, g.catalog)
	if !same {
		g.checkGuarantees(cat)
	}
	g.catalog = cat
	g.fleet.SetCatalog(cat)
	stamp := g.catalogRevision
	g.mu.Unlock()
	g.wake()
	if same && stamp != 0 {
		return nil
	}
	// Kept durably, so that any node and any later leader can judge submissions
	// while the cloud does not answer.
	epoch, err := g.store.Commit(ctx, store.Urgent, wire.Txn{
		Conditions: []wire.Condition{{Key: store.KeyLead, ModRevision: g.term.Revision}},
		Operations: []wire.Operation{{Set: store.KeyCatalog, Value: cat}},
	})
	if err != nil {
		g.log.Debug("keep catalogue", "error", err)
		return nil
	}
	g.mu.Lock()
	g.catalogRevision = epoch
	g.mu.Unlock()
	return nil
}

// checkGuarantees logs when the largest fleet that may be held can't hold what teams are
// guaranteed. The caller holds mu.
func (g *leader) checkGuarantees(cat wire.Catalog) {
	var most quota.Amount
	for _, b := range cat.MachineTypes {
		machine := quota.NewAmount(b.Cores, b.Accelerators)
		most.Cores, most.Accelerators = max(most.Cores, machine.Cores), max(most.Accelerators, machine.Accelerators)
	}
	most = most.Times(g.operator.Fleet.MaxMachines)
	if sum := g.quota.GuaranteedInAll(); sum.Cores > most.Cores || sum.Accelerators > most.Accelerators {
		g.log.Info("guarantees add up to more than fleet.max_machines can hold", "cores", sum.Cores.Decimal(), "accelerators", sum.Accelerators.Decimal())
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
func (g *leader) readMachineList(ctx context.Context) error {
	hosts, err := g.cloud.List(ctx)
	if err != nil {
		return err
	}
	now := g.clock.Now()
	lag := clock.FromSeconds(g.cfg.Facts.Cloud.ListLagS)
	g.mu.Lock()
	defer g.mu.Unlock()
	listed := map[string]bool{}
	for len(g.returnedOrder) > 0 && now-g.returnedMachines[g.returnedOrder[0]] > returnedMemory {
		delete(g.returnedMachines, g.returnedOrder[0])
		g.returnedOrder = g.returnedOrder[1:]
	}
	for _, h := range hosts {
		if _, gone := g.returnedMachines[h.UID]; gone {
			continue // an old list: it was returned
		}
		listed[h.UID] = true
		m := g.fleet.Machine(h.UID)
		if m == nil {
			m = g.fleet.Ensure(h.UID, now)
			m.FirstSeen = now - clock.FromSeconds(h.HeldS)
		}
		if m.Zone == "" {
			g.fleet.Describe(m, h.Endpoint, h.Type, h.Zone, h.Preemptible)
		}
		m.CloudStatus, m.ListedAt = h.Status, now
	}
	g.fleet.SetCatalog(g.catalog)
	for _, m := range g.fleet.Machines() {
		if listed[m.Name] {
			continue
		}
		quiet := m.LastHeartbeat == 0 || now-m.LastHeartbeat > 2*lag
		if quiet && now-m.FirstSeen > 3*lag && now-m.ListedAt > 3*lag && m.LeaseExpired(now) && m.AllocationCount() == 0 {
			g.fleet.Drop(m.Name)
		}
	}
	for name, p := range g.pendingRentals {
		for h, at := range p.expected {
			if m := g.fleet.Machine(h); listed[h] || m != nil && m.Reported || now-at > 4*lag {
				delete(p.expected, h)
			}
		}
		if len(p.expected) == 0 {
			delete(g.pendingRentals, name)
		}
	}
	return nil
}

// classRunTime is how long tasks of a class have run, which owners' estimates miss by half or more.
func (g *leader) classRunTime(j *Job) clock.Micros {
	if st := g.classRuns[j.spec.Class]; st.count >= 8 {
		return st.mean()
	}
	return clock.FromSeconds(max(1, j.spec.ExpectedS))
}

// drainTimes says how fast a job's class should be worked off: in how many seconds
// with spot machines, and in how many at the price of ordinary ones. Where the
// platform states by when the class's jobs should be done, what is left of that
// after a boot is the measure.
func (g *leader) drainTimes(j *Job, run float64) (drain, patient float64) {
	f := &g.operator.Fleet
	drain = f.QueueS
	if j.priority >= wire.PriorityHigh {
		drain = f.UrgentS
	}
	patient = drain * f.Patience
	ready := 0.0
	for i, b := range g.catalog.MachineTypes {
		if i == 0 || b.BootS < ready {
			ready = b.BootS
		}
	}
	within := 0.0
	for _, o := range g.cfg.Facts.Objectives {
		if o.Kind == "finished" && o.Class == j.spec.Class && (within == 0 || o.WithinS < within) {
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
func (g *leader) bestEffortDrainTimes(j *Job, run float64, wall clock.Micros) (drain, patient float64) {
	const soonest, latest = 30, 300
	within := 0.0
	for _, o := range g.cfg.Facts.Objectives {
		if o.Kind == "finished" && o.Class == j.spec.Class && (within == 0 || o.WithinS < within) {
			within = o.WithinS
		}
	}
	if within == 0 {
		return latest, 0
	}
	left := within - (wall - clock.Micros(j.acceptedAt)).Seconds() - 1.5*run
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
func (g *leader) grantableShares() teamShares {
	waiting := map[string]quota.Amount{}
	for j := range g.queue {
		if j.cancelled || j.failures.failing || !g.quota.Limits(j.spec.Team).Limited() || !g.fitsTeamLimit(j) {
			continue
		}
		_, left := j.countUnfinished()
		waiting[j.spec.Team] = waiting[j.spec.Team].Plus(j.taskAmount().Times(left))
	}
	out := make(teamShares, len(waiting))
	for team, amount := range waiting {
		out[team] = g.quota.Part(team, amount)
	}
	return out
}

// runnableTasks is how many of a job's waiting tasks its team's limit lets run. The caller holds mu.
func (g *leader) runnableTasks(j *Job, waiting int, grantable teamShares) float64 {
	part, limited := grantable[j.spec.Team]
	switch {
	case !g.fitsTeamLimit(j):
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
func (g *leader) demand(now clock.Micros) cloud.Demand {
	f := &g.operator.Fleet
	need := cloud.Demand{ReserveShare: f.ReserveOD, MachineReserveShare: f.ReserveMachine, ZoneReserveShare: f.ReserveZone, IdleTimeout: clock.FromSeconds(f.IdleS), MaxMachines: f.MaxMachines}
	var work, all, pressing, lasting cloud.Load // lasting: replicas that spot machines may hold
	wall := g.clock.Wall()
	grantable := g.grantableShares()
	for _, j := range g.jobs {
		if j.cancelled {
			continue
		}
		s := &j.spec
		if j.failures.failing {
			continue // it is tried now and then, but nothing is rented for it
		}
		placed, left := j.countUnfinished()
		running, waiting := float64(placed), g.runnableTasks(j, left, grantable)
		add := func(load *cloud.Load, n float64) {
			load.Cores += n * s.Cores
			load.RAM += n * s.RAM
			load.Accelerators += n * s.Accelerators
		}
		if !s.Preemptible {
			add(&need.OnDemand, running+waiting)
			need.MaxCores = max(need.MaxCores, s.Cores)
			need.Spread = need.Spread || s.Spread
			continue
		}
		if j.isService() {
			add(&lasting, running+waiting)
			continue
		}
		run := g.classRunTime(j).Seconds()
		if j.bestEffort() {
			// What runs when there is room says nothing of what will come.
			j.arrivalCounted = true
			drain, patient := g.bestEffortDrainTimes(j, run, wall)
			left := (waiting + running/2) * run
			most := min(running+waiting, g.bestEffortRate()*run)
			add(&work, min(most, left/drain))
			if patient > 0 {
				add(&pressing, min(most, left/patient))
			}
			add(&all, running+waiting)
			continue
		}
		if !j.arrivalCounted {
			j.arrivalCounted = true
			var load cloud.Load
			add(&load, run*(float64(j.done)+running+waiting))
			first := g.predecessorRate == (cloud.Load{}) && now-g.term.Since < initialJobsWindow
			g.arrivals.Add(cloud.Arrival{At: now, Work: load, Initial: first, Job: j})
		}
		drain, patient := g.drainTimes(j, run)
		seconds := (waiting + running/2) * run
		add(&work, min(running+waiting, seconds/drain))
		add(&pressing, min(running+waiting, seconds/patient))
		add(&all, running+waiting)
	}
	arriving := g.arrivals.Rate(cloud.Window{Now: now, Since: g.term.Since, Span: clock.FromSeconds(f.WindowS), Predecessor: g.predecessorRate,
		MaxHeadroom: f.Headroom, Idle: all.Cores == 0})
	g.arrivalRate = arriving.Load
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
	g.peaks.Retain(&need, pressing.Cores, cloud.Retention{Now: now, Since: g.term.Since, Preemptible: clock.FromSeconds(f.HoldS),
		OnDemand: clock.FromSeconds(f.HoldOrdinaryS), Decay: arriving.Decay})
	// With no work at all for a while, nothing is held for what might come.
	if need.OnDemand.Cores > 0 || all.Cores > 0 {
		g.idleSince = 0
	} else if g.idleSince == 0 {
		g.idleSince = now
	}
	if g.idleSince > 0 && now-g.idleSince > need.IdleTimeout {
		need.Preemptible, need.Urgent, need.Growth = cloud.Load{}, cloud.Load{}, 0
		need.KeepPreemptible, need.KeepOnDemand, need.KeepUrgent = 0, 0, 0
	}
	need.NoScaleIn = now-max(g.term.Since, g.runningSince) < 15*clock.Second
	return need
}

// constrainedWork lists the work that only some machines may hold, as cloud.Size wants it:
// what is bound to a zone or to types with all it needs at once, all other work with one
// task, so that even a little of it has a machine. A task that no machine held is
// large enough for stands by itself. The caller holds mu.
func (g *leader) constrainedWork(held []cloud.Machine) []cloud.Constraint {
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
	for _, j := range g.jobs {
		s := &j.spec
		left := len(j.tasks) - j.done
		if j.cancelled || j.cancellationPending || j.failures.failing || left == 0 {
			continue
		}
		if j.running == 0 && !g.fitsTeamLimit(j) {
			continue // its team is at its limit: no machine would help it
		}
		w := cloud.Constraint{MachineTypes: s.MachineTypes, Zone: s.Zone, Preemptible: s.Preemptible, Task: cloud.Load{Cores: s.Cores, RAM: s.RAM, Accelerators: s.Accelerators}}
		k := key{zone: s.Zone, builds: strings.Join(s.MachineTypes, " "), loaned: s.Preemptible}
		fits := false
		for h := range kinds {
			if b, known := g.fleet.MachineType(h.build); known && w.Allows(b, h.zone, h.loaned) {
				fits = true
				break
			}
		}
		if !fits {
			k.alone = w.Task
		}
		if w.Zone != "" || w.MachineTypes != nil {
			at := float64(left)
			if !j.isService() && s.Preemptible {
				run := g.classRunTime(j).Seconds()
				drain, _ := g.drainTimes(j, run)
				at = min(at, at*run/drain)
			}
			w.Cores = at * s.Cores
		}
		if o := found[k]; o == nil {
			found[k] = &w
		} else {
			o.Cores += w.Cores
			if w.Task.Cores > o.Task.Cores {
				o.Task = w.Task
			}
		}
	}
	out := make([]cloud.Constraint, 0, len(found))
	for _, w := range found {
		out = append(out, *w)
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
func (g *leader) stuckWork(now, after clock.Micros) (out []cloud.Constraint) {
	var jobs []*Job // the first of them, in order
	older := func(a, b *Job) int { return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.uid, b.uid)) }
	for j := range g.queue {
		since := max(j.seenAt, g.runningSince)
		if !j.failures.onTrial() { // what is tried again and again and fails gets nowhere by it
			since = max(since, j.lastPlacedAt)
		} else if after < stuckAfter {
			continue // it waits between its tries, not for room
		}
		if j.cancelled || j.cancellationPending || j.failures.failing || len(j.waiting) == 0 || now-since < after {
			continue
		}
		if !g.fitsTeamLimit(j) {
			continue
		}
		if i, _ := slices.BinarySearchFunc(jobs, j, older); i < maxStuck {
			jobs = slices.Insert(jobs[:min(len(jobs), maxStuck-1)], i, j)
		}
	}
	var zones []string
	for _, b := range g.catalog.MachineTypes {
		zones = append(zones, b.Zones...)
	}
	for _, j := range jobs {
		s := &j.spec
		w := cloud.Constraint{MachineTypes: s.MachineTypes, Zone: s.Zone, Preemptible: s.Preemptible, Task: cloud.Load{Cores: s.Cores, RAM: s.RAM, Accelerators: s.Accelerators}}
		if w.Zone == "" && (s.SameZone || s.Spread) {
			w.Zone = j.preferredZone(zones)
		}
		if s.SameZone && len(j.planJob.Zones) == 0 {
			w.TogetherInZone = len(j.waiting)
		}
		w.Avoid = map[string]bool{}
		maps.Copy(w.Avoid, j.planJob.Avoid)
		for name := range j.failures.machineFailures {
			w.Avoid[name] = true
		}
		if j.failures.onTrial() && g.avoidsStruck() {
			for m := range g.machineFailures {
				w.Avoid[m.Name] = true
			}
		}
		out = append(out, w)
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
func (g *leader) saveDemand(ctx context.Context) {
	g.mu.Lock()
	now := g.clock.Now()
	due := now-g.demandSavedAt > 10*clock.Second && g.arrivalRate.Cores > 0
	rec := store.DemandRecord{Cores: g.arrivalRate.Cores, RAM: g.arrivalRate.RAM, Accelerators: g.arrivalRate.Accelerators, Classes: map[string][2]int64{}}
	for class, st := range g.classRuns {
		if len(rec.Classes) < 50 {
			rec.Classes[class] = [2]int64{int64(st.count), int64(st.total)}
		}
	}
	if due {
		g.demandSavedAt = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	if _, err := g.store.Commit(ctx, store.Normal, wire.Txn{
		Conditions: []wire.Condition{{Key: store.KeyLead, ModRevision: g.term.Revision}},
		Operations: []wire.Operation{{Set: store.KeyDemand, Value: rec}},
	}); err != nil {
		g.log.Debug("keep demand", "error", err)
	}
}

// autoscale decides and carries out one sizing pass.
func (g *leader) autoscale(ctx context.Context) {
	g.mu.Lock()
	if _, may := g.elector.HoldsLease(); !may || len(g.catalog.MachineTypes) == 0 {
		g.mu.Unlock()
		return
	}
	now := g.clock.Now()
	if g.isolatedFromWorkers(now) {
		g.mu.Unlock()
		return
	}
	var held []cloud.Machine
	var giveUp []string
	silent := clock.FromSeconds(g.operator.Fleet.SilentS)
	report := clock.FromSeconds(g.cfg.Facts.Workers.ReportS)
	quiet, known := map[string]int{}, map[string]int{}
	overdue, reconnecting := g.overdueMachines(now), g.reconnecting(now)
	for _, m := range g.fleet.Machines() {
		if m.Type == "" || !m.Reported && m.ListedAt == 0 && m.AllocationCount() == 0 {
			continue // nothing but an old report may speak of it
		}
		h := cloud.Machine{Name: m.Name, Type: m.Type, Zone: m.Zone, Preemptible: m.Preemptible, Up: m.Reported, Cordoned: m.Cordoned,
			UsedCores: m.UsedCores}
		m.EachAllocation(func(b *fleet.Allocation) {
			if b.Live() {
				h.Tasks++
				if j, known := b.Owner.(*Job); known && j.isService() {
					h.Replicas++
				}
				if !b.Preemptible {
					h.OnDemandCores += b.Cores
				}
			}
		})
		if g.usable(m, now) {
			h.Free.Cores, h.Free.Accelerators, h.Free.RAM = m.Free()
		} else if b, known := g.fleet.MachineType(m.Type); known && !h.Up {
			h.Free = cloud.Load{Cores: b.Cores, RAM: b.RAM, Accelerators: b.Accelerators}
		}
		h.Tasks += m.RunningOrphans()
		if m.IdleSince > 0 && m.RunningOrphans() == 0 {
			h.Idle = now - m.IdleSince
		}
		// What was up and has been silent for two reports is replaced at once: a
		// machine takes longer to boot than a lease to run out.
		h.Lost = m.QuarantineReason != "" || m.Returning || m.CloudStatus == wire.MachineFailed || m.Reported && (m.Unresponsive || m.Suspect) ||
			!m.Reported && m.ListedAt > 0 && m.CloudStatus != wire.MachineBooting && now-m.FirstSeen > silent ||
			g.awaitedMachines[m] && !m.Reported && now-g.term.Since > 2*report+2*clock.Second && !reconnecting || overdue.Replace[m.Name]
		held = append(held, h)
		if g.awaitedMachines[m] && !m.Reported && now-g.term.Since > 2*report || m.Reported && (m.Unresponsive || m.Suspect) {
			quiet[m.Zone]++
			known[m.Zone]++
		} else if m.Reported {
			known[m.Zone]++
		}
		dead := m.CloudStatus == wire.MachineFailed ||
			overdue.Return[m.Name] ||
			m.Reported && now-max(m.LastHeartbeat, g.runningSince) > silent ||
			!m.Reported && m.CloudStatus == wire.MachineRunning && now-max(m.FirstSeen, g.term.Since, g.runningSince) > silent ||
			(m.QuarantineReason == "sick" || m.QuarantineReason == "slow") && h.Tasks == 0 ||
			m.Returning
		if dead && !m.Returning {
			m.Returning = true
			g.changedMachines[m] = true
		}
		if dead {
			giveUp = append(giveUp, m.Name)
		}
	}
	for _, p := range g.pendingRentals {
		for h := range p.expected {
			if m := g.fleet.Machine(h); m == nil || m.Type == "" {
				b, _ := g.fleet.MachineType(p.request.MachineType)
				held = append(held, cloud.Machine{Name: h, Type: p.request.MachineType, Zone: p.request.Zone, Preemptible: p.request.Preemptible,
					Free: cloud.Load{Cores: b.Cores, RAM: b.RAM, Accelerators: b.Accelerators}})
			}
		}
	}
	for key, until := range g.capacityRefused {
		if now > until {
			delete(g.capacityRefused, key)
		}
	}
	cut := unreachableZones(quiet, known)
	refused := func(build, zone string, loaned bool) bool {
		if cut[zone] {
			return true
		}
		_, no := g.capacityRefused[refusedKey(build, zone, loaned)]
		return no
	}
	live := 0
	var cores, idle [2]float64 // ordinary and loaned ones that count, and what of them is unused
	for _, h := range held {
		live += h.Tasks
		if b, known := g.fleet.MachineType(h.Type); known && !h.Lost && h.Up {
			kind := 0
			if h.Preemptible {
				kind = 1
			}
			cores[kind] += b.Cores
			idle[kind] += b.Cores - h.UsedCores
		}
	}
	g.metrics.Fleet(len(held), live, len(g.capacityRefused))
	need := g.demand(now)
	need.Constrained, need.Stuck = g.constrainedWork(held), g.stuckWork(now, stuckAfter)
	need.Waiting = g.stuckWork(now, waitingAfter)
	v := cloud.Resize(g.catalog.MachineTypes, held, need, refused)
	for _, name := range v.Cordon {
		g.fleet.Machine(name).Cordoned = true
		g.changedMachines[g.fleet.Machine(name)] = true
	}
	for _, name := range v.Uncordon {
		g.fleet.Machine(name).Cordoned = false
		g.changedMachines[g.fleet.Machine(name)] = true
	}
	for _, name := range v.Return {
		m := g.fleet.Machine(name)
		if m.LiveCount() == 0 && m.RunningOrphans() == 0 && m.Cordoned {
			m.Returning = true
			g.changedMachines[m] = true
			giveUp = append(giveUp, name)
		}
	}
	g.log.Debug("sizing", "held", len(held), "ordinary", math.Round(need.OnDemand.Cores), "loaned", math.Round(need.Preemptible.Cores), "pressing", math.Round(need.Urgent.Cores), "rate", math.Round(g.arrivalRate.Cores),
		"up", fmt.Sprint(cores), "unused", fmt.Sprint(idle), "rent", fmt.Sprint(v.Rent), "cordon", len(v.Cordon), "uncordon", len(v.Uncordon), "return", fmt.Sprint(giveUp))
	g.mu.Unlock()
	if len(giveUp) > 0 {
		g.returnMachines(ctx, giveUp[:min(len(giveUp), wire.MaxReturnPerRequest)])
	}
	if v.LimitReached && now-g.limitLoggedAt > 10*clock.Second {
		g.limitLoggedAt = now
		g.log.Info("no more machines may be held: fleet.max_machines", "most", g.operator.Fleet.MaxMachines)
	}
	// The most pressing first, in whole batches and side by side; what goes beyond
	// the cloud's requests of a pass is asked for on the next.
	var wg sync.WaitGroup
	for _, w := range splitRentals(v.Rent, int(g.cfg.Facts.Cloud.RPS*g.operator.Fleet.PeriodS)) {
		wg.Go(func() { g.rentMachines(ctx, w) })
	}
	wg.Wait()
	if len(v.Uncordon) > 0 {
		g.wake()
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
func (g *leader) returnMachines(ctx context.Context, names []string) {
	// Judged before this process stood still, perhaps: a successor may use them.
	if _, may := g.elector.HoldsLease(); !may {
		return
	}
	if err := g.cloud.Return(ctx, names); err != nil {
		g.log.Debug("return machines", "error", err)
		return // they stay marked, and are returned on a later pass
	}
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range names {
		g.applyEvents(g.fleet.MachineReturned(name, now), now)
		if _, known := g.returnedMachines[name]; !known {
			g.returnedOrder = append(g.returnedOrder, name)
		}
		g.returnedMachines[name] = now
		delete(g.rentedAt, name)
	}
	g.log.Info("machines returned", "hosts", fmt.Sprint(names))
	g.wake()
}

// rentMachines asks for machines under a name that is never used again; a lost answer
// is asked for again under the same name.
func (g *leader) rentMachines(ctx context.Context, w cloud.Rental) {
	g.mu.Lock()
	g.rentalSequence++
	req := wire.RentRequest{RequestID: fmt.Sprintf("r-%d-%d", g.term.Token, g.rentalSequence), MachineType: w.MachineType, Zone: w.Zone, Preemptible: w.Preemptible, Count: min(w.Count, wire.MaxRentPerRequest)}
	g.mu.Unlock()
	asked := g.clock.Now()
	var hosts []string
	var err error
	for try := 0; try < 3; try++ {
		if _, may := g.elector.HoldsLease(); !may {
			err = errNotSent
			break
		}
		hosts, err = g.cloud.Rent(ctx, req)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) || ctx.Err() != nil {
			break
		}
		g.sleep(ctx, clock.Second)
	}
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(hosts) < req.Count {
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			g.capacityRefused[refusedKey(w.MachineType, w.Zone, w.Preemptible)] = now + 20*clock.Second
		}
	}
	if err != nil {
		g.log.Debug("rent", "error", err)
		return
	}
	h := &rental{request: req, expected: map[string]clock.Micros{}}
	for _, name := range hosts {
		h.expected[name] = now
		g.rentedAt[name] = asked
		if m := g.fleet.Machine(name); m != nil && m.Reported {
			g.machineBooted(m, now) // before the cloud had answered
		}
	}
	g.pendingRentals[req.RequestID] = h
	g.log.Info("machines rented", "build", w.MachineType, "zone", w.Zone, "loaned", w.Preemptible, "hosts", fmt.Sprint(hosts))
}

// machineBooted notes that a machine that this term rented is up. The caller holds mu.
func (g *leader) machineBooted(m *fleet.Machine, now clock.Micros) {
	asked, rented := g.rentedAt[m.Name]
	if !rented {
		return
	}
	delete(g.rentedAt, m.Name)
	g.bootTimes.Booted(now, now-asked, g.bootTime(m.Type))
}

// bootTime is how long a type takes to boot, by the catalogue.
func (g *leader) bootTime(build string) clock.Micros {
	if b, ok := g.fleet.MachineType(build); ok && b.BootS > 0 {
		return clock.FromSeconds(b.BootS)
	}
	return 60 * clock.Second
}

// overdueMachines judges the machines that should be up by now and are not. The caller holds mu.
func (g *leader) overdueMachines(now clock.Micros) cloud.Overdue {
	// What was rented by a predecessor, or while this process stood still, may be up
	// and on its way here.
	settled := now-max(g.runningSince, g.term.Since) > 3*clock.FromSeconds(g.cfg.Facts.Cloud.ListLagS)
	var booting []cloud.Booting
	g.fleet.EachMachine(func(m *fleet.Machine) {
		if m.Reported || m.CloudStatus != wire.MachineBooting || m.Returning || m.AnsweredAt > 0 {
			return
		}
		from, rented := g.rentedAt[m.Name]
		if !rented {
			if from = m.FirstSeen; !settled {
				return
			}
		}
		booting = append(booting, cloud.Booting{Name: m.Name, Age: now - max(from, g.runningSince), Expected: g.bootTime(m.Type)})
	})
	overdue := g.bootTimes.Evaluate(now, booting, g.operator.Fleet.BootFactor)
	if overdue.Late > 0 {
		g.log.Debug("machines are late", "late", overdue.Late, "longest", overdue.Longest, "general", overdue.CloudSlow,
			"counted_out", len(overdue.Replace), "given_up", len(overdue.Return))
	}
	return overdue
}
