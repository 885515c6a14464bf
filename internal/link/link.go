// Package link makes the HTTP clients that the controllers use: connections
// are bounded, redirects are not followed, and nothing is sent twice unasked.
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

// ErrTooLarge means that an answer went over its bound.
var ErrTooLarge = errors.New("answer too large")

// Dial makes every connection to other hosts. Whoever makes clients keeps the
// function that is set at that time; tests set one to a network in memory.
var Dial = (&net.Dialer{KeepAlive: -1}).DialContext

// Client makes an HTTP client with at most perHost connections to a host, and
// idle ones kept in all (0: as many as that). Idle ones are not probed: they are
// closed after a minute, and every call has its own end.
func Client(dial clock.Micros, perHost, idle int) *http.Client {
	return Counted(dial, perHost, idle, nil)
}

// Counted is Client for connections that a counter follows, if there is one.
func Counted(dial clock.Micros, perHost, idle int, open *atomic.Int64) *http.Client {
	connect := Dial
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, dial.Duration())
				defer cancel()
				c, err := connect(ctx, network, addr)
				if err != nil || open == nil {
					return c, err
				}
				open.Add(1)
				return &counted{Conn: c, open: open}, nil
			},
			MaxConnsPerHost:     perHost,
			MaxIdleConnsPerHost: perHost,
			MaxIdleConns:        idle,
			IdleConnTimeout:     60 * time.Second,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// counted is a connection that a counter follows.
type counted struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *counted) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// Call sends a MessagePack request (a nil body: none) and reads the answer, up
// to a bound. After an error, NotSent tells whether the request cannot have arrived.
func Call(ctx context.Context, hc *http.Client, method, url string, body any, bound int64) (status int, answer []byte, err error) {
	return call(ctx, hc, method, url, body, bound, false)
}

// CallOnce is Call over a connection that is not kept afterwards.
func CallOnce(ctx context.Context, hc *http.Client, method, url string, body any, bound int64) (status int, answer []byte, err error) {
	return call(ctx, hc, method, url, body, bound, true)
}

func call(ctx context.Context, hc *http.Client, method, url string, body any, bound int64, once bool) (status int, answer []byte, err error) {
	var payload io.Reader
	if body != nil {
		raw, err := wire.Marshal(body)
		if err != nil {
			return 0, nil, fmt.Errorf("encode request: %w", err)
		}
		payload = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return 0, nil, fmt.Errorf("make request: %w", err)
	}
	req.Close = once
	if body != nil {
		req.Header.Set("Content-Type", wire.ContentType)
		// A request that may have been carried out is not repeated behind the books' back.
		req.GetBody = nil
	}
	resp, err := hc.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(resp.Body, bound+1))
	if err != nil {
		return resp.StatusCode, nil, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(answer)) > bound {
		return resp.StatusCode, nil, ErrTooLarge
	}
	return resp.StatusCode, answer, nil
}

// NotSent tells whether a call failed before it could have reached the other
// side: a connection attempt that was given up does not complete later.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
