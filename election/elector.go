// Package election elects the controller that leads the service, and issues its
// fencing tokens. Leadership is a leased key in the state service: the controller
// that creates the key leads until its lease expires.
package election

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/store"
)

const (
	// watchTimeout bounds how long one watch of the leader key waits for a change.
	watchTimeout = 4 * clock.Second
	// leaderFreshFor is how long the leader counts as known after it was last read from the
	// state service.
	leaderFreshFor = watchTimeout + clock.Second
	// minCampaignPause and campaignJitter determine the pause after a failed campaign.
	minCampaignPause = 200 * clock.Millisecond
	campaignJitter   = 300 * clock.Millisecond
	// revokeTimeout bounds the revocation of the lease at the end of a term.
	revokeTimeout = clock.Second
)

// errCoolingDown means that the leader key is free, but this node leaves it to
// other nodes because it resigned recently.
var errCoolingDown = errors.New("cooling down after a resignation")

// ErrTermOver means that the term for which a request was made has ended.
var ErrTermOver = errors.New("term has ended")

// Term is one period of leadership.
type Term struct {
	Token    uint64 // the first fencing token; RaiseToken issues higher ones
	Revision uint64 // of the leader key; each write of the leader is conditional on it
	Since    clock.Micros
}

// Attester asks all other controllers whether the state service refuses them too,
// and processes the cancellations that they report. It returns true only if every
// one of them attests that it is refused.
type Attester func(ctx context.Context) bool

// Elector campaigns for leadership and keeps it by renewing its lease.
type Elector struct {
	node          string
	store         *store.Client
	clock         *clock.Clock
	leaseTTL      clock.Micros
	renewInterval clock.Micros
	attest        Attester
	log           *slog.Logger

	mu       sync.Mutex // guards the fields below
	leading  bool
	term     Term               // the current term, or the last one
	endTerm  context.CancelFunc // ends the current term early; nil while no term is served
	lease    leaseState
	token    tokenState
	observed observation
	cooldown cooldown
}

// New returns an Elector for the given node, which campaigns once Run is called.
func New(node string, client *store.Client, clk *clock.Clock, op *config.Operator, attest Attester, log *slog.Logger) *Elector {
	return &Elector{
		node:          node,
		store:         client,
		clock:         clk,
		leaseTTL:      clock.FromSeconds(op.Lead.TTLs),
		renewInterval: clock.FromSeconds(op.Lead.RenewS),
		attest:        attest,
		log:           log,
	}
}

// Leader returns the name of the leader as last seen, or an empty string if it is
// unknown. It is unknown once the last observation is too old: workers that were
// redirected to a dead leader would lose time while their leases run out.
func (e *Elector) Leader() string {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leading {
		return e.node
	}
	return e.observed.leaderAt(now)
}

// MayAnswerHeartbeats returns this node's fencing token and reports whether the
// node is entitled to answer heartbeats now.
func (e *Elector) MayAnswerHeartbeats() (token uint64, ok bool) {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.token.value, e.leading && e.lease.heldOrAttested(now)
}

// HoldsLease returns this node's fencing token and reports whether the node may
// give new commands, which requires a lease that cannot have expired.
func (e *Elector) HoldsLease() (token uint64, ok bool) {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.token.value, e.leading && e.lease.held(now)
}

// NewestRevision returns the highest revision of the leader key that this process has
// seen, including its own terms. The leader of a lower one may have been replaced.
func (e *Elector) NewestRevision() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.observed.newestRevision
}

// LeaseInterruptions returns how often the lease was renewed after it may have expired.
func (e *Elector) LeaseInterruptions() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.interruptions
}

// Resign ends this node's term at once and leaves the next term to other nodes.
func (e *Elector) Resign() {
	e.mu.Lock()
	endTerm := e.endTerm
	e.endTerm = nil
	if endTerm != nil {
		e.cooldown.start(e.clock.Now())
	}
	e.mu.Unlock()
	if endTerm != nil {
		endTerm()
	}
}

// Run campaigns until ctx ends. For each term it calls serve with a context
// that ends with the term, and waits for serve to return.
func (e *Elector) Run(ctx context.Context, serve func(ctx context.Context, term Term)) {
	for ctx.Err() == nil {
		term, err := e.campaign(ctx)
		if err == nil {
			e.serveTerm(ctx, term, serve)
			continue
		}
		if ctx.Err() == nil {
			e.log.Debug("not elected", "error", err)
			e.pause(ctx, minCampaignPause+clock.Micros(rand.Int64N(int64(campaignJitter))))
		}
	}
}

// serveTerm calls serve and renews the lease until the term ends, and then revokes
// the lease.
func (e *Elector) serveTerm(ctx context.Context, term Term, serve func(ctx context.Context, term Term)) {
	e.log.Info("leadership acquired", "token", term.Token)
	termCtx, endTerm := context.WithCancel(ctx)
	e.mu.Lock()
	e.endTerm = endTerm
	leaseID := e.lease.id
	e.mu.Unlock()

	var serving sync.WaitGroup
	serving.Go(func() { serve(termCtx, term) })
	e.keepLease(termCtx, leaseID)
	e.stopLeading()
	endTerm()
	serving.Wait()
	e.log.Info("leadership ended", "token", term.Token)

	// Other nodes then need not wait for the lease to expire.
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout.Duration())
	defer cancel()
	if err := e.store.RevokeLease(revokeCtx, leaseID); err != nil {
		e.log.Debug("lease not revoked", "lease", leaseID, "error", err)
	}
}

// stopLeading records that the term has ended.
func (e *Elector) stopLeading() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leading, e.endTerm = false, nil
	e.observed.clearLeader()
}

// pause waits for the duration d, or until ctx ends.
func (e *Elector) pause(ctx context.Context, d clock.Micros) {
	select {
	case <-ctx.Done():
	case <-e.clock.After(d.Duration()):
	}
}
