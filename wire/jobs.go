package wire

import "regexp"

// Priority is a job's priority; higher values go first.
type Priority int

// The priorities, lowest first.
const (
	PriorityLow Priority = iota
	PriorityStandard
	PriorityHigh
	PriorityCritical
)

// ParsePriority parses the protocol's name of a priority.
func ParsePriority(name string) (Priority, bool) {
	switch name {
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

var uidPattern = regexp.MustCompile(`^j-[0-9]{1,40}$`)

// ValidUID reports whether a job id has the form that the protocol prescribes.
func ValidUID(uid string) bool { return uidPattern.MatchString(uid) }

// Spec is the specification of a submitted job.
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

// JobStatus is the status of a job as users see it.
type JobStatus struct {
	UID     string `msgpack:"uid"`
	Status  string `msgpack:"status"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
}

// Error is the body of the response to a refused request.
type Error struct {
	Error string `msgpack:"error"`
}
