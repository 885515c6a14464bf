package main

import (
	"os"
	"path/filepath"
	"testing"
)

func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		args []string
		want int
	}{
		{[]string{"version"}, 0},
		{[]string{"--help"}, 0},
		{nil, exitUsage},
		{[]string{"--nonsense"}, exitUsage},
		{[]string{"nonsense"}, exitUsage},
		{[]string{"check", "--config", bad}, exitUsage},
		{[]string{"--config", bad}, exitUsage},
		{[]string{"--config", filepath.Join(t.TempDir(), "none")}, exitUsage},
	}
	for _, tt := range tests {
		if got := run(tt.args); got != tt.want {
			t.Errorf("%v: exit %d, want %d", tt.args, got, tt.want)
		}
	}
}
