package recovery

import "cedardoor/clock"

// Stage is a stage of a leader's recovery.
type Stage string

// The stages, in order.
const (
	// StageReading: the records are being read; no heartbeat is answered and no task is started.
	StageReading Stage = "reading"
	// StageReconciling: reconciled machines get tasks while the others are awaited.
	StageReconciling Stage = "reconciling"
	// StageComplete: no machine is awaited.
	StageComplete Stage = "complete"
)

// MachineState is the recovery state of a machine on which predecessors recorded attempts.
type MachineState uint8

// The states of a recorded machine. The only transitions are from MachineAwaited to another state.
const (
	// MachineAwaited: the machine is not trusted in this term yet: it has neither reported this
	// leader's token nor answered a probe.
	MachineAwaited MachineState = iota
	// MachineReconciled: the machine reports and is trusted, so its reports are compared with the
	// records.
	MachineReconciled
	// MachineGone: the machine's lease expired without a report, or the cloud deleted the machine.
	MachineGone

	numMachineStates
)

// Progress tracks a leader's recovery by the machines that it awaits.
type Progress struct {
	startedAt        clock.Micros
	loadedAt         clock.Micros // zero until the records are read
	mostlyResolvedAt clock.Micros // zero until mostlyResolvedShare is reached
	completedAt      clock.Micros // zero until no machine is awaited
	deadline         clock.Micros // when the last lease of a recorded machine ends
	machines         map[string]MachineState
	counts           [numMachineStates]int
}

// mostlyResolvedShare is the share of resolved machines that is logged as a milestone.
const mostlyResolvedShare = 0.9

// NewProgress returns the Progress of a recovery that starts now.
func NewProgress(now clock.Micros) *Progress {
	return &Progress{startedAt: now, machines: map[string]MachineState{}}
}

// Await adds a machine with recorded attempts whose lease ends at leaseEnd at the latest.
func (p *Progress) Await(machine string, leaseEnd clock.Micros) {
	p.deadline = max(p.deadline, leaseEnd)
	if _, known := p.machines[machine]; known {
		return
	}
	p.machines[machine] = MachineAwaited
	p.counts[MachineAwaited]++
}

// Loaded notes that all records have been read.
func (p *Progress) Loaded(now clock.Micros) {
	p.loadedAt = now
	p.advanceStage(now)
}

// Resolve changes the state of an awaited machine. It has no effect on other machines.
func (p *Progress) Resolve(machine string, state MachineState, now clock.Micros) {
	if !p.Awaited(machine) || state == MachineAwaited {
		return
	}
	p.machines[machine] = state
	p.counts[MachineAwaited]--
	p.counts[state]++
	p.advanceStage(now)
}

// advanceStage notes the current time for each milestone that has just been reached.
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

// Awaited reports whether a machine is awaited.
func (p *Progress) Awaited(machine string) bool {
	state, known := p.machines[machine]
	return known && state == MachineAwaited
}

// Count returns the number of recorded machines in a state.
func (p *Progress) Count(state MachineState) int { return p.counts[state] }

// Machines returns the number of machines with recorded attempts.
func (p *Progress) Machines() int { return len(p.machines) }

// Stage returns the stage of the recovery.
func (p *Progress) Stage() Stage {
	switch {
	case p.loadedAt == 0:
		return StageReading
	case p.completedAt == 0:
		return StageReconciling
	}
	return StageComplete
}

// StartedAt returns the time when the recovery started.
func (p *Progress) StartedAt() clock.Micros { return p.startedAt }

// MostlyResolvedAt returns the time when nine tenths of the machines were reconciled or gone, or zero
// before that.
func (p *Progress) MostlyResolvedAt() clock.Micros { return p.mostlyResolvedAt }

// CompletedAt returns the time when all machines were reconciled or gone, or zero before that.
func (p *Progress) CompletedAt() clock.Micros { return p.completedAt }

// Reconnecting reports whether the awaited machines are more likely late than lost: their workers
// have not had enough time to report, and either most machines are awaited or no other controller
// answers, so that workers may be trying the other controllers first.
func (p *Progress) Reconnecting(now, maxReportDelay clock.Micros, isolated bool) bool {
	awaited := p.counts[MachineAwaited]
	return now-p.startedAt < maxReportDelay && (2*awaited > len(p.machines) || isolated && awaited > 0)
}

const (
	// controllerTimeout is how long a worker waits for a controller's response.
	controllerTimeout = 4 * clock.Second
	// nextControllerDelay is how long a worker waits before trying the next controller.
	nextControllerDelay = clock.Second
)

// MaxReportDelay returns how long a worker may take to report when only one of the controllers
// answers: it tries one controller after another.
func MaxReportDelay(controllers int, reportInterval clock.Micros) clock.Micros {
	return clock.Micros(max(0, controllers-1))*(controllerTimeout+nextControllerDelay) + reportInterval + reportInterval/4
}
