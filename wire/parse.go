package wire

import "encoding/json"

// Fields of a submission that other packages name in a FieldError.
const (
	FieldTeam         = "roost"
	FieldTasks        = "feathers"
	FieldDependencies = "follows"
)

// The other fields of a submission. The values equal the struct tags of Job.
const (
	fieldID          = "uid"
	fieldClass       = "flight"
	fieldKind        = "gait"
	fieldPriority    = "rank"
	fieldCPUs        = "cores"
	fieldGPUs        = "accelerators"
	fieldMemoryGB    = "ram_gb"
	fieldImage       = "plumage"
	fieldImageGB     = "pull_gb"
	fieldTypes       = "breeds"
	fieldZone        = "marsh"
	fieldOneZone     = "same_place"
	fieldSpread      = "spread"
	fieldSpot        = "drift"
	fieldEstimateS   = "flight_s"
	fieldCheckpointS = "molt_s"
	fieldSaveS       = "preen_s"
	fieldDeadlineS   = "dusk_s"
)

// ParseJob decodes and validates a submission. The error is a *FieldError. A valid id is
// returned even if another field is invalid: a repeated submission of an accepted job must
// be answered with the status of that job, whatever its other fields contain.
func ParseJob(body []byte) (Job, error) {
	f := fields{}
	if err := json.Unmarshal(body, &f.raw); err != nil || f.raw == nil {
		return Job{}, &FieldError{Reason: "the body must be a JSON object"}
	}
	id := f.jobID()
	if f.err != nil {
		return Job{}, f.err
	}
	j := Job{ID: id}
	f.readDescription(&j)
	f.readSize(&j)
	f.readConstraints(&j)
	f.readTimes(&j)
	j.Dependencies = f.dependencies()
	if f.err != nil {
		return j, f.err
	}
	return j, nil
}

func (f *fields) jobID() string {
	id := f.text(fieldID)
	if !ValidJobID(id) {
		f.fail(fieldID, "must have the form wk-000412")
	}
	return id
}

// readDescription reads the class, team, kind and priority of the job.
func (f *fields) readDescription(j *Job) {
	j.Class = f.text(fieldClass)
	j.Team = f.text(FieldTeam)
	j.Kind = Kind(f.text(fieldKind))
	if j.Kind != KindArray && j.Kind != KindService && j.Kind != KindGang {
		f.fail(fieldKind, "must be array, daemon or ensemble")
	}
	j.Priority = Priority(f.text(fieldPriority))
	if j.Priority.Rank() > PriorityLow.Rank() {
		f.fail(fieldPriority, "must be prod, urgent, normal or idle")
	}
}

// readSize reads the number of tasks, and the resources and the image of each task.
func (f *fields) readSize(j *Job) {
	j.Tasks = f.count(FieldTasks, 1, MaxTasks)
	j.CPUs = f.amount(fieldCPUs)
	j.GPUs = f.amount(fieldGPUs)
	j.MemoryGB = f.amount(fieldMemoryGB)
	j.Image = f.text(fieldImage)
	j.ImageGB = f.amount(fieldImageGB)
}

// readConstraints reads the constraints on the machines and zones of the tasks.
func (f *fields) readConstraints(j *Job) {
	j.Types = f.machineTypes()
	j.Zone = optional(f, fieldZone, f.parseText)
	j.OneZone = f.flag(fieldOneZone)
	j.Spread = f.flag(fieldSpread)
	j.Spot = f.flag(fieldSpot)
}

// readTimes reads the durations, in seconds.
func (f *fields) readTimes(j *Job) {
	j.EstimateS = f.amount(fieldEstimateS)
	j.CheckpointS = f.amount(fieldCheckpointS)
	j.SaveS = f.amount(fieldSaveS)
	j.DeadlineS = optional(f, fieldDeadlineS, f.parseAmount)
}

// machineTypes reads the list of allowed machine types. The list may be missing, but not
// empty.
func (f *fields) machineTypes() []string {
	const reason = "must be a list of machine types or null"
	raw, ok := f.value(fieldTypes)
	if !ok {
		return nil
	}
	types, ok := decodeStrings(raw)
	if !ok || len(types) == 0 {
		f.fail(fieldTypes, reason)
	}
	for _, name := range types {
		if name == "" {
			f.fail(fieldTypes, reason)
		}
	}
	return types
}

// dependencies reads the list of job ids that the job depends on. The list may be missing
// or empty. Duplicate ids are removed.
func (f *fields) dependencies() []string {
	raw, ok := f.value(FieldDependencies)
	if !ok {
		return nil
	}
	ids, ok := decodeStrings(raw)
	if !ok {
		f.fail(FieldDependencies, "must be a list of job ids")
		return nil
	}
	var dependencies []string
	seen := map[string]bool{}
	for _, id := range ids {
		if !seen[id] {
			seen[id] = true
			dependencies = append(dependencies, id)
		}
	}
	return dependencies
}
