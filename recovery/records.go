package recovery

import (
	"context"
	"fmt"
	"strings"

	"cedardoor/store"
	"cedardoor/wire"
)

// Source is where records are read. Both calls are consistent: they give what is durable when they are made.
type Source interface {
	// List reads all keys with a prefix, page by page.
	List(ctx context.Context, prio store.Priority, prefix string) (rows []wire.Row, epoch uint64, err error)
	// Get reads one key.
	Get(ctx context.Context, prio store.Priority, key string) (row wire.Row, found bool, err error)
}

// Records is everything that a new leader reads of its predecessors.
type Records struct {
	Epoch   uint64 // of the first read
	Jobs    []JobRow
	Settled []SettledRow           // jobs that are over and still to move to their final place
	States  map[string]JobState    // of every job that is named anywhere
	Over    map[string]FinalRecord // final states of those that are over, where they can be read
	Chunks  []ChunkRow
	Shared  []SharedRow
	Catalog *CatalogRow         // nil where there is none that can be read
	Demand  *store.DemandRecord // the same
	Damaged []Damage
}

// JobRow is the record of an accepted, unfinished job.
type JobRow struct {
	Key    string
	Stamp  uint64
	Record store.JobRecord
}

// SettledRow is the record of a job that is over and has not moved.
type SettledRow struct {
	UID    string
	Stamp  uint64
	Record store.FinalRecord
}

// FinalRecord is a job's final state.
type FinalRecord = store.FinalRecord

// ChunkRow is the record of some of a job's tasks.
type ChunkRow struct {
	UID        string
	Number     int
	Stamp      uint64
	Unreadable bool // it can't be decoded: which attempts there are is not known
	Done       []bool
	Runs       []store.TaskAttempt
}

// SharedRow is a record that single tasks of many jobs share.
type SharedRow struct {
	Key        string
	Stamp      uint64
	Unreadable bool
	Record     store.SharedRecord
}

// CatalogRow is the record of the machine types.
type CatalogRow struct {
	Stamp   uint64
	Catalog wire.Catalog
}

// Read reads all records. What can't be decoded is listed and keeps nothing else up; only a
// state service that does not answer is an error.
func Read(ctx context.Context, source Source) (*Records, error) {
	r := &Records{States: map[string]JobState{}, Over: map[string]FinalRecord{}}
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
	r.unpackChunks()
	return r, nil
}

func (r *Records) damage(d Damage) { r.Damaged = append(r.Damaged, d) }

func (r *Records) readJobs(ctx context.Context, source Source) error {
	rows, epoch, err := source.List(ctx, store.Urgent, store.PrefixJob)
	if err != nil {
		return fmt.Errorf("jobs: %w", err)
	}
	r.Epoch = epoch
	for _, row := range rows {
		uid := strings.TrimPrefix(row.Key, store.PrefixJob)
		record, err := DecodeJob(row)
		switch {
		case err != nil && !wire.ValidUID(uid):
			r.damage(Damage{Key: row.Key, Kind: DamageUnknownKey})
		case err != nil:
			r.States[uid] = JobUnreadable
			r.damage(Damage{Key: row.Key, Kind: DamageJob, Job: uid, Detail: err.Error()})
		case record.Final != nil:
			r.States[uid] = JobOver
			r.Over[uid] = *record.Final
			r.Settled = append(r.Settled, SettledRow{UID: uid, Stamp: row.ModRevision, Record: *record.Final})
		default:
			r.States[uid] = JobActive
			r.Jobs = append(r.Jobs, JobRow{Key: row.Key, Stamp: row.ModRevision, Record: record})
		}
	}
	return nil
}

// DecodeJob reads a job's record and checks that it is of the job that its key names.
func DecodeJob(row wire.Row) (record store.JobRecord, err error) {
	if err := wire.Unmarshal(row.Value, &record); err != nil {
		return record, fmt.Errorf("record %s: %w", row.Key, err)
	}
	spec := &record.Spec
	if store.JobKey(spec.UID) != row.Key || !wire.ValidUID(spec.UID) {
		return record, fmt.Errorf("record %s: not this job's", row.Key)
	}
	if record.Final == nil && (spec.Tasks < 1 || spec.Tasks > wire.MaxTasks) {
		return record, fmt.Errorf("record %s: %d tasks", row.Key, spec.Tasks)
	}
	return record, nil
}

func (r *Records) readChunks(ctx context.Context, source Source) error {
	rows, _, err := source.List(ctx, store.Urgent, store.PrefixAttempts)
	if err != nil {
		return fmt.Errorf("attempts: %w", err)
	}
	for _, row := range rows {
		uid, number, ok := store.ParseChunkKey(row.Key)
		if !ok || !wire.ValidUID(uid) {
			r.damage(Damage{Key: row.Key, Kind: DamageUnknownKey})
			continue
		}
		chunk := ChunkRow{UID: uid, Number: number, Stamp: row.ModRevision}
		var record store.ChunkRecord
		err := wire.Unmarshal(row.Value, &record)
		if err == nil {
			// Bounds that depend on the job are checked when that is known.
			chunk.Done, chunk.Runs, err = record.Decode(store.TasksPerChunk)
		}
		if err != nil {
			chunk.Unreadable = true
			r.damage(Damage{Key: row.Key, Kind: DamageAttempts, Job: uid, Detail: err.Error()})
		}
		r.Chunks = append(r.Chunks, chunk)
	}
	return nil
}

func (r *Records) readShared(ctx context.Context, source Source) error {
	rows, _, err := source.List(ctx, store.Urgent, store.PrefixShared)
	if err != nil {
		return fmt.Errorf("shared attempts: %w", err)
	}
	for _, row := range rows {
		shared := SharedRow{Key: row.Key, Stamp: row.ModRevision}
		if err := wire.Unmarshal(row.Value, &shared.Record); err != nil {
			shared.Unreadable, shared.Record = true, store.SharedRecord{}
			r.damage(Damage{Key: row.Key, Kind: DamageShared, Detail: err.Error()})
		}
		r.Shared = append(r.Shared, shared)
	}
	return nil
}

// readFleet reads what the leader makes anew by itself where it can't be used.
func (r *Records) readFleet(ctx context.Context, source Source) error {
	var catalog wire.Catalog
	stamp, whole, err := r.readRebuilt(ctx, source, store.KeyCatalog, &catalog)
	if err != nil {
		return err
	}
	if whole {
		r.Catalog = &CatalogRow{Stamp: stamp, Catalog: catalog}
	}
	var demand store.DemandRecord
	_, whole, err = r.readRebuilt(ctx, source, store.KeyDemand, &demand)
	if whole {
		r.Demand = &demand
	}
	return err
}

// readRebuilt reads such a record; whole tells whether there is one that can be used.
func (r *Records) readRebuilt(ctx context.Context, source Source, key string, value any) (stamp uint64, whole bool, err error) {
	row, found, err := source.Get(ctx, store.Urgent, key)
	if err != nil {
		return 0, false, fmt.Errorf("record %s: %w", key, err)
	}
	if !found {
		return 0, false, nil
	}
	if err := wire.Unmarshal(row.Value, value); err != nil {
		r.damage(Damage{Key: key, Kind: DamageRebuilt, Detail: err.Error()})
		return 0, false, nil
	}
	return row.ModRevision, true, nil
}

// readFinalStates reads what has become of the jobs that have attempts on record and are
// not among the unfinished ones.
func (r *Records) readFinalStates(ctx context.Context, source Source) error {
	for _, uid := range r.named() {
		if r.States[uid] != JobNotRead {
			continue
		}
		row, found, err := source.Get(ctx, store.Urgent, store.FinalKey(uid))
		if err != nil {
			return fmt.Errorf("final state of %s: %w", uid, err)
		}
		var over FinalRecord
		switch err := wire.Unmarshal(row.Value, &over); {
		case !found:
			r.States[uid] = JobUnrecorded
			r.damage(Damage{Key: store.JobKey(uid), Kind: DamageMissingJob, Job: uid})
		case err != nil:
			// Whatever it says, a job that has moved there is over.
			r.States[uid] = JobOver
			r.damage(Damage{Key: store.FinalKey(uid), Kind: DamageFinalState, Job: uid, Detail: err.Error()})
		default:
			r.States[uid], r.Over[uid] = JobOver, over
		}
	}
	return nil
}

// named lists the jobs that have attempts on record.
func (r *Records) named() []string {
	var out []string
	for _, chunk := range r.Chunks {
		out = append(out, chunk.UID)
	}
	for _, shared := range r.Shared {
		for _, row := range shared.Record.Rows {
			out = append(out, row.UID)
		}
	}
	return out
}

// unpackChunks checks the records of attempts against the sizes of their jobs.
func (r *Records) unpackChunks() {
	tasks := map[string]int{}
	for _, job := range r.Jobs {
		tasks[job.Record.Spec.UID] = job.Record.Spec.Tasks
	}
	kept := r.Chunks[:0]
	for _, chunk := range r.Chunks {
		n, active := tasks[chunk.UID]
		left := n - chunk.Number*store.TasksPerChunk
		switch {
		case !active:
		case left <= 0:
			r.damage(Damage{Key: store.ChunkKey(chunk.UID, chunk.Number), Kind: DamageUnknownKey, Job: chunk.UID})
			continue
		case !chunk.Unreadable && chunk.beyond(left):
			chunk.Unreadable, chunk.Done, chunk.Runs = true, nil, nil
			r.damage(Damage{Key: store.ChunkKey(chunk.UID, chunk.Number), Kind: DamageAttempts, Job: chunk.UID,
				Detail: fmt.Sprintf("it holds more than the %d tasks that are left", left)})
		}
		kept = append(kept, chunk)
	}
	r.Chunks = kept
}

// beyond tells whether a record speaks of tasks that its job does not have.
func (c *ChunkRow) beyond(tasks int) bool {
	for i := tasks; i < len(c.Done); i++ {
		if c.Done[i] {
			return true
		}
	}
	for _, run := range c.Runs {
		if run.Index >= tasks {
			return true
		}
	}
	return false
}
