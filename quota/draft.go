package quota

// Draft is the ledger as it would be after the steps of a plan in the making. It leaves the ledger
// unchanged: a plan takes effect by reservations only.
type Draft struct {
	ledger  *Ledger
	changes map[string]*planChange
}

// planChange is what a plan changes of one team's usage.
type planChange struct {
	started  Amount // by the plan, less what it removes
	stopping Amount // by the plan; it counts for the limit until it is released
}

// Draft starts a draft. A nil ledger has no limits and no guarantees.
func (l *Ledger) Draft() *Draft { return &Draft{ledger: l, changes: map[string]*planChange{}} }

// HasQuotas tells whether any team has a limit or a guarantee.
func (d *Draft) HasQuotas() bool {
	return d.ledger != nil && (d.ledger.hasLimits || d.ledger.hasGuarantees)
}

// isIrrelevant tells whether no answer of the draft depends on what the plan changes of a team's usage.
func (d *Draft) isIrrelevant(team string) bool {
	return !d.HasQuotas() || !d.ledger.hasGuarantees && !d.ledger.Limits(team).HasLimit()
}

// change is the plan's change to a team's usage, added if there is none.
func (d *Draft) change(team string) *planChange {
	change := d.changes[team]
	if change == nil {
		change = &planChange{}
		d.changes[team] = change
	}
	return change
}

// usage is the team's account, nil if it has none, and its usage after the plan's steps.
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

// withoutStopping is what remains of a team's usage when everything that is being stopped, by the
// plan or by earlier ones, is released.
func (a *account) withoutStopping(total, stopping Amount) Amount {
	return total.Minus(stopping).Minus(a.states[Stopping].Amount)
}

// Fits tells whether a team's limit allows it to use more by the given amount.
func (d *Draft) Fits(team string, more Amount) bool {
	if d.isIrrelevant(team) {
		return true
	}
	account, total, _ := d.usage(team)
	return account == nil || account.limits.Admit(total.Plus(more))
}

// Add adds a task that the plan starts to its team's usage.
func (d *Draft) Add(team string, amount Amount) {
	if d.isIrrelevant(team) {
		return
	}
	change := d.change(team)
	change.started = change.started.Plus(amount)
}

// Remove removes a task from its team's usage that the plan no longer starts, or starts elsewhere.
func (d *Draft) Remove(team string, amount Amount) {
	if d.isIrrelevant(team) {
		return
	}
	change := d.change(team)
	change.started = change.started.Minus(amount)
}

// Stop notes that the plan stops a task. The task no longer counts as beyond its team's guarantee,
// but for the limit until it is released.
func (d *Draft) Stop(team string, amount Amount) {
	if d.isIrrelevant(team) {
		return
	}
	change := d.change(team)
	change.stopping = change.stopping.Plus(amount)
}

// Resume reverts a Stop.
func (d *Draft) Resume(team string, amount Amount) {
	if d.isIrrelevant(team) {
		return
	}
	change := d.change(team)
	change.stopping = change.stopping.Minus(amount)
}

// BeyondGuarantee tells whether tasks of a team that use the given amount together are beyond its
// guarantee: without them the team still uses what it is guaranteed of a resource that they use. Such
// tasks may be preempted for another team's guarantee. What is being stopped already does not count,
// or a team would lose its own guarantee while its tasks are stopping.
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

// RemainingGuarantee is how much more a team may use within its guarantee. What is being stopped does
// not count as used.
func (d *Draft) RemainingGuarantee(team string) Amount {
	account, total, stopping := d.usage(team)
	if account == nil {
		return Amount{}
	}
	remaining := account.limits.Guarantee.Minus(account.withoutStopping(total, stopping))
	return Amount{Cores: max(0, remaining.Cores), Accelerators: max(0, remaining.Accelerators)}
}
