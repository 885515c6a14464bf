package autoscaler

import (
	"cedardoor/clock"
	"cedardoor/cloud"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/wire"
)

// fleetView is the fleet as a pass sees it.
type fleetView struct {
	machines     []cloud.Machine
	toReturn     []string       // machines that are given up
	silentByZone map[string]int // machines that are silent
	knownByZone  map[string]int // machines that report or are silent
}

// viewFleet looks at every machine, and marks those that are to be returned.
func (a *Autoscaler) viewFleet(v View) fleetView {
	view := fleetView{silentByZone: map[string]int{}, knownByZone: map[string]int{}}
	overdue := a.Overdue(v)
	for _, machine := range a.Fleet.Machines() {
		if machine.Type == "" || !machine.Reported && machine.ListedAt == 0 && machine.AllocationCount() == 0 {
			continue // nothing but an old report may speak of it
		}
		seen := a.viewMachine(v, machine)
		seen.Lost = a.isLost(v, machine) || overdue.Replace[machine.Name]
		view.machines = append(view.machines, seen)
		if a.isSilent(v, machine) {
			view.silentByZone[machine.Zone]++
			view.knownByZone[machine.Zone]++
		} else if machine.Reported {
			view.knownByZone[machine.Zone]++
		}
		if machine.Returning || overdue.Return[machine.Name] || a.isDead(v, machine) || isFaulty(machine) && seen.Tasks == 0 {
			if !machine.Returning {
				machine.Returning = true
				a.Fleet.MachineChanged(machine)
			}
			view.toReturn = append(view.toReturn, machine.Name)
		}
	}
	return view
}

// viewMachine is a machine as the sizing sees it.
func (a *Autoscaler) viewMachine(v View, machine *fleet.Machine) cloud.Machine {
	seen := cloud.Machine{Name: machine.Name, Type: machine.Type, Zone: machine.Zone, Preemptible: machine.Preemptible, Up: machine.Reported,
		Cordoned: machine.Cordoned, UsedCores: machine.UsedCores}
	machine.EachAllocation(func(allocation *fleet.Allocation) {
		if !allocation.Live() {
			return
		}
		seen.Tasks++
		if job := jobs.Of(allocation); job != nil && job.IsService() {
			seen.Replicas++
		}
		if !allocation.Preemptible {
			seen.OnDemandCores += allocation.Cores
		}
	})
	if machine.Usable(v.Now) {
		seen.Free.Cores, seen.Free.Accelerators, seen.Free.RAM = machine.Free()
	} else if machineType, known := a.Fleet.MachineType(machine.Type); known && !seen.Up {
		seen.Free = capacity(machineType)
	}
	seen.Tasks += machine.RunningOrphans()
	if machine.IdleSince > 0 && machine.RunningOrphans() == 0 {
		seen.Idle = v.Now - machine.IdleSince
	}
	return seen
}

// capacity is what an empty machine of a type holds.
func capacity(machineType wire.MachineType) cloud.Load {
	return cloud.Load{Cores: machineType.Cores, RAM: machineType.RAM, Accelerators: machineType.Accelerators}
}

func (a *Autoscaler) reportInterval() clock.Micros {
	return clock.FromSeconds(a.Facts.Workers.ReportS)
}

// silentTimeout is how long a machine may be silent before it is given up.
func (a *Autoscaler) silentTimeout() clock.Micros {
	return clock.FromSeconds(a.Operator.Fleet.SilentS)
}

// isUnresponsive tells whether a machine that was up is silent, or was and is not trusted again.
func isUnresponsive(machine *fleet.Machine) bool {
	return machine.Reported && (machine.Unresponsive || machine.Suspect)
}

// isLost tells whether a machine counts for nothing. What was up and has been silent for two
// reports is replaced at once: a machine takes longer to boot than a lease to run out.
func (a *Autoscaler) isLost(v View, machine *fleet.Machine) bool {
	switch {
	case machine.QuarantineReason != "", machine.Returning, machine.CloudStatus == wire.MachineFailed, isUnresponsive(machine):
		return true
	case machine.Reported:
		return false
	case machine.ListedAt > 0 && machine.CloudStatus != wire.MachineBooting && v.Now-machine.FirstSeen > a.silentTimeout():
		return true
	}
	return v.Awaited.IsAwaited(machine) && v.Now-a.Since > fleet.RediscoveryTimeout(a.reportInterval()) && !v.Reconnecting
}

// isSilent tells whether a machine that should report does not.
func (a *Autoscaler) isSilent(v View, machine *fleet.Machine) bool {
	return v.Awaited.IsAwaited(machine) && !machine.Reported && v.Now-a.Since > 2*a.reportInterval() || isUnresponsive(machine)
}

// isDead tells whether a machine has failed, or has been silent for so long that it is given up.
func (a *Autoscaler) isDead(v View, machine *fleet.Machine) bool {
	switch {
	case machine.CloudStatus == wire.MachineFailed:
		return true
	case machine.Reported:
		return v.Now-max(machine.LastHeartbeat, v.RunningSince) > a.silentTimeout()
	}
	return machine.CloudStatus == wire.MachineRunning && v.Now-max(machine.FirstSeen, a.Since, v.RunningSince) > a.silentTimeout()
}

// isFaulty tells whether a machine is returned as soon as it is empty.
func isFaulty(machine *fleet.Machine) bool {
	return machine.QuarantineReason == fleet.QuarantineFailing || machine.QuarantineReason == fleet.QuarantineSlow
}
