package wire

import "time"

// PathDAGs is where operators list the live dependency DAGs of jobs.
const PathDAGs = "/chains"

// DAG is a live dependency DAG of jobs: its sink, the job that no other job
// depends on, and all the sink's transitive dependencies.
type DAG struct {
	Sink string `json:"last"`
	// Deadline is when the sink has to be done; nil when it has no deadline.
	Deadline *time.Time `json:"deadline,omitempty"`
	// LeftS is the time left until the deadline in seconds, negative once it
	// has passed; nil when there is no deadline.
	LeftS *float64 `json:"left_s,omitempty"`
	// ExpectedS is the estimated time in seconds until the sink is done.
	ExpectedS float64 `json:"expected_s"`
	// InDanger reports that, by the estimates, the sink misses its deadline.
	InDanger bool `json:"in_danger"`
	// Jobs are all jobs of the DAG, in the order in which they were accepted.
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
	// WaitsFor are the job's dependencies that are not done yet.
	WaitsFor []string `json:"waits_for,omitempty"`
}

// Paths of the operator interface for single duties.
const (
	PathDuties   = "/duties"
	PathHandOver = "/duties/handover"
	PathClear    = "/duties/clear"
)

// Duties is a controller's view of the single duties and of the intents
// that are still open.
type Duties struct {
	Node string `json:"node"`
	// Active reports that actions are recorded as intents before they are sent.
	Active  bool           `json:"active"`
	LeaseS  float64        `json:"lease_s"`
	Duties  []Duty         `json:"duties"`
	Returns []ReturnIntent `json:"condemned"`
	Rentals []RentalIntent `json:"rentals"`
	Events  []DutyEvent    `json:"events"` // of this controller, the oldest first
	Counts  map[string]int `json:"counts"` // of all its events, by kind
}

// Duty is one single duty, its holder and its fencing token.
type Duty struct {
	ID     string `json:"duty"`
	Holder string `json:"holder"` // "": nobody
	Token  uint64 `json:"token"`
	// Leader reports that this controller holds the duty and may act for it now.
	Leader bool `json:"here"`
	// Corrupt reports that the duty's record cannot be decoded, so no
	// controller takes it.
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
	Requests []string `json:"requests"`
}

// DutyEvent is a change of a duty or an intent. Count is how many machines or
// requests it concerns, TookS its duration in seconds.
type DutyEvent struct {
	At    time.Time `json:"at"`
	Kind  string    `json:"kind"`
	Duty  string    `json:"duty"`
	Node  string    `json:"node"`
	Token uint64    `json:"token"`
	Count int       `json:"count"`
	TookS float64   `json:"took_s"`
}
