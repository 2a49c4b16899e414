package queue

import (
	"cmp"
	"slices"
	"time"
)

// starvationFactor bounds how long a late job waits behind jobs of the same priority
// that can still finish in time: this many times its longest objective, or its time
// to the deadline if that is longer.
const starvationFactor = 10

// MaxStartDelay is the time within which the tasks of any job must have started,
// however large the job is and however many others are queued: serving the least
// remaining work first would serve the largest jobs last. After half of this time,
// a job with no task on a machine yet is served before all others of its priority,
// the oldest first. After three quarters, jobs with less than half of their tasks
// served come next: under a lasting overload, half of their tasks would otherwise
// never be served.
const MaxStartDelay = 4 * time.Minute

// urgency orders the jobs of one priority, the most urgent first. Late jobs come
// last: under overload, serving them first would make every other job late too.
type urgency int

const (
	notStarted      urgency = iota // no task served for half of MaxStartDelay
	underHalfServed                // less than half of its tasks served for three quarters of MaxStartDelay
	starved                        // late, and waiting for longer than starvationFactor allows
	onTime                         // can still finish within its deadline or an objective
	late
)

// urgency returns the urgency of the job among the jobs of its priority.
func (j *Job) urgency(now time.Time) urgency {
	waited := now.Sub(j.EligibleAt)
	switch served := j.Served(); {
	case served == 0 && waited > MaxStartDelay/2:
		return notStarted
	case 2*served < j.Record.Job.Tasks && waited > MaxStartDelay*3/4:
		return underHalfServed
	}
	estimate := time.Duration(j.Record.Job.EstimateS * float64(time.Second))
	earliestEnd := now.Add(estimate / 2) // half the estimate, as estimates are often off by half
	if earliestEnd.Before(j.Deadline) {
		return onTime
	}
	longestObjective := j.timeToDeadline()
	for _, within := range j.Objectives {
		longestObjective = max(longestObjective, within)
		if earliestEnd.Before(j.EligibleAt.Add(within)) {
			return onTime
		}
	}
	if waited > starvationFactor*longestObjective {
		return starved
	}
	return late
}

// timeToDeadline returns the time between the job's acceptance and its deadline,
// or zero if it has no deadline.
func (j *Job) timeToDeadline() time.Duration {
	if j.Deadline.IsZero() {
		return 0
	}
	return max(0, j.Deadline.Sub(j.AcceptedAt))
}

// remaining returns the work that is still to be placed, in seconds of a whole
// machine. The job with the least is served first, which lets the most jobs finish
// in time.
func (j *Job) remaining() float64 {
	tasks := j.Pending()
	if j.Hosted {
		tasks = j.OwnerUnplaced
	}
	return float64(tasks) * j.DominantShare * max(j.Record.Job.EstimateS, 1)
}

// Entry is a job with its sort keys; lower values are served first.
type Entry struct {
	Job           *Job
	priority      int
	overGuarantee int // 0 if one more task stays within the team's guarantee, else 1
	urgency       urgency
	remaining     float64 // remaining work, or minus the age in seconds, see Sort
}

// TiesExceptRemaining reports whether the two entries are equal in all sort keys
// except the remaining work and the job ID.
func (e Entry) TiesExceptRemaining(other Entry) bool {
	return e.priority == other.priority && e.overGuarantee == other.overGuarantee && e.urgency == other.urgency
}

// compare orders entries by effective priority, then jobs of teams within their
// guarantee first, then by urgency, then by the least remaining work, or by age where
// Sort replaces the remaining work with it, and last by job ID.
func compare(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.overGuarantee, b.overGuarantee), cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(a.remaining, b.remaining), cmp.Compare(a.Job.Record.Job.ID, b.Job.Record.Job.ID))
}

// Sort sorts jobs in place into the order in which they are served, and returns
// their entries in the same order. Jobs that are starved or more urgent are ordered by
// age, oldest first, instead of by remaining work.
func Sort(jobs []*Job, teams *Teams, now time.Time) []Entry {
	entries := make([]Entry, len(jobs))
	for i, j := range jobs {
		entries[i] = Entry{Job: j, priority: j.EffectivePriority, urgency: j.urgency(now), remaining: j.remaining()}
		if !teams.Guaranteed(j) {
			entries[i].overGuarantee = 1
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
