package wire

// Paths of the user interface.
const (
	PathJobs     = "/submissions"
	PathReady    = "/ready"
	SuffixCancel = "withdraw"
)

// MaxBody is the largest request body that any interface accepts.
const MaxBody = 64 << 10

// MaxTasks is the largest number of tasks that one job may have.
const MaxTasks = 100_000

// Kind says how a job's tasks run.
type Kind string

// The kinds of job.
const (
	KindArray   Kind = "array"
	KindService Kind = "daemon"
	KindGang    Kind = "ensemble" // all tasks run together or none does
)

// Priority is the class by which jobs are ordered; see Rank.
type Priority string

// The priorities, highest first.
const (
	PriorityProd   Priority = "prod"
	PriorityHigh   Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "idle"
)

// Rank returns the priority as a number, 0 being the highest. Unknown
// priorities rank below all others.
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

// JobState is the state of a job as users see it.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "aborted"
)

// Final reports whether a job in this state never changes again.
func (s JobState) Final() bool { return s == JobDone || s == JobCancelled }

// Job is a job as its user submits it. CPUs, GPUs and memory are those of each
// task; fields that end in S are durations in seconds.
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
	ImageGB     float64  `json:"pull_gb"`          // what a machine fetches to run it
	Types       []string `json:"breeds,omitempty"` // machine types it may run on; empty: any
	Zone        *string  `json:"marsh,omitempty"`  // the only zone it may run in; nil: any
	OneZone     bool     `json:"same_place"`       // all tasks in the same zone
	Spread      bool     `json:"spread"`           // at most half of the tasks, rounded up, in one zone
	Spot        bool     `json:"drift"`            // spot machines are allowed
	EstimateS   float64  `json:"flight_s"`         // of a task's run time without the image fetch; 0 for services
	CheckpointS float64  `json:"molt_s"`           // of progress between checkpoints; 0: the task never saves
	SaveS       float64  `json:"preen_s"`          // to save when it is stopped
	DeadlineS   *float64 `json:"dusk_s,omitempty"` // from submission; nil: none
	// Dependencies are the jobs of the DAG that have to be done before any
	// task of this one starts, each named once.
	Dependencies []string `json:"follows,omitempty"`
}

// JobStatus answers a submission, a poll or a cancellation. Done and Running
// count tasks.
type JobStatus struct {
	ID      string   `json:"uid"`
	State   JobState `json:"stance"`
	Done    int      `json:"done"`
	Running int      `json:"running"`
}

// Error is the body of every refusal.
type Error struct {
	Error string `json:"error"`
	Field string `json:"field,omitempty"`
}

// FieldError is the error of a submission that can never be accepted: it says
// which field is wrong, "" for the job as a whole, and why.
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
