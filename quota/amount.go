package quota

import "math"

// Units is an amount in millionths of a core or of an accelerator, so that sums of decimal amounts
// are exact in whatever order they are added and subtracted.
type Units int64

const (
	// unitsPerWhole is the number of units of one core or accelerator.
	unitsPerWhole = 1_000_000
	// maxUnits bounds one amount, so that a sum of millions of them can't overflow.
	maxUnits Units = 1 << 40
)

// ToUnits rounds a decimal amount to units, to at least zero and at most maxUnits. NaN becomes zero.
func ToUnits(decimal float64) Units {
	units := math.Round(decimal * unitsPerWhole)
	switch {
	case !(units > 0):
		return 0
	case units >= float64(maxUnits):
		return maxUnits
	}
	return Units(units)
}

// Decimal is the amount in cores or accelerators.
func (u Units) Decimal() float64 { return float64(u) / unitsPerWhole }

// Amount is what tasks use of the resources that have quotas.
type Amount struct {
	Cores        Units
	Accelerators Units
}

// NewAmount makes an Amount from decimal numbers.
func NewAmount(cores, accelerators float64) Amount {
	return Amount{Cores: ToUnits(cores), Accelerators: ToUnits(accelerators)}
}

// Plus is the sum of two amounts.
func (a Amount) Plus(b Amount) Amount {
	return Amount{Cores: a.Cores + b.Cores, Accelerators: a.Accelerators + b.Accelerators}
}

// Minus is the difference of two amounts.
func (a Amount) Minus(b Amount) Amount {
	return Amount{Cores: a.Cores - b.Cores, Accelerators: a.Accelerators - b.Accelerators}
}

// Times is the amount of the given number of tasks.
func (a Amount) Times(tasks int) Amount {
	return Amount{Cores: a.Cores * Units(tasks), Accelerators: a.Accelerators * Units(tasks)}
}

// Tasks is the number of tasks of the given amount each that fit into a, at most maxTasks.
func (a Amount) Tasks(each Amount, maxTasks int) int {
	for _, r := range []struct{ available, needed Units }{{a.Cores, each.Cores}, {a.Accelerators, each.Accelerators}} {
		if r.needed > 0 {
			maxTasks = min(maxTasks, int(r.available/r.needed))
		}
	}
	return max(0, maxTasks)
}

// Limits are a team's guarantee and limit. Zero means that the team has none for that resource.
type Limits struct {
	Guarantee Amount
	Limit     Amount
}

// Admit tells whether a total usage is within the limit.
func (l Limits) Admit(total Amount) bool {
	return within(total.Cores, l.Limit.Cores) && within(total.Accelerators, l.Limit.Accelerators)
}

// within tells whether a total is within a limit, zero being none.
func within(total, limit Units) bool { return limit == 0 || total <= limit }

// HasGuarantee tells whether the team has any guarantee.
func (l Limits) HasGuarantee() bool { return l.Guarantee != (Amount{}) }

// Covers tells whether a total usage is within the guarantee.
func (l Limits) Covers(total Amount) bool {
	return total.Cores <= l.Guarantee.Cores && total.Accelerators <= l.Guarantee.Accelerators
}

// HasLimit tells whether the team has any limit.
func (l Limits) HasLimit() bool { return l.Limit != (Amount{}) }
