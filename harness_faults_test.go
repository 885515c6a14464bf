package cedardoor

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"cedardoor/internal/standin"
)

// activeFault gives a trouble of a kind that goes on now.
func (w *simulation) activeFault(kind string) (fault, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.activeFaults {
		if x.kind == kind {
			return x, true
		}
	}
	return fault{}, false
}

// scheduleHas tells whether the schedule holds a kind of trouble.
func (w *simulation) scheduleHas(kinds ...string) bool {
	return slices.ContainsFunc(w.schedule.faults, func(x fault) bool { return slices.Contains(kinds, x.kind) })
}

// totalHoldTime is for how long messages are held, all in all.
func (w *simulation) totalHoldTime() (sum time.Duration) {
	for _, x := range w.schedule.faults {
		if slices.Contains([]string{zoneMessagesHeld, stateMessagesHeld, peerMessagesHeld, fleetMessagesHeld, workerMessagesHeld}, x.kind) {
			sum += x.duration
		}
	}
	return sum
}

// heldPairs lists the pairs of hosts whose messages a trouble holds.
func (w *simulation) heldPairs(x fault, name string, m *standin.Machine) (pairs [][2]string) {
	switch x.kind {
	case stateMessagesHeld:
		pairs = append(pairs, [2]string{name, "state"})
	case cloudMessagesHeld:
		pairs = append(pairs, [2]string{name, "cloud"})
	case peerMessagesHeld:
		for o := range 3 {
			if other := fmt.Sprintf("node-%d", o+1); other != name {
				pairs = append(pairs, [2]string{name, other})
			}
		}
	case fleetMessagesHeld:
		for _, m := range w.cloud.Machines() {
			pairs = append(pairs, [2]string{name, m.Host.UID})
		}
	case workerMessagesHeld:
		if m != nil && x.machine < 4 {
			pairs = append(pairs, [2]string{name, m.Host.UID})
		} else if m != nil { // it is held apart from every controller
			for o := range 3 {
				pairs = append(pairs, [2]string{fmt.Sprintf("node-%d", o+1), m.Host.UID})
			}
		}
	}
	return pairs
}

// injectFault begins a trouble and ends it.
func (w *simulation) injectFault(i int, x fault) {
	if x.controller == 3 {
		x.controller = w.leaderIndex()
	}
	w.logf("BEGINS %v", x)
	w.mu.Lock()
	w.activeFaults[i] = x
	w.mu.Unlock()
	name := fmt.Sprintf("node-%d", x.controller+1)
	var m *standin.Machine
	if all := w.cloud.Machines(); len(all) > 0 {
		m = all[x.machine%len(all)]
	}
	end := func() {}
	switch p := w.runningProcess(name); {
	case x.kind == stateRefusesNode:
		w.state.Refuse(name, true)
		end = func() { w.state.Refuse(name, false) }
	case x.kind == stateRefusesAll:
		w.state.Refuse("", true)
		end = func() { w.state.Refuse("", false) }
	case x.kind == machineHangs && m != nil && m.Up():
		w.mu.Lock()
		w.hangTimes[m] += x.duration
		w.mu.Unlock()
		m.Hang(true)
		end = func() { m.Hang(false) }
	case x.kind == machineReceivesNothing && m != nil:
		m.Deafen(true)
		end = func() { m.Deafen(false) }
	case x.kind == machineSendsNothing && m != nil:
		w.mu.Lock()
		w.unreachableFrom[m] = true
		w.mu.Unlock()
		end = func() { w.mu.Lock(); delete(w.unreachableFrom, m); w.mu.Unlock() }
	case x.kind == zoneIsolated:
		zone := controllerZones[x.machine%2]
		w.network.Isolate(zone, true)
		end = func() { w.network.Isolate(zone, false) }
	case x.kind == zoneMessagesHeld:
		zone := controllerZones[x.machine%len(controllerZones)]
		w.network.HoldZone(zone, x.direction, true)
		end = func() { w.network.HoldZone(zone, x.direction, false) }
	case slices.Contains([]string{stateMessagesHeld, peerMessagesHeld, fleetMessagesHeld, workerMessagesHeld, cloudMessagesHeld}, x.kind):
		apart := w.heldPairs(x, name, m)
		for _, c := range apart {
			w.network.Hold(c[0], c[1], x.direction, true)
		}
		end = func() {
			for _, c := range apart {
				w.network.Hold(c[0], c[1], x.direction, false)
			}
		}
	case x.kind == workerRestarts && m != nil:
		m.Restart()
		w.mu.Lock()
		delete(w.connections, m)
		w.mu.Unlock()
	case x.kind == machineFailsTasks && m != nil:
		w.mu.Lock()
		w.failingMachines[m] = true
		w.mu.Unlock()
	case (x.kind == spotReclaimedWithNotice || x.kind == spotReclaimed) && m != nil && m.Host.Preemptible:
		if x.kind == spotReclaimedWithNotice {
			m.Warn(x.duration)
			end = func() { w.cloud.Take(m) }
			break
		}
		w.cloud.Take(m)
	case x.kind == controllerKilled && p != nil:
		p.stop()
		end = func() { w.startController(x.controller) }
	case x.kind == controllerIsolated:
		// The schedule's setup has given each controller a zone of its own, by its name.
		w.network.Isolate(name, true)
		end = func() { w.network.Isolate(name, false) }
	case (x.kind == controllerCutFromPeers || x.kind == controllerCutFromState) && p != nil:
		var pairs [][2]string
		w.mu.Lock()
		for n := range w.processCount {
			from := fmt.Sprintf("%s/%d", name, n+1)
			if x.kind == controllerCutFromState {
				pairs = append(pairs, [2]string{from, "state:1"})
				continue
			}
			for o := range 3 {
				other := fmt.Sprintf("node-%d", o+1)
				if other != name {
					pairs = append(pairs, [2]string{from, other + ":90"}, [2]string{fmt.Sprintf("%s/%d", other, n+1), name + ":90"})
				}
			}
		}
		w.mu.Unlock()
		for _, c := range pairs {
			w.network.SetCut(c[0], c[1], true)
		}
		end = func() {
			for _, c := range pairs {
				w.network.SetCut(c[0], c[1], false)
			}
		}
	}
	key := fmt.Sprintf("%s %s", x.kind, name)
	switch {
	case slices.Contains(holdFaultKinds, x.kind):
		key = fmt.Sprintf("%s %d", x.kind, i) // each ends by itself
	case x.kind == stateRefusesAll:
		key = x.kind
	case x.kind == zoneIsolated:
		key = x.kind + " " + controllerZones[x.machine%2]
	case m != nil && slices.Contains([]string{machineHangs, machineReceivesNothing, machineSendsNothing}, x.kind):
		key = x.kind + " " + m.Host.UID
	}
	w.mu.Lock()
	w.faultCounts[key]++
	w.mu.Unlock()
	time.Sleep(x.duration)
	w.mu.Lock()
	delete(w.activeFaults, i)
	w.faultCounts[key]--
	last := w.faultCounts[key] == 0
	w.mu.Unlock()
	if last || x.kind == controllerKilled || x.kind == spotReclaimedWithNotice {
		end() // otherwise another of the kind goes on
	}
	w.logf("ENDS %s (%s)", x.kind, name)
}

// runAt runs look at a moment of a scene.
func (w *simulation) runAt(when float64, look func()) {
	w.wg.Go(func() {
		time.Sleep(time.Until(w.startedAt.Add(seconds(when))))
		if w.ctx.Err() == nil {
			look()
		}
	})
}

// crashLeaders ends whoever leads, or is about to, right before the n-th request to the state service that the
// controllers make from a moment on, and again as often, half a second after each end at the earliest.
func (w *simulation) crashLeaders(from time.Time, n, times int) {
	var mu sync.Mutex
	asked, next := 0, from
	w.state.Before(func(string) {
		mu.Lock()
		defer mu.Unlock()
		if times == 0 || time.Now().Before(next) {
			return
		}
		if asked++; asked < n {
			return
		}
		asked, times, next = 0, times-1, time.Now().Add(500*time.Millisecond)
		p := w.runningProcess(fmt.Sprintf("node-%d", w.leaderIndex()+1))
		if p == nil {
			return
		}
		w.logf("%s ends right before a request", p.name)
		p.stop()
		w.wg.Go(func() {
			time.Sleep(300 * time.Millisecond)
			if w.ctx.Err() == nil {
				w.startController(int(p.name[len(p.name)-1] - '1'))
			}
		})
	})
}
