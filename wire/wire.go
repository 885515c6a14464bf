// Package wire holds the platform's message types. The protocol's field names
// and words appear here and nowhere else.
package wire

import "regexp"

// Paths of the platform's interfaces.
const (
	PathJobs            = "/v2/runs"
	PathHealth          = "/healthz"
	PathHeartbeat       = "/agent/beat"
	PathCommand         = "/do"
	PathReport          = "/show"
	PathCatalog         = "/catalog"
	PathRentals         = "/rentals"
	PathReturn          = "/rentals/return"
	PathKV              = "/kv"
	PathCommit          = "/commit"
	PathLeases          = "/holds"
	PathChanges         = "/changes"
	SuffixCancel        = "abort"
	SuffixRenew         = "renew"
	ContentType         = "application/msgpack"
	MaxBody             = 64 << 10
	MaxTasks            = 100_000
	MaxRentPerRequest   = 50
	MaxReturnPerRequest = 100
)

// Words of the protocol.
const (
	KindBatch   = "batch"
	KindService = "standing"
	KindGang    = "group" // an array whose tasks run only all together

	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "cancelled"

	VerbRun    = "run"
	VerbStop   = "halt"
	VerbForget = "forget"

	TaskFetching  = "fetching"
	TaskGathering = "gathering" // of a group, waiting for the others
	TaskRunning   = "running"
	TaskFlushing  = "flushing"
	TaskEnded     = "ended"

	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseFull    = "full"
	CauseInUse   = "in_use"
	CausePeers   = "peers" // of a group that lost a task
	CauseAlone   = "alone" // of a group that did not come together
	CauseNoSuch  = "no_such"

	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// Priority is a job's priority; larger goes first.
type Priority int

// The ranks, lowest first.
const (
	PriorityLow Priority = iota
	PriorityStandard
	PriorityHigh
	PriorityCritical
)

// ParsePriority maps the protocol's word to a Rank.
func ParsePriority(word string) (Priority, bool) {
	switch word {
	case "low":
		return PriorityLow, true
	case "standard":
		return PriorityStandard, true
	case "high":
		return PriorityHigh, true
	case "critical":
		return PriorityCritical, true
	}
	return 0, false
}

var uidForm = regexp.MustCompile(`^j-[0-9]{1,40}$`)

// ValidUID tells whether a job id has the form that users always use.
func ValidUID(uid string) bool { return uidForm.MatchString(uid) }

// Spec is a submitted job.
type Spec struct {
	UID                 string   `msgpack:"uid"`
	Class               string   `msgpack:"lane"`
	Team                string   `msgpack:"owner"`
	Kind                string   `msgpack:"shape"`
	Priority            string   `msgpack:"rank"`
	Tasks               int      `msgpack:"pieces"`
	Cores               float64  `msgpack:"cores"`
	Accelerators        float64  `msgpack:"accelerators"`
	RAM                 float64  `msgpack:"ram_gb"`
	Image               string   `msgpack:"bundle"`
	ImageGB             float64  `msgpack:"image_gb"`
	MachineTypes        []string `msgpack:"builds"`
	Zone                string   `msgpack:"yard"`
	SameZone            bool     `msgpack:"same_place"`
	Spread              bool     `msgpack:"apart"`
	Preemptible         bool     `msgpack:"loaned"`
	ExpectedS           float64  `msgpack:"expect_s"`
	CheckpointIntervalS float64  `msgpack:"bookmark_s"`
	CheckpointGraceS    float64  `msgpack:"stow_s"`
	DeadlineS           *float64 `msgpack:"due_s"`
}

// JobStatus is what a user sees of a job.
type JobStatus struct {
	UID     string `msgpack:"uid"`
	Status  string `msgpack:"status"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
}

// Error is the body of a refusal.
type Error struct {
	Error string `msgpack:"error"`
}

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task         string `msgpack:"piece"`
	Attempt      uint64 `msgpack:"try"`
	Status       string `msgpack:"status"`
	Cause        string `msgpack:"cause,omitempty"`
	Checkpointed bool   `msgpack:"kept,omitempty"`
}

// Heartbeat is a worker's report.
type Heartbeat struct {
	Machine     string       `msgpack:"host"`
	Endpoint    string       `msgpack:"endpoint"`
	MachineType string       `msgpack:"build"`
	Zone        string       `msgpack:"yard"`
	Preemptible bool         `msgpack:"loaned"`
	Incarnation uint64       `msgpack:"tenure"`
	Sequence    uint64       `msgpack:"tally"`
	Token       uint64       `msgpack:"warrant"`
	WarningS    *float64     `msgpack:"warning_s"`
	Tasks       []TaskReport `msgpack:"pieces"`

	// RawTasks is the task list as it came, not decoded yet; see DecodePieces. Lists
	// seldom change from one report to the next.
	RawTasks []byte `msgpack:"-"`
}

// ReportVersion is how far a worker's reports have come: the larger (Tenure, Tally) is the newer one.
type ReportVersion struct{ Incarnation, Sequence uint64 }

// Command is one command to a worker.
type Command struct {
	Verb    string   `msgpack:"verb"`
	Task    string   `msgpack:"piece"`
	Attempt uint64   `msgpack:"try"`
	GraceS  *float64 `msgpack:"leeway_s,omitempty"`
}

// HeartbeatResponse is the 200 to a report.
type HeartbeatResponse struct {
	Token    uint64    `msgpack:"warrant"`
	Commands []Command `msgpack:"orders"`
}

// Redirect is the body of a 421.
type Redirect struct {
	Leader string `msgpack:"steward,omitempty"`
}

// CommandRequest is a direct command request.
type CommandRequest struct {
	Token       uint64    `msgpack:"warrant"`
	Incarnation uint64    `msgpack:"tenure"`
	Commands    []Command `msgpack:"orders"`
}

// MachineType is one machine type of the catalogue.
type MachineType struct {
	SKU          string   `msgpack:"sku"`
	Cores        float64  `msgpack:"cores"`
	Accelerators float64  `msgpack:"accelerators"`
	RAM          float64  `msgpack:"ram_gb"`
	CacheGB      float64  `msgpack:"cache_gb"`
	FetchGBs     float64  `msgpack:"fetch_gb_per_s"`
	HourlyPrice  float64  `msgpack:"hourly"`
	SpotPrice    float64  `msgpack:"spot_price"`
	BootS        float64  `msgpack:"ready_s"`
	Zones        []string `msgpack:"yards"`
}

// Catalog lists the machine types.
type Catalog struct {
	MachineTypes []MachineType `msgpack:"builds"`
}

// RentRequest asks the cloud for machines.
type RentRequest struct {
	RequestID   string `msgpack:"hire"`
	MachineType string `msgpack:"build"`
	Zone        string `msgpack:"yard"`
	Preemptible bool   `msgpack:"loaned"`
	Count       int    `msgpack:"count"`
}

// MachineNames names machines: the answer to a rental, the body of a return.
type MachineNames struct {
	Names []string `msgpack:"hosts"`
}

// Machine is one machine in the cloud's list.
type Machine struct {
	UID         string  `msgpack:"uid"`
	Endpoint    string  `msgpack:"endpoint"`
	Type        string  `msgpack:"build"`
	Zone        string  `msgpack:"yard"`
	Preemptible bool    `msgpack:"loaned"`
	Status      string  `msgpack:"status"`
	HeldS       float64 `msgpack:"held_s"`
}

// MachinePage is one page of the cloud's list.
type MachinePage struct {
	Machines []Machine `msgpack:"hosts"`
	HasNext  bool      `msgpack:"has_next"`
}
