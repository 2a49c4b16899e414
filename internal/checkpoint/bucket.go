package checkpoint

import (
	"time"

	"heronwick/internal/fleet"
)

// Bucket is one key of the store with the records of some dozens of a scheduler's
// machines, or one of the scheduler's journals. Only this scheduler writes it, and at
// most one write is in flight.
type Bucket struct {
	key           string
	version       uint64
	size          int                 // size of the value in the store, in bytes
	machines      map[string]*Machine // machines whose records belong in the bucket, by name
	writeInFlight bool
	// consolidating reports whether the write in flight only merges existing records and
	// records no new attempts.
	consolidating bool
	lastWriteAt   time.Time // when the last write started, or the bucket was adopted
	// oversized reports whether the bucket exceeds the value limit because of its
	// retained records. It is written only after the buckets that these belong in now.
	oversized bool
	stale     bool // the stored value contains machines that no longer belong in the bucket
	// retained contains the records, by machine name, of machines that now belong in
	// another bucket. Each is kept until the other bucket is written: without it, a
	// write of this bucket would leave no record of the attempts that may be on the
	// machine.
	retained map[string]fleet.Record
	// journaled contains the machines with attempts that may be recorded only here, if
	// the bucket is a journal.
	journaled map[*Machine]bool
}

// IsJournal reports whether the bucket is a journal, of this or another scheduler.
func (b *Bucket) IsJournal() bool { return fleet.IsJournal(b.key) }

// Retain keeps the bucket's record of a machine that belongs in another bucket, until
// that other bucket is written.
func (b *Bucket) Retain(machine string, r fleet.Record) {
	if b.retained == nil {
		b.retained = map[string]fleet.Record{}
	}
	b.retained[machine] = r
}

// Retained returns the record of a machine that Retain keeps. ok is false if there is
// none.
func (b *Bucket) Retained(machine string) (r fleet.Record, ok bool) {
	r, ok = b.retained[machine]
	return r, ok
}

// writable reports whether a write of the bucket may start.
func (b *Bucket) writable() bool { return !b.writeInFlight && !b.oversized }

// empty reports whether the bucket contains no records.
func (b *Bucket) empty() bool { return len(b.machines)+len(b.retained) == 0 }

// addMachine adds a machine that is in no other bucket.
func (b *Bucket) addMachine(m *Machine) {
	b.machines[m.Name] = m
	m.bucket = b
}
