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
	toReturn     []string       // names of machines to return
	silentByZone map[string]int // number of silent machines
	knownByZone  map[string]int // number of machines that report or are silent
}

// newFleetView builds the view of the fleet, and marks the machines to return.
func (a *Autoscaler) newFleetView(v View) fleetView {
	view := fleetView{silentByZone: map[string]int{}, knownByZone: map[string]int{}}
	overdue := a.Overdue(v)
	for _, machine := range a.Fleet.Machines() {
		if machine.Type == "" || !machine.Reported && machine.ListedAt == 0 && machine.AllocationCount() == 0 {
			continue // known only from a heartbeat that may be stale
		}
		snapshot := a.viewMachine(v, machine)
		snapshot.Lost = a.isLost(v, machine) || overdue.Replace[machine.Name]
		view.machines = append(view.machines, snapshot)
		if a.isSilent(v, machine) {
			view.silentByZone[machine.Zone]++
			view.knownByZone[machine.Zone]++
		} else if machine.Reported {
			view.knownByZone[machine.Zone]++
		}
		if machine.Returning || overdue.Return[machine.Name] || a.isDead(v, machine) || isFaulty(machine) && snapshot.Tasks == 0 {
			if !machine.Returning {
				machine.Returning = true
				a.Fleet.MachineChanged(machine)
			}
			view.toReturn = append(view.toReturn, machine.Name)
		}
	}
	return view
}

// viewMachine returns a machine in the form that cloud.Resize takes. It leaves Lost unset.
func (a *Autoscaler) viewMachine(v View, machine *fleet.Machine) cloud.Machine {
	snapshot := cloud.Machine{Name: machine.Name, Type: machine.Type, Zone: machine.Zone, Preemptible: machine.Preemptible, Up: machine.Reported,
		Cordoned: machine.Cordoned, UsedCores: machine.UsedCores}
	machine.EachAllocation(func(allocation *fleet.Allocation) {
		if !allocation.Live() {
			return
		}
		snapshot.Tasks++
		if job := jobs.Of(allocation); job != nil && job.IsService() {
			snapshot.Replicas++
		}
		if !allocation.Preemptible {
			snapshot.OnDemandCores += allocation.Cores
		}
	})
	if machine.Usable(v.Now) {
		snapshot.Free.Cores, snapshot.Free.Accelerators, snapshot.Free.RAM = machine.Free()
	} else if machineType, known := a.Fleet.MachineType(machine.Type); known && !snapshot.Up {
		snapshot.Free = capacity(machineType)
	}
	snapshot.Tasks += machine.RunningOrphans()
	if machine.IdleSince > 0 && machine.RunningOrphans() == 0 {
		snapshot.Idle = v.Now - machine.IdleSince
	}
	return snapshot
}

// capacity returns the resources of a machine type.
func capacity(machineType wire.MachineType) cloud.Load {
	return cloud.Load{Cores: machineType.Cores, RAM: machineType.RAM, Accelerators: machineType.Accelerators}
}

func (a *Autoscaler) reportInterval() clock.Micros {
	return clock.FromSeconds(a.Facts.Workers.ReportS)
}

// silentTimeout returns how long a machine may be silent before it is returned.
func (a *Autoscaler) silentTimeout() clock.Micros {
	return clock.FromSeconds(a.Operator.Fleet.SilentS)
}

// isUnresponsive reports whether a machine that was up is silent, or was silent and is not trusted
// again yet.
func isUnresponsive(machine *fleet.Machine) bool {
	return machine.Reported && (machine.Unresponsive || machine.Suspect)
}

// isLost reports whether a machine does not count as capacity. A machine that was up and has been
// silent for two report intervals is replaced at once, since booting takes longer than its lease takes
// to expire.
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

// isSilent reports whether a machine that should report does not.
func (a *Autoscaler) isSilent(v View, machine *fleet.Machine) bool {
	return v.Awaited.IsAwaited(machine) && !machine.Reported && v.Now-a.Since > 2*a.reportInterval() || isUnresponsive(machine)
}

// isDead reports whether a machine has failed, or has been silent for longer than silentTimeout.
func (a *Autoscaler) isDead(v View, machine *fleet.Machine) bool {
	switch {
	case machine.CloudStatus == wire.MachineFailed:
		return true
	case machine.Reported:
		return v.Now-max(machine.LastHeartbeat, v.RunningSince) > a.silentTimeout()
	}
	return machine.CloudStatus == wire.MachineRunning && v.Now-max(machine.FirstSeen, a.Since, v.RunningSince) > a.silentTimeout()
}

// isFaulty reports whether a machine is quarantined as failing or slow, so that it is returned as
// soon as it is empty.
func isFaulty(machine *fleet.Machine) bool {
	return machine.QuarantineReason == fleet.QuarantineFailing || machine.QuarantineReason == fleet.QuarantineSlow
}
