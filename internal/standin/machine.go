package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cedardoor/wire"

	"github.com/vmihailenco/msgpack/v5"
)

// Ledger sees from outside what happens on machines.
type Ledger interface {
	// Job tells what users uploaded of a job.
	Job(uid string) (wire.Spec, bool)
	// Accepted is told that a machine takes a task, whose image it fetches first.
	Accepted(m *Machine, piece string)
	// Started is told that a task is on a machine from now on.
	Started(m *Machine, piece string)
	// RunTime is how long a task runs; 0 when its result is kept already.
	RunTime(piece string) time.Duration
	// Completed is told that a task is done.
	Completed(piece string)
	// Fails tells whether a task fails as it starts on a machine.
	Fails(m *Machine, piece string) bool
}

// Machine is a machine with its worker, which follows the protocol by itself:
// it reports, keeps its lease, runs tasks and carries commands out.
type Machine struct {
	Host   wire.Machine
	Build  wire.MachineType
	Report time.Duration
	Lease  time.Duration
	Nodes  []string // names of the controllers
	// Beat carries a report to a controller and gives its answer.
	Beat func(ctx context.Context, m *Machine, node string, rep wire.Heartbeat) (status int, body []byte, err error)
	// Held tells for how long the network holds a direct command up that comes now.
	Held func() time.Duration
	// Again tells how long after it was executed a copy of a direct command
	// comes, as many times as it has values. Nil: never.
	Again  func() []time.Duration
	Ledger Ledger
	// Watch, if set, is told of what happens on the machine, in its order. It must not block.
	Watch func(e Event)

	mu      sync.Mutex // guards all below
	ctx     context.Context
	process int // counts the worker's processes
	session uint64
	tally   uint64
	token   uint64
	upAt    time.Time
	takenAt time.Time // when the cloud takes the machine, once it has said so
	told    time.Time // when the last answered report was sent, or the session began
	tasks   []*task
	hung    chan struct{} // open while the machine hangs
	hungAt  time.Time
	deaf    bool
	gone    bool
	flying  bool
	node    int
	next    time.Time // of the next report
	soonest time.Time // of a report on a change
	changed bool
	higher  time.Time // when a higher token last counted as a change
	poke    chan struct{}
}

type task struct {
	wire.TaskReport
	spec wire.Spec
	due  time.Time // of the image, then of the end
	told time.Time // when the first answered report of its end was sent
}

func (t *task) live() bool { return t.Status != wire.TaskEnded }

// Begin boots the machine, which is there until ctx ends.
func (m *Machine) Begin(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ctx, m.session, m.told, m.poke = ctx, 1, time.Now(), make(chan struct{}, 1)
	m.upAt = time.Now()
	m.next = time.Now()
}

// Run plays the machine until it is gone.
func (m *Machine) Run() {
	ctx := m.ctx
	for {
		m.mu.Lock()
		if m.gone || ctx.Err() != nil {
			m.mu.Unlock()
			return
		}
		wait, started, completed := m.advance()
		m.mu.Unlock()
		for _, p := range started {
			m.Ledger.Started(m, p)
		}
		for _, p := range completed {
			m.Ledger.Completed(p)
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-m.poke:
		}
		t.Stop()
	}
}

func (m *Machine) kick() {
	select {
	case m.poke <- struct{}{}:
	default:
	}
}

// advance does what is due and tells how long nothing more is, and what has
// started and is done. The caller holds mu.
func (m *Machine) advance() (wait time.Duration, started, completed []string) {
	now := time.Now()
	if m.hung != nil {
		return time.Hour, nil, nil
	}
	m.lapse(now)
	until := m.told.Add(m.Lease)
	for _, t := range m.tasks {
		if t.Status == wire.TaskFlushing && !now.Before(t.due) {
			t.Status, t.Cause, t.Checkpointed = wire.TaskEnded, wire.CauseStopped, true
			m.changed = true
			m.tell(EventEnded, t, wire.CauseStopped)
		}
		if t.Status == wire.TaskFetching && !now.Before(t.due) {
			t.Status = wire.TaskRunning
			if m.Ledger.Fails(m, t.Task) {
				t.Status, t.Cause = wire.TaskEnded, wire.CauseError
				m.changed = true
				m.tell(EventEnded, t, wire.CauseError)
				continue
			}
			t.due = now.Add(m.Ledger.RunTime(t.Task))
			m.changed = true
			m.tell(EventStarted, t, "")
			started = append(started, t.Task)
		}
		if t.Status == wire.TaskRunning && t.spec.Kind == wire.KindBatch && !now.Before(t.due) {
			t.Status, t.Cause = wire.TaskEnded, wire.CauseDone
			m.changed = true
			m.tell(EventEnded, t, wire.CauseDone)
			completed = append(completed, t.Task)
		}
		if t.live() && !(t.Status == wire.TaskRunning && t.spec.Kind != wire.KindBatch) && t.due.Before(until) {
			until = t.due
		}
	}
	if !m.flying {
		if !now.Before(m.next) || m.changed && !now.Before(m.soonest) {
			m.send(now)
		} else {
			if m.next.Before(until) {
				until = m.next
			}
			if m.changed && m.soonest.Before(until) {
				until = m.soonest
			}
		}
	}
	return max(time.Millisecond, until.Sub(now)), started, completed
}

// lapse begins a new session when the lease has run out. The caller holds mu.
func (m *Machine) lapse(now time.Time) {
	if end := m.told.Add(m.Lease); now.After(end) {
		m.session++
		m.drop(CauseLapsed)
		m.told = now
		m.changed = true
	}
}

// report builds the current report. The caller holds mu.
func (m *Machine) report() wire.Heartbeat {
	m.tally++
	h := m.Host
	b := wire.Heartbeat{Machine: h.UID, Endpoint: h.Endpoint, MachineType: h.Type, Zone: h.Zone, Preemptible: h.Preemptible,
		Incarnation: m.session, Sequence: m.tally, Token: m.token, Tasks: []wire.TaskReport{}}
	if !m.takenAt.IsZero() {
		left := max(0, time.Until(m.takenAt).Seconds())
		b.WarningS = &left
	}
	for _, t := range m.tasks {
		b.Tasks = append(b.Tasks, t.TaskReport)
	}
	return b
}

// answerSpan is how long a worker waits for the answer to a report.
const answerSpan = 4 * time.Second

// send makes a report and handles its answer. The caller holds mu.
func (m *Machine) send(now time.Time) {
	rep := m.report()
	m.flying, m.changed = true, false
	m.soonest = now.Add(500 * time.Millisecond)
	// Give or take a quarter, without a source of chance of its own.
	m.next = now.Add(m.Report * time.Duration(75+(m.tally*37)%50) / 100)
	node, process := m.Nodes[m.node], m.process
	go func() {
		ctx, cancel := context.WithTimeout(m.ctx, answerSpan)
		defer cancel()
		status, body, err := m.Beat(ctx, m, node, rep)
		if err != nil {
			<-ctx.Done() // lost: nobody answers
		}
		m.awake()
		m.mu.Lock()
		defer m.mu.Unlock()
		defer m.kick()
		if process != m.process {
			return // the process that asked has ended
		}
		m.flying = false
		if time.Since(now) > answerSpan {
			status = 0
		}
		m.lapse(time.Now())
		switch status {
		case http.StatusOK:
			var a wire.HeartbeatResponse
			if msgpack.Unmarshal(body, &a) != nil || rep.Incarnation != m.session || a.Token < m.token {
				return // it stays here while its lease runs out
			}
			if now.After(m.told) {
				m.told = now
			}
			m.see(a.Token)
			m.answered(rep, now)
			m.execute(a.Commands)
			return
		case http.StatusMisdirectedRequest:
			var r wire.Redirect
			_ = msgpack.Unmarshal(body, &r)
			if i := slices.Index(m.Nodes, r.Leader); i >= 0 && i != m.node {
				m.node = i
				m.next = time.Now().Add(time.Duration(m.tally*89%500) * time.Millisecond)
				return
			}
		}
		m.node = (m.node + 1) % len(m.Nodes)
		m.next = time.Now().Add(time.Second)
	}()
}

// see takes a token in. The caller holds mu.
func (m *Machine) see(token uint64) {
	if token > m.token {
		m.token = token
		if time.Since(m.higher) >= m.Lease/2 {
			m.higher, m.changed = time.Now(), true
		}
	}
}

// execute runs commands in order. The caller holds mu.
func (m *Machine) execute(orders []wire.Command) {
	for _, o := range orders {
		i := slices.IndexFunc(m.tasks, func(t *task) bool { return t.Task == o.Task && t.Attempt == o.Attempt })
		m.tellOrder(o, i >= 0 && m.tasks[i].live())
		switch {
		case o.Verb == wire.VerbRun && i < 0:
			m.start(o)
			m.changed = true
		case o.Verb == wire.VerbStop && i >= 0 && m.tasks[i].live():
			t, leeway := m.tasks[i], 0.0
			if o.GraceS != nil {
				leeway = *o.GraceS
			}
			switch {
			case t.Status == wire.TaskRunning && t.spec.CheckpointIntervalS > 0 && leeway >= t.spec.CheckpointGraceS:
				t.Status, t.due = wire.TaskFlushing, time.Now().Add(time.Duration(t.spec.CheckpointGraceS*float64(time.Second)))
			case t.Status == wire.TaskFlushing && leeway > 0:
				continue // it saves already
			default:
				t.Status, t.Cause = wire.TaskEnded, wire.CauseStopped
				m.tell(EventEnded, t, wire.CauseStopped)
			}
			m.changed = true
		case o.Verb == wire.VerbForget && i >= 0 && !m.tasks[i].live():
			m.tasks = slices.Delete(m.tasks, i, i+1)
			m.changed = true
		}
	}
}

func (m *Machine) start(o wire.Command) {
	uid, _, _ := strings.Cut(o.Task, "/")
	spec, known := m.Ledger.Job(uid)
	t := &task{TaskReport: wire.TaskReport{Task: o.Task, Attempt: o.Attempt, Status: wire.TaskEnded}, spec: spec}
	cores, ram, same := spec.Cores, spec.RAM, false
	for _, other := range m.tasks {
		if other.live() {
			cores, ram, same = cores+other.spec.Cores, ram+other.spec.RAM, same || other.Task == o.Task
		}
	}
	switch {
	case !known:
		t.Cause = wire.CauseNoSuch
	case same:
		t.Cause = wire.CauseInUse
	case cores > m.Build.Cores || ram > m.Build.RAM:
		t.Cause = wire.CauseFull
	default:
		t.Status, t.due = wire.TaskFetching, time.Now().Add(300*time.Millisecond)
		m.Ledger.Accepted(m, o.Task)
	}
	m.tasks = append(m.tasks, t)
}

// Live lists the tasks that are on the machine, and whose image is there.
func (m *Machine) Live() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A machine that hangs executes nothing, and from the end of its lease on
	// it can't: it drops its tasks before all else.
	if m.gone || time.Now().After(m.told.Add(m.Lease)) {
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

// Room tells whether a task of the job would find room now.
func (m *Machine) Room(spec *wire.Spec) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	cores, ram := spec.Cores, spec.RAM
	for _, t := range m.tasks {
		if t.live() {
			cores, ram = cores+t.spec.Cores, ram+t.spec.RAM
		}
	}
	return !m.gone && m.ctx != nil && cores <= m.Build.Cores && ram <= m.Build.RAM
}

// Restart ends the worker's session at once, with all its tasks: the machine was
// started anew, and its worker goes on with the next session, as the protocol
// wants the newer of two messages to have the larger numbers.
func (m *Machine) Restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone || m.ctx == nil {
		return
	}
	m.process++
	m.drop(CauseRestarted)
	m.session, m.told = m.session+1, time.Now()
	m.flying, m.changed = false, false
	m.next, m.soonest, m.higher = time.Now(), time.Time{}, time.Time{}
	m.kick()
}

// Warn gives notice that the cloud takes the machine.
func (m *Machine) Warn(in time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone || m.ctx == nil {
		return
	}
	m.takenAt, m.changed = time.Now().Add(in), true
	m.kick()
}

// Hang stops the machine, or lets it go on.
func (m *Machine) Hang(yes bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case yes && m.hung == nil:
		m.hung, m.hungAt = make(chan struct{}), time.Now()
	case !yes && m.hung != nil:
		close(m.hung)
		m.hung = nil
		m.lapse(time.Now())
		for _, t := range m.tasks {
			t.due = t.due.Add(time.Since(m.hungAt))
		}
		m.kick()
	}
}

// awake waits until the machine does not hang.
func (m *Machine) awake() {
	for {
		m.mu.Lock()
		ch, ctx := m.hung, m.ctx
		m.mu.Unlock()
		if ch == nil {
			return
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return
		}
	}
}

// Deafen lets nothing reach the machine, neither answers nor commands.
func (m *Machine) Deafen(yes bool) { m.mu.Lock(); defer m.mu.Unlock(); m.deaf = yes }

// Deaf tells whether nothing reaches the machine.
func (m *Machine) Deaf() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.deaf }

// Go takes the machine away, with everything on it.
func (m *Machine) Go() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gone = true
	m.drop(CauseGone)
	if m.hung != nil {
		close(m.hung)
		m.hung = nil
	}
	if m.poke != nil {
		m.kick()
	}
}

// ServeHTTP is the worker's /do and /show. Commands that were held up are
// executed even when the sender has given up.
func (m *Machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if m.Deaf() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	type answer struct {
		status int
		body   any
	}
	done := make(chan answer, 1)
	go func() {
		if r.URL.Path == wire.PathCommand {
			select {
			case <-time.After(m.Held()):
			case <-m.ctx.Done():
			}
		}
		m.awake()
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.gone || m.ctx.Err() != nil {
			return
		}
		m.lapse(time.Now())
		if r.URL.Path == wire.PathReport {
			done <- answer{http.StatusOK, m.report()}
			return
		}
		var d wire.CommandRequest
		if err := msgpack.Unmarshal(body, &d); err != nil {
			done <- answer{http.StatusBadRequest, wire.Error{Error: err.Error()}}
			return
		}
		status := http.StatusConflict
		if m.direct(d) {
			status = http.StatusOK
			if m.Again != nil {
				for _, after := range m.Again() {
					time.AfterFunc(after, func() {
						m.awake()
						m.mu.Lock()
						defer m.mu.Unlock()
						if !m.gone && m.ctx.Err() == nil {
							m.lapse(time.Now())
							m.direct(d)
						}
					})
				}
			}
		}
		done <- answer{status, m.report()}
	}()
	select {
	case a := <-done:
		reply(w, a.status, a.body)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// direct executes a direct command, if token and session match. The caller holds mu.
func (m *Machine) direct(d wire.CommandRequest) bool {
	if d.Token < m.token || d.Incarnation != m.session {
		return false
	}
	m.see(d.Token)
	m.execute(d.Commands)
	m.kick()
	return true
}

// Fleet is a cloud whose machines boot by themselves.
type Fleet struct {
	Builds []wire.MachineType
	Most   int
	// Lag is how old a list of the machines is that is asked for now. Nil: not at all.
	Lag func() time.Duration
	// Rental tells what befalls a rental that comes now: it is refused, or its
	// answer takes a while, or is lost if that is longer than anybody waits. Nil: nothing.
	Rental func() (refused bool, late time.Duration)
	// Late tells how long after it came a rental or return is carried out that comes
	// now; nobody may wait for its answer by then. Nil: at once.
	Late func(path string) time.Duration
	// Asked is told of every request for machines, and who sent it. It may be nil.
	Asked func(who string, q wire.RentRequest)
	// Told is told of each rental and return.
	Told func(what string)
	// Boot brings a machine up; it is called when the machine is rented.
	Boot func(h wire.Machine, b wire.MachineType) *Machine

	mu    sync.Mutex // guards all below
	hires map[string][]string
	hosts []wire.Machine
	past  []listing // what the list was, oldest first
	all   map[string]*Machine
	named int
}

// listing is what the cloud's list was from a moment on.
type listing struct {
	from  time.Time
	hosts []wire.Machine
}

// changed notes that the machines have changed. The caller holds mu.
func (f *Fleet) changed() {
	f.past = append(f.past, listing{time.Now(), slices.Clone(f.hosts)})
}

// Take takes a spot machine away, with everything on it.
func (f *Fleet) Take(m *Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = slices.DeleteFunc(f.hosts, func(h wire.Machine) bool { return h.UID == m.Host.UID })
	f.changed()
	m.Go()
	f.Told("took " + m.Host.UID)
}

// list is what the list was a while ago. The caller holds mu.
func (f *Fleet) list() (at time.Time, hosts []wire.Machine) {
	at = time.Now()
	if f.Lag == nil {
		return at, f.hosts
	}
	at = at.Add(-f.Lag())
	for _, l := range f.past {
		if !l.from.After(at) {
			hosts = l.hosts
		}
	}
	return at, hosts
}

// Machines lists the machines that are rented, in the order of their names.
func (f *Fleet) Machines() []*Machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Machine
	for _, h := range f.hosts {
		out = append(out, f.all[h.UID])
	}
	return out
}

// ServeHTTP is the cloud's interface.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Method == http.MethodPost && f.Late != nil {
		if late := f.Late(r.URL.Path); late > 0 {
			type answer struct {
				status int
				body   any
			}
			done := make(chan answer, 1)
			time.AfterFunc(late, func() {
				status, ans := f.handle(r, body)
				done <- answer{status, ans}
			})
			select {
			case a := <-done:
				reply(w, a.status, a.body)
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
			return
		}
	}
	rental := r.Method == http.MethodPost && r.URL.Path != wire.PathReturn
	if rental && f.Rental != nil {
		refused, late := f.Rental()
		if refused {
			reply(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
			return
		}
		if late > 0 {
			status, ans := f.handle(r, body)
			select {
			case <-time.After(late):
				reply(w, status, ans)
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
			return
		}
	}
	status, ans := f.handle(r, body)
	reply(w, status, ans)
}

func (f *Fleet) handle(r *http.Request, body []byte) (int, any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case r.URL.Path == wire.PathCatalog:
		return http.StatusOK, wire.Catalog{MachineTypes: f.Builds}
	case r.URL.Path == wire.PathReturn:
		var q wire.MachineNames
		_ = msgpack.Unmarshal(body, &q)
		f.hosts = slices.DeleteFunc(f.hosts, func(h wire.Machine) bool {
			if !slices.Contains(q.Names, h.UID) {
				return false
			}
			f.all[h.UID].Go()
			f.Told("returned " + h.UID)
			return true
		})
		f.changed()
		return http.StatusOK, struct{}{}
	case r.Method == http.MethodGet:
		return http.StatusOK, f.page(r.URL.Query())
	}
	var q wire.RentRequest
	_ = msgpack.Unmarshal(body, &q)
	if f.Asked != nil {
		f.Asked(Caller(r), q)
	}
	names, known := f.hires[q.RequestID]
	if known {
		return http.StatusOK, wire.MachineNames{Names: names}
	}
	b := slices.IndexFunc(f.Builds, func(b wire.MachineType) bool { return b.SKU == q.MachineType })
	room := min(q.Count, f.Most-len(f.hosts))
	f.Told(fmt.Sprintf("asked for %+v, room for %d", q, room))
	if b < 0 || room <= 0 {
		return http.StatusServiceUnavailable, wire.Error{Error: "no capacity"}
	}
	if f.hires == nil {
		f.hires, f.all = map[string][]string{}, map[string]*Machine{}
	}
	for range room {
		f.named++
		name := fmt.Sprintf("n-%06d", f.named)
		h := wire.Machine{UID: name, Endpoint: name + ":9000", Type: q.MachineType, Zone: q.Zone, Preemptible: q.Preemptible, Status: wire.MachineBooting}
		f.hosts = append(f.hosts, h)
		f.all[name] = f.Boot(h, f.Builds[b])
		names = append(names, name)
	}
	f.hires[q.RequestID] = names
	f.changed()
	return http.StatusOK, wire.MachineNames{Names: names}
}

// page is one page of the list. The caller holds mu.
func (f *Fleet) page(q url.Values) (page wire.MachinePage) {
	most, _ := strconv.Atoi(q.Get("limit"))
	at, hosts := f.list()
	for _, h := range hosts {
		if h.UID <= q.Get("since") {
			continue
		}
		if len(page.Machines) == most {
			page.HasNext = true
			break
		}
		if m := f.all[h.UID]; m.upBy(at) {
			h.Status = wire.MachineRunning
		}
		page.Machines = append(page.Machines, h)
	}
	return page
}

func (m *Machine) upBy(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ctx != nil && !m.upAt.After(at)
}

// Up tells whether the machine has booted.
func (m *Machine) Up() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.ctx != nil }
