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

// Priority determines what happens to a request when the request budget is exhausted.
type Priority int

const (
	// Normal requests fail at once.
	Normal Priority = iota
	// Urgent requests wait until the budget allows them.
	Urgent
	// Vital requests are never delayed: those for leadership, and users' changes that have
	// been admitted.
	Vital
)

// Each node's share of the service's limits. The leader makes nearly all writes, and
// the followers have bursts of users' requests. The shares of all nodes may add up to
// more than the limits; requests that the service then refuses are retried.
const (
	leaderRequestShare   = 0.6
	followerRequestShare = 0.3
	leaderWriteShare     = 0.8
	followerWriteShare   = 0.35
	// maxUserWriteShare is the largest share that users' changes through one node may
	// use. minUserWriteShare is the share that remains for users' changes through all
	// nodes together while the service is overloaded.
	maxUserWriteShare = 0.35
	minUserWriteShare = 0.2
	// minBurst is the minimum burst size of requests and of writes.
	minBurst = 4
)

const (
	// retryInterval is the interval at which a failing service is tried again for users'
	// requests.
	retryInterval = 250 * time.Millisecond
	// overloadedFor is how long the service counts as overloaded after it has reported an
	// overload.
	overloadedFor = 3 * clock.Second
	// maxReadInterval bounds the interval between reads that serve many requests at once.
	maxReadInterval = 250 * clock.Millisecond
	// requestsPerRead sets that interval: the time in which a follower's budget allows this
	// many requests.
	requestsPerRead = 2
)

// budget is one node's share of the service's request and write rates.
type budget struct {
	limits       *limits // of the whole service
	nodes        int
	leading      atomic.Bool
	requests     *rate.Limiter
	writes       *rate.Limiter
	retries      *rate.Limiter
	overloadedAt atomic.Int64 // when the service last reported an overload, as Unix time in microseconds
}

func newBudget(state config.State, nodes int) *budget {
	b := &budget{
		limits:   newLimits(state),
		nodes:    max(1, nodes),
		requests: rate.NewLimiter(0, 0),
		writes:   rate.NewLimiter(0, 0),
		retries:  rate.NewLimiter(rate.Every(retryInterval), 1),
	}
	b.setLeading(nodes <= 1)
	return b
}

func (b *budget) setLeading(leading bool) {
	b.leading.Store(leading)
	b.applyRates()
}

// applyRates sets the rates to this node's share of the service's limits.
func (b *budget) applyRates() {
	current := b.limits.rates()
	requests, writes := current.RPS*followerRequestShare, current.WriteRPS*followerWriteShare
	if b.leading.Load() {
		requests, writes = current.RPS*leaderRequestShare, current.WriteRPS*leaderWriteShare
	}
	b.requests.SetLimit(rate.Limit(requests))
	b.requests.SetBurst(max(minBurst, int(requests)))
	b.writes.SetLimit(rate.Limit(writes))
	b.writes.SetBurst(max(minBurst, int(writes), current.TxnOps))
}

// admit charges a request with the given number of operations to the budget. Depending
// on its priority, it waits for the budget or refuses the request.
func (b *budget) admit(ctx context.Context, priority Priority, operations int) error {
	switch priority {
	case Vital:
		// The request takes tokens if there are any, but does not wait for them.
		b.requests.Allow()
		b.writes.AllowN(time.Now(), operations)
		return nil
	case Normal:
		if !b.requests.Allow() || operations > 0 && !b.writes.AllowN(time.Now(), operations) {
			return fmt.Errorf("%w: this node's request budget is exhausted", ErrRefused)
		}
		return nil
	}
	if operations > 0 {
		if err := b.writes.WaitN(ctx, min(operations, b.writes.Burst())); err != nil {
			return fmt.Errorf("%w: %w", ErrRefused, err)
		}
	}
	if err := b.requests.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return nil
}

// markOverloaded notes that the service has just reported an overload.
func (b *budget) markOverloaded() { b.overloadedAt.Store(time.Now().UnixMicro()) }

// overloaded reports whether the service has recently reported an overload.
func (b *budget) overloaded() bool {
	return clock.Micros(time.Now().UnixMicro()-b.overloadedAt.Load()) < overloadedFor
}

// readInterval returns the minimum interval between reads that serve many requests at once.
func (b *budget) readInterval() clock.Micros {
	followerRPS := b.limits.rates().RPS * (1 - leaderRequestShare) / float64(max(1, b.nodes-1))
	interval := min(maxReadInterval, clock.FromSeconds(requestsPerRead/followerRPS))
	if interval < clock.Millisecond {
		return 0
	}
	return interval
}

// SetLeading sets this node's share of the service's limits to that of the leader or of a
// follower.
func (c *Client) SetLeading(leading bool) { c.budget.setLeading(leading) }

// ReadInterval returns the minimum interval between reads that serve many requests at once.
func (c *Client) ReadInterval() clock.Micros { return c.budget.readInterval() }

// UserWriteRates returns the rates, in operations per second, at which this node may write
// users' changes: the maximum, and the rate that remains while the service is overloaded.
func (c *Client) UserWriteRates() (maxRate, minRate float64) {
	limit := c.budget.limits.rates().WriteRPS
	return maxUserWriteShare * limit, minUserWriteShare * limit / float64(c.budget.nodes)
}

// WaitingRequests returns how many requests wait for this node's budget.
func (c *Client) WaitingRequests() int { return int(-c.budget.requests.Tokens()) }

// SpareWrites returns how many writes could be made right now without waiting.
func (c *Client) SpareWrites() int { return int(c.budget.writes.Tokens()) }

// AllowRetry reports whether a failing service may be tried again now. It returns true at
// most once per retryInterval.
func (c *Client) AllowRetry() bool { return c.budget.retries.Allow() }

// Overloaded reports whether the service has recently reported an overload. Deferrable
// requests should wait then.
func (c *Client) Overloaded() bool { return c.budget.overloaded() }
