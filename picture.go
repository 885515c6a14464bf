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
func (g *leader) usable(m *fleet.Machine, now clock.Micros) bool {
	return m.Reported && !m.Suspect && !m.Unresponsive && m.RunningOrphans() == 0 && m.Cores > 0 && !m.LeaseExpired(now) && !m.Returning && m.PreemptionAt == 0 && m.SuspendedUntil <= now
}

// evaluateMachine bans a machine that has a notice, is slow or does not hear, and lifts
// the ban when its reason ends. The caller holds mu.
func (g *leader) evaluateMachine(m *fleet.Machine) {
	if m.QuarantineReason == quarantineNotAcknowledging && !m.NotAcknowledging() {
		m.QuarantineReason = ""
		g.notAcknowledging--
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
		m.QuarantineReason = quarantineNotAcknowledging
		g.notAcknowledging++
		g.log.Info("machine is deaf: it reports, but nothing told to it takes effect", "host", m.Name)
	}
}

// quarantineNotAcknowledging marks machines whose reports come while nothing reaches them.
const quarantineNotAcknowledging = "deaf"

// stopGrace is how long the room of a task that was told to stop is waited for.
const stopGrace = 3 * clock.Second

// refreshMachine brings the picture up to date with a machine. The caller holds mu.
func (g *leader) refreshMachine(m *fleet.Machine, now clock.Micros) (again bool) {
	pm := g.snapshot.Machine(m.Name)
	if g.fleet.Machine(m.Name) != m {
		if m.QuarantineReason == quarantineNotAcknowledging {
			g.notAcknowledging--
			m.QuarantineReason = ""
		}
		if g.fleet.Machine(m.Name) == nil && pm != nil {
			g.snapshot.Remove(m.Name)
		}
		delete(g.urgentMachines, m)
		delete(g.awaitedMachines, m)
		delete(g.machineFailures, m)
		return false
	}
	if m.SuspendedUntil > 0 && m.SuspendedUntil <= now {
		m.SuspendedUntil = 0
		g.quarantineIfFailing(m, now)
	}
	g.evaluateMachine(m)
	if pm == nil {
		pm = &plan.Machine{Name: m.Name, Images: map[string]plan.ImageState{}}
	}
	c, a, r := m.Free()
	pm.Type, pm.Zone, pm.Preemptible, pm.Cores, pm.Accelerators, pm.RAM = m.Type, m.Zone, m.Preemptible, c, a, r
	pm.Usable, pm.QuarantineReason, pm.Cordoned, pm.ReservedFor = g.usable(m, now), m.QuarantineReason, m.Cordoned, g.reservedRoom[m.Name]
	if b, known := g.fleet.MachineType(m.Type); known {
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
	pm.HasFailures = g.machineFailures[m] != nil
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
			if now-b.StopRequestedAt <= stopGrace {
				again = true
				pm.StoppingCores += b.Cores
				pm.StoppingAccelerators += b.Accelerators
				pm.StoppingRAM += b.RAM
			}
			return
		}
		j, ok := b.Owner.(*Job)
		if !ok || j.isService() && !guarantees || j.isGang() || j.cancelled || j.preemptionExempt && len(j.tasks)-j.done-len(j.waiting) <= plan.StarvedTasks || j.tasks[b.Task.Index].allocation != b {
			return
		}
		pm.Victims = append(pm.Victims, plan.Victim{Task: plan.TaskID{Job: j.uid, Index: b.Task.Index}, Job: j.planJob, Priority: j.priority,
			Cores: b.Cores, Accelerators: b.Accelerators, RAM: b.RAM, RunningSince: b.RunningSince, Replica: j.isService()})
	})
	slices.SortStableFunc(pm.Victims, func(a, b plan.Victim) int {
		// Least progress first: not begun, then begun last. Replicas come after all else.
		return cmp.Or(compareBool(a.Replica, b.Replica), cmp.Compare(a.Priority, b.Priority), cmp.Compare(zeroLast(b.RunningSince), zeroLast(a.RunningSince)))
	})
	g.snapshot.Put(pm)
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
func (g *leader) avoidsStruck() bool { return 2*len(g.machineFailures) < g.fleet.ReportingCount() }

// planInput readies the picture for a plan: it lists the tasks that wait. The
// caller holds mu.
func (g *leader) planInput(now clock.Micros, round bool) *plan.Snapshot {
	p := g.snapshot
	g.writeSequence++
	p.Seed, p.Now = g.writeSequence, now
	p.MaxMoves = max(g.operator.Repair.Restarts, int(float64(g.replicas)*g.operator.Repair.Share))
	p.Waiting, p.Candidates = p.Waiting[:0], p.Candidates[:0]
	p.AvoidFailures = g.avoidsStruck()
	g.markEntitled(now)
	wall := g.clock.Wall()
	const perPass = 400 // tasks of one job offered to one pass
	low := g.bestEffortAllowance(now)
	unbooked := g.fleet.HasOrphans()
	for j := range g.queue {
		j.pruneWaiting()
		if j.cancelled || len(j.waiting) == 0 {
			delete(g.queue, j)
			continue
		}
		if j.cancellationPending {
			continue
		}
		tries := j.waiting
		pj := j.planJob
		if pj.OnTrial = j.failures.onTrial(); pj.OnTrial {
			tries = g.trialTasks(j, now)
			pj.OnTrial = j.failures.onTrial()
		}
		most := perPass
		if j.bestEffort() {
			if most = min(perPass, low); most <= 0 {
				continue
			}
		}
		idx := make([]int, 0, min(len(tries), most))
		lost := false
		for _, i := range tries {
			if j.tasks[i].notBefore > now || unbooked && g.fleet.MayRunAsOrphan(fleet.TaskID{Job: j.uid, Index: i}, now) {
				continue
			}
			idx = append(idx, i)
			lost = lost || j.tasks[i].hasRun
			if len(idx) >= most && !j.isGang() {
				break
			}
		}
		if len(idx) == 0 {
			continue
		}
		pj.Started, pj.Unfinished = j.started, len(j.tasks)-j.done
		pj.StartsPartially = !j.started && clock.Micros(j.acceptedAt)+agedAfter < wall
		pj.Starved = pj.StartsPartially && !j.isService() && !pj.OnTrial
		pj.Slack = j.slackAt(wall)
		p.Waiting = append(p.Waiting, plan.Waiting{Job: pj, Indexes: idx, Replacement: lost})
	}
	// The planner's order has no ties, so that of the map does not matter.
	if round {
		g.candidates(p)
	}
	return p
}

// bestEffortPerCore is how many tasks of the lowest priority a controller with a whole core
// starts in a second, so that no huge batch of short tasks takes the processor
// that heartbeats and urgent work need. A task costs its start, its end and its part
// in the reports of its machine.
const bestEffortPerCore = 1500

// bestEffortRate is how many tasks of the lowest priority may be started in a second.
func (g *leader) bestEffortRate() float64 {
	return max(10, bestEffortPerCore*min(1, g.cfg.Facts.Limits.CoreShare))
}

// bestEffortAllowance is how many of them may be started now. The caller holds mu.
func (g *leader) bestEffortAllowance(now clock.Micros) int {
	g.bestEffortTokens = min(g.bestEffortRate(), g.bestEffortTokens+g.bestEffortRate()*(now-g.bestEffortAt).Seconds())
	g.bestEffortAt = now
	return int(g.bestEffortTokens)
}

// slackAt is the time left in which the job's tasks must start to meet its
// deadline and what its class is expected to keep. Without the latter, a long
// job with much time until its own deadline would be put off for longer than
// any of its class should wait. Where jobs have no deadlines, the first come
// goes first: by the class's aims, long jobs would go before short ones.
func (j *Job) slackAt(wall clock.Micros) clock.Micros {
	if j.deadline == 0 && (!j.bestEffort() || j.finishWithin == 0) {
		return unlimitedSlack
	}
	if j.deadline == 0 {
		// What runs when there is room may be there for hours: what is expected to be
		// done by some time goes before what is not.
		return max(0, clock.Micros(j.acceptedAt)+j.finishWithin-wall)
	}
	begin := min(j.startWithin, j.deadline-clock.FromSeconds(j.spec.ExpectedS))
	if j.finishWithin > 0 {
		begin = min(begin, j.finishWithin-clock.FromSeconds(j.spec.ExpectedS))
	}
	return max(0, clock.Micros(j.acceptedAt)+begin-wall)
}

// markEntitled marks the jobs that fit into their team's guarantee together with
// the team's earlier ones, where there are guarantees at all, once a second.
func (g *leader) markEntitled(now clock.Micros) {
	if !g.quota.Guarantees() || now-g.entitledAt < clock.Second && !g.jobsChanged {
		return
	}
	g.entitledAt = now
	var jobs []*Job
	var demands []quota.Demand
	for _, j := range g.sortedJobs() {
		if j.cancelled {
			continue
		}
		jobs = append(jobs, j)
		demands = append(demands, quota.Demand{Team: j.spec.Team, Amount: j.taskAmount().Times(len(j.tasks) - j.done)})
	}
	for i, entitled := range g.quota.Entitled(demands) {
		jobs[i].planJob.Entitled = entitled
	}
}

// taskAmount is what one task of the job takes of its team's limit.
func (j *Job) taskAmount() quota.Amount { return quota.NewAmount(j.spec.Cores, j.spec.Accelerators) }

// fitsTeamLimit tells whether the job's team may use as much more as a task of it takes. The
// caller holds mu.
func (g *leader) fitsTeamLimit(j *Job) bool { return g.quota.Fits(j.spec.Team, j.taskAmount()) }

// minReplicaAge is how long a replica is left alone after its start: a start that is
// undone within half a minute is none to its users.
const minReplicaAge = 40 * clock.Second

// candidates lists the placed tasks on offending machines or in broken rules.
// Batch tasks that could not save are left to finish on a machine that still
// works: stopping them would lose what repair is meant to protect.
func (g *leader) candidates(p *plan.Snapshot) {
	now := p.Now
	// Spreading goes slowly, so only some of the replicas that share a machine are
	// looked at in a round, beginning elsewhere each time.
	sharing := 4 * max(1, p.MaxMoves)
	machines := g.fleet.Machines()
	if len(machines) > 0 {
		at := int(g.writeSequence*97) % len(machines)
		machines = slices.Concat(machines[at:], machines[:at])
	}
	for _, m := range machines {
		m.EachAllocation(func(b *fleet.Allocation) {
			j, known := b.Owner.(*Job)
			if !b.Live() || b.Stopping || !known || j.cancelled || j.isGang() {
				return
			}
			pc := &j.tasks[b.Task.Index]
			if pc.allocation != b || pc.moveTarget != nil {
				return
			}
			reason := ""
			switch {
			case m.QuarantineReason != "" && (j.isService() || b.Checkpoints || m.QuarantineReason == "sick"):
				reason = plan.ReasonQuarantine
			case m.Cordoned && j.isService() && now-b.ReservedAt > minReplicaAge:
				reason = plan.ReasonDrain
			case j.isService() && j.planJob.Machines[m.Name] > 1 && sharing > 0:
				reason = plan.ReasonSpread
				sharing--
			default:
				return
			}
			p.Candidates = append(p.Candidates, plan.Candidate{Job: j.planJob, Index: b.Task.Index, Machine: m.Name, Reason: reason})
		})
	}
}
