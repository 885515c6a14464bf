package autoscaler

import (
	"fmt"

	"cedardoor/clock"
	"cedardoor/cloud"
	"cedardoor/fleet"
	"cedardoor/wire"
)

const (
	// refusalTime is for how long a type, zone and kind that the cloud had none of is not asked for.
	refusalTime = 20 * clock.Second
	// defaultBootTime is how long a type takes to boot of which the catalogue does not say.
	defaultBootTime = 60 * clock.Second
	// returnedMemory is how long the names of returned machines are remembered: longer than a
	// copy of a report, or an old list, may still speak of them. How many that are is bounded by
	// what the cloud's requests can return meanwhile.
	returnedMemory = 30 * 60 * clock.Second
	// minRequests is how many rentals a pass may ask for, however few the cloud's requests are.
	minRequests = 4
)

// rental is a rental that was granted.
type rental struct {
	request wire.RentRequest
	notSeen map[string]clock.Micros // machines that are neither listed nor reporting yet, by when they were granted
}

// rentals follows what this term has rented.
type rentals struct {
	sequence     int
	pending      map[string]*rental      // by the request's name
	rentedAt     map[string]clock.Micros // machines that have not booted yet, by when they were asked for
	refusedUntil map[machineKind]clock.Micros
	bootTimes    cloud.BootTimes // how long machines took lately
}

func newRentals() rentals {
	return rentals{pending: map[string]*rental{}, rentedAt: map[string]clock.Micros{}, refusedUntil: map[machineKind]clock.Micros{}}
}

// NewRequest makes the request for a rental, under a name that is never used again: it must be
// asked for under the same name when an answer is lost.
func (a *Autoscaler) NewRequest(r cloud.Rental) wire.RentRequest {
	a.rentals.sequence++
	return wire.RentRequest{RequestID: fmt.Sprintf("r-%d-%d", a.Token, a.rentals.sequence), MachineType: r.MachineType, Zone: r.Zone,
		Preemptible: r.Preemptible, Count: min(r.Count, wire.MaxRentPerRequest)}
}

// Rented takes in that machines were granted to a request that was sent at the given time.
func (a *Autoscaler) Rented(request wire.RentRequest, machines []string, sentAt, now clock.Micros) {
	granted := &rental{request: request, notSeen: map[string]clock.Micros{}}
	for _, name := range machines {
		granted.notSeen[name] = now
		a.rentals.rentedAt[name] = sentAt
		if machine := a.Fleet.Machine(name); machine != nil && machine.Reported {
			a.MachineUp(machine, now) // before the cloud had answered
		}
	}
	a.rentals.pending[request.RequestID] = granted
}

// Refused notes that the cloud had less than was asked for.
func (a *Autoscaler) Refused(request wire.RentRequest, now clock.Micros) {
	a.rentals.refusedUntil[machineKind{request.MachineType, request.Zone, request.Preemptible}] = now + refusalTime
}

// isRefused tells whether the cloud had no machines of a kind lately.
func (r *rentals) isRefused(machineType, zone string, preemptible bool) bool {
	_, refused := r.refusedUntil[machineKind{machineType, zone, preemptible}]
	return refused
}

// expireRefusals forgets refusals that are long enough ago.
func (r *rentals) expireRefusals(now clock.Micros) {
	for refused, until := range r.refusedUntil {
		if now > until {
			delete(r.refusedUntil, refused)
		}
	}
}

// notSeen lists the machines that were granted and of which nothing is known yet.
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

// settle forgets granted machines that are listed or report, or that have been missing for long.
func (r *rentals) settle(f *fleet.Fleet, listed map[string]bool, now, patience clock.Micros) {
	for id, granted := range r.pending {
		for name, at := range granted.notSeen {
			if machine := f.Machine(name); listed[name] || machine != nil && machine.Reported || now-at > patience {
				delete(granted.notSeen, name)
			}
		}
		if len(granted.notSeen) == 0 {
			delete(r.pending, id)
		}
	}
}

// MachineUp notes that a machine reports; one that this term rented has booted.
func (a *Autoscaler) MachineUp(machine *fleet.Machine, now clock.Micros) {
	sentAt, rented := a.rentals.rentedAt[machine.Name]
	if !rented {
		return
	}
	delete(a.rentals.rentedAt, machine.Name)
	a.rentals.bootTimes.Booted(now, now-sentAt, a.bootTime(machine.Type))
}

// BootShares lists how long machines took to boot lately, as shares of the catalogue's times.
func (a *Autoscaler) BootShares() []float64 { return a.rentals.bootTimes.Shares() }

// bootTime is how long a type takes to boot, by the catalogue.
func (a *Autoscaler) bootTime(machineType string) clock.Micros {
	if t, known := a.Fleet.MachineType(machineType); known && t.BootS > 0 {
		return clock.FromSeconds(t.BootS)
	}
	return defaultBootTime
}

// Overdue judges the machines that should be up by now and are not.
func (a *Autoscaler) Overdue(v View) cloud.Overdue {
	// What was rented by a predecessor, or while this process had paused, may be up and on its
	// way here.
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
		a.Log.Debug("machines boot late", "late", overdue.Late, "longest_share", overdue.Longest, "cloud_slow", overdue.CloudSlow,
			"replace", len(overdue.Replace), "return", len(overdue.Return))
	}
	return overdue
}

// SplitRentals splits rentals into what one request may ask for, at most so many requests.
func SplitRentals(rentals []cloud.Rental, requests int) (split []cloud.Rental) {
	for _, r := range rentals {
		for left := r.Count; left > 0 && len(split) < max(minRequests, requests); left -= wire.MaxRentPerRequest {
			r.Count = min(left, wire.MaxRentPerRequest)
			split = append(split, r)
		}
	}
	return split
}

// returnedMachines remembers machines that were returned: whatever still speaks of them is old.
type returnedMachines struct {
	at    map[string]clock.Micros
	order []string // oldest first
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
	for len(r.order) > 0 && now-r.at[r.order[0]] > returnedMemory {
		delete(r.at, r.order[0])
		r.order = r.order[1:]
	}
}

// Returned notes that the cloud has taken a machine back.
func (a *Autoscaler) Returned(machine string, now clock.Micros) {
	a.returned.add(machine, now)
	delete(a.rentals.rentedAt, machine)
}

// WasReturned tells whether a machine was returned: the cloud has said that it and all on it are
// gone, and names are not given twice.
func (a *Autoscaler) WasReturned(machine string) bool { return a.returned.has(machine) }
