package cedardoor

import (
	"cmp"
	"fmt"
	"slices"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/fleet"
	"cedardoor/plan"
	"cedardoor/quota"
)

// plannerInput is the snapshot of the cluster that plans are made from, and what paces them.
type plannerInput struct {
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

func newPlannerInput(operator *config.Operator, ledger *quota.Ledger) plannerInput {
	return plannerInput{changedMachines: map[*fleet.Machine]bool{}, reservedRoom: map[string]string{},
		snapshot: &plan.Snapshot{Quota: ledger, MaxMoves: operator.Repair.Restarts, SampleSize: operator.Plan.Sample, Preempt: true,
			StarvedTurns: plan.MaxStarvedTurns}}
}

// usable tells whether a machine may be given tasks.
func (l *leader) usable(machine *fleet.Machine, now clock.Micros) bool {
	return machine.Reported && !machine.Suspect && !machine.Unresponsive && machine.RunningOrphans() == 0 && machine.Cores > 0 && !machine.LeaseExpired(now) && !machine.Returning && machine.PreemptionAt == 0 && machine.SuspendedUntil <= now
}

// evaluateMachine bans a machine that has a notice, is slow or does not hear, and lifts
// the ban when its reason ends. The caller holds mu.
func (l *leader) evaluateMachine(machine *fleet.Machine) {
	if machine.QuarantineReason == quarantineNotAcknowledging && !machine.NotAcknowledging() {
		machine.QuarantineReason = ""
		l.detector.notAcknowledging--
		l.log.Info("machine hears again", "host", machine.Name)
	}
	switch {
	case machine.PreemptionAt > 0 && machine.QuarantineReason == "":
		machine.QuarantineReason = "notice"
	case machine.PreemptionAt == 0 && machine.QuarantineReason == "notice":
		machine.QuarantineReason = ""
	case machine.QuarantineReason == "" && machine.SlownessSamples >= 3 && machine.Slowness > 1.6:
		machine.QuarantineReason = "slow"
		l.log.Info("machine is slow", "host", machine.Name, "factor", fmt.Sprintf("%.2f", machine.Slowness))
	}
	if machine.NotAcknowledging() && machine.QuarantineReason == "" {
		machine.QuarantineReason = quarantineNotAcknowledging
		l.detector.notAcknowledging++
		l.log.Info("machine is deaf: it reports, but nothing told to it takes effect", "host", machine.Name)
	}
}

// quarantineNotAcknowledging marks machines whose reports come while nothing reaches them.
const quarantineNotAcknowledging = "deaf"

// stopGrace is how long the room of a task that was told to stop is waited for.
const stopGrace = 3 * clock.Second

// refreshMachine brings the picture up to date with a machine. The caller holds mu.
func (l *leader) refreshMachine(machine *fleet.Machine, now clock.Micros) (again bool) {
	planMachine := l.planner.snapshot.Machine(machine.Name)
	if l.fleet.Machine(machine.Name) != machine {
		if machine.QuarantineReason == quarantineNotAcknowledging {
			l.detector.notAcknowledging--
			machine.QuarantineReason = ""
		}
		if l.fleet.Machine(machine.Name) == nil && planMachine != nil {
			l.planner.snapshot.Remove(machine.Name)
		}
		delete(l.dispatcher.urgentMachines, machine)
		delete(l.detector.awaited, machine)
		delete(l.attribution.byMachine, machine)
		return false
	}
	if machine.SuspendedUntil > 0 && machine.SuspendedUntil <= now {
		machine.SuspendedUntil = 0
		l.quarantineIfFailing(machine, now)
	}
	l.evaluateMachine(machine)
	if planMachine == nil {
		planMachine = &plan.Machine{Name: machine.Name, Images: map[string]plan.ImageState{}}
	}
	c, a, r := machine.Free()
	planMachine.Type, planMachine.Zone, planMachine.Preemptible, planMachine.Cores, planMachine.Accelerators, planMachine.RAM = machine.Type, machine.Zone, machine.Preemptible, c, a, r
	planMachine.Usable, planMachine.QuarantineReason, planMachine.Cordoned, planMachine.ReservedFor = l.usable(machine, now), machine.QuarantineReason, machine.Cordoned, l.planner.reservedRoom[machine.Name]
	if b, known := l.fleet.MachineType(machine.Type); known {
		planMachine.FetchGBs = b.FetchGBs
	}
	for b := range planMachine.Images {
		if _, still := machine.Images[b]; !still {
			delete(planMachine.Images, b)
		}
	}
	for b, whole := range machine.Images {
		planMachine.Images[b] = plan.ImageFetching
		if whole {
			planMachine.Images[b] = plan.ImageHeld
		}
	}
	planMachine.HasFailures = l.attribution.byMachine[machine] != nil
	again = machine.SuspendedUntil > now // looked at again when that is over
	planMachine.StoppingCores, planMachine.StoppingAccelerators, planMachine.StoppingRAM = 0, 0, 0
	planMachine.Victims = planMachine.Victims[:0]
	guarantees := l.quota.Guarantees()
	machine.EachAllocation(func(allocation *fleet.Allocation) {
		if !allocation.Live() {
			return
		}
		if allocation.Stopping {
			// One that does not obey leaves room that may be long in coming.
			if now-allocation.StopRequestedAt <= stopGrace {
				again = true
				planMachine.StoppingCores += allocation.Cores
				planMachine.StoppingAccelerators += allocation.Accelerators
				planMachine.StoppingRAM += allocation.RAM
			}
			return
		}
		job, ok := allocation.Owner.(*Job)
		if !ok || job.isService() && !guarantees || job.isGang() || job.cancelled || job.preemptionExempt && len(job.tasks)-job.done-len(job.waiting) <= plan.StarvedTasks || job.tasks[allocation.Task.Index].allocation != allocation {
			return
		}
		planMachine.Victims = append(planMachine.Victims, plan.Victim{Task: plan.TaskID{Job: job.uid, Index: allocation.Task.Index}, Job: job.planJob, Priority: job.priority,
			Cores: allocation.Cores, Accelerators: allocation.Accelerators, RAM: allocation.RAM, RunningSince: allocation.RunningSince, Replica: job.isService()})
	})
	slices.SortStableFunc(planMachine.Victims, func(a, b plan.Victim) int {
		// Least progress first: not begun, then begun last. Replicas come after all else.
		return cmp.Or(compareBool(a.Replica, b.Replica), cmp.Compare(a.Priority, b.Priority), cmp.Compare(zeroLast(b.RunningSince), zeroLast(a.RunningSince)))
	})
	l.planner.snapshot.Put(planMachine)
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
func (l *leader) avoidsStruck() bool {
	return 2*len(l.attribution.byMachine) < l.fleet.ReportingCount()
}

// planInput readies the picture for a plan: it lists the tasks that wait. The
// caller holds mu.
func (l *leader) planInput(now clock.Micros, round bool) *plan.Snapshot {
	p := l.planner.snapshot
	l.writer.sequence++
	p.Seed, p.Now = l.writer.sequence, now
	p.MaxMoves = max(l.operator.Repair.Restarts, int(float64(l.jobs.replicas)*l.operator.Repair.Share))
	p.Waiting, p.Candidates = p.Waiting[:0], p.Candidates[:0]
	p.AvoidFailures = l.avoidsStruck()
	l.markEntitled(now)
	wall := l.clock.Wall()
	const perPass = 400 // tasks of one job offered to one pass
	low := l.bestEffortAllowance(now)
	unbooked := l.fleet.HasOrphans()
	for job := range l.jobs.waiting {
		job.pruneWaiting()
		if job.cancelled || len(job.waiting) == 0 {
			delete(l.jobs.waiting, job)
			continue
		}
		if job.cancellationPending {
			continue
		}
		tries := job.waiting
		pj := job.planJob
		if pj.OnTrial = job.failures.onTrial(); pj.OnTrial {
			tries = l.trialTasks(job, now)
			pj.OnTrial = job.failures.onTrial()
		}
		most := perPass
		if job.bestEffort() {
			if most = min(perPass, low); most <= 0 {
				continue
			}
		}
		idx := make([]int, 0, min(len(tries), most))
		lost := false
		for _, i := range tries {
			if job.tasks[i].notBefore > now || unbooked && l.fleet.MayRunAsOrphan(fleet.TaskID{Job: job.uid, Index: i}, now) {
				continue
			}
			idx = append(idx, i)
			lost = lost || job.tasks[i].hasRun
			if len(idx) >= most && !job.isGang() {
				break
			}
		}
		if len(idx) == 0 {
			continue
		}
		pj.Started, pj.Unfinished = job.started, len(job.tasks)-job.done
		pj.StartsPartially = !job.started && clock.Micros(job.acceptedAt)+agedAfter < wall
		pj.Starved = pj.StartsPartially && !job.isService() && !pj.OnTrial
		pj.Slack = job.slackAt(wall)
		p.Waiting = append(p.Waiting, plan.Waiting{Job: pj, Indexes: idx, Replacement: lost})
	}
	// The planner's order has no ties, so that of the map does not matter.
	if round {
		l.candidates(p)
	}
	return p
}

// bestEffortPerCore is how many tasks of the lowest priority a controller with a whole core
// starts in a second, so that no huge batch of short tasks takes the processor
// that heartbeats and urgent work need. A task costs its start, its end and its part
// in the reports of its machine.
const bestEffortPerCore = 1500

// bestEffortRate is how many tasks of the lowest priority may be started in a second.
func (l *leader) bestEffortRate() float64 {
	return max(10, bestEffortPerCore*min(1, l.cfg.Facts.Limits.CoreShare))
}

// bestEffortAllowance is how many of them may be started now. The caller holds mu.
func (l *leader) bestEffortAllowance(now clock.Micros) int {
	l.planner.bestEffortTokens = min(l.bestEffortRate(), l.planner.bestEffortTokens+l.bestEffortRate()*(now-l.planner.bestEffortAt).Seconds())
	l.planner.bestEffortAt = now
	return int(l.planner.bestEffortTokens)
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
func (l *leader) markEntitled(now clock.Micros) {
	if !l.quota.Guarantees() || now-l.planner.entitledAt < clock.Second && !l.jobs.changed {
		return
	}
	l.planner.entitledAt = now
	var jobs []*Job
	var demands []quota.Demand
	for _, job := range l.sortedJobs() {
		if job.cancelled {
			continue
		}
		jobs = append(jobs, job)
		demands = append(demands, quota.Demand{Team: job.spec.Team, Amount: job.taskAmount().Times(len(job.tasks) - job.done)})
	}
	for i, entitled := range l.quota.Entitled(demands) {
		jobs[i].planJob.Entitled = entitled
	}
}

// taskAmount is what one task of the job takes of its team's limit.
func (j *Job) taskAmount() quota.Amount { return quota.NewAmount(j.spec.Cores, j.spec.Accelerators) }

// fitsTeamLimit tells whether the job's team may use as much more as a task of it takes. The
// caller holds mu.
func (l *leader) fitsTeamLimit(job *Job) bool { return l.quota.Fits(job.spec.Team, job.taskAmount()) }

// minReplicaAge is how long a replica is left alone after its start: a start that is
// undone within half a minute is none to its users.
const minReplicaAge = 40 * clock.Second

// candidates lists the placed tasks on offending machines or in broken rules.
// Batch tasks that could not save are left to finish on a machine that still
// works: stopping them would lose what repair is meant to protect.
func (l *leader) candidates(p *plan.Snapshot) {
	now := p.Now
	// Spreading goes slowly, so only some of the replicas that share a machine are
	// looked at in a round, beginning elsewhere each time.
	sharing := 4 * max(1, p.MaxMoves)
	machines := l.fleet.Machines()
	if len(machines) > 0 {
		at := int(l.writer.sequence*97) % len(machines)
		machines = slices.Concat(machines[at:], machines[:at])
	}
	for _, machine := range machines {
		machine.EachAllocation(func(allocation *fleet.Allocation) {
			job, known := allocation.Owner.(*Job)
			if !allocation.Live() || allocation.Stopping || !known || job.cancelled || job.isGang() {
				return
			}
			task := &job.tasks[allocation.Task.Index]
			if task.allocation != allocation || task.moveTarget != nil {
				return
			}
			reason := ""
			switch {
			case machine.QuarantineReason != "" && (job.isService() || allocation.Checkpoints || machine.QuarantineReason == "sick"):
				reason = plan.ReasonQuarantine
			case machine.Cordoned && job.isService() && now-allocation.ReservedAt > minReplicaAge:
				reason = plan.ReasonDrain
			case job.isService() && job.planJob.Machines[machine.Name] > 1 && sharing > 0:
				reason = plan.ReasonSpread
				sharing--
			default:
				return
			}
			p.Candidates = append(p.Candidates, plan.Candidate{Job: job.planJob, Index: allocation.Task.Index, Machine: machine.Name, Reason: reason})
		})
	}
}
