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
	process := w.runningProcess(node)
	if process == nil {
		return 0, nil, errNoResponse
	}
	return w.serveByProcess(ctx, process, method, path, body)
}

// serveByProcess lets one process of a controller answer a request, from memory.
func (w *simulation) serveByProcess(ctx context.Context, process *controllerProcess, method, path string, body []byte) (int, []byte, error) {
	if w.runningProcess(process.name) != process {
		return 0, nil, errNoResponse
	}
	recorder := httptest.NewRecorder()
	process.router.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, method, path, bytes.NewReader(body)))
	if w.runningProcess(process.name) != process {
		return 0, nil, errNoResponse // killed as it answered
	}
	return recorder.Code, recorder.Body.Bytes(), nil
}

// exchangeBuffered lets a controller answer a request over a network that can hold
// messages. A request over an open connection arrives after the hold, though nobody
// may wait for its answer any more; a connection can't be made meanwhile.
func (w *simulation) exchangeBuffered(ctx context.Context, open *controllerProcess, from, node, method, path string, body []byte) (int, []byte, error) {
	process := open
	if process == nil {
		if !w.network.AwaitBoth(ctx, from, node) {
			return 0, nil, errNoResponse
		}
		if process = w.runningProcess(node); process == nil {
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
		late := w.network.IsHeld(from, node)
		w.network.Await(w.ctx, from, node)
		status, encoded, err := w.serveByProcess(w.ctx, process, method, path, body)
		if late {
			w.logf("%s of %s to %s was held: %d", path, from, node, status)
		}
		time.Sleep(w.latency(node, from))
		w.network.Await(w.ctx, node, from)
		done <- answer{status, encoded, err}
	})
	select {
	case a := <-done:
		return a.status, a.body, a.err
	case <-ctx.Done():
		return 0, nil, errNoResponse
	}
}

// sendBufferedHeartbeat carries a worker's report over its connection, or a new one.
func (w *simulation) sendBufferedHeartbeat(ctx context.Context, machine *standin.Machine, node string, encoded []byte) (int, []byte, error) {
	w.mu.Lock()
	open := w.connections[machine]
	w.mu.Unlock()
	if open != nil && (open.name != node || w.runningProcess(node) != open) {
		open = nil
	}
	status, body, err := w.exchangeBuffered(ctx, open, machine.Info.UID, node, http.MethodPost, wire.PathHeartbeat, encoded)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.connections, machine)
	if err == nil && status == http.StatusOK {
		for _, process := range w.processes {
			if process.name == node && !process.stopped {
				w.connections[machine] = process
			}
		}
	}
	return status, body, err
}

// sendHeartbeat carries a worker's report to a controller.
func (w *simulation) sendHeartbeat(ctx context.Context, machine *standin.Machine, node string, report wire.Heartbeat) (int, []byte, error) {
	encoded, err := wire.Marshal(report)
	if err != nil {
		return 0, nil, err
	}
	if fault, ok := w.activeFault(heartbeatCopiesDelayed); ok {
		w.wg.Go(func() {
			select {
			case <-time.After(fault.delay):
			case <-w.ctx.Done():
				return
			}
			for _, n := range machine.Controllers { // whoever leads then takes it in; its answer finds nobody
				_, _, _ = w.serveRequest(w.ctx, n, http.MethodPost, wire.PathHeartbeat, encoded)
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
			for _, n := range machine.Controllers {
				_, _, _ = w.serveRequest(w.ctx, n, http.MethodPost, wire.PathHeartbeat, encoded)
			}
		})
	}
	time.Sleep(w.latency(machine.Info.UID, node))
	w.mu.Lock()
	mute := w.injected.sendsNothing[machine]
	w.mu.Unlock()
	if mute || w.network.IsCut(machine.Info.UID, node) {
		return 0, nil, errNoResponse
	}
	if w.schedule.buffersMessages {
		status, body, err := w.sendBufferedHeartbeat(ctx, machine, node, encoded)
		if machine.IsUnreachable() || w.network.IsCut(node, machine.Info.UID) {
			return 0, nil, errNoResponse
		}
		return status, body, err
	}
	status, body, err := w.serveRequest(ctx, node, http.MethodPost, wire.PathHeartbeat, encoded)
	time.Sleep(w.latency(node, machine.Info.UID))
	if machine.IsUnreachable() || w.network.IsCut(node, machine.Info.UID) {
		return 0, nil, errNoResponse
	}
	return status, body, err
}

// stateService is the state service as one process reaches it.
func (w *simulation) stateService(node string) http.Handler {
	inner := w.state.Handler(node)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		encoded, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		handle := func(ctx context.Context) *httptest.ResponseRecorder {
			recorder := httptest.NewRecorder()
			q := r.Clone(ctx)
			q.Body = io.NopCloser(bytes.NewReader(encoded))
			inner.ServeHTTP(recorder, q)
			return recorder
		}
		time.Sleep(w.latency(node, "state"))
		if fault, ok := w.activeFault(stateSlow); ok {
			time.Sleep(fault.delay)
		}
		if fault, ok := w.activeFault(stateLinksSlow); ok {
			time.Sleep(fault.delay)
			defer time.Sleep(fault.delay)
		}
		if r.URL.Path == wire.PathCommit {
			if fault, ok := w.activeFault(transactionsDelayed); ok {
				w.wg.Go(func() {
					select {
					case <-time.After(fault.delay):
						recorder := handle(w.ctx)
						w.logf("late transaction of %s: %d", node, recorder.Code)
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
		recorder := handle(r.Context())
		time.Sleep(w.latency("state", node))
		rw.WriteHeader(recorder.Code)
		_, _ = rw.Write(recorder.Body.Bytes())
	})
}
