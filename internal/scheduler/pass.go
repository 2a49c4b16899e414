package scheduler

import (
	"time"

	"heronwick/internal/packing"
	"heronwick/internal/queue"
	"heronwick/wire"
)

// scheduleLocked places pending tasks. Jobs are served by effective priority. Among jobs
// of equal priority, those of teams within their guarantee come first, then those that
// can still be done in time, and then those with the least remaining work; see
// queue.Sort. A job that finds no room does not block the jobs after it.
func (s *Scheduler) scheduleLocked(now time.Time) {
	if !s.loaded || !s.permitted() {
		return
	}
	waiting := s.eligibleJobsLocked(now)
	if len(waiting) == 0 || !s.ensureAttemptNumbersLocked(now) {
		return
	}
	// Hosted jobs are served in the same order as own jobs: room for them is reserved
	// until their owner sends its next request.
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
		s.serveTiedJobsLocked(entries[:n], now)
		entries = entries[n:]
	}
}

// beginPassLocked clears what the previous pass over the queue has cached.
func (s *Scheduler) beginPassLocked() {
	s.packer.BeginPass()
	s.victims = victimSummary{}
	s.fetchDeferred = false
}

// eligibleJobsLocked returns this scheduler's own jobs with pending tasks that may be
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

// serveTiedJobsLocked serves jobs that differ only in their remaining work. In the first
// round, arrays and hosted jobs get room only on machines that hold their image, except
// for arrays that have waited for long enough, see shouldDeferFetchLocked. In the second
// round they get room on any machine. So freed room is first used where it saves a fetch.
func (s *Scheduler) serveTiedJobsLocked(tied []queue.Entry, now time.Time) {
	s.fetchDeferred = false
	for _, entry := range tied {
		s.serveJobLocked(entry.Job, now, queue.ImageRequired)
	}
	for _, entry := range tied {
		s.serveJobLocked(entry.Job, now, queue.ImageOptional)
	}
}

// serveJobLocked places tasks of an own job, or reserves room for a hosted one. The
// image policy applies only to arrays and hosted jobs. Other jobs are served only in the
// first of the two rounds of serveTiedJobsLocked, and get room on any machine.
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
