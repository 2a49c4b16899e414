package scheduler

import (
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/placement"
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
		clear(s.pass.full)
		clear(s.pass.lacks)
	}
	for _, b := range slices.Backward(booked) {
		b.machine.Attempts.Delete(b.attempt.Key)
		b.machine.looked = 0
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
		class, plain := placementClassOf(queued)
		if full := plain && s.pass.full[class] || s.lacksRoomLocked(queued.Size, now); !full || queued.IsService() {
			var wait bool
			m, wait = s.findWithImageLocked(queued, now, s.teams.Guaranteed(queued))
			if wait || m == nil && s.awaitImageLocked(queued, now) {
				return
			}
			switch {
			case m != nil:
				queued.DeferredSince = time.Time{}
			case full:
			case withImage && s.hasRoomLocked(queued, now) && s.defersFetchLocked(queued, now):
				return
			default:
				m = s.findAnyLocked(queued, now)
			}
		}
		if m == nil {
			if plain {
				s.pass.full[class] = true
			}
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

func (s *Scheduler) fits(queued *queue.Job, now time.Time) func(*machine) bool {
	return func(m *machine) bool { return s.fitsLocked(queued, m, now) }
}

// findWithImageLocked chooses among machines that hold the image, which come first
// since a fetch takes longer than all the rest of a start: the most recently
// used one that fits, else an idle one, which it opens. For a service, room is
// made on one of those before another machine fetches the image; wait tells
// that this is under way.
func (s *Scheduler) findWithImageLocked(queued *queue.Job, now time.Time, guaranteed bool) (m *machine, wait bool) {
	if s.lacksRoomLocked(queued.Size, now) {
		return nil, queued.IsService() && s.preemptLocked(queued, now, true, guaranteed)
	}
	fits := s.fits(queued, now)
	holds := func(m *machine) bool { return fits(m) && m.HasImage(queued.Record.Job.Image) }
	service := queued.Record.Job.Kind == wire.KindService
	first := holds
	if service {
		first = func(m *machine) bool { return holds(m) && s.belowHalfLocked(queued, m) }
	}
	if m, ok := s.list.Walk(first); ok {
		return m, false
	}
	if idle := s.idleLocked(queued, now); idle != nil && idle.HasImage(queued.Record.Job.Image) {
		s.list.MoveToFront(idle)
		return idle, false
	}
	if !service {
		return nil, false
	}
	if m, ok := s.list.Walk(holds); ok {
		return m, false
	}
	return nil, s.preemptLocked(queued, now, true, guaranteed)
}

// findAnyLocked chooses among all machines in the same way. Replicas stacked on one machine
// are all lost with it, and their images are then nowhere else: as long as
// another machine can take a replica, they fill half of one at most.
func (s *Scheduler) findAnyLocked(queued *queue.Job, now time.Time) *machine {
	if s.lacksRoomLocked(queued.Size, now) {
		return nil
	}
	fits := s.fits(queued, now)
	idle := s.idleLocked(queued, now)
	if queued.Record.Job.Kind == wire.KindService {
		roomy := func(m *machine) bool { return fits(m) && s.belowHalfLocked(queued, m) }
		if m, ok := s.list.Walk(roomy); ok {
			return m
		}
		if idle != nil {
			s.list.MoveToFront(idle)
			return idle
		}
	}
	if m, ok := s.list.Walk(fits); ok {
		return m
	}
	if idle != nil {
		s.list.MoveToFront(idle)
	}
	return idle
}

// hasRoomLocked tells whether any machine takes a task of the job.
func (s *Scheduler) hasRoomLocked(queued *queue.Job, now time.Time) bool {
	if s.lacksRoomLocked(queued.Size, now) {
		return false
	}
	if s.idleLocked(queued, now) != nil {
		return true
	}
	_, ok := s.list.Find(s.fits(queued, now))
	return ok
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

// belowHalfLocked tells whether one more replica leaves services on at most
// half of the machine.
func (s *Scheduler) belowHalfLocked(queued *queue.Job, m *machine) bool {
	if m == nil || m.Type == nil {
		return false
	}
	sum := queued.Size
	for _, a := range m.Attempts.All() {
		if a.Service && !a.Exited() {
			sum = sum.Plus(a.Size)
		}
	}
	return sum.Within(placement.Capacity(m.Type).Times(0.5))
}

// acceptsLocked tells whether new tasks may go to the machine, if there is room.
func (s *Scheduler) acceptsLocked(m *machine, now time.Time) bool {
	return s.synced(m) && m.Type != nil && !m.returning && !m.returnIntent && !m.quarantined && m.Responsive() &&
		m.Notice.IsZero() && !now.Before(m.cooling) && now.Sub(m.LastHeartbeat) < s.detector.SuspectAfter() && !s.detector.HeartbeatsMissing(&m.Worker, now)
}

// usableLocked tells whether new tasks may go to the machine at all.
func (s *Scheduler) usableLocked(m *machine, now time.Time) bool {
	if !s.acceptsLocked(m, now) {
		return false
	}
	_, sized := m.Room()
	return sized
}

func (s *Scheduler) fitsLocked(queued *queue.Job, m *machine, now time.Time) bool {
	if s.lookLocked(m, now); !m.usable || !queued.Size.Within(m.free) {
		return false
	}
	return (len(m.reservations) == 0 || queued.Size.Within(s.unreservedLocked(m, queued.Record.Job.ID, now))) && s.allowedLocked(queued, m)
}

func (s *Scheduler) allowedLocked(queued *queue.Job, m *machine) bool {
	if !placement.Allows(&queued.Record.Job, m.Place(), placement.Spread{ByZone: queued.Zones}) {
		return false
	}
	if queued.Avoids(m.Name) {
		return false
	}
	return m.Attempts.Len() < s.valueLimit.MaxAttempts()
}

// placeLocked books a task on a machine. The attempt's number rises with each
// placement, across controllers and restarts, since tokens do.
func (s *Scheduler) placeLocked(queued *queue.Job, index int, m *machine, now time.Time) *fleet.Attempt {
	a := s.newAttempt(queued, index)
	m.Add(a, now)
	m.looked = 0
	s.countAttemptLocked(m.Zone, a)
	m.record.Dirty = true
	s.log.Debug("placed", "task", a.Task, "attempt", a.Attempt, "machine", m.Name, "image_held", m.HasImage(a.Image))
	return a
}

// numbersLeftLocked makes sure that there are numbers for attempts under the
// token, and returns false while there are not.
func (s *Scheduler) numbersLeftLocked(now time.Time) bool {
	left := s.numbers.left(s.epoch.Token)
	if left < fewNumbersLeft {
		s.raiseLocked(now)
	}
	return left >= noNumbersLeft
}

func (s *Scheduler) newAttempt(queued *queue.Job, index int) *fleet.Attempt {
	j := &queued.Record.Job
	a := &fleet.Attempt{Key: fleet.Key{Task: wire.TaskID(j.ID, index), Attempt: s.numbers.next(s.epoch.Token)}, Job: j.ID, Index: index}
	s.describe(a, j, queued.EffectivePriority)
	return a
}
