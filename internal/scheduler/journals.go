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
func (s *Share) writeJournalsLocked(dirty []*machine) (written int) {
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
func (s *Share) journalEvery() time.Duration {
	const part = 6 // of the writes of all controllers
	return time.Duration(part / max(s.opts.Settings.StateWriteRPS, 1) * float64(time.Second))
}

// Whoever takes over reads what the journals hold together, so their number is
// bounded: by what the tasks of so many machines fill, since in journals that are
// too few for them nothing is over before its journal is written again, and the
// pages take the writes that users wait for.
const (
	leastJournals   = 8
	bytesPerMachine = 820 // of journals
)

func (s *Share) maxJournals() int {
	return max(leastJournals, len(s.machines)*bytesPerMachine/s.opts.Settings.ValueBytes)
}

// nextJournalLocked returns the journal to write. Most tasks are over before
// their journal is written again, and so never come onto a page. It stays the
// same until what still runs fills three quarters of it, and goes on with the
// emptiest. When all are half full, the pages of the fullest one's machines are
// due.
func (s *Share) nextJournalLocked(limit int) *page {
	if s.journal != nil && !s.journal.committing && s.heldLocked(s.journal) < limit*3/4 {
		return s.journal
	}
	var least, most *page
	held := map[*page]int{}
	for _, j := range s.journals {
		held[j] = s.heldLocked(j)
		if !j.committing && (least == nil || held[j] < held[least]) {
			least = j
		}
		if most == nil || held[j] > held[most] {
			most = j
		}
	}
	if least == nil || held[least] > limit/2 {
		if len(s.journals) < s.maxJournals() {
			least = &page{key: fleet.JournalKey(s.opts.Node, s.div.Members[s.opts.Node].Since, len(s.journals)), journaled: map[*machine]bool{}}
			s.journals = append(s.journals, least)
			s.pages[least.key] = least
		} else if most != nil && !s.checkpointingLocked() {
			for m := range s.extractsLocked(most) {
				m.due = true
			}
			s.poke()
		}
	}
	s.journal = least
	return least
}

// heldLocked is about how many bytes a journal must hold.
func (s *Share) heldLocked(journal *page) (held int) {
	for m := range journal.journaled {
		if s.machines[m.Name] != m {
			continue
		}
		begun := false
		for _, a := range m.Attempts.All() {
			if a.Journal != journal.key || a.Exited() {
				continue
			}
			held += fleet.AttemptBytes(a.Task, a.Attempt)
			if !begun {
				begun = true
				held += m.extractSize()
			}
		}
	}
	return held
}

// extractsLocked returns what the journal alone holds of the share's machines, and
// forgets those of which it holds nothing any more.
func (s *Share) extractsLocked(journal *page) map[*machine]fleet.Record {
	extracts := make(map[*machine]fleet.Record, len(journal.journaled))
	for m := range journal.journaled {
		r, ok := m.Extract(journal.key, m.paged())
		if !ok || s.machines[m.Name] != m {
			delete(journal.journaled, m)
			continue
		}
		extracts[m] = r
	}
	return extracts
}

// extractSize is what the machine's record takes of a journal besides its
// attempts.
func (m *machine) extractSize() int {
	size := fleet.RecordBytes(m.Name)
	if !m.paged() {
		size += m.PlaceBytes()
	}
	return size
}

// writeJournalLocked writes a journal: the attempts that are on no record, as far
// as it has room for them, and those that it alone holds. It returns false if
// none can be written now.
func (s *Share) writeJournalLocked(dirty []*machine) bool {
	limit := s.valueLimit()
	journal := s.nextJournalLocked(limit)
	if journal == nil || journal.committing {
		return false
	}
	pw := s.newPageWriteLocked(state.Placement)
	pw.journal = true
	content := fleet.Page{Machines: map[string]fleet.Record{}, Write: s.markLocked()}
	size := 0
	for m, r := range s.extractsLocked(journal) {
		content.Machines[m.Name] = r
		size += r.Size(m.Name)
	}
	for _, m := range dirty {
		s.dropStaleGuestsLocked(m)
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
				r, _ := m.Extract(journal.key, m.paged())
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
	s.putPageLocked(pw, journal, content)
	return true
}

// checkpointingLocked tells whether pages are still due since the journals last
// filled: what they gain meanwhile goes with the next round of them.
func (s *Share) checkpointingLocked() bool {
	for _, p := range s.pages {
		if p.committing && !p.gathers && !slices.Contains(s.journals, p) {
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
