package packing

import (
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/placement"
)

// Machine is a machine on which tasks may be placed.
type Machine struct {
	*fleet.Machine
	accepts func(now time.Time) bool

	observed uint64 // the pass that has found usable and free; 0: none
	usable   bool
	free     placement.Resources

	reservations []reservation
}

// NewMachine returns a machine without reservations. accepts reports whether new
// tasks may go to it, if there is room.
func NewMachine(m *fleet.Machine, accepts func(now time.Time) bool) *Machine {
	return &Machine{Machine: m, accepts: accepts}
}

// RoomChanged notes that attempts were added to the machine or removed from it.
func (m *Machine) RoomChanged() { m.observed = 0 }

// reservation is room on a machine that is kept for one task of a hosted job,
// until its owner requests it again.
type reservation struct {
	job   string
	size  placement.Resources
	until time.Time
}

// Reserve keeps room for one task of a hosted job.
func (m *Machine) Reserve(job string, size placement.Resources, now time.Time) {
	m.reservations = append(m.reservations, reservation{job: job, size: size, until: now.Add(ReservationTimeout)})
}

// UseReservation ends the reservation of room for one task of the job, if
// there is one.
func (m *Machine) UseReservation(job string) {
	if i := slices.IndexFunc(m.reservations, func(r reservation) bool { return r.job == job }); i >= 0 {
		m.reservations = slices.Delete(m.reservations, i, i+1)
	}
}

// belowHalf reports whether one more replica of the size leaves services on at
// most half of the machine.
func (m *Machine) belowHalf(size placement.Resources) bool {
	if m.Type == nil {
		return false
	}
	sum := size
	for _, a := range m.Attempts.All() {
		if a.Service && !a.Exited() {
			sum = sum.Plus(a.Size)
		}
	}
	return sum.Within(placement.Capacity(m.Type).Times(0.5))
}
