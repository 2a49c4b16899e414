package job

import (
	"encoding/json"
	"strings"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

// Prefixes of the keys that this package owns.
const (
	prefix       = "jobs/"
	activePrefix = prefix + "active/"
	finalPrefix  = prefix + "final/"
	donePrefix   = "done/" // many jobs to a key, see DoneBucket
)

// Record is the record of an accepted job that is not over.
type Record struct {
	Job wire.Job `json:"job"`
	// AcceptedMs is the time of acceptance in milliseconds since 1970. It orders
	// jobs and is what deadlines count from; no safety depends on it.
	AcceptedMs int64  `json:"accepted_ms"`
	Version    uint64 `json:"-"` // of its key
}

// Condition returns the condition that holds while the job is not over.
func (r *Record) Condition() wire.Condition {
	return wire.Condition{Key: activePrefix + r.Job.ID, Version: r.Version}
}

// ActiveJobID returns the id of the job whose active record key is; ok is false for
// false if the key does not hold an active record.
func ActiveJobID(key string) (id string, ok bool) { return idUnder(activePrefix, key) }

// idUnder returns what follows the prefix in a key; ok is false if that is nothing
// or the key has another prefix.
func idUnder(prefix, key string) (id string, ok bool) {
	id, ok = strings.CutPrefix(key, prefix)
	if !ok || id == "" {
		return "", false
	}
	return id, true
}

// Outcome is the record of a job that is over. It keeps what the tasks take and
// whose quota they use, since some may still be on machines.
type Outcome struct {
	State    wire.JobState `json:"state"`
	Tasks    int           `json:"tasks"`
	Team     string        `json:"team"`
	CPUs     float64       `json:"cpus"` // of each task, as are GPUs and MemoryGB
	GPUs     float64       `json:"gpus"`
	MemoryGB float64       `json:"memory_gb"`
	// EndedMs is the time of the end in milliseconds since 1970, from which the
	// waiting times of the jobs after it count; 0 in records of older versions.
	EndedMs int64 `json:"ended_ms,omitempty"`
}

// newOutcome returns the outcome of a job that ended in a state at a time.
func newOutcome(j *wire.Job, s wire.JobState, at time.Time) Outcome {
	return Outcome{State: s, Tasks: j.Tasks, Team: j.Team, CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB, EndedMs: at.UnixMilli()}
}

// status returns what users are told of a job with this outcome.
func (o *Outcome) status(id string) wire.JobStatus {
	s := wire.JobStatus{ID: id, State: o.State}
	if o.State == wire.JobDone {
		s.Done = o.Tasks
	}
	return s
}

// neverAccepted are the conditions that hold while nobody has accepted the job.
func neverAccepted(id string) []wire.Condition {
	return []wire.Condition{{Key: activePrefix + id}, {Key: finalPrefix + id}}
}

// endWrite returns the write that ends an active job, unless it is over.
func endWrite(r *Record, o *Outcome, p state.Priority) state.Write {
	value, err := json.Marshal(o)
	if err != nil {
		panic(err) // an Outcome holds nothing that cannot be encoded
	}
	return state.Write{
		Priority: p,
		If:       []wire.Condition{r.Condition(), {Key: finalPrefix + r.Job.ID}},
		Then: []wire.Change{
			{Delete: activePrefix + r.Job.ID},
			{Put: finalPrefix + r.Job.ID, Value: value},
		},
	}
}
