package scheduler

import (
	"slices"
	"time"

	"heronwick/internal/fleet"
)

// page is one key of the store with the records of some dozens of the share's
// machines. Only this share writes it, and only one write of it is under way
// at a time.
type page struct {
	key        string
	version    uint64
	size       int             // bytes of what it holds
	machines   map[string]bool // whose records belong on it
	committing bool
	gathers    bool      // that write only gathers what is recorded already
	written    time.Time // when a write of it last began, or it was taken over
	// oversized: with what it still holds of machines that now belong on other
	// pages it does not fit a value. It is written once those have been.
	oversized bool
	untidy    bool // what the store holds names machines that are no longer here
	// leftover holds, by machine, what the page says of machines that now
	// belong on another one, until that one has been written: a page written
	// without it before would leave no record of what may be on the machine.
	leftover map[string]fleet.Record
	// journaled are, of a journal, the machines with attempts that it alone may hold.
	journaled map[*machine]bool
}

// writable tells whether the page can be written now.
func (p *page) writable() bool { return !p.committing && !p.oversized }

// empty tells whether the page holds nothing any more.
func (p *page) empty() bool { return len(p.machines)+len(p.leftover) == 0 }

// recordTable is the share's pages and journals: which there are, which machines'
// records belong on each, and where there is room. It writes nothing.
type recordTable struct {
	pages     map[string]*page  // the keys that hold the machines' records, journals among them
	scattered map[*machine]bool // of which several pages hold a record
	journals  []*page           // of this share: hold what the pages do not hold yet
	journal   *page             // the one that is written at present
	named     uint64            // pages named so far
	// pageKey and journalKey name new ones of this share.
	pageKey    func(n uint64) string
	journalKey func(n int) string
	// pageLimit is how many bytes a page may come to that takes another machine.
	pageLimit func() int
	// owns tells whether a machine is still the share's.
	owns func(m *machine) bool
}

// withRoom returns the page for a machine that has none: the fullest with room for
// another record, so that few pages change.
func (t *recordTable) withRoom() *page {
	var best *page
	for _, p := range t.pages {
		if fleet.IsJournal(p.key) || p.oversized {
			continue
		}
		// What is booked since the last write is not in its size yet.
		each := max(p.size/max(len(p.machines), 1), 512)
		if each*(len(p.machines)+1) <= t.pageLimit() && (best == nil || len(p.machines) > len(best.machines) ||
			len(p.machines) == len(best.machines) && p.key < best.key) {
			best = p
		}
	}
	if best != nil {
		return best
	}
	return t.add()
}

func (t *recordTable) add() *page {
	t.named++
	p := &page{key: t.pageKey(t.named), machines: map[string]bool{}}
	t.pages[p.key] = p
	return p
}

// assign gives a machine a page if it has none.
func (t *recordTable) assign(m *machine) {
	if m.page == nil {
		m.page = t.withRoom()
		m.page.machines[m.Name] = true
	}
}

// leave takes a machine that is no longer the share's off its page. Until the page
// is written again its record there is outdated, which is safe: whoever reads it
// asks the machine's owner or its worker.
func (t *recordTable) leave(m *machine) {
	if m.page != nil {
		delete(m.page.machines, m.Name)
		m.page.untidy = m.page.untidy || m.page.version > 0
		m.page = nil
	}
	t.gathered(m)
}

// gathered ends the keeping of the machine's records on other pages: its own page
// holds what may be on it, or nothing is.
func (t *recordTable) gathered(m *machine) {
	for _, p := range m.elsewhere {
		delete(p.leftover, m.Name)
		p.untidy, p.oversized = true, false
	}
	m.elsewhere = nil
	delete(t.scattered, m)
}

// scatter notes that pages besides the machine's own still hold a record of it.
func (t *recordTable) scatter(m *machine, on ...*page) {
	if len(on) == 0 {
		return
	}
	m.elsewhere = append(m.elsewhere, on...)
	t.scattered[m] = true
}

// writesJournal tells whether the page is one of this share's journals.
func (t *recordTable) writesJournal(p *page) bool { return slices.Contains(t.journals, p) }

// nextJournal returns the journal to write, nil if there is none now. Most tasks are
// over before their journal is written again, and so never come onto a page. It
// stays the same until what still runs fills three quarters of it, and goes on with
// the emptiest. When all of so many are half full, it also returns the fullest: the
// pages of its machines are due.
func (t *recordTable) nextJournal(limit, most int) (journal, full *page) {
	if t.journal != nil && !t.journal.committing && t.held(t.journal) < limit*3/4 {
		return t.journal, nil
	}
	var least *page
	held := map[*page]int{}
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

func (t *recordTable) addJournal() *page {
	journal := &page{key: t.journalKey(len(t.journals)), journaled: map[*machine]bool{}}
	t.journals = append(t.journals, journal)
	t.pages[journal.key] = journal
	return journal
}

// held is about how many bytes a journal must hold.
func (t *recordTable) held(journal *page) (held int) {
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
func (t *recordTable) extracts(journal *page) map[*machine]fleet.Record {
	extracts := make(map[*machine]fleet.Record, len(journal.journaled))
	for m := range journal.journaled {
		r, ok := m.JournalRecord(journal.key, m.paged())
		if !ok || !t.owns(m) {
			delete(journal.journaled, m)
			continue
		}
		extracts[m] = r
	}
	return extracts
}
