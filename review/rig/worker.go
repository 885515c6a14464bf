package rig

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"cedardoor/wire"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	workerTick     = 20 * time.Millisecond
	changeInterval = 500 * time.Millisecond // reports of changes are no closer together
	reportTimeout  = 4 * time.Second
	nextNodeDelay  = time.Second
	fetchTime      = 300 * time.Millisecond // of any image
)

// Worker is a machine whose worker follows the protocol, gangs included.
type Worker struct {
	Info    wire.Machine
	Type    wire.MachineType
	cluster *Cluster

	mu          sync.Mutex // guards the fields below
	booted      bool
	goneAt      time.Time // when the machine stopped or was returned; zero before
	incarnation uint64
	sequence    uint64
	token       uint64
	leaseStart  time.Time // when the last answered report was sent, or the session began
	tasks       []*workerTask
	node        int // index of the controller that it reports to
	reporting   bool
	reportAt    time.Time // when the next report is due
	changed     bool      // a change is to be reported
	changeAt    time.Time // the earliest time for that
	tokenSeenAt time.Time // when a higher token last counted as a change
}

// workerTask is an attempt on a machine.
type workerTask struct {
	wire.TaskReport
	spec wire.Spec
	due  time.Time // when the status ends by itself; zero if it does not
}

func (t *workerTask) live() bool { return t.Status != wire.TaskEnded }

// onMachine reports whether the task has its image and has not ended.
func (t *workerTask) onMachine() bool { return t.live() && t.Status != wire.TaskFetching }

// run runs the worker from the boot of its machine until the machine is gone.
func (w *Worker) run(ctx context.Context) {
	w.mu.Lock()
	w.booted, w.incarnation, w.leaseStart, w.reportAt = true, 1, time.Now(), time.Now()
	w.mu.Unlock()
	for ctx.Err() == nil && w.step(ctx) {
		time.Sleep(workerTick)
	}
}

// step does what is due. It returns false once the machine is gone.
func (w *Worker) step(ctx context.Context) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.goneAt.IsZero() {
		return false
	}
	now := time.Now()
	w.expireLease(now)
	for _, t := range w.tasks {
		w.advance(t, now)
	}
	if !w.reporting && (!now.Before(w.reportAt) || w.changed && !now.Before(w.changeAt)) {
		w.report(ctx, now)
	}
	return true
}

// expireLease kills and forgets all tasks if the lease has ended. The caller holds mu.
func (w *Worker) expireLease(now time.Time) {
	lease := time.Duration(w.cluster.site.LeaseS * float64(time.Second))
	if now.Sub(w.leaseStart) <= lease {
		return
	}
	for _, t := range w.tasks {
		if t.live() {
			w.end(t, "lease expired")
		}
	}
	w.incarnation, w.leaseStart, w.tasks, w.changed = w.incarnation+1, now, nil, true
}

// advance moves a task on if that is due. The caller holds mu.
func (w *Worker) advance(t *workerTask, now time.Time) {
	gangs := w.cluster.gangs
	if t.live() && t.spec.Kind == wire.KindGang && t.Status != wire.TaskFetching {
		switch status, cause := gangs.look(t, now); {
		case cause != "":
			w.end(t, cause)
		case status != t.Status:
			t.Status, w.changed = status, true
			w.cluster.Log.Add(w.Info.UID, "%s attempt %d: %s", t.Task, t.Attempt, status)
		}
		return
	}
	if t.due.IsZero() || now.Before(t.due) || !t.live() {
		return
	}
	switch {
	case t.Status == wire.TaskFlushing:
		t.Checkpointed = true
		w.end(t, wire.CauseStopped)
	case t.Status == wire.TaskRunning:
		w.cluster.Completed(t.Task)
		w.end(t, wire.CauseDone)
	case t.spec.Kind == wire.KindGang:
		t.Status, t.due, w.changed = wire.TaskGathering, time.Time{}, true
		gangs.join(t, now, w.cluster.RunTime(t.Task))
		w.cluster.taskStarted(w.Info.UID, t.Task, t.Attempt)
	default:
		t.Status, t.due, w.changed = wire.TaskRunning, time.Time{}, true
		if t.spec.Kind == wire.KindBatch {
			t.due = now.Add(w.cluster.RunTime(t.Task))
		}
		w.cluster.taskStarted(w.Info.UID, t.Task, t.Attempt)
	}
}

// end ends a task. The caller holds mu.
func (w *Worker) end(t *workerTask, cause wire.Cause) {
	if t.spec.Kind == wire.KindGang && t.Status != wire.TaskFetching {
		w.cluster.gangs.leave(t, time.Now(), cause)
	}
	w.cluster.taskEnded(w.Info.UID, t.Task, t.Attempt, string(cause))
	t.Status, t.Cause, w.changed = wire.TaskEnded, cause, true
}

// Stop stops the machine with all that is on it: it stays silent from now on.
func (w *Worker) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cluster.Log.Add(w.Info.UID, "the machine is gone")
	for _, t := range w.tasks {
		if t.live() {
			w.end(t, "machine gone")
		}
	}
	w.tasks, w.goneAt = nil, time.Now()
}

// goneBy reports whether the machine had stopped by the given time.
func (w *Worker) goneBy(at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.goneAt.IsZero() && !w.goneAt.After(at)
}

// Up reports whether the machine has booted and is not gone.
func (w *Worker) Up() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.booted && w.goneAt.IsZero()
}

// HasRoom reports whether the machine is up and a task of a job fits beside the others.
func (w *Worker) HasRoom(spec *wire.Spec) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.booted && w.goneAt.IsZero() && w.fits(spec)
}

// fits reports whether a task of a job fits beside the others. The caller holds mu.
func (w *Worker) fits(spec *wire.Spec) bool {
	cores, ram := spec.Cores, spec.RAM
	for _, t := range w.tasks {
		if t.live() {
			cores, ram = cores+t.spec.Cores, ram+t.spec.RAM
		}
	}
	return cores <= w.Type.Cores+1e-9 && ram <= w.Type.RAM+1e-9
}

// Tasks returns the tasks that are on the machine.
func (w *Worker) Tasks() (tasks []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if t.onMachine() {
			tasks = append(tasks, t.Task)
		}
	}
	return tasks
}

// buildReport builds the current report. The caller holds mu.
func (w *Worker) buildReport() wire.Heartbeat {
	w.sequence++
	report := wire.Heartbeat{Machine: w.Info.UID, Endpoint: w.Info.Endpoint, MachineType: w.Info.Type, Zone: w.Info.Zone, Preemptible: w.Info.Preemptible,
		Incarnation: w.incarnation, Sequence: w.sequence, Token: w.token, Tasks: []wire.TaskReport{}}
	for _, t := range w.tasks {
		report.Tasks = append(report.Tasks, t.TaskReport)
	}
	return report
}

// report sends a report. The caller holds mu.
func (w *Worker) report(ctx context.Context, now time.Time) {
	report := w.buildReport()
	interval := time.Duration(w.cluster.site.ReportS * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
	w.reporting, w.changed, w.changeAt, w.reportAt = true, false, now.Add(changeInterval), now.Add(interval)
	node := w.cluster.names[w.node]
	go func() {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		status, body, err := w.cluster.Send(ctx, node, http.MethodPost, wire.PathHeartbeat, report)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.reporting = false
		if err != nil {
			status = 0
		}
		w.answered(report.Incarnation, now, status, body)
	}()
}

// answered handles the answer to a report. The caller holds mu.
func (w *Worker) answered(incarnation uint64, sent time.Time, status int, body []byte) {
	w.expireLease(time.Now())
	switch status {
	case http.StatusOK:
		var response wire.HeartbeatResponse
		if msgpack.Unmarshal(body, &response) != nil || !w.goneAt.IsZero() || incarnation != w.incarnation || response.Token < w.token {
			return
		}
		w.leaseStart = sent
		w.seeToken(response.Token)
		w.execute(response.Commands)
		return
	case http.StatusMisdirectedRequest:
		var redirect wire.Redirect
		_ = msgpack.Unmarshal(body, &redirect)
		if i := slices.Index(w.cluster.names, redirect.Leader); i >= 0 && i != w.node {
			w.node, w.reportAt = i, time.Now().Add(time.Duration(rand.IntN(500))*time.Millisecond)
			return
		}
	}
	w.node, w.reportAt = (w.node+1)%len(w.cluster.names), time.Now().Add(nextNodeDelay)
}

// seeToken keeps the highest token. The caller holds mu.
func (w *Worker) seeToken(token uint64) {
	if token <= w.token {
		return
	}
	w.token = token
	if half := time.Duration(w.cluster.site.LeaseS * float64(time.Second) / 2); time.Since(w.tokenSeenAt) >= half {
		w.tokenSeenAt, w.changed = time.Now(), true
	}
}

// execute executes commands in order. The caller holds mu.
func (w *Worker) execute(commands []wire.Command) {
	for _, command := range commands {
		i := slices.IndexFunc(w.tasks, func(t *workerTask) bool { return t.Task == command.Task && t.Attempt == command.Attempt })
		switch {
		case command.Verb == wire.VerbRun && i < 0:
			w.start(command)
		case command.Verb == wire.VerbStop && i >= 0 && w.tasks[i].live():
			w.halt(w.tasks[i], command.GraceS)
		case command.Verb == wire.VerbForget && i >= 0 && !w.tasks[i].live():
			w.tasks, w.changed = slices.Delete(w.tasks, i, i+1), true
		}
	}
}

// halt stops a task. If it saves and the command leaves it the time, it saves before it exits. The caller holds mu.
func (w *Worker) halt(t *workerTask, leeway *float64) {
	left := 0.0
	if leeway != nil {
		left = *leeway
	}
	w.cluster.Log.Add(w.Info.UID, "%s attempt %d: halt, leeway %.1f s, while %s", t.Task, t.Attempt, left, t.Status)
	switch {
	case t.Status == wire.TaskRunning && t.spec.CheckpointIntervalS > 0 && left >= t.spec.CheckpointGraceS && t.spec.Kind != wire.KindGang:
		t.Status, t.due, w.changed = wire.TaskFlushing, time.Now().Add(seconds(t.spec.CheckpointGraceS)), true
	case t.Status == wire.TaskFlushing && left > 0: // it goes on saving
	default:
		w.end(t, wire.CauseStopped)
	}
}

// start starts to fetch the image of a task, or refuses the task. The caller holds mu.
func (w *Worker) start(command wire.Command) {
	spec, known := w.cluster.Job(jobOf(command.Task))
	t := &workerTask{TaskReport: wire.TaskReport{Task: command.Task, Attempt: command.Attempt, Status: wire.TaskEnded}, spec: spec}
	inUse := slices.ContainsFunc(w.tasks, func(other *workerTask) bool { return other.live() && other.Task == command.Task })
	switch {
	case !known:
		t.Cause = wire.CauseNoSuch
	case inUse:
		t.Cause = wire.CauseInUse
	case !w.fits(&spec):
		t.Cause = wire.CauseFull
	default:
		t.Status, t.due = wire.TaskFetching, time.Now().Add(fetchTime)
	}
	w.cluster.Log.Add(w.Info.UID, "%s attempt %d: told to run: %s %s", t.Task, t.Attempt, t.Status, t.Cause)
	w.tasks, w.changed = append(w.tasks, t), true
}

// ServeHTTP serves direct commands and requests for a report. A machine that is gone stays silent.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !w.Up() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLease(time.Now())
	status := http.StatusOK
	if r.URL.Path == wire.PathCommand {
		var request wire.CommandRequest
		if msgpack.Unmarshal(body, &request) != nil || request.Token == 0 || request.Incarnation == 0 {
			writeAnswer(rw, http.StatusBadRequest, wire.Error{Error: "malformed"})
			return
		}
		if request.Token < w.token || request.Incarnation != w.incarnation {
			status = http.StatusConflict
		} else {
			w.seeToken(request.Token)
			w.execute(request.Commands)
		}
	}
	writeAnswer(rw, status, w.buildReport())
}
