package scheduler

import (
	"slices"
	"time"

	"heronwick/internal/placement"
	"heronwick/internal/queue"
	"heronwick/internal/remote"
)

// reservationTimeout is how long room is reserved for a hosted job; its owner
// asks again every remote.RetryAfter.
const reservationTimeout = 2 * remote.RetryAfter

// reservation is room on a machine that is kept for one task of a hosted job,
// until its owner asks for it again.
type reservation struct {
	job   string
	size  placement.Resources
	until time.Time
}

// reserveLocked reserves free room for the tasks of a hosted job that found
// none: on open machines first, then on idle ones.
func (s *Scheduler) reserveLocked(hosted *queue.Job, now time.Time, withImage bool) {
	id := hosted.Record.Job.ID
	reserved := s.reservedLocked(now)
	wants := min(hosted.OwnerUnplaced, maxRequestTasksPerJob) - reserved[id]
	class, plain := placementClassOf(hosted)
	if wants <= 0 || plain && s.pass.full[class] || s.lacksRoomLocked(hosted.Size, now) {
		return
	}
	reserve := func(m *machine) {
		for wants > 0 && s.mayReserveLocked(hosted, m, now, withImage) {
			m.reservations = append(m.reservations, reservation{job: id, size: hosted.Size, until: now.Add(reservationTimeout)})
			reserved[id]++
			wants--
		}
	}
	for _, m := range s.list.Order() {
		reserve(m)
	}
	// Also where nothing runs any more: machines whose tasks all end together
	// would otherwise never be for hosted jobs.
	for _, m := range s.idleMachinesLocked(now) {
		if !s.list.Has(m) {
			reserve(m)
		}
	}
	if plain && !withImage && wants > 0 {
		s.pass.full[class] = true
	}
}

// mayReserveLocked tells whether the machine has room, beside all reservations,
// for another task of the hosted job.
func (s *Scheduler) mayReserveLocked(hosted *queue.Job, m *machine, now time.Time, withImage bool) bool {
	return (!withImage || m.HasImage(hosted.Record.Job.Image)) && s.fitsLocked(hosted, m, now) &&
		hosted.Size.Within(s.unreservedLocked(m, "", now))
}

// unreservedLocked is the machine's free room less what is reserved for other
// jobs than the given one.
func (s *Scheduler) unreservedLocked(m *machine, job string, now time.Time) placement.Resources {
	s.lookLocked(m, now)
	room := m.free
	m.reservations = slices.DeleteFunc(m.reservations, func(r reservation) bool { return !now.Before(r.until) })
	for _, r := range m.reservations {
		if r.job != job {
			room = room.Minus(r.size)
		}
	}
	return room
}

// useReservation ends the reservation of room for one task of the job.
func (m *machine) useReservation(job string) {
	if i := slices.IndexFunc(m.reservations, func(r reservation) bool { return r.job == job }); i >= 0 {
		m.reservations = slices.Delete(m.reservations, i, i+1)
	}
}

// reservedLocked counts the tasks of hosted jobs that room is reserved for, by
// job.
func (s *Scheduler) reservedLocked(now time.Time) map[string]int {
	if s.pass.reserved == nil {
		s.pass.reserved = map[string]int{}
		for _, m := range s.machines {
			for _, r := range m.reservations {
				if now.Before(r.until) {
					s.pass.reserved[r.job]++
				}
			}
		}
	}
	return s.pass.reserved
}
