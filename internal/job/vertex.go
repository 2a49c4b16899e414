package job

import "time"

// vertex is a job in the dependency graph. A done job stays in the graph as long as a job
// that is not done depends on it.
type vertex struct {
	record     *Record
	ended      bool
	unfinished map[string]bool // dependencies that are not known to be done
	readyAt    time.Time       // when the last done dependency ended; zero if none is done
	priority   EffectivePriority
	dependents map[string]*vertex // by job ID
}

func newVertex(r *Record) *vertex {
	v := &vertex{record: r, unfinished: map[string]bool{}, priority: r.ownPriority(), dependents: map[string]*vertex{}}
	for _, id := range r.Job.Dependencies {
		v.unfinished[id] = true
	}
	return v
}

func (v *vertex) id() string { return v.record.Job.ID }

func (v *vertex) dependencies() []string { return v.record.Job.Dependencies }

// startBy returns the latest time at which the job can start and still meet its deadline.
// It is zero if there is no deadline.
func (v *vertex) startBy() time.Time {
	if v.priority.Due.IsZero() {
		return time.Time{}
	}
	return v.priority.Due.Add(-v.estimate())
}

// estimate returns the estimated time that the job takes once it can start.
func (v *vertex) estimate() time.Duration { return seconds(v.record.Job.EstimateS) }

// inherit raises the job's priority to that of a dependent and reports whether it
// changed. The job is due when the dependent has to start to meet its own deadline.
func (v *vertex) inherit(dependent *vertex) (changed bool) {
	return v.priority.raise(dependent.priority.Rank, dependent.startBy())
}

// markDependencyDone marks a dependency as done at a time and reports whether the job
// became ready as a result.
func (v *vertex) markDependencyDone(dependency string, at time.Time) (ready bool) {
	if !v.unfinished[dependency] {
		return false
	}
	delete(v.unfinished, dependency)
	v.readyAt = later(v.readyAt, at)
	return len(v.unfinished) == 0
}

func (v *vertex) readiness() Readiness {
	return Readiness{EffectivePriority: v.priority, Ready: len(v.unfinished) == 0, ReadyAt: v.readyAt}
}

// hasActiveDependents reports whether an active job depends directly on this one.
func (v *vertex) hasActiveDependents() bool {
	for _, d := range v.dependents {
		if !d.ended {
			return true
		}
	}
	return false
}
