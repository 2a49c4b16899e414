package queue

import (
	"time"

	"heronwick/internal/completion"
	"heronwick/internal/config"
	"heronwick/internal/job"
	"heronwick/internal/placement"
	"heronwick/wire"
)

// ImagePolicy says on which machines room is looked for.
type ImagePolicy int

const (
	// ImageOptional permits all machines: one without the job's image fetches it.
	ImageOptional ImagePolicy = iota
	// ImageRequired permits only machines that hold the job's image.
	ImageRequired
	imagePolicies // how many there are
)

// Job is a job of the queue: one of the scheduler's own, or a hosted one, of
// which another scheduler requests that tasks be placed here.
type Job struct {
	Record *job.Record
	Size   placement.Resources // of one task

	DominantShare float64 // the largest part of a machine that a task takes
	AcceptedAt    time.Time
	Objectives    []time.Duration // within what time it is wanted, from EligibleAt on

	// Ready, EligibleAt, EffectivePriority and Deadline follow from its
	// dependencies, see SetReadiness.
	Ready             bool      // all jobs that it needs are done
	EligibleAt        time.Time // when it was accepted, or became ready
	EffectivePriority int       // of itself or of a job that needs it; 0 is the highest
	Deadline          time.Time // of itself or of a job that needs it; zero: none

	next  int            // tasks from here on were never queued for another try
	retry []int          // tasks to place again
	live  map[int]int    // by task, the attempts that may be on a machine
	Zones map[string]int // by zone, the attempts that may be there

	Done      *completion.Job
	Finishing bool // the job's end is being written

	failedOn  map[string]bool // machines on which tasks failed
	Succeeded bool            // a task of it has succeeded
	NotBefore time.Time       // no task of it is placed before then

	UnplacedSince   time.Time                // since when a task has found no room; zero: none waits
	ImageFetchTime  time.Duration            // about how long its image takes to fetch
	DeferredSince   time.Time                // since when it leaves room where its image is not to others; zero: it does not
	ImageWaitSince  time.Time                // since when room beside its image is requested from other schedulers
	PreemptedAt     time.Time                // when tasks were last stopped for this job
	NoVictimFoundAt [imagePolicies]time.Time // when no task was last found to stop, by the machines searched

	ReportedProgress  job.Progress
	ProgressChangedAt time.Time // when ReportedProgress last changed

	RequestedTasks int // tasks in placement requests that are under way

	Hosted           bool
	OwnerGuaranteed  bool      // hosted: its owner says that it is within its team's guarantee
	OwnerUnplaced    int       // hosted: how many of its tasks its owner has no room for
	OwnerRequestedAt time.Time // hosted: when it last requested room for them
}

// NewJob returns a job none of whose tasks is placed or done. objectives are
// those of all classes, types the machine types by name.
func NewJob(r *job.Record, objectives []config.Objective, types map[string]*wire.MachineType) *Job {
	size := placement.TaskResources(&r.Job)
	return &Job{
		Record: r, Size: size, AcceptedAt: time.UnixMilli(r.AcceptedMs),
		DominantShare: dominantShare(size, types), Objectives: objectivesOf(&r.Job, objectives), ImageFetchTime: imageFetchTime(&r.Job, types),
		live: map[int]int{}, Zones: map[string]int{}, Done: completion.NewJob(r), failedOn: map[string]bool{},
	}
}

// SetReadiness takes what the job's place in its dependency graph says of it:
// whether its tasks may start, since when its objectives count, and how urgent
// it is.
func (j *Job) SetReadiness(readiness job.Readiness) {
	j.Ready, j.EffectivePriority, j.Deadline = readiness.Ready, readiness.Rank, readiness.Due
	j.EligibleAt = j.AcceptedAt
	if readiness.ReadyAt.After(j.EligibleAt) {
		j.EligibleAt = readiness.ReadyAt
	}
}

// defaultObjective is within what time jobs of a class without objectives are
// wanted.
const defaultObjective = time.Minute

// objectivesOf is within what time the job's users want it, as far as its class
// says; a deadline of its own stands for those.
func objectivesOf(j *wire.Job, objectives []config.Objective) []time.Duration {
	if j.DeadlineS != nil {
		return nil
	}
	var all []time.Duration
	for _, o := range objectives {
		if o.Class == j.Class && o.Within > 0 {
			all = append(all, o.Within)
		}
	}
	if len(all) == 0 {
		all = append(all, defaultObjective)
	}
	return all
}

// dominantShare is the largest part of any resource of a machine that a task of
// the size takes, on the machine type where that is least.
func dominantShare(size placement.Resources, types map[string]*wire.MachineType) float64 {
	least := 1.0
	for _, t := range types {
		capacity := placement.Capacity(t)
		part := max(size.CPUs/max(capacity.CPUs, 1e-9), size.MemoryGB/max(capacity.MemoryGB, 1e-9))
		if capacity.GPUs > 0 {
			part = max(part, size.GPUs/capacity.GPUs)
		}
		least = min(least, part)
	}
	return least
}

// maxImageFetchTime bounds what is taken for the time of a fetch.
const maxImageFetchTime = 10 * time.Second

// imageFetchTime is about how long a machine takes to fetch a job's image.
func imageFetchTime(j *wire.Job, types map[string]*wire.MachineType) time.Duration {
	longest := time.Duration(0)
	for _, t := range types {
		if t.FetchGBPerS > 0 {
			longest = max(longest, time.Duration(j.ImageGB/t.FetchGBPerS*float64(time.Second)))
		}
	}
	return min(longest, maxImageFetchTime)
}

// IsService reports whether the job's tasks run until it is cancelled.
func (j *Job) IsService() bool { return j.Record.Job.Kind == wire.KindService }

// Eligible reports whether tasks of the job may be placed now.
func (j *Job) Eligible(now time.Time) bool { return j.Ready && !now.Before(j.NotBefore) }
