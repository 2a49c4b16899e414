package scheduler

import (
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/queue"
	"heronwick/internal/quota"
)

// gangBooking is the placement of one task of a gang, which is undone if not all tasks
// of the gang find room.
type gangBooking struct {
	machine  *machine
	attempt  *fleet.Attempt
	wasDirty bool // whether the record of the machine already had to be written
}

// placeGangLocked places either all tasks of a gang, opening idle machines as needed, or
// none: if one finds no room, the others are removed again. It places none while tasks
// of an earlier placement may still run. Those end by themselves, since a task of a gang
// does not run without the others.
func (s *Scheduler) placeGangLocked(queued *queue.Job, now time.Time) {
	if queued.LiveTasks() > 0 || !s.teams.MayStart(queued, queued.Pending()) {
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
		a := s.newAttempt(queued, index)
		if len(booked) > 0 {
			a.Attempt = booked[0].attempt.Attempt // tasks of a gang find each other by their common attempt number
		}
		wasDirty := m.record.Dirty
		if !s.placeLocked(a, m, now) {
			break
		}
		queued.Dequeue()
		booked = append(booked, gangBooking{m, a, wasDirty})
	}
	s.freeBookingsLocked(booked)
	if queued.UnplacedSince.IsZero() {
		queued.UnplacedSince = now
	}
}

// findMachineForGangTaskLocked finds a machine for a gang's next task, preferably one
// that holds its image. It returns nil if there is none.
func (s *Scheduler) findMachineForGangTaskLocked(queued *queue.Job, now time.Time) *machine {
	const guaranteed = false // used only for services, for which tasks may be preempted
	if m, _ := s.findWithImageLocked(queued, now, guaranteed); m != nil {
		return m
	}
	return s.findAnyLocked(queued, now)
}

// freeBookingsLocked removes the placed tasks of a gang that found no room as a whole.
// It neither wakes the scheduler nor writes records: otherwise each failed placement
// would trigger the next one immediately for as long as the gang waits.
func (s *Scheduler) freeBookingsLocked(booked []gangBooking) {
	if len(booked) > 0 {
		s.packer.RoomFreed()
	}
	for _, b := range slices.Backward(booked) {
		b.machine.Attempts.Delete(b.attempt.Key)
		b.machine.packing.RoomChanged()
		b.machine.record.Dirty = b.wasDirty
		s.uncountWithoutWakeLocked(b.attempt, quota.GangIncomplete)
		s.updateOpenLocked(b.machine)
	}
}
