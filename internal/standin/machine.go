package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"cedardoor/wire"
)

// MachineConfig configures a simulated machine. It must not change once the machine has
// booted.
type MachineConfig struct {
	Info           wire.Machine
	Type           wire.MachineType
	ReportInterval time.Duration
	LeaseTime      time.Duration
	Controllers    []string // names of all controllers
	// SendHeartbeat sends a report to a controller and returns its response.
	SendHeartbeat func(ctx context.Context, m *Machine, controller string, report wire.Heartbeat) (status int, body []byte, err error)
	// CommandDelay returns the network delay of a direct command that arrives now.
	CommandDelay func() time.Duration
	// CommandRepeats returns the delays after which copies of an executed direct command
	// arrive, one per copy. If nil, there are no copies.
	CommandRepeats func() []time.Duration
	Observer       Observer
	// OnEvent, if set, is called for every event on the machine, in order. It must not block.
	OnEvent func(e Event)
}

// Machine is a simulated machine whose worker follows the protocol on its own: it reports,
// renews its lease, runs tasks and executes commands.
type Machine struct {
	MachineConfig

	mu           sync.Mutex // guards the fields below
	ctx          context.Context
	restartCount int // of the worker
	incarnation  uint64
	sequence     uint64
	token        uint64
	leaseStart   time.Time // when the last answered report was sent, or the incarnation began
	tasks        []*task
	condition    condition
	reports      reportSchedule
	wake         chan struct{}
}

// condition is the state of the machine itself, apart from its worker.
type condition struct {
	bootedAt    time.Time
	reclaimedAt time.Time     // when the cloud will reclaim the machine; zero without notice
	hung        chan struct{} // closed when the machine resumes; nil unless it hangs
	hungAt      time.Time
	unreachable bool // receives neither responses nor commands
	removed     bool
}

// reportSchedule decides when the worker reports next, and to whom.
type reportSchedule struct {
	controller     int // index of the controller that the worker reports to
	inFlight       bool
	next           time.Time
	changed        bool      // a change must be reported before the next regular report
	earliestChange time.Time // the earliest time of a report of a change
	tokenSeenAt    time.Time // when a higher token last counted as a change
}

// task is an attempt on a machine.
type task struct {
	wire.TaskReport
	spec       wire.Spec
	due        time.Time // when the current status ends
	reportedAt time.Time // when the first answered report of its end was sent
}

func (t *task) live() bool { return t.Status != wire.TaskEnded }

// Boot boots the machine, which runs until ctx ends at the latest.
func (m *Machine) Boot(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ctx, m.incarnation, m.leaseStart, m.wake = ctx, 1, time.Now(), make(chan struct{}, 1)
	m.condition.bootedAt = time.Now()
	m.reports.next = time.Now()
}

// Run runs the machine until it is removed or the context given to Boot ends.
func (m *Machine) Run() {
	ctx := m.ctx
	for {
		m.mu.Lock()
		if m.condition.removed || ctx.Err() != nil {
			m.mu.Unlock()
			return
		}
		wait, started, completed := m.advance()
		m.mu.Unlock()
		for _, task := range started {
			m.Observer.Started(m, task)
		}
		for _, task := range completed {
			m.Observer.Completed(task)
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-m.wake:
		}
		timer.Stop()
	}
}

// wakeUp makes Run check at once what is due.
func (m *Machine) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// advance performs everything that is due. It returns how long nothing else is due, and which
// tasks have started and completed. The caller holds mu.
func (m *Machine) advance() (wait time.Duration, started, completed []string) {
	now := time.Now()
	if m.condition.hung != nil {
		return time.Hour, nil, nil
	}
	m.expireLease(now)
	next := m.leaseStart.Add(m.LeaseTime)
	for _, t := range m.tasks {
		hasStarted, hasCompleted := m.advanceTask(t, now)
		if hasStarted {
			started = append(started, t.Task)
		}
		if hasCompleted {
			completed = append(completed, t.Task)
		}
		runsForever := t.Status == wire.TaskRunning && t.spec.Kind != wire.KindBatch
		if t.live() && !runsForever && t.due.Before(next) {
			next = t.due
		}
	}
	if m.reports.inFlight {
		return max(time.Millisecond, next.Sub(now)), started, completed
	}
	if !now.Before(m.reports.next) || m.reports.changed && !now.Before(m.reports.earliestChange) {
		m.sendReport(now)
		return max(time.Millisecond, next.Sub(now)), started, completed
	}
	if m.reports.next.Before(next) {
		next = m.reports.next
	}
	if m.reports.changed && m.reports.earliestChange.Before(next) {
		next = m.reports.earliestChange
	}
	return max(time.Millisecond, next.Sub(now)), started, completed
}

// advanceTask moves a task to its next status when that is due. The caller holds mu.
func (m *Machine) advanceTask(t *task, now time.Time) (started, completed bool) {
	if t.Status == wire.TaskFlushing && !now.Before(t.due) {
		t.Checkpointed = true
		m.endTask(t, wire.CauseStopped)
	}
	if t.Status == wire.TaskFetching && !now.Before(t.due) {
		t.Status = wire.TaskRunning
		if m.Observer.Fails(m, t.Task) {
			m.endTask(t, wire.CauseError)
			return false, false
		}
		t.due = now.Add(m.Observer.RunTime(t.Task))
		m.reports.changed = true
		m.emitStarted(t)
		started = true
	}
	if t.Status == wire.TaskRunning && t.spec.Kind == wire.KindBatch && !now.Before(t.due) {
		m.endTask(t, wire.CauseDone)
		completed = true
	}
	return started, completed
}

// endTask ends a task and marks the change for a report. The caller holds mu.
func (m *Machine) endTask(t *task, cause wire.Cause) {
	m.emitEnded(t, cause)
	t.Status, t.Cause = wire.TaskEnded, cause
	m.reports.changed = true
}

// RunningTasks returns the tasks that run on the machine. Their images have been fetched.
func (m *Machine) RunningTasks() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A machine that hangs executes nothing. If its lease has expired when it resumes,
	// it drops its tasks first.
	if m.condition.removed || time.Now().After(m.leaseStart.Add(m.LeaseTime)) {
		return nil
	}
	var out []string
	for _, t := range m.tasks {
		if t.Status == wire.TaskRunning || t.Status == wire.TaskFlushing {
			out = append(out, t.Task)
		}
	}
	return out
}

// HasRoom reports whether a task of the job fits on the machine beside its other tasks.
func (m *Machine) HasRoom(spec *wire.Spec) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	cores, ram := spec.Cores, spec.RAM
	for _, t := range m.tasks {
		if t.live() {
			cores, ram = cores+t.spec.Cores, ram+t.spec.RAM
		}
	}
	return !m.condition.removed && m.ctx != nil && cores <= m.Type.Cores && ram <= m.Type.RAM
}

// IsSaving reports whether a task on the machine saves.
func (m *Machine) IsSaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.tasks, func(t *task) bool { return t.Status == wire.TaskFlushing })
}

// bootedBy reports whether the machine had booted by the given time.
func (m *Machine) bootedBy(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ctx != nil && !m.condition.bootedAt.After(at)
}

// IsBooted reports whether the machine has booted.
func (m *Machine) IsBooted() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.ctx != nil }
