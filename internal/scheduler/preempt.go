package scheduler

import (
	"iter"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/preemption"
	"heronwick/internal/queue"
)

const (
	// victimSearchInterval is the minimum time between two searches for tasks to stop
	// for a job if the first found none: a search goes over every task of the scheduler.
	victimSearchInterval = 300 * time.Millisecond
	// preemptionTimeout is how long to wait for the tasks that are being stopped for a
	// job before stopping more for it.
	preemptionTimeout = 2 * time.Second
)

// victimSummary caches, during one pass over the queue, which tasks may be preempted at
// all.
type victimSummary struct {
	known          bool // whether the pass has computed the summary
	lowestRank     int  // highest rank number, that is, lowest priority, of the tasks that may be stopped
	aboveGuarantee bool // whether any team uses more than its guarantee
}

// mayPreemptAnyLocked reports whether there may be any task that can be preempted for
// the job. It avoids the expensive search for the best victims on every machine.
func (s *Scheduler) mayPreemptAnyLocked(queued *queue.Job, guaranteed bool) bool {
	if !s.victims.known {
		s.victims = s.summarizeVictimsLocked()
	}
	return queued.EffectivePriority < s.victims.lowestRank || guaranteed && s.victims.aboveGuarantee
}

// summarizeVictimsLocked computes the summary from all tasks, once per pass.
func (s *Scheduler) summarizeVictimsLocked() victimSummary {
	summary := victimSummary{known: true, aboveGuarantee: s.teams.AnyAboveGuarantee()}
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if !a.Exited() && !a.Stop {
				summary.lowestRank = max(summary.lowestRank, a.Rank)
			}
		}
	}
	return summary
}

// preemptLocked stops tasks to make room for one task of the job, if the preemption
// rules permit it, on the machine where that loses the least work. It reports whether
// room is being made. guaranteed says whether the job's team stays within its guarantee
// with the additional task.
func (s *Scheduler) preemptLocked(queued *queue.Job, now time.Time, images queue.ImagePolicy, guaranteed bool) bool {
	if !s.mayPreemptAnyLocked(queued, guaranteed) {
		return false
	}
	lastSearch := &queued.NoVictimFoundAt[images]
	if now.Sub(*lastSearch) < victimSearchInterval {
		return false
	}
	// Tasks that were stopped recently may not have freed their room yet.
	if now.Sub(queued.PreemptedAt) < preemptionTimeout && s.anyStoppingLocked() {
		return true
	}
	req := &preemption.Request{
		Size: queued.Size, Image: queued.Record.Job.Image, Team: queued.Record.Job.Team, Rank: queued.EffectivePriority,
		Guaranteed: guaranteed, AboveGuarantee: s.teams.AboveGuarantee,
	}
	plan := preemption.Choose(req, s.preemptionMachinesLocked(queued, images, now), now)
	if plan == nil {
		*lastSearch = now
		return false
	}
	queued.PreemptedAt = now
	s.executePreemptionLocked(queued, plan, now)
	return true
}

// preemptionMachinesLocked yields the machines on which tasks may be stopped for the
// job.
func (s *Scheduler) preemptionMachinesLocked(queued *queue.Job, images queue.ImagePolicy, now time.Time) iter.Seq[*fleet.Machine] {
	return func(yield func(*fleet.Machine) bool) {
		for _, m := range s.machines {
			if images == queue.ImageRequired && !m.HasImage(queued.Record.Job.Image) {
				continue
			}
			if !s.usableLocked(m, now) || !s.packer.Allows(queued, m.packing) {
				continue
			}
			if !yield(m.Machine) {
				return
			}
		}
	}
}

// executePreemptionLocked stops the victims of a plan. For a hosted job it also reserves
// the room that they free, since that job is not in this scheduler's queue.
func (s *Scheduler) executePreemptionLocked(queued *queue.Job, plan *preemption.Plan, now time.Time) {
	m := s.machines[plan.Machine.Name]
	if queued.Hosted {
		m.packing.Reserve(queued.Record.Job.ID, queued.Size, now)
	}
	for _, a := range plan.Victims {
		s.log.Info("preempting", "task", a.Task, "machine", m.Name, "for_job", queued.Record.Job.ID)
		a.Stop = true
	}
	s.sendCommandsLocked(m)
}

// anyStoppingLocked reports whether any task is being stopped.
func (s *Scheduler) anyStoppingLocked() bool {
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if a.Stop && !a.Exited() {
				return true
			}
		}
	}
	return false
}
