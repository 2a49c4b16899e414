package scheduler

import (
	"iter"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/preemption"
	"heronwick/internal/queue"
)

const (
	// victimSearchInterval is how soon tasks to stop are searched for again where none
	// was found: that goes over every task of the scheduler.
	victimSearchInterval = 300 * time.Millisecond
	// preemptionTimeout is for how long tasks that are being stopped for a job
	// are awaited before more are stopped for it.
	preemptionTimeout = 2 * time.Second
)

// victimSummary is what one pass over the queue has found out about the tasks
// that may be stopped.
type victimSummary struct {
	known          bool // whether the pass has searched
	lowestRank     int  // the highest number, of the lowest priority
	aboveGuarantee bool // whether any team is above its guarantee
}

// mayPreemptAnyLocked reports whether there can be any task that the job may
// have stopped: looking for the best on every machine takes long.
func (s *Scheduler) mayPreemptAnyLocked(queued *queue.Job, guaranteed bool) bool {
	if !s.victims.known {
		s.victims = s.summarizeVictimsLocked()
	}
	return queued.EffectivePriority < s.victims.lowestRank || guaranteed && s.victims.aboveGuarantee
}

// summarizeVictimsLocked goes over all tasks once for the pass.
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

// preemptLocked stops tasks to make room for one task of the job, as far as
// the rules of preemption permit, on the machine where that loses least. It
// reports whether room is being made. guaranteed is whether the job's team stays
// within its guarantee with the task.
func (s *Scheduler) preemptLocked(queued *queue.Job, now time.Time, images queue.ImagePolicy, guaranteed bool) bool {
	if !s.mayPreemptAnyLocked(queued, guaranteed) {
		return false
	}
	tried := &queued.NoVictimFoundAt[images]
	if now.Sub(*tried) < victimSearchInterval {
		return false
	}
	// What was stopped a moment ago has not made its room yet.
	if now.Sub(queued.PreemptedAt) < preemptionTimeout && s.anyStoppingLocked() {
		return true
	}
	req := &preemption.Request{
		Size: queued.Size, Image: queued.Record.Job.Image, Team: queued.Record.Job.Team, Rank: queued.EffectivePriority,
		Guaranteed: guaranteed, AboveGuarantee: s.teams.AboveGuarantee,
	}
	plan := preemption.Choose(req, s.preemptionMachinesLocked(queued, images, now), now)
	if plan == nil {
		*tried = now
		return false
	}
	queued.PreemptedAt = now
	s.executePreemptionLocked(queued, plan, now)
	return true
}

// preemptionMachinesLocked yields the machines on which room may be made for
// the job.
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

// executePreemptionLocked stops the victims. Room that they leave to a hosted
// job is kept for it: it is not in this scheduler's queue.
func (s *Scheduler) executePreemptionLocked(queued *queue.Job, plan *preemption.Plan, now time.Time) {
	m := s.machines[plan.Machine.Name]
	if queued.Hosted {
		m.packing.Reserve(queued.Record.Job.ID, queued.Size, now)
	}
	for _, a := range plan.Victims {
		s.log.Info("preempting", "task", a.Task, "machine", m.Name, "for", queued.Record.Job.ID)
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
