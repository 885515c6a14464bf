// Package cloud rents and returns machines, and computes the size of the fleet.
//
// Client sends the requests. Resize, a pure function, compares the machines with the demand and
// decides which to rent, cordon and return. Arrivals and Peaks estimate the demand, and BootTimes
// detects machines that boot too slowly.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cedardoor/clock"
	"cedardoor/internal/link"
	"cedardoor/wire"

	"golang.org/x/time/rate"
)

const (
	// rateShare is the share of the cloud's request rate limit that a client uses.
	rateShare        = 0.9
	dialTimeout      = 2 * clock.Second
	requestTimeout   = 5 * time.Second
	maxConnections   = 4
	maxResponseBytes = 4 << 20
	pageSize         = 500 // machines
	// noCapacity is the error text of the cloud's response that becomes ErrNoCapacity.
	noCapacity = "no capacity"
)

// ErrNoCapacity means that the cloud currently has none of the requested machines.
var ErrNoCapacity = errors.New(noCapacity)

// errIncompleteType means that a machine type in the catalog lacks a SKU, cores, memory or zones.
var errIncompleteType = errors.New("machine type without SKU, cores, memory or zones")

// RequestError is a request that failed or whose response was unusable.
type RequestError struct {
	Method, Path string
	Status       int   // HTTP status; zero without a response
	Err          error // the cause; nil if Status is the cause
}

// Error implements error.
func (e *RequestError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("cloud: %s %s: status %d", e.Method, e.Path, e.Status)
	}
	return fmt.Sprintf("cloud: %s %s: %v", e.Method, e.Path, e.Err)
}

// Unwrap returns the cause, or nil if the HTTP status is the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// Client sends requests to the cloud.
type Client struct {
	base  string
	http  *http.Client
	limit *rate.Limiter
}

// New returns a Client that keeps its request rate below rps requests per second.
func New(addr string, rps float64) *Client {
	return &Client{base: "http://" + addr, limit: rate.NewLimiter(rate.Limit(rps*rateShare), max(1, int(rps))),
		http: link.NewClient(dialTimeout, maxConnections, 0)}
}

// call sends a request and decodes the response into out, unless out is nil. Its error is a
// *RequestError.
func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	failed := func(status int, err error) error {
		return &RequestError{Method: method, Path: path, Status: status, Err: err}
	}
	if err := c.limit.Wait(ctx); err != nil {
		return failed(0, err)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	status, response, err := link.Call(ctx, c.http, method, c.base+path, body, maxResponseBytes)
	if err != nil {
		return failed(0, err)
	}
	if status != http.StatusOK {
		var refusal wire.Error
		if status == http.StatusServiceUnavailable && wire.Unmarshal(response, &refusal) == nil && refusal.Error == noCapacity {
			return failed(status, ErrNoCapacity)
		}
		return failed(status, nil)
	}
	if out == nil {
		return nil
	}
	if err := wire.Unmarshal(response, out); err != nil {
		return failed(status, err)
	}
	return nil
}

// Catalog reads the machine types with their current prices.
func (c *Client) Catalog(ctx context.Context) (wire.Catalog, error) {
	var catalog wire.Catalog
	if err := c.call(ctx, http.MethodGet, wire.PathCatalog, nil, &catalog); err != nil {
		return catalog, fmt.Errorf("read catalog: %w", err)
	}
	for _, machineType := range catalog.MachineTypes {
		if machineType.SKU == "" || machineType.Cores <= 0 || machineType.RAM <= 0 || len(machineType.Zones) == 0 {
			return wire.Catalog{}, fmt.Errorf("read catalog: type %q: %w", machineType.SKU, errIncompleteType)
		}
	}
	return catalog, nil
}

// List reads all pages of the machine list.
func (c *Client) List(ctx context.Context) ([]wire.Machine, error) {
	var machines []wire.Machine
	since := ""
	for {
		query := url.Values{"limit": {strconv.Itoa(pageSize)}}
		if since != "" {
			query.Set("since", since)
		}
		var page wire.MachinePage
		if err := c.call(ctx, http.MethodGet, wire.PathRentals+"?"+query.Encode(), nil, &page); err != nil {
			return nil, fmt.Errorf("list machines: %w", err)
		}
		machines = append(machines, page.Machines...)
		if !page.HasNext || len(page.Machines) == 0 {
			return machines, nil
		}
		since = page.Machines[len(page.Machines)-1].UID
	}
}

// Rent rents machines and returns their names. It is idempotent per request ID, so a
// request whose response was lost can be retried.
func (c *Client) Rent(ctx context.Context, request wire.RentRequest) (names []string, err error) {
	var granted wire.MachineNames
	if err := c.call(ctx, http.MethodPost, wire.PathRentals, request, &granted); err != nil {
		return nil, fmt.Errorf("rent %d %s in %s: %w", request.Count, request.MachineType, request.Zone, err)
	}
	return granted.Names, nil
}

// Return returns machines to the cloud. When it succeeds, they and all tasks on them are gone.
func (c *Client) Return(ctx context.Context, machines []string) error {
	if err := c.call(ctx, http.MethodPost, wire.PathReturn, wire.MachineNames{Names: machines}, nil); err != nil {
		return fmt.Errorf("return %d machines: %w", len(machines), err)
	}
	return nil
}
