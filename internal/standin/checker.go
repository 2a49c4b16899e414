package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"heronwick/wire"
)

// Checker verifies the rules of the protocol from outside: it sees the requests and responses
// of users, the commands to workers and the tasks on machines, but no state inside the
// controllers. Its exported fields are set before use; its methods are safe for concurrent
// use.
type Checker struct {
	// TeamQuotas and TeamGPUQuotas are the quotas of the teams in CPUs and in GPUs; a team that
	// is not listed has none.
	TeamQuotas, TeamGPUQuotas map[string]float64
	// CancelTimeout is how long the tasks of a job may keep running after a response first
	// reported the job as cancelled; 0 disables the check.
	CancelTimeout time.Duration
	// NoStartAfter is how long controllers may still command starts of a job's tasks after a
	// response first reported the job as cancelled; 0 disables the check.
	NoStartAfter time.Duration
	// Types are the machine types. An accepted job must fit at least one of them; nil disables
	// the check.
	Types []wire.MachineType

	mu         sync.Mutex
	jobs       map[string]*trackedJob // by job ID
	running    map[string]Location    // by task ID
	starts     map[string]int         // by task ID
	violations []string
}

// rule is a rule of the protocol that a Checker verifies. A violation's text begins with it.
type rule string

const (
	ruleAccepted     rule = "accepted"      // only jobs that can run are accepted
	ruleForgotten    rule = "forgotten"     // an accepted job is never reported as unknown or invalid
	ruleInvented     rule = "invented"      // a state is reported only for submitted jobs
	ruleWentBack     rule = "went_back"     // final states never change, and jobs are cancelled only if a user requests it
	ruleOrphaned     rule = "orphaned"      // a job ends in time after a job that it depends on is cancelled
	ruleNotDone      rule = "not_done"      // a job is done only after all its tasks are done
	ruleRanTwice     rule = "ran_twice"     // a task runs on at most one machine at a time
	ruleRanCancelled rule = "ran_cancelled" // tasks of a cancelled job stop in time and are not started again
	ruleTooEarly     rule = "too_early"     // a job starts only after the jobs that it depends on are done
	ruleWrongPlace   rule = "wrong_place"   // a task runs on a machine that its job allows
	ruleQuota        rule = "quota"         // a team's running tasks stay within its quota
)

// Location is a machine on which a task runs, with the properties that jobs can restrict.
type Location struct {
	Machine, Type, Zone string
	Spot                bool
}

// trackedJob is the state of one job according to users' requests, their responses and the
// tasks that ran.
type trackedJob struct {
	job              wire.Job // zero until submitted
	submitted        bool
	accepted         bool
	cancelRequested  bool
	lastReported     wire.JobState   // in the last response to a user
	finalReportedAt  time.Time       // when a response first reported a final state; zero if none did
	cancelReportedAt time.Time       // when a response first reported the job as cancelled; zero if none did
	done             map[string]bool // IDs of the tasks that are done
	dependencies     []*trackedJob
}

// isDone reports whether all tasks of the job are done.
func (j *trackedJob) isDone() bool { return len(j.done) >= j.job.Tasks }

// selfOrAnyDependency reports whether a condition holds for the job or for any of its direct
// or indirect dependencies.
func (j *trackedJob) selfOrAnyDependency(condition func(*trackedJob) bool) bool {
	seen := map[*trackedJob]bool{j: true}
	for queue := []*trackedJob{j}; len(queue) > 0; queue = queue[1:] {
		if condition(queue[0]) {
			return true
		}
		for _, dependency := range queue[0].dependencies {
			if !seen[dependency] {
				seen[dependency] = true
				queue = append(queue, dependency)
			}
		}
	}
	return false
}

// wasCancelRequested reports whether a user has requested the cancellation of the job itself.
func wasCancelRequested(j *trackedJob) bool { return j.cancelRequested }

// NewChecker returns a Checker without quotas, timeouts or machine types.
func NewChecker() *Checker {
	return &Checker{jobs: map[string]*trackedJob{}, running: map[string]Location{}, starts: map[string]int{}}
}

func (c *Checker) recordViolationLocked(violated rule, format string, args ...any) {
	c.violations = append(c.violations, string(violated)+": "+fmt.Sprintf(format, args...))
}

// Violations returns the violations found so far, each in the form RULE: DESCRIPTION.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Running returns the machine of each running task, by task ID.
func (c *Checker) Running() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	machines := map[string]string{}
	for task, at := range c.running {
		machines[task] = at.Machine
	}
	return machines
}

// StartCount returns how often a task has started.
func (c *Checker) StartCount(task string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[task]
}

// Job returns the job of a task, or nil if no user has submitted it.
func (c *Checker) Job(task string) *wire.Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[jobOf(task)]; j != nil && j.submitted {
		return &j.job
	}
	return nil
}

// trackedJobLocked returns the state of a job, and starts to track the job if it is new.
func (c *Checker) trackedJobLocked(id string) *trackedJob {
	j := c.jobs[id]
	if j == nil {
		j = &trackedJob{done: map[string]bool{}}
		c.jobs[id] = j
	}
	return j
}

// jobOf returns the ID of a task's job.
func jobOf(task string) string {
	id, _, _ := wire.SplitTaskID(task)
	return id
}
