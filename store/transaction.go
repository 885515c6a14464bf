package store

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"cedardoor/wire"
)

// noSuchLease is the service's error for a transaction that names an ended lease.
const noSuchLease = "no such lease"

// Commit executes a transaction and returns the revision at which it was applied. The
// error is a *Conflict if conditions failed.
func (c *Client) Commit(ctx context.Context, priority Priority, txn wire.Txn) (revision uint64, err error) {
	defer annotate(&err, "commit", txnTarget(&txn))
	if err := c.budget.admit(ctx, priority, len(txn.Operations)); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if txn.Conditions == nil {
		txn.Conditions = []wire.Condition{}
	}
	if txn.Operations == nil {
		txn.Operations = []wire.Operation{}
	}
	status, raw, err := c.request(ctx, http.MethodPost, wire.PathCommit, txn)
	if err != nil {
		return 0, err
	}
	switch {
	case status == http.StatusOK:
		return c.decodeApplied(raw)
	case status == http.StatusConflict:
		return decodeConflict(raw)
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		err := decodeBadTransaction(raw)
		if errors.Is(err, ErrMalformed) && c.budget.limits.adoptAnnounced(&txn) {
			c.budget.applyRates()
		}
		return 0, err
	}
	return 0, unexpectedStatus(status, raw)
}

// decodeApplied decodes the response to a transaction that was applied.
func (c *Client) decodeApplied(raw []byte) (revision uint64, err error) {
	var response wire.TxnResponse
	if err := decode(raw, &response); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	c.observeRevision(response.Revision)
	return response.Revision, nil
}

// decodeConflict decodes the response to a transaction whose conditions failed.
func decodeConflict(raw []byte) (revision uint64, err error) {
	var response wire.TxnResponse
	if err := decode(raw, &response); err != nil {
		return 0, err
	}
	return response.Revision, &Conflict{Failed: response.Failed}
}

// decodeBadTransaction returns the reason why the service rejected a transaction.
func decodeBadTransaction(raw []byte) error {
	var response wire.Error
	if wire.Unmarshal(raw, &response) == nil && response.Error == noSuchLease {
		return ErrNoLease
	}
	return fmt.Errorf("%w: %.120q", ErrMalformed, raw)
}
