package placement

import "math"

// Quantity is an amount of one resource in whole units of quantityUnit. Unlike sums of
// floating-point numbers, a sum of quantities is exact: after the same amounts have been
// added and subtracted any number of times, it is what it was before.
type Quantity int64

const (
	// quantityUnit is the amount of a resource, for example in CPUs, that is one unit.
	quantityUnit = 1e-12
	// quantityTolerance absorbs the rounding of amounts that are no whole number of
	// units, such as thirds.
	quantityTolerance Quantity = 1e-9 / quantityUnit
	// maxQuantity is the largest quantity. Larger amounts, which no fleet has, count as
	// this one.
	maxQuantity Quantity = math.MaxInt64 / 2
)

// QuantityOf returns the quantity for an amount of a resource.
func QuantityOf(amount float64) Quantity {
	units := math.Round(amount / quantityUnit)
	if units >= float64(maxQuantity) {
		return maxQuantity
	}
	return Quantity(units)
}

// Amount returns the amount of the resource that q stands for.
func (q Quantity) Amount() float64 { return float64(q) * quantityUnit }

// Plus returns the sum of q and other, which must not be negative.
func (q Quantity) Plus(other Quantity) Quantity { return min(q+other, maxQuantity) }

// Times returns q, which must not be negative, multiplied by n.
func (q Quantity) Times(n int) Quantity {
	if n > 0 && q > maxQuantity/Quantity(n) {
		return maxQuantity
	}
	return q * Quantity(n)
}

// Exceeds reports whether q is larger than the limit.
func (q Quantity) Exceeds(limit Quantity) bool { return q > limit+quantityTolerance }

// ExceedsLimit is Exceeds for a limit of which 0 means that there is none.
func (q Quantity) ExceedsLimit(limit Quantity) bool { return limit > 0 && q.Exceeds(limit) }
