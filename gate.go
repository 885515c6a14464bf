package cedardoor

import (
	"container/list"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"cedardoor/agent"
	"cedardoor/clock"
)

// gate is the listener of users and workers. It keeps their connections within
// a budget: when they run short, answers to heartbeats ask for the connection to be
// closed, then the longest idle connection makes way for a new one, and one for
// which none can is turned away at once, since the load balancer and workers
// turn to another node sooner than a connection in the backlog is given up.
type gate struct {
	net.Listener
	most int      // connections held at most, those to workers that are idle included
	out  outgoing // those to workers
	ck   *clock.Clock
	log  *slog.Logger

	mu   sync.Mutex // guards the fields below
	open int
	idle *list.List   // of *guest, the longest idle first
	away int          // turned away
	told clock.Micros // when the log last told of it
}

func newGate(l net.Listener, most int, out outgoing, ck *clock.Clock, log *slog.Logger) *gate {
	return &gate{Listener: l, most: most, out: out, ck: ck, log: log, idle: list.New()}
}

// outgoing are a process's own connections to workers. Those in use have their own
// part of what a process may open; those that are idle share the gate's.
type outgoing struct {
	workers *agent.Client
	own     int // that may be in use
	few     int // idle ones that are kept until nothing else can make way
}

// idle is how many connections to workers stand in the gate's part.
func (o outgoing) idle() int { return max(0, o.workers.Open()-o.own) }

// held is how many connections of users and workers there are.
func (g *gate) held() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Short tells whether connections run short, so that those that can be made
// anew at little cost should not be kept. Idle ones to workers go first: a worker
// reports all the time, and is told something directly now and then.
func (g *gate) Short() bool {
	open, most := g.held(), g.most-g.most/8
	if open <= most && open+g.out.idle() > most {
		g.out.workers.CloseIdle()
	}
	return open > most
}

// Full tells whether connections to workers should not be kept when idle.
func (g *gate) Full() bool {
	idle := g.out.idle()
	return idle > g.out.few && g.held()+idle > g.most-g.most/4
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if guest := g.admit(c); guest != nil {
			return guest, nil
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a refusal, not an end after an answer
		}
		c.Close()
	}
}

// admit takes a connection in, in an idle one's place if need be; nil when
// there is no room.
func (g *gate) admit(c net.Conn) *guest {
	if idle := g.out.idle(); idle > 0 && g.held()+idle >= g.most {
		g.out.workers.CloseIdle()
	}
	g.mu.Lock()
	var out *guest
	if g.open >= g.most {
		if e := g.idle.Front(); e != nil {
			out = e.Value.(*guest)
			g.leave(out)
		} else {
			g.away++
			away, now := g.away, g.ck.Now()
			tell := g.told == 0 || now-g.told > 10*clock.Second
			if tell {
				g.told = now
			}
			g.mu.Unlock()
			if tell {
				g.log.Info("connections run short: some are turned away", "most", g.most, "so_far", away)
			}
			return nil
		}
	}
	g.open++
	guest := &guest{Conn: c, gate: g}
	g.mu.Unlock()
	if out != nil {
		out.Conn.Close()
	}
	return guest
}

// leave takes a connection off the books, once. The caller holds mu.
func (g *gate) leave(c *guest) {
	if c.gone {
		return
	}
	c.gone = true
	g.open--
	if c.at != nil {
		g.idle.Remove(c.at)
		c.at = nil
	}
}

// note follows which connections are idle; it is an http.Server's ConnState.
func (g *gate) note(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*guest)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case c.gone:
	case s == http.StateIdle && c.at == nil:
		c.at = g.idle.PushBack(c)
	case s == http.StateActive && c.at != nil:
		g.idle.Remove(c.at)
		c.at = nil
	}
}

// guest is a connection that the gate counts.
type guest struct {
	net.Conn
	gate *gate
	at   *list.Element // among the idle ones; guarded by the gate's lock, as gone is
	gone bool
}

// Close implements net.Conn.
func (c *guest) Close() error {
	c.gate.mu.Lock()
	c.gate.leave(c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// sockets divides what a process may open: what it needs for the store, the
// cloud and the other controllers comes first, then direct commands and
// questions to workers; the rest is for users and workers.
type sockets struct {
	flights int // direct commands in flight
	probes  int // questions to workers in flight
	kept    int // idle connections to workers, at most: they make way for the gate's
	gate    int // connections of users and workers
}

// own is what a process needs besides: two listeners, the store's and the
// cloud's connections, the other controllers' both ways, files and the runtime's own.
const own = 96

// idlePerMB is how many idle connections to workers are kept for each megabyte that
// the process may hold: one takes some 35 KB, so all of them a tenth of it.
const idlePerMB = 3

func divide(limit int, memMB float64) sockets {
	s := sockets{flights: min(96, max(8, limit/32)), probes: min(64, max(8, limit/48)), kept: max(8, min(limit/4, int(memMB*idlePerMB)))}
	s.gate = max(8, limit-min(own, limit/4)-s.flights-s.probes)
	return s
}
