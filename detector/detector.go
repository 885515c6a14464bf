// Package detector finds machines that are silent or that commands do not reach, and recognizes
// when the fault is more likely this controller's: cut off from its workers, or paused. It does no
// I/O and has no lock: the leader's lock guards it, and the leader sends the probes.
package detector

import (
	"fmt"
	"log/slog"

	"cedardoor/clock"
	"cedardoor/fleet"
)

const (
	// CheckInterval is the interval between checks of the machines.
	CheckInterval = 500 * clock.Millisecond
	// pauseThreshold is the gap between two readings of the clock that shows that this process did
	// not run in between.
	pauseThreshold = 3 * clock.Second
	// unresponsiveReports is how many report intervals of silence make a machine unresponsive.
	unresponsiveReports = 2
	// UnreachableAfterProbes is how many consecutive probes a silent worker must fail to answer to
	// count as unreachable.
	UnreachableAfterProbes = 2
	// confirmAfter is how long to wait for a machine's next report before probing it. A worker
	// reports a new token after half a second, but only once in half a lease: where leaders or
	// tokens change often, the machine would stay untrusted until its next regular report.
	confirmAfter = 800 * clock.Millisecond
	// maxRememberedProbes bounds the memory for probes caused by stale reports.
	maxRememberedProbes = 4096
)

// A machine is slow if its tasks take more than slowFactor times as long as elsewhere, measured on
// at least minSlowSamples tasks.
const (
	slowFactor     = 1.6
	minSlowSamples = 3
)

// Settings configures a Detector.
type Settings struct {
	Fleet          *fleet.Fleet
	ReportInterval clock.Micros
	TermStart      clock.Micros // when the term began
	MaxProbes      int          // in flight at a time
	Log            *slog.Logger
}

// Detector tracks the heartbeats of the machines and the probes of those that are silent.
type Detector struct {
	Settings

	runningSince          clock.Micros // start of the term, or end of this process's last pause
	pauseCheckedAt        clock.Micros // when CheckPause last ran
	lastHeartbeat         clock.Micros // of any worker
	unresponsiveCheckedAt clock.Micros
	silentCheckedAt       clock.Micros
	openProbes            int
	notAcknowledging      int                     // machines quarantined for not acknowledging commands
	staleReportProbedAt   map[string]clock.Micros // by machine name: when a stale report last led to a probe
	unconfirmed           []unconfirmedMachine    // oldest first
	unreachable           map[*fleet.Machine]bool // silent machines that answered no probe
	awaited               map[*fleet.Machine]bool // recorded by a predecessor and silent since
}

// unconfirmedMachine is a machine whose first report did not prove that it is up now.
type unconfirmedMachine struct {
	machine    *fleet.Machine
	reportedAt clock.Micros
}

// New returns a Detector for one term of leadership.
func New(settings Settings) *Detector {
	return &Detector{Settings: settings, runningSince: settings.TermStart, staleReportProbedAt: map[string]clock.Micros{},
		unreachable: map[*fleet.Machine]bool{}, awaited: map[*fleet.Machine]bool{}}
}

// RunningSince returns when this process last resumed from a pause, or else when the term began.
func (d *Detector) RunningSince() clock.Micros { return d.runningSince }

// HeartbeatReceived records the arrival of a heartbeat from any worker.
func (d *Detector) HeartbeatReceived(now clock.Micros) { d.lastHeartbeat = now }

// HasReports reports whether any heartbeat has arrived in this term.
func (d *Detector) HasReports() bool { return d.lastHeartbeat > d.TermStart }

// CheckPause detects that this process resumed after a pause in which its clocks ran on. Machines
// that seemed silent, idle or slow to boot meanwhile were only not observed, so those times are
// measured from the end of the pause: a resumed leader must not give up all its machines.
func (d *Detector) CheckPause(now clock.Micros) (paused bool) {
	paused = d.pauseCheckedAt > 0 && now-d.pauseCheckedAt > pauseThreshold
	if paused {
		d.Log.Info("process paused: silence is measured from now on", "seconds", (now - d.pauseCheckedAt).Seconds())
		d.runningSince = now
	}
	d.pauseCheckedAt = now
	return paused
}

// observedLongEnough reports whether this process has run long enough for silence to be meaningful.
func (d *Detector) observedLongEnough(now clock.Micros) bool {
	return now-d.runningSince >= unresponsiveReports*d.ReportInterval
}

// MarkUnresponsive marks the machines that have fallen silent, at most once in CheckInterval.
// Nothing is placed on them.
func (d *Detector) MarkUnresponsive(now clock.Micros) {
	if now-d.unresponsiveCheckedAt < CheckInterval || !d.observedLongEnough(now) {
		return
	}
	d.unresponsiveCheckedAt = now
	for _, machine := range d.Fleet.SilentMachines(now, unresponsiveReports*d.ReportInterval) {
		d.Fleet.MarkUnresponsive(machine)
	}
}

// EvaluateMachine quarantines a machine that has a preemption notice, is slow or does not
// acknowledge commands. It lifts a quarantine for a notice or for missing acknowledgements when
// that reason ends.
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

// Forget drops the state of a machine that no longer exists.
func (d *Detector) Forget(machine *fleet.Machine) {
	if machine.QuarantineReason == fleet.QuarantineNotAcknowledging {
		d.liftNotAcknowledging(machine)
	}
	delete(d.awaited, machine)
}

// MarkAwaited records that a predecessor recorded attempts on a machine.
func (d *Detector) MarkAwaited(machine *fleet.Machine) { d.awaited[machine] = true }

// IsAwaited reports whether a machine was recorded by a predecessor and has been silent since.
func (d *Detector) IsAwaited(machine *fleet.Machine) bool { return d.awaited[machine] }

// MachineUp records that a machine reports and is trusted.
func (d *Detector) MachineUp(machine *fleet.Machine) { delete(d.awaited, machine) }

// MarkUnconfirmed records a machine whose report did not prove that it is up now.
func (d *Detector) MarkUnconfirmed(machine *fleet.Machine, now clock.Micros) {
	d.unconfirmed = append(d.unconfirmed, unconfirmedMachine{machine, now})
}

// OpenProbes returns the number of probes in flight.
func (d *Detector) OpenProbes() int { return d.openProbes }

// UnconfirmedCount returns the number of machines that have reported and await confirmation.
func (d *Detector) UnconfirmedCount() int { return len(d.unconfirmed) }

// UnreachableCount returns the number of silent machines that answered no probe.
func (d *Detector) UnreachableCount() int { return len(d.unreachable) }
