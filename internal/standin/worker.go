package standin

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"

	"cedardoor/wire"

	"github.com/vmihailenco/msgpack/v5"
)

// Worker is a machine's worker that follows the protocol's rules for tokens, incarnations and
// repeated commands. It does nothing on its own: tests make it report and end its tasks.
type Worker struct {
	Identity wire.Heartbeat // machine, endpoint, type, zone and whether it is preemptible

	mu               sync.Mutex // guards the fields below
	incarnation      uint64
	sequence         uint64
	token            uint64
	tasks            map[string]*wire.TaskReport // by attempt
	started          []string                    // attempts, in order
	executedCommands []wire.CommandRequest       // direct commands

	unreachable  bool
	holdCommand  bool // hold the next direct command
	heldCommands []wire.CommandRequest
	failAll      bool
	failing      map[string]bool    // jobs and tasks that fail when they start
	saveS        map[string]float64 // by job: seconds that its tasks need to save when they are stopped
	saved        map[string]bool    // tasks that were saved when they were stopped
}

// NewWorker returns a worker without tasks in its first incarnation.
func NewWorker(host, endpoint, machineType, zone string, preemptible bool) *Worker {
	return &Worker{Identity: wire.Heartbeat{Machine: host, Endpoint: endpoint, MachineType: machineType, Zone: zone, Preemptible: preemptible},
		incarnation: 1, tasks: map[string]*wire.TaskReport{}, saveS: map[string]float64{}, saved: map[string]bool{}}
}

// attemptKey returns the key of an attempt.
func attemptKey(task string, attempt uint64) string { return fmt.Sprintf("%s#%d", task, attempt) }

// buildReport builds the current report. The caller holds mu.
func (w *Worker) buildReport() wire.Heartbeat {
	w.sequence++
	report := w.Identity
	report.Incarnation, report.Sequence, report.Token = w.incarnation, w.sequence, w.token
	report.Tasks = []wire.TaskReport{}
	keys := make([]string, 0, len(w.tasks))
	for k := range w.tasks {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		report.Tasks = append(report.Tasks, *w.tasks[k])
	}
	return report
}

// Report returns the worker's next heartbeat.
func (w *Worker) Report() wire.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buildReport()
}

// HandleResponse executes the response to a heartbeat and returns true, unless the response's
// token is too low.
func (w *Worker) HandleResponse(response wire.HeartbeatResponse) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if response.Token < w.token {
		return false
	}
	w.token = response.Token
	w.execute(response.Commands)
	return true
}

// execute executes commands in order. The caller holds mu.
func (w *Worker) execute(commands []wire.Command) {
	for _, command := range commands {
		key := attemptKey(command.Task, command.Attempt)
		task := w.tasks[key]
		switch {
		case command.Verb == wire.VerbRun && task == nil:
			w.started = append(w.started, key)
			report := &wire.TaskReport{Task: command.Task, Attempt: command.Attempt, Status: wire.TaskRunning}
			if job, _, _ := strings.Cut(command.Task, "/"); w.failAll || w.failing[job] || w.failing[command.Task] {
				report.Status, report.Cause = wire.TaskEnded, wire.CauseError
			}
			w.tasks[key] = report
		case command.Verb == wire.VerbStop && task != nil && task.Status != wire.TaskEnded:
			w.stop(task, command.GraceS)
		case command.Verb == wire.VerbForget && task != nil && task.Status == wire.TaskEnded:
			delete(w.tasks, key)
		}
	}
}

// stop stops a task. If the grace period is long enough, the task begins to save; it does so until
// FinishSaving is called or a further stop has no grace period. The caller holds mu.
func (w *Worker) stop(task *wire.TaskReport, graceS *float64) {
	grace := 0.0
	if graceS != nil {
		grace = *graceS
	}
	job, _, _ := strings.Cut(task.Task, "/")
	saveS, saves := w.saveS[job]
	switch {
	case task.Status == wire.TaskRunning && saves && grace >= saveS:
		task.Status = wire.TaskFlushing
	case task.Status == wire.TaskFlushing && grace > 0:
		// The task is already saving.
	default:
		task.Status, task.Cause = wire.TaskEnded, wire.CauseStopped
	}
}

// SaveWhenStopped makes the tasks of a job save when they are stopped with a grace period of at
// least the given number of seconds.
func (w *Worker) SaveWhenStopped(uid string, seconds float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.saveS[uid] = seconds
}

// FinishSaving ends all tasks that are saving, with their progress saved.
func (w *Worker) FinishSaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, task := range w.tasks {
		if task.Status == wire.TaskFlushing {
			task.Status, task.Cause, task.Checkpointed = wire.TaskEnded, wire.CauseStopped, true
			w.saved[task.Task] = true
		}
	}
}

// Saved reports whether a task was saved when it was stopped.
func (w *Worker) Saved(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.saved[task]
}

// TaskStatus returns the status of a task that has not ended, or an empty one.
func (w *Worker) TaskStatus(name string) wire.TaskStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, task := range w.tasks {
		if task.Task == name && task.Status != wire.TaskEnded {
			return task.Status
		}
	}
	return ""
}

// EndTask ends a task for a cause.
func (w *Worker) EndTask(name string, cause wire.Cause) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, task := range w.tasks {
		if task.Task == name && task.Status != wire.TaskEnded {
			task.Status, task.Cause = wire.TaskEnded, cause
		}
	}
}

// ExpireLease makes the worker's lease expire: its tasks are killed and forgotten, and a new
// incarnation begins.
func (w *Worker) ExpireLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation++
	w.tasks = map[string]*wire.TaskReport{}
}

// HoldNextCommand holds the next direct command back, without a response, until
// DeliverHeldCommands is called.
func (w *Worker) HoldNextCommand() { w.mu.Lock(); defer w.mu.Unlock(); w.holdCommand = true }

// FailAllTasks sets whether every task fails when it starts.
func (w *Worker) FailAllTasks(fail bool) { w.mu.Lock(); defer w.mu.Unlock(); w.failAll = fail }

// FailJob makes every task of a job, or a single task, fail when it starts.
func (w *Worker) FailJob(uid string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failing == nil {
		w.failing = map[string]bool{}
	}
	w.failing[uid] = true
}

// DeliverHeldCommands executes the held direct commands whose token and incarnation are still
// valid.
func (w *Worker) DeliverHeldCommands() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, request := range w.heldCommands {
		w.executeDirect(request)
	}
	w.heldCommands = nil
}

// StartedAttempts returns every attempt that has started, in order.
func (w *Worker) StartedAttempts() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.started...)
}

// LiveTasks returns the sorted tasks that have not ended.
func (w *Worker) LiveTasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, p := range w.tasks {
		if p.Status != wire.TaskEnded {
			out = append(out, p.Task)
		}
	}
	sort.Strings(out)
	return out
}

// executeDirect executes a direct command and returns true, unless the command's token is too
// low or it is for another incarnation. The caller holds mu.
func (w *Worker) executeDirect(request wire.CommandRequest) bool {
	if request.Token < w.token || request.Incarnation != w.incarnation {
		return false
	}
	w.token = request.Token
	w.execute(request.Commands)
	w.executedCommands = append(w.executedCommands, request)
	return true
}

// RepeatCommands executes every executed direct command again, as if it had arrived twice.
func (w *Worker) RepeatCommands() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, request := range w.executedCommands[:len(w.executedCommands):len(w.executedCommands)] {
		w.executeDirect(request)
	}
}

// SetUnreachable sets whether the worker leaves direct commands and probes unanswered.
func (w *Worker) SetUnreachable(unreachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable = unreachable
}

// Restart replaces the worker with a new process without tasks, whose incarnation and sequence
// start over.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation, w.sequence, w.token = 1, 0, 0
	w.tasks = map[string]*wire.TaskReport{}
}

// ServeHTTP serves the worker's endpoints for direct commands and reports.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.mu.Lock()
	unreachable := w.unreachable
	w.mu.Unlock()
	if unreachable {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == wire.PathReport {
		writeResponse(rw, http.StatusOK, w.Report())
		return
	}
	var request wire.CommandRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		writeResponse(rw, http.StatusBadRequest, wire.Error{Error: err.Error()})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.holdCommand {
		w.holdCommand = false
		w.heldCommands = append(w.heldCommands, request)
		panic(http.ErrAbortHandler)
	}
	ok := w.executeDirect(request)
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	writeResponse(rw, status, w.buildReport())
}
