// Package connlimit limits the number of connections that a process keeps open.
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

// minLogInterval is the minimum interval between log lines about rejected connections.
const minLogInterval = 10 * clock.Second

// Listener accepts connections from users and workers up to a limit, which the process's idle
// connections to workers share. As connections become scarce, the idle ones to workers are closed
// first. Then responses to heartbeats ask workers to close their connections. At the limit, a new
// connection replaces the one that has been idle for longest. If none is idle, the new connection is
// reset at once: the load balancer and the workers turn to another controller sooner than if it waited
// in the backlog.
type Listener struct {
	net.Listener
	maxConnections int // including idle connections to workers
	workers        WorkerConnections
	clock          *clock.Clock
	log            *slog.Logger

	mu       sync.Mutex // guards the fields below
	open     int
	idle     *list.List // of *trackedConn, longest idle first
	rejected int
	loggedAt clock.Micros // when a rejection was last logged; zero if never
}

// WorkerConnections describes the process's connections to workers. Those in use have a budget of
// their own; idle ones share the listener's.
type WorkerConnections struct {
	Client   *agent.Client
	MaxInUse int // maximum number of connections in use
	MinIdle  int // idle connections to keep open until users and workers need their sockets
}

// New returns a Listener that keeps open at most maxConnections of the connections that inner accepts.
func New(inner net.Listener, maxConnections int, workers WorkerConnections, clk *clock.Clock, log *slog.Logger) *Listener {
	return &Listener{Listener: inner, maxConnections: maxConnections, workers: workers, clock: clk, log: log, idle: list.New()}
}

// idle returns the number of connections to workers that count towards the listener's limit.
func (w WorkerConnections) idle() int { return max(0, w.Client.OpenConnections()-w.MaxInUse) }

// openConnections returns the number of open connections from users and workers.
func (l *Listener) openConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// ClientConnectionsScarce reports whether so many connections are open that clients that can reconnect
// cheaply should close theirs after use. If the threshold is exceeded only because of idle connections
// to workers, it closes those instead.
func (l *Listener) ClientConnectionsScarce() bool {
	open, limit := l.openConnections(), l.maxConnections-l.maxConnections/8
	if open <= limit && open+l.workers.idle() > limit {
		l.workers.Client.CloseIdleConnections()
	}
	return open > limit
}

// IdleConnectionsScarce reports whether connections to workers should be closed after use instead of
// being kept idle.
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
			_ = tcp.SetLinger(0) // makes Close reset the connection
		}
		conn.Close()
	}
}

// admit starts to track a new connection, which replaces an idle one at the limit. It returns nil if
// the connection must be rejected.
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

// track counts a new connection. At the limit, the connection that has been idle for longest no longer
// counts and is returned as replaced, for the caller to close. If none is idle, tracked is nil.
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

// untrack stops counting a connection. Further calls have no effect. The caller holds mu.
func (l *Listener) untrack(c *trackedConn) {
	if c.untracked {
		return
	}
	c.untracked = true
	l.open--
	l.markInUse(c)
}

// markInUse removes a connection from the list of idle ones, if it is there. The caller holds mu.
func (l *Listener) markInUse(c *trackedConn) {
	if c.idleElement != nil {
		l.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// logRejection logs the number of rejected connections, at most once per minLogInterval.
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

// ConnState tracks which connections are idle. It is a hook for http.Server.ConnState.
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

// trackedConn is a connection that counts towards the listener's limit.
type trackedConn struct {
	net.Conn
	listener *Listener

	// The listener's mu guards the fields below.
	idleElement *list.Element // in the listener's list of idle connections; nil while in use
	untracked   bool
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	c.listener.untrack(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
