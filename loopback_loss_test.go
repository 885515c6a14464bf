package cedardoor

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/operator"
	"cedardoor/recovery"
	"cedardoor/wire"
)

// A measurement on real processes and sockets, outside CI: see docs/recovery.md.
var (
	lossWorkers = flag.Int("loopback.loss", 0, "how many workers real controllers have that are all killed; 0: not at all")
	lossPlays   = flag.Int("loopback.scenes", len(loopbackLosses), "how many of the losses are played")
)

// loopbackLosses are the losses that the measurement plays, one after another on one platform.
var loopbackLosses = []totalLoss{
	{outageS: 0.5, returning: 3}, {outageS: 25, returning: 1}, {outageS: 6, returning: 1}, {outageS: 55, returning: 3},
	{outageS: 55, returning: 1}, {outageS: 0.5, returning: 1}, {outageS: 6, returning: 3}, {outageS: 25, returning: 2},
}

// loopbackLoss is a platform of real controllers that all end.
type loopbackLoss struct {
	*loopback
	events     *eventLog
	jobs  [][]submission // of each scene
	permanentJobs []submission   // run throughout
}

// oneTaskPerMachine makes a job's tasks take a machine each.
func oneTaskPerMachine(mod func(sp *wire.Spec)) func(sp *wire.Spec) {
	return func(sp *wire.Spec) { mod(sp); sp.Cores, sp.RAM = 4, 8 }
}

func newLoopbackLoss(ctx context.Context, t *testing.T, workers int) *loopbackLoss {
	l := &loopbackLoss{events: &eventLog{}}
	s := schedule{maxMachines: 2 * workers, timing: lossTiming, onEvent: l.events.record, limits: map[string]float64{"free": 0, "tight": tightLimit}, guarantees: map[string]float64{}}
	add := func(to *[]submission, runs float64, mod func(sp *wire.Spec)) {
		u := newSubmission(len(s.submissions)+1, 0, runs, mod)
		s.submissions = append(s.submissions, u)
		*to = append(*to, u)
	}
	for range 5 {
		add(&l.permanentJobs, 0, oneTaskPerMachine(asService(workers/8)))
	}
	add(&l.permanentJobs, 0, func(sp *wire.Spec) { asService(4)(sp); sp.Team = "tight" })
	for range loopbackLosses {
		var jobs []submission
		for range 2 {
			add(&jobs, 100, oneTaskPerMachine(func(sp *wire.Spec) { sp.Tasks, sp.Preemptible = workers/8, true }))
		}
		for range 12 {
			add(&jobs, 90, func(sp *wire.Spec) { sp.Preemptible = true })
		}
		for range 3 { // cancelled right before the loss
			add(&jobs, 300, func(sp *wire.Spec) { sp.Tasks, sp.Preemptible = 4, true })
		}
		l.jobs = append(l.jobs, jobs)
	}
	s.setup = func(w *simulation) { w.cloud.Told = l.events.recordCloud }
	l.loopback = newLoopback(ctx, t, s)
	l.rentSmallMachinesOnly()
	return l
}

// submitAll submits jobs until all are accepted.
func (l *loopbackLoss) submitAll(ctx context.Context, jobs []submission) {
	for _, u := range jobs {
		raw := submissionBody(l.t, u.spec, nil)
		for n := 0; ctx.Err() == nil; n++ {
			status, _, err := l.send(ctx, l.names[n%len(l.names)], wire.PathJobs, raw)
			if err == nil && (status == http.StatusCreated || status == http.StatusOK) {
				l.mu.Lock()
				l.views[u.spec.UID].accepted, l.views[u.spec.UID].lastProgress = true, time.Now()
				l.mu.Unlock()
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// cancelJob cancels a job until that is confirmed.
func (l *loopbackLoss) cancelJob(ctx context.Context, uid string) {
	l.mu.Lock()
	l.views[uid].cancelRequested = true
	l.mu.Unlock()
	for n := 0; ctx.Err() == nil; n++ {
		status, _, err := l.send(ctx, l.names[n%len(l.names)], wire.PathJobs+"/"+uid+"/"+wire.SuffixCancel, nil)
		if err == nil && status == http.StatusOK {
			l.mu.Lock()
			l.views[uid].cancelled, l.views[uid].cancelledAt = true, time.Now()
			l.mu.Unlock()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// running counts the tasks of jobs that are on machines, and all that they have.
func (l *loopbackLoss) taskCounts(jobs []submission) (run, want int) {
	for _, u := range jobs {
		want += u.spec.Tasks
		for _, n := range l.tasksByZone(u.spec.UID) {
			run += n
		}
	}
	return run, want
}

// peakMemory is the most that a process has held, in MB.
func peakMemory(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// recoveryReport asks each controller that is up for the leader's recovery, as operators do.
func (l *loopbackLoss) recoveryReport(ctx context.Context, up int) (r recovery.Report, known bool) {
	for _, name := range l.names[:up] {
		if r, err := operator.Recovery(ctx, l.operatorAddresses[name]); err == nil && r.Fresh {
			return r, true
		}
	}
	return r, false
}

// play plays one loss and gives its figures and faults.
func (l *loopbackLoss) play(ctx context.Context, x totalLoss, jobs []submission) (f lossMeasurements, faults []string, memory float64) {
	f.Scene = fmt.Sprintf("%d back after %.1f s", x.returning, x.outageS)
	steady := jobs[:len(jobs)-3]
	l.submitAll(ctx, jobs)
	for deadline := time.Now().Add(90 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		run, want := l.taskCounts(append(append([]submission{}, l.permanentJobs...), jobs...))
		if run == want {
			break
		}
		if time.Now().After(deadline) {
			return f, []string{fmt.Sprintf("%s: %d of %d tasks run before the loss", f.Scene, run, want)}, 0
		}
	}
	for _, u := range jobs[len(jobs)-3:] {
		l.cancelJob(ctx, u.spec.UID)
	}
	for _, name := range l.names {
		l.signal(name, syscall.SIGKILL)
	}
	lost := time.Now()
	time.Sleep(seconds(x.outageS))
	back := time.Now()
	requests, changes := l.state.Requests(), l.state.Puts()
	for _, name := range l.names[:x.returning] {
		l.start(name)
	}
	for time.Since(back) < recoveryCheckTime {
		time.Sleep(100 * time.Millisecond)
		since := time.Since(back).Seconds()
		r, known := l.recoveryReport(ctx, x.returning)
		run, want := l.taskCounts(append(append([]submission{}, l.permanentJobs...), steady...))
		f.Progress = append(f.Progress, progressPoint{AtS: since, Awaited: r.Machines.Awaited, Reconciled: r.Machines.Reconciled, Replicas: run})
		f.Machines = max(f.Machines, r.Machines.Recorded)
		settled := r.Machines.Reconciled + r.Machines.Gone
		if n := r.Machines.Recorded; known && n > 0 && f.MostReconciled == 0 && 10*settled >= 9*n {
			f.MostReconciled = since
		}
		if known && r.Stage == recovery.StageComplete && f.AllReconciled == 0 {
			f.AllReconciled = since
		}
		// A release without the report tells nothing where leases outlast the spell.
		settledAll := f.AllReconciled > 0 || !known && x.outageS > lossTiming.lease.Seconds()
		if settledAll && run == want && f.AllGoingS == 0 {
			f.AllGoingS = since
			f.StateRequests, f.StateChanges = l.state.Requests()-requests, l.state.Puts()-changes
		}
	}
	l.events.mu.Lock()
	for _, e := range l.events.events {
		if e.Kind == standin.EventOrdered && e.At.After(back) {
			f.FirstOrderS = e.At.Sub(back).Seconds()
			break
		}
	}
	l.events.mu.Unlock()
	f.Commands = l.events.count(back, back.Add(recoveryCheckTime))
	faults = l.events.violations(lost, back, back.Add(recoveryCheckTime), func(uid string) bool { return l.views[uid].cancelRequested })
	l.processMutex.Lock()
	for _, name := range l.names[:x.returning] {
		memory = max(memory, peakMemory(l.commands[name].Process.Pid))
	}
	l.processMutex.Unlock()
	for _, name := range l.names[x.returning:] {
		l.start(name)
	}
	return f, faults, memory
}

// TestLoopbackLoss kills all real controllers on loopback, with hundreds of stand-in workers and
// mixed work, and returns some after several spells. It prints what the recoveries took.
func TestLoopbackLoss(t *testing.T) {
	if *lossWorkers == 0 {
		t.Skip("a measurement on the wall clock: run with -loopback.loss 300 -loopback.binary target/cedardoor")
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := newLoopbackLoss(ctx, t, *lossWorkers)
	time.Sleep(3 * time.Second)
	l.submitAll(ctx, l.permanentJobs)
	for i, x := range loopbackLosses[:*lossPlays] {
		f, faults, memory := l.play(ctx, x, l.jobs[i])
		t.Logf("%v, peak %.0f MB", f, memory)
		for _, fault := range faults {
			t.Errorf("%s: %s", f.Scene, fault)
		}
		f.Scene = "real processes, " + f.Scene
		if err := saveMeasurements(f); err != nil {
			t.Error(err)
		}
		for _, u := range l.jobs[i][len(l.jobs[i])-3:] {
			if run, _ := l.taskCounts([]submission{u}); run > 0 && time.Since(l.views[u.spec.UID].cancelledAt) > lossTiming.cancel {
				t.Errorf("%s: %s is cancelled, and %d tasks run", f.Scene, u.spec.UID, run)
			}
		}
	}
	if run, want := l.taskCounts(l.permanentJobs); run != want {
		t.Errorf("%d of %d replicas run in the end", run, want)
	}
	cancel()
	for _, name := range l.names {
		l.signal(name, syscall.SIGKILL)
	}
	l.wg.Wait()
	for _, b := range l.violations {
		t.Error(b)
	}
}
