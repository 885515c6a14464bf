package api

import (
	"sync"

	"cedardoor/store"
)

// maxFinalStates is the maximum number of cached final states.
const maxFinalStates = 20_000

// finalStateCache caches final states, which never change. It is cleared when it is full. The zero
// value is an empty cache.
type finalStateCache struct {
	mu     sync.Mutex // guards states
	states map[string]store.FinalRecord
}

func (c *finalStateCache) get(uid string) (final store.FinalRecord, cached bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	final, cached = c.states[uid]
	return final, cached
}

func (c *finalStateCache) put(uid string, final store.FinalRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.states == nil || len(c.states) >= maxFinalStates {
		c.states = map[string]store.FinalRecord{}
	}
	c.states[uid] = final
}
