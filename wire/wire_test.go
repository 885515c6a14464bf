package wire

import (
	"errors"
	"math"
	"testing"
)

func seeds(f *testing.F) {
	raw, err := Marshal(map[string]any{"uid": "j-1", "lane": "l", "owner": "o", "shape": "batch", "rank": "low", "pieces": 3,
		"cores": 1.5, "accelerators": 0, "ram_gb": 2.0, "bundle": "b", "image_gb": 1, "builds": nil, "yard": nil,
		"same_place": false, "apart": true, "loaned": true, "expect_s": 3, "bookmark_s": 0, "stow_s": 0, "due_s": nil})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0x81, 0xa3, 'u', 'i', 'd', 0xc0})
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x81, 0xa6, 'b', 'u', 'i', 'l', 'd', 's', 0xdd, 0x7f, 0xff, 0xff, 0xff})
}

func FuzzDecodeSpec(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := DecodeSpec(raw)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatalf("error %v is not ErrMalformed", err)
			}
			return
		}
		if s.Tasks < 1 || s.Tasks > MaxTasks || s.Cores < 0 || math.IsNaN(s.RAM) || !ValidUID(s.UID) {
			t.Fatalf("accepted %+v", s)
		}
		if got := UIDOf(raw); got != s.UID {
			t.Fatalf("UIDOf %q, want %q", got, s.UID)
		}
	})
}

func FuzzDecodeBeat(f *testing.F) {
	raw, err := Marshal(Heartbeat{Machine: "n", Endpoint: "e", MachineType: "b", Zone: "y", Incarnation: 1, Sequence: 3, Tasks: []TaskReport{{Task: "j-1/0", Attempt: 1, Status: TaskRunning}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := DecodeHeartbeat(raw)
		if err == nil && (b.Machine == "" || b.Incarnation == 0) {
			t.Fatalf("accepted %+v", b)
		}
	})
}

func TestDecodeSpecNumbers(t *testing.T) {
	base := map[string]any{"uid": "j-1", "lane": "l", "owner": "o", "shape": "batch", "rank": "low", "pieces": uint64(3),
		"cores": 1, "accelerators": 0, "ram_gb": float32(2.5), "bundle": "b", "image_gb": 1,
		"same_place": false, "apart": true, "loaned": true, "expect_s": 3, "bookmark_s": 0, "stow_s": 0, "due_s": 7}
	raw, err := Marshal(base)
	if err != nil {
		t.Fatal(err)
	}
	s, err := DecodeSpec(raw)
	if err != nil {
		t.Fatal(err)
	}
	if s.Cores != 1 || s.RAM != 2.5 || s.DeadlineS == nil || *s.DeadlineS != 7 || s.Zone != "" || s.MachineTypes != nil {
		t.Errorf("decoded %+v", s)
	}
	for field, bad := range map[string]any{"cores": math.NaN(), "ram_gb": math.Inf(1), "due_s": -1, "pieces": 100_001, "yard": 4, "loaned": 1} {
		m := map[string]any{}
		for k, v := range base {
			m[k] = v
		}
		m[field] = bad
		raw, err := Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeSpec(raw); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s=%v: error %v", field, bad, err)
		}
	}
}
