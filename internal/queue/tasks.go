package queue

import "time"

// Pending returns the number of tasks that are not done and have no attempt that
// may be on a machine.
func (j *Job) Pending() int {
	return j.Record.Job.Tasks - j.Done.Count - len(j.live)
}

// Unplaced returns the number of pending tasks plus those in placement requests
// to other schedulers that are in flight.
func (j *Job) Unplaced() int { return j.Pending() + j.RequestedTasks }

// Served returns the number of tasks that are done or may be on a machine.
func (j *Job) Served() int {
	if j.Hosted {
		return j.Record.Job.Tasks - j.OwnerUnplaced
	}
	return j.Record.Job.Tasks - j.Pending()
}

// NextTask returns the next task to place without removing it from the queue. Tasks
// to place again come before those that were never placed.
func (j *Job) NextTask() (index int, ok bool) {
	for len(j.retry) > 0 {
		last := j.retry[len(j.retry)-1]
		if j.needsPlacement(last) {
			return last, true
		}
		j.retry = j.retry[:len(j.retry)-1]
	}
	for j.next < j.Record.Job.Tasks {
		if j.needsPlacement(j.next) {
			return j.next, true
		}
		j.next++
	}
	return 0, false
}

// needsPlacement reports whether the task is not done and has no attempt that may be
// on a machine.
func (j *Job) needsPlacement(index int) bool { return j.live[index] == 0 && !j.Done.Has(index) }

// Dequeue removes from the queue the task that NextTask returned last.
func (j *Job) Dequeue() {
	if len(j.retry) > 0 {
		j.retry = j.retry[:len(j.retry)-1]
		return
	}
	j.next++
}

// AttemptAdded records that an attempt of the task may be on a machine in the zone.
func (j *Job) AttemptAdded(index int, zone string) {
	j.live[index]++
	j.Zones[zone]++
}

// AttemptMoved records that an attempt is in another zone than recorded before.
func (j *Job) AttemptMoved(from, to string) {
	j.Zones[from]--
	j.Zones[to]++
}

// AttemptRemoved records that an attempt can no longer be on a machine. Its task is
// queued again unless it is done or has another attempt that may be on a machine.
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

// LiveTasks returns the number of tasks with an attempt that may be on a machine.
func (j *Job) LiveTasks() int { return len(j.live) }

const (
	// minFailedMachines is the number of machines on which tasks of a job must have
	// failed, with no task succeeding, for the job to count as failing everywhere.
	minFailedMachines = 2
	// maxFailureBackoff caps the backoff of a job that fails everywhere.
	maxFailureBackoff = 30 * time.Second
	// maxBackoffDoublings caps how often the backoff, which starts at one second, is
	// doubled.
	maxBackoffDoublings = 5
)

// AddFailure records that a task has failed on the machine. A job that fails
// everywhere is retried with exponential backoff.
func (j *Job) AddFailure(machine string, now time.Time) {
	j.failedOn[machine] = true
	if n := len(j.failedOn); j.FailsEverywhere() {
		j.NotBefore = now.Add(min(maxFailureBackoff, time.Second<<min(n-minFailedMachines, maxBackoffDoublings)))
	}
}

// HasFailed reports whether a task has failed on any machine.
func (j *Job) HasFailed() bool { return len(j.failedOn) > 0 }

// FailsEverywhere reports whether the failures are more likely caused by the job
// itself than by a machine: it failed on several machines and succeeded on none.
func (j *Job) FailsEverywhere() bool { return len(j.failedOn) >= minFailedMachines && !j.Succeeded }

// Avoids reports whether the job must not be placed on the machine: a task failed
// there, and the machine is a more likely cause than the job.
func (j *Job) Avoids(machine string) bool { return j.failedOn[machine] && !j.FailsEverywhere() }

// rentalDelay is how long a job's tasks must have been without room before machines
// are rented for them.
const rentalDelay = 300 * time.Millisecond

// RentalDemand returns the number of tasks for which machines should be rented. It
// applies to jobs that this scheduler owns.
func (j *Job) RentalDemand(now time.Time) int {
	if j.UnplacedSince.IsZero() || now.Sub(j.UnplacedSince) <= rentalDelay || j.FailsEverywhere() {
		return 0
	}
	return j.Unplaced()
}
