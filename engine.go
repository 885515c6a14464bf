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
	chunk := &j.chunks[index/store.TasksPerChunk]
	chunk.version++
	return chunk
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
	l := &leader{
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
	l.snapshot = &plan.Snapshot{Quota: ledger, MaxMoves: s.operator.Repair.Restarts, SampleSize: s.operator.Plan.Sample, Preempt: true, StarvedTurns: plan.MaxStarvedTurns}
	l.fleet.OnMachineChange = func(machine *fleet.Machine) { l.changedMachines[machine] = true }
	l.fleet.OnCapacityChange = l.capacityChanged
	l.fleet.DecideOrphan = l.decideOrphan
	l.readRecords, l.checkIsolated = s.readRecords, s.isolated
	return l
}

// capacityChanged keeps the counts that the rules look at: of a job's tasks by zone and
// machine. The caller holds mu.
func (l *leader) capacityChanged(allocation *fleet.Allocation, zone string, sign int) {
	job, ok := allocation.Owner.(*Job)
	if !ok {
		return
	}
	job.planJob.Count(zone, allocation.Machine.Name, sign)
	if job.isService() {
		l.replicas += sign
	}
}

// enqueue puts a task among those that wait. The caller holds mu.
func (l *leader) enqueue(job *Job, index int) {
	// It may stand there still from before an attempt: twice, it would be placed twice.
	if !job.tasks[index].queued {
		job.tasks[index].queued = true
		job.waiting = append(job.waiting, index)
	}
	l.queue[job] = true
}

// resultDelay is how long results may wait to be recorded together: the
// state service takes so many changes a second, and placements come first.
func (l *leader) resultDelay() clock.Micros {
	return min(3*clock.Second, clock.FromSeconds(60/l.cfg.Facts.State.WriteRPS))
}

// recordResultSoon marks results to be recorded with others. The caller holds mu.
func (l *leader) recordResultSoon(job *Job, now clock.Micros) {
	if _, due := l.pendingResults[job.uid]; !due && !l.dirty[job.uid] {
		l.pendingResults[job.uid] = now + l.resultDelay()
	}
}

// wake asks the loop for a pass soon.
func (l *leader) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

// run leads until ctx ends.
func (l *leader) run(ctx context.Context) error {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	epoch, err := l.loadRecords(ctx)
	if err != nil {
		return fmt.Errorf("load records: %w", err)
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.watchJobs(ctx, epoch) })
	wg.Go(func() { l.autoscaleLoop(ctx) })
	wg.Go(func() { l.pauseLoop(ctx) })
	wg.Go(func() { l.orphanLookupLoop(ctx) })
	l.loop(ctx)
	wg.Wait()
	return nil
}

func (l *leader) newAllocation(job *Job, index int, attempt uint64) *fleet.Allocation {
	spec := &job.spec
	return &fleet.Allocation{Owner: job, Task: fleet.TaskID{Job: job.uid, Index: index}, Attempt: attempt, Team: spec.Team, Cores: spec.Cores, Accelerators: spec.Accelerators, RAM: spec.RAM,
		Image: spec.Image, Priority: job.priority, Preemptible: spec.Preemptible, CheckpointGrace: spec.CheckpointGraceS, Checkpoints: spec.CheckpointIntervalS > 0, HeartbeatOnly: job.bestEffort()}
}

// addJob takes an accepted job in. The caller holds mu.
func (l *leader) addJob(key string, value []byte, stamp uint64, now clock.Micros) error {
	record, err := recovery.DecodeJob(wire.Row{Key: key, Value: value, ModRevision: stamp})
	if err != nil {
		return err
	}
	if record.Final == nil {
		l.addRecord(record, stamp, now)
	}
	return nil
}

// addRecord takes an accepted job's record in. The caller holds mu.
func (l *leader) addRecord(record store.JobRecord, stamp uint64, now clock.Micros) {
	s := record.Spec
	if l.recordRestored(s.UID) {
		return
	}
	if job := l.jobs[s.UID]; job != nil {
		job.modRevision = max(job.modRevision, stamp)
		return
	}
	delete(l.jobLookups, s.UID)
	priority, _ := wire.ParsePriority(s.Priority)
	job := &Job{uid: s.UID, spec: s, priority: priority, modRevision: stamp, acceptedAt: record.AcceptedUS, seenAt: now, order: record.AcceptedUS,
		tasks: make([]Task, s.Tasks), waiting: make([]int, s.Tasks),
		chunks: make([]Chunk, (s.Tasks+store.TasksPerChunk-1)/store.TasksPerChunk)}
	for i := range job.waiting {
		job.waiting[i] = i
		job.tasks[i].queued = true
	}
	job.planJob = l.newPlanJob(job)
	l.jobs[s.UID] = job
	l.queue[job] = true
	l.jobsChanged = true
}

// newPlanJob is the job as the planner sees it; its counts follow the bookings.
func (l *leader) newPlanJob(job *Job) *plan.Job {
	spec := &job.spec
	job.startWithin = unlimitedSlack
	if spec.DeadlineS != nil {
		job.deadline = clock.FromSeconds(*spec.DeadlineS)
	}
	// Starts within a moment are a matter of free room, not of order.
	const moment = 3
	for _, o := range l.cfg.Facts.Objectives {
		if o.Class != spec.Class || job.isService() {
			continue
		}
		switch at := clock.FromSeconds(o.WithinS); {
		case o.Kind == "finished" && (job.finishWithin == 0 || at < job.finishWithin):
			job.finishWithin = at
		case o.Kind == "wait" && o.WithinS > moment*l.cfg.Facts.Workers.ReportS:
			job.startWithin = min(job.startWithin, at)
		}
	}
	within := 0.0
	for _, o := range l.cfg.Facts.Objectives {
		if o.Kind == "wait" && o.Class == spec.Class && (within == 0 || o.WithinS < within) {
			within = o.WithinS
		}
	}
	return &plan.Job{ImageGB: spec.ImageGB, StartWithin: clock.FromSeconds(within), UID: job.uid, Team: spec.Team, Priority: job.priority, Service: job.isService(), Tasks: spec.Tasks,
		Cores: spec.Cores, Accelerators: spec.Accelerators, RAM: spec.RAM, MachineTypes: spec.MachineTypes, Zone: spec.Zone, SameZone: spec.SameZone,
		Spread: spec.Spread, Preemptible: spec.Preemptible, Image: spec.Image, Order: job.order, Gang: job.isGang(), Slack: unlimitedSlack,
		Zones: map[string]int{}, Machines: map[string]int{}}
}

// unlimitedSlack is the slack of a job without a deadline.
const unlimitedSlack = 1 << 60

func (l *leader) sleep(ctx context.Context, d clock.Micros) {
	select {
	case <-ctx.Done():
	case <-l.clock.After(d.Duration()):
	}
}

// cancel stops all tasks of a job. The caller holds mu.
func (l *leader) cancel(job *Job, now clock.Micros) {
	if job.cancelled {
		return
	}
	job.cancelled = true
	job.waiting = nil
	delete(l.queue, job)
	l.withdrawFailures(job)
	if job.pendingResult != nil {
		job.pendingResult.ResultDurable = true // nobody has any use for it any more
	}
	for i := range job.tasks {
		task := &job.tasks[i]
		if task.moveTarget != nil {
			l.fleet.Remove(task.moveTarget, now)
			task.moveTarget = nil
		}
		if task.allocation == nil {
			continue
		}
		if l.fleet.Stop(task.allocation, 0, now) {
			clearAllocation(task)
		} else {
			l.urgentMachines[task.allocation.Machine] = true
		}
	}
	l.dirty[job.uid] = true
	l.log.Debug("job cancelled", "job", job.uid)
}

// clearAllocation notes that a task's attempt is over. The caller holds mu.
func clearAllocation(task *Task) {
	task.allocation = nil
	task.state = taskWaiting
}

// applyEvents takes in what the fleet has learned. The caller holds mu.
func (l *leader) applyEvents(list []fleet.Event, now clock.Micros) {
	for _, n := range list {
		allocation := n.Allocation
		if n.Gone && allocation.Adopted {
			l.progress.Settle(allocation.Machine.Name, recovery.MachineGone, now)
		}
		job := l.jobs[allocation.Task.Job]
		if job == nil || allocation.Task.Index >= len(job.tasks) {
			allocation.ResultDurable = true
			continue
		}
		task := &job.tasks[allocation.Task.Index]
		if task.moveTarget == allocation {
			task.moveTarget = nil
			allocation.ResultDurable = true
			continue
		}
		if task.allocation != allocation {
			allocation.ResultDurable = true
			continue
		}
		if n.Started {
			task.hasRun = true
			job.started = true
			job.running++
			l.metrics.Start(now - job.seenAt)
			l.log.Debug("task started", "task", allocation.Task.String(), "class", job.spec.Class, "host", allocation.Machine.Name, "after", (now - job.seenAt).Seconds(),
				"placed", (allocation.ReservedAt - job.seenAt).Seconds(), "fetch", (now - allocation.ReservedAt).Seconds())
			continue
		}
		l.attemptEnded(job, task, allocation, n.Gone, now)
	}
}

// attemptEnded takes in the end of a task's attempt. The caller holds mu.
func (l *leader) attemptEnded(job *Job, task *Task, allocation *fleet.Allocation, gone bool, now clock.Micros) {
	clearAllocation(task)
	if allocation.RunningSince > 0 {
		job.running--
	}
	chunk := job.markChanged(allocation.Task.Index)
	if job.shared != nil && l.openShared != job.shared && job.shared.modRevision > 0 {
		l.staleShared[job.shared] = true
	}
	if job.cancelled {
		l.dirty[job.uid] = true
		allocation.ResultDurable = true
		return
	}
	l.recordResultSoon(job, now)
	if job.shared != nil && allocation.Cause == wire.CauseDone && !gone {
		// Its row in the shared record does not hold the result: the end of the job does.
		job.pendingResult = allocation
	} else {
		chunk.endedAttempts = append(chunk.endedAttempts, allocation)
	}
	machine := allocation.Machine
	cause := allocation.Cause
	if gone {
		cause = "gone"
	}
	if cause == wire.CauseDone && !job.isService() {
		if task.moveTarget != nil {
			l.fleet.Remove(task.moveTarget, now)
			task.moveTarget = nil
		}
		task.state = taskDone
		job.done++
		if job.done == len(job.tasks) {
			l.dirty[job.uid] = true
		}
		if l.machineFailures[machine] != nil {
			delete(l.machineFailures, machine)
			l.changedMachines[machine] = true
		}
		if job.failures.onTrial() {
			l.clearJob(job, now)
		}
		job.failures.succeeded = true
		// The start of an adopted attempt was not seen: it would look short, and
		// every other machine slow beside it.
		if allocation.RunningSince > 0 && !allocation.Adopted {
			l.recordRunTime(job, machine, now-allocation.RunningSince)
		}
		return
	}
	l.log.Debug("task ended", "task", allocation.Task.String(), "attempt", allocation.Attempt, "cause", cause, "host", machine.Name, "halt", allocation.Stopping)
	switch cause {
	case wire.CauseError:
		ran := clock.Micros(0)
		if allocation.RunningSince > 0 {
			ran = now - allocation.RunningSince
		}
		l.attemptFailed(job, task, machine, ran, now)
	case wire.CauseFull, wire.CauseInUse, wire.CauseAlone:
		task.notBefore = now + clock.Second
	case wire.CauseNoSuch:
		task.failures++
		task.notBefore = now + backoff(task.failures)
	}
	if t := task.moveTarget; t != nil {
		// The source's stop is confirmed: the room booked at the target is taken up.
		task.moveTarget = nil
		if !t.Ended && t.Incarnation == t.Machine.Incarnation && t.Machine.QuarantineReason == "" {
			task.state, task.allocation, task.attempt = taskPlaced, t, t.Attempt
			l.dirty[job.uid] = true
			return
		}
		l.fleet.Remove(t, now)
	}
	l.enqueue(job, allocation.Task.Index)
	if job.isGang() {
		// Without this task the others cannot go on: they stop now, and the group
		// is started again whole.
		for i := range job.tasks {
			if o := job.tasks[i].allocation; o != nil && !o.Stopping {
				l.stopAttempt(job, o, now)
			}
		}
	}
}

// backoff is how long to wait after the n-th failure in a row.
func backoff(n int) clock.Micros {
	return min(60*clock.Second, clock.Second<<min(n, 6))
}

// recordRunTime compares a task's run time with its job's others, to find slow machines.
func (l *leader) recordRunTime(job *Job, machine *fleet.Machine, took clock.Micros) {
	if job.runTimes.count >= 3 && job.runTimes.mean() > 0 {
		ratio := float64(took) / float64(job.runTimes.mean())
		machine.Slowness += (ratio - machine.Slowness) / float64(min(machine.SlownessSamples+2, 6))
		machine.SlownessSamples++
		l.changedMachines[machine] = true
	}
	job.runTimes.count++
	job.runTimes.total += took
	// The last few dozen count: classes change over a day.
	stat := l.classRuns[job.spec.Class]
	if stat.count >= 100 {
		stat = runTimeStat{count: 50, total: 50 * stat.mean()}
	}
	stat.count++
	stat.total += took
	l.classRuns[job.spec.Class] = stat
}

// Heartbeat takes in a worker's report and says what to answer. A report without
// news costs a look-up and the comparison of its task list with the last one.
func (l *leader) Heartbeat(report *wire.Heartbeat) (wire.HeartbeatResponse, bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastHeartbeat = now
	token, may := l.elector.MayAnswerHeartbeats()
	if !may || !l.loaded {
		return wire.HeartbeatResponse{}, false
	}
	ans := wire.HeartbeatResponse{Token: token, Commands: []wire.Command{}}
	if _, gone := l.returnedMachines[report.Machine]; gone {
		// The cloud has said that this machine and all on it are gone, and names
		// are not given twice: a copy that was under way all this time.
		return ans, true
	}
	news, fresh := l.fleet.Report(now, report, true)
	machine := l.fleet.Machine(report.Machine)
	if !fresh {
		// A late copy, or a new process that counts from the start again: its lease
		// is counted as renewed, and the worker itself is asked which it is.
		l.fleet.HeartbeatAnswered(machine, now, token)
		l.probeStaleReporter(machine, now)
		return ans, true
	}
	if machine.Suspect {
		l.startProbe(machine)
	} else if !machine.Reported {
		l.unconfirmed = append(l.unconfirmed, unconfirmedMachine{machine, now})
	}
	if machine.Reported {
		delete(l.awaitedMachines, machine)
		l.progress.Settle(machine.Name, recovery.MachineReconciled, now)
		l.machineBooted(machine, now)
	}
	l.applyEvents(news, now)
	l.adoptReported(machine, now)
	l.fleet.HeartbeatAnswered(machine, now, token)
	if len(news) > 0 {
		l.wake()
	}
	scope := l.commandScope()
	if scope == fleet.AllCommands && l.inFlight[machine.Name] {
		scope = fleet.NoRuns
	}
	ans.Commands = l.fleet.Commands(machine, now, true, scope)
	return ans, true
}

// counts tells how many tasks of jobs are done and running.
func (l *leader) counts(uids []string) map[string][2]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string][2]int, len(uids))
	for _, uid := range uids {
		if job := l.jobs[uid]; job != nil && l.loaded {
			out[uid] = [2]int{job.done, job.running}
		}
	}
	return out
}

// sortedJobs lists the jobs in a fixed order. The caller holds mu.
func (l *leader) sortedJobs() []*Job {
	out := make([]*Job, 0, len(l.jobs))
	for _, job := range l.jobs {
		out = append(out, job)
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
