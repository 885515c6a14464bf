package connlimit

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"cedardoor/agent"
	"cedardoor/clock"
	"cedardoor/internal/link"
	"cedardoor/internal/standin"
	"cedardoor/wire"

	"github.com/jonboulle/clockwork"
)

// scripted is a listener whose connections a test makes.
type scripted struct{ conns chan net.Conn }

func (s scripted) Accept() (net.Conn, error) {
	c, ok := <-s.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (s scripted) Close() error   { return nil }
func (s scripted) Addr() net.Addr { return &net.TCPAddr{} }

// nobodyLeads answers no heartbeat.
type nobodyLeads struct{}

func (nobodyLeads) Heartbeat(*wire.Heartbeat) (wire.HeartbeatResponse, bool) {
	return wire.HeartbeatResponse{}, false
}
func (nobodyLeads) Leader() string { return "" }

// When connections run short, heartbeats are still answered: their answers ask for
// a close, idle connections make way, and what has no room is turned away at
// once instead of hanging in the backlog.
func TestConnectionsRunShort(t *testing.T) {
	const most = 16
	in := scripted{make(chan net.Conn, 2*most)}
	limited := New(in, most, WorkerConnections{Client: agent.NewClient(1)}, clock.New(clockwork.NewFakeClock()), slog.New(slog.NewTextHandler(io.Discard, nil)))
	dial := func() (far net.Conn) {
		far, near := net.Pipe()
		in.conns <- near
		return far
	}
	closed := func(c net.Conn) bool {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // no waiting: an end is told before a deadline
		_, err := c.Read(make([]byte, 1))
		return err == io.EOF
	}
	heartbeat := func() *httptest.ResponseRecorder {
		rec := httptest.NewRecorder()
		body, _ := wire.Marshal(map[string]any{"host": "n-1", "tenure": 1, "tally": 1, "warrant": 0, "pieces": []any{}})
		agent.ServeHeartbeat(nobodyLeads{}, limited.ClientConnectionsScarce)(rec, httptest.NewRequest(http.MethodPost, wire.PathHeartbeat, bytes.NewReader(body[:len(body)-1])))
		return rec
	}
	var far []net.Conn
	var near []net.Conn
	for i := range most {
		if closing := heartbeat().Header().Get("Connection") == "close"; closing != (i > most-most/8) {
			t.Errorf("with %d of %d connections, the answer to a heartbeat asks for a close: %t", i, most, closing)
		}
		far = append(far, dial())
		c, err := limited.Accept()
		if err != nil {
			t.Fatal(err)
		}
		near = append(near, c)
	}
	limited.ConnState(near[3], http.StateIdle)
	limited.ConnState(near[5], http.StateIdle)
	limited.ConnState(near[3], http.StateActive)
	dial()
	if _, err := limited.Accept(); err != nil || !closed(far[5]) || closed(far[3]) {
		t.Fatalf("the idle connection did not make way: %v", err)
	}
	away := dial()
	close(in.conns)
	if _, err := limited.Accept(); err == nil || !closed(away) {
		t.Error("a connection without room was not turned away at once")
	}
	// What ends makes room, and ends once only.
	near[0].Close()
	near[0].Close()
	near[5].Close()
	if limited.open != most-1 {
		t.Errorf("%d connections counted, want %d", limited.open, most-1)
	}
}

// Whatever a process may open, the parts stay within it. Idle connections to workers
// have no part of their own, they stand in the clients'.
func TestSocketsAreDivided(t *testing.T) {
	for _, limit := range []int{64, 256, 1200, 2061, 2858, 4096} {
		b := NewBudget(limit, 80)
		if sum := b.Commands + b.Probes + b.ClientConnections + min(ownConns, limit/4); sum > limit || b.ClientConnections < limit/3 || b.IdleWorkerConnections >= b.ClientConnections || b.IdleWorkerConnections > 240 {
			t.Errorf("of %d: %+v", limit, b)
		}
	}
}

// Connections to workers are kept when idle while there is room. As others come they
// are no longer kept, and those that are there make way before an answer to a
// heartbeat asks for a close, and before anybody is turned away.
func TestIdleConnectionsToWorkersMakeWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		defer network.CloseAll()
		realDial := link.Dial
		link.Dial = network.Dialer("node-1")
		workers := agent.NewClient(8)
		link.Dial = realDial
		const most = 16
		in := scripted{make(chan net.Conn, most)}
		limited := New(in, most, WorkerConnections{Client: workers, MaxInUse: 2, MinIdle: 1}, clock.New(clockwork.NewFakeClock()), slog.New(slog.NewTextHandler(io.Discard, nil)))
		workers.ConnectionsScarce = limited.IdleConnectionsScarce
		body, err := wire.Marshal(wire.Heartbeat{Machine: "n-1", Endpoint: "n-1:1", MachineType: "b", Zone: "x", Incarnation: 1, Sequence: 1})
		if err != nil {
			t.Fatal(err)
		}
		ask := func() int {
			for i := range 8 {
				if _, err := workers.RequestReport(t.Context(), fmt.Sprintf("n-%d:1", i)); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
			}
			return workers.OpenConnections()
		}
		come := func(n int) {
			for range n {
				_, near := net.Pipe()
				in.conns <- near
				if _, err := limited.Accept(); err != nil {
					t.Fatal(err)
				}
			}
			synctest.Wait()
		}
		for i := range 8 {
			defer network.Serve(fmt.Sprintf("n-%d:1", i), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))()
		}
		if got := ask(); got != 8 {
			t.Fatalf("%d connections to workers are kept while there is room, want 8", got)
		}
		come(8) // 8 of 16, and 6 beyond the workers' own part
		if limited.ClientConnectionsScarce() || workers.OpenConnections() != 8 {
			t.Errorf("short: %t, kept: %d", limited.ClientConnectionsScarce(), workers.OpenConnections())
		}
		if got := ask(); got != 6 {
			t.Errorf("%d are kept, want as many as leave a quarter free", got)
		}
		come(3)
		if got := ask(); got != 3 {
			t.Errorf("%d are kept where others need the room soon, want their own part and one", got)
		}
		workers.ConnectionsScarce = nil
		if got := ask(); got != 8 {
			t.Fatalf("%d connections to workers are kept, want 8", got)
		}
		if limited.ClientConnectionsScarce() || workers.OpenConnections() != 0 {
			t.Errorf("short: %t, with %d connections to workers idle", limited.ClientConnectionsScarce(), workers.OpenConnections())
		}
		ask()
		come(5) // nobody is turned away while idle ones to workers are there
		if workers.OpenConnections() != 0 || limited.refused != 0 || limited.open != most {
			t.Errorf("%d connections to workers idle, %d held, %d turned away", workers.OpenConnections(), limited.open, limited.refused)
		}
	})
}
