package cedardoor

import (
	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/wire"
)

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
func (g *leader) attemptFailed(j *Job, pc *Task, m *fleet.Machine, ran, now clock.Micros) {
	t := &j.failures
	pc.failures++
	pc.notBefore = now + 200*clock.Millisecond*clock.Micros(min(pc.failures, 25))
	if t.machineFailures == nil {
		t.machineFailures = map[string]int{}
	}
	t.machineFailures[m.Name]++
	t.lastFailureAt, t.longestFailedRun = now, max(t.longestFailedRun, ran)
	g.avoidMachine(j, m.Name)
	if t.failing {
		return // it proves nothing against the machine
	}
	if t.succeeded && pc.failures > toleratedTaskFailures && len(t.machineFailures) > 1 {
		// Others of its tasks succeed, this one does not, wherever it runs. What has
		// failed on one machine only says nothing against the task.
		pc.notBefore = now + backoff(pc.failures)
		return
	}
	g.changedMachines[m] = true
	if g.machineFailures[m] == nil {
		g.machineFailures[m] = &failureCounts{firstAt: now, byJob: map[*Job]int{}}
	}
	g.machineFailures[m].byJob[j]++
	if t.succeeded {
		g.quarantineIfFailing(m, now)
		return
	}
	if len(t.machineFailures) == 1 && t.machineFailures[m.Name] == 1 {
		t.nextTrialAt = pc.notBefore
	}
	if unclear := g.unexplainedFailures(m); unclear >= 2 && m.QuarantineReason == "" {
		m.SuspendedUntil = now + suspensionTime
		g.changedMachines[m] = true
	}
	g.evaluateJob(j, now)
}

// avoidMachine keeps a job's next tasks off a machine on which one failed, while there
// are others. The caller holds mu.
func (g *leader) avoidMachine(j *Job, host string) {
	t := &j.failures
	if j.planJob.Avoid[host] {
		return
	}
	if j.planJob.Avoid == nil {
		j.planJob.Avoid = map[string]bool{}
	}
	j.planJob.Avoid[host] = true
	t.avoided = append(t.avoided, host)
	for len(t.avoided) > min(maxAvoided, g.fleet.ReportingCount()/2) {
		delete(j.planJob.Avoid, t.avoided[0])
		t.avoided = t.avoided[1:]
	}
}

// failureCounts are the failures on a machine since anything was done there.
type failureCounts struct {
	firstAt clock.Micros
	byJob   map[*Job]int
}

// unexplainedFailures counts the jobs that failed on a machine since anything was done on it
// and that are not known to work elsewhere. The caller holds mu.
func (g *leader) unexplainedFailures(m *fleet.Machine) (n int) {
	if s := g.machineFailures[m]; s != nil {
		for j := range s.byJob {
			if !j.failures.succeeded {
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
func (g *leader) quarantineIfFailing(m *fleet.Machine, now clock.Micros) {
	s, n := g.machineFailures[m], 0
	if s == nil {
		return
	}
	for j, k := range s.byJob {
		if j.failures.succeeded {
			n += k
		}
	}
	if n < 2 || m.QuarantineReason != "" || g.fleet.Machine(m.Name) != m {
		return
	}
	lasting, young := false, false
	m.EachAllocation(func(b *fleet.Allocation) {
		if b.Live() && b.Status == wire.TaskRunning && b.RunningSince >= s.firstAt {
			lasts := m.LastHeartbeat-b.RunningSince > lastingRun
			lasting, young = lasting || lasts, young || !lasts
		}
	})
	g.changedMachines[m] = true
	switch {
	case lasting:
		delete(g.machineFailures, m)
	case young:
		m.SuspendedUntil = max(m.SuspendedUntil, now+lastingRun+clock.Second)
	default:
		m.QuarantineReason = "sick"
		g.log.Info("machine is sick: its tasks fail", "host", m.Name, "strikes", n)
	}
}

// evaluateJob judges a job in doubt by what has become of its tasks. The caller holds mu.
func (g *leader) evaluateJob(j *Job, now clock.Micros) {
	t := &j.failures
	if !t.onTrial() {
		return
	}
	if j.done > 0 || g.hasLastingTask(j) {
		g.clearJob(j, now)
		return
	}
	j.pruneWaiting()
	if t.failing || len(t.machineFailures) < failingAfterMachines || len(j.waiting) < len(j.tasks) {
		return
	}
	t.failing = true
	t.nextTrialAt = now + g.trialInterval(t)
	g.withdrawFailures(j)
	// Nothing is rented for tasks that fail.
	g.arrivals.Withdraw(j)
	g.log.Info("job is bad: its tasks fail wherever they run", "job", j.uid, "machines", len(t.machineFailures))
}

// hasLastingTask tells whether a task of j has run on for clearly longer than those that
// failed. The caller holds mu.
func (g *leader) hasLastingTask(j *Job) bool {
	if j.running == 0 {
		return false
	}
	enough := max(lastingRun, 2*j.failures.longestFailedRun+clock.Second)
	for i := range j.tasks {
		b := j.tasks[i].allocation
		if b != nil && b.Status == wire.TaskRunning && b.RunningSince > 0 && !b.Ended && b.Machine.Reported && b.Machine.LastHeartbeat-b.RunningSince > enough {
			return true
		}
	}
	return false
}

// clearJob notes that a job can succeed: where it failed, the machines are at fault.
// The caller holds mu.
func (g *leader) clearJob(j *Job, now clock.Micros) {
	t := &j.failures
	if t.failing {
		g.log.Info("job works after all", "job", j.uid)
	}
	t.succeeded, t.failing, t.suspectAtStart = true, false, false
	for host := range t.machineFailures {
		if m := g.fleet.Machine(host); m != nil {
			g.quarantineIfFailing(m, now)
		}
	}
	if len(j.waiting) > 0 {
		g.queue[j] = true
		g.jobsChanged = true
	}
}

// withdrawFailures takes back what a job's failures said of machines. The caller holds mu.
func (g *leader) withdrawFailures(j *Job) {
	for host := range j.failures.machineFailures {
		m := g.fleet.Machine(host)
		if m == nil || g.machineFailures[m] == nil {
			continue
		}
		delete(g.machineFailures[m].byJob, j)
		if len(g.machineFailures[m].byJob) == 0 {
			delete(g.machineFailures, m)
			g.changedMachines[m] = true
		}
		if m.SuspendedUntil > 0 && g.unexplainedFailures(m) < 2 {
			m.SuspendedUntil = 0
			g.changedMachines[m] = true
		}
	}
}

// trialInterval is how long after one probe the next may go: soon while few
// machines have been tried, ever more slowly once the job looks bad.
func (g *leader) trialInterval(t *failureHistory) clock.Micros {
	if !t.failing {
		return clock.Second << min(t.trials, 4)
	}
	return min(60*clock.Second, trialGap<<min(t.trials, 4))
}

// trialTasks lists what a job in doubt may try now: one task, on a machine that it
// has not failed on, once those before have shown what they come to or have
// taken long to. The caller holds mu.
func (g *leader) trialTasks(j *Job, now clock.Micros) []int {
	t := &j.failures
	g.evaluateJob(j, now)
	if !t.onTrial() {
		return j.waiting
	}
	out := len(j.tasks) - j.done - len(j.waiting)
	if now < t.nextTrialAt || out > 0 && now-t.lastFailureAt < trialGap {
		return nil
	}
	if j.isGang() {
		return j.waiting
	}
	for _, i := range j.waiting {
		if j.tasks[i].notBefore <= now {
			return []int{i}
		}
	}
	return nil
}

// probed notes that a probe has been sent on its way. The caller holds mu.
func (g *leader) trialStarted(j *Job, now clock.Micros) {
	t := &j.failures
	t.trials++
	t.lastFailureAt = now
	t.nextTrialAt = now + g.trialInterval(t)
}
