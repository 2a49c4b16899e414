package job

import "time"

// vertex is a job in the dependency graph. One that is done stays for as long as a
// job that is not depends on it.
type vertex struct {
	record     *Record
	over       bool
	unfinished map[string]bool // dependencies that are not known to be done
	readyAt    time.Time       // when the last of its dependencies that are done ended
	priority   EffectivePriority
	dependents map[string]*vertex // by job
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

// startBy returns when the job has to start to be done at its deadline; zero: it has
// none.
func (v *vertex) startBy() time.Time {
	if v.priority.Due.IsZero() {
		return time.Time{}
	}
	return v.priority.Due.Add(-v.estimate())
}

// estimate is about how long the job takes once it can start.
func (v *vertex) estimate() time.Duration { return seconds(v.record.Job.EstimateS) }

// inherit raises the priority to that of a dependent, which has to start before its
// own deadline, and reports whether that changed it.
func (v *vertex) inherit(dependent *vertex) (changed bool) {
	return v.priority.raise(dependent.priority.Rank, dependent.startBy())
}

// finish marks a dependency as done at a time and reports whether the job became
// ready by that.
func (v *vertex) finish(dependency string, at time.Time) (ready bool) {
	if !v.unfinished[dependency] {
		return false
	}
	delete(v.unfinished, dependency)
	v.readyAt = later(v.readyAt, at)
	return len(v.unfinished) == 0
}

// readiness returns what follows for the job from its place in the graph.
func (v *vertex) readiness() Readiness {
	return Readiness{EffectivePriority: v.priority, Ready: len(v.unfinished) == 0, ReadyAt: v.readyAt}
}

// hasActiveDependents reports whether a job that is not over depends on this one.
func (v *vertex) hasActiveDependents() bool {
	for _, d := range v.dependents {
		if !d.over {
			return true
		}
	}
	return false
}
