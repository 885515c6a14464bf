package cedardoor

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/wire"
)

// Job implements standin.Ledger.
func (w *simulation) Job(uid string) (wire.Spec, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	spec, ok := w.observed.specs[uid]
	return spec, ok
}

// RunTime implements standin.Ledger.
func (w *simulation) RunTime(piece string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.observed.doneTasks[piece] {
		return 0
	}
	uid, _, _ := strings.Cut(piece, "/")
	for _, submission := range w.schedule.submissions {
		if submission.spec.UID == uid {
			return submission.runTime
		}
	}
	return time.Second
}

// Completed implements standin.Ledger.
func (w *simulation) Completed(piece string) {
	w.logf("%s done", piece)
	uid, _, _ := strings.Cut(piece, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.observed.doneTasks[piece] {
		return
	}
	w.observed.doneTasks[piece] = true
	if w.observed.remainingTasks[uid]--; w.observed.remainingTasks[uid] == 0 {
		close(w.observed.allTasksDone[uid])
	}
}

// Accepted implements standin.Ledger.
func (w *simulation) Accepted(machine *standin.Machine, piece string) {
	uid, _, _ := strings.Cut(piece, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.observed.acceptedBy[uid] == nil {
		w.observed.acceptedBy[uid] = map[*standin.Machine]bool{}
	}
	w.observed.acceptedBy[uid][machine] = true
}

// Started implements standin.Ledger: a task's place, its team's limit and its
// user's cancel are checked at the moment of its start.
func (w *simulation) Started(machine *standin.Machine, piece string) {
	w.logf("%s starts on %s", piece, machine.Info.UID)
	uid, _, _ := strings.Cut(piece, "/")
	spec, _ := w.Job(uid)
	if spec.Zone != "" && spec.Zone != machine.Info.Zone || spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, machine.Info.Type) || !spec.Preemptible && machine.Info.Preemptible {
		w.recordViolation("wrong_place", "%s on %+v", piece, machine.Info)
	}
	w.mu.Lock()
	w.observed.views[uid].lastProgress = time.Now()
	w.observed.lastTeamStarts[spec.Team] = time.Now()
	if _, began := w.observed.firstStarts[piece]; !began {
		w.observed.firstStarts[piece] = time.Now()
	}
	w.mu.Unlock()
	zones := map[string]int{} // of this job's tasks
	for _, other := range w.hostsOf(uid) {
		for _, p := range liveTasks(other, uid) {
			zones[other.Info.Zone]++
			if p == piece && other != machine {
				w.recordViolation("ran_twice", "%s starts on %s while on %s", piece, machine.Info.UID, other.Info.UID)
			}
		}
	}
	if limit := w.teamLimit(spec.Team); limit > 0 {
		if used := w.teamCores(spec.Team); used > limit {
			w.recordViolation("quota", "%s: team uses %v of %v as %s starts", spec.Team, used, limit, piece)
		}
	}
	if spec.SameZone && len(zones) > 1 {
		w.recordViolation("wrong_place", "%s starts in %s, its job is to be in one zone: %v", piece, machine.Info.Zone, zones)
	}
	if spec.Spread && zones[machine.Info.Zone] > (spec.Tasks+1)/2 {
		w.recordViolation("wrong_place", "%s starts in %s, its job of %d is to be apart: %v", piece, machine.Info.Zone, spec.Tasks, zones)
	}
	w.mu.Lock()
	view := *w.observed.views[uid]
	hung := w.injected.hangTimes[machine]
	w.mu.Unlock()
	if !view.cancelled {
		return
	}
	span := maxCommandDelay + hung
	for _, fault := range w.schedule.faults {
		if fault.kind == commandsDelayed || fault.kind == commandsRepeated {
			span = max(span, maxCommandDelay+hung+fault.delay)
		}
	}
	// A leader that is cut from the state service or the others can't hear of a
	// cancel, and may answer heartbeats with the run again while its lease lasts.
	if w.scheduleHas(controllerCutFromState, controllerCutFromPeers, zoneIsolated) {
		span = max(span, w.schedule.timing.lease)
	}
	// A command that is held runs late, and a leader that is held apart from all
	// that could tell it of a cancel gives commands on while its lease lasts.
	if w.schedule.buffersMessages {
		span = max(span, min(w.schedule.timing.cancel, w.schedule.timing.lease+maxCommandDelay+hung+w.totalHoldTime()))
	}
	if late := time.Since(view.cancelledAt); late > span {
		w.recordViolation("ran_cancelled", "%s starts %v after its user was told that it is cancelled (allowed: %v)", piece, late, span)
	}
}

// Fails implements standin.Ledger.
func (w *simulation) Fails(machine *standin.Machine, piece string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	uid, _, _ := strings.Cut(piece, "/")
	return w.injected.failsTasks[machine] || slices.ContainsFunc(w.schedule.submissions, func(submission scheduledSubmission) bool { return submission.alwaysFails && submission.spec.UID == uid })
}

// tightLimit is the limit of the team that has one.
const tightLimit = 6.0

// teamLimit is a team's, or 0.
func (w *simulation) teamLimit(team string) float64 {
	if team == "tight" {
		return tightLimit
	}
	return w.schedule.limits[team]
}

// hostsOf lists the machines that ever took a task of a job: no other can have one.
// Those that are gone have none either.
func (w *simulation) hostsOf(uid string) []*standin.Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.observed.acceptedBy[uid]))
}

// liveTasks lists a job's tasks that are on a machine.
func liveTasks(machine *standin.Machine, uid string) []string {
	return slices.DeleteFunc(machine.RunningTasks(), func(p string) bool { return !strings.HasPrefix(p, uid+"/") })
}

// tasksByZone counts the tasks of a job that are on machines, by zone.
func (w *simulation) tasksByZone(uid string) map[string]int {
	zones := map[string]int{}
	for _, machine := range w.hostsOf(uid) {
		if n := len(liveTasks(machine, uid)); n > 0 {
			zones[machine.Info.Zone] += n
		}
	}
	return zones
}

// teamCores is how many cores a team's tasks take.
func (w *simulation) teamCores(team string) (cores float64) {
	for _, submission := range w.schedule.submissions {
		if submission.spec.Team != team {
			continue
		}
		for _, n := range w.tasksByZone(submission.spec.UID) {
			cores += float64(n) * submission.spec.Cores
		}
	}
	return cores
}

// replicaCounts counts the replicas that run, and those that there should be.
func (w *simulation) replicaCounts() (run, want int) {
	for _, submission := range w.schedule.submissions {
		if submission.spec.Kind != wire.KindService {
			continue
		}
		want += submission.spec.Tasks
		for _, n := range w.tasksByZone(submission.spec.UID) {
			run += n
		}
	}
	return run, want
}

// bootedMachines is how many machines have booted.
func (w *simulation) bootedMachines() (n int) {
	for _, machine := range w.cloud.Machines() {
		if machine.IsBooted() {
			n++
		}
	}
	return n
}
