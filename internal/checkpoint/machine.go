package checkpoint

import "heronwick/internal/fleet"

// Machine is a machine of the fleet with the state of its records.
type Machine struct {
	*fleet.Machine
	// Dirty reports whether the machine has attempts that are not in a record yet.
	Dirty bool

	checkpointDue bool      // the machine's bucket must be written
	bucket        *Bucket   // bucket that the machine's record belongs in; nil if it has none
	otherBuckets  []*Bucket // other buckets that still contain a record of the machine
}

// Pending reports whether the machine has changes to write.
func (m *Machine) Pending() bool { return m.Dirty || m.checkpointDue }

// WriteInFlight reports whether a write of the machine's bucket is in flight.
func (m *Machine) WriteInFlight() bool { return m.bucket != nil && m.bucket.writeInFlight }

// inBucket reports whether the machine's bucket exists in the store.
func (m *Machine) inBucket() bool { return m.bucket != nil && m.bucket.version > 0 }

// recordInJournal returns the machine's record for a journal, with the attempts that
// only this journal contains. It returns false if there are none.
func (m *Machine) recordInJournal(journal *Bucket) (fleet.Record, bool) {
	return m.JournalRecord(journal.key, m.inBucket())
}

// baseBytesInJournal returns the maximum number of bytes that the machine's record takes
// in a journal without its attempts.
func (m *Machine) baseBytesInJournal() int {
	size := fleet.BaseRecordBytes(m.Name)
	if !m.inBucket() {
		size += m.LocationBytes()
	}
	return size
}
