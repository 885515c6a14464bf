package recovery

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"cedardoor/store"
	"cedardoor/wire"
)

// readJobs reads the records of unfinished jobs, and of finished jobs that have not been moved to
// the final states yet.
func (r *Records) readJobs(ctx context.Context, source Source) error {
	rows, revision, err := source.List(ctx, store.Urgent, store.PrefixJob)
	if err != nil {
		return fmt.Errorf("read jobs: %w", err)
	}
	r.Revision = revision
	for _, row := range rows {
		uid := strings.TrimPrefix(row.Key, store.PrefixJob)
		record, err := DecodeJob(row)
		switch {
		case err != nil && !wire.ValidUID(uid):
			r.addDamage(Damage{Key: row.Key, Kind: DamageUnknownKey})
		case err != nil:
			r.States[uid] = JobUnreadable
			r.addDamage(Damage{Key: row.Key, Kind: DamageJob, Job: uid, Detail: err.Error()})
		case record.Final != nil:
			r.States[uid] = JobFinished
			r.FinalStates[uid] = *record.Final
			r.FinalMoves = append(r.FinalMoves, FinalMoveRow{UID: uid, ModRevision: row.ModRevision, Record: *record.Final})
		default:
			r.States[uid] = JobActive
			r.Jobs = append(r.Jobs, JobRow{Key: row.Key, ModRevision: row.ModRevision, Record: record})
		}
	}
	return nil
}

// DecodeJob decodes a job's record and checks that it is valid and belongs to the job that its key
// names.
func DecodeJob(row wire.Row) (record store.JobRecord, err error) {
	if err := wire.Unmarshal(row.Value, &record); err != nil {
		return record, fmt.Errorf("decode record %s: %w", row.Key, err)
	}
	spec := &record.Spec
	if store.JobKey(spec.UID) != row.Key || !wire.ValidUID(spec.UID) {
		return record, fmt.Errorf("record %s: key does not match the job id", row.Key)
	}
	if record.Final == nil && (spec.Tasks < 1 || spec.Tasks > wire.MaxTasks) {
		return record, fmt.Errorf("record %s: invalid number of tasks %d", row.Key, spec.Tasks)
	}
	return record, nil
}

// readShared reads the records shared by single-task jobs.
func (r *Records) readShared(ctx context.Context, source Source) error {
	rows, _, err := source.List(ctx, store.Urgent, store.PrefixShared)
	if err != nil {
		return fmt.Errorf("read shared attempts: %w", err)
	}
	for _, row := range rows {
		shared := SharedRow{Key: row.Key, ModRevision: row.ModRevision}
		if err := wire.Unmarshal(row.Value, &shared.Record); err != nil {
			shared.Unreadable, shared.Record = true, store.SharedRecord{}
			r.addDamage(Damage{Key: row.Key, Kind: DamageShared, Detail: err.Error()})
		}
		r.Shared = append(r.Shared, shared)
	}
	return nil
}

// readCatalogAndDemand reads the machine types and the demand. The leader rebuilds them if they
// can't be decoded.
func (r *Records) readCatalogAndDemand(ctx context.Context, source Source) error {
	catalog, revision, err := store.ReadCatalog(func(key string) (row wire.Row, found bool, err error) { return source.Get(ctx, store.Urgent, key) })
	switch {
	case errors.Is(err, store.ErrBadRecord):
		r.addDamage(Damage{Key: store.KeyCatalog, Kind: DamageRebuilt, Detail: err.Error()})
	case err != nil:
		return fmt.Errorf("read machine types: %w", err)
	case revision > 0:
		r.Catalog = &CatalogRow{ModRevision: revision, Catalog: catalog}
	}
	var demand store.DemandRecord
	_, usable, err := r.readRebuilt(ctx, source, store.KeyDemand, &demand)
	if usable {
		r.Demand = &demand
	}
	return err
}

// readRebuilt reads a record that the leader can rebuild; usable is false if the record does not
// exist or can't be decoded.
func (r *Records) readRebuilt(ctx context.Context, source Source, key string, value any) (modRevision uint64, usable bool, err error) {
	row, found, err := source.Get(ctx, store.Urgent, key)
	if err != nil {
		return 0, false, fmt.Errorf("read record %s: %w", key, err)
	}
	if !found {
		return 0, false, nil
	}
	if err := wire.Unmarshal(row.Value, value); err != nil {
		r.addDamage(Damage{Key: key, Kind: DamageRebuilt, Detail: err.Error()})
		return 0, false, nil
	}
	return row.ModRevision, true, nil
}

// readFinalStates reads the final states of the jobs that have recorded attempts but no record under
// store.PrefixJob.
func (r *Records) readFinalStates(ctx context.Context, source Source) error {
	for _, uid := range r.jobsWithAttempts() {
		if r.States[uid] != JobNotRead {
			continue
		}
		row, found, err := source.Get(ctx, store.Urgent, store.FinalKey(uid))
		if err != nil {
			return fmt.Errorf("read final state of job %s: %w", uid, err)
		}
		var final FinalRecord
		switch err := wire.Unmarshal(row.Value, &final); {
		case !found:
			r.States[uid] = JobUnrecorded
			r.addDamage(Damage{Key: store.JobKey(uid), Kind: DamageMissingJob, Job: uid})
		case err != nil:
			// Only finished jobs have this key, so the job is finished even if its record can't be decoded.
			r.States[uid] = JobFinished
			r.addDamage(Damage{Key: store.FinalKey(uid), Kind: DamageFinalState, Job: uid, Detail: err.Error()})
		default:
			r.States[uid], r.FinalStates[uid] = JobFinished, final
		}
	}
	return nil
}

// jobsWithAttempts returns the ids of the jobs with recorded attempts. Ids may repeat.
func (r *Records) jobsWithAttempts() []string {
	var uids []string
	for _, chunk := range r.Chunks {
		uids = append(uids, chunk.UID)
	}
	for _, shared := range r.Shared {
		for _, row := range shared.Record.Rows {
			uids = append(uids, row.UID)
		}
	}
	return uids
}
