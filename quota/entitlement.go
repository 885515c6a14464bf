package quota

// Demand is the total amount that the unfinished tasks of a job need.
type Demand struct {
	Team   string
	Amount Amount
}

// Entitled reports for each job whether it fits into its team's guarantee together with the team's
// earlier jobs. The jobs must be in the order of their acceptance.
func (l *Ledger) Entitled(jobs []Demand) []bool {
	entitled := make([]bool, len(jobs))
	sums := map[string]Amount{}
	for i, job := range jobs {
		limits := l.Limits(job.Team)
		if !limits.HasGuarantee() {
			continue
		}
		sum := sums[job.Team].Plus(job.Amount)
		sums[job.Team] = sum
		entitled[i] = limits.WithinGuarantee(sum)
	}
	return entitled
}

// HasGuarantees reports whether any team has a guarantee.
func (l *Ledger) HasGuarantees() bool { return l != nil && l.hasGuarantees }

// TotalGuarantee returns the sum of all teams' guarantees.
func (l *Ledger) TotalGuarantee() (sum Amount) {
	for _, account := range l.accounts {
		sum = sum.Plus(account.limits.Guarantee)
	}
	return sum
}

// RunnableShare returns the fraction of a team's waiting work that its limit allows to run in addition
// to its current usage.
func (l *Ledger) RunnableShare(team string, waiting Amount) float64 {
	account := l.accounts[team]
	if account == nil {
		return 1
	}
	return min(runnableShare(account.limits.Limit.Cores, account.total.Cores, waiting.Cores),
		runnableShare(account.limits.Limit.Accelerators, account.total.Accelerators, waiting.Accelerators))
}

func runnableShare(limit, used, waiting Units) float64 {
	if limit == 0 || used+waiting <= limit {
		return 1
	}
	return float64(max(0, limit-used)) / float64(waiting)
}
