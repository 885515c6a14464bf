package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Network is an in-memory network, over which complete services run on virtual time. Tests
// cut off pairs of hosts and zones, and hold messages.
type Network struct {
	// Latency returns how long a message from one host to another takes.
	Latency func(from, to string) time.Duration
	// Buffers makes connections buffer what is sent during a hold. It must be set before the
	// first connection is made.
	Buffers bool

	mu            sync.Mutex // guards the fields below
	listeners     map[string]*listener
	cut           map[[2]string]bool
	zones         map[string]string // by host
	isolatedZones map[string]bool   // zones without connections to other zones
	conns         map[*conn]bool
	held          map[[2]string]int    // number of holds, by sender and receiver
	heldZones     map[zoneBoundary]int // number of holds, by zone and direction
	holdsChanged  chan struct{}        // closed when a hold begins or ends
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{Latency: func(string, string) time.Duration { return 0 },
		listeners: map[string]*listener{}, cut: map[[2]string]bool{}, zones: map[string]string{}, isolatedZones: map[string]bool{}, conns: map[*conn]bool{},
		held: map[[2]string]int{}, heldZones: map[zoneBoundary]int{}, holdsChanged: make(chan struct{})}
}

// Listen returns a listener for connections to an address.
func (n *Network) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, addr: addr, queue: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// Dialer returns a dial function for one host. Dialing a host that is cut off blocks until
// ctx ends; without a listener the connection is refused.
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		fail := func(err error) (net.Conn, error) {
			if errors.Is(err, context.DeadlineExceeded) {
				err = os.ErrDeadlineExceeded
			}
			return nil, &net.OpError{Op: "dial", Net: network, Addr: address(addr), Err: err}
		}
		select {
		case <-time.After(n.Latency(from, addr)):
		case <-ctx.Done():
			return fail(ctx.Err())
		}
		if !n.AwaitBoth(ctx, from, addr) {
			return fail(ctx.Err())
		}
		if n.IsCut(from, addr) {
			<-ctx.Done()
			return fail(ctx.Err())
		}
		n.mu.Lock()
		l := n.listeners[addr]
		n.mu.Unlock()
		if l == nil {
			return fail(syscall.ECONNREFUSED)
		}
		here, there := net.Pipe()
		if n.Buffers {
			here, there = n.bufferedPipe(from, addr)
		}
		dialed := &conn{Conn: here, network: n, from: from, to: addr}
		select {
		case l.queue <- &conn{Conn: there, network: n, from: from, to: addr}:
		case <-l.closed:
			return fail(syscall.ECONNREFUSED)
		case <-ctx.Done():
			return fail(ctx.Err())
		}
		n.mu.Lock()
		n.conns[dialed] = true
		n.mu.Unlock()
		return dialed, nil
	}
}

// SetCut cuts off messages from one host to another, or lets them pass again. An empty
// receiver stands for all hosts. A new cut closes the connections that the sender has made to
// the receiver.
func (n *Network) SetCut(from, to string, cut bool) {
	n.mu.Lock()
	n.cut[[2]string{from, to}] = cut
	var broken []*conn
	for c := range n.conns {
		if cut && c.from == from && (to == "" || c.to == to) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.Close()
	}
}

// IsCut reports whether messages from one host to another are cut off.
func (n *Network) IsCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}] || n.cut[[2]string{from, ""}] || n.crossesIsolation(from, to)
}

// crossesIsolation reports whether two hosts are in different zones, at least one of which is
// isolated. The caller holds mu.
func (n *Network) crossesIsolation(from, to string) bool {
	a, b := n.zones[hostName(from)], n.zones[hostName(to)]
	return a != b && (n.isolatedZones[a] || n.isolatedZones[b])
}

// hostName returns the name of the host in an address, or in the name of a process.
func hostName(addr string) string {
	if i := strings.IndexAny(addr, ":/"); i >= 0 {
		return addr[:i]
	}
	return addr
}

// Place assigns a host to a zone. A host without a zone belongs to the region.
func (n *Network) Place(name, zone string) { n.mu.Lock(); defer n.mu.Unlock(); n.zones[name] = zone }

// Isolate cuts a zone off from all others, or connects it again. Connections inside it stay
// open; those across its boundary are closed.
func (n *Network) Isolate(zone string, isolated bool) {
	n.mu.Lock()
	n.isolatedZones[zone] = isolated
	var broken []*conn
	for c := range n.conns {
		if n.crossesIsolation(c.from, c.to) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.Close()
	}
}

// CloseAll closes every connection.
func (n *Network) CloseAll() {
	n.mu.Lock()
	var all []*conn
	for c := range n.conns {
		all = append(all, c)
	}
	n.mu.Unlock()
	for _, c := range all {
		c.Close()
	}
}

// callerKey is the context key of the host that sent a request.
type callerKey struct{}

// Caller returns the name of the host that sent a request.
func Caller(r *http.Request) string {
	name, _ := r.Context().Value(callerKey{}).(string)
	return name
}

// Serve serves HTTP requests to an address until stop is called.
func (n *Network) Serve(addr string, handler http.Handler) (stop func()) {
	server := &http.Server{Handler: handler, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, callerKey{}, c.(*conn).from)
	}}
	done := make(chan struct{})
	l := n.Listen(addr)
	go func() { defer close(done); _ = server.Serve(l) }()
	return func() { server.Close(); <-done }
}
