package standin

import (
	"bytes"
	"context"
	"net"
	"sync"
)

// address is a net.Addr of the in-memory network.
type address string

func (address) Network() string { return "memory" }

func (a address) String() string { return string(a) }

// listener accepts connections to an address.
type listener struct {
	network *Network
	addr    string
	queue   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// conn is one end of a connection. It knows the hosts at both ends.
type conn struct {
	net.Conn
	network  *Network
	from, to string
}

func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
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
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

// bufferedPipe returns the ends of a connection that buffers what either end sends, as real
// hosts do, and delivers it while its direction is not held.
func (n *Network) bufferedPipe(from, to string) (here, there net.Conn) {
	here, near := net.Pipe()
	far, there := net.Pipe()
	go n.forward(from, to, near, far)
	go n.forward(to, from, far, near)
	return here, there
}

// forward delivers what one end sends, in order, and then closes the other end.
func (n *Network) forward(from, to string, src, dst net.Conn) {
	var mu sync.Mutex
	var queue [][]byte // a nil chunk: the sender has closed
	more := make(chan struct{}, 1)
	go func() {
		for buf := make([]byte, 4096); ; {
			count, err := src.Read(buf)
			mu.Lock()
			if count > 0 {
				queue = append(queue, bytes.Clone(buf[:count]))
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
		received := queue
		queue = nil
		mu.Unlock()
		for _, chunk := range received {
			n.Await(context.Background(), from, to)
			if chunk == nil {
				dst.Close()
				return
			}
			_, _ = dst.Write(chunk) // the receiver may have closed
		}
	}
}
