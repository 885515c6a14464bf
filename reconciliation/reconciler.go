// Package reconciliation rebuilds the state of a new leader from its predecessors' records and the
// workers' reports. Package recovery reads the records and decides about each attempt; this package
// carries out the decisions. It does no I/O and has no lock: the leader's own lock guards it.
package reconciliation

import (
	"log/slog"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/quota"
	"cedardoor/recovery"
	"cedardoor/store"
)

// Writer schedules changes to be recorded.
type Writer interface {
	// MarkDirty schedules the changes of a job to be recorded now.
	MarkDirty(uid string)
	// MarkResult schedules the results of a job to be recorded together with others.
	MarkResult(job *jobs.Job, now clock.Micros)
	// MarkStale schedules a shared record to be rewritten.
	MarkStale(shared *jobs.SharedRecord)
	// AddFinalMove schedules the record of a job that is done to be moved to the final states.
	AddFinalMove(uid string, modRevision uint64, record store.FinalRecord)
}

// Settings configure a Reconciler.
type Settings struct {
	Jobs   *jobs.Table
	Fleet  *fleet.Fleet
	Quota  *quota.Ledger
	Writer Writer
	Token  uint64       // the term's first fencing token
	Since  clock.Micros // when the term began
	// PredecessorLease is how long a worker's lease may last if a predecessor renewed it.
	PredecessorLease clock.Micros
	// MaxReportDelay is how long a worker may take to find this leader if no other controller
	// answers.
	MaxReportDelay clock.Micros
	Now            func() clock.Micros
	Log            *slog.Logger
}

// Reconciler tracks the reconciliation of the records with the workers' reports, and which records
// can't be used.
type Reconciler struct {
	Settings

	progress             *recovery.Progress
	loggedMostReconciled bool // whether it was logged that most machines are reconciled
	loggedComplete       bool // whether it was logged that the recovery is complete
	isolated             bool // no other controller has answered recently
	damaged              []recovery.Damage
	unusable             map[string]bool // jobs whose record was unreadable, or missing beside recorded attempts
	unreadable           unreadableTasks
	lookups              lookups
}

// New returns a Reconciler for one term of leadership.
func New(settings Settings) *Reconciler {
	return &Reconciler{Settings: settings, progress: recovery.NewProgress(settings.Since), unusable: map[string]bool{},
		unreadable: unreadableTasks{jobs: map[*jobs.Job]bool{}}, lookups: newLookups()}
}

// IsUnusable reports whether a job's record could not be used when the records were loaded. The
// records of its attempts were skipped then. So once the job's record is usable, the next leader
// must read all records again, under its own token since commands of this one may be in flight.
func (r *Reconciler) IsUnusable(uid string) bool { return r.unusable[uid] }

// MachineReported records that a machine reports and is trusted.
func (r *Reconciler) MachineReported(machine *fleet.Machine, now clock.Micros) {
	r.progress.Resolve(machine.Name, recovery.MachineReconciled, now)
}

// MachineGone records that a machine with recorded attempts is gone.
func (r *Reconciler) MachineGone(machine *fleet.Machine, now clock.Micros) {
	r.progress.Resolve(machine.Name, recovery.MachineGone, now)
}

// Reconnecting reports whether workers may still be trying to find this leader, so that a missing
// report does not mean that a machine is lost.
func (r *Reconciler) Reconnecting(now clock.Micros) bool {
	return r.progress.Reconnecting(now, r.MaxReportDelay, r.isolated)
}

// IsolationMatters reports whether a controller that is isolated still has to wait for machines to
// report.
func (r *Reconciler) IsolationMatters(now clock.Micros) bool {
	return r.progress.Stage() == recovery.StageReconciling && now-r.progress.StartedAt() < r.MaxReportDelay
}

// SetIsolated records whether this controller is isolated: no other controller answers.
func (r *Reconciler) SetIsolated(isolated bool) { r.isolated = isolated }

// minLoggedMachines is the number of recorded machines from which it is logged that most are
// reconciled.
const minLoggedMachines = 10

// LogProgress logs once when most machines are reconciled and once when the recovery is complete.
func (r *Reconciler) LogProgress() {
	p := r.progress
	if p.Machines() == 0 {
		return
	}
	if !r.loggedMostReconciled && p.MostlyResolvedAt() > 0 && p.CompletedAt() == 0 {
		r.loggedMostReconciled = true
		if p.Machines() >= minLoggedMachines {
			r.Log.Info("most machines are reconciled", "machines", p.Machines(), "awaited", p.Count(recovery.MachineAwaited),
				"took_s", (p.MostlyResolvedAt() - p.StartedAt()).Seconds())
		}
	}
	if !r.loggedComplete && p.CompletedAt() > 0 {
		r.loggedComplete = true
		r.Log.Info("recovery is complete", "machines", p.Machines(), "reconciled", p.Count(recovery.MachineReconciled),
			"gone", p.Count(recovery.MachineGone), "took_s", (p.CompletedAt() - p.StartedAt()).Seconds())
	}
}

// Report returns the progress of the recovery, for operators.
func (r *Reconciler) Report(now clock.Micros) (report recovery.Report) {
	r.progress.FillReport(&report, now)
	r.countAttempts(&report.Attempts)
	var unrecorded []recovery.UnrecordedTask
	r.Fleet.EachRunningOrphan(func(machine *fleet.Machine, task fleet.TaskID, attempt uint64) {
		unrecorded = append(unrecorded, recovery.UnrecordedTask{Task: task.String(), Attempt: attempt, Machine: machine.Name, Zone: machine.Zone,
			Decision: r.DecideOrphan(task, recovery.ObservedRunning).String()})
	})
	report.SetLists(unrecorded, r.damaged)
	return report
}

// countAttempts counts the attempts by state.
func (r *Reconciler) countAttempts(counts *recovery.AttemptCounts) {
	r.Fleet.EachMachine(func(machine *fleet.Machine) {
		awaited := r.progress.Awaited(machine.Name)
		machine.EachAllocation(func(allocation *fleet.Allocation) {
			switch {
			case !allocation.Live():
			case allocation.Adopted && awaited:
				counts.Awaited++
			case allocation.Reservation().State() == quota.Stopping:
				counts.Stopping++
			case allocation.Reservation().State() == quota.Running:
				counts.Running++
			default:
				counts.InDoubt++
			}
		})
	})
	counts.Unreadable = r.unreadable.count()
}
