package scheduler

import (
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/queue"
	"heronwick/wire"
)

// placeJobLocked places tasks of a job until none is pending or there is no room. With
// ImageRequired, it uses only machines that hold the job's image, until the job has left
// room on other machines to other jobs for long enough, see shouldDeferFetchLocked.
func (s *Scheduler) placeJobLocked(queued *queue.Job, now time.Time, images queue.ImagePolicy) {
	for {
		index, ok := queued.NextTask()
		if !ok {
			if queued.RequestedTasks == 0 {
				queued.UnplacedSince = time.Time{}
			}
			return
		}
		if !s.teams.MayStart(queued, 1) {
			queued.UnplacedSince = time.Time{} // limited by its team, not by room
			return
		}
		m, deferred := s.findMachineForTaskLocked(queued, now, images)
		if deferred {
			return
		}
		if m == nil {
			s.handleNoRoomLocked(queued, now)
			return
		}
		if !s.placeLocked(s.newAttempt(queued, index), m, now) {
			return
		}
		queued.Dequeue()
	}
}

// findMachineForTaskLocked finds a machine for the job's next task. It returns nil if
// there is no room. It also returns nil, with deferred true, if the task waits although
// there may be room: until tasks that are being stopped leave a machine that holds its
// image, until other schedulers have answered whether they have room on such a machine,
// or because it leaves the room to jobs whose image is cached there.
func (s *Scheduler) findMachineForTaskLocked(queued *queue.Job, now time.Time, images queue.ImagePolicy) (m *machine, deferred bool) {
	full := s.packer.Full(queued, now)
	if full && !queued.IsService() {
		return nil, false
	}
	m, makingRoom := s.findWithImageLocked(queued, now, s.teams.Guaranteed(queued))
	if makingRoom || m == nil && s.awaitRemoteImageLocked(queued, now) {
		return nil, true
	}
	switch {
	case m != nil:
		queued.DeferredSince = time.Time{}
		return m, false
	case full:
		return nil, false
	case images == queue.ImageRequired && s.packer.HasRoom(queued, now) && s.shouldDeferFetchLocked(queued, now):
		return nil, true
	}
	return s.findAnyLocked(queued, now), false
}

// shouldDeferFetchLocked reports whether a job leaves a machine that would have to fetch
// its image to jobs whose image is cached there. It does for about as long as the fetch
// would take: after that, waiting has cost as much as the fetch. It also does so
// whenever an earlier job among those being served does.
func (s *Scheduler) shouldDeferFetchLocked(queued *queue.Job, now time.Time) bool {
	if queued.DeferredSince.IsZero() {
		queued.DeferredSince = now
	}
	if now.Sub(queued.DeferredSince) <= queued.ImageFetchTime {
		s.fetchDeferred = true
	}
	return s.fetchDeferred
}

// handleNoRoomLocked records that there is no room for a job's next task, and stops
// other tasks to make room if the preemption rules permit it.
func (s *Scheduler) handleNoRoomLocked(queued *queue.Job, now time.Time) {
	s.packer.SetFull(queued)
	if queued.UnplacedSince.IsZero() {
		queued.UnplacedSince = now
	}
	s.preemptLocked(queued, now, queue.ImageOptional, s.teams.Guaranteed(queued))
}

// findWithImageLocked finds a machine that holds the job's image and has room for its
// next task; an idle one is added to the open machines. If there is none for a service,
// it preempts tasks on a machine that holds the image rather than have another machine
// fetch it; makingRoom reports whether that is in progress.
func (s *Scheduler) findWithImageLocked(queued *queue.Job, now time.Time, guaranteed bool) (m *machine, makingRoom bool) {
	if found := s.packer.FindWithImage(queued, now); found != nil {
		return s.machines[found.Name], false
	}
	return nil, queued.IsService() && s.preemptLocked(queued, now, queue.ImageRequired, guaranteed)
}

// findAnyLocked finds a machine with room for the job's next task, whatever images it
// holds; an idle one is added to the open machines.
func (s *Scheduler) findAnyLocked(queued *queue.Job, now time.Time) *machine {
	if found := s.packer.FindAny(queued, now); found != nil {
		return s.machines[found.Name]
	}
	return nil
}

// imageWaitTimeout is how long a service's task waits for other schedulers to answer
// whether they have room on a machine that holds its image. After that it may be placed
// on a machine that must fetch the image.
const imageWaitTimeout = 300 * time.Millisecond

// awaitRemoteImageLocked reports whether a service still waits for other schedulers to
// answer whether they have room on a machine that holds its image. The first call starts
// the wait.
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

// placeLocked assigns a new attempt of a task to a machine. It returns false if the attempt
// may not start because of its team's limit.
func (s *Scheduler) placeLocked(a *fleet.Attempt, m *machine, now time.Time) bool {
	if !s.reserveLocked(m.Zone, a) {
		return false
	}
	m.Add(a, now)
	m.packing.RoomChanged()
	m.record.Dirty = true
	s.log.Debug("task placed", "task", a.Task, "attempt", a.Attempt, "machine", m.Name, "image_held", m.HasImage(a.Image))
	return true
}
