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

// The verbs of commands to workers.
const (
	VerbRun    = "run"
	VerbStop   = "halt"
	VerbForget = "forget" // an ended task
)

// The statuses of tasks in workers' reports.
const (
	TaskFetching  = "fetching"  // its image
	TaskGathering = "gathering" // of a gang, waiting for the others
	TaskRunning   = "running"
	TaskFlushing  = "flushing" // a checkpoint, before it ends
	TaskEnded     = "ended"
)

// The causes why tasks ended.
const (
	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseFull    = "full"
	CauseInUse   = "in_use"
	CausePeers   = "peers" // of a gang that lost a task
	CauseAlone   = "alone" // of a gang whose tasks did not all start
	CauseNoSuch  = "no_such"
)

// The statuses of machines in the cloud.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)
