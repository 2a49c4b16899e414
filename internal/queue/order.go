package queue

import (
	"cmp"
	"slices"
	"time"
)

// starvedAfter is how many times its objective a job may wait behind others
// of its priority that can still be in time.
const starvedAfter = 10

// MaxStartDelay is when the tasks of any job must have begun to run, however
// large it is and however much else waits: the least remaining work first would
// serve the largest last. From half of it on, a job none of whose tasks is on a
// machine yet comes before all others of its priority, the oldest first; from
// three quarters of it on come those of which less than half has been served,
// which in an overload that stays would never be.
const MaxStartDelay = 4 * time.Minute

// urgency orders the jobs of one priority, the most urgent first. When there is
// more work than the machines can do, whoever serves late jobs first makes every
// job late.
type urgency int

const (
	notStarted urgency = iota // for long
	halfServed                // at most, for longer
	starved                   // for very long
	onTime                    // it can still be done in time
	late
)

// urgency returns how urgent the job is among those of its priority.
func (j *Job) urgency(now time.Time) urgency {
	waited := now.Sub(j.EligibleAt)
	switch served := j.Served(); {
	case served == 0 && waited > MaxStartDelay/2:
		return notStarted
	case 2*served < j.Record.Job.Tasks && waited > MaxStartDelay*3/4:
		return halfServed
	}
	estimate := time.Duration(j.Record.Job.EstimateS * float64(time.Second))
	soonest := now.Add(estimate / 2) // estimates are often wrong by half
	if soonest.Before(j.Deadline) {
		return onTime
	}
	longest := j.timeToDeadline()
	for _, within := range j.Objectives {
		longest = max(longest, within)
		if soonest.Before(j.EligibleAt.Add(within)) {
			return onTime
		}
	}
	if waited > starvedAfter*longest {
		return starved
	}
	return late
}

// timeToDeadline is how long the job had from its acceptance to be done, zero
// if it has no deadline.
func (j *Job) timeToDeadline() time.Duration {
	if j.Deadline.IsZero() {
		return 0
	}
	return max(0, j.Deadline.Sub(j.AcceptedAt))
}

// remaining is the work left to place, in seconds of a whole machine. The job
// with the least goes first: that makes the most jobs end in time.
func (j *Job) remaining() float64 {
	tasks := j.Pending()
	if j.Hosted {
		tasks = j.OwnerUnplaced
	}
	return float64(tasks) * j.DominantShare * max(j.Record.Job.EstimateS, 1)
}

// Entry is a job with what decides when it is served; the lower goes first.
type Entry struct {
	Job       *Job
	priority  int
	excess    int // 0 if one more task is within the team's guarantee, else 1
	urgency   urgency
	remaining float64
}

// TiesExceptRemaining reports whether two jobs differ only in the work that is left.
func (e Entry) TiesExceptRemaining(other Entry) bool {
	return e.priority == other.priority && e.excess == other.excess && e.urgency == other.urgency
}

// compare orders entries: by effective priority, then teams within their
// guarantee, then by urgency, then the least work or the oldest first.
func compare(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.excess, b.excess), cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(a.remaining, b.remaining), cmp.Compare(a.Job.Record.Job.ID, b.Job.Record.Job.ID))
}

// Sort puts jobs in the order in which they are served, and returns their
// entries in that order.
func Sort(jobs []*Job, teams *Teams, now time.Time) []Entry {
	entries := make([]Entry, len(jobs))
	for i, j := range jobs {
		entries[i] = Entry{Job: j, priority: j.EffectivePriority, urgency: j.urgency(now), remaining: j.remaining()}
		if !teams.Guaranteed(j) {
			entries[i].excess = 1
		}
		if entries[i].urgency <= starved {
			entries[i].remaining = -now.Sub(j.EligibleAt).Seconds()
		}
	}
	slices.SortFunc(entries, compare)
	for i := range entries {
		jobs[i] = entries[i].Job
	}
	return entries
}
