package wire

// Paths of the user interface.
const (
	PathJobs     = "/submissions"
	PathReady    = "/ready"
	SuffixCancel = "withdraw"
)

// MaxBody is the maximum size in bytes of a request body, for all interfaces.
const MaxBody = 64 << 10

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// Kind specifies how a job's tasks run.
type Kind string

// The kinds of jobs.
const (
	KindArray   Kind = "array"
	KindService Kind = "daemon"
	KindGang    Kind = "ensemble" // all tasks run together or none does
)

// Priority is the priority class of a job. Rank defines the order of the classes.
type Priority string

// The priorities, highest first.
const (
	PriorityProd   Priority = "prod"
	PriorityHigh   Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "idle"
)

// Rank returns the priority as a number. 0 is the highest priority. Unknown priorities
// rank below all others.
func (p Priority) Rank() int {
	switch p {
	case PriorityProd:
		return 0
	case PriorityHigh:
		return 1
	case PriorityNormal:
		return 2
	case PriorityLow:
		return 3
	}
	return 4
}

// JobState is the state of a job that is reported to users.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "aborted"
)

// Final reports whether a job in this state can no longer change.
func (s JobState) Final() bool { return s == JobDone || s == JobCancelled }

// Job is a job in the form in which users submit it. CPUs, GPUs and MemoryGB are per task.
// Fields that end in S are durations in seconds.
type Job struct {
	ID          string   `json:"uid"`
	Class       string   `json:"flight"`
	Team        string   `json:"roost"`
	Kind        Kind     `json:"gait"`
	Priority    Priority `json:"rank"`
	Tasks       int      `json:"feathers"` // 1 to MaxTasks
	CPUs        float64  `json:"cores"`
	GPUs        float64  `json:"accelerators"`
	MemoryGB    float64  `json:"ram_gb"`
	Image       string   `json:"plumage"`
	ImageGB     float64  `json:"pull_gb"`          // amount of data that a machine fetches for the image
	Types       []string `json:"breeds,omitempty"` // allowed machine types; empty for any
	Zone        *string  `json:"marsh,omitempty"`  // the only allowed zone; nil for any
	OneZone     bool     `json:"same_place"`       // all tasks must run in the same zone
	Spread      bool     `json:"spread"`           // at most half of the tasks, rounded up, may run in one zone
	Spot        bool     `json:"drift"`            // tasks may run on spot machines
	EstimateS   float64  `json:"flight_s"`         // estimated run time of a task without the image fetch; 0 for services
	CheckpointS float64  `json:"molt_s"`           // progress between checkpoints; 0 if tasks do not save checkpoints
	SaveS       float64  `json:"preen_s"`          // time that a stopped task needs to save its progress
	DeadlineS   *float64 `json:"dusk_s,omitempty"` // time from submission to the deadline; nil for none
	// Dependencies lists, without duplicates, the jobs that have to be done before any
	// task of this job starts.
	Dependencies []string `json:"follows,omitempty"`
}

// JobStatus is the response to a submission, a status request or a cancellation. Done and
// Running are numbers of tasks.
type JobStatus struct {
	ID      string   `json:"uid"`
	State   JobState `json:"stance"`
	Done    int      `json:"done"`
	Running int      `json:"running"`
}

// Error is the body of every error response. Field names the invalid field of the request,
// if there is one.
type Error struct {
	Error string `json:"error"`
	Field string `json:"field,omitempty"`
}

// FieldError is the error for a submission that can never be accepted. Field is the invalid
// field, or empty if the error concerns the job as a whole.
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Reason
	}
	return e.Field + ": " + e.Reason
}
