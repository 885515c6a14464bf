package store

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys of the state service. A job lives under PrefixJob and, once it is over, under
// PrefixFinal for ever; it moves in one transaction, so a reader that looks at
// PrefixJob first and then at PrefixFinal never misses it. That keeps what a new leader
// has to read to the unfinished jobs. A job that is done is noted so in its record
// under PrefixJob, by one change, and moves when there are changes to spare.
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

// JobKey names the record of an unfinished job.
func JobKey(uid string) string { return PrefixJob + uid }

// FinalKey names the record of a job that is over.
func FinalKey(uid string) string { return PrefixFinal + uid }

// ChunkKey names the record of one chunk of a job's tasks.
func ChunkKey(uid string, chunk int) string {
	return fmt.Sprintf("%s%s/%05d", PrefixAttempts, uid, chunk)
}

// ParseChunkKey is the inverse of ChunkKey.
func ParseChunkKey(key string) (uid string, chunk int, ok bool) {
	uid, number, found := strings.Cut(strings.TrimPrefix(key, PrefixAttempts), "/")
	chunk, err := strconv.Atoi(number)
	return uid, chunk, found && err == nil && chunk >= 0 && strings.HasPrefix(key, PrefixAttempts)
}

// SharedKey names the n-th record of single-task jobs' attempts that a leader made. The
// revision of its leader key, which is never another term's, tells its records from others'.
func SharedKey(leaderRevision uint64, n int) string {
	return fmt.Sprintf("%s%d.%d", PrefixShared, leaderRevision, n)
}
