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
	sp, ok := w.specs[uid]
	return sp, ok
}

// RunTime implements standin.Ledger.
func (w *simulation) RunTime(piece string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.doneTasks[piece] {
		return 0
	}
	uid, _, _ := strings.Cut(piece, "/")
	for _, u := range w.schedule.submissions {
		if u.spec.UID == uid {
			return u.runTime
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
	if w.doneTasks[piece] {
		return
	}
	w.doneTasks[piece] = true
	if w.remainingTasks[uid]--; w.remainingTasks[uid] == 0 {
		close(w.allTasksDone[uid])
	}
}

// Accepted implements standin.Ledger.
func (w *simulation) Accepted(m *standin.Machine, piece string) {
	uid, _, _ := strings.Cut(piece, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.acceptedBy[uid] == nil {
		w.acceptedBy[uid] = map[*standin.Machine]bool{}
	}
	w.acceptedBy[uid][m] = true
}

// Started implements standin.Ledger: a task's place, its team's limit and its
// user's cancel are checked at the moment of its start.
func (w *simulation) Started(m *standin.Machine, piece string) {
	w.logf("%s starts on %s", piece, m.Host.UID)
	uid, _, _ := strings.Cut(piece, "/")
	sp, _ := w.Job(uid)
	if sp.Zone != "" && sp.Zone != m.Host.Zone || sp.MachineTypes != nil && !slices.Contains(sp.MachineTypes, m.Host.Type) || !sp.Preemptible && m.Host.Preemptible {
		w.recordViolation("wrong_place", "%s on %+v", piece, m.Host)
	}
	w.mu.Lock()
	w.views[uid].lastProgress = time.Now()
	w.lastTeamStarts[sp.Team] = time.Now()
	if _, began := w.firstStarts[piece]; !began {
		w.firstStarts[piece] = time.Now()
	}
	w.mu.Unlock()
	zones := map[string]int{} // of this job's tasks
	for _, other := range w.hostsOf(uid) {
		for _, p := range liveTasks(other, uid) {
			zones[other.Host.Zone]++
			if p == piece && other != m {
				w.recordViolation("ran_twice", "%s starts on %s while on %s", piece, m.Host.UID, other.Host.UID)
			}
		}
	}
	if limit := w.teamLimit(sp.Team); limit > 0 {
		if used := w.teamCores(sp.Team); used > limit {
			w.recordViolation("quota", "%s: team uses %v of %v as %s starts", sp.Team, used, limit, piece)
		}
	}
	if sp.SameZone && len(zones) > 1 {
		w.recordViolation("wrong_place", "%s starts in %s, its job is to be in one zone: %v", piece, m.Host.Zone, zones)
	}
	if sp.Spread && zones[m.Host.Zone] > (sp.Tasks+1)/2 {
		w.recordViolation("wrong_place", "%s starts in %s, its job of %d is to be apart: %v", piece, m.Host.Zone, sp.Tasks, zones)
	}
	w.mu.Lock()
	f := *w.views[uid]
	hung := w.hangTimes[m]
	w.mu.Unlock()
	if !f.cancelled {
		return
	}
	span := maxCommandDelay + hung
	for _, x := range w.schedule.faults {
		if x.kind == commandsDelayed || x.kind == commandsRepeated {
			span = max(span, maxCommandDelay+hung+x.delay)
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
	if late := time.Since(f.cancelledAt); late > span {
		w.recordViolation("ran_cancelled", "%s starts %v after its user was told that it is cancelled (allowed: %v)", piece, late, span)
	}
}

// Fails implements standin.Ledger.
func (w *simulation) Fails(m *standin.Machine, piece string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	uid, _, _ := strings.Cut(piece, "/")
	return w.failingMachines[m] || slices.ContainsFunc(w.schedule.submissions, func(u submission) bool { return u.alwaysFails && u.spec.UID == uid })
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
	return slices.Collect(maps.Keys(w.acceptedBy[uid]))
}

// liveTasks lists a job's tasks that are on a machine.
func liveTasks(m *standin.Machine, uid string) []string {
	return slices.DeleteFunc(m.Live(), func(p string) bool { return !strings.HasPrefix(p, uid+"/") })
}

// tasksByZone counts the tasks of a job that are on machines, by zone.
func (w *simulation) tasksByZone(uid string) map[string]int {
	zones := map[string]int{}
	for _, m := range w.hostsOf(uid) {
		if n := len(liveTasks(m, uid)); n > 0 {
			zones[m.Host.Zone] += n
		}
	}
	return zones
}

// teamCores is how many cores a team's tasks take.
func (w *simulation) teamCores(team string) (cores float64) {
	for _, u := range w.schedule.submissions {
		if u.spec.Team != team {
			continue
		}
		for _, n := range w.tasksByZone(u.spec.UID) {
			cores += float64(n) * u.spec.Cores
		}
	}
	return cores
}

// replicaCounts counts the replicas that run, and those that there should be.
func (w *simulation) replicaCounts() (run, want int) {
	for _, u := range w.schedule.submissions {
		if u.spec.Kind != wire.KindService {
			continue
		}
		want += u.spec.Tasks
		for _, n := range w.tasksByZone(u.spec.UID) {
			run += n
		}
	}
	return run, want
}

// bootedMachines is how many machines have booted.
func (w *simulation) bootedMachines() (n int) {
	for _, m := range w.cloud.Machines() {
		if m.Up() {
			n++
		}
	}
	return n
}
