// Package scripts holds the tests of the repository's scripts.
package scripts

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// failedRun is the output of a run of go test in which TestListed failed.
const failedRun = `--- FAIL: TestListed (0.00s)
    listed_test.go:5:  the known text
FAIL
FAIL	example	0.1s
FAIL
`

// passesOver reports whether known-red passes over the failed run with the given KNOWN-RED.txt.
func passesOver(t *testing.T, list, output string) bool {
	t.Helper()
	root := t.TempDir()
	script, err := os.ReadFile("known-red")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(root, "scripts"), 0o700); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(root, "scripts", "known-red")
	for name, content := range map[string]string{path: string(script), filepath.Join(root, "KNOWN-RED.txt"): list, filepath.Join(root, "output"): output} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return exec.CommandContext(t.Context(), "bash", path, filepath.Join(root, "output")).Run() == nil
}

// Guards against a CI run that passes over a failure that no complete entry lists: with an empty list,
// and with entries without a text, known-red passes over nothing.
func TestKnownRedPassesOverListedFailuresOnly(t *testing.T) {
	for _, tt := range []struct {
		name, list string
		want       bool
	}{
		{"listed", "test: TestListed\nseen: the known text\n", true},
		{"another text", "test: TestListed\nseen: another text\n", false},
		{"another test", "test: TestOther\nseen: the known text\n", false},
		{"only the introduction", "Failures for known faults that are still open.\n", false},
		{"empty file", "", false},
		{"no text", "test: TestListed\n", false},
		{"no text, followed by another entry", "test: TestListed\ntest: TestOther\nseen: the known text\n", false},
		{"empty text", "test: TestListed\nseen:\n", false},
		{"empty text after a space", "test: TestListed\nseen: \n", false},
		{"blank text", "test: TestListed\nseen:   \n", false},
		{"tab as text", "test: TestListed\nseen: \t\n", false},
	} {
		if got := passesOver(t, tt.list, failedRun); got != tt.want {
			t.Errorf("%s: passed over %t, want %t", tt.name, got, tt.want)
		}
	}
}

// Guards against a CI run that passes over more than the listed test: a panic, a data race, a build
// that failed or a second failed package.
func TestKnownRedPassesOverNothingElse(t *testing.T) {
	const list = "test: TestListed\nseen: the known text\n"
	for _, addition := range []string{"panic: boom\n", "WARNING: DATA RACE\n", "FAIL\tother [build failed]\n", "FAIL\tother\t0.1s\n",
		"--- FAIL: TestOther (0.00s)\n", "fatal error: all goroutines are asleep\n"} {
		if passesOver(t, list, failedRun+addition) {
			t.Errorf("passed over a run with %q", addition)
		}
	}
}
