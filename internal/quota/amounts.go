package quota

import "heronwick/internal/placement"

// Amounts are the resources that guarantees and limits are about. Tasks are added to usage and
// subtracted from it for as long as a controller runs, so the amounts must be exact.
type Amounts struct {
	CPUs, GPUs placement.Quantity
}

// AmountsOf returns what the given number of tasks of a size use.
func AmountsOf(size placement.Resources, tasks int) Amounts {
	return Amounts{
		CPUs: placement.QuantityOf(size.CPUs).Times(tasks),
		GPUs: placement.QuantityOf(size.GPUs).Times(tasks),
	}
}

func (a Amounts) plus(other Amounts) Amounts {
	return Amounts{CPUs: a.CPUs.Plus(other.CPUs), GPUs: a.GPUs.Plus(other.GPUs)}
}

func (a Amounts) minus(other Amounts) Amounts {
	return Amounts{CPUs: a.CPUs - other.CPUs, GPUs: a.GPUs - other.GPUs}
}

// exceeds reports whether a exceeds a guarantee in any resource.
func (a Amounts) exceeds(guarantee Amounts) bool {
	return a.CPUs.Exceeds(guarantee.CPUs) || a.GPUs.Exceeds(guarantee.GPUs)
}

// exceedsLimit is exceeds for a limit, of which a resource without a limit is 0.
func (a Amounts) exceedsLimit(limit Amounts) bool {
	return a.CPUs.ExceedsLimit(limit.CPUs) || a.GPUs.ExceedsLimit(limit.GPUs)
}

// isZero reports whether no resource is limited by a.
func (a Amounts) isZero() bool { return a == Amounts{} }
