// Package lead decides which controller acts for the service, and hands out
// the fencing tokens under which it does.
package lead

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/store"
	"cedardoor/wire"
)

// AttestSpan is how long after asking them the others' word that the state
// service refuses everyone lets a leader go on answering heartbeats.
const AttestSpan = 1500 * clock.Millisecond

// leaseMargin is taken off a lease's own time, for clocks that drift and answers that take time.
const leaseMargin = 250 * clock.Millisecond

// Term is one time of leadership.
type Term struct {
	Token uint64 // the first token; Raise goes above it
	Stamp uint64 // of the lead key; every write of the leader is conditional on it
	Since clock.Micros
}

// Attester asks all other controllers whether the state service refuses them too,
// and takes in what they know to be cancelled. True only when all have said so.
type Attester func(ctx context.Context) bool

// Elector competes for leadership and keeps it.
type Elector struct {
	node   string
	st     *store.Client
	ck     *clock.Clock
	ttl    clock.Micros
	renew  clock.Micros
	attest Attester
	log    *slog.Logger

	mu       sync.Mutex // guards the fields below
	leading  bool
	term     Term
	token    uint64
	lease    uint64
	until    clock.Micros // the lease cannot have lapsed before this
	attested clock.Micros // the others' word is good until this
	leader   string       // who leads, as last seen; empty when nobody does
	seenAt   clock.Micros // when the state service last confirmed that
	newest   uint64       // the highest stamp of the lead key that this process has seen
	lapses   uint64       // times at which the lease was renewed after it may have lapsed
	seq      uint64
	vStamp   uint64 // of the token key
	resting  clock.Micros
	freeFrom clock.Micros  // since when the lead has been seen free, by a node that rests; zero when it is not
	quit     chan struct{} // closed to end the term early
}

// rest is how long a node that abdicated lets others lead, and unclaimedAfter how long the
// lead may stay free meanwhile: whoever can take it does so at once, so by then there is
// nobody else, and a leader that hears few workers is better than none.
const (
	rest           = 20 * clock.Second
	unclaimedAfter = 3 * clock.Second
)

// Abdicate ends this node's term at once and leaves the next to others.
func (e *Elector) Abdicate() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leading && e.quit != nil {
		close(e.quit)
		e.quit = nil
		e.resting, e.freeFrom = e.ck.Now()+rest, 0
	}
}

// rests tells whether this node leaves the lead, which is free, to others.
func (e *Elector) rests() bool {
	now := e.ck.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resting <= now {
		return false
	}
	if e.freeFrom == 0 {
		e.freeFrom = now
	}
	return now-e.freeFrom < unclaimedAfter
}

// New makes an Elector.
func New(node string, st *store.Client, ck *clock.Clock, op *config.Operator, attest Attester, log *slog.Logger) *Elector {
	return &Elector{node: node, st: st, ck: ck, attest: attest, log: log,
		ttl: clock.FromSeconds(op.Lead.TTLs), renew: clock.FromSeconds(op.Lead.RenewS)}
}

// watchSpan is how long one watch of the lead key waits.
const watchSpan = 4 * clock.Second

// Leader names the controller that leads, as last seen; empty when unknown. A
// node that the state service has not told for a while does not know: workers
// that it sent to a dead leader would lose time that their leases run on.
func (e *Elector) Leader() string {
	now := e.ck.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leading && now-e.seenAt > watchSpan+clock.Second {
		return ""
	}
	return e.leader
}

// MayAnswer tells whether this node is entitled to answer heartbeats right now, and its token.
func (e *Elector) MayAnswer() (token uint64, ok bool) {
	now := e.ck.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.token, e.leading && (now < e.until || now < e.attested)
}

// MayOrder tells whether this node may give new orders: only under a lease that has not lapsed.
func (e *Elector) MayOrder() (token uint64, ok bool) {
	now := e.ck.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.token, e.leading && now < e.until
}

// Newest is the highest stamp of the lead key that this process has seen, its
// own terms included: a leader of a lower one may have been replaced.
func (e *Elector) Newest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// Lapses counts how often the lease was renewed after it may have lapsed.
func (e *Elector) Lapses() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lapses
}

// renewed notes that the lease was renewed by a request sent at the given time.
func (e *Elector) renewed(asked clock.Micros) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ck.Now() >= e.until {
		e.lapses++
	}
	e.until = asked + e.ttl - leaseMargin
}

// Stamp is the lead key's stamp under the current term.
func (e *Elector) Stamp() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term.Stamp
}

// Run competes until ctx ends. For each term it calls serve with a context
// that ends with the term, and waits for serve to return.
func (e *Elector) Run(ctx context.Context, serve func(ctx context.Context, r Term)) {
	for ctx.Err() == nil {
		term, err := e.campaign(ctx)
		if err != nil {
			if ctx.Err() == nil {
				e.log.Debug("not elected", "error", err)
				e.pause(ctx, 200*clock.Millisecond+clock.Micros(rand.Int64N(int64(300*clock.Millisecond))))
			}
			continue
		}
		e.log.Info("leading", "token", term.Token)
		rctx, cancel := context.WithCancel(ctx)
		e.mu.Lock()
		quit := make(chan struct{})
		e.quit = quit
		e.mu.Unlock()
		go func() {
			select {
			case <-quit:
				cancel()
			case <-rctx.Done():
			}
		}()
		done := make(chan struct{})
		go func() { defer close(done); serve(rctx, term) }()
		e.keep(rctx)
		e.mu.Lock()
		e.leading, e.quit = false, nil
		lease := e.lease
		e.leader = ""
		e.mu.Unlock()
		cancel()
		<-done
		e.log.Info("no longer leading", "token", term.Token)
		// Ended politely where possible: the others need not wait for the lease to lapse.
		dctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), clock.Second.Duration())
		if err := e.st.Drop(dctx, lease); err != nil {
			e.log.Debug("drop lease", "error", err)
		}
		cancel()
	}
}

func (e *Elector) pause(ctx context.Context, d clock.Micros) {
	select {
	case <-ctx.Done():
	case <-e.ck.After(d.Duration()):
	}
}

// campaign waits until the lead key is free and takes it.
func (e *Elector) campaign(ctx context.Context) (Term, error) {
	for ctx.Err() == nil {
		row, found, err := e.st.Get(ctx, store.Vital, store.KeyLead)
		if err != nil {
			return Term{}, fmt.Errorf("read lead: %w", err)
		}
		if !found {
			break
		}
		var rec store.LeadRecord
		if err := wire.Unmarshal(row.Value, &rec); err != nil {
			return Term{}, fmt.Errorf("lead record: %w", err)
		}
		e.mu.Lock()
		e.leader, e.seenAt, e.freeFrom = rec.Node, e.ck.Now(), 0
		e.newest = max(e.newest, row.ModRevision)
		if rec.Node == e.node {
			e.leader = ""
		}
		e.mu.Unlock()
		if rec.Node == e.node && row.Lease != 0 {
			// An earlier process of this node holds the key. It has ended, or this one
			// would not run, so nobody need wait for its lease to lapse.
			if err := e.st.Drop(ctx, row.Lease); err == nil {
				continue
			}
		}
		ch, err := e.st.Changes(ctx, store.KeyLead, row.ModRevision, watchSpan)
		if err != nil && !errors.Is(err, store.ErrTooOld) {
			e.mu.Lock()
			e.leader = ""
			e.mu.Unlock()
			return Term{}, fmt.Errorf("watch lead: %w", err)
		}
		for _, ev := range ch.Events {
			if ev.Delete == store.KeyLead {
				e.mu.Lock()
				e.leader = ""
				e.mu.Unlock()
			}
		}
	}
	if ctx.Err() != nil {
		return Term{}, ctx.Err()
	}
	if e.rests() {
		e.pause(ctx, clock.Second)
		return Term{}, errors.New("resting after an abdication")
	}
	asked := e.ck.Now()
	lease, err := e.st.Grant(ctx, e.ttl)
	if err != nil {
		return Term{}, fmt.Errorf("ask for a lease: %w", err)
	}
	row, found, err := e.st.Get(ctx, store.Vital, store.KeyToken)
	if err != nil {
		return Term{}, fmt.Errorf("read token: %w", err)
	}
	var last store.TokenRecord
	if found {
		if err := wire.Unmarshal(row.Value, &last); err != nil {
			return Term{}, fmt.Errorf("token record: %w", err)
		}
	}
	nonce := fmt.Sprintf("%s.%d.%d", e.node, e.ck.Wall(), rand.Uint32())
	epoch, err := e.st.Commit(ctx, store.Vital, wire.Txn{
		Conditions: []wire.Condition{{Key: store.KeyLead}, {Key: store.KeyToken, ModRevision: row.ModRevision}},
		Operations: []wire.Operation{
			{Set: store.KeyLead, Value: store.LeadRecord{Node: e.node, Nonce: nonce}, Lease: lease},
			{Set: store.KeyToken, Value: store.TokenRecord{Token: last.Token + 1, Nonce: nonce}},
		},
	})
	if err != nil {
		// Not knowing is losing: if the key was taken after all, its lease lapses unrenewed.
		_ = e.st.Drop(ctx, lease)
		return Term{}, fmt.Errorf("take the lead: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leading, e.leader, e.lease = true, e.node, lease
	e.token, e.vStamp = last.Token+1, epoch
	e.until = asked + e.ttl - leaseMargin
	e.attested = 0
	e.newest = max(e.newest, epoch)
	e.term = Term{Token: e.token, Stamp: epoch, Since: e.ck.Now()}
	return e.term, nil
}

// keep renews the lease until it is known to have ended.
func (e *Elector) keep(ctx context.Context) {
	for {
		e.pause(ctx, e.renew)
		if ctx.Err() != nil {
			return
		}
		asked := e.ck.Now()
		err := e.st.Renew(ctx, e.lease, min(e.renew, clock.Second))
		switch {
		case err == nil:
			e.renewed(asked)
			continue
		case errors.Is(err, store.ErrNoLease):
			return
		}
		e.log.Debug("renewal failed", "error", err)
		// From here on the leader lives on what is left of its lease, unless every
		// other controller is refused as well: then nobody can have replaced it.
		for !errors.Is(err, store.ErrNoLease) && ctx.Err() == nil {
			asked := e.ck.Now()
			actx, cancel := context.WithTimeout(ctx, clock.Second.Duration())
			ok := e.st.Probe(actx, 400*clock.Millisecond) && e.attest(actx)
			cancel()
			if ok {
				e.mu.Lock()
				e.attested = asked + AttestSpan
				e.mu.Unlock()
			}
			asked = e.ck.Now()
			err = e.st.Renew(ctx, e.lease, 500*clock.Millisecond)
			if err == nil {
				e.renewed(asked)
				break
			}
			e.pause(ctx, 300*clock.Millisecond)
		}
		if errors.Is(err, store.ErrNoLease) {
			return
		}
	}
}

// Raise takes a higher token for the same term. Commands sent under the old
// one are void at every worker that has seen the new one.
func (e *Elector) Raise(ctx context.Context) (uint64, error) {
	e.mu.Lock()
	next, stamp, lead := e.token+1, e.vStamp, e.term.Stamp
	e.seq++
	nonce := fmt.Sprintf("%s.%d.%d", e.node, lead, e.seq)
	e.mu.Unlock()
	epoch, err := e.st.Commit(ctx, store.Urgent, wire.Txn{
		Conditions: []wire.Condition{{Key: store.KeyLead, ModRevision: lead}, {Key: store.KeyToken, ModRevision: stamp}},
		Operations: []wire.Operation{{Set: store.KeyToken, Value: store.TokenRecord{Token: next, Nonce: nonce}}},
	})
	if err != nil {
		// The write may have been done all the same: read what is there before trying again.
		row, found, rerr := e.st.Get(ctx, store.Urgent, store.KeyToken)
		if rerr != nil || !found {
			return 0, fmt.Errorf("raise token: %w", err)
		}
		var rec store.TokenRecord
		if uerr := wire.Unmarshal(row.Value, &rec); uerr != nil || rec.Nonce != nonce {
			e.mu.Lock()
			if e.leading && e.term.Stamp == lead && rec.Token >= e.token && rec.Token <= next {
				e.vStamp = row.ModRevision
			}
			e.mu.Unlock()
			return 0, fmt.Errorf("raise token: %w", err)
		}
		epoch = row.ModRevision
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leading || e.term.Stamp != lead {
		return 0, errors.New("raise token: the term is over")
	}
	e.token, e.vStamp = next, epoch
	return next, nil
}
