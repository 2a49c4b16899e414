// Package completion records which tasks of a scheduler's jobs are done. It
// keeps a bitmap of each job's tasks, gathers what has changed, and writes the
// bitmaps of many jobs to one key of the consensus-backed key-value store, a
// bucket, so that the ends of hundreds of tasks are one change.
package completion
