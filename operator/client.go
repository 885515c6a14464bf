// Package operator is what operators' commands need: the paths of a controller's
// operators' address, a client of it, and the forms in which answers are printed.
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

// Where a controller shows the leader's reports.
const (
	// PathTeams: what teams use.
	PathTeams = "/teams"
	// PathRecovery: how far the leader has taken over.
	PathRecovery = "/recovery"
)

// ErrorResponse is the body of an answer that is an error.
type ErrorResponse struct {
	Error string `json:"error"`
}

// What an address can answer instead of a view.
var (
	// ErrUnreachable means that no controller answers at the address.
	ErrUnreachable = errors.New("no controller answers")
	// ErrInvalidAddress means that what was given is no address.
	ErrInvalidAddress = errors.New("not host:port")
	// ErrNoReport means that the controller has nothing to show: it has heard no leader yet.
	ErrNoReport = errors.New("the controller has no view")
)

// timeout bounds a request, and maxAnswer its answer: thousands of teams.
const (
	timeout   = 5 * time.Second
	maxAnswer = 16 << 20
)

// FetchTeams asks the controller with the given operators' address what teams use.
func FetchTeams(ctx context.Context, address string) (quota.Report, error) {
	return fetch[quota.Report](ctx, address, PathTeams)
}

// FetchRecovery asks the controller with the given operators' address how far the leader has
// taken over.
func FetchRecovery(ctx context.Context, address string) (recovery.Report, error) {
	return fetch[recovery.Report](ctx, address, PathRecovery)
}

// fetch reads a report.
func fetch[T any](ctx context.Context, address, path string) (report T, err error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return report, fmt.Errorf("address %q: %w", address, ErrInvalidAddress)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return report, fmt.Errorf("address %q: %w", address, err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return report, fmt.Errorf("%w at %s: %w", ErrUnreachable, address, errors.Unwrap(err))
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return report, fmt.Errorf("%w at %s: %w", ErrUnreachable, address, err)
	}
	if answer.StatusCode == http.StatusServiceUnavailable {
		var failure ErrorResponse
		_ = json.Unmarshal(raw, &failure)
		return report, fmt.Errorf("%w: %s", ErrNoReport, failure.Error)
	}
	if answer.StatusCode != http.StatusOK {
		return report, fmt.Errorf("%w at %s: status %d", ErrUnreachable, address, answer.StatusCode)
	}
	if err := json.Unmarshal(raw, &report); err != nil {
		return report, fmt.Errorf("%w at %s: not a controller's answer", ErrUnreachable, address)
	}
	return report, nil
}
