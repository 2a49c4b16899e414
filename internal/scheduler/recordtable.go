package scheduler

import (
	"slices"
	"time"

	"heronwick/internal/fleet"
)

// bucket is one key of the store with the records of some dozens of the share's
// machines. Only this share writes it, and only one write of it is under way
// at a time.
type bucket struct {
	key        string
	version    uint64
	size       int             // bytes of what it holds
	machines   map[string]bool // whose records belong on it
	committing bool
	gathers    bool      // that write only gathers what is recorded already
	written    time.Time // when a write of it last began, or it was taken over
	// oversized: with what it still holds of machines that now belong on other
	// buckets it does not fit a value. It is written once those have been.
	oversized bool
	untidy    bool // what the store holds names machines that are no longer here
	// leftover holds, by machine, what the bucket says of machines that now
	// belong on another one, until that one has been written: a bucket written
	// without it before would leave no record of what may be on the machine.
	leftover map[string]fleet.Record
	// journaled are, of a journal, the machines with attempts that it alone may hold.
	journaled map[*machine]bool
}

// writable tells whether the bucket can be written now.
func (p *bucket) writable() bool { return !p.committing && !p.oversized }

// empty tells whether the bucket holds nothing any more.
func (p *bucket) empty() bool { return len(p.machines)+len(p.leftover) == 0 }

// recordTable is the share's buckets and journals: which there are, which machines'
// records belong on each, and where there is room. It writes nothing.
type recordTable struct {
	buckets   map[string]*bucket // the keys that hold the machines' records, journals among them
	scattered map[*machine]bool  // of which several buckets hold a record
	journals  []*bucket          // of this share: hold what the buckets do not hold yet
	journal   *bucket            // the one that is written at present
	named     uint64             // buckets named so far
	// bucketKey and journalKey name new ones of this share.
	bucketKey  func(n uint64) string
	journalKey func(n int) string
	// bucketLimit is how many bytes a bucket may come to that takes another machine.
	bucketLimit func() int
	// owns tells whether a machine is still the share's.
	owns func(m *machine) bool
}

// withRoom returns the bucket for a machine that has none: the fullest with room for
// another record, so that few buckets change.
func (t *recordTable) withRoom() *bucket {
	var best *bucket
	for _, p := range t.buckets {
		if fleet.IsJournal(p.key) || p.oversized {
			continue
		}
		// What is booked since the last write is not in its size yet.
		each := max(p.size/max(len(p.machines), 1), 512)
		if each*(len(p.machines)+1) <= t.bucketLimit() && (best == nil || len(p.machines) > len(best.machines) ||
			len(p.machines) == len(best.machines) && p.key < best.key) {
			best = p
		}
	}
	if best != nil {
		return best
	}
	return t.add()
}

func (t *recordTable) add() *bucket {
	t.named++
	p := &bucket{key: t.bucketKey(t.named), machines: map[string]bool{}}
	t.buckets[p.key] = p
	return p
}

// assign gives a machine a bucket if it has none.
func (t *recordTable) assign(m *machine) {
	if m.bucket == nil {
		m.bucket = t.withRoom()
		m.bucket.machines[m.Name] = true
	}
}

// leave takes a machine that is no longer the share's off its bucket. Until the bucket
// is written again its record there is outdated, which is safe: whoever reads it
// asks the machine's owner or its worker.
func (t *recordTable) leave(m *machine) {
	if m.bucket != nil {
		delete(m.bucket.machines, m.Name)
		m.bucket.untidy = m.bucket.untidy || m.bucket.version > 0
		m.bucket = nil
	}
	t.gathered(m)
}

// gathered ends the keeping of the machine's records on other buckets: its own bucket
// holds what may be on it, or nothing is.
func (t *recordTable) gathered(m *machine) {
	for _, p := range m.elsewhere {
		delete(p.leftover, m.Name)
		p.untidy, p.oversized = true, false
	}
	m.elsewhere = nil
	delete(t.scattered, m)
}

// scatter notes that buckets besides the machine's own still hold a record of it.
func (t *recordTable) scatter(m *machine, on ...*bucket) {
	if len(on) == 0 {
		return
	}
	m.elsewhere = append(m.elsewhere, on...)
	t.scattered[m] = true
}

// writesJournal tells whether the bucket is one of this share's journals.
func (t *recordTable) writesJournal(p *bucket) bool { return slices.Contains(t.journals, p) }

// nextJournal returns the journal to write, nil if there is none now. Most tasks are
// over before their journal is written again, and so never come onto a bucket. It
// stays the same until what still runs fills three quarters of it, and goes on with
// the emptiest. When all of so many are half full, it also returns the fullest: the
// buckets of its machines are due.
func (t *recordTable) nextJournal(limit, most int) (journal, full *bucket) {
	if t.journal != nil && !t.journal.committing && t.held(t.journal) < limit*3/4 {
		return t.journal, nil
	}
	var least *bucket
	held := map[*bucket]int{}
	for _, j := range t.journals {
		held[j] = t.held(j)
		if !j.committing && (least == nil || held[j] < held[least]) {
			least = j
		}
		if full == nil || held[j] > held[full] {
			full = j
		}
	}
	switch {
	case least != nil && held[least] <= limit/2:
		full = nil
	case len(t.journals) < most:
		least, full = t.addJournal(), nil
	}
	t.journal = least
	return least, full
}

func (t *recordTable) addJournal() *bucket {
	journal := &bucket{key: t.journalKey(len(t.journals)), journaled: map[*machine]bool{}}
	t.journals = append(t.journals, journal)
	t.buckets[journal.key] = journal
	return journal
}

// held is about how many bytes a journal must hold.
func (t *recordTable) held(journal *bucket) (held int) {
	for m := range journal.journaled {
		if !t.owns(m) {
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

// extracts returns what the journal alone holds of the share's machines, and forgets
// those of which it holds nothing any more.
func (t *recordTable) extracts(journal *bucket) map[*machine]fleet.Record {
	extracts := make(map[*machine]fleet.Record, len(journal.journaled))
	for m := range journal.journaled {
		r, ok := m.JournalRecord(journal.key, m.bucketWritten())
		if !ok || !t.owns(m) {
			delete(journal.journaled, m)
			continue
		}
		extracts[m] = r
	}
	return extracts
}
