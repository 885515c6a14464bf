package jobs

import (
	"slices"

	"cedardoor/store"
)

// End returns the index after the chunk's last task, in a job with the given number of tasks.
func (c *Chunk) End(tasks int) int { return min(c.First+c.Size, tasks) }

// ExtendChunks adds chunks of the full size until they cover the given number of tasks.
func (r *Record) ExtendChunks(tasks int) {
	covered := 0
	if n := len(r.Chunks); n > 0 {
		covered = r.Chunks[n-1].First + r.Chunks[n-1].Size
	}
	for ; covered < tasks; covered += store.TasksPerChunk {
		r.Chunks = append(r.Chunks, &Chunk{First: covered, Size: store.TasksPerChunk})
	}
}

// Carve returns the chunk that covers just the given tasks. They must be part of one chunk, whose other
// tasks get chunks of their own.
func (r *Record) Carve(first, size int) *Chunk {
	n, _ := slices.BinarySearchFunc(r.Chunks, first, func(chunk *Chunk, task int) int { return chunk.First + chunk.Size - 1 - task })
	chunk := r.Chunks[n]
	end := chunk.First + chunk.Size
	var parts []*Chunk
	if first > chunk.First {
		before := *chunk
		before.Size = first - chunk.First
		parts = append(parts, &before)
	}
	carved := &Chunk{First: first, Size: size}
	parts = append(parts, carved)
	if after := first + size; after < end {
		parts = append(parts, &Chunk{First: after, Size: end - after})
	}
	r.Chunks = slices.Replace(r.Chunks, n, n+1, parts...)
	return carved
}

// ReplaceChunk replaces a chunk by others that cover the same tasks.
func (r *Record) ReplaceChunk(chunk *Chunk, parts []*Chunk) {
	if n := slices.Index(r.Chunks, chunk); n >= 0 {
		r.Chunks = slices.Replace(r.Chunks, n, n+1, parts...)
	}
}
