package cedardoor

import (
	"context"
	"errors"

	"cedardoor/store"
	"cedardoor/wire"
)

// minRefusedValueBytes is the size below which a refused value is not made smaller: it was refused for another
// reason.
const minRefusedValueBytes = 256

// recordedValues tracks the values of the leader that are not records of jobs: the machine types and the
// demand.
type recordedValues struct {
	catalogOutdated bool           // the machine types have changed since they were recorded
	maxBytes        map[string]int // by key, after the service has refused a larger value
}

// maxValueBytes returns how large the values of a key may be. The caller holds mu.
func (l *leader) maxValueBytes(key string) int {
	limit := l.store.MaxValueBytes()
	if refused := l.values.maxBytes[key]; refused > 0 {
		limit = min(limit, refused)
	}
	return limit
}

// recordCatalog records the machine types in values that are small enough. If it fails, the next read of
// the machine types tries again.
func (l *leader) recordCatalog(ctx context.Context, catalog wire.Catalog) {
	l.mu.Lock()
	operations := store.CatalogOperations(catalog, l.maxValueBytes(store.KeyCatalog))
	l.mu.Unlock()
	revision, err := l.commitOperations(ctx, store.Urgent, store.KeyCatalog, operations)
	if err != nil {
		l.log.Debug("machine types not recorded", "error", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catalogRevision, l.values.catalogOutdated = revision, false
}

// saveDemand records the arrival rate of work if that is due.
func (l *leader) saveDemand(ctx context.Context) {
	l.mu.Lock()
	record, due := l.autoscaler.DemandToSave(l.clock.Now(), l.maxValueBytes(store.KeyDemand))
	l.mu.Unlock()
	if !due {
		return
	}
	if _, err := l.commitOperations(ctx, store.Normal, store.KeyDemand, []wire.Operation{{Set: store.KeyDemand, Value: record}}); err != nil {
		l.log.Debug("demand not recorded", "error", err)
	}
}

// commitOperations records the value of a key with one or more operations, on condition that this term's
// leader record is unchanged. If the service refuses them, the key's next values are smaller.
func (l *leader) commitOperations(ctx context.Context, priority store.Priority, key string, operations []wire.Operation) (revision uint64, err error) {
	revision, err = l.store.Commit(ctx, priority, wire.Txn{
		Conditions: []wire.Condition{{Key: store.KeyLeader, ModRevision: l.term.Revision}},
		Operations: operations,
	})
	if errors.Is(err, store.ErrMalformed) {
		l.valuesRefused(key, operations)
	}
	return revision, err
}

// valuesRefused notes that the service refused the values of a key.
func (l *leader) valuesRefused(key string, operations []wire.Operation) {
	largest := 0
	for _, operation := range operations {
		largest = max(largest, store.ValueSize(operation.Value))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.values.maxBytes == nil {
		l.values.maxBytes = map[string]int{}
	}
	l.values.maxBytes[key] = max(minRefusedValueBytes, largest/2)
}
