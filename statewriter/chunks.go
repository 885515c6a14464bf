package statewriter

import (
	"slices"

	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/store"
	"cedardoor/wire"
)

// addChunks adds the changed chunks of a job. It returns false if not all of them fit.
func (w *Writer) addChunks(tx *Transaction, job *jobs.Job, maxOperations int) bool {
	before := len(tx.Txn.Operations)
	complete := true
	for _, chunk := range job.Record.Chunks {
		if chunk.Version == chunk.SavedVersion || chunk.Unreadable > 0 {
			continue
		}
		if tx.full(maxOperations) || !tx.addChunk(job, chunk, maxOperations) {
			complete = false
			break
		}
	}
	if len(tx.Txn.Operations) > before {
		// Conditions are limited, so the job's is added only if one of its chunks is written.
		tx.addCondition(store.JobKey(job.UID), job.Record.ModRevision)
	}
	return complete
}

// chunkContent is the record of a chunk or of a part of one, with the attempts that it makes durable.
type chunkContent struct {
	record   store.ChunkRecord
	attempts []*fleet.Allocation
}

// addChunk adds a write of one chunk, with the attempts and results of its tasks. A chunk whose record
// would be too large is divided; all its parts are written in the same transaction. addChunk returns
// false if they don't fit next to the transaction's other operations.
func (tx *Transaction) addChunk(job *jobs.Job, chunk *jobs.Chunk, maxOperations int) bool {
	parts, contents := tx.divideChunk(job, chunk)
	leftovers := unusedLeftovers(chunk, parts)
	if needed := len(parts) + len(leftovers); !tx.empty() && len(tx.Txn.Operations)+needed > maxOperations {
		return false
	}
	write := recordWrite{chunk: chunk, key: store.ChunkKey(job.UID, chunk.First), job: job, version: chunk.Version, ended: chunk.EndedAttempts}
	chunk.EndedAttempts = nil
	// Parts after the first have no condition: they are valid only with this write of the first.
	tx.addCondition(write.key, chunk.ModRevision)
	for n, part := range parts {
		tx.addValue(store.ChunkKey(job.UID, part.First), contents[n].record, contents[n].record.JSONSize())
		write.attempts = append(write.attempts, contents[n].attempts...)
	}
	for _, firstTask := range leftovers {
		tx.addOperation(wire.Operation{Delete: store.ChunkKey(job.UID, firstTask)})
	}
	if len(parts) > 1 {
		write.parts = parts
		tx.extraParts += len(parts) - 1
	}
	tx.records = append(tx.records, write)
	return true
}

// divideChunk returns a chunk with its content, or as few parts of it as have records that are small
// enough, but no more than a transaction can hold.
func (tx *Transaction) divideChunk(job *jobs.Job, chunk *jobs.Chunk) (parts []*jobs.Chunk, contents []chunkContent) {
	tasks := chunk.End(len(job.Tasks)) - chunk.First
	for count := max(1, min(tx.limits.minParts, tasks)); ; count++ {
		parts, contents = []*jobs.Chunk{chunk}, nil
		if count > 1 {
			parts = splitChunk(chunk, tasks, count)
		}
		fit := true
		for _, part := range parts {
			content := tx.chunkContent(job, part)
			contents = append(contents, content)
			fit = fit && content.record.JSONSize() <= tx.limits.valueBytes
		}
		if fit || count >= min(tasks, tx.limits.maxParts) {
			return parts, contents
		}
	}
}

// splitChunk returns chunks of about equal size that cover a chunk with the given number of tasks.
func splitChunk(chunk *jobs.Chunk, tasks, count int) (parts []*jobs.Chunk) {
	end := chunk.First + chunk.Size
	size := (tasks + count - 1) / count
	for first := chunk.First; first < chunk.First+tasks; first += size {
		parts = append(parts, &jobs.Chunk{First: first, Size: size})
	}
	last := parts[len(parts)-1]
	last.Size = end - last.First
	return parts
}

// chunkContent returns the record of the tasks of a chunk.
func (tx *Transaction) chunkContent(job *jobs.Job, chunk *jobs.Chunk) (content chunkContent) {
	first, end := chunk.First, chunk.End(len(job.Tasks))
	isPart := chunk.Size < store.TasksPerChunk
	done := make([]bool, end-first)
	if isPart {
		done = make([]bool, chunk.Size)
	}
	var attempts []store.TaskAttempt
	for i := first; i < end; i++ {
		task := &job.Tasks[i]
		attempt := store.TaskAttempt{Index: i - first, Attempt: task.Attempt}
		switch {
		case task.State == jobs.TaskDone:
			done[i-first] = true
		case task.Allocation != nil:
			attempt.Machine, attempt.Incarnation = task.Allocation.Machine.Name, task.Allocation.Incarnation
			attempts = append(attempts, attempt)
			if !task.Allocation.Durable {
				content.attempts = append(content.attempts, task.Allocation)
			}
		case task.Attempt > 0:
			attempts = append(attempts, attempt)
		}
	}
	if isPart {
		content.record = store.NewPartRecord(tx.nonce, done, attempts)
	} else {
		content.record = store.NewChunkRecord(tx.nonce, done, attempts)
	}
	return content
}

// unusedLeftovers returns the first tasks of a chunk's leftover records that are not written anew.
func unusedLeftovers(chunk *jobs.Chunk, parts []*jobs.Chunk) (unused []int) {
	for _, firstTask := range chunk.Leftover {
		if !slices.ContainsFunc(parts, func(part *jobs.Chunk) bool { return part.First == firstTask }) {
			unused = append(unused, firstTask)
		}
	}
	return unused
}

// chunkDivided replaces a chunk by the parts in which it was written. If the chunk has changed since, any
// of them may have.
func chunkDivided(write *recordWrite, revision uint64) {
	chunk := write.chunk
	changed := chunk.Version != write.version
	for _, part := range write.parts {
		part.ModRevision, part.Version, part.SavedVersion = revision, 1, 1
		if changed {
			part.Version++
		}
		for _, allocation := range chunk.EndedAttempts {
			if index := allocation.Task.Index; part.First <= index && index < part.First+part.Size {
				part.EndedAttempts = append(part.EndedAttempts, allocation)
			}
		}
	}
	write.job.Record.ReplaceChunk(chunk, write.parts)
}
