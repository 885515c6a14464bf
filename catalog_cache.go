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
	// catalogFreshFor is how long cached machine types are used without another read.
	catalogFreshFor = 30 * clock.Second
	// catalogUsableFor is how long they are used if no newer ones can be read. The limit keeps jobs
	// that fit no current machine type from being accepted based on an outdated catalog.
	catalogUsableFor = 120 * clock.Second
)

// catalogCache caches the machine types as recorded by a leader or read from the cloud by this node.
type catalogCache struct {
	store *store.Client
	cloud *cloud.Client
	clock *clock.Clock

	mu      sync.Mutex // guards the fields below
	catalog wire.Catalog
	readAt  clock.Micros
}

// get returns the machine types; false if they are unknown.
func (c *catalogCache) get(ctx context.Context) (catalog wire.Catalog, known bool) {
	now := c.clock.Now()
	cached, readAt := c.lastRead()
	if readAt != 0 && now-readAt < catalogFreshFor {
		return cached, true
	}
	if recorded, found := c.readRecorded(ctx); found {
		c.update(recorded, now)
		return recorded, true
	}
	if len(cached.MachineTypes) > 0 && now-readAt < catalogUsableFor {
		return cached, true // sizes hardly change, so the last known ones are good enough for a while
	}
	offered, err := c.cloud.Catalog(ctx)
	if err != nil {
		return wire.Catalog{}, false
	}
	c.update(offered, now)
	return offered, true
}

// readRecorded reads the machine types that a leader recorded.
func (c *catalogCache) readRecorded(ctx context.Context) (catalog wire.Catalog, found bool) {
	catalog, _, err := store.ReadCatalog(func(key string) (row wire.Row, found bool, err error) { return c.store.Get(ctx, store.Normal, key) })
	if err != nil {
		return wire.Catalog{}, false
	}
	return catalog, len(catalog.MachineTypes) > 0
}

func (c *catalogCache) lastRead() (wire.Catalog, clock.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog, c.readAt
}

func (c *catalogCache) update(catalog wire.Catalog, now clock.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catalog, c.readAt = catalog, now
}
