package recovery

import (
	"fmt"

	"cedardoor/store"
)

// checkChunks checks the chunks of active jobs against the jobs' numbers of tasks. A chunk that
// lies beyond its job is dropped, one that reaches beyond it counts as unreadable.
func (r *Records) checkChunks() {
	tasks := map[string]int{}
	for _, job := range r.Jobs {
		tasks[job.Record.Spec.UID] = job.Record.Spec.Tasks
	}
	kept := r.Chunks[:0]
	for _, chunk := range r.Chunks {
		size, active := tasks[chunk.UID]
		left := size - chunk.Number*store.TasksPerChunk
		switch {
		case !active:
		case left <= 0:
			r.addDamage(Damage{Key: store.ChunkKey(chunk.UID, chunk.Number), Kind: DamageUnknownKey, Job: chunk.UID})
			continue
		case !chunk.Unreadable && chunk.exceeds(left):
			chunk.Unreadable, chunk.Done, chunk.Attempts = true, nil, nil
			r.addDamage(Damage{Key: store.ChunkKey(chunk.UID, chunk.Number), Kind: DamageAttempts, Job: chunk.UID,
				Detail: fmt.Sprintf("it holds more than the %d tasks that are left", left)})
		}
		kept = append(kept, chunk)
	}
	r.Chunks = kept
}

// exceeds tells whether the chunk names tasks beyond the given number.
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
