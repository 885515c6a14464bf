package quota

import "math"

// Units counts millionths of a core or of an accelerator, so that sums of decimal
// amounts are exact whatever the order in which they are added and taken off.
type Units int64

// unitsPerWhole is how many units a whole core or accelerator has.
const unitsPerWhole = 1_000_000

// maxUnits bounds one amount, so that a sum of millions of them can't overflow.
const maxUnits Units = 1 << 40

// ToUnits rounds a decimal amount to units. What is negative or no number counts as
// nothing, what is absurdly large as the largest amount there is.
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

// Decimal is the amount as the protocol writes it.
func (u Units) Decimal() float64 { return float64(u) / unitsPerWhole }

// Amount is what tasks take of the resources that teams are limited in.
type Amount struct {
	Cores        Units
	Accelerators Units
}

// NewAmount makes an Amount of decimal numbers.
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

// Times is the amount of so many tasks.
func (a Amount) Times(tasks int) Amount {
	return Amount{Cores: a.Cores * Units(tasks), Accelerators: a.Accelerators * Units(tasks)}
}

// Tasks is how many tasks of the given amount fit into a, at most so many.
func (a Amount) Tasks(each Amount, most int) int {
	for _, r := range []struct{ whole, part Units }{{a.Cores, each.Cores}, {a.Accelerators, each.Accelerators}} {
		if r.part > 0 {
			most = min(most, int(r.whole/r.part))
		}
	}
	return max(0, most)
}

// Limits are what a team may use. Zero means that there is no limit, or no guarantee,
// for that resource.
type Limits struct {
	Guarantee Amount
	Limit     Amount
}

// Admit tells whether a total of use stays within the limit.
func (l Limits) Admit(total Amount) bool {
	return within(total.Cores, l.Limit.Cores) && within(total.Accelerators, l.Limit.Accelerators)
}

func within(total, limit Units) bool { return limit == 0 || total <= limit }

// HasGuarantee tells whether the team has any guarantee.
func (l Limits) HasGuarantee() bool { return l.Guarantee != (Amount{}) }

// Covers tells whether a total of use stays within the guarantee.
func (l Limits) Covers(total Amount) bool {
	return total.Cores <= l.Guarantee.Cores && total.Accelerators <= l.Guarantee.Accelerators
}

// HasLimit tells whether the team has any limit.
func (l Limits) HasLimit() bool { return l.Limit != (Amount{}) }
