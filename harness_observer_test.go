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
func (w *world) Job(uid string) (wire.Spec, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sp, ok := w.specs[uid]
	return sp, ok
}

// RunTime implements standin.Ledger.
func (w *world) RunTime(piece string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done[piece] {
		return 0
	}
	uid, _, _ := strings.Cut(piece, "/")
	for _, u := range w.s.users {
		if u.spec.UID == uid {
			return u.runs
		}
	}
	return time.Second
}

// Completed implements standin.Ledger.
func (w *world) Completed(piece string) {
	w.note("%s done", piece)
	uid, _, _ := strings.Cut(piece, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done[piece] {
		return
	}
	w.done[piece] = true
	if w.left[uid]--; w.left[uid] == 0 {
		close(w.ended[uid])
	}
}

// Accepted implements standin.Ledger.
func (w *world) Accepted(m *standin.Machine, piece string) {
	uid, _, _ := strings.Cut(piece, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.takers[uid] == nil {
		w.takers[uid] = map[*standin.Machine]bool{}
	}
	w.takers[uid][m] = true
}

// Started implements standin.Ledger: a task's place, its team's limit and its
// user's cancel are checked at the moment of its start.
func (w *world) Started(m *standin.Machine, piece string) {
	w.note("%s starts on %s", piece, m.Host.UID)
	uid, _, _ := strings.Cut(piece, "/")
	sp, _ := w.Job(uid)
	if sp.Zone != "" && sp.Zone != m.Host.Zone || sp.MachineTypes != nil && !slices.Contains(sp.MachineTypes, m.Host.Type) || !sp.Preemptible && m.Host.Preemptible {
		w.breach("wrong_place", "%s on %+v", piece, m.Host)
	}
	w.mu.Lock()
	w.facts[uid].moved = time.Now()
	w.starts[sp.Team] = time.Now()
	if _, began := w.first[piece]; !began {
		w.first[piece] = time.Now()
	}
	w.mu.Unlock()
	zones := map[string]int{} // of this job's tasks
	for _, other := range w.holders(uid) {
		for _, p := range liveOf(other, uid) {
			zones[other.Host.Zone]++
			if p == piece && other != m {
				w.breach("ran_twice", "%s starts on %s while on %s", piece, m.Host.UID, other.Host.UID)
			}
		}
	}
	if limit := w.limit(sp.Team); limit > 0 {
		if used := w.used(sp.Team); used > limit {
			w.breach("quota", "%s: team uses %v of %v as %s starts", sp.Team, used, limit, piece)
		}
	}
	if sp.SameZone && len(zones) > 1 {
		w.breach("wrong_place", "%s starts in %s, its job is to be in one zone: %v", piece, m.Host.Zone, zones)
	}
	if sp.Spread && zones[m.Host.Zone] > (sp.Tasks+1)/2 {
		w.breach("wrong_place", "%s starts in %s, its job of %d is to be apart: %v", piece, m.Host.Zone, sp.Tasks, zones)
	}
	w.mu.Lock()
	f := *w.facts[uid]
	hung := w.hangs[m]
	w.mu.Unlock()
	if !f.cancelled {
		return
	}
	span := commandSpan + hung
	for _, x := range w.s.troubles {
		if x.kind == holdCommand || x.kind == repeatCommand {
			span = max(span, commandSpan+hung+x.by)
		}
	}
	// A leader that is cut from the state service or the others can't hear of a
	// cancel, and may answer heartbeats with the run again while its lease lasts.
	if w.had(cutState, cutPeers, cutZone) {
		span = max(span, w.s.timing.lease)
	}
	// A command that is held runs late, and a leader that is held apart from all
	// that could tell it of a cancel gives commands on while its lease lasts.
	if w.s.holds {
		span = max(span, min(w.s.timing.cancel, w.s.timing.lease+commandSpan+hung+w.heldFor()))
	}
	if late := time.Since(f.cancelledAt); late > span {
		w.breach("ran_cancelled", "%s starts %v after its user was told that it is cancelled (allowed: %v)", piece, late, span)
	}
}

// Fails implements standin.Ledger.
func (w *world) Fails(m *standin.Machine, piece string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	uid, _, _ := strings.Cut(piece, "/")
	return w.faulty[m] || slices.ContainsFunc(w.s.users, func(u submission) bool { return u.fails && u.spec.UID == uid })
}

// tightLimit is the limit of the team that has one.
const tightLimit = 6.0

// limit is a team's, or 0.
func (w *world) limit(team string) float64 {
	if team == "tight" {
		return tightLimit
	}
	return w.s.limits[team]
}

// holders lists the machines that ever took a task of a job: no other can have one.
// Those that are gone have none either.
func (w *world) holders(uid string) []*standin.Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.takers[uid]))
}

// liveOf lists a job's tasks that are on a machine.
func liveOf(m *standin.Machine, uid string) []string {
	return slices.DeleteFunc(m.Live(), func(p string) bool { return !strings.HasPrefix(p, uid+"/") })
}

// on counts the tasks of a job that are on machines, by zone.
func (w *world) on(uid string) map[string]int {
	zones := map[string]int{}
	for _, m := range w.holders(uid) {
		if n := len(liveOf(m, uid)); n > 0 {
			zones[m.Host.Zone] += n
		}
	}
	return zones
}

// used is how many cores a team's tasks take.
func (w *world) used(team string) (cores float64) {
	for _, u := range w.s.users {
		if u.spec.Team != team {
			continue
		}
		for _, n := range w.on(u.spec.UID) {
			cores += float64(n) * u.spec.Cores
		}
	}
	return cores
}

// replicas counts the replicas that run, and those that there should be.
func (w *world) replicas() (run, want int) {
	for _, u := range w.s.users {
		if u.spec.Kind != wire.KindService {
			continue
		}
		want += u.spec.Tasks
		for _, n := range w.on(u.spec.UID) {
			run += n
		}
	}
	return run, want
}

// up is how many machines have booted.
func (w *world) up() (n int) {
	for _, m := range w.cloud.Machines() {
		if m.Up() {
			n++
		}
	}
	return n
}
