package quota

// Reason is the reason why a task waits.
type Reason string

// The reasons, in the order in which they are checked.
const (
	// ReasonCancelling: the cancellation of its job is pending.
	ReasonCancelling Reason = "cancelling"
	// ReasonLimit: its team is at its limit.
	ReasonLimit Reason = "limit"
	// ReasonRetry: an attempt failed, and the retry is delayed.
	ReasonRetry Reason = "retry"
	// ReasonNew: its job was accepted a moment ago.
	ReasonNew Reason = "new"
	// ReasonCapacity: no machine that it may use has enough free resources.
	ReasonCapacity Reason = "room"
)

// ResourceReport is a team's quota and usage of one resource.
type ResourceReport struct {
	Limit     float64 `json:"limit"`     // 0: none
	Guarantee float64 `json:"guarantee"` // 0: none
	InUse     float64 `json:"in_use"`    // sum of the following fields
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

// WaitingReport counts a team's waiting work.
type WaitingReport struct {
	Jobs            int            `json:"jobs"`
	Tasks           int            `json:"tasks"`
	WithinGuarantee int            `json:"within_guarantee"` // tasks of jobs within the team's guarantee
	Reasons         map[Reason]int `json:"reasons"`          // tasks by reason
}

// Add counts further tasks that wait for the given reason.
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

// TeamReport is one team's quota, usage and waiting work. Controllers send it to each other in gob,
// which identifies fields by their Go names: do not rename them, here or in the types of its fields.
type TeamReport struct {
	Team         string         `json:"team"`
	Tasks        TasksReport    `json:"tasks"`
	Cores        ResourceReport `json:"cores"`
	Accelerators ResourceReport `json:"accelerators"`
	Waiting      WaitingReport  `json:"waiting"`
}

// Report is the quota, usage and waiting work of all teams, for operators.
type Report struct {
	Node   string       `json:"node"`   // the controller that answered
	Leader string       `json:"leader"` // the controller whose ledger is reported
	Fresh  bool         `json:"fresh"`  // whether the leader's ledger was read for this answer
	AgeS   float64      `json:"age_s"`  // seconds since the ledger was read
	Teams  []TeamReport `json:"teams"`
}

// Report returns the team's report without its waiting work.
func (u Usage) Report() TeamReport {
	return TeamReport{
		Team: u.Team,
		Tasks: TasksReport{Booked: u.InState(Allocated).Tasks, InDoubt: u.InState(InDoubt).Tasks,
			Running: u.InState(Running).Tasks, Stopping: u.InState(Stopping).Tasks},
		Cores:        u.resourceReport(func(a Amount) Units { return a.Cores }),
		Accelerators: u.resourceReport(func(a Amount) Units { return a.Accelerators }),
	}
}

// resourceReport returns the report of the resource that get selects from an amount.
func (u Usage) resourceReport(get func(a Amount) Units) ResourceReport {
	return ResourceReport{
		Limit:     get(u.Limits.Limit).Decimal(),
		Guarantee: get(u.Limits.Guarantee).Decimal(),
		InUse:     get(u.Total).Decimal(),
		Booked:    get(u.InState(Allocated).Amount).Decimal(),
		InDoubt:   get(u.InState(InDoubt).Amount).Decimal(),
		Running:   get(u.InState(Running).Amount).Decimal(),
		Stopping:  get(u.InState(Stopping).Amount).Decimal(),
	}
}
