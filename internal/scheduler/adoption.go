package scheduler

import (
	"time"

	"heronwick/internal/checkpoint"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/recovery"
)

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

// restoreRecordsLocked takes from the records what may be on machines: on those
// that are adopted, and on others' as far as own jobs are concerned. It
// returns how many machines were adopted.
func (s *Scheduler) restoreRecordsLocked(records recovery.Records, adopt []string, gained map[string]bool, now time.Time) int {
	s.adoptHostedLocked(gained)
	adopting := &adoption{outcomes: records.Outcomes, gained: gained, machines: map[string]*adoptedMachine{}, now: now}
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
				s.handleAttemptExitLocked(m, a)
			}
		}
	}
}

// restoreRecordLocked takes a machine's record from a bucket: one to adopt is collected,
// of another's what may be on it of own jobs is tracked. bucket is the bucket, if the
// scheduler takes it over.
func (s *Scheduler) restoreRecordLocked(adopting *adoption, name string, record fleet.Record, bucket *checkpoint.Bucket) {
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
		adopting.add(name, record, s.epoch.Token, bucket)
	}
}

// add collects a machine with what a record says of it, which may be one of several.
func (a *adoption) add(name string, record fleet.Record, token uint64, bucket *checkpoint.Bucket) {
	adopted := a.machines[name]
	if adopted == nil {
		adopted = &adoptedMachine{machine: fleet.FromRecord(name, record, token, a.now)}
		a.machines[name] = adopted
	} else {
		adopted.machine.Restore(record, token, a.now)
	}
	if bucket == nil {
		return
	}
	adopted.buckets = append(adopted.buckets, bucket)
	if len(adopted.buckets) > 1 || bucket.IsJournal() {
		bucket.Keep(name, record)
	}
}

// adoptBucketLocked takes over a bucket whose owner's membership is over: the leader
// does, as it does with the machines. It returns nil for another's bucket, and
// for one that is this scheduler's already: what that says of a machine that is
// only now taken is from before the machine was handed over, idle.
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

// trackRecordLocked tracks what another's machine may hold of own jobs.
func (s *Scheduler) trackRecordLocked(adopting *adoption, fleetMachine *fleet.Machine, host string) {
	for _, a := range fleetMachine.Attempts.All() {
		if outcome, over := adopting.outcomes[a.Job]; over && s.epoch.OwnerOf(outcome.Team, a.Job) == s.opts.Node {
			a.Team, a.Size, a.Sized = outcome.Team, outcomeTaskSize(outcome), true
			s.trackRemoteLocked(a, host, fleetMachine.Zone)
		} else if queued := s.jobs[a.Job]; queued != nil && adopting.gained[a.Job] {
			a.Describe(&queued.Record.Job, queued.EffectivePriority)
			s.trackRemoteLocked(a, host, fleetMachine.Zone)
		}
	}
}

// adoptMachineLocked takes a machine with what the records say may be on it.
// buckets hold those: the first is its own from now on. outcomes are those of the jobs
// that are over.
func (s *Scheduler) adoptMachineLocked(
	adopted *fleet.Machine, buckets []*checkpoint.Bucket, outcomes map[string]job.Outcome, now time.Time,
) {
	answered := s.preAdoptionReplies[adopted.Name]
	m := s.addMachineLocked(adopted, now)
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
		s.stopTasksOnLocked(m, id, outcome, now.Add(2*s.opts.Settings.HeartbeatInterval))
	}
	s.queueTokenSyncLocked(m)
}
