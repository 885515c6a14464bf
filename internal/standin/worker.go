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

// Worker is a machine's worker that keeps the protocol's rules for tokens,
// sessions and repeated commands. Tests end its tasks by hand.
type Worker struct {
	Beats wire.Heartbeat // identity: host, endpoint, build, zone, loaned

	mu      sync.Mutex // guards all below
	session uint64
	tally   uint64
	token   uint64
	pieces  map[string]*wire.TaskReport
	lose    bool
	keep    bool
	late    []wire.CommandRequest
	past    []wire.CommandRequest
	starts  []string
	warning *float64
	fail    bool
	bad     map[string]bool
	cut     bool
}

// NewWorker makes a worker without tasks in its first session.
func NewWorker(host, endpoint, build, zone string, loaned bool) *Worker {
	return &Worker{Beats: wire.Heartbeat{Machine: host, Endpoint: endpoint, MachineType: build, Zone: zone, Preemptible: loaned},
		session: 1, pieces: map[string]*wire.TaskReport{}}
}

func key(piece string, try uint64) string { return fmt.Sprintf("%s#%d", piece, try) }

// report builds the current report. The caller holds mu.
func (w *Worker) report() wire.Heartbeat {
	w.tally++
	b := w.Beats
	b.Incarnation, b.Sequence, b.Token, b.WarningS = w.session, w.tally, w.token, w.warning
	b.Tasks = []wire.TaskReport{}
	keys := make([]string, 0, len(w.pieces))
	for k := range w.pieces {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		b.Tasks = append(b.Tasks, *w.pieces[k])
	}
	return b
}

// Report is the worker's next heartbeat.
func (w *Worker) Report() wire.Heartbeat { w.mu.Lock(); defer w.mu.Unlock(); return w.report() }

// Take executes the answer to a heartbeat, unless its token is too low.
func (w *Worker) Take(a wire.HeartbeatResponse) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.Token < w.token {
		return false
	}
	w.token = a.Token
	w.execute(a.Commands)
	return true
}

// execute runs commands in order. The caller holds mu.
func (w *Worker) execute(orders []wire.Command) {
	for _, o := range orders {
		k := key(o.Task, o.Attempt)
		p := w.pieces[k]
		switch {
		case o.Verb == wire.VerbRun && p == nil:
			w.starts = append(w.starts, k)
			st := &wire.TaskReport{Task: o.Task, Attempt: o.Attempt, Status: wire.TaskRunning}
			if job, _, _ := strings.Cut(o.Task, "/"); w.fail || w.bad[job] || w.bad[o.Task] {
				st.Status, st.Cause = wire.TaskEnded, wire.CauseError
			}
			w.pieces[k] = st
		case o.Verb == wire.VerbStop && p != nil && p.Status != wire.TaskEnded:
			p.Status, p.Cause = wire.TaskEnded, wire.CauseStopped
		case o.Verb == wire.VerbForget && p != nil && p.Status == wire.TaskEnded:
			delete(w.pieces, k)
		}
	}
}

// End ends a task with a cause.
func (w *Worker) End(piece string, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.pieces {
		if p.Task == piece && p.Status != wire.TaskEnded {
			p.Status, p.Cause = wire.TaskEnded, cause
		}
	}
}

// Expire lets the worker's lease run out: its tasks are killed and forgotten.
func (w *Worker) Expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.session++
	w.pieces = map[string]*wire.TaskReport{}
}

// LoseNext makes the next /do be executed without an answer.
func (w *Worker) LoseNext() { w.mu.Lock(); defer w.mu.Unlock(); w.lose = true }

// KeepNext holds the next /do back, unanswered, until Deliver.
func (w *Worker) KeepNext() { w.mu.Lock(); defer w.mu.Unlock(); w.keep = true }

// Fail makes every task fail as it starts.
func (w *Worker) Fail(yes bool) { w.mu.Lock(); defer w.mu.Unlock(); w.fail = yes }

// FailJob makes every task of a job, or one task, fail as it starts.
func (w *Worker) FailJob(uid string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bad == nil {
		w.bad = map[string]bool{}
	}
	w.bad[uid] = true
}

// Warn sets the spot notice.
func (w *Worker) Warn(seconds float64) { w.mu.Lock(); defer w.mu.Unlock(); w.warning = &seconds }

// Deliver executes the direct commands held back, if token and session still match.
func (w *Worker) Deliver() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.late {
		w.direct(d)
	}
	w.late = nil
}

// Starts lists every attempt started, in order.
func (w *Worker) Starts() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.starts...)
}

// Live lists the tasks that are on the machine.
func (w *Worker) Live() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, p := range w.pieces {
		if p.Status != wire.TaskEnded {
			out = append(out, p.Task)
		}
	}
	sort.Strings(out)
	return out
}

func (w *Worker) direct(d wire.CommandRequest) bool {
	if d.Token < w.token || d.Incarnation != w.session {
		return false
	}
	w.token = d.Token
	w.execute(d.Commands)
	w.past = append(w.past, d)
	return true
}

// Repeat lets every direct command that was executed arrive once more.
func (w *Worker) Repeat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.past[:len(w.past):len(w.past)] {
		w.direct(d)
	}
}

// Unreachable makes the worker give no answer to /do and /show.
func (w *Worker) Unreachable(yes bool) { w.mu.Lock(); defer w.mu.Unlock(); w.cut = yes }

// Restart puts a new process in the worker's place, which counts sessions and
// reports from the start again and has no tasks.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.session, w.tally, w.token = 1, 0, 0
	w.pieces = map[string]*wire.TaskReport{}
}

// ServeHTTP is the worker's /do and /show.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.mu.Lock()
	cut := w.cut
	w.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == wire.PathReport {
		reply(rw, http.StatusOK, w.Report())
		return
	}
	var d wire.CommandRequest
	if err := msgpack.Unmarshal(body, &d); err != nil {
		reply(rw, http.StatusBadRequest, wire.Error{Error: err.Error()})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.keep {
		w.keep = false
		w.late = append(w.late, d)
		panic(http.ErrAbortHandler)
	}
	ok := w.direct(d)
	if w.lose {
		w.lose = false
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	reply(rw, status, w.report())
}
