package scheduler

import "heronwick/internal/job"

// effectivePriorityOf returns the priority at which a job's tasks run.
func (s *Scheduler) effectivePriorityOf(record *job.Record) int {
	return s.opts.Jobs.Readiness(record).Rank
}

// ReadinessChanged implements job.Listener. It is called with the IDs of jobs that
// became ready, or whose effective priority or deadline changed.
func (s *Scheduler) ReadinessChanged(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := map[string]int{}
	for _, id := range ids {
		queued := s.jobOf(id)
		if queued == nil {
			continue
		}
		before := queued.EffectivePriority
		queued.SetReadiness(s.opts.Jobs.Readiness(queued.Record))
		s.log.Debug("readiness changed", "job", id, "ready", queued.Ready, "rank", queued.EffectivePriority, "deadline", queued.Deadline)
		if queued.EffectivePriority != before {
			changed[id] = queued.EffectivePriority
		}
	}
	s.reprioritizeLocked(changed)
	s.wakeLoop()
}

// reprioritizeLocked sets a new effective priority for the attempts of the given
// jobs, by job ID.
func (s *Scheduler) reprioritizeLocked(priorities map[string]int) {
	if len(priorities) == 0 {
		return
	}
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if priority, ok := priorities[a.Job]; ok {
				a.Rank = priority
			}
		}
	}
}
