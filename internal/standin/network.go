package standin

import (
	"bytes"
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

// Network joins hosts in memory, so that whole services run on a test's own
// clock. It knows who dials whom and can cut each pair.
type Network struct {
	// Latency is how long a message between two hosts takes.
	Latency func(from, to string) time.Duration
	// Queues lets connections hold what is sent while their hosts are held apart.
	// It is set before the first connection is made.
	Queues bool

	mu        sync.Mutex // guards all below
	listeners map[string]*listener
	cut       map[[2]string]bool
	zones     map[string]string // of the hosts that are in one
	apart     map[string]bool   // zones that are cut off from all else
	conns     map[*conn]bool
	held      map[[2]string]int // from which host to which messages wait, and how often
	heldZones map[edge]int      // over the edge of which zones, and which way
	joined    chan struct{}     // closed when one of these changes
}

// NewNetwork makes a network without hosts.
func NewNetwork() *Network {
	return &Network{Latency: func(string, string) time.Duration { return 0 },
		listeners: map[string]*listener{}, cut: map[[2]string]bool{}, zones: map[string]string{}, apart: map[string]bool{}, conns: map[*conn]bool{},
		held: map[[2]string]int{}, heldZones: map[edge]int{}, joined: make(chan struct{})}
}

type address string

func (address) Network() string  { return "memory" }
func (a address) String() string { return string(a) }

type listener struct {
	n      *Network
	addr   string
	queue  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// conn is one end of a connection, which knows who made it.
type conn struct {
	net.Conn
	n        *Network
	from, to string
}

func (c *conn) Close() error {
	c.n.mu.Lock()
	delete(c.n.conns, c)
	c.n.mu.Unlock()
	return c.Conn.Close()
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.n.mu.Lock()
		delete(l.n.listeners, l.addr)
		l.n.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

// Listen takes connections to an address.
func (n *Network) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{n: n, addr: addr, queue: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// Dialer makes connections for one host. Attempts over a cut wait until they
// are given up; nobody listening refuses them.
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
		if n.Cut(from, addr) {
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
		if n.Queues {
			here, there = n.queued(from, addr)
		}
		mine := &conn{Conn: here, n: n, from: from, to: addr}
		select {
		case l.queue <- &conn{Conn: there, n: n, from: from, to: addr}:
		case <-l.closed:
			return fail(syscall.ECONNREFUSED)
		case <-ctx.Done():
			return fail(ctx.Err())
		}
		n.mu.Lock()
		n.conns[mine] = true
		n.mu.Unlock()
		return mine, nil
	}
}

// SetCut cuts a pair of hosts, or joins it again. An address "" stands for all:
// the host from is then off the network. Connections over a new cut break.
func (n *Network) SetCut(from, to string, yes bool) {
	n.mu.Lock()
	n.cut[[2]string{from, to}] = yes
	var broken []*conn
	for c := range n.conns {
		if yes && c.from == from && (to == "" || c.to == to) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.Close()
	}
}

// Cut tells whether nothing passes between two hosts.
func (n *Network) Cut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}] || n.cut[[2]string{from, ""}] || n.beyond(from, to)
}

// beyond tells whether the edge of a zone that is cut off lies between two
// hosts. The caller holds mu.
func (n *Network) beyond(from, to string) bool {
	a, b := n.zones[host(from)], n.zones[host(to)]
	return a != b && (n.apart[a] || n.apart[b])
}

// host is the name of a host by its address, or by that of a process on it.
func host(addr string) string {
	if i := strings.IndexAny(addr, ":/"); i >= 0 {
		return addr[:i]
	}
	return addr
}

// Place puts a host into a zone. A host without one belongs to the region.
func (n *Network) Place(name, zone string) { n.mu.Lock(); defer n.mu.Unlock(); n.zones[name] = zone }

// Isolate cuts a zone off from all else, or joins it again. Inside it, all goes
// on. Connections over the edge break.
func (n *Network) Isolate(zone string, yes bool) {
	n.mu.Lock()
	n.apart[zone] = yes
	var broken []*conn
	for c := range n.conns {
		if n.beyond(c.from, c.to) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.Close()
	}
}

// Way tells which messages a hold lets wait.
type Way int

// The ways of a hold between two hosts, or over the edge of a zone.
const (
	BothWays Way = iota
	Out          // from the first host to the second, or out of the zone
	In           // from the second host to the first, or into the zone
)

// edge is that of a zone, in one direction.
type edge struct {
	zone string
	out  bool
}

// Hold lets messages between two hosts wait, or no longer. They arrive in order
// afterwards, also when their sender has closed the connection. Holds add up.
func (n *Network) Hold(a, b string, way Way, yes bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, b = host(a), host(b)
	if way != In {
		count(n.held, [2]string{a, b}, yes)
	}
	if way != Out {
		count(n.held, [2]string{b, a}, yes)
	}
	n.rejoin()
}

// HoldZone lets messages over the edge of a zone wait, or no longer.
func (n *Network) HoldZone(zone string, way Way, yes bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if way != In {
		count(n.heldZones, edge{zone, true}, yes)
	}
	if way != Out {
		count(n.heldZones, edge{zone, false}, yes)
	}
	n.rejoin()
}

func count[K comparable](m map[K]int, key K, yes bool) {
	if yes {
		m[key]++
	} else {
		m[key]--
	}
}

// rejoin wakes who waits for the end of a hold. The caller holds mu.
func (n *Network) rejoin() {
	close(n.joined)
	n.joined = make(chan struct{})
}

// Held tells whether messages from one host to another wait.
func (n *Network) Held(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.waits(from, to)
}

func (n *Network) waits(from, to string) bool {
	from, to = host(from), host(to)
	a, b := n.zones[from], n.zones[to]
	return n.held[[2]string{from, to}] > 0 || a != b && (n.heldZones[edge{a, true}] > 0 || n.heldZones[edge{b, false}] > 0)
}

// Await returns once messages from one host to another pass, or false if ctx ends before.
func (n *Network) Await(ctx context.Context, from, to string) bool {
	return n.await(ctx, func() bool { return n.waits(from, to) })
}

// AwaitBoth returns once messages between two hosts pass in both directions, as
// a connection that is made needs it, or false if ctx ends before.
func (n *Network) AwaitBoth(ctx context.Context, a, b string) bool {
	return n.await(ctx, func() bool { return n.waits(a, b) || n.waits(b, a) })
}

func (n *Network) await(ctx context.Context, waits func() bool) bool {
	for {
		n.mu.Lock()
		wait, ch := waits(), n.joined
		n.mu.Unlock()
		if !wait {
			return true
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return false
		}
	}
}

// queued makes a connection that takes what either end sends, as a host's buffers
// do, and delivers it when the hosts are not held apart.
func (n *Network) queued(from, to string) (here, there net.Conn) {
	here, near := net.Pipe()
	far, there := net.Pipe()
	go n.carry(from, to, near, far)
	go n.carry(to, from, far, near)
	return here, there
}

// carry passes on in order what comes from one end, and its end last.
func (n *Network) carry(from, to string, src, dst net.Conn) {
	var mu sync.Mutex
	var queue [][]byte // nil: the sender has closed
	more := make(chan struct{}, 1)
	go func() {
		for buf := make([]byte, 4096); ; {
			k, err := src.Read(buf)
			mu.Lock()
			if k > 0 {
				queue = append(queue, bytes.Clone(buf[:k]))
			}
			if err != nil {
				queue = append(queue, nil)
			}
			mu.Unlock()
			select {
			case more <- struct{}{}:
			default:
			}
			if err != nil {
				return
			}
		}
	}()
	for range more {
		mu.Lock()
		got := queue
		queue = nil
		mu.Unlock()
		for _, b := range got {
			n.Await(context.Background(), from, to)
			if b == nil {
				dst.Close()
				return
			}
			_, _ = dst.Write(b) // the receiver may have closed
		}
	}
}

// CloseAll breaks every connection.
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

type caller struct{}

// Caller names the host that sent a request.
func Caller(r *http.Request) string { s, _ := r.Context().Value(caller{}).(string); return s }

// Serve answers HTTP requests to an address until stop is called.
func (n *Network) Serve(addr string, h http.Handler) (stop func()) {
	srv := &http.Server{Handler: h, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, caller{}, c.(*conn).from)
	}}
	done := make(chan struct{})
	l := n.Listen(addr)
	go func() { defer close(done); _ = srv.Serve(l) }()
	return func() { srv.Close(); <-done }
}
