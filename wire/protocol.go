// Package wire defines the message types of the platform's protocol and their encoding. The protocol's
// own names of fields and values appear only here; other packages use the Go names.
package wire

// Paths of the platform's interfaces.
const (
	PathJobs      = "/v2/runs"
	PathHealth    = "/healthz"
	PathHeartbeat = "/agent/beat"
	PathCommand   = "/do"
	PathReport    = "/show"
	PathCatalog   = "/catalog"
	PathRentals   = "/rentals"
	PathReturn    = "/rentals/return"
	PathKV        = "/kv"
	PathCommit    = "/commit"
	PathLeases    = "/holds"
	PathChanges   = "/changes"
	SuffixCancel  = "abort"
	SuffixRenew   = "renew"
)

// ContentType is the media type of all bodies.
const ContentType = "application/msgpack"

// Limits of the platform's interfaces.
const (
	MaxBody             = 64 << 10 // bytes
	MaxTasks            = 100_000  // of a job
	MaxRentPerRequest   = 50       // machines
	MaxReturnPerRequest = 100      // machines
)

// The kinds of jobs.
const (
	KindBatch   = "batch"
	KindService = "standing"
	KindGang    = "group" // its tasks run all at once or not at all
)

// The statuses of jobs.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "cancelled"
)

// Verb is the action that a command requests of a worker.
type Verb string

// The verbs of commands to workers.
const (
	VerbRun    Verb = "run"
	VerbStop   Verb = "halt"
	VerbForget Verb = "forget" // stop reporting an ended task
)

// TaskStatus is the status of a task in a worker's report.
type TaskStatus string

// The statuses of tasks in workers' reports.
const (
	TaskFetching  TaskStatus = "fetching"  // downloading the image
	TaskGathering TaskStatus = "gathering" // waiting for the other tasks of the gang
	TaskRunning   TaskStatus = "running"
	TaskFlushing  TaskStatus = "flushing" // writing a checkpoint before it ends
	TaskEnded     TaskStatus = "ended"
)

// Cause is the reason why a task ended.
type Cause string

// The causes why tasks ended.
const (
	CauseDone    Cause = "done"
	CauseStopped Cause = "stopped"
	CauseError   Cause = "error"
	CauseFull    Cause = "full"
	CauseInUse   Cause = "in_use"
	CausePeers   Cause = "peers" // another task of the gang was lost
	CauseAlone   Cause = "alone" // not all tasks of the gang started
	CauseNoSuch  Cause = "no_such"
)

// The statuses of machines in the cloud.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)
