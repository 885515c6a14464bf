package quota

// Draft is the ledger as it would be after the steps of a plan that is being made.
// It leaves the ledger as it is: a plan takes effect only by reservations.
type Draft struct {
	ledger *Ledger
	deltas map[string]*delta
}

// delta is what a plan changes of one team's use.
type delta struct {
	planned  Amount // started by the plan, less what it takes off
	stopping Amount // told to stop by the plan: it counts for the limit until it is gone
}

// Draft begins a draft. A nil ledger knows no limits and no guarantees.
func (l *Ledger) Draft() *Draft { return &Draft{ledger: l, deltas: map[string]*delta{}} }

// isIrrelevant tells whether nothing depends on what the draft does to a team's use.
func (d *Draft) isIrrelevant(team string) bool {
	return !d.HasQuotas() || !d.ledger.hasGuarantees && !d.ledger.Limits(team).HasLimit()
}

// HasQuotas tells whether any team has a limit or a guarantee.
func (d *Draft) HasQuotas() bool {
	return d.ledger != nil && (d.ledger.hasLimits || d.ledger.hasGuarantees)
}

func (d *Draft) delta(team string) *delta {
	x := d.deltas[team]
	if x == nil {
		x = &delta{}
		d.deltas[team] = x
	}
	return x
}

// usage is the team's account and its use with the draft's steps.
func (d *Draft) usage(team string) (account *account, total, stopping Amount) {
	if d.ledger == nil {
		return nil, Amount{}, Amount{}
	}
	account = d.ledger.accounts[team]
	if account == nil {
		return nil, Amount{}, Amount{}
	}
	total = account.total
	if x := d.deltas[team]; x != nil {
		total, stopping = total.Plus(x.planned), x.stopping
	}
	return account, total, stopping
}

// withoutStopping is what is left of a team's use when all that is being stopped is gone.
func (a *account) withoutStopping(total, stopping Amount) Amount {
	return total.Minus(stopping).Minus(a.states[Stopping].Amount)
}

// Fits tells whether a team may use so much more.
func (d *Draft) Fits(team string, more Amount) bool {
	if d.isIrrelevant(team) {
		return true
	}
	account, total, _ := d.usage(team)
	return account == nil || account.limits.Admit(total.Plus(more))
}

// Add takes a task that the plan starts into its team's use.
func (d *Draft) Add(team string, amount Amount) {
	if d.isIrrelevant(team) {
		return
	}
	x := d.delta(team)
	x.planned = x.planned.Plus(amount)
}

// Remove takes a task that the plan no longer starts, or looks at elsewhere, off its
// team's use.
func (d *Draft) Remove(team string, amount Amount) {
	if d.isIrrelevant(team) {
		return
	}
	x := d.delta(team)
	x.planned = x.planned.Minus(amount)
}

// Stop notes that the plan stops a task. Its team is no longer beyond its guarantee by
// it, though it counts for the limit until it is proved gone.
func (d *Draft) Stop(team string, amount Amount) {
	if d.isIrrelevant(team) {
		return
	}
	x := d.delta(team)
	x.stopping = x.stopping.Plus(amount)
}

// Resume takes a Stop back.
func (d *Draft) Resume(team string, amount Amount) {
	if d.isIrrelevant(team) {
		return
	}
	x := d.delta(team)
	x.stopping = x.stopping.Minus(amount)
}

// BeyondGuarantee tells whether tasks of a team that take so much together are beyond its guarantee:
// stopping them leaves it what it is guaranteed, in a resource that they take. Such
// work may be stopped to give another team its guarantee. What is being stopped already counts no
// more, or a team would lose its own guarantee while the stops of its work are under way.
func (d *Draft) BeyondGuarantee(team string, tasks Amount) bool {
	account, total, stopping := d.usage(team)
	if account == nil {
		return false
	}
	left := account.withoutStopping(total, stopping).Minus(tasks)
	guarantee := account.limits.Guarantee
	return tasks.Cores > 0 && left.Cores >= guarantee.Cores ||
		tasks.Accelerators > 0 && left.Accelerators >= guarantee.Accelerators
}

// RemainingGuarantee is how much more a team may run within its guarantee. What is being stopped
// counts no more.
func (d *Draft) RemainingGuarantee(team string) Amount {
	account, total, stopping := d.usage(team)
	if account == nil {
		return Amount{}
	}
	owed := account.limits.Guarantee.Minus(account.withoutStopping(total, stopping))
	return Amount{Cores: max(0, owed.Cores), Accelerators: max(0, owed.Accelerators)}
}
