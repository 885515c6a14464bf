// Package agent speaks with the workers: it serves their heartbeats and sends them
// direct commands.
package agent

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/internal/link"
	"cedardoor/wire"
)

// Client sends direct commands to workers.
type Client struct {
	http *http.Client
	open atomic.Int64 // connections to workers
	// Short, if set, tells whether connections run short, so that those to workers
	// are not kept.
	Short func() bool
}

// NewClient makes a Client that keeps at most so many connections open when idle.
func NewClient(idle int) *Client {
	c := &Client{}
	c.http = link.Counted(clock.Second, 1, idle, &c.open)
	return c
}

// Open is how many connections to workers there are.
func (c *Client) Open() int { return int(c.open.Load()) }

// CloseIdle closes the connections to workers that are idle.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// call makes a request, over a connection that is kept if there is room for it.
func (c *Client) call(ctx context.Context, method, url string, body any) (status int, answer []byte, err error) {
	if c.Short != nil && c.Short() {
		return link.CallOnce(ctx, c.http, method, url, body, maxReport)
	}
	return link.Call(ctx, c.http, method, url, body, maxReport)
}

// maxReport bounds a worker's answer.
const maxReport = 4 << 20

// Do sends commands and tells what has become of them; rep is the worker's
// report, if it gave one.
func (c *Client) Do(ctx context.Context, endpoint string, do wire.CommandRequest) (rep *wire.Heartbeat, out fleet.Outcome, err error) {
	status, body, err := c.call(ctx, http.MethodPost, "http://"+endpoint+wire.PathCommand, do)
	if err != nil {
		if link.NotSent(err) {
			out = fleet.OutcomeNotExecuted
		}
		return nil, out, fmt.Errorf("commands to %s: %w", endpoint, err)
	}
	switch status {
	case http.StatusOK, http.StatusConflict:
		b, err := wire.DecodeHeartbeat(body)
		if err != nil {
			return nil, fleet.OutcomeUnknown, fmt.Errorf("report of %s: %w", endpoint, err)
		}
		switch {
		case status == http.StatusOK:
			out = fleet.OutcomeExecuted
		case b.Token > do.Token || b.Incarnation > do.Incarnation:
			out = fleet.OutcomeNotExecuted // for ever: neither goes back
		}
		return &b, out, nil
	case http.StatusBadRequest:
		return nil, fleet.OutcomeNotExecuted, fmt.Errorf("commands to %s: refused as malformed", endpoint)
	}
	return nil, fleet.OutcomeUnknown, fmt.Errorf("commands to %s: status %d", endpoint, status)
}

// Show asks a worker for its report.
func (c *Client) Show(ctx context.Context, endpoint string) (*wire.Heartbeat, error) {
	status, body, err := c.call(ctx, http.MethodGet, "http://"+endpoint+wire.PathReport, nil)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", endpoint, err)
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("ask %s: status %d", endpoint, status)
	}
	b, err := wire.DecodeHeartbeat(body)
	if err != nil {
		return nil, fmt.Errorf("report of %s: %w", endpoint, err)
	}
	return &b, nil
}

// Steward is the leader's side of the heartbeats.
type Steward interface {
	// Heartbeat takes a report in; ok is false when this node may not answer it.
	Heartbeat(rep *wire.Heartbeat) (ans wire.HeartbeatResponse, ok bool)
	// Leader names who may, empty when unknown or this node.
	Leader() string
}

// bodies are buffers for reports, kept to be used again: the largest takes 64 KiB,
// and those that are not in use go with the next collection but one.
var bodies = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// ServeHeartbeat handles POST of a worker's report. While short tells that
// connections run short, the answer asks the worker to close its own: the next
// heartbeat is seconds away and may come on a new one.
func ServeHeartbeat(s Steward, short func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if short() {
			w.Header().Set("Connection", "close")
		}
		// Nothing of the body outlives the answer.
		body := bodies.Get().(*bytes.Buffer)
		defer bodies.Put(body)
		body.Reset()
		if _, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, wire.MaxBody)); err != nil {
			Write(w, http.StatusBadRequest, wire.Error{Error: "body too large or cut short"})
			return
		}
		rep, err := wire.DecodeHeartbeat(body.Bytes())
		if err != nil {
			Write(w, http.StatusBadRequest, wire.Error{Error: err.Error()})
			return
		}
		if ans, ok := s.Heartbeat(&rep); ok {
			Write(w, http.StatusOK, ans)
			return
		}
		if leader := s.Leader(); leader != "" {
			Write(w, http.StatusMisdirectedRequest, wire.Redirect{Leader: leader})
			return
		}
		Write(w, http.StatusServiceUnavailable, wire.Error{Error: "no leader"})
	}
}

// Write sends a MessagePack answer.
func Write(w http.ResponseWriter, status int, v any) {
	raw, err := wire.Marshal(v)
	if err != nil {
		http.Error(w, "encode", http.StatusInternalServerError)
		return
	}
	w.Header()["Content-Type"] = contentType
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// contentType is the header's value in every answer; nothing writes to it.
var contentType = []string{wire.ContentType}
