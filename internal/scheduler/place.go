package scheduler

import (
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/queue"
	"heronwick/wire"
)

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
		time.AfterFunc(imageWaitTimeout, s.wakeLoop)
	}
	return now.Sub(queued.ImageWaitSince) < imageWaitTimeout
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
