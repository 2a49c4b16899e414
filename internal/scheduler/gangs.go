package scheduler

import (
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/queue"
)

// gangBooking is a task of a gang that is booked on a machine until all are.
type gangBooking struct {
	machine  *machine
	attempt  *fleet.Attempt
	wasDirty bool // whether the machine's record was to be written anyway
}

// placeGangLocked places all tasks of a gang in one walk, opening machines as
// needed, or none: then its bookings are freed. While some tasks of an earlier
// try may still run, the others wait: without peers they end by themselves.
func (s *Scheduler) placeGangLocked(queued *queue.Job, now time.Time) {
	if queued.LiveTasks() > 0 || !s.teams.WithinLimit(queued, queued.Pending()) {
		return
	}
	var booked []gangBooking
	for {
		index, ok := queued.NextTask()
		if !ok {
			queued.UnplacedSince = time.Time{}
			return
		}
		m := s.findMachineForGangTaskLocked(queued, now)
		if m == nil {
			break
		}
		queued.Dequeue()
		wasDirty := m.record.Dirty
		a := s.placeLocked(queued, index, m, now)
		if len(booked) > 0 {
			// Peers find each other by the number of their attempt.
			m.Attempts.Delete(a.Key)
			a.Attempt = booked[0].attempt.Attempt
			m.Attempts.Put(a)
		}
		booked = append(booked, gangBooking{m, a, wasDirty})
	}
	s.freeBookingsLocked(booked)
	if queued.UnplacedSince.IsZero() {
		queued.UnplacedSince = now
	}
}

// findMachineForGangTaskLocked finds a machine for a gang's next task, one that holds its
// image first; nil if there is none.
func (s *Scheduler) findMachineForGangTaskLocked(queued *queue.Job, now time.Time) *machine {
	const guaranteed = false // counts only for services, for which others are stopped
	if m, _ := s.findWithImageLocked(queued, now, guaranteed); m != nil {
		return m
	}
	return s.findAnyLocked(queued, now)
}

// freeBookingsLocked takes back the bookings of a gang that found no room as a
// whole, without waking the scheduler or writing records: that would set off
// the next try at once, for as long as the gang waits.
func (s *Scheduler) freeBookingsLocked(booked []gangBooking) {
	if len(booked) > 0 { // there is more room again
		s.packer.RoomFreed()
	}
	for _, b := range slices.Backward(booked) {
		b.machine.Attempts.Delete(b.attempt.Key)
		b.machine.packing.RoomChanged()
		b.machine.record.Dirty = b.wasDirty
		s.uncountWithoutWakeLocked(b.attempt)
		s.updateOpenLocked(b.machine)
	}
}
