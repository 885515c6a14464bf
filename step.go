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
	"cedardoor/plan"
	"cedardoor/store"
	"cedardoor/wire"
)

// tick is how often the loop looks around without being woken.
const tick = 500 * clock.Millisecond

// wakePause gathers what happens at the same time into one pass.
const wakePause = 5 * clock.Millisecond

// maxTxn keeps a transaction well under the service's 64 KiB.
const maxTxn = 44 << 10

// loop plans, records and orders until ctx ends. What happens while a pass is
// made is gathered into the next, and passes take at most a part of the
// processor however fast events come.
func (g *reign) loop(ctx context.Context) {
	tk := g.ck.NewTicker(tick.Duration())
	defer tk.Stop()
	pause := wakePause
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.kick:
			g.sleep(ctx, pause)
		case <-tk.Chan():
		}
		pause = max(wakePause, min(3*g.step(ctx), tick))
	}
}

// step is one pass: prove, plan, record, order. It gives the time that
// planning took.
func (g *reign) step(ctx context.Context) (took clock.Micros) {
	g.mu.Lock()
	now := g.ck.Now()
	g.news(g.fl.Expire(now), now)
	g.hush(now)
	if _, may := g.el.MayOrder(); may {
		g.plan(now)
	}
	took = g.ck.Now() - now
	g.mu.Unlock()
	// Everything that changed is recorded, in as many transactions as it takes.
	for range 50 {
		g.mu.Lock()
		w := g.collect()
		g.mu.Unlock()
		if w == nil {
			break
		}
		if !g.record(ctx, w) {
			return took
		}
		// Commands go out as soon as what they need is durable.
		g.dispatch(ctx)
	}
	g.dispatch(ctx)
	g.probeSilent(ctx)
	g.abdicate()
	g.fence(ctx)
	return took
}

// hush finds the machines that have fallen silent, now and then: nothing is
// placed on them. The caller holds mu.
func (g *reign) hush(now clock.Micros) {
	if now-g.hushAt < tick {
		return
	}
	g.hushAt = now
	report := clock.FromSeconds(g.cfg.Facts.Workers.ReportS)
	for _, m := range g.fl.Hush(now, 2*report) {
		if !m.Hushed {
			m.Hushed = true
			g.touched[m] = true
		}
	}
}

// usable tells whether a machine may be given tasks.
func (g *reign) usable(m *fleet.Machine, now clock.Micros) bool {
	return m.Beaten && !m.Suspect && !m.Hushed && m.Cores > 0 && !m.Lapsed(now) && !m.Returning && m.WarnUntil == 0
}

// judge bans a machine that has a notice, is slow or does not hear, and lifts
// the ban when its reason ends. The caller holds mu.
func (g *reign) judge(m *fleet.Machine) {
	if m.Banned == banDeaf && !m.Deaf() {
		m.Banned = ""
		g.deaf--
		g.log.Info("machine hears again", "host", m.Name)
	}
	switch {
	case m.WarnUntil > 0 && m.Banned == "":
		m.Banned = "notice"
	case m.WarnUntil == 0 && m.Banned == "notice":
		m.Banned = ""
	case m.Banned == "" && m.SlowN >= 3 && m.Slow > 1.6:
		m.Banned = "slow"
		g.log.Info("machine is slow", "host", m.Name, "factor", fmt.Sprintf("%.2f", m.Slow))
	}
	if m.Deaf() && m.Banned == "" {
		m.Banned = banDeaf
		g.deaf++
		g.log.Info("machine is deaf: it reports, but nothing told to it takes effect", "host", m.Name)
	}
}

// banDeaf marks machines whose reports come while nothing reaches them.
const banDeaf = "deaf"

// stopSoon is how long the room of a task that was told to stop is waited for.
const stopSoon = 3 * clock.Second

// refresh brings the picture up to date with a machine. The caller holds mu.
func (g *reign) refresh(m *fleet.Machine, now clock.Micros) (again bool) {
	pm := g.pic.Machine(m.Name)
	if g.fl.Machine(m.Name) != m {
		if m.Banned == banDeaf {
			g.deaf--
			m.Banned = ""
		}
		if g.fl.Machine(m.Name) == nil && pm != nil {
			g.pic.Drop(m.Name)
		}
		delete(g.toTell, m)
		delete(g.unheard, m)
		return false
	}
	g.judge(m)
	if pm == nil {
		pm = &plan.Machine{Name: m.Name, Images: map[string]plan.Image{}}
	}
	c, a, r := m.Free()
	pm.Build, pm.Yard, pm.Loaned, pm.Cores, pm.Accel, pm.RAM = m.Build, m.Yard, m.Loaned, c, a, r
	pm.Usable, pm.Banned, pm.Cordoned, pm.Held = g.usable(m, now), m.Banned, m.Cordoned, g.holds[m.Name]
	if b, known := g.fl.Build(m.Build); known {
		pm.Fetch = b.FetchGBs
	}
	for b := range pm.Images {
		if _, still := m.Images[b]; !still {
			delete(pm.Images, b)
		}
	}
	for b, whole := range m.Images {
		pm.Images[b] = plan.ImageComing
		if whole {
			pm.Images[b] = plan.ImageHeld
		}
	}
	pm.StopCores, pm.StopAccel, pm.StopRAM = 0, 0, 0
	pm.Lower = pm.Lower[:0]
	m.Each(func(b *fleet.Booking) {
		if !b.Live() {
			return
		}
		if b.Halt {
			// One that does not obey leaves room that may be long in coming.
			if now-b.HaltAt <= stopSoon {
				again = true
				pm.StopCores += b.Cores
				pm.StopAccel += b.Accel
				pm.StopRAM += b.RAM
			}
			return
		}
		j, ok := b.Tag.(*job)
		if !ok || j.standing() || j.group() || j.cancelled || j.spared && len(j.pieces)-j.done-len(j.waiting) <= plan.AgedTasks || j.pieces[b.Piece.Index].booking != b {
			return
		}
		pm.Lower = append(pm.Lower, plan.Victim{Task: plan.TaskID{Job: j.uid, Index: b.Piece.Index}, Job: j.pj, Rank: j.rank,
			Cores: b.Cores, Accel: b.Accel, RAM: b.RAM, Since: b.Running})
	})
	slices.SortStableFunc(pm.Lower, func(a, b plan.Victim) int {
		// Least progress first: not begun, then begun last.
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(zeroLast(b.Since), zeroLast(a.Since)))
	})
	g.pic.Put(pm)
	return again
}

func zeroLast(t clock.Micros) clock.Micros {
	if t == 0 {
		return 1 << 62
	}
	return t
}

// agedAfter is how long a job may wait with no task begun before a few of its
// tasks go before work of higher rank.
const agedAfter = 75 * clock.Second

// picture readies the picture for a plan: it lists the tasks that wait. The
// caller holds mu.
func (g *reign) picture(now clock.Micros, round bool) *plan.Picture {
	p := g.pic
	g.seq++
	p.Seed, p.Now = g.seq, now
	p.MoveCap = max(g.op.Repair.Restarts, int(float64(g.replicas)*g.op.Repair.Share))
	p.Waiting, p.Candidates = p.Waiting[:0], p.Candidates[:0]
	g.entitle(now)
	wall := g.ck.Wall()
	const perPass = 400 // tasks of one job offered to one pass
	for j := range g.queue {
		j.prune()
		if j.cancelled || len(j.waiting) == 0 {
			delete(g.queue, j)
			continue
		}
		idx := make([]int, 0, min(len(j.waiting), perPass))
		lost := false
		for _, i := range j.waiting {
			if j.pieces[i].notBefore > now {
				continue
			}
			idx = append(idx, i)
			lost = lost || j.pieces[i].ran
			if len(idx) >= perPass && !j.group() {
				break
			}
		}
		if len(idx) == 0 {
			continue
		}
		pj := j.pj
		pj.Started, pj.Left = j.started, len(j.pieces)-j.done
		pj.Aged = !j.standing() && !j.started && clock.Micros(j.at)+agedAfter < wall
		if j.spec.DueS != nil {
			left := clock.Micros(j.at) + clock.FromSeconds(*j.spec.DueS) - wall
			pj.Slack = max(0, left-clock.FromSeconds(j.spec.ExpectS))
		}
		p.Waiting = append(p.Waiting, plan.Waiting{Job: pj, Indexes: idx, Lost: lost})
	}
	// The planner's order has no ties, so that of the map does not matter.
	if round {
		g.candidates(p)
	}
	return p
}

// entitle marks the jobs that fit into their team's guarantee together with
// the team's earlier ones, where there are guarantees at all, once a second.
func (g *reign) entitle(now clock.Micros) {
	some := false
	for _, t := range g.teams {
		some = some || t.CPUs > 0 || t.Accel > 0
	}
	if !some || now-g.entitled < clock.Second && !g.fresh {
		return
	}
	g.entitled = now
	type used struct{ cores, accel float64 }
	sum := map[string]used{}
	for _, j := range g.sortedJobs() {
		t := g.teams[j.spec.Owner]
		if j.cancelled || t.CPUs == 0 && t.Accel == 0 {
			continue
		}
		u := sum[j.spec.Owner]
		n := float64(len(j.pieces) - j.done)
		u.cores += n * j.spec.Cores
		u.accel += n * j.spec.Accel
		sum[j.spec.Owner] = u
		j.pj.Entitled = u.cores <= t.CPUs+1e-6 && u.accel <= t.Accel+1e-6
	}
}

// settled is how long a replica is left alone after its start: a start that is
// undone within half a minute is none to its users.
const settled = 40 * clock.Second

// candidates lists the placed tasks on offending machines or in broken rules.
// Batch tasks that could not save are left to finish on a machine that still
// works: stopping them would lose what repair is meant to protect.
func (g *reign) candidates(p *plan.Picture) {
	now := p.Now
	// Spreading goes slowly, so only some of the replicas that share a machine are
	// looked at in a round, beginning elsewhere each time.
	sharing := 4 * max(1, p.MoveCap)
	machines := g.fl.Machines()
	if len(machines) > 0 {
		at := int(g.seq*97) % len(machines)
		machines = slices.Concat(machines[at:], machines[:at])
	}
	for _, m := range machines {
		m.Each(func(b *fleet.Booking) {
			j, known := b.Tag.(*job)
			if !b.Live() || b.Halt || !known || j.cancelled || j.group() {
				return
			}
			pc := &j.pieces[b.Piece.Index]
			if pc.booking != b || pc.target != nil {
				return
			}
			reason := ""
			switch {
			case m.Banned != "" && (j.standing() || b.Saves || m.Banned == "sick"):
				reason = plan.ReasonBan
			case m.Cordoned && j.standing() && now-b.Since > settled:
				reason = plan.ReasonDrain
			case j.standing() && j.pj.Machines[m.Name] > 1 && sharing > 0:
				reason = plan.ReasonSpread
				sharing--
			default:
				return
			}
			p.Candidates = append(p.Candidates, plan.Candidate{Job: j.pj, Index: b.Piece.Index, Machine: m.Name, Reason: reason})
		})
	}
}

// plan makes a plan and books it. The caller holds mu.
func (g *reign) plan(now clock.Micros) {
	round := now >= g.repairAt
	changed := len(g.touched) > 0 || g.fresh
	for m := range g.touched {
		if !g.refresh(m, now) {
			delete(g.touched, m)
		}
	}
	if !round && (len(g.queue) == 0 || !changed && now < g.triedAt+tick) {
		return // nothing waits, or nothing has changed since it found no room
	}
	if round {
		g.repairAt = now + g.op.Period()
	}
	g.triedAt = now
	began := g.ck.Now()
	res := plan.Make(g.picture(now, round))
	g.fresh = false
	g.keep(res.Hold)
	for _, l := range res.Launch {
		j := g.jobs[l.Task.Job]
		pc := &j.pieces[l.Task.Index]
		m := g.fl.Machine(l.Machine)
		pc.try++
		b := g.booking(j, l.Task.Index, pc.try)
		b.Tenure = m.Tenure
		j.spared = j.spared || j.pj.Aged
		g.fl.Reserve(m, b, now)
		pc.state, pc.booking = piecePlaced, b
		j.touch(l.Task.Index)
		g.dirty[j.uid] = true
		delete(g.lazy, j.uid)
	}
	for _, id := range res.Preempt {
		j := g.jobs[id.Job]
		if b := j.pieces[id.Index].booking; b != nil {
			g.log.Debug("preempted", "piece", b.Piece.String(), "host", b.Machine.Name)
			g.halt(j, b, now)
		}
	}
	for _, mv := range res.Moves {
		j := g.jobs[mv.Task.Job]
		pc := &j.pieces[mv.Task.Index]
		m := g.fl.Machine(mv.To)
		t := g.booking(j, mv.Task.Index, pc.try+1)
		t.Tenure = m.Tenure
		g.fl.Reserve(m, t, now)
		pc.target = t
		g.log.Info("move", "piece", pc.booking.Piece.String(), "from", mv.From, "to", mv.To, "reason", mv.Reason)
		g.halt(j, pc.booking, now)
	}
	if round {
		g.met.Round(g.ck.Now()-began, res.Violations, len(res.Moves))
		if res.Violations > 0 || len(res.Moves) > 0 {
			g.log.Info("repair round", "moves", len(res.Moves), "deferred", res.Deferred, "violations", res.Violations)
		}
	}
	unplaced := 0
	for _, n := range res.Unplaced {
		unplaced += n
	}
	if unplaced > 0 && now-g.blocked > 10*clock.Second {
		g.blocked = now
		g.log.Info("tasks wait for room", "tasks", unplaced, "jobs", len(res.Unplaced))
	}
	g.met.Queue(unplaced)
}

// keep notes which machines' room is kept for jobs that have waited long. The
// caller holds mu.
func (g *reign) keep(holds map[string]string) {
	for name := range g.holds {
		if holds[name] == "" {
			if m := g.fl.Machine(name); m != nil {
				g.touched[m] = true
			}
		}
	}
	for name, uid := range holds {
		if j := g.jobs[uid]; j != nil && j.pj.Hold != name {
			j.pj.Hold = name
			g.touched[g.fl.Machine(name)] = true
			g.log.Info("room is kept for a job that has waited long", "job", uid, "host", name)
		}
	}
	g.holds = holds
}

// halt stops an attempt, with time to save if it can. The caller holds mu.
func (g *reign) halt(j *job, b *fleet.Booking, now clock.Micros) {
	leeway := 0.0
	if b.Saves {
		leeway = b.Stow + 1
	}
	if g.fl.Stop(b, leeway, now) {
		pc := &j.pieces[b.Piece.Index]
		g.ended(j, pc, b, true, now)
		return
	}
	g.toTell[b.Machine] = true
}

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

// dispatch sends direct commands to the machines that have some waiting.
func (g *reign) dispatch(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	warrant, may := g.el.MayOrder()
	if !may {
		return
	}
	now := g.ck.Now()
	for m := range g.toTell {
		if len(g.busy) >= maxFlights {
			break
		}
		if g.busy[m.Name] {
			continue // looked at again when it has landed
		}
		delete(g.toTell, m)
		if !m.Beaten || m.Suspect || m.Returning || g.fl.Machine(m.Name) != m || !g.urgent(m) {
			continue
		}
		fl := g.fl.Launch(m, now, warrant)
		if fl == nil {
			continue
		}
		g.busy[m.Name] = true
		go g.fly(ctx, fl)
	}
}

// maxFlights bounds the direct commands in flight.
const maxFlights = 32

// urgent tells whether a machine has commands that should not wait for its next beat.
func (g *reign) urgent(m *fleet.Machine) bool {
	urgent := false
	m.Each(func(b *fleet.Booking) {
		if !b.Live() || b.Tenure != m.Tenure {
			return
		}
		if b.Recorded && !b.Halt && b.Sent() == 0 || b.Halt && !b.Urged {
			urgent = true
			b.Urged = b.Halt
		}
	})
	return urgent
}

// fly sends one /do and takes its outcome in.
func (g *reign) fly(ctx context.Context, fl *fleet.Flight) {
	dctx, cancel := context.WithTimeout(ctx, (1500 * clock.Millisecond).Duration())
	rep, definite, err := g.workers.Do(dctx, fl.Machine.Endpoint, wire.Do{Warrant: fl.Warrant, Tenure: fl.Tenure, Orders: fl.Orders})
	cancel()
	if err != nil {
		g.log.Debug("direct command", "host", fl.Machine.Name, "definite", definite, "error", err)
	}
	now := g.ck.Now()
	g.mu.Lock()
	g.fl.Landed(fl, definite)
	delete(g.busy, fl.Machine.Name)
	switch m := fl.Machine; {
	case rep != nil && rep.Host == m.Name:
		g.fl.Obeyed(m)
		news, _ := g.fl.Report(now, rep, false)
		g.news(news, now)
	case err != nil && ctx.Err() == nil:
		g.fl.Missed(m)
	}
	g.mu.Unlock()
	g.wake()
}

// fence raises the warrant when runs are in doubt at workers that do report,
// so that a late copy of them is void.
func (g *reign) fence(ctx context.Context) {
	now := g.ck.Now()
	g.mu.Lock()
	warrant, may := g.el.MayOrder()
	due := may && (g.raisedAt == 0 || now-g.raisedAt > 4*clock.Second) && g.fl.Doubts(now, warrant) > 0
	if due {
		g.raisedAt = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	if next, err := g.el.Raise(ctx); err != nil {
		g.log.Debug("raise warrant", "error", err)
	} else {
		g.log.Info("warrant raised: a direct command is in doubt", "warrant", next)
	}
}
