package scheduler

import "heronwick/internal/job"

// effectivePriorityOf is the priority under which a job's tasks run.
func (s *Scheduler) effectivePriorityOf(r *job.Record) int { return s.opts.Jobs.Readiness(r).Rank }

// ReadinessChanged implements job.Listener.
func (s *Scheduler) ReadinessChanged(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ranks := map[string]int{}
	for _, id := range ids {
		queued := s.jobOf(id)
		if queued == nil {
			continue
		}
		before := queued.EffectivePriority
		queued.SetReadiness(s.opts.Jobs.Readiness(queued.Record))
		s.log.Debug("standing changed", "job", id, "ready", queued.Ready, "rank", queued.EffectivePriority, "due", queued.Deadline)
		if queued.EffectivePriority != before {
			ranks[id] = queued.EffectivePriority
		}
	}
	s.reprioritizeLocked(ranks)
	s.poke()
}

// reprioritizeLocked gives the tasks of jobs that are on machines another priority.
func (s *Scheduler) reprioritizeLocked(ranks map[string]int) {
	if len(ranks) == 0 {
		return
	}
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if rank, ok := ranks[a.Job]; ok {
				a.Rank = rank
			}
		}
	}
}
