package store

import (
	"errors"
	"fmt"

	"cedardoor/wire"
)

// The errors of requests to the state service. All but ErrCompacted, ErrNoLease and
// ErrBadRecord are
// wrapped in a RequestError.
var (
	// ErrRefused means that the request was not executed.
	ErrRefused = errors.New("state service refused the request")
	// ErrOverloaded accompanies ErrRefused if the nodes together made too many requests.
	ErrOverloaded = errors.New("too many requests")
	// ErrOutcomeUnknown means that the request may have been executed or may still be.
	ErrOutcomeUnknown = errors.New("no response from the state service")
	// ErrNoLease means that the lease has ended.
	ErrNoLease = errors.New("no such lease")
	// ErrMalformed means that the service rejected a transaction as malformed.
	ErrMalformed = errors.New("state service rejected the transaction as malformed")
	// ErrCompacted means that the service no longer keeps the changes since the given
	// revision.
	ErrCompacted = errors.New("changes since the given revision have been compacted")
	// ErrBadRecord means that a stored record can't be decoded.
	ErrBadRecord = errors.New("bad record")
	// ErrBadResponse means that the service's response was invalid or unexpected.
	ErrBadResponse = errors.New("bad response from the state service")
)

// Conflict is the error of a transaction whose conditions did not hold. Nothing was applied.
type Conflict struct {
	Failed []string // the keys of the failed conditions
}

// Error implements error.
func (c *Conflict) Error() string { return fmt.Sprintf("conditions failed: %v", c.Failed) }

// RequestError is the error of a request that failed or whose outcome is unknown.
type RequestError struct {
	Operation string // such as "commit"
	Target    string // the key, prefix or lease of the request
	Err       error
}

// Error implements error.
func (e *RequestError) Error() string { return e.Operation + " " + e.Target + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// annotate wraps the error of a request in a RequestError. A Conflict, ErrCompacted and
// ErrNoLease are answers about the state rather than failures, and stay as they are.
func annotate(err *error, operation, target string) {
	if *err == nil || errors.Is(*err, ErrCompacted) || errors.Is(*err, ErrNoLease) {
		return
	}
	var conflict *Conflict
	if errors.As(*err, &conflict) {
		return
	}
	*err = &RequestError{Operation: operation, Target: target, Err: *err}
}

// txnTarget returns the key that identifies a transaction in errors.
func txnTarget(txn *wire.Txn) string {
	switch {
	case len(txn.Operations) > 0:
		return txn.Operations[0].Set + txn.Operations[0].Delete
	case len(txn.Conditions) > 0:
		return txn.Conditions[0].Key
	}
	return "nothing"
}
