package store

import (
	"errors"
	"fmt"

	"cedardoor/wire"
)

// What a request to the state service can come to, besides success. All but
// ErrCompacted and ErrNoLease come inside a RequestError.
var (
	// ErrRefused means that the service did not execute the request.
	ErrRefused = errors.New("state service refused")
	// ErrOverloaded goes with ErrRefused when the nodes together requested too much at once.
	ErrOverloaded = errors.New("too many requests")
	// ErrOutcomeUnknown means that the request may have been executed, or still may be.
	ErrOutcomeUnknown = errors.New("no response from the state service")
	// ErrNoLease means that a lease has ended.
	ErrNoLease = errors.New("no such lease")
	// ErrMalformed means that the service would not take a transaction as it is.
	ErrMalformed = errors.New("state service calls the transaction malformed")
	// ErrCompacted means that a watch began too far back.
	ErrCompacted = errors.New("watch is too old")
	// ErrBadResponse means that the service's response could not be understood.
	ErrBadResponse = errors.New("bad response from the state service")
)

// Conflict is a transaction whose conditions did not hold; nothing was applied.
type Conflict struct {
	Failed []string // the keys of the conditions
}

// Error implements error.
func (c *Conflict) Error() string { return fmt.Sprintf("conditions failed: %v", c.Failed) }

// RequestError is a request that failed, or whose outcome is not known.
type RequestError struct {
	Operation string // what was tried
	Target    string // the key, prefix or lease that it was tried on
	Err       error
}

// Error implements error.
func (e *RequestError) Error() string { return e.Operation + " " + e.Target + ": " + e.Err.Error() }

// Unwrap gives the reason.
func (e *RequestError) Unwrap() error { return e.Err }

// annotate makes an error of a request a RequestError. What the service has told
// of the state itself is no failure, and stays as it is.
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

// txnTarget names the key that stands for a transaction in errors.
func txnTarget(txn *wire.Txn) string {
	switch {
	case len(txn.Operations) > 0:
		return txn.Operations[0].Set + txn.Operations[0].Delete
	case len(txn.Conditions) > 0:
		return txn.Conditions[0].Key
	}
	return "nothing"
}
