package scheduler

import (
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/queue"
	"heronwick/wire"
)

// placeJobLocked places a job's tasks as far as there is room. With
// ImageRequired, they go where the job's image is, and elsewhere only once the
// job has left room there to others for long enough.
func (s *Scheduler) placeJobLocked(queued *queue.Job, now time.Time, images queue.ImagePolicy) {
	for {
		index, ok := queued.NextTask()
		if !ok {
			if queued.RequestedTasks == 0 {
				queued.UnplacedSince = time.Time{}
			}
			return
		}
		if !s.teams.WithinLimit(queued, 1) {
			queued.UnplacedSince = time.Time{} // more machines would not help
			return
		}
		m, waits := s.findMachineForTaskLocked(queued, now, images)
		if waits {
			return
		}
		if m == nil {
			s.handleNoRoomLocked(queued, now)
			return
		}
		queued.Dequeue()
		s.placeLocked(queued, index, m, now)
	}
}

// findMachineForTaskLocked finds a machine for the job's next task, nil if there is no
// room. waits tells that the task waits although there may be room: for what is
// being stopped beside its image, for the other schedulers' answers, or for others
// that need no fetch there.
func (s *Scheduler) findMachineForTaskLocked(queued *queue.Job, now time.Time, images queue.ImagePolicy) (m *machine, waits bool) {
	full := s.packer.Full(queued, now)
	if full && !queued.IsService() {
		return nil, false
	}
	m, making := s.findWithImageLocked(queued, now, s.teams.Guaranteed(queued))
	if making || m == nil && s.awaitRemoteImageLocked(queued, now) {
		return nil, true
	}
	switch {
	case m != nil:
		queued.DeferredSince = time.Time{}
		return m, false
	case full:
		return nil, false
	case images == queue.ImageRequired && s.packer.HasRoom(queued, now) && s.defersFetchLocked(queued, now):
		return nil, true
	}
	return s.findAnyLocked(queued, now), false
}

// defersFetchLocked reports whether a job leaves a machine that would have to
// fetch its image to others whose image it holds: for as long as the fetch
// would take, since then waiting has cost as much, and whenever one before it
// in the same turn does.
func (s *Scheduler) defersFetchLocked(queued *queue.Job, now time.Time) bool {
	if queued.DeferredSince.IsZero() {
		queued.DeferredSince = now
	}
	if now.Sub(queued.DeferredSince) <= queued.ImageFetchTime {
		s.fetchDeferred = true
	}
	return s.fetchDeferred
}

// handleNoRoomLocked notes that a job's next task finds no room, and stops other tasks
// for it as far as the rules permit.
func (s *Scheduler) handleNoRoomLocked(queued *queue.Job, now time.Time) {
	s.packer.SetFull(queued)
	if queued.UnplacedSince.IsZero() {
		queued.UnplacedSince = now
	}
	s.preemptLocked(queued, now, queue.ImageOptional, s.teams.Guaranteed(queued))
}

// findWithImageLocked opens or finds a machine for the job that holds its image.
// For a service, room is made on one of those before another machine fetches
// the image; making tells that this is under way.
func (s *Scheduler) findWithImageLocked(queued *queue.Job, now time.Time, guaranteed bool) (m *machine, making bool) {
	if found := s.packer.FindWithImage(queued, now); found != nil {
		return s.machines[found.Name], false
	}
	return nil, queued.IsService() && s.preemptLocked(queued, now, queue.ImageRequired, guaranteed)
}

// findAnyLocked opens or finds a machine for the job, whatever images it holds.
func (s *Scheduler) findAnyLocked(queued *queue.Job, now time.Time) *machine {
	if found := s.packer.FindAny(queued, now); found != nil {
		return s.machines[found.Name]
	}
	return nil
}

// imageWaitTimeout is how long a service's task waits for the other schedulers to say
// whether they have room beside its image, before it goes where that must be
// fetched.
const imageWaitTimeout = 300 * time.Millisecond

// awaitRemoteImageLocked reports whether the other schedulers may still answer that they have
// room beside the job's image.
func (s *Scheduler) awaitRemoteImageLocked(queued *queue.Job, now time.Time) bool {
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
