package election

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"cedardoor/clock"
	"cedardoor/store"
	"cedardoor/wire"
)

// cooldownInterval is how often a node in its cooldown checks whether the leader key is still free.
const cooldownInterval = clock.Second

// campaign waits until the leader key is free and acquires it. During a cooldown it returns
// errCoolingDown instead.
func (e *Elector) campaign(ctx context.Context) (Term, error) {
	if err := e.awaitVacancy(ctx); err != nil {
		return Term{}, err
	}
	if e.coolingDown() {
		e.pause(ctx, cooldownInterval)
		return Term{}, errCoolingDown
	}
	return e.acquire(ctx)
}

// awaitVacancy waits until the leader key is free.
func (e *Elector) awaitVacancy(ctx context.Context) error {
	for ctx.Err() == nil {
		row, found, err := e.store.Get(ctx, store.Vital, store.KeyLeader)
		if err != nil {
			return fmt.Errorf("read leader: %w", err)
		}
		if !found {
			break
		}
		var record store.LeaderRecord
		if err := wire.Unmarshal(row.Value, &record); err != nil {
			return fmt.Errorf("decode leader record: %w", err)
		}
		e.observeLeader(record.Node, row.ModRevision)
		if record.Node == e.node && row.Lease != 0 {
			// An earlier process of this node holds the key. It has exited, or this one
			// would not be running, so the lease is revoked rather than left to expire.
			if err := e.store.RevokeLease(ctx, row.Lease); err == nil {
				continue
			}
		}
		if err := e.watchLeader(ctx, row.ModRevision); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// observeLeader records which node holds the leader key. If it is held by an earlier
// process of this node, the leader counts as unknown: this process does not lead.
func (e *Elector) observeLeader(node string, revision uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if node == e.node {
		node = ""
	}
	e.observed.record(node, revision, e.clock.Now())
	e.cooldown.leaderSeen()
}

// watchLeader waits until the leader key changes after a revision, or watchTimeout has passed.
func (e *Elector) watchLeader(ctx context.Context, since uint64) error {
	changes, err := e.store.Watch(ctx, store.KeyLeader, since, watchTimeout)
	if err != nil && !errors.Is(err, store.ErrCompacted) {
		e.clearLeader()
		return fmt.Errorf("watch leader: %w", err)
	}
	for _, event := range changes.Events {
		if event.Delete == store.KeyLeader {
			e.clearLeader()
		}
	}
	return nil
}

func (e *Elector) clearLeader() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observed.clearLeader()
}

// coolingDown reports whether this node leaves the free leader key to other nodes.
func (e *Elector) coolingDown() bool {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cooldown.defers(now)
}

// acquire creates the free leader key with a new lease and the next fencing token.
func (e *Elector) acquire(ctx context.Context) (Term, error) {
	requestedAt := e.clock.Now()
	leaseID, err := e.store.GrantLease(ctx, e.leaseTTL)
	if err != nil {
		return Term{}, fmt.Errorf("acquire leadership: %w", err)
	}
	last, lastRevision, err := e.readToken(ctx, store.Vital)
	if err != nil {
		return Term{}, fmt.Errorf("acquire leadership: %w", err)
	}
	token, nonce := last.Token+1, e.campaignNonce()
	revision, err := e.store.Commit(ctx, store.Vital, wire.Txn{
		Conditions: []wire.Condition{{Key: store.KeyLeader}, {Key: store.KeyToken, ModRevision: lastRevision}},
		Operations: []wire.Operation{
			{Set: store.KeyLeader, Value: store.LeaderRecord{Node: e.node, Nonce: nonce}, Lease: leaseID},
			{Set: store.KeyToken, Value: store.TokenRecord{Token: token, Nonce: nonce}},
		},
	})
	if err != nil {
		// An unknown outcome counts as a lost election: if the key was created after
		// all, its lease expires because nothing renews it.
		_ = e.store.RevokeLease(ctx, leaseID)
		return Term{}, fmt.Errorf("acquire leadership: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leading = true
	e.lease.recordGrant(leaseID, e.leaseEnd(requestedAt))
	e.token.set(token, revision)
	e.observed.recordRevision(revision)
	e.term = Term{Token: token, Revision: revision, Since: e.clock.Now()}
	return e.term, nil
}

// campaignNonce returns a nonce that identifies the writes of one campaign.
func (e *Elector) campaignNonce() string {
	return fmt.Sprintf("%s.%d.%d", e.node, e.clock.Wall(), rand.Uint32())
}
