package scheduler

import (
	"cmp"
	"slices"
	"time"

	"heronwick/internal/fleet"
)

// victimsAfter is how soon tasks to stop are looked for again in vain: that
// looks at every task of the share.
const victimsAfter = 300 * time.Millisecond

// preemptLocked stops tasks to make room for one task of the job, as far as
// the rules of preemption permit, on the machine where that loses least; if
// so asked, only on machines that hold the job's image. It tells whether room
// is being made.
func (s *Scheduler) preemptLocked(js *jobState, now time.Time, held, guaranteed bool) bool {
	if !s.mayPreemptAnyLocked(js, guaranteed) {
		return false
	}
	tried := &js.NoVictimAt[boolInt(held)]
	if now.Sub(*tried) < victimsAfter {
		return false
	}
	// What was stopped a moment ago has not made its room yet.
	if now.Sub(js.PreemptedAt) < 2*time.Second && s.stoppingLocked() {
		return true
	}
	type choice struct {
		m       *machine
		victims []*fleet.Attempt
		cost    float64
	}
	var best *choice
	for _, m := range s.machines {
		if held && !m.HasImage(js.Record.Job.Image) || !s.usableLocked(m, now) || !s.allowedLocked(js, m) {
			continue
		}
		var may []*fleet.Attempt
		for _, a := range m.Attempts.All() {
			if !a.Exited() && !a.Stop && s.mayPreempt(js, a, guaranteed) {
				may = append(may, a)
			}
		}
		if len(may) == 0 {
			continue
		}
		slices.SortFunc(may, func(a, b *fleet.Attempt) int { return cmp.Compare(s.lossOf(a, now), s.lossOf(b, now)) })
		room := m.Free()
		c := choice{m: m}
		if !m.HasImage(js.Record.Job.Image) {
			c.cost += 10
		}
		for _, a := range may {
			if js.Size.Within(room) {
				break
			}
			room = room.Plus(a.Size)
			c.victims = append(c.victims, a)
			c.cost += s.lossOf(a, now)
		}
		if js.Size.Within(room) && len(c.victims) > 0 && (best == nil || c.cost < best.cost) {
			best = &c
		}
	}
	if best == nil {
		*tried = now
		return false
	}
	js.PreemptedAt = now
	if js.Hosted {
		best.m.reservations = append(best.m.reservations, reservation{job: js.Record.Job.ID, size: js.Size, until: now.Add(reservedFor)})
	}
	for _, a := range best.victims {
		s.log.Info("preempting", "task", a.Task, "machine", best.m.Name, "for", js.Record.Job.ID)
		a.Stop = true
	}
	s.sendLocked(best.m)
	return true
}

// lossOf is what stopping an attempt loses, in seconds of work.
func (s *Scheduler) lossOf(a *fleet.Attempt, now time.Time) float64 {
	if a.Running.IsZero() {
		return 0
	}
	return 1 + now.Sub(a.Running).Seconds()
}

func (s *Scheduler) stoppingLocked() bool {
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if a.Stop && !a.Exited() {
				return true
			}
		}
	}
	return false
}

// mayPreempt: a higher priority may stop a lower one, and a team that gets
// its guarantee may stop any work that another runs above its own. What a
// team of another share uses is not known here.
func (s *Scheduler) mayPreempt(js *jobState, victim *fleet.Attempt, guaranteed bool) bool {
	if js.EffectivePriority < victim.Rank {
		return true
	}
	if !guaranteed || victim.Guest || victim.Team == js.Record.Job.Team {
		return false
	}
	t, used := s.teams[victim.Team], s.used[victim.Team]
	return used.CPUs > t.CPUs && (t.CPUs > 0 || t.CPUsMax > 0)
}
