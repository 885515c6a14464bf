package cedardoor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/wire"
)

// latency is drawn from the seed, the pair and the moment.
func (w *world) latency(from, to string) time.Duration {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s %s %d", w.s.seed, from, to, time.Since(w.began))
	return w.s.slow + 500*time.Microsecond + time.Duration(h.Sum64()%4000)*time.Microsecond
}

var errLost = errors.New("lost")

// serve lets one controller answer a request, from memory.
func (w *world) serve(ctx context.Context, node, method, path string, body []byte) (int, []byte, error) {
	p := w.running(node)
	if p == nil {
		return 0, nil, errLost
	}
	return w.serveBy(ctx, p, method, path, body)
}

// serveBy lets one process of a controller answer a request, from memory.
func (w *world) serveBy(ctx context.Context, p *process, method, path string, body []byte) (int, []byte, error) {
	if w.running(p.name) != p {
		return 0, nil, errLost
	}
	rec := httptest.NewRecorder()
	p.router.ServeHTTP(rec, httptest.NewRequestWithContext(ctx, method, path, bytes.NewReader(body)))
	if w.running(p.name) != p {
		return 0, nil, errLost // killed as it answered
	}
	return rec.Code, rec.Body.Bytes(), nil
}

// exchange lets a controller answer a request over a network that can hold
// messages. A request over an open connection arrives after the hold, though nobody
// may wait for its answer any more; a connection can't be made meanwhile.
func (w *world) exchange(ctx context.Context, open *process, from, node, method, path string, body []byte) (int, []byte, error) {
	p := open
	if p == nil {
		if !w.net.AwaitBoth(ctx, from, node) {
			return 0, nil, errLost
		}
		if p = w.running(node); p == nil {
			return 0, nil, errLost
		}
	}
	type answer struct {
		status int
		body   []byte
		err    error
	}
	done := make(chan answer, 1)
	w.wg.Go(func() {
		late := w.net.Held(from, node)
		w.net.Await(w.ctx, from, node)
		status, raw, err := w.serveBy(w.ctx, p, method, path, body)
		if late {
			w.note("%s of %s to %s was held: %d", path, from, node, status)
		}
		time.Sleep(w.latency(node, from))
		w.net.Await(w.ctx, node, from)
		done <- answer{status, raw, err}
	})
	select {
	case a := <-done:
		return a.status, a.body, a.err
	case <-ctx.Done():
		return 0, nil, errLost
	}
}

// report carries a worker's report over its connection, or a new one.
func (w *world) report(ctx context.Context, m *standin.Machine, node string, raw []byte) (int, []byte, error) {
	w.mu.Lock()
	open := w.lines[m]
	w.mu.Unlock()
	if open != nil && (open.name != node || w.running(node) != open) {
		open = nil
	}
	status, body, err := w.exchange(ctx, open, m.Host.UID, node, http.MethodPost, wire.PathHeartbeat, raw)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.lines, m)
	if err == nil && status == http.StatusOK {
		for _, p := range w.nodes {
			if p.name == node && !p.dead {
				w.lines[m] = p
			}
		}
	}
	return status, body, err
}

// heartbeat carries a worker's report to a controller.
func (w *world) heartbeat(ctx context.Context, m *standin.Machine, node string, rep wire.Heartbeat) (int, []byte, error) {
	raw, err := wire.Marshal(rep)
	if err != nil {
		return 0, nil, err
	}
	if x, ok := w.troubled(lateReports); ok {
		w.wg.Go(func() {
			select {
			case <-time.After(x.by):
			case <-w.ctx.Done():
				return
			}
			for _, n := range m.Nodes { // whoever leads then takes it in; its answer finds nobody
				_, _, _ = w.serve(w.ctx, n, http.MethodPost, wire.PathHeartbeat, raw)
			}
		})
	}
	if _, ok := w.troubled(keptReports); ok {
		w.wg.Go(func() {
			for token := w.token(); w.token() <= token; {
				select {
				case <-time.After(50 * time.Millisecond):
				case <-w.ctx.Done():
					return
				}
			}
			for _, n := range m.Nodes {
				_, _, _ = w.serve(w.ctx, n, http.MethodPost, wire.PathHeartbeat, raw)
			}
		})
	}
	time.Sleep(w.latency(m.Host.UID, node))
	w.mu.Lock()
	mute := w.muted[m]
	w.mu.Unlock()
	if mute || w.net.Cut(m.Host.UID, node) {
		return 0, nil, errLost
	}
	if w.s.holds {
		status, body, err := w.report(ctx, m, node, raw)
		if m.Deaf() || w.net.Cut(node, m.Host.UID) {
			return 0, nil, errLost
		}
		return status, body, err
	}
	status, body, err := w.serve(ctx, node, http.MethodPost, wire.PathHeartbeat, raw)
	time.Sleep(w.latency(node, m.Host.UID))
	if m.Deaf() || w.net.Cut(node, m.Host.UID) {
		return 0, nil, errLost
	}
	return status, body, err
}

// keeper is the state service as one process reaches it.
func (w *world) keeper(node string) http.Handler {
	inner := w.state.Handler(node)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		handle := func(ctx context.Context) *httptest.ResponseRecorder {
			rec := httptest.NewRecorder()
			q := r.Clone(ctx)
			q.Body = io.NopCloser(bytes.NewReader(raw))
			inner.ServeHTTP(rec, q)
			return rec
		}
		time.Sleep(w.latency(node, "state"))
		if x, ok := w.troubled(slowState); ok {
			time.Sleep(x.by)
		}
		if x, ok := w.troubled(slowLink); ok {
			time.Sleep(x.by)
			defer time.Sleep(x.by)
		}
		if r.URL.Path == wire.PathCommit {
			if x, ok := w.troubled(lateWrites); ok {
				w.wg.Go(func() {
					select {
					case <-time.After(x.by):
						rec := handle(w.ctx)
						w.note("late transaction of %s: %d", node, rec.Code)
					case <-w.ctx.Done():
					}
				})
				<-r.Context().Done()
				return
			}
			if _, ok := w.troubled(loseAnswers); ok {
				handle(w.ctx)
				panic(http.ErrAbortHandler)
			}
		}
		rec := handle(r.Context())
		time.Sleep(w.latency("state", node))
		rw.WriteHeader(rec.Code)
		_, _ = rw.Write(rec.Body.Bytes())
	})
}
