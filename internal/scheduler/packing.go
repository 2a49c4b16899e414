package scheduler

import (
	"iter"

	"heronwick/internal/packing"
)

// packingScheduler implements packing.Scheduler.
type packingScheduler struct{ *Scheduler }

// Machines implements packing.Scheduler.
func (s packingScheduler) Machines() iter.Seq[*packing.Machine] {
	return machineParts(s.Scheduler, func(m *machine) *packing.Machine { return m.packing })
}

// AnyMachine implements packing.Scheduler.
func (s packingScheduler) AnyMachine(condition func(*packing.Machine) bool) bool {
	for _, m := range s.machines {
		if condition(m.packing) {
			return true
		}
	}
	return false
}

// Owns implements packing.Scheduler.
func (s packingScheduler) Owns(p *packing.Machine) bool {
	m := s.machines[p.Name]
	return m != nil && m.packing == p
}

// MaxAttempts implements packing.Scheduler.
func (s packingScheduler) MaxAttempts() int { return s.valueLimit.MaxAttempts() }
