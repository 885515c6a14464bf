package standin

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cedardoor/wire"

	"github.com/vmihailenco/msgpack/v5"
)

// Handler returns the handler for the requests of one node.
func (s *State) Handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.awaitExecution(r)
		s.mu.Lock()
		defer s.mu.Unlock()
		// Open watches stay open during an outage; new ones are refused like all other requests.
		if s.faults.refused[""] || s.faults.refused[node] {
			writeResponse(w, http.StatusServiceUnavailable, wire.Error{Error: "state service unavailable"})
			return
		}
		s.expireLeases()
		switch {
		case r.URL.Path == wire.PathCommit:
			s.serveCommit(w, body)
		case r.URL.Path == wire.PathLeases:
			s.serveLeaseGrant(w, body)
		case strings.HasPrefix(r.URL.Path, wire.PathLeases+"/"):
			s.serveLease(w, r)
		case r.URL.Path == wire.PathChanges:
			s.serveWatch(w, r, node)
		case r.URL.Path == wire.PathKV:
			s.serveRange(w, r)
		default:
			s.serveValue(w, r)
		}
	})
}

// awaitExecution counts a request and applies the faults that precede its execution.
func (s *State) awaitExecution(r *http.Request) {
	s.mu.Lock()
	s.counts.requests++
	stalled, before := s.faults.stalled, s.faults.beforeRequest
	s.faults.beforeRequest = nil
	s.mu.Unlock()
	if before != nil {
		before(r.URL.RequestURI())
		s.mu.Lock()
		if s.faults.beforeRequest == nil {
			s.faults.beforeRequest = before
		}
		s.mu.Unlock()
	}
	if stalled != nil {
		<-stalled
	}
}

// serveCommit executes a transaction. Faults may delay it or lose the response. The caller
// holds mu.
func (s *State) serveCommit(w http.ResponseWriter, body []byte) {
	var transaction wire.Txn
	if msgpack.Unmarshal(body, &transaction) != nil {
		writeResponse(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	if s.faults.delayNext {
		s.faults.delayNext = false
		s.faults.delayed = append(s.faults.delayed, transaction)
		panic(http.ErrAbortHandler)
	}
	status, response := s.commit(transaction)
	if s.faults.responsesToLose > 0 {
		s.faults.responsesToLose--
		s.counts.lostResponses++
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, status, response)
}

// serveLeaseGrant grants a lease. The caller holds mu.
func (s *State) serveLeaseGrant(w http.ResponseWriter, body []byte) {
	var request wire.LeaseRequest
	_ = msgpack.Unmarshal(body, &request)
	s.revision++
	ttl := time.Duration(request.TTLMillis) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, end: s.clock.Now().Add(ttl)}
	writeResponse(w, http.StatusOK, wire.LeaseResponse{Lease: s.revision})
}

// serveLease renews or ends a lease. The caller holds mu.
func (s *State) serveLease(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(r.URL.Path, "/")
	id, _ := strconv.ParseUint(parts[2], 10, 64)
	lease := s.leases[id]
	if lease == nil {
		writeResponse(w, http.StatusNotFound, wire.Error{Error: "no such lease"})
		return
	}
	if r.Method == http.MethodDelete {
		s.endLease(id)
	} else {
		lease.end = s.clock.Now().Add(lease.ttl)
	}
	writeResponse(w, http.StatusOK, struct{}{})
}

// serveRange returns one page of the keys with a prefix. The caller holds mu.
func (s *State) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	keys := make([]string, 0, len(s.rows))
	for key := range s.rows {
		if strings.HasPrefix(key, query.Get("starts")) && key > query.Get("since") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := wire.Rows{Rows: []wire.Row{}, Revision: s.revision}
	for i, key := range keys {
		if i == limit {
			page.HasNext = true
			break
		}
		page.Rows = append(page.Rows, s.rows[key])
	}
	writeResponse(w, http.StatusOK, page)
}

// serveValue returns the value of one key. The caller holds mu.
func (s *State) serveValue(w http.ResponseWriter, r *http.Request) {
	row, ok := s.rows[strings.TrimPrefix(r.URL.Path, wire.PathKV+"/")]
	if !ok {
		writeResponse(w, http.StatusNotFound, map[string]uint64{"epoch": s.revision})
		return
	}
	writeResponse(w, http.StatusOK, row)
}

// serveWatch returns the changes after a revision. If there are none, it waits for one until
// block_ms have passed or the request's context ends. While the node is refused, its open
// watches keep waiting. The caller holds mu.
func (s *State) serveWatch(w http.ResponseWriter, r *http.Request, node string) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	block, _ := strconv.Atoi(query.Get("block_ms"))
	timeout := s.clock.After(time.Duration(block) * time.Millisecond)
	timedOut := false
	for {
		s.expireLeases()
		for s.faults.refused[""] || s.faults.refused[node] {
			ch := s.faults.refusalChanged
			s.mu.Unlock()
			select {
			case <-ch:
			case <-r.Context().Done():
			}
			s.mu.Lock()
			if r.Context().Err() != nil {
				return
			}
		}
		if since < s.compacted {
			writeResponse(w, http.StatusGone, wire.Error{Error: "too old"})
			return
		}
		response := wire.WatchResponse{Revision: s.revision, Events: []wire.Event{}}
		for _, e := range s.history {
			if key := e.event.Set + e.event.Delete; e.revision > since && strings.HasPrefix(key, query.Get("starts")) {
				response.Events = append(response.Events, e.event)
			}
		}
		if len(response.Events) > 0 || timedOut {
			writeResponse(w, http.StatusOK, response)
			return
		}
		ch := s.changed
		s.mu.Unlock()
		select {
		case <-ch:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			timedOut = true
		}
		s.mu.Lock()
	}
}

// response is the status and body with which a stand-in responds.
type response struct {
	status int
	body   any
}

// writeResponse writes a status and an encoded body.
func writeResponse(w http.ResponseWriter, status int, v any) {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
