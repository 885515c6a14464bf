package cedardoor

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/recovery"
	"cedardoor/wire"
)

// eventLog is what happened on all machines, in order, and the requests to the cloud. It does not
// depend on the state of controllers.
type eventLog struct {
	mu      sync.Mutex // guards the fields below
	events  []standin.Event
	rentals []time.Time // requests for machines
	returns map[string]time.Time
}

// record adds an event on a machine.
func (h *eventLog) record(event standin.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event)
}

// recordCloud adds a request to the cloud, as the cloud describes it.
func (h *eventLog) recordCloud(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if machine, returned := strings.CutPrefix(what, "returned "); returned {
		if h.returns == nil {
			h.returns = map[string]time.Time{}
		}
		h.returns[machine] = time.Now()
		return
	}
	h.rentals = append(h.rentals, time.Now())
}

// commandCounts counts commands to workers and requests to the cloud.
type commandCounts struct{ Runs, Halts, Forgets, Rentals, Returns int }

// count returns how many commands workers executed, and how many requests the cloud received, in a
// period.
func (h *eventLog) count(from, to time.Time) (c commandCounts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	within := func(at time.Time) bool { return !at.Before(from) && at.Before(to) }
	for _, event := range h.events {
		if event.Kind != standin.EventCommand || !within(event.At) {
			continue
		}
		switch event.Verb {
		case wire.VerbRun:
			c.Runs++
		case wire.VerbStop:
			c.Halts++
		case wire.VerbForget:
			c.Forgets++
		}
	}
	for _, at := range h.rentals {
		if within(at) {
			c.Rentals++
		}
	}
	for _, at := range h.returns {
		if within(at) {
			c.Returns++
		}
	}
	return c
}

// Timing of the checks of a recovery.
const (
	// maxDrainTime is how soon after a task was stopped its machine must be returned if it was drained.
	maxDrainTime = 3 * time.Minute
	// minKeepTime is for how long after the return of the first controller no machine is drained.
	minKeepTime = 10 * time.Second
	// recoveryCheckTime is for how long after that return commands are counted and checked.
	recoveryCheckTime = 30 * time.Second
)

// jobOnMachine identifies the tasks of a job on a machine.
type jobOnMachine struct{ machine, job string }

// violations checks the events of a period against the guarantees of a recovery. A running task is
// stopped only for one of three causes: its user has asked to cancel its job; another replica of its
// job is on the same machine, from which one is moved away; or its machine is drained, and returned.
// A task starts again only after its last attempt was lost with its machine's lease, or was stopped
// for such a cause.
func (h *eventLog) violations(from, back, to time.Time, cancelled func(uid string) bool) (violations []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ended := map[string]wire.Cause{} // causes for which the last attempts of tasks ended, if they have
	ran := map[string]bool{}
	justified := map[string]bool{} // tasks that were stopped for a cause
	running := map[jobOnMachine]int{}
	for _, event := range h.events {
		uid := jobOf(event.Task)
		within := !event.At.Before(from) && event.At.Before(to)
		here := jobOnMachine{event.Machine, uid}
		switch {
		case event.Kind == standin.EventCommand && event.Verb == wire.VerbStop && event.Live:
			returned, gone := h.returns[event.Machine]
			drained := gone && returned.Sub(event.At) < maxDrainTime && event.At.Sub(back) > minKeepTime
			justified[event.Task] = cancelled(uid) || running[here] > 1 || drained
			if within && !justified[event.Task] {
				violations = append(violations, fmt.Sprintf("%s attempt %d on %s is stopped without a cause", event.Task, event.Attempt, event.Machine))
			}
		case event.Kind == standin.EventEnded:
			if within && event.Cause == standin.CauseMachineRemoved && !cancelled(uid) {
				violations = append(violations, fmt.Sprintf("%s attempt %d is on %s when that is returned", event.Task, event.Attempt, event.Machine))
			}
			if _, over := ended[event.Task]; !over && ran[event.Task] {
				running[here]--
			}
			ended[event.Task] = event.Cause
		case event.Kind == standin.EventStarted:
			why, over := ended[event.Task]
			lost := over && (why == standin.CauseLeaseExpired || why == standin.CauseMachineRemoved || why == wire.CauseStopped && justified[event.Task])
			if within && ran[event.Task] && !lost {
				violations = append(violations, fmt.Sprintf("%s attempt %d starts on %s, though its run before was not lost: %q", event.Task, event.Attempt, event.Machine, why))
			}
			delete(ended, event.Task)
			ran[event.Task] = true
			running[here]++
		}
	}
	return violations
}

// lossSubmissions returns jobs that fill most of the machines: services, jobs that run throughout, a
// team at its limit, jobs of one task, and jobs that are cancelled right before the loss.
func lossSubmissions(machines int, lossAtS float64) (submissions []scheduledSubmission) {
	add := func(afterS, runTimeS float64, mod func(spec *wire.Spec)) *scheduledSubmission {
		submissions = append(submissions, newSubmission(len(submissions)+1, afterS, runTimeS, mod))
		return &submissions[len(submissions)-1]
	}
	for range 4 {
		add(2, 0, asService(machines/2))
	}
	for range 4 {
		add(8, lossAtS+40, func(spec *wire.Spec) { spec.Tasks, spec.Preemptible = machines/2, true })
	}
	for range 2 {
		add(9, lossAtS+20, func(spec *wire.Spec) { spec.Team, spec.Tasks = "tight", 5 })
	}
	for range machines / 4 {
		add(10, lossAtS+30, func(spec *wire.Spec) { spec.Preemptible = true })
	}
	for range 3 {
		submission := add(12, lossAtS+60, func(spec *wire.Spec) { spec.Tasks, spec.Preemptible = 4, true })
		submission.cancelAfter = seconds(lossAtS - 12.5)
	}
	return submissions
}

// totalLoss is a crash of all controllers at once, of which some return.
type totalLoss struct {
	lossAtS   float64
	outageS   float64      // until the first returns
	returning int          // how many return
	timing    workerTiming // lossTiming if not set
}

// lossTiming is the timing of workers in total losses.
var lossTiming = workerTiming{report: 3 * time.Second, lease: 18 * time.Second, cancel: 43 * time.Second}

// lostAt returns when the controllers crash: the schedule begins a second after the simulation,
// when its first leader has been elected.
func (x totalLoss) lostAt(sim *simulation) time.Time {
	return sim.startedAt.Add(seconds(x.lossAtS + 1))
}

// backAt returns when the first controller returns.
func (x totalLoss) backAt(sim *simulation) time.Time {
	return x.lostAt(sim).Add(seconds(x.outageS))
}

// schedule returns a schedule with the loss for a number of machines.
func (x totalLoss) schedule(machines int, events *eventLog) faultSchedule {
	schedule := faultSchedule{seed: 5, duration: seconds(x.lossAtS + x.outageS + 90), firstLeader: 1, maxMachines: 3 * machines,
		submissions: lossSubmissions(machines, x.lossAtS), onEvent: events.record, timing: lossTiming}
	if x.timing != (workerTiming{}) {
		schedule.timing = x.timing
	}
	for node := range controllerCount {
		away := seconds(x.outageS + 0.3*float64(node))
		if node >= x.returning {
			away = schedule.duration - seconds(x.lossAtS) // they must be up for the final checks
		}
		schedule.faults = append(schedule.faults, scheduledFault{kind: controllerKilled, at: seconds(x.lossAtS), duration: away, controller: node})
	}
	schedule.setup = func(sim *simulation) {
		onChange := sim.cloud.OnChange
		sim.cloud.OnChange = func(what string) { onChange(what); events.recordCloud(what) }
	}
	return schedule
}

// lossMeasurements are the measurements of a recovery, from the return of the first controller. The
// names of the fields are those of the recorded figures.
type lossMeasurements struct {
	Scene          string
	Machines       int
	FirstOrderS    float64 // until a worker executed the first command
	MostReconciled float64 // seconds, for nine tenths of the machines
	AllReconciled  float64
	AllGoingS      float64 // until all replicas run
	Commands       commandCounts
	StateRequests  int // of all controllers, until all replicas run
	StateChanges   int
	Progress       []progressPoint
}

// String formats the measurements without the progress.
func (f lossMeasurements) String() string {
	return fmt.Sprintf("%s: %d machines, first command %.2f s, most reconciled %.2f s, all %.2f s, all going %.2f s, %+v, %d requests, %d changes", f.Scene, f.Machines,
		f.FirstOrderS, f.MostReconciled, f.AllReconciled, f.AllGoingS, f.Commands, f.StateRequests, f.StateChanges)
}

// progressPoint is the progress of a recovery at a moment.
type progressPoint struct {
	AtS                           float64
	Awaited, Reconciled, Replicas int
}

// playTotalLoss plays a total loss and returns the violations and the measurements. The records that
// leaders read are changed by alter, if it is not nil; violations are expected then.
func playTotalLoss(t *testing.T, loss totalLoss, machines int, alter func(records *recovery.Records)) (violations []string, measured lossMeasurements) {
	events := &eventLog{}
	schedule := loss.schedule(machines, events)
	schedule.alterRecords = alter
	measured.Scene = fmt.Sprintf("%d back after %.1f s", loss.returning, loss.outageS)
	setup := schedule.setup
	schedule.setup = func(sim *simulation) {
		setup(sim)
		sim.wg.Go(func() { sim.measureLoss(loss, events, &measured) })
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := newSimulation(ctx, t, schedule)
		sim.run()
		if alter == nil {
			sim.checkAllServed()
		}
		sim.shutDown(cancel)
		violations = append(sim.violations, sim.recoveryViolations(loss, events)...)
		back := loss.backAt(sim)
		measured.Commands = events.count(back, back.Add(recoveryCheckTime))
		if t.Failed() || len(violations) > 0 && alter == nil {
			t.Logf("history:\n%s", strings.Join(sim.history, "\n"))
		}
	})
	return violations, measured
}

// recoveryViolations checks the events after a total loss.
func (s *simulation) recoveryViolations(loss totalLoss, events *eventLog) []string {
	back := loss.backAt(s)
	return events.violations(loss.lostAt(s), back, back.Add(recoveryCheckTime), func(uid string) bool { return s.observed.views[uid].cancelRequested })
}

// measureLoss measures the recovery from the return of the first controller.
func (s *simulation) measureLoss(loss totalLoss, events *eventLog, measured *lossMeasurements) {
	back := loss.backAt(s)
	time.Sleep(time.Until(back))
	requests, changes := s.state.RequestCount(), s.state.ChangeCount()
	const interval = 250 * time.Millisecond
	for s.ctx.Err() == nil && time.Since(back) < 60*time.Second && measured.AllGoingS == 0 {
		time.Sleep(interval)
		since := time.Since(back).Seconds()
		var report recovery.Report
		if leader := s.activeLeader(); leader != nil {
			report, _ = leader.RecoveryReport()
		}
		running, want := s.replicaCounts()
		measured.Progress = append(measured.Progress, progressPoint{AtS: since, Awaited: report.Machines.Awaited, Reconciled: report.Machines.Reconciled, Replicas: running})
		measured.Machines = max(measured.Machines, report.Machines.Recorded)
		settled := report.Machines.Reconciled + report.Machines.Gone
		if n := report.Machines.Recorded; n > 0 && measured.MostReconciled == 0 && 10*settled >= 9*n {
			measured.MostReconciled = since
		}
		if report.Stage == recovery.StageComplete && report.Machines.Recorded > 0 {
			if measured.AllReconciled == 0 {
				measured.AllReconciled = since
			}
			if running == want {
				measured.AllGoingS = since
				measured.StateRequests, measured.StateChanges = s.state.RequestCount()-requests, s.state.ChangeCount()-changes
			}
		}
	}
	measured.FirstOrderS = events.firstCommandAfter(back).Seconds()
}

// firstCommandAfter returns how long after a moment a worker executed the next command, or 0.
func (h *eventLog) firstCommandAfter(moment time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, event := range h.events {
		if event.Kind == standin.EventCommand && event.At.After(moment) {
			return event.At.Sub(moment)
		}
	}
	return 0
}

// saveMeasurements appends measurements to the file that -loss.plot names, if it is set.
func saveMeasurements(measured lossMeasurements) error {
	if *lossPlot == "" {
		return nil
	}
	encoded, err := json.Marshal(measured)
	if err != nil {
		return fmt.Errorf("figures: %w", err)
	}
	file, err := os.OpenFile(*lossPlot, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("figures: %w", err)
	}
	defer file.Close()
	if _, err := file.Write(append(encoded, '\n')); err != nil {
		return fmt.Errorf("figures: %w", err)
	}
	return nil
}
