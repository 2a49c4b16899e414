package scheduler

import (
	"context"
	"maps"
	"time"

	"heronwick/internal/cluster"
	"heronwick/internal/job"
	"heronwick/internal/state"
	"heronwick/wire"
)

// epochState is the epoch that the scheduler acts under: who leads and who
// owns which jobs and machines. All that it writes is fenced by condition, a
// compare-and-swap on the epoch's key, so that nothing decided under one epoch
// is recorded under another.
type epochState struct {
	cluster.Epoch
	condition wire.Condition
	// assigned is the condition, and assignedToken the token, when the shards were
	// last assigned anew; the fencing token may have been raised since, which changes
	// no owner.
	assigned      wire.Condition
	assignedToken uint64
	raisedAt      time.Time // when the token last rose
}

// sameAssignment reports whether two epochs assign the shards alike.
func sameAssignment(a, b *cluster.Epoch) bool {
	return a.Leader == b.Leader && a.Incarnation == b.Incarnation && maps.Equal(a.Members, b.Members) && maps.Equal(a.Teams, b.Teams)
}

// ownsJobLocked reports whether a job is the scheduler's own by its epoch.
func (s *Scheduler) ownsJobLocked(j *wire.Job) bool {
	return s.epoch.OwnerOf(j.Team, j.ID) == s.opts.Node
}

// leadsLocked reports whether this controller leads, as far as the scheduler has
// followed the epoch.
func (s *Scheduler) leadsLocked() bool { return s.loaded && s.epoch.Leader == s.opts.Node }

// followEpochLocked follows the epoch and the owners of machines: what is the
// scheduler's now is rebuilt, what is no longer its own is let go.
func (s *Scheduler) followEpochLocked() {
	if s.rebuilding {
		return
	}
	view := s.opts.Authority.View()
	epoch := &view.Epoch
	owners := s.opts.Authority.Ownership()
	if !owners.Fresh {
		return // an owner's write of the epoch before may be missing; the watch brings it
	}
	if s.loaded && epoch.Token != s.epoch.Token && sameAssignment(epoch, &s.epoch.Epoch) {
		s.applyRaisedTokenLocked(view)
	}
	if epoch.Leader != s.opts.Node {
		owners.Orphans = nil // the leader's
	}
	adopt := s.machinesToAdoptLocked(owners)
	gained := s.gainedJobsLocked(epoch)
	if s.loaded && epoch.Token == s.epoch.Token && len(adopt) == 0 && len(gained) == 0 && s.adoptedToken == epoch.Token {
		return
	}
	s.rebuilding = true
	s.spawn(func(ctx context.Context) { s.rebuild(ctx, view, gained, adopt) })
}

// applyRaisedTokenLocked takes an epoch in which only the fencing token has risen.
func (s *Scheduler) applyRaisedTokenLocked(view cluster.View) {
	if s.adoptedToken == s.epoch.Token {
		s.adoptedToken = view.Epoch.Token
	}
	s.epoch.Epoch, s.epoch.condition, s.epoch.raisedAt = view.Epoch, view.Condition, time.Now()
}

// machinesToAdoptLocked returns the machines, of the scheduler's and of those without
// an owner, of whose tasks only the records tell. Those that were handed over to it
// idle are taken at once.
func (s *Scheduler) machinesToAdoptLocked(owners cluster.Ownership) (adopt []string) {
	for name, owner := range owners.Owned {
		switch {
		case s.machines[name] != nil || s.transfers.Moving(name) || s.inventory.IsReleased(name):
		case owner.Machine == nil || !s.loaded || owner.Version <= s.startVersion:
			adopt = append(adopt, name) // it may have had tasks since that was written
		default:
			s.addHandedOverLocked(name, owner)
		}
	}
	for _, name := range owners.Orphans {
		if s.machines[name] == nil && !s.transfers.Moving(name) && !s.inventory.IsReleased(name) {
			adopt = append(adopt, name)
		}
	}
	return adopt
}

// gainedJobsLocked returns the active jobs that are the scheduler's by an epoch and not
// yet in its queue. Those that surely have no tasks yet are queued at once.
func (s *Scheduler) gainedJobsLocked(epoch *cluster.Epoch) (gained []*job.Record) {
	for _, record := range s.opts.Jobs.AllActive() {
		switch {
		case epoch.OwnerOf(record.Job.Team, record.Job.ID) != s.opts.Node || s.jobs[record.Job.ID] != nil:
		case epoch.Token == s.epoch.Token && s.acceptedInEpochLocked(record):
			s.addJobLocked(record) // JobAdded is about to be called for it
		default:
			gained = append(gained, record)
		}
	}
	return gained
}

// acceptedInEpochLocked reports whether one of the scheduler's jobs was accepted under the
// shard assignment that it goes by: nobody else can have placed tasks of it, so
// the records need not be read for it.
func (s *Scheduler) acceptedInEpochLocked(record *job.Record) bool {
	return s.loaded && record.Version > s.epoch.assigned.Version
}

// becomesLeaderLocked reports whether this controller leads the epoch, and did not
// lead the epoch before.
func (s *Scheduler) becomesLeaderLocked(epoch *cluster.Epoch) bool {
	return epoch.Leader == s.opts.Node && s.epoch.Leader != s.opts.Node
}

// setEpochLocked makes an epoch the one that the scheduler acts under.
func (s *Scheduler) setEpochLocked(view cluster.View) {
	if s.becomesLeaderLocked(&view.Epoch) {
		s.leaderSince = time.Now()
	}
	if !s.loaded || !sameAssignment(&view.Epoch, &s.epoch.Epoch) {
		s.epoch.assigned, s.epoch.assignedToken = view.Condition, view.Epoch.Token
	}
	s.epoch.Epoch, s.epoch.condition, s.epoch.raisedAt = view.Epoch, view.Condition, time.Now()
}

// dropLostJobsLocked lets go of jobs that now belong to other schedulers. Their tasks on
// this one's machines are hosted for those from now on; what is not recorded yet
// never starts.
func (s *Scheduler) dropLostJobsLocked(epoch *cluster.Epoch) {
	lost := map[string]bool{}
	for id, queued := range s.jobs {
		if epoch.OwnerOf(queued.Record.Job.Team, id) == s.opts.Node {
			continue
		}
		lost[id] = true
		delete(s.jobs, id)
		for a := range queued.Done.Unwritten() {
			a.Hosted = true // its new owner settles it
		}
	}
	if len(lost) == 0 {
		return
	}
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if lost[a.Job] {
				a.Hosted, a.Epoch = true, 0
				s.uncountAttemptLocked(a)
			}
		}
	}
	for a := range s.remoteAttempts.All() {
		if lost[a.Job] {
			s.untrackRemoteLocked(a)
		}
	}
}

// fenceLocked is the condition on all writes: the epoch that the scheduler acts
// under.
func (s *Scheduler) fenceLocked() state.FencingCondition {
	fence := s.epoch.condition
	return state.FencingCondition{Condition: fence, IsCurrent: func() bool {
		return s.opts.Authority.View().Condition == fence
	}}
}

// currentLocked reports whether the epoch that the scheduler acts under is current.
func (s *Scheduler) currentLocked() bool { return s.fenceLocked().IsCurrent() }

// raiseTokenInterval is how often the fencing token may be raised.
const raiseTokenInterval = 2 * time.Second

// raiseTokenLocked raises the fencing token, at most every raiseTokenInterval.
func (s *Scheduler) raiseTokenLocked(now time.Time) {
	if s.raisingToken || now.Sub(s.raiseAttemptedAt) <= raiseTokenInterval {
		return
	}
	s.raisingToken, s.raiseAttemptedAt = true, now
	s.spawn(func(ctx context.Context) {
		if err := s.opts.Authority.AdvanceEpoch(ctx); err != nil {
			s.log.Info("raising the token failed", "err", err)
		}
		s.mu.Lock()
		s.raisingToken = false
		s.mu.Unlock()
	})
}
