package detector

import (
	"fmt"
	"log/slog"
	"testing"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/quota"
	"cedardoor/wire"
)

const (
	firstToken = 5
	report     = 3 * clock.Second
)

func newDetector(t *testing.T) *Detector {
	t.Helper()
	f := fleet.New(30*clock.Second, report, firstToken, quota.NewLedger(nil))
	return New(Settings{Fleet: f, ReportInterval: report, MaxProbes: 2, Log: slog.New(slog.DiscardHandler)})
}

// heartbeats takes in a heartbeat of so many machines.
func (d *Detector) heartbeats(machines int, now clock.Micros) {
	for i := range machines {
		sequence := uint64(now/clock.Second) + 1
		d.Fleet.Report(now, &wire.Heartbeat{Machine: fmt.Sprintf("n-%d", i), Endpoint: "e", Incarnation: 1, Sequence: sequence, Token: firstToken}, true)
		d.HeartbeatReceived(now)
	}
}

// TestIsolation: silence of all workers is this controller's fault, the sooner the more of them
// report.
func TestIsolation(t *testing.T) {
	many := report + report/4 + reliableSlack
	few := isolationReports*report + isolationSlack
	tests := []struct {
		machines   int
		maxSilence clock.Micros
	}{
		{1, 0}, // says nothing
		{2, few},
		{ReliableReporters - 1, few},
		{ReliableReporters, many},
	}
	for _, tt := range tests {
		d := newDetector(t)
		d.heartbeats(tt.machines, clock.Second)
		last := clock.Second
		if d.Isolation(last + tt.maxSilence).Silent {
			t.Errorf("%d machines: isolated after %v", tt.machines, tt.maxSilence)
		}
		if got := d.Isolation(last + few + 1).Silent; got != (tt.machines > 1) {
			t.Errorf("%d machines: isolated %t after %v", tt.machines, got, few+1)
		}
		if got := d.Isolation(last + tt.maxSilence + 1).Silent; tt.maxSilence > 0 && !got {
			t.Errorf("%d machines: not isolated after %v", tt.machines, tt.maxSilence+1)
		}
	}
}

// TestPauseCountsSilenceAnew: what was silent while the process paused was only not listened to.
func TestPauseCountsSilenceAnew(t *testing.T) {
	d := newDetector(t)
	d.CheckPause(0)
	d.heartbeats(3, clock.Second)
	if d.CheckPause(pauseThreshold) {
		t.Error("a usual gap counts as a pause")
	}
	now := 60 * clock.Second
	if !d.CheckPause(now) || d.RunningSince() != now {
		t.Error("a pause is not noticed")
	}
	if d.Isolation(now+clock.Second).Silent || d.IsolatedFromWorkers(now+clock.Second) {
		t.Error("isolated right after a pause")
	}
	if d.SilentCheckDue(now + clock.Second) {
		t.Error("silence is looked at right after a pause")
	}
}

// TestProbes: few at a time, one for a machine, and a machine that reports is not unreachable.
func TestProbes(t *testing.T) {
	d := newDetector(t)
	d.heartbeats(3, clock.Second)
	machines := d.Fleet.Machines()
	if !d.BeginProbe(machines[0]) || d.BeginProbe(machines[0]) || !d.BeginProbe(machines[1]) || d.BeginProbe(machines[2]) {
		t.Error("not one probe a machine and two in all")
	}
	d.EndProbe(machines[0])
	for range UnreachableAfterProbes {
		d.ProbeUnanswered(machines[0], 2*clock.Second)
	}
	if d.UnreachableCount() != 0 {
		t.Error("a machine that reports counts as unreachable")
	}
	for range UnreachableAfterProbes {
		d.ProbeUnanswered(machines[0], 20*clock.Second)
	}
	if d.UnreachableCount() != 1 {
		t.Error("a silent machine that answers no probe does not count as unreachable")
	}
}

// TestQuarantine: each reason begins and ends.
func TestQuarantine(t *testing.T) {
	tests := []struct {
		name       string
		begin, end func(m *fleet.Machine)
		want       fleet.QuarantineReason
	}{
		{"preemption", func(m *fleet.Machine) { m.PreemptionAt = 1 }, func(m *fleet.Machine) { m.PreemptionAt = 0 }, fleet.QuarantinePreemption},
		{"not acknowledging", func(m *fleet.Machine) { m.Unacknowledged = 3 }, func(m *fleet.Machine) { m.Unacknowledged = 0 }, fleet.QuarantineNotAcknowledging},
		{"slow", func(m *fleet.Machine) { m.Slowness, m.SlownessSamples = 2, 3 }, nil, fleet.QuarantineSlow},
	}
	for _, tt := range tests {
		d := newDetector(t)
		d.heartbeats(1, clock.Second)
		machine := d.Fleet.Machine("n-0")
		tt.begin(machine)
		d.EvaluateMachine(machine)
		if machine.QuarantineReason != tt.want {
			t.Errorf("%s: reason %q", tt.name, machine.QuarantineReason)
		}
		if tt.end == nil {
			continue
		}
		tt.end(machine)
		d.EvaluateMachine(machine)
		if machine.QuarantineReason != "" || d.notAcknowledging != 0 {
			t.Errorf("%s: reason %q after its end", tt.name, machine.QuarantineReason)
		}
	}
}

// TestStaleReporterIsProbedNowAndThen: a flood of old reports leads to one probe an interval.
func TestStaleReporterIsProbedNowAndThen(t *testing.T) {
	d := newDetector(t)
	d.heartbeats(1, clock.Second)
	machine, probes := d.Fleet.Machine("n-0"), 0
	for now := clock.Micros(0); now < 3*report; now += clock.Second / 4 {
		if d.StaleReport(machine, now) {
			probes++
		}
	}
	if probes != 3 {
		t.Errorf("%d probes in three intervals, want 3", probes)
	}
}
