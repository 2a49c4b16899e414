package job

import "heronwick/wire"

// Record is an accepted job.
type Record struct {
	Job wire.Job `json:"job"`
	// AcceptedMs is the time of day of acceptance. It orders jobs and places
	// deadlines; no safety depends on it.
	AcceptedMs int64  `json:"accepted_ms"`
	Version    uint64 `json:"-"`
}

// Condition holds while the job is not over.
func (r *Record) Condition() wire.Condition {
	return wire.Condition{Key: activePrefix + r.Job.ID, Version: r.Version}
}

// IsActive returns the job whose active record key is, if it is one.
func IsActive(key string) (id string, ok bool) {
	if len(key) > len(activePrefix) && key[:len(activePrefix)] == activePrefix {
		return key[len(activePrefix):], true
	}
	return "", false
}

// Outcome is the record of a job that is over. It keeps what the tasks take and
// whose quota they use, since some may still be on machines.
type Outcome struct {
	State    wire.JobState `json:"state"`
	Tasks    int           `json:"tasks"`
	Team     string        `json:"team"`
	CPUs     float64       `json:"cpus"`
	GPUs     float64       `json:"gpus"`
	MemoryGB float64       `json:"memory_gb"`
	// EndedMs is the time of day of the end: the jobs after it count their times
	// from there. The version before this one did not write it.
	EndedMs int64 `json:"ended_ms,omitempty"`
}
