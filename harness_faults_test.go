package cedardoor

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"cedardoor/internal/standin"
)

// activeFault returns an active fault of the given kind, if there is one.
func (s *simulation) activeFault(kind faultKind) (scheduledFault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, fault := range s.injected.active {
		if fault.kind == kind {
			return fault, true
		}
	}
	return scheduledFault{}, false
}

// hasFault reports whether the schedule has a fault of any of the kinds.
func (s faultSchedule) hasFault(kinds ...faultKind) bool {
	return slices.ContainsFunc(s.faults, func(fault scheduledFault) bool { return slices.Contains(kinds, fault.kind) })
}

// totalHoldTime returns the total duration of all holds that may delay commands.
func (s faultSchedule) totalHoldTime() (sum time.Duration) {
	for _, fault := range s.faults {
		switch fault.kind {
		case zoneMessagesHeld, stateMessagesHeld, peerMessagesHeld, fleetMessagesHeld, workerMessagesHeld:
			sum += fault.duration
		}
	}
	return sum
}

// injectFault begins a fault, waits for its duration and ends it. The ID identifies it among the
// active faults.
func (s *simulation) injectFault(id int, fault scheduledFault) {
	if fault.controller == currentLeader {
		fault.controller = s.leaderIndex()
	}
	s.logf("BEGINS %v", fault)
	s.mu.Lock()
	s.injected.active[id] = fault
	s.mu.Unlock()
	controller := controllerName(fault.controller)
	var machine *standin.Machine
	if all := s.cloud.Machines(); len(all) > 0 {
		machine = all[fault.machine%len(all)]
	}
	end := s.beginFault(fault, controller, machine)
	key := faultKey(id, fault, controller, machine)
	s.mu.Lock()
	s.injected.counts[key]++
	s.mu.Unlock()
	time.Sleep(fault.duration)
	s.mu.Lock()
	delete(s.injected.active, id)
	s.injected.counts[key]--
	last := s.injected.counts[key] == 0
	s.mu.Unlock()
	if last || fault.kind == controllerKilled || fault.kind == spotReclaimedWithNotice {
		end() // otherwise another fault with the same effect is still active
	}
	s.logf("ENDS %s (%s)", fault.kind, controller)
}

// faultKey returns the key under which active faults with the same effect are counted. The effect
// ends when the last of them ends.
func faultKey(id int, fault scheduledFault, controller string, machine *standin.Machine) string {
	kind := string(fault.kind)
	switch {
	case slices.Contains(holdFaultKinds, fault.kind):
		return fmt.Sprintf("%s %d", kind, id) // each ends independently
	case fault.kind == stateRefusesAll:
		return kind
	case fault.kind == zoneIsolated:
		return kind + " " + isolatedZone(fault)
	case machine != nil && (fault.kind == machineHangs || fault.kind == machineReceivesNothing || fault.kind == machineSendsNothing):
		return kind + " " + machine.Info.UID
	}
	return kind + " " + controller
}

// isolatedZone returns the zone that a fault isolates, one of the two with machines.
func isolatedZone(fault scheduledFault) string { return controllerZones[fault.machine%2] }

// beginFault begins a fault and returns the function that ends it. It does nothing if the
// controller or machine does not exist. Faults that only delay, repeat or lose messages need no
// beginning either, since the senders of those messages check for active faults.
func (s *simulation) beginFault(fault scheduledFault, controller string, machine *standin.Machine) (end func()) {
	switch fault.kind {
	case stateRefusesNode:
		s.state.Refuse(controller, true)
		return func() { s.state.Refuse(controller, false) }
	case stateRefusesAll:
		s.state.Refuse("", true)
		return func() { s.state.Refuse("", false) }
	case stateLimitsLowered:
		s.logf("limits %+v", fault.limits)
		s.state.SetLimits(fault.limits)
	case controllerKilled:
		if process := s.runningProcess(controller); process != nil {
			process.stop()
			return func() { s.startController(fault.controller) }
		}
	case controllerIsolated:
		// The schedule's setup has placed each controller in a zone of its own name.
		s.network.Isolate(controller, true)
		return func() { s.network.Isolate(controller, false) }
	case controllerCutFromPeers, controllerCutFromState:
		if s.runningProcess(controller) != nil {
			return s.cutController(fault, controller)
		}
	case zoneIsolated:
		zone := isolatedZone(fault)
		s.network.Isolate(zone, true)
		return func() { s.network.Isolate(zone, false) }
	case zoneMessagesHeld:
		zone := controllerZones[fault.machine%len(controllerZones)]
		s.network.HoldZone(zone, fault.direction, true)
		return func() { s.network.HoldZone(zone, fault.direction, false) }
	case stateMessagesHeld, peerMessagesHeld, fleetMessagesHeld, workerMessagesHeld, cloudMessagesHeld:
		return s.holdMessages(fault, controller, machine)
	default:
		if machine != nil {
			return s.beginMachineFault(fault, machine)
		}
	}
	return func() {}
}

// beginMachineFault begins a fault of one machine and returns the function that ends it.
func (s *simulation) beginMachineFault(fault scheduledFault, machine *standin.Machine) (end func()) {
	switch fault.kind {
	case machineHangs:
		if machine.IsBooted() {
			s.mu.Lock()
			s.injected.hangTimes[machine] += fault.duration
			s.mu.Unlock()
			machine.SetHung(true)
			return func() { machine.SetHung(false) }
		}
	case machineReceivesNothing:
		machine.SetUnreachable(true)
		return func() { machine.SetUnreachable(false) }
	case machineSendsNothing:
		s.mu.Lock()
		s.injected.sendsNothing[machine] = true
		s.mu.Unlock()
		return func() {
			s.mu.Lock()
			delete(s.injected.sendsNothing, machine)
			s.mu.Unlock()
		}
	case machineFailsTasks:
		s.mu.Lock()
		s.injected.failsTasks[machine] = true
		s.mu.Unlock()
	case workerRestarts:
		machine.RestartWorker()
		s.mu.Lock()
		delete(s.connections, machine)
		s.mu.Unlock()
	case spotReclaimedWithNotice:
		if machine.Info.Preemptible {
			machine.GiveNotice(fault.duration)
			return func() { s.cloud.Reclaim(machine) }
		}
	case spotReclaimed:
		if machine.Info.Preemptible {
			s.cloud.Reclaim(machine)
		}
	}
	return func() {}
}

// cutController cuts all processes of a controller off from the state service or from the other
// controllers.
func (s *simulation) cutController(fault scheduledFault, controller string) (end func()) {
	var pairs [][2]string // from, to
	s.mu.Lock()
	for n := range s.processCount {
		from := processName(controller, n+1)
		if fault.kind == controllerCutFromState {
			pairs = append(pairs, [2]string{from, stateAddress})
			continue
		}
		for _, other := range controllerNames() {
			if other != controller {
				pairs = append(pairs, [2]string{from, peerAddress(other)}, [2]string{processName(other, n+1), peerAddress(controller)})
			}
		}
	}
	s.mu.Unlock()
	set := func(cut bool) {
		for _, pair := range pairs {
			s.network.SetCut(pair[0], pair[1], cut)
		}
	}
	set(true)
	return func() { set(false) }
}

// holdMessages holds the messages between the pairs of hosts that a fault affects.
func (s *simulation) holdMessages(fault scheduledFault, controller string, machine *standin.Machine) (end func()) {
	pairs := s.heldPairs(fault, controller, machine)
	set := func(held bool) {
		for _, pair := range pairs {
			s.network.Hold(pair[0], pair[1], fault.direction, held)
		}
	}
	set(true)
	return func() { set(false) }
}

// heldPairs returns the pairs of hosts between which a fault holds messages.
func (s *simulation) heldPairs(fault scheduledFault, controller string, machine *standin.Machine) (pairs [][2]string) {
	switch fault.kind {
	case stateMessagesHeld:
		pairs = append(pairs, [2]string{controller, "state"})
	case cloudMessagesHeld:
		pairs = append(pairs, [2]string{controller, "cloud"})
	case peerMessagesHeld:
		for _, other := range controllerNames() {
			if other != controller {
				pairs = append(pairs, [2]string{controller, other})
			}
		}
	case fleetMessagesHeld:
		for _, machine := range s.cloud.Machines() {
			pairs = append(pairs, [2]string{controller, machine.Info.UID})
		}
	case workerMessagesHeld:
		if machine != nil && fault.machine < 4 {
			pairs = append(pairs, [2]string{controller, machine.Info.UID})
		} else if machine != nil { // between the worker and every controller
			for _, other := range controllerNames() {
				pairs = append(pairs, [2]string{other, machine.Info.UID})
			}
		}
	}
	return pairs
}

// runAt calls check the given number of seconds after the start of the simulation.
func (s *simulation) runAt(atS float64, check func()) {
	s.wg.Go(func() {
		time.Sleep(time.Until(s.startedAt.Add(seconds(atS))))
		if s.ctx.Err() == nil {
			check()
		}
	})
}

// crashInterval is the minimum time between two crashes, and restartDelay the time after which a
// crashed controller restarts.
const (
	crashInterval = 500 * time.Millisecond
	restartDelay  = 300 * time.Millisecond
)

// crashLeaders crashes the controller that leads, or the first one if none does, right before the
// n-th request that the controllers make to the state service from the given time on. Each further
// crash, up to the given number, happens right before the n-th request after crashInterval.
func (s *simulation) crashLeaders(from time.Time, n, crashes int) {
	var mu sync.Mutex
	requests, next := 0, from
	s.state.BeforeRequest(func(string) {
		mu.Lock()
		defer mu.Unlock()
		if crashes == 0 || time.Now().Before(next) {
			return
		}
		if requests++; requests < n {
			return
		}
		requests, crashes, next = 0, crashes-1, time.Now().Add(crashInterval)
		leader := s.leaderIndex()
		process := s.runningProcess(controllerName(leader))
		if process == nil {
			return
		}
		s.logf("%s crashes right before a request", process.name)
		process.stop()
		s.wg.Go(func() {
			time.Sleep(restartDelay)
			if s.ctx.Err() == nil {
				s.startController(leader)
			}
		})
	})
}
