package completion

import (
	"iter"

	"heronwick/internal/fleet"
	"heronwick/internal/job"
)

// Job is which tasks of a job are done, and what of that is not in the store
// yet. Like Table, it is guarded by the scheduler's lock.
type Job struct {
	// DoneSet is the tasks that are done. What is added to it directly, as read
	// from the store, is not written again.
	job.DoneSet

	record    *job.Record
	dirty     map[int]bool             // blocks to write
	unwritten map[int][]*fleet.Attempt // by block: done, not yet in the store
	buckets   map[int]*bucket          // by block, where it is written
}

// NewJob returns the state of a job none of whose tasks is known to be done.
func NewJob(record *job.Record) *Job {
	return &Job{record: record, dirty: map[int]bool{}, unwritten: map[int][]*fleet.Attempt{}, buckets: map[int]*bucket{}}
}

// Complete marks the task of an attempt done. The next Table.Flush writes it,
// after which the attempt is Handled.
func (j *Job) Complete(a *fleet.Attempt) {
	block := j.Add(a.Index)
	j.dirty[block] = true
	j.unwritten[block] = append(j.unwritten[block], a)
}

// Unwritten returns the attempts whose end no write under way or done contains.
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
