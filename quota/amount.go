package quota

import "math"

// Units is an integer amount in millionths of a core or an accelerator, so that sums of decimal amounts
// are exact in whatever order they are added and subtracted.
type Units int64

const (
	// unitsPerWhole is the number of units in one core or accelerator.
	unitsPerWhole = 1_000_000
	// maxUnits is the largest amount, chosen so that a sum of millions of amounts can't overflow.
	maxUnits Units = 1 << 40
)

// ToUnits rounds a decimal amount to units and clamps it to [0, maxUnits]. NaN becomes zero.
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

// Decimal returns the amount in cores or accelerators.
func (u Units) Decimal() float64 { return float64(u) / unitsPerWhole }

// Amount holds an amount of each resource that has quotas.
type Amount struct {
	Cores        Units
	Accelerators Units
}

// NewAmount converts decimal numbers of cores and accelerators to an Amount.
func NewAmount(cores, accelerators float64) Amount {
	return Amount{Cores: ToUnits(cores), Accelerators: ToUnits(accelerators)}
}

// Plus returns a + b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{Cores: a.Cores + b.Cores, Accelerators: a.Accelerators + b.Accelerators}
}

// Minus returns a - b.
func (a Amount) Minus(b Amount) Amount {
	return Amount{Cores: a.Cores - b.Cores, Accelerators: a.Accelerators - b.Accelerators}
}

// negated returns -a.
func (a Amount) negated() Amount { return Amount{Cores: -a.Cores, Accelerators: -a.Accelerators} }

// Times returns the amount that the given number of tasks use if each uses a.
func (a Amount) Times(tasks int) Amount {
	return Amount{Cores: a.Cores * Units(tasks), Accelerators: a.Accelerators * Units(tasks)}
}

// MaxTasks returns how many tasks that use the given amount each fit into a, at most maxTasks.
func (a Amount) MaxTasks(each Amount, maxTasks int) int {
	for _, r := range []struct{ available, needed Units }{{a.Cores, each.Cores}, {a.Accelerators, each.Accelerators}} {
		if r.needed > 0 {
			maxTasks = min(maxTasks, int(r.available/r.needed))
		}
	}
	return max(0, maxTasks)
}

// Limits holds a team's guarantee and limit. Zero means that the team has none for that resource.
type Limits struct {
	Guarantee Amount
	Limit     Amount
}

// WithinLimit reports whether a total usage is within the limit.
func (l Limits) WithinLimit(total Amount) bool {
	return within(total.Cores, l.Limit.Cores) && within(total.Accelerators, l.Limit.Accelerators)
}

// within reports whether a total is within a limit. A limit of zero means no limit.
func within(total, limit Units) bool { return limit == 0 || total <= limit }

// HasGuarantee reports whether the team has a guarantee of any resource.
func (l Limits) HasGuarantee() bool { return l.Guarantee != (Amount{}) }

// WithinGuarantee reports whether a total usage is within the guarantee.
func (l Limits) WithinGuarantee(total Amount) bool {
	return total.Cores <= l.Guarantee.Cores && total.Accelerators <= l.Guarantee.Accelerators
}

// HasLimit reports whether the team has a limit for any resource.
func (l Limits) HasLimit() bool { return l.Limit != (Amount{}) }
