package scheduler

import (
	"iter"

	"heronwick/internal/packing"
)

// packingFleet is what the Packer sees of the scheduler.
type packingFleet struct{ *Scheduler }

// Machines implements packing.Fleet.
func (f packingFleet) Machines() iter.Seq[*packing.Machine] {
	return func(yield func(*packing.Machine) bool) {
		for _, m := range f.machines {
			if !yield(m.packing) {
				return
			}
		}
	}
}

// AnyMachine implements packing.Fleet.
func (f packingFleet) AnyMachine(condition func(*packing.Machine) bool) bool {
	for _, m := range f.machines {
		if condition(m.packing) {
			return true
		}
	}
	return false
}

// Owns implements packing.Fleet.
func (f packingFleet) Owns(p *packing.Machine) bool {
	m := f.machines[p.Name]
	return m != nil && m.packing == p
}

// MaxAttempts implements packing.Fleet.
func (f packingFleet) MaxAttempts() int { return f.valueLimit.MaxAttempts() }
