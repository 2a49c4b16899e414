package scheduler

import (
	"context"
	"time"

	"heronwick/internal/cluster"
	"heronwick/internal/job"
	"heronwick/internal/quota"
	"heronwick/internal/recovery"
)

// rebuild adapts the scheduler, which has dropped the jobs that it no longer owns, to a
// new epoch. It adopts machines without an owner, and reads from the records which
// attempts may be on which machines before any task of the jobs that it gains is placed.
// gainsJobs tells whether it is known to gain any.
func (s *Scheduler) rebuild(ctx context.Context, view cluster.View, gainsJobs bool, adopt []string) {
	epoch := &view.Epoch
	var records recovery.Records
	var err error
	read := s.needsRecords(epoch) || len(adopt) > 0 || gainsJobs
	began := time.Now()
	if read {
		records, err = recovery.Read(ctx, s.opts.Records, s.opts.Jobs)
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.recheckEpoch()
	s.rebuilding = false
	if err != nil {
		s.log.Info("failed to read the records for a rebuild; will retry", "err", err)
		return
	}
	if now := s.opts.Authority.View().Epoch; ctx.Err() != nil || now.Token != epoch.Token {
		return // the records may be outdated; the next epoch starts another rebuild
	}
	s.dropLostJobsLocked(epoch) // jobs that were added under the old epoch meanwhile
	s.setEpochLocked(view)
	if read {
		s.restoreLocked(records, adopt, time.Since(began))
	} else {
		s.countEndedJobsLocked()
	}
	s.teams.SetBasis(quota.Basis{Token: s.epoch.Token, Assignment: s.epoch.Assignment.Token, Revision: max(records.Revision, s.teams.Revision())})
	s.adoptedToken, s.loaded = epoch.Token, true
	s.adoptDoneBucketsLocked(records.Done)
	for _, queued := range s.jobs {
		s.finishLocked(queued)
	}
}

// needsRecords reports whether the records must be read for a rebuild even if the
// scheduler is not known to gain jobs or machines. A new leader must read them because it
// also takes over what the previous leader owned without a transfer being written, and a leader
// when a membership has ended, because the transfers to that member may have been removed.
func (s *Scheduler) needsRecords(epoch *cluster.Epoch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	takesOver := epoch.Leader == s.opts.Node && s.mayEndMembershipLocked(epoch)
	return !s.loaded || s.becomesLeaderLocked(epoch) || takesOver || s.gainsLimitLocked(epoch)
}

// mayEndMembershipLocked reports whether any membership may have ended between the scheduler's
// epoch and a later one.
func (s *Scheduler) mayEndMembershipLocked(epoch *cluster.Epoch) bool {
	if !epoch.Assignment.Succeeds(s.epoch.Assignment) {
		return true // a member may have joined and left in between
	}
	for node, member := range s.epoch.Members {
		if epoch.Members[node].Since != member.Since {
			return true
		}
	}
	return false
}

// restoreLocked adds the jobs that the scheduler gains, and restores from the records
// which attempts may be on which machines. The records were read in the given time.
func (s *Scheduler) restoreLocked(records recovery.Records, adopt []string, readTime time.Duration) {
	first := !s.loaded
	if first {
		s.startVersion = s.epoch.condition.Version
	}
	now := time.Now()
	gained := s.addGainedJobsLocked(records.Done)
	s.countEndedJobsLocked()
	adopted := s.restoreRecordsLocked(records, adopt, gained, now)
	if first || len(gained)+adopted > 0 {
		s.log.Info("scheduler rebuilt", "token", s.epoch.Token, "assignment", s.epoch.Assignment.Token, "leader", s.epoch.Leader, "jobs", len(s.jobs), "gained", len(gained),
			"machines", len(s.machines), "adopted", adopted, "remote", s.remoteAttempts.Len(),
			"records_revision", records.Revision, "record_keys", len(records.Buckets), "record_pages", records.Pages, "read_time", readTime)
	}
}

// addGainedJobsLocked adds the active jobs that the scheduler owns and does not have yet, with
// their done tasks, and returns their IDs. That includes jobs that became known here only while
// the records were read: their attempts are in the records and use up their teams' limits.
func (s *Scheduler) addGainedJobsLocked(done []job.DoneBucket) (added map[string]bool) {
	added = map[string]bool{}
	for _, record := range s.opts.Jobs.AllActive() {
		id := record.Job.ID
		if s.jobs[id] != nil || !s.ownsJobLocked(&record.Job) {
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

// adoptDoneBucketsLocked takes over, on the leader, the buckets of done tasks whose
// owners' memberships have ended.
func (s *Scheduler) adoptDoneBucketsLocked(done []job.DoneBucket) {
	if s.epoch.Leader != s.opts.Node {
		return
	}
	for i := range done {
		if owner, ok := job.DoneBucketOwner(done[i].Key); !ok || s.epoch.Members[owner.Node].Since != owner.Since {
			s.completions.AdoptBucket(&done[i], s.opts.Jobs.Active, s.completionOf)
		}
	}
}

// gainsLimitLocked reports whether this scheduler becomes responsible for the limit
// of a team in an epoch. All tasks of the team that may still run count against the
// limit, including those of ended jobs.
func (s *Scheduler) gainsLimitLocked(epoch *cluster.Epoch) bool {
	followed := epoch.Assignment.Succeeds(s.epoch.Assignment)
	for name := range s.teams.Limited() {
		owned := followed && s.epoch.Teams[name] == s.opts.Node
		if epoch.Teams[name] == s.opts.Node && !owned {
			return true
		}
	}
	return false
}

// countEndedJobsLocked counts the attempts of ended jobs that may still run on the
// scheduler's machines, for the teams that it now owns. No scheduler accepts, gains
// or places such a job, but its attempts use up the team's limit until they are known
// to be gone.
func (s *Scheduler) countEndedJobsLocked() {
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if !a.CountedInUsage && a.SizeKnown && !a.Exited() && s.jobs[a.Job] == nil && s.opts.Jobs.Active(a.Job) == nil &&
				s.epoch.OwnerOf(a.Team, a.Job) == s.opts.Node {
				a.Hosted = false
				s.countAttemptLocked(m.Zone, a)
			}
		}
	}
}
