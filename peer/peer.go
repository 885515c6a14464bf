// Package peer carries what controllers say to each other, in gob over TCP.
package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"cedardoor/internal/link"
	"cedardoor/quota"
)

// Ask is a question to another controller.
type Ask struct {
	Outage    Outage
	Cancelled []string // users were told that these jobs are cancelled: a hint to the leader
	Counts    []string // how many tasks of these jobs are done and running? Only the leader knows.
	// A user's request that the asker can't serve because the state service
	// refuses it alone: answered as if it had come here.
	Method, Path string
	Body         []byte
	// What do teams use, for operators? TeamsAfter is the last one that is known already.
	Teams      bool
	TeamsAfter string
	Report     string // a kind of report for operators, empty for none
}

// ReportRecovery is how far a leader has taken over, as JSON of recovery.Report.
const ReportRecovery = "recovery"

// TeamsPage is what a leader tells of the teams. It travels encoded by itself: each
// connection between controllers would else carry and compile its types, though
// operators seldom ask.
type TeamsPage struct {
	Teams []quota.TeamReport // by name
	More  bool               // there are further teams
}

// Encode makes the form in which a page travels.
func (p *TeamsPage) Encode() ([]byte, error) {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(p); err != nil {
		return nil, fmt.Errorf("encode teams: %w", err)
	}
	return out.Bytes(), nil
}

// DecodeTeamsPage reads a page as it travels.
func DecodeTeamsPage(raw []byte) (p TeamsPage, err error) {
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&p); err != nil {
		return p, fmt.Errorf("decode teams: %w", err)
	}
	return p, nil
}

// Outage is a leader's question whether the state service refuses the other
// controller too, and what it knows to be cancelled.
type Outage struct {
	Asked bool
	Lead  uint64 // the stamp of the lead key under which the asker leads
	Epoch uint64 // up to which it knows the changes of jobs
}

// Word is the answer to an Outage: an attestation, or nothing.
type Word struct {
	Attests bool // the service refuses this node, which knows no later leader, and Cancelled is whole
	// Cancelled are the jobs that this node has told users are cancelled, or may
	// be about to, by changes after the asker's epoch or of unknown outcome.
	Cancelled []string
}

// Reply is its answer.
type Reply struct {
	Word   Word
	Counts map[string][2]int
	Status int
	Body   []byte
	Teams  []byte // a TeamsPage; empty unless the sender leads
	Report []byte // the report that was asked for; empty unless the sender leads
	Epoch  uint64 // of the cancel of the job that a user's request was about, if it was cancelled
}

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
func Serve(ctx context.Context, ln net.Listener, handle func(ctx context.Context, a Ask) Reply, log *slog.Logger) {
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
				var a Ask
				if err := dec.Decode(&a); err != nil {
					if !errors.Is(err, io.EOF) {
						log.Debug("peer stream", "error", err)
					}
					return
				}
				r := handle(ctx, a)
				_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
				if err := enc.Encode(r); err != nil {
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

// Ask sends a question and waits for its turn and its reply until ctx's deadline.
func (l *Link) Ask(ctx context.Context, a Ask) (Reply, error) {
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
	}
	if err := ctx.Err(); err != nil {
		return Reply{}, fmt.Errorf("ask %s: %w", l.addr, err)
	}
	fresh := l.conn == nil
	r, err := l.try(ctx, a)
	if err != nil && !fresh && ctx.Err() == nil {
		// The old connection had gone stale: once more on a new one.
		r, err = l.try(ctx, a)
	}
	if err != nil {
		return Reply{}, fmt.Errorf("ask %s: %w", l.addr, err)
	}
	return r, nil
}

func (l *Link) try(ctx context.Context, a Ask) (Reply, error) {
	if l.conn == nil {
		conn, err := l.dial(ctx, "tcp", l.addr)
		if err != nil {
			return Reply{}, err
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
	var r Reply
	err := l.enc.Encode(a)
	if err == nil {
		err = l.dec.Decode(&r)
	}
	if err != nil {
		// A reply to this question may still come: the connection is no good for the next.
		l.conn.Close()
		l.conn = nil
		return Reply{}, err
	}
	return r, nil
}
