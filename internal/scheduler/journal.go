package scheduler

import (
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/state"
)

// journalsAtOnce bounds the journals that are written together, for what has
// gathered and does not fit one: the more, the longer they wait afterwards.
const journalsAtOnce = 4

// writeJournalsLocked records new placements in as many journals as it takes,
// and returns how many those are.
func (s *Scheduler) writeJournalsLocked(dirty []*machine) (written int) {
	for written < journalsAtOnce && len(dirty) > 0 {
		before := len(dirty)
		if !s.writeJournalLocked(dirty) {
			break
		}
		written++
		dirty = slices.DeleteFunc(dirty, func(m *machine) bool { return !m.dirty })
		if len(dirty) == before {
			break
		}
	}
	return written
}

// journalEvery is how long one write of the journal waits after the one
// before: it comes before the ends of jobs, and must leave them, and the other
// shares, most of the state service's limit.
func (s *Scheduler) journalEvery() time.Duration {
	const part = 6 // of the writes of all controllers
	return time.Duration(part / max(s.opts.Settings.StateWriteRPS, 1) * float64(time.Second))
}

// Whoever takes over reads what the journals hold together, so their number is
// bounded: by what the tasks of so many machines fill, since in journals that are
// too few for them nothing is over before its journal is written again, and the
// buckets take the writes that users wait for.
const (
	leastJournals   = 8
	bytesPerMachine = 820 // of journals
)

func (s *Scheduler) maxJournals() int {
	return max(leastJournals, len(s.machines)*bytesPerMachine/s.opts.Settings.ValueBytes)
}

// nextJournalLocked returns the journal to write, nil if there is none now.
func (s *Scheduler) nextJournalLocked(limit int) *bucket {
	journal, full := s.records.nextJournal(limit, s.maxJournals())
	if full != nil && !s.checkpointingLocked() {
		for m := range s.records.extracts(full) {
			m.due = true
		}
		s.poke()
	}
	return journal
}

// extractSize is what the machine's record takes of a journal besides its
// attempts.
func (m *machine) extractSize() int {
	size := fleet.RecordBytes(m.Name)
	if !m.bucketWritten() {
		size += m.PlaceBytes()
	}
	return size
}

// writeJournalLocked writes a journal: the attempts that are on no record, as far
// as it has room for them, and those that it alone holds. It returns false if
// none can be written now.
func (s *Scheduler) writeJournalLocked(dirty []*machine) bool {
	limit := s.valueLimit.Bytes()
	journal := s.nextJournalLocked(limit)
	if journal == nil || journal.committing {
		return false
	}
	pw := s.newBucketWriteLocked(state.Placement)
	pw.journal = true
	content := fleet.RecordBucket{Machines: map[string]fleet.Record{}, Write: s.markLocked()}
	size := 0
	for m, r := range s.records.extracts(journal) {
		content.Machines[m.Name] = r
		size += r.Size(m.Name)
	}
	for _, m := range dirty {
		s.dropStaleHostedLocked(m)
		m.dirty = false
		for _, a := range m.Attempts.All() {
			if a.Durable || a.Exited() {
				continue
			}
			_, begun := content.Machines[m.Name]
			more := fleet.AttemptBytes(a.Task, a.Attempt)
			if !begun {
				more += m.extractSize()
			}
			if size+more > limit || !s.admitsLocked(pw, a) {
				m.dirty = true
				continue
			}
			if !begun {
				r, _ := m.JournalRecord(journal.key, m.bucketWritten())
				r.Attempts = map[string]uint64{}
				content.Machines[m.Name] = r
			}
			size += more
			content.Machines[m.Name].Attempts[a.Task] = a.Attempt
			pw.records(m, a)
		}
	}
	if len(pw.attempts) == 0 {
		return false
	}
	s.putBucketLocked(pw, journal, content)
	return true
}

// checkpointingLocked tells whether buckets are still due since the journals last
// filled: what they gain meanwhile goes with the next round of them.
func (s *Scheduler) checkpointingLocked() bool {
	for _, p := range s.records.buckets {
		if p.committing && !p.gathers && !s.records.writesJournal(p) {
			return true
		}
	}
	for _, m := range s.machines {
		if m.due && !m.returning {
			return true
		}
	}
	return false
}
