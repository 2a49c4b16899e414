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
	donePrefix   = "done/" // one key holds many jobs, see DoneBucket
)

// Record is the record of an active job: one that was accepted and has not ended.
type Record struct {
	Job wire.Job `json:"job"`
	// AcceptedMs is the time of acceptance in milliseconds since the Unix epoch. Jobs
	// are ordered by it and deadlines count from it, but no safety property depends
	// on it.
	AcceptedMs int64  `json:"accepted_ms"`
	Version    uint64 `json:"-"` // of its key
}

// Condition returns the condition that holds as long as the job has not ended.
func (r *Record) Condition() wire.Condition {
	return wire.Condition{Key: activePrefix + r.Job.ID, Version: r.Version}
}

// ActiveJobID returns the ID of the job whose active record is stored under a key. ok is
// false if the key is not that of an active record.
func ActiveJobID(key string) (id string, ok bool) { return idUnder(activePrefix, key) }

// idUnder returns the part of a key after the prefix. ok is false if that part is empty
// or the key has another prefix.
func idUnder(prefix, key string) (id string, ok bool) {
	id, ok = strings.CutPrefix(key, prefix)
	if !ok || id == "" {
		return "", false
	}
	return id, true
}

// Outcome is the record of a job that has ended. It keeps the resources of the tasks and
// the team whose quota they use, because some of the tasks may still be on machines.
type Outcome struct {
	State    wire.JobState `json:"state"`
	Tasks    int           `json:"tasks"`
	Team     string        `json:"team"`
	CPUs     float64       `json:"cpus"` // of each task, as are GPUs and MemoryGB
	GPUs     float64       `json:"gpus"`
	MemoryGB float64       `json:"memory_gb"`
	// EndedMs is the time of the end in milliseconds since the Unix epoch. The waiting
	// times of jobs that depend on this one count from it. It is 0 in records of older
	// versions.
	EndedMs int64 `json:"ended_ms,omitempty"`
}

// newOutcome returns the outcome of a job that ended in the given state at a time.
func newOutcome(j *wire.Job, s wire.JobState, at time.Time) Outcome {
	return Outcome{State: s, Tasks: j.Tasks, Team: j.Team, CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB, EndedMs: at.UnixMilli()}
}

// status returns the status that is reported to users for a job with this outcome.
func (o *Outcome) status(id string) wire.JobStatus {
	s := wire.JobStatus{ID: id, State: o.State}
	if o.State == wire.JobDone {
		s.Done = o.Tasks
	}
	return s
}

// neverAccepted returns the conditions that hold as long as the job has not been
// accepted.
func neverAccepted(id string) []wire.Condition {
	return []wire.Condition{{Key: activePrefix + id}, {Key: finalPrefix + id}}
}

// endWrite returns the write that replaces the active record of a job by its outcome. It
// conflicts if the job has ended.
func endWrite(r *Record, o *Outcome, p state.Priority) state.Write {
	value, err := json.Marshal(o)
	if err != nil {
		panic(err) // every Outcome can be encoded
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
