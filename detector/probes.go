package detector

import (
	"slices"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/wire"
)

// BeginProbe notes that a worker is to be asked for its report, unless it is already, can't be or
// too many are. The caller sends the probe.
func (d *Detector) BeginProbe(machine *fleet.Machine) bool {
	if machine.Probing || machine.Endpoint == "" || machine.Returning || d.openProbes >= d.MaxProbes {
		return false
	}
	machine.Probing = true
	d.openProbes++
	return true
}

// EndProbe notes that a probe has ended.
func (d *Detector) EndProbe(machine *fleet.Machine) {
	machine.Probing = false
	d.openProbes--
}

// ProbeUnanswered counts a probe that got no answer, unless the machine reports, trusted or not
// yet: then only the probe was lost.
func (d *Detector) ProbeUnanswered(machine *fleet.Machine, now clock.Micros) {
	reports := now-machine.LastHeartbeat < d.ReportInterval || !machine.Reported && now-machine.AnsweredAt < d.ReportInterval
	if reports && !machine.Suspect {
		return
	}
	if machine.UnansweredProbes++; machine.UnansweredProbes >= UnreachableAfterProbes {
		d.unreachable[machine] = true
	}
}

// StaleReport tells whether a worker whose report is older than what is known of it is to be
// probed, which it is now and then: only its answer tells a late copy from a new process that
// counts from the start again.
func (d *Detector) StaleReport(machine *fleet.Machine, now clock.Micros) bool {
	if at, probed := d.staleReportProbedAt[machine.Name]; probed && now-at < d.ReportInterval {
		return false
	}
	if len(d.staleReportProbedAt) > maxRememberedProbes {
		clear(d.staleReportProbedAt)
	}
	d.staleReportProbedAt[machine.Name] = now
	return true
}

// Confirm calls probe for the workers that have not shown the token they were told.
func (d *Detector) Confirm(now clock.Micros, probe func(machine *fleet.Machine)) {
	for len(d.unconfirmed) > 0 && now-d.unconfirmed[0].reportedAt >= confirmAfter && d.openProbes < d.MaxProbes {
		machine := d.unconfirmed[0].machine
		d.unconfirmed = d.unconfirmed[1:]
		if !machine.Reported && d.Fleet.Machine(machine.Name) == machine {
			probe(machine)
		}
	}
}

const (
	// probeSlack is how much longer than five quarters of a report interval a machine may be
	// silent before it is probed: that is by when the next report comes.
	probeSlack = 300 * clock.Millisecond
	// minPlausible and plausiblePart bound how many machines may be at fault at once.
	minPlausible  = 2
	plausiblePart = 5
)

// plausible tells whether so many machines may be at fault themselves: when many seem to be at
// once, the fault is rather this controller's network, and no machine is given up for it.
func (d *Detector) plausible(machines int) bool {
	return machines <= max(minPlausible, d.Fleet.Len()/plausiblePart)
}

// SilentCheck is what follows from a look at the silent machines.
type SilentCheck struct {
	Unreachable      []string // silent machines with replicas that answered no probe, marked as being returned
	NotAcknowledging []string // machines that no command takes effect on, marked as being returned
}

// CheckSilent asks workers that have gone silent for a sign of life, now and then. A machine with
// replicas that gives none is to be returned to the cloud: its answer proves the replicas gone, so
// that they start elsewhere long before the machine's lease would have run out. Machines that do
// not acknowledge commands are returned too: their reports go on, so that counting what their lease
// might have been extended to would never end.
func (d *Detector) CheckSilent(now clock.Micros, probe func(machine *fleet.Machine)) (check SilentCheck) {
	silent := d.silentMachines(now)
	if d.plausible(len(silent)) && now-d.lastHeartbeat < d.ReportInterval {
		for _, machine := range silent {
			if jobs.HoldsReplica(machine) {
				probe(machine)
			}
		}
		check.Unreachable = d.takeUnreachable(silent)
	}
	if d.notAcknowledging > 0 && d.plausible(d.notAcknowledging) {
		check.NotAcknowledging = d.takeNotAcknowledging()
	}
	return check
}

// SilentCheckDue tells whether silent machines are to be looked at now.
func (d *Detector) SilentCheckDue(now clock.Micros) bool {
	if now-d.probesStartedAt < CheckInterval || !d.listensLongEnough(now) {
		return false
	}
	d.probesStartedAt = now
	return true
}

// RecheckSilent makes the next look at silent machines due at once.
func (d *Detector) RecheckSilent() { d.probesStartedAt = 0 }

// silentMachines lists the machines that are silent, and may hold something.
func (d *Detector) silentMachines(now clock.Micros) (silent []*fleet.Machine) {
	for _, machine := range d.Fleet.SilentMachines(now, d.nextReport()+probeSlack) {
		if !machine.Returning && !machine.LeaseExpired(now) {
			silent = append(silent, machine)
		}
	}
	// Recorded by a predecessor, and silent since: with leaders changing, each would wait out a
	// whole lease anew. Machines that boot hold nothing and are not silent; counting them once
	// kept a hung one from being returned.
	if now-d.Since <= fleet.RediscoveryTimeout(d.ReportInterval) {
		return silent
	}
	for machine := range d.awaited {
		if machine.Reported || machine.AllocationCount() == 0 || d.Fleet.Machine(machine.Name) != machine {
			delete(d.awaited, machine)
		} else if machine.Endpoint != "" && !machine.Returning && !machine.LeaseExpired(now) {
			silent = append(silent, machine)
		}
	}
	return silent
}

// takeUnreachable marks the machines as being returned that gave no answer, as many as one request
// may hold. Those of a zone that is silent as a whole are left alone: it is cut off, its replicas
// run on until their leases end, and new machines take longer to boot than that.
func (d *Detector) takeUnreachable(silent []*fleet.Machine) (names []string) {
	if len(d.unreachable) == 0 {
		return nil
	}
	zones := d.unreachableZones(silent)
	for machine := range d.unreachable {
		switch {
		case d.Fleet.Machine(machine.Name) != machine || machine.Returning || machine.UnansweredProbes < UnreachableAfterProbes || !jobs.HoldsReplica(machine):
			delete(d.unreachable, machine)
		case zones[machine.Zone] && machine.Reported:
		case len(names) < wire.MaxReturnPerRequest:
			d.markReturning(machine)
			delete(d.unreachable, machine)
			names = append(names, machine.Name)
		}
	}
	slices.Sort(names)
	return names
}

// unreachableZones names the zones that are silent as a whole.
func (d *Detector) unreachableZones(silent []*fleet.Machine) map[string]bool {
	silentByZone, knownByZone := map[string]int{}, map[string]int{}
	for _, machine := range silent {
		silentByZone[machine.Zone]++
	}
	d.Fleet.EachMachine(func(machine *fleet.Machine) {
		if machine.Reported || d.awaited[machine] {
			knownByZone[machine.Zone]++
		}
	})
	return fleet.UnreachableZones(silentByZone, knownByZone)
}

// takeNotAcknowledging marks the machines as being returned that do not acknowledge commands, as
// many as one request may hold.
func (d *Detector) takeNotAcknowledging() (names []string) {
	d.Fleet.EachMachine(func(machine *fleet.Machine) {
		if machine.QuarantineReason == fleet.QuarantineNotAcknowledging && !machine.Returning && len(names) < wire.MaxReturnPerRequest {
			d.markReturning(machine)
			names = append(names, machine.Name)
		}
	})
	return names
}

func (d *Detector) markReturning(machine *fleet.Machine) {
	machine.Returning = true
	d.Fleet.MachineChanged(machine)
}
