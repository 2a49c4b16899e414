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

	refreshedInPass uint64 // number of the pass in which usable and free were computed; 0 if they are out of date
	usable          bool
	free            placement.Resources

	reservations []reservation
}

// NewMachine returns a machine without reservations. accepts reports whether the
// machine may take new tasks, regardless of room.
func NewMachine(m *fleet.Machine, accepts func(now time.Time) bool) *Machine {
	return &Machine{Machine: m, accepts: accepts}
}

// RoomChanged must be called after attempts were added to the machine or removed
// from it. It invalidates the cached free resources.
func (m *Machine) RoomChanged() { m.refreshedInPass = 0 }

// reservation is room on a machine that is kept free for one task of a hosted job
// until the job's owner sends its next placement request.
type reservation struct {
	job   string
	size  placement.Resources
	until time.Time
}

// Reserve reserves room for one task of a hosted job, for ReservationTimeout.
func (m *Machine) Reserve(job string, size placement.Resources, now time.Time) {
	m.reservations = append(m.reservations, reservation{job: job, size: size, until: now.Add(ReservationTimeout)})
}

// UseReservation removes one reservation of the job, if there is one. It is called
// when a task of the job is placed.
func (m *Machine) UseReservation(job string) {
	if i := slices.IndexFunc(m.reservations, func(r reservation) bool { return r.job == job }); i >= 0 {
		m.reservations = slices.Delete(m.reservations, i, i+1)
	}
}

// servicesBelowHalf reports whether service replicas would take at most half of the
// machine if one more of the given size were placed on it.
func (m *Machine) servicesBelowHalf(size placement.Resources) bool {
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
