// Package peer implements the messages between controllers, in gob over TCP. A connection
// serves one request at a time.
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
	// maxConnections is the maximum number of connections served at once; further ones are closed.
	maxConnections = 32
	// idleTimeout is the time after which a connection without a request is closed.
	idleTimeout = 60 * time.Second
	// writeTimeout limits the time to write a response.
	writeTimeout = 5 * time.Second
	// acceptRetryInterval is the delay before the next attempt to accept after an error.
	acceptRetryInterval = 50 * time.Millisecond
)

// Handler serves a request of another controller.
type Handler func(ctx context.Context, request Request) Response

// Serve serves connections of other controllers until ctx is done. A broken or foreign
// stream ends only its own connection. Connections that are open when ctx is done are
// closed after their current request or their idle timeout.
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
		log.Debug("accepting a peer connection failed", "error", err)
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
	slots  chan struct{} // semaphore: holds an element for each open connection
}

// start serves a connection in the background, or closes it if too many are open.
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

// serve serves one request of a connection after another.
func (s *server) serve(ctx context.Context, conn *connection) {
	for ctx.Err() == nil {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		var request wireRequest
		if err := conn.receive(&request); err != nil {
			if !errors.Is(err, io.EOF) {
				s.log.Debug("reading a peer request failed", "remote", conn.RemoteAddr(), "error", err)
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
