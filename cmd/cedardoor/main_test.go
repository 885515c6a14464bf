package main

import (
	"os"
	"path/filepath"
	"testing"
)

func TestExitCodes(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "invalid.json")
	if err := os.WriteFile(invalid, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		args []string
		want int
	}{
		{[]string{"version"}, exitSuccess},
		{[]string{"--help"}, exitSuccess},
		{nil, exitUsage},
		{[]string{"--nonsense"}, exitUsage},
		{[]string{"nonsense"}, exitUsage},
		{[]string{"check", "--config", invalid}, exitUsage},
		{[]string{"--config", invalid}, exitUsage},
		{[]string{"--config", filepath.Join(t.TempDir(), "none")}, exitUsage},
	}
	for _, tt := range tests {
		if got := run(tt.args); got != tt.want {
			t.Errorf("%v: exit %d, want %d", tt.args, got, tt.want)
		}
	}
}
