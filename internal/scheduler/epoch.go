package scheduler

import (
	"context"
	"time"

	"heronwick/internal/cluster"
	"heronwick/internal/job"
	"heronwick/internal/quota"
	"heronwick/internal/state"
	"heronwick/wire"
)

// epochState is the epoch under which the scheduler acts. It determines the leader
// and the owners of jobs and machines. All writes are fenced by condition, a
// compare-and-swap on the epoch's key, so that no decision made under one epoch is
// recorded under another.
type epochState struct {
	cluster.Epoch
	condition wire.Condition
}

// ownsJobLocked reports whether the scheduler owns a job in its epoch.
func (s *Scheduler) ownsJobLocked(j *wire.Job) bool {
	return s.epoch.OwnerOf(j.Team, j.ID) == s.opts.Node
}

// leadsLocked reports whether this controller leads in the scheduler's epoch, which
// may be older than the cluster's. It is false until the records have been read.
func (s *Scheduler) leadsLocked() bool { return s.loaded && s.epoch.Leader == s.opts.Node }

// followEpochLocked compares the scheduler's jobs and machines with the current epoch
// and machine ownership. On a difference it starts a rebuild, which restores what the
// scheduler now owns and drops what it no longer owns.
func (s *Scheduler) followEpochLocked() {
	if s.rebuilding {
		return
	}
	view := s.opts.Authority.View()
	epoch := &view.Epoch
	owners := s.opts.Authority.Ownership()
	if !owners.Fresh {
		return // a transfer of the previous epoch may be missing; the watch will deliver it
	}
	switch {
	case !s.loaded || epoch.Token == s.epoch.Token:
	case epoch.Assignment == s.epoch.Assignment:
		s.applyIncrementedTokenLocked(view)
	default:
		s.dropLostJobsLocked(epoch)
	}
	if epoch.Leader != s.opts.Node {
		owners.Orphans = nil // only the leader adopts them
	}
	adopt := s.machinesToAdoptLocked(owners)
	gained := s.gainedJobsLocked(epoch)
	if s.loaded && epoch.Token == s.epoch.Token && len(adopt) == 0 && len(gained) == 0 && s.adoptedToken == epoch.Token {
		return
	}
	s.rebuilding = true
	s.spawn(func(ctx context.Context) { s.rebuild(ctx, view, len(gained) > 0, adopt) })
}

// applyIncrementedTokenLocked applies an epoch that differs from the scheduler's epoch
// only by a higher fencing token.
func (s *Scheduler) applyIncrementedTokenLocked(view cluster.View) {
	if s.adoptedToken == s.epoch.Token {
		s.adoptedToken = view.Epoch.Token
	}
	s.epoch.Epoch, s.epoch.condition = view.Epoch, view.Condition
	s.teams.SetToken(s.epoch.Token)
}

// machinesToAdoptLocked returns the machines, owned by this scheduler or without an
// owner, whose tasks are known from the records only. Machines that were handed over
// to this scheduler while idle are added at once.
func (s *Scheduler) machinesToAdoptLocked(owners cluster.Ownership) (adopt []string) {
	for name, owner := range owners.Owned {
		switch {
		case s.machines[name] != nil || s.transfers.Moving(name) || s.inventory.IsReleased(name):
		case owner.Machine == nil || !s.loaded || owner.Version <= s.startVersion:
			adopt = append(adopt, name) // it may have received tasks since the transfer was written
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

// gainedJobsLocked returns the active jobs that the scheduler owns in an epoch and
// has not queued yet. Jobs that certainly have no tasks yet are queued at once.
func (s *Scheduler) gainedJobsLocked(epoch *cluster.Epoch) (gained []*job.Record) {
	for _, record := range s.opts.Jobs.AllActive() {
		switch {
		case epoch.OwnerOf(record.Job.Team, record.Job.ID) != s.opts.Node || s.jobs[record.Job.ID] != nil:
		case epoch.Token == s.epoch.Token && s.acceptedInEpochLocked(record):
			s.addJobLocked(record) // JobAdded will be called for it shortly
		default:
			gained = append(gained, record)
		}
	}
	return gained
}

// acceptedInEpochLocked reports whether one of the scheduler's jobs was accepted
// under its current shard assignment. In that case no other scheduler can have placed
// tasks of the job, so the records need not be read for it.
func (s *Scheduler) acceptedInEpochLocked(record *job.Record) bool {
	return s.loaded && record.Version > s.epoch.Assignment.Version
}

// becomesLeaderLocked reports whether this controller leads in an epoch but not in
// the scheduler's previous one.
func (s *Scheduler) becomesLeaderLocked(epoch *cluster.Epoch) bool {
	return epoch.Leader == s.opts.Node && s.epoch.Leader != s.opts.Node
}

// setEpochLocked makes an epoch the one under which the scheduler acts.
func (s *Scheduler) setEpochLocked(view cluster.View) {
	if s.becomesLeaderLocked(&view.Epoch) {
		s.leaderSince = time.Now()
	}
	if view.Epoch.Assignment != s.epoch.Assignment {
		clear(s.settleSpans)
	}
	s.epoch.Epoch, s.epoch.condition = view.Epoch, view.Condition
}

// dropLostJobsLocked removes the jobs that other schedulers own in an epoch, or may have
// owned since the scheduler's epoch: all jobs if the scheduler has not followed the
// assignment before the epoch's. Their attempts on this scheduler's machines become hosted
// attempts; an attempt that is not recorded yet never starts.
func (s *Scheduler) dropLostJobsLocked(epoch *cluster.Epoch) {
	followed := epoch.Assignment.Succeeds(s.epoch.Assignment)
	if !followed {
		s.teams.Suspend() // what the teams use is not known before the records are read
	}
	lost := map[string]bool{}
	for id, queued := range s.jobs {
		if followed && epoch.OwnerOf(queued.Record.Job.Team, id) == s.opts.Node {
			continue
		}
		lost[id] = true
		delete(s.jobs, id)
		for a := range queued.Done.Unwritten() {
			a.Hosted = true // the job's new owner settles it
		}
	}
	if len(lost) == 0 {
		return
	}
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if lost[a.Job] {
				a.Hosted, a.Epoch = true, 0
				s.uncountAttemptLocked(a, quota.OwnerChanged)
			}
		}
	}
	for a := range s.remoteAttempts.All() {
		if lost[a.Job] {
			s.untrackRemoteLocked(a, quota.OwnerChanged)
		}
	}
}

// fenceLocked returns the condition on all writes: the epoch under which the
// scheduler acts must be the current one.
func (s *Scheduler) fenceLocked() state.FencingCondition {
	fence := s.epoch.condition
	return state.FencingCondition{Condition: fence, IsCurrent: func() bool {
		return s.opts.Authority.View().Condition == fence
	}}
}

// currentLocked reports whether the epoch under which the scheduler acts is the
// current one.
func (s *Scheduler) currentLocked() bool { return s.fenceLocked().IsCurrent() }

// incrementTokenInterval is the minimum time between two attempts to increment the
// fencing token.
const incrementTokenInterval = 2 * time.Second

// incrementTokenLocked increments the fencing token, at most once per
// incrementTokenInterval.
func (s *Scheduler) incrementTokenLocked(now time.Time) {
	if s.incrementingToken || now.Sub(s.incrementAttemptedAt) <= incrementTokenInterval {
		return
	}
	s.incrementingToken, s.incrementAttemptedAt = true, now
	s.spawn(func(ctx context.Context) {
		if err := s.opts.Authority.AdvanceEpoch(ctx); err != nil {
			s.log.Info("failed to increment the fencing token", "err", err)
		}
		s.mu.Lock()
		s.incrementingToken = false
		s.mu.Unlock()
	})
}
