package checkpoint

import (
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/state"
)

// maxJournalsPerCommit is the maximum number of journals that one call of Commit writes,
// if the pending placements do not fit in one. The more journals are written, the longer the
// next journal write is delayed.
const maxJournalsPerCommit = 4

// writeJournals records new placements in as many journals as necessary, and returns the
// number of journals that it writes.
func (w *Writer) writeJournals(dirty []*Machine) (written int) {
	for written < maxJournalsPerCommit && len(dirty) > 0 {
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

// journalInterval returns the delay after the write of a journal until the next one.
// Journal writes have priority over writes that record the end of jobs, so they must
// leave most of the write rate that the store allows to those and to other schedulers.
func (w *Writer) journalInterval() time.Duration {
	const writeShareDivisor = 6 // journal writes take 1/6 of the write rate of all controllers
	return time.Duration(writeShareDivisor / max(w.opts.Settings.StateWriteRate, 1) * float64(time.Second))
}

// The number of journals is limited because a takeover reads all of them. The limit grows
// with the number of machines: with too few journals for the tasks on the machines, tasks
// are still running when their journal is written again, and writing the buckets instead
// uses up the writes that users wait for.
const (
	minJournals            = 8
	journalBytesPerMachine = 820 // bytes of journals for each machine
)

// maxJournals returns the maximum number of journals of the scheduler.
func (w *Writer) maxJournals() int {
	return max(minJournals, w.scheduler.MachineCount()*journalBytesPerMachine/w.opts.Settings.MaxValueBytes)
}

// journalToWrite returns the journal to write, or nil if none can be written now. If the
// journals are full, it marks the buckets of the machines in the fullest one as due.
func (w *Writer) journalToWrite(limit int) *Bucket {
	journal, full := w.nextJournal(limit, w.maxJournals())
	if full != nil && !w.checkpointInProgress() {
		for m := range w.journalRecords(full) {
			m.checkpointDue = true
		}
		w.opts.Wake()
	}
	return journal
}

// checkpointInProgress reports whether buckets still have to be written since the journals
// were last full. Attempts that are added to the journals meanwhile are part of the next
// checkpoint.
func (w *Writer) checkpointInProgress() bool {
	for _, b := range w.buckets {
		if b.writeInFlight && !b.consolidating && !w.ownsJournal(b) {
			return true
		}
	}
	for m := range w.scheduler.Machines() {
		if m.checkpointDue && !w.scheduler.Returning(m) {
			return true
		}
	}
	return false
}

// writeJournal writes a journal with the attempts that are not recorded yet, as many as
// fit, and the attempts that only this journal contains. It returns false if it has not
// started a write.
func (w *Writer) writeJournal(dirty []*Machine) bool {
	limit := w.limit.Bytes()
	journal := w.journalToWrite(limit)
	if journal == nil || journal.writeInFlight {
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
			size := content.sizeWithAttempt(m, a)
			if size > limit || !w.addJobCondition(write, a) {
				m.Dirty = true
				continue
			}
			content.add(m, a, size)
			write.addAttempt(m, a)
		}
	}
	if len(write.attempts) == 0 {
		return false
	}
	w.putBucket(write, journal, content.RecordBucket)
	return true
}

// journalContent is the content to write to a journal and an upper bound of its size.
type journalContent struct {
	fleet.RecordBucket
	journal *Bucket
	size    int
}

// journalContent returns the attempts that only the journal contains.
func (w *Writer) journalContent(journal *Bucket) journalContent {
	c := journalContent{
		journal:      journal,
		RecordBucket: fleet.RecordBucket{Machines: map[string]fleet.Record{}, Write: w.scheduler.UniqueWriteID()},
	}
	for m, r := range w.journalRecords(journal) {
		c.Machines[m.Name] = r
		c.size += r.MaxBytes(m.Name)
	}
	return c
}

// sizeWithAttempt returns the size after adding an attempt.
func (c *journalContent) sizeWithAttempt(m *Machine, a *fleet.Attempt) int {
	size := c.size + fleet.AttemptBytes(a.Task, a.Attempt)
	if _, begun := c.Machines[m.Name]; !begun {
		size += m.baseBytesInJournal()
	}
	return size
}

// add adds an attempt on the machine. size is the size after adding it.
func (c *journalContent) add(m *Machine, a *fleet.Attempt, size int) {
	c.size = size
	r, begun := c.Machines[m.Name]
	if !begun {
		r, _ = m.recordInJournal(c.journal)
		r.Attempts = map[string]uint64{}
		c.Machines[m.Name] = r
	}
	r.Attempts[a.Task] = a.Attempt
}
