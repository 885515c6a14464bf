package cedardoor

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sort"

	"cedardoor/clock"
	"cedardoor/cloud"
	"cedardoor/fleet"
	"cedardoor/store"
	"cedardoor/wire"
)

// sample is the demand at one moment.
type sample struct {
	at     clock.Micros
	loaned cloud.Load
}

// hire is a rental that was asked for.
type hire struct {
	req   wire.RentRequest
	hosts map[string]clock.Micros // rented, and not listed or reporting yet
}

// sizeLoop keeps the catalogue and the machine list, and rents and returns.
func (g *reign) sizeLoop(ctx context.Context) {
	var catAt, listAt clock.Micros
	trouble := false
	for ctx.Err() == nil {
		now := g.ck.Now()
		var err error
		if catAt == 0 || now-catAt > 20*clock.Second {
			if err = g.readCatalog(ctx); err == nil {
				catAt = now
			}
		}
		if err == nil && (listAt == 0 || now-listAt > 3*clock.Second) {
			if err = g.readList(ctx); err == nil {
				listAt = now
			}
		}
		if err != nil && !trouble && ctx.Err() == nil {
			g.log.Info("cloud does not answer", "error", err)
		}
		trouble = err != nil
		if g.op.Fleet.Enabled && listAt != 0 {
			g.resize(ctx)
		}
		g.sleep(ctx, clock.FromSeconds(g.op.Fleet.PeriodS))
	}
}

func (g *reign) readCatalog(ctx context.Context) error {
	cat, err := g.cl.Catalog(ctx)
	if err != nil {
		return err
	}
	g.mu.Lock()
	same := sameSizes(cat, g.catalog)
	g.catalog = cat
	g.fl.SetCatalog(cat)
	stamp := g.catStamp
	g.mu.Unlock()
	g.wake()
	if same && stamp != 0 {
		return nil
	}
	// Kept durably, so that any node and any later leader can judge submissions
	// while the cloud does not answer.
	epoch, err := g.st.Commit(ctx, store.Urgent, wire.Txn{
		When:  []wire.When{{Path: store.KeyLead, Stamp: g.r.Stamp}},
		Apply: []wire.Apply{{Set: store.KeyCatalog, Value: cat}},
	})
	if err != nil {
		g.log.Debug("keep catalogue", "error", err)
		return nil
	}
	g.mu.Lock()
	g.catStamp = epoch
	g.mu.Unlock()
	return nil
}

func sameSizes(a, b wire.Catalog) bool {
	if len(a.Builds) != len(b.Builds) {
		return false
	}
	for i := range a.Builds {
		x, y := a.Builds[i], b.Builds[i]
		if x.SKU != y.SKU || x.Cores != y.Cores || x.RAM != y.RAM || x.Accel != y.Accel || fmt.Sprint(x.Yards) != fmt.Sprint(y.Yards) {
			return false
		}
	}
	return true
}

// readList takes the cloud's list in. It lags, so a machine is dropped only
// when nothing can be on it and it has not reported for a while.
func (g *reign) readList(ctx context.Context) error {
	hosts, err := g.cl.List(ctx)
	if err != nil {
		return err
	}
	now := g.ck.Now()
	lag := clock.FromSeconds(g.cfg.Facts.Cloud.ListLagS)
	g.mu.Lock()
	defer g.mu.Unlock()
	listed := map[string]bool{}
	for _, h := range hosts {
		listed[h.UID] = true
		m := g.fl.Machine(h.UID)
		if m == nil {
			m = g.fl.Ensure(h.UID, now)
			m.FirstSeen = now - clock.FromSeconds(h.HeldS)
		}
		if m.Yard == "" {
			m.Endpoint, m.Build, m.Yard, m.Loaned = h.Endpoint, h.Build, h.Yard, h.Loaned
		}
		m.Listed, m.ListedAt = h.Status, now
		for _, p := range g.pending {
			delete(p.hosts, h.UID)
		}
	}
	g.fl.SetCatalog(g.catalog)
	for _, m := range g.fl.Machines() {
		if listed[m.Name] {
			continue
		}
		quiet := m.LastBeat == 0 || now-m.LastBeat > 2*lag
		if quiet && now-m.FirstSeen > 3*lag && now-m.ListedAt > 3*lag && m.Lapsed(now) && len(m.Bookings) == 0 {
			g.fl.Drop(m.Name)
		}
	}
	for name, p := range g.pending {
		for h, at := range p.hosts {
			if m := g.fl.Machine(h); m != nil && m.Beaten || now-at > 4*lag {
				delete(p.hosts, h)
			}
		}
		if len(p.hosts) == 0 {
			delete(g.pending, name)
		}
	}
	return nil
}

// demand sums up the work there is. The caller holds mu.
func (g *reign) demand(now clock.Micros) cloud.Need {
	need := cloud.Need{Reserve: g.op.Fleet.ReserveOD, Idle: clock.FromSeconds(g.op.Fleet.IdleS), Machines: g.op.Fleet.MaxMachines}
	var urgent, queue cloud.Load
	for _, j := range g.jobs {
		if j.cancelled {
			continue
		}
		s := &j.spec
		if len(j.failedOn) > 3 && j.done == 0 {
			continue // a bad job: it is retried, but nothing is rented for it
		}
		running := 0
		for i := range j.pieces {
			if j.pieces[i].state == piecePlaced {
				running++
			}
		}
		waiting := len(j.pieces) - j.done - running
		add := func(l *cloud.Load, n float64) {
			l.Cores += n * s.Cores
			l.RAM += n * s.RAM
			l.Accel += n * s.Accel
		}
		if !s.Loaned {
			add(&need.Ordinary, float64(running+waiting))
			need.MaxCores = max(need.MaxCores, s.Cores)
			need.Apart = need.Apart || s.Apart
			continue
		}
		add(&urgent, float64(running))
		if waiting > 0 {
			// Work that may wait drains within queue_s; work with a deadline, or of a
			// high rank, wants to run at once.
			drain := clock.FromSeconds(g.op.Fleet.QueueS)
			if j.rank >= wire.RankHigh {
				drain = 0
			}
			expect := clock.FromSeconds(max(1, s.ExpectS))
			if j.ran.n > 0 {
				expect = j.ran.mean()
			}
			share := 1.0
			if drain > 0 {
				share = min(1, expect.Seconds()/drain.Seconds())
			}
			add(&queue, float64(waiting)*share)
		}
	}
	cur := cloud.Load{Cores: urgent.Cores + queue.Cores, RAM: urgent.RAM + queue.RAM, Accel: urgent.Accel + queue.Accel}
	g.usage = append(g.usage, sample{at: now, loaned: cur})
	window := clock.FromSeconds(g.op.Fleet.WindowS)
	for len(g.usage) > 0 && now-g.usage[0].at > window {
		g.usage = g.usage[1:]
	}
	var sum cloud.Load
	peaks := make([]float64, 0, len(g.usage))
	for _, u := range g.usage {
		sum.Cores += u.loaned.Cores
		sum.RAM += u.loaned.RAM
		peaks = append(peaks, u.loaned.Cores)
	}
	sort.Float64s(peaks)
	need.Loaned = cur
	n := float64(len(g.usage))
	if mean := sum.Cores / n * (1 + g.op.Fleet.Headroom); mean > need.Loaned.Cores {
		need.Loaned.RAM = sum.RAM / n * (1 + g.op.Fleet.Headroom)
		need.Loaned.Cores = mean
	}
	return need
}

// resize decides and carries out one sizing pass.
func (g *reign) resize(ctx context.Context) {
	g.mu.Lock()
	if _, may := g.el.MayOrder(); !may || len(g.catalog.Builds) == 0 {
		g.mu.Unlock()
		return
	}
	now := g.ck.Now()
	var held []cloud.Held
	var giveUp []string
	silent := clock.FromSeconds(g.op.Fleet.SilentS)
	for _, m := range g.fl.Machines() {
		if m.Build == "" {
			continue
		}
		h := cloud.Held{Name: m.Name, Build: m.Build, Yard: m.Yard, Loaned: m.Loaned, Up: m.Beaten, Cordoned: m.Cordoned,
			UsedCores: m.UsedCores, UsedRAM: m.UsedRAM, Age: now - m.FirstSeen}
		m.Each(func(b *fleet.Booking) {
			if b.Live() {
				h.Live++
				if j := g.jobs[b.Piece.Job]; j != nil && j.standing() {
					h.Standing++
				}
			}
		})
		if m.IdleFrom > 0 {
			h.Idle = now - m.IdleFrom
		}
		h.Lost = m.Banned != "" || m.Returning || m.Listed == wire.HostFailed || m.Beaten && now-m.LastBeat > 8*clock.Second ||
			!m.Beaten && m.ListedAt > 0 && m.Listed != wire.HostBooting && now-m.FirstSeen > silent
		held = append(held, h)
		ready := 60.0
		if b, ok := g.fl.Build(m.Build); ok && b.ReadyS > 0 {
			ready = b.ReadyS
		}
		dead := m.Listed == wire.HostFailed ||
			m.Listed == wire.HostBooting && !m.Beaten && (now-m.FirstSeen).Seconds() > ready*g.op.Fleet.BootFactor ||
			m.Beaten && now-m.LastBeat > silent ||
			!m.Beaten && m.Listed == wire.HostRunning && now-max(m.FirstSeen, g.r.Since) > silent ||
			(m.Banned == "sick" || m.Banned == "slow") && h.Live == 0 ||
			m.Returning
		if dead {
			m.Returning = true
			giveUp = append(giveUp, m.Name)
		}
	}
	for _, p := range g.pending {
		for h := range p.hosts {
			if m := g.fl.Machine(h); m == nil || m.Build == "" {
				held = append(held, cloud.Held{Name: h, Build: p.req.Build, Yard: p.req.Yard, Loaned: p.req.Loaned})
			}
		}
	}
	for key, until := range g.refused {
		if now > until {
			delete(g.refused, key)
		}
	}
	refused := func(build, yard string, loaned bool) bool {
		_, no := g.refused[refusedKey(build, yard, loaned)]
		return no
	}
	need := g.demand(now)
	v := cloud.Size(g.catalog.Builds, held, need, refused)
	for _, name := range v.Cordon {
		g.fl.Machine(name).Cordoned = true
	}
	for _, name := range v.Uncordon {
		g.fl.Machine(name).Cordoned = false
	}
	for _, name := range v.Return {
		m := g.fl.Machine(name)
		if m.LiveCount() == 0 && m.Cordoned {
			m.Returning = true
			giveUp = append(giveUp, name)
		}
	}
	g.log.Debug("sizing", "held", len(held), "ordinary", math.Round(need.Ordinary.Cores), "loaned", math.Round(need.Loaned.Cores),
		"rent", fmt.Sprint(v.Rent), "cordon", len(v.Cordon), "uncordon", len(v.Uncordon), "return", fmt.Sprint(giveUp))
	g.mu.Unlock()
	if len(giveUp) > 0 {
		g.giveBack(ctx, giveUp[:min(len(giveUp), wire.MaxReturn)])
	}
	for i, w := range v.Rent {
		if i >= 4 {
			break // the rest on the next pass: the cloud's requests are few
		}
		g.rent(ctx, w)
	}
	if len(v.Uncordon) > 0 {
		g.wake()
	}
}

func refusedKey(build, yard string, loaned bool) string {
	return fmt.Sprintf("%s/%s/%t", build, yard, loaned)
}

// giveBack returns machines. Nothing new is put on them from the moment that
// it is decided; their bookings are freed only by the cloud's 200.
func (g *reign) giveBack(ctx context.Context, names []string) {
	if err := g.cl.Return(ctx, names); err != nil {
		g.log.Debug("return machines", "error", err)
		return // they stay marked, and are returned on a later pass
	}
	now := g.ck.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range names {
		g.news(g.fl.Returned(name, now), now)
	}
	g.log.Info("machines returned", "hosts", fmt.Sprint(names))
	g.wake()
}

// rent asks for machines under a name that is never used again; a lost answer
// is asked for again under the same name.
func (g *reign) rent(ctx context.Context, w cloud.Wish) {
	g.mu.Lock()
	g.hireSeq++
	req := wire.RentRequest{Hire: fmt.Sprintf("r-%d-%d", g.r.Warrant, g.hireSeq), Build: w.Build, Yard: w.Yard, Loaned: w.Loaned, Count: min(w.Count, wire.MaxRentCount)}
	g.mu.Unlock()
	var hosts []string
	var err error
	for try := 0; try < 3; try++ {
		hosts, err = g.cl.Rent(ctx, req)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) || ctx.Err() != nil {
			break
		}
		g.sleep(ctx, clock.Second)
	}
	now := g.ck.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(hosts) < req.Count {
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			g.refused[refusedKey(w.Build, w.Yard, w.Loaned)] = now + 20*clock.Second
		}
	}
	if err != nil {
		g.log.Debug("rent", "error", err)
		return
	}
	h := &hire{req: req, hosts: map[string]clock.Micros{}}
	for _, name := range hosts {
		h.hosts[name] = now
	}
	g.pending[req.Hire] = h
	g.log.Info("machines rented", "build", w.Build, "yard", w.Yard, "loaned", w.Loaned, "hosts", fmt.Sprint(hosts))
}
