// Package checkpoint records what may be on a scheduler's machines in the
// consensus-backed key-value store, before any worker can be commanded to start it.
//
// The records are in two kinds of keys. A bucket holds the whole records of some
// dozens of machines: it is the checkpoint. A journal is the write-ahead log: it
// holds, of any machine, the attempts that its bucket does not hold yet. New
// placements go to a journal, all that have gathered in one write; most tasks are
// over before their journal is written again and never come into a bucket. When the
// journals are full, the buckets of the machines in the fullest one are written.
//
// Table says which buckets and journals there are and what belongs on each; Writer
// writes them; ValueLimit is how large they may be. A Machine is a machine of the
// fleet with what is known of its records, and Scheduler is who owns them. All of them
// share the scheduler's lock.
package checkpoint
