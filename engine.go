package cedardoor

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sort"
	"sync"

	"cedardoor/agent"
	"cedardoor/clock"
	"cedardoor/cloud"
	"cedardoor/config"
	"cedardoor/connlimit"
	"cedardoor/fleet"
	"cedardoor/lead"
	"cedardoor/metrics"
	"cedardoor/plan"
	"cedardoor/quota"
	"cedardoor/recovery"
	"cedardoor/store"
	"cedardoor/wire"
)

type taskState uint8

const (
	taskWaiting taskState = iota
	taskPlaced
	taskDone
	// taskUnreadable: the record of its attempts can't be decoded, so it may run somewhere.
	taskUnreadable
)

// task is one task as the leader sees it.
type task struct {
	state     taskState
	attempt   uint64
	booking   *fleet.Allocation // where it is, when placed
	target    *fleet.Allocation // where it goes once it has left, when it moves
	notBefore clock.Micros      // backing off until
	fails     int
	ran       bool
	listed    bool // among its job's waiting tasks
	// reservation counts for an unreadable task as long as it may run somewhere.
	reservation *quota.Reservation
}

// chunk is the durable record of some of a job's tasks.
type chunk struct {
	stamp  uint64
	seq    uint64 // raised by every change
	saved  uint64 // seq of what is durable
	ending []*fleet.Allocation
	// unreadable is how many of its tasks may run somewhere by a record that can't be
	// decoded: it is not written over before all of them are known.
	unreadable int
}

// job is an unfinished job, or one whose tasks are still being stopped.
type job struct {
	uid       string
	spec      wire.Spec
	priority  wire.Priority
	stamp     uint64
	at        int64 // wall clock of its acceptance, in microseconds
	seen      clock.Micros
	order     int64
	cancelled bool
	calledOff bool // said to be cancelled, and not yet looked up: its tasks stop, none is started
	tasks     []task
	waiting   []int
	done      int
	chunks    []chunk
	result    *fleet.Allocation // of its only task, until that is durable
	shared    *sharedRecord     // the record of its only task, when it has one, instead
	started   bool
	failures  failureHistory // what its tasks' failures tell of it
	ran       runStat
	counted   bool         // its work is among the arrivals
	running   int          // tasks now running
	placed    clock.Micros // when one of its tasks was placed last
	spared    bool         // waited long before any task began: the first ones are not preempted
	pj        *plan.Job
	// Counted from its submission: when it is due and by when jobs of its class
	// should be done, zero where nothing is said, and by when their tasks should
	// have begun, noSlack where nothing is said.
	due, finish, begin clock.Micros
}

// runStat is what is known of how long a job's tasks run.
type runStat struct {
	n   int
	sum clock.Micros
}

func (r runStat) mean() clock.Micros {
	if r.n == 0 {
		return 0
	}
	return r.sum / clock.Micros(r.n)
}

func (j *job) standing() bool { return j.spec.Kind == wire.KindService }

// unhurried tells whether the job is work that runs when there is room.
func (j *job) unhurried() bool { return j.priority == wire.PriorityLow && !j.standing() && !j.group() }

// group tells whether the job's tasks run only all together.
func (j *job) group() bool { return j.spec.Kind == wire.KindGang }

func (j *job) touch(index int) *chunk {
	if j.shared != nil {
		j.shared.seq++
		return &j.shared.chunk
	}
	c := &j.chunks[index/store.TasksPerChunk]
	c.seq++
	return c
}

// term is everything that a leader knows, from its election to its end.
// Nothing of it outlives the term: a new leader builds its own from the
// records and the workers' reports.
type term struct {
	cfg     *config.Platform
	op      *config.Operator
	ck      *clock.Clock
	st      *store.Client
	el      *lead.Elector
	workers *agent.Client
	cl      *cloud.Client
	log     *slog.Logger
	met     *metrics.Metrics
	r       lead.Term

	budget connlimit.Budget

	kick chan struct{}

	mu             sync.Mutex // guards everything below
	loaded         bool
	fl             *fleet.Fleet
	quota          *quota.Ledger // the only count of what teams use
	jobs           map[string]*job
	dirty          map[string]bool         // jobs with something to record now
	lazy           map[string]clock.Micros // jobs with results to record, and by when
	queue          map[*job]bool           // jobs with tasks that wait
	shared         *sharedRecord           // takes the single tasks of the next jobs
	sharedCount    int
	asked          map[string]clock.Micros     // machines rented by this term and not up yet, by when they were asked for
	boots          cloud.BootTimes             // how long machines took lately
	paced          float64                     // tasks of the lowest priority that may be started
	pacedAt        clock.Micros                // when that was counted
	untidy         map[*sharedRecord]bool      // hold rows of jobs that are over
	careful        int                         // transactions that still hold one change only, since one was refused
	finalMoves     []*finalMove                // done, and still to move to their final place
	pic            *plan.Snapshot              // kept up to date from what was touched
	touched        map[*fleet.Machine]bool     // machines that the picture is behind on
	toTell         map[*fleet.Machine]bool     // machines with orders that should not wait for a heartbeat
	strikes        map[*fleet.Machine]*strikes // failures since anything was done there, by job
	unheard        map[*fleet.Machine]bool     // recorded by a predecessor, and silent since
	holds          map[string]string           // machines whose room is kept for a job
	fresh          bool                        // jobs came that no plan has seen
	hushAt         clock.Micros
	probedAt       clock.Micros
	ctx            context.Context // the term's, for questions that a report raises; nil before it runs
	triedAt        clock.Micros    // the last plan
	entitled       clock.Micros
	probes         int
	replicas       int                     // that may be anywhere
	probed         map[string]clock.Micros // machines asked because of an old report, and when
	deaf           int                     // machines banned as deaf
	proofs         []proof                 // machines that have reported but are not trusted yet, oldest first
	mute           map[*fleet.Machine]bool // silent machines that answered no question
	catalog        wire.Catalog
	catStamp       uint64
	busy           map[string]bool // machines with a /do in flight
	seq            uint64
	repairAt       clock.Micros
	raisedAt       clock.Micros
	awake          clock.Micros // since when this process has not stood still
	stallCheckedAt clock.Micros // when that was last looked at
	// repeatsAt is when repeats of direct commands were last looked for.
	repeatsAt clock.Micros
	arrivals  cloud.Arrivals // loaned work that arrived within the window
	rate      cloud.Load
	rateAt    clock.Micros
	seeded    cloud.Load // the predecessor's rate
	classes   map[string]runStat
	peaks     cloud.Peaks
	idleFrom  clock.Micros            // since when there has been no work at all
	gone      map[string]clock.Micros // returned: whatever still speaks of them is old
	goneList  []string                // the same, oldest first
	pending   map[string]*hire
	hireSeq   int
	refused   map[string]clock.Micros
	heard     clock.Micros // the last heartbeat of any worker
	// What is known of the changes of jobs; see changes.go.
	known     uint64                // the epoch up to which all are, as of a time when nobody else could lead
	caught    uint64                // the spell that they were last read after
	stood     uint64                // times at which this process had stood still
	readAt    clock.Micros          // when the last read of changes that was answered began
	heldFrom  clock.Micros          // since when the lease has stood
	calledOff map[*job]clock.Micros // said to be cancelled, and when that was heard
	recovering
	unwatch context.CancelFunc // ends the watch that waits, nil when none does
	blocked clock.Micros       // when a lack of room was last logged
	capped  clock.Micros       // when the limit of machines was last logged
}

func newTerm(s *Service, r lead.Term) *term {
	w := s.cfg.Facts.Workers
	ledger := s.newLedger(config.TeamLimits(s.cfg.Facts.Teams))
	g := &term{
		quota: ledger,
		cfg:   s.cfg, op: s.op, ck: s.ck, st: s.st, el: s.el, workers: s.workers, cl: s.cl, log: s.log, met: s.met, r: r, budget: s.budget,
		kick: make(chan struct{}, 1), awake: r.Since,
		fl:   fleet.New(clock.FromSeconds(w.LeaseS), clock.FromSeconds(w.ReportS), r.Token, ledger),
		jobs: map[string]*job{}, dirty: map[string]bool{}, busy: map[string]bool{},
		pending: map[string]*hire{}, refused: map[string]clock.Micros{},
		classes: map[string]runStat{}, gone: map[string]clock.Micros{},
		lazy: map[string]clock.Micros{}, queue: map[*job]bool{}, touched: map[*fleet.Machine]bool{}, toTell: map[*fleet.Machine]bool{},
		strikes: map[*fleet.Machine]*strikes{}, untidy: map[*sharedRecord]bool{}, asked: map[string]clock.Micros{},
		calledOff: map[*job]clock.Micros{}, recovering: newRecovering(r.Since),
		unheard: map[*fleet.Machine]bool{}, holds: map[string]string{}, mute: map[*fleet.Machine]bool{}, probed: map[string]clock.Micros{},
	}
	g.pic = &plan.Snapshot{Quota: ledger, MaxMoves: s.op.Repair.Restarts, SampleSize: s.op.Plan.Sample, Preempt: true, StarvedTurns: plan.MaxStarvedTurns}
	g.fl.OnMachineChange = func(m *fleet.Machine) { g.touched[m] = true }
	g.fl.OnCapacityChange = g.room
	g.fl.DecideOrphan = g.decideUnbooked
	g.readRecords, g.alone = s.readRecords, s.alone
	return g
}

// room keeps the counts that the rules look at: of a job's tasks by zone and
// machine. The caller holds mu.
func (g *term) room(b *fleet.Allocation, zone string, sign int) {
	j, ok := b.Owner.(*job)
	if !ok {
		return
	}
	j.pj.Count(zone, b.Machine.Name, sign)
	if j.standing() {
		g.replicas += sign
	}
}

// wait puts a task among those that wait. The caller holds mu.
func (g *term) wait(j *job, index int) {
	// It may stand there still from before an attempt: twice, it would be placed twice.
	if !j.tasks[index].listed {
		j.tasks[index].listed = true
		j.waiting = append(j.waiting, index)
	}
	g.queue[j] = true
}

// resultsWithin is how long results may wait to be recorded together: the
// state service takes so many changes a second, and placements come first.
func (g *term) resultsWithin() clock.Micros {
	return min(3*clock.Second, clock.FromSeconds(60/g.cfg.Facts.State.WriteRPS))
}

// later marks results to be recorded with others. The caller holds mu.
func (g *term) later(j *job, now clock.Micros) {
	if _, due := g.lazy[j.uid]; !due && !g.dirty[j.uid] {
		g.lazy[j.uid] = now + g.resultsWithin()
	}
}

// wake asks the loop for a pass soon.
func (g *term) wake() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// run leads until ctx ends.
func (g *term) run(ctx context.Context) error {
	g.mu.Lock()
	g.ctx = ctx
	g.mu.Unlock()
	epoch, err := g.load(ctx)
	if err != nil {
		return fmt.Errorf("load records: %w", err)
	}
	var wg sync.WaitGroup
	wg.Go(func() { g.watchJobs(ctx, epoch) })
	wg.Go(func() { g.sizeLoop(ctx) })
	wg.Go(func() { g.stallLoop(ctx) })
	wg.Go(func() { g.lookUpLoop(ctx) })
	g.loop(ctx)
	wg.Wait()
	return nil
}

func (g *term) booking(j *job, index int, attempt uint64) *fleet.Allocation {
	s := &j.spec
	return &fleet.Allocation{Owner: j, Task: fleet.TaskID{Job: j.uid, Index: index}, Attempt: attempt, Team: s.Team, Cores: s.Cores, Accelerators: s.Accelerators, RAM: s.RAM,
		Image: s.Image, Priority: j.priority, Preemptible: s.Preemptible, CheckpointGrace: s.CheckpointGraceS, Checkpoints: s.CheckpointIntervalS > 0, HeartbeatOnly: j.unhurried()}
}

// addJob takes an accepted job in. The caller holds mu.
func (g *term) addJob(key string, value []byte, stamp uint64, now clock.Micros) error {
	record, err := recovery.DecodeJob(wire.Row{Key: key, Value: value, ModRevision: stamp})
	if err != nil {
		return err
	}
	if record.Final == nil {
		g.addRecord(record, stamp, now)
	}
	return nil
}

// addRecord takes an accepted job's record in. The caller holds mu.
func (g *term) addRecord(record store.JobRecord, stamp uint64, now clock.Micros) {
	s := record.Spec
	if g.restored(s.UID) {
		return
	}
	if j := g.jobs[s.UID]; j != nil {
		j.stamp = max(j.stamp, stamp)
		return
	}
	delete(g.lookups, s.UID)
	priority, _ := wire.ParsePriority(s.Priority)
	j := &job{uid: s.UID, spec: s, priority: priority, stamp: stamp, at: record.AcceptedUS, seen: now, order: record.AcceptedUS,
		tasks: make([]task, s.Tasks), waiting: make([]int, s.Tasks),
		chunks: make([]chunk, (s.Tasks+store.TasksPerChunk-1)/store.TasksPerChunk)}
	for i := range j.waiting {
		j.waiting[i] = i
		j.tasks[i].listed = true
	}
	j.pj = g.planJob(j)
	g.jobs[s.UID] = j
	g.queue[j] = true
	g.fresh = true
}

// planJob is the job as the planner sees it; its counts follow the bookings.
func (g *term) planJob(j *job) *plan.Job {
	s := &j.spec
	j.begin = noSlack
	if s.DeadlineS != nil {
		j.due = clock.FromSeconds(*s.DeadlineS)
	}
	// Starts within a moment are a matter of free room, not of order.
	const moment = 3
	for _, o := range g.cfg.Facts.Objectives {
		if o.Class != s.Class || j.standing() {
			continue
		}
		switch at := clock.FromSeconds(o.WithinS); {
		case o.Kind == "finished" && (j.finish == 0 || at < j.finish):
			j.finish = at
		case o.Kind == "wait" && o.WithinS > moment*g.cfg.Facts.Workers.ReportS:
			j.begin = min(j.begin, at)
		}
	}
	within := 0.0
	for _, o := range g.cfg.Facts.Objectives {
		if o.Kind == "wait" && o.Class == s.Class && (within == 0 || o.WithinS < within) {
			within = o.WithinS
		}
	}
	return &plan.Job{ImageGB: s.ImageGB, StartWithin: clock.FromSeconds(within), UID: j.uid, Team: s.Team, Priority: j.priority, Service: j.standing(), Tasks: s.Tasks,
		Cores: s.Cores, Accelerators: s.Accelerators, RAM: s.RAM, MachineTypes: s.MachineTypes, Zone: s.Zone, SameZone: s.SameZone,
		Spread: s.Spread, Preemptible: s.Preemptible, Image: s.Image, Order: j.order, Gang: j.group(), Slack: noSlack,
		Zones: map[string]int{}, Machines: map[string]int{}}
}

// noSlack is the slack of a job without a deadline.
const noSlack = 1 << 60

func (g *term) sleep(ctx context.Context, d clock.Micros) {
	select {
	case <-ctx.Done():
	case <-g.ck.After(d.Duration()):
	}
}

// cancel stops all tasks of a job. The caller holds mu.
func (g *term) cancel(j *job, now clock.Micros) {
	if j.cancelled {
		return
	}
	j.cancelled = true
	j.waiting = nil
	delete(g.queue, j)
	g.acquit(j)
	if j.result != nil {
		j.result.ResultDurable = true // nobody has any use for it any more
	}
	for i := range j.tasks {
		pc := &j.tasks[i]
		if pc.target != nil {
			g.fl.Remove(pc.target, now)
			pc.target = nil
		}
		if pc.booking == nil {
			continue
		}
		if g.fl.Stop(pc.booking, 0, now) {
			unplace(pc)
		} else {
			g.toTell[pc.booking.Machine] = true
		}
	}
	g.dirty[j.uid] = true
	g.log.Debug("job cancelled", "job", j.uid)
}

// unplace notes that a task's attempt is over. The caller holds mu.
func unplace(pc *task) {
	pc.booking = nil
	pc.state = taskWaiting
}

// news takes in what the fleet has learned. The caller holds mu.
func (g *term) news(list []fleet.Event, now clock.Micros) {
	for _, n := range list {
		b := n.Allocation
		if n.Gone && b.Adopted {
			g.progress.Settle(b.Machine.Name, recovery.MachineGone, now)
		}
		j := g.jobs[b.Task.Job]
		if j == nil || b.Task.Index >= len(j.tasks) {
			b.ResultDurable = true
			continue
		}
		pc := &j.tasks[b.Task.Index]
		if pc.target == b {
			pc.target = nil
			b.ResultDurable = true
			continue
		}
		if pc.booking != b {
			b.ResultDurable = true
			continue
		}
		if n.Started {
			pc.ran = true
			j.started = true
			j.running++
			g.met.Start(now - j.seen)
			g.log.Debug("task started", "task", b.Task.String(), "class", j.spec.Class, "host", b.Machine.Name, "after", (now - j.seen).Seconds(),
				"placed", (b.ReservedAt - j.seen).Seconds(), "fetch", (now - b.ReservedAt).Seconds())
			continue
		}
		g.ended(j, pc, b, n.Gone, now)
	}
}

// ended takes in the end of a task's attempt. The caller holds mu.
func (g *term) ended(j *job, pc *task, b *fleet.Allocation, gone bool, now clock.Micros) {
	unplace(pc)
	if b.RunningSince > 0 {
		j.running--
	}
	c := j.touch(b.Task.Index)
	if j.shared != nil && g.shared != j.shared && j.shared.stamp > 0 {
		g.untidy[j.shared] = true
	}
	if j.cancelled {
		g.dirty[j.uid] = true
		b.ResultDurable = true
		return
	}
	g.later(j, now)
	if j.shared != nil && b.Cause == wire.CauseDone && !gone {
		// Its row in the shared record does not hold the result: the end of the job does.
		j.result = b
	} else {
		c.ending = append(c.ending, b)
	}
	m := b.Machine
	cause := b.Cause
	if gone {
		cause = "gone"
	}
	if cause == wire.CauseDone && !j.standing() {
		if pc.target != nil {
			g.fl.Remove(pc.target, now)
			pc.target = nil
		}
		pc.state = taskDone
		j.done++
		if j.done == len(j.tasks) {
			g.dirty[j.uid] = true
		}
		if g.strikes[m] != nil {
			delete(g.strikes, m)
			g.touched[m] = true
		}
		if j.failures.doubtful() {
			g.works(j, now)
		}
		j.failures.good = true
		// The start of an adopted attempt was not seen: it would look short, and
		// every other machine slow beside it.
		if b.RunningSince > 0 && !b.Adopted {
			g.observe(j, m, now-b.RunningSince)
		}
		return
	}
	g.log.Debug("task ended", "task", b.Task.String(), "attempt", b.Attempt, "cause", cause, "host", m.Name, "halt", b.Stopping)
	switch cause {
	case wire.CauseError:
		ran := clock.Micros(0)
		if b.RunningSince > 0 {
			ran = now - b.RunningSince
		}
		g.failed(j, pc, m, ran, now)
	case wire.CauseFull, wire.CauseInUse, wire.CauseAlone:
		pc.notBefore = now + clock.Second
	case wire.CauseNoSuch:
		pc.fails++
		pc.notBefore = now + backoff(pc.fails)
	}
	if t := pc.target; t != nil {
		// The source's stop is confirmed: the room booked at the target is taken up.
		pc.target = nil
		if !t.Ended && t.Incarnation == t.Machine.Incarnation && t.Machine.QuarantineReason == "" {
			pc.state, pc.booking, pc.attempt = taskPlaced, t, t.Attempt
			g.dirty[j.uid] = true
			return
		}
		g.fl.Remove(t, now)
	}
	g.wait(j, b.Task.Index)
	if j.group() {
		// Without this task the others cannot go on: they stop now, and the group
		// is started again whole.
		for i := range j.tasks {
			if o := j.tasks[i].booking; o != nil && !o.Stopping {
				g.halt(j, o, now)
			}
		}
	}
}

// backoff is how long to wait after the n-th failure in a row.
func backoff(n int) clock.Micros {
	return min(60*clock.Second, clock.Second<<min(n, 6))
}

// observe compares a task's run time with its job's others, to find slow machines.
func (g *term) observe(j *job, m *fleet.Machine, took clock.Micros) {
	if j.ran.n >= 3 && j.ran.mean() > 0 {
		ratio := float64(took) / float64(j.ran.mean())
		m.Slowness += (ratio - m.Slowness) / float64(min(m.SlownessSamples+2, 6))
		m.SlownessSamples++
		g.touched[m] = true
	}
	j.ran.n++
	j.ran.sum += took
	// The last few dozen count: classes change over a day.
	st := g.classes[j.spec.Class]
	if st.n >= 100 {
		st = runStat{n: 50, sum: 50 * st.mean()}
	}
	st.n++
	st.sum += took
	g.classes[j.spec.Class] = st
}

// Heartbeat takes in a worker's report and says what to answer. A report without
// news costs a look-up and the comparison of its task list with the last one.
func (g *term) Heartbeat(rep *wire.Heartbeat) (wire.HeartbeatResponse, bool) {
	now := g.ck.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard = now
	token, may := g.el.MayAnswerHeartbeats()
	if !may || !g.loaded {
		return wire.HeartbeatResponse{}, false
	}
	ans := wire.HeartbeatResponse{Token: token, Commands: []wire.Command{}}
	if _, gone := g.gone[rep.Machine]; gone {
		// The cloud has said that this machine and all on it are gone, and names
		// are not given twice: a copy that was under way all this time.
		return ans, true
	}
	news, fresh := g.fl.Report(now, rep, true)
	m := g.fl.Machine(rep.Machine)
	if !fresh {
		// A late copy, or a new process that counts from the start again: its lease
		// is counted as renewed, and the worker itself is asked which it is.
		g.fl.HeartbeatAnswered(m, now, token)
		g.askOld(m, now)
		return ans, true
	}
	if m.Suspect {
		g.ask(m)
	} else if !m.Reported {
		g.proofs = append(g.proofs, proof{m, now})
	}
	if m.Reported {
		delete(g.unheard, m)
		g.progress.Settle(m.Name, recovery.MachineReconciled, now)
		g.cameUp(m, now)
	}
	g.news(news, now)
	g.adoptShown(m, now)
	g.fl.HeartbeatAnswered(m, now, token)
	if len(news) > 0 {
		g.wake()
	}
	scope := g.scope()
	if scope == fleet.AllCommands && g.busy[m.Name] {
		scope = fleet.NoRuns
	}
	ans.Commands = g.fl.Commands(m, now, true, scope)
	return ans, true
}

// counts tells how many tasks of jobs are done and running.
func (g *term) counts(uids []string) map[string][2]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string][2]int, len(uids))
	for _, uid := range uids {
		if j := g.jobs[uid]; j != nil && g.loaded {
			out[uid] = [2]int{j.done, j.running}
		}
	}
	return out
}

// sortedJobs lists the jobs in a fixed order. The caller holds mu.
func (g *term) sortedJobs() []*job {
	out := make([]*job, 0, len(g.jobs))
	for _, j := range g.jobs {
		out = append(out, j)
	}
	sort.Slice(out, func(i, k int) bool {
		if out[i].order != out[k].order {
			return out[i].order < out[k].order
		}
		return out[i].uid < out[k].uid
	})
	return out
}

// prune drops waiting entries that no longer wait.
func (j *job) prune() {
	j.waiting = slices.DeleteFunc(j.waiting, func(i int) bool {
		j.tasks[i].listed = j.tasks[i].state == taskWaiting
		return !j.tasks[i].listed
	})
}
