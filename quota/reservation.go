package quota

import "fmt"

// State is the state of a reservation.
type State uint8

// The states of a reservation, in the order in which an attempt usually passes through them.
const (
	// Allocated: the attempt has resources on a machine, but it is not recorded, and no command was sent.
	Allocated State = iota
	// InDoubt: the attempt may or may not be running. Either it is recorded, so that a command to start
	// it may be in flight, or its machine does not report.
	InDoubt
	// Running: the attempt's worker has reported it to this leader.
	Running
	// Stopping: a command to stop the attempt was issued, but its absence is not proved.
	Stopping
	// Released: the attempt's absence is proved. A released reservation never counts again.
	Released

	numStates
)

// String returns the state's name in the operators' report.
func (s State) String() string {
	switch s {
	case Allocated:
		return "booked"
	case InDoubt:
		return "in_doubt"
	case Running:
		return "running"
	case Stopping:
		return "stopping"
	case Released:
		return "released"
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Reservation is one attempt's part of its team's usage, from the allocation of the attempt until its
// absence is proved. Its methods may be called late, repeatedly and in any order.
type Reservation struct {
	account *account
	amount  Amount
	state   State
}

// State returns the current state of the reservation.
func (r *Reservation) State() State { return r.state }

// MarkRecorded moves an Allocated reservation to InDoubt: the attempt is durably recorded, so a command
// to start it may be sent.
func (r *Reservation) MarkRecorded() {
	if r.state == Allocated {
		r.setState(InDoubt)
	}
}

// MarkRunning moves an Allocated or InDoubt reservation to Running: the attempt's worker has reported it
// to this leader.
func (r *Reservation) MarkRunning() {
	if r.state == Allocated || r.state == InDoubt {
		r.setState(Running)
	}
}

// MarkInDoubt moves a Running reservation to InDoubt: the attempt's machine does not report.
func (r *Reservation) MarkInDoubt() {
	if r.state == Running {
		r.setState(InDoubt)
	}
}

// MarkStopping moves the reservation to Stopping: a command to stop the attempt was issued. The
// reservation counts until it is released.
func (r *Reservation) MarkStopping() {
	if r.state != Released {
		r.setState(Stopping)
	}
}

// Release ends the reservation: it is proved that the attempt is on no machine and can no longer be
// started. Further calls have no effect.
func (r *Reservation) Release() {
	if r.state == Released {
		return
	}
	r.account.total = r.account.total.Minus(r.amount)
	r.account.states[r.state].remove(r.amount)
	r.state = Released
}

// setState changes the state and updates the account's usage by state.
func (r *Reservation) setState(to State) {
	r.account.states[r.state].remove(r.amount)
	r.account.states[to].add(r.amount)
	r.state = to
}
