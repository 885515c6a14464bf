package cedardoor

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"cedardoor/internal/standin"
)

// activeFault gives a trouble of a kind that goes on now.
func (w *simulation) activeFault(kind string) (scheduledFault, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, fault := range w.injected.active {
		if fault.kind == kind {
			return fault, true
		}
	}
	return scheduledFault{}, false
}

// scheduleHas tells whether the schedule holds a kind of trouble.
func (w *simulation) scheduleHas(kinds ...string) bool {
	return slices.ContainsFunc(w.schedule.faults, func(fault scheduledFault) bool { return slices.Contains(kinds, fault.kind) })
}

// totalHoldTime is for how long messages are held, all in all.
func (w *simulation) totalHoldTime() (sum time.Duration) {
	for _, fault := range w.schedule.faults {
		if slices.Contains([]string{zoneMessagesHeld, stateMessagesHeld, peerMessagesHeld, fleetMessagesHeld, workerMessagesHeld}, fault.kind) {
			sum += fault.duration
		}
	}
	return sum
}

// heldPairs lists the pairs of hosts whose messages a trouble holds.
func (w *simulation) heldPairs(fault scheduledFault, name string, machine *standin.Machine) (pairs [][2]string) {
	switch fault.kind {
	case stateMessagesHeld:
		pairs = append(pairs, [2]string{name, "state"})
	case cloudMessagesHeld:
		pairs = append(pairs, [2]string{name, "cloud"})
	case peerMessagesHeld:
		for o := range 3 {
			if other := controllerName(o); other != name {
				pairs = append(pairs, [2]string{name, other})
			}
		}
	case fleetMessagesHeld:
		for _, machine := range w.cloud.Machines() {
			pairs = append(pairs, [2]string{name, machine.Info.UID})
		}
	case workerMessagesHeld:
		if machine != nil && fault.machine < 4 {
			pairs = append(pairs, [2]string{name, machine.Info.UID})
		} else if machine != nil { // it is held apart from every controller
			for o := range 3 {
				pairs = append(pairs, [2]string{controllerName(o), machine.Info.UID})
			}
		}
	}
	return pairs
}

// injectFault begins a trouble and ends it.
func (w *simulation) injectFault(i int, fault scheduledFault) {
	if fault.controller == 3 {
		fault.controller = w.leaderIndex()
	}
	w.logf("BEGINS %v", fault)
	w.mu.Lock()
	w.injected.active[i] = fault
	w.mu.Unlock()
	name := controllerName(fault.controller)
	var machine *standin.Machine
	if all := w.cloud.Machines(); len(all) > 0 {
		machine = all[fault.machine%len(all)]
	}
	end := func() {}
	switch process := w.runningProcess(name); {
	case fault.kind == stateRefusesNode:
		w.state.Refuse(name, true)
		end = func() { w.state.Refuse(name, false) }
	case fault.kind == stateRefusesAll:
		w.state.Refuse("", true)
		end = func() { w.state.Refuse("", false) }
	case fault.kind == machineHangs && machine != nil && machine.IsBooted():
		w.mu.Lock()
		w.injected.hangTimes[machine] += fault.duration
		w.mu.Unlock()
		machine.SetHung(true)
		end = func() { machine.SetHung(false) }
	case fault.kind == machineReceivesNothing && machine != nil:
		machine.SetUnreachable(true)
		end = func() { machine.SetUnreachable(false) }
	case fault.kind == machineSendsNothing && machine != nil:
		w.mu.Lock()
		w.injected.sendsNothing[machine] = true
		w.mu.Unlock()
		end = func() { w.mu.Lock(); delete(w.injected.sendsNothing, machine); w.mu.Unlock() }
	case fault.kind == zoneIsolated:
		zone := controllerZones[fault.machine%2]
		w.network.Isolate(zone, true)
		end = func() { w.network.Isolate(zone, false) }
	case fault.kind == zoneMessagesHeld:
		zone := controllerZones[fault.machine%len(controllerZones)]
		w.network.HoldZone(zone, fault.direction, true)
		end = func() { w.network.HoldZone(zone, fault.direction, false) }
	case slices.Contains([]string{stateMessagesHeld, peerMessagesHeld, fleetMessagesHeld, workerMessagesHeld, cloudMessagesHeld}, fault.kind):
		apart := w.heldPairs(fault, name, machine)
		for _, c := range apart {
			w.network.Hold(c[0], c[1], fault.direction, true)
		}
		end = func() {
			for _, c := range apart {
				w.network.Hold(c[0], c[1], fault.direction, false)
			}
		}
	case fault.kind == workerRestarts && machine != nil:
		machine.RestartWorker()
		w.mu.Lock()
		delete(w.connections, machine)
		w.mu.Unlock()
	case fault.kind == machineFailsTasks && machine != nil:
		w.mu.Lock()
		w.injected.failsTasks[machine] = true
		w.mu.Unlock()
	case (fault.kind == spotReclaimedWithNotice || fault.kind == spotReclaimed) && machine != nil && machine.Info.Preemptible:
		if fault.kind == spotReclaimedWithNotice {
			machine.GiveNotice(fault.duration)
			end = func() { w.cloud.Reclaim(machine) }
			break
		}
		w.cloud.Reclaim(machine)
	case fault.kind == controllerKilled && process != nil:
		process.stop()
		end = func() { w.startController(fault.controller) }
	case fault.kind == controllerIsolated:
		// The schedule's setup has given each controller a zone of its own, by its name.
		w.network.Isolate(name, true)
		end = func() { w.network.Isolate(name, false) }
	case (fault.kind == controllerCutFromPeers || fault.kind == controllerCutFromState) && process != nil:
		var pairs [][2]string
		w.mu.Lock()
		for n := range w.processCount {
			from := fmt.Sprintf("%s/%d", name, n+1)
			if fault.kind == controllerCutFromState {
				pairs = append(pairs, [2]string{from, "state:1"})
				continue
			}
			for o := range 3 {
				other := controllerName(o)
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
	key := fmt.Sprintf("%s %s", fault.kind, name)
	switch {
	case slices.Contains(holdFaultKinds, fault.kind):
		key = fmt.Sprintf("%s %d", fault.kind, i) // each ends by itself
	case fault.kind == stateRefusesAll:
		key = fault.kind
	case fault.kind == zoneIsolated:
		key = fault.kind + " " + controllerZones[fault.machine%2]
	case machine != nil && slices.Contains([]string{machineHangs, machineReceivesNothing, machineSendsNothing}, fault.kind):
		key = fault.kind + " " + machine.Info.UID
	}
	w.mu.Lock()
	w.injected.counts[key]++
	w.mu.Unlock()
	time.Sleep(fault.duration)
	w.mu.Lock()
	delete(w.injected.active, i)
	w.injected.counts[key]--
	last := w.injected.counts[key] == 0
	w.mu.Unlock()
	if last || fault.kind == controllerKilled || fault.kind == spotReclaimedWithNotice {
		end() // otherwise another of the kind goes on
	}
	w.logf("ENDS %s (%s)", fault.kind, name)
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
	w.state.BeforeRequest(func(string) {
		mu.Lock()
		defer mu.Unlock()
		if times == 0 || time.Now().Before(next) {
			return
		}
		if asked++; asked < n {
			return
		}
		asked, times, next = 0, times-1, time.Now().Add(500*time.Millisecond)
		process := w.runningProcess(controllerName(w.leaderIndex()))
		if process == nil {
			return
		}
		w.logf("%s ends right before a request", process.name)
		process.stop()
		w.wg.Go(func() {
			time.Sleep(300 * time.Millisecond)
			if w.ctx.Err() == nil {
				w.startController(int(process.name[len(process.name)-1] - '1'))
			}
		})
	})
}
