package store

import (
	"errors"
	"fmt"

	"cedardoor/wire"
)

// LeaderRecord tells who leads. Its nonce marks the campaign that wrote it.
type LeaderRecord struct {
	Node  string `msgpack:"n"`
	Nonce string `msgpack:"w"`
}

// TokenRecord is the durable counter of fencing tokens. Its nonce marks the raise that wrote it.
type TokenRecord struct {
	Token uint64 `msgpack:"t"`
	Nonce string `msgpack:"w"`
}

// JobRecord is an accepted job that has not moved to its final key.
type JobRecord struct {
	Spec       wire.Spec `msgpack:"s"`
	AcceptedUS int64     `msgpack:"a"` // as Unix time in microseconds
	Node       string    `msgpack:"n"` // that accepted it
	// Final is the job's final state, when it is over; of the specification only the
	// job's name is kept then.
	Final *FinalRecord `msgpack:"o,omitempty"`
}

// SharedRecord holds the attempts of many single-task jobs, so that thousands of
// small jobs share records and changes.
type SharedRecord struct {
	Nonce string      `msgpack:"w"`
	Rows  []SharedRow `msgpack:"r"`
}

// SharedRow is the recorded attempt of a job's only task: an empty Machine means that the task waits.
type SharedRow struct {
	UID         string `msgpack:"u"`
	Attempt     uint64 `msgpack:"t"`
	Machine     string `msgpack:"h,omitempty"`
	Incarnation uint64 `msgpack:"s"`
}

// JobsPerSharedRecord is how many jobs share a record of attempts: rows of at most about
// 100 bytes in JSON form stay under the smallest value limit.
const JobsPerSharedRecord = 60

// DemandRecord is the rate of arriving work as the leader last saw it.
type DemandRecord struct {
	Cores        float64 `msgpack:"c"`
	RAM          float64 `msgpack:"r"`
	Accelerators float64 `msgpack:"a"`
	// Classes are the run times of each class: their count, and their sum in microseconds.
	Classes map[string][2]int64 `msgpack:"l"`
}

// FinalRecord is a job's final state, with what each of its tasks takes: some may still
// be on their machines, and count for capacity and for their team's limit.
type FinalRecord struct {
	Status       string  `msgpack:"s"`
	Tasks        int     `msgpack:"p"`
	Nonce        string  `msgpack:"w"`
	Team         string  `msgpack:"o"`
	Cores        float64 `msgpack:"c"`
	Accelerators float64 `msgpack:"a"`
	RAM          float64 `msgpack:"r"`
}

// NewFinalRecord makes the final record of a job.
func NewFinalRecord(spec *wire.Spec, status, nonce string) FinalRecord {
	return FinalRecord{Status: status, Tasks: spec.Tasks, Nonce: nonce, Team: spec.Team,
		Cores: spec.Cores, Accelerators: spec.Accelerators, RAM: spec.RAM}
}

// errNoJob means that a job's record names no job.
var errNoJob = errors.New("job record: no job")

// FinalStateIn gives the final state that a job's record holds; nil when the job is
// not over. A record that can't be decoded tells neither.
func FinalStateIn(value []byte) (*FinalRecord, error) {
	var record struct {
		Spec struct {
			UID string `msgpack:"uid"`
		} `msgpack:"s"`
		Final *FinalRecord `msgpack:"o"`
	}
	if err := wire.Unmarshal(value, &record); err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	if record.Spec.UID == "" {
		return nil, errNoJob
	}
	return record.Final, nil
}
