// Package connlimit keeps the connections of a process within the number that it may open.
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

// minLogInterval is the least time between log lines about connections that were rejected.
const minLogInterval = 10 * clock.Second

// Listener is the listener of users and workers. It keeps their connections within a budget, which the
// process's idle connections to workers share. When connections become scarce, first the idle ones to
// workers are closed, then responses to heartbeats ask the workers to close theirs, then a new
// connection replaces the one that has been idle for longest. If none is idle, a new connection is
// reset at once: the load balancer and the workers turn to another controller sooner than if it waited
// in the backlog.
type Listener struct {
	net.Listener
	maxConnections int // idle connections to workers included
	workers        WorkerConnections
	clock          *clock.Clock
	log            *slog.Logger

	mu       sync.Mutex // guards the fields below
	open     int
	idle     *list.List // of *trackedConn, the longest idle first
	rejected int
	loggedAt clock.Micros // when rejections were last logged; zero: never
}

// WorkerConnections are the process's own connections to workers. Those in use have a budget of their
// own; those that are idle share the listener's.
type WorkerConnections struct {
	Client   *agent.Client
	MaxInUse int // connections that may be in use
	MinIdle  int // idle connections that are kept as long as there is room for them
}

// New makes a Listener that keeps at most maxConnections of those that inner accepts.
func New(inner net.Listener, maxConnections int, workers WorkerConnections, clk *clock.Clock, log *slog.Logger) *Listener {
	return &Listener{Listener: inner, maxConnections: maxConnections, workers: workers, clock: clk, log: log, idle: list.New()}
}

// idle is the number of connections to workers that count for the listener's budget.
func (w WorkerConnections) idle() int { return max(0, w.Client.OpenConnections()-w.MaxInUse) }

// openConnections is the number of connections of users and workers.
func (l *Listener) openConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// ClientConnectionsScarce tells whether so many connections are open that those which are cheap to make
// again should be closed after use. It closes idle connections to workers first.
func (l *Listener) ClientConnectionsScarce() bool {
	open, limit := l.openConnections(), l.maxConnections-l.maxConnections/8
	if open <= limit && open+l.workers.idle() > limit {
		l.workers.Client.CloseIdleConnections()
	}
	return open > limit
}

// IdleConnectionsScarce tells whether connections to workers should be closed after use.
func (l *Listener) IdleConnectionsScarce() bool {
	idle := l.workers.idle()
	return idle > l.workers.MinIdle && l.openConnections()+idle > l.maxConnections-l.maxConnections/4
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked := l.admit(conn); tracked != nil {
			return tracked, nil
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // so that closing resets the connection
		}
		conn.Close()
	}
}

// admit takes a connection in, in place of an idle one if necessary; nil if there is no room for it.
func (l *Listener) admit(conn net.Conn) *trackedConn {
	if idle := l.workers.idle(); idle > 0 && l.openConnections()+idle >= l.maxConnections {
		l.workers.Client.CloseIdleConnections()
	}
	tracked, replaced := l.track(conn)
	switch {
	case tracked == nil:
		l.logRejection()
	case replaced != nil:
		replaced.Conn.Close()
	}
	return tracked
}

// track counts a connection. If the budget is used up it replaces the longest idle connection, which
// the caller has to close; if there is none, tracked is nil.
func (l *Listener) track(conn net.Conn) (tracked, replaced *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.maxConnections {
		longestIdle := l.idle.Front()
		if longestIdle == nil {
			l.rejected++
			return nil, nil
		}
		replaced = longestIdle.Value.(*trackedConn)
		l.untrack(replaced)
	}
	l.open++
	return &trackedConn{Conn: conn, listener: l}, replaced
}

// untrack no longer counts a connection. The caller holds mu.
func (l *Listener) untrack(c *trackedConn) {
	if c.untracked {
		return
	}
	c.untracked = true
	l.open--
	l.markInUse(c)
}

// markInUse removes a connection from the idle ones, if it is among them. The caller holds mu.
func (l *Listener) markInUse(c *trackedConn) {
	if c.idleElement != nil {
		l.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// logRejection logs that connections are rejected, now and then.
func (l *Listener) logRejection() {
	l.mu.Lock()
	rejected, now := l.rejected, l.clock.Now()
	due := l.loggedAt == 0 || now-l.loggedAt > minLogInterval
	if due {
		l.loggedAt = now
	}
	l.mu.Unlock()
	if due {
		l.log.Info("connections rejected: limit reached", "limit", l.maxConnections, "rejected", rejected)
	}
}

// ConnState tracks which connections are idle. It is meant for an http.Server's ConnState.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.untracked:
	case state == http.StateIdle && c.idleElement == nil:
		c.idleElement = l.idle.PushBack(c)
	case state == http.StateActive:
		l.markInUse(c)
	}
}

// trackedConn is a connection that the listener counts.
type trackedConn struct {
	net.Conn
	listener *Listener

	// The listener's mu guards the fields below.
	idleElement *list.Element // in the listener's idle; nil while the connection is in use
	untracked   bool
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	c.listener.untrack(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
