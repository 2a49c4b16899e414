package completion

import (
	"iter"

	"heronwick/internal/fleet"
	"heronwick/internal/job"
)

// Job records which tasks of a job are done, and which of them are not yet recorded in
// the store. Like Table, it is guarded by the scheduler's lock.
type Job struct {
	// DoneSet contains the done tasks. Tasks that were read from the store are added
	// to it directly, so that they are not written again; others by Complete.
	job.DoneSet

	record    *job.Record
	dirty     map[int]bool             // blocks to write
	unwritten map[int][]*fleet.Attempt // done attempts by block that no write contains
	buckets   map[int]*bucket          // by block: the bucket it is written to
}

// NewJob returns a Job without done tasks.
func NewJob(record *job.Record) *Job {
	return &Job{record: record, dirty: map[int]bool{}, unwritten: map[int][]*fleet.Attempt{}, buckets: map[int]*bucket{}}
}

// Complete marks the task of an attempt as done. The next Table.Flush writes that, and
// the attempt is marked as ExitProcessed once the write has succeeded.
func (j *Job) Complete(a *fleet.Attempt) {
	block := j.Add(a.Index)
	j.dirty[block] = true
	j.unwritten[block] = append(j.unwritten[block], a)
}

// Unwritten returns the done attempts that are contained neither in a completed write
// nor in one in flight.
func (j *Job) Unwritten() iter.Seq[*fleet.Attempt] {
	return func(yield func(*fleet.Attempt) bool) {
		for _, attempts := range j.unwritten {
			for _, a := range attempts {
				if !yield(a) {
					return
				}
			}
		}
	}
}
