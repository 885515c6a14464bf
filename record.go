package cedardoor

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/store"
	"cedardoor/wire"
)

// maxTransactionBytes keeps a transaction well under the service's 64 KiB.
const maxTransactionBytes = 44 << 10

// transaction is one transaction and what it makes durable.
type transaction struct {
	txn           wire.Txn
	size          int
	nonce         string
	chunks        []chunkWrite
	finished      []*Job
	deleted       []*Job
	moved         []*finalMove
	sharedRecords map[*SharedRecord]bool
}

type chunkWrite struct {
	chunk    *Chunk
	key      string
	job      *Job          // whose tasks it holds, or
	shared   *SharedRecord // the record that it is of
	version  uint64
	attempts []*fleet.Allocation
	ended    []*fleet.Allocation
	deleted  bool
}

// SharedRecord is a record that the single tasks of many jobs share.
type SharedRecord struct {
	Chunk
	key      string
	jobCount int               // jobs ever put into it
	jobs     []*Job            // those that are in it still
	keptRows []store.SharedRow // of jobs whose own record can't be used
}

// finalMove is a job that is done and has yet to move to where final states are kept.
type finalMove struct {
	uid         string
	modRevision uint64
	record      store.FinalRecord
	shared      *SharedRecord // with a row of it, if any
}

// sharesRecord tells whether a job's only task is recorded with those of other jobs.
func (j *Job) sharesRecord() bool { return len(j.tasks) == 1 && !j.isService() && !j.isGang() }

// joinShared finds a job a record for its only task's attempts. The caller holds mu.
func (g *leader) joinShared(j *Job) {
	if g.openShared == nil || g.sharedIsFull(g.openShared) {
		g.sharedCount++
		g.openShared = &SharedRecord{key: store.SharedKey(g.term.Revision, g.sharedCount)}
	}
	j.shared = g.openShared
	j.shared.jobCount++
	j.shared.jobs = append(j.shared.jobs, j)
}

// sharedIsFull tells whether a shared record takes no more jobs: its first write is
// conditional on each of them.
func (g *leader) sharedIsFull(s *SharedRecord) bool {
	return s != g.openShared || s.jobCount >= min(store.JobsPerSharedRecord, 4*g.cfg.Facts.State.TxnOps-8)
}

// leaveShared takes a job of which nothing may be anywhere any more out of its
// record, which is written again when there are changes to spare. The caller holds mu.
func (g *leader) leaveShared(j *Job) {
	s := j.shared
	if s == nil {
		return
	}
	if i := slices.Index(s.jobs, j); i >= 0 {
		s.jobs = slices.Delete(s.jobs, i, i+1)
		s.version++
	}
	j.shared = nil
	if s.modRevision > 0 {
		g.staleShared[s] = true
	}
}

// minDeferredOperations is how many changes a transaction of what can wait may hold when there
// is none to spare.
const minDeferredOperations = 4

// recordPriority orders what is to be recorded: placements and ends by priority, then what
// is left of jobs that are over.
func (g *leader) recordPriority(uid string) int {
	j := g.jobs[uid]
	switch {
	case j == nil || j.cancelled:
		return -1
	case j.isService():
		return int(wire.PriorityCritical)
	}
	return int(j.priority)
}

// buildTransaction builds the next transaction from what has changed; nil when nothing
// has. What can wait, low work's records and what is left of jobs that are over,
// takes only changes that are to spare, or few: a full transaction of it would
// keep the next urgent one waiting for as long as the service takes for it. The
// caller holds mu.
func (g *leader) buildTransaction() *transaction {
	// Results are recorded together with others, and give way to placements.
	now := g.clock.Now()
	var due []string
	for uid, at := range g.pendingResults {
		if at <= now {
			due = append(due, uid)
		}
	}
	room := g.cfg.Facts.State.TxnOps / 2
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(cmp.Compare(g.pendingResults[a], g.pendingResults[b]), cmp.Compare(a, b))
	})
	for _, uid := range due {
		if room--; room < 0 || len(g.dirty) > 0 && g.pendingResults[uid]+g.resultDelay() > now {
			break
		}
		delete(g.pendingResults, uid)
		g.dirty[uid] = true
	}
	g.writeSequence++
	w := &transaction{nonce: fmt.Sprintf("%d.%d", g.term.Revision, g.writeSequence), sharedRecords: map[*SharedRecord]bool{}}
	w.txn.Conditions = []wire.Condition{{Key: store.KeyLead, ModRevision: g.term.Revision}}
	spare, all := max(minDeferredOperations, g.store.SpareWrites()), g.cfg.Facts.State.TxnOps
	if g.smallTransactions > 0 {
		g.smallTransactions--
		spare, all = 1, 1
	}
	uids := make([]string, 0, len(g.dirty))
	for uid := range g.dirty {
		uids = append(uids, uid)
	}
	slices.SortFunc(uids, func(a, b string) int {
		return cmp.Or(cmp.Compare(g.recordPriority(b), g.recordPriority(a)), cmp.Compare(a, b))
	})
	for _, uid := range uids {
		j := g.jobs[uid]
		if j == nil {
			delete(g.dirty, uid)
			continue
		}
		most := all
		if g.recordPriority(uid) < int(wire.PriorityStandard) {
			most = min(most, spare)
		}
		if len(w.txn.Operations) >= most || w.size > maxTransactionBytes || len(w.txn.Conditions)+2 > 4*g.cfg.Facts.State.TxnOps {
			break
		}
		clean := true
		switch {
		case j.cancelled:
			clean = g.addDeletions(w, j, most)
		case j.done == len(j.tasks) && !j.isService():
			g.addFinished(w, j)
		case j.shared != nil:
			clean = g.addShared(w, j.shared)
		default:
			before := len(w.txn.Operations)
			for n := range j.chunks {
				c := &j.chunks[n]
				if c.version == c.savedVersion || c.unreadable > 0 {
					continue
				}
				if len(w.txn.Operations) >= most || w.size > maxTransactionBytes || len(w.txn.Conditions)+2 > 4*g.cfg.Facts.State.TxnOps {
					clean = false
					break
				}
				g.addChunk(w, j, n)
			}
			if len(w.txn.Operations) > before {
				// Only with a change of its own: conditions are limited, too.
				w.txn.Conditions = append(w.txn.Conditions, wire.Condition{Key: store.JobKey(uid), ModRevision: j.modRevision})
			}
		}
		if clean {
			delete(g.dirty, uid)
		}
	}
	if len(w.txn.Operations) == 0 {
		g.addFinalMoves(w)
	}
	if len(w.txn.Operations) == 0 {
		return nil
	}
	return w
}

func (g *leader) addChunk(w *transaction, j *Job, n int) {
	c := &j.chunks[n]
	base := n * store.TasksPerChunk
	end := min(base+store.TasksPerChunk, len(j.tasks))
	done := make([]bool, end-base)
	var runs []store.TaskAttempt
	wr := chunkWrite{chunk: c, key: store.ChunkKey(j.uid, n), job: j, version: c.version, ended: c.endedAttempts}
	c.endedAttempts = nil
	for i := base; i < end; i++ {
		pc := &j.tasks[i]
		switch {
		case pc.state == taskDone:
			done[i-base] = true
		case pc.allocation != nil:
			runs = append(runs, store.TaskAttempt{Index: i - base, Attempt: pc.attempt, Machine: pc.allocation.Machine.Name, Incarnation: pc.allocation.Incarnation})
			if !pc.allocation.Durable {
				wr.attempts = append(wr.attempts, pc.allocation)
			}
		case pc.attempt > 0:
			runs = append(runs, store.TaskAttempt{Index: i - base, Attempt: pc.attempt})
		}
	}
	w.txn.Conditions = append(w.txn.Conditions, wire.Condition{Key: wr.key, ModRevision: c.modRevision})
	w.txn.Operations = append(w.txn.Operations, wire.Operation{Set: wr.key, Value: store.NewChunkRecord(w.nonce, done, runs)})
	w.chunks = append(w.chunks, wr)
	w.size += 200 + 36*len(runs)
}

// addShared records what has changed of the single tasks that share a record,
// once in a transaction; false when it has no room for all that this takes. Each
// attempt that becomes durable by it is conditional on its own job, as always.
func (g *leader) addShared(w *transaction, s *SharedRecord) bool {
	if s.version == s.savedVersion || w.sharedRecords[s] {
		return true
	}
	wr := chunkWrite{chunk: &s.Chunk, key: s.key, shared: s, version: s.version, ended: s.endedAttempts}
	rec := store.SharedRecord{Nonce: w.nonce, Rows: append([]store.SharedRow{}, s.keptRows...)}
	when := []wire.Condition{{Key: s.key, ModRevision: s.modRevision}}
	for _, j := range s.jobs {
		pc := &j.tasks[0]
		switch {
		case pc.allocation != nil:
			rec.Rows = append(rec.Rows, store.SharedRow{UID: j.uid, Attempt: pc.attempt, Machine: pc.allocation.Machine.Name, Incarnation: pc.allocation.Incarnation})
			if !pc.allocation.Durable && !j.cancelled {
				wr.attempts = append(wr.attempts, pc.allocation)
				when = append(when, wire.Condition{Key: store.JobKey(j.uid), ModRevision: j.modRevision})
			}
		case pc.attempt > 0:
			rec.Rows = append(rec.Rows, store.SharedRow{UID: j.uid, Attempt: pc.attempt})
		}
	}
	if len(w.txn.Conditions)+len(when) > 4*g.cfg.Facts.State.TxnOps && len(w.txn.Operations) > 0 {
		return false
	}
	w.sharedRecords[s] = true
	s.endedAttempts = nil
	w.txn.Conditions = append(w.txn.Conditions, when...)
	if len(rec.Rows) == 0 && g.sharedIsFull(s) && s.modRevision > 0 {
		wr.deleted = true
		w.txn.Operations = append(w.txn.Operations, wire.Operation{Delete: s.key})
	} else {
		w.txn.Operations = append(w.txn.Operations, wire.Operation{Set: s.key, Value: rec})
	}
	w.chunks = append(w.chunks, wr)
	w.size += 100 + 70*len(rec.Rows)
	return true
}

// addFinished calls a job done, in its own record: one change, however many
// come at a time. It moves to its final place later.
func (g *leader) addFinished(w *transaction, j *Job) {
	rec := store.NewFinalRecord(&j.spec, wire.JobDone, w.nonce)
	w.txn.Conditions = append(w.txn.Conditions, wire.Condition{Key: store.JobKey(j.uid), ModRevision: j.modRevision})
	w.txn.Operations = append(w.txn.Operations, wire.Operation{Set: store.JobKey(j.uid),
		Value: store.JobRecord{Spec: wire.Spec{UID: j.uid}, AcceptedUS: j.acceptedAt, Final: &rec}})
	w.finished = append(w.finished, j)
	w.size += 300
}

// finalMoveSpare is how many changes must be to spare for jobs that are done to move
// to their final place, and manyFinalMoves how many of them make it pressing: a new
// leader reads them with the unfinished ones.
const (
	finalMoveSpare       = 12
	maxPendingFinalMoves = 2000
)

// addFinalMoves moves jobs that are done to their final place, and writes the
// records again that hold rows of them, when nothing else is to be recorded.
func (g *leader) addFinalMoves(w *transaction) {
	spare := min(g.cfg.Facts.State.TxnOps, g.store.SpareWrites())
	if (spare < min(finalMoveSpare, g.cfg.Facts.State.TxnOps) || g.store.Overloaded()) && len(g.finalMoves) < maxPendingFinalMoves {
		return
	}
	for len(g.finalMoves) > 0 && len(w.txn.Operations)+3 <= max(3, spare) && len(w.txn.Conditions) < 3*g.cfg.Facts.State.TxnOps {
		f := g.finalMoves[0]
		g.finalMoves = g.finalMoves[1:]
		// A row that outlived its job's record would have to be looked up by a new leader.
		if f.shared != nil && f.shared.modRevision > 0 {
			if !g.addShared(w, f.shared) {
				g.finalMoves = append(g.finalMoves, f)
				break
			}
			delete(g.staleShared, f.shared)
		}
		w.txn.Conditions = append(w.txn.Conditions, wire.Condition{Key: store.JobKey(f.uid), ModRevision: f.modRevision})
		w.txn.Operations = append(w.txn.Operations, wire.Operation{Delete: store.JobKey(f.uid)}, wire.Operation{Set: store.FinalKey(f.uid), Value: f.record})
		w.moved = append(w.moved, f)
	}
	for s := range g.staleShared {
		if len(w.txn.Operations) >= spare {
			break
		}
		if !g.addShared(w, s) {
			break
		}
		delete(g.staleShared, s)
	}
}

// addDeletions deletes a cancelled job's records once none of its tasks can
// exist any more; false while some may.
func (g *leader) addDeletions(w *transaction, j *Job, most int) bool {
	for i := range j.tasks {
		if j.tasks[i].allocation != nil {
			return true // its end will mark the job again
		}
	}
	if g.unreadable[j] {
		return true // so will the end of the doubt about its tasks
	}
	for n := range j.chunks {
		if j.chunks[n].modRevision == 0 {
			continue
		}
		if len(w.txn.Operations) >= most {
			return false
		}
		key := store.ChunkKey(j.uid, n)
		w.txn.Operations = append(w.txn.Operations, wire.Operation{Delete: key})
		w.chunks = append(w.chunks, chunkWrite{chunk: &j.chunks[n], key: key, job: j, deleted: true})
	}
	g.leaveShared(j)
	if len(w.txn.Operations) == 0 || !slices.ContainsFunc(w.chunks, func(wr chunkWrite) bool { return wr.job == j }) {
		// Nothing of its own is recorded, or no longer.
		g.forgetJob(j)
		return true
	}
	w.deleted = append(w.deleted, j)
	return true
}

// commit runs a transaction until its outcome is known, and takes it in. An
// answer that was lost is settled by sending the very same transaction again:
// its conditions let it be applied once, and its nonce tells whether it was.
// It gives false when the term is over.
func (g *leader) commit(ctx context.Context, w *transaction) bool {
	pause := 100 * clock.Millisecond
	for ctx.Err() == nil {
		epoch, err := g.store.Commit(ctx, store.Urgent, w.txn)
		if err == nil {
			g.transactionApplied(w, epoch)
			return true
		}
		var conflict *store.Conflict
		if errors.As(err, &conflict) {
			return g.resolveConflict(ctx, w, conflict.Failed)
		}
		g.log.Debug("record", "error", err)
		if errors.Is(err, store.ErrMalformed) {
			// Never carried out, and never will be: what it held is recorded in steps as
			// small as can be, so that one that is at fault keeps nothing else up for ever.
			g.log.Error("record refused", "error", err, "changes", len(w.txn.Operations), "conditions", len(w.txn.Conditions))
			g.mu.Lock()
			g.smallTransactions = smallTransactionsAfterRefusal
			g.requeue(w, nil)
			g.mu.Unlock()
			return ctx.Err() == nil
		}
		g.sleep(ctx, pause)
		pause = min(2*pause, clock.Second)
	}
	return false
}

// transactionApplied notes what has become durable.
func (g *leader) transactionApplied(w *transaction, epoch uint64) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, wr := range w.chunks {
		c := wr.chunk
		if wr.deleted {
			c.modRevision, c.savedVersion = 0, wr.version
			continue
		}
		c.modRevision, c.savedVersion = epoch, wr.version
		for _, b := range wr.attempts {
			g.fleet.MarkDurable(b)
			g.urgentMachines[b.Machine] = true
		}
		for _, b := range wr.ended {
			b.ResultDurable = true
		}
		switch {
		case c.version == c.savedVersion:
		case wr.shared != nil:
			g.markSharedAgain(wr.shared)
		default:
			g.markJobAgain(wr.job, now)
		}
	}
	for _, j := range w.finished {
		g.finalMoves = append(g.finalMoves, &finalMove{uid: j.uid, modRevision: epoch, record: store.NewFinalRecord(&j.spec, wire.JobDone, w.nonce), shared: j.shared})
		if j.pendingResult != nil {
			j.pendingResult.ResultDurable = true
		}
		for n := range j.chunks {
			for _, b := range j.chunks[n].endedAttempts {
				b.ResultDurable = true
			}
			j.chunks[n].endedAttempts = nil
		}
		g.metrics.Done(now - j.seenAt)
		g.log.Debug("job done", "job", j.uid)
		// What is left of its records is deleted like a cancelled job's.
		j.cancelled = true
		g.dirty[j.uid] = true
	}
	for _, j := range w.deleted {
		g.forgetJob(j)
	}
}

// markSharedAgain does what again does for the jobs of a shared record. The caller holds mu.
func (g *leader) markSharedAgain(s *SharedRecord) {
	for _, j := range s.jobs {
		switch b := j.tasks[0].allocation; {
		case j.cancelled:
		case b != nil && !b.Durable || j.done == 1:
			g.dirty[j.uid] = true
		}
	}
	if s.version != s.savedVersion && s.modRevision > 0 {
		g.staleShared[s] = true
	}
}

// markJobAgain marks a job whose record is behind: at once if a placement waits for it.
// The caller holds mu.
func (g *leader) markJobAgain(j *Job, now clock.Micros) {
	if j.cancelled || j.done == len(j.tasks) {
		g.dirty[j.uid] = true
		return
	}
	for n := range j.chunks {
		c := &j.chunks[n]
		if c.version == c.savedVersion || c.unreadable > 0 {
			continue
		}
		base := n * store.TasksPerChunk
		for i := base; i < min(base+store.TasksPerChunk, len(j.tasks)); i++ {
			if b := j.tasks[i].allocation; b != nil && !b.Durable {
				g.dirty[j.uid] = true
				return
			}
		}
	}
	g.recordResultSoon(j, now)
}

// readKey reads a key, again until there is an answer or the term is over.
func (g *leader) readKey(ctx context.Context, key string) (row wire.Row, found bool, err error) {
	for {
		row, found, err = g.store.Get(ctx, store.Urgent, key)
		if err == nil || ctx.Err() != nil {
			return row, found, err
		}
		g.sleep(ctx, 200*clock.Millisecond)
	}
}

// resolveConflict finds out why a transaction was refused: an earlier copy of it was
// applied, a job was cancelled meanwhile, or the term is over.
func (g *leader) resolveConflict(ctx context.Context, w *transaction, failed []string) bool {
	for _, key := range failed {
		if key == store.KeyLead {
			g.log.Info("another controller leads")
			return false
		}
	}
	for _, key := range failed {
		uid, isJob := strings.CutPrefix(key, store.PrefixJob)
		row, found, err := g.readKey(ctx, key)
		var mark struct {
			Nonce string             `msgpack:"w"`
			Over  *store.FinalRecord `msgpack:"o"`
		}
		if err == nil && found {
			err = wire.Unmarshal(row.Value, &mark)
		}
		if err != nil {
			return false
		}
		if isJob && mark.Over != nil {
			mark.Nonce = mark.Over.Nonce
		}
		if found && mark.Nonce == w.nonce {
			g.transactionApplied(w, row.ModRevision)
			return true
		}
		g.mu.Lock()
		if isJob {
			// Over by an earlier transaction, it was taken in again from an old listing.
			if j := g.jobs[uid]; j != nil && (!found || mark.Over != nil) {
				g.cancel(j, g.clock.Now())
			} else if j != nil {
				j.modRevision = max(j.modRevision, row.ModRevision)
			}
		}
		for _, wr := range w.chunks {
			if wr.key == key {
				wr.chunk.modRevision = row.ModRevision
			}
		}
		g.mu.Unlock()
	}
	// Not applied, and its conditions can never hold again.
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requeue(w, failed)
	return true
}

// smallTransactionsAfterRefusal is how many transactions hold one change after one was refused.
const smallTransactionsAfterRefusal = 30

// requeue makes what a transaction that will never be applied held due once more,
// but for moves whose conditions failed. The caller holds mu.
func (g *leader) requeue(w *transaction, failed []string) {
	for _, wr := range w.chunks {
		c := wr.chunk
		c.endedAttempts = append(c.endedAttempts, wr.ended...)
		if wr.shared != nil {
			g.markSharedAgain(wr.shared)
			continue
		}
		g.dirty[wr.job.uid] = true
		if wr.job.cancelled {
			for _, b := range c.endedAttempts {
				b.ResultDurable = true
			}
			c.endedAttempts = nil
		}
	}
	for _, f := range w.moved {
		// What is not where it was has moved already, by a copy of this that came late.
		if !slices.Contains(failed, store.JobKey(f.uid)) {
			g.finalMoves = append(g.finalMoves, f)
		}
	}
	for _, j := range append(w.finished, w.deleted...) {
		g.dirty[j.uid] = true
	}
}
