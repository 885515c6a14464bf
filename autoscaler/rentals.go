package autoscaler

import (
	"fmt"

	"cedardoor/clock"
	"cedardoor/cloud"
	"cedardoor/fleet"
	"cedardoor/wire"
)

const (
	// refusalTTL is how long a machine kind is not requested again after the cloud refused it.
	refusalTTL = 20 * clock.Second
	// defaultBootTime is the boot time of a type without one in the catalog.
	defaultBootTime = 60 * clock.Second
	// returnedRetention is how long the names of returned machines are kept: longer than a delayed
	// heartbeat or a stale list may still mention them. The cloud's request rate limit bounds how
	// many machines can be returned, and thus kept, in that time.
	returnedRetention = 30 * 60 * clock.Second
	// minRequests is the number of rental requests that a pass may always send, however low the
	// cloud's request rate limit is.
	minRequests = 4
)

// rental is a rental that the cloud granted.
type rental struct {
	request wire.RentRequest
	notSeen map[string]clock.Micros // when machines that are neither listed nor reporting yet were granted, by name
}

// rentals tracks the rentals of this term.
type rentals struct {
	sequence     int
	pending      map[string]*rental      // granted rentals with machines not seen yet, by request ID
	rentedAt     map[string]clock.Micros // when machines that have not booted yet were requested, by name
	refusedUntil map[machineKind]clock.Micros
	bootTimes    cloud.BootTimes // of recently booted machines
}

func newRentals() rentals {
	return rentals{pending: map[string]*rental{}, rentedAt: map[string]clock.Micros{}, refusedUntil: map[machineKind]clock.Micros{}}
}

// NewRequest returns the request for a rental with a unique request ID. To retry it after a lost
// response, send the same request again.
func (a *Autoscaler) NewRequest(r cloud.Rental) wire.RentRequest {
	a.rentals.sequence++
	return wire.RentRequest{RequestID: fmt.Sprintf("r-%d-%d", a.Token, a.rentals.sequence), MachineType: r.MachineType, Zone: r.Zone,
		Preemptible: r.Preemptible, Count: min(r.Count, wire.MaxRentPerRequest)}
}

// Rented records the machines granted for a request that was sent at the given time.
func (a *Autoscaler) Rented(request wire.RentRequest, machines []string, sentAt, now clock.Micros) {
	granted := &rental{request: request, notSeen: map[string]clock.Micros{}}
	for _, name := range machines {
		granted.notSeen[name] = now
		a.rentals.rentedAt[name] = sentAt
		if machine := a.Fleet.Machine(name); machine != nil && machine.Reported {
			a.MachineUp(machine, now) // it reported before the cloud's response arrived
		}
	}
	a.rentals.pending[request.RequestID] = granted
}

// Refused records that the cloud had fewer machines than requested.
func (a *Autoscaler) Refused(request wire.RentRequest, now clock.Micros) {
	a.rentals.refusedUntil[machineKind{request.MachineType, request.Zone, request.Preemptible}] = now + refusalTTL
}

// isRefused reports whether the cloud recently refused a machine kind.
func (r *rentals) isRefused(machineType, zone string, preemptible bool) bool {
	_, refused := r.refusedUntil[machineKind{machineType, zone, preemptible}]
	return refused
}

// expireRefusals drops refusals older than refusalTTL.
func (r *rentals) expireRefusals(now clock.Micros) {
	for refused, until := range r.refusedUntil {
		if now > until {
			delete(r.refusedUntil, refused)
		}
	}
}

// notSeen lists granted machines that the fleet does not know yet.
func (r *rentals) notSeen(f *fleet.Fleet) (machines []cloud.Machine) {
	for _, granted := range r.pending {
		for name := range granted.notSeen {
			if machine := f.Machine(name); machine != nil && machine.Type != "" {
				continue
			}
			request := &granted.request
			machineType, _ := f.MachineType(request.MachineType)
			machines = append(machines, cloud.Machine{Name: name, Type: request.MachineType, Zone: request.Zone, Preemptible: request.Preemptible,
				Free: capacity(machineType)})
		}
	}
	return machines
}

// prune stops tracking granted machines that are listed or have reported, or that have been missing
// for longer than the timeout.
func (r *rentals) prune(f *fleet.Fleet, listed map[string]bool, now, timeout clock.Micros) {
	for id, granted := range r.pending {
		for name, at := range granted.notSeen {
			if machine := f.Machine(name); listed[name] || machine != nil && machine.Reported || now-at > timeout {
				delete(granted.notSeen, name)
			}
		}
		if len(granted.notSeen) == 0 {
			delete(r.pending, id)
		}
	}
}

// MachineUp records that a machine reports. If this term rented it, its boot time is recorded.
func (a *Autoscaler) MachineUp(machine *fleet.Machine, now clock.Micros) {
	sentAt, rented := a.rentals.rentedAt[machine.Name]
	if !rented {
		return
	}
	delete(a.rentals.rentedAt, machine.Name)
	a.rentals.bootTimes.Record(now, now-sentAt, a.bootTime(machine.Type))
}

// BootRatios lists recent boot times, each relative to the boot time in the catalog.
func (a *Autoscaler) BootRatios() []float64 { return a.rentals.bootTimes.Ratios() }

// bootTime returns the boot time of a type in the catalog, or defaultBootTime without one.
func (a *Autoscaler) bootTime(machineType string) clock.Micros {
	if t, known := a.Fleet.MachineType(machineType); known && t.BootS > 0 {
		return clock.FromSeconds(t.BootS)
	}
	return defaultBootTime
}

// Overdue decides which late booting machines to replace and which to return.
func (a *Autoscaler) Overdue(v View) cloud.Overdue {
	// Machines rented by a predecessor, or while this process was paused, may have booted and be about
	// to report.
	settled := v.Now-max(v.RunningSince, a.Since) > 3*a.listLag()
	var booting []cloud.Booting
	a.Fleet.EachMachine(func(machine *fleet.Machine) {
		if machine.Reported || machine.CloudStatus != wire.MachineBooting || machine.Returning || machine.AnsweredAt > 0 {
			return
		}
		from, rented := a.rentals.rentedAt[machine.Name]
		if !rented {
			if from = machine.FirstSeen; !settled {
				return
			}
		}
		booting = append(booting, cloud.Booting{Name: machine.Name, Age: v.Now - max(from, v.RunningSince), Expected: a.bootTime(machine.Type)})
	})
	overdue := a.rentals.bootTimes.Evaluate(v.Now, booting, a.Operator.Fleet.BootFactor)
	if overdue.Late > 0 {
		a.Log.Debug("machines boot late", "late", overdue.Late, "longest_share", overdue.LongestRatio, "cloud_slow", overdue.CloudSlow,
			"replace", len(overdue.Replace), "return", len(overdue.Return))
	}
	return overdue
}

// SplitRentals splits rentals by the maximum count per request, into at most the given number of
// requests, but at least minRequests.
func SplitRentals(rentals []cloud.Rental, requests int) (split []cloud.Rental) {
	for _, r := range rentals {
		for remaining := r.Count; remaining > 0 && len(split) < max(minRequests, requests); remaining -= wire.MaxRentPerRequest {
			r.Count = min(remaining, wire.MaxRentPerRequest)
			split = append(split, r)
		}
	}
	return split
}

// returnedMachines holds the names of returned machines. Any message that still mentions one is stale.
type returnedMachines struct {
	at    map[string]clock.Micros // when each was returned, by name
	order []string                // names, oldest first
}

func newReturnedMachines() returnedMachines { return returnedMachines{at: map[string]clock.Micros{}} }

func (r *returnedMachines) add(name string, now clock.Micros) {
	if _, known := r.at[name]; !known {
		r.order = append(r.order, name)
	}
	r.at[name] = now
}

func (r *returnedMachines) has(name string) bool {
	_, returned := r.at[name]
	return returned
}

func (r *returnedMachines) expire(now clock.Micros) {
	for len(r.order) > 0 && now-r.at[r.order[0]] > returnedRetention {
		delete(r.at, r.order[0])
		r.order = r.order[1:]
	}
}

// Returned records that a machine was returned to the cloud.
func (a *Autoscaler) Returned(machine string, now clock.Micros) {
	a.returned.add(machine, now)
	delete(a.rentals.rentedAt, machine)
}

// WasReturned reports whether a machine was returned recently. The cloud has confirmed that it and
// all tasks on it are gone, and it does not reuse names.
func (a *Autoscaler) WasReturned(machine string) bool { return a.returned.has(machine) }
