package fleet

import (
	"bytes"

	"cedardoor/clock"
	"cedardoor/wire"
)

// Event is what a report, an expired lease or a deleted machine shows about an
// attempt. With neither Gone nor Started set, the attempt ended with its Cause.
type Event struct {
	Allocation *Allocation
	Gone       bool // proved absent without a result
	Started    bool // first seen running
}

// taskListCache holds the encoded task list of a machine's last report: most
// reports repeat it and need not be decoded.
type taskListCache struct {
	lastTasks      []byte
	lastTasksToken uint64 // token in that report
	unchanged      bool   // the same list again has no effect and needs no command
}

// repeatsTasks reports whether a report's task list repeats one that has no effect.
func (c *taskListCache) repeatsTasks(report *wire.Heartbeat) bool {
	return c.unchanged && report.Token == c.lastTasksToken &&
		bytes.Equal(c.lastTasks, report.RawTasks) && len(report.RawTasks) > 0
}

// rememberTasks stores a report's task list. Unless steady is set, the same list
// is processed again.
func (c *taskListCache) rememberTasks(report *wire.Heartbeat, steady bool) {
	c.lastTasks, c.lastTasksToken = append(c.lastTasks[:0], report.RawTasks...), report.Token
	c.unchanged = steady
}

// Report processes a worker's report. viaHeartbeat distinguishes a heartbeat from
// the body of a response to a direct command or a probe: only a heartbeat proves
// that the response to an earlier heartbeat is void, since a worker has one
// heartbeat in flight and drops late responses. A report that is not newer than all
// before, or that may be a copy from a previous process, changes nothing and
// returns fresh=false.
//
// A copy of a report may arrive long after it was made. However late it is, it
// proves an end, a newer incarnation, and an absence under the conditions of
// handleAbsence. It cannot prove that the machine is up now: see Liveness.
func (f *Fleet) Report(now clock.Micros, report *wire.Heartbeat, viaHeartbeat bool) (events []Event, fresh bool) {
	machine := f.Ensure(report.Machine, now)
	if !machine.IsNewer(report.Incarnation, report.Sequence) || viaHeartbeat && machine.ambiguous(report) {
		return nil, false
	}
	f.Examined++
	f.Describe(machine, describe(report))
	update := reportUpdate{fleet: f, machine: machine, report: report, viaHeartbeat: viaHeartbeat, now: now,
		afterSilence: now-machine.LastHeartbeat > f.SilenceTimeout()}
	update.applyIncarnation()
	update.applyToken()
	update.applyPreemptionNotice()
	if viaHeartbeat {
		f.heartbeatReceived(machine, now)
	}
	if !update.unacknowledged && machine.repeatsTasks(report) {
		return update.events, true
	}
	if err := report.DecodeTasks(); err != nil {
		return update.events, true // an unreadable task list proves nothing
	}
	update.applyTasks()
	steady := update.applyAbsences()
	machine.rememberTasks(report, steady)
	if update.unacknowledged {
		f.notAcknowledged(machine)
	}
	return update.events, true
}

// reportUpdate is the state of one call of Report.
type reportUpdate struct {
	fleet        *Fleet
	machine      *Machine
	report       *wire.Heartbeat
	viaHeartbeat bool
	now          clock.Micros
	afterSilence bool // no heartbeat proved for SilenceTimeout that the machine was up

	unacknowledged bool // something sent to the machine has not taken effect
	events         []Event
}

// applyIncarnation ends the incarnations before the report's, and records the
// report's version.
func (r *reportUpdate) applyIncarnation() {
	machine := r.machine
	if r.report.Incarnation > machine.Incarnation {
		r.beginIncarnation()
	}
	// An adopted allocation may belong to an earlier incarnation even if the
	// machine's is not new. No copy from before the term shows a token of the term.
	if machine.mixedIncarnations && r.report.Token >= r.fleet.firstToken {
		machine.mixedIncarnations = false
		r.endEarlierIncarnations()
	}
	machine.Incarnation, machine.Sequence = r.report.Incarnation, r.report.Sequence
}

// beginIncarnation handles a new incarnation: the worker's lease has expired, and
// it has killed all tasks of earlier incarnations.
func (r *reportUpdate) beginIncarnation() {
	machine := r.machine
	// If the machine reported in time and was answered, either its process is new or
	// the responses did not arrive. This sign alone does not tell which, so one more is
	// needed.
	if machine.Reported && !machine.Suspect && r.viaHeartbeat && machine.Incarnation > 0 &&
		r.now-machine.LastHeartbeat < r.fleet.SilenceTimeout() {
		machine.Unacknowledged = max(machine.Unacknowledged, maxUnacknowledged-1)
	}
	r.endEarlierIncarnations()
	machine.extendLease(r.now + r.fleet.lease)
	machine.Images = map[string]bool{}
	machine.unchanged = false
}

// endEarlierIncarnations removes the allocations of incarnations before the report's.
func (r *reportUpdate) endEarlierIncarnations() {
	r.events = r.fleet.endIncarnationsBefore(r.events, r.machine, r.report.Incarnation, r.now)
}

// applyToken processes the highest token that the worker has seen. A higher one
// than before proves that a response or a command arrived.
func (r *reportUpdate) applyToken() {
	if r.viaHeartbeat {
		r.unacknowledged = r.machine.takeUnacknowledged(r.report)
	}
	if r.report.Token > r.machine.Token {
		r.machine.Token = r.report.Token
		r.fleet.Acknowledged(r.machine)
	}
}

// applyPreemptionNotice records whether the cloud is about to reclaim the machine.
func (r *reportUpdate) applyPreemptionNotice() {
	var preemptionAt clock.Micros
	if r.report.WarningS != nil {
		preemptionAt = r.now + clock.FromSeconds(*r.report.WarningS)
	}
	if (preemptionAt > 0) != (r.machine.PreemptionAt > 0) {
		r.fleet.MachineChanged(r.machine)
	}
	r.machine.PreemptionAt = preemptionAt
}

// applyTasks processes the task list.
func (r *reportUpdate) applyTasks() {
	machine := r.machine
	runningOrphans, imageCount := machine.runningOrphans, len(machine.Images)
	r.fleet.clearOrphans(machine)
	for i := range r.report.Tasks {
		r.fleet.Examined++
		r.applyTask(&r.report.Tasks[i])
	}
	if len(machine.Images) != imageCount || machine.runningOrphans != runningOrphans {
		r.fleet.MachineChanged(machine)
	}
}

// applyTask processes an entry of the task list: an allocation or an orphan.
func (r *reportUpdate) applyTask(task *wire.TaskReport) {
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
	if allocation.Status == "" && allocation.firstSentAt > 0 {
		r.fleet.Acknowledged(r.machine)
	}
	if task.Status == wire.TaskFlushing {
		allocation.reportedSaving(r.afterSilence, r.now)
		if allocation.Status != task.Status {
			r.fleet.MachineChanged(r.machine)
		}
	}
	allocation.Status = task.Status
	if task.Status != wire.TaskEnded {
		allocation.reservation.MarkRunning()
	}
	r.applyImage(allocation)
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

// applyImage records the image of a listed allocation; it is fully fetched once
// the task runs.
func (r *reportUpdate) applyImage(allocation *Allocation) {
	images := r.machine.Images
	fetched, known := images[allocation.Image]
	switch {
	case allocation.Status == wire.TaskRunning && !fetched:
		images[allocation.Image] = true
		r.fleet.MachineChanged(r.machine)
	case !known:
		images[allocation.Image] = false
	}
}

// applyAbsences examines all allocations after the task list was processed. It
// reports whether the same list again would have no effect and need no command.
func (r *reportUpdate) applyAbsences() (steady bool) {
	steady = len(r.machine.orphans) == 0
	r.machine.EachAllocation(func(allocation *Allocation) {
		r.fleet.Examined++
		// A higher token fences copies of a run, whether the attempt is listed or not.
		if allocation.unfencedToken > 0 && r.report.Token > allocation.unfencedToken {
			r.fleet.unfenced.fence(allocation)
		}
		listed := allocation.listed
		allocation.listed = false
		steady = steady && listed && allocation.steady()
		if !listed && allocation.Incarnation == r.report.Incarnation {
			r.handleAbsence(allocation)
		}
	})
	return steady
}

// handleAbsence handles an allocation of the report's incarnation that its task
// list lacks.
func (r *reportUpdate) handleAbsence(allocation *Allocation) {
	runSent := r.viaHeartbeat && allocation.sentBefore(r.report.Sequence)
	if runSent && allocation.Status == "" && allocation.Live() {
		r.unacknowledged = true
	}
	switch {
	case allocation.mayArrive(): // the absence proves nothing
	case allocation.Ended:
		if allocation.ResultDurable {
			r.fleet.Remove(allocation, r.now)
		}
	case r.provesGone(allocation):
		r.fleet.release(allocation, r.now)
		r.events = append(r.events, Event{Allocation: allocation, Gone: true})
	}
}

// provesGone reports whether a live allocation that the report does not list is
// gone, given that no direct command can start it any more. The response to a
// heartbeat is void once a later heartbeat has arrived.
func (r *reportUpdate) provesGone(allocation *Allocation) bool {
	if allocation.firstSentAt == 0 || !r.viaHeartbeat || r.report.Sequence <= allocation.heartbeatSequence {
		return false
	}
	// If the attempt was never listed, its run was lost: the next response carries
	// it again, unless the attempt is to be stopped.
	return allocation.Status != "" || allocation.Stopping
}
