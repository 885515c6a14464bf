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

// recoveryState is what a leader keeps of its recovery. The leader's lock guards it.
type recoveryState struct {
	checkIsolated func(ctx context.Context) bool // tells whether no other controller answers
	readRecords   func(ctx context.Context, source recovery.Source) (*recovery.Records, error)
	isolated      bool // no other controller answered lately
	progress      *recovery.Progress
	progressLog   progressLog
	damaged       []recovery.Damage
	// unusable are jobs whose record could not be read, or was missing beside attempts of it.
	unusable map[string]bool
	// unreadable are the jobs with tasks whose record can't be decoded, unreadableShared the
	// shared records among these, and horizon by when every lease that a predecessor may
	// have renewed is over.
	unreadable           map[*Job]bool
	unreadableShared     []*SharedRecord
	predecessorLeasesEnd clock.Micros
	// jobLookups is what was read of jobs that workers show tasks of and that are not on the
	// books, and wanted those that are to be read.
	jobLookups    map[string]lookup
	wantedLookups map[string]bool
	lookupWakeups chan struct{}
}

// progressLog tells which lines on the recovery the log has already.
type progressLog struct{ mostly, ended bool }

func newRecoveryState(since clock.Micros) recoveryState {
	return recoveryState{progress: recovery.NewProgress(since), unusable: map[string]bool{}, unreadable: map[*Job]bool{}, jobLookups: map[string]lookup{},
		wantedLookups: map[string]bool{}, lookupWakeups: make(chan struct{}, 1)}
}

// loadRecords reads every unfinished job and every recorded attempt. The machines of
// those may go on under the predecessor's last answers, so each keeps its
// bookings until it reports or its lease must have run out.
func (g *leader) loadRecords(ctx context.Context) (epoch uint64, err error) {
	began, spell := g.clock.Now(), g.interruptions()
	_, held := g.elector.HoldsLease()
	records, err := g.readRecords(ctx, g.store)
	if err != nil {
		return 0, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.predecessorLeasesEnd = now + g.predecessorsLease()
	g.recordDamage(records.Damaged)
	for uid, state := range records.States {
		if state == recovery.JobUnreadable || state == recovery.JobUnrecorded {
			g.unusable[uid] = true
		}
	}
	g.loadFleetRecords(records)
	for _, settled := range records.Settled {
		g.finalMoves = append(g.finalMoves, &finalMove{uid: settled.UID, modRevision: settled.Stamp, record: settled.Record})
	}
	for _, row := range records.Jobs {
		g.addRecord(row.Record, row.Stamp, now)
	}
	for _, chunk := range records.Chunks {
		g.loadChunk(records, chunk, now)
	}
	for _, shared := range records.Shared {
		g.loadShared(records, shared, now)
	}
	for _, shared := range records.Shared {
		if shared.Unreadable {
			g.loadUnreadableShared(shared)
		}
	}
	for _, j := range g.jobs {
		// The predecessor's rate holds the work of the jobs found here.
		j.arrivalCounted = records.Demand != nil
		g.prepareJob(j)
	}
	g.loaded = true
	g.progress.Loaded(now)
	g.changesRead(records.Epoch, began, spell, held)
	g.log.Info("records loaded", "jobs", len(records.Jobs)+len(records.Settled), "chunks", len(records.Chunks), "epoch", records.Epoch,
		"machines", g.progress.Machines(), "damaged", len(records.Damaged), "took_s", (g.clock.Now() - began).Seconds())
	return records.Epoch, nil
}

// predecessorsLease is how long the answers of a predecessor may keep a worker's lease from
// now on.
func (g *leader) predecessorsLease() clock.Micros {
	lease := clock.FromSeconds(g.cfg.Facts.Workers.LeaseS)
	return (lease + lead.AttestationTTL).Stretch(clock.Drift) + clock.Second
}

// loadFleetRecords takes in the machine types and the rate of work. The caller holds mu.
func (g *leader) loadFleetRecords(records *recovery.Records) {
	if demand := records.Demand; demand != nil {
		g.predecessorRate = cloud.Load{Cores: demand.Cores, RAM: demand.RAM, Accelerators: demand.Accelerators}
		for class, v := range demand.Classes {
			if v[0] > 0 && v[1] > 0 {
				g.classRuns[class] = runTimeStat{count: int(v[0]), total: clock.Micros(v[1])}
			}
		}
	}
	if records.Catalog != nil {
		g.catalog, g.catalogRevision = records.Catalog.Catalog, records.Catalog.Stamp
		g.fleet.SetCatalog(g.catalog)
	}
}

// finishedJob gives a job that is over while some of its tasks may be on machines. The caller holds mu.
func (g *leader) finishedJob(records *recovery.Records, uid string) *Job {
	j := g.jobs[uid]
	if j == nil {
		over := records.Over[uid]
		j = &Job{uid: uid, spec: remainingSpec(uid, &over), cancelled: true}
		j.planJob = g.newPlanJob(j)
		g.jobs[uid] = j
	}
	g.dirty[uid] = true
	return j
}

// loadChunk takes in the record of some of a job's tasks. The caller holds mu.
func (g *leader) loadChunk(records *recovery.Records, row recovery.ChunkRow, now clock.Micros) {
	var j *Job
	switch records.States[row.UID] {
	case recovery.JobActive:
		j = g.jobs[row.UID]
	case recovery.JobOver:
		j = g.finishedJob(records, row.UID)
		for len(j.tasks) < (row.Number+1)*store.TasksPerChunk {
			j.tasks = append(j.tasks, Task{})
		}
	default:
		return // its job is not known: what workers show of it is left alone
	}
	for len(j.chunks) <= row.Number {
		j.chunks = append(j.chunks, Chunk{})
	}
	j.chunks[row.Number].modRevision = row.Stamp
	base := row.Number * store.TasksPerChunk
	done := records.Over[row.UID].Status == wire.JobDone // it has ended wherever it was
	if row.Unreadable && !done {
		for i := base; i < min(base+store.TasksPerChunk, j.taskCount()); i++ {
			g.markUnreadable(j, i, row.Stamp)
		}
		return
	}
	for i, d := range row.Done {
		if d && base+i < len(j.tasks) {
			j.tasks[base+i].state = taskDone
			j.done++
		}
	}
	for _, p := range row.Runs {
		if !done {
			g.adoptAttempt(j, base+p.Index, p, now)
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
func (g *leader) loadShared(records *recovery.Records, row recovery.SharedRow, now clock.Micros) {
	if row.Unreadable {
		return
	}
	s := &SharedRecord{key: row.Key, jobCount: store.JobsPerSharedRecord}
	s.modRevision = row.Stamp
	for _, r := range row.Record.Rows {
		j := g.jobs[r.UID]
		// A job that is done has ended wherever it was.
		if j == nil && records.States[r.UID] == recovery.JobOver && r.Machine != "" && records.Over[r.UID].Status != wire.JobDone {
			j = g.finishedJob(records, r.UID)
			j.tasks = make([]Task, 1)
		}
		if g.unusable[r.UID] {
			s.keptRows = append(s.keptRows, r)
			continue
		}
		if j == nil || len(j.tasks) != 1 {
			s.version++ // nothing of it can be anywhere: its row goes
			continue
		}
		j.shared = s
		s.jobs = append(s.jobs, j)
		g.adoptAttempt(j, 0, store.TaskAttempt{Attempt: r.Attempt, Machine: r.Machine, Incarnation: r.Incarnation}, now)
	}
	if s.version > 0 || len(s.jobs)+len(s.keptRows) == 0 {
		s.version++
		g.staleShared[s] = true
	}
}

// loadUnreadableShared takes in a shared record that can't be decoded: every job of one task of
// which no other record names an attempt may be in it. The caller holds mu.
func (g *leader) loadUnreadableShared(row recovery.SharedRow) {
	s := &SharedRecord{key: row.Key, jobCount: store.JobsPerSharedRecord}
	s.modRevision = row.Stamp
	s.version++
	g.unreadableShared = append(g.unreadableShared, s)
	for _, j := range g.jobs {
		if !j.cancelled && j.sharesRecord() && j.shared == nil && j.chunks[0].modRevision == 0 && !j.tasks[0].hasRun {
			g.markUnreadable(j, 0, row.Stamp)
		}
	}
}

// prepareJob readies a job's lists of waiting tasks once its records are in. The caller holds mu.
func (g *leader) prepareJob(j *Job) {
	if j.cancelled {
		return
	}
	j.waiting = j.waiting[:0]
	delete(g.queue, j)
	for i := range j.tasks {
		j.tasks[i].queued = false
		if j.tasks[i].state == taskWaiting {
			g.enqueue(j, i)
		}
	}
	if j.done == len(j.tasks) {
		g.dirty[j.uid] = true
	}
	// What a predecessor knew of a job that fails everywhere went with it: one all
	// of whose attempts are over without any result is tried with one task first.
	j.failures.succeeded = j.done > 0
	j.failures.suspectAtStart = j.started && j.done == 0 && len(j.waiting) == len(j.tasks)
}

// adoptAttempt takes in an attempt that a predecessor recorded. The caller holds mu.
func (g *leader) adoptAttempt(j *Job, index int, p store.TaskAttempt, now clock.Micros) {
	pc := &j.tasks[index]
	pc.attempt, pc.hasRun = p.Attempt, true
	j.started = true
	if p.Machine == "" {
		return
	}
	m := g.fleet.Ensure(p.Machine, now)
	g.awaitedMachines[m] = true
	m.LeaseEnd = max(m.LeaseEnd, now+g.predecessorsLease())
	g.progress.Await(m.Name, m.LeaseEnd)
	b := g.newAllocation(j, index, p.Attempt)
	b.Incarnation = p.Incarnation
	g.fleet.Adopt(m, b, now)
	if j.cancelled {
		g.fleet.Stop(b, 0, now)
	}
	pc.state, pc.allocation = taskPlaced, b
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
func (g *leader) markUnreadable(j *Job, index int, stamp uint64) {
	pc := &j.tasks[index]
	if pc.state == taskUnreadable {
		pc.attempt = max(pc.attempt, firstUnreadableAttempt+stamp)
		return
	}
	pc.state, pc.attempt, pc.hasRun = taskUnreadable, firstUnreadableAttempt+stamp, true
	pc.reservation = g.quota.Adopt(j.spec.Team, j.taskAmount())
	j.started = true
	j.planJob.Count("", "", 1)
	j.chunkOf(index).unreadable++
	g.unreadable[j] = true
}

// resolveUnreadable notes that it is known what has become of such a task. The caller holds mu.
func (g *leader) resolveUnreadable(j *Job, index int) {
	pc := &j.tasks[index]
	pc.state = taskWaiting
	pc.reservation.Release()
	pc.reservation = nil
	j.planJob.Count("", "", -1)
	j.chunkOf(index).unreadable--
}

// chunkOf is the record that a task's attempts belong to when they share none.
func (j *Job) chunkOf(index int) *Chunk { return &j.chunks[index/store.TasksPerChunk] }

// adoptReported takes onto the books what a machine shows of tasks whose record can't be
// decoded. A report may be an old copy, so only one of a machine that has shown this leader's
// token counts. The caller holds mu.
func (g *leader) adoptReported(m *fleet.Machine, now clock.Micros) {
	if len(g.unreadable) == 0 || !m.Reported || m.Suspect {
		return
	}
	type shown struct {
		task    fleet.TaskID
		attempt uint64
	}
	var found []shown
	g.fleet.EachOrphan(m, func(task fleet.TaskID, attempt uint64, sign recovery.Sign) {
		if d := g.decideOrphan(task, sign); d == recovery.Adopt || d == recovery.TakeResult {
			found = append(found, shown{task, attempt})
		}
	})
	for _, s := range found {
		j := g.jobs[s.task.Job]
		pc := &j.tasks[s.task.Index]
		if pc.state != taskUnreadable {
			continue
		}
		g.resolveUnreadable(j, s.task.Index)
		b := g.newAllocation(j, s.task.Index, s.attempt)
		b.Incarnation = m.Incarnation
		g.fleet.AdoptOrphan(m, b, now)
		pc.state, pc.allocation, pc.attempt = taskPlaced, b, s.attempt
		if b.RunningSince > 0 {
			j.running++
		}
		j.markChanged(s.task.Index)
		g.recordResultSoon(j, now)
	}
}

// releaseUnreadable lets tasks whose record can't be decoded start again once every machine is
// accounted for: then those that no machine has shown are nowhere. The caller holds mu.
func (g *leader) releaseUnreadable(now clock.Micros) {
	if len(g.unreadable) == 0 && len(g.unreadableShared) == 0 || now < g.predecessorLeasesEnd || !g.allAccounted(now) {
		return
	}
	tasks := 0
	for j := range g.unreadable {
		for i := range j.tasks {
			if j.tasks[i].state != taskUnreadable {
				continue
			}
			tasks++
			g.resolveUnreadable(j, i)
			if !j.cancelled {
				g.enqueue(j, i)
			}
		}
		g.dirty[j.uid] = true
	}
	clear(g.unreadable)
	for _, s := range g.unreadableShared {
		g.staleShared[s] = true // nothing of what it held is needed any more
	}
	g.unreadableShared = nil
	g.jobsChanged = true
	g.log.Info("every machine is accounted for: tasks of unreadable records that none has shown may start", "tasks", tasks)
}

// allAccounted tells whether what every machine may run is known: it reports and has shown this
// leader's token, so that no older command can start anything there, or its lease is over. An
// answer to a question shows what runs, but refuses no older command. The caller holds mu.
func (g *leader) allAccounted(now clock.Micros) bool {
	accounted := true
	g.fleet.EachMachine(func(m *fleet.Machine) {
		trusted := m.Reported && !m.Suspect && !m.Unresponsive && m.Token >= g.term.Token
		if !trusted && m.AnsweredAt > 0 && !m.LeaseExpired(now) {
			accounted = false
		}
	})
	return accounted
}

// recordRestored tells whether a job that comes could not be used when the records were read. What is on
// record of its attempts was passed over then, so all records have to be read anew, by the next
// leader: under a token of its own, since commands of this one may be on their way. The caller holds mu.
func (g *leader) recordRestored(uid string) bool {
	if !g.unusable[uid] {
		return false
	}
	g.log.Info("the record of a job can be used again: giving leadership up, so that all records are read anew", "job", uid)
	go g.elector.Resign()
	return true
}

// recordDamage keeps and logs what can't be used of the records. The caller holds mu.
func (g *leader) recordDamage(damaged []recovery.Damage) {
	const mostLogged = 5
	for i, d := range damaged {
		if i < mostLogged {
			g.log.Error("record can't be used", "key", d.Key, "kind", d.Kind, "detail", d.Detail, "follows", d.Kind.Advice())
		}
	}
	if more := len(damaged) - mostLogged; more > 0 {
		g.log.Error("further records can't be used: see cedardoor recovery", "more", more)
	}
	g.damaged = append(g.damaged, damaged...)
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
func (g *leader) decideOrphan(id fleet.TaskID, sign recovery.Sign) recovery.Decision {
	c := recovery.Case{Job: recovery.JobActive, Attempt: recovery.AttemptOther, Sign: sign}
	switch j := g.jobs[id.Job]; {
	case j == nil && sign != recovery.SignRunning:
		c.Job = recovery.JobNotRead // what its job is makes no difference
	case j == nil:
		c.Job = g.jobState(id.Job)
	case j.cancelled:
		c.Job = recovery.JobOver
	case id.Index < len(j.tasks) && j.tasks[id.Index].state == taskUnreadable:
		c.Attempt = recovery.AttemptUnreadable
	}
	return recovery.Decide(c)
}

// hasOrphansToStop tells whether a machine shows a task to stop that is not on the books. The
// caller holds mu.
func (g *leader) hasOrphansToStop(m *fleet.Machine) (stops bool) {
	if m.RunningOrphans() == 0 {
		return false
	}
	g.fleet.EachOrphan(m, func(task fleet.TaskID, _ uint64, sign recovery.Sign) {
		stops = stops || g.decideOrphan(task, sign) == recovery.Stop
	})
	return stops
}

// jobState is what was last read of a job that is not on the books; it is read again when
// that was long ago. The caller holds mu.
func (g *leader) jobState(uid string) recovery.JobState {
	known, read := g.jobLookups[uid]
	if !read || known.state != recovery.JobOver && g.clock.Now()-known.at > lookupValidFor {
		g.wantedLookups[uid] = true
		select {
		case g.lookupWakeups <- struct{}{}:
		default:
		}
	}
	return known.state
}

// forgetJob takes a job off the books of which nothing is left. The caller holds mu.
func (g *leader) forgetJob(j *Job) {
	delete(g.jobs, j.uid)
	if len(g.jobLookups) >= maxLookups {
		clear(g.jobLookups)
	}
	g.jobLookups[j.uid] = lookup{state: recovery.JobOver}
}

// orphanLookupLoop reads the jobs that workers show tasks of and that are not on the books.
func (g *leader) orphanLookupLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.lookupWakeups:
		}
		g.lookUpOrphans(ctx)
	}
}

// lookUpOrphans reads the jobs that are wanted by now, one after another.
func (g *leader) lookUpOrphans(ctx context.Context) {
	for _, uid := range g.takeWantedLookups() {
		for g.hasOrphans(uid) && ctx.Err() == nil {
			err := g.lookUpJob(ctx, uid)
			g.sleep(ctx, g.orphanLookupInterval())
			if err == nil {
				break
			}
		}
	}
}

// orphanLookupInterval is how far apart jobs are looked up, at two reads each: an old copy of a report can
// name hundreds that were over long ago, and the reads take a quarter of the state service's
// requests at most.
func (g *leader) orphanLookupInterval() clock.Micros {
	return clock.FromSeconds(8 / g.cfg.Facts.State.RPS)
}

// hasOrphans tells whether a worker still shows tasks of a job that are not on the books.
func (g *leader) hasOrphans(uid string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.fleet.MachinesWithOrphansOf(uid)) > 0
}

// takeWantedLookups takes the jobs that are to be read.
func (g *leader) takeWantedLookups() (uids []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for uid := range g.wantedLookups {
		uids = append(uids, uid)
	}
	clear(g.wantedLookups)
	slices.Sort(uids)
	return uids
}

// lookUpJob reads where a job is: among the unfinished ones first, since a job leaves them
// for the final states in one transaction. It counts only under the leader's lease.
func (g *leader) lookUpJob(ctx context.Context, uid string) error {
	if _, held := g.elector.HoldsLease(); !held {
		return errNotSent
	}
	state, row, err := recovery.ReadJob(ctx, g.store, uid)
	if err != nil {
		return err
	}
	if _, held := g.elector.HoldsLease(); !held {
		return errNotSent
	}
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if before := g.jobLookups[uid]; before.state != state {
		g.log.Info("a worker shows tasks that are not on the books", "job", uid, "state", state)
	}
	switch {
	case state == recovery.JobActive:
		if err := g.addJob(row.Key, row.Value, row.ModRevision, now); err != nil {
			return err
		}
	case g.jobs[uid] == nil:
		g.jobLookups[uid] = lookup{state: state, at: now}
	}
	for _, m := range g.fleet.MachinesWithOrphansOf(uid) {
		g.urgentMachines[m] = true
	}
	g.wake()
	return nil
}

// logProgress logs how far the recovery is, a line for each stage. The caller holds mu.
func (g *leader) logProgress() {
	p, told := g.progress, &g.progressLog
	if p.Machines() == 0 {
		return
	}
	const worthALine = 10
	if !told.mostly && p.MostlySettled() > 0 && p.Ended() == 0 {
		told.mostly = true
		if p.Machines() >= worthALine {
			g.log.Info("most machines are reconciled", "machines", p.Machines(), "awaited", p.Count(recovery.MachineAwaited),
				"took_s", (p.MostlySettled() - p.Began()).Seconds())
		}
	}
	if !told.ended && p.Ended() > 0 {
		told.ended = true
		g.log.Info("recovery is complete", "machines", p.Machines(), "reconciled", p.Count(recovery.MachineReconciled),
			"gone", p.Count(recovery.MachineGone), "took_s", (p.Ended() - p.Began()).Seconds())
	}
}

// reconnecting tells whether the workers have yet to find this leader: those that are not
// heard are not lost. The caller holds mu.
func (g *leader) reconnecting(now clock.Micros) bool {
	return g.progress.Reconnecting(now, g.maxReportDelay(), g.isolated)
}

// checkIsolation finds out whether other controllers answer, while that tells whether machines may
// have yet to report.
func (g *leader) checkIsolation(ctx context.Context) {
	g.mu.Lock()
	matters := g.progress.Stage() == recovery.StageReconciling && g.clock.Now()-g.progress.Began() < g.maxReportDelay()
	g.mu.Unlock()
	if !matters {
		return
	}
	alone := g.checkIsolated(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolated = alone
}

// maxReportDelay is how long a worker may take to find this leader where no other controller
// answers. After a lease there is nothing left to wait for.
func (g *leader) maxReportDelay() clock.Micros {
	workers := g.cfg.Facts.Workers
	return min(recovery.ReportWithin(1+len(g.cfg.Others), clock.FromSeconds(workers.ReportS)), clock.FromSeconds(workers.LeaseS))
}

// recoveryReport tells operators how far the recovery is; false where this controller does
// not know, because its lease as leader is not there.
func (g *leader) recoveryReport() (r recovery.Report, known bool) {
	if _, may := g.elector.HoldsLease(); !may {
		return r, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.progress.Fill(&r, g.clock.Now())
	g.countAttempts(&r.Attempts)
	var unrecorded []recovery.Unrecorded
	g.fleet.EachRunningOrphan(func(m *fleet.Machine, task fleet.TaskID, attempt uint64) {
		unrecorded = append(unrecorded, recovery.Unrecorded{Task: task.String(), Attempt: attempt, Machine: m.Name, Zone: m.Zone,
			Why: g.decideOrphan(task, recovery.SignRunning).String()})
	})
	r.List(unrecorded, g.damaged)
	return r, true
}

// countAttempts counts the attempts on the books by state. The caller holds mu.
func (g *leader) countAttempts(counts *recovery.AttemptCounts) {
	g.fleet.EachMachine(func(m *fleet.Machine) {
		awaited := g.progress.Awaited(m.Name)
		m.EachAllocation(func(b *fleet.Allocation) {
			switch {
			case !b.Live():
			case b.Adopted && awaited:
				counts.Awaited++
			case b.Reservation().State() == quota.Stopping:
				counts.Stopping++
			case b.Reservation().State() == quota.Running:
				counts.Running++
			default:
				counts.InDoubt++
			}
		})
	})
	for j := range g.unreadable {
		for i := range j.chunks {
			counts.Unreadable += j.chunks[i].unreadable
		}
	}
}
