package cedardoor

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"cedardoor/fleet"
	"cedardoor/planinput"
	"cedardoor/store"
	"cedardoor/wire"
)

func (w *simulation) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, fmt.Sprintf("%8.3f ", time.Since(w.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

func (w *simulation) recordViolation(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.logf("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf("at %.3f s ", time.Since(w.startedAt).Seconds())+text)
}

// monitor looks at the machines, and lets holds of the state service lapse, all the time.
func (w *simulation) monitor() {
	for w.ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		w.state.Keys("lead")
		for uid, since := range w.overdueCancellations() {
			for _, machine := range w.hostsOf(uid) {
				for _, p := range liveTasks(machine, uid) {
					w.mu.Lock()
					told := w.observed.reportedLate[p]
					w.observed.reportedLate[p] = true
					w.mu.Unlock()
					if !told {
						w.recordViolation("ran_cancelled", "%s is on %s %v after its user was told that it is cancelled", p, machine.Info.UID, time.Since(since))
					}
				}
			}
		}
	}
}

// overdueCancellations lists the jobs whose users were told longer than the allowed time ago that
// they are cancelled, with when that was.
func (w *simulation) overdueCancellations() map[string]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]time.Time{}
	for uid, view := range w.observed.views {
		if view.cancelled && time.Since(view.cancelledAt) > w.schedule.timing.cancel {
			out[uid] = view.cancelledAt
		}
	}
	return out
}

// describeLeaderState tells what the leader thinks of a job and the machines, to explain a
// breach that was found without it.
func (w *simulation) describeLeaderState(uid string) string {
	process := w.runningProcess(controllerName(w.leaderIndex()))
	if process == nil {
		return "nobody leads"
	}
	leader := process.current.Load()
	if leader == nil {
		return "nobody leads"
	}
	leader.mu.Lock()
	defer leader.mu.Unlock()
	spec, _ := w.Job(uid)
	text := fmt.Sprintf("%+v; leader %s; ", spec, process.name)
	if job := leader.jobs.Get(uid); job == nil {
		text += "job unknown; "
	} else {
		text += fmt.Sprintf("waiting %v of %d queued jobs; ", job.Waiting, leader.jobs.WaitingLen())
	}
	record, token := store.TokenRecord{}, uint64(0)
	w.state.Value(store.KeyToken, &record)
	token, _ = leader.elector.HoldsLease()
	text += fmt.Sprintf("token %d, on record %d; ", token, record.Token)
	for _, machine := range leader.fleet.Machines() {
		text += fmt.Sprintf("\n%s %s %s cores %v banned %q cordoned %v usable %v tally %d token %d unheard %d;", machine.Name, machine.Type, machine.Zone, machine.UsedCores, machine.QuarantineReason, machine.Cordoned,
			planinput.Usable(machine, leader.clock.Now()), machine.Sequence, machine.Token, machine.Unacknowledged)
		machine.EachAllocation(func(allocation *fleet.Allocation) {
			text += fmt.Sprintf("\n  %v#%d %+v", allocation.Task, allocation.Attempt, *allocation)
		})
	}
	return text
}

// checkFinalState looks at what is left when all has been quiet for a while.
func (w *simulation) checkFinalState() {
	for _, submission := range w.schedule.submissions {
		uid := submission.spec.UID
		w.mu.Lock()
		view := *w.observed.views[uid]
		w.mu.Unlock()
		if !view.accepted {
			continue
		}
		for n := range 3 {
			if status, v := w.request(n, http.MethodGet, wire.PathJobs+"/"+uid, uid, nil); status != http.StatusOK {
				w.recordViolation("forgotten", "%s: %d %+v from node %d after all troubles", uid, status, v, n+1)
			}
		}
	}
	// What came free a moment ago is on its way to somebody, and a task that is being
	// moved does not wait: what counts is the same room for the same task, all the time.
	still := w.unplacedTasks(false)
	for range 20 {
		time.Sleep(250 * time.Millisecond)
		now := w.unplacedTasks(false)
		for p, why := range still {
			if why = slices.DeleteFunc(why, func(x string) bool { return !slices.Contains(now[p], x) }); len(why) == 0 {
				delete(still, p)
			} else {
				still[p] = why
			}
		}
	}
	for p, why := range still {
		uid, _, _ := strings.Cut(p, "/")
		// Its user may have stopped asking before it was done.
		if _, status := w.request(0, http.MethodGet, wire.PathJobs+"/"+uid, uid, nil); status.Status != wire.JobDone {
			w.recordViolation("waits", "%s waits %v: %s", p, why, w.describeLeaderState(uid))
		}
	}
}

// maxGangWait is how long no task of a job may begin that could have a machine: the
// rules give it 90 s while a machine has room, and one for it takes some to boot.
const maxGangWait = 80 * time.Second

// unplacedTasks names the tasks that are on no machine though one has room for them
// and their team's limit allows it, with all such room; with rent also those for which the cloud would
// rent one, and without it those of a job that is to be in one zone or apart of which
// nothing has begun for long, too. A task that was done on a machine that was lost
// with the result must run again, unless its job is called done.
func (w *simulation) unplacedTasks(rent bool) map[string][]string {
	out := map[string][]string{}
	on := map[string]bool{}
	used := map[string]float64{}
	zones := map[string]map[string]int{} // of each job's tasks
	all := w.cloud.Machines()
	for _, machine := range all {
		for _, p := range machine.RunningTasks() {
			on[p] = true
			uid, _, _ := strings.Cut(p, "/")
			spec, _ := w.Job(uid)
			used[spec.Team] += spec.Cores
			if zones[uid] == nil {
				zones[uid] = map[string]int{}
			}
			zones[uid][machine.Info.Zone]++
		}
	}
	for _, submission := range w.schedule.submissions {
		spec := &submission.spec
		w.mu.Lock()
		view := *w.observed.views[spec.UID]
		over := w.observed.remainingTasks[spec.UID] == 0
		w.mu.Unlock()
		if limit := w.teamLimit(spec.Team); !view.accepted || view.done || view.cancelled || view.cancelRequested || submission.alwaysFails || limit > 0 && used[spec.Team]+spec.Cores > limit {
			continue
		}
		for i := range spec.Tasks {
			p := fmt.Sprintf("%s/%d", spec.UID, i)
			w.mu.Lock()
			done := w.observed.doneTasks[p] && !over
			w.mu.Unlock()
			if done || on[p] {
				continue
			}
			if (rent || (spec.SameZone || spec.Spread) && time.Since(view.lastProgress) > maxGangWait) && len(all) < w.cloud.MaxMachines {
				out[p] = append(out[p], "though the cloud rents machines")
			}
			for _, machine := range all {
				host := machine.Info
				w.mu.Lock()
				faulty := w.injected.failsTasks[machine]
				w.mu.Unlock()
				z := zones[spec.UID]
				if spec.SameZone && len(z) > 0 && z[host.Zone] == 0 || spec.Spread && z[host.Zone] >= (spec.Tasks+1)/2 {
					continue
				}
				if !faulty && (spec.Zone == "" || spec.Zone == host.Zone) && (spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, host.Type)) &&
					(spec.Preemptible || !host.Preemptible) && machine.HasRoom(spec) {
					out[p] = append(out[p], "while "+host.UID+" has room")
				}
			}
		}
	}
	return out
}

// checkAllServed fails the test unless every batch job is done and all replicas run, but
// for what was cancelled.
func (w *simulation) checkAllServed() {
	for _, submission := range w.schedule.submissions {
		w.mu.Lock()
		view := *w.observed.views[submission.spec.UID]
		w.mu.Unlock()
		running := 0
		for _, n := range w.tasksByZone(submission.spec.UID) {
			running += n
		}
		switch {
		case view.cancelled && running > 0:
			w.t.Errorf("%s is cancelled, and %d tasks run", submission.spec.UID, running)
		case !view.cancelled && submission.spec.Kind == wire.KindBatch && !view.done:
			w.t.Errorf("%s is not done", submission.spec.UID)
		case !view.cancelled && submission.spec.Kind == wire.KindService && running != submission.spec.Tasks:
			w.t.Errorf("%s has %d replicas, want %d", submission.spec.UID, running, submission.spec.Tasks)
		}
	}
}

// hasUnplacedTasks tells whether tasks of a job that its user knows to be accepted are on no machine.
func (w *simulation) hasUnplacedTasks(uid string) bool {
	running := 0
	for _, n := range w.tasksByZone(uid) {
		running += n
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	view := w.observed.views[uid]
	return view.accepted && !view.cancelRequested && !view.done && w.observed.remainingTasks[uid] > running
}
