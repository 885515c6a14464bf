// Package cloud rents and returns machines, and decides how many are wanted.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"cedardoor/clock"
	"cedardoor/internal/link"
	"cedardoor/wire"

	"golang.org/x/time/rate"
)

// ErrNoCapacity means that none of the machines asked for are to be had now.
var ErrNoCapacity = errors.New("no capacity")

// ErrUnavailable means that the cloud did not do what was asked, or gave no answer.
var ErrUnavailable = errors.New("cloud unavailable")

// Client is the link to the cloud.
type Client struct {
	base  string
	http  *http.Client
	limit *rate.Limiter
}

// New makes a Client that stays within the given requests per second.
func New(addr string, rps float64) *Client {
	return &Client{base: "http://" + addr, limit: rate.NewLimiter(rate.Limit(rps*0.9), max(1, int(rps))),
		http: link.Client(2*clock.Second, 4, 0)}
}

func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	if err := c.limit.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	const bound = 4 << 20
	status, raw, err := link.Call(ctx, c.http, method, c.base+path, body, bound)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if status != http.StatusOK {
		var e wire.Error
		if status == http.StatusServiceUnavailable && wire.Unmarshal(raw, &e) == nil && e.Error == "no capacity" {
			return ErrNoCapacity
		}
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
	if out == nil {
		return nil
	}
	if err := wire.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// Catalog reads the machine types with their current prices.
func (c *Client) Catalog(ctx context.Context) (wire.Catalog, error) {
	var cat wire.Catalog
	if err := c.call(ctx, http.MethodGet, wire.PathCatalog, nil, &cat); err != nil {
		return cat, fmt.Errorf("catalogue: %w", err)
	}
	for _, b := range cat.MachineTypes {
		if b.SKU == "" || b.Cores <= 0 || b.RAM <= 0 || len(b.Zones) == 0 {
			return wire.Catalog{}, fmt.Errorf("catalogue: %w: type %q has no size or zone", ErrUnavailable, b.SKU)
		}
	}
	return cat, nil
}

// List reads the whole machine list.
func (c *Client) List(ctx context.Context) ([]wire.Machine, error) {
	var all []wire.Machine
	since := ""
	for {
		q := url.Values{"limit": {"500"}}
		if since != "" {
			q.Set("since", since)
		}
		var page wire.MachinePage
		if err := c.call(ctx, http.MethodGet, wire.PathRentals+"?"+q.Encode(), nil, &page); err != nil {
			return nil, fmt.Errorf("machine list: %w", err)
		}
		all = append(all, page.Machines...)
		if !page.HasNext || len(page.Machines) == 0 {
			return all, nil
		}
		since = page.Machines[len(page.Machines)-1].UID
	}
}

// Rent asks for machines. The same request name gives the same answer again,
// so a rental whose answer was lost is simply repeated.
func (c *Client) Rent(ctx context.Context, r wire.RentRequest) ([]string, error) {
	var h wire.MachineNames
	if err := c.call(ctx, http.MethodPost, wire.PathRentals, r, &h); err != nil {
		return nil, fmt.Errorf("rent %d %s in %s: %w", r.Count, r.MachineType, r.Zone, err)
	}
	return h.Names, nil
}

// Return gives machines back. After nil they, and everything on them, are gone.
func (c *Client) Return(ctx context.Context, hosts []string) error {
	if err := c.call(ctx, http.MethodPost, wire.PathReturn, wire.MachineNames{Names: hosts}, nil); err != nil {
		return fmt.Errorf("return %d machines: %w", len(hosts), err)
	}
	return nil
}
