package peer

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"
)

func TestAskAndStrangers(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(done)
		Serve(ctx, ln, func(_ context.Context, a Request) Response {
			return Response{Attestation: Attestation{Attested: a.Attestation.Requested, Cancelled: []string{"j-2"}}, Counts: map[string][2]int{a.CountsOf[0]: {4, 2}}}
		},
			slog.New(slog.NewTextHandler(io.Discard, nil)))
	}()
	defer func() { cancel(); <-done }()
	l := NewLink(ln.Addr().String())
	ask := func() {
		t.Helper()
		r, err := l.Call(t.Context(), Request{Attestation: AttestationRequest{Requested: true}, CountsOf: []string{"j-1"}})
		if err != nil || !r.Attestation.Attested || len(r.Attestation.Cancelled) != 1 || r.Counts["j-1"] != [2]int{4, 2} {
			t.Fatalf("reply %+v, %v", r, err)
		}
	}
	ask()
	stranger, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stranger.Write(bytes.Repeat([]byte("GET / HTTP/1.1\r\n\r\n"), 8)); err != nil {
		t.Fatal(err)
	}
	// The stranger's connection ends; the link's goes on.
	if n, err := stranger.Read(make([]byte, 1)); err == nil {
		t.Errorf("stranger got %d bytes", n)
	}
	ask()
	// A link whose connection has gone stale makes a new one.
	l.conn.Close()
	ask()
}

// A controller that is silent takes connections and answers nothing. No question
// to it waits beyond its own time, whoever asks before it, and no connection is
// left behind.
func TestSilentPeerHoldsNobody(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ended := make(chan struct{}, 64)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(io.Discard, conn) // until the other side ends it
				conn.Close()
				ended <- struct{}{}
			}()
		}
	}()
	l := NewLink(ln.Addr().String())
	const asks = 12
	failed := make(chan error, asks)
	for range asks {
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), 40*time.Millisecond)
			defer cancel()
			_, err := l.Call(ctx, Request{Attestation: AttestationRequest{Requested: true}})
			failed <- err
		}()
	}
	limit := time.After(5 * time.Second)
	for range asks {
		select {
		case err := <-failed:
			if err == nil {
				t.Error("a silent controller answered")
			}
		case <-limit:
			t.Fatal("a question to a silent controller still waits")
		}
	}
	if l.conn != nil {
		t.Error("its connection is kept")
	}
	select {
	case <-ended:
	case <-limit:
		t.Error("its connection was not closed")
	}
}
