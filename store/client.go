// Package store is the client of the state service: it provides reads, conditional
// transactions, leases and watches, and keeps a node's requests within its budget.
package store

import (
	"net/http"
	"sync/atomic"
	"time"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/internal/link"
)

const (
	// dialTimeout bounds the establishment of a connection.
	dialTimeout = 1500 * clock.Millisecond
	// maxConnections and maxWatchConnections bound the connections for requests and for
	// watches. Idle connections are kept open.
	maxConnections      = 24
	maxWatchConnections = 4
	// requestTimeout bounds a request, listTimeout a request that reads a page of keys.
	requestTimeout = 2 * time.Second
	listTimeout    = 2 * requestTimeout
)

// Client is a node's client of the state service.
type Client struct {
	baseURL       string
	requests      *http.Client
	watches       *http.Client
	budget        *budget
	health        health
	firstRevision atomic.Uint64
}

// New returns a Client for one of the given number of nodes. The limits are those of the
// whole service; the node uses a share of them, see SetLeading.
func New(addr string, state config.State, nodes int) *Client {
	return &Client{
		baseURL:  "http://" + addr,
		requests: link.NewClient(dialTimeout, maxConnections, 0),
		watches:  link.NewClient(dialTimeout, maxWatchConnections, 0),
		budget:   newBudget(state, nodes),
	}
}

// FirstRevision returns the revision in the service's first response to this process, or
// zero before that. Everything that an earlier process of this node has confirmed to
// anyone is durable at that revision.
func (c *Client) FirstRevision() uint64 { return c.firstRevision.Load() }

// observeRevision notes the revision in a response; only the first one is kept.
func (c *Client) observeRevision(revision uint64) { c.firstRevision.CompareAndSwap(0, revision) }
