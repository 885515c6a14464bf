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

// histories is what happened on all machines, in order, and what the cloud was asked for.
// It knows nothing of what controllers hold.
type histories struct {
	mu      sync.Mutex // guards the fields below
	events  []standin.Event
	rentals []time.Time // requests for machines
	returns map[string]time.Time
}

func (h *histories) watch(e standin.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

// told takes in what the cloud was asked for.
func (h *histories) told(what string) {
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

// counts counts the commands that workers executed, and the requests to the cloud, in a span.
func (h *histories) counts(from, to time.Time) (c commandCounts) {
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

// drainSpan is how long after its last task was stopped a machine may be returned, and keepSpan
// for how long after the return of the first controller no machine is given up.
const (
	drainSpan = 3 * time.Minute
	keepSpan  = 10 * time.Second
	// recoverySpan is how long after that commands are counted and held against the promises.
	recoverySpan = 30 * time.Second
)

// crowd is the tasks of a job on a machine.
type crowd struct{ machine, job string }

// faults holds a span of the histories against what a recovery promises. A task that runs is
// stopped only for one of three causes, and each is judged by what is seen: its user asked to cancel its job;
// another replica of its job is on the same machine, from which one is moved away; or its machine
// is given up, and returned. A task begins again only after its run before was lost with
// its machine's lease, or was stopped for such a cause.
func (h *histories) faults(from, back, to time.Time, cancelled func(uid string) bool) (faults []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ended := map[string]string{} // why a task's last run ended; absent while it runs or before its first
	ran := map[string]bool{}
	moved := map[string]bool{} // stopped for a cause
	on := map[crowd]int{}
	for _, e := range h.events {
		uid, _, _ := strings.Cut(e.Task, "/")
		within := !e.At.Before(from) && e.At.Before(to)
		here := crowd{e.Machine, uid}
		switch {
		case e.Kind == standin.EventOrdered && e.Verb == wire.VerbStop && e.Live:
			returned, gone := h.returns[e.Machine]
			drained := gone && returned.Sub(e.At) < drainSpan && e.At.Sub(back) > keepSpan
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

// lossWork fills most of the machines of a scene: services, arrays that run throughout, a team at
// its limit, jobs of one task, and jobs that are cancelled right before the loss.
func lossWork(machines int, lossAt float64) (users []submission) {
	add := func(from, runs float64, mod func(sp *wire.Spec)) *submission {
		users = append(users, user(len(users)+1, from, runs, mod))
		return &users[len(users)-1]
	}
	for range 4 {
		add(2, 0, standing(machines/2))
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
		u.cancelAt = at(lossAt - 12.5)
	}
	return users
}

// totalLoss is a scene in which all controllers end at once and some return after a spell.
type totalLoss struct {
	lossAt  float64
	spell   float64 // until the first is back
	returns int     // how many come back; the others stay away
	timing  timing  // of the workers, if not lossTiming
}

// lossTiming is that of a usual platform.
var lossTiming = timing{report: 3 * time.Second, lease: 18 * time.Second, cancel: 43 * time.Second}

// lost is when the controllers end: a second after its time, which the first leader has for itself.
func (x totalLoss) lost(w *world) time.Time { return w.began.Add(at(x.lossAt + 1)) }

func (x totalLoss) schedule(machines int, h *histories) schedule {
	s := schedule{seed: 5, lasts: at(x.lossAt + x.spell + 90), leads: 1, most: 3 * machines, users: lossWork(machines, x.lossAt), watch: h.watch, timing: lossTiming}
	if x.timing != (timing{}) {
		s.timing = x.timing
	}
	for node := range 3 {
		away := at(x.spell + 0.3*float64(node))
		if node >= x.returns {
			away = s.lasts - at(x.lossAt) // they are asked at the end
		}
		s.troubles = append(s.troubles, trouble{kind: killNode, at: at(x.lossAt), lasts: away, node: node})
	}
	s.setup = func(w *world) {
		note := w.cloud.Told
		w.cloud.Told = func(what string) { note(what); h.told(what) }
	}
	return s
}

// lossFigures are what a scene of a total loss measures, from the return of the first controller.
type lossFigures struct {
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
func (f lossFigures) String() string {
	return fmt.Sprintf("%s: %d machines, first command %.2f s, most reconciled %.2f s, all %.2f s, all going %.2f s, %+v, %d requests, %d changes", f.Scene, f.Machines,
		f.FirstOrderS, f.MostReconciled, f.AllReconciled, f.AllGoingS, f.Commands, f.StateRequests, f.StateChanges)
}

// progressPoint is how far a recovery is at a moment.
type progressPoint struct {
	AtS                           float64
	Awaited, Reconciled, Replicas int
}

// playLoss plays a scene and gives the faults that the histories show and the figures.
func playLoss(t *testing.T, x totalLoss, machines int, lose func(r *recovery.Records)) (broken []string, figures lossFigures) {
	h := &histories{}
	s := x.schedule(machines, h)
	s.lose = lose
	figures.Scene = fmt.Sprintf("%d back after %.1f s", x.returns, x.spell)
	setup := s.setup
	s.setup = func(w *world) {
		setup(w)
		w.wg.Go(func() { w.measureLoss(x, h, &figures) })
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(ctx, t, s)
		w.play()
		if lose == nil {
			w.served()
		}
		w.end(cancel)
		lost := x.lost(w)
		broken = append(w.broken, h.faults(lost, lost.Add(at(x.spell)), lost.Add(at(x.spell)+recoverySpan), func(uid string) bool { return w.facts[uid].asked })...)
		figures.Commands = h.counts(lost.Add(at(x.spell)), lost.Add(at(x.spell)+recoverySpan))
		if t.Failed() || len(broken) > 0 && lose == nil {
			t.Logf("history:\n%s", strings.Join(w.history, "\n"))
		}
	})
	return broken, figures
}

// measureLoss follows the recovery from the return of the first controller.
func (w *world) measureLoss(x totalLoss, h *histories, f *lossFigures) {
	back := x.lost(w).Add(at(x.spell))
	time.Sleep(time.Until(back))
	requests, changes := w.state.Requests(), w.state.Puts()
	const step = 250 * time.Millisecond
	for w.ctx.Err() == nil && time.Since(back) < 60*time.Second && f.AllGoingS == 0 {
		time.Sleep(step)
		since := time.Since(back).Seconds()
		var report recovery.Report
		if p := w.running(fmt.Sprintf("node-%d", w.leader()+1)); p != nil {
			if l := p.current.Load(); l != nil {
				report, _ = l.recoveryReport()
			}
		}
		run, want := w.replicas()
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

// keepFigures adds a scene's figures to the file that -loss.plot names, a line each.
func keepFigures(f lossFigures) error {
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
