package detector

import (
	"slices"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/wire"
)

// BeginProbe records the start of a probe, which the caller sends. It returns false if the machine
// is being probed already or cannot be, or if too many probes are in flight.
func (d *Detector) BeginProbe(machine *fleet.Machine) bool {
	if machine.Probing || machine.Endpoint == "" || machine.Returning || d.openProbes >= d.MaxProbes {
		return false
	}
	machine.Probing = true
	d.openProbes++
	return true
}

// EndProbe records the end of a probe.
func (d *Detector) EndProbe(machine *fleet.Machine) {
	machine.Probing = false
	d.openProbes--
}

// ProbeUnanswered counts a probe without a response, unless the machine reports, trusted or not
// yet: in that case only the probe was lost.
func (d *Detector) ProbeUnanswered(machine *fleet.Machine, now clock.Micros) {
	reports := now-machine.LastHeartbeat < d.ReportInterval || !machine.Reported && now-machine.AnsweredAt < d.ReportInterval
	if reports && !machine.Suspect {
		return
	}
	if machine.UnansweredProbes++; machine.UnansweredProbes >= UnreachableAfterProbes {
		d.unreachable[machine] = true
	}
}

// StaleProbeDue reports whether to probe a worker whose report is older than the newest known one,
// at most once per report interval. Only the response distinguishes a late copy from a new process
// whose report versions start over.
func (d *Detector) StaleProbeDue(machine *fleet.Machine, now clock.Micros) bool {
	if at, probed := d.staleReportProbedAt[machine.Name]; probed && now-at < d.ReportInterval {
		return false
	}
	if len(d.staleReportProbedAt) > maxRememberedProbes {
		clear(d.staleReportProbedAt)
	}
	d.staleReportProbedAt[machine.Name] = now
	return true
}

// ProbeUnconfirmed calls probe for the machines that are still untrusted confirmAfter after their
// first report.
func (d *Detector) ProbeUnconfirmed(now clock.Micros, probe func(machine *fleet.Machine)) {
	for len(d.unconfirmed) > 0 && now-d.unconfirmed[0].reportedAt >= confirmAfter && d.openProbes < d.MaxProbes {
		machine := d.unconfirmed[0].machine
		d.unconfirmed = d.unconfirmed[1:]
		if !machine.Reported && d.Fleet.Machine(machine.Name) == machine {
			probe(machine)
		}
	}
}

const (
	// probeSlack is how much longer than five quarters of a report interval, the time by which the
	// next report is due, a machine may be silent before it is probed.
	probeSlack = 300 * clock.Millisecond
	// faultyLimitFloor and faultyLimitDivisor bound how many machines may be at fault at once.
	faultyLimitFloor   = 2
	faultyLimitDivisor = 5
)

// withinFaultyLimit reports whether the given number of machines may themselves be at fault. If
// more seem to be, the fault is more likely this controller's network, and no machine is given up.
func (d *Detector) withinFaultyLimit(machines int) bool {
	return machines <= max(faultyLimitFloor, d.Fleet.Len()/faultyLimitDivisor)
}

// SilentCheck is the result of CheckSilent.
type SilentCheck struct {
	Unreachable      []string // silent machines with replicas that answered no probe, marked as being returned
	NotAcknowledging []string // machines on which no command takes effect, marked as being returned
}

// CheckSilent probes the silent machines that hold replicas. One that does not answer is to be
// returned to the cloud: the cloud's confirmation proves the replicas gone, so that they start
// elsewhere long before the machine's lease would have expired. Machines that do not acknowledge
// commands are returned too: they keep reporting, and each response may have extended their lease,
// so its end would be put off forever.
func (d *Detector) CheckSilent(now clock.Micros, probe func(machine *fleet.Machine)) (check SilentCheck) {
	silent := d.silentMachines(now)
	if d.withinFaultyLimit(len(silent)) && now-d.lastHeartbeat < d.ReportInterval {
		for _, machine := range silent {
			if jobs.HoldsReplica(machine) {
				probe(machine)
			}
		}
		check.Unreachable = d.returnUnreachable(silent)
	}
	if d.notAcknowledging > 0 && d.withinFaultyLimit(d.notAcknowledging) {
		check.NotAcknowledging = d.returnNotAcknowledging()
	}
	return check
}

// SilentCheckDue reports whether silent machines are to be checked now, at most once in
// CheckInterval.
func (d *Detector) SilentCheckDue(now clock.Micros) bool {
	if now-d.silentCheckedAt < CheckInterval || !d.observedLongEnough(now) {
		return false
	}
	d.silentCheckedAt = now
	return true
}

// RecheckSilent makes the next check of silent machines due at once.
func (d *Detector) RecheckSilent() { d.silentCheckedAt = 0 }

// silentMachines returns the machines that are silent and may still hold tasks.
func (d *Detector) silentMachines(now clock.Micros) (silent []*fleet.Machine) {
	for _, machine := range d.Fleet.SilentMachines(now, d.maxReportInterval()+probeSlack) {
		if !machine.Returning && !machine.LeaseExpired(now) {
			silent = append(silent, machine)
		}
	}
	// Machines recorded by a predecessor and silent since: with frequent changes of leader, each
	// leader would wait out a whole lease again. Booting machines hold nothing and are not silent;
	// counting them once kept a hung one from being returned.
	if now-d.TermStart <= fleet.RediscoveryTimeout(d.ReportInterval) {
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

// returnUnreachable marks machines that answered no probe as being returned, up to the limit of one
// request. Those in a zone that is silent as a whole are left alone: the zone is cut off, its
// replicas run until their leases expire, and new machines take longer to boot than that.
func (d *Detector) returnUnreachable(silent []*fleet.Machine) (names []string) {
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

// unreachableZones returns the zones that are silent as a whole.
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

// returnNotAcknowledging marks machines that do not acknowledge commands as being returned, up to
// the limit of one request.
func (d *Detector) returnNotAcknowledging() (names []string) {
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
