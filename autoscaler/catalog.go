package autoscaler

import (
	"slices"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/quota"
	"cedardoor/wire"
)

// Machines that the list lags behind by at most its lag; after so many lags, it is complete.
const (
	listLagsToDrop   = 3 // a machine that is not listed is dropped
	listLagsToForget = 4 // a granted machine that is not listed is no longer expected
	quietListLags    = 2 // a machine that reported within them is there, listed or not
)

// Catalog is the machine types that there are.
func (a *Autoscaler) Catalog() wire.Catalog { return a.catalog }

// SetCatalog takes the machine types in, and tells whether they differ in size or place.
func (a *Autoscaler) SetCatalog(catalog wire.Catalog) (changed bool) {
	changed = !sameSizes(catalog, a.catalog)
	if changed {
		a.checkGuarantees(catalog)
	}
	a.RestoreCatalog(catalog)
	return changed
}

// RestoreCatalog takes in the machine types that a predecessor recorded.
func (a *Autoscaler) RestoreCatalog(catalog wire.Catalog) {
	a.catalog = catalog
	a.Fleet.SetCatalog(catalog)
}

// sameSizes tells whether two catalogues have the same types with the same sizes and zones.
func sameSizes(a, b wire.Catalog) bool {
	return slices.EqualFunc(a.MachineTypes, b.MachineTypes, func(x, y wire.MachineType) bool {
		return x.SKU == y.SKU && x.Cores == y.Cores && x.RAM == y.RAM && x.Accelerators == y.Accelerators && slices.Equal(x.Zones, y.Zones)
	})
}

// checkGuarantees logs when the largest fleet that may be held can't hold what teams are guaranteed.
func (a *Autoscaler) checkGuarantees(catalog wire.Catalog) {
	var most quota.Amount
	for _, machineType := range catalog.MachineTypes {
		machine := quota.NewAmount(machineType.Cores, machineType.Accelerators)
		most.Cores, most.Accelerators = max(most.Cores, machine.Cores), max(most.Accelerators, machine.Accelerators)
	}
	most = most.Times(a.Operator.Fleet.MaxMachines)
	if sum := a.Quota.TotalGuarantee(); sum.Cores > most.Cores || sum.Accelerators > most.Accelerators {
		a.Log.Info("guarantees add up to more than fleet.max_machines can hold", "cores", sum.Cores.Decimal(), "accelerators", sum.Accelerators.Decimal())
	}
}

func (a *Autoscaler) listLag() clock.Micros { return clock.FromSeconds(a.Facts.Cloud.ListLagS) }

// SetMachineList takes the cloud's list in. It lags, so a machine is dropped only when nothing can
// be on it and it has not reported for a while.
func (a *Autoscaler) SetMachineList(machines []wire.Machine, now clock.Micros) {
	a.returned.expire(now)
	listed := map[string]bool{}
	for i := range machines {
		if entry := &machines[i]; !a.returned.has(entry.UID) { // else the list is old
			listed[entry.UID] = true
			a.setListed(entry, now)
		}
	}
	a.Fleet.SetCatalog(a.catalog)
	for _, machine := range a.Fleet.Machines() {
		if !listed[machine.Name] && a.isGone(machine, now) {
			a.Fleet.Drop(machine.Name)
		}
	}
	a.rentals.settle(a.Fleet, listed, now, listLagsToForget*a.listLag())
}

// setListed takes in what the list says of a machine.
func (a *Autoscaler) setListed(entry *wire.Machine, now clock.Micros) {
	machine := a.Fleet.Machine(entry.UID)
	if machine == nil {
		machine = a.Fleet.Ensure(entry.UID, now)
		machine.FirstSeen = now - clock.FromSeconds(entry.HeldS)
	}
	if machine.Zone == "" {
		a.Fleet.Describe(machine, fleet.Description{Endpoint: entry.Endpoint, Type: entry.Type, Zone: entry.Zone, Preemptible: entry.Preemptible})
	}
	machine.CloudStatus, machine.ListedAt = entry.Status, now
}

// isGone tells whether a machine that is not listed is there no longer.
func (a *Autoscaler) isGone(machine *fleet.Machine, now clock.Micros) bool {
	lag := a.listLag()
	quiet := machine.LastHeartbeat == 0 || now-machine.LastHeartbeat > quietListLags*lag
	return quiet && now-machine.FirstSeen > listLagsToDrop*lag && now-machine.ListedAt > listLagsToDrop*lag &&
		machine.LeaseExpired(now) && machine.AllocationCount() == 0
}
