package recovery

import (
	"context"
	"fmt"

	"cedardoor/store"
	"cedardoor/wire"
)

// ReadJob reads the state of one job. It reads the record of the unfinished job before the final
// state: a job moves from the former to the latter in one transaction, so reading in this order
// can't miss it. The returned row is valid only if the job is active.
func ReadJob(ctx context.Context, source Source, uid string) (JobState, wire.Row, error) {
	row, found, err := source.Get(ctx, store.Urgent, store.JobKey(uid))
	if err != nil {
		return JobNotRead, row, fmt.Errorf("read job %s: %w", uid, err)
	}
	if found {
		record, err := DecodeJob(row)
		switch {
		case err != nil:
			return JobUnreadable, row, nil
		case record.Final != nil:
			return JobFinished, row, nil
		}
		return JobActive, row, nil
	}
	_, found, err = source.Get(ctx, store.Urgent, store.FinalKey(uid))
	if err != nil {
		return JobNotRead, row, fmt.Errorf("read final state of job %s: %w", uid, err)
	}
	if found {
		return JobFinished, row, nil // even if the final state can't be decoded
	}
	return JobUnrecorded, row, nil
}
