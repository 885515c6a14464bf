// Package link creates the HTTP clients that the controllers use. They limit their
// connections, do not follow redirects and never retry a request by themselves.
package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cedardoor/clock"
	"cedardoor/wire"
)

// idleTimeout is the time after which an idle connection is closed.
const idleTimeout = 60 * time.Second

// ErrTooLarge means that a response is larger than the caller allows.
var ErrTooLarge = errors.New("response too large")

// Dial opens all connections to other hosts. A client keeps the function that is set
// when the client is created; tests set one that connects to an in-memory network.
var Dial = (&net.Dialer{KeepAlive: -1}).DialContext

// NewClient returns an HTTP client that opens at most maxPerHost connections to a host and
// keeps at most maxIdle idle connections in all (0: no total limit). It sends no
// keep-alive probes: idle connections are closed after idleTimeout, and every request
// has its own timeout.
func NewClient(dialTimeout clock.Micros, maxPerHost, maxIdle int) *http.Client {
	return NewCountedClient(dialTimeout, maxPerHost, maxIdle, nil)
}

// NewCountedClient is like NewClient, but counts the open connections in open unless that is nil.
func NewCountedClient(dialTimeout clock.Micros, maxPerHost, maxIdle int, open *atomic.Int64) *http.Client {
	dial := Dial
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
				defer cancel()
				conn, err := dial(ctx, network, addr)
				if err != nil || open == nil {
					return conn, err
				}
				open.Add(1)
				return &countedConn{Conn: conn, open: open}, nil
			},
			MaxConnsPerHost:     maxPerHost,
			MaxIdleConnsPerHost: maxPerHost,
			MaxIdleConns:        maxIdle,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// countedConn is a connection that counts as open until it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// Call sends a request with a MessagePack body, or without a body if it is nil. It reads
// a response body of up to maxBytes. NotSent reports whether an error means that the
// request can't have arrived.
func Call(ctx context.Context, client *http.Client, method, url string, body any, maxBytes int64) (status int, response []byte, err error) {
	req, err := newRequest(ctx, method, url, body)
	if err != nil {
		return 0, nil, err
	}
	return do(client, req, maxBytes)
}

// CallOnce is like Call, but closes the connection afterwards.
func CallOnce(ctx context.Context, client *http.Client, method, url string, body any, maxBytes int64) (status int, response []byte, err error) {
	req, err := newRequest(ctx, method, url, body)
	if err != nil {
		return 0, nil, err
	}
	req.Close = true
	return do(client, req, maxBytes)
}

// newRequest creates a request with a MessagePack body, or without a body if it is nil.
func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var payload io.Reader
	if body != nil {
		raw, err := wire.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
		payload = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", wire.ContentType)
		// With GetBody, the transport may retry a request that may have been executed.
		req.GetBody = nil
	}
	return req, nil
}

// do sends a request and reads a response body of up to maxBytes.
func do(client *http.Client, req *http.Request, maxBytes int64) (status int, response []byte, err error) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	response, err = io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return resp.StatusCode, nil, fmt.Errorf("read response: %w", err)
	}
	if int64(len(response)) > maxBytes {
		return resp.StatusCode, nil, ErrTooLarge
	}
	return resp.StatusCode, response, nil
}

// NotSent reports whether a call failed before it could have reached the other side. It
// relies on an abandoned connection attempt not completing later.
func NotSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
