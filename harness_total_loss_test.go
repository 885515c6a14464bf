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

// eventLog is what happened on all machines, in order, and what the cloud was asked for.
// It knows nothing of what controllers hold.
type eventLog struct {
	mu      sync.Mutex // guards the fields below
	events  []standin.Event
	rentals []time.Time // requests for machines
	returns map[string]time.Time
}

func (h *eventLog) record(event standin.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event)
}

// recordCloud takes in what the cloud was asked for.
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

// commandCounts are the commands and requests of a span.
type commandCounts struct{ Runs, Halts, Forgets, Rentals, Returns int }

// count counts the commands that workers executed, and the requests to the cloud, in a span.
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

// maxDrainTime is how long after its last task was stopped a machine may be returned, and keepSpan
// for how long after the return of the first controller no machine is given up.
const (
	maxDrainTime = 3 * time.Minute
	minKeepTime  = 10 * time.Second
	// recoveryCheckTime is how long after that commands are counted and held against the promises.
	recoveryCheckTime = 30 * time.Second
)

// jobOnMachine is the tasks of a job on a machine.
type jobOnMachine struct{ machine, job string }

// violations holds a span of the histories against what a recovery promises. A task that runs is
// stopped only for one of three causes, and each is judged by what is seen: its user asked to cancel its job;
// another replica of its job is on the same machine, from which one is moved away; or its machine
// is given up, and returned. A task begins again only after its run before was lost with
// its machine's lease, or was stopped for such a cause.
func (h *eventLog) violations(from, back, to time.Time, cancelled func(uid string) bool) (faults []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ended := map[string]string{} // why a task's last run ended; absent while it runs or before its first
	ran := map[string]bool{}
	moved := map[string]bool{} // stopped for a cause
	on := map[jobOnMachine]int{}
	for _, event := range h.events {
		uid := jobOf(event.Task)
		within := !event.At.Before(from) && event.At.Before(to)
		here := jobOnMachine{event.Machine, uid}
		switch {
		case event.Kind == standin.EventCommand && event.Verb == wire.VerbStop && event.Live:
			returned, gone := h.returns[event.Machine]
			drained := gone && returned.Sub(event.At) < maxDrainTime && event.At.Sub(back) > minKeepTime
			moved[event.Task] = cancelled(uid) || on[here] > 1 || drained
			if within && !moved[event.Task] {
				faults = append(faults, fmt.Sprintf("%s attempt %d on %s is stopped without a cause", event.Task, event.Attempt, event.Machine))
			}
		case event.Kind == standin.EventEnded:
			if within && event.Cause == standin.CauseMachineRemoved && !cancelled(uid) {
				faults = append(faults, fmt.Sprintf("%s attempt %d is on %s when that is returned", event.Task, event.Attempt, event.Machine))
			}
			if _, over := ended[event.Task]; !over && ran[event.Task] {
				on[here]--
			}
			ended[event.Task] = event.Cause
		case event.Kind == standin.EventStarted:
			why, over := ended[event.Task]
			lost := over && (why == standin.CauseLeaseExpired || why == standin.CauseMachineRemoved || why == wire.CauseStopped && moved[event.Task])
			if within && ran[event.Task] && !lost {
				faults = append(faults, fmt.Sprintf("%s attempt %d starts on %s, though its run before was not lost: %q", event.Task, event.Attempt, event.Machine, why))
			}
			delete(ended, event.Task)
			ran[event.Task] = true
			on[here]++
		}
	}
	return faults
}

// lossSubmissions fills most of the machines of a scene: services, arrays that run throughout, a team at
// its limit, jobs of one task, and jobs that are cancelled right before the loss.
func lossSubmissions(machines int, lossAt float64) (users []scheduledSubmission) {
	add := func(from, runs float64, mod func(spec *wire.Spec)) *scheduledSubmission {
		users = append(users, newSubmission(len(users)+1, from, runs, mod))
		return &users[len(users)-1]
	}
	for range 4 {
		add(2, 0, asService(machines/2))
	}
	for range 4 {
		add(8, lossAt+40, func(spec *wire.Spec) { spec.Tasks, spec.Preemptible = machines/2, true })
	}
	for range 2 {
		add(9, lossAt+20, func(spec *wire.Spec) { spec.Team, spec.Tasks = "tight", 5 })
	}
	for range machines / 4 {
		add(10, lossAt+30, func(spec *wire.Spec) { spec.Preemptible = true })
	}
	for range 3 {
		submission := add(12, lossAt+60, func(spec *wire.Spec) { spec.Tasks, spec.Preemptible = 4, true })
		submission.cancelAfter = seconds(lossAt - 12.5)
	}
	return users
}

// totalLoss is a scene in which all controllers end at once and some return after a spell.
type totalLoss struct {
	lossAtS   float64
	outageS   float64      // until the first is back
	returning int          // how many come back; the others stay away
	timing    workerTiming // of the workers, if not lossTiming
}

// lossTiming is that of a usual platform.
var lossTiming = workerTiming{report: 3 * time.Second, lease: 18 * time.Second, cancel: 43 * time.Second}

// lostAt is when the controllers end: a second after its time, which the first leader has for itself.
func (x totalLoss) lostAt(sim *simulation) time.Time {
	return sim.startedAt.Add(seconds(x.lossAtS + 1))
}

func (x totalLoss) schedule(machines int, events *eventLog) faultSchedule {
	schedule := faultSchedule{seed: 5, duration: seconds(x.lossAtS + x.outageS + 90), firstLeader: 1, maxMachines: 3 * machines, submissions: lossSubmissions(machines, x.lossAtS), onEvent: events.record, timing: lossTiming}
	if x.timing != (workerTiming{}) {
		schedule.timing = x.timing
	}
	for node := range controllerCount {
		away := seconds(x.outageS + 0.3*float64(node))
		if node >= x.returning {
			away = schedule.duration - seconds(x.lossAtS) // they are asked at the end
		}
		schedule.faults = append(schedule.faults, scheduledFault{kind: controllerKilled, at: seconds(x.lossAtS), duration: away, controller: node})
	}
	schedule.setup = func(sim *simulation) {
		note := sim.cloud.OnChange
		sim.cloud.OnChange = func(what string) { note(what); events.recordCloud(what) }
	}
	return schedule
}

// lossMeasurements are what a scene of a total loss measures, from the return of the first controller.
type lossMeasurements struct {
	Scene          string
	Machines       int
	FirstOrderS    float64 // the first command that a worker executed
	MostReconciled float64 // nine tenths of the machines
	AllReconciled  float64
	AllGoingS      float64 // all replicas run
	Commands       commandCounts
	StateRequests  int // all controllers, until all replicas run
	StateChanges   int
	Progress       []progressPoint
}

// String prints the figures without the course of the recovery.
func (f lossMeasurements) String() string {
	return fmt.Sprintf("%s: %d machines, first command %.2f s, most reconciled %.2f s, all %.2f s, all going %.2f s, %+v, %d requests, %d changes", f.Scene, f.Machines,
		f.FirstOrderS, f.MostReconciled, f.AllReconciled, f.AllGoingS, f.Commands, f.StateRequests, f.StateChanges)
}

// progressPoint is how far a recovery is at a moment.
type progressPoint struct {
	AtS                           float64
	Awaited, Reconciled, Replicas int
}

// playTotalLoss plays a scene and gives the faults that the histories show and the figures.
func playTotalLoss(t *testing.T, loss totalLoss, machines int, lose func(r *recovery.Records)) (broken []string, figures lossMeasurements) {
	events := &eventLog{}
	schedule := loss.schedule(machines, events)
	schedule.alterRecords = lose
	figures.Scene = fmt.Sprintf("%d back after %.1f s", loss.returning, loss.outageS)
	setup := schedule.setup
	schedule.setup = func(sim *simulation) {
		setup(sim)
		sim.wg.Go(func() { sim.measureLoss(loss, events, &figures) })
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := newSimulation(ctx, t, schedule)
		sim.run()
		if lose == nil {
			sim.checkAllServed()
		}
		sim.shutDown(cancel)
		lost := loss.lostAt(sim)
		broken = append(sim.violations, events.violations(lost, lost.Add(seconds(loss.outageS)), lost.Add(seconds(loss.outageS)+recoveryCheckTime), func(uid string) bool { return sim.observed.views[uid].cancelRequested })...)
		figures.Commands = events.count(lost.Add(seconds(loss.outageS)), lost.Add(seconds(loss.outageS)+recoveryCheckTime))
		if t.Failed() || len(broken) > 0 && lose == nil {
			t.Logf("history:\n%s", strings.Join(sim.history, "\n"))
		}
	})
	return broken, figures
}

// measureLoss follows the recovery from the return of the first controller.
func (s *simulation) measureLoss(loss totalLoss, events *eventLog, measured *lossMeasurements) {
	back := loss.lostAt(s).Add(seconds(loss.outageS))
	time.Sleep(time.Until(back))
	requests, changes := s.state.RequestCount(), s.state.ChangeCount()
	const step = 250 * time.Millisecond
	for s.ctx.Err() == nil && time.Since(back) < 60*time.Second && measured.AllGoingS == 0 {
		time.Sleep(step)
		since := time.Since(back).Seconds()
		var report recovery.Report
		if leader := s.activeLeader(); leader != nil {
			report, _ = leader.RecoveryReport()
		}
		run, want := s.replicaCounts()
		measured.Progress = append(measured.Progress, progressPoint{AtS: since, Awaited: report.Machines.Awaited, Reconciled: report.Machines.Reconciled, Replicas: run})
		measured.Machines = max(measured.Machines, report.Machines.Recorded)
		settled := report.Machines.Reconciled + report.Machines.Gone
		if n := report.Machines.Recorded; n > 0 && measured.MostReconciled == 0 && 10*settled >= 9*n {
			measured.MostReconciled = since
		}
		if report.Stage == recovery.StageComplete && report.Machines.Recorded > 0 {
			if measured.AllReconciled == 0 {
				measured.AllReconciled = since
			}
			if run == want {
				measured.AllGoingS = since
				measured.StateRequests, measured.StateChanges = s.state.RequestCount()-requests, s.state.ChangeCount()-changes
			}
		}
	}
	events.mu.Lock()
	defer events.mu.Unlock()
	for _, event := range events.events {
		if event.Kind == standin.EventCommand && event.At.After(back) {
			measured.FirstOrderS = event.At.Sub(back).Seconds()
			break
		}
	}
}

// saveMeasurements adds a scene's figures to the file that -loss.plot names, a line each.
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
