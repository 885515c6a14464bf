package recovery

import "cedardoor/clock"

// MachineCounts are the machines that had attempts of predecessors on record.
type MachineCounts struct {
	Recorded   int `json:"recorded"` // the sum of the following
	Awaited    int `json:"awaited"`
	Reconciled int `json:"reconciled"`
	Gone       int `json:"gone"`
}

// AttemptCounts are the attempts that the leader has on its books, its own included.
type AttemptCounts struct {
	Awaited    int `json:"awaited"`    // recorded by a predecessor, on a machine that is not heard yet
	InDoubt    int `json:"in_doubt"`   // not shown, and a command to start it may be under way
	Running    int `json:"running"`    // shown
	Stopping   int `json:"stopping"`   // told to stop
	Unreadable int `json:"unreadable"` // tasks whose record can't be decoded and that no machine has shown
}

// Unrecorded is a task that a worker shows and the records do not.
type Unrecorded struct {
	Task    string `json:"task"`
	Attempt uint64 `json:"attempt"`
	Machine string `json:"machine"`
	Zone    string `json:"zone"`
	Why     string `json:"why"`
}

// Report is what operators are told of a leader's recovery.
type Report struct {
	Node       string        `json:"node"`   // the controller that answers
	Leader     string        `json:"leader"` // the controller whose recovery it shows
	Fresh      bool          `json:"fresh"`  // it was read from the leader for this answer
	AgeS       float64       `json:"age_s"`  // seconds since it was read from it
	Stage      Stage         `json:"stage"`
	RunsS      float64       `json:"runs_s"`      // seconds since this leader began
	TookS      float64       `json:"took_s"`      // until it was complete; 0 before
	AtLatestS  float64       `json:"at_latest_s"` // seconds until nothing recorded is awaited any more, at the latest; 0 when complete
	Machines   MachineCounts `json:"machines"`
	Attempts   AttemptCounts `json:"attempts"`
	Unrecorded []Unrecorded  `json:"unrecorded"`
	Damaged    []Damage      `json:"damaged"`
	Truncated  bool          `json:"truncated"` // there are more unrecorded tasks or damaged records than listed
}

// MostListed bounds each list of a report, so that it fits a message between controllers.
const MostListed = 100

// Fill takes a recovery's progress into the report.
func (p *Progress) Fill(r *Report, now clock.Micros) {
	r.Stage = p.Stage()
	r.RunsS = (now - p.began).Seconds()
	r.Machines = MachineCounts{Recorded: len(p.machines), Awaited: p.counts[MachineAwaited],
		Reconciled: p.counts[MachineReconciled], Gone: p.counts[MachineGone]}
	if p.ended > 0 {
		r.TookS = (p.ended - p.began).Seconds()
	} else if p.most > 0 {
		r.AtLatestS = max(0, (p.most - now).Seconds())
	}
}

// List takes damaged records and unrecorded tasks into the report, as many as it holds.
func (r *Report) List(unrecorded []Unrecorded, damaged []Damage) {
	r.Truncated = len(unrecorded) > MostListed || len(damaged) > MostListed
	r.Unrecorded = append([]Unrecorded{}, unrecorded[:min(len(unrecorded), MostListed)]...)
	r.Damaged = append([]Damage{}, damaged[:min(len(damaged), MostListed)]...)
	for i := range r.Damaged {
		if detail := r.Damaged[i].Detail; len(detail) > maxDetail {
			r.Damaged[i].Detail = detail[:maxDetail]
		}
	}
}

// maxDetail bounds what is told of one damaged record.
const maxDetail = 120
