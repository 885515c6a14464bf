// Package peer carries the messages between controllers, in gob over TCP: one
// request at a time on a connection, each with its response.
package peer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"time"
)

const (
	// maxConnections is how many connections are served at once; further ones are closed.
	maxConnections = 32
	// idleTimeout is how long a connection may be without a request.
	idleTimeout = 60 * time.Second
	// writeTimeout bounds the writing of a response.
	writeTimeout = 5 * time.Second
	// acceptRetryInterval is how long after an error connections are accepted again.
	acceptRetryInterval = 50 * time.Millisecond
)

// Handler serves a request of another controller.
type Handler func(ctx context.Context, request Request) Response

// Serve accepts connections of the other controllers until ctx ends. A stream that
// is broken or from a stranger ends that connection only. Connections that are open
// when ctx ends are closed after their current request, or their idle timeout.
func Serve(ctx context.Context, listener net.Listener, handle Handler, log *slog.Logger) {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	s := &server{handle: handle, log: log, slots: make(chan struct{}, maxConnections)}
	for {
		conn, err := listener.Accept()
		if err == nil {
			s.start(ctx, conn)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		log.Debug("peer connection not accepted", "error", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(acceptRetryInterval):
		}
	}
}

// server serves the connections of other controllers.
type server struct {
	handle Handler
	log    *slog.Logger
	slots  chan struct{} // holds an element for each connection that is served
}

// start serves a connection in the background, or closes it when too many are open.
func (s *server) start(ctx context.Context, conn net.Conn) {
	select {
	case s.slots <- struct{}{}:
	default:
		conn.Close()
		return
	}
	go func() {
		defer func() { conn.Close(); <-s.slots }()
		s.serve(ctx, newConnection(conn))
	}()
}

// serve answers one request of a connection after another.
func (s *server) serve(ctx context.Context, conn *connection) {
	for ctx.Err() == nil {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		var request wireRequest
		if err := conn.receive(&request); err != nil {
			if !errors.Is(err, io.EOF) {
				s.log.Debug("peer request not read", "remote", conn.RemoteAddr(), "error", err)
			}
			return
		}
		response := s.handle(ctx, request.toRequest())
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := conn.send(response.toWire()); err != nil {
			return
		}
	}
}
