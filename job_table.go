package cedardoor

import (
	"sort"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/plan"
	"cedardoor/recovery"
	"cedardoor/store"
	"cedardoor/wire"
)

// jobTable holds the unfinished jobs, and those whose tasks are still being stopped.
type jobTable struct {
	byUID    map[string]*Job
	waiting  map[*Job]bool // jobs with tasks that wait for a machine
	changed  bool          // there are jobs that no plan has seen
	replicas int           // tasks of services that may exist anywhere
}

func newJobTable() jobTable {
	return jobTable{byUID: map[string]*Job{}, waiting: map[*Job]bool{}}
}

// capacityChanged keeps the counts that the rules look at: of a job's tasks by zone and
// machine. The caller holds mu.
func (l *leader) capacityChanged(allocation *fleet.Allocation, zone string, sign int) {
	job, ok := allocation.Owner.(*Job)
	if !ok {
		return
	}
	job.planJob.Count(zone, allocation.Machine.Name, sign)
	if job.isService() {
		l.jobs.replicas += sign
	}
}

// enqueue puts a task among those that wait. The caller holds mu.
func (l *leader) enqueue(job *Job, index int) {
	// It may stand there still from before an attempt: twice, it would be placed twice.
	if !job.tasks[index].queued {
		job.tasks[index].queued = true
		job.waiting = append(job.waiting, index)
	}
	l.jobs.waiting[job] = true
}

// addJob takes an accepted job in. The caller holds mu.
func (l *leader) addJob(key string, value []byte, stamp uint64, now clock.Micros) error {
	record, err := recovery.DecodeJob(wire.Row{Key: key, Value: value, ModRevision: stamp})
	if err != nil {
		return err
	}
	if record.Final == nil {
		l.addRecord(record, stamp, now)
	}
	return nil
}

// addRecord takes an accepted job's record in. The caller holds mu.
func (l *leader) addRecord(record store.JobRecord, stamp uint64, now clock.Micros) {
	s := record.Spec
	if l.recordRestored(s.UID) {
		return
	}
	if job := l.jobs.byUID[s.UID]; job != nil {
		job.modRevision = max(job.modRevision, stamp)
		return
	}
	delete(l.reconciliation.jobLookups, s.UID)
	priority, _ := wire.ParsePriority(s.Priority)
	job := &Job{uid: s.UID, spec: s, priority: priority, modRevision: stamp, acceptedAt: record.AcceptedUS, seenAt: now, order: record.AcceptedUS,
		tasks: make([]Task, s.Tasks), waiting: make([]int, s.Tasks),
		chunks: make([]Chunk, (s.Tasks+store.TasksPerChunk-1)/store.TasksPerChunk)}
	for i := range job.waiting {
		job.waiting[i] = i
		job.tasks[i].queued = true
	}
	job.planJob = l.newPlanJob(job)
	l.jobs.byUID[s.UID] = job
	l.jobs.waiting[job] = true
	l.jobs.changed = true
}

// newPlanJob is the job as the planner sees it; its counts follow the bookings.
func (l *leader) newPlanJob(job *Job) *plan.Job {
	spec := &job.spec
	job.startWithin = unlimitedSlack
	if spec.DeadlineS != nil {
		job.deadline = clock.FromSeconds(*spec.DeadlineS)
	}
	// Starts within a moment are a matter of free room, not of order.
	const moment = 3
	for _, o := range l.cfg.Facts.Objectives {
		if o.Class != spec.Class || job.isService() {
			continue
		}
		switch at := clock.FromSeconds(o.WithinS); {
		case o.Kind == "finished" && (job.finishWithin == 0 || at < job.finishWithin):
			job.finishWithin = at
		case o.Kind == "wait" && o.WithinS > moment*l.cfg.Facts.Workers.ReportS:
			job.startWithin = min(job.startWithin, at)
		}
	}
	within := 0.0
	for _, o := range l.cfg.Facts.Objectives {
		if o.Kind == "wait" && o.Class == spec.Class && (within == 0 || o.WithinS < within) {
			within = o.WithinS
		}
	}
	return &plan.Job{ImageGB: spec.ImageGB, StartWithin: clock.FromSeconds(within), UID: job.uid, Team: spec.Team, Priority: job.priority, Service: job.isService(), Tasks: spec.Tasks,
		Cores: spec.Cores, Accelerators: spec.Accelerators, RAM: spec.RAM, MachineTypes: spec.MachineTypes, Zone: spec.Zone, SameZone: spec.SameZone,
		Spread: spec.Spread, Preemptible: spec.Preemptible, Image: spec.Image, Order: job.order, Gang: job.isGang(), Slack: unlimitedSlack,
		Zones: map[string]int{}, Machines: map[string]int{}}
}

// unlimitedSlack is the slack of a job without a deadline.
const unlimitedSlack = 1 << 60

// sortedJobs lists the jobs in a fixed order. The caller holds mu.
func (l *leader) sortedJobs() []*Job {
	out := make([]*Job, 0, len(l.jobs.byUID))
	for _, job := range l.jobs.byUID {
		out = append(out, job)
	}
	sort.Slice(out, func(i, k int) bool {
		if out[i].order != out[k].order {
			return out[i].order < out[k].order
		}
		return out[i].uid < out[k].uid
	})
	return out
}

// counts tells how many tasks of jobs are done and running.
func (l *leader) counts(uids []string) map[string][2]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string][2]int, len(uids))
	for _, uid := range uids {
		if job := l.jobs.byUID[uid]; job != nil && l.loaded {
			out[uid] = [2]int{job.done, job.running}
		}
	}
	return out
}
