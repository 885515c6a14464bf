// Package store talks to the state service: reads, guarded transactions,
// leases and watches, each within the service's request budget.
package store

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/internal/link"
	"cedardoor/wire"

	"golang.org/x/time/rate"
)

// What a request to the state service can come to, besides success.
var (
	// ErrRefused means that the service did not execute the request.
	ErrRefused = errors.New("state service refused")
	// ErrOverloaded goes with ErrRefused when the nodes together asked for too much at once.
	ErrOverloaded = errors.New("too many requests")
	// ErrUnknown means that the request may have been executed, or still may be.
	ErrUnknown = errors.New("state service gave no answer")
	// ErrNoLease means that a lease has ended.
	ErrNoLease = errors.New("no such lease")
	// ErrMalformed means that the service would not take a transaction as it is.
	ErrMalformed = errors.New("state service calls the transaction malformed")
	// ErrCompacted means that a watch began too far back.
	ErrCompacted = errors.New("watch is too old")
	// ErrBadAnswer means that the service's answer could not be understood.
	ErrBadAnswer = errors.New("bad answer from the state service")
)

// Conflict is a transaction whose conditions did not hold; nothing was applied.
type Conflict struct{ Failed []string }

func (c *Conflict) Error() string { return fmt.Sprintf("conditions failed: %v", c.Failed) }

// Priority orders requests when the budget is short.
type Priority int

// The priorities: Normal requests fail at once over the budget, Urgent ones wait
// for it. Vital requests are never held back: leadership, and users' changes,
// which Admit has let in.
const (
	Normal Priority = iota
	Urgent
	Vital
)

// maxAnswer bounds what a read may take into memory.
const maxAnswer = 8 << 20

// Client is one node's link to the state service.
type Client struct {
	base          string
	http          *http.Client
	watch         *http.Client
	requests      *rate.Limiter
	writes        *rate.Limiter
	limits        config.State
	nodes         int
	timeout       time.Duration
	retry         *rate.Limiter
	overloadedAt  atomic.Int64 // when the service last had too much to do for a request, in microseconds
	failing       atomic.Int32 // requests in a row without an answer, or refused by the service
	interruptions atomic.Uint64
	firstRevision atomic.Uint64
}

// failingAt is how many requests in a row must fail for the service to count as failing.
const failingAt = 2

// Failing tells whether the service has answered none of the last requests.
func (c *Client) Failing() bool { return c.failing.Load() >= failingAt }

// Interruptions counts the times at which the service began to fail this node.
func (c *Client) Interruptions() uint64 { return c.interruptions.Load() }

// FirstRevision is the epoch that the service named in its first answer to this process;
// zero while there was none. Whatever an earlier process of this node told
// anybody was durable by then.
func (c *Client) FirstRevision() uint64 { return c.firstRevision.Load() }

// observeRevision notes an epoch that the service named.
func (c *Client) observeRevision(revision uint64) { c.firstRevision.CompareAndSwap(0, revision) }

// Shares of what the service takes: the leader writes nearly everything, the
// others have moments in which many users come at once. Together they may ask
// for more than there is; what the service then refuses is tried again.
const (
	leaderRequestShare, followerRequestShare = 0.6, 0.3
	leaderWriteShare, followerWriteShare     = 0.8, 0.35
	// What users' changes through one node may take at most, and what is left to
	// them, through all nodes together, when the service has more to do than it can.
	maxUserWriteShare, minUserWriteShare = 0.35, 0.2
)

// retryEvery is how often a service that fails is tried for users' sake.
const retryEvery = 250 * time.Millisecond

// AllowRetry tells whether it is time to try a failing service again.
func (c *Client) AllowRetry() bool { return c.retry.Allow() }

// New makes a Client for one of so many nodes. The limits are the whole
// service's, so each node plans with a share of them; see Lead.
func New(addr string, limits config.State, nodes int) *Client {
	const dial = 1500 * clock.Millisecond
	c := &Client{base: "http://" + addr, http: link.Client(dial, 24, 0), watch: link.Client(dial, 4, 0), timeout: 2 * time.Second,
		limits: limits, nodes: max(1, nodes), requests: rate.NewLimiter(0, 0), writes: rate.NewLimiter(0, 0),
		retry: rate.NewLimiter(rate.Every(retryEvery), 1)}
	c.SetLeading(nodes <= 1)
	return c
}

// SetLeading sets this node's share of the service's limits.
func (c *Client) SetLeading(leads bool) {
	r, w := c.limits.RPS*followerRequestShare, c.limits.WriteRPS*followerWriteShare
	if leads {
		r, w = c.limits.RPS*leaderRequestShare, c.limits.WriteRPS*leaderWriteShare
	}
	c.requests.SetLimit(rate.Limit(r))
	c.requests.SetBurst(max(4, int(r)))
	c.writes.SetLimit(rate.Limit(w))
	c.writes.SetBurst(max(4, int(w), c.limits.TxnOps))
}

// ReadInterval is how far apart reads that many questions share should be.
func (c *Client) ReadInterval() clock.Micros {
	own := c.limits.RPS * (1 - leaderRequestShare) / float64(max(1, c.nodes-1))
	pause := min(250*clock.Millisecond, clock.FromSeconds(2/own))
	if pause < clock.Millisecond {
		return 0
	}
	return pause
}

// UserWrites are how many changes a second this node may ask for in its users' name: at
// most, and at the least, when the service has more to do than it can.
func (c *Client) UserWrites() (most, least float64) {
	return maxUserWriteShare * c.limits.WriteRPS, minUserWriteShare * c.limits.WriteRPS / float64(c.nodes)
}

// TxnOps is how many changes a transaction may hold.
func (c *Client) TxnOps() int { return c.limits.TxnOps }

// Waiting is how many requests wait for this node's share of the service's.
func (c *Client) Waiting() int { return int(-c.requests.Tokens()) }

// SpareWrites is how many changes could be made right now without waiting.
func (c *Client) SpareWrites() int { return int(c.writes.Tokens()) }

// overloadedFor is how long the service counts as short after it has said so.
const overloadedFor = 3 * clock.Second

// Overloaded tells whether the service has lately had too much to do for a request:
// what can wait, waits.
func (c *Client) Overloaded() bool {
	return clock.Micros(time.Now().UnixMicro()-c.overloadedAt.Load()) < overloadedFor
}

func (c *Client) admit(ctx context.Context, prio Priority, puts int) error {
	if prio == Vital {
		// These take their tokens without waiting for them.
		c.requests.Allow()
		c.writes.AllowN(time.Now(), puts)
		return nil
	}
	if prio == Normal {
		if !c.requests.Allow() || puts > 0 && !c.writes.AllowN(time.Now(), puts) {
			return fmt.Errorf("%w: over this node's request budget", ErrRefused)
		}
		return nil
	}
	if puts > 0 {
		if err := c.writes.WaitN(ctx, min(puts, c.writes.Burst())); err != nil {
			return fmt.Errorf("%w: %w", ErrRefused, err)
		}
	}
	if err := c.requests.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return nil
}

// call sends one request and gives the status and body of its answer.
func (c *Client) call(ctx context.Context, hc *http.Client, method, path string, body any) (int, []byte, error) {
	status, raw, err := link.Call(ctx, hc, method, c.base+path, body, maxAnswer)
	if hc == c.http {
		if err == nil && status != http.StatusServiceUnavailable {
			c.failing.Store(0)
		} else if !errors.Is(ctx.Err(), context.Canceled) && c.failing.Add(1) == failingAt {
			c.interruptions.Add(1)
		}
	}
	switch {
	case err == nil && status == http.StatusTooManyRequests:
		c.overloadedAt.Store(time.Now().UnixMicro())
		return status, nil, fmt.Errorf("%w: %w", ErrRefused, ErrOverloaded)
	case err == nil && status == http.StatusServiceUnavailable:
		return status, nil, fmt.Errorf("%w: status %d", ErrRefused, status)
	case err == nil:
		return status, raw, nil
	case link.NotSent(err):
		return 0, nil, fmt.Errorf("%w: %w", ErrRefused, err)
	case errors.Is(err, link.ErrTooLarge):
		return 0, nil, fmt.Errorf("%w: %w", ErrBadAnswer, err)
	}
	return 0, nil, fmt.Errorf("%w: %w", ErrUnknown, err)
}

func decode(raw []byte, v any) error {
	if err := wire.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("%w: %w", ErrBadAnswer, err)
	}
	return nil
}

func unexpected(status int, raw []byte) error {
	return fmt.Errorf("%w: status %d: %.120q", ErrBadAnswer, status, raw)
}

// Get reads one key; found is false when it does not exist.
func (c *Client) Get(ctx context.Context, prio Priority, key string) (row wire.Row, found bool, err error) {
	if err := c.admit(ctx, prio, 0); err != nil {
		return row, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	status, raw, err := c.call(ctx, c.http, http.MethodGet, wire.PathKV+"/"+key, nil)
	switch {
	case err != nil:
		return row, false, err
	case status == http.StatusOK:
		return row, true, decode(raw, &row)
	case status == http.StatusNotFound:
		return row, false, nil
	}
	return row, false, unexpected(status, raw)
}

// Page reads up to limit keys with a prefix, after since.
func (c *Client) Page(ctx context.Context, prio Priority, prefix, since string, limit int) (wire.Rows, error) {
	var rows wire.Rows
	if err := c.admit(ctx, prio, 0); err != nil {
		return rows, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*c.timeout)
	defer cancel()
	q := url.Values{"starts": {prefix}, "limit": {strconv.Itoa(limit)}}
	if since != "" {
		q.Set("since", since)
	}
	status, raw, err := c.call(ctx, c.http, http.MethodGet, wire.PathKV+"?"+q.Encode(), nil)
	if err != nil {
		return rows, err
	}
	if status != http.StatusOK {
		return rows, unexpected(status, raw)
	}
	err = decode(raw, &rows)
	if err == nil {
		c.observeRevision(rows.Revision)
	}
	return rows, err
}

// List reads every key with a prefix. The epoch is the first page's, so that a
// watch from it misses nothing that changed while later pages were read.
func (c *Client) List(ctx context.Context, prio Priority, prefix string) (rows []wire.Row, revision uint64, err error) {
	since := ""
	for {
		page, err := c.Page(ctx, prio, prefix, since, 1000)
		if err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if revision == 0 {
			revision = page.Revision
		}
		rows = append(rows, page.Rows...)
		if !page.HasNext || len(page.Rows) == 0 {
			return rows, revision, nil
		}
		since = page.Rows[len(page.Rows)-1].Key
	}
}

// Commit runs a transaction. Its error is a *Conflict when conditions failed.
func (c *Client) Commit(ctx context.Context, prio Priority, txn wire.Txn) (uint64, error) {
	if err := c.admit(ctx, prio, len(txn.Operations)); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if txn.Conditions == nil {
		txn.Conditions = []wire.Condition{}
	}
	if txn.Operations == nil {
		txn.Operations = []wire.Operation{}
	}
	status, raw, err := c.call(ctx, c.http, http.MethodPost, wire.PathCommit, txn)
	if err != nil {
		return 0, err
	}
	var ans wire.TxnResponse
	switch status {
	case http.StatusOK:
		if err := decode(raw, &ans); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		c.observeRevision(ans.Revision)
		return ans.Revision, nil
	case http.StatusConflict:
		if err := decode(raw, &ans); err != nil {
			return 0, err
		}
		return ans.Revision, &Conflict{Failed: ans.Failed}
	case http.StatusBadRequest:
		var e wire.Error
		if wire.Unmarshal(raw, &e) == nil && e.Error == "no such lease" {
			return 0, ErrNoLease
		}
		return 0, fmt.Errorf("%w: %.120q", ErrMalformed, raw)
	}
	return 0, unexpected(status, raw)
}

// GrantLease asks for a lease.
func (c *Client) GrantLease(ctx context.Context, ttl clock.Micros) (uint64, error) {
	if err := c.admit(ctx, Vital, 0); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	status, raw, err := c.call(ctx, c.http, http.MethodPost, wire.PathLeases, wire.LeaseRequest{TTLMillis: int64(ttl / clock.Millisecond)})
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, unexpected(status, raw)
	}
	var ans wire.LeaseResponse
	return ans.Lease, decode(raw, &ans)
}

// RenewLease keeps a lease; ErrNoLease tells that it has ended.
func (c *Client) RenewLease(ctx context.Context, lease uint64, timeout clock.Micros) error {
	if err := c.admit(ctx, Vital, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	status, raw, err := c.call(ctx, c.http, http.MethodPost, fmt.Sprintf("%s/%d/%s", wire.PathLeases, lease, wire.SuffixRenew), struct{}{})
	switch {
	case err != nil:
		return err
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return ErrNoLease
	}
	return unexpected(status, raw)
}

// RevokeLease ends a lease at once.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	if err := c.admit(ctx, Vital, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, _, err := c.call(ctx, c.http, http.MethodDelete, fmt.Sprintf("%s/%d", wire.PathLeases, lease), nil)
	return err
}

// ChangesSince gives what has changed after since, without waiting; ErrTooOld asks the
// caller to read again.
func (c *Client) ChangesSince(ctx context.Context, prefix string, since uint64) (wire.WatchResponse, error) {
	var ch wire.WatchResponse
	if err := c.admit(ctx, Urgent, 0); err != nil {
		return ch, err
	}
	return c.readChanges(ctx, c.http, prefix, since, 0)
}

func (c *Client) readChanges(ctx context.Context, hc *http.Client, prefix string, since uint64, block clock.Micros) (wire.WatchResponse, error) {
	var ch wire.WatchResponse
	q := url.Values{"starts": {prefix}, "since": {strconv.FormatUint(since, 10)}, "block_ms": {strconv.FormatInt(int64(block/clock.Millisecond), 10)}}
	status, raw, err := c.call(ctx, hc, http.MethodGet, wire.PathChanges+"?"+q.Encode(), nil)
	switch {
	case err != nil:
		return ch, err
	case status == http.StatusOK:
		err := decode(raw, &ch)
		if err == nil {
			c.observeRevision(ch.Revision)
		}
		return ch, err
	case status == http.StatusGone:
		return ch, ErrCompacted
	}
	return ch, unexpected(status, raw)
}

// Watch waits for changes after since; ErrTooOld asks the caller to read again.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, block clock.Micros) (wire.WatchResponse, error) {
	var ch wire.WatchResponse
	if err := c.admit(ctx, Urgent, 0); err != nil {
		return ch, err
	}
	// A watch stays open through an outage, so its limit is only there against a dead link.
	ctx, cancel := context.WithTimeout(ctx, block.Duration()+5*time.Second)
	defer cancel()
	return c.readChanges(ctx, c.watch, prefix, since, block)
}

// Refused asks once whether the service refuses this node right now: true only
// after a definite refusal, never after silence.
func (c *Client) Refused(ctx context.Context, timeout clock.Micros) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	status, _, err := c.call(ctx, c.http, http.MethodGet, wire.PathKV+"/lead", nil)
	return errors.Is(err, ErrRefused) && status == http.StatusServiceUnavailable
}
