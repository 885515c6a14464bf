package cedardoor

import (
	"cmp"
	"fmt"
	"slices"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/plan"
	"cedardoor/quota"
)

// usable tells whether a machine may be given tasks.
func (g *term) usable(m *fleet.Machine, now clock.Micros) bool {
	return m.Reported && !m.Suspect && !m.Unresponsive && m.RunningOrphans() == 0 && m.Cores > 0 && !m.LeaseExpired(now) && !m.Returning && m.PreemptionAt == 0 && m.SuspendedUntil <= now
}

// judge bans a machine that has a notice, is slow or does not hear, and lifts
// the ban when its reason ends. The caller holds mu.
func (g *term) judge(m *fleet.Machine) {
	if m.QuarantineReason == banDeaf && !m.NotAcknowledging() {
		m.QuarantineReason = ""
		g.deaf--
		g.log.Info("machine hears again", "host", m.Name)
	}
	switch {
	case m.PreemptionAt > 0 && m.QuarantineReason == "":
		m.QuarantineReason = "notice"
	case m.PreemptionAt == 0 && m.QuarantineReason == "notice":
		m.QuarantineReason = ""
	case m.QuarantineReason == "" && m.SlownessSamples >= 3 && m.Slowness > 1.6:
		m.QuarantineReason = "slow"
		g.log.Info("machine is slow", "host", m.Name, "factor", fmt.Sprintf("%.2f", m.Slowness))
	}
	if m.NotAcknowledging() && m.QuarantineReason == "" {
		m.QuarantineReason = banDeaf
		g.deaf++
		g.log.Info("machine is deaf: it reports, but nothing told to it takes effect", "host", m.Name)
	}
}

// banDeaf marks machines whose reports come while nothing reaches them.
const banDeaf = "deaf"

// stopSoon is how long the room of a task that was told to stop is waited for.
const stopSoon = 3 * clock.Second

// refresh brings the picture up to date with a machine. The caller holds mu.
func (g *term) refresh(m *fleet.Machine, now clock.Micros) (again bool) {
	pm := g.pic.Machine(m.Name)
	if g.fl.Machine(m.Name) != m {
		if m.QuarantineReason == banDeaf {
			g.deaf--
			m.QuarantineReason = ""
		}
		if g.fl.Machine(m.Name) == nil && pm != nil {
			g.pic.Remove(m.Name)
		}
		delete(g.toTell, m)
		delete(g.unheard, m)
		delete(g.strikes, m)
		return false
	}
	if m.SuspendedUntil > 0 && m.SuspendedUntil <= now {
		m.SuspendedUntil = 0
		g.sicken(m, now)
	}
	g.judge(m)
	if pm == nil {
		pm = &plan.Machine{Name: m.Name, Images: map[string]plan.ImageState{}}
	}
	c, a, r := m.Free()
	pm.Type, pm.Zone, pm.Preemptible, pm.Cores, pm.Accelerators, pm.RAM = m.Type, m.Zone, m.Preemptible, c, a, r
	pm.Usable, pm.QuarantineReason, pm.Cordoned, pm.ReservedFor = g.usable(m, now), m.QuarantineReason, m.Cordoned, g.holds[m.Name]
	if b, known := g.fl.MachineType(m.Type); known {
		pm.FetchGBs = b.FetchGBs
	}
	for b := range pm.Images {
		if _, still := m.Images[b]; !still {
			delete(pm.Images, b)
		}
	}
	for b, whole := range m.Images {
		pm.Images[b] = plan.ImageFetching
		if whole {
			pm.Images[b] = plan.ImageHeld
		}
	}
	pm.HasFailures = g.strikes[m] != nil
	again = m.SuspendedUntil > now // looked at again when that is over
	pm.StoppingCores, pm.StoppingAccelerators, pm.StoppingRAM = 0, 0, 0
	pm.Victims = pm.Victims[:0]
	guarantees := g.quota.Guarantees()
	m.EachAllocation(func(b *fleet.Allocation) {
		if !b.Live() {
			return
		}
		if b.Stopping {
			// One that does not obey leaves room that may be long in coming.
			if now-b.StopRequestedAt <= stopSoon {
				again = true
				pm.StoppingCores += b.Cores
				pm.StoppingAccelerators += b.Accelerators
				pm.StoppingRAM += b.RAM
			}
			return
		}
		j, ok := b.Owner.(*job)
		if !ok || j.standing() && !guarantees || j.group() || j.cancelled || j.spared && len(j.tasks)-j.done-len(j.waiting) <= plan.StarvedTasks || j.tasks[b.Task.Index].booking != b {
			return
		}
		pm.Victims = append(pm.Victims, plan.Victim{Task: plan.TaskID{Job: j.uid, Index: b.Task.Index}, Job: j.pj, Priority: j.priority,
			Cores: b.Cores, Accelerators: b.Accelerators, RAM: b.RAM, RunningSince: b.RunningSince, Replica: j.standing()})
	})
	slices.SortStableFunc(pm.Victims, func(a, b plan.Victim) int {
		// Least progress first: not begun, then begun last. Replicas come after all else.
		return cmp.Or(compareBool(a.Replica, b.Replica), cmp.Compare(a.Priority, b.Priority), cmp.Compare(zeroLast(b.RunningSince), zeroLast(a.RunningSince)))
	})
	g.pic.Put(pm)
	return again
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func zeroLast(t clock.Micros) clock.Micros {
	if t == 0 {
		return 1 << 62
	}
	return t
}

// agedAfter is how long a job may wait with no task begun before its first one
// goes before work of higher priority.
const agedAfter = 75 * clock.Second

// avoidsStruck tells whether jobs on trial keep away from machines on which
// anything has failed: not where that is most of them. The caller holds mu.
func (g *term) avoidsStruck() bool { return 2*len(g.strikes) < g.fl.ReportingCount() }

// picture readies the picture for a plan: it lists the tasks that wait. The
// caller holds mu.
func (g *term) picture(now clock.Micros, round bool) *plan.Snapshot {
	p := g.pic
	g.seq++
	p.Seed, p.Now = g.seq, now
	p.MaxMoves = max(g.op.Repair.Restarts, int(float64(g.replicas)*g.op.Repair.Share))
	p.Waiting, p.Candidates = p.Waiting[:0], p.Candidates[:0]
	p.AvoidFailures = g.avoidsStruck()
	g.entitle(now)
	wall := g.ck.Wall()
	const perPass = 400 // tasks of one job offered to one pass
	low := g.allowance(now)
	unbooked := g.fl.HasOrphans()
	for j := range g.queue {
		j.prune()
		if j.cancelled || len(j.waiting) == 0 {
			delete(g.queue, j)
			continue
		}
		if j.calledOff {
			continue
		}
		tries := j.waiting
		pj := j.pj
		if pj.OnTrial = j.failures.doubtful(); pj.OnTrial {
			tries = g.mayTry(j, now)
			pj.OnTrial = j.failures.doubtful()
		}
		most := perPass
		if j.unhurried() {
			if most = min(perPass, low); most <= 0 {
				continue
			}
		}
		idx := make([]int, 0, min(len(tries), most))
		lost := false
		for _, i := range tries {
			if j.tasks[i].notBefore > now || unbooked && g.fl.MayRunAsOrphan(fleet.TaskID{Job: j.uid, Index: i}, now) {
				continue
			}
			idx = append(idx, i)
			lost = lost || j.tasks[i].ran
			if len(idx) >= most && !j.group() {
				break
			}
		}
		if len(idx) == 0 {
			continue
		}
		pj.Started, pj.Unfinished = j.started, len(j.tasks)-j.done
		pj.StartsPartially = !j.started && clock.Micros(j.at)+agedAfter < wall
		pj.Starved = pj.StartsPartially && !j.standing() && !pj.OnTrial
		pj.Slack = j.slack(wall)
		p.Waiting = append(p.Waiting, plan.Waiting{Job: pj, Indexes: idx, Replacement: lost})
	}
	// The planner's order has no ties, so that of the map does not matter.
	if round {
		g.candidates(p)
	}
	return p
}

// paceOfCore is how many tasks of the lowest priority a controller with a whole core
// starts in a second, so that no huge batch of short tasks takes the processor
// that heartbeats and urgent work need. A task costs its start, its end and its part
// in the reports of its machine.
const paceOfCore = 1500

// pace is how many tasks of the lowest priority may be started in a second.
func (g *term) pace() float64 {
	return max(10, paceOfCore*min(1, g.cfg.Facts.Limits.CoreShare))
}

// allowance is how many of them may be started now. The caller holds mu.
func (g *term) allowance(now clock.Micros) int {
	g.paced = min(g.pace(), g.paced+g.pace()*(now-g.pacedAt).Seconds())
	g.pacedAt = now
	return int(g.paced)
}

// slack is the time left in which the job's tasks must start to meet its
// deadline and what its class is expected to keep. Without the latter, a long
// job with much time until its own deadline would be put off for longer than
// any of its class should wait. Where jobs have no deadlines, the first come
// goes first: by the class's aims, long jobs would go before short ones.
func (j *job) slack(wall clock.Micros) clock.Micros {
	if j.due == 0 && (!j.unhurried() || j.finish == 0) {
		return noSlack
	}
	if j.due == 0 {
		// What runs when there is room may be there for hours: what is expected to be
		// done by some time goes before what is not.
		return max(0, clock.Micros(j.at)+j.finish-wall)
	}
	begin := min(j.begin, j.due-clock.FromSeconds(j.spec.ExpectedS))
	if j.finish > 0 {
		begin = min(begin, j.finish-clock.FromSeconds(j.spec.ExpectedS))
	}
	return max(0, clock.Micros(j.at)+begin-wall)
}

// entitle marks the jobs that fit into their team's guarantee together with
// the team's earlier ones, where there are guarantees at all, once a second.
func (g *term) entitle(now clock.Micros) {
	if !g.quota.Guarantees() || now-g.entitled < clock.Second && !g.fresh {
		return
	}
	g.entitled = now
	var jobs []*job
	var demands []quota.Demand
	for _, j := range g.sortedJobs() {
		if j.cancelled {
			continue
		}
		jobs = append(jobs, j)
		demands = append(demands, quota.Demand{Team: j.spec.Team, Amount: j.task().Times(len(j.tasks) - j.done)})
	}
	for i, entitled := range g.quota.Entitled(demands) {
		jobs[i].pj.Entitled = entitled
	}
}

// task is what one task of the job takes of its team's limit.
func (j *job) task() quota.Amount { return quota.NewAmount(j.spec.Cores, j.spec.Accelerators) }

// mayGrow tells whether the job's team may use as much more as a task of it takes. The
// caller holds mu.
func (g *term) mayGrow(j *job) bool { return g.quota.Fits(j.spec.Team, j.task()) }

// settled is how long a replica is left alone after its start: a start that is
// undone within half a minute is none to its users.
const settled = 40 * clock.Second

// candidates lists the placed tasks on offending machines or in broken rules.
// Batch tasks that could not save are left to finish on a machine that still
// works: stopping them would lose what repair is meant to protect.
func (g *term) candidates(p *plan.Snapshot) {
	now := p.Now
	// Spreading goes slowly, so only some of the replicas that share a machine are
	// looked at in a round, beginning elsewhere each time.
	sharing := 4 * max(1, p.MaxMoves)
	machines := g.fl.Machines()
	if len(machines) > 0 {
		at := int(g.seq*97) % len(machines)
		machines = slices.Concat(machines[at:], machines[:at])
	}
	for _, m := range machines {
		m.EachAllocation(func(b *fleet.Allocation) {
			j, known := b.Owner.(*job)
			if !b.Live() || b.Stopping || !known || j.cancelled || j.group() {
				return
			}
			pc := &j.tasks[b.Task.Index]
			if pc.booking != b || pc.target != nil {
				return
			}
			reason := ""
			switch {
			case m.QuarantineReason != "" && (j.standing() || b.Checkpoints || m.QuarantineReason == "sick"):
				reason = plan.ReasonQuarantine
			case m.Cordoned && j.standing() && now-b.ReservedAt > settled:
				reason = plan.ReasonDrain
			case j.standing() && j.pj.Machines[m.Name] > 1 && sharing > 0:
				reason = plan.ReasonSpread
				sharing--
			default:
				return
			}
			p.Candidates = append(p.Candidates, plan.Candidate{Job: j.pj, Index: b.Task.Index, Machine: m.Name, Reason: reason})
		})
	}
}
