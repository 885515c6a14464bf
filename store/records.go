package store

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"cedardoor/wire"
)

// Keys of the state service. A job lives under "j/" and, once it is over, under
// "f/" for ever; it moves in one transaction, so a reader that looks at "j/"
// first and then at "f/" never misses it. That keeps what a new leader has to
// read to the unfinished jobs. A job that is done is noted so in its record
// under "j/", by one change, and moves when there are changes to spare.
const (
	KeyLead        = "lead"
	KeyToken       = "warrant"
	KeyCatalog     = "catalog"
	KeyDemand      = "demand"
	PrefixJob      = "j/"
	PrefixFinal    = "f/"
	PrefixAttempts = "p/"
	PrefixShared   = "s/"
)

// JobKey names the record of an unfinished job.
func JobKey(uid string) string { return PrefixJob + uid }

// FinalKey names the record of a job that is over.
func FinalKey(uid string) string { return PrefixFinal + uid }

// ChunkKey names the record of one run of a job's tasks.
func ChunkKey(uid string, chunk int) string {
	return fmt.Sprintf("%s%s/%05d", PrefixAttempts, uid, chunk)
}

// ParseChunkKey is the inverse of ChunkKey.
func ParseChunkKey(key string) (uid string, chunk int, ok bool) {
	uid, num, found := strings.Cut(strings.TrimPrefix(key, PrefixAttempts), "/")
	chunk, err := strconv.Atoi(num)
	return uid, chunk, found && err == nil && chunk >= 0 && strings.HasPrefix(key, PrefixAttempts)
}

// SharedKey names the n-th record of single tasks' attempts that a term made;
// the stamp of its lead is never another term's.
func SharedKey(term uint64, n int) string { return fmt.Sprintf("%s%d.%d", PrefixShared, term, n) }

// LeadRecord says who leads.
type LeadRecord struct {
	Node  string `msgpack:"n"`
	Nonce string `msgpack:"w"`
}

// TokenRecord is the durable counter of tokens.
type TokenRecord struct {
	Token uint64 `msgpack:"t"`
	Nonce string `msgpack:"w"`
}

// JobRecord is an accepted, unfinished job.
type JobRecord struct {
	Spec       wire.Spec `msgpack:"s"`
	AcceptedUS int64     `msgpack:"a"`
	Node       string    `msgpack:"n"`
	// Final is its final state, when it is over and has not moved yet; of the
	// specification only the name is kept then.
	Final *FinalRecord `msgpack:"o,omitempty"`
}

// SharedRecord holds the attempts of single tasks of many jobs, so that thousands
// of small jobs share records and changes.
type SharedRecord struct {
	Nonce string      `msgpack:"w"`
	Rows  []SharedRow `msgpack:"r"`
}

// SharedRow is the recorded attempt of a job's only task: an empty Host means that it waits.
type SharedRow struct {
	UID         string `msgpack:"u"`
	Attempt     uint64 `msgpack:"t"`
	Machine     string `msgpack:"h,omitempty"`
	Incarnation uint64 `msgpack:"s"`
}

// JobsPerSharedRecord is how many jobs share a record of attempts: rows of at most about
// 100 bytes in JSON form stay under the smallest value limit.
const JobsPerSharedRecord = 60

// DemandRecord is the rate of arriving work as the leader last saw it, and
// each class's run times as a count and a sum in microseconds.
type DemandRecord struct {
	Cores        float64             `msgpack:"c"`
	RAM          float64             `msgpack:"r"`
	Accelerators float64             `msgpack:"a"`
	Classes      map[string][2]int64 `msgpack:"l"`
}

// FinalRecord is a job's final state, with what its tasks take: some may still
// be on their machines, and count for room and for their team's limit.
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
func NewFinalRecord(s *wire.Spec, status, nonce string) FinalRecord {
	return FinalRecord{Status: status, Tasks: s.Tasks, Nonce: nonce, Team: s.Team, Cores: s.Cores, Accelerators: s.Accelerators, RAM: s.RAM}
}

// FinalStateIn gives the final state that a job's record holds; nil when the job is
// not over. A record that can't be decoded tells neither.
func FinalStateIn(value []byte) (*FinalRecord, error) {
	var rec struct {
		Spec struct {
			UID string `msgpack:"uid"`
		} `msgpack:"s"`
		Over *FinalRecord `msgpack:"o"`
	}
	if err := wire.Unmarshal(value, &rec); err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	if rec.Spec.UID == "" {
		return nil, errors.New("job record: no job")
	}
	return rec.Over, nil
}

// TaskAttempt is a task's recorded attempt: an empty Host means that it waits.
type TaskAttempt struct {
	Index       int
	Attempt     uint64
	Machine     string
	Incarnation uint64
}

// ChunkRecord holds the attempts and results of up to ChunkPieces tasks.
// Done is a hexadecimal bitmap; Runs holds [index, attempt, host number, session],
// with host number -1 for a task that waits after an attempt.
type ChunkRecord struct {
	Nonce    string    `msgpack:"w"`
	Done     string    `msgpack:"d"`
	Machines []string  `msgpack:"h"`
	Attempts [][]int64 `msgpack:"r"`
}

// TasksPerChunk is how many tasks one record holds: 120 rows of at most about 30
// bytes in JSON form and as many host names stay under the smallest value limit.
const TasksPerChunk = 120

// NewChunkRecord builds a chunk's record. Indexes count from the chunk's first task.
func NewChunkRecord(nonce string, done []bool, runs []TaskAttempt) ChunkRecord {
	rec := ChunkRecord{Nonce: nonce, Machines: []string{}, Attempts: make([][]int64, 0, len(runs))}
	var b strings.Builder
	for i := 0; i < len(done); i += 4 {
		v := 0
		for k := range 4 {
			if i+k < len(done) && done[i+k] {
				v |= 1 << k
			}
		}
		b.WriteString(strconv.FormatInt(int64(v), 16))
	}
	rec.Done = b.String()
	number := map[string]int64{"": -1}
	for _, r := range runs {
		n, ok := number[r.Machine]
		if !ok {
			n = int64(len(rec.Machines))
			number[r.Machine] = n
			rec.Machines = append(rec.Machines, r.Machine)
		}
		rec.Attempts = append(rec.Attempts, []int64{int64(r.Index), int64(r.Attempt), n, int64(r.Incarnation)})
	}
	return rec
}

// Decode is the inverse of Pack for a chunk of n tasks.
func (rec ChunkRecord) Decode(n int) (done []bool, runs []TaskAttempt, err error) {
	done = make([]bool, n)
	for i, c := range rec.Done {
		v, err := strconv.ParseInt(string(c), 16, 8)
		if err != nil {
			return nil, nil, fmt.Errorf("chunk bitmap: %w", err)
		}
		for k := range 4 {
			if v&(1<<k) == 0 {
				continue
			}
			if i*4+k >= n {
				return nil, nil, fmt.Errorf("chunk bitmap: task %d of %d", i*4+k, n)
			}
			done[i*4+k] = true
		}
	}
	for _, r := range rec.Attempts {
		if len(r) != 4 || r[0] < 0 || r[0] >= int64(n) || r[1] < 0 || r[2] < -1 || r[2] >= int64(len(rec.Machines)) || r[3] < 0 {
			return nil, nil, fmt.Errorf("chunk row %v", r)
		}
		p := TaskAttempt{Index: int(r[0]), Attempt: uint64(r[1]), Incarnation: uint64(r[3])}
		if r[2] >= 0 {
			p.Machine = rec.Machines[r[2]]
		}
		runs = append(runs, p)
	}
	return done, runs, nil
}
