// Package detector finds machines that are silent or that commands do not reach, and tells when
// the fault is rather this controller's: cut off from its workers, or paused. It does no I/O and
// has no lock: the leader's own lock guards it, and the leader sends the probes.
package detector

import (
	"fmt"
	"log/slog"

	"cedardoor/clock"
	"cedardoor/fleet"
)

const (
	// CheckInterval is how far apart machines are looked at.
	CheckInterval = 500 * clock.Millisecond
	// pauseThreshold is the gap between two looks at the clock that shows that this process has
	// not run meanwhile.
	pauseThreshold = 3 * clock.Second
	// unresponsiveReports is how many report intervals of silence make a machine unresponsive.
	unresponsiveReports = 2
	// UnreachableAfterProbes is how many probes in a row a silent worker must fail to answer.
	UnreachableAfterProbes = 2
	// confirmAfter is how long a machine's next report is waited for before it is probed: a
	// worker tells of a new token after half a second, but only once in half a lease, and where
	// leaders or tokens change often that would leave it untrusted until its next regular one.
	confirmAfter = 800 * clock.Millisecond
	// maxRememberedProbes bounds the memory of probes that old reports have led to.
	maxRememberedProbes = 4096
)

// A machine is slow whose tasks take so many times as long as elsewhere, by so many tasks.
const (
	slowFactor     = 1.6
	minSlowSamples = 3
)

// Settings are what a Detector is made with.
type Settings struct {
	Fleet          *fleet.Fleet
	ReportInterval clock.Micros
	Since          clock.Micros // when the term began
	MaxProbes      int          // that may be under way at a time
	Log            *slog.Logger
}

// Detector follows the heartbeats of the machines and the probes of those that are silent.
type Detector struct {
	Settings

	runningSince        clock.Micros // since when this process has not paused
	pauseCheckedAt      clock.Micros // when that was last looked at
	lastHeartbeat       clock.Micros // of any worker
	silenceCheckedAt    clock.Micros
	probesStartedAt     clock.Micros
	openProbes          int
	notAcknowledging    int                     // machines quarantined for that
	staleReportProbedAt map[string]clock.Micros // machines probed because of an old report, and when
	unconfirmed         []unconfirmedMachine    // oldest first
	unreachable         map[*fleet.Machine]bool // silent machines that answered no probe
	awaited             map[*fleet.Machine]bool // recorded by a predecessor, and silent since
}

// unconfirmedMachine is a machine whose first report was no proof that it is there now.
type unconfirmedMachine struct {
	machine    *fleet.Machine
	reportedAt clock.Micros
}

// New makes a Detector for one term of leadership.
func New(settings Settings) *Detector {
	return &Detector{Settings: settings, runningSince: settings.Since, staleReportProbedAt: map[string]clock.Micros{},
		unreachable: map[*fleet.Machine]bool{}, awaited: map[*fleet.Machine]bool{}}
}

// RunningSince is since when this process has not paused.
func (d *Detector) RunningSince() clock.Micros { return d.runningSince }

// HeartbeatReceived notes that a heartbeat of any worker came.
func (d *Detector) HeartbeatReceived(now clock.Micros) { d.lastHeartbeat = now }

// HasReports tells whether any heartbeat came in this term.
func (d *Detector) HasReports() bool { return d.lastHeartbeat > d.Since }

// CheckPause notes when this process went on after a pause in which its clocks ran on. Whatever
// seemed silent, idle or slow to boot meanwhile was only not listened to, so that is counted from
// then on: one that wakes must not give up all its machines.
func (d *Detector) CheckPause(now clock.Micros) (paused bool) {
	paused = d.pauseCheckedAt > 0 && now-d.pauseCheckedAt > pauseThreshold
	if paused {
		d.Log.Info("process paused: silence is counted anew", "seconds", (now - d.pauseCheckedAt).Seconds())
		d.runningSince = now
	}
	d.pauseCheckedAt = now
	return paused
}

// listensLongEnough tells whether silence says anything of machines yet.
func (d *Detector) listensLongEnough(now clock.Micros) bool {
	return now-d.runningSince >= unresponsiveReports*d.ReportInterval
}

// MarkUnresponsive finds the machines that have fallen silent, now and then: nothing is placed on
// them.
func (d *Detector) MarkUnresponsive(now clock.Micros) {
	if now-d.silenceCheckedAt < CheckInterval || !d.listensLongEnough(now) {
		return
	}
	d.silenceCheckedAt = now
	for _, machine := range d.Fleet.SilentMachines(now, unresponsiveReports*d.ReportInterval) {
		d.Fleet.MarkUnresponsive(machine)
	}
}

// EvaluateMachine quarantines a machine that has a preemption notice, is slow or does not
// acknowledge commands, and lifts the quarantine when its reason ends.
func (d *Detector) EvaluateMachine(machine *fleet.Machine) {
	if machine.QuarantineReason == fleet.QuarantineNotAcknowledging && !machine.NotAcknowledging() {
		d.liftNotAcknowledging(machine)
		d.Log.Info("machine acknowledges commands again", "machine", machine.Name)
	}
	switch {
	case machine.PreemptionAt > 0 && machine.QuarantineReason == "":
		machine.QuarantineReason = fleet.QuarantinePreemption
	case machine.PreemptionAt == 0 && machine.QuarantineReason == fleet.QuarantinePreemption:
		machine.QuarantineReason = ""
	case machine.QuarantineReason == "" && machine.SlownessSamples >= minSlowSamples && machine.Slowness > slowFactor:
		machine.QuarantineReason = fleet.QuarantineSlow
		d.Log.Info("machine quarantined", "machine", machine.Name, "reason", "slow", "factor", fmt.Sprintf("%.2f", machine.Slowness))
	}
	if machine.NotAcknowledging() && machine.QuarantineReason == "" {
		machine.QuarantineReason = fleet.QuarantineNotAcknowledging
		d.notAcknowledging++
		d.Log.Info("machine quarantined", "machine", machine.Name, "reason", "does not acknowledge commands")
	}
}

func (d *Detector) liftNotAcknowledging(machine *fleet.Machine) {
	machine.QuarantineReason = ""
	d.notAcknowledging--
}

// Forget drops what is known of a machine that is no longer there.
func (d *Detector) Forget(machine *fleet.Machine) {
	if machine.QuarantineReason == fleet.QuarantineNotAcknowledging {
		d.liftNotAcknowledging(machine)
	}
	delete(d.awaited, machine)
}

// Await notes a machine that a predecessor recorded attempts on.
func (d *Detector) Await(machine *fleet.Machine) { d.awaited[machine] = true }

// IsAwaited tells whether a machine was recorded by a predecessor and has been silent since.
func (d *Detector) IsAwaited(machine *fleet.Machine) bool { return d.awaited[machine] }

// MachineUp notes that a machine reports and is trusted.
func (d *Detector) MachineUp(machine *fleet.Machine) { delete(d.awaited, machine) }

// Unconfirmed notes a machine whose report was no proof that it is there now.
func (d *Detector) Unconfirmed(machine *fleet.Machine, now clock.Micros) {
	d.unconfirmed = append(d.unconfirmed, unconfirmedMachine{machine, now})
}

// OpenProbes is how many probes are under way.
func (d *Detector) OpenProbes() int { return d.openProbes }

// UnconfirmedCount is how many machines have reported and are yet to be confirmed.
func (d *Detector) UnconfirmedCount() int { return len(d.unconfirmed) }

// UnreachableCount is how many silent machines answered no probe.
func (d *Detector) UnreachableCount() int { return len(d.unreachable) }
