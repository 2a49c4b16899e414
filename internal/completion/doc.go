// Package completion records which tasks of a scheduler's jobs are done. It keeps a
// bitmap of the tasks of each job, collects the changes, and writes the bitmaps of
// many jobs to one key of the consensus-backed key-value store, a bucket. The
// completion of hundreds of tasks thus takes a single change.
//
// Job is the bitmap of one job. Table holds the buckets and writes them. Scheduler is
// the interface through which a Table uses its scheduler. The scheduler's lock guards
// all of them; it is released only while a write is in flight. Package job defines the
// stored format and reads it back.
package completion
