// Package cloud rents and returns machines, and decides how many are wanted.
//
// Client makes the requests. Resize, a pure function, compares the machines with the demand and
// decides which to rent, cordon and return; Arrivals and Peaks tell what demand to expect, and
// BootTimes which machines boot too slowly.
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
	// rateShare is the share of the allowed request rate that a client uses.
	rateShare      = 0.9
	dialTimeout    = 2 * clock.Second
	requestTimeout = 5 * time.Second
	maxConnections = 4
	maxAnswerBytes = 4 << 20
	pageSize       = 500 // machines
	// noCapacity is the cloud's word for ErrNoCapacity.
	noCapacity = "no capacity"
)

// ErrNoCapacity means that none of the machines asked for are to be had now.
var ErrNoCapacity = errors.New(noCapacity)

// errNoSize means that a machine type in the catalog has no size or no zone.
var errNoSize = errors.New("machine type without size or zone")

// RequestError is a request that the cloud did not carry out, or gave no usable answer to.
type RequestError struct {
	Method, Path string
	Status       int   // of the HTTP answer; zero where there is none
	Err          error // what went wrong; nil where the status says it
}

// Error implements error.
func (e *RequestError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("cloud: %s %s: status %d", e.Method, e.Path, e.Status)
	}
	return fmt.Sprintf("cloud: %s %s: %v", e.Method, e.Path, e.Err)
}

// Unwrap gives what went wrong.
func (e *RequestError) Unwrap() error { return e.Err }

// Client makes requests to the cloud.
type Client struct {
	base  string
	http  *http.Client
	limit *rate.Limiter
}

// New makes a Client that stays within the given requests per second.
func New(addr string, rps float64) *Client {
	return &Client{base: "http://" + addr, limit: rate.NewLimiter(rate.Limit(rps*rateShare), max(1, int(rps))),
		http: link.Client(dialTimeout, maxConnections, 0)}
}

// call makes one request and decodes the answer, unless out is nil. Its error is a *RequestError.
func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	failed := func(status int, err error) error {
		return &RequestError{Method: method, Path: path, Status: status, Err: err}
	}
	if err := c.limit.Wait(ctx); err != nil {
		return failed(0, err)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	status, answer, err := link.Call(ctx, c.http, method, c.base+path, body, maxAnswerBytes)
	if err != nil {
		return failed(0, err)
	}
	if status != http.StatusOK {
		var refusal wire.Error
		if status == http.StatusServiceUnavailable && wire.Unmarshal(answer, &refusal) == nil && refusal.Error == noCapacity {
			return failed(status, ErrNoCapacity)
		}
		return failed(status, nil)
	}
	if out == nil {
		return nil
	}
	if err := wire.Unmarshal(answer, out); err != nil {
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
			return wire.Catalog{}, fmt.Errorf("read catalog: type %q: %w", machineType.SKU, errNoSize)
		}
	}
	return catalog, nil
}

// List reads the whole machine list.
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

// Rent asks for machines. The same request name gives the same answer again,
// so a rental whose answer was lost is simply repeated.
func (c *Client) Rent(ctx context.Context, request wire.RentRequest) (names []string, err error) {
	var granted wire.MachineNames
	if err := c.call(ctx, http.MethodPost, wire.PathRentals, request, &granted); err != nil {
		return nil, fmt.Errorf("rent %d %s in %s: %w", request.Count, request.MachineType, request.Zone, err)
	}
	return granted.Names, nil
}

// Return gives machines back. After nil they, and everything on them, are gone.
func (c *Client) Return(ctx context.Context, machines []string) error {
	if err := c.call(ctx, http.MethodPost, wire.PathReturn, wire.MachineNames{Names: machines}, nil); err != nil {
		return fmt.Errorf("return %d machines: %w", len(machines), err)
	}
	return nil
}
