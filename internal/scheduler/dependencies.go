package scheduler

import (
	"time"

	"heronwick/internal/job"
)

// takeReadinessLocked takes what the job's place in its chain says of it: whether
// its tasks may start, since when its times count, and how urgent it is.
func (s *Scheduler) takeReadinessLocked(js *jobState) {
	standing := s.opts.Jobs.Readiness(js.Record)
	js.Ready, js.EffectivePriority, js.Deadline = standing.Ready, standing.Rank, standing.Due
	js.EligibleAt = js.AcceptedAt
	if standing.ReadyAt.After(js.EligibleAt) {
		js.EligibleAt = standing.ReadyAt
	}
}

// effectivePriorityOf is the priority under which a job's tasks run.
func (s *Scheduler) effectivePriorityOf(r *job.Record) int { return s.opts.Jobs.Readiness(r).Rank }

// ReadinessChanged implements job.Listener.
func (s *Scheduler) ReadinessChanged(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ranks := map[string]int{}
	for _, id := range ids {
		js := s.jobOf(id)
		if js == nil {
			continue
		}
		before := js.EffectivePriority
		s.takeReadinessLocked(js)
		s.log.Debug("standing changed", "job", id, "ready", js.Ready, "rank", js.EffectivePriority, "due", js.Deadline)
		if js.EffectivePriority != before {
			ranks[id] = js.EffectivePriority
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

// timeToDeadline is how long the job had from its acceptance to be done, zero if it
// is due at no time.
func (js *jobState) timeToDeadline() time.Duration {
	if js.Deadline.IsZero() {
		return 0
	}
	return max(0, js.Deadline.Sub(js.AcceptedAt))
}
