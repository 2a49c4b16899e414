// Package job stores the records of jobs in the consensus-backed key-value store. It
// accepts, cancels and finishes jobs, and keeps their dependency graph and the bitmaps
// of their done tasks. A status reported to a user is never older than one reported
// before.
//
// An active job has one key under jobs/active/, which is written once. When the job
// ends, one transaction removes that key and writes the job's outcome under
// jobs/final/. A cached active record is therefore current as long as its key has the
// cached version, and a cached outcome never becomes outdated.
package job
