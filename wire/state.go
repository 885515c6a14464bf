package wire

import "github.com/vmihailenco/msgpack/v5"

// Row is a key of the state service.
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

// Condition is a condition of a transaction; stamp 0 means that the key must not exist.
type Condition struct {
	Key         string `msgpack:"path"`
	ModRevision uint64 `msgpack:"stamp"`
}

// Operation is one change of a transaction: a set or a delete.
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

// TxnResponse is the body of a transaction's 200 and 409.
type TxnResponse struct {
	Revision uint64   `msgpack:"epoch"`
	Failed   []string `msgpack:"failed"`
}

// LeaseRequest asks for a lease in the state service.
type LeaseRequest struct {
	TTLMillis int64 `msgpack:"ttl_ms"`
}

// LeaseResponse names a granted lease.
type LeaseResponse struct {
	Lease uint64 `msgpack:"hold"`
}

// Event is one change in a watch: Set or Delete names the key.
type Event struct {
	Set         string             `msgpack:"set"`
	Delete      string             `msgpack:"delete"`
	Value       msgpack.RawMessage `msgpack:"v"`
	ModRevision uint64             `msgpack:"stamp"`
}

// WatchResponse is a watch's answer.
type WatchResponse struct {
	Revision uint64  `msgpack:"epoch"`
	Events   []Event `msgpack:"events"`
}
