package recovery

import (
	"context"

	"cedardoor/store"
	"cedardoor/wire"
)

// Source reads records from the state service. Reads are consistent: they return what is durable at
// the time of the read.
type Source interface {
	// List reads all keys with a prefix, page by page. The revision is that of the first page.
	List(ctx context.Context, priority store.Priority, prefix string) (rows []wire.Row, revision uint64, err error)
	// Get reads one key.
	Get(ctx context.Context, priority store.Priority, key string) (row wire.Row, found bool, err error)
}

// Records holds the predecessors' records that a new leader reads.
type Records struct {
	Revision    uint64 // of the first read
	Jobs        []JobRow
	FinalMoves  []FinalMoveRow
	States      map[string]JobState    // of every job that any record names
	FinalStates map[string]FinalRecord // of finished jobs whose final state can be decoded
	Chunks      []ChunkRow
	Shared      []SharedRow
	Catalog     *CatalogRow         // nil if it does not exist or can't be decoded
	Demand      *store.DemandRecord // nil if it does not exist or can't be decoded
	Damaged     []Damage
}

// JobRow is the record of an accepted, unfinished job.
type JobRow struct {
	Key         string
	ModRevision uint64
	Record      store.JobRecord
}

// FinalMoveRow is the record of a finished job that has not been moved to the final states yet.
type FinalMoveRow struct {
	UID         string
	ModRevision uint64
	Record      store.FinalRecord
}

// FinalRecord is a job's final state.
type FinalRecord = store.FinalRecord

// ChunkRow is the record of the attempts of up to store.TasksPerChunk consecutive tasks of a job.
type ChunkRow struct {
	UID         string
	First       int // index of its first task
	Size        int // how many tasks it covers
	ModRevision uint64
	Unreadable  bool // it can't be decoded or is invalid, so its attempts are unknown
	Done        []bool
	Attempts    []store.TaskAttempt
	Leftover    []int // first tasks of parts that are stored but not in use
}

// SharedRow is a record shared by several single-task jobs.
type SharedRow struct {
	Key         string
	ModRevision uint64
	Unreadable  bool
	Record      store.SharedRecord
}

// CatalogRow is the record of the machine types.
type CatalogRow struct {
	ModRevision uint64
	Catalog     wire.Catalog
}

// Read reads all records. It lists records that can't be decoded as damaged, and fails only if a
// read from the state service fails.
func Read(ctx context.Context, source Source) (*Records, error) {
	r := &Records{States: map[string]JobState{}, FinalStates: map[string]FinalRecord{}}
	if err := r.readJobs(ctx, source); err != nil {
		return nil, err
	}
	if err := r.readChunks(ctx, source); err != nil {
		return nil, err
	}
	if err := r.readShared(ctx, source); err != nil {
		return nil, err
	}
	if err := r.readCatalogAndDemand(ctx, source); err != nil {
		return nil, err
	}
	if err := r.readFinalStates(ctx, source); err != nil {
		return nil, err
	}
	r.checkChunks()
	return r, nil
}

func (r *Records) addDamage(d Damage) { r.Damaged = append(r.Damaged, d) }
