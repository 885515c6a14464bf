package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to one address. While it holds, nothing is forwarded; what was sent
// is delivered in order afterwards, even if its sender has closed the connection meanwhile.
type proxy struct {
	target string
	addr   string

	mu       sync.Mutex
	held     bool
	rejects  bool
	released chan struct{} // closed when a hold ends
	conns    map[net.Conn]bool
	listener net.Listener
}

func newProxy(target string) (*proxy, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, addr: l.Addr().String(), released: make(chan struct{}), conns: map[net.Conn]bool{}, listener: l}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *proxy) forward(client net.Conn) {
	p.mu.Lock()
	rejects := p.rejects
	p.mu.Unlock()
	if rejects {
		reset(client)
		return
	}
	p.wait()
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client) })
	both.Go(func() { p.copy(client, server) })
	both.Wait()
	client.Close()
	server.Close()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// copy forwards one direction until it ends, and passes the end on.
func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// wait waits for the end of a hold.
func (p *proxy) wait() {
	for {
		p.mu.Lock()
		held, released := p.held, p.released
		p.mu.Unlock()
		if !held {
			return
		}
		<-released
	}
}

// hold begins or ends a hold.
func (p *proxy) hold(held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held && !held {
		close(p.released)
		p.released = make(chan struct{})
	}
	p.held = held
}

// cut resets all connections and those that are opened, or ends that.
func (p *proxy) cut(rejects bool) {
	p.mu.Lock()
	p.rejects = rejects
	var conns []net.Conn
	for conn := range p.conns {
		conns = append(conns, conn)
	}
	p.mu.Unlock()
	if rejects {
		for _, conn := range conns {
			reset(conn)
		}
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.hold(false)
	p.cut(true)
}
