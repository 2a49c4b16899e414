package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
)

// Paths of the user interface.
const (
	PathJobs     = "/submissions"
	PathReady    = "/ready"
	SuffixCancel = "withdraw"
)

// Fields that refusals outside this package name.
const (
	FieldTeam         = "roost"
	FieldTasks        = "feathers"
	FieldDependencies = "follows"
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

// Priority orders jobs; see Rank.
type Priority string

// The priorities, highest first.
const (
	PriorityProd   Priority = "prod"
	PriorityHigh   Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "idle"
)

// Rank gives the priority as a number, 0 being the highest. Unknown
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

// Final tells whether a job in this state never changes again.
func (s JobState) Final() bool { return s == JobDone || s == JobCancelled }

// Job is a job as its user submits it.
type Job struct {
	ID          string   `json:"uid"`
	Class       string   `json:"flight"`
	Team        string   `json:"roost"`
	Kind        Kind     `json:"gait"`
	Priority    Priority `json:"rank"`
	Tasks       int      `json:"feathers"`
	CPUs        float64  `json:"cores"`
	GPUs        float64  `json:"accelerators"`
	MemoryGB    float64  `json:"ram_gb"`
	Image       string   `json:"plumage"`
	ImageGB     float64  `json:"pull_gb"`
	Types       []string `json:"breeds,omitempty"`
	Zone        *string  `json:"marsh,omitempty"`
	OneZone     bool     `json:"same_place"`
	Spread      bool     `json:"spread"`
	Spot        bool     `json:"drift"`
	EstimateS   float64  `json:"flight_s"`
	CheckpointS float64  `json:"molt_s"`
	SaveS       float64  `json:"preen_s"`
	DeadlineS   *float64 `json:"dusk_s,omitempty"`
	// Dependencies are the jobs of the DAG that have to be done before any
	// task of this one starts, each named once.
	Dependencies []string `json:"follows,omitempty"`
}

// JobStatus answers a submission, a poll or a cancellation.
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

// FieldError says which field of a submission is wrong, and why.
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

var jobID = regexp.MustCompile(`^wk-[0-9]{1,20}$`)

// ValidJobID tells whether id has the form of a job id.
func ValidJobID(id string) bool { return jobID.MatchString(id) }

// TaskID names a task of a job.
func TaskID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTaskID takes a task's name apart.
func SplitTaskID(task string) (job string, index int, ok bool) {
	job, number, found := strings.Cut(task, "/")
	if !found || !ValidJobID(job) {
		return "", 0, false
	}
	index, err := strconv.Atoi(number)
	if err != nil || index < 0 || index >= MaxTasks || strconv.Itoa(index) != number {
		return "", 0, false
	}
	return job, index, true
}

// fields reads a JSON object one named field at a time and keeps the first
// complaint. Names match exactly, unlike encoding/json's own struct decoding,
// which would take "UID" for "uid".
type fields struct {
	raw map[string]json.RawMessage
	err *FieldError
}

func (f *fields) fail(name, reason string) {
	if f.err == nil {
		f.err = &FieldError{Field: name, Reason: reason}
	}
}

// value returns the field's text; null counts as missing.
func (f *fields) value(name string) (json.RawMessage, bool) {
	raw, ok := f.raw[name]
	if !ok || bytes.Equal(raw, []byte("null")) {
		return nil, false
	}
	return raw, true
}

func (f *fields) required(name string) (json.RawMessage, bool) {
	raw, ok := f.value(name)
	if !ok {
		f.fail(name, "is missing")
	}
	return raw, ok
}

func (f *fields) text(name string) string {
	raw, ok := f.required(name)
	if !ok {
		return ""
	}
	return f.parseText(name, raw)
}

func (f *fields) parseText(name string, raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) != nil {
		f.fail(name, "must be a string")
		return ""
	}
	if s == "" || len(s) > 200 {
		f.fail(name, "must have 1 to 200 bytes")
	}
	return s
}

func (f *fields) flag(name string) bool {
	raw, ok := f.required(name)
	if !ok {
		return false
	}
	var b bool
	if json.Unmarshal(raw, &b) != nil {
		f.fail(name, "must be true or false")
	}
	return b
}

// maxAmount bounds every amount: larger ones are surely mistakes, and sums
// of bounded numbers stay finite.
const maxAmount = 1e9

func (f *fields) amount(name string) float64 {
	raw, ok := f.required(name)
	if !ok {
		return 0
	}
	return f.parseAmount(name, raw)
}

func (f *fields) parseAmount(name string, raw json.RawMessage) float64 {
	var v float64
	if json.Unmarshal(raw, &v) != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(name, "must be a number")
		return 0
	}
	if v < 0 || v > maxAmount {
		f.fail(name, "is out of range")
	}
	return v
}

func (f *fields) count(name string, low, high int) int {
	raw, ok := f.required(name)
	if !ok {
		return 0
	}
	var v int64
	if json.Unmarshal(raw, &v) != nil {
		f.fail(name, "must be an integer")
		return 0
	}
	if v < int64(low) || v > int64(high) {
		f.fail(name, fmt.Sprintf("must be between %d and %d", low, high))
		return 0
	}
	return int(v)
}

// ParseJob reads and checks a submission. When the id could be read, it is
// returned even if another field is wrong: a repeated submission of an
// accepted job must be answered as such whatever else it holds.
func ParseJob(body []byte) (Job, error) {
	f := fields{}
	if err := json.Unmarshal(body, &f.raw); err != nil || f.raw == nil {
		return Job{}, &FieldError{Reason: "the body must be a JSON object"}
	}
	j := Job{}
	id := f.text("uid")
	if f.err == nil && !ValidJobID(id) {
		f.fail("uid", "must have the form wk-000412")
	}
	if f.err != nil {
		return Job{}, f.err
	}
	j.ID = id
	j.Class = f.text("flight")
	j.Team = f.text("roost")
	j.Kind = Kind(f.text("gait"))
	if f.err == nil && j.Kind != KindArray && j.Kind != KindService && j.Kind != KindGang {
		f.fail("gait", "must be array, daemon or ensemble")
	}
	j.Priority = Priority(f.text("rank"))
	if f.err == nil && j.Priority.Rank() > PriorityLow.Rank() {
		f.fail("rank", "must be prod, urgent, normal or idle")
	}
	j.Tasks = f.count("feathers", 1, MaxTasks)
	j.CPUs = f.amount("cores")
	j.GPUs = f.amount("accelerators")
	j.MemoryGB = f.amount("ram_gb")
	j.Image = f.text("plumage")
	j.ImageGB = f.amount("pull_gb")
	if raw, ok := f.value("breeds"); ok {
		var types []*string
		if json.Unmarshal(raw, &types) != nil || len(types) == 0 {
			f.fail("breeds", "must be a list of machine types or null")
		}
		for _, t := range types {
			if t == nil || *t == "" {
				f.fail("breeds", "must be a list of machine types or null")
				break
			}
			j.Types = append(j.Types, *t)
		}
	}
	if raw, ok := f.value("marsh"); ok {
		zone := f.parseText("marsh", raw)
		j.Zone = &zone
	}
	j.OneZone = f.flag("same_place")
	j.Spread = f.flag("spread")
	j.Spot = f.flag("drift")
	j.EstimateS = f.amount("flight_s")
	j.CheckpointS = f.amount("molt_s")
	j.SaveS = f.amount("preen_s")
	if raw, ok := f.value("dusk_s"); ok {
		deadline := f.parseAmount("dusk_s", raw)
		j.DeadlineS = &deadline
	}
	j.Dependencies = f.dependencies(FieldDependencies)
	if f.err != nil {
		return j, f.err
	}
	return j, nil
}

// dependencies reads a list of job ids that may be missing or empty; an id
// named twice counts once.
func (f *fields) dependencies(name string) []string {
	raw, ok := f.value(name)
	if !ok {
		return nil
	}
	var ids []*string
	if json.Unmarshal(raw, &ids) != nil {
		f.fail(name, "must be a list of job ids")
		return nil
	}
	var dependencies []string
	seen := map[string]bool{}
	for _, id := range ids {
		if id == nil {
			f.fail(name, "must be a list of job ids")
			return nil
		}
		if !seen[*id] {
			seen[*id] = true
			dependencies = append(dependencies, *id)
		}
	}
	return dependencies
}
