package wire

import "github.com/vmihailenco/msgpack/v5"

// Row is a key with its value in the state service.
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

// Condition is a condition of a transaction: the key's revision, zero if it must not exist.
type Condition struct {
	Key         string `msgpack:"path"`
	ModRevision uint64 `msgpack:"stamp"`
}

// Operation is one change of a transaction: Set or Delete names the key.
type Operation struct {
	Set    string `msgpack:"set,omitempty"`
	Value  any    `msgpack:"v,omitempty"`
	Lease  uint64 `msgpack:"hold,omitempty"`
	Delete string `msgpack:"delete,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	Conditions []Condition `msgpack:"when"`
	Operations []Operation `msgpack:"apply"`
}

// TxnResponse is the response to a transaction: the revision that it was committed with, or the keys
// whose conditions failed.
type TxnResponse struct {
	Revision uint64   `msgpack:"epoch"`
	Failed   []string `msgpack:"failed"`
}

// LeaseRequest requests a lease in the state service.
type LeaseRequest struct {
	TTLMillis int64 `msgpack:"ttl_ms"`
}

// LeaseResponse is the response with the granted lease.
type LeaseResponse struct {
	Lease uint64 `msgpack:"hold"`
}

// Event is one change of a key: Set or Delete names the key.
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
