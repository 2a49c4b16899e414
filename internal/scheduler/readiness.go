package scheduler

import "heronwick/internal/job"

// effectivePriorityOf is the priority under which a job's tasks run.
func (s *Scheduler) effectivePriorityOf(record *job.Record) int {
	return s.opts.Jobs.Readiness(record).Rank
}

// ReadinessChanged implements job.Listener: the jobs, by ID, became ready or
// changed their effective priority or deadline.
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
		s.log.Debug("readiness changed", "job", id, "ready", queued.Ready, "rank", queued.EffectivePriority, "due", queued.Deadline)
		if queued.EffectivePriority != before {
			changed[id] = queued.EffectivePriority
		}
	}
	s.reprioritizeLocked(changed)
	s.wakeLoop()
}

// reprioritizeLocked gives the attempts of jobs, by ID, another effective
// priority.
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
