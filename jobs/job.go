// Package jobs holds the jobs that a leader knows, with their tasks and what of them is durable.
// It does no I/O and has no lock: the leader's own lock guards it.
package jobs

import (
	"slices"

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
	Plan       *plan.Job // the job as the planner sees it
	Cancelled  bool      // or done: what is left of it is stopped and deleted
	// CancellationPending: it is said to be cancelled, and that has not been looked up yet. Its
	// tasks stop, and none is started.
	CancellationPending bool

	Tasks   []Task
	Waiting []int // tasks that wait for a machine; some may wait no longer, see PruneWaiting
	Done    int   // tasks that are done
	Running int   // tasks that run now
	Started bool  // a task of it has had an attempt

	Record           Record
	Failures         attribution.History
	RunTimes         RunTimes
	LastPlacedAt     clock.Micros // when one of its tasks was placed last
	ArrivalCounted   bool         // its work is among the arrivals that the autoscaler follows
	PreemptionExempt bool         // it waited long before any task began: the first ones are not preempted
}

// Targets are the times in which a job should start and end, from its acceptance on.
type Targets struct {
	Deadline     clock.Micros // zero where nothing is said
	FinishWithin clock.Micros // of jobs of its class; zero where nothing is said
	StartWithin  clock.Micros // of tasks of its class; UnlimitedSlack where nothing is said
}

// Record is what of a job is durable. Only the state writer changes it.
type Record struct {
	ModRevision uint64 // of the job's own record
	Chunks      []Chunk
	// Shared is the record of the job's only task, when it has one, instead of a chunk.
	Shared *SharedRecord
	// PendingResult is the end of its only task, until that is durable.
	PendingResult *fleet.Allocation
}

// UnlimitedSlack is the slack of a job without a deadline.
const UnlimitedSlack = 1 << 60

// TaskState is how far a task is.
type TaskState uint8

// The states of a task.
const (
	TaskWaiting TaskState = iota
	TaskPlaced
	TaskDone
	// TaskUnreadable: the record of its attempts can't be decoded, so it may run somewhere.
	TaskUnreadable
)

// Task is one task as the leader sees it.
type Task struct {
	State      TaskState
	Attempt    uint64            // number of the last attempt
	Allocation *fleet.Allocation // where it is, when placed
	MoveTarget *fleet.Allocation // where it goes once it has left, when it moves
	NotBefore  clock.Micros      // backing off until
	Failures   int               // in a row
	HasRun     bool
	// Reservation counts for an unreadable task as long as it may run somewhere.
	Reservation *quota.Reservation

	queued bool // among its job's waiting tasks
}

// ClearAllocation notes that the task's attempt is over.
func (t *Task) ClearAllocation() {
	t.Allocation = nil
	t.State = TaskWaiting
}

// Chunk is the durable record of some of a job's tasks.
type Chunk struct {
	ModRevision   uint64
	Version       uint64              // raised by every change
	SavedVersion  uint64              // the version that is durable
	EndedAttempts []*fleet.Allocation // ended attempts whose end is not durable yet
	// Unreadable is how many of its tasks may run somewhere by a record that can't be
	// decoded: it is not written over before all of them are known.
	Unreadable int
}

// SharedRecord is a record that the single tasks of many jobs share.
type SharedRecord struct {
	Chunk
	Key      string
	JobCount int               // jobs ever put into it
	Jobs     []*Job            // those that are in it still
	KeptRows []store.SharedRow // of jobs whose own record can't be used
}

// New makes a job of its record.
func New(record store.JobRecord, modRevision uint64, facts *config.Facts, now clock.Micros) *Job {
	spec := record.Spec
	priority, _ := wire.ParsePriority(spec.Priority)
	job := &Job{UID: spec.UID, Spec: spec, Priority: priority, AcceptedUS: record.AcceptedUS, SeenAt: now,
		Tasks: make([]Task, spec.Tasks), Waiting: make([]int, spec.Tasks),
		Record: Record{ModRevision: modRevision, Chunks: make([]Chunk, (spec.Tasks+store.TasksPerChunk-1)/store.TasksPerChunk)}}
	for i := range job.Waiting {
		job.Waiting[i] = i
		job.Tasks[i].queued = true
	}
	job.setTargets(facts)
	job.plan(clock.FromSeconds(facts.ShortestObjective(config.ObjectiveWait, spec.Class)))
	return job
}

// NewFinished makes a job that is over while some of its tasks may be on machines.
func NewFinished(uid string, record *store.FinalRecord) *Job {
	spec := wire.Spec{UID: uid, Team: record.Team, Cores: record.Cores, Accelerators: record.Accelerators, RAM: record.RAM, Tasks: record.Tasks}
	job := &Job{UID: uid, Spec: spec, Cancelled: true, Targets: Targets{StartWithin: UnlimitedSlack}}
	job.plan(0)
	return job
}

// plan makes the job as the planner sees it; its counts follow the allocations.
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

// setTargets takes what is expected of the job's class from the platform's objectives.
func (j *Job) setTargets(facts *config.Facts) {
	// Starts within so many report intervals are a matter of free room, not of order.
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

// IsService tells whether the job's tasks are replicas that run until they are cancelled.
func (j *Job) IsService() bool { return j.Spec.Kind == wire.KindService }

// IsGang tells whether the job's tasks run only all together.
func (j *Job) IsGang() bool { return j.Spec.Kind == wire.KindGang }

// IsBestEffort tells whether the job is work that runs when there is room.
func (j *Job) IsBestEffort() bool {
	return j.Priority == wire.PriorityLow && !j.IsService() && !j.IsGang()
}

// SharesRecord tells whether the job's only task is recorded with those of other jobs.
func (j *Job) SharesRecord() bool { return len(j.Tasks) == 1 && !j.IsService() && !j.IsGang() }

// Size is how many tasks the job has: of one that is over, the list holds whole chunks.
func (j *Job) Size() int {
	if j.Cancelled {
		return min(len(j.Tasks), j.Spec.Tasks)
	}
	return len(j.Tasks)
}

// NewAllocation makes an attempt of a task, which is on no machine yet.
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

// TaskAmount is what one task of the job takes of its team's limit.
func (j *Job) TaskAmount() quota.Amount { return quota.NewAmount(j.Spec.Cores, j.Spec.Accelerators) }

// ChunkOf is the record that a task's attempts belong to when they share none.
func (j *Job) ChunkOf(index int) *Chunk { return &j.Record.Chunks[index/store.TasksPerChunk] }

// MarkChanged notes that a task's attempts are to be recorded anew, and gives their record.
func (j *Job) MarkChanged(index int) *Chunk {
	chunk := j.ChunkOrShared(index)
	chunk.Version++
	return chunk
}

// ChunkOrShared is the record that a task's attempts belong to.
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

// CountWaiting counts the tasks that wait for a machine, apart from those that are backing off.
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

// PruneWaiting drops entries of Waiting that no longer wait.
func (j *Job) PruneWaiting() {
	j.Waiting = slices.DeleteFunc(j.Waiting, func(i int) bool {
		j.Tasks[i].queued = j.Tasks[i].State == TaskWaiting
		return !j.Tasks[i].queued
	})
}

// Slack is the time left in which the job's tasks must start to meet its deadline and what its
// class is expected to keep. Without the latter, a long job with much time until its own deadline
// would be put off for longer than any of its class should wait. Where jobs have no deadlines,
// the first come goes first: by the class's objectives, long jobs would go before short ones.
func (j *Job) Slack(wall clock.Micros) clock.Micros {
	accepted, targets := clock.Micros(j.AcceptedUS), &j.Targets
	if targets.Deadline == 0 && (!j.IsBestEffort() || targets.FinishWithin == 0) {
		return UnlimitedSlack
	}
	if targets.Deadline == 0 {
		// What runs when there is room may be there for hours: what is expected to be
		// done by some time goes before what is not.
		return max(0, accepted+targets.FinishWithin-wall)
	}
	expected := clock.FromSeconds(j.Spec.ExpectedS)
	start := min(targets.StartWithin, targets.Deadline-expected)
	if targets.FinishWithin > 0 {
		start = min(start, targets.FinishWithin-expected)
	}
	return max(0, accepted+start-wall)
}

// PreferredZone is the zone that holds most of a job that is to be in one, or least of a job that
// is to be spread; empty where that does not tell.
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

// Of is the job that an allocation is of; nil where the leader does not know it.
func Of(allocation *fleet.Allocation) *Job {
	job, _ := allocation.Owner.(*Job)
	return job
}

// HoldsReplica tells whether a replica of a service may be on a machine.
func HoldsReplica(machine *fleet.Machine) bool {
	found := false
	machine.EachAllocation(func(allocation *fleet.Allocation) {
		job := Of(allocation)
		found = found || allocation.Live() && job != nil && job.IsService() && !job.Cancelled
	})
	return found
}
