package quota

// Reason is why tasks wait.
type Reason string

// The reasons, in the order in which they are looked for.
const (
	// ReasonCancelling: its user has asked to cancel it, which is being confirmed.
	ReasonCancelling Reason = "cancelling"
	// ReasonLimit: its team is at its limit.
	ReasonLimit Reason = "limit"
	// ReasonRetry: an attempt failed, and the next waits for a while.
	ReasonRetry Reason = "retry"
	// ReasonNew: it came a moment ago.
	ReasonNew Reason = "new"
	// ReasonRoom: no machine that it may use has room.
	ReasonRoom Reason = "room"
)

// ResourceReport is what a team may use and uses of one resource.
type ResourceReport struct {
	Limit     float64 `json:"limit"`     // 0: none
	Guarantee float64 `json:"guarantee"` // 0: none
	InUse     float64 `json:"in_use"`    // the sum of the following
	Booked    float64 `json:"booked"`
	InDoubt   float64 `json:"in_doubt"`
	Running   float64 `json:"running"`
	Stopping  float64 `json:"stopping"`
}

// TasksReport counts a team's attempts by state.
type TasksReport struct {
	Booked   int `json:"booked"`
	InDoubt  int `json:"in_doubt"`
	Running  int `json:"running"`
	Stopping int `json:"stopping"`
}

// WaitingReport is a team's work that waits.
type WaitingReport struct {
	Jobs            int            `json:"jobs"`
	Tasks           int            `json:"tasks"`
	WithinGuarantee int            `json:"within_guarantee"` // tasks of jobs within the team's guarantee
	Reasons         map[Reason]int `json:"reasons"`          // tasks by why they wait
}

// Add notes tasks of one job that wait for one reason.
func (w *WaitingReport) Add(reason Reason, tasks int) {
	if tasks <= 0 {
		return
	}
	if w.Reasons == nil {
		w.Reasons = map[Reason]int{}
	}
	w.Tasks += tasks
	w.Reasons[reason] += tasks
}

// TeamReport is what operators are told of a team.
type TeamReport struct {
	Team         string         `json:"team"`
	Tasks        TasksReport    `json:"tasks"`
	Cores        ResourceReport `json:"cores"`
	Accelerators ResourceReport `json:"accelerators"`
	Waiting      WaitingReport  `json:"waiting"`
}

// Report is what operators are told of all teams.
type Report struct {
	Node   string       `json:"node"`   // the controller that answers
	Leader string       `json:"leader"` // the controller whose ledger it shows
	Fresh  bool         `json:"fresh"`  // it was read from the leader's ledger for this answer
	AgeS   float64      `json:"age_s"`  // seconds since it was read from it
	Teams  []TeamReport `json:"teams"`
}

// Report gives a team's use as operators see it, without its waiting work.
func (u Usage) Report() TeamReport {
	return TeamReport{
		Team: u.Team,
		Tasks: TasksReport{Booked: u.Of(Allocated).Tasks, InDoubt: u.Of(InDoubt).Tasks,
			Running: u.Of(Running).Tasks, Stopping: u.Of(Stopping).Tasks},
		Cores:        u.resource(func(a Amount) Units { return a.Cores }),
		Accelerators: u.resource(func(a Amount) Units { return a.Accelerators }),
	}
}

func (u Usage) resource(of func(a Amount) Units) ResourceReport {
	return ResourceReport{
		Limit:     of(u.Limits.Limit).Decimal(),
		Guarantee: of(u.Limits.Guarantee).Decimal(),
		InUse:     of(u.Total).Decimal(),
		Booked:    of(u.Of(Allocated).Amount).Decimal(),
		InDoubt:   of(u.Of(InDoubt).Amount).Decimal(),
		Running:   of(u.Of(Running).Amount).Decimal(),
		Stopping:  of(u.Of(Stopping).Amount).Decimal(),
	}
}
