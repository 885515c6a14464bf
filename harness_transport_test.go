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
func (w *simulation) latency(from, to string) time.Duration {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s %s %d", w.schedule.seed, from, to, time.Since(w.startedAt))
	return w.schedule.extraLatency + 500*time.Microsecond + time.Duration(h.Sum64()%4000)*time.Microsecond
}

var errNoResponse = errors.New("lost")

// serveRequest lets one controller answer a request, from memory.
func (w *simulation) serveRequest(ctx context.Context, node, method, path string, body []byte) (int, []byte, error) {
	p := w.runningProcess(node)
	if p == nil {
		return 0, nil, errNoResponse
	}
	return w.serveByProcess(ctx, p, method, path, body)
}

// serveByProcess lets one process of a controller answer a request, from memory.
func (w *simulation) serveByProcess(ctx context.Context, p *process, method, path string, body []byte) (int, []byte, error) {
	if w.runningProcess(p.name) != p {
		return 0, nil, errNoResponse
	}
	rec := httptest.NewRecorder()
	p.router.ServeHTTP(rec, httptest.NewRequestWithContext(ctx, method, path, bytes.NewReader(body)))
	if w.runningProcess(p.name) != p {
		return 0, nil, errNoResponse // killed as it answered
	}
	return rec.Code, rec.Body.Bytes(), nil
}

// exchangeBuffered lets a controller answer a request over a network that can hold
// messages. A request over an open connection arrives after the hold, though nobody
// may wait for its answer any more; a connection can't be made meanwhile.
func (w *simulation) exchangeBuffered(ctx context.Context, open *process, from, node, method, path string, body []byte) (int, []byte, error) {
	p := open
	if p == nil {
		if !w.network.AwaitBoth(ctx, from, node) {
			return 0, nil, errNoResponse
		}
		if p = w.runningProcess(node); p == nil {
			return 0, nil, errNoResponse
		}
	}
	type answer struct {
		status int
		body   []byte
		err    error
	}
	done := make(chan answer, 1)
	w.wg.Go(func() {
		late := w.network.Held(from, node)
		w.network.Await(w.ctx, from, node)
		status, raw, err := w.serveByProcess(w.ctx, p, method, path, body)
		if late {
			w.logf("%s of %s to %s was held: %d", path, from, node, status)
		}
		time.Sleep(w.latency(node, from))
		w.network.Await(w.ctx, node, from)
		done <- answer{status, raw, err}
	})
	select {
	case a := <-done:
		return a.status, a.body, a.err
	case <-ctx.Done():
		return 0, nil, errNoResponse
	}
}

// sendBufferedHeartbeat carries a worker's report over its connection, or a new one.
func (w *simulation) sendBufferedHeartbeat(ctx context.Context, m *standin.Machine, node string, raw []byte) (int, []byte, error) {
	w.mu.Lock()
	open := w.connections[m]
	w.mu.Unlock()
	if open != nil && (open.name != node || w.runningProcess(node) != open) {
		open = nil
	}
	status, body, err := w.exchangeBuffered(ctx, open, m.Host.UID, node, http.MethodPost, wire.PathHeartbeat, raw)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.connections, m)
	if err == nil && status == http.StatusOK {
		for _, p := range w.processes {
			if p.name == node && !p.stopped {
				w.connections[m] = p
			}
		}
	}
	return status, body, err
}

// sendHeartbeat carries a worker's report to a controller.
func (w *simulation) sendHeartbeat(ctx context.Context, m *standin.Machine, node string, rep wire.Heartbeat) (int, []byte, error) {
	raw, err := wire.Marshal(rep)
	if err != nil {
		return 0, nil, err
	}
	if x, ok := w.activeFault(heartbeatCopiesDelayed); ok {
		w.wg.Go(func() {
			select {
			case <-time.After(x.delay):
			case <-w.ctx.Done():
				return
			}
			for _, n := range m.Nodes { // whoever leads then takes it in; its answer finds nobody
				_, _, _ = w.serveRequest(w.ctx, n, http.MethodPost, wire.PathHeartbeat, raw)
			}
		})
	}
	if _, ok := w.activeFault(heartbeatCopiesToNextLeader); ok {
		w.wg.Go(func() {
			for token := w.leaderToken(); w.leaderToken() <= token; {
				select {
				case <-time.After(50 * time.Millisecond):
				case <-w.ctx.Done():
					return
				}
			}
			for _, n := range m.Nodes {
				_, _, _ = w.serveRequest(w.ctx, n, http.MethodPost, wire.PathHeartbeat, raw)
			}
		})
	}
	time.Sleep(w.latency(m.Host.UID, node))
	w.mu.Lock()
	mute := w.unreachableFrom[m]
	w.mu.Unlock()
	if mute || w.network.Cut(m.Host.UID, node) {
		return 0, nil, errNoResponse
	}
	if w.schedule.buffersMessages {
		status, body, err := w.sendBufferedHeartbeat(ctx, m, node, raw)
		if m.Deaf() || w.network.Cut(node, m.Host.UID) {
			return 0, nil, errNoResponse
		}
		return status, body, err
	}
	status, body, err := w.serveRequest(ctx, node, http.MethodPost, wire.PathHeartbeat, raw)
	time.Sleep(w.latency(node, m.Host.UID))
	if m.Deaf() || w.network.Cut(node, m.Host.UID) {
		return 0, nil, errNoResponse
	}
	return status, body, err
}

// stateService is the state service as one process reaches it.
func (w *simulation) stateService(node string) http.Handler {
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
		if x, ok := w.activeFault(stateSlow); ok {
			time.Sleep(x.delay)
		}
		if x, ok := w.activeFault(stateLinksSlow); ok {
			time.Sleep(x.delay)
			defer time.Sleep(x.delay)
		}
		if r.URL.Path == wire.PathCommit {
			if x, ok := w.activeFault(transactionsDelayed); ok {
				w.wg.Go(func() {
					select {
					case <-time.After(x.delay):
						rec := handle(w.ctx)
						w.logf("late transaction of %s: %d", node, rec.Code)
					case <-w.ctx.Done():
					}
				})
				<-r.Context().Done()
				return
			}
			if _, ok := w.activeFault(transactionAnswersLost); ok {
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
