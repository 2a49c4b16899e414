package checkpoint

import (
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/state"
)

// Writer records the attempts that may be on a scheduler's machines, in buckets and
// journals.
//
// It is not safe for concurrent use: the scheduler's lock guards it, because placing and
// recording an attempt must be one step. An attempt that is added to a machine is part of
// the machine's next record, and its start is not sent before that is in the store. The
// lock is not held while a write is in flight, and is acquired when the write completes.
type Writer struct {
	*Table
	opts                Options
	scheduler           Scheduler
	limit               *ValueLimit
	journalsNotBefore   time.Time // journals must not be written before this time
	journalTimerPending bool      // a timer calls Wake at journalsNotBefore
	consolidating       int       // number of bucket writes in flight that only merge existing records
}

// NewWriter returns a Writer without buckets.
func NewWriter(opts Options) *Writer {
	w := &Writer{opts: opts, scheduler: opts.Scheduler, limit: opts.Limit}
	w.Table = &Table{
		buckets: map[string]*Bucket{}, inSeveralBuckets: map[*Machine]bool{},
		bucketKey:   func(n uint64) string { return fleet.BucketKey(opts.Node, opts.Scheduler.MemberSince(), n) },
		journalKey:  func(n int) string { return fleet.JournalKey(opts.Node, opts.Scheduler.MemberSince(), n) },
		bucketLimit: func() int { return opts.Settings.MaxValueBytes * 3 / 4 },
		owns:        opts.Scheduler.Owns,
	}
	return w
}

// Commit starts to record new placements. pending are the machines that are Pending and
// not being returned; Commit modifies this slice. All placements that are made while the
// journals are being written are part of the next journal write. A burst of placements on
// all machines thus takes one change at a time, however many buckets there are. The
// buckets are written when the journals are full.
func (w *Writer) Commit(pending []*Machine) {
	checkpointDue := map[*Bucket]bool{}
	dirty := pending[:0]
	for _, m := range pending {
		if m.checkpointDue {
			w.assign(m)
		}
		switch {
		case m.checkpointDue && m.bucket.writable():
			checkpointDue[m.bucket] = true
		case m.Dirty:
			dirty = append(dirty, m)
		}
	}
	for b := range checkpointDue {
		w.writeBucket(b, state.Safety)
	}
	w.consolidate()
	dirty = slices.DeleteFunc(dirty, func(m *Machine) bool { return !m.Dirty }) // recorded by a bucket write above
	if len(dirty) == 0 {
		return
	}
	now := time.Now()
	if wait := w.journalsNotBefore.Sub(now); wait > 0 {
		if !w.journalTimerPending {
			w.journalTimerPending = true
			time.AfterFunc(wait, w.opts.Wake)
		}
		return
	}
	w.journalTimerPending = false
	w.journalsNotBefore = now.Add(time.Duration(w.writeJournals(dirty)) * w.journalInterval())
}

// maxConcurrentConsolidations is the maximum number of bucket writes in flight that only
// merge existing records. They delay the bucket writes that full journals wait for.
const maxConcurrentConsolidations = 2

// consolidate writes the buckets of machines that also have records in buckets of former
// owners, so that those records can be removed. Nothing waits for these writes, so they
// have background priority: otherwise they would use up the writes that job submissions
// wait for after a takeover. Attempts that are not recorded yet are left to the journals.
func (w *Writer) consolidate() {
	for m := range w.inSeveralBuckets {
		if w.consolidating >= maxConcurrentConsolidations {
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

// staleRewriteInterval is the minimum interval between writes of a stale bucket that is
// not empty. Its outdated records only make a takeover read more.
const staleRewriteInterval = time.Minute

// RewriteStaleBuckets writes the buckets whose stored value contains machines that no
// longer belong in them. It deletes those that are empty.
func (w *Writer) RewriteStaleBuckets(now time.Time) {
	for _, b := range w.buckets {
		if b.stale && b.writable() && !w.ownsJournal(b) && (b.empty() || now.Sub(b.lastWriteAt) > staleRewriteInterval) {
			w.writeBucket(b, state.Background)
		}
	}
}
