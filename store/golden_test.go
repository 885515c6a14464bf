package store

import (
	"reflect"
	"testing"

	"cedardoor/internal/golden"
	"cedardoor/wire"
)

// goldenRecords returns stored records of every kind, with all fields set and in shorter forms. The
// files under testdata/golden hold their encodings by release f8c9f67, that of chunk_part by the first release
// that divides chunks.
func goldenRecords() map[string]any {
	due := 120.0
	spec := wire.Spec{UID: "j-17", Class: "nightly", Team: "orders", Kind: wire.KindBatch, Priority: "high", Tasks: 3, Cores: 1.5, Accelerators: 1, RAM: 2.25,
		Image: "b-1", ImageGB: 0.5, MachineTypes: []string{"m1"}, Zone: "north", SameZone: true, Spread: true, Preemptible: true, ExpectedS: 30,
		CheckpointIntervalS: 10, CheckpointGraceS: 2, DeadlineS: &due}
	final := FinalRecord{Status: wire.JobDone, Tasks: 3, Nonce: "9.4", Team: "orders", Cores: 1.5, Accelerators: 1, RAM: 2.25}
	done := make([]bool, TasksPerChunk)
	done[0], done[5], done[119] = true, true, true
	return map[string]any{
		"lead":          LeaderRecord{Node: "node-a", Nonce: "node-a.1.2"},
		"token":         TokenRecord{Token: 41, Nonce: "node-a.1.2"},
		"job":           JobRecord{Spec: spec, AcceptedUS: 1_700_000_000_000_001, Node: "node-b"},
		"job_least":     JobRecord{Spec: wire.Spec{UID: "j-1", Tasks: 1}},
		"job_over":      JobRecord{Spec: wire.Spec{UID: "j-17"}, AcceptedUS: 1_700_000_000_000_001, Final: &final},
		"over":          final,
		"over_of_spec":  NewFinalRecord(&spec, wire.JobCancelled, "9.5"),
		"chunk":         NewChunkRecord("9.4", done, []TaskAttempt{{Index: 1, Attempt: 2, Machine: "h-1", Incarnation: 7}, {Index: 2, Attempt: 1}, {Index: 118, Attempt: 3, Machine: "h-2", Incarnation: 1}}),
		"chunk_part":    NewPartRecord("9.4", done[:40], []TaskAttempt{{Index: 1, Attempt: 2, Machine: "h-1", Incarnation: 7}, {Index: 39, Attempt: 1}}),
		"chunk_empty":   NewChunkRecord("9.4", make([]bool, 3), nil),
		"shared":        SharedRecord{Nonce: "9.4", Rows: []SharedRow{{UID: "j-3", Attempt: 2, Machine: "h-1", Incarnation: 7}, {UID: "j-4", Attempt: 1}}},
		"shared_empty":  SharedRecord{Nonce: "9.4", Rows: []SharedRow{}},
		"demand":        DemandRecord{Cores: 12.5, RAM: 30, Accelerators: 1, Classes: map[string][2]int64{"nightly": {8, 24_000_000}}},
		"demand_recent": DemandRecord{Cores: 12.5, RAM: 30, Accelerators: 1},
	}
}

// TestGoldenRecords checks that records are encoded to, and decoded from, the bytes of release
// f8c9f67.
func TestGoldenRecords(t *testing.T) {
	for name, record := range goldenRecords() {
		t.Run(name, func(t *testing.T) {
			recorded := golden.Read(t, name+".msgpack")
			golden.CheckEncoded(t, recorded, record, wire.Marshal)
			golden.CheckDecoded(t, recorded, record, wire.Unmarshal)
		})
	}
}

// TestGoldenFinalState decodes the final state from recorded jobs, as status queries do.
func TestGoldenFinalState(t *testing.T) {
	for name, want := range map[string]string{"job": "", "job_over": wire.JobDone} {
		raw := golden.Read(t, name+".msgpack")
		final, err := DecodeFinalState(raw)
		if err != nil {
			t.Fatal(err)
		}
		got := ""
		if final != nil {
			got = final.Status
		}
		if got != want {
			t.Errorf("%s: final state %q, want %q", name, got, want)
		}
	}
}

// TestKeys checks the keys under which records are stored.
func TestKeys(t *testing.T) {
	got := []string{KeyLeader, KeyToken, KeyCatalog, KeyDemand, JobKey("j-17"), FinalKey("j-17"), ChunkKey("j-17", 3*TasksPerChunk),
		ChunkKey("j-17", 3*TasksPerChunk+40), SharedKey(9, 4)}
	want := []string{"lead", "warrant", "catalog", "demand", "j/j-17", "f/j-17", "p/j-17/00003", "p/j-17/00003.040", "s/9.4"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("keys %q, want %q", got, want)
	}
}

// TestRecordTags checks the names and the order of all fields in stored records.
func TestRecordTags(t *testing.T) {
	tests := []struct {
		record any
		want   string
	}{
		{LeaderRecord{}, "n w"},
		{TokenRecord{}, "t w"},
		{JobRecord{}, "s a n o,omitempty"},
		{SharedRecord{}, "w r"},
		{SharedRow{}, "u t h,omitempty s"},
		{DemandRecord{}, "c r a l"},
		{FinalRecord{}, "s p w o c a r"},
		{ChunkRecord{}, "w d h r p,omitempty"},
		{ChunkPart{}, "n d"},
	}
	for _, tt := range tests {
		if got := golden.Tags(tt.record); got != tt.want {
			t.Errorf("%s: %q, want %q", reflect.TypeOf(tt.record), got, tt.want)
		}
	}
}
