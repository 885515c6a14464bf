// Package link makes the HTTP clients that the controllers use: connections
// are bounded, redirects are not followed, and no request is sent twice by itself.
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

// idleTimeout is how long a connection without requests is kept.
const idleTimeout = 60 * time.Second

// ErrTooLarge means that a response is larger than its caller allows.
var ErrTooLarge = errors.New("response too large")

// Dial makes every connection to other hosts. A client keeps the function that is
// set when it is made; tests set one to a network in memory.
var Dial = (&net.Dialer{KeepAlive: -1}).DialContext

// Client makes an HTTP client with at most maxPerHost connections to a host, and
// keeps up to maxIdle idle ones in all (0: without a bound of its own). Idle ones are
// not probed: they are closed after idleTimeout, and every request has its own timeout.
func Client(dialTimeout clock.Micros, maxPerHost, maxIdle int) *http.Client {
	return Counted(dialTimeout, maxPerHost, maxIdle, nil)
}

// Counted is Client, with a count of the open connections in open unless that is nil.
func Counted(dialTimeout clock.Micros, maxPerHost, maxIdle int, open *atomic.Int64) *http.Client {
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

// countedConn is a connection that is counted until it is closed.
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

// Call sends a MessagePack request (a nil body: none) and reads the response's body,
// up to maxBytes. After an error, NotSent tells whether the request cannot have arrived.
func Call(ctx context.Context, client *http.Client, method, url string, body any, maxBytes int64) (status int, response []byte, err error) {
	req, err := newRequest(ctx, method, url, body)
	if err != nil {
		return 0, nil, err
	}
	return do(client, req, maxBytes)
}

// CallOnce is Call over a connection that is closed afterwards.
func CallOnce(ctx context.Context, client *http.Client, method, url string, body any, maxBytes int64) (status int, response []byte, err error) {
	req, err := newRequest(ctx, method, url, body)
	if err != nil {
		return 0, nil, err
	}
	req.Close = true
	return do(client, req, maxBytes)
}

// newRequest makes a request with a MessagePack body, if there is one.
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
		return nil, fmt.Errorf("make request: %w", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", wire.ContentType)
		// The transport would else repeat a request that may have been executed.
		req.GetBody = nil
	}
	return req, nil
}

// do sends a request and reads the response's body, up to maxBytes.
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

// NotSent tells whether a call failed before it could have reached the other
// side: a connection attempt that was given up does not complete later.
func NotSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
