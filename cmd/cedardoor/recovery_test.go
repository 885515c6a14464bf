package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"cedardoor/operator"
	"cedardoor/recovery"

	"github.com/google/go-cmp/cmp"
)

// someRecovery is what a controller might answer.
var someRecovery = recovery.Report{Node: "berth-1", Leader: "berth-0", Fresh: true, Stage: recovery.StageReconciling, RunsS: 4.25, AtLatestS: 14.5,
	Machines:   recovery.MachineCounts{Recorded: 300, Awaited: 20, Reconciled: 275, Gone: 5},
	Attempts:   recovery.AttemptCounts{Awaited: 60, InDoubt: 4, Running: 900, Stopping: 3, Unreadable: 2},
	Unrecorded: []recovery.Unrecorded{{Task: "j-000412/3", Attempt: 2, Machine: "n-000231", Zone: "a", Why: "retain"}},
	Damaged:    []recovery.Damage{{Key: "catalog", Kind: recovery.DamageRebuilt, Detail: "x"}}}

func TestRecoveryAsTable(t *testing.T) {
	got := output(t, "recovery", "--address", controllerAt(t, operator.PathRecovery, http.StatusOK, someRecovery))
	want := strings.Join([]string{
		"LEADER  STAGE        SINCE  TOOK  AT LATEST",
		"berth-0  reconciling  4.2s  -  14.5s",
		"",
		"MACHINES  RECORDED  AWAITED  RECONCILED  GONE",
		" 300 20 275 5",
		"",
		"ATTEMPTS  AWAITED  IN DOUBT  RUNNING  STOPPING  UNREADABLE",
		" 60 4 900 3 2",
		"",
		"UNRECORDED TASK  ATTEMPT  MACHINE   ZONE  FOLLOWS",
		"j-000412/3  2  n-000231  a  retain",
		"",
		"DAMAGED RECORD  KIND  JOB  WHAT FOLLOWS",
		"catalog  rebuilt  -  nothing: it is written anew",
		"",
	}, "\n")
	if diff := cmp.Diff(words(want), words(got)); diff != "" {
		t.Errorf("%s\n%s", diff, got)
	}
	quiet := someRecovery
	quiet.Unrecorded, quiet.Damaged, quiet.Stage, quiet.AtLatestS, quiet.TookS = nil, nil, recovery.StageComplete, 0, 9.5
	got = output(t, "recovery", "--address", controllerAt(t, operator.PathRecovery, http.StatusOK, quiet))
	if strings.Contains(got, "UNRECORDED") || strings.Contains(got, "DAMAGED") || !strings.Contains(got, "complete") || !strings.Contains(got, "9.5s") {
		t.Errorf("when all is well:\n%s", got)
	}
}

// words are the cells of a table, whatever their widths.
func words(table string) (out [][]string) {
	for _, line := range strings.Split(table, "\n") {
		out = append(out, strings.Fields(line))
	}
	return out
}

func TestRecoveryAsJSON(t *testing.T) {
	raw := output(t, "recovery", "--output", "json", "--address", controllerAt(t, operator.PathRecovery, http.StatusOK, someRecovery))
	var got recovery.Report
	if err := json.Unmarshal([]byte(raw), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(someRecovery, got); diff != "" {
		t.Error(diff)
	}
	// Scripts rely on these names.
	for _, field := range []string{`"stage": "reconciling"`, `"at_latest_s": 14.5`, `"awaited": 20`, `"reconciled": 275`, `"unrecorded": [`, `"kind": "rebuilt"`} {
		if !strings.Contains(raw, field) {
			t.Errorf("no %s in %s", field, raw)
		}
	}
}

func TestRecoveryExitCodes(t *testing.T) {
	stale := someRecovery
	stale.Fresh, stale.AgeS = false, 12.5
	for _, tt := range []struct {
		name string
		args []string
		want int
	}{
		{"the leader's view", []string{"--address", controllerAt(t, operator.PathRecovery, http.StatusOK, someRecovery)}, 0},
		{"an old view", []string{"--address", controllerAt(t, operator.PathRecovery, http.StatusOK, stale)}, exitStale},
		{"no view yet", []string{"--address", controllerAt(t, operator.PathRecovery, http.StatusServiceUnavailable, operator.ErrorResponse{Error: "x"})}, exitNoView},
		{"no address", nil, exitUsage},
		{"another form", []string{"--address", "127.0.0.1:1", "--output", "xml"}, exitUsage},
		{"another argument", []string{"now"}, exitUsage},
	} {
		if got := run(append([]string{"recovery"}, tt.args...)); got != tt.want {
			t.Errorf("%s: exit %d, want %d", tt.name, got, tt.want)
		}
	}
}
