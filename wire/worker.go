package wire

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task         string     `msgpack:"piece"`
	Attempt      uint64     `msgpack:"try"`
	Status       TaskStatus `msgpack:"status"`
	Cause        Cause      `msgpack:"cause,omitempty"`
	Checkpointed bool       `msgpack:"kept,omitempty"`
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

	// RawTasks is the encoded list of tasks, from which DecodeTasks sets Tasks. The list seldom
	// changes from one report to the next, so most need not be decoded.
	RawTasks []byte `msgpack:"-"`
}

// ReportVersion orders a worker's reports: first by incarnation, then by sequence number.
type ReportVersion struct{ Incarnation, Sequence uint64 }

// Command is one command to a worker.
type Command struct {
	Verb    Verb     `msgpack:"verb"`
	Task    string   `msgpack:"piece"`
	Attempt uint64   `msgpack:"try"`
	GraceS  *float64 `msgpack:"leeway_s,omitempty"`
}

// HeartbeatResponse is the leader's response to a heartbeat.
type HeartbeatResponse struct {
	Token    uint64    `msgpack:"warrant"`
	Commands []Command `msgpack:"orders"`
}

// Redirect is the response of a controller that is not the leader to a heartbeat. Leader is empty if
// the leader is unknown.
type Redirect struct {
	Leader string `msgpack:"steward,omitempty"`
}

// CommandRequest sends direct commands to a worker.
type CommandRequest struct {
	Token       uint64    `msgpack:"warrant"`
	Incarnation uint64    `msgpack:"tenure"`
	Commands    []Command `msgpack:"orders"`
}
