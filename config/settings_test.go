package config

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// indented is the JSON form of settings as they were taken in, with every field.
func indented(t *testing.T, v any) []byte {
	t.Helper()
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(raw, '\n')
}

// TestEveryFieldOfPlatform takes in a file that sets every field of the platform's settings.
func TestEveryFieldOfPlatform(t *testing.T) {
	path := filepath.Join("testdata", "platform.json")
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	p, err := LoadPlatform(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := indented(t, p); !bytes.Equal(got, want) {
		t.Errorf("taken in as\n%s\nwant\n%s", got, want)
	}
}

// TestEveryFieldOfOperator takes in a file that sets every field of the operators' settings.
func TestEveryFieldOfOperator(t *testing.T) {
	path := filepath.Join("testdata", "operator.json")
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	o, err := LoadOperator(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := indented(t, o); !bytes.Equal(got, want) {
		t.Errorf("taken in as\n%s\nwant\n%s", got, want)
	}
}
