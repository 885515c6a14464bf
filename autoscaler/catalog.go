package autoscaler

import (
	"slices"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/quota"
	"cedardoor/wire"
)

// The cloud's machine list lags by at most list_lag_s. These timeouts are multiples of that lag,
// so the list is complete when they expire.
const (
	listLagsToDrop    = 3 // an unlisted machine is dropped
	listLagsToForget  = 4 // a rented machine that is still unlisted is no longer expected
	heartbeatListLags = 2 // a machine that reported within this time exists, listed or not
)

// Catalog returns the current machine types.
func (a *Autoscaler) Catalog() wire.Catalog { return a.catalog }

// SetCatalog replaces the machine types, and reports whether their set, sizes or zones have changed.
func (a *Autoscaler) SetCatalog(catalog wire.Catalog) (changed bool) {
	changed = !sameMachineTypes(catalog, a.catalog)
	if changed {
		a.checkGuarantees(catalog)
	}
	a.RestoreCatalog(catalog)
	return changed
}

// RestoreCatalog sets the machine types that a predecessor recorded.
func (a *Autoscaler) RestoreCatalog(catalog wire.Catalog) {
	a.catalog = catalog
	a.Fleet.SetCatalog(catalog)
}

// sameMachineTypes reports whether two catalogs have the same types with the same sizes and zones.
func sameMachineTypes(a, b wire.Catalog) bool {
	return slices.EqualFunc(a.MachineTypes, b.MachineTypes, func(x, y wire.MachineType) bool {
		return x.SKU == y.SKU && x.Cores == y.Cores && x.RAM == y.RAM && x.Accelerators == y.Accelerators && slices.Equal(x.Zones, y.Zones)
	})
}

// checkGuarantees logs if even the largest allowed fleet could not hold the teams' guarantees.
func (a *Autoscaler) checkGuarantees(catalog wire.Catalog) {
	var largest quota.Amount
	for _, machineType := range catalog.MachineTypes {
		machine := quota.NewAmount(machineType.Cores, machineType.Accelerators)
		largest.Cores, largest.Accelerators = max(largest.Cores, machine.Cores), max(largest.Accelerators, machine.Accelerators)
	}
	largest = largest.Times(a.Operator.Fleet.MaxMachines)
	if sum := a.Quota.TotalGuarantee(); sum.Cores > largest.Cores || sum.Accelerators > largest.Accelerators {
		a.Log.Info("guarantees add up to more than fleet.max_machines can hold", "cores", sum.Cores.Decimal(), "accelerators", sum.Accelerators.Decimal())
	}
}

func (a *Autoscaler) listLag() clock.Micros { return clock.FromSeconds(a.Facts.Cloud.ListLagS) }

// SetMachineList updates the fleet from the cloud's machine list. The list lags, so an unlisted
// machine is dropped only if no task can be on it and it has not reported for a while.
func (a *Autoscaler) SetMachineList(machines []wire.Machine, now clock.Micros) {
	a.returned.expire(now)
	listed := map[string]bool{}
	for i := range machines {
		if entry := &machines[i]; !a.returned.has(entry.UID) { // else the list is stale
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
	a.rentals.prune(a.Fleet, listed, now, listLagsToForget*a.listLag())
}

// setListed updates a machine from its entry in the list.
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

// isGone reports whether an unlisted machine no longer exists.
func (a *Autoscaler) isGone(machine *fleet.Machine, now clock.Micros) bool {
	lag := a.listLag()
	silent := machine.LastHeartbeat == 0 || now-machine.LastHeartbeat > heartbeatListLags*lag
	return silent && now-machine.FirstSeen > listLagsToDrop*lag && now-machine.ListedAt > listLagsToDrop*lag &&
		machine.LeaseExpired(now) && machine.AllocationCount() == 0
}
