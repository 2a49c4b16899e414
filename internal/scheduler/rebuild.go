package scheduler

import (
	"context"
	"time"

	"heronwick/internal/checkpoint"
	"heronwick/internal/cluster"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/recovery"
	"heronwick/wire"
)

// rebuild makes the scheduler fit a new epoch: it lets go of jobs that are no
// longer its own, takes machines without an owner, and reads from the records
// what may be where, before anything of that is placed.
func (s *Scheduler) rebuild(ctx context.Context, epoch cluster.Epoch, condition wire.Condition, gained []*job.Record, adopt []string) {
	var records recovery.Records
	var err error
	if s.beginRebuild(&epoch) || len(adopt) > 0 || len(gained) > 0 {
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
	s.disownLocked(&epoch) // what came meanwhile by the old epoch
	s.takeEpochLocked(epoch, condition)
	s.restoreLocked(records, gained, adopt)
	s.adoptedToken, s.loaded = epoch.Token, true
	s.takeDoneBucketsLocked(records.Done)
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
	needsRecords = !s.loaded || s.beginsToLeadLocked(epoch) || s.gainsLimitLocked(epoch)
	s.disownLocked(epoch)
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
	adopted := s.placeRecordsLocked(records, adopt, isGained, now)
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

// takeDoneBucketsLocked takes over, as the leader, the buckets of done tasks whose
// owners' memberships are over.
func (s *Scheduler) takeDoneBucketsLocked(done []job.DoneBucket) {
	if s.epoch.Leader != s.opts.Node {
		return
	}
	for i := range done {
		if owner, ok := job.DoneBucketOwner(done[i].Key); !ok || s.epoch.Members[owner.Node].Since != owner.Since {
			s.completions.TakeOver(&done[i], s.opts.Jobs.Active, s.completionOf)
		}
	}
}

// gainsLimitLocked tells whether a team whose limit this scheduler keeps under an
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

// adoption collects, while records are placed, the machines to adopt.
type adoption struct {
	outcomes map[string]job.Outcome // of jobs that are over
	gained   map[string]bool        // jobs that have become the scheduler's own
	machines map[string]*adoptedMachine
	now      time.Time
}

// adoptedMachine is a machine to adopt, with the buckets that hold its record.
type adoptedMachine struct {
	machine *fleet.Machine
	buckets []*checkpoint.Bucket
}

// placeRecordsLocked takes from the records what may be on machines: on those
// that are adopted, and on others' as far as own jobs are concerned. It
// returns how many machines were adopted.
func (s *Scheduler) placeRecordsLocked(records recovery.Records, adopt []string, gained map[string]bool, now time.Time) int {
	s.adoptHostedLocked(gained)
	adopting := &adoption{outcomes: records.Outcomes, gained: gained, machines: map[string]*adoptedMachine{}, now: now}
	for _, stored := range records.Buckets {
		taken := s.takeBucketLocked(stored)
		for name, record := range stored.Machines {
			s.placeRecordLocked(adopting, name, record, taken)
		}
	}
	for _, name := range adopt {
		if adopting.machines[name] == nil && s.machines[name] == nil && !s.transfers.Moving(name) && !s.isReleasedLocked(name) {
			adopting.machines[name] = &adoptedMachine{machine: fleet.NewMachine(name)}
		}
	}
	for _, adopted := range adopting.machines {
		s.adoptMachineLocked(adopted.machine, adopted.buckets, adopting.outcomes, now)
	}
	return len(adopting.machines)
}

// adoptHostedLocked makes own attempts of those that the scheduler's machines host and
// whose jobs it has gained.
func (s *Scheduler) adoptHostedLocked(gained map[string]bool) {
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if !gained[a.Job] {
				continue
			}
			s.adoptAttemptLocked(m, a)
			if a.Exited() && !a.Handled {
				s.attemptExitedLocked(m, a)
			}
		}
	}
}

// placeRecordLocked takes a machine's record from a bucket: one to adopt is collected,
// of another's what may be on it of own jobs is tracked. taken is the bucket, if the
// scheduler takes it over.
func (s *Scheduler) placeRecordLocked(adopting *adoption, name string, record fleet.Record, taken *checkpoint.Bucket) {
	if s.machines[name] != nil || s.isReleasedLocked(name) {
		return
	}
	// By this epoch, also while the next one begins: a machine that is ours only by
	// that one, without the bucket that holds its record, had that record removed as
	// nobody's (ran_twice).
	host := s.opts.Authority.HostOf(&s.epoch.Epoch, name)
	switch {
	case host != s.opts.Node:
		s.trackRecordLocked(adopting, fleet.FromRecord(name, record, s.epoch.Token, adopting.now), host)
	case !s.transfers.Moving(name):
		adopting.add(name, record, s.epoch.Token, taken)
	}
}

// add collects a machine with what a record says of it, which may be one of several.
func (a *adoption) add(name string, record fleet.Record, token uint64, taken *checkpoint.Bucket) {
	adopted := a.machines[name]
	if adopted == nil {
		adopted = &adoptedMachine{machine: fleet.FromRecord(name, record, token, a.now)}
		a.machines[name] = adopted
	} else {
		adopted.machine.Restore(record, token, a.now)
	}
	if taken == nil {
		return
	}
	adopted.buckets = append(adopted.buckets, taken)
	if len(adopted.buckets) > 1 || taken.IsJournal() {
		taken.Keep(name, record)
	}
}

// takeBucketLocked takes over a bucket whose owner's membership is over: the leader
// does, as it does with the machines. It returns nil for another's bucket, and
// for one that is this scheduler's already: what that says of a machine that is
// only now taken is from before the machine was handed over, idle.
func (s *Scheduler) takeBucketLocked(stored recovery.Bucket) *checkpoint.Bucket {
	if s.checkpoints.Bucket(stored.Key) != nil {
		return nil
	}
	owner, ok := fleet.BucketOwner(stored.Key)
	if s.epoch.Leader != s.opts.Node || ok && s.epoch.Members[owner.Node].Since == owner.Since {
		return nil
	}
	return s.checkpoints.AdoptBucket(stored.Key, stored.Version, stored.Size)
}

// trackRecordLocked tracks what another's machine may hold of own jobs.
func (s *Scheduler) trackRecordLocked(adopting *adoption, fm *fleet.Machine, host string) {
	for _, a := range fm.Attempts.All() {
		if outcome, over := adopting.outcomes[a.Job]; over && s.epoch.OwnerOf(outcome.Team, a.Job) == s.opts.Node {
			a.Team, a.Size, a.Sized = outcome.Team, sizeOf(outcome), true
			s.trackRemoteLocked(a, host, fm.Zone)
		} else if queued := s.jobs[a.Job]; queued != nil && adopting.gained[a.Job] {
			a.Describe(&queued.Record.Job, queued.EffectivePriority)
			s.trackRemoteLocked(a, host, fm.Zone)
		}
	}
}

// adoptMachineLocked takes a machine with what the records say may be on it.
// buckets hold those: the first is its own from now on.
func (s *Scheduler) adoptMachineLocked(fm *fleet.Machine, buckets []*checkpoint.Bucket, outcomes map[string]job.Outcome, now time.Time) {
	answered := s.answeredUnadopted[fm.Name]
	m := s.addMachineLocked(fm, now)
	m.LastReply = answered
	s.checkpoints.AdoptMachine(&m.record, buckets)
	over := map[string]job.Outcome{}
	for _, a := range m.Attempts.All() {
		if outcome, ok := outcomes[a.Job]; ok {
			over[a.Job] = outcome
			continue
		}
		s.adoptAttemptLocked(m, a)
	}
	for id, outcome := range over {
		s.endTasksOnLocked(m, id, outcome, now.Add(2*s.opts.Settings.ReportEvery))
	}
	s.syncLocked(m)
}
