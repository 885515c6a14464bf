package wire

import "github.com/vmihailenco/msgpack/v5"

// Row is a key of the state service.
type Row struct {
	Path  string             `msgpack:"path"`
	Value msgpack.RawMessage `msgpack:"v"`
	Stamp uint64             `msgpack:"stamp"`
	Hold  uint64             `msgpack:"hold"`
}

// Rows is one page of keys.
type Rows struct {
	Rows    []Row  `msgpack:"rows"`
	HasNext bool   `msgpack:"has_next"`
	Epoch   uint64 `msgpack:"epoch"`
}

// When is a condition of a transaction; stamp 0 means that the key must not exist.
type When struct {
	Path  string `msgpack:"path"`
	Stamp uint64 `msgpack:"stamp"`
}

// Apply is one change of a transaction: a set or a delete.
type Apply struct {
	Set    string `msgpack:"set,omitempty"`
	Value  any    `msgpack:"v,omitempty"`
	Hold   uint64 `msgpack:"hold,omitempty"`
	Delete string `msgpack:"delete,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	When  []When  `msgpack:"when"`
	Apply []Apply `msgpack:"apply"`
}

// TxnAnswer is the body of a transaction's 200 and 409.
type TxnAnswer struct {
	Epoch  uint64   `msgpack:"epoch"`
	Failed []string `msgpack:"failed"`
}

// HoldRequest asks for a lease in the state service.
type HoldRequest struct {
	TTLms int64 `msgpack:"ttl_ms"`
}

// HoldAnswer names a granted lease.
type HoldAnswer struct {
	Hold uint64 `msgpack:"hold"`
}

// Event is one change in a watch: Set or Delete names the key.
type Event struct {
	Set    string             `msgpack:"set"`
	Delete string             `msgpack:"delete"`
	Value  msgpack.RawMessage `msgpack:"v"`
	Stamp  uint64             `msgpack:"stamp"`
}

// Changes is a watch's answer.
type Changes struct {
	Epoch  uint64  `msgpack:"epoch"`
	Events []Event `msgpack:"events"`
}
