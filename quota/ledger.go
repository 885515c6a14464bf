// Package quota enforces the teams' limits and provides their guarantees.
//
// The Ledger is the only record of the teams' usage. It belongs to the leader, and only the leader's
// fenced commands start tasks: each task that is started has an allocation, and each allocation has a
// Reservation in the ledger. Any controller may accept a job, but only the leader's ledger can reserve
// resources for it. See docs/quota.md.
package quota

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrOverLimit means that a reservation would exceed the team's limit.
var ErrOverLimit = errors.New("over the team's limit")

// Ledger records the usage of all teams. It has no lock of its own: the leader's lock guards it.
type Ledger struct {
	accounts      map[string]*account
	hasGuarantees bool // whether any team has a guarantee
	hasLimits     bool // whether any team has a limit
}

// account holds the limits and the usage of one team.
type account struct {
	limits Limits
	total  Amount
	states [numStates]StateUsage
}

// StateUsage is the number of attempts in one state and the amount that they use.
type StateUsage struct {
	Tasks  int
	Amount Amount
}

// NewLedger returns an empty ledger for teams with the given limits.
func NewLedger(teams map[string]Limits) *Ledger {
	l := &Ledger{accounts: make(map[string]*account, len(teams))}
	for name, limits := range teams {
		l.accounts[name] = &account{limits: limits}
		l.hasGuarantees = l.hasGuarantees || limits.HasGuarantee()
		l.hasLimits = l.hasLimits || limits.HasLimit()
	}
	return l
}

// account returns a team's account, and creates it if there is none. A team that was removed from the
// settings has no limits: its tasks keep running, but the API accepts no new jobs from it.
func (l *Ledger) account(team string) *account {
	a := l.accounts[team]
	if a == nil {
		a = &account{}
		l.accounts[team] = a
	}
	return a
}

// Fits reports whether a team's limit allows it to use the given amount in addition.
func (l *Ledger) Fits(team string, more Amount) bool {
	a := l.accounts[team]
	return a == nil || a.limits.WithinLimit(a.total.Plus(more))
}

// Reserve makes the reservation for a new attempt, or returns ErrOverLimit. Only Reserve adds attempts
// to a team's usage that were not recorded before.
func (l *Ledger) Reserve(team string, amount Amount) (*Reservation, error) {
	if !l.Fits(team, amount) {
		return nil, fmt.Errorf("reserve for team %q: %w", team, ErrOverLimit)
	}
	return l.account(team).reserve(amount, Allocated), nil
}

// Adopt makes the reservation for an attempt that an earlier leader recorded. The reservation may exceed
// the limit, because the attempt may be running regardless of the current limit.
func (l *Ledger) Adopt(team string, amount Amount) *Reservation {
	return l.account(team).reserve(amount, InDoubt)
}

func (a *account) reserve(amount Amount, state State) *Reservation {
	reservation := &Reservation{account: a, amount: amount, state: state}
	a.total = a.total.Plus(amount)
	a.states[state].add(amount)
	return reservation
}

func (u *StateUsage) add(amount Amount) {
	u.Tasks++
	u.Amount = u.Amount.Plus(amount)
}

func (u *StateUsage) remove(amount Amount) {
	u.Tasks--
	u.Amount = u.Amount.Minus(amount)
}

// Usage is a snapshot of a team's limits and usage.
type Usage struct {
	Team   string
	Limits Limits
	Total  Amount
	States [numStates]StateUsage // indexed by State; the entry of Released is always zero
}

// InState returns the usage of the attempts in one state.
func (u Usage) InState(s State) StateUsage { return u.States[s] }

// Usage returns a snapshot of one team's usage.
func (l *Ledger) Usage(team string) Usage {
	a := l.accounts[team]
	if a == nil {
		return Usage{Team: team}
	}
	return Usage{Team: team, Limits: a.limits, Total: a.total, States: a.states}
}

// Teams returns the names of the teams in the settings and of those with reservations, past or present,
// in sorted order.
func (l *Ledger) Teams() []string { return slices.Sorted(maps.Keys(l.accounts)) }

// Limits returns a team's limits; none if the team is unknown.
func (l *Ledger) Limits(team string) Limits {
	if l == nil {
		return Limits{}
	}
	if a := l.accounts[team]; a != nil {
		return a.limits
	}
	return Limits{}
}
