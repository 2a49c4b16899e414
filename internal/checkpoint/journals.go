package checkpoint

import "heronwick/internal/fleet"

// nextJournal returns the journal to write, or nil if none can be written now. Most
// tasks have ended before their journal is written again, so their attempts never move
// to a bucket. The same journal is used until its running attempts fill three quarters
// of it, then the emptiest one. If no journal that can be written is at most half full
// and there are already maxJournals, it also returns the fullest journal: the buckets of
// the machines in that one must be written.
func (t *Table) nextJournal(limit, maxJournals int) (currentJournal, full *Bucket) {
	if t.currentJournal != nil && !t.currentJournal.writeInFlight && t.journalBytes(t.currentJournal) < limit*3/4 {
		return t.currentJournal, nil
	}
	var emptiest *Bucket
	bytes := map[*Bucket]int{}
	for _, j := range t.journals {
		bytes[j] = t.journalBytes(j)
		if !j.writeInFlight && (emptiest == nil || bytes[j] < bytes[emptiest]) {
			emptiest = j
		}
		if full == nil || bytes[j] > bytes[full] {
			full = j
		}
	}
	switch {
	case emptiest != nil && bytes[emptiest] <= limit/2:
		full = nil
	case len(t.journals) < maxJournals:
		emptiest, full = t.addJournal(), nil
	}
	t.currentJournal = emptiest
	return emptiest, full
}

// addJournal adds an empty journal.
func (t *Table) addJournal() *Bucket {
	journal := &Bucket{key: t.journalKey(len(t.journals)), journaled: map[*Machine]bool{}}
	t.journals = append(t.journals, journal)
	t.buckets[journal.key] = journal
	return journal
}

// journalBytes returns the approximate number of bytes that a journal must contain.
func (t *Table) journalBytes(journal *Bucket) (size int) {
	for m := range journal.journaled {
		if !t.owns(m) {
			continue
		}
		begun := false
		for _, a := range m.Attempts.All() {
			if a.Journal != journal.key || a.Exited() {
				continue
			}
			size += fleet.AttemptBytes(a.Task, a.Attempt)
			if !begun {
				begun = true
				size += m.baseBytesInJournal()
			}
		}
	}
	return size
}

// journalRecords returns the records of the attempts on the scheduler's machines that
// only this journal contains. It removes machines without such attempts from journaled.
func (t *Table) journalRecords(journal *Bucket) map[*Machine]fleet.Record {
	journalRecords := make(map[*Machine]fleet.Record, len(journal.journaled))
	for m := range journal.journaled {
		r, ok := m.recordInJournal(journal)
		if !ok || !t.owns(m) {
			delete(journal.journaled, m)
			continue
		}
		journalRecords[m] = r
	}
	return journalRecords
}
