package cedardoor

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/store"
	"cedardoor/wire"
)

// maxTxn keeps a transaction well under the service's 64 KiB.
const maxTxn = 44 << 10

// write is one transaction and what it makes durable.
type write struct {
	txn    wire.Txn
	nonce  string
	chunks []written
	over   []*job
	gone   []*job
}

type written struct {
	j        *job
	n        int
	seq      uint64
	recorded []*fleet.Booking
	ended    []*fleet.Booking
	deleted  bool
}

// collect builds the next transaction from what has changed; nil when nothing
// has. The caller holds mu.
func (g *reign) collect() *write {
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
		if room -= 1; room < 0 || len(g.dirty) > 0 && g.lazy[uid]+g.resultsWithin() > now {
			break
		}
		delete(g.lazy, uid)
		g.dirty[uid] = true
	}
	if len(g.dirty) == 0 {
		return nil
	}
	g.seq++
	w := &write{nonce: fmt.Sprintf("%d.%d", g.r.Stamp, g.seq)}
	w.txn.When = []wire.When{{Path: store.KeyLead, Stamp: g.r.Stamp}}
	most, size := g.cfg.Facts.State.TxnOps, 0
	uids := make([]string, 0, len(g.dirty))
	for uid := range g.dirty {
		uids = append(uids, uid)
	}
	sort.Slice(uids, func(i, k int) bool {
		a, b := g.jobs[uids[i]], g.jobs[uids[k]]
		if a != nil && b != nil && a.rank != b.rank {
			return a.rank > b.rank
		}
		return uids[i] < uids[k]
	})
	for _, uid := range uids {
		j := g.jobs[uid]
		if j == nil {
			delete(g.dirty, uid)
			continue
		}
		if len(w.txn.Apply)+2 > most || size > maxTxn {
			break
		}
		clean := true
		switch {
		case j.cancelled:
			clean = g.collectGone(w, j, most)
		case j.done == len(j.pieces) && !j.standing():
			g.collectOver(w, j)
		default:
			for n := range j.chunks {
				c := &j.chunks[n]
				if c.seq == c.saved {
					continue
				}
				if len(w.txn.Apply) >= most || size > maxTxn {
					clean = false
					break
				}
				size += g.collectChunk(w, j, n)
			}
			w.txn.When = append(w.txn.When, wire.When{Path: store.JobKey(uid), Stamp: j.stamp})
		}
		if clean {
			delete(g.dirty, uid)
		}
	}
	if len(w.txn.Apply) == 0 {
		return nil
	}
	return w
}

func (g *reign) collectChunk(w *write, j *job, n int) (size int) {
	c := &j.chunks[n]
	base := n * store.ChunkPieces
	end := min(base+store.ChunkPieces, len(j.pieces))
	done := make([]bool, end-base)
	var runs []store.Placed
	wr := written{j: j, n: n, seq: c.seq, ended: c.ending}
	c.ending = nil
	for i := base; i < end; i++ {
		pc := &j.pieces[i]
		switch {
		case pc.state == pieceDone:
			done[i-base] = true
		case pc.booking != nil:
			runs = append(runs, store.Placed{Index: i - base, Try: pc.try, Host: pc.booking.Machine.Name, Tenure: pc.booking.Tenure})
			if !pc.booking.Recorded {
				wr.recorded = append(wr.recorded, pc.booking)
			}
		case pc.try > 0:
			runs = append(runs, store.Placed{Index: i - base, Try: pc.try})
		}
	}
	key := store.ChunkKey(j.uid, n)
	w.txn.When = append(w.txn.When, wire.When{Path: key, Stamp: c.stamp})
	w.txn.Apply = append(w.txn.Apply, wire.Apply{Set: key, Value: store.Pack(w.nonce, done, runs)})
	w.chunks = append(w.chunks, wr)
	return 200 + 36*len(runs)
}

// collectOver calls a job done: its final state and the end of its record are one change.
func (g *reign) collectOver(w *write, j *job) {
	w.txn.When = append(w.txn.When, wire.When{Path: store.JobKey(j.uid), Stamp: j.stamp})
	w.txn.Apply = append(w.txn.Apply,
		wire.Apply{Delete: store.JobKey(j.uid)},
		wire.Apply{Set: store.OverKey(j.uid), Value: store.Over(&j.spec, wire.JobDone, w.nonce)})
	w.over = append(w.over, j)
}

// collectGone deletes a cancelled job's records once none of its tasks can
// exist any more; false while some may.
func (g *reign) collectGone(w *write, j *job, most int) bool {
	for i := range j.pieces {
		if j.pieces[i].booking != nil {
			return true // its end will mark the job again
		}
	}
	for n := range j.chunks {
		if j.chunks[n].stamp == 0 {
			continue
		}
		if len(w.txn.Apply) >= most {
			return false
		}
		w.txn.Apply = append(w.txn.Apply, wire.Apply{Delete: store.ChunkKey(j.uid, n)})
		w.chunks = append(w.chunks, written{j: j, n: n, deleted: true})
	}
	w.gone = append(w.gone, j)
	if len(w.txn.Apply) == 0 {
		// Nothing was ever recorded of it.
		delete(g.jobs, j.uid)
		w.gone = w.gone[:len(w.gone)-1]
	}
	return true
}

// record runs a transaction until its outcome is known, and takes it in. An
// answer that was lost is settled by sending the very same transaction again:
// its conditions let it be applied once, and its nonce tells whether it was.
// It gives false when the reign is over.
func (g *reign) record(ctx context.Context, w *write) bool {
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
		if errors.Is(err, store.ErrBadAnswer) {
			g.log.Error("record refused", "error", err)
		}
		g.sleep(ctx, pause)
		pause = min(2*pause, clock.Second)
	}
	return false
}

// applied notes what has become durable.
func (g *reign) applied(w *write, epoch uint64) {
	now := g.ck.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, wr := range w.chunks {
		c := &wr.j.chunks[wr.n]
		if wr.deleted {
			c.stamp = 0
			continue
		}
		c.stamp, c.saved = epoch, wr.seq
		for _, b := range wr.recorded {
			b.Recorded = true
			g.toTell[b.Machine] = true
		}
		for _, b := range wr.ended {
			b.Settled = true
		}
		if c.seq != c.saved {
			g.again(wr.j, now)
		}
	}
	for _, j := range w.over {
		for n := range j.chunks {
			for _, b := range j.chunks[n].ending {
				b.Settled = true
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
		delete(g.jobs, j.uid)
	}
}

// again marks a job whose record is behind: at once if a placement waits for it.
// The caller holds mu.
func (g *reign) again(j *job, now clock.Micros) {
	if j.cancelled || j.done == len(j.pieces) {
		g.dirty[j.uid] = true
		return
	}
	for n := range j.chunks {
		c := &j.chunks[n]
		if c.seq == c.saved {
			continue
		}
		base := n * store.ChunkPieces
		for i := base; i < min(base+store.ChunkPieces, len(j.pieces)); i++ {
			if b := j.pieces[i].booking; b != nil && !b.Recorded {
				g.dirty[j.uid] = true
				return
			}
		}
	}
	g.later(j, now)
}

// conflict finds out why a transaction was refused: an earlier copy of it was
// applied, a job was cancelled meanwhile, or the reign is over.
func (g *reign) conflict(ctx context.Context, w *write, failed []string) bool {
	for _, key := range failed {
		if key == store.KeyLead {
			g.log.Info("another controller leads")
			return false
		}
	}
	for _, key := range failed {
		look := key
		uid, isJob := "", false
		if len(key) > len(store.PrefixJob) && key[:len(store.PrefixJob)] == store.PrefixJob {
			uid, isJob = key[len(store.PrefixJob):], true
			look = store.OverKey(uid)
		}
		row, found, err := g.st.Get(ctx, store.Urgent, look)
		for err != nil && ctx.Err() == nil {
			g.sleep(ctx, 200*clock.Millisecond)
			row, found, err = g.st.Get(ctx, store.Urgent, look)
		}
		if err != nil {
			return false
		}
		var mark struct {
			Nonce string `msgpack:"w"`
		}
		if found && wire.Unmarshal(row.Value, &mark) == nil && mark.Nonce == w.nonce {
			g.applied(w, row.Stamp)
			return true
		}
		g.mu.Lock()
		if isJob {
			if j := g.jobs[uid]; j != nil {
				g.cancel(j, g.ck.Now())
			}
		} else if _, n, ok := store.ParseChunkKey(key); ok {
			for _, wr := range w.chunks {
				if store.ChunkKey(wr.j.uid, wr.n) == key && wr.n == n {
					wr.j.chunks[n].stamp = row.Stamp
				}
			}
		}
		g.mu.Unlock()
	}
	// Not applied, and its conditions can never hold again: what it held is due once more.
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, wr := range w.chunks {
		c := &wr.j.chunks[wr.n]
		c.ending = append(c.ending, wr.ended...)
		g.dirty[wr.j.uid] = true
		if wr.j.cancelled {
			for _, b := range c.ending {
				b.Settled = true
			}
			c.ending = nil
		}
	}
	for _, j := range append(w.over, w.gone...) {
		g.dirty[j.uid] = true
	}
	return true
}
