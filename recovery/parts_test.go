package recovery

import (
	"testing"

	"cedardoor/store"

	"github.com/google/go-cmp/cmp"
)

// part returns the record of a part with an attempt of its first task.
func part(tasks int) store.ChunkRecord {
	return store.NewPartRecord("w", make([]bool, tasks), []store.TaskAttempt{{Attempt: 1, Machine: "n-1"}})
}

// A divided chunk is read from its parts. Parts that a release without parts has left behind, and those that
// can't be used, neither hide nor invent attempts.
func TestReadParts(t *testing.T) {
	whole := store.NewChunkRecord("w", make([]bool, store.TasksPerChunk), nil)
	type row struct {
		First, Size int
		Unreadable  bool
		Leftover    []int
	}
	for _, tt := range []struct {
		name    string
		records map[int]any // by their first task
		want    []row
		damaged int
	}{
		{"two chunks, the first divided", map[int]any{0: part(40), 40: part(40), 80: part(40), 120: whole},
			[]row{{First: 0, Size: 40}, {First: 40, Size: 40}, {First: 80, Size: 40}, {First: 120, Size: 120}}, 0},
		{"a part that was never written", map[int]any{0: part(40), 80: part(40)}, []row{{First: 0, Size: 40}, {First: 80, Size: 40}}, 0},
		{"a whole chunk over earlier parts", map[int]any{0: whole, 40: part(40), 80: part(40)}, []row{{First: 0, Size: 120, Leftover: []int{40, 80}}}, 0},
		{"a damaged first record", map[int]any{0: "garbage", 40: part(80)}, []row{{First: 0, Size: 120, Unreadable: true, Leftover: []int{40}}}, 1},
		{"a damaged part", map[int]any{0: part(40), 40: "garbage", 80: part(40)}, []row{{First: 0, Size: 40}, {First: 40, Size: 80, Unreadable: true, Leftover: []int{80}}}, 1},
		{"a part that overlaps", map[int]any{0: part(60), 40: part(80)}, []row{{First: 0, Size: 120, Unreadable: true, Leftover: []int{40}}}, 1},
		{"a whole chunk under the key of a part", map[int]any{0: part(60), 60: whole}, []row{{First: 0, Size: 60}, {First: 60, Size: 60, Unreadable: true}}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			source := &fakeSource{rows: map[string][]byte{}}
			source.put(t, "j/j-1", job("j-1", 2*store.TasksPerChunk))
			for firstTask, record := range tt.records {
				source.put(t, store.ChunkKey("j-1", firstTask), record)
			}
			records, err := Read(t.Context(), source)
			if err != nil {
				t.Fatal(err)
			}
			var got []row
			for _, chunk := range records.Chunks {
				got = append(got, row{chunk.First, chunk.Size, chunk.Unreadable, chunk.Leftover})
			}
			if diff := cmp.Diff(tt.want, got); diff != "" || len(records.Damaged) != tt.damaged {
				t.Errorf("%s\ndamaged %+v, want %d", diff, records.Damaged, tt.damaged)
			}
		})
	}
}
