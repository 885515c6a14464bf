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

func TestCallAmongStrangers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(done)
		Serve(ctx, listener, func(_ context.Context, request Request) Response {
			return Response{
				Attestation: Attestation{Attested: request.Attestation.Requested, Cancelled: []string{"j-2"}},
				Counts:      map[string]TaskCounts{request.CountsOf[0]: {4, 2}},
			}
		}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	}()
	t.Cleanup(func() { cancel(); <-done })
	link := NewLink(listener.Addr().String())
	call := func() {
		t.Helper()
		response, err := link.Call(t.Context(), Request{Attestation: AttestationRequest{Requested: true}, CountsOf: []string{"j-1"}})
		attestation := response.Attestation
		if err != nil || !attestation.Attested || len(attestation.Cancelled) != 1 || response.Counts["j-1"] != (TaskCounts{Done: 4, Running: 2}) {
			t.Fatalf("response %+v, %v", response, err)
		}
	}
	call()
	stranger, err := net.Dial("tcp", listener.Addr().String())
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
	call()
	// A link whose connection has gone stale makes a new one.
	link.conn.Close()
	call()
}

// An unresponsive controller takes connections and answers nothing. No call to it
// waits beyond its own deadline, however many came before, and no connection is
// left open.
func TestCallsToUnresponsivePeerTimeOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	ended := make(chan struct{}, 64)
	go func() {
		for {
			conn, err := listener.Accept()
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
	link := NewLink(listener.Addr().String())
	const calls = 12
	failed := make(chan error, calls)
	for range calls {
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), 40*time.Millisecond)
			defer cancel()
			_, err := link.Call(ctx, Request{Attestation: AttestationRequest{Requested: true}})
			failed <- err
		}()
	}
	limit := time.After(5 * time.Second)
	for range calls {
		select {
		case err := <-failed:
			if err == nil {
				t.Error("an unresponsive controller answered")
			}
		case <-limit:
			t.Fatal("a call to an unresponsive controller still waits")
		}
	}
	if link.conn != nil {
		t.Error("its connection is kept")
	}
	select {
	case <-ended:
	case <-limit:
		t.Error("its connection was not closed")
	}
}
