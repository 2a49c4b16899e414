package queue

import (
	"time"

	"heronwick/internal/completion"
	"heronwick/internal/config"
	"heronwick/internal/job"
	"heronwick/internal/placement"
	"heronwick/wire"
)

// ImagePolicy selects the machines that are searched for room for a task.
type ImagePolicy int

const (
	// ImageOptional permits all machines; a machine without the job's image fetches it.
	ImageOptional ImagePolicy = iota
	// ImageRequired permits only machines that hold the job's image.
	ImageRequired
	imagePolicyCount // number of policies
)

// Job is a queued job. It is either owned by this scheduler or hosted: owned by
// another scheduler, which requests that some of its tasks be placed here.
type Job struct {
	Record *job.Record
	Size   placement.Resources // resources of one task

	DominantShare float64 // fraction of a machine that a task takes, see dominantShare
	AcceptedAt    time.Time
	Objectives    []time.Duration // target times to completion, counted from EligibleAt

	// Ready, EligibleAt, EffectivePriority and Deadline are derived from the
	// dependency graph, see SetReadiness.
	Ready             bool      // all jobs that it depends on are done
	EligibleAt        time.Time // the later of its acceptance and the time when it became ready
	EffectivePriority int       // highest among the job and its dependents; 0 is the highest possible
	Deadline          time.Time // earliest among the job and its dependents; zero if there is none

	next  int            // index of the first task that has never left the queue
	retry []int          // indexes of tasks to place again after their attempts have ended
	live  map[int]int    // by task index, the number of attempts that may be on a machine
	Zones map[string]int // by zone, the number of attempts that may be there

	Done      *completion.Job
	Finishing bool // the job's completion is being written to the store

	failedOn  map[string]bool // names of the machines on which tasks of the job have failed
	Succeeded bool            // at least one task has succeeded
	NotBefore time.Time       // backoff after failures: no task is placed earlier

	UnplacedSince   time.Time                   // when a pending task first found no room; zero if none is waiting for room
	ImageFetchTime  time.Duration               // estimated time to fetch its image
	DeferredSince   time.Time                   // when it began to leave machines without its image to other jobs; zero if it does not
	ImageWaitSince  time.Time                   // when it began to wait for other schedulers to offer room on machines with its image
	PreemptedAt     time.Time                   // when tasks were last preempted for this job
	NoVictimFoundAt [imagePolicyCount]time.Time // by image policy, when the last search found no task to preempt

	ReportedProgress  job.Progress
	ProgressChangedAt time.Time // when ReportedProgress last changed

	RequestedTasks int // number of tasks in placement requests in flight

	Hosted           bool
	OwnerGuaranteed  bool      // hosted jobs: its owner reports that it is within its team's guarantee
	OwnerUnplaced    int       // hosted jobs: number of tasks for which its owner has no room
	OwnerRequestedAt time.Time // hosted jobs: when its owner last requested room for them
}

// NewJob returns a job with no task placed or done. objectives holds the
// objectives of all classes, types the machine types by name.
func NewJob(r *job.Record, objectives []config.Objective, types map[string]*wire.MachineType) *Job {
	size := placement.TaskResources(&r.Job)
	return &Job{
		Record: r, Size: size, AcceptedAt: time.UnixMilli(r.AcceptedMs),
		DominantShare: dominantShare(size, types), Objectives: objectivesOf(&r.Job, objectives), ImageFetchTime: imageFetchTime(&r.Job, types),
		live: map[int]int{}, Zones: map[string]int{}, Done: completion.NewJob(r), failedOn: map[string]bool{},
	}
}

// SetReadiness applies what follows from the job's position in the dependency
// graph: whether its tasks may start, the time from which its objectives count,
// and its effective priority and deadline.
func (j *Job) SetReadiness(readiness job.Readiness) {
	j.Ready, j.EffectivePriority, j.Deadline = readiness.Ready, readiness.Rank, readiness.Due
	j.EligibleAt = j.AcceptedAt
	if readiness.ReadyAt.After(j.EligibleAt) {
		j.EligibleAt = readiness.ReadyAt
	}
}

// defaultObjective is the objective of jobs whose class has none.
const defaultObjective = time.Minute

// objectivesOf returns the objectives of the job's class, or defaultObjective if
// the class has none. A job with its own deadline has no objectives: the deadline
// replaces them.
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

// dominantShare returns the largest fraction that a task of the size takes of any
// resource of a machine, for the machine type on which this fraction is smallest.
func dominantShare(size placement.Resources, types map[string]*wire.MachineType) float64 {
	smallest := 1.0
	for _, t := range types {
		capacity := placement.Capacity(t)
		share := max(size.CPUs/max(capacity.CPUs, 1e-9), size.MemoryGB/max(capacity.MemoryGB, 1e-9))
		if capacity.GPUs > 0 {
			share = max(share, size.GPUs/capacity.GPUs)
		}
		smallest = min(smallest, share)
	}
	return smallest
}

// maxImageFetchTime caps the estimated time to fetch an image.
const maxImageFetchTime = 10 * time.Second

// imageFetchTime estimates how long a machine takes to fetch the job's image: the
// longest time over all machine types, at most maxImageFetchTime.
func imageFetchTime(j *wire.Job, types map[string]*wire.MachineType) time.Duration {
	longest := time.Duration(0)
	for _, t := range types {
		if t.FetchGBPerS > 0 {
			longest = max(longest, time.Duration(j.ImageGB/t.FetchGBPerS*float64(time.Second)))
		}
	}
	return min(longest, maxImageFetchTime)
}

// IsService reports whether the job is a service, whose tasks run until it is cancelled.
func (j *Job) IsService() bool { return j.Record.Job.Kind == wire.KindService }

// Eligible reports whether tasks of the job may be placed now.
func (j *Job) Eligible(now time.Time) bool { return j.Ready && !now.Before(j.NotBefore) }
