package scheduler

import (
	"time"

	"heronwick/internal/job"
)

// takeStandingLocked takes what the job's place in its chain says of it: whether
// its tasks may start, since when its times count, and how urgent it is.
func (s *Scheduler) takeStandingLocked(js *jobState) {
	standing := s.opts.Jobs.Readiness(js.rec)
	js.ready, js.rank, js.due = standing.Ready, standing.Rank, standing.Due
	js.begin = js.accepted
	if standing.ReadyAt.After(js.begin) {
		js.begin = standing.ReadyAt
	}
}

// rankOf is the priority under which a job's tasks run.
func (s *Scheduler) rankOf(r *job.Record) int { return s.opts.Jobs.Readiness(r).Rank }

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
		before := js.rank
		s.takeStandingLocked(js)
		s.log.Debug("standing changed", "job", id, "ready", js.ready, "rank", js.rank, "due", js.due)
		if js.rank != before {
			ranks[id] = js.rank
		}
	}
	s.rerankLocked(ranks)
	s.poke()
}

// rerankLocked gives the tasks of jobs that are on machines another priority.
func (s *Scheduler) rerankLocked(ranks map[string]int) {
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

// deadlineFor is how long the job had from its acceptance to be done, zero if it
// is due at no time.
func (js *jobState) deadlineFor() time.Duration {
	if js.due.IsZero() {
		return 0
	}
	return max(0, js.due.Sub(js.accepted))
}
