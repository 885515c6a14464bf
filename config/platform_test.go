package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// settings is the JSON object of a settings file, or an object within it.
type settings = map[string]any

// validPlatform returns valid platform settings that cause no warnings.
func validPlatform() settings {
	return settings{"node": "a", "area": "x", "client_listen": "127.0.0.1:1", "back": "127.0.0.1:2", "new": true,
		"others":  []any{settings{"node": "b", "addr": "127.0.0.1:3"}},
		"outside": settings{"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
		"facts": settings{"zones": []string{"x"}, "teams": []any{settings{"name": "t"}},
			"workers":        settings{"report_s": 3, "lease_s": 18, "cancel_s": 40},
			"state":          settings{"rps": 80, "write_rps": 30, "value_kb": 8, "txn_ops": 24},
			"cloud":          settings{"rps": 4, "list_lag_s": 8},
			"machine_limits": settings{"core_share": 0.2, "mem_mb": 100, "fd_limit": 500}}}
}

// withFact returns valid platform settings with one of the facts changed.
func withFact(name string, value any) settings {
	platform := validPlatform()
	platform["facts"].(settings)[name] = value
	return platform
}

// withField returns valid platform settings with one field changed.
func withField(name string, value any) settings {
	platform := validPlatform()
	platform[name] = value
	return platform
}

// writeJSON writes a value to a temporary settings file and returns its path.
func writeJSON(t *testing.T, value any) string {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return writeFile(t, string(raw))
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func mustLoadPlatform(t *testing.T, value settings) *Platform {
	t.Helper()
	platform, err := LoadPlatform(writeJSON(t, value))
	if err != nil {
		t.Fatal(err)
	}
	return platform
}

func mustLoadOperator(t *testing.T, path string) *Operator {
	t.Helper()
	operator, err := LoadOperator(path)
	if err != nil {
		t.Fatal(err)
	}
	return operator
}

func TestLoadPlatform(t *testing.T) {
	mustLoadPlatform(t, validPlatform())
	// More controllers than zones, and many teams, are valid.
	large := withFact("teams", manyTeams(200))
	large["others"] = []any{settings{"node": "b", "area": "x", "addr": "h:1"}, settings{"node": "c", "area": "x", "addr": "h:2"}}
	mustLoadPlatform(t, large)
	if _, err := LoadPlatform(writeFile(t, "{not json")); err == nil {
		t.Error("not JSON: no error")
	}
	if _, err := LoadPlatform(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("no file: no error")
	}
}

// Guards against controllers that don't start with the limits to which the state service has fallen, once the
// settings name these (incident 0034).
func TestLowLimitsAreValid(t *testing.T) {
	low := settings{"rps": 80, "write_rps": 21, "value_kb": 2, "txn_ops": 8}
	platform := mustLoadPlatform(t, withFact("state", low))
	if got := platform.Facts.State.ValueBytes(); got != 2<<10 {
		t.Errorf("values of %d bytes", got)
	}
	announced := mustLoadPlatform(t, withFact("state", settings{"rps": 80, "write_rps": 30, "value_kb": 32, "txn_ops": 24,
		"next": settings{"write_rps": 21, "value_kb": 2, "txn_ops": 8}}))
	if got := announced.Facts.State.Lowered(); got.RPS != 80 || got.WriteRPS != 21 || got.ValueKB != 2 || got.TxnOps != 8 {
		t.Errorf("lowered limits %+v", got)
	}
	higher := mustLoadPlatform(t, withFact("state", settings{"rps": 80, "write_rps": 30, "value_kb": 8, "txn_ops": 8,
		"next": settings{"value_kb": 32, "txn_ops": 24}}))
	if got := higher.Facts.State.Lowered(); got.ValueKB != 8 || got.TxnOps != 8 {
		t.Errorf("limits that are announced to rise are lowered to %+v", got)
	}
}

func manyTeams(count int) (teams []any) {
	for i := range count {
		teams = append(teams, settings{"name": strings.Repeat("t", i+1)})
	}
	return teams
}

func TestInvalidPlatform(t *testing.T) {
	withoutNode := validPlatform()
	delete(withoutNode, "node")
	withoutZones := validPlatform()
	delete(withoutZones["facts"].(settings), "zones")
	for _, tt := range []struct {
		field    string
		platform settings
	}{
		{"node", withoutNode},
		{"client_listen", withField("client_listen", "nowhere")},
		{"outside.state", withField("outside", settings{"cloud": "h:1"})},
		{"others[0].addr", withField("others", []any{settings{"node": "b"}})},
		{"others[0].node", withField("others", []any{settings{"node": "a", "addr": "h:1"}})},
		{"facts.workers.lease_s", withFact("workers", settings{"report_s": 1})},
		{"facts.state.rps", withFact("state", settings{"rps": -1})},
		{"facts.zones", withoutZones},
		{"facts.state.value_kb", withFact("state", settings{"rps": 80, "write_rps": 30, "value_kb": 0.5, "txn_ops": 24})},
		{"facts.state.txn_ops", withFact("state", settings{"rps": 80, "write_rps": 30, "value_kb": 8, "txn_ops": 1})},
		{"facts.workers.lease_s", withFact("workers", settings{"report_s": 3, "lease_s": 3, "cancel_s": 40})},
		{"facts.machine_limits.fd_limit", withFact("machine_limits", settings{"core_share": 0.2, "mem_mb": 125, "fd_limit": 20})},
		{"facts.machine_limits.mem_mb", withFact("machine_limits", settings{"core_share": 0.2, "mem_mb": 4, "fd_limit": 1200})},
		{"facts.teams", withFact("teams", []any{})},
	} {
		if _, err := LoadPlatform(writeJSON(t, tt.platform)); err == nil || !strings.Contains(err.Error(), tt.field) {
			t.Errorf("%s: error %v, want one naming the field", tt.field, err)
		}
	}
}

// Small limits are valid, but each causes a warning that names it.
func TestWarningsOfSmallLimits(t *testing.T) {
	small := withFact("machine_limits", settings{"core_share": 0.01, "mem_mb": 20, "fd_limit": 64})
	small["area"] = "elsewhere"
	warnings := mustLoadPlatform(t, small).Warnings(mustLoadOperator(t, ""))
	for _, field := range []string{"area", "core_share", "mem_mb", "fd_limit"} {
		if !strings.Contains(strings.Join(warnings, "\n"), field) {
			t.Errorf("%s: no warning among %q", field, warnings)
		}
	}
}

// Duplicate team names and guarantees above the limit are valid, but cause warnings.
func TestWarningsOfTeams(t *testing.T) {
	platform := mustLoadPlatform(t, withFact("teams", []any{
		settings{"name": "a", "cpus": 8, "cpus_max": 4}, settings{"name": "b", "gpus": 2, "gpus_max": 2},
		settings{"name": "c", "cpus": 8}, settings{"name": "b"}}))
	want := []string{`facts.teams[0]: the guarantee of "a" exceeds its limit: the limit applies`, `facts.teams[3]: duplicate team "b": the last entry applies`}
	if got := platform.Facts.teamWarnings(); !slices.Equal(got, want) {
		t.Errorf("warnings %q, want %q", got, want)
	}
	if all := platform.Warnings(mustLoadOperator(t, "")); !strings.Contains(strings.Join(all, "\n"), want[0]) {
		t.Errorf("the warnings about teams are not among %q", all)
	}
}
