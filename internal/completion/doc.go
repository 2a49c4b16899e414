// Package completion records which tasks of a scheduler's jobs are done. It
// keeps a bitmap of each job's tasks, gathers what has changed, and writes the
// bitmaps of many jobs to one key of the consensus-backed key-value store, a
// bucket, so that the ends of hundreds of tasks are one change.
//
// Job is the bitmap of one job; Table is the buckets and writes them; Scheduler is
// what a Table needs of whom it belongs to. The scheduler's lock guards all of them;
// only the writes themselves are under way without it. Package job defines what is
// stored and reads it back.
package completion
