package api

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strings"
	"time"

	"cedardoor/wire"
)

// errStateServiceDown means that the state service does not serve this controller.
var errStateServiceDown = errors.New("the state service does not answer")

// relayedKey is the context key that marks requests relayed by another controller.
type relayedKey struct{}

// MarkRelayed marks the context of a request that another controller relayed, so that this controller
// does not relay it again.
func MarkRelayed(ctx context.Context) context.Context {
	return context.WithValue(ctx, relayedKey{}, true)
}

func isRelayed(ctx context.Context) bool { return ctx.Value(relayedKey{}) != nil }

// JobOfRequest returns the id of the job that a request submits, queries or cancels, or an empty
// string if there is none.
func JobOfRequest(path string, body []byte) string {
	rest, found := strings.CutPrefix(path, wire.PathJobs)
	if !found {
		return ""
	}
	if rest == "" {
		return wire.DecodeUID(body)
	}
	uid, _, _ := strings.Cut(rest[1:], "/")
	return uid
}

// IsCancel reports whether a path is that of a cancellation.
func IsCancel(path string) bool { return strings.HasSuffix(path, "/"+wire.SuffixCancel) }

// BufferedResponse is an http.ResponseWriter that keeps the response in memory.
type BufferedResponse struct {
	Status int
	Body   bytes.Buffer
	header http.Header
}

// NewBufferedResponse returns an empty response with status 200.
func NewBufferedResponse() *BufferedResponse {
	return &BufferedResponse{header: http.Header{}, Status: http.StatusOK}
}

// Header implements http.ResponseWriter.
func (b *BufferedResponse) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *BufferedResponse) WriteHeader(status int) { b.Status = status }

// Write implements http.ResponseWriter.
func (b *BufferedResponse) Write(p []byte) (int, error) { return b.Body.Write(p) }

// writeTo writes the response to w.
func (b *BufferedResponse) writeTo(w http.ResponseWriter) {
	maps.Copy(w.Header(), b.header)
	w.WriteHeader(b.Status)
	_, _ = w.Write(b.Body.Bytes())
}

// withRelay wraps a handler: requests are relayed to another controller while the state service does
// not serve this one. All requests are idempotent, so one that was partly executed here may be
// repeated there.
func (s *Server) withRelay(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.Relay == nil || isRelayed(r.Context()) {
			next(w, r)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
		if err != nil {
			s.respondError(w, errBodyUnreadable)
			return
		}
		failing := s.Store.Failing()
		if failing {
			if s.relay(w, r, body) {
				return
			}
			// Once in a while a request is served here to probe whether the state service has
			// recovered; the others are refused without waiting for it.
			if !s.Store.AllowRetry() {
				s.respondError(w, errStateServiceDown)
				return
			}
		}
		response := NewBufferedResponse() // with headers of its own, which a relayed answer must not have
		r.Body = io.NopCloser(bytes.NewReader(body))
		next(response, r)
		if response.Status == http.StatusServiceUnavailable && !failing && s.Store.Failing() && s.relay(w, r, body) {
			return
		}
		response.writeTo(w)
	}
}

// withTimeout wraps a handler: its request's context ends after a timeout.
func withTimeout(timeout time.Duration, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		next(w, r.WithContext(ctx))
	}
}

// relay lets another controller serve a request and writes the response. It writes nothing and returns
// false if none could serve it.
func (s *Server) relay(w http.ResponseWriter, r *http.Request, body []byte) bool {
	status, response, ok := s.Relay(r.Context(), r.Method, r.URL.Path, body)
	if !ok || status == http.StatusServiceUnavailable {
		return false
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(response)
	return true
}
