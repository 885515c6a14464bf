package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"cedardoor/internal/link"
)

// defaultCallTimeout limits a call whose context has no deadline.
const defaultCallTimeout = 2 * time.Second

// Link calls another controller over a single connection, which is opened on demand.
type Link struct {
	addr string
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	sem  chan struct{} // semaphore: the one call that holds it may use conn
	conn *connection   // nil if not connected
}

// NewLink returns a Link to the controller at addr, which is not connected yet.
func NewLink(addr string) *Link {
	return &Link{addr: addr, dial: link.Dial, sem: make(chan struct{}, 1)}
}

// Call sends a request and returns its response. Calls are made one at a time; the wait for other calls
// and the call itself end at ctx's deadline.
func (l *Link) Call(ctx context.Context, request Request) (Response, error) {
	select {
	case l.sem <- struct{}{}:
		defer func() { <-l.sem }()
	case <-ctx.Done():
	}
	if err := ctx.Err(); err != nil {
		return Response{}, fmt.Errorf("call controller at %s: %w", l.addr, err)
	}
	reused := l.conn != nil
	response, err := l.exchange(ctx, request)
	if err != nil && reused && ctx.Err() == nil {
		// The existing connection may have been stale: retry once on a new one.
		response, err = l.exchange(ctx, request)
	}
	if err != nil {
		return Response{}, fmt.Errorf("call controller at %s: %w", l.addr, err)
	}
	return response, nil
}

// exchange sends a request and reads its response, on the existing connection or a new one.
func (l *Link) exchange(ctx context.Context, request Request) (Response, error) {
	if l.conn == nil {
		conn, err := l.dial(ctx, "tcp", l.addr)
		if err != nil {
			return Response{}, fmt.Errorf("dial: %w", err)
		}
		l.conn = newConnection(conn)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultCallTimeout)
	}
	_ = l.conn.SetDeadline(deadline)
	var response wireResponse
	err := l.conn.send(request.toWire())
	if err == nil {
		err = l.conn.receive(&response)
	}
	if err != nil {
		// The response to this request may still arrive, so the connection can't be used for the next.
		l.conn.Close()
		l.conn = nil
		return Response{}, err
	}
	return response.toResponse(), nil
}
