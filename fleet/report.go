package fleet

import (
	"bytes"

	"cedardoor/clock"
	"cedardoor/wire"
)

// Event is what a report, an expired lease or a returned machine tells of an attempt.
type Event struct {
	Allocation *Allocation
	Gone       bool // proved absent without a result; otherwise it ended with Cause
	Started    bool // first seen running
}

// taskListCache is the task list of a machine's last report as it came: most
// reports repeat it, and need not be decoded then.
type taskListCache struct {
	lastTasks      []byte
	lastTasksToken uint64 // the token that the report showed
	unchanged      bool   // the same list again tells nothing new and calls for no command
}

// repeatsTasks tells whether a report's task list tells nothing new.
func (c *taskListCache) repeatsTasks(report *wire.Heartbeat) bool {
	return c.unchanged && report.Token == c.lastTasksToken &&
		bytes.Equal(c.lastTasks, report.RawTasks) && len(report.RawTasks) > 0
}

// rememberTasks keeps a report's task list. Unless it is steady, the same list is to
// be taken in again.
func (c *taskListCache) rememberTasks(report *wire.Heartbeat, steady bool) {
	c.lastTasks, c.lastTasksToken = append(c.lastTasks[:0], report.RawTasks...), report.Token
	c.unchanged = steady
}

// Report takes in a worker's report. viaHeartbeat tells a heartbeat from the body
// of an answer to a direct command or a probe: only a heartbeat proves that the
// answer to an earlier heartbeat is void, since a worker has one heartbeat in
// flight and drops answers that come late. A report that is not newer than all
// before changes nothing and gives fresh=false.
//
// A copy of a report may come long after it was made. What it can prove stays
// true however late it is: an end, a newer incarnation, and an absence under the
// conditions of takeAbsence. That the machine is there now it cannot prove: see
// Liveness.
func (f *Fleet) Report(now clock.Micros, report *wire.Heartbeat, viaHeartbeat bool) (events []Event, fresh bool) {
	machine := f.Ensure(report.Machine, now)
	if !machine.IsNewer(report.Incarnation, report.Sequence) || viaHeartbeat && machine.ambiguous(report) {
		return nil, false
	}
	f.Examined++
	f.Describe(machine, describe(report))
	intake := reportIntake{fleet: f, machine: machine, report: report, viaHeartbeat: viaHeartbeat, now: now}
	intake.takeIncarnation()
	intake.takeToken()
	intake.takePreemptionNotice()
	if viaHeartbeat {
		f.heartbeatReceived(machine, now)
	}
	if !intake.missed && machine.repeatsTasks(report) {
		return intake.events, true
	}
	if err := report.DecodeTasks(); err != nil {
		return intake.events, true // an unreadable task list proves nothing
	}
	intake.takeTasks()
	steady := intake.takeAbsences()
	machine.rememberTasks(report, steady)
	if intake.missed {
		f.notAcknowledged(machine)
	}
	return intake.events, true
}

// reportIntake is the state of one call of Report.
type reportIntake struct {
	fleet        *Fleet
	machine      *Machine
	report       *wire.Heartbeat
	viaHeartbeat bool
	now          clock.Micros

	missed bool // what the machine was told has not taken effect
	events []Event
}

// takeIncarnation ends the incarnations before that of the report.
func (r *reportIntake) takeIncarnation() {
	machine := r.machine
	if r.report.Incarnation > machine.Incarnation {
		r.beginIncarnation()
	}
	// An adopted allocation may be of an incarnation before, even if the machine's
	// is not new. No copy from before the term shows a token of the term.
	if machine.mixedIncarnations && r.report.Token >= r.fleet.firstToken {
		machine.mixedIncarnations = false
		r.endEarlierIncarnations()
	}
	machine.Incarnation, machine.Sequence = r.report.Incarnation, r.report.Sequence
}

// beginIncarnation takes in that the worker's lease has expired: it has killed
// all that ran in the incarnations before.
func (r *reportIntake) beginIncarnation() {
	machine := r.machine
	// Where the machine had reported in time and was answered, either its process
	// is new or the answers did not arrive; one sign alone does not tell which.
	if machine.Reported && !machine.Suspect && r.viaHeartbeat && machine.Incarnation > 0 &&
		r.now-machine.LastHeartbeat < suspectReports*r.fleet.reportInterval {
		machine.Unacknowledged = max(machine.Unacknowledged, maxUnacknowledged-1)
	}
	r.endEarlierIncarnations()
	machine.extendLease(r.now + r.fleet.lease)
	machine.Images = map[string]bool{}
	machine.unchanged = false
}

// endEarlierIncarnations removes the allocations of incarnations before the report's.
func (r *reportIntake) endEarlierIncarnations() {
	r.events = r.fleet.endIncarnationsBefore(r.events, r.machine, r.report.Incarnation, r.now)
}

// takeToken takes in the highest token that the worker has seen. A higher one than
// before shows that an answer or a command arrived.
func (r *reportIntake) takeToken() {
	if r.viaHeartbeat {
		r.missed = r.machine.missedBy(r.report)
	}
	if r.report.Token > r.machine.Token {
		r.machine.Token = r.report.Token
		r.fleet.Acknowledged(r.machine)
	}
}

// takePreemptionNotice takes in whether the cloud is about to take the machine back.
func (r *reportIntake) takePreemptionNotice() {
	var preemptionAt clock.Micros
	if r.report.WarningS != nil {
		preemptionAt = r.now + clock.FromSeconds(*r.report.WarningS)
	}
	if (preemptionAt > 0) != (r.machine.PreemptionAt > 0) {
		r.fleet.MachineChanged(r.machine)
	}
	r.machine.PreemptionAt = preemptionAt
}

// takeTasks takes in the task list.
func (r *reportIntake) takeTasks() {
	machine := r.machine
	runningOrphans, images := machine.runningOrphans, len(machine.Images)
	r.fleet.clearOrphans(machine)
	for i := range r.report.Tasks {
		r.fleet.Examined++
		r.takeTask(&r.report.Tasks[i])
	}
	if len(machine.Images) != images || machine.runningOrphans != runningOrphans {
		r.fleet.MachineChanged(machine)
	}
}

// takeTask takes in one task of the list: an allocation, or an orphan.
func (r *reportIntake) takeTask(task *wire.TaskReport) {
	id, ok := ParseTask(task.Task)
	if !ok {
		return
	}
	key := attemptKey{id, task.Attempt}
	allocation := r.machine.byKey[key]
	if allocation == nil || allocation.Incarnation != r.report.Incarnation {
		r.fleet.addOrphan(r.machine, key, task.Status)
		return
	}
	allocation.listed = true
	if allocation.Status == "" && allocation.firstSent > 0 {
		r.fleet.Acknowledged(r.machine)
	}
	allocation.Status = task.Status
	if task.Status != wire.TaskEnded {
		allocation.reservation.MarkRunning()
	}
	r.takeImage(allocation)
	switch {
	case task.Status == wire.TaskRunning && allocation.RunningSince == 0:
		allocation.RunningSince = r.now
		r.fleet.MachineChanged(r.machine)
		r.events = append(r.events, Event{Allocation: allocation, Started: true})
	case task.Status == wire.TaskEnded && !allocation.Ended:
		r.fleet.release(allocation, r.now)
		allocation.Cause = task.Cause
		r.events = append(r.events, Event{Allocation: allocation})
	}
}

// takeImage notes the image of an allocation that the machine shows; it is whole
// there once the task runs.
func (r *reportIntake) takeImage(allocation *Allocation) {
	images := r.machine.Images
	whole, known := images[allocation.Image]
	switch {
	case allocation.Status == wire.TaskRunning && !whole:
		images[allocation.Image] = true
		r.fleet.MachineChanged(r.machine)
	case !known:
		images[allocation.Image] = false
	}
}

// takeAbsences goes over all allocations after the task list was taken in. It
// tells whether the same list again would tell nothing new and call for no command.
func (r *reportIntake) takeAbsences() (steady bool) {
	steady = len(r.machine.orphans) == 0
	r.machine.EachAllocation(func(allocation *Allocation) {
		r.fleet.Examined++
		// A higher token fences copies of a command, listed or not.
		if allocation.unfencedToken > 0 && r.report.Token > allocation.unfencedToken {
			r.fleet.unfenced.fence(allocation)
		}
		listed := allocation.listed
		allocation.listed = false
		steady = steady && listed && allocation.steady()
		if !listed && allocation.Incarnation == r.report.Incarnation {
			r.takeAbsence(allocation)
		}
	})
	return steady
}

// takeAbsence takes in that an allocation of the report's incarnation is not in
// its task list.
func (r *reportIntake) takeAbsence(allocation *Allocation) {
	answered := r.viaHeartbeat && allocation.answeredBefore(r.report.Sequence)
	if answered && allocation.Status == "" && allocation.Live() {
		r.missed = true
	}
	switch {
	case allocation.mayArrive(): // proves nothing
	case allocation.Ended:
		if allocation.ResultDurable {
			r.fleet.Remove(allocation, r.now)
		}
	case r.provesGone(allocation):
		r.fleet.release(allocation, r.now)
		r.events = append(r.events, Event{Allocation: allocation, Gone: true})
	}
}

// provesGone tells whether a live allocation that the report does not list is
// gone, given that no direct command can start it any more. The answer to a
// heartbeat is void once a later heartbeat has come.
func (r *reportIntake) provesGone(allocation *Allocation) bool {
	if allocation.firstSent == 0 || !r.viaHeartbeat || r.report.Sequence <= allocation.heartbeatSequence {
		return false
	}
	// One that was never listed lost its run: the next answer carries it again,
	// unless it is to be stopped.
	return allocation.Status != "" || allocation.Stopping
}
