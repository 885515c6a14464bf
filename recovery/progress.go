package recovery

import "cedardoor/clock"

// Stage is the stage of a leader's recovery.
type Stage string

// The stages, in their order.
const (
	// StageReading: the records are being read; no heartbeat is answered, no task is started.
	StageReading Stage = "reading"
	// StageReconciling: machines that are reconciled get tasks; the others are awaited.
	StageReconciling Stage = "reconciling"
	// StageComplete: no machine is awaited any more.
	StageComplete Stage = "complete"
)

// MachineState is the recovery state of a machine with recorded attempts of predecessors.
type MachineState uint8

// The states of a recorded machine. An awaited machine changes its state once, the others never.
const (
	// MachineAwaited: it has not reported this leader's token yet.
	MachineAwaited MachineState = iota
	// MachineReconciled: it has, so its reports are compared with the records.
	MachineReconciled
	// MachineGone: its lease expired without a report, or the cloud deleted it.
	MachineGone

	machineStates
)

// Progress tracks a leader's recovery by the machines that are awaited.
type Progress struct {
	startedAt        clock.Micros
	loadedAt         clock.Micros // zero until the records are read
	mostlyResolvedAt clock.Micros // zero until few machines are awaited
	completedAt      clock.Micros // zero until no machine is awaited
	deadline         clock.Micros // when the lease of the last recorded machine ends
	machines         map[string]MachineState
	counts           [machineStates]int
}

// mostlyResolvedShare is the share of machines whose resolution is worth a line in the log.
const mostlyResolvedShare = 0.9

// NewProgress starts a recovery.
func NewProgress(now clock.Micros) *Progress {
	return &Progress{startedAt: now, machines: map[string]MachineState{}}
}

// Await adds a machine with recorded attempts whose lease lasts until leaseEnd at most.
func (p *Progress) Await(machine string, leaseEnd clock.Micros) {
	p.deadline = max(p.deadline, leaseEnd)
	if _, known := p.machines[machine]; known {
		return
	}
	p.machines[machine] = MachineAwaited
	p.counts[MachineAwaited]++
}

// Loaded notes that all records are read.
func (p *Progress) Loaded(now clock.Micros) {
	p.loadedAt = now
	p.advanceStage(now)
}

// Resolve changes the state of an awaited machine; it has no effect on other machines.
func (p *Progress) Resolve(machine string, state MachineState, now clock.Micros) {
	if !p.Awaited(machine) || state == MachineAwaited {
		return
	}
	p.machines[machine] = state
	p.counts[MachineAwaited]--
	p.counts[state]++
	p.advanceStage(now)
}

// advanceStage notes the time when a stage is reached.
func (p *Progress) advanceStage(now clock.Micros) {
	if p.loadedAt == 0 {
		return
	}
	if p.mostlyResolvedAt == 0 && float64(p.counts[MachineAwaited]) <= (1-mostlyResolvedShare)*float64(len(p.machines)) {
		p.mostlyResolvedAt = now
	}
	if p.completedAt == 0 && p.counts[MachineAwaited] == 0 {
		p.completedAt = now
	}
}

// Awaited tells whether a machine is awaited.
func (p *Progress) Awaited(machine string) bool {
	state, known := p.machines[machine]
	return known && state == MachineAwaited
}

// Count is the number of recorded machines in a state.
func (p *Progress) Count(state MachineState) int { return p.counts[state] }

// Machines is the number of machines with recorded attempts.
func (p *Progress) Machines() int { return len(p.machines) }

// Stage is the stage of the recovery.
func (p *Progress) Stage() Stage {
	switch {
	case p.loadedAt == 0:
		return StageReading
	case p.completedAt == 0:
		return StageReconciling
	}
	return StageComplete
}

// StartedAt is when the recovery started.
func (p *Progress) StartedAt() clock.Micros { return p.startedAt }

// MostlyResolvedAt is when nine tenths of the machines were reconciled or gone, zero before.
func (p *Progress) MostlyResolvedAt() clock.Micros { return p.mostlyResolvedAt }

// CompletedAt is when the last machine was reconciled or gone, zero before.
func (p *Progress) CompletedAt() clock.Micros { return p.completedAt }

// Reconnecting tells whether the awaited machines are rather late than lost: their workers have not
// had the time to report, and either most machines are awaited, or no other controller answers, so
// that workers may be trying those first.
func (p *Progress) Reconnecting(now, maxReportDelay clock.Micros, isolated bool) bool {
	awaited := p.counts[MachineAwaited]
	return now-p.startedAt < maxReportDelay && (2*awaited > len(p.machines) || isolated && awaited > 0)
}

const (
	// controllerTimeout is how long a worker waits for the answer of one controller.
	controllerTimeout = 4 * clock.Second
	// nextControllerDelay is how long a worker waits before it tries the next controller.
	nextControllerDelay = clock.Second
)

// MaxReportDelay is how long a worker may take to report to the only controller of several that
// answers: it tries one after another.
func MaxReportDelay(controllers int, reportInterval clock.Micros) clock.Micros {
	return clock.Micros(max(0, controllers-1))*(controllerTimeout+nextControllerDelay) + reportInterval + reportInterval/4
}
