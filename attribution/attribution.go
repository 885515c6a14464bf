// Package attribution decides whether a job or a machine is at fault when tasks fail, and
// quarantines faulty machines. It does no I/O and has no lock: the leader's lock guards it.
package attribution

import (
	"log/slog"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/plan"
	"cedardoor/wire"
)

const (
	// failingAfterMachines is the number of machines on which a job must have failed, without a
	// success anywhere, to count as failing. With fewer, all of the machines may be at fault.
	failingAfterMachines = 3
	// toleratedTaskFailures is how many failures of one task are attributed to the machines if
	// the task's job works.
	toleratedTaskFailures = 1
	// minHealthyRun is the minimum run time of a task that shows that its job works.
	minHealthyRun = 3 * clock.Second
	// trialGap is how long a job on trial waits after its last failure or trial while other tasks
	// of the job are placed. The trial interval of a failing job is a multiple of it.
	trialGap = 5 * clock.Second
	// maxTrialInterval is the maximum time between two trials of a failing job.
	maxTrialInterval = 60 * clock.Second
	// maxAvoidedMachines is the maximum number of machines that a job's tasks avoid.
	maxAvoidedMachines = 8
	// suspensionTime is how long a machine on which several jobs failed in a row gets no new
	// tasks, so that no more fail there until it is clear whether the machine is at fault.
	suspensionTime = 6 * clock.Second
	// quarantineAfterFailures is the number of failures, of jobs that work elsewhere, after which
	// a machine is quarantined.
	quarantineAfterFailures = 2
	// suspendAfterJobs is the number of failed jobs, possibly at fault themselves, after which a
	// machine is suspended.
	suspendAfterJobs = 2
)

// Job is the part of a job that a Tracker uses.
type Job interface {
	// ID returns the job's id, for the log.
	ID() string
	// FailureHistory returns the job's history, which only this package changes.
	FailureHistory() *History
	// Planned returns the planner's view of the job. The Tracker updates its Avoid field.
	Planned() *plan.Job
	// DoneTasks returns the number of tasks that are done.
	DoneTasks() int
	// AllWaiting reports whether every task waits for a machine.
	AllWaiting() bool
	// RunsLongerThan reports whether a task is known to have been running for longer than span.
	RunsLongerThan(span clock.Micros) bool
}

// Outcome is the change in the judgment of a job after a task ended or the job was evaluated.
type Outcome int

// The outcomes.
const (
	// Unchanged: the judgment of the job did not change.
	Unchanged Outcome = iota
	// JobFailing: the job's tasks fail wherever they run.
	JobFailing
	// JobCleared: the job can succeed, so the machines on which it failed are at fault.
	JobCleared
)

// Failure is the failure of one task.
type Failure struct {
	Machine      *fleet.Machine
	RunTime      clock.Micros // how long the task ran before it failed
	TaskFailures int          // failures of the same task, including this one
	RetryAt      clock.Micros // earliest time for a retry of the task
}

// Tracker records failures by machine and uses the jobs' histories to attribute them.
type Tracker struct {
	fleet     *fleet.Fleet
	log       *slog.Logger
	byMachine map[*fleet.Machine]*machineFailures
}

// machineFailures holds the failures on a machine since a task was last done there.
type machineFailures struct {
	firstFailureAt clock.Micros
	byJob          map[*History]int
}

// NewTracker returns a Tracker for the fleet's machines.
func NewTracker(f *fleet.Fleet, log *slog.Logger) *Tracker {
	return &Tracker{fleet: f, log: log, byMachine: map[*fleet.Machine]*machineFailures{}}
}

// HasFailures reports whether tasks have failed on a machine since one was last done there.
func (t *Tracker) HasFailures(machine *fleet.Machine) bool { return t.byMachine[machine] != nil }

// EachMachineWithFailures calls do for every machine with failures, in no particular order.
func (t *Tracker) EachMachineWithFailures(do func(machine *fleet.Machine)) {
	for machine := range t.byMachine {
		do(machine)
	}
}

// FewMachinesFailed reports whether the machines with failures are fewer than half of those that report,
// so that jobs on trial can avoid them.
func (t *Tracker) FewMachinesFailed() bool { return 2*len(t.byMachine) < t.fleet.ReportingCount() }

// Forget drops the failures of a machine that is no longer known.
func (t *Tracker) Forget(machine *fleet.Machine) { delete(t.byMachine, machine) }

// TaskDone records that a task of the job was done on a machine. Earlier failures there are
// dropped: the machine works, so they had another cause.
func (t *Tracker) TaskDone(job Job, machine *fleet.Machine, now clock.Micros) Outcome {
	if t.byMachine[machine] != nil {
		delete(t.byMachine, machine)
		t.fleet.MachineChanged(machine)
	}
	outcome := Unchanged
	history := job.FailureHistory()
	if history.OnTrial() {
		outcome = t.clearJob(job, now)
	}
	history.MarkSucceeded()
	return outcome
}

// TaskFailed records a failure. The failure is persistent if the task fails wherever it runs while
// other tasks of its job succeed; the task then has to back off beyond Failure.RetryAt.
func (t *Tracker) TaskFailed(job Job, failure Failure, now clock.Micros) (outcome Outcome, persistent bool) {
	history, machine := job.FailureHistory(), failure.Machine
	if history.failuresByMachine == nil {
		history.failuresByMachine = map[string]int{}
	}
	history.failuresByMachine[machine.Name]++
	history.lastFailureOrTrialAt, history.longestFailedRun = now, max(history.longestFailedRun, failure.RunTime)
	t.avoidMachine(job, machine.Name)
	if history.failing {
		return Unchanged, false // the failure is no evidence against the machine
	}
	if history.succeeded && failure.TaskFailures > toleratedTaskFailures && len(history.failuresByMachine) > 1 {
		// Other tasks of the job succeed, but this one fails wherever it runs. Failures on a
		// single machine would be no evidence against the task.
		return Unchanged, true
	}
	t.recordFailure(machine, history, now)
	if history.succeeded {
		t.quarantineIfFailing(machine, now)
		return Unchanged, false
	}
	if len(history.failuresByMachine) == 1 && history.failuresByMachine[machine.Name] == 1 {
		history.nextTrialAt = failure.RetryAt
	}
	if t.unprovenJobs(machine) >= suspendAfterJobs && machine.QuarantineReason == "" {
		machine.SuspendedUntil = now + suspensionTime
		t.fleet.MachineChanged(machine)
	}
	return t.Evaluate(job, now), false
}

// recordFailure adds a failure of a job to those on the machine.
func (t *Tracker) recordFailure(machine *fleet.Machine, history *History, now clock.Micros) {
	t.fleet.MachineChanged(machine)
	if t.byMachine[machine] == nil {
		t.byMachine[machine] = &machineFailures{firstFailureAt: now, byJob: map[*History]int{}}
	}
	t.byMachine[machine].byJob[history]++
}

// avoidMachine keeps a job's next tasks off a machine on which one failed. It drops the oldest avoided
// machines, so that at least half of the reporting machines remain.
func (t *Tracker) avoidMachine(job Job, machine string) {
	history, planned := job.FailureHistory(), job.Planned()
	if planned.Avoid[machine] {
		return
	}
	if planned.Avoid == nil {
		planned.Avoid = map[string]bool{}
	}
	planned.Avoid[machine] = true
	history.avoided = append(history.avoided, machine)
	for len(history.avoided) > min(maxAvoidedMachines, t.fleet.ReportingCount()/2) {
		delete(planned.Avoid, history.avoided[0])
		history.avoided = history.avoided[1:]
	}
}

// unprovenJobs returns the number of jobs that failed on a machine since a task was last done there
// and that are not known to work elsewhere.
func (t *Tracker) unprovenJobs(machine *fleet.Machine) (n int) {
	if failures := t.byMachine[machine]; failures != nil {
		for history := range failures.byJob {
			if !history.succeeded {
				n++
			}
		}
	}
	return n
}

// EndSuspension ends the suspension of a machine, unless its failures require a quarantine or a
// further suspension.
func (t *Tracker) EndSuspension(machine *fleet.Machine, now clock.Micros) {
	machine.SuspendedUntil = 0
	t.quarantineIfFailing(machine, now)
}

// quarantineIfFailing quarantines a machine on which tasks of jobs that work elsewhere failed
// twice with no success in between. A task that started there after the first failure and has run
// for longer than minHealthyRun shows that the failed tasks were at fault. If all such tasks have
// run for less, the machine is suspended instead.
func (t *Tracker) quarantineIfFailing(machine *fleet.Machine, now clock.Micros) {
	failures := t.byMachine[machine]
	if failures == nil {
		return
	}
	n := failures.failuresOfWorkingJobs()
	if n < quarantineAfterFailures || machine.QuarantineReason != "" || t.fleet.Machine(machine.Name) != machine {
		return
	}
	healthy, undecided := failures.tasksSinceFirstFailure(machine)
	t.fleet.MachineChanged(machine)
	switch {
	case healthy:
		delete(t.byMachine, machine)
	case undecided:
		machine.SuspendedUntil = max(machine.SuspendedUntil, now+minHealthyRun+clock.Second)
	default:
		machine.QuarantineReason = fleet.QuarantineFailing
		t.log.Info("machine quarantined", "machine", machine.Name, "reason", "tasks fail", "failures", n)
	}
}

// failuresOfWorkingJobs returns the number of failures of jobs that are known to work elsewhere.
func (f *machineFailures) failuresOfWorkingJobs() (n int) {
	for history, k := range f.byJob {
		if history.succeeded {
			n += k
		}
	}
	return n
}

// tasksSinceFirstFailure looks for running tasks that started on the machine after the first failure.
// It reports whether any has run for longer than minHealthyRun (healthy), and any for less (undecided).
func (f *machineFailures) tasksSinceFirstFailure(machine *fleet.Machine) (healthy, undecided bool) {
	machine.EachAllocation(func(allocation *fleet.Allocation) {
		if allocation.Live() && allocation.Status == wire.TaskRunning && allocation.RunningSince >= f.firstFailureAt {
			isHealthy := machine.LastHeartbeat-allocation.RunningSince > minHealthyRun
			healthy, undecided = healthy || isHealthy, undecided || !isHealthy
		}
	})
	return healthy, undecided
}

// Evaluate decides by the state of its tasks whether a job on trial works or is failing.
func (t *Tracker) Evaluate(job Job, now clock.Micros) Outcome {
	history := job.FailureHistory()
	if !history.OnTrial() {
		return Unchanged
	}
	if job.DoneTasks() > 0 || job.RunsLongerThan(max(minHealthyRun, 2*history.longestFailedRun+clock.Second)) {
		return t.clearJob(job, now)
	}
	allWaiting := job.AllWaiting()
	if history.failing || len(history.failuresByMachine) < failingAfterMachines || !allWaiting {
		return Unchanged
	}
	history.failing = true
	history.nextTrialAt = now + history.trialInterval()
	t.WithdrawFailures(job)
	t.log.Info("job failed on every machine that it tried", "job", job.ID(), "machines", len(history.failuresByMachine))
	return JobFailing
}

// clearJob records that a job can succeed, so that the machines on which it failed are at fault.
func (t *Tracker) clearJob(job Job, now clock.Micros) Outcome {
	history := job.FailureHistory()
	if history.failing {
		t.log.Info("job works after failing on every machine that it had tried", "job", job.ID())
	}
	history.succeeded, history.failing, history.restoredAsSuspect = true, false, false
	for name := range history.failuresByMachine {
		if machine := t.fleet.Machine(name); machine != nil {
			t.quarantineIfFailing(machine, now)
		}
	}
	return JobCleared
}

// WithdrawFailures removes a job's failures from the machines on which it failed, and ends suspensions
// that the remaining failures do not justify.
func (t *Tracker) WithdrawFailures(job Job) {
	history := job.FailureHistory()
	for name := range history.failuresByMachine {
		machine := t.fleet.Machine(name)
		if machine == nil || t.byMachine[machine] == nil {
			continue
		}
		delete(t.byMachine[machine].byJob, history)
		if len(t.byMachine[machine].byJob) == 0 {
			delete(t.byMachine, machine)
			t.fleet.MachineChanged(machine)
		}
		if machine.SuspendedUntil > 0 && t.unprovenJobs(machine) < suspendAfterJobs {
			machine.SuspendedUntil = 0
			t.fleet.MachineChanged(machine)
		}
	}
}
