package store

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys in the state service. A job's record is stored under PrefixJob and, once the job is
// finished, under PrefixFinal forever, so that a new leader has to read only the unfinished
// jobs. The record moves in one transaction, so a reader that looks under PrefixJob first
// and under PrefixFinal second never misses it. When a job is done, a single operation
// marks its record under PrefixJob; the record moves when there are spare writes.
const (
	KeyLeader      = "lead"
	KeyToken       = "warrant"
	KeyCatalog     = "catalog"
	KeyDemand      = "demand"
	PrefixJob      = "j/"
	PrefixFinal    = "f/"
	PrefixAttempts = "p/"
	PrefixShared   = "s/"
)

// JobKey returns the key of an unfinished job's record.
func JobKey(uid string) string { return PrefixJob + uid }

// FinalKey returns the key of a finished job's record.
func FinalKey(uid string) string { return PrefixFinal + uid }

// ChunkKey returns the key of the record of a job's tasks from the given one on. A chunk that is not
// divided has a key with its number; where it is divided, the keys of the parts after the first also
// name the part's first task within the chunk. In the order of keys, the parts of a chunk follow it.
func ChunkKey(uid string, firstTask int) string {
	chunk, offset := firstTask/TasksPerChunk, firstTask%TasksPerChunk
	if offset == 0 {
		return fmt.Sprintf("%s%s/%05d", PrefixAttempts, uid, chunk)
	}
	return fmt.Sprintf("%s%s/%05d.%03d", PrefixAttempts, uid, chunk, offset)
}

// ParseChunkKey is the inverse of ChunkKey.
func ParseChunkKey(key string) (uid string, firstTask int, ok bool) {
	rest, isChunk := strings.CutPrefix(key, PrefixAttempts)
	uid, number, found := strings.Cut(rest, "/")
	number, part, divided := strings.Cut(number, ".")
	chunk, err := strconv.Atoi(number)
	if !isChunk || !found || err != nil || chunk < 0 {
		return uid, 0, false
	}
	offset := 0
	if divided {
		offset, err = strconv.Atoi(part)
		if err != nil || offset <= 0 || offset >= TasksPerChunk {
			return uid, 0, false
		}
	}
	return uid, chunk*TasksPerChunk + offset, true
}

// SharedKey returns the key of the n-th shared record that a leader creates. The revision of
// the leader's record differs in each term, so keys of different terms never collide.
func SharedKey(leaderRevision uint64, n int) string {
	return fmt.Sprintf("%s%d.%d", PrefixShared, leaderRevision, n)
}
