package recovery

import (
	"context"

	"cedardoor/store"
	"cedardoor/wire"
)

// Source is where the records are read from. Reads are consistent: they return what is durable when
// they are made.
type Source interface {
	// List reads all keys with a prefix, page by page. Its revision is that of the first page.
	List(ctx context.Context, priority store.Priority, prefix string) (rows []wire.Row, revision uint64, err error)
	// Get reads one key.
	Get(ctx context.Context, priority store.Priority, key string) (row wire.Row, found bool, err error)
}

// Records is everything that a new leader reads of its predecessors' records.
type Records struct {
	Revision    uint64 // of the first read
	Jobs        []JobRow
	FinalMoves  []FinalMoveRow
	States      map[string]JobState    // of every job that any record names
	FinalStates map[string]FinalRecord // of the finished jobs whose final state can be decoded
	Chunks      []ChunkRow
	Shared      []SharedRow
	Catalog     *CatalogRow         // nil if there is none that can be decoded
	Demand      *store.DemandRecord // nil if there is none that can be decoded
	Damaged     []Damage
}

// JobRow is the record of an accepted, unfinished job.
type JobRow struct {
	Key         string
	ModRevision uint64
	Record      store.JobRecord
}

// FinalMoveRow is the record of a finished job that is still to be moved to the final states.
type FinalMoveRow struct {
	UID         string
	ModRevision uint64
	Record      store.FinalRecord
}

// FinalRecord is a job's final state.
type FinalRecord = store.FinalRecord

// ChunkRow is the record of the attempts of some of a job's tasks.
type ChunkRow struct {
	UID         string
	Number      int
	ModRevision uint64
	Unreadable  bool // it can't be decoded, so its attempts are unknown
	Done        []bool
	Attempts    []store.TaskAttempt
}

// SharedRow is a record that several single-task jobs share.
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

// Read reads all records. Records that can't be decoded are listed as damaged; only a state service
// that does not answer is an error.
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
	if err := r.readFleet(ctx, source); err != nil {
		return nil, err
	}
	if err := r.readFinalStates(ctx, source); err != nil {
		return nil, err
	}
	r.checkChunks()
	return r, nil
}

// addDamage lists a damaged record.
func (r *Records) addDamage(d Damage) { r.Damaged = append(r.Damaged, d) }
