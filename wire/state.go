package wire

import "github.com/vmihailenco/msgpack/v5"

// Row is a key of the state service with its value.
type Row struct {
	Key         string             `msgpack:"path"`
	Value       msgpack.RawMessage `msgpack:"v"`
	ModRevision uint64             `msgpack:"stamp"`
	Lease       uint64             `msgpack:"hold"`
}

// Rows is one page of keys.
type Rows struct {
	Rows     []Row  `msgpack:"rows"`
	HasNext  bool   `msgpack:"has_next"`
	Revision uint64 `msgpack:"epoch"`
}

// Condition is a condition of a transaction: the key must be at ModRevision, or must not exist if
// that is zero.
type Condition struct {
	Key         string `msgpack:"path"`
	ModRevision uint64 `msgpack:"stamp"`
}

// Operation is one change of a transaction. Either Set or Delete names the key.
type Operation struct {
	Set    string `msgpack:"set,omitempty"`
	Value  any    `msgpack:"v,omitempty"`
	Lease  uint64 `msgpack:"hold,omitempty"`
	Delete string `msgpack:"delete,omitempty"`
}

// Txn is a transaction. Its operations are applied together if all conditions hold.
type Txn struct {
	Conditions []Condition `msgpack:"when"`
	Operations []Operation `msgpack:"apply"`
}

// TxnResponse is the response to a transaction: the revision at which it was committed, or the keys
// whose conditions failed.
type TxnResponse struct {
	Revision uint64   `msgpack:"epoch"`
	Failed   []string `msgpack:"failed"`
}

// LeaseRequest requests a lease in the state service.
type LeaseRequest struct {
	TTLMillis int64 `msgpack:"ttl_ms"`
}

// LeaseResponse is the response that grants a lease.
type LeaseResponse struct {
	Lease uint64 `msgpack:"hold"`
}

// Event is one change of a key. Either Set or Delete names the key.
type Event struct {
	Set         string             `msgpack:"set"`
	Delete      string             `msgpack:"delete"`
	Value       msgpack.RawMessage `msgpack:"v"`
	ModRevision uint64             `msgpack:"stamp"`
}

// WatchResponse lists the changes up to a revision.
type WatchResponse struct {
	Revision uint64  `msgpack:"epoch"`
	Events   []Event `msgpack:"events"`
}
