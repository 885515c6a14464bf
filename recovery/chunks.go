package recovery

import (
	"context"
	"fmt"

	"cedardoor/store"
	"cedardoor/wire"
)

// readChunks reads the chunks of the jobs' attempts.
func (r *Records) readChunks(ctx context.Context, source Source) error {
	rows, _, err := source.List(ctx, store.Urgent, store.PrefixAttempts)
	if err != nil {
		return fmt.Errorf("read attempts: %w", err)
	}
	for _, row := range rows {
		uid, firstTask, ok := store.ParseChunkKey(row.Key)
		if !ok || !wire.ValidUID(uid) {
			r.addDamage(Damage{Key: row.Key, Kind: DamageUnknownKey})
			continue
		}
		r.addChunk(row, uid, firstTask)
	}
	return nil
}

// addChunk decodes a chunk or a part of one. The parts of a chunk come after its first record.
func (r *Records) addChunk(row wire.Row, uid string, firstTask int) {
	chunk := ChunkRow{UID: uid, First: firstTask, Size: store.TasksPerChunk - firstTask%store.TasksPerChunk, ModRevision: row.ModRevision}
	var record store.ChunkRecord
	err := wire.Unmarshal(row.Value, &record)
	if err == nil {
		// The bounds that depend on the job are left to checkChunks.
		chunk.Done, chunk.Attempts, err = record.Decode(chunk.Size)
	}
	isPart := firstTask%store.TasksPerChunk != 0
	switch {
	case err != nil:
		chunk.Unreadable = true
		r.addDamage(Damage{Key: row.Key, Kind: DamageAttempts, Job: uid, Detail: err.Error()})
	case record.Part != nil:
		chunk.Size = record.Part.Tasks
	case isPart:
		chunk.Unreadable, chunk.Done, chunk.Attempts = true, nil, nil
		r.addDamage(Damage{Key: row.Key, Kind: DamageAttempts, Job: uid, Detail: "not a part of a chunk"})
	}
	if previous := r.previousPart(&chunk); previous != nil {
		r.joinPart(previous, chunk)
		return
	}
	r.Chunks = append(r.Chunks, chunk)
}

// previousPart returns the record read last, if it is of the same chunk.
func (r *Records) previousPart(chunk *ChunkRow) *ChunkRow {
	if len(r.Chunks) == 0 {
		return nil
	}
	last := &r.Chunks[len(r.Chunks)-1]
	if last.UID != chunk.UID || last.First/store.TasksPerChunk != chunk.First/store.TasksPerChunk {
		return nil
	}
	return last
}

// joinPart adds a part to those of its chunk. A release that knows no parts replaces the first record of a
// divided chunk by one of the whole chunk: the parts after it are then out of date. If one of the
// records can't be used, the tasks from there to the end of the chunk are unreadable.
func (r *Records) joinPart(previous *ChunkRow, part ChunkRow) {
	end := previous.First + previous.Size
	if !previous.Unreadable && end <= part.First {
		r.Chunks = append(r.Chunks, part)
		return
	}
	previous.Leftover = append(previous.Leftover, part.First)
	if !previous.Unreadable && end == chunkEnd(previous.First) {
		return
	}
	// Attempts of unreadable tasks are numbered by the newest revision. The next write then conflicts
	// once and finds the record's own.
	previous.ModRevision = max(previous.ModRevision, part.ModRevision)
	if previous.Unreadable {
		return
	}
	previous.Unreadable, previous.Done, previous.Attempts = true, nil, nil
	previous.Size = chunkEnd(previous.First) - previous.First
	r.addDamage(Damage{Key: store.ChunkKey(part.UID, part.First), Kind: DamageAttempts, Job: part.UID, Detail: "overlaps the part before it"})
}

// chunkEnd returns the index after the last task of the chunk that holds a task.
func chunkEnd(task int) int { return (task/store.TasksPerChunk + 1) * store.TasksPerChunk }

// checkChunks compares the chunks of active jobs with the jobs' numbers of tasks. A chunk that
// starts beyond the job's last task is dropped as an unknown key. A chunk that holds an attempt or
// a result beyond that task is treated as unreadable.
func (r *Records) checkChunks() {
	taskCounts := map[string]int{}
	for _, job := range r.Jobs {
		taskCounts[job.Record.Spec.UID] = job.Record.Spec.Tasks
	}
	kept := r.Chunks[:0]
	for _, chunk := range r.Chunks {
		size, active := taskCounts[chunk.UID]
		remaining := size - chunk.First
		switch {
		case !active:
		case remaining <= 0:
			r.addDamage(Damage{Key: store.ChunkKey(chunk.UID, chunk.First), Kind: DamageUnknownKey, Job: chunk.UID})
			continue
		case !chunk.Unreadable && chunk.exceeds(remaining):
			chunk.Unreadable, chunk.Done, chunk.Attempts = true, nil, nil
			r.addDamage(Damage{Key: store.ChunkKey(chunk.UID, chunk.First), Kind: DamageAttempts, Job: chunk.UID,
				Detail: fmt.Sprintf("holds attempts or results beyond the chunk's %d tasks", remaining)})
		}
		kept = append(kept, chunk)
	}
	r.Chunks = kept
}

// exceeds reports whether the chunk holds an attempt or a result beyond the given number of tasks.
func (c *ChunkRow) exceeds(tasks int) bool {
	for i := tasks; i < len(c.Done); i++ {
		if c.Done[i] {
			return true
		}
	}
	for _, attempt := range c.Attempts {
		if attempt.Index >= tasks {
			return true
		}
	}
	return false
}
