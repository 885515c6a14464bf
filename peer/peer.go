// Package peer carries what controllers say to each other, in gob over TCP.
package peer

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"cedardoor/internal/link"
)

// Limits on what a stranger can make this node hold.
const (
	maxConns   = 32
	maxMessage = 80 << 10
	idleLimit  = 60 * time.Second
)

// limited fails a gob stream whose current message is too large.
type limited struct {
	r    io.Reader
	left int
}

func (l *limited) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errors.New("peer message too large")
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// Serve answers the other controllers until ctx ends. A stream that is broken
// or from a stranger ends that connection only.
func Serve(ctx context.Context, ln net.Listener, handle func(ctx context.Context, a Request) Response, log *slog.Logger) {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	slots := make(chan struct{}, maxConns)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			log.Debug("accept peer", "error", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(50 * time.Millisecond):
			}
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		go func() {
			defer func() { conn.Close(); <-slots }()
			in := &limited{r: conn}
			dec, enc := gob.NewDecoder(in), gob.NewEncoder(conn)
			for ctx.Err() == nil {
				in.left = maxMessage
				_ = conn.SetReadDeadline(time.Now().Add(idleLimit))
				var request wireRequest
				if err := dec.Decode(&request); err != nil {
					if !errors.Is(err, io.EOF) {
						log.Debug("peer stream", "error", err)
					}
					return
				}
				response := handle(ctx, request.toRequest())
				_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
				if err := enc.Encode(response.toWire()); err != nil {
					return
				}
			}
		}()
	}
}

// Link asks one other controller, over one connection made when needed.
type Link struct {
	addr string
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	turn chan struct{} // one question at a time: holds the right to the connection
	conn net.Conn
	in   *limited
	enc  *gob.Encoder
	dec  *gob.Decoder
}

// NewLink makes a Link that is not yet connected.
func NewLink(addr string) *Link {
	return &Link{addr: addr, dial: link.Dial, turn: make(chan struct{}, 1)}
}

// Call sends a question and waits for its turn and its reply until ctx's deadline.
func (l *Link) Call(ctx context.Context, a Request) (Response, error) {
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
	}
	if err := ctx.Err(); err != nil {
		return Response{}, fmt.Errorf("ask %s: %w", l.addr, err)
	}
	fresh := l.conn == nil
	r, err := l.try(ctx, a)
	if err != nil && !fresh && ctx.Err() == nil {
		// The old connection had gone stale: once more on a new one.
		r, err = l.try(ctx, a)
	}
	if err != nil {
		return Response{}, fmt.Errorf("ask %s: %w", l.addr, err)
	}
	return r, nil
}

func (l *Link) try(ctx context.Context, a Request) (Response, error) {
	if l.conn == nil {
		conn, err := l.dial(ctx, "tcp", l.addr)
		if err != nil {
			return Response{}, err
		}
		l.conn, l.in = conn, &limited{r: conn}
		l.enc, l.dec = gob.NewEncoder(conn), gob.NewDecoder(l.in)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(2 * time.Second)
	}
	_ = l.conn.SetDeadline(deadline)
	l.in.left = maxMessage
	var response wireResponse
	err := l.enc.Encode(a.toWire())
	if err == nil {
		err = l.dec.Decode(&response)
	}
	if err != nil {
		// A reply to this question may still come: the connection is no good for the next.
		l.conn.Close()
		l.conn = nil
		return Response{}, err
	}
	return response.toResponse(), nil
}
