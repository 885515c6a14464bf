// Package quota keeps teams within their limits and gives them their guarantees.
//
// The Ledger is the only count of what teams use. It belongs to the leader, whose
// fenced commands alone start tasks: a task is started only from a booking, and a
// booking exists only with a Reservation of the ledger. Any controller may accept a
// job; none but the leader's ledger can grant it room. See docs/quota.md.
package quota

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrOverLimit means that a reservation would take a team beyond its limit.
var ErrOverLimit = errors.New("over the team's limit")

// State is how far a reservation is.
type State uint8

// The states of a reservation, in the order in which an attempt usually passes them.
const (
	// Allocated: room is taken; nothing is recorded and nothing was sent.
	Allocated State = iota
	// InDoubt: recorded, so a command to start it may be under way, or its machine
	// does not answer: it may or may not run.
	InDoubt
	// Running: its worker has shown it under this leader.
	Running
	// Stopping: told to stop, and not proved gone.
	Stopping
	// Released: proved gone. It takes nothing any more, and never will again.
	Released

	states
)

// String names the state for operators.
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

// account is what one team uses.
type account struct {
	limits Limits
	total  Amount
	states [states]Use
}

// Use is what the tasks in one state take.
type Use struct {
	Tasks  int
	Amount Amount
}

// Reservation is one attempt's part of its team's use, from its booking until its
// absence is proved. Its methods may be called late, repeatedly and in any order:
// none makes a released reservation count again.
type Reservation struct {
	account *account
	amount  Amount
	state   State
}

// Ledger is what all teams use. It has no lock: the leader's own guards it.
type Ledger struct {
	accounts      map[string]*account
	hasGuarantees bool // some team has one
	hasLimits     bool // some team has one
}

// NewLedger makes an empty ledger of teams with the given limits.
func NewLedger(teams map[string]Limits) *Ledger {
	l := &Ledger{accounts: make(map[string]*account, len(teams))}
	for name, limits := range teams {
		l.accounts[name] = &account{limits: limits}
		l.hasGuarantees = l.hasGuarantees || limits.HasGuarantee()
		l.hasLimits = l.hasLimits || limits.HasLimit()
	}
	return l
}

// account gives a team's account. A team that the settings no longer name has one
// without limits: its tasks run on, and the API accepts no more of its jobs.
func (l *Ledger) account(team string) *account {
	a := l.accounts[team]
	if a == nil {
		a = &account{}
		l.accounts[team] = a
	}
	return a
}

// Fits tells whether a team may use so much more.
func (l *Ledger) Fits(team string, more Amount) bool {
	a := l.accounts[team]
	return a == nil || a.limits.Admit(a.total.Plus(more))
}

// Reserve takes room for one attempt. It is the only way in which the use of a team
// grows by anything that was not recorded before.
func (l *Ledger) Reserve(team string, amount Amount) (*Reservation, error) {
	if !l.Fits(team, amount) {
		return nil, fmt.Errorf("reserve for team %q: %w", team, ErrOverLimit)
	}
	return l.account(team).add(amount, Allocated), nil
}

// Adopt takes in an attempt that a predecessor recorded. It counts even beyond the
// limit, which may have been higher then: what may run is no matter of choice.
func (l *Ledger) Adopt(team string, amount Amount) *Reservation {
	return l.account(team).add(amount, InDoubt)
}

func (a *account) add(amount Amount, state State) *Reservation {
	r := &Reservation{account: a, amount: amount, state: state}
	a.total = a.total.Plus(amount)
	a.states[state].add(amount)
	return r
}

func (u *Use) add(amount Amount) {
	u.Tasks++
	u.Amount = u.Amount.Plus(amount)
}

func (u *Use) remove(amount Amount) {
	u.Tasks--
	u.Amount = u.Amount.Minus(amount)
}

// setState changes the state, with the counts by state.
func (r *Reservation) setState(to State) {
	r.account.states[r.state].remove(r.amount)
	r.account.states[to].add(r.amount)
	r.state = to
}

// State is how far the reservation is.
func (r *Reservation) State() State { return r.state }

// MarkRecorded notes that the attempt is durable: a command to start it may be sent.
func (r *Reservation) MarkRecorded() {
	if r.state == Allocated {
		r.setState(InDoubt)
	}
}

// MarkRunning notes that the attempt's worker has reported it under this leader.
func (r *Reservation) MarkRunning() {
	if r.state == Allocated || r.state == InDoubt {
		r.setState(Running)
	}
}

// MarkInDoubt notes that the attempt's machine does not answer.
func (r *Reservation) MarkInDoubt() {
	if r.state == Running {
		r.setState(InDoubt)
	}
}

// MarkStopping notes that the attempt was told to stop. It counts until it is released.
func (r *Reservation) MarkStopping() {
	if r.state != Released {
		r.setState(Stopping)
	}
}

// Release gives the room back: the attempt is proved to be on no machine, and can't
// come to be on one. Only the first call does anything.
func (r *Reservation) Release() {
	if r.state == Released {
		return
	}
	r.account.total = r.account.total.Minus(r.amount)
	r.account.states[r.state].remove(r.amount)
	r.state = Released
}

// Usage is what a team uses, for operators and tests.
type Usage struct {
	Team   string
	Limits Limits
	Total  Amount
	// By state; Released is always empty.
	States [states]Use
}

// Of is the use in one state.
func (u Usage) Of(s State) Use { return u.States[s] }

// Usage is what one team uses.
func (l *Ledger) Usage(team string) Usage {
	a := l.accounts[team]
	if a == nil {
		return Usage{Team: team}
	}
	return Usage{Team: team, Limits: a.limits, Total: a.total, States: a.states}
}

// Teams lists the teams by name: those of the settings, and others that have used anything.
func (l *Ledger) Teams() []string { return slices.Sorted(maps.Keys(l.accounts)) }

// Limits are a team's limits.
func (l *Ledger) Limits(team string) Limits {
	if l == nil {
		return Limits{}
	}
	if a := l.accounts[team]; a != nil {
		return a.limits
	}
	return Limits{}
}

// RunnableShare tells which part of waiting work a team's limit lets run beside what it uses.
func (l *Ledger) RunnableShare(team string, waiting Amount) float64 {
	a := l.accounts[team]
	if a == nil {
		return 1
	}
	return min(runnableShare(a.limits.Limit.Cores, a.total.Cores, waiting.Cores),
		runnableShare(a.limits.Limit.Accelerators, a.total.Accelerators, waiting.Accelerators))
}

func runnableShare(limit, used, waiting Units) float64 {
	if limit == 0 || used+waiting <= limit {
		return 1
	}
	return float64(max(0, limit-used)) / float64(waiting)
}
