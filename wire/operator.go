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
