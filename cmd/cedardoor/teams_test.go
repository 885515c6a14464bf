package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cedardoor/operator"
	"cedardoor/quota"

	"github.com/google/go-cmp/cmp"
)

// someTeams is what a controller might answer.
var someTeams = quota.Report{Node: "berth-1", Leader: "berth-0", Fresh: true, Teams: []quota.TeamReport{
	{Team: "orders", Tasks: quota.TasksReport{Running: 3, InDoubt: 1}, Cores: quota.ResourceReport{Limit: 10, Guarantee: 6.5, InUse: 8, Running: 6, InDoubt: 2},
		Waiting: quota.WaitingReport{Jobs: 2, Tasks: 7, Reasons: map[quota.Reason]int{quota.ReasonRoom: 4, quota.ReasonLimit: 3}}},
	{Team: "training", Accelerators: quota.ResourceReport{InUse: 2, Stopping: 2}},
}}

// controller answers at an operators' address.
func controller(t *testing.T, status int, body any) string {
	t.Helper()
	return controllerAt(t, operator.PathTeams, status, body)
}

// controllerAt is one that is asked for one report only.
func controllerAt(t *testing.T, path string, status int, body any) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			t.Errorf("asked for %s", r.URL)
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// output is what a command prints.
func output(t *testing.T, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	c := command()
	c.SetOut(&out)
	c.SetArgs(args)
	_ = c.Execute()
	return out.String()
}

func TestTeamsAsTable(t *testing.T) {
	got := output(t, "teams", "--address", controller(t, http.StatusOK, someTeams))
	want := strings.Join([]string{
		"TEAM      RESOURCE      IN USE  RUNNING  BOOKED  IN DOUBT  STOPPING  LIMIT  GUARANTEE  WAITING  WHY",
		"orders    cores         8       6        0       2         0         10     6.5        7        limit:3,room:4",
		"training  cores         0       0        0       0         0         none   none       0        -",
		"training  accelerators  2       0        0       0         2         none   none       0        -",
		"",
	}, "\n")
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestTeamsAsJSON(t *testing.T) {
	raw := output(t, "teams", "--output", "json", "--address", controller(t, http.StatusOK, someTeams))
	var got quota.Report
	if err := json.Unmarshal([]byte(raw), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(someTeams, got); diff != "" {
		t.Error(diff)
	}
	// Scripts rely on these names.
	for _, field := range []string{`"fresh": true`, `"age_s": 0`, `"team": "orders"`, `"in_use": 8`, `"in_doubt": 2`, `"guarantee": 6.5`, `"reasons": {`} {
		if !strings.Contains(raw, field) {
			t.Errorf("no %s in %s", field, raw)
		}
	}
}

func TestTeamsExitCodes(t *testing.T) {
	stale := someTeams
	stale.Fresh, stale.AgeS = false, 12.5
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := closed.Addr().String()
	closed.Close()
	for _, tt := range []struct {
		name string
		args []string
		want int
	}{
		{"the leader's view", []string{"--address", controller(t, http.StatusOK, someTeams)}, 0},
		{"an old view", []string{"--address", controller(t, http.StatusOK, stale)}, exitStale},
		{"no view yet", []string{"--address", controller(t, http.StatusServiceUnavailable, operator.ErrorResponse{Error: "x"})}, exitNoView},
		{"another program", []string{"--address", controller(t, http.StatusNotFound, "x")}, exitFailure},
		{"no report", []string{"--address", controller(t, http.StatusOK, "x")}, exitFailure},
		{"nobody there", []string{"--address", nobody}, exitFailure},
		{"no port", []string{"--address", "berth-1"}, exitUsage},
		{"no address", nil, exitUsage},
		{"another form", []string{"--address", nobody, "--output", "xml"}, exitUsage},
		{"another flag", []string{"--adress", nobody}, exitUsage},
	} {
		if got := run(append([]string{"teams"}, tt.args...)); got != tt.want {
			t.Errorf("%s: exit %d, want %d", tt.name, got, tt.want)
		}
	}
}
