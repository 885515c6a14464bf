package standin

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"cedardoor/wire"

	"github.com/vmihailenco/msgpack/v5"
)

// fetchTime is how long a machine takes to fetch the image of a task.
const fetchTime = 300 * time.Millisecond

// execute executes commands in order. The caller holds mu.
func (m *Machine) execute(commands []wire.Command) {
	for _, command := range commands {
		i := slices.IndexFunc(m.tasks, func(t *task) bool { return t.Task == command.Task && t.Attempt == command.Attempt })
		m.emitCommandEvent(command, i >= 0 && m.tasks[i].live())
		switch {
		case command.Verb == wire.VerbRun && i < 0:
			m.startTask(command)
			m.reports.changed = true
		case command.Verb == wire.VerbStop && i >= 0 && m.tasks[i].live():
			m.stopTask(m.tasks[i], command)
		case command.Verb == wire.VerbForget && i >= 0 && !m.tasks[i].live():
			m.tasks = slices.Delete(m.tasks, i, i+1)
			m.reports.changed = true
		}
	}
}

// stopTask stops a task. If the command's grace period is long enough, the task saves a
// checkpoint first. The caller holds mu.
func (m *Machine) stopTask(t *task, command wire.Command) {
	grace := 0.0
	if command.GraceS != nil {
		grace = *command.GraceS
	}
	switch {
	case t.Status == wire.TaskRunning && t.spec.CheckpointIntervalS > 0 && grace >= t.spec.CheckpointGraceS:
		t.Status, t.due = wire.TaskFlushing, time.Now().Add(time.Duration(t.spec.CheckpointGraceS*float64(time.Second)))
		m.reports.changed = true
	case t.Status == wire.TaskFlushing && grace > 0:
		// The task is already saving its checkpoint.
	default:
		m.endTask(t, wire.CauseStopped)
	}
}

// startTask starts to fetch the image of a task. If the task can't run, it ends at once with
// the cause. The caller holds mu.
func (m *Machine) startTask(command wire.Command) {
	uid, _, _ := strings.Cut(command.Task, "/")
	spec, known := m.Observer.Job(uid)
	t := &task{TaskReport: wire.TaskReport{Task: command.Task, Attempt: command.Attempt, Status: wire.TaskEnded}, spec: spec}
	cores, ram, inUse := spec.Cores, spec.RAM, false
	for _, other := range m.tasks {
		if other.live() {
			cores, ram, inUse = cores+other.spec.Cores, ram+other.spec.RAM, inUse || other.Task == command.Task
		}
	}
	switch {
	case !known:
		t.Cause = wire.CauseNoSuch
	case inUse:
		t.Cause = wire.CauseInUse
	case cores > m.Type.Cores || ram > m.Type.RAM:
		t.Cause = wire.CauseFull
	default:
		t.Status, t.due = wire.TaskFetching, time.Now().Add(fetchTime)
		m.Observer.Accepted(m, command.Task)
	}
	m.tasks = append(m.tasks, t)
}

// ServeHTTP serves the worker's endpoints for direct commands and reports. Delayed commands
// are executed even if the sender has given up.
func (m *Machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if m.IsUnreachable() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	done := make(chan response, 1)
	go func() {
		if r.URL.Path == wire.PathCommand {
			select {
			case <-time.After(m.CommandDelay()):
			case <-m.ctx.Done():
			}
		}
		m.waitWhileHung()
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.condition.removed || m.ctx.Err() != nil {
			return
		}
		m.expireLease(time.Now())
		done <- m.handleRequest(r.URL.Path, body)
	}()
	select {
	case response := <-done:
		writeResponse(w, response.status, response.body)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// handleRequest executes a request to the worker and returns the response. The caller holds
// mu.
func (m *Machine) handleRequest(path string, body []byte) response {
	if path == wire.PathReport {
		return response{http.StatusOK, m.buildReport()}
	}
	var request wire.CommandRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return response{http.StatusBadRequest, wire.Error{Error: err.Error()}}
	}
	if !m.executeDirect(request) {
		return response{http.StatusConflict, m.buildReport()}
	}
	if m.CommandRepeats != nil {
		for _, after := range m.CommandRepeats() {
			time.AfterFunc(after, func() { m.repeatDirect(request) })
		}
	}
	return response{http.StatusOK, m.buildReport()}
}

// repeatDirect executes a copy of a direct command that arrives later.
func (m *Machine) repeatDirect(request wire.CommandRequest) {
	m.waitWhileHung()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.condition.removed && m.ctx.Err() == nil {
		m.expireLease(time.Now())
		m.executeDirect(request)
	}
}

// executeDirect executes a direct command and returns true, unless the command's token is too
// low or it is for another incarnation. The caller holds mu.
func (m *Machine) executeDirect(request wire.CommandRequest) bool {
	if request.Token < m.token || request.Incarnation != m.incarnation {
		return false
	}
	m.observeToken(request.Token)
	m.execute(request.Commands)
	m.wakeUp()
	return true
}
