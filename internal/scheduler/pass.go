package scheduler

import (
	"time"

	"heronwick/internal/packing"
	"heronwick/internal/queue"
	"heronwick/wire"
)

// scheduleLocked places what can be placed: by effective priority, then teams
// within their guarantee, then what can be in time, the least work first. A job
// that finds no room does not hold up the others.
func (s *Scheduler) scheduleLocked(now time.Time) {
	if !s.loaded || !s.permitted() {
		return
	}
	waiting := s.eligibleJobsLocked(now)
	if len(waiting) == 0 || !s.ensureAttemptNumbersLocked(now) {
		return
	}
	// Hosted jobs take their turn: what they want is kept free until their owner
	// requests again.
	for _, hosted := range s.hostedJobs {
		if hosted.OwnerUnplaced > 0 && now.Sub(hosted.OwnerRequestedAt) < packing.ReservationTimeout {
			waiting = append(waiting, hosted)
		}
	}
	entries := queue.Sort(waiting, s.teams, now)
	s.beginPassLocked()
	for len(entries) > 0 {
		n := 1
		for n < len(entries) && entries[n].TiesExceptRemaining(entries[0]) {
			n++
		}
		s.serveTurnLocked(entries[:n], now)
		entries = entries[n:]
	}
}

// beginPassLocked forgets what the last pass over the queue has found.
func (s *Scheduler) beginPassLocked() {
	s.packer.BeginPass()
	s.victims = victimSummary{}
	s.fetchDeferred = false
}

// eligibleJobsLocked returns the scheduler's own jobs with tasks that may be
// placed now.
func (s *Scheduler) eligibleJobsLocked(now time.Time) (eligible []*queue.Job) {
	for _, queued := range s.jobs {
		if queued.Pending() <= 0 {
			if queued.RequestedTasks == 0 {
				queued.UnplacedSince, queued.ImageWaitSince = time.Time{}, time.Time{}
			}
			continue
		}
		if queued.Eligible(now) {
			eligible = append(eligible, queued)
		}
	}
	return eligible
}

// serveTurnLocked serves jobs that differ only in the work that is left: freed
// room first goes to whom it saves a fetch, then to any, in order.
func (s *Scheduler) serveTurnLocked(turn []queue.Entry, now time.Time) {
	s.fetchDeferred = false
	for _, entry := range turn {
		s.serveJobLocked(entry.Job, now, queue.ImageRequired)
	}
	for _, entry := range turn {
		s.serveJobLocked(entry.Job, now, queue.ImageOptional)
	}
}

// serveJobLocked places tasks of a job, or reserves room for a hosted one. Only of arrays
// and hosted jobs it depends on images where: the others are served once, in the
// first round of a turn.
func (s *Scheduler) serveJobLocked(queued *queue.Job, now time.Time, images queue.ImagePolicy) {
	switch {
	case queued.Hosted:
		s.packer.Reserve(queued, maxRequestTasksPerJob, images, now)
	case queued.Record.Job.Kind == wire.KindArray:
		s.placeJobLocked(queued, now, images)
	case images != queue.ImageRequired:
	case queued.Record.Job.Kind == wire.KindGang:
		s.placeGangLocked(queued, now)
	default:
		s.placeJobLocked(queued, now, queue.ImageOptional)
	}
}
