package cedardoor

import (
	"context"
	"errors"
	"fmt"
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

// loop plans, records and orders until ctx ends.
func (g *reign) loop(ctx context.Context) {
	tk := g.ck.NewTicker(tick.Duration())
	defer tk.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.kick:
			g.sleep(ctx, wakePause)
		case <-tk.Chan():
		}
		g.step(ctx)
	}
}

// step is one pass: prove, plan, record, order.
func (g *reign) step(ctx context.Context) {
	g.mu.Lock()
	now := g.ck.Now()
	g.news(g.fl.Expire(now), now)
	g.judgeMachines(now)
	if _, may := g.el.MayOrder(); may {
		g.plan(now)
	}
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
			return
		}
	}
	g.dispatch(ctx)
	g.probeSilent(ctx)
	g.abdicate()
	g.fence(ctx)
}

// usable tells whether a machine may be given tasks.
func (g *reign) usable(m *fleet.Machine, now clock.Micros) bool {
	report := clock.FromSeconds(g.cfg.Facts.Workers.ReportS)
	return m.Beaten && m.Cores > 0 && !m.Lapsed(now) && !m.Returning && m.WarnUntil == 0 && now-m.LastBeat < 2*report
}

// judgeMachines bans machines that have a notice, and lifts that ban with it.
// The caller holds mu.
func (g *reign) judgeMachines(now clock.Micros) {
	for _, m := range g.fl.Machines() {
		switch {
		case m.WarnUntil > 0 && m.Banned == "":
			m.Banned = "notice"
		case m.WarnUntil == 0 && m.Banned == "notice":
			m.Banned = ""
		case m.Banned == "" && m.SlowN >= 3 && m.Slow > 1.6:
			m.Banned = "slow"
			g.log.Info("machine is slow", "host", m.Name, "factor", fmt.Sprintf("%.2f", m.Slow))
		}
	}
}

// stopSoon is how long the room of a task that was told to stop is waited for.
const stopSoon = 3 * clock.Second

// picture is the snapshot that the planner works on. The caller holds mu.
func (g *reign) picture(now clock.Micros, round bool) *plan.Picture {
	g.seq++
	p := &plan.Picture{Team: map[string]*plan.Quota{}, MoveCap: g.op.Repair.Restarts, Sample: g.op.Plan.Sample, Seed: g.seq, Preempt: true}
	for name, t := range g.teams {
		p.Team[name] = &plan.Quota{CoresMax: t.CPUsMax, AccelMax: t.AccelMax}
	}
	jobs := map[string]*plan.Job{}
	planJob := func(j *job) *plan.Job {
		pj := jobs[j.uid]
		if pj == nil {
			s := &j.spec
			pj = &plan.Job{UID: j.uid, Team: s.Owner, Rank: j.rank, Standing: j.standing(), Pieces: s.Pieces,
				Cores: s.Cores, Accel: s.Accel, RAM: s.RAM, Builds: s.Builds, Yard: s.Yard, SamePlace: s.SamePlace,
				Apart: s.Apart, Loaned: s.Loaned, Bundle: s.Bundle, Order: j.order, Started: j.started, Group: j.group(), Left: len(j.pieces) - j.done,
				Zones: map[string]int{}, Machines: map[string]int{}}
			if s.DueS != nil {
				left := clock.Micros(j.at) + clock.FromSeconds(*s.DueS) - g.ck.Wall()
				pj.Slack = max(0, left-clock.FromSeconds(s.ExpectS))
			} else {
				pj.Slack = 1 << 60
			}
			jobs[j.uid] = pj
		}
		return pj
	}
	for _, m := range g.fl.Machines() {
		c, a, r := m.Free()
		pm := &plan.Machine{Name: m.Name, Build: m.Build, Yard: m.Yard, Loaned: m.Loaned, Cores: c, Accel: a, RAM: r,
			Usable: g.usable(m, now), Banned: m.Banned, Cordoned: m.Cordoned, Images: map[string]plan.Image{}}
		for b, whole := range m.Images {
			pm.Images[b] = plan.ImageComing
			if whole {
				pm.Images[b] = plan.ImageHeld
			}
		}
		m.Each(func(b *fleet.Booking) {
			if !b.Live() {
				return
			}
			if q := p.Team[g.owner(b)]; q != nil {
				q.Cores += b.Cores
				q.Accel += b.Accel
			}
			j := g.jobs[b.Piece.Job]
			if j == nil {
				return
			}
			pj := planJob(j)
			if m.Yard == "" {
				// Not known where it is: it counts everywhere.
				for _, z := range g.cfg.Facts.Zones {
					pj.Zones[z]++
				}
			} else {
				pj.Zones[m.Yard]++
			}
			pj.Machines[m.Name]++
			if b.Halt && now-b.HaltAt > stopSoon {
				return // it does not obey: its room may be long in coming
			}
			if b.Halt {
				pm.StopCores += b.Cores
				pm.StopAccel += b.Accel
				pm.StopRAM += b.RAM
				return
			}
			pc := &j.pieces[b.Piece.Index]
			if j.standing() || j.group() || j.cancelled || pc.booking != b {
				return
			}
			v := plan.Victim{Task: plan.TaskID{Job: j.uid, Index: b.Piece.Index}, Rank: j.rank, Cores: b.Cores, Accel: b.Accel, RAM: b.RAM}
			if b.Running > 0 {
				v.Lost = now - b.Running
			}
			pm.Lower = append(pm.Lower, v)
		})
		sort.SliceStable(pm.Lower, func(i, k int) bool {
			a, b := &pm.Lower[i], &pm.Lower[k]
			if a.Rank != b.Rank {
				return a.Rank < b.Rank
			}
			return a.Lost < b.Lost
		})
		p.Machines = append(p.Machines, pm)
	}
	g.entitle(p, planJob)
	const perPass = 400 // tasks of one job offered to one pass
	for _, j := range g.sortedJobs() {
		if j.cancelled || len(j.waiting) == 0 {
			continue
		}
		j.prune()
		var idx []int
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
		if len(idx) > 0 {
			p.Waiting = append(p.Waiting, plan.Waiting{Job: planJob(j), Indexes: idx, Lost: lost})
		}
	}
	if round {
		g.candidates(p, planJob, now)
	}
	return p
}

// owner is the team that a booking counts for.
func (g *reign) owner(b *fleet.Booking) string {
	if j := g.jobs[b.Piece.Job]; j != nil {
		return j.spec.Owner
	}
	return ""
}

// entitle marks the jobs that fit into their team's guarantee together with
// the team's earlier ones.
func (g *reign) entitle(p *plan.Picture, planJob func(*job) *plan.Job) {
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
		planJob(j).Entitled = u.cores <= t.CPUs+1e-6 && u.accel <= t.Accel+1e-6
	}
	for _, m := range p.Machines {
		for i := range m.Lower {
			j := g.jobs[m.Lower[i].Task.Job]
			t := g.teams[j.spec.Owner]
			if q := p.Team[j.spec.Owner]; q != nil {
				m.Lower[i].Borrowed = !planJob(j).Entitled && (q.Cores > t.CPUs+1e-6 || q.Accel > t.Accel+1e-6)
			}
		}
	}
}

// settled is how long a replica is left alone after its start: a start that is
// undone within half a minute is none to its users.
const settled = 40 * clock.Second

// candidates lists the placed tasks on offending machines or in broken rules.
// Batch tasks that could not save are left to finish on a machine that still
// works: stopping them would lose what repair is meant to protect.
func (g *reign) candidates(p *plan.Picture, planJob func(*job) *plan.Job, now clock.Micros) {
	for _, m := range g.fl.Machines() {
		m.Each(func(b *fleet.Booking) {
			j := g.jobs[b.Piece.Job]
			if !b.Live() || b.Halt || j == nil || j.cancelled || j.group() {
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
			case j.standing() && planJob(j).Machines[m.Name] > 1:
				reason = plan.ReasonSpread
			default:
				return
			}
			p.Candidates = append(p.Candidates, plan.Candidate{Job: planJob(j), Index: b.Piece.Index, Machine: m.Name, Reason: reason})
		})
	}
}

// plan makes a plan and books it. The caller holds mu.
func (g *reign) plan(now clock.Micros) {
	round := now >= g.repairAt
	if round {
		g.repairAt = now + g.op.Period()
	}
	began := g.ck.Now()
	res := plan.Make(g.picture(now, round))
	for _, l := range res.Launch {
		j := g.jobs[l.Task.Job]
		pc := &j.pieces[l.Task.Index]
		m := g.fl.Machine(l.Machine)
		pc.try++
		b := g.booking(j, l.Task.Index, pc.try)
		b.Tenure = m.Tenure
		g.fl.Reserve(m, b, now)
		pc.state, pc.booking = piecePlaced, b
		j.touch(l.Task.Index)
		g.dirty[j.uid] = true
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

// halt stops an attempt, with time to save if it can. The caller holds mu.
func (g *reign) halt(j *job, b *fleet.Booking, now clock.Micros) {
	leeway := 0.0
	if b.Saves {
		leeway = b.Stow + 1
	}
	if g.fl.Stop(b, leeway, now) {
		pc := &j.pieces[b.Piece.Index]
		g.ended(j, pc, b, true, now)
	}
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
		}
		for _, b := range wr.ended {
			b.Settled = true
		}
		if c.seq != c.saved {
			g.dirty[wr.j.uid] = true
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
	for _, m := range g.fl.Machines() {
		if g.busy[m.Name] || !m.Beaten || !g.urgent(m) || len(g.busy) >= maxFlights {
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
	if rep != nil && rep.Host == fl.Machine.Name {
		news, _ := g.fl.Report(now, rep, false)
		g.news(news, now)
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
