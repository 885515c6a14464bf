package standin

import (
	"context"
)

// Direction is the direction in which a hold delays messages.
type Direction int

// The directions of a hold between two hosts, or at the boundary of a zone.
const (
	BothDirections Direction = iota
	Outbound                 // from the first host to the second, or out of the zone
	Inbound                  // from the second host to the first, or into the zone
)

// zoneBoundary is the boundary of a zone in one direction.
type zoneBoundary struct {
	zone     string
	outbound bool
}

// Hold begins or ends a hold of messages between two hosts. Held messages are delivered in
// order afterwards, even if their sender has closed the connection. Overlapping holds last
// until each has ended.
func (n *Network) Hold(a, b string, direction Direction, held bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, b = hostName(a), hostName(b)
	if direction != Inbound {
		adjustCount(n.held, [2]string{a, b}, held)
	}
	if direction != Outbound {
		adjustCount(n.held, [2]string{b, a}, held)
	}
	n.notifyHoldsChanged()
}

// HoldZone begins or ends a hold of messages that enter or leave a zone.
func (n *Network) HoldZone(zone string, direction Direction, held bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if direction != Inbound {
		adjustCount(n.heldZones, zoneBoundary{zone, true}, held)
	}
	if direction != Outbound {
		adjustCount(n.heldZones, zoneBoundary{zone, false}, held)
	}
	n.notifyHoldsChanged()
}

// adjustCount counts the beginning or the end of a hold.
func adjustCount[K comparable](counts map[K]int, key K, held bool) {
	if held {
		counts[key]++
	} else {
		counts[key]--
	}
}

// notifyHoldsChanged wakes the goroutines that wait for the end of a hold. The caller holds
// mu.
func (n *Network) notifyHoldsChanged() {
	close(n.holdsChanged)
	n.holdsChanged = make(chan struct{})
}

// IsHeld reports whether messages from one host to another are held.
func (n *Network) IsHeld(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isHeld(from, to)
}

// isHeld is IsHeld for callers that hold mu.
func (n *Network) isHeld(from, to string) bool {
	from, to = hostName(from), hostName(to)
	a, b := n.zones[from], n.zones[to]
	return n.held[[2]string{from, to}] > 0 || a != b && (n.heldZones[zoneBoundary{a, true}] > 0 || n.heldZones[zoneBoundary{b, false}] > 0)
}

// Await waits until messages from one host to another are not held. It returns false if ctx
// ends first.
func (n *Network) Await(ctx context.Context, from, to string) bool {
	return n.await(ctx, func() bool { return n.isHeld(from, to) })
}

// AwaitBoth waits until messages between two hosts are held in neither direction, as a new
// connection requires. It returns false if ctx ends first.
func (n *Network) AwaitBoth(ctx context.Context, a, b string) bool {
	return n.await(ctx, func() bool { return n.isHeld(a, b) || n.isHeld(b, a) })
}

// await waits until held returns false. It returns false if ctx ends first.
func (n *Network) await(ctx context.Context, held func() bool) bool {
	for {
		n.mu.Lock()
		wait, changed := held(), n.holdsChanged
		n.mu.Unlock()
		if !wait {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
