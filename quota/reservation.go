package quota

import "fmt"

// State is the state of a reservation.
type State uint8

// The states of a reservation, in the order in which an attempt usually passes through them.
const (
	// Allocated: it has resources of a machine. Nothing is recorded, no command was sent.
	Allocated State = iota
	// InDoubt: the attempt may or may not run. It is recorded, so that a command to start it may be
	// in flight, or its machine does not report.
	InDoubt
	// Running: its worker has reported the attempt to this leader.
	Running
	// Stopping: the command to stop it was issued, and its absence is not proved.
	Stopping
	// Released: its absence is proved. A released reservation never counts again.
	Released

	states
)

// String names the state as the operators' report does.
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

// Reservation is one attempt's part of its team's usage, from its allocation until its absence is
// proved. Its methods may be called late, repeatedly and in any order.
type Reservation struct {
	account *account
	amount  Amount
	state   State
}

// State is the state of the reservation.
func (r *Reservation) State() State { return r.state }

// MarkRecorded notes that the attempt is recorded durably, so that a command to start it may be sent.
func (r *Reservation) MarkRecorded() {
	if r.state == Allocated {
		r.setState(InDoubt)
	}
}

// MarkRunning notes that the attempt's worker has reported it to this leader.
func (r *Reservation) MarkRunning() {
	if r.state == Allocated || r.state == InDoubt {
		r.setState(Running)
	}
}

// MarkInDoubt notes that the attempt's machine does not report.
func (r *Reservation) MarkInDoubt() {
	if r.state == Running {
		r.setState(InDoubt)
	}
}

// MarkStopping notes that the command to stop the attempt was issued. It counts until it is released.
func (r *Reservation) MarkStopping() {
	if r.state != Released {
		r.setState(Stopping)
	}
}

// Release ends the reservation: the attempt is proved to be on no machine, and can't be started on
// one any more. Further calls have no effect.
func (r *Reservation) Release() {
	if r.state == Released {
		return
	}
	r.account.total = r.account.total.Minus(r.amount)
	r.account.states[r.state].remove(r.amount)
	r.state = Released
}

// setState changes the state, and the account's usage by state with it.
func (r *Reservation) setState(to State) {
	r.account.states[r.state].remove(r.amount)
	r.account.states[to].add(r.amount)
	r.state = to
}
