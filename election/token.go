package election

import (
	"context"
	"fmt"

	"cedardoor/store"
	"cedardoor/wire"
)

// tokenState is the fencing token of the current term. It only ever rises.
type tokenState struct {
	value    uint64
	revision uint64 // of the token's record, which the next raise is conditional on
	raises   uint64 // raises that were tried, in all terms; makes their nonces unique
}

// set takes in a token that is durable.
func (t *tokenState) set(value, revision uint64) { t.value, t.revision = value, revision }

// tokenRaise is one try to make the next fencing token durable.
type tokenRaise struct {
	token          uint64
	tokenRevision  uint64 // of the record that it replaces
	leaderRevision uint64 // of the term that it is for
	nonce          string
}

// RaiseToken issues a higher fencing token for the same term. Commands sent under
// the old one are void at every worker that has seen the new one.
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
		// The write may have been done all the same: read what is there before trying again.
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

// prepareRaise decides on the next token.
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

// findRaise reads whether a raise was applied, and at which revision. The record of
// another raise of the same term tells what the next one must be conditional on.
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
	if e.leadsIn(raise.leaderRevision) && record.Token >= e.token.value && record.Token <= raise.token {
		e.token.revision = revision
	}
	return 0, false
}

// completeRaise takes in a raise that was applied, unless its term has ended.
func (e *Elector) completeRaise(raise tokenRaise, revision uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leadsIn(raise.leaderRevision) {
		return ErrTermOver
	}
	e.token.set(raise.token, revision)
	return nil
}

// leadsIn tells whether this node leads in the term of that revision. The caller holds mu.
func (e *Elector) leadsIn(leaderRevision uint64) bool {
	return e.leading && e.term.Revision == leaderRevision
}

// readToken reads the token's record and its revision, which is zero when there is
// none. A record that can't be decoded comes with its revision, and an error.
func (e *Elector) readToken(ctx context.Context, priority store.Priority) (record store.TokenRecord, revision uint64, err error) {
	row, found, err := e.store.Get(ctx, priority, store.KeyToken)
	if err != nil {
		return record, 0, fmt.Errorf("read token: %w", err)
	}
	if !found {
		return record, 0, nil
	}
	if err := wire.Unmarshal(row.Value, &record); err != nil {
		return record, row.ModRevision, fmt.Errorf("token record: %w", err)
	}
	return record, row.ModRevision, nil
}
