package cedardoor

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cedardoor/agent"
	"cedardoor/clock"
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

// When connections run short, heartbeats are still answered: their answers ask for
// a close, idle connections make way, and what has no room is turned away at
// once instead of hanging in the backlog.
func TestConnectionsRunShort(t *testing.T) {
	const most = 16
	in := scripted{make(chan net.Conn, 2*most)}
	g := newGate(in, most, clock.New(clockwork.NewFakeClock()), slog.New(slog.NewTextHandler(io.Discard, nil)))
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
		agent.ServeHeartbeat(&Service{}, g.Short)(rec, httptest.NewRequest(http.MethodPost, wire.PathBeat, bytes.NewReader(body[:len(body)-1])))
		return rec
	}
	var far []net.Conn
	var near []net.Conn
	for i := range most {
		if closing := heartbeat().Header().Get("Connection") == "close"; closing != (i > most-most/8) {
			t.Errorf("with %d of %d connections, the answer to a heartbeat asks for a close: %t", i, most, closing)
		}
		far = append(far, dial())
		c, err := g.Accept()
		if err != nil {
			t.Fatal(err)
		}
		near = append(near, c)
	}
	g.note(near[3], http.StateIdle)
	g.note(near[5], http.StateIdle)
	g.note(near[3], http.StateActive)
	dial()
	if _, err := g.Accept(); err != nil || !closed(far[5]) || closed(far[3]) {
		t.Fatalf("the idle connection did not make way: %v", err)
	}
	away := dial()
	close(in.conns)
	if _, err := g.Accept(); err == nil || !closed(away) {
		t.Error("a connection without room was not turned away at once")
	}
	// What ends makes room, and ends once only.
	near[0].Close()
	near[0].Close()
	near[5].Close()
	if g.open != most-1 {
		t.Errorf("%d connections counted, want %d", g.open, most-1)
	}
}

// Whatever a process may open, the parts stay within it.
func TestSocketsAreDivided(t *testing.T) {
	for _, limit := range []int{64, 256, 1200, 2061, 2858, 4096} {
		s := divide(limit)
		if sum := s.flights + s.probes + s.kept + s.gate + min(own, limit/4); sum > limit || s.gate < limit/3 {
			t.Errorf("of %d: %+v", limit, s)
		}
	}
}
