package election

import (
	"context"
	"fmt"

	"cedardoor/store"
	"cedardoor/wire"
)

// tokenState is the fencing token of the current term. The token only increases.
type tokenState struct {
	value    uint64
	revision uint64 // of the token record; the next raise is conditional on it
	raises   uint64 // attempted raises, in all terms; makes their nonces unique
}

// set stores a durable token and the revision of its record.
func (t *tokenState) set(value, revision uint64) { t.value, t.revision = value, revision }

// tokenRaise is one attempt to make the next fencing token durable.
type tokenRaise struct {
	token          uint64
	tokenRevision  uint64 // of the token record that it replaces
	leaderRevision uint64 // identifies the term that it belongs to
	nonce          string
}

// RaiseToken issues a higher fencing token for the same term. Workers that have seen
// the new token reject commands sent under the old one.
func (e *Elector) RaiseToken(ctx context.Context) (uint64, error) {
	raise := e.prepareRaise()
	revision, err := e.store.Commit(ctx, store.Urgent, wire.Txn{
		Conditions: []wire.Condition{
			{Key: store.KeyLeader, ModRevision: raise.leaderRevision},
			{Key: store.KeyToken, ModRevision: raise.tokenRevision},
		},
		Operations: []wire.Operation{{Set: store.KeyToken, Value: store.TokenRecord{Token: raise.token, Nonce: raise.nonce}}},
	})
	if err != nil {
		// The write may have been applied despite the error: read the record to find out.
		applied := false
		if revision, applied = e.findRaise(ctx, raise); !applied {
			return 0, fmt.Errorf("raise token to %d: %w", raise.token, err)
		}
	}
	if err := e.completeRaise(raise, revision); err != nil {
		return 0, fmt.Errorf("raise token to %d: %w", raise.token, err)
	}
	return raise.token, nil
}

// prepareRaise chooses the next token and the conditions for writing it.
func (e *Elector) prepareRaise() tokenRaise {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.token.raises++
	return tokenRaise{
		token:          e.token.value + 1,
		tokenRevision:  e.token.revision,
		leaderRevision: e.term.Revision,
		nonce:          fmt.Sprintf("%s.%d.%d", e.node, e.term.Revision, e.token.raises),
	}
}

// findRaise reads the token record to find whether a raise was applied, and at which
// revision. If the record is of another raise of the same term, the next raise is made
// conditional on that record's revision.
func (e *Elector) findRaise(ctx context.Context, raise tokenRaise) (revision uint64, applied bool) {
	record, revision, err := e.readToken(ctx, store.Urgent)
	switch {
	case revision == 0:
		return 0, false
	case err == nil && record.Nonce == raise.nonce:
		return revision, true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leadsTerm(raise.leaderRevision) && record.Token >= e.token.value && record.Token <= raise.token {
		e.token.revision = revision
	}
	return 0, false
}

// completeRaise stores the token of an applied raise, unless its term has ended.
func (e *Elector) completeRaise(raise tokenRaise, revision uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leadsTerm(raise.leaderRevision) {
		return ErrTermOver
	}
	e.token.set(raise.token, revision)
	return nil
}

// leadsTerm reports whether this node leads in the term with the given leader key revision. The caller
// must hold mu.
func (e *Elector) leadsTerm(leaderRevision uint64) bool {
	return e.leading && e.term.Revision == leaderRevision
}

// readToken reads the token record and its revision, which is zero if there is no record.
// If the record can't be decoded, readToken returns its revision along with the error.
func (e *Elector) readToken(ctx context.Context, priority store.Priority) (record store.TokenRecord, revision uint64, err error) {
	row, found, err := e.store.Get(ctx, priority, store.KeyToken)
	if err != nil {
		return record, 0, fmt.Errorf("read token: %w", err)
	}
	if !found {
		return record, 0, nil
	}
	if err := wire.Unmarshal(row.Value, &record); err != nil {
		return record, row.ModRevision, fmt.Errorf("decode token record: %w", err)
	}
	return record, row.ModRevision, nil
}
