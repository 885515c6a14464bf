// Package jobs holds the jobs that a leader knows, with their tasks and the state of their records.
// It does no I/O and has no lock: the leader's own lock guards it.
package jobs

import (
	"slices"
	"sort"

	"cedardoor/attribution"
	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/fleet"
	"cedardoor/plan"
	"cedardoor/quota"
	"cedardoor/store"
	"cedardoor/wire"
)

// Job is an unfinished job, or one whose tasks are still being stopped.
type Job struct {
	UID        string
	Spec       wire.Spec
	Priority   wire.Priority
	AcceptedUS int64        // wall clock of its acceptance, in microseconds
	SeenAt     clock.Micros // when this leader learned of it
	Targets    Targets
	Plan       *plan.Job // the planner's view of the job
	Cancelled  bool      // cancelled or done: its remaining tasks are stopped and its records deleted
	// CancellationPending is set from the report of a cancellation until a read of changes
	// confirms or refutes it. The job's tasks are stopped, and none is started.
	CancellationPending bool

	Tasks   []Task
	Waiting []int // tasks that wait for a machine; may have stale entries, see PruneWaiting
	Done    int   // tasks that are done
	Running int   // tasks that run now
	Started bool  // whether any task has had an attempt

	Record         Record
	Failures       attribution.History
	RunTimes       RunTimes
	LastPlacedAt   clock.Micros // when a task was last placed
	ArrivalCounted bool         // its work is counted as an arrival by the autoscaler, or need not be
}

// Targets are the times, from its acceptance, within which a job should start and finish.
type Targets struct {
	Deadline     clock.Micros // zero if none
	FinishWithin clock.Micros // objective of its class; zero if none
	StartWithin  clock.Micros // objective of its class for tasks; UnlimitedSlack if none
}

// Record tracks the durable records of a job.
type Record struct {
	ModRevision uint64   // of the job's own record
	Chunks      []*Chunk // in order of their tasks, which they cover without gaps
	// Shared is the record that holds a single-task job's attempt instead of a chunk; nil if none.
	Shared *SharedRecord
	// PendingResult is the ended attempt of the job's only task, until its result is durable.
	PendingResult *fleet.Allocation
}

// UnlimitedSlack is the slack of a job without a deadline.
const UnlimitedSlack = 1 << 60

// TaskState is the state of a task.
type TaskState uint8

// The states of a task.
const (
	TaskWaiting TaskState = iota
	TaskPlaced
	TaskDone
	// TaskUnreadable means that the record of its attempts can't be decoded, so it may run somewhere.
	TaskUnreadable
)

// Task is the leader's view of one task.
type Task struct {
	State      TaskState
	Attempt    uint64            // number of the last attempt
	Allocation *fleet.Allocation // on its current machine, if placed
	MoveTarget *fleet.Allocation // on the machine that it moves to once its current attempt has ended
	NotBefore  clock.Micros      // end of its backoff
	Failures   int               // consecutive
	HasRun     bool
	// Reservation is the quota held for an unreadable task as long as it may run somewhere.
	Reservation *quota.Reservation

	queued bool // whether the job's Waiting lists it
}

// ClearAllocation returns the task to waiting after the end of its attempt.
func (t *Task) ClearAllocation() {
	t.Allocation = nil
	t.State = TaskWaiting
}

// Chunk is the durable record of some of a job's tasks: at most store.TasksPerChunk consecutive ones, or
// fewer if their record would be too large for the state service.
type Chunk struct {
	First         int // index of its first task
	Size          int // how many tasks it covers; the last chunk of a job may cover more than there are
	ModRevision   uint64
	Version       uint64              // incremented by every change
	SavedVersion  uint64              // the version that is durable
	EndedAttempts []*fleet.Allocation // ended attempts whose end is not durable yet
	// Leftover lists the first tasks of records that an unfinished division of the chunk may have left in
	// the state service. The next write of the chunk replaces or deletes them.
	Leftover []int
	// Unreadable is how many of its tasks may run somewhere because the stored record can't be
	// decoded. The record is not overwritten until it is known where all of them are.
	Unreadable int
}

// SharedRecord is a record shared by many single-task jobs.
type SharedRecord struct {
	Chunk    // its First and Size are not used
	Key      string
	JobCount int               // jobs ever added to it
	Jobs     []*Job            // jobs still in it
	KeptRows []store.SharedRow // rows of jobs whose own record can't be used
	// LeftoverKeys lists the keys of records that an unfinished division of this one may have left in the
	// state service. The next write of the record deletes them.
	LeftoverKeys []string
}

// New creates a job from its record.
func New(record store.JobRecord, modRevision uint64, facts *config.Facts, now clock.Micros) *Job {
	spec := record.Spec
	priority, _ := wire.ParsePriority(spec.Priority)
	job := &Job{UID: spec.UID, Spec: spec, Priority: priority, AcceptedUS: record.AcceptedUS, SeenAt: now,
		Tasks: make([]Task, spec.Tasks), Waiting: make([]int, spec.Tasks),
		Record: Record{ModRevision: modRevision}}
	job.Record.ExtendChunks(spec.Tasks)
	for i := range job.Waiting {
		job.Waiting[i] = i
		job.Tasks[i].queued = true
	}
	job.setTargets(facts)
	job.plan(clock.FromSeconds(facts.ShortestObjective(config.ObjectiveWait, spec.Class)))
	return job
}

// NewFinished creates a job that is done or cancelled while some of its tasks may still be on
// machines.
func NewFinished(uid string, record *store.FinalRecord) *Job {
	spec := wire.Spec{UID: uid, Team: record.Team, Cores: record.Cores, Accelerators: record.Accelerators, RAM: record.RAM, Tasks: record.Tasks}
	job := &Job{UID: uid, Spec: spec, Cancelled: true, Targets: Targets{StartWithin: UnlimitedSlack}}
	job.plan(0)
	return job
}

// plan creates the planner's view of the job. Table.CapacityChanged keeps its counts up to date.
func (j *Job) plan(startWithin clock.Micros) {
	spec := &j.Spec
	j.Plan = &plan.Job{UID: j.UID, Team: spec.Team, Priority: j.Priority, Order: j.AcceptedUS,
		Requirements: plan.Requirements{
			Resources: plan.Resources{Cores: spec.Cores, Accelerators: spec.Accelerators, RAM: spec.RAM},
			Tasks:     spec.Tasks, Service: j.IsService(), Gang: j.IsGang(),
			MachineTypes: spec.MachineTypes, Zone: spec.Zone, SameZone: spec.SameZone, Spread: spec.Spread, Preemptible: spec.Preemptible,
			Image: spec.Image, ImageGB: spec.ImageGB, StartWithin: startWithin,
		},
		Progress:  plan.Progress{Slack: UnlimitedSlack},
		Occupancy: plan.Occupancy{Zones: map[string]int{}, Machines: map[string]int{}},
	}
}

// setTargets sets the job's targets from its deadline and the platform's objectives for its class.
func (j *Job) setTargets(facts *config.Facts) {
	// Whether a task starts within this many report intervals depends on free capacity, not on
	// the order of jobs.
	const immediateReports = 3
	j.Targets.StartWithin = UnlimitedSlack
	if j.Spec.DeadlineS != nil {
		j.Targets.Deadline = clock.FromSeconds(*j.Spec.DeadlineS)
	}
	if j.IsService() {
		return
	}
	j.Targets.FinishWithin = clock.FromSeconds(facts.ShortestObjective(config.ObjectiveFinished, j.Spec.Class))
	for _, objective := range facts.Objectives {
		if objective.Class == j.Spec.Class && objective.Kind == config.ObjectiveWait && objective.WithinS > immediateReports*facts.Workers.ReportS {
			j.Targets.StartWithin = min(j.Targets.StartWithin, clock.FromSeconds(objective.WithinS))
		}
	}
}

// IsService reports whether the job's tasks are replicas that run until the job is cancelled.
func (j *Job) IsService() bool { return j.Spec.Kind == wire.KindService }

// IsGang reports whether the job's tasks run only all together.
func (j *Job) IsGang() bool { return j.Spec.Kind == wire.KindGang }

// IsBestEffort reports whether the job runs only when there is spare capacity.
func (j *Job) IsBestEffort() bool {
	return j.Priority == wire.PriorityLow && !j.IsService() && !j.IsGang()
}

// SharesRecord reports whether the job's only task is recorded together with those of other jobs.
func (j *Job) SharesRecord() bool { return len(j.Tasks) == 1 && !j.IsService() && !j.IsGang() }

// Size returns how many tasks the job has. The task list of a job that is over may be longer, since
// it is loaded in whole chunks.
func (j *Job) Size() int {
	if j.Cancelled {
		return min(len(j.Tasks), j.Spec.Tasks)
	}
	return len(j.Tasks)
}

// NewAllocation creates an attempt of a task that is not on any machine yet.
func (j *Job) NewAllocation(index int, attempt uint64) *fleet.Allocation {
	spec := &j.Spec
	return &fleet.Allocation{Owner: j, Task: fleet.TaskID{Job: j.UID, Index: index}, Attempt: attempt, Team: spec.Team,
		Requirements: fleet.Requirements{
			Resources: fleet.Resources{Cores: spec.Cores, Accelerators: spec.Accelerators, RAM: spec.RAM},
			Image:     spec.Image, Priority: j.Priority, Preemptible: spec.Preemptible,
			CheckpointGrace: spec.CheckpointGraceS, Checkpoints: spec.CheckpointIntervalS > 0,
			HeartbeatOnly: j.IsBestEffort(),
		}}
}

// TaskAmount returns how much of its team's limit one task of the job uses.
func (j *Job) TaskAmount() quota.Amount { return quota.NewAmount(j.Spec.Cores, j.Spec.Accelerators) }

// ChunkOf returns the job's own chunk for a task, even if the job uses a shared record.
func (j *Job) ChunkOf(index int) *Chunk {
	chunks := j.Record.Chunks
	return chunks[sort.Search(len(chunks), func(n int) bool { return chunks[n].First > index })-1]
}

// MarkChanged marks the record of a task's attempts as changed, and returns it.
func (j *Job) MarkChanged(index int) *Chunk {
	chunk := j.ChunkOrShared(index)
	chunk.Version++
	return chunk
}

// ChunkOrShared returns the record that holds a task's attempts: the shared record if the job uses
// one, else the job's own chunk.
func (j *Job) ChunkOrShared(index int) *Chunk {
	if j.Record.Shared != nil {
		return &j.Record.Shared.Chunk
	}
	return j.ChunkOf(index)
}

// CountUnfinished counts the tasks that have a machine and those that have none.
func (j *Job) CountUnfinished() (placed, unplaced int) {
	for i := range j.Tasks {
		if s := j.Tasks[i].State; s == TaskPlaced || s == TaskUnreadable {
			placed++
		}
	}
	return placed, len(j.Tasks) - j.Done - placed
}

// CountWaiting counts the tasks that wait for a machine: those ready to start and those backing off.
func (j *Job) CountWaiting(now clock.Micros) (ready, backingOff int) {
	for _, i := range j.Waiting {
		switch task := &j.Tasks[i]; {
		case task.State != TaskWaiting:
		case task.NotBefore > now:
			backingOff++
		default:
			ready++
		}
	}
	return ready, backingOff
}

// PruneWaiting removes tasks from Waiting that no longer wait.
func (j *Job) PruneWaiting() {
	j.Waiting = slices.DeleteFunc(j.Waiting, func(i int) bool {
		j.Tasks[i].queued = j.Tasks[i].State == TaskWaiting
		return !j.Tasks[i].queued
	})
}

// Slack returns the time left in which the job's tasks must start to meet its deadline and the
// objectives of its class. Without the objectives, a long job with a distant deadline would wait
// longer than any job of its class should. Jobs without a deadline have unlimited slack and start
// in order of acceptance, since by the objectives long jobs would go before short ones. The
// exception is a best-effort job whose class has an objective for its finish.
func (j *Job) Slack(wall clock.Micros) clock.Micros {
	accepted, targets := clock.Micros(j.AcceptedUS), &j.Targets
	if targets.Deadline == 0 && (!j.IsBestEffort() || targets.FinishWithin == 0) {
		return UnlimitedSlack
	}
	if targets.Deadline == 0 {
		// Best-effort jobs may wait for hours: those with an objective for their finish go
		// before those without.
		return max(0, accepted+targets.FinishWithin-wall)
	}
	expected := clock.FromSeconds(j.Spec.ExpectedS)
	start := min(targets.StartWithin, targets.Deadline-expected)
	if targets.FinishWithin > 0 {
		start = min(start, targets.FinishWithin-expected)
	}
	return max(0, accepted+start-wall)
}

// PreferredZone returns the zone with the most tasks of a job that must run in one zone, or the
// fewest of a job that must be spread. It is empty if the job has no tasks in a known zone.
func (j *Job) PreferredZone(zones []string) (zone string) {
	if len(j.Plan.Zones) == 0 {
		return ""
	}
	for _, z := range zones {
		n, best := j.Plan.Zones[z], j.Plan.Zones[zone]
		if zone == "" || j.Spec.SameZone && n > best || j.Spec.Spread && n < best {
			zone = z
		}
	}
	return zone
}

// ID implements attribution.Job.
func (j *Job) ID() string { return j.UID }

// FailureHistory implements attribution.Job.
func (j *Job) FailureHistory() *attribution.History { return &j.Failures }

// Planned implements attribution.Job.
func (j *Job) Planned() *plan.Job { return j.Plan }

// DoneTasks implements attribution.Job.
func (j *Job) DoneTasks() int { return j.Done }

// AllWaiting implements attribution.Job.
func (j *Job) AllWaiting() bool {
	j.PruneWaiting()
	return len(j.Waiting) >= len(j.Tasks)
}

// RunsLongerThan implements attribution.Job.
func (j *Job) RunsLongerThan(span clock.Micros) bool {
	if j.Running == 0 {
		return false
	}
	for i := range j.Tasks {
		allocation := j.Tasks[i].Allocation
		if allocation == nil || allocation.Status != wire.TaskRunning || allocation.RunningSince == 0 || allocation.Ended {
			continue
		}
		if machine := allocation.Machine; machine.Reported && machine.LastHeartbeat-allocation.RunningSince > span {
			return true
		}
	}
	return false
}

// Of returns the job that an allocation belongs to; nil if the leader does not know it.
func Of(allocation *fleet.Allocation) *Job {
	job, _ := allocation.Owner.(*Job)
	return job
}

// HoldsReplica reports whether a replica of a service may be on a machine.
func HoldsReplica(machine *fleet.Machine) bool {
	found := false
	machine.EachAllocation(func(allocation *fleet.Allocation) {
		job := Of(allocation)
		found = found || allocation.Live() && job != nil && job.IsService() && !job.Cancelled
	})
	return found
}
