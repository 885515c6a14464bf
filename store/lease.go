package store

import (
	"context"
	"net/http"
	"strconv"

	"cedardoor/clock"
	"cedardoor/wire"
)

// GrantLease requests a lease and returns its id.
func (c *Client) GrantLease(ctx context.Context, ttl clock.Micros) (lease uint64, err error) {
	defer annotate(&err, "grant", "lease")
	if err := c.budget.admit(ctx, Vital, 0); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body := wire.LeaseRequest{TTLMillis: int64(ttl / clock.Millisecond)}
	status, raw, err := c.request(ctx, http.MethodPost, wire.PathLeases, body)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, unexpectedStatus(status, raw)
	}
	var response wire.LeaseResponse
	err = decode(raw, &response)
	return response.Lease, err
}

// RenewLease renews a lease. It returns ErrNoLease if the lease has ended.
func (c *Client) RenewLease(ctx context.Context, lease uint64, timeout clock.Micros) (err error) {
	id := strconv.FormatUint(lease, 10)
	defer annotate(&err, "renew lease", id)
	if err := c.budget.admit(ctx, Vital, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	status, raw, err := c.request(ctx, http.MethodPost, wire.PathLeases+"/"+id+"/"+wire.SuffixRenew, struct{}{})
	switch {
	case err != nil:
		return err
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return ErrNoLease
	}
	return unexpectedStatus(status, raw)
}

// RevokeLease ends a lease immediately.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) (err error) {
	id := strconv.FormatUint(lease, 10)
	defer annotate(&err, "revoke lease", id)
	if err := c.budget.admit(ctx, Vital, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_, _, err = c.request(ctx, http.MethodDelete, wire.PathLeases+"/"+id, nil)
	return err
}
