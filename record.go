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

// maxTxn keeps a transaction well under the service's 64 KiB.
const maxTxn = 44 << 10

// write is one transaction and what it makes durable.
type write struct {
	txn           wire.Txn
	size          int
	nonce         string
	chunks        []written
	over          []*job
	gone          []*job
	moved         []*finalMove
	sharedRecords map[*sharedRecord]bool
}

type written struct {
	c        *chunk
	key      string
	j        *job          // whose tasks it holds, or
	shared   *sharedRecord // the record that it is of
	seq      uint64
	recorded []*fleet.Allocation
	ended    []*fleet.Allocation
	deleted  bool
}

// sharedRecord is a record that the single tasks of many jobs share.
type sharedRecord struct {
	chunk
	key  string
	n    int               // jobs ever put into it
	jobs []*job            // those that are in it still
	kept []store.SharedRow // of jobs whose own record can't be used
}

// finalMove is a job that is done and has yet to move to where final states are kept.
type finalMove struct {
	uid    string
	stamp  uint64
	rec    store.FinalRecord
	shared *sharedRecord // with a row of it, if any
}

// single tells whether a job's only task is recorded with those of other jobs.
func (j *job) single() bool { return len(j.tasks) == 1 && !j.standing() && !j.group() }

// joinShared finds a job a record for its only task's attempts. The caller holds mu.
func (g *term) joinShared(j *job) {
	if g.shared == nil || g.closed(g.shared) {
		g.sharedCount++
		g.shared = &sharedRecord{key: store.SharedKey(g.r.Revision, g.sharedCount)}
	}
	j.shared = g.shared
	j.shared.n++
	j.shared.jobs = append(j.shared.jobs, j)
}

// closed tells whether a shared record takes no more jobs: its first write is
// conditional on each of them.
func (g *term) closed(s *sharedRecord) bool {
	return s != g.shared || s.n >= min(store.JobsPerSharedRecord, 4*g.cfg.Facts.State.TxnOps-8)
}

// leaveShared takes a job of which nothing may be anywhere any more out of its
// record, which is written again when there are changes to spare. The caller holds mu.
func (g *term) leaveShared(j *job) {
	s := j.shared
	if s == nil {
		return
	}
	if i := slices.Index(s.jobs, j); i >= 0 {
		s.jobs = slices.Delete(s.jobs, i, i+1)
		s.seq++
	}
	j.shared = nil
	if s.stamp > 0 {
		g.untidy[s] = true
	}
}

// atLeast is how many changes a transaction of what can wait may hold when there
// is none to spare.
const atLeast = 4

// urgency orders what is to be recorded: placements and ends by priority, then what
// is left of jobs that are over.
func (g *term) urgency(uid string) int {
	j := g.jobs[uid]
	switch {
	case j == nil || j.cancelled:
		return -1
	case j.standing():
		return int(wire.PriorityCritical)
	}
	return int(j.priority)
}

// collect builds the next transaction from what has changed; nil when nothing
// has. What can wait, low work's records and what is left of jobs that are over,
// takes only changes that are to spare, or few: a full transaction of it would
// keep the next urgent one waiting for as long as the service takes for it. The
// caller holds mu.
func (g *term) collect() *write {
	// Results are recorded together with others, and give way to placements.
	now := g.ck.Now()
	var due []string
	for uid, at := range g.lazy {
		if at <= now {
			due = append(due, uid)
		}
	}
	room := g.cfg.Facts.State.TxnOps / 2
	slices.SortFunc(due, func(a, b string) int { return cmp.Or(cmp.Compare(g.lazy[a], g.lazy[b]), cmp.Compare(a, b)) })
	for _, uid := range due {
		if room--; room < 0 || len(g.dirty) > 0 && g.lazy[uid]+g.resultsWithin() > now {
			break
		}
		delete(g.lazy, uid)
		g.dirty[uid] = true
	}
	g.seq++
	w := &write{nonce: fmt.Sprintf("%d.%d", g.r.Revision, g.seq), sharedRecords: map[*sharedRecord]bool{}}
	w.txn.Conditions = []wire.Condition{{Key: store.KeyLead, ModRevision: g.r.Revision}}
	spare, all := max(atLeast, g.st.SpareWrites()), g.cfg.Facts.State.TxnOps
	if g.careful > 0 {
		g.careful--
		spare, all = 1, 1
	}
	uids := make([]string, 0, len(g.dirty))
	for uid := range g.dirty {
		uids = append(uids, uid)
	}
	slices.SortFunc(uids, func(a, b string) int {
		return cmp.Or(cmp.Compare(g.urgency(b), g.urgency(a)), cmp.Compare(a, b))
	})
	for _, uid := range uids {
		j := g.jobs[uid]
		if j == nil {
			delete(g.dirty, uid)
			continue
		}
		most := all
		if g.urgency(uid) < int(wire.PriorityStandard) {
			most = min(most, spare)
		}
		if len(w.txn.Operations) >= most || w.size > maxTxn || len(w.txn.Conditions)+2 > 4*g.cfg.Facts.State.TxnOps {
			break
		}
		clean := true
		switch {
		case j.cancelled:
			clean = g.collectGone(w, j, most)
		case j.done == len(j.tasks) && !j.standing():
			g.collectOver(w, j)
		case j.shared != nil:
			clean = g.collectShared(w, j.shared)
		default:
			before := len(w.txn.Operations)
			for n := range j.chunks {
				c := &j.chunks[n]
				if c.seq == c.saved || c.unreadable > 0 {
					continue
				}
				if len(w.txn.Operations) >= most || w.size > maxTxn || len(w.txn.Conditions)+2 > 4*g.cfg.Facts.State.TxnOps {
					clean = false
					break
				}
				g.collectChunk(w, j, n)
			}
			if len(w.txn.Operations) > before {
				// Only with a change of its own: conditions are limited, too.
				w.txn.Conditions = append(w.txn.Conditions, wire.Condition{Key: store.JobKey(uid), ModRevision: j.stamp})
			}
		}
		if clean {
			delete(g.dirty, uid)
		}
	}
	if len(w.txn.Operations) == 0 {
		g.collectMoves(w)
	}
	if len(w.txn.Operations) == 0 {
		return nil
	}
	return w
}

func (g *term) collectChunk(w *write, j *job, n int) {
	c := &j.chunks[n]
	base := n * store.TasksPerChunk
	end := min(base+store.TasksPerChunk, len(j.tasks))
	done := make([]bool, end-base)
	var runs []store.TaskAttempt
	wr := written{c: c, key: store.ChunkKey(j.uid, n), j: j, seq: c.seq, ended: c.ending}
	c.ending = nil
	for i := base; i < end; i++ {
		pc := &j.tasks[i]
		switch {
		case pc.state == taskDone:
			done[i-base] = true
		case pc.booking != nil:
			runs = append(runs, store.TaskAttempt{Index: i - base, Attempt: pc.attempt, Machine: pc.booking.Machine.Name, Incarnation: pc.booking.Incarnation})
			if !pc.booking.Durable {
				wr.recorded = append(wr.recorded, pc.booking)
			}
		case pc.attempt > 0:
			runs = append(runs, store.TaskAttempt{Index: i - base, Attempt: pc.attempt})
		}
	}
	w.txn.Conditions = append(w.txn.Conditions, wire.Condition{Key: wr.key, ModRevision: c.stamp})
	w.txn.Operations = append(w.txn.Operations, wire.Operation{Set: wr.key, Value: store.NewChunkRecord(w.nonce, done, runs)})
	w.chunks = append(w.chunks, wr)
	w.size += 200 + 36*len(runs)
}

// collectShared records what has changed of the single tasks that share a record,
// once in a transaction; false when it has no room for all that this takes. Each
// attempt that becomes durable by it is conditional on its own job, as always.
func (g *term) collectShared(w *write, s *sharedRecord) bool {
	if s.seq == s.saved || w.sharedRecords[s] {
		return true
	}
	wr := written{c: &s.chunk, key: s.key, shared: s, seq: s.seq, ended: s.ending}
	rec := store.SharedRecord{Nonce: w.nonce, Rows: append([]store.SharedRow{}, s.kept...)}
	when := []wire.Condition{{Key: s.key, ModRevision: s.stamp}}
	for _, j := range s.jobs {
		pc := &j.tasks[0]
		switch {
		case pc.booking != nil:
			rec.Rows = append(rec.Rows, store.SharedRow{UID: j.uid, Attempt: pc.attempt, Machine: pc.booking.Machine.Name, Incarnation: pc.booking.Incarnation})
			if !pc.booking.Durable && !j.cancelled {
				wr.recorded = append(wr.recorded, pc.booking)
				when = append(when, wire.Condition{Key: store.JobKey(j.uid), ModRevision: j.stamp})
			}
		case pc.attempt > 0:
			rec.Rows = append(rec.Rows, store.SharedRow{UID: j.uid, Attempt: pc.attempt})
		}
	}
	if len(w.txn.Conditions)+len(when) > 4*g.cfg.Facts.State.TxnOps && len(w.txn.Operations) > 0 {
		return false
	}
	w.sharedRecords[s] = true
	s.ending = nil
	w.txn.Conditions = append(w.txn.Conditions, when...)
	if len(rec.Rows) == 0 && g.closed(s) && s.stamp > 0 {
		wr.deleted = true
		w.txn.Operations = append(w.txn.Operations, wire.Operation{Delete: s.key})
	} else {
		w.txn.Operations = append(w.txn.Operations, wire.Operation{Set: s.key, Value: rec})
	}
	w.chunks = append(w.chunks, wr)
	w.size += 100 + 70*len(rec.Rows)
	return true
}

// collectOver calls a job done, in its own record: one change, however many
// come at a time. It moves to its final place later.
func (g *term) collectOver(w *write, j *job) {
	rec := store.NewFinalRecord(&j.spec, wire.JobDone, w.nonce)
	w.txn.Conditions = append(w.txn.Conditions, wire.Condition{Key: store.JobKey(j.uid), ModRevision: j.stamp})
	w.txn.Operations = append(w.txn.Operations, wire.Operation{Set: store.JobKey(j.uid),
		Value: store.JobRecord{Spec: wire.Spec{UID: j.uid}, AcceptedUS: j.at, Final: &rec}})
	w.over = append(w.over, j)
	w.size += 300
}

// finalMovesAt is how many changes must be to spare for jobs that are done to move
// to their final place, and manyFinalMoves how many of them make it pressing: a new
// leader reads them with the unfinished ones.
const (
	finalMovesAt   = 12
	manyFinalMoves = 2000
)

// collectMoves moves jobs that are done to their final place, and writes the
// records again that hold rows of them, when nothing else is to be recorded.
func (g *term) collectMoves(w *write) {
	spare := min(g.cfg.Facts.State.TxnOps, g.st.SpareWrites())
	if (spare < min(finalMovesAt, g.cfg.Facts.State.TxnOps) || g.st.Overloaded()) && len(g.finalMoves) < manyFinalMoves {
		return
	}
	for len(g.finalMoves) > 0 && len(w.txn.Operations)+3 <= max(3, spare) && len(w.txn.Conditions) < 3*g.cfg.Facts.State.TxnOps {
		f := g.finalMoves[0]
		g.finalMoves = g.finalMoves[1:]
		// A row that outlived its job's record would have to be looked up by a new leader.
		if f.shared != nil && f.shared.stamp > 0 {
			if !g.collectShared(w, f.shared) {
				g.finalMoves = append(g.finalMoves, f)
				break
			}
			delete(g.untidy, f.shared)
		}
		w.txn.Conditions = append(w.txn.Conditions, wire.Condition{Key: store.JobKey(f.uid), ModRevision: f.stamp})
		w.txn.Operations = append(w.txn.Operations, wire.Operation{Delete: store.JobKey(f.uid)}, wire.Operation{Set: store.FinalKey(f.uid), Value: f.rec})
		w.moved = append(w.moved, f)
	}
	for s := range g.untidy {
		if len(w.txn.Operations) >= spare {
			break
		}
		if !g.collectShared(w, s) {
			break
		}
		delete(g.untidy, s)
	}
}

// collectGone deletes a cancelled job's records once none of its tasks can
// exist any more; false while some may.
func (g *term) collectGone(w *write, j *job, most int) bool {
	for i := range j.tasks {
		if j.tasks[i].booking != nil {
			return true // its end will mark the job again
		}
	}
	if g.unreadable[j] {
		return true // so will the end of the doubt about its tasks
	}
	for n := range j.chunks {
		if j.chunks[n].stamp == 0 {
			continue
		}
		if len(w.txn.Operations) >= most {
			return false
		}
		key := store.ChunkKey(j.uid, n)
		w.txn.Operations = append(w.txn.Operations, wire.Operation{Delete: key})
		w.chunks = append(w.chunks, written{c: &j.chunks[n], key: key, j: j, deleted: true})
	}
	g.leaveShared(j)
	if len(w.txn.Operations) == 0 || !slices.ContainsFunc(w.chunks, func(wr written) bool { return wr.j == j }) {
		// Nothing of its own is recorded, or no longer.
		g.forgetJob(j)
		return true
	}
	w.gone = append(w.gone, j)
	return true
}

// record runs a transaction until its outcome is known, and takes it in. An
// answer that was lost is settled by sending the very same transaction again:
// its conditions let it be applied once, and its nonce tells whether it was.
// It gives false when the term is over.
func (g *term) record(ctx context.Context, w *write) bool {
	pause := 100 * clock.Millisecond
	for ctx.Err() == nil {
		epoch, err := g.st.Commit(ctx, store.Urgent, w.txn)
		if err == nil {
			g.applied(w, epoch)
			return true
		}
		var conflict *store.Conflict
		if errors.As(err, &conflict) {
			return g.conflict(ctx, w, conflict.Failed)
		}
		g.log.Debug("record", "error", err)
		if errors.Is(err, store.ErrMalformed) {
			// Never carried out, and never will be: what it held is recorded in steps as
			// small as can be, so that one that is at fault keeps nothing else up for ever.
			g.log.Error("record refused", "error", err, "changes", len(w.txn.Operations), "conditions", len(w.txn.Conditions))
			g.mu.Lock()
			g.careful = carefulFor
			g.restore(w, nil)
			g.mu.Unlock()
			return ctx.Err() == nil
		}
		g.sleep(ctx, pause)
		pause = min(2*pause, clock.Second)
	}
	return false
}

// applied notes what has become durable.
func (g *term) applied(w *write, epoch uint64) {
	now := g.ck.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, wr := range w.chunks {
		c := wr.c
		if wr.deleted {
			c.stamp, c.saved = 0, wr.seq
			continue
		}
		c.stamp, c.saved = epoch, wr.seq
		for _, b := range wr.recorded {
			g.fl.MarkDurable(b)
			g.toTell[b.Machine] = true
		}
		for _, b := range wr.ended {
			b.ResultDurable = true
		}
		switch {
		case c.seq == c.saved:
		case wr.shared != nil:
			g.againShared(wr.shared)
		default:
			g.again(wr.j, now)
		}
	}
	for _, j := range w.over {
		g.finalMoves = append(g.finalMoves, &finalMove{uid: j.uid, stamp: epoch, rec: store.NewFinalRecord(&j.spec, wire.JobDone, w.nonce), shared: j.shared})
		if j.result != nil {
			j.result.ResultDurable = true
		}
		for n := range j.chunks {
			for _, b := range j.chunks[n].ending {
				b.ResultDurable = true
			}
			j.chunks[n].ending = nil
		}
		g.met.Done(now - j.seen)
		g.log.Debug("job done", "job", j.uid)
		// What is left of its records is deleted like a cancelled job's.
		j.cancelled = true
		g.dirty[j.uid] = true
	}
	for _, j := range w.gone {
		g.forgetJob(j)
	}
}

// againShared does what again does for the jobs of a shared record. The caller holds mu.
func (g *term) againShared(s *sharedRecord) {
	for _, j := range s.jobs {
		switch b := j.tasks[0].booking; {
		case j.cancelled:
		case b != nil && !b.Durable || j.done == 1:
			g.dirty[j.uid] = true
		}
	}
	if s.seq != s.saved && s.stamp > 0 {
		g.untidy[s] = true
	}
}

// again marks a job whose record is behind: at once if a placement waits for it.
// The caller holds mu.
func (g *term) again(j *job, now clock.Micros) {
	if j.cancelled || j.done == len(j.tasks) {
		g.dirty[j.uid] = true
		return
	}
	for n := range j.chunks {
		c := &j.chunks[n]
		if c.seq == c.saved || c.unreadable > 0 {
			continue
		}
		base := n * store.TasksPerChunk
		for i := base; i < min(base+store.TasksPerChunk, len(j.tasks)); i++ {
			if b := j.tasks[i].booking; b != nil && !b.Durable {
				g.dirty[j.uid] = true
				return
			}
		}
	}
	g.later(j, now)
}

// look reads a key, again until there is an answer or the term is over.
func (g *term) look(ctx context.Context, key string) (row wire.Row, found bool, err error) {
	for {
		row, found, err = g.st.Get(ctx, store.Urgent, key)
		if err == nil || ctx.Err() != nil {
			return row, found, err
		}
		g.sleep(ctx, 200*clock.Millisecond)
	}
}

// conflict finds out why a transaction was refused: an earlier copy of it was
// applied, a job was cancelled meanwhile, or the term is over.
func (g *term) conflict(ctx context.Context, w *write, failed []string) bool {
	for _, key := range failed {
		if key == store.KeyLead {
			g.log.Info("another controller leads")
			return false
		}
	}
	for _, key := range failed {
		uid, isJob := strings.CutPrefix(key, store.PrefixJob)
		row, found, err := g.look(ctx, key)
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
			g.applied(w, row.ModRevision)
			return true
		}
		g.mu.Lock()
		if isJob {
			// Over by an earlier transaction, it was taken in again from an old listing.
			if j := g.jobs[uid]; j != nil && (!found || mark.Over != nil) {
				g.cancel(j, g.ck.Now())
			} else if j != nil {
				j.stamp = max(j.stamp, row.ModRevision)
			}
		}
		for _, wr := range w.chunks {
			if wr.key == key {
				wr.c.stamp = row.ModRevision
			}
		}
		g.mu.Unlock()
	}
	// Not applied, and its conditions can never hold again.
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restore(w, failed)
	return true
}

// carefulFor is how many transactions hold one change after one was refused.
const carefulFor = 30

// restore makes what a transaction that will never be applied held due once more,
// but for moves whose conditions failed. The caller holds mu.
func (g *term) restore(w *write, failed []string) {
	for _, wr := range w.chunks {
		c := wr.c
		c.ending = append(c.ending, wr.ended...)
		if wr.shared != nil {
			g.againShared(wr.shared)
			continue
		}
		g.dirty[wr.j.uid] = true
		if wr.j.cancelled {
			for _, b := range c.ending {
				b.ResultDurable = true
			}
			c.ending = nil
		}
	}
	for _, f := range w.moved {
		// What is not where it was has moved already, by a copy of this that came late.
		if !slices.Contains(failed, store.JobKey(f.uid)) {
			g.finalMoves = append(g.finalMoves, f)
		}
	}
	for _, j := range append(w.over, w.gone...) {
		g.dirty[j.uid] = true
	}
}
