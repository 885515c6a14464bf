package quota

// Demand is what an unfinished job asks for.
type Demand struct {
	Team   string
	Amount Amount
}

// Entitled tells for each job, given in the order of acceptance, whether it fits into
// its team's guarantee together with the team's earlier ones.
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
		entitled[i] = limits.Covers(sum)
	}
	return entitled
}

// HasGuarantees tells whether any team has a guarantee.
func (l *Ledger) HasGuarantees() bool { return l != nil && l.hasGuarantees }

// TotalGuarantee is the sum of all guarantees.
func (l *Ledger) TotalGuarantee() (sum Amount) {
	for _, a := range l.accounts {
		sum = sum.Plus(a.limits.Guarantee)
	}
	return sum
}
