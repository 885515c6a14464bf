package cedardoor

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"cedardoor/fleet"
	"cedardoor/internal/standin"
	"cedardoor/store"
	"cedardoor/wire"
)

// logf adds an entry to the history, which is logged when the test fails.
func (s *simulation) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, fmt.Sprintf("%8.3f ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// recordViolation records that a rule of the protocol was violated.
func (s *simulation) recordViolation(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	s.logf("VIOLATION %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("at %.3f s ", time.Since(s.startedAt).Seconds())+text)
}

// monitorInterval is how often a simulation checks the running tasks.
const monitorInterval = 100 * time.Millisecond

// monitor checks periodically for running tasks of cancelled jobs until the simulation ends.
// Listing keys makes the state service expire the leases that are due.
func (s *simulation) monitor() {
	for s.ctx.Err() == nil {
		time.Sleep(monitorInterval)
		s.state.Keys("lead")
		for uid, since := range s.overdueCancellations() {
			s.checkNotRunning(uid, since)
		}
	}
}

// checkNotRunning records one violation for each task of a cancelled job that is still running.
func (s *simulation) checkNotRunning(uid string, cancelledAt time.Time) {
	for _, machine := range s.hostsOf(uid) {
		for _, task := range runningTasksOf(machine, uid) {
			s.mu.Lock()
			reported := s.observed.violationRecorded[task]
			s.observed.violationRecorded[task] = true
			s.mu.Unlock()
			if !reported {
				s.recordViolation("ran_after_cancel", "%s runs on %s %v after its cancellation was confirmed", task, machine.Info.UID, time.Since(cancelledAt))
			}
		}
	}
}

// overdueCancellations returns the cancelled jobs whose tasks may no longer run, with the time at
// which the cancellation was confirmed to the user.
func (s *simulation) overdueCancellations() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	overdue := map[string]time.Time{}
	for uid, view := range s.observed.views {
		if view.cancelled && time.Since(view.cancelledAt) > s.schedule.timing.cancel {
			overdue[uid] = view.cancelledAt
		}
	}
	return overdue
}

// describeLeaderState describes the leader's state of a job and of all machines, to explain a
// violation that was found without that state.
func (s *simulation) describeLeaderState(uid string) string {
	leader := s.activeLeader()
	if leader == nil {
		return "no controller leads"
	}
	leader.mu.Lock()
	defer leader.mu.Unlock()
	spec, _ := s.Job(uid)
	text := fmt.Sprintf("%+v; leader %s; ", spec, leader.cfg.Node)
	if job := leader.jobs.Get(uid); job == nil {
		text += "job unknown; "
	} else {
		ready, backingOff := job.CountWaiting(leader.clock.Now())
		text += fmt.Sprintf("waiting %v (%d ready, %d backing off, on trial %t) of %d queued jobs; ", job.Waiting, ready, backingOff,
			job.Failures.OnTrial(), leader.jobs.WaitingLen())
		for _, chunk := range job.Record.Chunks {
			text += fmt.Sprintf("chunk %+v; ", *chunk)
		}
	}
	text += fmt.Sprintf("to be recorded %+v; ", leader.writer.Backlog())
	var record store.TokenRecord
	s.state.Value(store.KeyToken, &record)
	token, _ := leader.elector.HoldsLease()
	text += fmt.Sprintf("token %d, recorded token %d; ", token, record.Token)
	text += fmt.Sprintf("reserved %v;", leader.planInput.Reservations())
	for _, machine := range leader.fleet.Machines() {
		text += fmt.Sprintf("\n%s %s %s cores %v quarantined %q cordoned %v usable %v sequence %d token %d unacknowledged %d;", machine.Name, machine.Type, machine.Zone,
			machine.UsedCores, machine.QuarantineReason, machine.Cordoned, machine.Usable(leader.clock.Now()), machine.Sequence, machine.Token, machine.Unacknowledged)
		machine.EachAllocation(func(allocation *fleet.Allocation) {
			text += fmt.Sprintf("\n  %v#%d %+v", allocation.Task, allocation.Attempt, *allocation)
		})
	}
	return text
}

// checkFinalState checks, after the fault-free tail, that all controllers know every accepted job
// and that no task is unplaced that could run.
func (s *simulation) checkFinalState() {
	for _, submission := range s.schedule.submissions {
		uid := submission.spec.UID
		s.mu.Lock()
		view := *s.observed.views[uid]
		s.mu.Unlock()
		if !view.accepted {
			continue
		}
		for controller := range controllerCount {
			if code, status := s.request(controller, http.MethodGet, jobPath(uid), uid, nil); code != http.StatusOK {
				s.recordViolation("lost_job", "%s: status code %d, %+v from node %d after all faults", uid, code, status, controller+1)
			}
		}
	}
	for task, reasons := range s.lastingUnplacedTasks() {
		uid := jobOf(task)
		// The job may have completed after its user stopped polling.
		if _, status := s.request(0, http.MethodGet, jobPath(uid), uid, nil); status.Status != wire.JobDone {
			s.recordViolation("unplaced", "%s is unplaced %v: %s", task, reasons, s.describeLeaderState(uid))
		}
	}
}

// lastingUnplacedTasks returns the tasks that stay unplaced for five seconds while the same
// capacity remains free for them, with that capacity. Shorter periods are no violation: capacity
// that was just freed may already be allocated, and a task that is being moved is unplaced for a
// moment.
func (s *simulation) lastingUnplacedTasks() map[string][]string {
	lasting := s.unplacedTasks(false)
	for range 20 {
		time.Sleep(250 * time.Millisecond)
		unplaced := s.unplacedTasks(false)
		for task, reasons := range lasting {
			reasons = slices.DeleteFunc(reasons, func(reason string) bool { return !slices.Contains(unplaced[task], reason) })
			if len(reasons) == 0 {
				delete(lasting, task)
			} else {
				lasting[task] = reasons
			}
		}
	}
	return lasting
}

// maxConstrainedWait is how long a same-zone or spread job may go without a start although the cloud
// could rent a machine for it: 90 s while a machine has capacity, minus the boot time of a machine.
const maxConstrainedWait = 80 * time.Second

// placements is a snapshot of where tasks run.
type placements struct {
	machines []*standin.Machine
	running  map[string]bool           // the running tasks
	cores    map[string]float64        // in use, by team
	zones    map[string]map[string]int // number of running tasks, by job and zone
}

// currentPlacements returns a snapshot of where tasks run now.
func (s *simulation) currentPlacements() placements {
	current := placements{machines: s.cloud.Machines(), running: map[string]bool{}, cores: map[string]float64{}, zones: map[string]map[string]int{}}
	for _, machine := range current.machines {
		for _, task := range machine.RunningTasks() {
			current.running[task] = true
			uid := jobOf(task)
			spec, _ := s.Job(uid)
			current.cores[spec.Team] += spec.Cores
			if current.zones[uid] == nil {
				current.zones[uid] = map[string]int{}
			}
			current.zones[uid][machine.Info.Zone]++
		}
	}
	return current
}

// unplacedTasks returns the tasks that do not run although their team's limit allows it and a
// machine has room for them, with one reason for each such machine. Machines that the cloud could
// still rent count if countRentable is set, or if the task belongs to a same-zone or spread job
// that has made no progress for maxConstrainedWait. A completed task is skipped while others of its
// job remain. If all have completed and the job is not done, results were lost with their machines
// and those tasks must run again.
func (s *simulation) unplacedTasks(countRentable bool) map[string][]string {
	unplaced := map[string][]string{}
	current, capacitySince := s.currentPlacements(), s.cloud.CapacitySince()
	for _, submission := range s.schedule.submissions {
		spec := &submission.spec
		s.mu.Lock()
		view := *s.observed.views[spec.UID]
		allDone := s.observed.remainingTasks[spec.UID] == 0
		s.mu.Unlock()
		if !view.accepted || view.done || view.cancelled || view.cancelRequested || submission.alwaysFails {
			continue
		}
		if limit := s.teamLimit(spec.Team); limit > 0 && current.cores[spec.Team]+spec.Cores > limit {
			continue
		}
		// A full cloud can't rent a machine, so the wait counts from the time when it could.
		waitsLong := (spec.SameZone || spec.Spread) && time.Since(latest(view.lastProgress, capacitySince)) > maxConstrainedWait
		rentable := (countRentable || waitsLong) && len(current.machines) < s.cloud.MaxMachines
		for i := range spec.Tasks {
			task := fmt.Sprintf("%s/%d", spec.UID, i)
			s.mu.Lock()
			done := s.observed.doneTasks[task] && !allDone
			s.mu.Unlock()
			if done || current.running[task] {
				continue
			}
			if rentable {
				unplaced[task] = append(unplaced[task], "although the cloud could rent a machine")
			}
			for _, machine := range current.machines {
				if s.hasRoomFor(machine, spec, current.zones[spec.UID]) {
					unplaced[task] = append(unplaced[task], "while "+machine.Info.UID+" has room")
				}
			}
		}
	}
	return unplaced
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hasRoomFor reports whether a machine satisfies a job's constraints and has room for one more of
// its tasks; zones holds the number of the job's running tasks by zone. It returns false for a
// machine that fails all tasks or on which a task saves.
func (s *simulation) hasRoomFor(machine *standin.Machine, spec *wire.Spec, zones map[string]int) bool {
	info := machine.Info
	s.mu.Lock()
	failsTasks := s.injected.failsTasks[machine]
	s.mu.Unlock()
	switch {
	case failsTasks:
		return false
	case machine.IsSaving():
		return false // its capacity may be reserved for the task that the saving one makes room for
	case spec.SameZone && len(zones) > 0 && zones[info.Zone] == 0:
		return false
	case spec.Spread && zones[info.Zone] >= (spec.Tasks+1)/2:
		return false
	case spec.Zone != "" && spec.Zone != info.Zone:
		return false
	case spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, info.Type):
		return false
	case !spec.Preemptible && info.Preemptible:
		return false
	}
	return machine.HasRoom(spec)
}

// checkAllServed fails the test unless every batch job is done, all replicas run, and no task of a
// cancelled job runs.
func (s *simulation) checkAllServed() {
	for _, submission := range s.schedule.submissions {
		s.mu.Lock()
		view := *s.observed.views[submission.spec.UID]
		s.mu.Unlock()
		running := 0
		for _, n := range s.tasksByZone(submission.spec.UID) {
			running += n
		}
		switch {
		case view.cancelled && running > 0:
			s.t.Errorf("%s is cancelled, but %d tasks run", submission.spec.UID, running)
		case !view.cancelled && submission.spec.Kind == wire.KindBatch && !view.done:
			s.t.Errorf("%s is not done", submission.spec.UID)
		case !view.cancelled && submission.spec.Kind == wire.KindService && running != submission.spec.Tasks:
			s.t.Errorf("%s has %d replicas, want %d", submission.spec.UID, running, submission.spec.Tasks)
		}
	}
}

// hasUnplacedTasks reports whether an accepted job has remaining tasks that do not run, unless it
// is done or its cancellation was requested.
func (s *simulation) hasUnplacedTasks(uid string) bool {
	running := 0
	for _, n := range s.tasksByZone(uid) {
		running += n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.observed.views[uid]
	return view.accepted && !view.cancelRequested && !view.done && s.observed.remainingTasks[uid] > running
}
