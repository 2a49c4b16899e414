package scheduler

import (
	"time"

	"heronwick/internal/checkpoint"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/placement"
	"heronwick/internal/recovery"
)

// adoption collects the machines to adopt while the records are restored.
type adoption struct {
	records  recovery.Records
	gained   map[string]bool // jobs that the scheduler newly owns, by ID
	machines map[string]*adoptedMachine
	now      time.Time
}

// adoptedMachine is a machine to adopt, with the buckets that contain its record.
type adoptedMachine struct {
	machine *fleet.Machine
	buckets []*checkpoint.Bucket
}

// restoreRecordsLocked restores from the records which attempts may be on which
// machines: all attempts on the machines to adopt, and the attempts of this
// scheduler's jobs on the machines of other controllers. It returns the number of
// machines adopted.
func (s *Scheduler) restoreRecordsLocked(records recovery.Records, adopt []string, gained map[string]bool, now time.Time) int {
	s.adoptHostedLocked(gained)
	adopting := &adoption{records: records, gained: gained, machines: map[string]*adoptedMachine{}, now: now}
	for _, stored := range records.Buckets {
		bucket := s.adoptBucketLocked(stored)
		for name, record := range stored.Machines {
			s.restoreRecordLocked(adopting, name, record, bucket)
		}
	}
	for _, name := range adopt {
		if adopting.machines[name] == nil && s.machines[name] == nil && !s.transfers.Moving(name) && !s.isReleasedLocked(name) {
			adopting.machines[name] = &adoptedMachine{machine: fleet.NewMachine(name)}
		}
	}
	for _, adopted := range adopting.machines {
		s.adoptMachineLocked(adopted.machine, adopted.buckets, records, now)
	}
	return len(adopting.machines)
}

// adoptHostedLocked turns hosted attempts on the scheduler's machines into its own
// attempts if the scheduler has gained their jobs. It first removes those that were placed
// under an earlier assignment and not recorded: their jobs' owners since then did not know them.
func (s *Scheduler) adoptHostedLocked(gained map[string]bool) {
	for _, m := range s.machines {
		s.dropStaleHostedLocked(m)
		for _, a := range m.Attempts.All() {
			if !gained[a.Job] {
				continue
			}
			s.adoptAttemptLocked(m, a)
			if a.Exited() && !a.ExitProcessed {
				s.handleAttemptExitLocked(m, a)
			}
		}
	}
}

// restoreRecordLocked processes one machine's record from a bucket. A machine to
// adopt is added to adopting. If another controller owns the machine, the attempts of
// this scheduler's jobs on it are tracked as remote attempts. bucket is nil unless
// the scheduler takes the bucket over.
func (s *Scheduler) restoreRecordLocked(adopting *adoption, name string, record fleet.Record, bucket *checkpoint.Bucket) {
	if s.machines[name] != nil || s.isReleasedLocked(name) {
		return
	}
	// Use the scheduler's epoch, even if the next one has begun. A machine that belongs
	// to this controller only in the next epoch would be adopted without the bucket that
	// contains its record. The record would then be removed as ownerless, and its tasks
	// could run twice (rule ran_twice).
	host := s.opts.Authority.OwnerInEpoch(&s.epoch.Epoch, name)
	switch {
	case host != s.opts.Node:
		s.trackRecordLocked(adopting, fleet.FromRecord(name, record, s.epoch.Token, adopting.now), host)
	case !s.transfers.Moving(name):
		adopting.add(name, record, s.epoch.Token, bucket)
	}
}

// add adds a machine to adopt, or another record of a machine that was added before.
func (a *adoption) add(name string, record fleet.Record, token uint64, bucket *checkpoint.Bucket) {
	adopted := a.machines[name]
	if adopted == nil {
		adopted = &adoptedMachine{machine: fleet.FromRecord(name, record, token, a.now)}
		a.machines[name] = adopted
	} else {
		adopted.machine.MergeRecord(record, token, a.now)
	}
	if bucket == nil {
		return
	}
	adopted.buckets = append(adopted.buckets, bucket)
	if len(adopted.buckets) > 1 || bucket.IsJournal() {
		bucket.Retain(name, record)
	}
}

// adoptBucketLocked takes over a bucket whose owner's membership has ended. Only the
// leader does so, since it also adopts that owner's machines. It returns nil for a
// bucket of a current member, and for a bucket that this scheduler already has: the
// record there of a machine that is only now adopted predates the handover of that
// machine, which was idle then.
func (s *Scheduler) adoptBucketLocked(stored recovery.Bucket) *checkpoint.Bucket {
	if s.checkpoints.Bucket(stored.Key) != nil {
		return nil
	}
	owner, ok := fleet.BucketOwner(stored.Key)
	if s.epoch.Leader != s.opts.Node || ok && s.epoch.Members[owner.Node].Since == owner.Since {
		return nil
	}
	return s.checkpoints.AdoptBucket(stored.Key, stored.Version, stored.Size)
}

// trackRecordLocked tracks the attempts of this scheduler's jobs that may be on
// another controller's machine, and those of ended jobs of its teams.
func (s *Scheduler) trackRecordLocked(adopting *adoption, fleetMachine *fleet.Machine, host string) {
	for _, a := range fleetMachine.Attempts.All() {
		if queued := s.jobs[a.Job]; queued != nil {
			if adopting.gained[a.Job] {
				a.SetJobDetails(&queued.Record.Job, queued.EffectivePriority)
				s.trackRemoteLocked(a, host, fleetMachine.Zone)
			}
		} else if s.describeEndedLocked(adopting.records, a) && s.ownsAttemptLocked(a) {
			s.trackRemoteLocked(a, host, fleetMachine.Zone)
		}
	}
}

// describeEndedLocked sets the team and the size of a recorded attempt whose job has ended,
// before the records were read or since. It returns false for the attempt of any other job.
func (s *Scheduler) describeEndedLocked(records recovery.Records, a *fleet.Attempt) bool {
	if outcome, ended := records.Outcomes[a.Job]; ended {
		setOutcome(a, outcome)
		return true
	}
	record := records.Active[a.Job]
	if record == nil || s.opts.Jobs.Active(a.Job) != nil {
		return false
	}
	a.SetJobDetails(&record.Job, record.Job.Priority.Rank())
	return true
}

// setOutcome sets the team and the size of an attempt from the outcome of its job.
func setOutcome(a *fleet.Attempt, outcome job.Outcome) {
	a.Team = outcome.Team
	a.Size, a.SizeKnown = placement.Resources{CPUs: outcome.CPUs, GPUs: outcome.GPUs, MemoryGB: outcome.MemoryGB}, true
}

// ownsAttemptLocked reports whether the scheduler owns the team of an attempt.
func (s *Scheduler) ownsAttemptLocked(a *fleet.Attempt) bool {
	return s.epoch.OwnerOf(a.Team, a.Job) == s.opts.Node
}

// adoptMachineLocked adds a machine with the attempts that its records list. buckets
// contain these records; the first one becomes the machine's own bucket, unless it is
// a journal.
func (s *Scheduler) adoptMachineLocked(
	adopted *fleet.Machine, buckets []*checkpoint.Bucket, records recovery.Records, now time.Time,
) {
	answered := s.preAdoptionReplies[adopted.Name]
	m := s.addMachineLocked(adopted, now)
	m.LastReply = answered
	s.checkpoints.AdoptMachine(&m.record, buckets)
	ended := map[string]job.Outcome{}
	for _, a := range m.Attempts.All() {
		if outcome, ok := records.Outcomes[a.Job]; ok {
			ended[a.Job] = outcome
			continue
		}
		if s.jobs[a.Job] == nil && s.describeEndedLocked(records, a) && s.ownsAttemptLocked(a) {
			s.countAttemptLocked(m.Zone, a)
		}
		s.adoptAttemptLocked(m, a)
	}
	for id, outcome := range ended {
		s.stopTasksOnLocked(m, id, outcome, now.Add(2*s.opts.Settings.HeartbeatInterval))
	}
	s.queueTokenSyncLocked(m)
}
