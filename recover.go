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

// recovering is what a leader keeps of its recovery. The leader's lock guards it.
type recovering struct {
	alone       func(ctx context.Context) bool // tells whether no other controller answers
	readRecords func(ctx context.Context, source recovery.Source) (*recovery.Records, error)
	isAlone     bool // no other controller answered lately
	progress    *recovery.Progress
	progressLog progressLog
	damaged     []recovery.Damage
	// unusable are jobs whose record could not be read, or was missing beside attempts of it.
	unusable map[string]bool
	// unreadable are the jobs with tasks whose record can't be decoded, unreadableShared the
	// shared records among these, and horizon by when every lease that a predecessor may
	// have renewed is over.
	unreadable       map[*job]bool
	unreadableShared []*sharedRecord
	horizon          clock.Micros
	// lookups is what was read of jobs that workers show tasks of and that are not on the
	// books, and wanted those that are to be read.
	lookups    map[string]lookup
	wanted     map[string]bool
	lookUpKick chan struct{}
}

// progressLog tells which lines on the recovery the log has already.
type progressLog struct{ mostly, ended bool }

func newRecovering(since clock.Micros) recovering {
	return recovering{progress: recovery.NewProgress(since), unusable: map[string]bool{}, unreadable: map[*job]bool{}, lookups: map[string]lookup{},
		wanted: map[string]bool{}, lookUpKick: make(chan struct{}, 1)}
}

// load reads every unfinished job and every recorded attempt. The machines of
// those may go on under the predecessor's last answers, so each keeps its
// bookings until it reports or its lease must have run out.
func (g *term) load(ctx context.Context) (epoch uint64, err error) {
	began, spell := g.ck.Now(), g.spell()
	_, held := g.el.HoldsLease()
	records, err := g.readRecords(ctx, g.st)
	if err != nil {
		return 0, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ck.Now()
	g.horizon = now + g.predecessorsLease()
	g.noteDamage(records.Damaged)
	for uid, state := range records.States {
		if state == recovery.JobUnreadable || state == recovery.JobUnrecorded {
			g.unusable[uid] = true
		}
	}
	g.takeFleet(records)
	for _, settled := range records.Settled {
		g.finalMoves = append(g.finalMoves, &finalMove{uid: settled.UID, stamp: settled.Stamp, rec: settled.Record})
	}
	for _, row := range records.Jobs {
		g.addRecord(row.Record, row.Stamp, now)
	}
	for _, chunk := range records.Chunks {
		g.takeChunk(records, chunk, now)
	}
	for _, shared := range records.Shared {
		g.takeShared(records, shared, now)
	}
	for _, shared := range records.Shared {
		if shared.Unreadable {
			g.takeUnreadableShared(shared)
		}
	}
	for _, j := range g.jobs {
		// The predecessor's rate holds the work of the jobs found here.
		j.counted = records.Demand != nil
		g.readyJob(j)
	}
	g.loaded = true
	g.progress.Loaded(now)
	g.read(records.Epoch, began, spell, held)
	g.log.Info("records loaded", "jobs", len(records.Jobs)+len(records.Settled), "chunks", len(records.Chunks), "epoch", records.Epoch,
		"machines", g.progress.Machines(), "damaged", len(records.Damaged), "took_s", (g.ck.Now() - began).Seconds())
	return records.Epoch, nil
}

// predecessorsLease is how long the answers of a predecessor may keep a worker's lease from
// now on.
func (g *term) predecessorsLease() clock.Micros {
	lease := clock.FromSeconds(g.cfg.Facts.Workers.LeaseS)
	return (lease + lead.AttestationTTL).Stretch(clock.Drift) + clock.Second
}

// takeFleet takes in the machine types and the rate of work. The caller holds mu.
func (g *term) takeFleet(records *recovery.Records) {
	if demand := records.Demand; demand != nil {
		g.seeded = cloud.Load{Cores: demand.Cores, RAM: demand.RAM, Accelerators: demand.Accelerators}
		for class, v := range demand.Classes {
			if v[0] > 0 && v[1] > 0 {
				g.classes[class] = runStat{n: int(v[0]), sum: clock.Micros(v[1])}
			}
		}
	}
	if records.Catalog != nil {
		g.catalog, g.catStamp = records.Catalog.Catalog, records.Catalog.Stamp
		g.fl.SetCatalog(g.catalog)
	}
}

// overJob gives a job that is over while some of its tasks may be on machines. The caller holds mu.
func (g *term) overJob(records *recovery.Records, uid string) *job {
	j := g.jobs[uid]
	if j == nil {
		over := records.Over[uid]
		j = &job{uid: uid, spec: leftOf(uid, &over), cancelled: true}
		j.pj = g.planJob(j)
		g.jobs[uid] = j
	}
	g.dirty[uid] = true
	return j
}

// takeChunk takes in the record of some of a job's tasks. The caller holds mu.
func (g *term) takeChunk(records *recovery.Records, row recovery.ChunkRow, now clock.Micros) {
	var j *job
	switch records.States[row.UID] {
	case recovery.JobActive:
		j = g.jobs[row.UID]
	case recovery.JobOver:
		j = g.overJob(records, row.UID)
		for len(j.tasks) < (row.Number+1)*store.TasksPerChunk {
			j.tasks = append(j.tasks, task{})
		}
	default:
		return // its job is not known: what workers show of it is left alone
	}
	for len(j.chunks) <= row.Number {
		j.chunks = append(j.chunks, chunk{})
	}
	j.chunks[row.Number].stamp = row.Stamp
	base := row.Number * store.TasksPerChunk
	done := records.Over[row.UID].Status == wire.JobDone // it has ended wherever it was
	if row.Unreadable && !done {
		for i := base; i < min(base+store.TasksPerChunk, j.size()); i++ {
			g.hide(j, i, row.Stamp)
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
			g.adopt(j, base+p.Index, p, now)
		}
	}
}

// size is how many tasks the job has: of one that is over, the list holds whole chunks.
func (j *job) size() int {
	if j.cancelled {
		return min(len(j.tasks), j.spec.Tasks)
	}
	return len(j.tasks)
}

// takeShared takes in a record that single tasks share. The caller holds mu.
func (g *term) takeShared(records *recovery.Records, row recovery.SharedRow, now clock.Micros) {
	if row.Unreadable {
		return
	}
	s := &sharedRecord{key: row.Key, n: store.JobsPerSharedRecord}
	s.stamp = row.Stamp
	for _, r := range row.Record.Rows {
		j := g.jobs[r.UID]
		// A job that is done has ended wherever it was.
		if j == nil && records.States[r.UID] == recovery.JobOver && r.Machine != "" && records.Over[r.UID].Status != wire.JobDone {
			j = g.overJob(records, r.UID)
			j.tasks = make([]task, 1)
		}
		if g.unusable[r.UID] {
			s.kept = append(s.kept, r)
			continue
		}
		if j == nil || len(j.tasks) != 1 {
			s.seq++ // nothing of it can be anywhere: its row goes
			continue
		}
		j.shared = s
		s.jobs = append(s.jobs, j)
		g.adopt(j, 0, store.TaskAttempt{Attempt: r.Attempt, Machine: r.Machine, Incarnation: r.Incarnation}, now)
	}
	if s.seq > 0 || len(s.jobs)+len(s.kept) == 0 {
		s.seq++
		g.untidy[s] = true
	}
}

// takeUnreadableShared takes in a shared record that can't be decoded: every job of one task of
// which no other record names an attempt may be in it. The caller holds mu.
func (g *term) takeUnreadableShared(row recovery.SharedRow) {
	s := &sharedRecord{key: row.Key, n: store.JobsPerSharedRecord}
	s.stamp = row.Stamp
	s.seq++
	g.unreadableShared = append(g.unreadableShared, s)
	for _, j := range g.jobs {
		if !j.cancelled && j.single() && j.shared == nil && j.chunks[0].stamp == 0 && !j.tasks[0].ran {
			g.hide(j, 0, row.Stamp)
		}
	}
}

// readyJob readies a job's lists of waiting tasks once its records are in. The caller holds mu.
func (g *term) readyJob(j *job) {
	if j.cancelled {
		return
	}
	j.waiting = j.waiting[:0]
	delete(g.queue, j)
	for i := range j.tasks {
		j.tasks[i].listed = false
		if j.tasks[i].state == taskWaiting {
			g.wait(j, i)
		}
	}
	if j.done == len(j.tasks) {
		g.dirty[j.uid] = true
	}
	// What a predecessor knew of a job that fails everywhere went with it: one all
	// of whose attempts are over without any result is tried with one task first.
	j.failures.good = j.done > 0
	j.failures.wary = j.started && j.done == 0 && len(j.waiting) == len(j.tasks)
}

// adopt takes in an attempt that a predecessor recorded. The caller holds mu.
func (g *term) adopt(j *job, index int, p store.TaskAttempt, now clock.Micros) {
	pc := &j.tasks[index]
	pc.attempt, pc.ran = p.Attempt, true
	j.started = true
	if p.Machine == "" {
		return
	}
	m := g.fl.Ensure(p.Machine, now)
	g.unheard[m] = true
	m.LeaseEnd = max(m.LeaseEnd, now+g.predecessorsLease())
	g.progress.Await(m.Name, m.LeaseEnd)
	b := g.booking(j, index, p.Attempt)
	b.Incarnation = p.Incarnation
	g.fl.Adopt(m, b, now)
	if j.cancelled {
		g.fl.Stop(b, 0, now)
	}
	pc.state, pc.booking = taskPlaced, b
}

// leftOf is what the tasks of a job that is over take, where some are left.
func leftOf(uid string, rec *store.FinalRecord) wire.Spec {
	return wire.Spec{UID: uid, Team: rec.Team, Cores: rec.Cores, Accelerators: rec.Accelerators, RAM: rec.RAM, Tasks: rec.Tasks}
}

// unreadableAttempts is where the attempts of a task are numbered from whose record can't be
// decoded. Each earlier attempt took a change of the record, so with the record's stamp
// added no number is given twice, also where that happens again.
const unreadableAttempts = 1 << 32

// hide notes a task that may run somewhere by a record that can't be decoded: it counts for
// its team and its zones, and is started nowhere before every machine is accounted for. The caller holds mu.
func (g *term) hide(j *job, index int, stamp uint64) {
	pc := &j.tasks[index]
	if pc.state == taskUnreadable {
		pc.attempt = max(pc.attempt, unreadableAttempts+stamp)
		return
	}
	pc.state, pc.attempt, pc.ran = taskUnreadable, unreadableAttempts+stamp, true
	pc.reservation = g.quota.Adopt(j.spec.Team, j.task())
	j.started = true
	j.pj.Count("", "", 1)
	j.chunkOf(index).unreadable++
	g.unreadable[j] = true
}

// reveal notes that it is known what has become of such a task. The caller holds mu.
func (g *term) reveal(j *job, index int) {
	pc := &j.tasks[index]
	pc.state = taskWaiting
	pc.reservation.Release()
	pc.reservation = nil
	j.pj.Count("", "", -1)
	j.chunkOf(index).unreadable--
}

// chunkOf is the record that a task's attempts belong to when they share none.
func (j *job) chunkOf(index int) *chunk { return &j.chunks[index/store.TasksPerChunk] }

// adoptShown takes onto the books what a machine shows of tasks whose record can't be
// decoded. A report may be an old copy, so only one of a machine that has shown this leader's
// token counts. The caller holds mu.
func (g *term) adoptShown(m *fleet.Machine, now clock.Micros) {
	if len(g.unreadable) == 0 || !m.Reported || m.Suspect {
		return
	}
	type shown struct {
		task    fleet.TaskID
		attempt uint64
	}
	var found []shown
	g.fl.EachOrphan(m, func(task fleet.TaskID, attempt uint64, sign recovery.Sign) {
		if d := g.decideUnbooked(task, sign); d == recovery.Adopt || d == recovery.TakeResult {
			found = append(found, shown{task, attempt})
		}
	})
	for _, s := range found {
		j := g.jobs[s.task.Job]
		pc := &j.tasks[s.task.Index]
		if pc.state != taskUnreadable {
			continue
		}
		g.reveal(j, s.task.Index)
		b := g.booking(j, s.task.Index, s.attempt)
		b.Incarnation = m.Incarnation
		g.fl.AdoptOrphan(m, b, now)
		pc.state, pc.booking, pc.attempt = taskPlaced, b, s.attempt
		if b.RunningSince > 0 {
			j.running++
		}
		j.touch(s.task.Index)
		g.later(j, now)
	}
}

// settleUnreadable lets tasks whose record can't be decoded start again once every machine is
// accounted for: then those that no machine has shown are nowhere. The caller holds mu.
func (g *term) settleUnreadable(now clock.Micros) {
	if len(g.unreadable) == 0 && len(g.unreadableShared) == 0 || now < g.horizon || !g.allAccounted(now) {
		return
	}
	tasks := 0
	for j := range g.unreadable {
		for i := range j.tasks {
			if j.tasks[i].state != taskUnreadable {
				continue
			}
			tasks++
			g.reveal(j, i)
			if !j.cancelled {
				g.wait(j, i)
			}
		}
		g.dirty[j.uid] = true
	}
	clear(g.unreadable)
	for _, s := range g.unreadableShared {
		g.untidy[s] = true // nothing of what it held is needed any more
	}
	g.unreadableShared = nil
	g.fresh = true
	g.log.Info("every machine is accounted for: tasks of unreadable records that none has shown may start", "tasks", tasks)
}

// allAccounted tells whether what every machine may run is known: it reports and has shown this
// leader's token, so that no older command can start anything there, or its lease is over. An
// answer to a question shows what runs, but refuses no older command. The caller holds mu.
func (g *term) allAccounted(now clock.Micros) bool {
	accounted := true
	g.fl.EachMachine(func(m *fleet.Machine) {
		trusted := m.Reported && !m.Suspect && !m.Unresponsive && m.Token >= g.r.Token
		if !trusted && m.AnsweredAt > 0 && !m.LeaseExpired(now) {
			accounted = false
		}
	})
	return accounted
}

// restored tells whether a job that comes could not be used when the records were read. What is on
// record of its attempts was passed over then, so all records have to be read anew, by the next
// leader: under a token of its own, since commands of this one may be on their way. The caller holds mu.
func (g *term) restored(uid string) bool {
	if !g.unusable[uid] {
		return false
	}
	g.log.Info("the record of a job can be used again: giving leadership up, so that all records are read anew", "job", uid)
	go g.el.Resign()
	return true
}

// noteDamage keeps and logs what can't be used of the records. The caller holds mu.
func (g *term) noteDamage(damaged []recovery.Damage) {
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

// lookAgain is how long what was read of a job that is not over is taken for true.
const lookAgain = 5 * clock.Second

// mostLookups bounds what is remembered of jobs that are over.
const mostLookups = 2048

// decideUnbooked tells what follows for a task that a worker shows and that is not on the
// books. The caller holds mu.
func (g *term) decideUnbooked(id fleet.TaskID, sign recovery.Sign) recovery.Decision {
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

// stopsUnbooked tells whether a machine shows a task to stop that is not on the books. The
// caller holds mu.
func (g *term) stopsUnbooked(m *fleet.Machine) (stops bool) {
	if m.RunningOrphans() == 0 {
		return false
	}
	g.fl.EachOrphan(m, func(task fleet.TaskID, _ uint64, sign recovery.Sign) {
		stops = stops || g.decideUnbooked(task, sign) == recovery.Stop
	})
	return stops
}

// jobState is what was last read of a job that is not on the books; it is read again when
// that was long ago. The caller holds mu.
func (g *term) jobState(uid string) recovery.JobState {
	known, read := g.lookups[uid]
	if !read || known.state != recovery.JobOver && g.ck.Now()-known.at > lookAgain {
		g.wanted[uid] = true
		select {
		case g.lookUpKick <- struct{}{}:
		default:
		}
	}
	return known.state
}

// forgetJob takes a job off the books of which nothing is left. The caller holds mu.
func (g *term) forgetJob(j *job) {
	delete(g.jobs, j.uid)
	if len(g.lookups) >= mostLookups {
		clear(g.lookups)
	}
	g.lookups[j.uid] = lookup{state: recovery.JobOver}
}

// lookUpLoop reads the jobs that workers show tasks of and that are not on the books.
func (g *term) lookUpLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.lookUpKick:
		}
		g.lookUpWanted(ctx)
	}
}

// lookUpWanted reads the jobs that are wanted by now, one after another.
func (g *term) lookUpWanted(ctx context.Context) {
	for _, uid := range g.wantedJobs() {
		for g.shown(uid) && ctx.Err() == nil {
			err := g.lookUp(ctx, uid)
			g.sleep(ctx, g.lookUpPause())
			if err == nil {
				break
			}
		}
	}
}

// lookUpPause is how far apart jobs are looked up, at two reads each: an old copy of a report can
// name hundreds that were over long ago, and the reads take a quarter of the state service's
// requests at most.
func (g *term) lookUpPause() clock.Micros { return clock.FromSeconds(8 / g.cfg.Facts.State.RPS) }

// shown tells whether a worker still shows tasks of a job that are not on the books.
func (g *term) shown(uid string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.fl.MachinesWithOrphansOf(uid)) > 0
}

// wantedJobs takes the jobs that are to be read.
func (g *term) wantedJobs() (uids []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for uid := range g.wanted {
		uids = append(uids, uid)
	}
	clear(g.wanted)
	slices.Sort(uids)
	return uids
}

// lookUp reads where a job is: among the unfinished ones first, since a job leaves them
// for the final states in one transaction. It counts only under the leader's lease.
func (g *term) lookUp(ctx context.Context, uid string) error {
	if _, held := g.el.HoldsLease(); !held {
		return errLate
	}
	state, row, err := recovery.ReadJob(ctx, g.st, uid)
	if err != nil {
		return err
	}
	if _, held := g.el.HoldsLease(); !held {
		return errLate
	}
	now := g.ck.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if before := g.lookups[uid]; before.state != state {
		g.log.Info("a worker shows tasks that are not on the books", "job", uid, "state", state)
	}
	switch {
	case state == recovery.JobActive:
		if err := g.addJob(row.Key, row.Value, row.ModRevision, now); err != nil {
			return err
		}
	case g.jobs[uid] == nil:
		g.lookups[uid] = lookup{state: state, at: now}
	}
	for _, m := range g.fl.MachinesWithOrphansOf(uid) {
		g.toTell[m] = true
	}
	g.wake()
	return nil
}

// tellProgress logs how far the recovery is, a line for each stage. The caller holds mu.
func (g *term) tellProgress() {
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
func (g *term) reconnecting(now clock.Micros) bool {
	return g.progress.Reconnecting(now, g.reportWithin(), g.isAlone)
}

// lookAround finds out whether other controllers answer, while that tells whether machines may
// have yet to report.
func (g *term) lookAround(ctx context.Context) {
	g.mu.Lock()
	matters := g.progress.Stage() == recovery.StageReconciling && g.ck.Now()-g.progress.Began() < g.reportWithin()
	g.mu.Unlock()
	if !matters {
		return
	}
	alone := g.alone(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isAlone = alone
}

// reportWithin is how long a worker may take to find this leader where no other controller
// answers. After a lease there is nothing left to wait for.
func (g *term) reportWithin() clock.Micros {
	workers := g.cfg.Facts.Workers
	return min(recovery.ReportWithin(1+len(g.cfg.Others), clock.FromSeconds(workers.ReportS)), clock.FromSeconds(workers.LeaseS))
}

// recoveryReport tells operators how far the recovery is; false where this controller does
// not know, because its lease as leader is not there.
func (g *term) recoveryReport() (r recovery.Report, known bool) {
	if _, may := g.el.HoldsLease(); !may {
		return r, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.progress.Fill(&r, g.ck.Now())
	g.countAttempts(&r.Attempts)
	var unrecorded []recovery.Unrecorded
	g.fl.EachRunningOrphan(func(m *fleet.Machine, task fleet.TaskID, attempt uint64) {
		unrecorded = append(unrecorded, recovery.Unrecorded{Task: task.String(), Attempt: attempt, Machine: m.Name, Zone: m.Zone,
			Why: g.decideUnbooked(task, recovery.SignRunning).String()})
	})
	r.List(unrecorded, g.damaged)
	return r, true
}

// countAttempts counts the attempts on the books by state. The caller holds mu.
func (g *term) countAttempts(counts *recovery.AttemptCounts) {
	g.fl.EachMachine(func(m *fleet.Machine) {
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
