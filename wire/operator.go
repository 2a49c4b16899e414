package wire

import "time"

// PathChains is where operators see the chains of jobs that are live.
const PathChains = "/chains"

// Chain is a chain of jobs that is live: its last job, which no other needs, and
// all before it.
type Chain struct {
	Last string `json:"last"`
	// Deadline is by when the last job has to be done; nil: it has no deadline.
	Deadline *time.Time `json:"deadline,omitempty"`
	// LeftS is how long it is until then, less than 0 when that is over.
	LeftS *float64 `json:"left_s,omitempty"`
	// ExpectedS is after what time the last job should be done, by estimates.
	ExpectedS float64 `json:"expected_s"`
	// InDanger: by estimates the last job misses its deadline.
	InDanger bool `json:"in_danger"`
	// Jobs are all jobs of the chain, in the order in which they were accepted.
	Jobs []ChainJob `json:"jobs"`
}

// ChainJob is a job of a chain.
type ChainJob struct {
	ID      string   `json:"uid"`
	Class   string   `json:"flight"`
	State   JobState `json:"stance"`
	Tasks   int      `json:"feathers"`
	Done    int      `json:"done"`
	Running int      `json:"running"`
	// WaitsFor are the jobs that it needs and that are not done.
	WaitsFor []string `json:"waits_for,omitempty"`
}

// Paths of the single duties.
const (
	PathDuties   = "/duties"
	PathHandOver = "/duties/handover"
	PathClear    = "/duties/clear"
)

// Duties is what a controller knows of the single duties and their open intents.
type Duties struct {
	Node string `json:"node"`
	// Active: actions are recorded before they are sent.
	Active    bool              `json:"active"`
	LeaseS    float64           `json:"lease_s"`
	Duties    []Duty            `json:"duties"`
	Condemned []CondemnedIntent `json:"condemned"`
	Rentals   []RentalIntent    `json:"rentals"`
	Events    []DutyEvent       `json:"events"` // of this controller, the oldest first
	Counts    map[string]int    `json:"counts"` // of all its events, by kind
}

// Duty is one duty and who holds it.
type Duty struct {
	ID     string `json:"duty"`
	Holder string `json:"holder"` // "": nobody
	Token  uint64 `json:"token"`
	// Here: this controller may act for it now.
	Here bool `json:"here"`
	// Damaged: its record cannot be read, so nobody takes it.
	Damaged bool `json:"damaged,omitempty"`
}

// CondemnedIntent is an intent to return machines that is not closed.
type CondemnedIntent struct {
	Key      string   `json:"key"`
	Token    uint64   `json:"token"`
	Why      string   `json:"why"`
	Machines []string `json:"machines"`
}

// RentalIntent is an intent to rent that is not closed.
type RentalIntent struct {
	Key      string   `json:"key"`
	Token    uint64   `json:"token"`
	Requests []string `json:"requests"`
}

// DutyEvent is something that happened to a duty or an intent.
type DutyEvent struct {
	At    time.Time `json:"at"`
	Kind  string    `json:"kind"`
	Duty  string    `json:"duty"`
	Node  string    `json:"node"`
	Token uint64    `json:"token"`
	Count int       `json:"count"` // of machines or requests
	TookS float64   `json:"took_s"`
}
