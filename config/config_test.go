package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func platform() map[string]any {
	return map[string]any{"node": "a", "area": "x", "client_listen": "127.0.0.1:1", "back": "127.0.0.1:2", "new": true,
		"others":  []any{map[string]any{"node": "b", "addr": "127.0.0.1:3"}},
		"outside": map[string]any{"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
		"facts": map[string]any{"zones": []string{"x"}, "teams": []any{map[string]any{"name": "t"}},
			"workers":        map[string]any{"report_s": 3, "lease_s": 18, "cancel_s": 40},
			"state":          map[string]any{"rps": 80, "write_rps": 30, "value_kb": 8, "txn_ops": 24},
			"cloud":          map[string]any{"rps": 4, "list_lag_s": 8},
			"machine_limits": map[string]any{"core_share": 0.2, "mem_mb": 100, "fd_limit": 500}}}
}

func write(t *testing.T, v any) string {
	t.Helper()
	raw, ok := v.([]byte)
	if !ok {
		var err error
		if raw, err = json.Marshal(v); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadPlatform(t *testing.T) {
	if _, err := LoadPlatform(write(t, platform())); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		field string
		mod   func(p map[string]any)
	}{
		{"node", func(p map[string]any) { delete(p, "node") }},
		{"client_listen", func(p map[string]any) { p["client_listen"] = "nowhere" }},
		{"outside.state", func(p map[string]any) { p["outside"] = map[string]any{"cloud": "h:1"} }},
		{"others[0].addr", func(p map[string]any) { p["others"] = []any{map[string]any{"node": "b"}} }},
		{"others[0].node", func(p map[string]any) { p["others"] = []any{map[string]any{"node": "a", "addr": "h:1"}} }},
		{"facts.workers.lease_s", func(p map[string]any) { p["facts"].(map[string]any)["workers"] = map[string]any{"report_s": 1} }},
		{"facts.state.rps", func(p map[string]any) { p["facts"].(map[string]any)["state"] = map[string]any{"rps": -1} }},
		{"facts.zones", func(p map[string]any) { delete(p["facts"].(map[string]any), "zones") }},
		{"facts.state.value_kb", func(p map[string]any) {
			p["facts"].(map[string]any)["state"] = map[string]any{"rps": 80, "write_rps": 30, "value_kb": 4, "txn_ops": 24}
		}},
		{"facts.state.txn_ops", func(p map[string]any) {
			p["facts"].(map[string]any)["state"] = map[string]any{"rps": 80, "write_rps": 30, "value_kb": 8, "txn_ops": 1}
		}},
		{"facts.workers.lease_s", func(p map[string]any) {
			p["facts"].(map[string]any)["workers"] = map[string]any{"report_s": 3, "lease_s": 3, "cancel_s": 40}
		}},
		{"facts.machine_limits.fd_limit", func(p map[string]any) {
			p["facts"].(map[string]any)["machine_limits"] = map[string]any{"core_share": 0.2, "mem_mb": 125, "fd_limit": 20}
		}},
		{"facts.machine_limits.mem_mb", func(p map[string]any) {
			p["facts"].(map[string]any)["machine_limits"] = map[string]any{"core_share": 0.2, "mem_mb": 4, "fd_limit": 1200}
		}},
		{"facts.teams", func(p map[string]any) { p["facts"].(map[string]any)["teams"] = []any{} }},
	}
	for _, tt := range tests {
		p := platform()
		tt.mod(p)
		if _, err := LoadPlatform(write(t, p)); err == nil || !strings.Contains(err.Error(), tt.field) {
			t.Errorf("%s: error %v", tt.field, err)
		}
	}
	// What is merely tight starts, with a warning that names it.
	little := platform()
	little["area"] = "elsewhere"
	little["facts"].(map[string]any)["machine_limits"] = map[string]any{"core_share": 0.01, "mem_mb": 20, "fd_limit": 64}
	tight, err := LoadPlatform(write(t, little))
	if err != nil {
		t.Fatal(err)
	}
	defaults, err := LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{"area", "core_share", "mem_mb", "fd_limit"} {
		if !strings.Contains(strings.Join(tight.Warnings(defaults), "\n"), field) {
			t.Errorf("%s: no warning among %q", field, tight.Warnings(defaults))
		}
	}
	// So do limits that can't be kept together.
	odd := platform()
	odd["facts"].(map[string]any)["teams"] = []any{
		map[string]any{"name": "a", "cpus": 8, "cpus_max": 4}, map[string]any{"name": "b", "gpus": 2, "gpus_max": 2},
		map[string]any{"name": "c", "cpus": 8}, map[string]any{"name": "b"}}
	warned, err := LoadPlatform(write(t, odd))
	if err != nil {
		t.Fatal(err)
	}
	want := []string{`facts.teams[0]: "a" is guaranteed more than its limit: the limit holds`, `facts.teams[3]: "b" is named twice: the last counts`}
	if got := warned.Facts.teamWarnings(); !slices.Equal(got, want) {
		t.Errorf("warnings %q, want %q", got, want)
	}
	if all := warned.Warnings(defaults); !strings.Contains(strings.Join(all, "\n"), want[0]) {
		t.Errorf("not among %q", all)
	}
	// More controllers than zones, and many teams, are nothing unusual.
	p := platform()
	p["others"] = []any{map[string]any{"node": "b", "area": "x", "addr": "h:1"}, map[string]any{"node": "c", "area": "x", "addr": "h:2"}}
	var teams []any
	for i := range 200 {
		teams = append(teams, map[string]any{"name": strings.Repeat("t", i+1)})
	}
	p["facts"].(map[string]any)["teams"] = teams
	if _, err := LoadPlatform(write(t, p)); err != nil {
		t.Error(err)
	}
	if _, err := LoadPlatform(write(t, []byte("{not json"))); err == nil {
		t.Error("not JSON: no error")
	}
	if _, err := LoadPlatform(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("no file: no error")
	}
}

func TestLoadOperator(t *testing.T) {
	o, err := LoadOperator(write(t, []byte(`{"repair":{"period_s":5}}`)))
	if err != nil {
		t.Fatal(err)
	}
	if o.Repair.PeriodS != 5 || o.Repair.Restarts != 20 {
		t.Errorf("repair %+v: want the file's period over the default restarts", o.Repair)
	}
	for text, want := range map[string]string{
		`{"repair":{"periods":5}}`:                 "/repair",
		`{"repair":{"period_s":"x"}}`:              "/repair/period_s",
		`{"fleet":{"idle_s":-1}}`:                  "/fleet/idle_s",
		`{"lead":{"ttl_s":2,"renew_s":2}}`:         "/lead/renew_s",
		`[]`:                                       "object",
		`{"repair":`:                               "EOF",
		`{"speed":1}`:                              "speed",
		`{"metrics":{"listen":7},"plan":{"a":{}}}`: "/metrics/listen",
	} {
		if _, err := LoadOperator(write(t, []byte(text))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one naming %s", text, err, want)
		}
	}
}

// The settings that come with the deploy file switch the operators' address on, and no more.
func TestDeployedSettings(t *testing.T) {
	deployed, err := LoadOperator(filepath.Join("..", "deploy", "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	want, err := LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	want.Metrics.Listen = "127.0.0.1:9090"
	if *deployed != *want {
		t.Errorf("deploy/settings.json gives %+v, want %+v", deployed, want)
	}
}

func TestDefaultsMatchSchema(t *testing.T) {
	if err := validate(defaultsText); err != nil {
		t.Fatal(err)
	}
}
