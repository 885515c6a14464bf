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

// monitor checks the running tasks, and lets leases of the state service expire, until the
// simulation ends.
func (s *simulation) monitor() {
	for s.ctx.Err() == nil {
		time.Sleep(monitorInterval)
		s.state.Keys("lead")
		for uid, since := range s.overdueCancellations() {
			s.checkNotRunning(uid, since)
		}
	}
}

// checkNotRunning records a violation, once, for each task of a cancelled job that still runs.
func (s *simulation) checkNotRunning(uid string, cancelledAt time.Time) {
	for _, machine := range s.hostsOf(uid) {
		for _, task := range runningTasksOf(machine, uid) {
			s.mu.Lock()
			reported := s.observed.reportedLate[task]
			s.observed.reportedLate[task] = true
			s.mu.Unlock()
			if !reported {
				s.recordViolation("ran_cancelled", "%s is on %s %v after its user was told that it is cancelled", task, machine.Info.UID, time.Since(cancelledAt))
			}
		}
	}
}

// overdueCancellations returns the jobs whose tasks may no longer run, and when their users were
// told that they are cancelled.
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

// describeLeaderState describes the leader's state of a job and the machines, to explain a
// violation that was found without it.
func (s *simulation) describeLeaderState(uid string) string {
	leader := s.activeLeader()
	if leader == nil {
		return "nobody leads"
	}
	leader.mu.Lock()
	defer leader.mu.Unlock()
	spec, _ := s.Job(uid)
	text := fmt.Sprintf("%+v; leader %s; ", spec, leader.cfg.Node)
	if job := leader.jobs.Get(uid); job == nil {
		text += "job unknown; "
	} else {
		text += fmt.Sprintf("waiting %v of %d queued jobs; ", job.Waiting, leader.jobs.WaitingLen())
	}
	var record store.TokenRecord
	s.state.Value(store.KeyToken, &record)
	token, _ := leader.elector.HoldsLease()
	text += fmt.Sprintf("token %d, on record %d; ", token, record.Token)
	for _, machine := range leader.fleet.Machines() {
		text += fmt.Sprintf("\n%s %s %s cores %v quarantined %q cordoned %v usable %v sequence %d token %d unacknowledged %d;", machine.Name, machine.Type, machine.Zone,
			machine.UsedCores, machine.QuarantineReason, machine.Cordoned, machine.Usable(leader.clock.Now()), machine.Sequence, machine.Token, machine.Unacknowledged)
		machine.EachAllocation(func(allocation *fleet.Allocation) {
			text += fmt.Sprintf("\n  %v#%d %+v", allocation.Task, allocation.Attempt, *allocation)
		})
	}
	return text
}

// checkFinalState checks, after the fault-free tail, that every accepted job is known to all
// controllers and that no task waits that could run.
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
				s.recordViolation("forgotten", "%s: %d %+v from node %d after all faults", uid, code, status, controller+1)
			}
		}
	}
	for task, reasons := range s.lastingUnplacedTasks() {
		uid := jobOf(task)
		// Its user may have stopped polling before it was done.
		if _, status := s.request(0, http.MethodGet, jobPath(uid), uid, nil); status.Status != wire.JobDone {
			s.recordViolation("waits", "%s waits %v: %s", task, reasons, s.describeLeaderState(uid))
		}
	}
}

// lastingUnplacedTasks returns the unplaced tasks with the capacity that remains free for them for
// five seconds: capacity that has just become free may be allocated already, and a task that is
// being moved is not unplaced for long.
func (s *simulation) lastingUnplacedTasks() map[string][]string {
	lasting := s.unplacedTasks(false)
	for range 20 {
		time.Sleep(250 * time.Millisecond)
		now := s.unplacedTasks(false)
		for task, reasons := range lasting {
			reasons = slices.DeleteFunc(reasons, func(reason string) bool { return !slices.Contains(now[task], reason) })
			if len(reasons) == 0 {
				delete(lasting, task)
			} else {
				lasting[task] = reasons
			}
		}
	}
	return lasting
}

// maxGangWait is for how long no task of a same-zone or spread job may start that could have a
// machine: 90 s while a machine has capacity, less the time in which a machine boots.
const maxGangWait = 80 * time.Second

// placements is where tasks run at a moment.
type placements struct {
	machines []*standin.Machine
	placed   map[string]bool           // tasks
	cores    map[string]float64        // used, by team
	zones    map[string]map[string]int // how many tasks of a job run in each zone
}

// currentPlacements returns where tasks run now.
func (s *simulation) currentPlacements() placements {
	now := placements{machines: s.cloud.Machines(), placed: map[string]bool{}, cores: map[string]float64{}, zones: map[string]map[string]int{}}
	for _, machine := range now.machines {
		for _, task := range machine.RunningTasks() {
			now.placed[task] = true
			uid := jobOf(task)
			spec, _ := s.Job(uid)
			now.cores[spec.Team] += spec.Cores
			if now.zones[uid] == nil {
				now.zones[uid] = map[string]int{}
			}
			now.zones[uid][machine.Info.Zone]++
		}
	}
	return now
}

// unplacedTasks returns the tasks that run on no machine although their team's limit allows it and
// a machine has room for them, with all such machines. It includes tasks for which the cloud
// would rent a machine if countRentable is set, or if they belong to a same-zone or spread job
// of which nothing has started for maxGangWait. A task that was done on a machine that was lost with the result must
// run again, unless its job is done.
func (s *simulation) unplacedTasks(countRentable bool) map[string][]string {
	unplaced := map[string][]string{}
	now := s.currentPlacements()
	for _, submission := range s.schedule.submissions {
		spec := &submission.spec
		s.mu.Lock()
		view := *s.observed.views[spec.UID]
		allDone := s.observed.remainingTasks[spec.UID] == 0
		s.mu.Unlock()
		if !view.accepted || view.done || view.cancelled || view.cancelRequested || submission.alwaysFails {
			continue
		}
		if limit := s.teamLimit(spec.Team); limit > 0 && now.cores[spec.Team]+spec.Cores > limit {
			continue
		}
		waitsLong := (spec.SameZone || spec.Spread) && time.Since(view.lastProgress) > maxGangWait
		rentable := (countRentable || waitsLong) && len(now.machines) < s.cloud.MaxMachines
		for i := range spec.Tasks {
			task := fmt.Sprintf("%s/%d", spec.UID, i)
			s.mu.Lock()
			done := s.observed.doneTasks[task] && !allDone
			s.mu.Unlock()
			if done || now.placed[task] {
				continue
			}
			if rentable {
				unplaced[task] = append(unplaced[task], "though the cloud rents machines")
			}
			for _, machine := range now.machines {
				if s.hasRoomFor(machine, spec, now.zones[spec.UID]) {
					unplaced[task] = append(unplaced[task], "while "+machine.Info.UID+" has room")
				}
			}
		}
	}
	return unplaced
}

// hasRoomFor reports whether one more task of a job may run on a machine and has room there.
func (s *simulation) hasRoomFor(machine *standin.Machine, spec *wire.Spec, zones map[string]int) bool {
	info := machine.Info
	s.mu.Lock()
	failsTasks := s.injected.failsTasks[machine]
	s.mu.Unlock()
	switch {
	case failsTasks:
		return false
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

// checkAllServed fails the test unless every batch job is done and all replicas run, and no
// task of a cancelled job does.
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
			s.t.Errorf("%s is cancelled, and %d tasks run", submission.spec.UID, running)
		case !view.cancelled && submission.spec.Kind == wire.KindBatch && !view.done:
			s.t.Errorf("%s is not done", submission.spec.UID)
		case !view.cancelled && submission.spec.Kind == wire.KindService && running != submission.spec.Tasks:
			s.t.Errorf("%s has %d replicas, want %d", submission.spec.UID, running, submission.spec.Tasks)
		}
	}
}

// hasUnplacedTasks reports whether tasks of a job that its user knows to be accepted run on no
// machine.
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
