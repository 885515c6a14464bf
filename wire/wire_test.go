package wire

import (
	"errors"
	"maps"
	"math"
	"testing"
)

// encodeSubmission encodes a valid submission with some fields changed.
func encodeSubmission(tb testing.TB, changes map[string]any) []byte {
	tb.Helper()
	fields := map[string]any{"uid": "j-1", "lane": "l", "owner": "o", "shape": "batch", "rank": "low", "pieces": uint64(3),
		"cores": 1, "accelerators": 0, "ram_gb": float32(2.5), "bundle": "b", "image_gb": 1,
		"same_place": false, "apart": true, "loaned": true, "expect_s": 3, "bookmark_s": 0, "stow_s": 0, "due_s": 7}
	maps.Copy(fields, changes)
	raw, err := Marshal(fields)
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

func FuzzDecodeSpec(f *testing.F) {
	f.Add(encodeSubmission(f, map[string]any{"pieces": 3, "cores": 1.5, "ram_gb": 2.0, "builds": nil, "yard": nil, "due_s": nil}))
	f.Add([]byte{0x81, 0xa3, 'u', 'i', 'd', 0xc0})
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x81, 0xa6, 'b', 'u', 'i', 'l', 'd', 's', 0xdd, 0x7f, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		spec, err := DecodeSpec(raw)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatalf("error %v is not ErrMalformed", err)
			}
			return
		}
		if spec.Tasks < 1 || spec.Tasks > MaxTasks || spec.Cores < 0 || math.IsNaN(spec.RAM) || !ValidUID(spec.UID) {
			t.Fatalf("accepted %+v", spec)
		}
		if got := DecodeUID(raw); got != spec.UID {
			t.Fatalf("DecodeUID %q, want %q", got, spec.UID)
		}
	})
}

func FuzzDecodeHeartbeat(f *testing.F) {
	raw, err := Marshal(Heartbeat{Machine: "n", Endpoint: "e", MachineType: "b", Zone: "y", Incarnation: 1, Sequence: 3, Tasks: []TaskReport{{Task: "j-1/0", Attempt: 1, Status: TaskRunning}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, raw []byte) {
		heartbeat, err := DecodeHeartbeat(raw)
		if err == nil && (heartbeat.Machine == "" || heartbeat.Incarnation == 0) {
			t.Fatalf("accepted %+v", heartbeat)
		}
	})
}

func TestDecodeSpecNumbers(t *testing.T) {
	spec, err := DecodeSpec(encodeSubmission(t, nil))
	if err != nil {
		t.Fatal(err)
	}
	if spec.Cores != 1 || spec.RAM != 2.5 || spec.DeadlineS == nil || *spec.DeadlineS != 7 || spec.Zone != "" || spec.MachineTypes != nil {
		t.Errorf("decoded %+v", spec)
	}
	for field, invalid := range map[string]any{"cores": math.NaN(), "ram_gb": math.Inf(1), "due_s": -1, "pieces": 100_001, "yard": 4, "loaned": 1} {
		if _, err := DecodeSpec(encodeSubmission(t, map[string]any{field: invalid})); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s=%v: error %v", field, invalid, err)
		}
	}
}
