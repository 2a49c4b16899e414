package scheduler

import (
	"context"
	"time"

	"heronwick/internal/cluster"
	"heronwick/internal/job"
	"heronwick/internal/recovery"
)

// rebuild makes the scheduler fit a new epoch: it lets go of jobs that are no
// longer its own, takes machines without an owner, and reads from the records
// what may be where, before anything of that is placed.
func (s *Scheduler) rebuild(ctx context.Context, view cluster.View, gained []*job.Record, adopt []string) {
	epoch := &view.Epoch
	var records recovery.Records
	var err error
	if s.beginRebuild(epoch) || len(adopt) > 0 || len(gained) > 0 {
		records, err = recovery.Read(ctx, s.opts.Records, s.opts.Jobs)
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.recheckEpoch()
	s.rebuilding = false
	if err != nil {
		s.log.Info("rebuilding the scheduler failed, trying again", "err", err)
		return
	}
	if now := s.opts.Authority.View().Epoch; ctx.Err() != nil || now.Token != epoch.Token {
		return // the next epoch starts over: what was read may be outdated
	}
	s.dropLostJobsLocked(epoch) // what came meanwhile by the old epoch
	s.setEpochLocked(view)
	s.restoreLocked(records, gained, adopt)
	s.adoptedToken, s.loaded = epoch.Token, true
	s.adoptDoneBucketsLocked(records.Done)
	for _, queued := range s.jobs {
		s.finishLocked(queued)
	}
}

// beginRebuild lets go of what is not the scheduler's under an epoch, and tells
// whether the records must be read, whatever jobs and machines it gains. A new leader
// also has what the one before had without writing it.
func (s *Scheduler) beginRebuild(epoch *cluster.Epoch) (needsRecords bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	needsRecords = !s.loaded || s.becomesLeaderLocked(epoch) || s.gainsLimitLocked(epoch)
	s.dropLostJobsLocked(epoch)
	return needsRecords
}

// restoreLocked takes the jobs that the scheduler gains, and from the records what
// may be on machines.
func (s *Scheduler) restoreLocked(records recovery.Records, gained []*job.Record, adopt []string) {
	first := !s.loaded
	if first {
		s.startVersion = s.epoch.condition.Version
	}
	now := time.Now()
	isGained := s.addGainedJobsLocked(gained, records.Done)
	s.countEndedJobsLocked()
	adopted := s.restoreRecordsLocked(records, adopt, isGained, now)
	if first || len(gained)+adopted > 0 {
		s.log.Info("scheduler rebuilt", "token", s.epoch.Token, "jobs", len(s.jobs), "gained", len(isGained), "machines", len(s.machines),
			"adopted", adopted, "remote", s.remoteAttempts.Len())
	}
}

// addGainedJobsLocked adds jobs that the scheduler gains with their done tasks, if
// they are still active, and returns which it has added.
func (s *Scheduler) addGainedJobsLocked(gained []*job.Record, done []job.DoneBucket) (added map[string]bool) {
	added = map[string]bool{}
	for _, record := range gained {
		id := record.Job.ID
		if s.jobs[id] != nil || s.opts.Jobs.Active(id) == nil {
			continue
		}
		added[id] = true
		queued := s.addJobLocked(record)
		for i := range done {
			for block, bits := range done[i].Jobs[id] {
				queued.Done.AddBlock(block, bits)
			}
		}
	}
	return added
}

// adoptDoneBucketsLocked takes over, as the leader, the buckets of done tasks whose
// owners' memberships are over.
func (s *Scheduler) adoptDoneBucketsLocked(done []job.DoneBucket) {
	if s.epoch.Leader != s.opts.Node {
		return
	}
	for i := range done {
		if owner, ok := job.DoneBucketOwner(done[i].Key); !ok || s.epoch.Members[owner.Node].Since != owner.Since {
			s.completions.TakeOver(&done[i], s.opts.Jobs.Active, s.completionOf)
		}
	}
}

// gainsLimitLocked reports whether a team whose limit this scheduler keeps under an
// epoch was another's: what may still run of it, also of jobs that are over, counts.
func (s *Scheduler) gainsLimitLocked(epoch *cluster.Epoch) bool {
	for name := range s.teams.Limited() {
		if epoch.Teams[name] == s.opts.Node && s.epoch.Teams[name] != s.opts.Node {
			return true
		}
	}
	return false
}

// countEndedJobsLocked counts what may still run on the scheduler's machines of jobs that
// are over, of teams that are now its own. Nobody accepts, gains or places such
// a job, but its tasks use up the team's limit until they are surely gone.
func (s *Scheduler) countEndedJobsLocked() {
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if !a.Counted && a.Sized && !a.Exited() && s.jobs[a.Job] == nil && s.opts.Jobs.Active(a.Job) == nil &&
				s.epoch.OwnerOf(a.Team, a.Job) == s.opts.Node {
				a.Hosted = false
				s.countAttemptLocked(m.Zone, a)
			}
		}
	}
}
