package checkpoint

import "heronwick/internal/fleet"

// Machine is a machine of the fleet with what is known of its records.
type Machine struct {
	*fleet.Machine
	// Dirty tells that it has attempts that are on no record yet.
	Dirty bool

	due       bool      // its bucket must be written
	bucket    *Bucket   // where its record is; nil: it has none
	elsewhere []*Bucket // that still hold a record of it
}

// Pending reports whether something of the machine must be written.
func (m *Machine) Pending() bool { return m.Dirty || m.due }

// WriteInFlight reports whether a record of the machine is on its way.
func (m *Machine) WriteInFlight() bool { return m.bucket != nil && m.bucket.committing }

// inBucket reports whether a bucket in the store has the machine's record.
func (m *Machine) inBucket() bool { return m.bucket != nil && m.bucket.version > 0 }

// journalExtract returns what a journal is to hold of the machine, and whether there
// is an attempt that the journal alone holds.
func (m *Machine) journalExtract(journal *Bucket) (fleet.Record, bool) {
	return m.JournalRecord(journal.key, m.inBucket())
}

// extractSize is what the machine's record takes of a journal besides its
// attempts.
func (m *Machine) extractSize() int {
	size := fleet.BaseRecordBytes(m.Name)
	if !m.inBucket() {
		size += m.LocationBytes()
	}
	return size
}
