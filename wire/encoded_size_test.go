package wire

import (
	"errors"
	"math"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// The size of every kind of value is that of its encoding, also if more follows, and a value that is cut
// short is none.
func TestEncodedSize(t *testing.T) {
	for _, value := range []any{nil, true, 1, -1, 200, -200, 70_000, -70_000, math.MaxUint32, math.MinInt32 - 1, uint64(math.MaxUint64), float32(1.5), 2.5,
		"", "text", string(make([]byte, 40)), string(make([]byte, 300)), string(make([]byte, 70_000)), make([]byte, 10), make([]byte, 300), make([]byte, 70_000),
		[]any{}, []any{1, "a", []any{nil}}, make([]any, 20), make([]any, 70_000), map[string]any{}, map[string]any{"a": map[string]any{"b": []int{1, 2}}},
		msgpack.RawMessage{0xd4, 1, 2}, msgpack.RawMessage{0xc7, 2, 1, 3, 4}} {
		raw, err := Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if size, err := encodedSize(append(raw, 0xc1, 1)); size != len(raw) || err != nil {
			t.Errorf("%.20v: size %d, error %v, want %d", value, size, err, len(raw))
		}
		if _, err := encodedSize(raw[:len(raw)-1]); err == nil {
			t.Errorf("%.20v: no error for a value that is cut short", value)
		}
	}
	if _, err := encodedSize([]byte{0xc1}); !errors.Is(err, errUnknownCode) {
		t.Errorf("error %v for a byte that begins no value", err)
	}
}

// Guards against a body whose text, list or map claims to be far longer than the body (4 MiB here, 4 GiB where it was found), and for which a
// controller then takes memory that it never gives back (incident 0038).
func TestFalseLengthsTakeNoMemory(t *testing.T) {
	const repeats, maxBytesPerBody = 4, 16 << 10
	for name, body := range map[string][]byte{
		"text":                  {0x81, 0xa5, 'o', 'w', 'n', 'e', 'r', 0xdb, 0x00, 0x40, 0x00, 0x00},
		"job id":                {0x81, 0xa3, 'u', 'i', 'd', 0xdb, 0x00, 0x40, 0x00, 0x00},
		"machine name":          {0x81, 0xa4, 'h', 'o', 's', 't', 0xdb, 0x00, 0x40, 0x00, 0x00},
		"text of unknown field": {0x81, 0xa1, 'x', 0xdb, 0x00, 0x40, 0x00, 0x00},
		"text in a list":        {0x81, 0xa6, 'p', 'i', 'e', 'c', 'e', 's', 0x91, 0xdb, 0x00, 0x40, 0x00, 0x00},
		"machine types":         {0x81, 0xa6, 'b', 'u', 'i', 'l', 'd', 's', 0xdd, 0x00, 0x00, 0x03, 0xe8},
		"map":                   {0x81, 0xa1, 'x', 0xdf, 0x00, 0x40, 0x00, 0x00},
		"bytes":                 {0x81, 0xa1, 'x', 0xc6, 0x00, 0x40, 0x00, 0x00},
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range repeats {
			if _, err := DecodeSpec(body); !errors.Is(err, ErrMalformed) {
				t.Errorf("%s: submission: error %v", name, err)
			}
			if _, err := DecodeHeartbeat(body); !errors.Is(err, ErrMalformed) {
				t.Errorf("%s: heartbeat: error %v", name, err)
			}
			if uid := DecodeUID(body); uid != "" {
				t.Errorf("%s: job id %q", name, uid)
			}
		}
		runtime.ReadMemStats(&after)
		if perBody := (after.TotalAlloc - before.TotalAlloc) / repeats; perBody > maxBytesPerBody {
			t.Errorf("%s: %d bytes are taken for a body of %d", name, perBody, len(body))
		}
	}
}
