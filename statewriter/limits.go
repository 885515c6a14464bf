package statewriter

import "cedardoor/store"

// limits bound one transaction.
type limits struct {
	operations int
	valueBytes int // size of a value in the JSON form
	minParts   int // into how many parts a record is divided at least
	maxParts   int // and at most
}

// conditions returns how many conditions a transaction may have.
func (l limits) conditions() int { return store.ConditionsPerOperation * l.operations }

// currentLimits returns the limits of the next transaction.
func (w *Writer) currentLimits(capacity Capacity) limits {
	current := limits{operations: capacity.TxnOps(), valueBytes: capacity.MaxValueBytes()}
	current.maxParts = current.operations
	if w.batchOperations >= current.operations {
		w.batchOperations = 0
	}
	if w.batchOperations > 0 {
		current.operations = w.batchOperations
	}
	return current
}

// Learned returns the limits of the state service that refused transactions have shown since the last
// call, zero for those that they have not.
func (w *Writer) Learned() (txnOps, valueBytes int) {
	txnOps, valueBytes = w.learned.operations, w.learned.valueBytes
	w.learned = limits{}
	return txnOps, valueBytes
}
