package scheduler

import (
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/fleet"
)

const (
	// usageCheckInterval is how often the usage held is compared with what machines report.
	usageCheckInterval = 2 * time.Second
	// untrackedAfter is how long an owner may settle its other attempts here without one that
	// is on a machine here. It is a dozen of its settle requests.
	untrackedAfter = 12 * settleInterval
)

// settleSpan is the time in which an owner has settled attempts under the current assignment.
type settleSpan struct{ first, last time.Time }

// recordSettleLocked records that an owner has settled attempts here. Only a request under the
// current assignment counts: by then, the owner has read the records of its teams.
func (s *Scheduler) recordSettleLocked(req *peerpb.SettleRequest, now time.Time) {
	if req.Token < s.epoch.Assignment.Token {
		return
	}
	span := s.settleSpans[req.Node]
	if span.first.IsZero() {
		span.first = now
	}
	span.last = now
	s.settleSpans[req.Node] = span
}

// checkUsageLocked compares the usage that the ledger holds of teams with a limit with the
// attempts that machines report. A difference is logged as an error and counted, and the team
// gets no starts here until the next check finds none.
func (s *Scheduler) checkUsageLocked() {
	if !s.loaded || s.rebuilding || !s.currentLocked() {
		return
	}
	doubted := map[string]bool{}
	for _, m := range s.machines {
		if !s.synced(m) {
			continue // what is known of it may come from a late copy of an old heartbeat
		}
		for _, a := range m.Attempts.All() {
			if a.State == "" || a.Exited() || !a.SizeKnown || !s.teams.IsLimited(a.Team) {
				continue
			}
			if s.ownsAttemptLocked(a) {
				if s.checkHeldLocked(m, a) {
					continue
				}
			} else if s.checkTrackedLocked(m, a) {
				continue
			}
			doubted[a.Team] = true
		}
	}
	for name := range s.teams.Limited() {
		if !s.teams.SumMatches(name) {
			s.opts.Violations.add()
			s.log.Error("invariant violated: a team's usage is not the sum of its attempts", "team", name)
			doubted[name] = true
		}
		s.teams.SetDoubted(name, doubted[name])
	}
}

// checkHeldLocked checks that the ledger holds an attempt of an own team that a machine reports.
// If not, it counts the attempt from now on.
func (s *Scheduler) checkHeldLocked(m *machine, a *fleet.Attempt) bool {
	if s.teams.Holds(a.Key, a.Team) {
		return true
	}
	s.reportUncountedLocked(m, a, "invariant violated: a team's usage lacks an attempt that a machine reports")
	a.CountedInUsage = false
	s.countAttemptLocked(m.Zone, a)
	return false
}

// checkTrackedLocked checks that an attempt of another controller's team that a machine reports is
// among those that the team's owner settles.
func (s *Scheduler) checkTrackedLocked(m *machine, a *fleet.Attempt) bool {
	span := s.settleSpans[s.epoch.OwnerOf(a.Team, a.Job)]
	since := latest(span.first, a.SettledAt, a.PlacedAt)
	if span.first.IsZero() || span.last.Sub(since) <= untrackedAfter {
		return true
	}
	s.reportUncountedLocked(m, a, "invariant violated: the owner of a team does not track an attempt that a machine reports")
	a.SettledAt = span.last // reported again only after as long
	return false
}

// checkStartsLocked checks that the ledger holds every own attempt of a team with a limit whose
// start is due on a machine. An attempt that it does not hold never starts.
func (s *Scheduler) checkStartsLocked(m *machine) {
	for _, a := range m.Attempts.All() {
		startDue := a.State == "" && a.Recorded && !a.Stop && !a.RestoredFromRecord
		if !startDue || a.Hosted || !s.teams.IsLimited(a.Team) || s.teams.Holds(a.Key, a.Team) {
			continue
		}
		s.reportUncountedLocked(m, a, "invariant violated: a start is due that is not counted in its team's usage")
		a.Stop = true
	}
}

// reportUncountedLocked counts and logs the violation of an invariant by an attempt that is not
// counted.
func (s *Scheduler) reportUncountedLocked(m *machine, a *fleet.Attempt, message string) {
	s.opts.Violations.add()
	used := s.teams.Used(a.Team)
	s.log.Error(message, "team", a.Team, "task", a.Task, "attempt", a.Attempt, "machine", m.Name, "state", a.State,
		"owner", s.epoch.OwnerOf(a.Team, a.Job), "used_cpus", used.CPUs.Amount(), "used_gpus", used.GPUs.Amount(),
		"token", s.epoch.Token, "assignment", s.epoch.Assignment.Token, "revision", s.teams.Revision())
}

// latest returns the latest of some times.
func latest(times ...time.Time) (last time.Time) {
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}
