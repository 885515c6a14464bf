// Package quota keeps teams within their limits and gives them what they are guaranteed.
//
// The Ledger is the only account of what teams use. It belongs to the leader, whose fenced commands
// are the only ones that start tasks: a task is started only by an allocation, and every allocation
// has a Reservation in the ledger. Any controller may accept a job; only the leader's ledger can
// reserve resources for it. See docs/quota.md.
package quota

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrOverLimit means that a reservation would exceed the team's limit.
var ErrOverLimit = errors.New("over the team's limit")

// Ledger is what all teams use. It has no lock of its own: the leader's guards it.
type Ledger struct {
	accounts      map[string]*account
	hasGuarantees bool // of any team
	hasLimits     bool // of any team
}

// account is what one team uses.
type account struct {
	limits Limits
	total  Amount
	states [states]Use
}

// Use is what the attempts in one state use.
type Use struct {
	Tasks  int
	Amount Amount
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

// account is a team's account, added if there is none. A team that was removed from the settings has
// no limits: its tasks run on, but the API accepts no further jobs of it.
func (l *Ledger) account(team string) *account {
	a := l.accounts[team]
	if a == nil {
		a = &account{}
		l.accounts[team] = a
	}
	return a
}

// Fits tells whether a team's limit allows it to use more by the given amount.
func (l *Ledger) Fits(team string, more Amount) bool {
	a := l.accounts[team]
	return a == nil || a.limits.Admit(a.total.Plus(more))
}

// Reserve makes the reservation of a new attempt. Only Reserve adds to a team's usage what was not
// recorded before.
func (l *Ledger) Reserve(team string, amount Amount) (*Reservation, error) {
	if !l.Fits(team, amount) {
		return nil, fmt.Errorf("reserve for team %q: %w", team, ErrOverLimit)
	}
	return l.account(team).reserve(amount, Allocated), nil
}

// Adopt makes the reservation of an attempt that a predecessor recorded. It may exceed the limit,
// since the attempt may run whatever the limit is now.
func (l *Ledger) Adopt(team string, amount Amount) *Reservation {
	return l.account(team).reserve(amount, InDoubt)
}

func (a *account) reserve(amount Amount, state State) *Reservation {
	reservation := &Reservation{account: a, amount: amount, state: state}
	a.total = a.total.Plus(amount)
	a.states[state].add(amount)
	return reservation
}

func (u *Use) add(amount Amount) {
	u.Tasks++
	u.Amount = u.Amount.Plus(amount)
}

func (u *Use) remove(amount Amount) {
	u.Tasks--
	u.Amount = u.Amount.Minus(amount)
}

// Usage is what a team uses.
type Usage struct {
	Team   string
	Limits Limits
	Total  Amount
	States [states]Use // by state; that of Released is always zero
}

// Of is what the attempts in one state use.
func (u Usage) Of(s State) Use { return u.States[s] }

// Usage is what one team uses.
func (l *Ledger) Usage(team string) Usage {
	a := l.accounts[team]
	if a == nil {
		return Usage{Team: team}
	}
	return Usage{Team: team, Limits: a.limits, Total: a.total, States: a.states}
}

// Teams lists by name the teams of the settings and those that have reserved anything.
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
