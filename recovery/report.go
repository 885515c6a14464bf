package recovery

import "cedardoor/clock"

// MachineCounts counts the machines with recorded attempts of predecessors, by state.
type MachineCounts struct {
	Recorded   int `json:"recorded"` // sum of the other counts
	Awaited    int `json:"awaited"`
	Reconciled int `json:"reconciled"`
	Gone       int `json:"gone"`
}

// AttemptCounts counts the attempts that the leader has adopted or started itself, by state.
type AttemptCounts struct {
	Awaited    int `json:"awaited"`    // recorded by a predecessor, on an awaited machine
	InDoubt    int `json:"in_doubt"`   // not reported as running; the command to start it may be in flight
	Running    int `json:"running"`    // reported as running
	Stopping   int `json:"stopping"`   // the command to stop it has been issued
	Unreadable int `json:"unreadable"` // tasks with an unreadable record that no machine has reported
}

// UnrecordedTask is an orphan: a task that a worker reports but that no usable record names.
type UnrecordedTask struct {
	Task     string `json:"task"`
	Attempt  uint64 `json:"attempt"`
	Machine  string `json:"machine"`
	Zone     string `json:"zone"`
	Decision string `json:"why"`
}

// Report describes a leader's recovery to operators.
type Report struct {
	Node          string           `json:"node"`   // the controller that answered
	Leader        string           `json:"leader"` // the controller whose recovery it shows
	Fresh         bool             `json:"fresh"`  // the leader was asked for this response
	AgeS          float64          `json:"age_s"`  // seconds since the report was read from the leader
	Stage         Stage            `json:"stage"`
	ElapsedS      float64          `json:"runs_s"`      // seconds since the recovery started
	DurationS     float64          `json:"took_s"`      // seconds that the recovery took; 0 until it is complete
	MaxRemainingS float64          `json:"at_latest_s"` // seconds until the recovery is complete at the latest; 0 once it is
	Machines      MachineCounts    `json:"machines"`
	Attempts      AttemptCounts    `json:"attempts"`
	Unrecorded    []UnrecordedTask `json:"unrecorded"`
	Damaged       []Damage         `json:"damaged"`
	Truncated     bool             `json:"truncated"` // there are more unrecorded tasks or damaged records than are listed
}

const (
	// MaxListed bounds each list of a report, so that the report fits into a message between
	// controllers.
	MaxListed = 100
	// maxDetailBytes bounds the detail of each damaged record in a report.
	maxDetailBytes = 120
)

// FillReport sets the fields of the report that describe the progress.
func (p *Progress) FillReport(r *Report, now clock.Micros) {
	r.Stage = p.Stage()
	r.ElapsedS = (now - p.startedAt).Seconds()
	r.Machines = MachineCounts{Recorded: len(p.machines), Awaited: p.counts[MachineAwaited],
		Reconciled: p.counts[MachineReconciled], Gone: p.counts[MachineGone]}
	if p.completedAt > 0 {
		r.DurationS = (p.completedAt - p.startedAt).Seconds()
	} else if p.deadline > 0 {
		r.MaxRemainingS = max(0, (p.deadline - now).Seconds())
	}
}

// SetLists sets the lists of unrecorded tasks and damaged records, truncated to MaxListed.
func (r *Report) SetLists(unrecorded []UnrecordedTask, damaged []Damage) {
	r.Truncated = len(unrecorded) > MaxListed || len(damaged) > MaxListed
	r.Unrecorded = append([]UnrecordedTask{}, unrecorded[:min(len(unrecorded), MaxListed)]...)
	r.Damaged = append([]Damage{}, damaged[:min(len(damaged), MaxListed)]...)
	for i := range r.Damaged {
		if detail := r.Damaged[i].Detail; len(detail) > maxDetailBytes {
			r.Damaged[i].Detail = detail[:maxDetailBytes]
		}
	}
}
