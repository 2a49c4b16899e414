package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"heronwick/wire"
)

// Checker verifies the protocol's rules from outside: it sees what users are answered and
// what runs on machines, and nothing of the controllers. Its limits are set before use;
// its methods are safe for concurrent use.
type Checker struct {
	// TeamQuotas are the teams' quotas in CPUs; a team that is not listed has none.
	TeamQuotas map[string]float64
	// CancelTimeout is how long after its user was told so a cancelled job's tasks must be
	// gone; 0: not checked.
	CancelTimeout time.Duration
	// NoStartAfter is how long after its user was told so no controller may command a start
	// of a cancelled job any more; 0: not checked.
	NoStartAfter time.Duration
	// Types are the machine types, one of which an accepted job must fit; nil: not checked.
	Types []wire.MachineType

	mu         sync.Mutex
	jobs       map[string]*trackedJob // by job ID
	running    map[string]Location    // by task ID
	starts     map[string]int         // by task ID
	violations []string
}

// rule is a rule of the protocol that a Checker verifies. It begins a violation's text.
type rule string

// The rules.
const (
	ruleAccepted     rule = "accepted"      // only jobs that can run are accepted
	ruleForgotten    rule = "forgotten"     // accepted jobs stay known
	ruleInvented     rule = "invented"      // only submitted jobs are known
	ruleWentBack     rule = "went_back"     // final states stay, and users alone cancel
	ruleOrphaned     rule = "orphaned"      // a job ends after one that it depends on is cancelled
	ruleNotDone      rule = "not_done"      // a job is done only after all its tasks
	ruleRanTwice     rule = "ran_twice"     // a task runs on one machine at a time
	ruleRanCancelled rule = "ran_cancelled" // tasks of a cancelled job stop in time
	ruleTooEarly     rule = "too_early"     // a job starts only after those that it depends on
	ruleWrongPlace   rule = "wrong_place"   // a task runs on a machine that its job allows
	ruleQuota        rule = "quota"         // a team's running tasks stay within its quota
)

// Location is a machine that a task runs on.
type Location struct {
	Machine, Type, Zone string
	Spot                bool
}

// trackedJob is what users were told of a job, and what its tasks did.
type trackedJob struct {
	job             wire.Job // zero until submitted
	submitted       bool
	accepted        bool
	cancelRequested bool
	reported        wire.JobState // as users were last told
	cancelled       time.Time     // when its user was first told so; zero: never
	done            map[string]bool
	dependencies    []*trackedJob
}

// isDone reports whether all tasks of the job have ended well.
func (j *trackedJob) isDone() bool { return len(j.done) >= j.job.Tasks }

// anyDependency reports whether a condition holds for the job or any job that it depends on,
// directly or not.
func (j *trackedJob) anyDependency(condition func(*trackedJob) bool) bool {
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

// wasCancelRequested reports whether a user has cancelled the job itself.
func wasCancelRequested(j *trackedJob) bool { return j.cancelRequested }

// NewChecker returns a Checker that has seen nothing and checks no limit.
func NewChecker() *Checker {
	return &Checker{jobs: map[string]*trackedJob{}, running: map[string]Location{}, starts: map[string]int{}}
}

func (c *Checker) violateLocked(broken rule, format string, args ...any) {
	c.violations = append(c.violations, string(broken)+": "+fmt.Sprintf(format, args...))
}

// Violations returns a text for each violation so far, in the form RULE: DESCRIPTION.
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

// Job returns the job of a task; nil if no user has submitted it.
func (c *Checker) Job(task string) *wire.Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[jobOf(task)]; j != nil && j.submitted {
		return &j.job
	}
	return nil
}

// jobLocked returns what is known of a job, and begins to track it.
func (c *Checker) jobLocked(id string) *trackedJob {
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
