// Package agent implements the controller's side of the protocol with the workers' agents: it sends
// them direct commands and serves their heartbeats.
package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/internal/link"
	"cedardoor/wire"
)

const (
	dialTimeout             = clock.Second
	maxConnectionsPerWorker = 1
	maxReportBytes          = 4 << 20
)

// ErrRejected means that a worker rejected a request as malformed.
var ErrRejected = errors.New("rejected as malformed")

// StatusError is a response with a status that the protocol does not define.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

// Client sends requests to workers.
type Client struct {
	http            *http.Client
	openConnections atomic.Int64
	// ConnectionsScarce, if set, reports whether connections to workers should be closed
	// after use instead of being kept idle.
	ConnectionsScarce func() bool
}

// NewClient returns a Client that keeps at most maxIdle idle connections.
func NewClient(maxIdle int) *Client {
	c := &Client{}
	c.http = link.NewCountedClient(dialTimeout, maxConnectionsPerWorker, maxIdle, &c.openConnections)
	return c
}

// OpenConnections returns the number of connections to workers, including idle ones.
func (c *Client) OpenConnections() int { return int(c.openConnections.Load()) }

// CloseIdleConnections closes the idle connections to workers.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// CommandResult is the result of sending commands to a worker.
type CommandResult struct {
	Outcome fleet.Outcome
	Report  *wire.Heartbeat // the worker's report; nil if the response had none
}

// SendCommands sends direct commands to the worker at an endpoint. The result's outcome is valid even
// if an error is returned: it states whether the commands may still be executed.
func (c *Client) SendCommands(ctx context.Context, endpoint string, request wire.CommandRequest) (CommandResult, error) {
	status, body, err := c.call(ctx, http.MethodPost, endpoint, wire.PathCommand, request)
	if err != nil {
		result := CommandResult{Outcome: fleet.OutcomeUnknown}
		if link.NotSent(err) {
			result.Outcome = fleet.OutcomeNotExecuted
		}
		return result, fmt.Errorf("send commands to %s: %w", endpoint, err)
	}
	switch status {
	case http.StatusOK, http.StatusConflict:
		report, err := decodeReport(endpoint, body)
		if err != nil {
			return CommandResult{Outcome: fleet.OutcomeUnknown}, err
		}
		return CommandResult{Outcome: outcomeOf(status, report, &request), Report: report}, nil
	case http.StatusBadRequest:
		return CommandResult{Outcome: fleet.OutcomeNotExecuted}, fmt.Errorf("send commands to %s: %w", endpoint, ErrRejected)
	default:
		return CommandResult{Outcome: fleet.OutcomeUnknown}, fmt.Errorf("send commands to %s: %w", endpoint, &StatusError{status})
	}
}

// outcomeOf returns the outcome of commands to which a worker responded with a report.
func outcomeOf(status int, report *wire.Heartbeat, request *wire.CommandRequest) fleet.Outcome {
	switch {
	case status == http.StatusOK:
		return fleet.OutcomeExecuted
	case report.Token > request.Token || report.Incarnation > request.Incarnation:
		return fleet.OutcomeNotExecuted // final, because neither number ever decreases
	default:
		return fleet.OutcomeUnknown
	}
}

// RequestReport requests the report of the worker at an endpoint.
func (c *Client) RequestReport(ctx context.Context, endpoint string) (*wire.Heartbeat, error) {
	status, body, err := c.call(ctx, http.MethodGet, endpoint, wire.PathReport, nil)
	if err != nil {
		return nil, fmt.Errorf("request report of %s: %w", endpoint, err)
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("request report of %s: %w", endpoint, &StatusError{status})
	}
	return decodeReport(endpoint, body)
}

// call sends a request. The connection is kept for later requests unless connections are scarce.
func (c *Client) call(ctx context.Context, method, endpoint, path string, body any) (status int, response []byte, err error) {
	url := "http://" + endpoint + path
	if c.ConnectionsScarce != nil && c.ConnectionsScarce() {
		return link.CallOnce(ctx, c.http, method, url, body, maxReportBytes)
	}
	return link.Call(ctx, c.http, method, url, body, maxReportBytes)
}

func decodeReport(endpoint string, body []byte) (*wire.Heartbeat, error) {
	report, err := wire.DecodeHeartbeat(body)
	if err != nil {
		return nil, fmt.Errorf("decode report of %s: %w", endpoint, err)
	}
	return &report, nil
}
