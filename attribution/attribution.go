// Package attribution judges whether a job or a machine is at fault for tasks that fail, and
// quarantines machines that are. It does no I/O and has no lock: the leader's own lock guards it.
package attribution

import (
	"log/slog"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/plan"
	"cedardoor/wire"
)

const (
	// failingAfterMachines is on how many machines a job must have failed, and succeeded on
	// none, to count as failing: fewer may all be at fault.
	failingAfterMachines = 3
	// toleratedTaskFailures is how many failures of one task of a job that works are held
	// against the machines.
	toleratedTaskFailures = 1
	// lastingRun is how long a task must run on, at least, to show that its job works.
	lastingRun = 3 * clock.Second
	// trialGap is how far apart the trials of a job are while others of its tasks have yet to
	// show what they come to.
	trialGap = 5 * clock.Second
	// maxTrialInterval is how far apart the trials of a failing job are at most.
	maxTrialInterval = 60 * clock.Second
	// maxAvoided is how many machines a job's tasks keep away from.
	maxAvoided = 8
	// suspensionTime is how long a machine on which several jobs failed in a row gets nothing
	// new, so that it does not swallow more until it is clear which is at fault.
	suspensionTime = 6 * clock.Second
	// quarantineAfter is how many failures of jobs that work elsewhere quarantine a machine.
	quarantineAfter = 2
	// suspendAfter is how many jobs that may be at fault themselves must fail on a machine for
	// it to be suspended.
	suspendAfter = 2
)

// Job is what a Tracker looks at in a job.
type Job interface {
	// ID is the job's id, for the log.
	ID() string
	// FailureHistory is the job's history, which only this package changes.
	FailureHistory() *History
	// Planned is the job as the planner sees it: its Avoid follows the failures.
	Planned() *plan.Job
	// DoneTasks is how many tasks are done.
	DoneTasks() int
	// AllWaiting tells whether every task waits for a machine.
	AllWaiting() bool
	// RunsLongerThan tells whether a task is known to have run on for longer.
	RunsLongerThan(span clock.Micros) bool
}

// Outcome is what a failure, or a look at a job, has changed of it.
type Outcome int

// The outcomes.
const (
	// Unchanged: the job is judged as before.
	Unchanged Outcome = iota
	// JobFailing: the job's tasks fail wherever they run.
	JobFailing
	// JobCleared: the job can succeed; where it failed, the machines are at fault.
	JobCleared
)

// Failure is the failure of one task.
type Failure struct {
	Machine  *fleet.Machine
	Ran      clock.Micros // how long the task ran before it failed
	Attempts int          // failures of the same task, this one included
	RetryAt  clock.Micros // when the task may be tried again
}

// Tracker follows failures by machine, and judges them against the jobs' own histories.
type Tracker struct {
	fleet     *fleet.Fleet
	log       *slog.Logger
	byMachine map[*fleet.Machine]*machineFailures
}

// machineFailures are the failures on a machine since any task was done there.
type machineFailures struct {
	firstAt clock.Micros
	byJob   map[*History]int
}

// NewTracker makes a Tracker of the fleet's machines.
func NewTracker(f *fleet.Fleet, log *slog.Logger) *Tracker {
	return &Tracker{fleet: f, log: log, byMachine: map[*fleet.Machine]*machineFailures{}}
}

// HasFailures tells whether tasks have failed on a machine since any was done there.
func (t *Tracker) HasFailures(machine *fleet.Machine) bool { return t.byMachine[machine] != nil }

// Machines calls do for every machine with failures, in no order.
func (t *Tracker) Machines(do func(machine *fleet.Machine)) {
	for machine := range t.byMachine {
		do(machine)
	}
}

// FewMachines tells whether tasks have failed on less than half of the machines, so that jobs on
// trial can avoid these.
func (t *Tracker) FewMachines() bool { return 2*len(t.byMachine) < t.fleet.ReportingCount() }

// Forget drops the failures of a machine that is no longer known.
func (t *Tracker) Forget(machine *fleet.Machine) { delete(t.byMachine, machine) }

// TaskDone notes that a task of the job was done on a machine: what failed there before failed
// for another reason.
func (t *Tracker) TaskDone(job Job, machine *fleet.Machine, now clock.Micros) Outcome {
	if t.byMachine[machine] != nil {
		delete(t.byMachine, machine)
		t.fleet.MachineChanged(machine)
	}
	outcome := Unchanged
	history := job.FailureHistory()
	if history.OnTrial() {
		outcome = t.clear(job, now)
	}
	history.Succeeded()
	return outcome
}

// TaskFailed takes a failure in. It tells whether the task is persistent: it fails wherever it runs,
// while others of its job succeed, and has to back off beyond Failure.RetryAt.
func (t *Tracker) TaskFailed(job Job, failure Failure, now clock.Micros) (outcome Outcome, persistent bool) {
	history, machine := job.FailureHistory(), failure.Machine
	if history.byMachine == nil {
		history.byMachine = map[string]int{}
	}
	history.byMachine[machine.Name]++
	history.lastFailureAt, history.longestFailedRun = now, max(history.longestFailedRun, failure.Ran)
	t.avoid(job, machine.Name)
	if history.failing {
		return Unchanged, false // it proves nothing against the machine
	}
	if history.succeeded && failure.Attempts > toleratedTaskFailures && len(history.byMachine) > 1 {
		// Others of its tasks succeed, this one does not, wherever it runs. What has failed on
		// one machine only says nothing against the task.
		return Unchanged, true
	}
	t.count(machine, history, now)
	if history.succeeded {
		t.quarantineIfFailing(machine, now)
		return Unchanged, false
	}
	if len(history.byMachine) == 1 && history.byMachine[machine.Name] == 1 {
		history.nextTrialAt = failure.RetryAt
	}
	if t.unexplained(machine) >= suspendAfter && machine.QuarantineReason == "" {
		machine.SuspendedUntil = now + suspensionTime
		t.fleet.MachineChanged(machine)
	}
	return t.Evaluate(job, now), false
}

// count adds a failure to those on the machine.
func (t *Tracker) count(machine *fleet.Machine, history *History, now clock.Micros) {
	t.fleet.MachineChanged(machine)
	if t.byMachine[machine] == nil {
		t.byMachine[machine] = &machineFailures{firstAt: now, byJob: map[*History]int{}}
	}
	t.byMachine[machine].byJob[history]++
}

// avoid keeps a job's next tasks off a machine on which one failed, while there are others.
func (t *Tracker) avoid(job Job, machine string) {
	history, planned := job.FailureHistory(), job.Planned()
	if planned.Avoid[machine] {
		return
	}
	if planned.Avoid == nil {
		planned.Avoid = map[string]bool{}
	}
	planned.Avoid[machine] = true
	history.avoided = append(history.avoided, machine)
	for len(history.avoided) > min(maxAvoided, t.fleet.ReportingCount()/2) {
		delete(planned.Avoid, history.avoided[0])
		history.avoided = history.avoided[1:]
	}
}

// unexplained counts the jobs that failed on a machine since anything was done on it and that are
// not known to work elsewhere.
func (t *Tracker) unexplained(machine *fleet.Machine) (n int) {
	if failures := t.byMachine[machine]; failures != nil {
		for history := range failures.byJob {
			if !history.succeeded {
				n++
			}
		}
	}
	return n
}

// EndSuspension lets a machine have tasks again whose suspension is over, or quarantines it.
func (t *Tracker) EndSuspension(machine *fleet.Machine, now clock.Micros) {
	machine.SuspendedUntil = 0
	t.quarantineIfFailing(machine, now)
}

// quarantineIfFailing quarantines a machine on which tasks of jobs that work elsewhere failed
// twice with no success between. A task that began there since the first failure and runs on
// shows that the tasks were at fault; while there is one that has yet to show it, the machine is
// suspended.
func (t *Tracker) quarantineIfFailing(machine *fleet.Machine, now clock.Micros) {
	failures := t.byMachine[machine]
	if failures == nil {
		return
	}
	n := failures.ofWorkingJobs()
	if n < quarantineAfter || machine.QuarantineReason != "" || t.fleet.Machine(machine.Name) != machine {
		return
	}
	lasting, young := failures.tasksSince(machine)
	t.fleet.MachineChanged(machine)
	switch {
	case lasting:
		delete(t.byMachine, machine)
	case young:
		machine.SuspendedUntil = max(machine.SuspendedUntil, now+lastingRun+clock.Second)
	default:
		machine.QuarantineReason = fleet.QuarantineFailing
		t.log.Info("machine quarantined", "machine", machine.Name, "reason", "tasks fail", "failures", n)
	}
}

// ofWorkingJobs counts the failures of jobs that are known to work elsewhere.
func (f *machineFailures) ofWorkingJobs() (n int) {
	for history, k := range f.byJob {
		if history.succeeded {
			n += k
		}
	}
	return n
}

// tasksSince tells whether tasks that began on the machine since the first failure run there: some
// that have run on for long (lasting), and some that have yet to (young).
func (f *machineFailures) tasksSince(machine *fleet.Machine) (lasting, young bool) {
	machine.EachAllocation(func(allocation *fleet.Allocation) {
		if allocation.Live() && allocation.Status == wire.TaskRunning && allocation.RunningSince >= f.firstAt {
			lasts := machine.LastHeartbeat-allocation.RunningSince > lastingRun
			lasting, young = lasting || lasts, young || !lasts
		}
	})
	return lasting, young
}

// Evaluate judges a job on trial by what has become of its tasks.
func (t *Tracker) Evaluate(job Job, now clock.Micros) Outcome {
	history := job.FailureHistory()
	if !history.OnTrial() {
		return Unchanged
	}
	if job.DoneTasks() > 0 || job.RunsLongerThan(max(lastingRun, 2*history.longestFailedRun+clock.Second)) {
		return t.clear(job, now)
	}
	allWaiting := job.AllWaiting()
	if history.failing || len(history.byMachine) < failingAfterMachines || !allWaiting {
		return Unchanged
	}
	history.failing = true
	history.nextTrialAt = now + history.trialInterval()
	t.Withdraw(job)
	t.log.Info("job fails on every machine", "job", job.ID(), "machines", len(history.byMachine))
	return JobFailing
}

// clear notes that a job can succeed: where it failed, the machines are at fault.
func (t *Tracker) clear(job Job, now clock.Micros) Outcome {
	history := job.FailureHistory()
	if history.failing {
		t.log.Info("job runs after it had failed on every machine", "job", job.ID())
	}
	history.succeeded, history.failing, history.suspectAtStart = true, false, false
	for name := range history.byMachine {
		if machine := t.fleet.Machine(name); machine != nil {
			t.quarantineIfFailing(machine, now)
		}
	}
	return JobCleared
}

// Withdraw takes back what a job's failures said of machines.
func (t *Tracker) Withdraw(job Job) {
	history := job.FailureHistory()
	for name := range history.byMachine {
		machine := t.fleet.Machine(name)
		if machine == nil || t.byMachine[machine] == nil {
			continue
		}
		delete(t.byMachine[machine].byJob, history)
		if len(t.byMachine[machine].byJob) == 0 {
			delete(t.byMachine, machine)
			t.fleet.MachineChanged(machine)
		}
		if machine.SuspendedUntil > 0 && t.unexplained(machine) < suspendAfter {
			machine.SuspendedUntil = 0
			t.fleet.MachineChanged(machine)
		}
	}
}
