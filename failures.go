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
	good    bool           // a task of it was done, or has run on longer than those that failed
	bad     bool           // its tasks failed on several machines and succeeded on none
	wary    bool           // a predecessor's attempts of it all ended without a result
	faults  map[string]int // failures by machine
	last    clock.Micros   // the last failure
	ranFor  clock.Micros   // the longest that a task ran before it failed
	probeAt clock.Micros   // the next task is tried then
	probes  int
	shunned []string // machines that the job failed on lately, oldest first
}

// doubtful tells whether the job has failed and never yet succeeded.
func (t *failureHistory) doubtful() bool { return !t.good && (t.wary || len(t.faults) > 0) }

const (
	// badOn is on how many machines a job must have failed, and succeeded on none,
	// to be called bad: fewer may all be sick.
	badOn = 3
	// goodTries is how many failures of one task of a job that works are held
	// against the machines.
	goodTries = 1
	// lastsFor is how long a task must run on, at least, to show that its job works.
	lastsFor = 3 * clock.Second
	// probeGap is how far apart the tries of a job in doubt are while others of its
	// tasks have yet to show what they come to.
	probeGap = 5 * clock.Second
	// maxShunned is how many machines a job's tasks keep away from.
	maxShunned = 8
	// failingFor is how long a machine on which several jobs failed in a row gets
	// nothing new, so that it does not swallow more until it is clear which is at fault.
	failingFor = 6 * clock.Second
)

// failed takes in that a task of j failed on m after running for a while. The
// caller holds mu.
func (g *term) failed(j *job, pc *task, m *fleet.Machine, ran, now clock.Micros) {
	t := &j.failures
	pc.fails++
	pc.notBefore = now + 200*clock.Millisecond*clock.Micros(min(pc.fails, 25))
	if t.faults == nil {
		t.faults = map[string]int{}
	}
	t.faults[m.Name]++
	t.last, t.ranFor = now, max(t.ranFor, ran)
	g.shun(j, m.Name)
	if t.bad {
		return // it proves nothing against the machine
	}
	if t.good && pc.fails > goodTries && len(t.faults) > 1 {
		// Others of its tasks succeed, this one does not, wherever it runs. What has
		// failed on one machine only says nothing against the task.
		pc.notBefore = now + backoff(pc.fails)
		return
	}
	g.touched[m] = true
	if g.strikes[m] == nil {
		g.strikes[m] = &strikes{first: now, by: map[*job]int{}}
	}
	g.strikes[m].by[j]++
	if t.good {
		g.sicken(m, now)
		return
	}
	if len(t.faults) == 1 && t.faults[m.Name] == 1 {
		t.probeAt = pc.notBefore
	}
	if unclear := g.unclear(m); unclear >= 2 && m.QuarantineReason == "" {
		m.SuspendedUntil = now + failingFor
		g.touched[m] = true
	}
	g.weigh(j, now)
}

// shun keeps a job's next tasks off a machine on which one failed, while there
// are others. The caller holds mu.
func (g *term) shun(j *job, host string) {
	t := &j.failures
	if j.pj.Avoid[host] {
		return
	}
	if j.pj.Avoid == nil {
		j.pj.Avoid = map[string]bool{}
	}
	j.pj.Avoid[host] = true
	t.shunned = append(t.shunned, host)
	for len(t.shunned) > min(maxShunned, g.fl.ReportingCount()/2) {
		delete(j.pj.Avoid, t.shunned[0])
		t.shunned = t.shunned[1:]
	}
}

// strikes are the failures on a machine since anything was done there.
type strikes struct {
	first clock.Micros
	by    map[*job]int
}

// unclear counts the jobs that failed on a machine since anything was done on it
// and that are not known to work elsewhere. The caller holds mu.
func (g *term) unclear(m *fleet.Machine) (n int) {
	if s := g.strikes[m]; s != nil {
		for j := range s.by {
			if !j.failures.good {
				n++
			}
		}
	}
	return n
}

// sicken bans a machine on which tasks of jobs that work elsewhere failed twice
// with no success between. A task that began there since the first failure and
// runs on shows that the tasks were at fault; while there is one that has yet to
// show it, the machine gets nothing new. The caller holds mu.
func (g *term) sicken(m *fleet.Machine, now clock.Micros) {
	s, n := g.strikes[m], 0
	if s == nil {
		return
	}
	for j, k := range s.by {
		if j.failures.good {
			n += k
		}
	}
	if n < 2 || m.QuarantineReason != "" || g.fl.Machine(m.Name) != m {
		return
	}
	lasting, young := false, false
	m.EachAllocation(func(b *fleet.Allocation) {
		if b.Live() && b.Status == wire.TaskRunning && b.RunningSince >= s.first {
			lasts := m.LastHeartbeat-b.RunningSince > lastsFor
			lasting, young = lasting || lasts, young || !lasts
		}
	})
	g.touched[m] = true
	switch {
	case lasting:
		delete(g.strikes, m)
	case young:
		m.SuspendedUntil = max(m.SuspendedUntil, now+lastsFor+clock.Second)
	default:
		m.QuarantineReason = "sick"
		g.log.Info("machine is sick: its tasks fail", "host", m.Name, "strikes", n)
	}
}

// weigh judges a job in doubt by what has become of its tasks. The caller holds mu.
func (g *term) weigh(j *job, now clock.Micros) {
	t := &j.failures
	if !t.doubtful() {
		return
	}
	if j.done > 0 || g.lasts(j) {
		g.works(j, now)
		return
	}
	j.prune()
	if t.bad || len(t.faults) < badOn || len(j.waiting) < len(j.tasks) {
		return
	}
	t.bad = true
	t.probeAt = now + g.probePause(t)
	g.acquit(j)
	// Nothing is rented for tasks that fail.
	g.arrivals.Withdraw(j)
	g.log.Info("job is bad: its tasks fail wherever they run", "job", j.uid, "machines", len(t.faults))
}

// lasts tells whether a task of j has run on for clearly longer than those that
// failed. The caller holds mu.
func (g *term) lasts(j *job) bool {
	if j.running == 0 {
		return false
	}
	enough := max(lastsFor, 2*j.failures.ranFor+clock.Second)
	for i := range j.tasks {
		b := j.tasks[i].booking
		if b != nil && b.Status == wire.TaskRunning && b.RunningSince > 0 && !b.Ended && b.Machine.Reported && b.Machine.LastHeartbeat-b.RunningSince > enough {
			return true
		}
	}
	return false
}

// works notes that a job can succeed: where it failed, the machines are at fault.
// The caller holds mu.
func (g *term) works(j *job, now clock.Micros) {
	t := &j.failures
	if t.bad {
		g.log.Info("job works after all", "job", j.uid)
	}
	t.good, t.bad, t.wary = true, false, false
	for host := range t.faults {
		if m := g.fl.Machine(host); m != nil {
			g.sicken(m, now)
		}
	}
	if len(j.waiting) > 0 {
		g.queue[j] = true
		g.fresh = true
	}
}

// acquit takes back what a job's failures said of machines. The caller holds mu.
func (g *term) acquit(j *job) {
	for host := range j.failures.faults {
		m := g.fl.Machine(host)
		if m == nil || g.strikes[m] == nil {
			continue
		}
		delete(g.strikes[m].by, j)
		if len(g.strikes[m].by) == 0 {
			delete(g.strikes, m)
			g.touched[m] = true
		}
		if m.SuspendedUntil > 0 && g.unclear(m) < 2 {
			m.SuspendedUntil = 0
			g.touched[m] = true
		}
	}
}

// probePause is how long after one probe the next may go: soon while few
// machines have been tried, ever more slowly once the job looks bad.
func (g *term) probePause(t *failureHistory) clock.Micros {
	if !t.bad {
		return clock.Second << min(t.probes, 4)
	}
	return min(60*clock.Second, probeGap<<min(t.probes, 4))
}

// mayTry lists what a job in doubt may try now: one task, on a machine that it
// has not failed on, once those before have shown what they come to or have
// taken long to. The caller holds mu.
func (g *term) mayTry(j *job, now clock.Micros) []int {
	t := &j.failures
	g.weigh(j, now)
	if !t.doubtful() {
		return j.waiting
	}
	out := len(j.tasks) - j.done - len(j.waiting)
	if now < t.probeAt || out > 0 && now-t.last < probeGap {
		return nil
	}
	if j.group() {
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
func (g *term) tried(j *job, now clock.Micros) {
	t := &j.failures
	t.probes++
	t.last = now
	t.probeAt = now + g.probePause(t)
}
