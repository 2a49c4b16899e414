// Package checkpoint records the attempts that may be on a scheduler's machines in the
// consensus-backed key-value store, before any worker is sent a command to start them.
//
// The records are stored under two kinds of keys. A bucket is a checkpoint: it contains
// the complete records of some dozens of machines. A journal is a write-ahead log: it
// contains the attempts on any machine that are not yet in the machine's bucket. All
// pending placements are written to a journal in one write. Most tasks have ended before
// their journal is written again, so their attempts are never written to a bucket. When
// the journals are full, the buckets of the machines in the fullest journal are written.
//
// Table keeps track of the buckets and journals and their content. Writer writes them.
// ValueLimit is their maximum size. Machine is a machine of the fleet with the state of
// its records, and Scheduler is the interface to the scheduler that owns the machines.
// The scheduler's lock guards all of them.
package checkpoint
