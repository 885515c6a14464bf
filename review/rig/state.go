// Package rig runs real controller processes on loopback against stand-ins of the platform, for
// the cases of the review. It records what was sent, answered and run.
package rig

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cedardoor/wire"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"
)

const (
	maxHistory   = 10_000    // changes that the state service keeps
	maxPageRows  = 1000      // keys in a page
	maxPageBytes = 512 << 10 // size of a page
	maxTxnBytes  = 64 << 10  // size of a transaction
)

// StateLimits are the limits of the state service.
type StateLimits struct {
	RPS, WriteRPS float64
	ValueKB       float64
	TxnOps        int
}

// State is a state service that enforces the limits of the protocol. Sizes are those of the JSON form.
type State struct {
	log     *Record
	latency time.Duration

	mu        sync.Mutex // guards the fields below
	limits    StateLimits
	requests  *rate.Limiter
	writes    *rate.Limiter
	revision  uint64
	rows      map[string]wire.Row
	leases    map[uint64]*stateLease
	history   []stateChange
	compacted uint64
	changed   chan struct{}
	refused   map[string]bool // nodes that get 503; "" for all
	rejected  int             // transactions beyond the limits
	loggedAt  time.Time       // when a rejected transaction was last recorded

	// CommitFault, if set, decides what happens to a transaction of a node.
	CommitFault func(node string, txn *wire.Txn) CommitFault
}

// CommitFault is what happens to a transaction.
type CommitFault struct {
	LoseAnswer bool          // it is carried out, and its answer is lost
	Late       time.Duration // it gets no answer, and is carried out that much later
}

type stateLease struct {
	ttl   time.Duration
	until time.Time
}

type stateChange struct {
	revision uint64
	event    wire.Event
}

// NewState returns an empty state service.
func NewState(log *Record, limits StateLimits, latency time.Duration) *State {
	s := &State{log: log, latency: latency, rows: map[string]wire.Row{}, leases: map[uint64]*stateLease{}, changed: make(chan struct{}), refused: map[string]bool{}}
	s.SetLimits(limits)
	return s
}

// SetLimits sets the limits that apply from now on. What is stored stays readable.
func (s *State) SetLimits(limits StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.requests = rate.NewLimiter(rate.Limit(limits.RPS), int(limits.RPS))
	s.writes = rate.NewLimiter(rate.Limit(limits.WriteRPS), int(limits.WriteRPS))
}

// Refuse sets whether a node gets 503, or every node if the name is empty. After an outage of all,
// every lease has its full time again.
func (s *State) Refuse(node string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = refused
	if node == "" && !refused {
		for _, l := range s.leases {
			l.until = time.Now().Add(l.ttl)
		}
	}
	s.notify()
}

// Rejected returns how many transactions were beyond the limits of size.
func (s *State) Rejected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// Value decodes the value of a key. It returns false if there is no such key.
func (s *State) Value(key string, v any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	row, found := s.rows[key]
	return found && msgpack.Unmarshal(row.Value, v) == nil
}

// notify wakes the watches. The caller holds mu.
func (s *State) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// unavailable reports whether a node gets 503. The caller holds mu.
func (s *State) unavailable(node string) bool { return s.refused[""] || s.refused[node] }

// expire ends the leases that were not renewed. The caller holds mu.
func (s *State) expire() {
	if s.refused[""] {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. The caller holds mu.
func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, row := range s.rows {
		if row.Lease == id {
			s.remove(key)
		}
	}
}

// remove removes a key at the current revision. The caller holds mu.
func (s *State) remove(key string) {
	if _, found := s.rows[key]; !found {
		return
	}
	delete(s.rows, key)
	s.record(wire.Event{Delete: key, ModRevision: s.revision})
}

// record adds a change to the history. The caller holds mu.
func (s *State) record(event wire.Event) {
	s.history = append(s.history, stateChange{s.revision, event})
	if drop := len(s.history) - maxHistory; drop > 0 {
		s.compacted = s.history[drop-1].revision
		s.history = slices.Clone(s.history[drop:])
	}
	s.notify()
}

// Handler serves the requests of one node.
func (s *State) Handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(s.latency)
		s.mu.Lock()
		s.expire()
		status, answer := 0, any(nil)
		switch {
		case s.unavailable(node):
			status, answer = http.StatusServiceUnavailable, wire.Error{Error: "unavailable"}
		case !s.requests.Allow():
			status, answer = http.StatusTooManyRequests, wire.Error{Error: "too many requests"}
		}
		s.mu.Unlock()
		switch {
		case status != 0:
		case r.URL.Path == wire.PathCommit:
			status, answer = s.serveCommit(node, body)
		case r.URL.Path == wire.PathChanges:
			status, answer = s.serveChanges(r, node)
		default:
			status, answer = s.serveOther(r, body)
		}
		if status != 0 {
			writeAnswer(w, status, answer)
			return
		}
		panic(http.ErrAbortHandler) // no answer
	})
}

func writeAnswer(w http.ResponseWriter, status int, answer any) {
	raw, err := msgpack.Marshal(answer)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// serveOther serves reads of keys, and leases.
func (s *State) serveOther(r *http.Request, body []byte) (status int, answer any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.URL.Path == wire.PathLeases:
		var request wire.LeaseRequest
		if msgpack.Unmarshal(body, &request) != nil || request.TTLMillis < 100 || request.TTLMillis > 600_000 {
			return http.StatusBadRequest, wire.Error{Error: "malformed"}
		}
		s.revision++
		ttl := time.Duration(request.TTLMillis) * time.Millisecond
		s.leases[s.revision] = &stateLease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, wire.LeaseResponse{Lease: s.revision}
	case strings.HasPrefix(r.URL.Path, wire.PathLeases+"/"):
		return s.serveLease(r)
	case r.URL.Path == wire.PathKV:
		return http.StatusOK, s.page(r)
	}
	row, found := s.rows[strings.TrimPrefix(r.URL.Path, wire.PathKV+"/")]
	if !found {
		return http.StatusNotFound, map[string]uint64{"epoch": s.revision}
	}
	return http.StatusOK, row
}

// serveLease renews or ends a lease. The caller holds mu.
func (s *State) serveLease(r *http.Request) (status int, answer any) {
	id, _ := strconv.ParseUint(strings.Split(r.URL.Path, "/")[2], 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		return http.StatusNotFound, wire.Error{Error: "no such lease"}
	case r.Method == http.MethodDelete:
		s.endLease(id)
	default:
		l.until = time.Now().Add(l.ttl)
	}
	return http.StatusOK, struct{}{}
}

// page returns one page of the keys with a prefix. The caller holds mu.
func (s *State) page(r *http.Request) wire.Rows {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	var keys []string
	for key := range s.rows {
		if strings.HasPrefix(key, query.Get("starts")) && key > query.Get("since") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page, size := wire.Rows{Rows: []wire.Row{}, Revision: s.revision}, 0
	for _, key := range keys {
		row := s.rows[key]
		if size += len(key) + jsonSize(row.Value) + 40; len(page.Rows) == limit || size > maxPageBytes {
			page.HasNext = true
			break
		}
		page.Rows = append(page.Rows, row)
	}
	return page
}

// jsonSize returns the size of a MessagePack value in the JSON form.
func jsonSize(raw []byte) int {
	var value any
	if msgpack.Unmarshal(raw, &value) != nil {
		return len(raw)
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return len(raw)
	}
	return len(encoded)
}

// serveCommit executes a transaction, unless a fault delays it or loses its answer.
func (s *State) serveCommit(node string, body []byte) (status int, answer any) {
	var txn wire.Txn
	if msgpack.Unmarshal(body, &txn) != nil {
		return http.StatusBadRequest, wire.Error{Error: "malformed"}
	}
	var fault CommitFault
	if s.CommitFault != nil {
		fault = s.CommitFault(node, &txn)
	}
	if fault.Late > 0 {
		time.AfterFunc(fault.Late, func() { s.commit(node, &txn, jsonSize(body)) })
		return 0, nil
	}
	status, answer = s.commit(node, &txn, jsonSize(body))
	if fault.LoseAnswer {
		return 0, nil
	}
	return status, answer
}

// commit executes a transaction.
func (s *State) commit(node string, txn *wire.Txn, size int) (status int, answer any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if reason := s.oversized(txn, size); reason != "" {
		s.rejected++
		if time.Since(s.loggedAt) > time.Second {
			s.loggedAt = time.Now()
			s.log.Add("state", "400 to %s: %s (%d such transactions so far)", node, reason, s.rejected)
		}
		return http.StatusBadRequest, wire.Error{Error: reason}
	}
	if !s.writes.AllowN(time.Now(), len(txn.Operations)) {
		return http.StatusTooManyRequests, wire.Error{Error: "too many changes"}
	}
	for _, operation := range txn.Operations {
		if operation.Set != "" && operation.Lease != 0 && s.leases[operation.Lease] == nil {
			return http.StatusBadRequest, wire.Error{Error: "no such lease"}
		}
	}
	var failed []string
	for _, condition := range txn.Conditions {
		if s.rows[condition.Key].ModRevision != condition.ModRevision {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, wire.TxnResponse{Revision: s.revision, Failed: failed}
	}
	if len(txn.Operations) > 0 {
		s.revision++
	}
	for _, operation := range txn.Operations {
		if operation.Set == "" {
			s.remove(operation.Delete)
			continue
		}
		raw, err := msgpack.Marshal(operation.Value)
		if err != nil {
			return http.StatusBadRequest, wire.Error{Error: "malformed"}
		}
		s.rows[operation.Set] = wire.Row{Key: operation.Set, Value: raw, ModRevision: s.revision, Lease: operation.Lease}
		s.record(wire.Event{Set: operation.Set, Value: raw, ModRevision: s.revision})
	}
	return http.StatusOK, wire.TxnResponse{Revision: s.revision}
}

// oversized returns which limit of size a transaction exceeds, or nothing. The caller holds mu.
func (s *State) oversized(txn *wire.Txn, size int) string {
	switch {
	case len(txn.Operations) > s.limits.TxnOps:
		return "too many changes in a transaction: " + strconv.Itoa(len(txn.Operations))
	case len(txn.Conditions) > 4*s.limits.TxnOps:
		return "too many conditions in a transaction: " + strconv.Itoa(len(txn.Conditions))
	case size > maxTxnBytes:
		return "transaction too large"
	}
	for _, operation := range txn.Operations {
		raw, err := msgpack.Marshal(operation.Value)
		if err != nil {
			return "malformed"
		}
		if n := jsonSize(raw); n > int(s.limits.ValueKB*1024) {
			return "value of " + operation.Set + " too large: " + strconv.Itoa(n) + " bytes"
		}
	}
	return ""
}

// serveChanges returns the changes after a revision, and waits for one until block_ms have passed.
func (s *State) serveChanges(r *http.Request, node string) (status int, answer any) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	block, _ := strconv.Atoi(query.Get("block_ms"))
	deadline := time.After(time.Duration(block) * time.Millisecond)
	overdue := block == 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		s.expire()
		if !s.unavailable(node) {
			if since < s.compacted {
				return http.StatusGone, wire.Error{Error: "compacted"}
			}
			if events := s.changesSince(query.Get("starts"), since); len(events) > 0 || overdue {
				return http.StatusOK, wire.WatchResponse{Revision: s.revision, Events: events}
			}
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			overdue, deadline = true, nil
		case <-time.After(100 * time.Millisecond): // leases may have ended
		case <-r.Context().Done():
			s.mu.Lock()
			return 0, nil
		}
		s.mu.Lock()
	}
}

// changesSince lists the changes of keys with a prefix after a revision. The caller holds mu.
func (s *State) changesSince(prefix string, since uint64) []wire.Event {
	events := []wire.Event{}
	first, _ := slices.BinarySearchFunc(s.history, since+1, func(c stateChange, revision uint64) int {
		switch {
		case c.revision < revision:
			return -1
		case c.revision > revision:
			return 1
		}
		return 0
	})
	for first > 0 && s.history[first-1].revision > since {
		first--
	}
	for _, change := range s.history[first:] {
		if strings.HasPrefix(change.event.Set+change.event.Delete, prefix) {
			events = append(events, change.event)
		}
	}
	return events
}
