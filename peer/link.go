package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"cedardoor/internal/link"
)

// defaultCallTimeout bounds a call whose context has no deadline.
const defaultCallTimeout = 2 * time.Second

// Link calls one other controller, over one connection that is made when needed.
type Link struct {
	addr string
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	turn chan struct{} // one call at a time: holds the right to conn
	conn *connection   // nil while there is none
}

// NewLink makes a Link that is not yet connected.
func NewLink(addr string) *Link {
	return &Link{addr: addr, dial: link.Dial, turn: make(chan struct{}, 1)}
}

// Call sends a request and waits for its turn and its response until ctx's deadline.
func (l *Link) Call(ctx context.Context, request Request) (Response, error) {
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
	}
	if err := ctx.Err(); err != nil {
		return Response{}, fmt.Errorf("call controller at %s: %w", l.addr, err)
	}
	reused := l.conn != nil
	response, err := l.exchange(ctx, request)
	if err != nil && reused && ctx.Err() == nil {
		// The old connection had gone stale: once more on a new one.
		response, err = l.exchange(ctx, request)
	}
	if err != nil {
		return Response{}, fmt.Errorf("call controller at %s: %w", l.addr, err)
	}
	return response, nil
}

// exchange sends a request and reads its response, on the connection that there is or a new one.
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
		// The response to this request may still come: the connection is no good for the next.
		l.conn.Close()
		l.conn = nil
		return Response{}, err
	}
	return response.toResponse(), nil
}
