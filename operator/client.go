// Package operator supports the operators' commands: it defines the paths of a controller's operators'
// address, requests reports from it, and prints them.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"cedardoor/quota"
	"cedardoor/recovery"
)

// Paths of the leader's reports on any controller's operators' address.
const (
	PathTeams    = "/teams"    // serves a quota.Report
	PathRecovery = "/recovery" // serves a recovery.Report
)

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Errors returned by FetchTeams and FetchRecovery.
var (
	// ErrUnreachable means that no controller responds at the address.
	ErrUnreachable = errors.New("no controller answers")
	// ErrInvalidAddress means that the address is not of the form host:port.
	ErrInvalidAddress = errors.New("not host:port")
	// ErrNoReport means that the controller has no report, because it has not reached a leader yet.
	ErrNoReport = errors.New("the controller has no report yet")
)

const (
	requestTimeout   = 5 * time.Second
	maxResponseBytes = 16 << 20 // enough for thousands of teams
)

// FetchTeams requests the teams' report from the controller with the given operators' address.
func FetchTeams(ctx context.Context, address string) (quota.Report, error) {
	return fetch[quota.Report](ctx, address, PathTeams)
}

// FetchRecovery requests the recovery report from the controller with the given operators' address.
func FetchRecovery(ctx context.Context, address string) (recovery.Report, error) {
	return fetch[recovery.Report](ctx, address, PathRecovery)
}

// fetch requests the report at a path and decodes it.
func fetch[T any](ctx context.Context, address, path string) (report T, err error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return report, fmt.Errorf("address %q: %w", address, ErrInvalidAddress)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return report, fmt.Errorf("address %q: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return report, fmt.Errorf("%w at %s: %w", ErrUnreachable, address, errors.Unwrap(err))
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return report, fmt.Errorf("%w at %s: %w", ErrUnreachable, address, err)
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		var body ErrorResponse
		_ = json.Unmarshal(raw, &body) // without a valid body, no reason is shown
		return report, fmt.Errorf("%w: %s", ErrNoReport, body.Error)
	}
	if response.StatusCode != http.StatusOK {
		return report, fmt.Errorf("%w at %s: status %d", ErrUnreachable, address, response.StatusCode)
	}
	if err := json.Unmarshal(raw, &report); err != nil {
		return report, fmt.Errorf("%w at %s: invalid response", ErrUnreachable, address)
	}
	return report, nil
}
