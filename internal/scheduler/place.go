package scheduler

import (
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/queue"
	"heronwick/wire"
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
		m, _ := s.findWithImageLocked(queued, now, false)
		if m == nil {
			m = s.findAnyLocked(queued, now)
		}
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
		s.releaseAttemptLocked(b.attempt)
		s.closeIfEmptyLocked(b.machine)
	}
}

// placeJobLocked places a job's tasks as far as there is room. With withImage, they
// go where the job's image is, and elsewhere only once the job has passed up
// enough.
func (s *Scheduler) placeJobLocked(queued *queue.Job, now time.Time, withImage bool) {
	for {
		index, ok := queued.NextTask()
		if !ok {
			if queued.Requested == 0 {
				queued.UnplacedSince = time.Time{}
			}
			return
		}
		if !s.teams.WithinLimit(queued, 1) {
			queued.UnplacedSince = time.Time{} // more machines would not help
			return
		}
		var m *machine
		if full := s.packer.Full(queued, now); !full || queued.IsService() {
			var wait bool
			m, wait = s.findWithImageLocked(queued, now, s.teams.Guaranteed(queued))
			if wait || m == nil && s.awaitImageLocked(queued, now) {
				return
			}
			switch {
			case m != nil:
				queued.DeferredSince = time.Time{}
			case full:
			case withImage && s.packer.HasRoom(queued, now) && s.defersFetchLocked(queued, now):
				return
			default:
				m = s.findAnyLocked(queued, now)
			}
		}
		if m == nil {
			s.packer.SetFull(queued)
			if queued.UnplacedSince.IsZero() {
				queued.UnplacedSince = now
			}
			s.preemptLocked(queued, now, false, s.teams.Guaranteed(queued))
			return
		}
		queued.Dequeue()
		s.placeLocked(queued, index, m, now)
	}
}

// findWithImageLocked opens or finds a machine for the job that holds its image.
// For a service, room is made on one of those before another machine fetches
// the image; wait tells that this is under way.
func (s *Scheduler) findWithImageLocked(queued *queue.Job, now time.Time, guaranteed bool) (m *machine, wait bool) {
	if found := s.packer.WithImage(queued, now); found != nil {
		return s.machines[found.Name], false
	}
	return nil, queued.IsService() && s.preemptLocked(queued, now, true, guaranteed)
}

// findAnyLocked opens or finds a machine for the job, whatever images it holds.
func (s *Scheduler) findAnyLocked(queued *queue.Job, now time.Time) *machine {
	if found := s.packer.Any(queued, now); found != nil {
		return s.machines[found.Name]
	}
	return nil
}

// imageWaitTimeout is how long a service's task waits for the other schedulers to say
// whether they have room beside its image, before it goes where that must be
// fetched.
const imageWaitTimeout = 300 * time.Millisecond

// awaitImageLocked tells whether the other schedulers are still to be asked.
func (s *Scheduler) awaitImageLocked(queued *queue.Job, now time.Time) bool {
	if queued.Record.Job.Kind != wire.KindService || len(s.epoch.Members) < 2 {
		return false
	}
	if queued.ImageWaitSince.IsZero() {
		queued.ImageWaitSince = now
		time.AfterFunc(imageWaitTimeout, s.poke)
	}
	return now.Sub(queued.ImageWaitSince) < imageWaitTimeout
}

// acceptsLocked tells whether new tasks may go to the machine, if there is room.
func (s *Scheduler) acceptsLocked(m *machine, now time.Time) bool {
	return s.synced(m) && m.Type != nil && !m.returning && !m.returnIntent && !m.quarantined && m.Responsive() &&
		m.Notice.IsZero() && !now.Before(m.placeNotBefore) && now.Sub(m.LastHeartbeat) < s.detector.SuspectAfter() && !s.detector.HeartbeatsMissing(&m.Worker, now)
}

// usableLocked tells whether new tasks may go to the machine at all.
func (s *Scheduler) usableLocked(m *machine, now time.Time) bool {
	if !s.acceptsLocked(m, now) {
		return false
	}
	_, sized := m.Room()
	return sized
}

// placeLocked books a task on a machine. The attempt's number rises with each
// placement, across controllers and restarts, since tokens do.
func (s *Scheduler) placeLocked(queued *queue.Job, index int, m *machine, now time.Time) *fleet.Attempt {
	a := s.newAttempt(queued, index)
	m.Add(a, now)
	m.packing.RoomChanged()
	s.countAttemptLocked(m.Zone, a)
	m.record.Dirty = true
	s.log.Debug("placed", "task", a.Task, "attempt", a.Attempt, "machine", m.Name, "image_held", m.HasImage(a.Image))
	return a
}

// numbersLeftLocked makes sure that there are numbers for attempts under the
// token, and returns false while there are not.
func (s *Scheduler) numbersLeftLocked(now time.Time) bool {
	left := s.attemptNumbers.Left(s.epoch.Token)
	if left < fleet.FewAttemptNumbers {
		s.raiseLocked(now)
	}
	return left >= fleet.MinAttemptNumbers
}

func (s *Scheduler) newAttempt(queued *queue.Job, index int) *fleet.Attempt {
	j := &queued.Record.Job
	a := &fleet.Attempt{Key: fleet.Key{Task: wire.TaskID(j.ID, index), Attempt: s.attemptNumbers.Next(s.epoch.Token)}, Job: j.ID, Index: index}
	a.Describe(j, queued.EffectivePriority)
	return a
}
