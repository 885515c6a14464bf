package store

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestChunkRoundTripAndSize(t *testing.T) {
	done := make([]bool, TasksPerChunk)
	var runs []TaskAttempt
	for i := range done {
		if i%3 == 0 {
			done[i] = true
			continue
		}
		p := TaskAttempt{Index: i, Attempt: 123456}
		if i%3 == 1 {
			p.Machine, p.Incarnation = fmt.Sprintf("n-%09d", i), 98765
		}
		runs = append(runs, p)
	}
	rec := NewChunkRecord("1234567.890123", done, runs)
	gotDone, gotRuns, err := rec.Decode(TasksPerChunk)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(done, gotDone) + cmp.Diff(runs, gotRuns); diff != "" {
		t.Error(diff)
	}
	raw, err := json.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	if len(raw) > 8<<10 {
		t.Errorf("a full record takes %d bytes of JSON, more than 8 KiB", len(raw))
	}
}

func TestUnpackRefusesNonsense(t *testing.T) {
	for _, rec := range []ChunkRecord{
		{Done: "f"}, {Done: "z"}, {Attempts: [][]int64{{0, 1, 0, 1}}}, {Attempts: [][]int64{{5, 1, -1, 0}}}, {Attempts: [][]int64{{0, 1}}},
	} {
		if _, _, err := rec.Decode(2); err == nil {
			t.Errorf("%+v: no error", rec)
		}
	}
}

func TestChunkKey(t *testing.T) {
	uid, n, ok := ParseChunkKey(ChunkKey("j-12", 833))
	if uid != "j-12" || n != 833 || !ok {
		t.Errorf("%q %d %t", uid, n, ok)
	}
}
