package cedardoor

import (
	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/wire"
)

// failureAttribution judges whether jobs or machines are at fault for the tasks that fail.
type failureAttribution struct {
	byMachine map[*fleet.Machine]*failureCounts // failures since any task was done there
}

func newFailureAttribution() failureAttribution {
	return failureAttribution{byMachine: map[*fleet.Machine]*failureCounts{}}
}

// failureHistory is what a job's own failures tell of it. A task may fail because its
// machine is sick, or because the job was submitted with a mistake and fails
// everywhere: one failure looks like the other. Neither the machine nor the job
// is judged by a failure until the job has shown, elsewhere, which of them it is.
type failureHistory struct {
	succeeded        bool           // a task of it was done, or has run on longer than those that failed
	failing          bool           // its tasks failed on several machines and succeeded on none
	suspectAtStart   bool           // a predecessor's attempts of it all ended without a result
	machineFailures  map[string]int // failures by machine
	lastFailureAt    clock.Micros   // the last failure
	longestFailedRun clock.Micros   // the longest that a task ran before it failed
	nextTrialAt      clock.Micros   // the next task is tried then
	trials           int
	avoided          []string // machines that the job failed on lately, oldest first
}

// onTrial tells whether the job has failed and never yet succeeded.
func (t *failureHistory) onTrial() bool {
	return !t.succeeded && (t.suspectAtStart || len(t.machineFailures) > 0)
}

const (
	// failingAfterMachines is on how many machines a job must have failed, and succeeded on none,
	// to be called bad: fewer may all be sick.
	failingAfterMachines = 3
	// toleratedTaskFailures is how many failures of one task of a job that works are held
	// against the machines.
	toleratedTaskFailures = 1
	// lastingRun is how long a task must run on, at least, to show that its job works.
	lastingRun = 3 * clock.Second
	// trialGap is how far apart the tries of a job in doubt are while others of its
	// tasks have yet to show what they come to.
	trialGap = 5 * clock.Second
	// maxAvoided is how many machines a job's tasks keep away from.
	maxAvoided = 8
	// suspensionTime is how long a machine on which several jobs failed in a row gets
	// nothing new, so that it does not swallow more until it is clear which is at fault.
	suspensionTime = 6 * clock.Second
)

// attemptFailed takes in that a task of j failed on m after running for a while. The
// caller holds mu.
func (l *leader) attemptFailed(job *Job, task *Task, machine *fleet.Machine, ran, now clock.Micros) {
	history := &job.failures
	task.failures++
	task.notBefore = now + 200*clock.Millisecond*clock.Micros(min(task.failures, 25))
	if history.machineFailures == nil {
		history.machineFailures = map[string]int{}
	}
	history.machineFailures[machine.Name]++
	history.lastFailureAt, history.longestFailedRun = now, max(history.longestFailedRun, ran)
	l.avoidMachine(job, machine.Name)
	if history.failing {
		return // it proves nothing against the machine
	}
	if history.succeeded && task.failures > toleratedTaskFailures && len(history.machineFailures) > 1 {
		// Others of its tasks succeed, this one does not, wherever it runs. What has
		// failed on one machine only says nothing against the task.
		task.notBefore = now + backoff(task.failures)
		return
	}
	l.planner.changedMachines[machine] = true
	if l.attribution.byMachine[machine] == nil {
		l.attribution.byMachine[machine] = &failureCounts{firstAt: now, byJob: map[*Job]int{}}
	}
	l.attribution.byMachine[machine].byJob[job]++
	if history.succeeded {
		l.quarantineIfFailing(machine, now)
		return
	}
	if len(history.machineFailures) == 1 && history.machineFailures[machine.Name] == 1 {
		history.nextTrialAt = task.notBefore
	}
	if unclear := l.unexplainedFailures(machine); unclear >= 2 && machine.QuarantineReason == "" {
		machine.SuspendedUntil = now + suspensionTime
		l.planner.changedMachines[machine] = true
	}
	l.evaluateJob(job, now)
}

// avoidMachine keeps a job's next tasks off a machine on which one failed, while there
// are others. The caller holds mu.
func (l *leader) avoidMachine(job *Job, host string) {
	history := &job.failures
	if job.planJob.Avoid[host] {
		return
	}
	if job.planJob.Avoid == nil {
		job.planJob.Avoid = map[string]bool{}
	}
	job.planJob.Avoid[host] = true
	history.avoided = append(history.avoided, host)
	for len(history.avoided) > min(maxAvoided, l.fleet.ReportingCount()/2) {
		delete(job.planJob.Avoid, history.avoided[0])
		history.avoided = history.avoided[1:]
	}
}

// failureCounts are the failures on a machine since anything was done there.
type failureCounts struct {
	firstAt clock.Micros
	byJob   map[*Job]int
}

// unexplainedFailures counts the jobs that failed on a machine since anything was done on it
// and that are not known to work elsewhere. The caller holds mu.
func (l *leader) unexplainedFailures(machine *fleet.Machine) (n int) {
	if s := l.attribution.byMachine[machine]; s != nil {
		for job := range s.byJob {
			if !job.failures.succeeded {
				n++
			}
		}
	}
	return n
}

// quarantineIfFailing bans a machine on which tasks of jobs that work elsewhere failed twice
// with no success between. A task that began there since the first failure and
// runs on shows that the tasks were at fault; while there is one that has yet to
// show it, the machine gets nothing new. The caller holds mu.
func (l *leader) quarantineIfFailing(machine *fleet.Machine, now clock.Micros) {
	s, n := l.attribution.byMachine[machine], 0
	if s == nil {
		return
	}
	for job, k := range s.byJob {
		if job.failures.succeeded {
			n += k
		}
	}
	if n < 2 || machine.QuarantineReason != "" || l.fleet.Machine(machine.Name) != machine {
		return
	}
	lasting, young := false, false
	machine.EachAllocation(func(allocation *fleet.Allocation) {
		if allocation.Live() && allocation.Status == wire.TaskRunning && allocation.RunningSince >= s.firstAt {
			lasts := machine.LastHeartbeat-allocation.RunningSince > lastingRun
			lasting, young = lasting || lasts, young || !lasts
		}
	})
	l.planner.changedMachines[machine] = true
	switch {
	case lasting:
		delete(l.attribution.byMachine, machine)
	case young:
		machine.SuspendedUntil = max(machine.SuspendedUntil, now+lastingRun+clock.Second)
	default:
		machine.QuarantineReason = "sick"
		l.log.Info("machine is sick: its tasks fail", "host", machine.Name, "strikes", n)
	}
}

// evaluateJob judges a job in doubt by what has become of its tasks. The caller holds mu.
func (l *leader) evaluateJob(job *Job, now clock.Micros) {
	history := &job.failures
	if !history.onTrial() {
		return
	}
	if job.done > 0 || l.hasLastingTask(job) {
		l.clearJob(job, now)
		return
	}
	job.pruneWaiting()
	if history.failing || len(history.machineFailures) < failingAfterMachines || len(job.waiting) < len(job.tasks) {
		return
	}
	history.failing = true
	history.nextTrialAt = now + l.trialInterval(history)
	l.withdrawFailures(job)
	// Nothing is rented for tasks that fail.
	l.autoscaler.arrivals.Withdraw(job)
	l.log.Info("job is bad: its tasks fail wherever they run", "job", job.uid, "machines", len(history.machineFailures))
}

// hasLastingTask tells whether a task of j has run on for clearly longer than those that
// failed. The caller holds mu.
func (l *leader) hasLastingTask(job *Job) bool {
	if job.running == 0 {
		return false
	}
	enough := max(lastingRun, 2*job.failures.longestFailedRun+clock.Second)
	for i := range job.tasks {
		allocation := job.tasks[i].allocation
		if allocation != nil && allocation.Status == wire.TaskRunning && allocation.RunningSince > 0 && !allocation.Ended && allocation.Machine.Reported && allocation.Machine.LastHeartbeat-allocation.RunningSince > enough {
			return true
		}
	}
	return false
}

// clearJob notes that a job can succeed: where it failed, the machines are at fault.
// The caller holds mu.
func (l *leader) clearJob(job *Job, now clock.Micros) {
	history := &job.failures
	if history.failing {
		l.log.Info("job works after all", "job", job.uid)
	}
	history.succeeded, history.failing, history.suspectAtStart = true, false, false
	for host := range history.machineFailures {
		if machine := l.fleet.Machine(host); machine != nil {
			l.quarantineIfFailing(machine, now)
		}
	}
	if len(job.waiting) > 0 {
		l.jobs.waiting[job] = true
		l.jobs.changed = true
	}
}

// withdrawFailures takes back what a job's failures said of machines. The caller holds mu.
func (l *leader) withdrawFailures(job *Job) {
	for host := range job.failures.machineFailures {
		machine := l.fleet.Machine(host)
		if machine == nil || l.attribution.byMachine[machine] == nil {
			continue
		}
		delete(l.attribution.byMachine[machine].byJob, job)
		if len(l.attribution.byMachine[machine].byJob) == 0 {
			delete(l.attribution.byMachine, machine)
			l.planner.changedMachines[machine] = true
		}
		if machine.SuspendedUntil > 0 && l.unexplainedFailures(machine) < 2 {
			machine.SuspendedUntil = 0
			l.planner.changedMachines[machine] = true
		}
	}
}

// trialInterval is how long after one probe the next may go: soon while few
// machines have been tried, ever more slowly once the job looks bad.
func (l *leader) trialInterval(history *failureHistory) clock.Micros {
	if !history.failing {
		return clock.Second << min(history.trials, 4)
	}
	return min(60*clock.Second, trialGap<<min(history.trials, 4))
}

// trialTasks lists what a job in doubt may try now: one task, on a machine that it
// has not failed on, once those before have shown what they come to or have
// taken long to. The caller holds mu.
func (l *leader) trialTasks(job *Job, now clock.Micros) []int {
	history := &job.failures
	l.evaluateJob(job, now)
	if !history.onTrial() {
		return job.waiting
	}
	out := len(job.tasks) - job.done - len(job.waiting)
	if now < history.nextTrialAt || out > 0 && now-history.lastFailureAt < trialGap {
		return nil
	}
	if job.isGang() {
		return job.waiting
	}
	for _, i := range job.waiting {
		if job.tasks[i].notBefore <= now {
			return []int{i}
		}
	}
	return nil
}

// probed notes that a probe has been sent on its way. The caller holds mu.
func (l *leader) trialStarted(job *Job, now clock.Micros) {
	history := &job.failures
	history.trials++
	history.lastFailureAt = now
	history.nextTrialAt = now + l.trialInterval(history)
}
