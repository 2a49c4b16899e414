package checkpoint

import (
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/state"
)

// Writer records what may be on a scheduler's machines, in buckets and journals.
//
// It is not safe for concurrent use: the scheduler's lock guards it, since recording
// must be one step with booking. What is booked on a machine goes with its next
// record, and nothing is sent before that is in the store. The writes themselves are
// under way without the lock; each takes it when it has ended.
type Writer struct {
	*Table
	opts          Options
	scheduler     Scheduler
	limit         *ValueLimit
	nextJournals  time.Time // when journals may next be written
	journalsWait  bool      // for that
	consolidating int       // buckets that are written only to gather what several hold
}

// NewWriter returns a Writer without buckets.
func NewWriter(opts Options) *Writer {
	w := &Writer{opts: opts, scheduler: opts.Scheduler, limit: opts.Limit}
	w.Table = &Table{
		buckets: map[string]*Bucket{}, scattered: map[*Machine]bool{},
		bucketKey:   func(n uint64) string { return fleet.BucketKey(opts.Node, opts.Scheduler.MemberSince(), n) },
		journalKey:  func(n int) string { return fleet.JournalKey(opts.Node, opts.Scheduler.MemberSince(), n) },
		bucketLimit: func() int { return opts.Settings.MaxValueBytes * 3 / 4 },
		owns:        opts.Scheduler.Owns,
	}
	return w
}

// Commit records new placements; pending, which it takes over, are the machines that
// are Pending and not being returned. All that have gathered while the journals were
// being written go with their next write. So a burst over all machines is one change
// at a time, however many buckets there are; those are written when the journals fill.
func (w *Writer) Commit(pending []*Machine) {
	due := map[*Bucket]bool{}
	dirty := pending[:0]
	for _, m := range pending {
		if m.due {
			w.assign(m)
		}
		switch {
		case m.due && m.bucket.writable():
			due[m.bucket] = true
		case m.Dirty:
			dirty = append(dirty, m)
		}
	}
	for b := range due {
		w.writeBucket(b, state.Safety)
	}
	w.consolidate()
	dirty = slices.DeleteFunc(dirty, func(m *Machine) bool { return !m.Dirty }) // on a bucket just written
	if len(dirty) == 0 {
		return
	}
	now := time.Now()
	if wait := w.nextJournals.Sub(now); wait > 0 {
		if !w.journalsWait {
			w.journalsWait = true
			time.AfterFunc(wait, w.opts.Wake)
		}
		return
	}
	w.journalsWait = false
	w.nextJournals = now.Add(time.Duration(w.writeJournals(dirty)) * w.journalInterval())
}

// consolidationsAtOnce bounds the buckets that are written only to gather what is
// on several: they are in the way of buckets that journals wait for.
const consolidationsAtOnce = 2

// consolidate writes the buckets of machines that records of former owners
// also name, so that those can be removed. Nobody waits for it: after a takeover
// it would use up the writes that submissions wait for. What is not recorded yet
// is left to the journals.
func (w *Writer) consolidate() {
	for m := range w.scattered {
		if w.consolidating >= consolidationsAtOnce {
			return
		}
		if w.scheduler.Returning(m) {
			continue
		}
		w.assign(m)
		if m.bucket.writable() {
			w.writeBucket(m.bucket, state.Background)
		}
	}
}

// tidyFullInterval is how often buckets are tidied that still hold something: what else
// they name only makes a takeover read more.
const tidyFullInterval = time.Minute

// RewriteStaleBuckets writes the buckets that name machines which are no longer here,
// and removes those that name none that are.
func (w *Writer) RewriteStaleBuckets(now time.Time) {
	for _, b := range w.buckets {
		if b.untidy && b.writable() && !w.ownsJournal(b) && (b.empty() || now.Sub(b.written) > tidyFullInterval) {
			w.writeBucket(b, state.Background)
		}
	}
}
