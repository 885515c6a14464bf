package recovery

import "cedardoor/clock"

// MachineCounts counts the machines with recorded attempts of predecessors.
type MachineCounts struct {
	Recorded   int `json:"recorded"` // sum of the following
	Awaited    int `json:"awaited"`
	Reconciled int `json:"reconciled"`
	Gone       int `json:"gone"`
}

// AttemptCounts counts the attempts that the leader has recorded or adopted, its own included.
type AttemptCounts struct {
	Awaited    int `json:"awaited"`    // recorded by a predecessor, on a machine that has not reported yet
	InDoubt    int `json:"in_doubt"`   // not reported, and a command to start it may be in flight
	Running    int `json:"running"`    // reported
	Stopping   int `json:"stopping"`   // the command to stop it was issued
	Unreadable int `json:"unreadable"` // tasks whose record can't be decoded and that no machine has reported
}

// Unrecorded is an orphan: a task that a worker reports and that is not recorded.
type Unrecorded struct {
	Task    string `json:"task"`
	Attempt uint64 `json:"attempt"`
	Machine string `json:"machine"`
	Zone    string `json:"zone"`
	Why     string `json:"why"`
}

// Report is the state of a leader's recovery, for operators.
type Report struct {
	Node       string        `json:"node"`   // the controller that answered
	Leader     string        `json:"leader"` // the controller whose recovery it shows
	Fresh      bool          `json:"fresh"`  // it was read from the leader for this answer
	AgeS       float64       `json:"age_s"`  // seconds since it was read from it
	Stage      Stage         `json:"stage"`
	RunsS      float64       `json:"runs_s"`      // seconds since the recovery started
	TookS      float64       `json:"took_s"`      // seconds until it was complete; 0 before
	AtLatestS  float64       `json:"at_latest_s"` // seconds until it is complete at the latest; 0 when it is
	Machines   MachineCounts `json:"machines"`
	Attempts   AttemptCounts `json:"attempts"`
	Unrecorded []Unrecorded  `json:"unrecorded"`
	Damaged    []Damage      `json:"damaged"`
	Truncated  bool          `json:"truncated"` // there are more unrecorded tasks or damaged records than listed
}

const (
	// MaxListed bounds each list of a report, so that it fits into a message between controllers.
	MaxListed = 100
	// maxDetailBytes bounds the detail of each damaged record in a report.
	maxDetailBytes = 120
)

// FillReport sets the report's fields that show the recovery's progress.
func (p *Progress) FillReport(r *Report, now clock.Micros) {
	r.Stage = p.Stage()
	r.RunsS = (now - p.startedAt).Seconds()
	r.Machines = MachineCounts{Recorded: len(p.machines), Awaited: p.counts[MachineAwaited],
		Reconciled: p.counts[MachineReconciled], Gone: p.counts[MachineGone]}
	if p.completedAt > 0 {
		r.TookS = (p.completedAt - p.startedAt).Seconds()
	} else if p.deadline > 0 {
		r.AtLatestS = max(0, (p.deadline - now).Seconds())
	}
}

// SetLists sets the lists of unrecorded tasks and damaged records, truncated to MaxListed.
func (r *Report) SetLists(unrecorded []Unrecorded, damaged []Damage) {
	r.Truncated = len(unrecorded) > MaxListed || len(damaged) > MaxListed
	r.Unrecorded = append([]Unrecorded{}, unrecorded[:min(len(unrecorded), MaxListed)]...)
	r.Damaged = append([]Damage{}, damaged[:min(len(damaged), MaxListed)]...)
	for i := range r.Damaged {
		if detail := r.Damaged[i].Detail; len(detail) > maxDetailBytes {
			r.Damaged[i].Detail = detail[:maxDetailBytes]
		}
	}
}
