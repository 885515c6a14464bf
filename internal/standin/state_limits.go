package standin

import (
	"net/http"

	"cedardoor/store"
	"cedardoor/wire"

	"golang.org/x/time/rate"
)

// SetLimits sets the limits that apply from now on. What is stored stays readable.
func (s *State) SetLimits(limits StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits, s.writes = limits, nil
	if limits.WriteRPS > 0 {
		s.writes = rate.NewLimiter(rate.Limit(limits.WriteRPS), int(limits.WriteRPS))
	}
}

// RefuseTransactions makes the service refuse, with status 400, the transactions for which refuse returns
// true.
func (s *State) RefuseTransactions(refuse func(txn *wire.Txn) bool) {
	s.RefuseTransactionsWith(http.StatusBadRequest, refuse)
}

// RefuseTransactionsWith is RefuseTransactions with another status.
func (s *State) RefuseTransactionsWith(status int, refuse func(txn *wire.Txn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.refuse, s.faults.refusalStatus = refuse, status
}

// refusalStatus returns the status with which a transaction is refused, or zero. The caller holds mu.
func (s *State) refusalStatus(txn *wire.Txn) int {
	switch {
	case s.faults.refuse != nil && s.faults.refuse(txn):
		return s.faults.refusalStatus
	case s.isOversized(txn):
		return http.StatusBadRequest
	}
	return 0
}

// OversizedTransactions returns the transactions that were refused for their size or by
// RefuseTransactions, in the order of their arrival.
func (s *State) OversizedTransactions() []OversizedTxn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.oversized[:len(s.oversized):len(s.oversized)]
}

// isOversized reports whether a transaction is beyond the limits of size. The caller holds mu.
func (s *State) isOversized(txn *wire.Txn) bool {
	if len(txn.Operations) > s.limits.Operations || len(txn.Conditions) > store.ConditionsPerOperation*s.limits.Operations {
		return true
	}
	if s.limits.ValueBytes >= defaultLimits.ValueBytes {
		return false // no test writes larger values, and the sizes take time to determine
	}
	for _, operation := range txn.Operations {
		if operation.Set != "" && store.ValueSize(operation.Value) > s.limits.ValueBytes {
			return true
		}
	}
	return false
}
