package checkpoint

import (
	"slices"
	"time"
)

// Table is a scheduler's buckets and journals: which there are, which machines'
// records belong on each, and where there is room. It writes nothing. It has no
// lock: the lock of the scheduler guards it.
type Table struct {
	buckets   map[string]*Bucket // the keys that hold the machines' records, journals among them
	scattered map[*Machine]bool  // of which several buckets hold a record
	journals  []*Bucket          // of this scheduler: hold what the buckets do not hold yet
	journal   *Bucket            // the one that is written at present
	named     uint64             // buckets named so far
	// bucketKey and journalKey name new ones of this scheduler.
	bucketKey  func(n uint64) string
	journalKey func(n int) string
	// bucketLimit is how many bytes a bucket may come to that takes another machine.
	bucketLimit func() int
	// owns reports whether a machine is still the scheduler's.
	owns func(m *Machine) bool
}

// Bucket returns the bucket or journal with the key, nil if it is not the table's.
func (t *Table) Bucket(key string) *Bucket { return t.buckets[key] }

// AdoptBucket takes over a bucket or a journal that another scheduler has left in
// the store, in the version and of the size in bytes that it has there. None of its
// machines is the table's until AdoptMachine.
func (t *Table) AdoptBucket(key string, version uint64, size int) *Bucket {
	b := &Bucket{key: key, version: version, size: size, machines: map[string]*Machine{}, untidy: true, written: time.Now()}
	t.buckets[key] = b
	return b
}

// AdoptMachine enters a machine of which buckets that were taken over hold records.
// The first is its own from now on, unless that is a journal.
func (t *Table) AdoptMachine(m *Machine, on []*Bucket) {
	if len(on) > 0 && !on[0].IsJournal() {
		on[0].put(m)
		on = on[1:]
	}
	t.scatter(m, on...)
}

// RemoveMachine takes a machine that is no longer the scheduler's off its bucket. Until the
// bucket is written again its record there is outdated, which is safe: whoever reads
// it asks the machine's owner or its worker.
func (t *Table) RemoveMachine(m *Machine) {
	if m.bucket != nil {
		delete(m.bucket.machines, m.Name)
		m.bucket.untidy = m.bucket.untidy || m.bucket.version > 0
		m.bucket = nil
	}
	t.consolidated(m)
}

// withRoom returns the bucket for a machine that has none: the fullest with room for
// another record, so that few buckets change.
func (t *Table) withRoom() *Bucket {
	var best *Bucket
	for _, b := range t.buckets {
		if b.IsJournal() || b.oversized {
			continue
		}
		// What is booked since the last write is not in its size yet.
		each := max(b.size/max(len(b.machines), 1), 512)
		if each*(len(b.machines)+1) <= t.bucketLimit() && (best == nil || len(b.machines) > len(best.machines) ||
			len(b.machines) == len(best.machines) && b.key < best.key) {
			best = b
		}
	}
	if best != nil {
		return best
	}
	return t.add()
}

// add adds an empty bucket.
func (t *Table) add() *Bucket {
	t.named++
	b := &Bucket{key: t.bucketKey(t.named), machines: map[string]*Machine{}}
	t.buckets[b.key] = b
	return b
}

// assign gives a machine a bucket if it has none.
func (t *Table) assign(m *Machine) {
	if m.bucket == nil {
		t.withRoom().put(m)
	}
}

// consolidated ends the keeping of the machine's records on other buckets: its own
// bucket holds what may be on it, or nothing is.
func (t *Table) consolidated(m *Machine) {
	for _, b := range m.elsewhere {
		delete(b.leftover, m.Name)
		b.untidy, b.oversized = true, false
	}
	m.elsewhere = nil
	delete(t.scattered, m)
}

// scatter notes that buckets besides the machine's own still hold a record of it.
func (t *Table) scatter(m *Machine, on ...*Bucket) {
	if len(on) == 0 {
		return
	}
	m.elsewhere = append(m.elsewhere, on...)
	t.scattered[m] = true
}

// ownsJournal reports whether the bucket is one of this scheduler's journals.
func (t *Table) ownsJournal(b *Bucket) bool { return slices.Contains(t.journals, b) }
