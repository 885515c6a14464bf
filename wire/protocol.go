// Package wire holds the message types of the platform's protocol and their encoding. The protocol's
// own names of fields and values appear here and nowhere else; outside of this package the Go names
// are used.
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
	KindGang    = "group" // its tasks run only all together
)

// The statuses of jobs.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "cancelled"
)

// Verb is what a command tells a worker to do.
type Verb string

// The verbs of commands to workers.
const (
	VerbRun    Verb = "run"
	VerbStop   Verb = "halt"
	VerbForget Verb = "forget" // an ended task
)

// TaskStatus is the status of a task in a worker's report.
type TaskStatus string

// The statuses of tasks in workers' reports.
const (
	TaskFetching  TaskStatus = "fetching"  // its image
	TaskGathering TaskStatus = "gathering" // of a gang, waiting for the others
	TaskRunning   TaskStatus = "running"
	TaskFlushing  TaskStatus = "flushing" // a checkpoint, before it ends
	TaskEnded     TaskStatus = "ended"
)

// Cause is why a task ended.
type Cause string

// The causes why tasks ended.
const (
	CauseDone    Cause = "done"
	CauseStopped Cause = "stopped"
	CauseError   Cause = "error"
	CauseFull    Cause = "full"
	CauseInUse   Cause = "in_use"
	CausePeers   Cause = "peers" // of a gang that lost a task
	CauseAlone   Cause = "alone" // of a gang whose tasks did not all start
	CauseNoSuch  Cause = "no_such"
)

// The statuses of machines in the cloud.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)
