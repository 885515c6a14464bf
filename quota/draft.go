package quota

// Draft is a view of the ledger that includes the changes of an unfinished plan. The ledger itself
// stays unchanged: a plan takes effect only through reservations.
type Draft struct {
	ledger  *Ledger
	changes map[string]*planChange
}

// planChange is the change that a plan makes to one team's usage.
type planChange struct {
	started  Amount // tasks that the plan adds, less those that it removes
	stopping Amount // tasks that the plan stops; they count against the limit until they are released
}

// Draft returns a draft without changes. A nil ledger has no limits and no guarantees.
func (l *Ledger) Draft() *Draft { return &Draft{ledger: l, changes: map[string]*planChange{}} }

// HasQuotas reports whether any team has a limit or a guarantee.
func (d *Draft) HasQuotas() bool {
	return d.ledger != nil && (d.ledger.hasLimits || d.ledger.hasGuarantees)
}

// isUntracked reports whether the plan's changes to a team's usage need no tracking, because no limit
// or guarantee depends on them.
func (d *Draft) isUntracked(team string) bool {
	return !d.HasQuotas() || !d.ledger.hasGuarantees && !d.ledger.Limits(team).HasLimit()
}

// change adds to the plan's change of a team's usage.
func (d *Draft) change(team string, started, stopping Amount) {
	if d.isUntracked(team) {
		return
	}
	change := d.changes[team]
	if change == nil {
		change = &planChange{}
		d.changes[team] = change
	}
	change.started = change.started.Plus(started)
	change.stopping = change.stopping.Plus(stopping)
}

// usage returns the team's account, nil if it has none, its total usage after the plan's changes, and
// how much of the total the plan stops.
func (d *Draft) usage(team string) (account *account, total, stopping Amount) {
	if d.ledger == nil {
		return nil, Amount{}, Amount{}
	}
	account = d.ledger.accounts[team]
	if account == nil {
		return nil, Amount{}, Amount{}
	}
	total = account.total
	if change := d.changes[team]; change != nil {
		total, stopping = total.Plus(change.started), change.stopping
	}
	return account, total, stopping
}

// withoutStopping returns a team's usage after the release of everything that is being stopped, by
// this plan or by earlier ones.
func (a *account) withoutStopping(total, stopping Amount) Amount {
	return total.Minus(stopping).Minus(a.states[Stopping].Amount)
}

// Fits reports whether a team's limit allows it to use the given amount in addition.
func (d *Draft) Fits(team string, more Amount) bool {
	if d.isUntracked(team) {
		return true
	}
	account, total, _ := d.usage(team)
	return account == nil || account.limits.WithinLimit(total.Plus(more))
}

// Add adds a task that the plan starts to its team's usage.
func (d *Draft) Add(team string, amount Amount) { d.change(team, amount, Amount{}) }

// Remove subtracts a task that the plan no longer starts, or moves elsewhere, from its team's usage.
func (d *Draft) Remove(team string, amount Amount) { d.change(team, amount.negated(), Amount{}) }

// Stop records that the plan stops a task. The task no longer counts against its team's guarantee,
// but it counts against the limit until it is released.
func (d *Draft) Stop(team string, amount Amount) { d.change(team, Amount{}, amount) }

// Resume reverts a Stop.
func (d *Draft) Resume(team string, amount Amount) { d.change(team, Amount{}, amount.negated()) }

// BeyondGuarantee reports whether tasks of a team that together use the given amount are beyond its
// guarantee: without them the team still uses its full guarantee of a resource that they use. Such
// tasks may be preempted for another team's guarantee. Tasks that are being stopped do not count:
// otherwise a team would lose its own guarantee while its tasks are stopping.
func (d *Draft) BeyondGuarantee(team string, tasks Amount) bool {
	account, total, stopping := d.usage(team)
	if account == nil {
		return false
	}
	remaining := account.withoutStopping(total, stopping).Minus(tasks)
	guarantee := account.limits.Guarantee
	return tasks.Cores > 0 && remaining.Cores >= guarantee.Cores ||
		tasks.Accelerators > 0 && remaining.Accelerators >= guarantee.Accelerators
}

// RemainingGuarantee returns how much more a team may use within its guarantee. Tasks that are being
// stopped do not count as used.
func (d *Draft) RemainingGuarantee(team string) Amount {
	account, total, stopping := d.usage(team)
	if account == nil {
		return Amount{}
	}
	remaining := account.limits.Guarantee.Minus(account.withoutStopping(total, stopping))
	return Amount{Cores: max(0, remaining.Cores), Accelerators: max(0, remaining.Accelerators)}
}
