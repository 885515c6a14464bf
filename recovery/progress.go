package recovery

import (
	"cedardoor/clock"
)

// Stage is how far a leader's recovery is.
type Stage string

// The stages, in their order.
const (
	// StageReading: the records are being read; nothing is answered or started.
	StageReading Stage = "reading"
	// StageReconciling: machines that are reconciled get work; others are waited for.
	StageReconciling Stage = "reconciling"
	// StageComplete: nothing recorded is waited for any more.
	StageComplete Stage = "complete"
)

// MachineState is what is known of a machine that has attempts of predecessors on record.
type MachineState uint8

// The states of a recorded machine. Each is left at most once, and never for an earlier one.
const (
	// MachineAwaited: it has not shown this leader's token yet.
	MachineAwaited MachineState = iota
	// MachineReconciled: it has, so its reports are set against the records.
	MachineReconciled
	// MachineGone: its lease ran out unheard, or the cloud deleted it.
	MachineGone
)

// Progress follows a leader's recovery machine by machine.
type Progress struct {
	began    clock.Micros
	loaded   clock.Micros // zero until the records are read
	ended    clock.Micros // zero until nothing is awaited
	most     clock.Micros // nothing recorded can be awaited for longer
	mostly   clock.Micros // when nine tenths of the machines were settled; zero before
	machines map[string]MachineState
	counts   [3]int
}

// mostMachines is the part of the machines whose settling is worth a line in the log.
const mostMachines = 0.9

// NewProgress begins a recovery.
func NewProgress(now clock.Micros) *Progress {
	return &Progress{began: now, machines: map[string]MachineState{}}
}

// Await notes a machine with attempts on record, until when its lease may last.
func (p *Progress) Await(machine string, leaseEnd clock.Micros) {
	p.most = max(p.most, leaseEnd)
	if _, known := p.machines[machine]; known {
		return
	}
	p.machines[machine] = MachineAwaited
	p.counts[MachineAwaited]++
}

// Loaded notes that all records are taken in.
func (p *Progress) Loaded(now clock.Micros) {
	p.loaded = now
	p.look(now)
}

// Settle notes what has become of a machine. What was settled before, or is not on
// record, changes nothing.
func (p *Progress) Settle(machine string, state MachineState, now clock.Micros) {
	if before, known := p.machines[machine]; !known || before != MachineAwaited || state == MachineAwaited {
		return
	}
	p.machines[machine] = state
	p.counts[MachineAwaited]--
	p.counts[state]++
	p.look(now)
}

// look notes when a stage is reached.
func (p *Progress) look(now clock.Micros) {
	if p.loaded == 0 {
		return
	}
	if p.mostly == 0 && float64(p.counts[MachineAwaited]) <= (1-mostMachines)*float64(len(p.machines)) {
		p.mostly = now
	}
	if p.ended == 0 && p.counts[MachineAwaited] == 0 {
		p.ended = now
	}
}

// Awaited tells whether a machine is still awaited.
func (p *Progress) Awaited(machine string) bool {
	state, known := p.machines[machine]
	return known && state == MachineAwaited
}

// Count is how many recorded machines are in a state.
func (p *Progress) Count(state MachineState) int { return p.counts[state] }

// Machines is how many machines had attempts on record.
func (p *Progress) Machines() int { return len(p.machines) }

// Stage tells how far the recovery is.
func (p *Progress) Stage() Stage {
	switch {
	case p.loaded == 0:
		return StageReading
	case p.ended == 0:
		return StageReconciling
	}
	return StageComplete
}

// MostlySettled gives when nine tenths of the machines were settled, zero before.
func (p *Progress) MostlySettled() clock.Micros { return p.mostly }

// Ended gives when the last machine was settled, zero before.
func (p *Progress) Ended() clock.Micros { return p.ended }

// Began gives when the recovery began.
func (p *Progress) Began() clock.Micros { return p.began }

// LatestEnd gives by when nothing recorded is awaited any more.
func (p *Progress) LatestEnd() clock.Micros { return p.most }

// Reconnecting tells whether machines that are missing are not lost, but have yet to come: there
// was not time for all of them to report, and fewer than half are settled, or their workers may
// have other controllers to try first, because none of those answers.
func (p *Progress) Reconnecting(now, reportWithin clock.Micros, alone bool) bool {
	awaited := p.counts[MachineAwaited]
	return now-p.began < reportWithin && (2*awaited > len(p.machines) || alone && awaited > 0)
}

// How long a worker tries one controller that does not answer, and waits before the next.
const (
	answerWait = 4 * clock.Second
	nextAfter  = clock.Second
)

// ReportWithin is how long a worker may take to find the one controller that answers among
// so many: it tries each in turn.
func ReportWithin(controllers int, report clock.Micros) clock.Micros {
	return clock.Micros(max(0, controllers-1))*(answerWait+nextAfter) + report + report/4
}
