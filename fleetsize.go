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

// hire is a rental that was asked for.
type hire struct {
	req   wire.RentRequest
	hosts map[string]clock.Micros // rented, and not listed or reporting yet
}

// sizeLoop keeps the catalogue and the machine list, and rents and returns.
func (g *term) sizeLoop(ctx context.Context) {
	var catAt, listAt clock.Micros
	trouble := false
	for ctx.Err() == nil {
		now := g.ck.Now()
		var err error
		if catAt == 0 || now-catAt > 20*clock.Second {
			if err = g.readCatalog(ctx); err == nil {
				catAt = now
			}
		}
		if err == nil && (listAt == 0 || now-listAt > listEvery(g.machines())) {
			if err = g.readList(ctx); err == nil {
				listAt = now
			}
		}
		if err != nil && !trouble && ctx.Err() == nil {
			g.log.Info("cloud does not answer", "error", err)
		}
		trouble = err != nil
		g.lookAround(ctx)
		if g.op.Fleet.Enabled && listAt != 0 {
			g.resize(ctx)
			g.keepDemand(ctx)
		}
		g.sleep(ctx, clock.FromSeconds(g.op.Fleet.PeriodS))
	}
}

// listEvery is how far apart the machine list is read: it lags by seconds
// anyway, and each page of it is one of the cloud's few requests.
func listEvery(machines int) clock.Micros {
	return 3*clock.Second + clock.Micros(machines/500)*clock.Second
}

// machines is how many machines are known.
func (g *term) machines() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fl.Len()
}

func (g *term) readCatalog(ctx context.Context) error {
	cat, err := g.cl.Catalog(ctx)
	if err != nil {
		return err
	}
	g.mu.Lock()
	same := sameSizes(cat, g.catalog)
	if !same {
		g.checkGuarantees(cat)
	}
	g.catalog = cat
	g.fl.SetCatalog(cat)
	stamp := g.catStamp
	g.mu.Unlock()
	g.wake()
	if same && stamp != 0 {
		return nil
	}
	// Kept durably, so that any node and any later leader can judge submissions
	// while the cloud does not answer.
	epoch, err := g.st.Commit(ctx, store.Urgent, wire.Txn{
		Conditions: []wire.Condition{{Key: store.KeyLead, ModRevision: g.r.Revision}},
		Operations: []wire.Operation{{Set: store.KeyCatalog, Value: cat}},
	})
	if err != nil {
		g.log.Debug("keep catalogue", "error", err)
		return nil
	}
	g.mu.Lock()
	g.catStamp = epoch
	g.mu.Unlock()
	return nil
}

// checkGuarantees logs when the largest fleet that may be held can't hold what teams are
// guaranteed. The caller holds mu.
func (g *term) checkGuarantees(cat wire.Catalog) {
	var most quota.Amount
	for _, b := range cat.MachineTypes {
		machine := quota.NewAmount(b.Cores, b.Accelerators)
		most.Cores, most.Accelerators = max(most.Cores, machine.Cores), max(most.Accelerators, machine.Accelerators)
	}
	most = most.Times(g.op.Fleet.MaxMachines)
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

// rememberReturned is how long the names of returned machines are remembered: longer
// than a copy of a report, or an old list, may still speak of them. How many that are
// is bounded by what the cloud's requests can return meanwhile.
const rememberReturned = 30 * 60 * clock.Second

// readList takes the cloud's list in. It lags, so a machine is dropped only
// when nothing can be on it and it has not reported for a while.
func (g *term) readList(ctx context.Context) error {
	hosts, err := g.cl.List(ctx)
	if err != nil {
		return err
	}
	now := g.ck.Now()
	lag := clock.FromSeconds(g.cfg.Facts.Cloud.ListLagS)
	g.mu.Lock()
	defer g.mu.Unlock()
	listed := map[string]bool{}
	for len(g.goneList) > 0 && now-g.gone[g.goneList[0]] > rememberReturned {
		delete(g.gone, g.goneList[0])
		g.goneList = g.goneList[1:]
	}
	for _, h := range hosts {
		if _, gone := g.gone[h.UID]; gone {
			continue // an old list: it was returned
		}
		listed[h.UID] = true
		m := g.fl.Machine(h.UID)
		if m == nil {
			m = g.fl.Ensure(h.UID, now)
			m.FirstSeen = now - clock.FromSeconds(h.HeldS)
		}
		if m.Zone == "" {
			g.fl.Describe(m, h.Endpoint, h.Type, h.Zone, h.Preemptible)
		}
		m.CloudStatus, m.ListedAt = h.Status, now
	}
	g.fl.SetCatalog(g.catalog)
	for _, m := range g.fl.Machines() {
		if listed[m.Name] {
			continue
		}
		quiet := m.LastHeartbeat == 0 || now-m.LastHeartbeat > 2*lag
		if quiet && now-m.FirstSeen > 3*lag && now-m.ListedAt > 3*lag && m.LeaseExpired(now) && m.AllocationCount() == 0 {
			g.fl.Drop(m.Name)
		}
	}
	for name, p := range g.pending {
		for h, at := range p.hosts {
			if m := g.fl.Machine(h); listed[h] || m != nil && m.Reported || now-at > 4*lag {
				delete(p.hosts, h)
			}
		}
		if len(p.hosts) == 0 {
			delete(g.pending, name)
		}
	}
	return nil
}

// classRun is how long tasks of a class have run, which owners' estimates miss by half or more.
func (g *term) classRun(j *job) clock.Micros {
	if st := g.classes[j.spec.Class]; st.n >= 8 {
		return st.mean()
	}
	return clock.FromSeconds(max(1, j.spec.ExpectedS))
}

// drains says how fast a job's class should be worked off: in how many seconds
// with spot machines, and in how many at the price of ordinary ones. Where the
// platform states by when the class's jobs should be done, what is left of that
// after a boot is the measure.
func (g *term) drains(j *job, run float64) (drain, patient float64) {
	f := &g.op.Fleet
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

// idleDrains is drains for work of the lowest priority, which fills what others leave:
// machines are rented for it at the pace that its class's aims call for, the more
// the less time is left, and only spot ones (patient is zero) where there are none.
func (g *term) idleDrains(j *job, run float64, wall clock.Micros) (drain, patient float64) {
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
	left := within - (wall - clock.Micros(j.at)).Seconds() - 1.5*run
	return max(soonest, min(latest, 0.4*left)), max(soonest, left)
}

// unfinished counts a job's tasks that have a machine and those that have none.
func (j *job) unfinished() (placed, left int) {
	for i := range j.tasks {
		if s := j.tasks[i].state; s == taskPlaced || s == taskUnreadable {
			placed++
		}
	}
	return placed, len(j.tasks) - j.done - placed
}

// parts tells for each team with a limit which part of its waiting work may run beside
// what it uses. Machines for the rest would stand idle.
type parts map[string]float64

// grantable asks the ledger for the parts of the waiting work that may run. The caller
// holds mu.
func (g *term) grantable() parts {
	waiting := map[string]quota.Amount{}
	for j := range g.queue {
		if j.cancelled || j.failures.bad || !g.quota.Limits(j.spec.Team).Limited() || !g.mayGrow(j) {
			continue
		}
		_, left := j.unfinished()
		waiting[j.spec.Team] = waiting[j.spec.Team].Plus(j.task().Times(left))
	}
	out := make(parts, len(waiting))
	for team, amount := range waiting {
		out[team] = g.quota.Part(team, amount)
	}
	return out
}

// mayRun is how many of a job's waiting tasks its team's limit lets run. The caller holds mu.
func (g *term) mayRun(j *job, waiting int, grantable parts) float64 {
	part, limited := grantable[j.spec.Team]
	switch {
	case !g.mayGrow(j):
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
func (g *term) demand(now clock.Micros) cloud.Demand {
	f := &g.op.Fleet
	need := cloud.Demand{ReserveShare: f.ReserveOD, MachineReserveShare: f.ReserveMachine, ZoneReserveShare: f.ReserveZone, IdleTimeout: clock.FromSeconds(f.IdleS), MaxMachines: f.MaxMachines}
	var work, all, pressing, lasting cloud.Load // lasting: replicas that spot machines may hold
	wall := g.ck.Wall()
	grantable := g.grantable()
	for _, j := range g.jobs {
		if j.cancelled {
			continue
		}
		s := &j.spec
		if j.failures.bad {
			continue // it is tried now and then, but nothing is rented for it
		}
		placed, left := j.unfinished()
		running, waiting := float64(placed), g.mayRun(j, left, grantable)
		add := func(l *cloud.Load, n float64) {
			l.Cores += n * s.Cores
			l.RAM += n * s.RAM
			l.Accelerators += n * s.Accelerators
		}
		if !s.Preemptible {
			add(&need.OnDemand, running+waiting)
			need.MaxCores = max(need.MaxCores, s.Cores)
			need.Spread = need.Spread || s.Spread
			continue
		}
		if j.standing() {
			add(&lasting, running+waiting)
			continue
		}
		run := g.classRun(j).Seconds()
		if j.unhurried() {
			// What runs when there is room says nothing of what will come.
			j.counted = true
			drain, patient := g.idleDrains(j, run, wall)
			left := (waiting + running/2) * run
			most := min(running+waiting, g.pace()*run)
			add(&work, min(most, left/drain))
			if patient > 0 {
				add(&pressing, min(most, left/patient))
			}
			add(&all, running+waiting)
			continue
		}
		if !j.counted {
			j.counted = true
			var l cloud.Load
			add(&l, run*(float64(j.done)+running+waiting))
			first := g.seeded == (cloud.Load{}) && now-g.r.Since < firstLook
			g.arrivals.Add(cloud.Arrival{At: now, Work: l, Initial: first, Job: j})
		}
		drain, patient := g.drains(j, run)
		seconds := (waiting + running/2) * run
		add(&work, min(running+waiting, seconds/drain))
		add(&pressing, min(running+waiting, seconds/patient))
		add(&all, running+waiting)
	}
	arriving := g.arrivals.Rate(cloud.Window{Now: now, Since: g.r.Since, Span: clock.FromSeconds(f.WindowS), Predecessor: g.seeded,
		MaxHeadroom: f.Headroom, Idle: all.Cores == 0})
	g.rate = arriving.Load
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
	g.peaks.Retain(&need, pressing.Cores, cloud.Retention{Now: now, Since: g.r.Since, Preemptible: clock.FromSeconds(f.HoldS),
		OnDemand: clock.FromSeconds(f.HoldOrdinaryS), Decay: arriving.Decay})
	// With no work at all for a while, nothing is held for what might come.
	if need.OnDemand.Cores > 0 || all.Cores > 0 {
		g.idleFrom = 0
	} else if g.idleFrom == 0 {
		g.idleFrom = now
	}
	if g.idleFrom > 0 && now-g.idleFrom > need.IdleTimeout {
		need.Preemptible, need.Urgent, need.Growth = cloud.Load{}, cloud.Load{}, 0
		need.KeepPreemptible, need.KeepOnDemand, need.KeepUrgent = 0, 0, 0
	}
	need.NoScaleIn = now-max(g.r.Since, g.awake) < 15*clock.Second
	return need
}

// bound lists the work that only some machines may hold, as cloud.Size wants it:
// what is bound to a zone or to types with all it needs at once, all other work with one
// task, so that even a little of it has a machine. A task that no machine held is
// large enough for stands by itself. The caller holds mu.
func (g *term) bound(held []cloud.Machine) []cloud.Constraint {
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
		if j.cancelled || j.calledOff || j.failures.bad || left == 0 {
			continue
		}
		if j.running == 0 && !g.mayGrow(j) {
			continue // its team is at its limit: no machine would help it
		}
		w := cloud.Constraint{MachineTypes: s.MachineTypes, Zone: s.Zone, Preemptible: s.Preemptible, Task: cloud.Load{Cores: s.Cores, RAM: s.RAM, Accelerators: s.Accelerators}}
		k := key{zone: s.Zone, builds: strings.Join(s.MachineTypes, " "), loaned: s.Preemptible}
		fits := false
		for h := range kinds {
			if b, known := g.fl.MachineType(h.build); known && w.Allows(b, h.zone, h.loaned) {
				fits = true
				break
			}
		}
		if !fits {
			k.alone = w.Task
		}
		if w.Zone != "" || w.MachineTypes != nil {
			at := float64(left)
			if !j.standing() && s.Preemptible {
				run := g.classRun(j).Seconds()
				drain, _ := g.drains(j, run)
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
	stuckAfter = 60 * clock.Second
	waitsAfter = 5 * clock.Second
	maxStuck   = 8
)

// stuck lists a task each of the jobs of which tasks wait and none has been placed
// for that long, though their teams may have more. Where a job must be apart or in one
// zone, it goes to the zone that is left for it. The caller holds mu.
func (g *term) stuck(now, after clock.Micros) (out []cloud.Constraint) {
	var jobs []*job // the first of them, in order
	older := func(a, b *job) int { return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.uid, b.uid)) }
	for j := range g.queue {
		since := max(j.seen, g.awake)
		if !j.failures.doubtful() { // what is tried again and again and fails gets nowhere by it
			since = max(since, j.placed)
		} else if after < stuckAfter {
			continue // it waits between its tries, not for room
		}
		if j.cancelled || j.calledOff || j.failures.bad || len(j.waiting) == 0 || now-since < after {
			continue
		}
		if !g.mayGrow(j) {
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
			w.Zone = j.leftZone(zones)
		}
		if s.SameZone && len(j.pj.Zones) == 0 {
			w.TogetherInZone = len(j.waiting)
		}
		w.Avoid = map[string]bool{}
		maps.Copy(w.Avoid, j.pj.Avoid)
		for name := range j.failures.faults {
			w.Avoid[name] = true
		}
		if j.failures.doubtful() && g.avoidsStruck() {
			for m := range g.strikes {
				w.Avoid[m.Name] = true
			}
		}
		out = append(out, w)
	}
	return out
}

// leftZone is the zone that holds most of a job that is to be in one, or least
// of a job that is to be apart; empty where that does not tell.
func (j *job) leftZone(zones []string) (zone string) {
	if len(j.pj.Zones) == 0 {
		return ""
	}
	for _, z := range zones {
		n, best := j.pj.Zones[z], j.pj.Zones[zone]
		if zone == "" || j.spec.SameZone && n > best || j.spec.Spread && n < best {
			zone = z
		}
	}
	return zone
}

// firstLook is how long after a first leader's start jobs count as found there.
const firstLook = 6 * clock.Second

// keepDemand records the rate of arriving work, so that a new leader does not
// take its own ignorance for a lack of work and give machines up.
func (g *term) keepDemand(ctx context.Context) {
	g.mu.Lock()
	now := g.ck.Now()
	due := now-g.rateAt > 10*clock.Second && g.rate.Cores > 0
	rec := store.DemandRecord{Cores: g.rate.Cores, RAM: g.rate.RAM, Accelerators: g.rate.Accelerators, Classes: map[string][2]int64{}}
	for class, st := range g.classes {
		if len(rec.Classes) < 50 {
			rec.Classes[class] = [2]int64{int64(st.n), int64(st.sum)}
		}
	}
	if due {
		g.rateAt = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	if _, err := g.st.Commit(ctx, store.Normal, wire.Txn{
		Conditions: []wire.Condition{{Key: store.KeyLead, ModRevision: g.r.Revision}},
		Operations: []wire.Operation{{Set: store.KeyDemand, Value: rec}},
	}); err != nil {
		g.log.Debug("keep demand", "error", err)
	}
}

// resize decides and carries out one sizing pass.
func (g *term) resize(ctx context.Context) {
	g.mu.Lock()
	if _, may := g.el.HoldsLease(); !may || len(g.catalog.MachineTypes) == 0 {
		g.mu.Unlock()
		return
	}
	now := g.ck.Now()
	if g.hearsNobody(now) {
		g.mu.Unlock()
		return
	}
	var held []cloud.Machine
	var giveUp []string
	silent := clock.FromSeconds(g.op.Fleet.SilentS)
	report := clock.FromSeconds(g.cfg.Facts.Workers.ReportS)
	quiet, known := map[string]int{}, map[string]int{}
	overdue, reconnecting := g.overdue(now), g.reconnecting(now)
	for _, m := range g.fl.Machines() {
		if m.Type == "" || !m.Reported && m.ListedAt == 0 && m.AllocationCount() == 0 {
			continue // nothing but an old report may speak of it
		}
		h := cloud.Machine{Name: m.Name, Type: m.Type, Zone: m.Zone, Preemptible: m.Preemptible, Up: m.Reported, Cordoned: m.Cordoned,
			UsedCores: m.UsedCores}
		m.EachAllocation(func(b *fleet.Allocation) {
			if b.Live() {
				h.Tasks++
				if j, known := b.Owner.(*job); known && j.standing() {
					h.Replicas++
				}
				if !b.Preemptible {
					h.OnDemandCores += b.Cores
				}
			}
		})
		if g.usable(m, now) {
			h.Free.Cores, h.Free.Accelerators, h.Free.RAM = m.Free()
		} else if b, known := g.fl.MachineType(m.Type); known && !h.Up {
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
			g.unheard[m] && !m.Reported && now-g.r.Since > 2*report+2*clock.Second && !reconnecting || overdue.Replace[m.Name]
		held = append(held, h)
		if g.unheard[m] && !m.Reported && now-g.r.Since > 2*report || m.Reported && (m.Unresponsive || m.Suspect) {
			quiet[m.Zone]++
			known[m.Zone]++
		} else if m.Reported {
			known[m.Zone]++
		}
		dead := m.CloudStatus == wire.MachineFailed ||
			overdue.Return[m.Name] ||
			m.Reported && now-max(m.LastHeartbeat, g.awake) > silent ||
			!m.Reported && m.CloudStatus == wire.MachineRunning && now-max(m.FirstSeen, g.r.Since, g.awake) > silent ||
			(m.QuarantineReason == "sick" || m.QuarantineReason == "slow") && h.Tasks == 0 ||
			m.Returning
		if dead && !m.Returning {
			m.Returning = true
			g.touched[m] = true
		}
		if dead {
			giveUp = append(giveUp, m.Name)
		}
	}
	for _, p := range g.pending {
		for h := range p.hosts {
			if m := g.fl.Machine(h); m == nil || m.Type == "" {
				b, _ := g.fl.MachineType(p.req.MachineType)
				held = append(held, cloud.Machine{Name: h, Type: p.req.MachineType, Zone: p.req.Zone, Preemptible: p.req.Preemptible,
					Free: cloud.Load{Cores: b.Cores, RAM: b.RAM, Accelerators: b.Accelerators}})
			}
		}
	}
	for key, until := range g.refused {
		if now > until {
			delete(g.refused, key)
		}
	}
	cut := cutZones(quiet, known)
	refused := func(build, zone string, loaned bool) bool {
		if cut[zone] {
			return true
		}
		_, no := g.refused[refusedKey(build, zone, loaned)]
		return no
	}
	live := 0
	var cores, idle [2]float64 // ordinary and loaned ones that count, and what of them is unused
	for _, h := range held {
		live += h.Tasks
		if b, known := g.fl.MachineType(h.Type); known && !h.Lost && h.Up {
			kind := 0
			if h.Preemptible {
				kind = 1
			}
			cores[kind] += b.Cores
			idle[kind] += b.Cores - h.UsedCores
		}
	}
	g.met.Fleet(len(held), live, len(g.refused))
	need := g.demand(now)
	need.Constrained, need.Stuck = g.bound(held), g.stuck(now, stuckAfter)
	need.Waiting = g.stuck(now, waitsAfter)
	v := cloud.Resize(g.catalog.MachineTypes, held, need, refused)
	for _, name := range v.Cordon {
		g.fl.Machine(name).Cordoned = true
		g.touched[g.fl.Machine(name)] = true
	}
	for _, name := range v.Uncordon {
		g.fl.Machine(name).Cordoned = false
		g.touched[g.fl.Machine(name)] = true
	}
	for _, name := range v.Return {
		m := g.fl.Machine(name)
		if m.LiveCount() == 0 && m.RunningOrphans() == 0 && m.Cordoned {
			m.Returning = true
			g.touched[m] = true
			giveUp = append(giveUp, name)
		}
	}
	g.log.Debug("sizing", "held", len(held), "ordinary", math.Round(need.OnDemand.Cores), "loaned", math.Round(need.Preemptible.Cores), "pressing", math.Round(need.Urgent.Cores), "rate", math.Round(g.rate.Cores),
		"up", fmt.Sprint(cores), "unused", fmt.Sprint(idle), "rent", fmt.Sprint(v.Rent), "cordon", len(v.Cordon), "uncordon", len(v.Uncordon), "return", fmt.Sprint(giveUp))
	g.mu.Unlock()
	if len(giveUp) > 0 {
		g.giveBack(ctx, giveUp[:min(len(giveUp), wire.MaxReturnPerRequest)])
	}
	if v.LimitReached && now-g.capped > 10*clock.Second {
		g.capped = now
		g.log.Info("no more machines may be held: fleet.max_machines", "most", g.op.Fleet.MaxMachines)
	}
	// The most pressing first, in whole batches and side by side; what goes beyond
	// the cloud's requests of a pass is asked for on the next.
	var wg sync.WaitGroup
	for _, w := range batches(v.Rent, int(g.cfg.Facts.Cloud.RPS*g.op.Fleet.PeriodS)) {
		wg.Go(func() { g.rent(ctx, w) })
	}
	wg.Wait()
	if len(v.Uncordon) > 0 {
		g.wake()
	}
}

// batches splits rentals into what one request may ask for, at most so many requests.
func batches(wishes []cloud.Rental, most int) (out []cloud.Rental) {
	for _, w := range wishes {
		for left := w.Count; left > 0 && len(out) < max(4, most); left -= wire.MaxRentPerRequest {
			w.Count = min(left, wire.MaxRentPerRequest)
			out = append(out, w)
		}
	}
	return out
}

// cutZones names the zones nearly all of whose machines are silent: nothing is
// rented where it could not be reached. A wave of spot machines taken back
// leaves others. When all zones are silent, the fault is this controller's.
func cutZones(quiet, known map[string]int) map[string]bool {
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

// giveBack returns machines. Nothing new is put on them from the moment that
// it is decided; their bookings are freed only by the cloud's 200.
func (g *term) giveBack(ctx context.Context, names []string) {
	// Judged before this process stood still, perhaps: a successor may use them.
	if _, may := g.el.HoldsLease(); !may {
		return
	}
	if err := g.cl.Return(ctx, names); err != nil {
		g.log.Debug("return machines", "error", err)
		return // they stay marked, and are returned on a later pass
	}
	now := g.ck.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range names {
		g.news(g.fl.MachineReturned(name, now), now)
		if _, known := g.gone[name]; !known {
			g.goneList = append(g.goneList, name)
		}
		g.gone[name] = now
		delete(g.asked, name)
	}
	g.log.Info("machines returned", "hosts", fmt.Sprint(names))
	g.wake()
}

// rent asks for machines under a name that is never used again; a lost answer
// is asked for again under the same name.
func (g *term) rent(ctx context.Context, w cloud.Rental) {
	g.mu.Lock()
	g.hireSeq++
	req := wire.RentRequest{RequestID: fmt.Sprintf("r-%d-%d", g.r.Token, g.hireSeq), MachineType: w.MachineType, Zone: w.Zone, Preemptible: w.Preemptible, Count: min(w.Count, wire.MaxRentPerRequest)}
	g.mu.Unlock()
	asked := g.ck.Now()
	var hosts []string
	var err error
	for try := 0; try < 3; try++ {
		if _, may := g.el.HoldsLease(); !may {
			err = errLate
			break
		}
		hosts, err = g.cl.Rent(ctx, req)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) || ctx.Err() != nil {
			break
		}
		g.sleep(ctx, clock.Second)
	}
	now := g.ck.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(hosts) < req.Count {
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			g.refused[refusedKey(w.MachineType, w.Zone, w.Preemptible)] = now + 20*clock.Second
		}
	}
	if err != nil {
		g.log.Debug("rent", "error", err)
		return
	}
	h := &hire{req: req, hosts: map[string]clock.Micros{}}
	for _, name := range hosts {
		h.hosts[name] = now
		g.asked[name] = asked
		if m := g.fl.Machine(name); m != nil && m.Reported {
			g.cameUp(m, now) // before the cloud had answered
		}
	}
	g.pending[req.RequestID] = h
	g.log.Info("machines rented", "build", w.MachineType, "zone", w.Zone, "loaned", w.Preemptible, "hosts", fmt.Sprint(hosts))
}

// cameUp notes that a machine that this term rented is up. The caller holds mu.
func (g *term) cameUp(m *fleet.Machine, now clock.Micros) {
	asked, rented := g.asked[m.Name]
	if !rented {
		return
	}
	delete(g.asked, m.Name)
	g.boots.Booted(now, now-asked, g.ready(m.Type))
}

// ready is how long a type takes to boot, by the catalogue.
func (g *term) ready(build string) clock.Micros {
	if b, ok := g.fl.MachineType(build); ok && b.BootS > 0 {
		return clock.FromSeconds(b.BootS)
	}
	return 60 * clock.Second
}

// overdue judges the machines that should be up by now and are not. The caller holds mu.
func (g *term) overdue(now clock.Micros) cloud.Overdue {
	// What was rented by a predecessor, or while this process stood still, may be up
	// and on its way here.
	settled := now-max(g.awake, g.r.Since) > 3*clock.FromSeconds(g.cfg.Facts.Cloud.ListLagS)
	var booting []cloud.Booting
	g.fl.EachMachine(func(m *fleet.Machine) {
		if m.Reported || m.CloudStatus != wire.MachineBooting || m.Returning || m.AnsweredAt > 0 {
			return
		}
		from, rented := g.asked[m.Name]
		if !rented {
			if from = m.FirstSeen; !settled {
				return
			}
		}
		booting = append(booting, cloud.Booting{Name: m.Name, Age: now - max(from, g.awake), Expected: g.ready(m.Type)})
	})
	overdue := g.boots.Evaluate(now, booting, g.op.Fleet.BootFactor)
	if overdue.Late > 0 {
		g.log.Debug("machines are late", "late", overdue.Late, "longest", overdue.Longest, "general", overdue.CloudSlow,
			"counted_out", len(overdue.Replace), "given_up", len(overdue.Return))
	}
	return overdue
}
