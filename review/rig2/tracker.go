package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/wire"
)

// tracker knows the submitted jobs and what runs on the machines, and notes broken rules.
type tracker struct {
	*record

	mu         sync.Mutex
	jobs       map[string]wire.Spec
	runTimes   map[string]time.Duration
	limits     map[string]float64 // of cores, by team
	running    map[string]map[string]time.Time
	started    map[string]int // how often a task was started
	ended      map[string]int // how often an attempt of a task has ended
	completed  map[string]bool
	cancelled  map[string]time.Time // when users were told that a job is cancelled
	sick       map[string]bool      // machines that fail every task that they start
	slow       map[string]float64   // factors of the run times on slow machines
	acceptedOn map[string]string    // the machine that last accepted a task
	violations []string
	// cancelLimit is how long after a cancellation its tasks may be on machines.
	cancelLimit time.Duration
	machines    map[string]*host
}

// booted notes what a machine is.
func (t *tracker) booted(machine *host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.machines[machine.info.UID] = machine
}

func newTracker(rec *record) *tracker {
	return &tracker{record: rec, jobs: map[string]wire.Spec{}, runTimes: map[string]time.Duration{}, limits: map[string]float64{},
		running: map[string]map[string]time.Time{}, started: map[string]int{}, ended: map[string]int{}, completed: map[string]bool{}, cancelled: map[string]time.Time{},
		sick: map[string]bool{}, slow: map[string]float64{}, acceptedOn: map[string]string{}, machines: map[string]*host{}}
}

func (t *tracker) submitted(spec wire.Spec) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs[spec.UID] = spec
}

// runsFor sets how long the tasks of a job run.
func (t *tracker) runsFor(uid string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runTimes[uid] = d
}

// starts returns how often a task was started.
func (t *tracker) starts(task string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.started[task]
}

// ends returns how many attempts of a task have ended.
func (t *tracker) ends(task string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended[task]
}

// violate notes a broken rule. The caller holds mu.
func (t *tracker) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	t.violations = append(t.violations, text)
	t.add("BROKEN %s", text)
}

// broken returns the violations of a rule.
func (t *tracker) broken(rule string) (out []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, violation := range t.violations {
		if strings.HasPrefix(violation, rule+":") {
			out = append(out, violation)
		}
	}
	return out
}

func jobOf(task string) string {
	uid, _, _ := strings.Cut(task, "/")
	return uid
}

// place is a task on a machine.
type place struct{ task, machine string }

// event follows what happens on the machines.
func (t *tracker) event(e standin.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch e.Kind {
	case standin.EventStarted:
		t.add("run    %s#%d starts on %s", e.Task, e.Attempt, e.Machine)
		t.started[e.Task]++
		if t.running[e.Task] == nil {
			t.running[e.Task] = map[string]time.Time{}
		}
		t.running[e.Task][e.Machine] = time.Now()
		if at, cancelled := t.cancelled[jobOf(e.Task)]; cancelled && time.Since(at) > t.cancelLimit {
			t.violate("ran_cancelled", "%s starts on %s %.1f s after its user was told that it is cancelled", e.Task, e.Machine, time.Since(at).Seconds())
		}
		var places []place
		for task, machines := range t.running {
			for machine := range machines {
				places = append(places, place{task, machine})
			}
		}
		go t.checkStart(e, places)
	case standin.EventEnded:
		t.ended[e.Task]++
		if _, ran := t.running[e.Task][e.Machine]; ran {
			t.add("run    %s#%d ends on %s: %s", e.Task, e.Attempt, e.Machine, e.Cause)
			delete(t.running[e.Task], e.Machine)
		} else {
			t.add("run    %s#%d did not start on %s: %s", e.Task, e.Attempt, e.Machine, e.Cause)
		}
	case standin.EventCommand:
		t.add("order  %s %s#%d on %s", e.Verb, e.Task, e.Attempt, e.Machine)
	}
}

// checkStart checks a start against the rules, given all that was on machines then. What is on a machine
// that hangs beyond its lease is gone: the machine drops it before it goes on.
func (t *tracker) checkStart(e standin.Event, places []place) {
	places = slices.DeleteFunc(places, func(p place) bool {
		t.mu.Lock()
		machine := t.machines[p.machine]
		t.mu.Unlock()
		return !slices.Contains(machine.machine.RunningTasks(), p.task)
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	spec, machine := t.jobs[jobOf(e.Task)], t.machines[e.Machine].info
	cores, inZones := 0.0, map[string]int{}
	for _, p := range places {
		other := t.jobs[jobOf(p.task)]
		if p.task == e.Task && p.machine != e.Machine {
			t.violate("ran_twice", "%s starts on %s while it is on %s", e.Task, e.Machine, p.machine)
		}
		if other.Team == spec.Team {
			cores += other.Cores
		}
		if other.UID == spec.UID {
			inZones[t.machines[p.machine].info.Zone]++
		}
	}
	if limit := t.limits[spec.Team]; limit > 0 && cores > limit {
		t.violate("quota", "%s starts on %s: tasks of team %s use %.0f cores then, its limit is %.0f", e.Task, e.Machine, spec.Team, cores, limit)
	}
	if spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, machine.Type) || spec.Zone != "" && spec.Zone != machine.Zone ||
		machine.Preemptible && !spec.Preemptible {
		t.violate("wrong_place", "%s starts on %+v", e.Task, machine)
	}
	if spec.SameZone && len(inZones) > 1 || spec.Spread && inZones[machine.Zone] > (spec.Tasks+1)/2 {
		t.violate("wrong_place", "%s starts on %+v; tasks of its job by zone: %v", e.Task, machine, inZones)
	}
}

// isRunning reports whether a task runs on any machine.
func (t *tracker) isRunning(task string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running[task]) > 0
}

// isCompleted reports whether a task has completed.
func (t *tracker) isCompleted(task string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.completed[task]
}

// Job implements standin.Observer.
func (t *tracker) Job(uid string) (wire.Spec, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	spec, known := t.jobs[uid]
	return spec, known
}

// Accepted implements standin.Observer.
func (t *tracker) Accepted(m *standin.Machine, task string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acceptedOn[task] = m.Info.UID
}

// Started implements standin.Observer.
func (t *tracker) Started(*standin.Machine, string) {}

// RunTime implements standin.Observer.
func (t *tracker) RunTime(task string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.completed[task] {
		return 0
	}
	d, set := t.runTimes[jobOf(task)]
	if !set {
		d = 20 * time.Second
	}
	if factor := t.slow[t.acceptedOn[task]]; factor > 0 {
		return time.Duration(factor * float64(d))
	}
	return d
}

// Completed implements standin.Observer.
func (t *tracker) Completed(task string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed[task] = true
}

// Fails implements standin.Observer.
func (t *tracker) Fails(m *standin.Machine, _ string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sick[m.Info.UID]
}

// setSick sets whether a machine fails every task that it starts.
func (t *tracker) setSick(machine string, sick bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sick[machine] = sick
}

// setSlow sets by which factor a machine runs its tasks slower; 0 for not at all.
func (t *tracker) setSlow(machine string, factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slow[machine] = factor
}

// hasRoom reports whether a machine has room for one more task of a job.
func (t *tracker) hasRoom(machine string, spec *wire.Spec) bool {
	t.mu.Lock()
	h := t.machines[machine]
	t.mu.Unlock()
	return h != nil && h.machine.HasRoom(spec)
}
