package store

import (
	"errors"
	"fmt"

	"cedardoor/wire"
)

// LeaderRecord names the leader. The nonce identifies the campaign that wrote it.
type LeaderRecord struct {
	Node  string `msgpack:"n"`
	Nonce string `msgpack:"w"`
}

// TokenRecord is the durable counter of fencing tokens. The nonce identifies the increment
// that wrote it.
type TokenRecord struct {
	Token uint64 `msgpack:"t"`
	Nonce string `msgpack:"w"`
}

// JobRecord is the record of an accepted job that has not been moved to its final key.
type JobRecord struct {
	Spec       wire.Spec `msgpack:"s"`
	AcceptedUS int64     `msgpack:"a"` // as Unix time in microseconds
	Node       string    `msgpack:"n"` // the node that accepted the job
	// Final is the job's final state, or nil if the job is unfinished. With a final
	// state, only the UID of the specification is kept.
	Final *FinalRecord `msgpack:"o,omitempty"`
}

// SharedRecord holds the attempts of many single-task jobs, so that thousands of small
// jobs take few records and writes.
type SharedRecord struct {
	Nonce string      `msgpack:"w"`
	Rows  []SharedRow `msgpack:"r"`
}

// SharedRow is the recorded attempt of a job's only task. An empty Machine means that the
// task is waiting.
type SharedRow struct {
	UID         string `msgpack:"u"`
	Attempt     uint64 `msgpack:"t"`
	Machine     string `msgpack:"h,omitempty"`
	Incarnation uint64 `msgpack:"s"`
}

// JobsPerSharedRecord is how many jobs share a record of attempts: in JSON form, their rows
// of up to about 100 bytes stay under the smallest value limit.
const JobsPerSharedRecord = 60

// DemandRecord is the arrival rate of work that the leader last recorded.
type DemandRecord struct {
	Cores        float64 `msgpack:"c"`
	RAM          float64 `msgpack:"r"`
	Accelerators float64 `msgpack:"a"`
	// Classes holds the run times per class: their count and their sum in microseconds.
	Classes map[string][2]int64 `msgpack:"l"`
}

// FinalRecord is a job's final state, with the resources of each of its tasks: tasks that
// are still on machines count toward used capacity and their team's limit.
type FinalRecord struct {
	Status       string  `msgpack:"s"`
	Tasks        int     `msgpack:"p"`
	Nonce        string  `msgpack:"w"`
	Team         string  `msgpack:"o"`
	Cores        float64 `msgpack:"c"`
	Accelerators float64 `msgpack:"a"`
	RAM          float64 `msgpack:"r"`
}

// NewFinalRecord returns the final record of a job.
func NewFinalRecord(spec *wire.Spec, status, nonce string) FinalRecord {
	return FinalRecord{Status: status, Tasks: spec.Tasks, Nonce: nonce, Team: spec.Team,
		Cores: spec.Cores, Accelerators: spec.Accelerators, RAM: spec.RAM}
}

// errNoJob means that a job's record contains no job id.
var errNoJob = errors.New("job record: no job id")

// DecodeFinalState returns the final state in a job's record, or nil if the job is unfinished. It
// fails if the record can't be decoded or contains no job id.
func DecodeFinalState(value []byte) (*FinalRecord, error) {
	var record struct {
		Spec struct {
			UID string `msgpack:"uid"`
		} `msgpack:"s"`
		Final *FinalRecord `msgpack:"o"`
	}
	if err := wire.Unmarshal(value, &record); err != nil {
		return nil, fmt.Errorf("decode job record: %w", err)
	}
	if record.Spec.UID == "" {
		return nil, errNoJob
	}
	return record.Final, nil
}
