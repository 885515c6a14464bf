// Package connlimit keeps the connections of a process within what it may open.
package connlimit

import (
	"container/list"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"cedardoor/agent"
	"cedardoor/clock"
)

// Listener is the listener of users and workers. It keeps their connections within
// a budget: when they run short, answers to heartbeats ask for the connection to be
// closed, then the longest idle connection makes way for a new one, and one for
// which none can is turned away at once, since the load balancer and workers
// turn to another node sooner than a connection in the backlog is given up.
type Listener struct {
	net.Listener
	most     int      // connections held at most, those to workers that are idle included
	outgoing WorkerConnections // those to workers
	clock    *clock.Clock
	log      *slog.Logger

	mu       sync.Mutex // guards the fields below
	open     int
	idle     *list.List   // of *trackedConn, the longest idle first
	refused  int          // connections turned away
	loggedAt clock.Micros // when the log last told of it
}

// New makes a Listener that holds at most so many connections of another one.
func New(inner net.Listener, most int, outgoing WorkerConnections, ck *clock.Clock, log *slog.Logger) *Listener {
	return &Listener{Listener: inner, most: most, outgoing: outgoing, clock: ck, log: log, idle: list.New()}
}

// WorkerConnections are a process's own connections to workers. Those in use have their own
// part of what a process may open; those that are idle share the listener's.
type WorkerConnections struct {
	Client  *agent.Client
	MaxInUse    int // that may be in use
	MinIdle int // idle ones that are kept until nothing else can make way
}

// idle is how many connections to workers stand in the listener's part.
func (o WorkerConnections) idle() int { return max(0, o.Client.OpenConnections()-o.MaxInUse) }

// held is how many connections of users and workers there are.
func (l *Listener) held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// ClientConnectionsScarce tells whether connections run short, so that those that can be made
// anew at little cost should not be kept. Idle ones to workers go first: a worker
// reports all the time, and is told something directly now and then.
func (l *Listener) ClientConnectionsScarce() bool {
	open, most := l.held(), l.most-l.most/8
	if open <= most && open+l.outgoing.idle() > most {
		l.outgoing.Client.CloseIdleConnections()
	}
	return open > most
}

// IdleConnectionsScarce tells whether connections to workers should not be kept when idle.
func (l *Listener) IdleConnectionsScarce() bool {
	idle := l.outgoing.idle()
	return idle > l.outgoing.MinIdle && l.held()+idle > l.most-l.most/4
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.admit(c); admitted != nil {
			return admitted, nil
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a refusal, not an end after an answer
		}
		c.Close()
	}
}

// admit takes a connection in, in an idle one's place if need be; nil when
// there is no room.
func (l *Listener) admit(c net.Conn) *trackedConn {
	if idle := l.outgoing.idle(); idle > 0 && l.held()+idle >= l.most {
		l.outgoing.Client.CloseIdleConnections()
	}
	l.mu.Lock()
	var out *trackedConn
	if l.open >= l.most {
		if e := l.idle.Front(); e != nil {
			out = e.Value.(*trackedConn)
			l.leave(out)
		} else {
			l.refused++
			refused, now := l.refused, l.clock.Now()
			tell := l.loggedAt == 0 || now-l.loggedAt > 10*clock.Second
			if tell {
				l.loggedAt = now
			}
			l.mu.Unlock()
			if tell {
				l.log.Info("connections run short: some are turned away", "most", l.most, "so_far", refused)
			}
			return nil
		}
	}
	l.open++
	admitted := &trackedConn{Conn: c, listener: l}
	l.mu.Unlock()
	if out != nil {
		out.Conn.Close()
	}
	return admitted
}

// leave takes a connection off the books, once. The caller holds mu.
func (l *Listener) leave(c *trackedConn) {
	if c.gone {
		return
	}
	c.gone = true
	l.open--
	if c.at != nil {
		l.idle.Remove(c.at)
		c.at = nil
	}
}

// ConnState follows which connections are idle; it is for an http.Server's ConnState.
func (l *Listener) ConnState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.gone:
	case s == http.StateIdle && c.at == nil:
		c.at = l.idle.PushBack(c)
	case s == http.StateActive && c.at != nil:
		l.idle.Remove(c.at)
		c.at = nil
	}
}

// trackedConn is a connection that the listener counts.
type trackedConn struct {
	net.Conn
	listener *Listener
	at       *list.Element // among the idle ones; guarded by the listener's lock, as gone is
	gone     bool
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	c.listener.leave(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
