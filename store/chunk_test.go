package store

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestChunkRoundTripAndSize(t *testing.T) {
	done := make([]bool, TasksPerChunk)
	var attempts []TaskAttempt
	for i := range done {
		if i%3 == 0 {
			done[i] = true
			continue
		}
		attempt := TaskAttempt{Index: i, Attempt: 123456}
		if i%3 == 1 {
			attempt.Machine, attempt.Incarnation = fmt.Sprintf("n-%09d", i), 98765
		}
		attempts = append(attempts, attempt)
	}
	record := NewChunkRecord("1234567.890123", done, attempts)
	gotDone, gotAttempts, err := record.Decode(TasksPerChunk)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(done, gotDone) + cmp.Diff(attempts, gotAttempts); diff != "" {
		t.Error(diff)
	}
	raw, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	if len(raw) > 8<<10 {
		t.Errorf("a full record takes %d bytes in JSON form, more than 8 KiB", len(raw))
	}
}

func TestChunkDecodeRejectsInvalidRecords(t *testing.T) {
	for _, record := range []ChunkRecord{
		{Done: "f"}, {Done: "z"}, {Attempts: [][]int64{{0, 1, 0, 1}}}, {Attempts: [][]int64{{5, 1, -1, 0}}}, {Attempts: [][]int64{{0, 1}}},
	} {
		if _, _, err := record.Decode(2); err == nil {
			t.Errorf("%+v: no error", record)
		}
	}
}

func TestChunkKey(t *testing.T) {
	for _, firstTask := range []int{0, 833 * TasksPerChunk, 833*TasksPerChunk + 1, 2*TasksPerChunk - 1} {
		uid, got, ok := ParseChunkKey(ChunkKey("j-12", firstTask))
		if uid != "j-12" || got != firstTask || !ok {
			t.Errorf("%s: %q %d %t", ChunkKey("j-12", firstTask), uid, got, ok)
		}
	}
	for _, key := range []string{"p/j-12/x", "p/j-12", "j/j-12/00001", "p/j-12/00001.x", "p/j-12/00001.000", "p/j-12/00001.120", "p/j-12/-0001"} {
		if _, _, ok := ParseChunkKey(key); ok {
			t.Errorf("%s: taken for a chunk's key", key)
		}
	}
}

// A part of a chunk is decoded with its own number of tasks, and is not a valid record for a release that
// knows no parts, which would take it for the whole chunk.
func TestChunkPart(t *testing.T) {
	done := []bool{true, false, false, false, true}
	attempts := []TaskAttempt{{Index: 1, Attempt: 2, Machine: "n-1", Incarnation: 3}}
	record := NewPartRecord("9.4", done, attempts)
	gotDone, gotAttempts, err := record.Decode(TasksPerChunk)
	if diff := cmp.Diff(done, gotDone) + cmp.Diff(attempts, gotAttempts); diff != "" || err != nil {
		t.Error(diff, err)
	}
	if _, _, err := record.Decode(4); err == nil {
		t.Error("no error for a part of more tasks than there are")
	}
	record.Part = nil
	if _, _, err := record.Decode(TasksPerChunk); err == nil {
		t.Error("no error for a part that is taken for a whole chunk")
	}
}
