package store

import (
	"encoding/json"
	"testing"

	"cedardoor/wire"
)

// TestJSONSize checks that the size of a record is that of its JSON form with a space after each separator,
// or little more, and never less.
func TestJSONSize(t *testing.T) {
	const tolerance = 12 // separators after the last elements, and fields that are left out
	for name, record := range goldenRecords() {
		sized, ok := record.(interface{ JSONSize() int })
		if !ok {
			continue
		}
		spaced := len(spacedJSON(t, record))
		perRow := 0
		switch record := record.(type) {
		case SharedRecord:
			perRow = len(`, "h": ""`) * len(record.Rows)
		case ChunkRecord:
			perRow = separatorBytes * len(record.Attempts)
		}
		if got := sized.JSONSize(); got < spaced || got > spaced+tolerance+perRow {
			t.Errorf("%s: size %d, the JSON form takes %d bytes", name, got, spaced)
		}
		if got := ValueSize(record); got > spaced {
			t.Errorf("%s: value of %d bytes, more than with spaces (%d)", name, got, spaced)
		}
	}
}

// spacedJSON returns the JSON form of a record's encoding with a space after each separator.
func spacedJSON(t *testing.T, record any) (spaced []byte) {
	t.Helper()
	raw, err := wire.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	var decoded any
	if err := wire.Unmarshal(raw, &decoded); err != nil {
		t.Fatal(err)
	}
	compact, err := json.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	inText := false
	for _, c := range compact {
		spaced = append(spaced, c)
		switch {
		case c == '"':
			inText = !inText
		case !inText && (c == ',' || c == ':'):
			spaced = append(spaced, ' ')
		}
	}
	return spaced
}
