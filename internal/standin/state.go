// Package standin plays the platform for tests: a state service, a cloud and
// workers, with answers that are lost and commands that arrive late.
package standin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"cedardoor/wire"

	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"
)

// State is a state service.
type State struct {
	clk clockwork.Clock

	mu      sync.Mutex // guards all below
	epoch   uint64
	rows    map[string]wire.Row
	holds   map[uint64]*hold
	log     []entry
	oldest  uint64
	change  chan struct{}
	refuse  map[string]bool
	lose    int
	late    []wire.Txn
	past    []wire.Txn
	delay   bool
	puts    int
	tooMany int // transactions refused for their size
	asked   int
	stall   chan struct{}
	before  func(path string)
	lost    int
	served  chan struct{} // closed when the nodes that are refused change
}

// maxOps is how many changes a transaction may hold, and a quarter of its conditions.
const maxOps = 24

// TooMany is how many transactions were refused for their size.
func (s *State) TooMany() int { s.mu.Lock(); defer s.mu.Unlock(); return s.tooMany }

type hold struct {
	ttl time.Duration
	end time.Time
}

type entry struct {
	epoch uint64
	ev    wire.Event
}

// NewState makes an empty state service whose holds run on the given clock.
func NewState(clk clockwork.Clock) *State {
	return &State{clk: clk, rows: map[string]wire.Row{}, holds: map[uint64]*hold{}, refuse: map[string]bool{}, change: make(chan struct{}), served: make(chan struct{})}
}

// Refuse makes the service answer 503 to a node, or to all for "".
func (s *State) Refuse(node string, yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse[node] = yes
	close(s.served)
	s.served = make(chan struct{})
	if !yes && node == "" {
		// After an outage every lease has its full time again.
		for _, h := range s.holds {
			h.end = s.clk.Now().Add(h.ttl)
		}
	}
}

// LoseAnswers makes the service execute the next n transactions without answering.
func (s *State) LoseAnswers(n int) { s.mu.Lock(); defer s.mu.Unlock(); s.lose = n }

// DelayNext keeps the next transaction back, unanswered, until Deliver.
func (s *State) DelayNext() { s.mu.Lock(); defer s.mu.Unlock(); s.delay = true }

// Deliver executes the transactions kept back.
func (s *State) Deliver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.late {
		s.commit(t)
	}
	s.late = nil
}

// Late counts the transactions kept back.
func (s *State) Late() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.late) }

// Repeat lets every transaction that was applied arrive once more.
func (s *State) Repeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.past[:len(s.past):len(s.past)] {
		s.commit(t)
	}
}

// Requests counts the requests that came so far.
func (s *State) Requests() int { s.mu.Lock(); defer s.mu.Unlock(); return s.asked }

// Stall keeps every request waiting until release is called.
func (s *State) Stall() (release func()) {
	ch := make(chan struct{})
	s.mu.Lock()
	s.stall = ch
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		s.stall = nil
		s.mu.Unlock()
		close(ch)
	}
}

// Before calls f at every request, before the request is carried out. f may make
// requests of its own: it is not called for those.
func (s *State) Before(f func(path string)) { s.mu.Lock(); defer s.mu.Unlock(); s.before = f }

// Lost counts the transactions that were executed without an answer.
func (s *State) Lost() int { s.mu.Lock(); defer s.mu.Unlock(); return s.lost }

// Forget drops the change history, so that older watches get 410.
func (s *State) Forget() { s.mu.Lock(); defer s.mu.Unlock(); s.log, s.oldest = nil, s.epoch }

// Puts counts the changes executed so far.
func (s *State) Puts() int { s.mu.Lock(); defer s.mu.Unlock(); return s.puts }

// Value decodes a key's value; false when it does not exist.
func (s *State) Value(key string, v any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	row, ok := s.rows[key]
	return ok && (v == nil || msgpack.Unmarshal(row.Value, v) == nil)
}

// Keys lists the keys with a prefix.
func (s *State) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	var out []string
	for k := range s.rows {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// lapse removes the keys of holds that have ended. The caller holds mu.
func (s *State) lapse() {
	now := s.clk.Now()
	for id, h := range s.holds {
		if s.refuse[""] || now.Before(h.end) {
			continue
		}
		s.end(id)
	}
}

func (s *State) end(id uint64) {
	delete(s.holds, id)
	var keys []string
	for k, r := range s.rows {
		if r.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.epoch++
	for _, k := range keys {
		delete(s.rows, k)
		s.note(wire.Event{Delete: k, ModRevision: s.epoch})
	}
}

func (s *State) note(ev wire.Event) {
	s.log = append(s.log, entry{s.epoch, ev})
	close(s.change)
	s.change = make(chan struct{})
}

// commit executes a transaction. The caller holds mu.
func (s *State) commit(t wire.Txn) (status int, body any) {
	s.lapse()
	if len(t.Operations) > maxOps || len(t.Conditions) > 4*maxOps {
		s.tooMany++
		return http.StatusBadRequest, wire.Error{Error: "too many operations"}
	}
	var failed []string
	for _, w := range t.Conditions {
		if s.rows[w.Key].ModRevision != w.ModRevision {
			failed = append(failed, w.Key)
		}
	}
	for _, a := range t.Operations {
		if a.Set != "" && a.Lease != 0 && s.holds[a.Lease] == nil {
			return http.StatusBadRequest, wire.Error{Error: "no such lease"}
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, wire.TxnResponse{Revision: s.epoch, Failed: failed}
	}
	if len(t.Operations) == 0 {
		return http.StatusOK, wire.TxnResponse{Revision: s.epoch}
	}
	s.epoch++
	s.past = append(s.past, t)
	for _, a := range t.Operations {
		s.puts++
		if a.Set == "" {
			if _, ok := s.rows[a.Delete]; ok {
				delete(s.rows, a.Delete)
				s.note(wire.Event{Delete: a.Delete, ModRevision: s.epoch})
			}
			continue
		}
		raw, err := msgpack.Marshal(a.Value)
		if err != nil {
			return http.StatusBadRequest, wire.Error{Error: err.Error()}
		}
		s.rows[a.Set] = wire.Row{Key: a.Set, Value: raw, ModRevision: s.epoch, Lease: a.Lease}
		s.note(wire.Event{Set: a.Set, Value: raw, ModRevision: s.epoch})
	}
	return http.StatusOK, wire.TxnResponse{Revision: s.epoch}
}

func reply(w http.ResponseWriter, status int, v any) {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// Handler is the service as one node reaches it.
func (s *State) Handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.asked++
		stall, before := s.stall, s.before
		s.before = nil
		s.mu.Unlock()
		if before != nil {
			before(r.URL.RequestURI())
			s.mu.Lock()
			if s.before == nil {
				s.before = before
			}
			s.mu.Unlock()
		}
		if stall != nil {
			<-stall
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		// Open watches stay open through an outage; new ones are refused like all else.
		if s.refuse[""] || s.refuse[node] {
			reply(w, http.StatusServiceUnavailable, wire.Error{Error: "trouble"})
			return
		}
		s.lapse()
		switch {
		case r.URL.Path == wire.PathCommit:
			var t wire.Txn
			if msgpack.Unmarshal(body, &t) != nil {
				reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
				return
			}
			if s.delay {
				s.delay = false
				s.late = append(s.late, t)
				panic(http.ErrAbortHandler)
			}
			status, ans := s.commit(t)
			if s.lose > 0 {
				s.lose--
				s.lost++
				panic(http.ErrAbortHandler)
			}
			reply(w, status, ans)
		case r.URL.Path == wire.PathLeases:
			var q wire.LeaseRequest
			_ = msgpack.Unmarshal(body, &q)
			s.epoch++
			ttl := time.Duration(q.TTLMillis) * time.Millisecond
			s.holds[s.epoch] = &hold{ttl: ttl, end: s.clk.Now().Add(ttl)}
			reply(w, http.StatusOK, wire.LeaseResponse{Lease: s.epoch})
		case strings.HasPrefix(r.URL.Path, wire.PathLeases+"/"):
			parts := strings.Split(r.URL.Path, "/")
			id, _ := strconv.ParseUint(parts[2], 10, 64)
			h := s.holds[id]
			if h == nil {
				reply(w, http.StatusNotFound, wire.Error{Error: "no such lease"})
				return
			}
			if r.Method == http.MethodDelete {
				s.end(id)
			} else {
				h.end = s.clk.Now().Add(h.ttl)
			}
			reply(w, http.StatusOK, struct{}{})
		case r.URL.Path == wire.PathChanges:
			s.changes(w, r, node)
		case r.URL.Path == wire.PathKV:
			q := r.URL.Query()
			limit, _ := strconv.Atoi(q.Get("limit"))
			keys := make([]string, 0, len(s.rows))
			for k := range s.rows {
				if strings.HasPrefix(k, q.Get("starts")) && k > q.Get("since") {
					keys = append(keys, k)
				}
			}
			slices.Sort(keys)
			out := wire.Rows{Rows: []wire.Row{}, Revision: s.epoch}
			for i, k := range keys {
				if i == limit {
					out.HasNext = true
					break
				}
				out.Rows = append(out.Rows, s.rows[k])
			}
			reply(w, http.StatusOK, out)
		default:
			row, ok := s.rows[strings.TrimPrefix(r.URL.Path, wire.PathKV+"/")]
			if !ok {
				reply(w, http.StatusNotFound, map[string]uint64{"epoch": s.epoch})
				return
			}
			reply(w, http.StatusOK, row)
		}
	})
}

// changes waits, on the request's own context, for a change after since. While
// the node is refused, its open watches wait on.
func (s *State) changes(w http.ResponseWriter, r *http.Request, node string) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	block, _ := strconv.Atoi(q.Get("block_ms"))
	timeout := s.clk.After(time.Duration(block) * time.Millisecond)
	due := false
	for {
		s.lapse()
		for s.refuse[""] || s.refuse[node] {
			ch := s.served
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
		if since < s.oldest {
			reply(w, http.StatusGone, wire.Error{Error: "too old"})
			return
		}
		out := wire.WatchResponse{Revision: s.epoch, Events: []wire.Event{}}
		for _, e := range s.log {
			if key := e.ev.Set + e.ev.Delete; e.epoch > since && strings.HasPrefix(key, q.Get("starts")) {
				out.Events = append(out.Events, e.ev)
			}
		}
		if len(out.Events) > 0 || due {
			reply(w, http.StatusOK, out)
			return
		}
		ch := s.change
		s.mu.Unlock()
		select {
		case <-ch:
		case <-timeout:
			due = true
		case <-r.Context().Done():
			due = true
		}
		s.mu.Lock()
	}
}

// String describes the service's keys, for failures.
func (s *State) String() string { return fmt.Sprint(s.Keys("")) }
