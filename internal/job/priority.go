package job

import "time"

// EffectivePriority determines how soon a job is served. It is the job's own priority and
// deadline, or those of jobs that depend on it where these are higher or earlier.
type EffectivePriority struct {
	Rank int       // of the priority; 0 is the highest
	Due  time.Time // deadline; zero if there is none
}

// raise makes the priority at least as urgent as a rank and a deadline, and reports
// whether that changed it.
func (p *EffectivePriority) raise(rank int, due time.Time) (changed bool) {
	before := *p
	p.Rank = min(p.Rank, rank)
	if !due.IsZero() && (p.Due.IsZero() || due.Before(p.Due)) {
		p.Due = due
	}
	return *p != before
}

// ownPriority returns the priority of the job itself, without regard to the jobs that
// depend on it.
func (r *Record) ownPriority() EffectivePriority {
	p := EffectivePriority{Rank: r.Job.Priority.Rank()}
	if r.Job.DeadlineS != nil {
		p.Due = time.UnixMilli(r.AcceptedMs).Add(seconds(*r.Job.DeadlineS))
	}
	return p
}

// Readiness holds the properties of a job that follow from its dependencies and
// dependents.
type Readiness struct {
	EffectivePriority
	// Ready reports whether all dependencies are recorded as done in the key-value
	// store.
	Ready bool
	// ReadyAt is the time at which the last done dependency ended. It is zero if
	// the job has no done dependency.
	ReadyAt time.Time
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
