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

// Task is one task as the leader sees it.
type Task struct {
	state      taskState
	attempt    uint64
	allocation *fleet.Allocation // where it is, when placed
	moveTarget *fleet.Allocation // where it goes once it has left, when it moves
	notBefore  clock.Micros      // backing off until
	failures   int
	hasRun     bool
	queued     bool // among its job's waiting tasks
	// reservation counts for an unreadable task as long as it may run somewhere.
	reservation *quota.Reservation
}

// Chunk is the durable record of some of a job's tasks.
type Chunk struct {
	modRevision   uint64
	version       uint64 // raised by every change
	savedVersion  uint64 // seq of what is durable
	endedAttempts []*fleet.Allocation
	// unreadable is how many of its tasks may run somewhere by a record that can't be
	// decoded: it is not written over before all of them are known.
	unreadable int
}

// Job is an unfinished job, or one whose tasks are still being stopped.
type Job struct {
	uid                 string
	spec                wire.Spec
	priority            wire.Priority
	modRevision         uint64
	acceptedAt          int64 // wall clock of its acceptance, in microseconds
	seenAt              clock.Micros
	order               int64
	cancelled           bool
	cancellationPending bool // said to be cancelled, and not yet looked up: its tasks stop, none is started
	tasks               []Task
	waiting             []int
	done                int
	chunks              []Chunk
	pendingResult       *fleet.Allocation // of its only task, until that is durable
	shared              *SharedRecord     // the record of its only task, when it has one, instead
	started             bool
	failures            failureHistory // what its tasks' failures tell of it
	runTimes            runTimeStat
	arrivalCounted      bool         // its work is among the arrivals
	running             int          // tasks now running
	lastPlacedAt        clock.Micros // when one of its tasks was placed last
	preemptionExempt    bool         // waited long before any task began: the first ones are not preempted
	planJob             *plan.Job
	// Counted from its submission: when it is due and by when jobs of its class
	// should be done, zero where nothing is said, and by when their tasks should
	// have begun, noSlack where nothing is said.
	deadline, finishWithin, startWithin clock.Micros
}

// runTimeStat is what is known of how long a job's tasks run.
type runTimeStat struct {
	count int
	total clock.Micros
}

func (r runTimeStat) mean() clock.Micros {
	if r.count == 0 {
		return 0
	}
	return r.total / clock.Micros(r.count)
}

func (j *Job) isService() bool { return j.spec.Kind == wire.KindService }

// bestEffort tells whether the job is work that runs when there is room.
func (j *Job) bestEffort() bool {
	return j.priority == wire.PriorityLow && !j.isService() && !j.isGang()
}

// isGang tells whether the job's tasks run only all together.
func (j *Job) isGang() bool { return j.spec.Kind == wire.KindGang }

func (j *Job) markChanged(index int) *Chunk {
	if j.shared != nil {
		j.shared.version++
		return &j.shared.Chunk
	}
	c := &j.chunks[index/store.TasksPerChunk]
	c.version++
	return c
}

// leader is everything that a leader knows, from its election to its end.
// Nothing of it outlives the term: a new leader builds its own from the
// records and the workers' reports.
type leader struct {
	cfg      *config.Platform
	operator *config.Operator
	clock    *clock.Clock
	store    *store.Client
	elector  *lead.Elector
	workers  *agent.Client
	cloud    *cloud.Client
	log      *slog.Logger
	metrics  *metrics.Metrics
	term     lead.Term

	budget connlimit.Budget

	wakeups chan struct{}

	mu                  sync.Mutex // guards everything below
	loaded              bool
	fleet               *fleet.Fleet
	quota               *quota.Ledger // the only count of what teams use
	jobs                map[string]*Job
	dirty               map[string]bool         // jobs with something to record now
	pendingResults      map[string]clock.Micros // jobs with results to record, and by when
	queue               map[*Job]bool           // jobs with tasks that wait
	openShared          *SharedRecord           // takes the single tasks of the next jobs
	sharedCount         int
	rentedAt            map[string]clock.Micros           // machines rented by this term and not up yet, by when they were asked for
	bootTimes           cloud.BootTimes                   // how long machines took lately
	bestEffortTokens    float64                           // tasks of the lowest priority that may be started
	bestEffortAt        clock.Micros                      // when that was counted
	staleShared         map[*SharedRecord]bool            // hold rows of jobs that are over
	smallTransactions   int                               // transactions that still hold one change only, since one was refused
	finalMoves          []*finalMove                      // done, and still to move to their final place
	snapshot            *plan.Snapshot                    // kept up to date from what was touched
	changedMachines     map[*fleet.Machine]bool           // machines that the picture is behind on
	urgentMachines      map[*fleet.Machine]bool           // machines with orders that should not wait for a heartbeat
	machineFailures     map[*fleet.Machine]*failureCounts // failures since anything was done there, by job
	awaitedMachines     map[*fleet.Machine]bool           // recorded by a predecessor, and silent since
	reservedRoom        map[string]string                 // machines whose room is kept for a job
	jobsChanged         bool                              // jobs came that no plan has seen
	silenceCheckedAt    clock.Micros
	probesStartedAt     clock.Micros
	ctx                 context.Context // the term's, for questions that a report raises; nil before it runs
	plannedAt           clock.Micros    // the last plan
	entitledAt          clock.Micros
	openProbes          int
	replicas            int                     // that may be anywhere
	staleReportProbedAt map[string]clock.Micros // machines asked because of an old report, and when
	notAcknowledging    int                     // machines banned as deaf
	unconfirmed         []unconfirmedMachine    // machines that have reported but are not trusted yet, oldest first
	unreachable         map[*fleet.Machine]bool // silent machines that answered no question
	catalog             wire.Catalog
	catalogRevision     uint64
	inFlight            map[string]bool // machines with a /do in flight
	writeSequence       uint64
	repairAt            clock.Micros
	tokenRaisedAt       clock.Micros
	runningSince        clock.Micros // since when this process has not stood still
	pauseCheckedAt      clock.Micros // when that was last looked at
	// fencingCheckedAt is when repeats of direct commands were last looked for.
	fencingCheckedAt clock.Micros
	arrivals         cloud.Arrivals // loaned work that arrived within the window
	arrivalRate      cloud.Load
	demandSavedAt    clock.Micros
	predecessorRate  cloud.Load // the predecessor's rate
	classRuns        map[string]runTimeStat
	peaks            cloud.Peaks
	idleSince        clock.Micros            // since when there has been no work at all
	returnedMachines map[string]clock.Micros // returned: whatever still speaks of them is old
	returnedOrder    []string                // the same, oldest first
	pendingRentals   map[string]*rental
	rentalSequence   int
	capacityRefused  map[string]clock.Micros
	lastHeartbeat    clock.Micros // the last heartbeat of any worker
	// What is known of the changes of jobs; see changes.go.
	knownRevision       uint64                // the epoch up to which all are, as of a time when nobody else could lead
	syncedInterruption  uint64                // the spell that they were last read after
	processPauses       uint64                // times at which this process had stood still
	changesReadAt       clock.Micros          // when the last read of changes that was answered began
	leaseHeldSince      clock.Micros          // since when the lease has stood
	cancellationPending map[*Job]clock.Micros // said to be cancelled, and when that was heard
	recoveryState
	stopWatch      context.CancelFunc // ends the watch that waits, nil when none does
	noRoomLoggedAt clock.Micros       // when a lack of room was last logged
	limitLoggedAt  clock.Micros       // when the limit of machines was last logged
}

func newLeader(s *Service, r lead.Term) *leader {
	w := s.cfg.Facts.Workers
	ledger := s.newLedger(config.TeamLimits(s.cfg.Facts.Teams))
	g := &leader{
		quota: ledger,
		cfg:   s.cfg, operator: s.operator, clock: s.clock, store: s.store, elector: s.elector, workers: s.workers, cloud: s.cloud, log: s.log, metrics: s.metrics, term: r, budget: s.budget,
		wakeups: make(chan struct{}, 1), runningSince: r.Since,
		fleet: fleet.New(clock.FromSeconds(w.LeaseS), clock.FromSeconds(w.ReportS), r.Token, ledger),
		jobs:  map[string]*Job{}, dirty: map[string]bool{}, inFlight: map[string]bool{},
		pendingRentals: map[string]*rental{}, capacityRefused: map[string]clock.Micros{},
		classRuns: map[string]runTimeStat{}, returnedMachines: map[string]clock.Micros{},
		pendingResults: map[string]clock.Micros{}, queue: map[*Job]bool{}, changedMachines: map[*fleet.Machine]bool{}, urgentMachines: map[*fleet.Machine]bool{},
		machineFailures: map[*fleet.Machine]*failureCounts{}, staleShared: map[*SharedRecord]bool{}, rentedAt: map[string]clock.Micros{},
		cancellationPending: map[*Job]clock.Micros{}, recoveryState: newRecoveryState(r.Since),
		awaitedMachines: map[*fleet.Machine]bool{}, reservedRoom: map[string]string{}, unreachable: map[*fleet.Machine]bool{}, staleReportProbedAt: map[string]clock.Micros{},
	}
	g.snapshot = &plan.Snapshot{Quota: ledger, MaxMoves: s.operator.Repair.Restarts, SampleSize: s.operator.Plan.Sample, Preempt: true, StarvedTurns: plan.MaxStarvedTurns}
	g.fleet.OnMachineChange = func(m *fleet.Machine) { g.changedMachines[m] = true }
	g.fleet.OnCapacityChange = g.capacityChanged
	g.fleet.DecideOrphan = g.decideOrphan
	g.readRecords, g.checkIsolated = s.readRecords, s.isolated
	return g
}

// capacityChanged keeps the counts that the rules look at: of a job's tasks by zone and
// machine. The caller holds mu.
func (g *leader) capacityChanged(b *fleet.Allocation, zone string, sign int) {
	j, ok := b.Owner.(*Job)
	if !ok {
		return
	}
	j.planJob.Count(zone, b.Machine.Name, sign)
	if j.isService() {
		g.replicas += sign
	}
}

// enqueue puts a task among those that wait. The caller holds mu.
func (g *leader) enqueue(j *Job, index int) {
	// It may stand there still from before an attempt: twice, it would be placed twice.
	if !j.tasks[index].queued {
		j.tasks[index].queued = true
		j.waiting = append(j.waiting, index)
	}
	g.queue[j] = true
}

// resultDelay is how long results may wait to be recorded together: the
// state service takes so many changes a second, and placements come first.
func (g *leader) resultDelay() clock.Micros {
	return min(3*clock.Second, clock.FromSeconds(60/g.cfg.Facts.State.WriteRPS))
}

// recordResultSoon marks results to be recorded with others. The caller holds mu.
func (g *leader) recordResultSoon(j *Job, now clock.Micros) {
	if _, due := g.pendingResults[j.uid]; !due && !g.dirty[j.uid] {
		g.pendingResults[j.uid] = now + g.resultDelay()
	}
}

// wake asks the loop for a pass soon.
func (g *leader) wake() {
	select {
	case g.wakeups <- struct{}{}:
	default:
	}
}

// run leads until ctx ends.
func (g *leader) run(ctx context.Context) error {
	g.mu.Lock()
	g.ctx = ctx
	g.mu.Unlock()
	epoch, err := g.loadRecords(ctx)
	if err != nil {
		return fmt.Errorf("load records: %w", err)
	}
	var wg sync.WaitGroup
	wg.Go(func() { g.watchJobs(ctx, epoch) })
	wg.Go(func() { g.autoscaleLoop(ctx) })
	wg.Go(func() { g.pauseLoop(ctx) })
	wg.Go(func() { g.orphanLookupLoop(ctx) })
	g.loop(ctx)
	wg.Wait()
	return nil
}

func (g *leader) newAllocation(j *Job, index int, attempt uint64) *fleet.Allocation {
	s := &j.spec
	return &fleet.Allocation{Owner: j, Task: fleet.TaskID{Job: j.uid, Index: index}, Attempt: attempt, Team: s.Team, Cores: s.Cores, Accelerators: s.Accelerators, RAM: s.RAM,
		Image: s.Image, Priority: j.priority, Preemptible: s.Preemptible, CheckpointGrace: s.CheckpointGraceS, Checkpoints: s.CheckpointIntervalS > 0, HeartbeatOnly: j.bestEffort()}
}

// addJob takes an accepted job in. The caller holds mu.
func (g *leader) addJob(key string, value []byte, stamp uint64, now clock.Micros) error {
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
func (g *leader) addRecord(record store.JobRecord, stamp uint64, now clock.Micros) {
	s := record.Spec
	if g.recordRestored(s.UID) {
		return
	}
	if j := g.jobs[s.UID]; j != nil {
		j.modRevision = max(j.modRevision, stamp)
		return
	}
	delete(g.jobLookups, s.UID)
	priority, _ := wire.ParsePriority(s.Priority)
	j := &Job{uid: s.UID, spec: s, priority: priority, modRevision: stamp, acceptedAt: record.AcceptedUS, seenAt: now, order: record.AcceptedUS,
		tasks: make([]Task, s.Tasks), waiting: make([]int, s.Tasks),
		chunks: make([]Chunk, (s.Tasks+store.TasksPerChunk-1)/store.TasksPerChunk)}
	for i := range j.waiting {
		j.waiting[i] = i
		j.tasks[i].queued = true
	}
	j.planJob = g.newPlanJob(j)
	g.jobs[s.UID] = j
	g.queue[j] = true
	g.jobsChanged = true
}

// newPlanJob is the job as the planner sees it; its counts follow the bookings.
func (g *leader) newPlanJob(j *Job) *plan.Job {
	s := &j.spec
	j.startWithin = unlimitedSlack
	if s.DeadlineS != nil {
		j.deadline = clock.FromSeconds(*s.DeadlineS)
	}
	// Starts within a moment are a matter of free room, not of order.
	const moment = 3
	for _, o := range g.cfg.Facts.Objectives {
		if o.Class != s.Class || j.isService() {
			continue
		}
		switch at := clock.FromSeconds(o.WithinS); {
		case o.Kind == "finished" && (j.finishWithin == 0 || at < j.finishWithin):
			j.finishWithin = at
		case o.Kind == "wait" && o.WithinS > moment*g.cfg.Facts.Workers.ReportS:
			j.startWithin = min(j.startWithin, at)
		}
	}
	within := 0.0
	for _, o := range g.cfg.Facts.Objectives {
		if o.Kind == "wait" && o.Class == s.Class && (within == 0 || o.WithinS < within) {
			within = o.WithinS
		}
	}
	return &plan.Job{ImageGB: s.ImageGB, StartWithin: clock.FromSeconds(within), UID: j.uid, Team: s.Team, Priority: j.priority, Service: j.isService(), Tasks: s.Tasks,
		Cores: s.Cores, Accelerators: s.Accelerators, RAM: s.RAM, MachineTypes: s.MachineTypes, Zone: s.Zone, SameZone: s.SameZone,
		Spread: s.Spread, Preemptible: s.Preemptible, Image: s.Image, Order: j.order, Gang: j.isGang(), Slack: unlimitedSlack,
		Zones: map[string]int{}, Machines: map[string]int{}}
}

// unlimitedSlack is the slack of a job without a deadline.
const unlimitedSlack = 1 << 60

func (g *leader) sleep(ctx context.Context, d clock.Micros) {
	select {
	case <-ctx.Done():
	case <-g.clock.After(d.Duration()):
	}
}

// cancel stops all tasks of a job. The caller holds mu.
func (g *leader) cancel(j *Job, now clock.Micros) {
	if j.cancelled {
		return
	}
	j.cancelled = true
	j.waiting = nil
	delete(g.queue, j)
	g.withdrawFailures(j)
	if j.pendingResult != nil {
		j.pendingResult.ResultDurable = true // nobody has any use for it any more
	}
	for i := range j.tasks {
		pc := &j.tasks[i]
		if pc.moveTarget != nil {
			g.fleet.Remove(pc.moveTarget, now)
			pc.moveTarget = nil
		}
		if pc.allocation == nil {
			continue
		}
		if g.fleet.Stop(pc.allocation, 0, now) {
			clearAllocation(pc)
		} else {
			g.urgentMachines[pc.allocation.Machine] = true
		}
	}
	g.dirty[j.uid] = true
	g.log.Debug("job cancelled", "job", j.uid)
}

// clearAllocation notes that a task's attempt is over. The caller holds mu.
func clearAllocation(pc *Task) {
	pc.allocation = nil
	pc.state = taskWaiting
}

// applyEvents takes in what the fleet has learned. The caller holds mu.
func (g *leader) applyEvents(list []fleet.Event, now clock.Micros) {
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
		if pc.moveTarget == b {
			pc.moveTarget = nil
			b.ResultDurable = true
			continue
		}
		if pc.allocation != b {
			b.ResultDurable = true
			continue
		}
		if n.Started {
			pc.hasRun = true
			j.started = true
			j.running++
			g.metrics.Start(now - j.seenAt)
			g.log.Debug("task started", "task", b.Task.String(), "class", j.spec.Class, "host", b.Machine.Name, "after", (now - j.seenAt).Seconds(),
				"placed", (b.ReservedAt - j.seenAt).Seconds(), "fetch", (now - b.ReservedAt).Seconds())
			continue
		}
		g.attemptEnded(j, pc, b, n.Gone, now)
	}
}

// attemptEnded takes in the end of a task's attempt. The caller holds mu.
func (g *leader) attemptEnded(j *Job, pc *Task, b *fleet.Allocation, gone bool, now clock.Micros) {
	clearAllocation(pc)
	if b.RunningSince > 0 {
		j.running--
	}
	c := j.markChanged(b.Task.Index)
	if j.shared != nil && g.openShared != j.shared && j.shared.modRevision > 0 {
		g.staleShared[j.shared] = true
	}
	if j.cancelled {
		g.dirty[j.uid] = true
		b.ResultDurable = true
		return
	}
	g.recordResultSoon(j, now)
	if j.shared != nil && b.Cause == wire.CauseDone && !gone {
		// Its row in the shared record does not hold the result: the end of the job does.
		j.pendingResult = b
	} else {
		c.endedAttempts = append(c.endedAttempts, b)
	}
	m := b.Machine
	cause := b.Cause
	if gone {
		cause = "gone"
	}
	if cause == wire.CauseDone && !j.isService() {
		if pc.moveTarget != nil {
			g.fleet.Remove(pc.moveTarget, now)
			pc.moveTarget = nil
		}
		pc.state = taskDone
		j.done++
		if j.done == len(j.tasks) {
			g.dirty[j.uid] = true
		}
		if g.machineFailures[m] != nil {
			delete(g.machineFailures, m)
			g.changedMachines[m] = true
		}
		if j.failures.onTrial() {
			g.clearJob(j, now)
		}
		j.failures.succeeded = true
		// The start of an adopted attempt was not seen: it would look short, and
		// every other machine slow beside it.
		if b.RunningSince > 0 && !b.Adopted {
			g.recordRunTime(j, m, now-b.RunningSince)
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
		g.attemptFailed(j, pc, m, ran, now)
	case wire.CauseFull, wire.CauseInUse, wire.CauseAlone:
		pc.notBefore = now + clock.Second
	case wire.CauseNoSuch:
		pc.failures++
		pc.notBefore = now + backoff(pc.failures)
	}
	if t := pc.moveTarget; t != nil {
		// The source's stop is confirmed: the room booked at the target is taken up.
		pc.moveTarget = nil
		if !t.Ended && t.Incarnation == t.Machine.Incarnation && t.Machine.QuarantineReason == "" {
			pc.state, pc.allocation, pc.attempt = taskPlaced, t, t.Attempt
			g.dirty[j.uid] = true
			return
		}
		g.fleet.Remove(t, now)
	}
	g.enqueue(j, b.Task.Index)
	if j.isGang() {
		// Without this task the others cannot go on: they stop now, and the group
		// is started again whole.
		for i := range j.tasks {
			if o := j.tasks[i].allocation; o != nil && !o.Stopping {
				g.stopAttempt(j, o, now)
			}
		}
	}
}

// backoff is how long to wait after the n-th failure in a row.
func backoff(n int) clock.Micros {
	return min(60*clock.Second, clock.Second<<min(n, 6))
}

// recordRunTime compares a task's run time with its job's others, to find slow machines.
func (g *leader) recordRunTime(j *Job, m *fleet.Machine, took clock.Micros) {
	if j.runTimes.count >= 3 && j.runTimes.mean() > 0 {
		ratio := float64(took) / float64(j.runTimes.mean())
		m.Slowness += (ratio - m.Slowness) / float64(min(m.SlownessSamples+2, 6))
		m.SlownessSamples++
		g.changedMachines[m] = true
	}
	j.runTimes.count++
	j.runTimes.total += took
	// The last few dozen count: classes change over a day.
	st := g.classRuns[j.spec.Class]
	if st.count >= 100 {
		st = runTimeStat{count: 50, total: 50 * st.mean()}
	}
	st.count++
	st.total += took
	g.classRuns[j.spec.Class] = st
}

// Heartbeat takes in a worker's report and says what to answer. A report without
// news costs a look-up and the comparison of its task list with the last one.
func (g *leader) Heartbeat(rep *wire.Heartbeat) (wire.HeartbeatResponse, bool) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastHeartbeat = now
	token, may := g.elector.MayAnswerHeartbeats()
	if !may || !g.loaded {
		return wire.HeartbeatResponse{}, false
	}
	ans := wire.HeartbeatResponse{Token: token, Commands: []wire.Command{}}
	if _, gone := g.returnedMachines[rep.Machine]; gone {
		// The cloud has said that this machine and all on it are gone, and names
		// are not given twice: a copy that was under way all this time.
		return ans, true
	}
	news, fresh := g.fleet.Report(now, rep, true)
	m := g.fleet.Machine(rep.Machine)
	if !fresh {
		// A late copy, or a new process that counts from the start again: its lease
		// is counted as renewed, and the worker itself is asked which it is.
		g.fleet.HeartbeatAnswered(m, now, token)
		g.probeStaleReporter(m, now)
		return ans, true
	}
	if m.Suspect {
		g.startProbe(m)
	} else if !m.Reported {
		g.unconfirmed = append(g.unconfirmed, unconfirmedMachine{m, now})
	}
	if m.Reported {
		delete(g.awaitedMachines, m)
		g.progress.Settle(m.Name, recovery.MachineReconciled, now)
		g.machineBooted(m, now)
	}
	g.applyEvents(news, now)
	g.adoptReported(m, now)
	g.fleet.HeartbeatAnswered(m, now, token)
	if len(news) > 0 {
		g.wake()
	}
	scope := g.commandScope()
	if scope == fleet.AllCommands && g.inFlight[m.Name] {
		scope = fleet.NoRuns
	}
	ans.Commands = g.fleet.Commands(m, now, true, scope)
	return ans, true
}

// counts tells how many tasks of jobs are done and running.
func (g *leader) counts(uids []string) map[string][2]int {
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
func (g *leader) sortedJobs() []*Job {
	out := make([]*Job, 0, len(g.jobs))
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

// pruneWaiting drops waiting entries that no longer wait.
func (j *Job) pruneWaiting() {
	j.waiting = slices.DeleteFunc(j.waiting, func(i int) bool {
		j.tasks[i].queued = j.tasks[i].state == taskWaiting
		return !j.tasks[i].queued
	})
}
