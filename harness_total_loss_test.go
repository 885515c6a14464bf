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

func (h *eventLog) record(e standin.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
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
	for _, e := range h.events {
		if e.Kind != standin.EventOrdered || !within(e.At) {
			continue
		}
		switch e.Verb {
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
	for _, e := range h.events {
		uid, _, _ := strings.Cut(e.Task, "/")
		within := !e.At.Before(from) && e.At.Before(to)
		here := jobOnMachine{e.Machine, uid}
		switch {
		case e.Kind == standin.EventOrdered && e.Verb == wire.VerbStop && e.Live:
			returned, gone := h.returns[e.Machine]
			drained := gone && returned.Sub(e.At) < maxDrainTime && e.At.Sub(back) > minKeepTime
			moved[e.Task] = cancelled(uid) || on[here] > 1 || drained
			if within && !moved[e.Task] {
				faults = append(faults, fmt.Sprintf("%s attempt %d on %s is stopped without a cause", e.Task, e.Attempt, e.Machine))
			}
		case e.Kind == standin.EventEnded:
			if within && e.Cause == standin.CauseGone && !cancelled(uid) {
				faults = append(faults, fmt.Sprintf("%s attempt %d is on %s when that is returned", e.Task, e.Attempt, e.Machine))
			}
			if _, over := ended[e.Task]; !over && ran[e.Task] {
				on[here]--
			}
			ended[e.Task] = e.Cause
		case e.Kind == standin.EventStarted:
			why, over := ended[e.Task]
			lost := over && (why == standin.CauseLapsed || why == standin.CauseGone || why == wire.CauseStopped && moved[e.Task])
			if within && ran[e.Task] && !lost {
				faults = append(faults, fmt.Sprintf("%s attempt %d starts on %s, though its run before was not lost: %q", e.Task, e.Attempt, e.Machine, why))
			}
			delete(ended, e.Task)
			ran[e.Task] = true
			on[here]++
		}
	}
	return faults
}

// lossSubmissions fills most of the machines of a scene: services, arrays that run throughout, a team at
// its limit, jobs of one task, and jobs that are cancelled right before the loss.
func lossSubmissions(machines int, lossAt float64) (users []submission) {
	add := func(from, runs float64, mod func(sp *wire.Spec)) *submission {
		users = append(users, newSubmission(len(users)+1, from, runs, mod))
		return &users[len(users)-1]
	}
	for range 4 {
		add(2, 0, asService(machines/2))
	}
	for range 4 {
		add(8, lossAt+40, func(sp *wire.Spec) { sp.Tasks, sp.Preemptible = machines/2, true })
	}
	for range 2 {
		add(9, lossAt+20, func(sp *wire.Spec) { sp.Team, sp.Tasks = "tight", 5 })
	}
	for range machines / 4 {
		add(10, lossAt+30, func(sp *wire.Spec) { sp.Preemptible = true })
	}
	for range 3 {
		u := add(12, lossAt+60, func(sp *wire.Spec) { sp.Tasks, sp.Preemptible = 4, true })
		u.cancelAfter = seconds(lossAt - 12.5)
	}
	return users
}

// totalLoss is a scene in which all controllers end at once and some return after a spell.
type totalLoss struct {
	lossAtS  float64
	outageS   float64 // until the first is back
	returning int     // how many come back; the others stay away
	timing  workerTiming  // of the workers, if not lossTiming
}

// lossTiming is that of a usual platform.
var lossTiming = workerTiming{report: 3 * time.Second, lease: 18 * time.Second, cancel: 43 * time.Second}

// lostAt is when the controllers end: a second after its time, which the first leader has for itself.
func (x totalLoss) lostAt(w *simulation) time.Time { return w.startedAt.Add(seconds(x.lossAtS + 1)) }

func (x totalLoss) schedule(machines int, h *eventLog) schedule {
	s := schedule{seed: 5, duration: seconds(x.lossAtS + x.outageS + 90), firstLeader: 1, maxMachines: 3 * machines, submissions: lossSubmissions(machines, x.lossAtS), onEvent: h.record, timing: lossTiming}
	if x.timing != (workerTiming{}) {
		s.timing = x.timing
	}
	for node := range 3 {
		away := seconds(x.outageS + 0.3*float64(node))
		if node >= x.returning {
			away = s.duration - seconds(x.lossAtS) // they are asked at the end
		}
		s.faults = append(s.faults, fault{kind: controllerKilled, at: seconds(x.lossAtS), duration: away, controller: node})
	}
	s.setup = func(w *simulation) {
		note := w.cloud.Told
		w.cloud.Told = func(what string) { note(what); h.recordCloud(what) }
	}
	return s
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
func playTotalLoss(t *testing.T, x totalLoss, machines int, lose func(r *recovery.Records)) (broken []string, figures lossMeasurements) {
	h := &eventLog{}
	s := x.schedule(machines, h)
	s.alterRecords = lose
	figures.Scene = fmt.Sprintf("%d back after %.1f s", x.returning, x.outageS)
	setup := s.setup
	s.setup = func(w *simulation) {
		setup(w)
		w.wg.Go(func() { w.measureLoss(x, h, &figures) })
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newSimulation(ctx, t, s)
		w.run()
		if lose == nil {
			w.checkAllServed()
		}
		w.shutDown(cancel)
		lost := x.lostAt(w)
		broken = append(w.violations, h.violations(lost, lost.Add(seconds(x.outageS)), lost.Add(seconds(x.outageS)+recoveryCheckTime), func(uid string) bool { return w.views[uid].cancelRequested })...)
		figures.Commands = h.count(lost.Add(seconds(x.outageS)), lost.Add(seconds(x.outageS)+recoveryCheckTime))
		if t.Failed() || len(broken) > 0 && lose == nil {
			t.Logf("history:\n%s", strings.Join(w.history, "\n"))
		}
	})
	return broken, figures
}

// measureLoss follows the recovery from the return of the first controller.
func (w *simulation) measureLoss(x totalLoss, h *eventLog, f *lossMeasurements) {
	back := x.lostAt(w).Add(seconds(x.outageS))
	time.Sleep(time.Until(back))
	requests, changes := w.state.Requests(), w.state.Puts()
	const step = 250 * time.Millisecond
	for w.ctx.Err() == nil && time.Since(back) < 60*time.Second && f.AllGoingS == 0 {
		time.Sleep(step)
		since := time.Since(back).Seconds()
		var report recovery.Report
		if p := w.runningProcess(fmt.Sprintf("node-%d", w.leaderIndex()+1)); p != nil {
			if l := p.current.Load(); l != nil {
				report, _ = l.recoveryReport()
			}
		}
		run, want := w.replicaCounts()
		f.Progress = append(f.Progress, progressPoint{AtS: since, Awaited: report.Machines.Awaited, Reconciled: report.Machines.Reconciled, Replicas: run})
		f.Machines = max(f.Machines, report.Machines.Recorded)
		settled := report.Machines.Reconciled + report.Machines.Gone
		if n := report.Machines.Recorded; n > 0 && f.MostReconciled == 0 && 10*settled >= 9*n {
			f.MostReconciled = since
		}
		if report.Stage == recovery.StageComplete && report.Machines.Recorded > 0 {
			if f.AllReconciled == 0 {
				f.AllReconciled = since
			}
			if run == want {
				f.AllGoingS = since
				f.StateRequests, f.StateChanges = w.state.Requests()-requests, w.state.Puts()-changes
			}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.events {
		if e.Kind == standin.EventOrdered && e.At.After(back) {
			f.FirstOrderS = e.At.Sub(back).Seconds()
			break
		}
	}
}

// saveMeasurements adds a scene's figures to the file that -loss.plot names, a line each.
func saveMeasurements(f lossMeasurements) error {
	if *lossPlot == "" {
		return nil
	}
	raw, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("figures: %w", err)
	}
	file, err := os.OpenFile(*lossPlot, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("figures: %w", err)
	}
	defer file.Close()
	if _, err := file.Write(append(raw, '\n')); err != nil {
		return fmt.Errorf("figures: %w", err)
	}
	return nil
}
