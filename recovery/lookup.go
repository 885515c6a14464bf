package recovery

import (
	"context"
	"fmt"

	"cedardoor/store"
	"cedardoor/wire"
)

// ReadJob reads what the records say of one job: among the unfinished ones first, since a
// job leaves them for the final states in one transaction and is never in neither. The
// row is that of a job that is active.
func ReadJob(ctx context.Context, source Source, uid string) (JobState, wire.Row, error) {
	row, found, err := source.Get(ctx, store.Urgent, store.JobKey(uid))
	if err != nil {
		return JobNotRead, row, fmt.Errorf("job %s: %w", uid, err)
	}
	if found {
		record, err := DecodeJob(row)
		switch {
		case err != nil:
			return JobUnreadable, row, nil
		case record.Final != nil:
			return JobOver, row, nil
		}
		return JobActive, row, nil
	}
	_, found, err = source.Get(ctx, store.Urgent, store.FinalKey(uid))
	if err != nil {
		return JobNotRead, row, fmt.Errorf("final state of %s: %w", uid, err)
	}
	if found {
		return JobOver, row, nil // whatever it says
	}
	return JobUnrecorded, row, nil
}
