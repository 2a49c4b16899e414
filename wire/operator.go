package wire

import "time"

// PathDAGs is the path at which operators list the live dependency DAGs of jobs.
const PathDAGs = "/chains"

// DAG is a live dependency DAG of jobs: its sink, the job that no other job
// depends on, and all the sink's transitive dependencies.
type DAG struct {
	Sink string `json:"last"`
	// Deadline is the time by which the sink has to be done, or nil if it has no
	// deadline.
	Deadline *time.Time `json:"deadline,omitempty"`
	// LeftS is the time until the deadline in seconds, or nil if there is no deadline.
	// It is negative after the deadline.
	LeftS *float64 `json:"left_s,omitempty"`
	// ExpectedS is the estimated time in seconds until the sink is done.
	ExpectedS float64 `json:"expected_s"`
	// InDanger reports whether the sink is estimated to miss its deadline.
	InDanger bool `json:"in_danger"`
	// Jobs contains all jobs of the DAG, in the order in which they were accepted.
	Jobs []DAGJob `json:"jobs"`
}

// DAGJob is one job of a DAG with its task counts.
type DAGJob struct {
	ID      string   `json:"uid"`
	Class   string   `json:"flight"`
	State   JobState `json:"stance"`
	Tasks   int      `json:"feathers"`
	Done    int      `json:"done"`
	Running int      `json:"running"`
	// WaitsFor lists the job's dependencies that are not done yet.
	WaitsFor []string `json:"waits_for,omitempty"`
}

// Paths of the operator interface for single duties.
const (
	PathDuties   = "/duties"
	PathHandOver = "/duties/handover"
	PathClear    = "/duties/clear"
)

// Duties is a controller's view of the single duties and of the open intents.
type Duties struct {
	Node string `json:"node"`
	// Active reports whether actions are recorded as intents before they are sent.
	Active  bool           `json:"active"`
	LeaseS  float64        `json:"lease_s"`
	Duties  []Duty         `json:"duties"`
	Returns []ReturnIntent `json:"condemned"`
	Rentals []RentalIntent `json:"rentals"`
	Events  []DutyEvent    `json:"events"` // recent events of this controller, oldest first
	Counts  map[string]int `json:"counts"` // numbers of all events of this controller, by kind
}

// Duty is a single duty with its holder and its fencing token.
type Duty struct {
	ID     string `json:"duty"`
	Holder string `json:"holder"` // empty if no controller holds the duty
	Token  uint64 `json:"token"`
	// Leader reports whether this controller holds the duty and may act under it now.
	Leader bool `json:"here"`
	// Corrupt reports whether the duty's record cannot be decoded. No controller
	// acquires a duty with a corrupt record.
	Corrupt bool `json:"damaged,omitempty"`
}

// ReturnIntent is an open intent to return machines to the cloud.
type ReturnIntent struct {
	Key      string   `json:"key"`
	Token    uint64   `json:"token"`
	Reason   string   `json:"why"`
	Machines []string `json:"machines"`
}

// RentalIntent is an open intent to rent machines from the cloud.
type RentalIntent struct {
	Key      string   `json:"key"`
	Token    uint64   `json:"token"`
	Requests []string `json:"requests"` // ids of the rent requests
}

// DutyEvent is a change of a duty or of an intent. Count is the number of machines or
// requests that the event is about, TookS its duration in seconds.
type DutyEvent struct {
	At    time.Time `json:"at"`
	Kind  string    `json:"kind"`
	Duty  string    `json:"duty"`
	Node  string    `json:"node"`
	Token uint64    `json:"token"`
	Count int       `json:"count"`
	TookS float64   `json:"took_s"`
}
