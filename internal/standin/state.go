package standin

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"cedardoor/wire"

	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"
)

// State is an in-memory state service into which tests inject faults.
type State struct {
	clock clockwork.Clock

	mu        sync.Mutex // guards the fields below
	revision  uint64
	rows      map[string]wire.Row
	leases    map[uint64]*lease
	history   []historyEntry
	compacted uint64        // the history begins after this revision
	changed   chan struct{} // closed and replaced at every change
	applied   []wire.Txn
	faults    stateFaults
	counts    stateCounts
	limits    StateLimits
	writes    *rate.Limiter // nil if the rate is unlimited
	oversized []OversizedTxn
}

// OversizedTxn is a transaction that was refused for its size or by RefuseTransactions.
type OversizedTxn struct {
	At   time.Time
	Keys []string // that it would have changed
}

// stateFaults are the faults that tests have injected into a state service.
type stateFaults struct {
	refused         map[string]bool // nodes that get 503; "" for all
	refusalChanged  chan struct{}   // closed and replaced when refused changes
	responsesToLose int             // number of transactions to execute without a response
	delayNext       bool            // the next transaction is delayed
	delayed         []wire.Txn
	stalled         chan struct{} // if not nil, requests wait until it is closed
	beforeRequest   func(path string)
	refuse          func(txn *wire.Txn) bool
	refusalStatus   int // of the transactions that refuse returns true for
}

// StateLimits are the limits of a state service on transactions.
type StateLimits struct {
	Operations int     // in a transaction, which may have four times as many conditions
	ValueBytes int     // of a value in the JSON form
	WriteRPS   float64 // operations per second, with bursts of one second's worth; 0: unlimited
}

// defaultLimits are the limits of a new state service.
var defaultLimits = StateLimits{Operations: 24, ValueBytes: 32 << 10}

// stateCounts counts the operations of a state service.
type stateCounts struct {
	requests      int
	changes       int
	oversized     int // transactions refused for their size
	lostResponses int
}

// lease is a granted lease. Keys that belong to it are deleted when it ends.
type lease struct {
	ttl time.Duration
	end time.Time
}

// historyEntry is a change in the history that watches read.
type historyEntry struct {
	revision uint64
	event    wire.Event
}

// NewState returns an empty state service whose leases run on the given clock.
func NewState(clock clockwork.Clock) *State {
	return &State{clock: clock, rows: map[string]wire.Row{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), limits: defaultLimits,
		faults: stateFaults{refused: map[string]bool{}, refusalChanged: make(chan struct{})}}
}

// Refuse sets whether the service responds 503 to a node, or to all nodes if the name is
// empty.
func (s *State) Refuse(node string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.refused[node] = refused
	close(s.faults.refusalChanged)
	s.faults.refusalChanged = make(chan struct{})
	if !refused && node == "" {
		// After an outage every lease starts again with its full TTL.
		for _, lease := range s.leases {
			lease.end = s.clock.Now().Add(lease.ttl)
		}
	}
}

// LoseResponses makes the service execute the next n transactions without a response.
func (s *State) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.responsesToLose = n
}

// DelayNextTransaction holds the next transaction back, without a response, until
// DeliverDelayed is called.
func (s *State) DelayNextTransaction() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delayNext = true
}

// DeliverDelayed executes the delayed transactions.
func (s *State) DeliverDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, transaction := range s.faults.delayed {
		s.commit(transaction)
	}
	s.faults.delayed = nil
}

// DelayedCount returns the number of delayed transactions.
func (s *State) DelayedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.faults.delayed)
}

// RepeatTransactions executes every applied transaction again, as if it had arrived twice.
func (s *State) RepeatTransactions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, transaction := range s.applied[:len(s.applied):len(s.applied)] {
		s.commit(transaction)
	}
}

// RequestCount returns how many requests the service has received.
func (s *State) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.requests
}

// Stall makes every request wait until release is called.
func (s *State) Stall() (release func()) {
	ch := make(chan struct{})
	s.mu.Lock()
	s.faults.stalled = ch
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		s.faults.stalled = nil
		s.mu.Unlock()
		close(ch)
	}
}

// BeforeRequest makes the service call f before it executes a request. It does not call f for
// requests that arrive while f runs, so that f may make requests itself.
func (s *State) BeforeRequest(f func(path string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.beforeRequest = f
}

// LostResponses returns how many transactions were executed without a response.
func (s *State) LostResponses() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.lostResponses
}

// Compact drops the change history, so that watches from earlier revisions get 410.
func (s *State) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// ChangeCount returns how many changes transactions have made.
func (s *State) ChangeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.changes
}

// OversizedCount returns how many transactions were refused because of their size.
func (s *State) OversizedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.oversized
}

// Value decodes the value of a key into v. It returns false if there is no such key.
func (s *State) Value(key string, v any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	row, ok := s.rows[key]
	return ok && (v == nil || msgpack.Unmarshal(row.Value, v) == nil)
}

// Keys returns the sorted keys with a prefix.
func (s *State) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	var out []string
	for k := range s.rows {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// expireLeases removes expired leases and their keys. No lease expires while all nodes are
// refused. The caller holds mu.
func (s *State) expireLeases() {
	now := s.clock.Now()
	for id, lease := range s.leases {
		if s.faults.refused[""] || now.Before(lease.end) {
			continue
		}
		s.endLease(id)
	}
}

// endLease removes a lease and its keys. The caller holds mu.
func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, r := range s.rows {
		if r.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, k := range keys {
		delete(s.rows, k)
		s.appendEvent(wire.Event{Delete: k, ModRevision: s.revision})
	}
}

// appendEvent adds a change to the history and wakes the watches. The caller holds mu.
func (s *State) appendEvent(event wire.Event) {
	s.history = append(s.history, historyEntry{s.revision, event})
	close(s.changed)
	s.changed = make(chan struct{})
}

// commit executes a transaction. The caller holds mu.
func (s *State) commit(transaction wire.Txn) (status int, body any) {
	s.expireLeases()
	if status := s.refusalStatus(&transaction); status != 0 {
		s.counts.oversized++
		var keys []string
		for _, operation := range transaction.Operations {
			keys = append(keys, operation.Set+operation.Delete)
		}
		s.oversized = append(s.oversized, OversizedTxn{At: s.clock.Now(), Keys: keys})
		return status, wire.Error{Error: "refused"}
	}
	if s.writes != nil && !s.writes.AllowN(s.clock.Now(), len(transaction.Operations)) {
		return http.StatusTooManyRequests, wire.Error{Error: "too many changes"}
	}
	var failed []string
	for _, condition := range transaction.Conditions {
		if s.rows[condition.Key].ModRevision != condition.ModRevision {
			failed = append(failed, condition.Key)
		}
	}
	for _, operation := range transaction.Operations {
		if operation.Set != "" && operation.Lease != 0 && s.leases[operation.Lease] == nil {
			return http.StatusBadRequest, wire.Error{Error: "no such lease"}
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, wire.TxnResponse{Revision: s.revision, Failed: failed}
	}
	if len(transaction.Operations) == 0 {
		return http.StatusOK, wire.TxnResponse{Revision: s.revision}
	}
	s.revision++
	s.applied = append(s.applied, transaction)
	for _, operation := range transaction.Operations {
		s.counts.changes++
		if operation.Set == "" {
			if _, ok := s.rows[operation.Delete]; ok {
				delete(s.rows, operation.Delete)
				s.appendEvent(wire.Event{Delete: operation.Delete, ModRevision: s.revision})
			}
			continue
		}
		raw, err := msgpack.Marshal(operation.Value)
		if err != nil {
			return http.StatusBadRequest, wire.Error{Error: err.Error()}
		}
		s.rows[operation.Set] = wire.Row{Key: operation.Set, Value: raw, ModRevision: s.revision, Lease: operation.Lease}
		s.appendEvent(wire.Event{Set: operation.Set, Value: raw, ModRevision: s.revision})
	}
	return http.StatusOK, wire.TxnResponse{Revision: s.revision}
}

// String lists the keys, for failure messages of tests.
func (s *State) String() string { return fmt.Sprint(s.Keys("")) }
