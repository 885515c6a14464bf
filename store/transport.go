package store

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"

	"cedardoor/internal/link"
	"cedardoor/wire"
)

const (
	// maxResponseBytes bounds the size of a response.
	maxResponseBytes = 8 << 20
	// failingThreshold is how many consecutive requests must fail for the service to count as
	// failing.
	failingThreshold = 2
)

// health tracks whether the service answers this node.
type health struct {
	failures      atomic.Int32 // consecutive requests that the service refused or did not answer
	interruptions atomic.Uint64
}

// answered notes that the service answered a request.
func (h *health) answered() { h.failures.Store(0) }

// failed notes that the service refused a request or did not answer it.
func (h *health) failed() {
	if h.failures.Add(1) == failingThreshold {
		h.interruptions.Add(1)
	}
}

// Failing reports whether the last requests to the service have all failed.
func (c *Client) Failing() bool { return c.health.failures.Load() >= failingThreshold }

// Interruptions returns how many times the service has begun to fail.
func (c *Client) Interruptions() uint64 { return c.health.interruptions.Load() }

// request sends a request that does not block and returns the status and body of its
// response.
func (c *Client) request(ctx context.Context, method, path string, body any) (int, []byte, error) {
	status, raw, err := link.Call(ctx, c.requests, method, c.baseURL+path, body, maxResponseBytes)
	switch {
	case err == nil && status != http.StatusServiceUnavailable:
		c.health.answered()
	case !errors.Is(ctx.Err(), context.Canceled):
		c.health.failed()
	}
	return c.mapResponse(status, raw, err)
}

// watchRequest sends a request that may block. Its outcome does not affect the service's
// health.
func (c *Client) watchRequest(ctx context.Context, method, path string, body any) (int, []byte, error) {
	return c.mapResponse(link.Call(ctx, c.watches, method, c.baseURL+path, body, maxResponseBytes))
}

// mapResponse returns a response, or a typed error if the request was not executed or may
// not have been.
func (c *Client) mapResponse(status int, raw []byte, err error) (int, []byte, error) {
	switch {
	case err == nil && status == http.StatusTooManyRequests:
		c.budget.markOverloaded()
		return status, nil, fmt.Errorf("%w: %w", ErrRefused, ErrOverloaded)
	case err == nil && status == http.StatusServiceUnavailable:
		return status, nil, fmt.Errorf("%w: status %d", ErrRefused, status)
	case err == nil:
		return status, raw, nil
	case link.NotSent(err):
		return 0, nil, fmt.Errorf("%w: %w", ErrRefused, err)
	case errors.Is(err, link.ErrTooLarge):
		return 0, nil, fmt.Errorf("%w: %w", ErrBadResponse, err)
	}
	return 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// decode decodes the body of a response.
func decode(raw []byte, v any) error {
	if err := wire.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("%w: %w", ErrBadResponse, err)
	}
	return nil
}

// unexpectedStatus returns the error for a response whose status its request does not expect.
func unexpectedStatus(status int, raw []byte) error {
	return fmt.Errorf("%w: status %d: %.120q", ErrBadResponse, status, raw)
}
