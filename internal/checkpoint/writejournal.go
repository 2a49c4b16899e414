package checkpoint

import (
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/state"
)

// journalsAtOnce bounds the journals that are written together, for what has
// gathered and does not fit one: the more, the longer they wait afterwards.
const journalsAtOnce = 4

// writeJournals records new placements in as many journals as it takes,
// and returns how many those are.
func (w *Writer) writeJournals(dirty []*Machine) (written int) {
	for written < journalsAtOnce && len(dirty) > 0 {
		before := len(dirty)
		if !w.writeJournal(dirty) {
			break
		}
		written++
		dirty = slices.DeleteFunc(dirty, func(m *Machine) bool { return !m.Dirty })
		if len(dirty) == before {
			break
		}
	}
	return written
}

// journalInterval is how long one write of the journal waits after the one
// before: it comes before the ends of jobs, and must leave them, and the other
// schedulers, most of the writes that the store allows.
func (w *Writer) journalInterval() time.Duration {
	const part = 6 // of the writes of all controllers
	return time.Duration(part / max(w.opts.Settings.StateWriteRate, 1) * float64(time.Second))
}

// Whoever takes over reads what the journals hold together, so their number is
// bounded: by what the tasks of so many machines fill, since in journals that are
// too few for them nothing is over before its journal is written again, and the
// buckets take the writes that users wait for.
const (
	leastJournals   = 8
	bytesPerMachine = 820 // of journals
)

// maxJournals is how many journals the scheduler may have.
func (w *Writer) maxJournals() int {
	return max(leastJournals, w.scheduler.MachineCount()*bytesPerMachine/w.opts.Settings.MaxValueBytes)
}

// journalToWrite returns the journal to write, nil if there is none now. If the
// journals are full, the buckets of the fullest one's machines become due.
func (w *Writer) journalToWrite(limit int) *Bucket {
	journal, full := w.nextJournal(limit, w.maxJournals())
	if full != nil && !w.checkpointing() {
		for m := range w.extracts(full) {
			m.due = true
		}
		w.opts.Wake()
	}
	return journal
}

// checkpointing reports whether buckets are still due since the journals last
// filled: what they gain meanwhile goes with the next round of them.
func (w *Writer) checkpointing() bool {
	for _, b := range w.buckets {
		if b.committing && !b.consolidating && !w.ownsJournal(b) {
			return true
		}
	}
	for m := range w.scheduler.Machines() {
		if m.due && !w.scheduler.Returning(m) {
			return true
		}
	}
	return false
}

// writeJournal writes a journal: the attempts that are on no record, as far
// as it has room for them, and those that it alone holds. It returns false if
// none can be written now.
func (w *Writer) writeJournal(dirty []*Machine) bool {
	limit := w.limit.Bytes()
	journal := w.journalToWrite(limit)
	if journal == nil || journal.committing {
		return false
	}
	write := w.newWrite(state.Placement)
	write.journal = true
	content := w.journalContent(journal)
	for _, m := range dirty {
		w.scheduler.DropStaleHostedAttempts(m)
		m.Dirty = false
		for _, a := range m.Attempts.All() {
			if a.Recorded || a.Exited() {
				continue
			}
			size := content.sizeWith(m, a)
			if size > limit || !w.admits(write, a) {
				m.Dirty = true
				continue
			}
			content.add(m, a, size)
			write.records(m, a)
		}
	}
	if len(write.attempts) == 0 {
		return false
	}
	w.putBucket(write, journal, content.RecordBucket)
	return true
}

// journalContent is what a journal is to hold, and at most how many bytes that takes.
type journalContent struct {
	fleet.RecordBucket
	journal *Bucket
	size    int
}

// journalContent returns what the journal alone holds already.
func (w *Writer) journalContent(journal *Bucket) journalContent {
	c := journalContent{
		journal:      journal,
		RecordBucket: fleet.RecordBucket{Machines: map[string]fleet.Record{}, Write: w.scheduler.UniqueWriteID()},
	}
	for m, r := range w.extracts(journal) {
		c.Machines[m.Name] = r
		c.size += r.MaxBytes(m.Name)
	}
	return c
}

// sizeWith is the size with another attempt.
func (c *journalContent) sizeWith(m *Machine, a *fleet.Attempt) int {
	size := c.size + fleet.AttemptBytes(a.Task, a.Attempt)
	if _, begun := c.Machines[m.Name]; !begun {
		size += m.extractSize()
	}
	return size
}

// add adds an attempt on the machine; size is the size with it.
func (c *journalContent) add(m *Machine, a *fleet.Attempt, size int) {
	c.size = size
	r, begun := c.Machines[m.Name]
	if !begun {
		r, _ = m.journalExtract(c.journal)
		r.Attempts = map[string]uint64{}
		c.Machines[m.Name] = r
	}
	r.Attempts[a.Task] = a.Attempt
}
