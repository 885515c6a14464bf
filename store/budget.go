package store

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"cedardoor/clock"
	"cedardoor/config"

	"golang.org/x/time/rate"
)

// Priority tells what becomes of a request when the budget is short.
type Priority int

const (
	// Normal requests fail at once when the budget is used up.
	Normal Priority = iota
	// Urgent requests wait for the budget.
	Urgent
	// Vital requests are never held back: leadership, and users' changes that were admitted.
	Vital
)

// Shares of what the service takes: the leader writes nearly everything, the
// others have moments in which many users come at once. Together they may ask
// for more than there is; what the service then refuses is tried again.
const (
	leaderRequestShare   = 0.6
	followerRequestShare = 0.3
	leaderWriteShare     = 0.8
	followerWriteShare   = 0.35
	// maxUserWriteShare is what users' changes through one node may take at most,
	// minUserWriteShare what is left to them, through all nodes together, while the
	// service is overloaded.
	maxUserWriteShare = 0.35
	minUserWriteShare = 0.2
	// minBurst is how many requests, or changes, may be made at once at the least.
	minBurst = 4
)

const (
	// retryInterval is how often a service that fails is tried for users' sake.
	retryInterval = 250 * time.Millisecond
	// overloadedFor is how long the service counts as overloaded after it has said so.
	overloadedFor = 3 * clock.Second
	// maxReadInterval bounds how far apart reads are that serve many requests at once.
	maxReadInterval = 250 * clock.Millisecond
	// requestsPerRead is how many requests of a follower's budget go to each such read.
	requestsPerRead = 2
)

// budget is one node's share of the service's request and write rates.
type budget struct {
	limits       config.State // of the whole service
	nodes        int
	requests     *rate.Limiter
	writes       *rate.Limiter
	retries      *rate.Limiter
	overloadedAt atomic.Int64 // when the service last said that it is overloaded, as Unix time in microseconds
}

func newBudget(limits config.State, nodes int) *budget {
	b := &budget{
		limits:   limits,
		nodes:    max(1, nodes),
		requests: rate.NewLimiter(0, 0),
		writes:   rate.NewLimiter(0, 0),
		retries:  rate.NewLimiter(rate.Every(retryInterval), 1),
	}
	b.setLeading(nodes <= 1)
	return b
}

func (b *budget) setLeading(leading bool) {
	requests, writes := b.limits.RPS*followerRequestShare, b.limits.WriteRPS*followerWriteShare
	if leading {
		requests, writes = b.limits.RPS*leaderRequestShare, b.limits.WriteRPS*leaderWriteShare
	}
	b.requests.SetLimit(rate.Limit(requests))
	b.requests.SetBurst(max(minBurst, int(requests)))
	b.writes.SetLimit(rate.Limit(writes))
	b.writes.SetBurst(max(minBurst, int(writes), b.limits.TxnOps))
}

// admit takes a request with so many changes from the budget, or refuses it.
func (b *budget) admit(ctx context.Context, priority Priority, changes int) error {
	switch priority {
	case Vital:
		// These take their tokens without waiting for them.
		b.requests.Allow()
		b.writes.AllowN(time.Now(), changes)
		return nil
	case Normal:
		if !b.requests.Allow() || changes > 0 && !b.writes.AllowN(time.Now(), changes) {
			return fmt.Errorf("%w: over this node's request budget", ErrRefused)
		}
		return nil
	}
	if changes > 0 {
		if err := b.writes.WaitN(ctx, min(changes, b.writes.Burst())); err != nil {
			return fmt.Errorf("%w: %w", ErrRefused, err)
		}
	}
	if err := b.requests.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return nil
}

// markOverloaded notes that the service has just said that it is overloaded.
func (b *budget) markOverloaded() { b.overloadedAt.Store(time.Now().UnixMicro()) }

// overloaded tells whether the service has said lately that it is overloaded.
func (b *budget) overloaded() bool {
	return clock.Micros(time.Now().UnixMicro()-b.overloadedAt.Load()) < overloadedFor
}

// readInterval is how far apart reads should be that serve many requests at once.
func (b *budget) readInterval() clock.Micros {
	followerRPS := b.limits.RPS * (1 - leaderRequestShare) / float64(max(1, b.nodes-1))
	interval := min(maxReadInterval, clock.FromSeconds(requestsPerRead/followerRPS))
	if interval < clock.Millisecond {
		return 0
	}
	return interval
}

// SetLeading sets this node's share of the service's limits.
func (c *Client) SetLeading(leading bool) { c.budget.setLeading(leading) }

// ReadInterval is how far apart reads should be that serve many requests at once.
func (c *Client) ReadInterval() clock.Micros { return c.budget.readInterval() }

// UserWrites are how many changes a second this node may ask for in its users' name:
// at most, and at the least while the service is overloaded.
func (c *Client) UserWrites() (most, least float64) {
	limit := c.budget.limits.WriteRPS
	return maxUserWriteShare * limit, minUserWriteShare * limit / float64(c.budget.nodes)
}

// TxnOps is how many changes a transaction may hold.
func (c *Client) TxnOps() int { return c.budget.limits.TxnOps }

// Waiting is how many requests wait for this node's budget.
func (c *Client) Waiting() int { return int(-c.budget.requests.Tokens()) }

// SpareWrites is how many changes could be made right now without waiting.
func (c *Client) SpareWrites() int { return int(c.budget.writes.Tokens()) }

// AllowRetry tells whether it is time to try a failing service again.
func (c *Client) AllowRetry() bool { return c.budget.retries.Allow() }

// Overloaded tells whether the service has said lately that it is overloaded: what can
// wait, waits.
func (c *Client) Overloaded() bool { return c.budget.overloaded() }
