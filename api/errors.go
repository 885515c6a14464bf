package api

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"

	"cedardoor/agent"
	"cedardoor/wire"
)

// errUnknownJob means that a job was never accepted, or that its id is not valid.
var errUnknownJob = errors.New("no such job")

// invalidRequestError means that a request must be changed to succeed: retrying it is pointless.
type invalidRequestError struct {
	status int
	reason string
}

func (e *invalidRequestError) Error() string { return e.reason }

var errBodyUnreadable = &invalidRequestError{http.StatusBadRequest, "body too large or cut short"}

// overloadedError means that a submission was refused because there are too many.
type overloadedError struct {
	priority wire.Priority // of the submission
	cause    error
}

func (e *overloadedError) Error() string {
	return fmt.Sprintf("too many submissions: %v", e.cause)
}

func (e *overloadedError) Unwrap() error { return e.cause }

// retryAfterUnavailable is the delay, in seconds, after which users should retry on a 503.
const retryAfterUnavailable = 1

// respondError responds to a failed request and returns the status of the response. An error that is
// none of the types above means that the request can't be served now but may be retried.
func (s *Server) respondError(w http.ResponseWriter, err error) (status int) {
	var invalid *invalidRequestError
	var overloaded *overloadedError
	switch {
	case errors.As(err, &invalid):
		return respondRefusal(w, invalid.status, 0, invalid.reason)
	case errors.As(err, &overloaded):
		return respondRefusal(w, http.StatusTooManyRequests, retryAfterOverload(overloaded.priority), "too many submissions: try again")
	case errors.Is(err, errUnknownJob):
		return respondRefusal(w, http.StatusNotFound, 0, errUnknownJob.Error())
	default:
		s.Log.Debug("request refused", "error", err)
		return respondRefusal(w, http.StatusServiceUnavailable, retryAfterUnavailable, "try again")
	}
}

// retryAfterOverload returns the delay, in seconds, after which a refused submission should be
// retried. It is random so that users do not retry all at once, and longer for the lowest priority.
func retryAfterOverload(priority wire.Priority) int {
	after := 1 + rand.IntN(2)
	if priority == wire.PriorityLow {
		after = 2 + rand.IntN(8)
	}
	return after
}

func respondRefusal(w http.ResponseWriter, status, retryAfter int, reason string) int {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
	}
	agent.WriteResponse(w, status, wire.Error{Error: reason})
	return status
}
