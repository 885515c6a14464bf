package cedardoor

import (
	"context"
	"slices"

	"cedardoor/clock"
	"cedardoor/cloud"
	"cedardoor/fleet"
	"cedardoor/lead"
	"cedardoor/quota"
	"cedardoor/recovery"
	"cedardoor/store"
	"cedardoor/wire"
)

// reconciliation is how far records and heartbeats have been brought into one view, and what of
// the records can't be used.
type reconciliation struct {
	checkIsolated func(ctx context.Context) bool // tells whether no other controller answers
	readRecords   func(ctx context.Context, source recovery.Source) (*recovery.Records, error)
	isolated      bool // no other controller answered lately
	progress      *recovery.Progress
	progressLog   progressLog
	damaged       []recovery.Damage
	// unusable are jobs whose record could not be read, or was missing beside attempts of it.
	unusable map[string]bool
	// unreadable are the jobs with tasks whose record can't be decoded, unreadableShared the
	// shared records among these.
	unreadable       map[*Job]bool
	unreadableShared []*SharedRecord
	// predecessorLeasesEnd is when every lease that a predecessor may have renewed is over.
	predecessorLeasesEnd clock.Micros
	// jobLookups is what was read of jobs that workers report tasks of and that the leader does
	// not know, and wantedLookups those that are to be read.
	jobLookups    map[string]lookup
	wantedLookups map[string]bool
	lookupWakeups chan struct{}
}

// progressLog tells which lines on the recovery the log has already.
type progressLog struct{ mostly, ended bool }

func newReconciliation(since clock.Micros) reconciliation {
	return reconciliation{progress: recovery.NewProgress(since), unusable: map[string]bool{}, unreadable: map[*Job]bool{}, jobLookups: map[string]lookup{},
		wantedLookups: map[string]bool{}, lookupWakeups: make(chan struct{}, 1)}
}

// loadRecords reads every unfinished job and every recorded attempt. The machines of
// those may go on under the predecessor's last answers, so each keeps its
// bookings until it reports or its lease must have run out.
func (l *leader) loadRecords(ctx context.Context) (epoch uint64, err error) {
	began, spell := l.clock.Now(), l.interruptions()
	_, held := l.elector.HoldsLease()
	records, err := l.reconciliation.readRecords(ctx, l.store)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.reconciliation.predecessorLeasesEnd = now + l.predecessorsLease()
	l.recordDamage(records.Damaged)
	for uid, state := range records.States {
		if state == recovery.JobUnreadable || state == recovery.JobUnrecorded {
			l.reconciliation.unusable[uid] = true
		}
	}
	l.loadFleetRecords(records)
	for _, settled := range records.Settled {
		l.writer.finalMoves = append(l.writer.finalMoves, &finalMove{uid: settled.UID, modRevision: settled.Stamp, record: settled.Record})
	}
	for _, row := range records.Jobs {
		l.addRecord(row.Record, row.Stamp, now)
	}
	for _, chunk := range records.Chunks {
		l.loadChunk(records, chunk, now)
	}
	for _, shared := range records.Shared {
		l.loadShared(records, shared, now)
	}
	for _, shared := range records.Shared {
		if shared.Unreadable {
			l.loadUnreadableShared(shared)
		}
	}
	for _, job := range l.jobs.byUID {
		// The predecessor's rate holds the work of the jobs found here.
		job.arrivalCounted = records.Demand != nil
		l.prepareJob(job)
	}
	l.loaded = true
	l.reconciliation.progress.Loaded(now)
	l.changesRead(records.Epoch, began, spell, held)
	l.log.Info("records loaded", "jobs", len(records.Jobs)+len(records.Settled), "chunks", len(records.Chunks), "epoch", records.Epoch,
		"machines", l.reconciliation.progress.Machines(), "damaged", len(records.Damaged), "took_s", (l.clock.Now() - began).Seconds())
	return records.Epoch, nil
}

// predecessorsLease is how long the answers of a predecessor may keep a worker's lease from
// now on.
func (l *leader) predecessorsLease() clock.Micros {
	lease := clock.FromSeconds(l.cfg.Facts.Workers.LeaseS)
	return (lease + lead.AttestationTTL).Stretch(clock.Drift) + clock.Second
}

// loadFleetRecords takes in the machine types and the rate of work. The caller holds mu.
func (l *leader) loadFleetRecords(records *recovery.Records) {
	if demand := records.Demand; demand != nil {
		l.autoscaler.predecessorRate = cloud.Load{Cores: demand.Cores, RAM: demand.RAM, Accelerators: demand.Accelerators}
		for class, v := range demand.Classes {
			if v[0] > 0 && v[1] > 0 {
				l.autoscaler.classRuns[class] = runTimeStat{count: int(v[0]), total: clock.Micros(v[1])}
			}
		}
	}
	if records.Catalog != nil {
		l.autoscaler.catalog, l.autoscaler.catalogRevision = records.Catalog.Catalog, records.Catalog.Stamp
		l.fleet.SetCatalog(l.autoscaler.catalog)
	}
}

// finishedJob gives a job that is over while some of its tasks may be on machines. The caller holds mu.
func (l *leader) finishedJob(records *recovery.Records, uid string) *Job {
	job := l.jobs.byUID[uid]
	if job == nil {
		over := records.Over[uid]
		job = &Job{uid: uid, spec: remainingSpec(uid, &over), cancelled: true}
		job.planJob = l.newPlanJob(job)
		l.jobs.byUID[uid] = job
	}
	l.writer.dirty[uid] = true
	return job
}

// loadChunk takes in the record of some of a job's tasks. The caller holds mu.
func (l *leader) loadChunk(records *recovery.Records, row recovery.ChunkRow, now clock.Micros) {
	var job *Job
	switch records.States[row.UID] {
	case recovery.JobActive:
		job = l.jobs.byUID[row.UID]
	case recovery.JobOver:
		job = l.finishedJob(records, row.UID)
		for len(job.tasks) < (row.Number+1)*store.TasksPerChunk {
			job.tasks = append(job.tasks, Task{})
		}
	default:
		return // its job is not known: what workers show of it is left alone
	}
	for len(job.chunks) <= row.Number {
		job.chunks = append(job.chunks, Chunk{})
	}
	job.chunks[row.Number].modRevision = row.Stamp
	base := row.Number * store.TasksPerChunk
	done := records.Over[row.UID].Status == wire.JobDone // it has ended wherever it was
	if row.Unreadable && !done {
		for i := base; i < min(base+store.TasksPerChunk, job.taskCount()); i++ {
			l.markUnreadable(job, i, row.Stamp)
		}
		return
	}
	for i, d := range row.Done {
		if d && base+i < len(job.tasks) {
			job.tasks[base+i].state = taskDone
			job.done++
		}
	}
	for _, p := range row.Runs {
		if !done {
			l.adoptAttempt(job, base+p.Index, p, now)
		}
	}
}

// taskCount is how many tasks the job has: of one that is over, the list holds whole chunks.
func (j *Job) taskCount() int {
	if j.cancelled {
		return min(len(j.tasks), j.spec.Tasks)
	}
	return len(j.tasks)
}

// loadShared takes in a record that single tasks share. The caller holds mu.
func (l *leader) loadShared(records *recovery.Records, row recovery.SharedRow, now clock.Micros) {
	if row.Unreadable {
		return
	}
	shared := &SharedRecord{key: row.Key, jobCount: store.JobsPerSharedRecord}
	shared.modRevision = row.Stamp
	for _, r := range row.Record.Rows {
		job := l.jobs.byUID[r.UID]
		// A job that is done has ended wherever it was.
		if job == nil && records.States[r.UID] == recovery.JobOver && r.Machine != "" && records.Over[r.UID].Status != wire.JobDone {
			job = l.finishedJob(records, r.UID)
			job.tasks = make([]Task, 1)
		}
		if l.reconciliation.unusable[r.UID] {
			shared.keptRows = append(shared.keptRows, r)
			continue
		}
		if job == nil || len(job.tasks) != 1 {
			shared.version++ // nothing of it can be anywhere: its row goes
			continue
		}
		job.shared = shared
		shared.jobs = append(shared.jobs, job)
		l.adoptAttempt(job, 0, store.TaskAttempt{Attempt: r.Attempt, Machine: r.Machine, Incarnation: r.Incarnation}, now)
	}
	if shared.version > 0 || len(shared.jobs)+len(shared.keptRows) == 0 {
		shared.version++
		l.writer.staleShared[shared] = true
	}
}

// loadUnreadableShared takes in a shared record that can't be decoded: every job of one task of
// which no other record names an attempt may be in it. The caller holds mu.
func (l *leader) loadUnreadableShared(row recovery.SharedRow) {
	shared := &SharedRecord{key: row.Key, jobCount: store.JobsPerSharedRecord}
	shared.modRevision = row.Stamp
	shared.version++
	l.reconciliation.unreadableShared = append(l.reconciliation.unreadableShared, shared)
	for _, job := range l.jobs.byUID {
		if !job.cancelled && job.sharesRecord() && job.shared == nil && job.chunks[0].modRevision == 0 && !job.tasks[0].hasRun {
			l.markUnreadable(job, 0, row.Stamp)
		}
	}
}

// prepareJob readies a job's lists of waiting tasks once its records are in. The caller holds mu.
func (l *leader) prepareJob(job *Job) {
	if job.cancelled {
		return
	}
	job.waiting = job.waiting[:0]
	delete(l.jobs.waiting, job)
	for i := range job.tasks {
		job.tasks[i].queued = false
		if job.tasks[i].state == taskWaiting {
			l.enqueue(job, i)
		}
	}
	if job.done == len(job.tasks) {
		l.writer.dirty[job.uid] = true
	}
	// What a predecessor knew of a job that fails everywhere went with it: one all
	// of whose attempts are over without any result is tried with one task first.
	job.failures.succeeded = job.done > 0
	job.failures.suspectAtStart = job.started && job.done == 0 && len(job.waiting) == len(job.tasks)
}

// adoptAttempt takes in an attempt that a predecessor recorded. The caller holds mu.
func (l *leader) adoptAttempt(job *Job, index int, p store.TaskAttempt, now clock.Micros) {
	task := &job.tasks[index]
	task.attempt, task.hasRun = p.Attempt, true
	job.started = true
	if p.Machine == "" {
		return
	}
	machine := l.fleet.Ensure(p.Machine, now)
	l.detector.awaited[machine] = true
	machine.LeaseEnd = max(machine.LeaseEnd, now+l.predecessorsLease())
	l.reconciliation.progress.Await(machine.Name, machine.LeaseEnd)
	allocation := l.newAllocation(job, index, p.Attempt)
	allocation.Incarnation = p.Incarnation
	l.fleet.Adopt(machine, allocation, now)
	if job.cancelled {
		l.fleet.Stop(allocation, 0, now)
	}
	task.state, task.allocation = taskPlaced, allocation
}

// remainingSpec is what the tasks of a job that is over take, where some are left.
func remainingSpec(uid string, rec *store.FinalRecord) wire.Spec {
	return wire.Spec{UID: uid, Team: rec.Team, Cores: rec.Cores, Accelerators: rec.Accelerators, RAM: rec.RAM, Tasks: rec.Tasks}
}

// firstUnreadableAttempt is where the attempts of a task are numbered from whose record can't be
// decoded. Each earlier attempt took a change of the record, so with the record's stamp
// added no number is given twice, also where that happens again.
const firstUnreadableAttempt = 1 << 32

// markUnreadable notes a task that may run somewhere by a record that can't be decoded: it counts for
// its team and its zones, and is started nowhere before every machine is accounted for. The caller holds mu.
func (l *leader) markUnreadable(job *Job, index int, stamp uint64) {
	task := &job.tasks[index]
	if task.state == taskUnreadable {
		task.attempt = max(task.attempt, firstUnreadableAttempt+stamp)
		return
	}
	task.state, task.attempt, task.hasRun = taskUnreadable, firstUnreadableAttempt+stamp, true
	task.reservation = l.quota.Adopt(job.spec.Team, job.taskAmount())
	job.started = true
	job.planJob.Count("", "", 1)
	job.chunkOf(index).unreadable++
	l.reconciliation.unreadable[job] = true
}

// resolveUnreadable notes that it is known what has become of such a task. The caller holds mu.
func (l *leader) resolveUnreadable(job *Job, index int) {
	task := &job.tasks[index]
	task.state = taskWaiting
	task.reservation.Release()
	task.reservation = nil
	job.planJob.Count("", "", -1)
	job.chunkOf(index).unreadable--
}

// chunkOf is the record that a task's attempts belong to when they share none.
func (j *Job) chunkOf(index int) *Chunk { return &j.chunks[index/store.TasksPerChunk] }

// adoptReported takes onto the books what a machine shows of tasks whose record can't be
// decoded. A report may be an old copy, so only one of a machine that has shown this leader's
// token counts. The caller holds mu.
func (l *leader) adoptReported(machine *fleet.Machine, now clock.Micros) {
	if len(l.reconciliation.unreadable) == 0 || !machine.Reported || machine.Suspect {
		return
	}
	type shown struct {
		task    fleet.TaskID
		attempt uint64
	}
	var found []shown
	l.fleet.EachOrphan(machine, func(task fleet.TaskID, attempt uint64, sign recovery.Sign) {
		if d := l.decideOrphan(task, sign); d == recovery.Adopt || d == recovery.TakeResult {
			found = append(found, shown{task, attempt})
		}
	})
	for _, s := range found {
		job := l.jobs.byUID[s.task.Job]
		task := &job.tasks[s.task.Index]
		if task.state != taskUnreadable {
			continue
		}
		l.resolveUnreadable(job, s.task.Index)
		allocation := l.newAllocation(job, s.task.Index, s.attempt)
		allocation.Incarnation = machine.Incarnation
		l.fleet.AdoptOrphan(machine, allocation, now)
		task.state, task.allocation, task.attempt = taskPlaced, allocation, s.attempt
		if allocation.RunningSince > 0 {
			job.running++
		}
		job.markChanged(s.task.Index)
		l.recordResultSoon(job, now)
	}
}

// releaseUnreadable lets tasks whose record can't be decoded start again once every machine is
// accounted for: then those that no machine has shown are nowhere. The caller holds mu.
func (l *leader) releaseUnreadable(now clock.Micros) {
	if len(l.reconciliation.unreadable) == 0 && len(l.reconciliation.unreadableShared) == 0 || now < l.reconciliation.predecessorLeasesEnd || !l.allAccounted(now) {
		return
	}
	tasks := 0
	for job := range l.reconciliation.unreadable {
		for i := range job.tasks {
			if job.tasks[i].state != taskUnreadable {
				continue
			}
			tasks++
			l.resolveUnreadable(job, i)
			if !job.cancelled {
				l.enqueue(job, i)
			}
		}
		l.writer.dirty[job.uid] = true
	}
	clear(l.reconciliation.unreadable)
	for _, shared := range l.reconciliation.unreadableShared {
		l.writer.staleShared[shared] = true // nothing of what it held is needed any more
	}
	l.reconciliation.unreadableShared = nil
	l.jobs.changed = true
	l.log.Info("every machine is accounted for: tasks of unreadable records that none has shown may start", "tasks", tasks)
}

// allAccounted tells whether what every machine may run is known: it reports and has shown this
// leader's token, so that no older command can start anything there, or its lease is over. An
// answer to a question shows what runs, but refuses no older command. The caller holds mu.
func (l *leader) allAccounted(now clock.Micros) bool {
	accounted := true
	l.fleet.EachMachine(func(machine *fleet.Machine) {
		trusted := machine.Reported && !machine.Suspect && !machine.Unresponsive && machine.Token >= l.term.Token
		if !trusted && machine.AnsweredAt > 0 && !machine.LeaseExpired(now) {
			accounted = false
		}
	})
	return accounted
}

// recordRestored tells whether a job that comes could not be used when the records were read. What is on
// record of its attempts was passed over then, so all records have to be read anew, by the next
// leader: under a token of its own, since commands of this one may be on their way. The caller holds mu.
func (l *leader) recordRestored(uid string) bool {
	if !l.reconciliation.unusable[uid] {
		return false
	}
	l.log.Info("the record of a job can be used again: giving leadership up, so that all records are read anew", "job", uid)
	go l.elector.Resign()
	return true
}

// recordDamage keeps and logs what can't be used of the records. The caller holds mu.
func (l *leader) recordDamage(damaged []recovery.Damage) {
	const mostLogged = 5
	for i, d := range damaged {
		if i < mostLogged {
			l.log.Error("record can't be used", "key", d.Key, "kind", d.Kind, "detail", d.Detail, "follows", d.Kind.Advice())
		}
	}
	if more := len(damaged) - mostLogged; more > 0 {
		l.log.Error("further records can't be used: see cedardoor recovery", "more", more)
	}
	l.reconciliation.damaged = append(l.reconciliation.damaged, damaged...)
}

// lookup is what was read of a job.
type lookup struct {
	state recovery.JobState
	at    clock.Micros
}

// lookupValidFor is how long what was read of a job that is not over is taken for true.
const lookupValidFor = 5 * clock.Second

// maxLookups bounds what is remembered of jobs that are over.
const maxLookups = 2048

// decideOrphan tells what follows for a task that a worker shows and that is not on the
// books. The caller holds mu.
func (l *leader) decideOrphan(id fleet.TaskID, sign recovery.Sign) recovery.Decision {
	c := recovery.Case{Job: recovery.JobActive, Attempt: recovery.AttemptOther, Sign: sign}
	switch job := l.jobs.byUID[id.Job]; {
	case job == nil && sign != recovery.SignRunning:
		c.Job = recovery.JobNotRead // what its job is makes no difference
	case job == nil:
		c.Job = l.jobState(id.Job)
	case job.cancelled:
		c.Job = recovery.JobOver
	case id.Index < len(job.tasks) && job.tasks[id.Index].state == taskUnreadable:
		c.Attempt = recovery.AttemptUnreadable
	}
	return recovery.Decide(c)
}

// hasOrphansToStop tells whether a machine shows a task to stop that is not on the books. The
// caller holds mu.
func (l *leader) hasOrphansToStop(machine *fleet.Machine) (stops bool) {
	if machine.RunningOrphans() == 0 {
		return false
	}
	l.fleet.EachOrphan(machine, func(task fleet.TaskID, _ uint64, sign recovery.Sign) {
		stops = stops || l.decideOrphan(task, sign) == recovery.Stop
	})
	return stops
}

// jobState is what was last read of a job that is not on the books; it is read again when
// that was long ago. The caller holds mu.
func (l *leader) jobState(uid string) recovery.JobState {
	known, read := l.reconciliation.jobLookups[uid]
	if !read || known.state != recovery.JobOver && l.clock.Now()-known.at > lookupValidFor {
		l.reconciliation.wantedLookups[uid] = true
		select {
		case l.reconciliation.lookupWakeups <- struct{}{}:
		default:
		}
	}
	return known.state
}

// forgetJob takes a job off the books of which nothing is left. The caller holds mu.
func (l *leader) forgetJob(job *Job) {
	delete(l.jobs.byUID, job.uid)
	if len(l.reconciliation.jobLookups) >= maxLookups {
		clear(l.reconciliation.jobLookups)
	}
	l.reconciliation.jobLookups[job.uid] = lookup{state: recovery.JobOver}
}

// orphanLookupLoop reads the jobs that workers show tasks of and that are not on the books.
func (l *leader) orphanLookupLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.reconciliation.lookupWakeups:
		}
		l.lookUpOrphans(ctx)
	}
}

// lookUpOrphans reads the jobs that are wanted by now, one after another.
func (l *leader) lookUpOrphans(ctx context.Context) {
	for _, uid := range l.takeWantedLookups() {
		for l.hasOrphans(uid) && ctx.Err() == nil {
			err := l.lookUpJob(ctx, uid)
			l.sleep(ctx, l.orphanLookupInterval())
			if err == nil {
				break
			}
		}
	}
}

// orphanLookupInterval is how far apart jobs are looked up, at two reads each: an old copy of a report can
// name hundreds that were over long ago, and the reads take a quarter of the state service's
// requests at most.
func (l *leader) orphanLookupInterval() clock.Micros {
	return clock.FromSeconds(8 / l.cfg.Facts.State.RPS)
}

// hasOrphans tells whether a worker still shows tasks of a job that are not on the books.
func (l *leader) hasOrphans(uid string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.fleet.MachinesWithOrphansOf(uid)) > 0
}

// takeWantedLookups takes the jobs that are to be read.
func (l *leader) takeWantedLookups() (uids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for uid := range l.reconciliation.wantedLookups {
		uids = append(uids, uid)
	}
	clear(l.reconciliation.wantedLookups)
	slices.Sort(uids)
	return uids
}

// lookUpJob reads where a job is: among the unfinished ones first, since a job leaves them
// for the final states in one transaction. It counts only under the leader's lease.
func (l *leader) lookUpJob(ctx context.Context, uid string) error {
	if _, held := l.elector.HoldsLease(); !held {
		return errNotSent
	}
	state, row, err := recovery.ReadJob(ctx, l.store, uid)
	if err != nil {
		return err
	}
	if _, held := l.elector.HoldsLease(); !held {
		return errNotSent
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if before := l.reconciliation.jobLookups[uid]; before.state != state {
		l.log.Info("a worker shows tasks that are not on the books", "job", uid, "state", state)
	}
	switch {
	case state == recovery.JobActive:
		if err := l.addJob(row.Key, row.Value, row.ModRevision, now); err != nil {
			return err
		}
	case l.jobs.byUID[uid] == nil:
		l.reconciliation.jobLookups[uid] = lookup{state: state, at: now}
	}
	for _, machine := range l.fleet.MachinesWithOrphansOf(uid) {
		l.dispatcher.urgentMachines[machine] = true
	}
	l.wake()
	return nil
}

// logProgress logs how far the recovery is, a line for each stage. The caller holds mu.
func (l *leader) logProgress() {
	p, told := l.reconciliation.progress, &l.reconciliation.progressLog
	if p.Machines() == 0 {
		return
	}
	const worthALine = 10
	if !told.mostly && p.MostlySettled() > 0 && p.Ended() == 0 {
		told.mostly = true
		if p.Machines() >= worthALine {
			l.log.Info("most machines are reconciled", "machines", p.Machines(), "awaited", p.Count(recovery.MachineAwaited),
				"took_s", (p.MostlySettled() - p.Began()).Seconds())
		}
	}
	if !told.ended && p.Ended() > 0 {
		told.ended = true
		l.log.Info("recovery is complete", "machines", p.Machines(), "reconciled", p.Count(recovery.MachineReconciled),
			"gone", p.Count(recovery.MachineGone), "took_s", (p.Ended() - p.Began()).Seconds())
	}
}

// reconnecting tells whether the workers have yet to find this leader: those that are not
// heard are not lost. The caller holds mu.
func (l *leader) reconnecting(now clock.Micros) bool {
	return l.reconciliation.progress.Reconnecting(now, l.maxReportDelay(), l.reconciliation.isolated)
}

// checkIsolation finds out whether other controllers answer, while that tells whether machines may
// have yet to report.
func (l *leader) checkIsolation(ctx context.Context) {
	l.mu.Lock()
	matters := l.reconciliation.progress.Stage() == recovery.StageReconciling && l.clock.Now()-l.reconciliation.progress.Began() < l.maxReportDelay()
	l.mu.Unlock()
	if !matters {
		return
	}
	alone := l.reconciliation.checkIsolated(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reconciliation.isolated = alone
}

// maxReportDelay is how long a worker may take to find this leader where no other controller
// answers. After a lease there is nothing left to wait for.
func (l *leader) maxReportDelay() clock.Micros {
	workers := l.cfg.Facts.Workers
	return min(recovery.ReportWithin(1+len(l.cfg.Others), clock.FromSeconds(workers.ReportS)), clock.FromSeconds(workers.LeaseS))
}

// recoveryReport tells operators how far the recovery is; false where this controller does
// not know, because its lease as leader is not there.
func (l *leader) recoveryReport() (r recovery.Report, known bool) {
	if _, may := l.elector.HoldsLease(); !may {
		return r, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reconciliation.progress.Fill(&r, l.clock.Now())
	l.countAttempts(&r.Attempts)
	var unrecorded []recovery.Unrecorded
	l.fleet.EachRunningOrphan(func(machine *fleet.Machine, task fleet.TaskID, attempt uint64) {
		unrecorded = append(unrecorded, recovery.Unrecorded{Task: task.String(), Attempt: attempt, Machine: machine.Name, Zone: machine.Zone,
			Why: l.decideOrphan(task, recovery.SignRunning).String()})
	})
	r.List(unrecorded, l.reconciliation.damaged)
	return r, true
}

// countAttempts counts the attempts on the books by state. The caller holds mu.
func (l *leader) countAttempts(counts *recovery.AttemptCounts) {
	l.fleet.EachMachine(func(machine *fleet.Machine) {
		awaited := l.reconciliation.progress.Awaited(machine.Name)
		machine.EachAllocation(func(allocation *fleet.Allocation) {
			switch {
			case !allocation.Live():
			case allocation.Adopted && awaited:
				counts.Awaited++
			case allocation.Reservation().State() == quota.Stopping:
				counts.Stopping++
			case allocation.Reservation().State() == quota.Running:
				counts.Running++
			default:
				counts.InDoubt++
			}
		})
	})
	for job := range l.reconciliation.unreadable {
		for i := range job.chunks {
			counts.Unreadable += job.chunks[i].unreadable
		}
	}
}
