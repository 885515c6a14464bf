package cedardoor

import (
	"context"
	"sync"

	"cedardoor/clock"
	"cedardoor/cloud"
	"cedardoor/store"
	"cedardoor/wire"
)

const (
	// catalogFreshFor is how long the machine types are used without being read again.
	catalogFreshFor = 30 * clock.Second
	// catalogUsableFor is how long they are used when nobody answers: a job that no machine of
	// today's catalogue fits must not be accepted by an old one.
	catalogUsableFor = 120 * clock.Second
)

// catalogCache keeps the machine types as last seen by any leader, or by this node itself.
type catalogCache struct {
	store *store.Client
	cloud *cloud.Client
	clock *clock.Clock

	mu      sync.Mutex // guards the fields below
	catalog wire.Catalog
	readAt  clock.Micros
}

// get gives the machine types; false when they are not known.
func (c *catalogCache) get(ctx context.Context) (catalog wire.Catalog, known bool) {
	now := c.clock.Now()
	kept, readAt := c.kept()
	if readAt != 0 && now-readAt < catalogFreshFor {
		return kept, true
	}
	if recorded, found := c.recorded(ctx); found {
		c.keep(recorded, now)
		return recorded, true
	}
	if len(kept.MachineTypes) > 0 && now-readAt < catalogUsableFor {
		return kept, true // sizes hardly change: the last known will do for a while
	}
	offered, err := c.cloud.Catalog(ctx)
	if err != nil {
		return wire.Catalog{}, false
	}
	c.keep(offered, now)
	return offered, true
}

// recorded reads the machine types that a leader recorded.
func (c *catalogCache) recorded(ctx context.Context) (catalog wire.Catalog, found bool) {
	row, found, err := c.store.Get(ctx, store.Normal, store.KeyCatalog)
	if err != nil || !found || wire.Unmarshal(row.Value, &catalog) != nil {
		return wire.Catalog{}, false
	}
	return catalog, len(catalog.MachineTypes) > 0
}

func (c *catalogCache) kept() (wire.Catalog, clock.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog, c.readAt
}

func (c *catalogCache) keep(catalog wire.Catalog, now clock.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catalog, c.readAt = catalog, now
}
