package checkpoint

import (
	"slices"
	"time"
)

// Table keeps track of a scheduler's buckets and journals: which machines' records
// belong in each, and which have space left. It does not write them. It has no lock of
// its own: the scheduler's lock guards it.
type Table struct {
	buckets          map[string]*Bucket // buckets and journals, by key
	inSeveralBuckets map[*Machine]bool  // machines with records in other buckets than their own
	journals         []*Bucket          // journals of this scheduler
	currentJournal   *Bucket            // the journal in use
	lastBucket       uint64             // number of the last bucket that was added
	// bucketKey and journalKey return the keys for new buckets and journals.
	bucketKey  func(n uint64) string
	journalKey func(n int) string
	// bucketLimit returns the size limit, in bytes, up to which machines are added to a
	// bucket.
	bucketLimit func() int
	// owns reports whether the scheduler still owns a machine.
	owns func(m *Machine) bool
}

// Bucket returns the bucket or journal with the key, or nil if the table does not
// contain it.
func (t *Table) Bucket(key string) *Bucket { return t.buckets[key] }

// AdoptBucket takes over a bucket or journal that another scheduler has left in the
// store. version and size, in bytes, are those of the stored value. The bucket has no
// machines until AdoptMachine adds them.
func (t *Table) AdoptBucket(key string, version uint64, size int) *Bucket {
	b := &Bucket{key: key, version: version, size: size, machines: map[string]*Machine{}, stale: true, lastWriteAt: time.Now()}
	t.buckets[key] = b
	return b
}

// AdoptMachine adds a machine with records in adopted buckets. The first of them becomes
// the machine's bucket unless it is a journal.
func (t *Table) AdoptMachine(m *Machine, adopted []*Bucket) {
	if len(adopted) > 0 && !adopted[0].IsJournal() {
		adopted[0].addMachine(m)
		adopted = adopted[1:]
	}
	t.addOtherBuckets(m, adopted...)
}

// RemoveMachine removes a machine that the scheduler no longer owns. The stored bucket
// contains its outdated record until the bucket is written again. This is safe because
// a controller that reads the record also asks the machine's owner or its worker.
func (t *Table) RemoveMachine(m *Machine) {
	if m.bucket != nil {
		delete(m.bucket.machines, m.Name)
		m.bucket.stale = m.bucket.stale || m.bucket.version > 0
		m.bucket = nil
	}
	t.releaseOtherRecords(m)
}

// bucketWithSpace returns the bucket for a machine that has none. It is the bucket with
// the most machines that has space for another record, so that fewer buckets change. If
// there is none, it adds a bucket.
func (t *Table) bucketWithSpace() *Bucket {
	var best *Bucket
	for _, b := range t.buckets {
		if b.IsJournal() || b.oversized {
			continue
		}
		// The size does not include attempts that were added since the last write.
		bytesPerMachine := max(b.size/max(len(b.machines), 1), 512)
		if bytesPerMachine*(len(b.machines)+1) <= t.bucketLimit() && (best == nil || len(b.machines) > len(best.machines) ||
			len(b.machines) == len(best.machines) && b.key < best.key) {
			best = b
		}
	}
	if best != nil {
		return best
	}
	return t.addBucket()
}

// addBucket adds an empty bucket.
func (t *Table) addBucket() *Bucket {
	t.lastBucket++
	b := &Bucket{key: t.bucketKey(t.lastBucket), machines: map[string]*Machine{}}
	t.buckets[b.key] = b
	return b
}

// assign adds a machine to a bucket if it has none.
func (t *Table) assign(m *Machine) {
	if m.bucket == nil {
		t.bucketWithSpace().addMachine(m)
	}
}

// releaseOtherRecords drops the records of a machine that other buckets retain, because
// the machine's own bucket contains all attempts that may be on it, or there are none.
func (t *Table) releaseOtherRecords(m *Machine) {
	for _, b := range m.otherBuckets {
		delete(b.retained, m.Name)
		b.stale, b.oversized = true, false
	}
	m.otherBuckets = nil
	delete(t.inSeveralBuckets, m)
}

// addOtherBuckets adds buckets, other than the machine's own, that still contain a
// record of the machine.
func (t *Table) addOtherBuckets(m *Machine, others ...*Bucket) {
	if len(others) == 0 {
		return
	}
	m.otherBuckets = append(m.otherBuckets, others...)
	t.inSeveralBuckets[m] = true
}

// ownsJournal reports whether the bucket is one of this scheduler's journals.
func (t *Table) ownsJournal(b *Bucket) bool { return slices.Contains(t.journals, b) }
