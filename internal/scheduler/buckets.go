package scheduler

import (
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/state"
)

// recordLocked returns what a bucket holds of a machine, without the attempts that
// are left out.
func (s *Scheduler) recordLocked(m *machine, leaveOut func(*fleet.Attempt) bool) fleet.Record {
	r := m.Record(leaveOut)
	r.KeepImages(s.valueLimit.ImageBytes())
	return r
}

// bucketLimit is how many bytes a bucket may come to that takes another machine.
func (s *Scheduler) bucketLimit() int { return s.opts.Settings.ValueBytes * 3 / 4 }

// bucketKey names the n-th bucket of the share.
func (s *Scheduler) bucketKey(n uint64) string {
	return fleet.BucketKey(s.opts.Node, s.epoch.Members[s.opts.Node].Since, n)
}

// journalKey names the n-th journal of the share.
func (s *Scheduler) journalKey(n int) string {
	return fleet.JournalKey(s.opts.Node, s.epoch.Members[s.opts.Node].Since, n)
}

// writing tells whether a record of the machine is on its way.
func (m *machine) writing() bool { return m.bucket != nil && m.bucket.committing }

// commitLocked records new placements: all that have gathered while the
// journal was being written go with its next write. So a burst over all
// machines is one change at a time, however many buckets there are; those are
// written when the journal fills.
func (s *Scheduler) commitLocked() {
	if !s.currentLocked() {
		return // would only fail, and failures cost writes too
	}
	due := map[*bucket]bool{}
	var dirty []*machine
	for _, m := range s.machines {
		if m.returning || !m.due && !m.dirty {
			continue
		}
		if m.due {
			s.records.assign(m)
		}
		switch {
		case m.due && m.bucket.writable():
			due[m.bucket] = true
		case m.dirty:
			dirty = append(dirty, m)
		}
	}
	for p := range due {
		s.writeBucketLocked(p, state.Safety)
	}
	s.consolidateLocked()
	dirty = slices.DeleteFunc(dirty, func(m *machine) bool { return !m.dirty }) // on a bucket just written
	if len(dirty) == 0 {
		return
	}
	now := time.Now()
	if wait := s.journaled.Sub(now); wait > 0 {
		if !s.journalDue {
			s.journalDue = true
			time.AfterFunc(wait, s.poke)
		}
		return
	}
	s.journalDue = false
	s.journaled = now.Add(time.Duration(s.writeJournalsLocked(dirty)) * s.journalEvery())
}

// consolidationsAtOnce bounds the buckets that are written only to gather what is
// on several: they are in the way of buckets that journals wait for.
const consolidationsAtOnce = 2

// consolidateLocked writes the buckets of machines that records of former owners
// also name, so that those can be removed. Nobody waits for it: after a takeover
// it would use up the writes that submissions wait for. What is not recorded yet
// is left to the journals.
func (s *Scheduler) consolidateLocked() {
	for m := range s.records.scattered {
		if s.consolidating >= consolidationsAtOnce {
			return
		}
		if m.returning {
			continue
		}
		s.records.assign(m)
		if m.bucket.writable() {
			s.writeBucketLocked(m.bucket, state.Background)
		}
	}
}

// tidyEvery is how often buckets are tidied: nobody waits for it.
const tidyEvery = 10 * time.Second

// tidyLocked writes the buckets that name machines which are no longer here,
// and removes those that name none that are.
func (s *Scheduler) tidyLocked(now time.Time) {
	if !s.loaded || !s.currentLocked() {
		return
	}
	for _, p := range s.records.buckets {
		if p.untidy && p.writable() && !s.records.writesJournal(p) && (p.empty() || now.Sub(p.written) > tidyFullEvery) {
			s.writeBucketLocked(p, state.Background)
		}
	}
}

// tidyFullEvery is how often buckets are tidied that still hold something: what else
// they name is looked through at a takeover, no more.
const tidyFullEvery = time.Minute
