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
	// maxResponseBytes bounds what a response may take in memory.
	maxResponseBytes = 8 << 20
	// failuresToFail is how many requests in a row must fail for the service to count as failing.
	failuresToFail = 2
)

// health is whether the service answers this node.
type health struct {
	failures      atomic.Int32 // requests in a row without a response, or refused by the service
	interruptions atomic.Uint64
}

// answered notes a request that the service answered.
func (h *health) answered() { h.failures.Store(0) }

// failed notes a request that it did not.
func (h *health) failed() {
	if h.failures.Add(1) == failuresToFail {
		h.interruptions.Add(1)
	}
}

// Failing tells whether the service has answered none of the last requests.
func (c *Client) Failing() bool { return c.health.failures.Load() >= failuresToFail }

// Interruptions counts the times at which the service began to fail this node.
func (c *Client) Interruptions() uint64 { return c.health.interruptions.Load() }

// request sends one request that does not block, and gives the status and body of its response.
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

// watchRequest sends a request that may block; it tells nothing of the service's health.
func (c *Client) watchRequest(ctx context.Context, method, path string, body any) (int, []byte, error) {
	return c.mapResponse(link.Call(ctx, c.watches, method, c.baseURL+path, body, maxResponseBytes))
}

// mapResponse gives the errors of requests that were not executed, or may not have been, their types.
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

// decode reads the body of a response.
func decode(raw []byte, v any) error {
	if err := wire.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("%w: %w", ErrBadResponse, err)
	}
	return nil
}

// unexpectedStatus is the error of a response with a status that its request does not have.
func unexpectedStatus(status int, raw []byte) error {
	return fmt.Errorf("%w: status %d: %.120q", ErrBadResponse, status, raw)
}
