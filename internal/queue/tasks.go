package queue

import "time"

// Pending counts the job's tasks that are neither done nor possibly on a
// machine.
func (j *Job) Pending() int {
	return j.Record.Job.Tasks - j.Done.Count - len(j.live)
}

// Unplaced counts the pending tasks and those that another scheduler is requested
// to take.
func (j *Job) Unplaced() int { return j.Pending() + j.RequestedTasks }

// Served counts the job's tasks that are done or may be on a machine.
func (j *Job) Served() int {
	if j.Hosted {
		return j.Record.Job.Tasks - j.OwnerUnplaced
	}
	return j.Record.Job.Tasks - j.Pending()
}

// NextTask returns the next task to place and leaves it queued.
func (j *Job) NextTask() (index int, ok bool) {
	for len(j.retry) > 0 {
		last := j.retry[len(j.retry)-1]
		if j.waits(last) {
			return last, true
		}
		j.retry = j.retry[:len(j.retry)-1]
	}
	for j.next < j.Record.Job.Tasks {
		if j.waits(j.next) {
			return j.next, true
		}
		j.next++
	}
	return 0, false
}

// waits reports whether the task is neither done nor possibly on a machine.
func (j *Job) waits(index int) bool { return j.live[index] == 0 && !j.Done.Has(index) }

// Dequeue removes the task that NextTask returned from the queue.
func (j *Job) Dequeue() {
	if len(j.retry) > 0 {
		j.retry = j.retry[:len(j.retry)-1]
		return
	}
	j.next++
}

// AttemptAdded counts an attempt of the task that may be on a machine in the
// zone.
func (j *Job) AttemptAdded(index int, zone string) {
	j.live[index]++
	j.Zones[zone]++
}

// AttemptMoved counts an attempt in another zone than before.
func (j *Job) AttemptMoved(from, to string) {
	j.Zones[from]--
	j.Zones[to]++
}

// AttemptRemoved uncounts an attempt that is surely gone. Its task is queued
// again, unless it is done or another attempt of it may be on a machine.
func (j *Job) AttemptRemoved(index int, zone string) {
	j.Zones[zone]--
	if j.live[index]--; j.live[index] <= 0 {
		delete(j.live, index)
		if !j.Done.Has(index) && index < j.next {
			j.retry = append(j.retry, index)
		}
	}
}

// HasAttempt reports whether an attempt of the task may be on a machine.
func (j *Job) HasAttempt(index int) bool { return j.live[index] > 0 }

// LiveTasks counts the tasks of which an attempt may be on a machine.
func (j *Job) LiveTasks() int { return len(j.live) }

const (
	// failedMachines is on how many machines a job must have failed, without a
	// success, to count as failing everywhere.
	failedMachines = 2
	// maxFailureWait bounds how long a job that fails everywhere waits.
	maxFailureWait = 30 * time.Second
	// maxFailureDoublings bounds how often the wait after a failure is doubled.
	maxFailureDoublings = 5
)

// AddFailure notes that a task has failed on the machine. A job that fails on
// several machines and succeeds on none is tried again ever later.
func (j *Job) AddFailure(machine string, now time.Time) {
	j.failedOn[machine] = true
	if n := len(j.failedOn); j.FailsEverywhere() {
		j.NotBefore = now.Add(min(maxFailureWait, time.Second<<min(n-failedMachines, maxFailureDoublings)))
	}
}

// HasFailed reports whether a task has failed on any machine.
func (j *Job) HasFailed() bool { return len(j.failedOn) > 0 }

// FailsEverywhere reports whether the job itself rather than a machine seems to
// be the reason for its failures.
func (j *Job) FailsEverywhere() bool { return len(j.failedOn) >= failedMachines && !j.Succeeded }

// Avoids reports whether the machine rather than the job seems to be the reason
// for a failure of the job there.
func (j *Job) Avoids(machine string) bool { return j.failedOn[machine] && !j.FailsEverywhere() }

// rentAfter is how long a task must have found no room to be rented for.
const rentAfter = 300 * time.Millisecond

// RentalDemand tells for how many tasks of an own job machines should be
// rented.
func (j *Job) RentalDemand(now time.Time) int {
	if j.UnplacedSince.IsZero() || now.Sub(j.UnplacedSince) <= rentAfter || j.FailsEverywhere() {
		return 0
	}
	return j.Unplaced()
}
