// Package golden is for tests that compare messages and records with recorded files.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// Read returns the content of a recorded file of the package under test.
func Read(t testing.TB, file string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "golden", file))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// CheckEncoded checks that the encoding of a value equals the recorded one.
func CheckEncoded(t testing.TB, recorded []byte, value any, marshal func(any) ([]byte, error)) {
	t.Helper()
	got, err := marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, recorded) {
		t.Errorf("encoded as\n%q, want\n%q", got, recorded)
	}
}

// CheckDecoded checks that the recorded encoding is decoded to the given value.
func CheckDecoded(t testing.TB, recorded []byte, value any, unmarshal func([]byte, any) error) {
	t.Helper()
	decoded := reflect.New(reflect.TypeOf(value))
	if err := unmarshal(recorded, decoded.Interface()); err != nil {
		t.Fatal(err)
	}
	if got := decoded.Elem().Interface(); !reflect.DeepEqual(got, value) {
		t.Errorf("decoded as\n%+v, want\n%+v", got, value)
	}
}

// Tags lists the msgpack tags of a struct's fields in the order of the fields.
func Tags(value any) string {
	structType := reflect.TypeOf(value)
	var tags []string
	for i := range structType.NumField() {
		tags = append(tags, structType.Field(i).Tag.Get("msgpack"))
	}
	return strings.Join(tags, " ")
}
