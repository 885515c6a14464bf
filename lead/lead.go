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

// AttestationTTL is how long after asking them the others' word that the state
// service refuses everyone lets a leader go on answering heartbeats.
const AttestationTTL = 1500 * clock.Millisecond

// leaseMargin is taken off a lease's own time, for clocks that drift and answers that take time.
const leaseMargin = 250 * clock.Millisecond

// Term is one time of leadership.
type Term struct {
	Token    uint64 // the first token; Raise goes above it
	Revision uint64 // of the lead key; every write of the leader is conditional on it
	Since    clock.Micros
}

// Attester asks all other controllers whether the state service refuses them too,
// and takes in what they know to be cancelled. True only when all have said so.
type Attester func(ctx context.Context) bool

// Elector competes for leadership and keeps it.
type Elector struct {
	node   string
	store  *store.Client
	clock  *clock.Clock
	ttl    clock.Micros
	renew  clock.Micros
	attest Attester
	log    *slog.Logger

	mu                 sync.Mutex // guards the fields below
	leading            bool
	term               Term
	token              uint64
	lease              uint64
	leaseUntil         clock.Micros // the lease cannot have lapsed before this
	attestedUntil      clock.Micros // the others' word is good until this
	leader             string       // who leads, as last seen; empty when nobody does
	seenAt             clock.Micros // when the state service last confirmed that
	newestRevision     uint64       // the highest stamp of the lead key that this process has seen
	leaseInterruptions uint64       // times at which the lease was renewed after it may have lapsed
	nonceSequence      uint64
	tokenRevision      uint64 // of the token key
	cooldownUntil      clock.Micros
	vacantSince        clock.Micros  // since when the lead has been seen free, by a node that rests; zero when it is not
	resigned           chan struct{} // closed to end the term early
}

// resignCooldown is how long a node that abdicated lets others lead, and unclaimedAfter how long the
// lead may stay free meanwhile: whoever can take it does so at once, so by then there is
// nobody else, and a leader that hears few workers is better than none.
const (
	resignCooldown = 20 * clock.Second
	maxVacancy     = 3 * clock.Second
)

// Resign ends this node's term at once and leaves the next to others.
func (e *Elector) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leading && e.resigned != nil {
		close(e.resigned)
		e.resigned = nil
		e.cooldownUntil, e.vacantSince = e.clock.Now()+resignCooldown, 0
	}
}

// coolingDown tells whether this node leaves the lead, which is free, to others.
func (e *Elector) coolingDown() bool {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cooldownUntil <= now {
		return false
	}
	if e.vacantSince == 0 {
		e.vacantSince = now
	}
	return now-e.vacantSince < maxVacancy
}

// New makes an Elector.
func New(node string, client *store.Client, clk *clock.Clock, op *config.Operator, attest Attester, log *slog.Logger) *Elector {
	return &Elector{node: node, store: client, clock: clk, attest: attest, log: log,
		ttl: clock.FromSeconds(op.Lead.TTLs), renew: clock.FromSeconds(op.Lead.RenewS)}
}

// watchTimeout is how long one watch of the lead key waits.
const watchTimeout = 4 * clock.Second

// Leader names the controller that leads, as last seen; empty when unknown. A
// node that the state service has not told for a while does not know: workers
// that it sent to a dead leader would lose time that their leases run on.
func (e *Elector) Leader() string {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leading && now-e.seenAt > watchTimeout+clock.Second {
		return ""
	}
	return e.leader
}

// MayAnswerHeartbeats tells whether this node is entitled to answer heartbeats right now, and its token.
func (e *Elector) MayAnswerHeartbeats() (token uint64, ok bool) {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.token, e.leading && (now < e.leaseUntil || now < e.attestedUntil)
}

// HoldsLease tells whether this node may give new orders: only under a lease that has not lapsed.
func (e *Elector) HoldsLease() (token uint64, ok bool) {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.token, e.leading && now < e.leaseUntil
}

// NewestRevision is the highest stamp of the lead key that this process has seen, its
// own terms included: a leader of a lower one may have been replaced.
func (e *Elector) NewestRevision() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newestRevision
}

// LeaseInterruptions counts how often the lease was renewed after it may have lapsed.
func (e *Elector) LeaseInterruptions() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaseInterruptions
}

// renewed notes that the lease was renewed by a request sent at the given time.
func (e *Elector) renewed(asked clock.Micros) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.clock.Now() >= e.leaseUntil {
		e.leaseInterruptions++
	}
	e.leaseUntil = asked + e.ttl - leaseMargin
}

// Revision is the lead key's stamp under the current term.
func (e *Elector) Revision() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term.Revision
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
		e.resigned = quit
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
		e.keepLease(rctx)
		e.mu.Lock()
		e.leading, e.resigned = false, nil
		lease := e.lease
		e.leader = ""
		e.mu.Unlock()
		cancel()
		<-done
		e.log.Info("no longer leading", "token", term.Token)
		// Ended politely where possible: the others need not wait for the lease to lapse.
		dctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), clock.Second.Duration())
		if err := e.store.RevokeLease(dctx, lease); err != nil {
			e.log.Debug("drop lease", "error", err)
		}
		cancel()
	}
}

func (e *Elector) pause(ctx context.Context, d clock.Micros) {
	select {
	case <-ctx.Done():
	case <-e.clock.After(d.Duration()):
	}
}

// campaign waits until the lead key is free and takes it.
func (e *Elector) campaign(ctx context.Context) (Term, error) {
	for ctx.Err() == nil {
		row, found, err := e.store.Get(ctx, store.Vital, store.KeyLead)
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
		e.leader, e.seenAt, e.vacantSince = rec.Node, e.clock.Now(), 0
		e.newestRevision = max(e.newestRevision, row.ModRevision)
		if rec.Node == e.node {
			e.leader = ""
		}
		e.mu.Unlock()
		if rec.Node == e.node && row.Lease != 0 {
			// An earlier process of this node holds the key. It has ended, or this one
			// would not run, so nobody need wait for its lease to lapse.
			if err := e.store.RevokeLease(ctx, row.Lease); err == nil {
				continue
			}
		}
		ch, err := e.store.Watch(ctx, store.KeyLead, row.ModRevision, watchTimeout)
		if err != nil && !errors.Is(err, store.ErrCompacted) {
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
	if e.coolingDown() {
		e.pause(ctx, clock.Second)
		return Term{}, errors.New("resting after an abdication")
	}
	asked := e.clock.Now()
	lease, err := e.store.GrantLease(ctx, e.ttl)
	if err != nil {
		return Term{}, fmt.Errorf("ask for a lease: %w", err)
	}
	row, found, err := e.store.Get(ctx, store.Vital, store.KeyToken)
	if err != nil {
		return Term{}, fmt.Errorf("read token: %w", err)
	}
	var last store.TokenRecord
	if found {
		if err := wire.Unmarshal(row.Value, &last); err != nil {
			return Term{}, fmt.Errorf("token record: %w", err)
		}
	}
	nonce := fmt.Sprintf("%s.%d.%d", e.node, e.clock.Wall(), rand.Uint32())
	revision, err := e.store.Commit(ctx, store.Vital, wire.Txn{
		Conditions: []wire.Condition{{Key: store.KeyLead}, {Key: store.KeyToken, ModRevision: row.ModRevision}},
		Operations: []wire.Operation{
			{Set: store.KeyLead, Value: store.LeadRecord{Node: e.node, Nonce: nonce}, Lease: lease},
			{Set: store.KeyToken, Value: store.TokenRecord{Token: last.Token + 1, Nonce: nonce}},
		},
	})
	if err != nil {
		// Not knowing is losing: if the key was taken after all, its lease lapses unrenewed.
		_ = e.store.RevokeLease(ctx, lease)
		return Term{}, fmt.Errorf("take the lead: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leading, e.leader, e.lease = true, e.node, lease
	e.token, e.tokenRevision = last.Token+1, revision
	e.leaseUntil = asked + e.ttl - leaseMargin
	e.attestedUntil = 0
	e.newestRevision = max(e.newestRevision, revision)
	e.term = Term{Token: e.token, Revision: revision, Since: e.clock.Now()}
	return e.term, nil
}

// keepLease renews the lease until it is known to have ended.
func (e *Elector) keepLease(ctx context.Context) {
	for {
		e.pause(ctx, e.renew)
		if ctx.Err() != nil {
			return
		}
		asked := e.clock.Now()
		err := e.store.RenewLease(ctx, e.lease, min(e.renew, clock.Second))
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
			asked := e.clock.Now()
			actx, cancel := context.WithTimeout(ctx, clock.Second.Duration())
			ok := e.store.Refused(actx, 400*clock.Millisecond) && e.attest(actx)
			cancel()
			if ok {
				e.mu.Lock()
				e.attestedUntil = asked + AttestationTTL
				e.mu.Unlock()
			}
			asked = e.clock.Now()
			err = e.store.RenewLease(ctx, e.lease, 500*clock.Millisecond)
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

// RaiseToken takes a higher token for the same term. Commands sent under the old
// one are void at every worker that has seen the new one.
func (e *Elector) RaiseToken(ctx context.Context) (uint64, error) {
	e.mu.Lock()
	next, modRevision, lead := e.token+1, e.tokenRevision, e.term.Revision
	e.nonceSequence++
	nonce := fmt.Sprintf("%s.%d.%d", e.node, lead, e.nonceSequence)
	e.mu.Unlock()
	revision, err := e.store.Commit(ctx, store.Urgent, wire.Txn{
		Conditions: []wire.Condition{{Key: store.KeyLead, ModRevision: lead}, {Key: store.KeyToken, ModRevision: modRevision}},
		Operations: []wire.Operation{{Set: store.KeyToken, Value: store.TokenRecord{Token: next, Nonce: nonce}}},
	})
	if err != nil {
		// The write may have been done all the same: read what is there before trying again.
		row, found, rerr := e.store.Get(ctx, store.Urgent, store.KeyToken)
		if rerr != nil || !found {
			return 0, fmt.Errorf("raise token: %w", err)
		}
		var rec store.TokenRecord
		if uerr := wire.Unmarshal(row.Value, &rec); uerr != nil || rec.Nonce != nonce {
			e.mu.Lock()
			if e.leading && e.term.Revision == lead && rec.Token >= e.token && rec.Token <= next {
				e.tokenRevision = row.ModRevision
			}
			e.mu.Unlock()
			return 0, fmt.Errorf("raise token: %w", err)
		}
		revision = row.ModRevision
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leading || e.term.Revision != lead {
		return 0, errors.New("raise token: the term is over")
	}
	e.token, e.tokenRevision = next, revision
	return next, nil
}
